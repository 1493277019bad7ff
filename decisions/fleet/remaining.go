package fleet

import "time"

// minProgressSpan is the least progress in percent over which the pace of a run is measured, because reports round the
// progress to whole percent.
const minProgressSpan = 5

// progressMark is the progress of a run in percent at a time, from which its pace is measured.
type progressMark struct {
	percent int
	at      time.Time
}

// markProgress begins the measurement of a run's pace at its first report. A run that starts without a checkpoint has
// begun it at its start.
func (u *unit) markProgress(now time.Time, percent int) {
	if u.progressStart.at.IsZero() {
		u.progressStart = progressMark{percent, now}
	}
}

// remaining returns the expected time until the run of a unit ends by itself: from the pace of its progress or, before
// it has reported enough, from its expected run time. It reports false if neither is known, as for a long-running task
// or for a run that has exceeded its expected run time without a report.
func (f *Scheduler) remaining(now time.Time, u *unit) (expected time.Duration, known bool) {
	if u.state != unitActive || u.reserved() || u.spec().LongRunning {
		return 0, false
	}
	if pace := u.progressPerSecond(); pace > 0 {
		left := time.Duration(float64(fullProgress-u.progress) / pace * float64(time.Second))
		return max(0, left-now.Sub(u.progressAt)), true
	}
	if f.learned != nil {
		if u.learned == nil {
			return 0, false
		}
		return f.learned.Remaining(u.job.query(u.step), f.slowestPace(u), now.Sub(u.startedAt))
	}
	left := f.expectedRunTime(u) - now.Sub(u.startedAt)
	return max(0, left), left > 0 && u.freshRun()
}

// freshRun reports whether the present run was started by this holder without a checkpoint.
func (u *unit) freshRun() bool {
	return u.progressStart.percent == 0 && u.progressStart.at.Equal(u.startedAt)
}

// progressPerSecond returns the pace of the unit's run in percent per second; 0 if it is not known.
func (u *unit) progressPerSecond() float64 {
	span, elapsed := u.progress-u.progressStart.percent, u.progressAt.Sub(u.progressStart.at)
	if u.progressStart.at.IsZero() || span < minProgressSpan || elapsed <= 0 {
		return 0
	}
	return float64(span) / elapsed.Seconds()
}
