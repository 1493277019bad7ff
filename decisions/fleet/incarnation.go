package fleet

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// The start time of a process comes from the clock of its machine, which may be set back between two starts. It tells
// processes apart, but their order follows from the polls: an executor has one poll at a time, so that a poll that was sent
// after the report of a process is answered by that process or a later one.

// applyIncarnation finds out whether a report comes from a process other than that of the last report, and resets the state
// of the executor if it does. It reports false for a late answer of an earlier process.
func (f *Scheduler) applyIncarnation(now, sentAt time.Time, e *executor, r *workload.Report) bool {
	differs := r.StartedAtMS != 0 && e.incarnation != 0 && r.StartedAtMS != e.incarnation
	switch {
	case differs && r.StartedAtMS < e.incarnation && sentAt.Before(e.incarnationSeenAt):
		return false
	case differs:
		f.handleRestart(now, e, r.StartedAtMS, RestartStartTime, r.Clock)
	case r.Clock > 0 && r.Clock < e.reportedClock && !sentAt.Before(e.reportedAt):
		// A process that was started with an equal start time shows a lower clock, which never runs backwards.
		f.handleRestart(now, e, r.StartedAtMS, RestartClock, r.Clock)
	}
	if r.StartedAtMS != 0 && (differs || e.incarnation == 0) {
		e.incarnation, e.incarnationSeenAt = r.StartedAtMS, now
	}
	e.previousReportAt, e.reportedAt, e.reportedClock = e.reportedAt, now, r.Clock
	return true
}
