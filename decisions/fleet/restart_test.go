package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// restartSilently ends the process of an executor without a sign and starts the next one after a pause.
func (sim *simulation) restartSilently(id workload.ExecutorID, pause time.Duration, during func()) {
	sim.crashSilently(id)
	sim.advance(pause / 2)
	if during != nil {
		during()
	}
	sim.advance(pause - pause/2)
	sim.restart(id)
}

// TestDeadlineOfEarlierProcess guards against a task that runs twice: a start with a deadline on the clock of the earlier
// process reaches the executor's next process, whose clock begins anew, and extends its lease to the longest one.
func TestDeadlineOfEarlierProcess(t *testing.T) {
	for _, next := range []bool{false, true} {
		sim := startSimulation(t, 1, 3)
		sim.submit(oneStep("first", "batch", workload.Step{Count: 24, Need: smallTask}), behavior{runTime: 500 * time.Millisecond})
		sim.advance(30 * time.Second)
		id := sim.executorIDs[0]
		sim.restartSilently(id, 300*time.Millisecond, func() {
			sim.submit(oneStep("j", "batch", workload.Step{Count: 12, Need: smallTask, Estimate: 20 * time.Second}), behavior{runTime: 20 * time.Second})
		})
		sim.advance(1500 * time.Millisecond)
		if len(sim.executors[id].runs) == 0 {
			t.Fatal("nothing runs on the restarted executor")
		}
		if next {
			sim.newHolder()
			sim.advance(100 * time.Millisecond)
		}
		sim.executors[id].unreachable = true
		sim.advance(9 * time.Second)
		sim.executors[id].unreachable = false
		sim.advance(60 * time.Second)
		sim.expectDone()
	}
}
