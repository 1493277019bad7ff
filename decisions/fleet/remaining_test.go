package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestRemaining guards against a wrong remaining time of a run: one that follows a wrong estimate although progress was
// reported, one of a resumed or adopted run that counts the progress of earlier runs as its own, and one of a
// long-running task.
func TestRemaining(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	f := func() *Scheduler { return sim.holder.scheduler }
	sim.submit(oneStep("misjudged", "batch", workload.Step{Count: 1, Need: smallTask, Estimate: 2 * time.Second}), behavior{runTime: 10 * time.Second})
	sim.submit(oneStep("saving", "batch", workload.Step{Count: 1, Need: smallTask, Checkpoint: true, Estimate: 30 * time.Second}), behavior{runTime: 10 * time.Second})
	sim.submit(oneStep("lasting", "batch", workload.Step{Count: 1, Need: smallTask, LongRunning: true}), behavior{runTime: time.Hour})
	expect := func(when string, id workload.JobID, want time.Duration) {
		t.Helper()
		got, known := f().remaining(sim.now, f().jobs[id].unitAt(0))
		if !known || (got-want).Abs() > 600*time.Millisecond {
			t.Errorf("%s, job %s has %v left (%v), want about %v", when, id, got, known, want)
		}
	}
	sim.advance(300 * time.Millisecond)
	expect("before a report", "misjudged", 1700*time.Millisecond)
	sim.advance(4700 * time.Millisecond)
	expect("after reports", "misjudged", 5*time.Second)
	expect("after reports", "saving", 5*time.Second)
	if _, known := f().remaining(sim.now, f().jobs["lasting"].unitAt(0)); known {
		t.Error("a long-running task has no remaining time")
	}
	sim.newHolder()
	sim.advance(2500 * time.Millisecond)
	expect("with a new holder", "misjudged", 2500*time.Millisecond)
	f().interrupt(sim.now, f().jobs["saving"].unitAt(0), StopMoved)
	sim.advance(600 * time.Millisecond)
	if _, known := f().remaining(sim.now, f().jobs["saving"].unitAt(0)); known {
		t.Error("the remaining time of a resumed run is known before a report")
	}
}
