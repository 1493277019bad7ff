package fleet

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// unitState is the state of a unit.
type unitState uint8

const (
	// unitBlocked waits for earlier steps or for its time.
	unitBlocked unitState = iota
	// unitPending can start.
	unitPending
	// unitActive has a run, or the remains of one.
	unitActive
	unitDone
	// unitDead does not start any more, because its job has ended.
	unitDead
)

// unit is what starts and ends as a whole: a gang, or one task of a step that is no gang.
type unit struct {
	job              *job
	occurrence, step int
	// first is the index of the first task, n the number of tasks.
	first, n int
	state    unitState
	// run is the number of the latest run, members its tasks that may still occupy an executor.
	run     workload.RunNumber
	members []*member
	// starts counts the runs of this term.
	starts int64
	// ending is set once the run is not to go on; the unit starts again when no member is left.
	ending   bool
	endingAt time.Time
	endWhy   StopReason
	// failed lists the runs that ended failed.
	failed []workload.RunNumber
	// saved is the latest checkpoint.
	saved string
	// percent is the progress of the latest run, progressAt when it last changed.
	percent    int
	progressAt time.Time
	startedAt  time.Time
	// readyAt is when the unit could start for the first time, notBefore delays the next start.
	readyAt   time.Time
	notBefore time.Time
	// avoid is the executor on which the latest run failed, avoidUntil when it may be used again.
	avoid      workload.ExecutorID
	avoidUntil time.Time
}

func (u *unit) spec() *workload.Step { return &u.job.rec.Steps[u.step] }

func (u *unit) task(index int) workload.TaskRef {
	return workload.TaskRef{Job: u.job.rec.ID, Occurrence: u.occurrence, Step: u.step, Index: index}
}

// shun keeps the next run away from an executor for a while.
func (u *unit) shun(now time.Time, id workload.ExecutorID) {
	u.avoid, u.avoidUntil = id, now.Add(avoidTime)
}

// reserved reports whether the run waits for room and has not been ordered.
func (u *unit) reserved() bool { return len(u.members) > 0 && u.members[0].state == memberReserved }

// job is an accepted job and its units.
type job struct {
	rec     *workload.Job
	arrived time.Time
	created int64
	state   workload.State
	endedAt time.Time
	// mayRun is set before the first start, and recorded as cleared, so that the next holder knows which jobs cannot run
	// anywhere.
	mayRun  bool
	cleared int64
	// begun is set once a task has started.
	begun bool
	units []*unit
	// chains is the estimated work from each step to the end of the job, longest that of the whole job.
	chains  []time.Duration
	longest time.Duration
	// left counts the units that are not done, by occurrence and step.
	left []int
	// open counts the units that are not done.
	open int
	// version counts the changes of the progress, recorded is the version that is durable.
	version, recorded int64
	// final is the version at which the job ended.
	final int64
}

func newJob(now time.Time, rec *workload.Job, created int64) *job {
	j := &job{rec: rec, arrived: now, created: created, state: workload.StateQueued, chains: chains(rec.Steps)}
	for _, d := range j.chains {
		j.longest = max(j.longest, d)
	}
	steps := len(rec.Steps)
	j.left = make([]int, rec.Runs()*steps)
	for occ := range rec.Runs() {
		for s := range rec.Steps {
			step := &rec.Steps[s]
			n, size := step.Count, 1
			if step.Gang {
				n, size = 1, step.Count
			}
			for i := range n {
				j.units = append(j.units, &unit{job: j, occurrence: occ, step: s, first: i, n: size})
			}
			j.left[occ*steps+s] = n
			j.open += n
		}
	}
	return j
}

func (j *job) dirty() {
	j.version++
	if j.state.Final() && j.final == 0 {
		j.final = j.version
	}
}

// clear reports whether it is durable that the job may run, and asks for the record if it is not.
func (j *job) clear() bool {
	if !j.mayRun {
		j.mayRun = true
		j.dirty()
		j.cleared = j.version
	}
	return j.recorded >= j.cleared
}

// unrecorded reports whether the record that the job may run is under way.
func (j *job) unrecorded() bool { return j.mayRun && j.recorded < j.cleared }

// live reports whether a run of the job may still occupy an executor.
func (j *job) live() bool {
	return slices.ContainsFunc(j.units, func(u *unit) bool { return len(u.members) > 0 })
}

// unitOf returns the unit of a task, or nil if the job has no such task.
func (j *job) unitOf(t workload.TaskRef) *unit {
	if t.Occurrence >= j.rec.Runs() || t.Step >= len(j.rec.Steps) || t.Index >= j.rec.Steps[t.Step].Count {
		return nil
	}
	i := 0
	perOccurrence := len(j.units) / j.rec.Runs()
	i += t.Occurrence * perOccurrence
	for s := range t.Step {
		if j.rec.Steps[s].Gang {
			i++
		} else {
			i += j.rec.Steps[s].Count
		}
	}
	if !j.rec.Steps[t.Step].Gang {
		i += t.Index
	}
	return j.units[i]
}

// dueAt returns when an occurrence may begin.
func (j *job) dueAt(occurrence int) time.Time {
	if j.rec.Occurrences == 0 {
		return time.Time{}
	}
	return j.rec.FirstAt.Add(time.Duration(occurrence) * j.rec.Interval)
}

// ready reports whether the steps that a unit waits for are done.
func (j *job) ready(u *unit) bool {
	steps := len(j.rec.Steps)
	for _, s := range u.spec().After {
		if j.left[u.occurrence*steps+s] > 0 {
			return false
		}
	}
	return true
}

// complete marks a unit as done.
func (j *job) complete(u *unit) {
	if u.state == unitDone {
		return
	}
	u.state = unitDone
	j.left[u.occurrence*len(j.rec.Steps)+u.step]--
	j.open--
	j.dirty()
}

// chains returns the estimated work from each step to the end of the job, in the longest order of steps.
func chains(steps []workload.Step) []time.Duration {
	rest := make([]time.Duration, len(steps))
	for s := len(steps) - 1; s >= 0; s-- {
		rest[s] += steps[s].Estimate
		for _, a := range steps[s].After {
			rest[a] = max(rest[a], rest[s])
		}
	}
	return rest
}

// progress returns what is to be recorded.
func (j *job) progress() workload.Progress {
	p := workload.Progress{State: j.state, MayRun: j.mayRun, Begun: j.begun}
	if j.state.Final() {
		return p
	}
	for _, u := range j.units {
		done := u.state == unitDone
		if !done && len(u.failed) == 0 && u.saved == "" {
			continue
		}
		sp := p.Step(u.occurrence, u.step)
		if done {
			sp.SetDone(u.first)
		} else {
			sp.Units = append(sp.Units, workload.UnitProgress{First: u.first, Failed: slices.Clone(u.failed), Saved: u.saved})
		}
	}
	return p
}

// restore applies what an earlier holder has recorded.
func (j *job) restore(p *workload.Progress) {
	j.mayRun, j.begun = p.MayRun, p.Begun
	if p.State.Final() {
		j.state = p.State
		for _, u := range j.units {
			u.state = unitDead
		}
		return
	}
	for _, sp := range p.Steps {
		for _, u := range j.units {
			if u.occurrence == sp.Occurrence && u.step == sp.Step {
				u.restore(&sp)
			}
		}
	}
	j.version = 0
}

func (u *unit) restore(sp *workload.StepProgress) {
	if sp.IsDone(u.first) && u.state != unitDone {
		u.job.complete(u)
		return
	}
	for _, up := range sp.Units {
		if up.First == u.first {
			u.failed, u.saved = slices.Clone(up.Failed), up.Saved
		}
	}
}
