package fleet

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// Action is something that the holder does on behalf of the scheduler: Start, Stop, Look, Pace or Advise.
type Action interface{ action() }

// Start starts one run of a task. The result comes back by Started, NotStarted or Unanswered.
type Start struct {
	Executor workload.ExecutorID
	Address  string
	Task     workload.TaskRef
	Run      workload.RunNumber
	Spec     string
	Saved    string
	// Ticket is the permission of the advisory service, or empty.
	Ticket string
	// Deadline is the end of the lease on the executor's clock.
	Deadline time.Duration
	// Reason tells why the task is placed there, for the log.
	Reason string
	// Waited is the time since the task could start.
	Waited time.Duration
}

// Stop stops one run of a task. The result comes back by StopAnswered.
type Stop struct {
	Executor workload.ExecutorID
	Address  string
	Task     workload.TaskRef
	Run      workload.RunNumber
	Reason   StopReason
}

// Pace lets a run work at a share of its speed.
type Pace struct {
	Executor workload.ExecutorID
	Address  string
	Task     workload.TaskRef
	Run      workload.RunNumber
	// Percent is the share, from 0 to 100.
	Percent int
}

// Advise asks which executors may run a step. The answer comes back by Advised.
type Advise struct {
	Step    workload.TaskRef
	Workers []workload.ExecutorID
}

// Look renews the lease of an executor and asks for a report, which comes back by Report or LookFailed.
type Look struct {
	Executor workload.ExecutorID
	Address  string
	// Deadline is the end of the lease on the executor's clock; 0 leaves the lease as it is.
	Deadline time.Duration
	SeenUpTo int64
	Wait     time.Duration
}

func (Start) action()  {}
func (Stop) action()   {}
func (Look) action()   {}
func (Pace) action()   {}
func (Advise) action() {}

// StopReason tells why a run is stopped.
type StopReason string

// Reasons to stop a run.
const (
	// StopCancelled ends a run of a job that has ended.
	StopCancelled StopReason = "job_ended"
	// StopPreempted makes room for a job that comes first.
	StopPreempted StopReason = "preempted"
	// StopGang ends the rest of a gang.
	StopGang StopReason = "gang_incomplete"
	// StopUnanswered closes a start without an answer.
	StopUnanswered StopReason = "start_unanswered"
	// StopOrphan ends a run that no unit of work accounts for.
	StopOrphan StopReason = "orphan"
	// StopMoved ends a run that goes on elsewhere.
	StopMoved StopReason = "moved"
	// StopStalled ends a run that makes no progress.
	StopStalled StopReason = "stalled"
)

// Counters of the scheduler.
const (
	CountStart         Count = "start"
	CountStartRefused  Count = "start_refused"
	CountStartUnknown  Count = "start_unanswered"
	CountStop          Count = "stop"
	CountPreempt       Count = "preempted_units"
	CountDone          Count = "end_done"
	CountFailed        Count = "end_failed"
	CountLapsed        Count = "end_lapsed"
	CountStopped       Count = "end_stopped"
	CountBroken        Count = "end_broken"
	CountAlone         Count = "end_alone"
	CountAdopted       Count = "runs_adopted"
	CountOrphan        Count = "runs_orphaned"
	CountMoved         Count = "units_moved"
	CountStalled       Count = "units_stalled"
	CountPace          Count = "pace"
	CountAdvise        Count = "advise"
	CountTicketRefused Count = "ticket_refused"
	CountJobsCompleted Count = "jobs_completed"
	CountJobsFailed    Count = "jobs_failed"
	CountReserveBroken Count = "reservations_given_up"
	CountExecutorLost  Count = "executors_lost"
	// CountExecutorReborn counts new lives of executors under the same identifier.
	CountExecutorReborn Count = "executors_reborn"
)
