package fleet

import (
	"time"
)

const (
	// stallFactor and stallFloor bound the time without progress after which a run counts as stalled: that many times
	// the time in which it should have advanced by stallPercent, and never less than the floor.
	stallFactor  = 3.0
	stallPercent = 0.15
	stallFloor   = 2500 * time.Millisecond
)

// leaveDraining stops runs with checkpoints on executors that leave before the runs could end, so that they go on
// elsewhere.
func (f *Scheduler) leaveDraining(now time.Time) {
	for _, e := range f.order {
		if !e.info.Draining && !f.vacated[e.info.ID] {
			continue
		}
		for _, m := range e.members {
			u := m.unit
			if u == nil || u.ending || u.state != unitActive || m.state != memberRunning || !f.mayInterrupt(u) {
				continue
			}
			// A long-running task has no end to wait for; any other goes on from its checkpoint.
			if u.spec().LongRunning || u.spec().Checkpoint && f.remaining(now, u) > e.info.Remaining {
				f.count(CountMoved)
				f.interrupt(now, u, StopMoved)
			}
		}
	}
}

// remaining returns the time that a run is expected to go on, by its progress where it shows any.
func (f *Scheduler) remaining(now time.Time, u *unit) time.Duration {
	elapsed := now.Sub(u.startedAt)
	if u.percent > 0 && u.saved == "" {
		return time.Duration(float64(elapsed) * float64(100-u.percent) / float64(u.percent))
	}
	return max(0, f.speed.expected(u.job.rec.Queue, u.spec().Estimate)-elapsed)
}

// restartStalled stops runs that make no progress, so that they start on another executor.
func (f *Scheduler) restartStalled(now time.Time) {
	for _, u := range f.active {
		if u.state != unitActive || u.ending || u.reserved() || u.spec().LongRunning || len(u.members) == 0 {
			continue
		}
		if u.members[0].state != memberRunning || !u.members[0].on.silentSince.IsZero() {
			continue
		}
		est := f.speed.expected(u.job.rec.Queue, u.spec().Estimate)
		bound := max(stallFloor, time.Duration(stallFactor*stallPercent*f.settings.SlowFactor*float64(est)))
		if now.Sub(u.progressAt) < bound+f.settings.LookWait {
			continue
		}
		f.count(CountStalled)
		for _, m := range u.members {
			if u.n == 1 || m.percent < u.percent {
				m.on.suspicion.add(now, stalledWeight)
			}
		}
		u.shun(now, u.members[0].on.info.ID)
		f.interrupt(now, u, StopStalled)
	}
}
