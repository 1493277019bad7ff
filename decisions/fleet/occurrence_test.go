package fleet

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// unitAt returns the unit of the first step and occurrence of a job that has the given first task, or nil if it is done.
func (j *job) unitAt(first int) *unit { return j.unitFor(workload.TaskRef{Index: first}) }

// createUnits returns all units of the first step and occurrence of a job.
func (j *job) createUnits() []*unit {
	var out []*unit
	for i := range j.rec.Steps[0].Units() {
		out = append(out, j.unitAt(i))
	}
	return out
}

// maxJobBytes is the memory that a job of a single small step may take while nothing of it runs: a VM of 144 MB has to hold
// thousands of them. maxStepBytes is added for each further step.
const (
	maxJobBytes  = 8 << 10
	maxStepBytes = 1 << 10
)

// waitingShapes are large jobs that do not run: what is not due, waits for earlier steps, or finds no room.
func waitingShapes(now time.Time) map[string]workload.Job {
	small := workload.Step{Count: 1, Need: smallTask, Estimate: time.Second}
	wide, chain := small, make([]workload.Step, 256)
	wide.Count = 20000
	for i := range chain {
		chain[i] = small
		chain[i].Count = 78
		if i > 0 {
			chain[i].After = []int{i - 1}
		}
	}
	return map[string]workload.Job{
		"occurrences that are not due": {Steps: []workload.Step{small}, Occurrences: 10000, FirstAt: now.Add(time.Hour), Interval: time.Minute},
		"occurrences that are due":     {Steps: []workload.Step{small}, Occurrences: 10000, FirstAt: now.Add(-time.Hour), Interval: time.Millisecond},
		"a wide step":                  {Steps: []workload.Step{wide}},
		"many steps":                   {Steps: chain},
		"many steps that are due":      {Steps: chain, Occurrences: 100, FirstAt: now.Add(-time.Hour), Interval: time.Millisecond},
	}
}

// TestMemoryOfWaitingJobs guards against a holder that exceeds its memory because its state grows with the tasks of the accepted jobs
// instead of those that run: its successors read the same jobs and end in the same way, so that nothing runs any more.
func TestMemoryOfWaitingJobs(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const jobs = 20
	for name, shape := range waitingShapes(now) {
		f := New(Settings{Lease: 6 * time.Second, HolderLease: time.Minute}, 1, 1, false, now)
		f.SetLeaseAge(now, 0)
		before := heapBytes()
		for i := range jobs {
			rec := shape
			rec.ID, rec.Queue, rec.Account = workload.JobID(fmt.Sprint("j", i)), "q", "a"
			f.AddJob(now, &rec, int64(i+1), nil)
		}
		for range 3 {
			f.Plan(now)
			f.MarkRecorded(f.UnrecordedProgress(jobs))
		}
		took := (heapBytes() - before) / jobs
		if limit := int64(maxJobBytes + len(shape.Steps)*maxStepBytes); took > limit {
			t.Errorf("%s: %d bytes a job, want at most %d", name, took, limit)
		}
		if g := f.Gauges(now); g.OpenJobs != jobs {
			t.Errorf("%s: %d of %d jobs are open", name, g.OpenJobs, jobs)
		}
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestMemoryOfDoneOccurrences guards against state of occurrences that are done: a recurring job may run for days.
func TestMemoryOfDoneOccurrences(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	j := oneStep("j", "batch", workload.Step{Count: 3, Need: smallTask})
	j.Occurrences, j.FirstAt, j.Interval = 1000, sim.now, 50*time.Millisecond
	sim.submit(j, behavior{runTime: 30 * time.Millisecond})
	for range 40 {
		sim.advance(time.Second)
		if held := sim.holder.scheduler.jobs["j"]; len(held.occurrences) > 3*maxWaitingOccurrences || len(held.allUnits()) > 9*maxWaitingOccurrences {
			t.Fatalf("%d occurrences and %d units are held after %d are done", len(held.occurrences), len(held.allUnits()), held.doneOccurrences)
		}
	}
	sim.newHolder()
	sim.advance(30 * time.Second)
	if n := len(sim.holder.scheduler.jobs["j"].occurrences); n > 0 {
		t.Errorf("%d occurrences of a job that is done are held", n)
	}
	sim.expectDone()
}

// TestOccurrencesInBacklog guards against due occurrences that are forgotten or run twice while only some of them are open, also
// across changes of holders, lost answers and restarts of executors.
func TestOccurrencesInBacklog(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), 2, 3)
		sim.t = failOn{t, rt}
		sim.newHolder()
		sim.advanceRuns()
		for i := range rapid.IntRange(1, 4).Draw(rt, "jobs") {
			j := drawJob(rt, i)
			j.Occurrences = rapid.IntRange(2, 40).Draw(rt, "occurrences")
			j.FirstAt = sim.now.Add(time.Duration(rapid.IntRange(-5000, 5000).Draw(rt, "first")) * time.Millisecond)
			j.Interval = time.Duration(rapid.IntRange(0, 400).Draw(rt, "interval")) * time.Millisecond
			sim.submit(j, behavior{runTime: time.Duration(rapid.IntRange(50, 600).Draw(rt, "work")) * time.Millisecond})
			for range rapid.IntRange(1, 4).Draw(rt, "events") {
				sim.advance(time.Duration(rapid.IntRange(5, 3000).Draw(rt, "pause")) * time.Millisecond)
				switch rapid.SampledFrom([]string{"holder", "loss", "none", "restart", "store"}).Draw(rt, "event") {
				case "holder":
					sim.newHolder()
				case "loss":
					sim.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "loss rate")
				case "restart":
					id := sim.executorIDs[rapid.IntRange(0, len(sim.executorIDs)-1).Draw(rt, "executor")]
					if sim.executors[id].up {
						sim.crash(id)
						sim.restart(id)
					}
				case "store":
					sim.storeDown = !sim.storeDown
				}
			}
		}
		sim.lossRate, sim.storeDown = 0, false
		for range 40 {
			sim.advance(15 * time.Second)
			if sim.holder.scheduler.Gauges(sim.now).OpenJobs == 0 {
				break
			}
		}
		sim.expectDone()
		for _, id := range sim.jobIDs {
			j := sim.jobs[id]
			for k := range j.Occurrences {
				for s := range j.Steps {
					if len(sim.starts[workload.TaskRef{Job: id, Occurrence: k, Step: s}]) == 0 {
						sim.t.Errorf("step %d of occurrence %d of %s never started", s, k, id)
					}
				}
			}
		}
	})
}

// TestOccurrenceFoundBeforeItsTurn guards against an occurrence that runs again, or one that is forgotten, because a report shows a
// run of an occurrence that this holder has not opened yet.
func TestOccurrenceFoundBeforeItsTurn(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	rec := oneStep("j", "q", workload.Step{Count: 1, Need: smallTask})
	rec.Occurrences, rec.FirstAt, rec.Interval = 40, now, time.Millisecond
	now = now.Add(time.Minute)
	f := New(Settings{Lease: 6 * time.Second, HolderLease: time.Hour}, 2, 1, true, now)
	f.SetConfig((&workload.Config{Version: 2, Routes: []workload.Route{{Name: "q", Pool: "p"}}}).Index())
	f.AddJob(now, rec, 1, nil)
	f.UpsertExecutor(now, workload.Executor{ID: "e", Address: "e", Pool: "p"})
	found := workload.TaskRef{Job: "j", Occurrence: 30}
	f.Report(now, "e", now, Poll{Address: "e"}, workload.Report{Clock: time.Second, Ended: []workload.EndedRun{{Number: 1, Task: found, Run: 7, Outcome: workload.Done}}})
	f.Plan(now)
	j := f.jobs["j"]
	p := stored(t, j.progress())
	if len(p.Steps) != 1 || p.Steps[0].Occurrence != 30 || !p.Steps[0].IsDone(0) {
		t.Errorf("the progress is %+v, want occurrence 30 as done", p.Steps)
	}
	if j.unitFor(found) != nil {
		t.Error("the occurrence that is done would start again")
	}
	for k := range rec.Occurrences {
		if u := j.unitFor(workload.TaskRef{Job: "j", Occurrence: k}); k != 30 {
			f.endRun(now, &taskRun{unit: u, task: u.task(0), run: 8, executor: &executor{use: &f.use}, state: taskRunning}, workload.Done, "")
		}
		f.Plan(now)
	}
	if s := j.state; s != workload.StateCompleted {
		t.Errorf("the job is %s after all occurrences are done", s)
	}
}

// TestBacklogCoversMemory guards against a limit of accepted jobs that counts less than they take, so that holders exceed their
// memory before it is reached.
func TestBacklogCoversMemory(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const jobs = 200
	shapes := waitingShapes(now)
	shapes["a small job"] = *oneStep("j", "q", workload.Step{Count: 4, Need: smallTask, Checkpoint: true})
	for name, shape := range shapes {
		for _, finished := range []bool{false, true} {
			f := New(Settings{Lease: 6 * time.Second, HolderLease: time.Minute}, 1, 1, false, now)
			f.SetLeaseAge(now, 0)
			before := heapBytes()
			for i := range jobs {
				rec := shape
				rec.ID, rec.Queue, rec.Account = workload.JobID(fmt.Sprint("j", i)), "q", "a"
				rec.Steps = slices.Clone(shape.Steps)
				f.AddJob(now, &rec, int64(i+1), nil)
			}
			f.Plan(now)
			for i := range jobs {
				if finished {
					f.Cancel(now, workload.JobID(fmt.Sprint("j", i)))
				}
			}
			for range 2 {
				f.Plan(now)
				f.MarkRecorded(f.UnrecordedProgress(jobs))
			}
			if took, counted := heapBytes()-before, f.accepted.Total(); took > counted {
				t.Errorf("%s, finished %v: %d bytes a job, %d are counted", name, finished, took/jobs, counted/jobs)
			}
			if finished {
				f.RemoveJobs(f.ExpiredJobs(now.Add(time.Hour), jobs))
				if n := f.accepted.Total(); n != 0 {
					t.Errorf("%s: %d bytes are counted after all jobs were removed", name, n)
				}
			}
		}
	}
}
