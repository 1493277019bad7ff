package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestOccurrences guards against occurrences of a periodic job that start before their due time, late or never.
func TestOccurrences(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	j := oneStep("j", "batch", workload.Step{Count: 2, Need: smallTask})
	j.Occurrences, j.FirstAt, j.Interval = 3, sim.now.Add(2*time.Second), 3*time.Second
	sim.submit(j, behavior{runTime: 500 * time.Millisecond})
	sim.advance(15 * time.Second)
	sim.expectDone()
	for k := range 3 {
		due := j.FirstAt.Add(time.Duration(k) * j.Interval)
		for i := range 2 {
			starts := sim.starts[workload.TaskRef{Job: "j", Occurrence: k, Index: i}]
			if len(starts) != 1 || starts[0].Before(due) || starts[0].Sub(due) > time.Second {
				t.Errorf("occurrence %d of task %d started at %v, due at %v", k, i, starts, due)
			}
		}
	}
}

// TestLongRunning guards against long-running tasks that are not restarted after they end, with or without a failure,
// or that still run after their job was cancelled.
func TestLongRunning(t *testing.T) {
	for _, fails := range []bool{false, true} {
		sim := startSimulation(t, 1, 2)
		sim.submit(oneStep("j", "normal", workload.Step{Count: 2, Need: smallTask, LongRunning: true}), behavior{runTime: time.Second, fails: fails})
		sim.advance(10 * time.Second)
		if n := len(sim.starts[workload.TaskRef{Job: "j"}]); n < 6 {
			t.Errorf("fails %v: %d starts in 10 s of a task that ends each second", fails, n)
		}
		if s, _ := sim.holder.scheduler.Status("j"); s != workload.StateRunning {
			t.Errorf("fails %v: the job is %s", fails, s)
		}
		sim.cancel("j")
		sim.advance(2 * time.Second)
		for _, e := range sim.executors {
			if len(e.runs) > 0 {
				t.Errorf("%d runs on %s after the job was cancelled", len(e.runs), e.info.ID)
			}
		}
	}
}

// TestMayMiss guards against interrupting more tasks of a long-running step at the same time than its MayMiss allows.
func TestMayMiss(t *testing.T) {
	f := New(Settings{Lease: 6 * time.Second}, 1, 1, false, time.Unix(0, 0))
	f.AddJob(time.Unix(0, 0), oneStep("j", "normal", workload.Step{Count: 4, Need: smallTask, LongRunning: true, MayMiss: 2}), 2, nil)
	e := &executor{}
	units := f.jobs["j"].createUnits()
	for _, u := range units {
		u.state = unitActive
		u.taskRuns = []*taskRun{{unit: u, executor: e, state: taskRunning, progress: fullProgress}}
	}
	if !f.mayInterrupt(units[0]) {
		t.Error("two tasks may be missing and none may be interrupted")
	}
	units[0].ending = true
	if !f.mayInterrupt(units[1]) {
		t.Error("one task is missing, two may be, and no second may be interrupted")
	}
	units[1].taskRuns[0].progress = 50
	if f.mayInterrupt(units[2]) {
		t.Error("two tasks are missing and a third may be interrupted")
	}
	if !f.mayInterrupt(units[1]) {
		t.Error("two tasks are missing, two may be, and one of the missing may not be interrupted")
	}
}

// requestedSpeeds returns the percentages of the Throttle actions since the last call, and discards the other actions.
func requestedSpeeds(f *Scheduler) []int {
	var out []int
	for _, a := range f.actions {
		if p, ok := a.(Throttle); ok {
			out = append(out, p.SpeedPercent)
		}
	}
	f.actions = nil
	return out
}

// TestPace guards against an opportunistic task that is not throttled while a serving task on its executor exceeds its
// response time target, and against one that stays throttled afterwards.
func TestPace(t *testing.T) {
	now := time.Unix(0, 0)
	f := New(Settings{Lease: 6 * time.Second}, 1, 1, false, now)
	f.AddJob(now, oneStep("s", "normal", workload.Step{Count: 1, Need: smallTask, LongRunning: true, Target: 100 * time.Millisecond}), 2, nil)
	f.AddJob(now, oneStep("f", "normal", workload.Step{Count: 1, Need: smallTask, Fills: true}), 3, nil)
	f.UpsertExecutor(now, workload.Executor{ID: "e", Address: "a", Capacity: workload.Resources{CPU: 32000, Memory: 64000, GPU: 8}})
	report := func(tail float64) []int {
		now = now.Add(1100 * time.Millisecond)
		f.Report(now, "e", now.Add(-time.Millisecond), Poll{}, workload.Report{Clock: time.Since(time.Unix(0, 0)), Running: []workload.RunningTask{
			{Task: workload.TaskRef{Job: "s"}, Run: 1, Percent: 100, Usage: tail},
			{Task: workload.TaskRef{Job: "f"}, Run: 1, Percent: 20, Usage: 900},
		}})
		return requestedSpeeds(f)
	}
	for _, step := range []struct {
		tail float64
		want []int
	}{{40, nil}, {120, []int{0}}, {130, nil}, {70, nil}, {50, []int{20}}, {50, []int{40}}, {90, []int{20}}, {105, []int{0}}} {
		got := report(step.tail)
		if len(got) != len(step.want) || len(got) == 1 && got[0] != step.want[0] {
			t.Errorf("tail %v ms: requested speeds %v, want %v", step.tail, got, step.want)
		}
	}
}

// TestAdvice guards against a start without a ticket, on an executor that may not run the step, or with a ticket that
// an executor has refused.
func TestAdvice(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.config.Routes[2].Advised = true
	f := sim.holder.scheduler
	j := oneStep("j", "batch", workload.Step{Count: 2, Need: smallTask})
	f.AddJob(sim.now, j, 99, nil)
	plan := func() (asked *AdviceQuery, starts []Start) {
		actions, _ := f.Plan(sim.now)
		for _, a := range actions {
			switch a := a.(type) {
			case AdviceQuery:
				asked = &a
			case Start:
				starts = append(starts, a)
			}
		}
		return asked, starts
	}
	asked, starts := plan()
	if asked == nil || len(asked.Executors) != 4 || len(starts) != 0 {
		t.Fatalf("asked %+v, started %+v before any advice", asked, starts)
	}
	if again, _ := plan(); again != nil {
		t.Error("a second query while one is in flight")
	}
	f.AdviceReceived(sim.now, *asked, map[workload.ExecutorID]string{"e0-2": "t2"}, 3*time.Second, true)
	if _, starts = plan(); len(starts) != 0 {
		t.Error("started before it was recorded that the job may run")
	}
	f.MarkRecorded(f.UnrecordedProgress(1))
	_, starts = plan()
	if len(starts) != 2 || starts[0].Executor != "e0-2" || starts[0].Ticket != "t2" {
		t.Fatalf("started %+v", starts)
	}
	f.StartFailed(sim.now, "e0-2", starts[0].Task, starts[0].Run, CallInvalidTicket, 0)
	sim.now = sim.now.Add(time.Second)
	asked, starts = plan()
	if asked == nil || len(asked.Executors) != 1 || asked.Executors[0] != "e0-2" || len(starts) != 0 {
		t.Errorf("after a refused ticket: asked %+v, started %+v", asked, starts)
	}
}

// TestRequires guards against a start on an executor without the label that the step requires.
func TestRequires(t *testing.T) {
	sim := startSimulation(t, 2, 2)
	sim.submit(oneStep("j", "batch", workload.Step{Count: 4, Need: smallTask, Requires: "r1"}), behavior{runTime: 200 * time.Millisecond})
	sim.submit(oneStep("never", "batch", workload.Step{Count: 1, Need: smallTask, Requires: "other"}), behavior{runTime: 200 * time.Millisecond})
	sim.advance(2 * time.Second)
	if s, _ := sim.holder.scheduler.Status("j"); s != workload.StateCompleted {
		t.Errorf("job is %s", s)
	}
	for _, id := range []workload.ExecutorID{"e0-0", "e0-1"} {
		if sim.executors[id].lastEnd > 0 {
			t.Errorf("a task ran on %s", id)
		}
	}
	if n := len(sim.starts[workload.TaskRef{Job: "never"}]); n > 0 {
		t.Errorf("%d starts without the label", n)
	}
}

// TestReclaim guards against an account that does not get its guaranteed accelerators while urgent jobs of another
// account occupy them beyond its own guarantee.
func TestReclaim(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	big := workload.Resources{CPU: 3700, GPU: 8}
	// Account a is guaranteed 16 of 24 accelerators and uses all.
	sim.submit(oneStep("a", "urgent", workload.Step{Count: 3, Need: big, Estimate: 30 * time.Second}), behavior{runTime: 30 * time.Second})
	sim.advance(200 * time.Millisecond)
	b := oneStep("b", "urgent", workload.Step{Count: 1, Need: big})
	b.Account = "b"
	sim.submit(b, behavior{runTime: 500 * time.Millisecond})
	sim.advance(1500 * time.Millisecond)
	if n := len(sim.starts[workload.TaskRef{Job: "b"}]); n != 1 {
		t.Errorf("the guaranteed job has %d starts after 1.5 s", n)
	}
}
