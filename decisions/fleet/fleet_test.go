package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// startSimulation returns a running simulation with a holder.
func startSimulation(t *testing.T, racks, perRack int) *simulation {
	t.Helper()
	sim := newSimulation(t, 1, racks, perRack)
	sim.newHolder()
	sim.advanceRuns()
	sim.advance(100 * time.Millisecond)
	return sim
}

var smallTask = workload.Resources{CPU: 2800, Memory: 5700, GPU: 1}

// TestFaultFreeRun guards against jobs that do not end without any fault: independent tasks, a gang, dependent steps,
// and a job whose tasks always fail.
func TestFaultFreeRun(t *testing.T) {
	sim := startSimulation(t, 2, 4)
	sim.submit(oneStep("tasks", "batch", workload.Step{Count: 20, Need: smallTask}), behavior{runTime: 3 * time.Second})
	sim.submit(oneStep("gang", "normal", workload.Step{Count: 4, Gang: true, SameRack: true, Need: workload.Resources{CPU: 13000, GPU: 4}}),
		behavior{runTime: 2 * time.Second})
	sim.submit(&workload.Job{ID: "steps", Queue: "batch", Account: "a", Steps: []workload.Step{
		{Count: 3, Need: smallTask, Estimate: time.Second}, {Count: 2, Need: smallTask, Estimate: time.Second, After: []int{0}},
	}}, behavior{runTime: time.Second})
	sim.submit(oneStep("hopeless", "batch", workload.Step{Count: 1, Need: smallTask}), behavior{runTime: time.Second, fails: true})
	sim.advance(12 * time.Second)
	sim.expectDone()
}

// TestExecutorThatLeaves guards against tasks that are never restarted after their executor has left without notice.
// Its address then does not answer at all, which a dial reports as a call that certainly had no effect.
func TestExecutorThatLeaves(t *testing.T) {
	for _, id := range []workload.ExecutorID{"e0-0", "e0-1", "e0-2"} {
		sim := startSimulation(t, 1, 3)
		sim.submit(oneStep("j", "batch", workload.Step{Count: 24, Need: smallTask}), behavior{runTime: 4 * time.Second})
		sim.advance(time.Second)
		sim.executors[id].unreachable = true
		sim.holder.scheduler.RemoveExecutor(sim.now, id)
		sim.advance(20 * time.Second)
		sim.expectDone()
	}
}

// TestRefusedOnce guards against an executor that never gets work again after a single refused connection.
func TestRefusedOnce(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	sim.executors["e0-0"].up = false
	sim.submit(oneStep("j", "batch", workload.Step{Count: 1, Need: smallTask}), behavior{runTime: time.Second})
	sim.advance(10 * time.Millisecond)
	sim.executors["e0-0"].up = true
	sim.advance(5 * time.Second)
	sim.expectDone()
}

// TestFailuresOutliveHolder guards against more starts of a task than its attempts: a new holder that finds a run of a
// task in progress has to count the failures of earlier runs, which were not recorded because the store was down.
func TestFailuresOutliveHolder(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.submit(oneStep("j", "batch", workload.Step{Count: 1, Need: smallTask}), behavior{runTime: 700 * time.Millisecond, fails: true})
	sim.advance(100 * time.Millisecond)
	sim.storeDown = true
	sim.advance(1900 * time.Millisecond)
	if n := len(sim.starts[workload.TaskRef{Job: "j"}]); n != 3 {
		t.Fatalf("%d starts before the new holder, want 3", n)
	}
	sim.storeDown = false
	sim.newHolder()
	sim.advance(10 * time.Second)
	sim.expectDone()
}

// TestGangNeedsAllExecutors guards against a gang that never starts again after a failure, because it avoids an
// executor without which it does not fit.
func TestGangNeedsAllExecutors(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	sim.submit(oneStep("j", "normal", workload.Step{Count: 3, Gang: true, Need: workload.Resources{CPU: 1000, GPU: 8}}),
		behavior{runTime: time.Second, fails: true})
	sim.advance(20 * time.Second)
	sim.expectDone()
}

// TestRestartBeforeRegistryUpdate guards against a task that runs twice because the end of its first run was
// acknowledged before it was reported. A restarted executor numbers its ends from the beginning, and a poll that
// acknowledges a number from before the restart makes it discard them. The pending poll fails at the restart, and the
// new process may run and end tasks before the next one.
func TestRestartBeforeRegistryUpdate(t *testing.T) {
	// The end has to fall between the arrival of the start and that of the next poll.
	for offset := time.Duration(0); offset < tick; offset += time.Millisecond {
		sim := startSimulation(t, 1, 1)
		sim.submit(oneStep("before", "batch", workload.Step{Count: 4, Need: smallTask}), behavior{runTime: 500 * time.Millisecond})
		sim.advance(5 * time.Second)
		sim.submit(oneStep("long", "batch", workload.Step{Count: 1, Need: smallTask}), behavior{runTime: 3 * time.Second})
		sim.advance(500*time.Millisecond + offset)
		sim.submit(oneStep("short", "batch", workload.Step{Count: 1, Need: smallTask}), behavior{runTime: time.Millisecond})
		sim.restartUnregistered("e0-0")
		sim.advance(20 * time.Second)
		sim.expectDone()
		if n := len(sim.starts[workload.TaskRef{Job: "short"}]); n != 1 {
			t.Errorf("offset %v: %d starts, want 1", offset, n)
		}
	}
}

// TestSplitHolder guards against a task that runs twice because a partitioned holder takes the leases of the executors
// that it does not reach for expired, while the next holder has renewed them.
func TestSplitHolder(t *testing.T) {
	sim := startSimulation(t, 2, 2)
	sim.submit(oneStep("j", "normal", workload.Step{Count: 1, Need: smallTask, Estimate: 12 * time.Second}), behavior{runTime: 12 * time.Second})
	sim.advance(500 * time.Millisecond)
	executor := sim.activeRuns[workload.TaskRef{Job: "j"}].executor.info.ID
	reachable := map[workload.ExecutorID]bool{}
	for _, id := range sim.executorIDs {
		reachable[id] = id != executor
	}
	sim.partition(reachable, 11*time.Second)
	sim.advance(30 * time.Second)
	sim.expectDone()
	if n := len(sim.starts[workload.TaskRef{Job: "j"}]); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// TestSplitHolderStarts guards against a task that a partitioned holder starts on its side while the next holder starts
// it on the other, for a job that was not started before the partition.
func TestSplitHolderStarts(t *testing.T) {
	sim := startSimulation(t, 2, 2)
	sim.submit(oneStep("full", "normal", workload.Step{Count: 4, Need: workload.Resources{GPU: 8}, Estimate: 3 * time.Second}), behavior{runTime: 3 * time.Second})
	sim.advance(300 * time.Millisecond)
	sim.submit(oneStep("waits", "normal", workload.Step{Count: 1, Need: workload.Resources{GPU: 8}, Estimate: 9 * time.Second}), behavior{runTime: 9 * time.Second})
	sim.partition(map[workload.ExecutorID]bool{"e0-0": true, "e0-1": true}, 11*time.Second)
	sim.advance(40 * time.Second)
	sim.expectDone()
}

// TestWaitsForItsRack guards against a gang that starts at once across two racks, where it runs three times as long,
// although a rack becomes free soon and the objective allows the wait.
func TestWaitsForItsRack(t *testing.T) {
	sim := startSimulation(t, 2, 2)
	wholeExecutor := workload.Resources{CPU: 13000, GPU: 8}
	for _, rack := range []string{"r0", "r1"} {
		sim.submit(oneStep("first-"+rack, "normal", workload.Step{Count: 1, Need: wholeExecutor, Rack: rack}), behavior{runTime: 2 * time.Second})
	}
	sim.advance(200 * time.Millisecond)
	sim.submit(oneStep("gang", "normal", workload.Step{Count: 2, Gang: true, SameRack: true, Need: wholeExecutor, Estimate: 4 * time.Second}), behavior{runTime: 4 * time.Second})
	sim.advance(5 * time.Second)
	racks := map[string]bool{}
	for i := range 2 {
		r := sim.activeRuns[workload.TaskRef{Job: "gang", Index: i}]
		if r == nil {
			t.Fatalf("task %d of the gang does not run after 5 s", i)
		}
		racks[r.executor.info.Rack()] = true
	}
	if len(racks) != 1 {
		t.Errorf("the gang runs on the racks %v, want one", racks)
	}
}

// TestInheritedJobThatNeverRan guards against a job that waits for executors which do not answer a new holder, although
// no earlier holder has recorded that it may run.
func TestInheritedJobThatNeverRan(t *testing.T) {
	sim := newSimulation(t, 1, 1, 2)
	sim.newHolder()
	sim.advanceRuns()
	sim.advance(100 * time.Millisecond)
	sim.executors["e0-1"].unreachable = true
	sim.storeDown = true
	sim.submit(oneStep("job", "urgent", workload.Step{Count: 1, Need: smallTask, Estimate: time.Second}), behavior{runTime: time.Second})
	sim.advance(100 * time.Millisecond)
	sim.storeDown = false
	sim.newHolder()
	sim.advance(time.Second)
	for _, v := range sim.violations {
		t.Error(v)
	}
	if len(sim.starts[workload.TaskRef{Job: "job"}]) == 0 {
		t.Errorf("the job has not started a second after the change of holder:\n%s", sim.describe("job"))
	}
}
