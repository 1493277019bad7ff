package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// rejectConnections makes connections to an executor fail as refused for a while. Its runs go on.
func (sim *simulation) rejectConnections(id workload.ExecutorID, d time.Duration) {
	e := sim.executors[id]
	e.unreachable, e.rejecting = true, true
	sim.schedule(d, func() { e.unreachable, e.rejecting = false, false })
}

// expectStarts fails the test unless each task of a job of one step was started a number of times.
func (sim *simulation) expectStarts(j *workload.Job, want int) {
	sim.t.Helper()
	for i := range j.Steps[0].Count {
		if n := len(sim.starts[workload.TaskRef{Job: j.ID, Index: i}]); n != want {
			sim.t.Errorf("task %d of job %s: %d starts, want %d", i, j.ID, n, want)
		}
	}
}

// TestRejectedConnections guards against tasks that start a second time while a firewall or a partition answers for
// their executor with resets: a refused connection does not show that the process behind the address has ended.
func TestRejectedConnections(t *testing.T) {
	for _, cut := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5500 * time.Millisecond, 12 * time.Second} {
		for _, checkpoint := range []bool{false, true} {
			sim := startSimulation(t, 1, 3)
			j := oneStep("j", "batch", workload.Step{Count: 8, Need: smallTask, Checkpoint: checkpoint, Estimate: 9 * time.Second})
			sim.submit(j, behavior{runTime: 9 * time.Second})
			sim.advance(3 * time.Second)
			sim.rejectConnections(sim.activeRuns[workload.TaskRef{Job: "j"}].executor.info.ID, cut)
			sim.advance(40 * time.Second)
			sim.expectDone()
			if cut < 3*time.Second {
				// No lease ends, so that every run goes on.
				sim.expectStarts(j, 1)
			}
		}
	}
}

// TestRejectedConnectionsOfNewHolder guards against a new holder that starts a task again because the executor on which
// an earlier holder started it refuses connections, although the lease of that run has not ended.
func TestRejectedConnectionsOfNewHolder(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	j := oneStep("j", "batch", workload.Step{Count: 8, Need: smallTask, Estimate: 9 * time.Second})
	sim.submit(j, behavior{runTime: 9 * time.Second})
	sim.advance(3 * time.Second)
	sim.rejectConnections(sim.activeRuns[workload.TaskRef{Job: "j"}].executor.info.ID, 2500*time.Millisecond)
	sim.newHolder()
	sim.advance(40 * time.Second)
	sim.expectDone()
	sim.expectStarts(j, 1)
}

// TestAdoptedRunOfEndedExecutor guards against a job that never ends: a new holder adopts its run, but a registry entry
// with a later start time keeps it from renewing the executor's lease, and the executor does not answer again.
func TestAdoptedRunOfEndedExecutor(t *testing.T) {
	sim := newSimulation(t, 1, 1, 2)
	f, now := New(sim.settings, 2, 10, true, sim.now), sim.now
	f.SetConfig(sim.config)
	for _, id := range sim.executorIDs {
		f.UpsertExecutor(now, sim.executors[id].info)
	}
	f.AddJob(now, oneStep("j", "batch", workload.Step{Count: 1, Need: smallTask}), 1, &workload.Progress{MayRun: true, Begun: true})
	gone := sim.executors["e0-0"].info
	step := func() (started bool) {
		f.SetLeaseAge(now, 0)
		actions, _ := f.Plan(now)
		for _, a := range actions {
			switch a := a.(type) {
			case Start:
				started = true
			case Poll:
				r := workload.Report{Clock: now.Sub(sim.now) + time.Minute, StartedAtMS: gone.StartedAtMS}
				switch {
				case a.Executor != gone.ID:
					f.Report(now, a.Executor, now, a, r)
				case now.Equal(sim.now):
					r.Running = []workload.RunningTask{{Task: workload.TaskRef{Job: "j"}, Run: 100001}}
					f.Report(now, a.Executor, now, a, r)
					later := gone
					later.StartedAtMS++
					f.UpsertExecutor(now, later)
				default:
					f.PollFailed(now, a.Executor, CallRefused)
				}
			}
		}
		return started
	}
	for ; now.Sub(sim.now) < 20*time.Second; now = now.Add(50 * time.Millisecond) {
		if step() {
			if d := now.Sub(sim.now); d < sim.settings.Lease {
				t.Errorf("the task starts again %v after its run was reported, before the lease has ended", d)
			}
			return
		}
	}
	t.Error("the task does not start again within 20 s")
}

// TestEndedExecutor guards against work that waits longer than it must for an executor whose process really ended. If
// the executor starts again, its own report shows that its runs have ended, so that they start again within a second. If
// it stays away, they start again once its lease has ended.
func TestEndedExecutor(t *testing.T) {
	for name, c := range map[string]struct {
		restartAfter time.Duration
		within       time.Duration
	}{
		"starts again at once":      {restartAfter: 300 * time.Millisecond, within: 1300 * time.Millisecond},
		"starts again in seconds":   {restartAfter: 3 * time.Second, within: 4 * time.Second},
		"stays away, lease expires": {within: 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 1, 3)
			j := oneStep("j", "batch", workload.Step{Count: 8, Need: smallTask, Estimate: 20 * time.Second})
			sim.submit(j, behavior{runTime: 20 * time.Second})
			sim.advance(2 * time.Second)
			id := sim.activeRuns[workload.TaskRef{Job: "j"}].executor.info.ID
			crashedAt := sim.now
			sim.crash(id)
			if c.restartAfter > 0 {
				sim.advance(c.restartAfter)
				sim.restart(id)
			}
			sim.advance(c.within - sim.now.Sub(crashedAt))
			for i := range 8 {
				task := workload.TaskRef{Job: "j", Index: i}
				r := sim.activeRuns[task]
				if !r.executor.up || r.executor.info.ID == id && r.startedAt.Before(crashedAt) {
					t.Errorf("task %d does not run again %v after the end of its executor's process", i, c.within)
				}
			}
			sim.advance(60 * time.Second)
			sim.expectDone()
		})
	}
}

// TestGoneExecutorsAreForgotten guards against executors that are polled for ever: ones that left while a holder had not
// heard from them yet refuse connections and have no registry entry.
func TestGoneExecutorsAreForgotten(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	sim.submit(oneStep("j", "batch", workload.Step{Count: 24, Need: smallTask}), behavior{runTime: time.Second})
	sim.advance(500 * time.Millisecond)
	sim.crash("e0-0")
	sim.newHolder()
	sim.advance(30 * time.Second)
	sim.expectDone()
	polls := sim.polls
	sim.advance(10 * time.Second)
	if _, known := sim.holder.scheduler.executors["e0-0"]; known || sim.polls > polls {
		t.Errorf("executor known %v, %d polls in 10 s without work", known, sim.polls-polls)
	}
}
