package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestLateFailuresOfLastingTask guards against a long-running job that ends as failed, or whose run is stopped, because ends of
// earlier runs of its task are reported after the task has started again, such as after a change of holders.
func TestLateFailuresOfLastingTask(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := New(Settings{Lease: 6 * time.Second, HolderLease: HolderLease, RenewalGrace: RenewalGrace}, 1, 1, false, now)
	f.SetConfig((&workload.Config{Version: 1, Routes: []workload.Route{{Name: "batch", Pool: "pool", MaxAttempts: 3, Stretch: 3}}}).Index())
	f.UpsertExecutor(now, workload.Executor{ID: "e", Pool: "pool", Address: "e", Capacity: workload.Resources{CPU: 32000, Memory: 64000, GPU: 8}, StartedAtMS: 1})
	actions, _ := f.Plan(now)
	f.Report(now, "e", now, find[Poll](t, actions), workload.Report{Clock: time.Second, StartedAtMS: 1})
	f.AddJob(now, oneStep("j", "batch", workload.Step{Count: 1, LongRunning: true, Need: smallTask}), 2, nil)
	f.Plan(now)
	f.MarkRecorded(f.UnrecordedProgress(10))
	f.Plan(now)
	task := workload.TaskRef{Job: "j"}
	run := f.jobs["j"].unitAt(0).run
	now = now.Add(time.Second)
	report := workload.Report{Clock: 2 * time.Second, StartedAtMS: 1, Running: []workload.RunningTask{{Task: task, Run: run}}}
	for i := range 4 {
		report.Ended = append(report.Ended, workload.EndedRun{Number: int64(i + 1), Task: task, Run: workload.RunNumber(i + 1), Outcome: workload.Failed})
	}
	report.Ended = append(report.Ended, workload.EndedRun{Number: 5, Task: task, Run: 5, Outcome: workload.Done})
	f.Report(now, "e", now, Poll{Executor: "e", Address: "e"}, report)
	if j := f.jobs["j"]; j.state.Final() || j.unitAt(0).failures() > 0 || j.unitAt(0).ending {
		t.Errorf("the job is %q with %d failed runs, ending %v, want it to go on without a count", j.state, j.unitAt(0).failures(), j.unitAt(0).ending)
	}
}

// TestPreemptionKeepsLastingTasks guards against a single preemption that stops more tasks of a long-running step than may
// be missing, although each of them alone might be stopped.
func TestPreemptionKeepsLastingTasks(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 2, 0, configure)
		whole := workload.Step{Count: 1, Need: workload.Resources{CPU: 16000, GPU: 8}}
		sim.submitFor("guest", "batch", "batch", whole, time.Hour)
		sim.advance(3 * time.Second)
		sim.submitFor("guest", "lasting", "batch", workload.Step{Count: 2, Need: workload.Resources{CPU: 2000, GPU: 4}, LongRunning: true, MayMiss: 1}, time.Hour)
		sim.advance(6 * time.Second)
		// The loss of the lasting tasks seems smaller, because they run for less time.
		sim.submitFor("host", "urgent", "urgent", whole, time.Second)
		sim.advance(reclaimBound)
		if begun, _ := sim.startsOf("urgent"); begun != 1 {
			t.Error("the urgent task has not begun although the batch task may be stopped")
		}
		for _, v := range sim.violations {
			t.Error(v)
		}
	})
}
