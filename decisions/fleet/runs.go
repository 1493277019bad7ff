package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// startRetryDelay is the delay before a unit whose start was refused is placed again.
	startRetryDelay = 50 * time.Millisecond
	// avoidDuration is how long a unit avoids the executor on which it failed. Without a limit a gang that needs every
	// executor would never start again.
	avoidDuration = 3 * time.Second
	// gangEndGrace is how long the remaining tasks of a gang may take to end by themselves before they are stopped.
	gangEndGrace = 300 * time.Millisecond
	// stopRetryInterval is the shortest time between two stops of the same run.
	stopRetryInterval = 700 * time.Millisecond
	// maxStartAttempts is how often the start of a run is sent to an executor that does not answer. A repeated start of the
	// same run has no effect if the first one arrived, and the members of a gang wait for each other for some seconds.
	maxStartAttempts = 3
	// reservationMargin is the time that a reservation may wait for preempted capacity in addition to the maximum stop
	// time.
	reservationMargin = 1500 * time.Millisecond
)

// endRun applies the end of a task run to its executor, its unit and its job.
func (f *Scheduler) endRun(now time.Time, r *taskRun, outcome workload.Outcome, checkpoint string) {
	r.executor.remove(r)
	if r.executor.closed() {
		f.rosterVersion++
	}
	f.countOutcome(outcome)
	u := r.unit
	if u == nil {
		return
	}
	if i := slices.Index(u.taskRuns, r); i >= 0 {
		u.taskRuns = slices.Delete(u.taskRuns, i, i+1)
	}
	r.unit = nil
	if r.state == taskRunning {
		u.leaveHost(r.executor)
	}
	f.learnFromEnd(now, u, r, outcome)
	if checkpoint != "" && u.state == unitActive {
		u.checkpoint = checkpoint
		u.job.markDirty()
	} else if r.checkpoint != "" && u.checkpoint == "" {
		u.checkpoint = r.checkpoint
	}
	switch {
	case u.state == unitDone || u.state == unitAbandoned:
	case outcome == workload.Done && !u.spec().LongRunning:
		f.runTimes.observe(now, u)
		r.executor.suspicion.recordSuccess(now)
		u.job.completeUnit(u)
		f.completeIfDone(now, u.job)
	case outcome == workload.Failed && !u.spec().LongRunning:
		f.handleFailure(now, u, r)
	default:
		f.markEnding(now, u, StopGangIncomplete)
	}
	switch {
	case u.state != unitDone || len(u.taskRuns) == 0:
	case u.reserved():
		// An earlier run has completed the unit, so that the reserved run is not needed.
		f.cancelReservation(now, u)
	default:
		// The tasks of a gang end together; those that do not end by themselves are stopped.
		u.ending, u.endingSince, u.endReason = true, now, StopGangDone
	}
	f.resetIfEnded(now, u)
}

// leaveHost records the executor on which a run of the unit has ended that had begun. The unit is not to come back there if
// it was stopped for other work.
func (u *unit) leaveHost(e *executor) {
	u.lastHost = e
	if u.ending && u.endReason.forOtherWork() {
		u.lastHost = nil
	}
}

func (f *Scheduler) countOutcome(outcome workload.Outcome) {
	switch outcome {
	case workload.Done:
		f.count(CountDone)
	case workload.Failed:
		f.count(CountFailed)
	case workload.Stopped:
		f.count(CountStopped)
	case workload.GangBroken:
		f.count(CountGangBroken)
	case workload.GangNotStarted:
		f.count(CountGangTimeout)
	default:
		f.count(CountLeaseExpired)
	}
}

// handleFailure marks the run of a unit as ending after the failure of one of its tasks.
func (f *Scheduler) handleFailure(now time.Time, u *unit, r *taskRun) {
	f.markEnding(now, u, StopGangIncomplete)
	f.recordFailure(now, u, r.run, r.executor)
}

// recordFailure records a failed run of a unit, and ends the job if the unit has no attempts left. The tasks of a gang
// fail together and count once.
func (f *Scheduler) recordFailure(now time.Time, u *unit, run workload.RunNumber, e *executor) {
	if u.spec().LongRunning {
		// Tasks that last have no limit of attempts.
		return
	}
	if slices.Contains(u.failedRuns, run) || u.earlierFailures > 0 && run < slices.Min(u.failedRuns) {
		return
	}
	u.failedRuns = append(u.failedRuns, run)
	u.trimFailures()
	u.avoid(now, e.info.ID)
	u.job.markDirty()
	if u.failures() == 1 {
		e.suspicion.add(now, failureWeight)
	}
	if limit := f.route(u.job).MaxAttempts; limit > 0 && u.failures() >= limit && !u.job.state.Final() {
		f.count(CountJobsFailed)
		f.finish(now, u.job, workload.StateFailed)
	}
}

// failures returns the number of failed runs of a unit.
func (u *unit) failures() int { return len(u.failedRuns) + u.earlierFailures }

// trimFailures limits the listed failed runs to those that the record of the job lists. A later configuration may allow
// more attempts than the one at the acceptance.
func (u *unit) trimFailures() {
	for len(u.failedRuns) > u.job.rec.ListedFailures() {
		first := slices.Min(u.failedRuns)
		u.failedRuns = slices.DeleteFunc(u.failedRuns, func(r workload.RunNumber) bool { return r == first })
		u.earlierFailures = min(u.earlierFailures+1, workload.MaxEarlierFailures)
	}
}

// markEnding marks the run of a unit as ending. The unit can start again when none of its task runs is left.
func (f *Scheduler) markEnding(now time.Time, u *unit, reason StopReason) {
	if u.state == unitActive && !u.ending {
		u.ending, u.endingSince, u.endReason = true, now, reason
	}
}

// abort stops the run of a unit whose job has ended.
func (f *Scheduler) abort(now time.Time, u *unit) {
	if u.reserved() {
		f.cancelReservation(now, u)
		return
	}
	for _, r := range u.taskRuns {
		if !r.stopping {
			r.stopping, r.stopReason = true, StopJobEnded
		}
	}
}

// interrupt stops the run of a unit, so that the unit starts again.
func (f *Scheduler) interrupt(now time.Time, u *unit, reason StopReason) {
	f.markEnding(now, u, reason)
	for _, r := range u.taskRuns {
		if !r.stopping {
			r.stopping, r.stopReason = true, reason
		}
	}
}

// cancelReservation removes a run of which no start has been sent.
func (f *Scheduler) cancelReservation(now time.Time, u *unit) {
	for _, r := range slices.Clone(u.taskRuns) {
		r.executor.remove(r)
	}
	u.taskRuns = nil
	u.ending = true
	f.resetIfEnded(now, u)
}

// resetIfEnded makes an active unit pending again once its run has ended.
func (f *Scheduler) resetIfEnded(now time.Time, u *unit) {
	if len(u.taskRuns) > 0 {
		return
	}
	u.ending = false
	if u.state == unitActive {
		u.state, u.pendingSince = unitPending, now
	}
	u.releaseIfEnded()
}

// releaseIfEnded drops the state of a unit that does not start any more and has no runs.
func (u *unit) releaseIfEnded() {
	if len(u.taskRuns) == 0 && (u.state == unitDone || u.state == unitAbandoned) {
		u.group.release(u)
	}
}

// completeIfDone completes a job once all of its units are done.
func (f *Scheduler) completeIfDone(now time.Time, j *job) {
	if j.doneOccurrences == j.rec.OccurrenceCount() && !j.state.Final() {
		j.state, j.endedAt = workload.StateCompleted, now
		j.markDirty()
		f.count(CountJobsCompleted)
	}
}

// route returns the present configuration of a job's queue, or that at the job's acceptance if the queue was removed.
func (f *Scheduler) route(j *job) *workload.Route {
	if r := f.config.Route(j.rec.Queue); r != nil {
		return r
	}
	return &j.rec.Route
}

// UnrecordedProgress returns the progress of up to limit jobs that is not durable yet, first that of the jobs that were
// not recorded for longest. A job is returned again until MarkRecorded has been called with its version.
func (f *Scheduler) UnrecordedProgress(limit int) []Record {
	var jobs []*job
	for _, j := range f.openJobs {
		if j.version > j.recordedVersion {
			jobs = append(jobs, j)
		}
	}
	// Without this order, jobs whose progress changes all the time could keep others from being recorded.
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.recordedAt, b.recordedAt) })
	var out []Record
	for _, j := range jobs[:min(limit, len(jobs))] {
		out = append(out, Record{Job: j.rec.ID, Version: j.version, Progress: j.progress()})
	}
	return out
}

// FailUnrecordable ends a job as failed because the store does not take its progress. It reports whether the job had not
// ended.
func (f *Scheduler) FailUnrecordable(now time.Time, id workload.JobID) bool {
	j, ok := f.jobs[id]
	if !ok || j.state.Final() {
		return false
	}
	f.count(CountJobsUnrecordable)
	f.finish(now, j, workload.StateFailed)
	return true
}

// Record is a version of the progress of a job that is to be made durable.
type Record struct {
	Job      workload.JobID
	Version  int64
	Progress workload.Progress
}

// MarkRecorded marks records as durable.
func (f *Scheduler) MarkRecorded(records []Record) {
	f.recordings++
	for _, r := range records {
		if j := f.jobs[r.Job]; j != nil {
			j.recordedVersion, j.recordedAt = max(j.recordedVersion, r.Version), f.recordings
		}
	}
	for _, e := range f.sortedExecutors {
		if len(e.pendingEnds) > 0 {
			e.advanceDurableEnd()
			if len(e.pendingEnds) == 0 && e.unresponsiveSince.IsZero() {
				e.nextPollAt = time.Time{}
			}
		}
	}
	f.openJobs = slices.DeleteFunc(f.openJobs, func(j *job) bool {
		ended := j.state.Final() && j.recordedVersion >= j.version && !j.hasRuns()
		if ended {
			f.compact(j)
		}
		return ended
	})
}
