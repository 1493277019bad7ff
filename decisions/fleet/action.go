package fleet

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// Action is an action that the holder carries out for the scheduler: Start, Stop, Poll, Throttle, AdviceQuery,
// WaitNotice, LossNotice, RestartNotice or StaleDeadlineNotice.
type Action interface{ action() }

// Start starts one run of a task. The result is applied by Started or StartFailed.
type Start struct {
	Executor   workload.ExecutorID
	Address    string
	Task       workload.TaskRef
	Run        workload.RunNumber
	Spec       string
	Checkpoint string
	// Ticket is the ticket that the advisory service issued for this start, or empty.
	Ticket string
	// Deadline is the end of the lease on the executor's clock.
	Deadline time.Duration
	// Reason is why the task is placed there, for the log.
	Reason string
	// Waited is the time since the task became startable, WaitedFor the last reason why it was not started.
	Waited    time.Duration
	WaitedFor WaitReason
}

// Stop stops one run of a task. The result is applied by StopAnswered.
type Stop struct {
	Executor workload.ExecutorID
	Address  string
	Task     workload.TaskRef
	Run      workload.RunNumber
	Reason   StopReason
}

// Throttle throttles a run to a share of its full speed.
type Throttle struct {
	Executor workload.ExecutorID
	Address  string
	Task     workload.TaskRef
	Run      workload.RunNumber
	// SpeedPercent is the share of the full speed, from 0 to 100.
	SpeedPercent int
}

// AdviceQuery asks the advisory service which executors may run a step. The answer is applied by AdviceReceived.
type AdviceQuery struct {
	Step      workload.TaskRef
	Queue     workload.Queue
	Executors []workload.ExecutorID
	// Timeout is the time after which no answer is expected any more.
	Timeout time.Duration
}

// Poll polls an executor: it renews its lease and asks for a report. The result is applied by Report or PollFailed.
type Poll struct {
	Executor workload.ExecutorID
	Address  string
	// Deadline is the end of the lease on the executor's clock; 0 leaves the lease as it is.
	Deadline time.Duration
	// AckedThrough acknowledges the ends of runs up to this number, so that the executor can forget them.
	AckedThrough int64
	// Wait is how long the executor may delay its answer until a run ends.
	Wait time.Duration
	// AnyConnection is set if the poll may renew the lease and acknowledge ends on a connection that has not been answered yet.
	AnyConnection bool
	// QueryOnly is set with the result if the poll did neither, because it went out on such a connection.
	QueryOnly bool
	// process is the count of the executor's processes that were known when the poll was planned.
	process int64
}

func (Start) action()       {}
func (Stop) action()        {}
func (Poll) action()        {}
func (Throttle) action()    {}
func (AdviceQuery) action() {}

// StopReason is why a run is stopped.
type StopReason string

// Reasons to stop a run.
const (
	// StopJobEnded ends a run of a job that has ended.
	StopJobEnded StopReason = "job_ended"
	// StopGangDone ends the remaining tasks of a gang whose run is done.
	StopGangDone StopReason = "gang_done"
	// StopPreempted frees capacity for a job of a higher class.
	StopPreempted StopReason = "preempted"
	// StopRelocated ends a run within the guarantee of its account that fits elsewhere, for guaranteed work that does not.
	StopRelocated StopReason = "relocated"
	// StopGangIncomplete ends the remaining tasks of a gang that lost a task.
	StopGangIncomplete StopReason = "gang_incomplete"
	// StopStartUnanswered cancels a start whose outcome is unknown.
	StopStartUnanswered StopReason = "start_unanswered"
	// StopOrphan ends a run that no unit of a job expects.
	StopOrphan StopReason = "orphan"
	// StopUnlisted ends a run that an incomplete report does not show.
	StopUnlisted StopReason = "unlisted"
	// StopMoved ends a run on an executor that leaves or is evacuated, so that it restarts on another.
	StopMoved StopReason = "moved"
	// StopAccountLimit frees room below the limit of the account for its guaranteed work.
	StopAccountLimit StopReason = "account_limit"
	// StopStalled ends a run that makes no progress.
	StopStalled StopReason = "stalled"
)

// forOtherWork reports whether a run is stopped so that other work can start.
func (r StopReason) forOtherWork() bool {
	return r == StopPreempted || r == StopRelocated || r == StopAccountLimit
}

// Counters of the scheduler.
const (
	CountStart           Counter = "start"
	CountStartRefused    Counter = "start_refused"
	CountStartUnanswered Counter = "start_unanswered"
	CountStartRepeated   Counter = "start_repeated"
	CountStop            Counter = "stop"
	CountPreempted       Counter = "preempted_units"
	CountDone            Counter = "end_done"
	CountFailed          Counter = "end_failed"
	CountLeaseExpired    Counter = "end_lapsed"
	CountStopped         Counter = "end_stopped"
	CountGangBroken      Counter = "end_broken"
	CountGangTimeout     Counter = "end_alone"
	CountAdopted         Counter = "runs_adopted"
	CountOrphan          Counter = "runs_orphaned"
	CountMoved           Counter = "units_moved"
	CountStalled         Counter = "units_stalled"
	CountThrottle        Counter = "pace"
	CountAdviceQuery     Counter = "advise"
	CountTicketRefused   Counter = "ticket_refused"
	CountJobsCompleted   Counter = "jobs_completed"
	CountJobsFailed      Counter = "jobs_failed"
	// CountAwaited counts preemptions that wait for units that end by themselves, CountAwaitFailed those whose wait was in
	// vain.
	CountAwaited     Counter = "preemptions_awaiting_ends"
	CountAwaitFailed Counter = "preemptions_awaited_in_vain"
	// CountJobsUnrecordable counts the jobs that have ended because the store does not take their progress.
	CountJobsUnrecordable     Counter = "jobs_unrecordable"
	CountReservationCancelled Counter = "reservations_given_up"
	CountExecutorLost         Counter = "executors_lost"
	// CountRelocated counts guaranteed units that were stopped because they fit elsewhere.
	CountRelocated Counter = "relocated_units"
	// CountWait counts jobs that have waited for long, by reason.
	CountWait Counter = "jobs_waited"
	// CountGuaranteedWait counts those of them that wait within the guarantee of their account.
	CountGuaranteedWait Counter = "guaranteed_jobs_waited"
	// CountLimitVacated counts units that were stopped to bring their account below its limit.
	CountLimitVacated Counter = "limit_vacated_units"
	// CountExcess counts jobs beyond the rate of their account.
	CountExcess Counter = "jobs_excess"
	// CountExecutorRestarted counts restarts of executors under the same identifier.
	CountExecutorRestarted Counter = "executors_reborn"
	// CountStaleDeadline counts calls that reached a later process of their executor than the one on whose clock their
	// deadline was counted.
	CountStaleDeadline Counter = "stale_deadlines"
)
