package fleet

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/backlog"
)

// unitState is the state of a unit.
type unitState uint8

const (
	// unitBlocked waits for earlier steps.
	unitBlocked unitState = iota
	// unitPending can start.
	unitPending
	// unitActive has a run, of which tasks may remain.
	unitActive
	unitDone
	// unitAbandoned does not start any more, because its job has ended.
	unitAbandoned
)

// unit is the unit of scheduling, which starts and ends as a whole: a gang, or a single task of a step without a gang.
type unit struct {
	job *job
	// group holds the units of the same step and occurrence.
	group            *stepUnits
	occurrence, step int
	// firstTask is the index of the first task, size the number of tasks.
	firstTask, size int
	state           unitState
	// run is the number of the latest run, taskRuns its task runs that may still occupy an executor.
	run      workload.RunNumber
	taskRuns []*taskRun
	// starts counts the runs of this term, including reservations that were cancelled before a start was sent.
	starts int64
	// ending is set once the run is to end. The unit can start again when taskRuns is empty.
	ending      bool
	endingSince time.Time
	endReason   StopReason
	// failedRuns lists the latest runs that have failed, earlierFailures counts those before them.
	failedRuns      []workload.RunNumber
	earlierFailures int
	// checkpoint is the latest checkpoint.
	checkpoint string
	// progress is the progress of the latest run in percent, progressAt when it last changed.
	progress   int
	progressAt time.Time
	startedAt  time.Time
	// progressStart is the progress from which the pace of the latest run is measured; zero before it is known.
	progressStart progressMark
	// lastHost is the executor on which the unit last ran, nil if it has not run or was stopped for other work.
	lastHost *executor
	// stalls counts the runs that were stopped as stalled.
	stalls int
	// learned is the latest run if run times are learned from it, otherwise nil.
	learned *learnedRun
	// readyAt is when the unit first became startable, pendingSince when it last did: after its latest run has ended.
	// notBefore is the earliest time of the next start.
	readyAt, pendingSince time.Time
	notBefore             time.Time
	// latestStart is the latest start with which the job can meet its objective, as of the latest attempt to place the unit.
	latestStart time.Time
	// adviceOpen is set if advice was open on executors with free capacity in the last attempt to place the unit.
	adviceOpen bool
	// relocatedAt is when the unit was last stopped because it fits elsewhere.
	relocatedAt time.Time
	// waitsFor is why the unit was not started in the last planning pass.
	waitsFor WaitReason
	// awaited lists the runs of other units whose own end the reservation of the unit waits for, until awaitUntil.
	// awaitFailed is set once such a wait was in vain.
	awaited     []awaitedRun
	awaitUntil  time.Time
	awaitFailed bool
	// avoidedExecutor is the executor on which a run last failed, stalled or was refused; the unit does not start there
	// before avoidUntil.
	avoidedExecutor workload.ExecutorID
	avoidUntil      time.Time
}

func (u *unit) spec() *workload.Step { return &u.job.rec.Steps[u.step] }

func (u *unit) task(index int) workload.TaskRef {
	return workload.TaskRef{Job: u.job.rec.ID, Occurrence: u.occurrence, Step: u.step, Index: index}
}

// avoid keeps the unit off an executor for avoidDuration.
func (u *unit) avoid(now time.Time, id workload.ExecutorID) {
	u.avoidedExecutor, u.avoidUntil = id, now.Add(avoidDuration)
}

// reserved reports whether the unit's run has reserved capacity and no start has been sent.
func (u *unit) reserved() bool { return len(u.taskRuns) > 0 && u.taskRuns[0].state == taskReserved }

// job is an accepted job and its units.
type job struct {
	rec             *workload.Job
	arrivedAt       time.Time
	createdRevision int64
	state           workload.State
	endedAt         time.Time
	// mayRun is set and recorded before the first start, so that the next holder knows which jobs cannot be running
	// anywhere. mayRunVersion is the version that records it.
	mayRun        bool
	mayRunVersion int64
	// inherited is set if an earlier holder may have started tasks of the job.
	inherited bool
	// excess is set if the job exceeds the rate of its account.
	excess bool
	// begun is set once a task has started.
	begun bool
	// waitReported is set once a WaitNotice was given.
	waitReported bool
	// occurrences lists the occurrences with a state of their own. Those from nextOccurrence on that are not in the list have
	// not begun, the earlier ones that are not in it are done. doneOccurrences counts all that are done.
	occurrences     []*occurrence
	nextOccurrence  int
	doneOccurrences int
	// advice holds the answers of the advisory service for the steps of open occurrences.
	advice map[stepKey]*advice
	// criticalPaths is the estimated time from the start of each step to the end of the job, longestPath that of the job.
	criticalPaths []time.Duration
	longestPath   time.Duration
	// expectedPaths holds the learned counterparts of criticalPaths and longestPath.
	expectedPaths expectedPaths
	// version counts the changes of the progress, recordedVersion is the latest version that is durable.
	version, recordedVersion int64
	// finalVersion is the version at which the job ended; zero before.
	finalVersion int64
	// bytes is what the job has added to Scheduler.accepted.
	bytes int64
	// recordedAt is the number of the latest call of MarkRecorded that has recorded a version of the job; zero before.
	recordedAt int64
}

func newJob(now time.Time, rec *workload.Job, createdRevision int64) *job {
	j := &job{rec: rec, arrivedAt: now, createdRevision: createdRevision, state: workload.StateQueued, criticalPaths: criticalPaths(rec.Steps, func(s int) time.Duration { return rec.Steps[s].Estimate })}
	for _, d := range j.criticalPaths {
		j.longestPath = max(j.longestPath, d)
	}
	return j
}

func (j *job) markDirty() {
	j.version++
	if j.state.Final() && j.finalVersion == 0 {
		j.finalVersion = j.version
	}
}

// requestMayRun reports whether it is durable that the job may run, and marks the job for recording if it is not.
func (j *job) requestMayRun() bool {
	if !j.mayRun {
		j.mayRun = true
		j.markDirty()
		j.mayRunVersion = j.version
	}
	return j.recordedVersion >= j.mayRunVersion
}

// mayRunPending reports whether the record that the job may run was requested and is not durable yet.
func (j *job) mayRunPending() bool { return j.mayRun && j.recordedVersion < j.mayRunVersion }

// hasRuns reports whether a run of the job may still occupy an executor.
func (j *job) hasRuns() bool {
	for _, o := range j.occurrences {
		for s := range o.steps {
			if slices.ContainsFunc(o.steps[s].units, func(u *unit) bool { return len(u.taskRuns) > 0 }) {
				return true
			}
		}
	}
	return false
}

// compact drops what is only needed to start tasks, because a finished job is kept until its retention ends.
func (f *Scheduler) compact(j *job) {
	f.countBytes(j, backlog.JobBytes(j.rec, true))
	rec := *j.rec
	rec.Spec = ""
	j.rec = &rec
	j.criticalPaths, j.expectedPaths = nil, expectedPaths{}
	if !j.inherited || f.reconcileBy.IsZero() {
		// Otherwise boundUnreported needs to know which tasks are done.
		j.occurrences = nil
	}
}

// dueAt returns when an occurrence may start; the zero time for a job without occurrences.
func (j *job) dueAt(occurrence int) time.Time {
	if j.rec.Occurrences == 0 {
		return time.Time{}
	}
	return j.rec.FirstAt.Add(time.Duration(occurrence) * j.rec.Interval)
}

// completeUnit marks a unit as done. It has no effect on a unit that is done already.
func (j *job) completeUnit(u *unit) {
	if u.state == unitDone {
		return
	}
	u.state = unitDone
	u.group.markDone(u.firstTask)
	j.markDirty()
}

// criticalPaths returns the estimated time from the start of each step to the end of the job, along the longest chain
// of dependent steps, for given run times of the steps.
func criticalPaths(steps []workload.Step, runTime func(step int) time.Duration) []time.Duration {
	longest := make([]time.Duration, len(steps))
	for s := len(steps) - 1; s >= 0; s-- {
		longest[s] += runTime(s)
		for _, a := range steps[s].After {
			longest[a] = max(longest[a], longest[s])
		}
	}
	return longest
}

// progress returns the progress of the job that is to be recorded.
func (j *job) progress() workload.Progress {
	p := workload.Progress{State: j.state, MayRun: j.mayRun, Begun: j.begun}
	if j.state.Final() {
		return p
	}
	j.addDone(&p)
	for _, o := range j.occurrences {
		o.addProgress(&p)
	}
	return p
}

// restore applies the progress that an earlier holder recorded.
func (j *job) restore(p *workload.Progress) {
	j.mayRun, j.begun, j.inherited = p.MayRun, p.Begun, p.MayRun
	if p.State.Final() {
		j.state = p.State
		return
	}
	for i := range p.Steps {
		j.restoreStep(&p.Steps[i])
	}
	j.version = 0
}

// addDone adds the occurrences that are done and have no state.
func (j *job) addDone(p *workload.Progress) {
	begin := 0
	add := func(end int) {
		for s := range j.rec.Steps {
			if begin < end {
				done := workload.FullUnitSet(j.rec.Steps[s].Units())
				p.Steps = append(p.Steps, workload.StepProgress{Occurrence: begin, Step: s, Done: done, Repeat: end - begin - 1})
			}
		}
	}
	for _, o := range j.occurrences {
		if o.number < j.nextOccurrence {
			add(o.number)
			begin = o.number + 1
		}
	}
	add(j.nextOccurrence)
}

// addProgress adds the progress of an occurrence.
func (o *occurrence) addProgress(p *workload.Progress) {
	if o.openSteps == 0 {
		for s := range o.job.rec.Steps {
			p.Step(o.number, s).Done = workload.FullUnitSet(o.job.rec.Steps[s].Units())
		}
		return
	}
	for s := range o.steps {
		g := &o.steps[s]
		if len(g.done) > 0 {
			p.Step(o.number, s).Done = slices.Clone(g.done)
		}
		for _, u := range g.units {
			if u.state != unitDone && (len(u.failedRuns) > 0 || u.checkpoint != "") {
				sp := p.Step(o.number, s)
				sp.Units = append(sp.Units, workload.UnitProgress{First: u.firstTask, Failed: slices.Clone(u.failedRuns), Earlier: u.earlierFailures, Saved: u.checkpoint})
			}
		}
	}
}

// restoreStep applies the recorded progress of a step. Records of other writers may name units that the job does not have.
func (j *job) restoreStep(sp *workload.StepProgress) {
	for n := range sp.Repeat + 1 {
		if !j.hasTask(workload.TaskRef{Occurrence: sp.Occurrence + n, Step: sp.Step}) {
			return
		}
		j.restoreOccurrence(sp.Occurrence+n, sp)
	}
}

func (j *job) restoreOccurrence(number int, sp *workload.StepProgress) {
	o := j.openOccurrence(number)
	if o == nil || o.steps == nil {
		return
	}
	g := &o.steps[sp.Step]
	o.started = o.started || len(sp.Done) > 0 || len(sp.Units) > 0
	for i := range sp.Units {
		up := &sp.Units[i]
		if up.First < 0 || up.First >= g.spec().Units() || sp.IsDone(up.First) {
			continue
		}
		if u := g.unit(up.First); u != nil {
			u.failedRuns, u.earlierFailures, u.checkpoint = slices.Clone(up.Failed), up.Earlier, up.Saved
			u.trimFailures()
		}
	}
	for first := range g.spec().Units() {
		if sp.IsDone(first) {
			// Marking the last unit may clear o.steps.
			g.markDone(first)
		}
	}
}
