// Package plan decides which jobs start where in one failure domain.
//
// A Planner is a state machine without I/O or clock: events update its state, and Round returns the
// actions that the state calls for. The caller applies the actions.
package plan

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Worker is a worker as the planner sees it.
type Worker struct {
	ID model.WorkerID
	// Rack names the rack; a worker without one is adjacent to no other.
	Rack string
	// Usable is false while the worker may not receive new tasks.
	Usable bool
	// Cores and MemoryMB are the totals of the worker; 0 means unknown.
	Cores    int
	MemoryMB int
}

// Waiting is a job that waits for accelerators.
type Waiting struct {
	Job  model.JobID
	Spec model.JobSpec
	// Submitted is the time of submission; it keeps the job's place after a requeue.
	Submitted time.Time
	// Attempt counts the attempts so far.
	Attempt int
	// Progress is the checkpointed share of the work, from 0 to 1.
	Progress float64
	// Avoid lists workers on which the job has failed. They are not used for it before AvoidUntil. The caller
	// calls Round at that time, because nothing else makes the job fit then.
	Avoid      []model.WorkerID
	AvoidUntil time.Time
}

// Start is a decision to start a gang.
type Start struct {
	Job       model.JobID
	Placement model.Placement
}

// Reason tells why a running job must give up its accelerators.
type Reason string

// Reasons of preemptions.
const (
	// ReasonReclaim means that an account reclaims its guaranteed shape.
	ReasonReclaim Reason = "reclaim"
	// ReasonUrgent means that an urgent job needs the accelerators.
	ReasonUrgent Reason = "urgent"
)

// Preempt is a decision to checkpoint and stop a running job. Its accelerators stay reserved for the job
// in For until the caller reports Requeue, Finish or Remove of the preempted job.
type Preempt struct {
	Job    model.JobID
	For    model.JobID
	Reason Reason
	// Grace is the longest time that the job may take to checkpoint before it is stopped; 0 means the usual
	// time for a checkpoint.
	Grace time.Duration
}

// UrgentGrace is the time that a job has to checkpoint when an urgent job needs its accelerators. Urgent work
// must start within 2.1 s, which includes this time, the stop and the start of the gang.
const UrgentGrace = time.Second

// Move is a decision to checkpoint a running job and restart it elsewhere, so that the job in For fits.
// The accelerators are reserved as for a Preempt; after its Requeue the moved job starts again as usual.
type Move struct {
	Job model.JobID
	For model.JobID
}

// Result lists the actions of one round.
type Result struct {
	Starts   []Start
	Preempts []Preempt
	Moves    []Move
	// Shortfall lists the guaranteed cells that cannot be packed at present, because of lost workers, a
	// change of policy or adopted jobs. Nothing running is stopped for it; starts that would increase it
	// are withheld.
	Shortfall []model.CellCount
	// More is true if the round reached its bound of work. The caller applies the actions and calls Round
	// again at once; the order of the queue is kept.
	More bool
}

// QueuePolicy orders the waiting jobs.
type QueuePolicy uint8

// Queue policies.
const (
	// FairShare orders by dominant share, age and estimated run time.
	FairShare QueuePolicy = iota
	// FIFO orders by submission.
	FIFO
)

// PlacementPolicy selects among the placements that fit.
type PlacementPolicy uint8

// Placement policies.
const (
	// BestFit fills broken cells first and spreads a gang over as few cells as possible.
	BestFit PlacementPolicy = iota
	// FirstFit takes the first cells that fit.
	FirstFit
)

// Options select policies; the zero value holds the measured better ones.
type Options struct {
	Queue     QueuePolicy
	Placement PlacementPolicy
	// NoReservation turns off the reservation for the first large job, for comparison only.
	NoReservation bool
	// NoRunTimes orders the jobs of an account by their submission alone, for comparison only.
	NoRunTimes bool
}
