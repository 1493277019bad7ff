package fleet

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// RestartEvidence is what showed that an executor has restarted.
type RestartEvidence string

// Evidence of a restart.
const (
	// RestartStartTime means that a report names another start time.
	RestartStartTime RestartEvidence = "start_time"
	// RestartClock means that an answer shows a clock that is behind earlier readings.
	RestartClock RestartEvidence = "clock"
)

// RestartNotice reports that an executor has restarted under its identifier.
type RestartNotice struct {
	Executor workload.ExecutorID
	Address  string
	Evidence RestartEvidence
	// EarlierClock is a lower bound of the clock of the earlier process, Clock the reading of the present one.
	EarlierClock, Clock time.Duration
	// Runs is the number of runs that were expected on the executor.
	Runs int
}

// StaleDeadlineNotice reports a call that reached a later process of its executor than the one on whose clock its
// deadline was counted.
type StaleDeadlineNotice struct {
	Executor workload.ExecutorID
	// Order names the call.
	Order string
	// Clock is the executor's clock at the answer, Ahead the time from then to the deadline.
	Clock, Ahead time.Duration
}

func (RestartNotice) action()       {}
func (StaleDeadlineNotice) action() {}

// noteDeadline reports a deadline that is too far ahead of the executor's clock to be counted on it.
func (f *Scheduler) noteDeadline(e *executor, order string, deadline, clock time.Duration) {
	if deadline <= 0 || clock <= 0 || deadline-clock <= f.settings.Lease+maxAnswerDelay {
		return
	}
	f.count(CountStaleDeadline)
	f.actions = append(f.actions, StaleDeadlineNotice{Executor: e.info.ID, Order: order, Clock: clock, Ahead: deadline - clock})
}
