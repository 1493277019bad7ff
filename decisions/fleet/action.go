package fleet

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// Action is an action that the holder carries out for the scheduler: Start, Stop, Look, Pace or Advise.
type Action interface{ action() }

// Start starts one run of a task. The result is applied by Started or NotStarted.
type Start struct {
	Executor workload.ExecutorID
	Address  string
	Task     workload.TaskRef
	Run      workload.RunNumber
	Spec     string
	Saved    string
	// Ticket is the ticket that the advisory service issued for this start, or empty.
	Ticket string
	// Deadline is the end of the lease on the executor's clock.
	Deadline time.Duration
	// Reason is why the task is placed there, for the log.
	Reason string
	// Waited is the time since the task became startable.
	Waited time.Duration
}

// Stop stops one run of a task. The result is applied by StopAnswered.
type Stop struct {
	Executor workload.ExecutorID
	Address  string
	Task     workload.TaskRef
	Run      workload.RunNumber
	Reason   StopReason
}

// Pace throttles a run to a share of its full speed.
type Pace struct {
	Executor workload.ExecutorID
	Address  string
	Task     workload.TaskRef
	Run      workload.RunNumber
	// Percent is the share of the full speed, from 0 to 100.
	Percent int
}

// Advise asks the advisory service which executors may run a step. The answer is applied by Advised.
type Advise struct {
	Step    workload.TaskRef
	Workers []workload.ExecutorID
}

// Look polls an executor: it renews its lease and asks for a report. The result is applied by Report or LookFailed.
type Look struct {
	Executor workload.ExecutorID
	Address  string
	// Deadline is the end of the lease on the executor's clock; 0 leaves the lease as it is.
	Deadline time.Duration
	// SeenUpTo acknowledges the ends of runs up to this number, so that the executor can forget them.
	SeenUpTo int64
	// Wait is how long the executor may delay its answer until a run ends.
	Wait time.Duration
}

func (Start) action()  {}
func (Stop) action()   {}
func (Look) action()   {}
func (Pace) action()   {}
func (Advise) action() {}

// StopReason is why a run is stopped.
type StopReason string

// Reasons to stop a run.
const (
	// StopJobEnded ends a run of a job that has ended.
	StopJobEnded StopReason = "job_ended"
	// StopPreempted frees capacity for a job of a higher class.
	StopPreempted StopReason = "preempted"
	// StopGangIncomplete ends the remaining tasks of a gang that lost a task.
	StopGangIncomplete StopReason = "gang_incomplete"
	// StopStartUnanswered cancels a start whose outcome is unknown.
	StopStartUnanswered StopReason = "start_unanswered"
	// StopOrphan ends a run that no unit of a job expects.
	StopOrphan StopReason = "orphan"
	// StopMoved ends a run on an executor that leaves or is evacuated, so that it restarts on another.
	StopMoved StopReason = "moved"
	// StopStalled ends a run that makes no progress.
	StopStalled StopReason = "stalled"
)

// Counters of the scheduler.
const (
	CountStart                Count = "start"
	CountStartRefused         Count = "start_refused"
	CountStartUnanswered      Count = "start_unanswered"
	CountStop                 Count = "stop"
	CountPreempted            Count = "preempted_units"
	CountDone                 Count = "end_done"
	CountFailed               Count = "end_failed"
	CountLeaseExpired         Count = "end_lapsed"
	CountStopped              Count = "end_stopped"
	CountGangBroken           Count = "end_broken"
	CountGangTimeout          Count = "end_alone"
	CountAdopted              Count = "runs_adopted"
	CountOrphan               Count = "runs_orphaned"
	CountMoved                Count = "units_moved"
	CountStalled              Count = "units_stalled"
	CountThrottle             Count = "pace"
	CountAdviceQuery          Count = "advise"
	CountTicketRefused        Count = "ticket_refused"
	CountJobsCompleted        Count = "jobs_completed"
	CountJobsFailed           Count = "jobs_failed"
	CountReservationCancelled Count = "reservations_given_up"
	CountExecutorLost         Count = "executors_lost"
	// CountExecutorRestarted counts restarts of executors under the same identifier.
	CountExecutorRestarted Count = "executors_reborn"
)
