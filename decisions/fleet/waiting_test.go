package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestWaitReasons guards against a log that does not tell why a job waited, or tells it again with each planning pass.
func TestWaitReasons(t *testing.T) {
	f, now := newTestScheduler(t)
	f.AddJob(now, oneStep("large", "batch", workload.Step{Count: 1, Need: workload.Resources{GPU: 8}}), 3, nil)
	notices := 0
	for range 80 {
		now = now.Add(100 * time.Millisecond)
		f.SetLeaseAge(now, 0)
		actions, _ := f.Plan(now)
		f.MarkRecorded(f.UnrecordedProgress(10))
		for _, a := range actions {
			switch a := a.(type) {
			case WaitNotice:
				notices++
				if a.Job != "large" || a.Reason != WaitCapacity || a.Waited < noticeDelay {
					t.Errorf("%+v, want a notice that job large waits for capacity", a)
				}
				if use := (PoolUse{Capacity: workload.Resources{CPU: 32000, Memory: 64000, GPU: 8}, Staying: times(smallTask, 2)}); a.Pool != use {
					t.Errorf("use of the pool %+v, want %+v", a.Pool, use)
				}
			case Start:
				t.Fatalf("%+v although the executor is occupied", a)
			}
		}
	}
	if notices != 1 {
		t.Errorf("%d notices, want one", notices)
	}
	f.SetLeaseAge(now, HolderLease)
	f.Plan(now)
	if r := f.jobs["large"].unitAt(0).waitsFor; r != WaitLease {
		t.Errorf("waits for %s while the lease is not confirmed, want %s", r, WaitLease)
	}
	f.SetLeaseAge(now, 0)
	run := f.jobs["j"].unitAt(0).run
	rows := []workload.EndedRun{
		{Number: 1, Task: workload.TaskRef{Job: "j"}, Run: run, Outcome: workload.Done},
		{Number: 2, Task: workload.TaskRef{Job: "j", Index: 1}, Run: run, Outcome: workload.Done},
	}
	f.Report(now, "e", now, Poll{Executor: "e", Address: "e"}, workload.Report{Clock: 9 * time.Second, StartedAtMS: 1, Ended: rows})
	actions, _ := f.Plan(now)
	if s := find[Start](t, actions); s.Task.Job != "large" || s.WaitedFor != WaitLease || s.Waited != 7900*time.Millisecond {
		t.Errorf("%+v, want a start after 7.9 s, counted from the first planning pass", s)
	}
}
