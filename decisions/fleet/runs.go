package fleet

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// startRetry is the delay before a unit whose start was refused is placed again.
	startRetry = 50 * time.Millisecond
	// avoidTime is how long a unit keeps away from the executor on which it failed. Without an end a gang that needs
	// every executor would never start again.
	avoidTime = 3 * time.Second
	// brokenWait is how long the rest of a gang may take to end by itself before it is stopped.
	brokenWait = 300 * time.Millisecond
	// stopRetry is the delay before a stop without an effect is repeated.
	stopRetry = 700 * time.Millisecond
	// reserveWait is added to the stop bound for the wait for room that is being vacated.
	reserveWait = 1500 * time.Millisecond
)

// endMember applies the end of a run of one task.
func (f *Scheduler) endMember(now time.Time, m *member, how workload.Outcome, saved string) {
	m.on.remove(m)
	if m.on.closed() {
		f.rosterVersion++
	}
	f.countEnd(how)
	u := m.unit
	if u == nil {
		return
	}
	if i := slices.Index(u.members, m); i >= 0 {
		u.members = slices.Delete(u.members, i, i+1)
		f.usage.add(u, -m.load.GPU)
	}
	m.unit = nil
	if saved != "" && u.state == unitActive {
		u.saved = saved
		u.job.dirty()
	} else if m.saved != "" && u.saved == "" {
		u.saved = m.saved
	}
	switch {
	case u.state == unitDone || u.state == unitDead:
	case how == workload.Done && !u.spec().LongRunning:
		f.speed.done(now, u)
		m.on.suspicion.relieve(now)
		u.job.complete(u)
		f.settleJob(now, u.job)
	case how == workload.Erred && !u.spec().LongRunning:
		f.runFailed(now, u, m)
	default:
		f.end(now, u, StopGang)
	}
	switch {
	case u.state != unitDone || len(u.members) == 0:
	case u.reserved():
		// An earlier run was done after all.
		f.giveUpReservation(now, u)
	default:
		// The members of a gang end together; what remains is stopped if it does not end by itself.
		u.ending, u.endingAt, u.endWhy = true, now, StopCancelled
	}
	f.settleUnit(now, u)
}

func (f *Scheduler) countEnd(how workload.Outcome) {
	switch how {
	case workload.Done:
		f.count(CountDone)
	case workload.Erred:
		f.count(CountFailed)
	case workload.Stopped:
		f.count(CountStopped)
	case workload.Broken:
		f.count(CountBroken)
	case workload.Alone:
		f.count(CountAlone)
	default:
		f.count(CountLapsed)
	}
}

// runFailed ends a unit's run that failed.
func (f *Scheduler) runFailed(now time.Time, u *unit, m *member) {
	f.end(now, u, StopGang)
	f.countFailure(now, u, m.run, m.on)
}

// countFailure records a run that ended failed, and ends the job if a unit has none of its attempts left. The members of
// a gang fail together and count once.
func (f *Scheduler) countFailure(now time.Time, u *unit, run workload.RunNumber, on *executor) {
	if slices.Contains(u.failed, run) {
		return
	}
	u.failed = append(u.failed, run)
	u.shun(now, on.info.ID)
	u.job.dirty()
	if len(u.failed) == 1 {
		on.suspicion.add(now, failureWeight)
	}
	if limit := f.route(u.job).MaxAttempts; limit > 0 && len(u.failed) >= limit && !u.job.state.Final() {
		f.count(CountJobsFailed)
		f.finish(now, u.job, workload.StateFailed)
	}
}

// end begins the end of a unit's run: the unit starts again when no member is left.
func (f *Scheduler) end(now time.Time, u *unit, why StopReason) {
	if u.state == unitActive && !u.ending {
		u.ending, u.endingAt, u.endWhy = true, now, why
	}
}

// abort stops a unit's run at once.
func (f *Scheduler) abort(now time.Time, u *unit) {
	if u.reserved() {
		f.giveUpReservation(now, u)
		return
	}
	for _, m := range u.members {
		if !m.stopping {
			m.stopping, m.stopWhy = true, StopCancelled
		}
	}
}

// interrupt stops a unit's run so that it starts again elsewhere.
func (f *Scheduler) interrupt(now time.Time, u *unit, why StopReason) {
	f.end(now, u, why)
	for _, m := range u.members {
		if !m.stopping {
			m.stopping, m.stopWhy = true, why
		}
	}
}

// giveUpReservation removes a run that has not been ordered.
func (f *Scheduler) giveUpReservation(now time.Time, u *unit) {
	for _, m := range slices.Clone(u.members) {
		m.on.remove(m)
		f.usage.add(u, -m.load.GPU)
	}
	u.members = nil
	u.ending = true
	f.settleUnit(now, u)
}

// settleUnit makes a unit startable again once its run has ended.
func (f *Scheduler) settleUnit(now time.Time, u *unit) {
	if len(u.members) > 0 {
		return
	}
	u.ending = false
	if u.state == unitActive {
		u.state = unitPending
	}
}

// settleJob updates the state of a job after one of its units was done.
func (f *Scheduler) settleJob(now time.Time, j *job) {
	if j.open == 0 && !j.state.Final() {
		j.state, j.endedAt = workload.StateCompleted, now
		j.dirty()
		f.count(CountJobsCompleted)
	}
}

// route returns the configuration of a job's queue, or that of its acceptance if the queue was removed.
func (f *Scheduler) route(j *job) *workload.Route {
	if r := f.config.Route(j.rec.Queue); r != nil {
		return r
	}
	return &j.rec.Route
}

// Dirty returns up to limit jobs whose progress is not recorded, with what is to be recorded. A job is returned again
// until Recorded has been called with its version.
func (f *Scheduler) Dirty(limit int) []Record {
	var out []Record
	add := func(j *job) {
		if j.version > j.recorded && len(out) < limit {
			out = append(out, Record{Job: j.rec.ID, Version: j.version, Progress: j.progress()})
		}
	}
	for _, j := range f.open {
		add(j)
	}
	return out
}

// Record is the progress of a job that is to be made durable.
type Record struct {
	Job      workload.JobID
	Version  int64
	Progress workload.Progress
}

// Recorded applies that versions of jobs are durable.
func (f *Scheduler) Recorded(records []Record) {
	for _, r := range records {
		if j := f.jobs[r.Job]; j != nil {
			j.recorded = max(j.recorded, r.Version)
		}
	}
	for _, e := range f.order {
		if len(e.ends) > 0 {
			e.noteRecorded()
			if len(e.ends) == 0 && e.silentSince.IsZero() {
				e.lookAt = time.Time{}
			}
		}
	}
	f.open = slices.DeleteFunc(f.open, func(j *job) bool {
		return j.state.Final() && j.recorded >= j.version && !j.live()
	})
}
