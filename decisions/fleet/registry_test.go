package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestOddEntryOfRunningExecutor guards against work that is stopped, lost or run twice because the registry entry of
// its executor was overwritten for a while by another writer: with a start time in the future, with an address at which
// nothing listens, or with that of another executor. Heartbeats of the executor restore the entry later.
func TestOddEntryOfRunningExecutor(t *testing.T) {
	for name, odd := range map[string]struct {
		change func(*workload.Executor)
		taken  bool
	}{
		"start time in the future":    {change: func(e *workload.Executor) { e.StartedAtMS = 1 << 47 }},
		"address without a listener":  {change: func(e *workload.Executor) { e.Address = "nowhere" }},
		"address of another executor": {change: func(e *workload.Executor) { e.Address = "nowhere" }, taken: true},
		"entry unusable":              {},
	} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 1, 2)
			sim.addressTaken = odd.taken
			sim.submit(oneStep("j", "batch", workload.Step{Count: 4, Need: smallTask, Estimate: 8 * time.Second}), behavior{runTime: 8 * time.Second})
			sim.advance(time.Second)
			id := sim.activeRuns[workload.TaskRef{Job: "j"}].executor.info.ID
			if odd.change == nil {
				sim.holder.scheduler.RemoveExecutor(sim.now, id)
			} else {
				info := sim.executors[id].info
				odd.change(&info)
				sim.holder.scheduler.UpsertExecutor(sim.now, info)
			}
			sim.plan(sim.holder)
			sim.advance(1500 * time.Millisecond)
			sim.holder.scheduler.UpsertExecutor(sim.now, sim.executors[id].info)
			sim.plan(sim.holder)
			polls := sim.polls
			sim.advance(20 * time.Second)
			if n := sim.polls - polls; n > 200 {
				t.Errorf("%d polls in 20 s", n)
			}
			sim.expectDone()
			for i := range 4 {
				if n := len(sim.starts[workload.TaskRef{Job: "j", Index: i}]); n != 1 {
					t.Errorf("task %d: %d starts, want 1", i, n)
				}
			}
		})
	}
}
