package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// newTestScheduler returns a scheduler with one verified executor "e" and a recorded job "j" with a gang of two tasks
// that has started.
func newTestScheduler(t *testing.T) (*Scheduler, time.Time) {
	t.Helper()
	now := time.Unix(1_700_000_000, 0)
	f := New(Settings{Lease: 6 * time.Second, HolderLease: HolderLease, RenewalGrace: RenewalGrace, PollWait: time.Second}, 1, 1, false, now)
	f.SetConfig((&workload.Config{Version: 1, Routes: []workload.Route{{Name: "batch", Pool: "pool", Priority: 2, Stretch: 3}}}).Index())
	f.UpsertExecutor(now, workload.Executor{ID: "e", Pool: "pool", Address: "e", Capacity: workload.Resources{CPU: 32000, Memory: 64000, GPU: 8}, StartedAtMS: 1})
	actions, _ := f.Plan(now)
	f.Report(now, "e", now, find[Poll](t, actions), workload.Report{Clock: time.Second, StartedAtMS: 1})
	f.AddJob(now, oneStep("j", "batch", workload.Step{Count: 2, Gang: true, Need: smallTask}), 2, nil)
	f.Plan(now)
	f.MarkRecorded(f.UnrecordedProgress(10))
	f.Plan(now)
	if n := f.use.occupied.Occupied("a").GPU; n != 2 {
		t.Fatalf("the account uses %d accelerators after the start of the gang, want 2", n)
	}
	return f, now
}

// TestUsageOfReplacedRun guards against a run that counts against its account's guarantee for ever, because a reported
// run with a higher number took its place. It counts until it has ended, because it may still occupy its executor.
func TestUsageOfReplacedRun(t *testing.T) {
	f, now := newTestScheduler(t)
	replaced := f.jobs["j"].unitAt(0).run
	run := replaced + 1
	var rows []workload.RunningTask
	for i := range 2 {
		rows = append(rows, workload.RunningTask{Task: workload.TaskRef{Job: "j", Index: i}, Run: run})
	}
	poll := Poll{Executor: "e", Address: "e"}
	f.Report(now.Add(time.Second), "e", now.Add(time.Second), poll, workload.Report{Clock: 2 * time.Second, StartedAtMS: 1, Running: rows})
	if n := f.use.occupied.Occupied("a").GPU; n != 4 {
		t.Errorf("the account uses %d accelerators while the replaced run may go on, want 4", n)
	}
	var ends []workload.EndedRun
	for i := range 2 {
		ends = append(ends, workload.EndedRun{Number: int64(i + 1), Task: workload.TaskRef{Job: "j", Index: i}, Run: replaced, Outcome: workload.Stopped})
	}
	f.Report(now.Add(2*time.Second), "e", now.Add(2*time.Second), poll, workload.Report{Clock: 3 * time.Second, StartedAtMS: 1, Running: rows, Ended: ends})
	if n := f.use.occupied.Occupied("a").GPU; n != 2 {
		t.Errorf("the account uses %d accelerators after the replaced run has ended, want 2", n)
	}
}

// TestReasonOfGangRemainder guards against a log that says that a job has ended while the job goes on: the reason to stop
// what remains of a gang whose run is done.
func TestReasonOfGangRemainder(t *testing.T) {
	f, now := newTestScheduler(t)
	f.AddJob(now, &workload.Job{ID: "two", Queue: "batch", Account: "a", Steps: []workload.Step{
		{Count: 2, Gang: true, Need: smallTask, Estimate: time.Second}, {Count: 1, Need: smallTask, Estimate: time.Second, After: []int{0}},
	}}, 3, nil)
	f.Plan(now)
	f.MarkRecorded(f.UnrecordedProgress(10))
	f.Plan(now)
	run := f.jobs["two"].unitAt(0).run
	now = now.Add(time.Second)
	f.Report(now, "e", now, Poll{Executor: "e", Address: "e"}, workload.Report{
		Clock: 2 * time.Second, StartedAtMS: 1,
		Running: []workload.RunningTask{{Task: workload.TaskRef{Job: "two", Index: 1}, Run: run}},
		Ended:   []workload.EndedRun{{Number: 1, Task: workload.TaskRef{Job: "two"}, Run: run, Outcome: workload.Done}},
	})
	actions, _ := f.Plan(now.Add(2 * gangEndGrace))
	if s := find[Stop](t, actions); s.Task.Job != "two" || s.Reason != StopGangDone {
		t.Errorf("%+v, want a stop of the remaining task for %s", s, StopGangDone)
	}
}
