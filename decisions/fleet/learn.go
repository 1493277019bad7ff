package fleet

import (
	"math"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/runtimes"
)

const (
	// maxReportDelay is the time beyond a poll's wait by which the report of an end may be late for the run time to be
	// learned from it.
	maxReportDelay = time.Second
	// paceProgress is the progress in percent from which on a run shows the pace of its executors, projectedProgress that
	// from which on it shows its whole run time. Reports round the progress to whole percent.
	paceProgress      = 10
	projectedProgress = 25
	// learnedTasks is the number of tasks of a step whose run times are learned, so that a wide step counts little more than
	// a gang. They are the first by their index, because the first to end are the shortest.
	learnedTasks = 4
	// expectationAge is the age up to which the expected paths of a job and the paces of executors are used again, because
	// both are needed for each candidate and each executor in each planning pass.
	expectationAge = 500 * time.Millisecond
)

// learnedRun is a run from which run times are learned.
type learnedRun struct {
	executors []workload.ExecutorID
	// counts is set if the run counts towards the expectation of run times, and not only of paces.
	counts bool
	// paceObserved is set once the run has shown the pace of its executors.
	paceObserved bool
	// projected is the run time that was learned from the progress of the run; 0 before.
	projected time.Duration
}

// expectedPaths are the expected times from the start of each step of a job to its end.
type expectedPaths struct {
	at      time.Time
	bySteps []time.Duration
	longest time.Duration
}

// RunTimes returns the model of run times, or nil if none are learned.
func (f *Scheduler) RunTimes() *runtimes.Model { return f.learned }

// RestoreRunTimes replaces the model of run times by a valid snapshot of an earlier one. It has no effect if no run times
// are learned.
func (f *Scheduler) RestoreRunTimes(s runtimes.Snapshot) {
	if f.learned == nil {
		return
	}
	f.learned = runtimes.Restore(s)
	for _, e := range f.sortedExecutors {
		f.declareExecutor(e)
	}
}

// declareExecutor declares the host of an executor to the model: its address and its kind, the first label.
func (f *Scheduler) declareExecutor(e *executor) {
	if f.learned == nil {
		return
	}
	kind := ""
	if len(e.info.Labels) > 0 {
		kind = e.info.Labels[0]
	}
	f.learned.SetExecutor(e.info.ID, e.info.Address, kind)
}

// query describes the tasks of a step to the model.
func (j *job) query(step int) runtimes.Query {
	s := &j.rec.Steps[step]
	return runtimes.Query{Queue: j.rec.Queue, Account: j.rec.Account, Need: s.Need, Declared: s.Estimate}
}

// expectedRunTime returns the run time that is expected of a unit on an executor of the typical pace.
func (f *Scheduler) expectedRunTime(u *unit) time.Duration {
	if f.learned == nil {
		return f.runTimes.expected(u.job.rec.Queue, u.spec().Estimate)
	}
	return f.learned.Expect(u.job.query(u.step)).Typical
}

// longestRunTime returns the run time on its executors that a unit is not expected to exceed.
func (f *Scheduler) longestRunTime(u *unit) time.Duration {
	if f.learned == nil {
		return f.expectedRunTime(u)
	}
	return time.Duration(float64(f.learned.Expect(u.job.query(u.step)).High) / f.slowestPace(u))
}

// expectedPath returns the expected time from the start of a step to the end of its job, and that of the whole job.
func (f *Scheduler) expectedPath(now time.Time, j *job, step int) (fromStep, longest time.Duration) {
	if f.learned == nil {
		return f.runTimes.expected(j.rec.Queue, j.criticalPaths[step]), f.runTimes.expected(j.rec.Queue, j.longestPath)
	}
	p := &j.expectedPaths
	if p.bySteps == nil || now.Sub(p.at) > expectationAge {
		p.at, p.longest = now, 0
		p.bySteps = criticalPaths(j.rec.Steps, func(i int) time.Duration { return f.learned.Expect(j.query(i)).Typical })
		for _, d := range p.bySteps {
			p.longest = max(p.longest, d)
		}
	}
	return p.bySteps[step], p.longest
}

// slowestPace returns the pace of the slowest executor of a unit's run, as of the last update of the paces.
func (f *Scheduler) slowestPace(u *unit) float64 {
	slowest := math.Inf(1)
	for _, r := range u.taskRuns {
		pace := r.executor.pace
		if pace == 0 {
			// The executor is newer than the last update.
			pace = f.learned.Pace(r.executor.info.ID)
		}
		slowest = min(slowest, pace)
	}
	if math.IsInf(slowest, 1) {
		return 1
	}
	return slowest
}

// beginLearning prepares to learn from a run that starts. Nothing is learned from a run that resumes from a checkpoint,
// that is far from its rack or data, that begins on an executor in its warm-up, or whose speed may be reduced.
func (f *Scheduler) beginLearning(u *unit) {
	u.learned = nil
	step := u.spec()
	if f.learned == nil || u.checkpoint != "" || step.LongRunning || step.Fills {
		return
	}
	run := &learnedRun{counts: u.firstTask < learnedTasks}
	for _, r := range u.taskRuns {
		e := r.executor
		remote := step.Rack != "" && e.rack != step.Rack || step.Gang && step.SameRack && e.rack != u.taskRuns[0].executor.rack
		if remote || e.info.WarmUpRemaining > 0 {
			return
		}
		run.executors = append(run.executors, e.info.ID)
	}
	u.learned = run
}

func (u *unit) observation(elapsed time.Duration) runtimes.Observation {
	return runtimes.Observation{Query: u.job.query(u.step), Job: u.job.rec.ID, Step: u.step, Executors: u.learned.executors, Elapsed: elapsed}
}

// projectedRunTime returns the whole run time of a unit's run by the pace of its progress; 0 if it is not known.
func (f *Scheduler) projectedRunTime(u *unit) time.Duration {
	pace := u.progressPerSecond()
	if pace == 0 || u.progress < paceProgress {
		return 0
	}
	return f.learned.Projected(u.job.query(u.step), time.Duration(fullProgress/pace*float64(time.Second)))
}

// learnFromProgress learns from a run in progress. Runs are learned from early, because the runs that have ended at any
// time are the shorter ones of those that have started.
func (f *Scheduler) learnFromProgress(now time.Time, u *unit) {
	run := u.learned
	if run == nil || u.ending {
		return
	}
	projected := f.projectedRunTime(u)
	if projected == 0 {
		return
	}
	if !run.paceObserved {
		run.paceObserved = true
		f.learned.ObservePace(now, u.observation(projected))
	}
	if run.counts && run.projected == 0 && u.progress >= projectedProgress {
		run.projected = projected
		f.learned.Observe(now, u.observation(projected))
	}
}

// learnFromEnd learns from the first end of a task of a unit's run.
func (f *Scheduler) learnFromEnd(now time.Time, u *unit, r *taskRun, outcome workload.Outcome) {
	run := u.learned
	if run == nil || r.run != u.run {
		return
	}
	switch outcome {
	case workload.Done:
		lastSeen := r.executor.previousReportAt
		if lastSeen.Before(u.startedAt) {
			lastSeen = u.startedAt
		}
		if now.Sub(lastSeen) <= f.settings.PollWait+maxReportDelay {
			f.learnRunTime(now, u, now.Sub(u.startedAt))
		}
	case workload.Stopped, workload.LeaseExpired, workload.GangBroken:
		switch projected := f.projectedRunTime(u); {
		case run.projected > 0 || !run.counts:
		case projected > 0:
			f.learned.Observe(now, u.observation(projected))
		case u.progress > 0:
			// The run went on at least until its latest progress.
			o := u.observation(u.progressAt.Sub(u.startedAt))
			o.LowerBound = true
			f.learned.Observe(now, o)
		}
	}
	u.learned = nil
}

// learnRunTime learns from a run that was completed in a time.
func (f *Scheduler) learnRunTime(now time.Time, u *unit, elapsed time.Duration) {
	run := u.learned
	if !run.paceObserved {
		f.learned.ObservePace(now, u.observation(elapsed))
	}
	switch {
	case run.projected > 0:
		f.learned.ObserveProjection(u.job.query(u.step), run.projected, elapsed)
	case run.counts:
		f.learned.Observe(now, u.observation(elapsed))
	}
}
