// Package plan schedules the jobs of one failure domain: it decides which job starts, on which workers, and which
// running jobs are preempted or migrated for it.
//
// A Planner is a state machine without I/O or clock: events update its state, and Round returns the scheduling
// decisions for the current state. The caller carries them out.
package plan

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Worker describes a worker to the planner.
type Worker struct {
	ID model.WorkerID
	// Rack names the rack. A worker with an empty Rack shares a rack with no other worker.
	Rack string
	// Usable is false while the worker must not receive new tasks.
	Usable bool
	// Cores and MemoryMB are the worker's total capacity; 0 means unknown.
	Cores    int
	MemoryMB int
}

// QueuedJob is a job that waits for accelerators.
type QueuedJob struct {
	Job  model.JobID
	Spec model.JobSpec
	// Submitted is the time of submission. It does not change on a requeue, so that the job keeps its queue position.
	Submitted time.Time
	// Attempt counts the attempts so far.
	Attempt int
	// Progress is the checkpointed fraction of the work, from 0 to 1.
	Progress float64
	// AvoidWorkers lists workers on which the job has failed; the job is not placed on them before AvoidUntil. The
	// caller must call Round at that time, because no event reports that the workers are allowed again.
	AvoidWorkers []model.WorkerID
	AvoidUntil   time.Time
}

// Start is a decision to start a gang.
type Start struct {
	Job       model.JobID
	Placement model.Placement
}

// PreemptionReason tells why a running job is preempted.
type PreemptionReason string

// Reasons of preemptions.
const (
	// ReasonReclaim means that an account reclaims cells that are guaranteed to it.
	ReasonReclaim PreemptionReason = "reclaim"
	// ReasonUrgent means that an urgent job needs the accelerators.
	ReasonUrgent PreemptionReason = "urgent"
)

// Preemption is a decision to checkpoint and stop a running job. Its accelerators are reserved for the job in ForJob;
// that job starts after the caller has called Requeue, Finish or Remove for all jobs preempted for it.
type Preemption struct {
	Job    model.JobID
	ForJob model.JobID
	Reason PreemptionReason
	// GracePeriod is the longest time that the job may take to checkpoint before it is stopped; 0 means the default
	// checkpoint timeout.
	GracePeriod time.Duration
}

// UrgentGracePeriod is the grace period of a job that is preempted for an urgent job. An urgent job must start within
// 2.1 s, which covers this grace period, the stop of the preempted jobs and the start of the gang.
const UrgentGracePeriod = time.Second

// Migration is a decision to checkpoint a running job and restart it on other workers, so that the job in ForJob fits.
// The accelerators are reserved as for a Preemption. After Requeue the migrated job is scheduled like any waiting job.
type Migration struct {
	Job    model.JobID
	ForJob model.JobID
}

// Result lists the decisions of one round.
type Result struct {
	Starts      []Start
	Preemptions []Preemption
	Migrations  []Migration
	// Shortfall lists the guaranteed cells that cannot be provided at present, because of lost workers, a policy
	// change or adopted jobs. No running job is stopped because of it, but the planner makes no start that would
	// increase it.
	Shortfall []model.CellCount
	// Incomplete is true if the round ended at its limit of tried jobs. The caller carries out the decisions and calls
	// Round again at once; the queue order is not affected.
	Incomplete bool
}

// QueuePolicy selects the order of the waiting jobs.
type QueuePolicy uint8

// Queue policies.
const (
	// FairShare orders by the account's dominant share, the job's age and its estimated run time.
	FairShare QueuePolicy = iota
	// FIFO orders by the time of submission.
	FIFO
)

// PlacementPolicy selects among the placements that fit.
type PlacementPolicy uint8

// Placement policies.
const (
	// BestFit fills partly used cells first and spreads a gang over as few cells as possible.
	BestFit PlacementPolicy = iota
	// FirstFit selects the first cells that fit.
	FirstFit
)

// Options selects scheduling policies. The zero value selects the defaults.
type Options struct {
	Queue     QueuePolicy
	Placement PlacementPolicy
	// DisableReservation turns off the reservation for the first large job; it exists for benchmarks.
	DisableReservation bool
	// IgnoreRunTimes orders the jobs of an account by submission without regard to run times; it exists for benchmarks.
	IgnoreRunTimes bool
}
