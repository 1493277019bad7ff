package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestGangsEndTogether guards against a run of a gang of which a member waits alone, because the others were not started,
// or were stopped without it. Only submissions and cancellations happen: nothing else excuses such an end.
func TestGangsEndTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(rt, "seed"), 2, 3)
		w.t = failOn{t, rt}
		w.calm = true
		w.newHolder()
		w.work()
		for i := range rapid.IntRange(4, 20).Draw(rt, "jobs") {
			w.submit(drawJob(rt, i), behavior{
				work:  time.Duration(rapid.IntRange(200, 4000).Draw(rt, "work")) * time.Millisecond,
				fails: rapid.IntRange(0, 9).Draw(rt, "fails") == 0,
			})
			w.run(time.Duration(rapid.IntRange(5, 1500).Draw(rt, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(rt, "cancel") == 0 {
				w.cancel(rapid.SampledFrom(w.order).Draw(rt, "job"))
			}
		}
		w.run(90 * time.Second)
		w.expectDone()
	})
}

// TestReportOlderThanStart guards against a run that is taken for lost, and starts again elsewhere, because a report that
// the executor made before the start arrives after the confirmation of it.
func TestReportOlderThanStart(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := New(Settings{Lease: 6 * time.Second, HolderLease: HolderLease, HoldOnly: HoldOnly, LookWait: time.Second}, 1, 1, false, now)
	f.SetConfig((&workload.Config{Version: 1, Routes: []workload.Route{{Name: "batch", Pool: "pool", Priority: 2, Stretch: 3}}}).Index())
	f.UpsertExecutor(now, workload.Executor{ID: "e", Pool: "pool", Address: "e", Capacity: workload.Resources{CPU: 32000, Memory: 64000, GPU: 8}, Born: 1})
	actions, _ := f.Plan(now)
	f.Report(now, "e", now, find[Look](t, actions), workload.Report{Clock: time.Second, Born: 1})
	f.AddJob(now, oneStep("j", "batch", workload.Step{Count: 1, Need: small}), 2, nil)
	f.Plan(now)
	f.Recorded(f.Dirty(10))

	actions, _ = f.Plan(now)
	begun, look := find[Start](t, actions), find[Look](t, actions)
	sent := now
	f.Started(sent.Add(10*time.Millisecond), "e", begun.Task, begun.Run, time.Second)
	f.Report(sent.Add(20*time.Millisecond), "e", sent, look, workload.Report{Clock: time.Second, Born: 1})
	if n := len(f.executors["e"].members); n != 1 {
		t.Fatalf("%d runs after a report that is older than the start, want 1", n)
	}

	// A later report without the run does tell that it is gone.
	sent = sent.Add(time.Second)
	actions, _ = f.Plan(sent)
	f.Report(sent.Add(10*time.Millisecond), "e", sent, find[Look](t, actions), workload.Report{Clock: 2 * time.Second, Born: 1})
	if n := len(f.executors["e"].members); n != 0 {
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
