package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// start runs a world with a holder.
func start(t *testing.T, racks, perRack int) *world {
	t.Helper()
	w := newWorld(t, 1, racks, perRack)
	w.newHolder()
	w.work()
	w.run(100 * time.Millisecond)
	return w
}

var small = workload.Resources{CPU: 2800, Memory: 5700, GPU: 1}

// TestCalmDay guards against a scheduler that does not bring jobs of all shapes to their end.
func TestCalmDay(t *testing.T) {
	w := start(t, 2, 4)
	w.submit(oneStep("tasks", "batch", workload.Step{Count: 20, Need: small}), behavior{work: 3 * time.Second})
	w.submit(oneStep("gang", "normal", workload.Step{Count: 4, Gang: true, SameRack: true, Need: workload.Resources{CPU: 13000, GPU: 4}}),
		behavior{work: 2 * time.Second})
	w.submit(&workload.Job{ID: "steps", Queue: "batch", Account: "a", Steps: []workload.Step{
		{Count: 3, Need: small, Estimate: time.Second}, {Count: 2, Need: small, Estimate: time.Second, After: []int{0}},
	}}, behavior{work: time.Second})
	w.submit(oneStep("hopeless", "batch", workload.Step{Count: 1, Need: small}), behavior{work: time.Second, fails: true})
	w.run(12 * time.Second)
	w.expectDone()
}

// TestExecutorThatLeaves guards against tasks that are never started again after their executor has left without
// another word: its address then does not answer at all, which a dial reports as an order that was certainly not
// carried out.
func TestExecutorThatLeaves(t *testing.T) {
	for _, id := range []workload.ExecutorID{"e0-0", "e0-1", "e0-2"} {
		w := start(t, 1, 3)
		w.submit(oneStep("j", "batch", workload.Step{Count: 24, Need: small}), behavior{work: 4 * time.Second})
		w.run(time.Second)
		w.execs[id].cut = true
		w.holder.fleet.RemoveExecutor(w.now, id)
		w.run(20 * time.Second)
		w.expectDone()
	}
}

// TestRefusedOnce guards against an executor that gets no work for ever after one refused connection.
func TestRefusedOnce(t *testing.T) {
	w := start(t, 1, 1)
	w.execs["e0-0"].up = false
	w.submit(oneStep("j", "batch", workload.Step{Count: 1, Need: small}), behavior{work: time.Second})
	w.run(10 * time.Millisecond)
	w.execs["e0-0"].up = true
	w.run(5 * time.Second)
	w.expectDone()
}

// TestFailuresOutliveHolder guards against a start beyond the attempts of a task: a new holder that finds a later run
// of a task in progress has to count the failures of the earlier ones, which were not recorded.
func TestFailuresOutliveHolder(t *testing.T) {
	w := start(t, 1, 4)
	w.submit(oneStep("j", "batch", workload.Step{Count: 1, Need: small}), behavior{work: 700 * time.Millisecond, fails: true})
	w.run(100 * time.Millisecond)
	w.storeDown = true
	w.run(1900 * time.Millisecond)
	if n := len(w.starts[workload.TaskRef{Job: "j"}]); n != 3 {
		t.Fatalf("%d starts before the new holder, want 3", n)
	}
	w.storeDown = false
	w.newHolder()
	w.run(10 * time.Second)
	w.expectDone()
}

// TestGangNeedsAllExecutors guards against a gang that never starts again after a failure, because it keeps away from an
// executor without which it has no room.
func TestGangNeedsAllExecutors(t *testing.T) {
	w := start(t, 1, 3)
	w.submit(oneStep("j", "normal", workload.Step{Count: 3, Gang: true, Need: workload.Resources{CPU: 1000, GPU: 8}}),
		behavior{work: time.Second, fails: true})
	w.run(20 * time.Second)
	w.expectDone()
}

// TestRebirthBeforeItsNews guards against a task that runs twice because the end of its first run was acknowledged unread:
// an executor that starts again counts its ends anew, and a look with the number of its last life makes it forget them.
// The outstanding look ends with the old life, and the new one may run and end tasks before the next look.
func TestRebirthBeforeItsNews(t *testing.T) {
	// The end has to fall between the arrival of the start and that of the next look.
	for offset := time.Duration(0); offset < tick; offset += time.Millisecond {
		w := start(t, 1, 1)
		w.submit(oneStep("before", "batch", workload.Step{Count: 4, Need: small}), behavior{work: 500 * time.Millisecond})
		w.run(5 * time.Second)
		w.submit(oneStep("long", "batch", workload.Step{Count: 1, Need: small}), behavior{work: 3 * time.Second})
		w.run(500*time.Millisecond + offset)
		w.submit(oneStep("short", "batch", workload.Step{Count: 1, Need: small}), behavior{work: time.Millisecond})
		w.rebornUnnoticed("e0-0")
		w.run(20 * time.Second)
		w.expectDone()
		if n := len(w.starts[workload.TaskRef{Job: "short"}]); n != 1 {
			t.Errorf("offset %v: %d starts, want 1", offset, n)
		}
	}
}

// TestSplitHolder guards against a task that runs twice because a holder that is cut off takes the leases on the other side
// of the cut for ended, while the next holder there has renewed them.
func TestSplitHolder(t *testing.T) {
	w := start(t, 2, 2)
	w.submit(oneStep("j", "normal", workload.Step{Count: 1, Need: small, Estimate: 12 * time.Second}), behavior{work: 12 * time.Second})
	w.run(500 * time.Millisecond)
	ran := w.active[workload.TaskRef{Job: "j"}].on.info.ID
	side := map[workload.ExecutorID]bool{}
	for _, id := range w.names {
		side[id] = id != ran
	}
	w.split(side, 11*time.Second)
	w.run(30 * time.Second)
	w.expectDone()
	if n := len(w.starts[workload.TaskRef{Job: "j"}]); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// TestSplitHolderStarts guards against a task that a cut off holder starts on its side, while the next holder starts it on the
// other: jobs that were not started before the cut.
func TestSplitHolderStarts(t *testing.T) {
	w := start(t, 2, 2)
	w.submit(oneStep("full", "normal", workload.Step{Count: 4, Need: workload.Resources{GPU: 8}, Estimate: 3 * time.Second}), behavior{work: 3 * time.Second})
	w.run(300 * time.Millisecond)
	w.submit(oneStep("waits", "normal", workload.Step{Count: 1, Need: workload.Resources{GPU: 8}, Estimate: 9 * time.Second}), behavior{work: 9 * time.Second})
	w.split(map[workload.ExecutorID]bool{"e0-0": true, "e0-1": true}, 11*time.Second)
	w.run(40 * time.Second)
	w.expectDone()
}

// TestWaitsForItsRack guards against a gang that starts over two racks at once, where it takes three times as long, although a rack has
// room soon and its objective leaves the time.
func TestWaitsForItsRack(t *testing.T) {
	w := start(t, 2, 2)
	whole := workload.Resources{CPU: 13000, GPU: 8}
	for _, rack := range []string{"r0", "r1"} {
		w.submit(oneStep("first-"+rack, "normal", workload.Step{Count: 1, Need: whole, Rack: rack}), behavior{work: 2 * time.Second})
	}
	w.run(200 * time.Millisecond)
	w.submit(oneStep("gang", "normal", workload.Step{Count: 2, Gang: true, SameRack: true, Need: whole, Estimate: 4 * time.Second}), behavior{work: 4 * time.Second})
	w.run(5 * time.Second)
	racks := map[string]bool{}
	for i := range 2 {
		r := w.active[workload.TaskRef{Job: "gang", Index: i}]
		if r == nil {
			t.Fatalf("task %d of the gang does not run after 5 s", i)
		}
		racks[r.on.info.Rack()] = true
	}
	if len(racks) != 1 {
		t.Errorf("the gang runs on the racks %v, want one", racks)
	}
}
