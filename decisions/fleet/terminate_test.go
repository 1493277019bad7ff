package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestPermitTermination guards against an upkeep that ends a task although as many tasks of its step are missing as may be, and against one
// that waits for tasks that need not be counted.
func TestPermitTermination(t *testing.T) {
	now := time.Unix(0, 0)
	f := New(Settings{Lease: 6 * time.Second}, 1, 1, false, now)
	f.AddJob(now, oneStep("j", "normal", workload.Step{Count: 4, Need: smallTask, LongRunning: true, MayMiss: 2}), 2, nil)
	f.AddJob(now, oneStep("batch", "normal", workload.Step{Count: 1, Need: smallTask}), 3, nil)
	units := f.jobs["j"].createUnits()
	place := func(u *unit, id workload.ExecutorID) {
		f.UpsertExecutor(now, workload.Executor{ID: id, Address: string(id), Capacity: workload.Resources{CPU: 32000, Memory: 64000}})
		u.state = unitActive
		r := &taskRun{unit: u, executor: f.executors[id], state: taskRunning, progress: fullProgress}
		u.taskRuns = []*taskRun{r}
		f.executors[id].taskRuns = append(f.executors[id].taskRuns, r)
	}
	place(units[0], "e0")
	place(units[1], "e1")
	place(units[2], "e2")
	place(units[3], "e2")
	place(f.jobs["batch"].unitAt(0), "e3")
	for _, step := range []struct {
		executor workload.ExecutorID
		want     bool
	}{{"e0", true}, {"e0", true}, {"e2", false}, {"e1", true}, {"e2", false}, {"e3", true}, {"unknown", true}} {
		if got := f.PermitTermination(now, step.executor); got != step.want {
			t.Errorf("%s: %v, want %v", step.executor, got, step.want)
		}
	}
	if f.mayInterrupt(units[2]) {
		t.Error("two tasks will be terminated, and a third may be stopped")
	}
	// The orders were not carried out.
	f.expireTerminations(now.Add(terminationTime + time.Second))
	if !f.mayInterrupt(units[2]) || !f.PermitTermination(now, "e2") {
		t.Error("permits count that have expired")
	}
	units[0].state = unitPending
	units[1].taskRuns[0].progress = 50
	if f.expireTerminations(now.Add(terminationTime + time.Second)); f.PermitTermination(now, "e2") {
		t.Error("two tasks are missing, and two more may be terminated")
	}
	if !f.PermitTermination(now, "e1") {
		t.Error("a task that is missing already keeps its executor")
	}
}
