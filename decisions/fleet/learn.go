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
	// projectedProgress is the progress in percent from which on a run that is stopped shows its whole run time.
	projectedProgress = 25
	// paceProgress is the progress in percent from which on a run shows the pace of its executors.
	paceProgress = 10
	// expectationAge is the age up to which the expected paths of a job and the paces of executors are used again, because
	// both are needed for each candidate and each executor in each planning pass.
	expectationAge = 500 * time.Millisecond
)

// learnedRun is a run from which run times are learned.
type learnedRun struct {
	executors []workload.ExecutorID
	// paceObserved is set once the progress of the run has shown the pace of its executors.
	paceObserved bool
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

// slowestPace returns the pace of the slowest executor of a unit's run.
func (f *Scheduler) slowestPace(u *unit) float64 {
	slowest := math.Inf(1)
	for _, r := range u.taskRuns {
		slowest = min(slowest, f.learned.Pace(r.executor.info.ID))
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
	run := &learnedRun{}
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

func (u *unit) observation(elapsed time.Duration, completed bool) runtimes.Observation {
	return runtimes.Observation{
		Query: u.job.query(u.step), Job: u.job.rec.ID, Executors: u.learned.executors,
		Elapsed: elapsed, Completed: completed, PaceObserved: u.learned.paceObserved,
	}
}

// learnFromEnd learns from the first end of a task of a unit's run.
func (f *Scheduler) learnFromEnd(now time.Time, u *unit, r *taskRun, outcome workload.Outcome) {
	if u.learned == nil || r.run != u.run {
		return
	}
	e := r.executor
	switch outcome {
	case workload.Done:
		lastSeen := e.previousReportAt
		if lastSeen.Before(u.startedAt) {
			lastSeen = u.startedAt
		}
		if now.Sub(lastSeen) <= f.settings.PollWait+maxReportDelay {
			f.learned.Observe(now, u.observation(now.Sub(u.startedAt), true))
		}
	case workload.Stopped, workload.LeaseExpired, workload.GangBroken:
		if pace := u.progressPerSecond(); pace > 0 && u.progress >= projectedProgress {
			f.learned.Observe(now, u.observation(time.Duration(fullProgress/pace*float64(time.Second)), true))
		} else if u.progress > 0 {
			// The run went on at least until its latest progress.
			f.learned.Observe(now, u.observation(u.progressAt.Sub(u.startedAt), false))
		}
	}
	u.learned = nil
}

// learnPace learns the pace of the executors of a run from its progress.
func (f *Scheduler) learnPace(now time.Time, u *unit) {
	if u.learned == nil || u.learned.paceObserved || u.progress < paceProgress || u.ending {
		return
	}
	if pace := u.progressPerSecond(); pace > 0 {
		f.learned.ObservePace(now, u.observation(time.Duration(fullProgress/pace*float64(time.Second)), false))
		u.learned.paceObserved = true
	}
}
