package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestGangsEndTogether guards against a gang of which some tasks wait in vain, because the others were not started or
// were stopped without them. Jobs are only submitted and cancelled; there are no faults that could cause such an end.
func TestGangsEndTogether(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), 2, 3)
		sim.t = failOn{t, rt}
		sim.faultFree = true
		sim.newHolder()
		sim.advanceRuns()
		for i := range rapid.IntRange(4, 20).Draw(rt, "jobs") {
			sim.submit(drawJob(rt, i), behavior{
				runTime: time.Duration(rapid.IntRange(200, 4000).Draw(rt, "work")) * time.Millisecond,
				fails:   rapid.IntRange(0, 9).Draw(rt, "fails") == 0,
			})
			sim.advance(time.Duration(rapid.IntRange(5, 1500).Draw(rt, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(rt, "cancel") == 0 {
				sim.cancel(rapid.SampledFrom(sim.jobIDs).Draw(rt, "job"))
			}
		}
		sim.advance(90 * time.Second)
		sim.expectDone()
	})
}

// TestReportOlderThanStart guards against a run that is taken for lost, and started again elsewhere, because a report
// that the executor made before the start arrives after the confirmation of the start.
func TestReportOlderThanStart(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := New(Settings{Lease: 6 * time.Second, HolderLease: HolderLease, RenewalGrace: RenewalGrace, PollWait: time.Second}, 1, 1, false, now)
	f.SetConfig((&workload.Config{Version: 1, Routes: []workload.Route{{Name: "batch", Pool: "pool", Priority: 2, Stretch: 3}}}).Index())
	f.UpsertExecutor(now, workload.Executor{ID: "e", Pool: "pool", Address: "e", Capacity: workload.Resources{CPU: 32000, Memory: 64000, GPU: 8}, StartedAtMS: 1})
	actions, _ := f.Plan(now)
	f.Report(now, "e", now, find[Poll](t, actions), workload.Report{Clock: time.Second, StartedAtMS: 1})
	f.AddJob(now, oneStep("j", "batch", workload.Step{Count: 1, Need: smallTask}), 2, nil)
	f.Plan(now)
	f.MarkRecorded(f.UnrecordedProgress(10))

	actions, _ = f.Plan(now)
	start, poll := find[Start](t, actions), find[Poll](t, actions)
	sentAt := now
	f.Started(sentAt.Add(10*time.Millisecond), "e", start.Task, start.Run, time.Second)
	f.Report(sentAt.Add(20*time.Millisecond), "e", sentAt, poll, workload.Report{Clock: time.Second, StartedAtMS: 1})
	if n := len(f.executors["e"].taskRuns); n != 1 {
		t.Fatalf("%d runs after a report that is older than the start, want 1", n)
	}

	// A later report without the run shows that it is gone.
	sentAt = sentAt.Add(time.Second)
	actions, _ = f.Plan(sentAt)
	f.Report(sentAt.Add(10*time.Millisecond), "e", sentAt, find[Poll](t, actions), workload.Report{Clock: 2 * time.Second, StartedAtMS: 1})
	if n := len(f.executors["e"].taskRuns); n != 0 {
		t.Errorf("%d runs after a report that is newer than the start and lacks the run, want none", n)
	}
}

// find returns the first action of a type.
func find[A Action](t *testing.T, actions []Action) A {
	t.Helper()
	for _, a := range actions {
		if found, ok := a.(A); ok {
			return found
		}
	}
	t.Fatalf("no action of the type wanted in %v", actions)
	panic("unreachable")
}
