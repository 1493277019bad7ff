package fleet

import (
	"time"
)

const (
	// stallFactor, stallProgressShare and minStallTime determine the time without progress after which a run counts as
	// stalled: stallFactor times the time in which it should have progressed by stallProgressShare, and never less than
	// minStallTime.
	stallFactor        = 3.0
	stallProgressShare = 0.15
	minStallTime       = 2500 * time.Millisecond
	// Each stalled run doubles the time for the next one of its unit, at most maxStallDoublings times: the estimate may be far too
	// short, and the task would never end.
	maxStallDoublings = 10
)

// evacuateDraining stops runs on draining and evacuated executors, so that they restart elsewhere: long-running tasks,
// and tasks with checkpoints that are expected to end only after the executor has left.
func (f *Scheduler) evacuateDraining(now time.Time) {
	for _, e := range f.sortedExecutors {
		if !e.info.Draining && !f.evacuating[e.info.ID] {
			continue
		}
		for _, r := range e.taskRuns {
			u := r.unit
			if u == nil || u.ending || u.state != unitActive || r.state != taskRunning || !f.mayInterrupt(u) {
				continue
			}
			// A long-running task has no end to wait for; any other resumes from its checkpoint.
			if u.spec().LongRunning || u.spec().Checkpoint && f.remainingRunTime(now, u) > e.info.DrainRemaining {
				f.count(CountMoved)
				f.interrupt(now, u, StopMoved)
			}
		}
	}
}

// remainingRunTime returns the expected remaining time of a run: from its progress if it has reported any, otherwise
// from its estimate.
func (f *Scheduler) remainingRunTime(now time.Time, u *unit) time.Duration {
	if f.learned != nil {
		if left, known := f.remaining(now, u); known {
			return left
		}
	}
	elapsed := now.Sub(u.startedAt)
	if u.progress > 0 && u.checkpoint == "" {
		return time.Duration(float64(elapsed) * float64(100-u.progress) / float64(u.progress))
	}
	return max(0, f.expectedRunTime(u)-elapsed)
}

// restartStalled stops runs that make no progress, so that they restart on another executor.
func (f *Scheduler) restartStalled(now time.Time) {
	for _, u := range f.activeUnits {
		if u.state != unitActive || u.ending || u.reserved() || u.spec().LongRunning || len(u.taskRuns) == 0 {
			continue
		}
		if u.taskRuns[0].state != taskRunning || !u.taskRuns[0].executor.unresponsiveSince.IsZero() {
			continue
		}
		// Only a report shows that there was no progress. Time without reports, such as a pause of this process, does not.
		// Most runs have progressed lately, and the longest run time is costly to compute.
		without := u.taskRuns[0].executor.reportedAt.Sub(u.progressAt) - f.settings.PollWait
		if without < minStallTime {
			continue
		}
		est := f.longestRunTime(u)
		bound := max(minStallTime, time.Duration(stallFactor*stallProgressShare*f.settings.RemoteSlowdown*float64(est)))
		if without < bound<<min(u.stalls, maxStallDoublings) {
			continue
		}
		f.count(CountStalled)
		u.stalls++
		for _, r := range u.taskRuns {
			if u.size == 1 || r.progress < u.progress {
				r.executor.suspicion.add(now, stalledWeight)
			}
		}
		u.avoid(now, u.taskRuns[0].executor.info.ID)
		f.interrupt(now, u, StopStalled)
	}
}
