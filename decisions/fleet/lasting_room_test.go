package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// startDomains is startGuaranteed with one failure domain for each rack.
func startDomains(t testing.TB, domains, perDomain, guaranteed int, configure func(*Settings)) *simulation {
	t.Helper()
	sim := startGuaranteed(t, 0, 0, guaranteed, configure)
	for d := range domains {
		for i := range perDomain {
			sim.addExecutor(fmt.Sprintf("e%d-%d", d, i), fmt.Sprintf("r%d", d), fmt.Sprintf("domain%d", d))
		}
	}
	sim.advance(100 * time.Millisecond)
	return sim
}

// takeOut takes the last n of some failure domains out of service.
func (sim *simulation) takeOut(n, domains int) {
	var out []workload.Domain
	for d := domains - n; d < domains; d++ {
		out = append(out, workload.Domain(fmt.Sprintf("domain%d", d)))
	}
	sim.holder.scheduler.SetExcludedDomains(out)
}

// TestLastingTasksWhileDomainsAreOut guards against lasting tasks of which only some may be missing that wait beside idle
// executors until failure domains are taken back, although they fit beside the guarantees on the whole fleet. It also guards
// against the cost of their start: guaranteed work that needs whole executors still begins in time beside them, on the
// executors that are left and, once the domains are back, up to the whole guarantee.
func TestLastingTasksWhileDomainsAreOut(t *testing.T) {
	const domains, perDomain, wholeTasks = 3, 3, 5
	whole := workload.Resources{CPU: 32000, Memory: 64000, GPU: 8}
	for name, tc := range map[string]struct {
		need  workload.Resources
		count int
	}{
		"small":                {smallTask, 16},
		"large":                {workload.Resources{CPU: 8000, Memory: 8000, GPU: 4}, 4},
		"without accelerators": {workload.Resources{CPU: 2800, Memory: 5700}, 22},
	} {
		for out := range domains {
			t.Run(fmt.Sprintf("%s, %d out", name, out), func(t *testing.T) {
				forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
					sim := startDomains(t, domains, perDomain, wholeTasks*whole.GPU, configure)
					sim.takeOut(out, domains)
					sim.submitFor("guest", "lasting", "normal", workload.Step{Count: tc.count, Need: tc.need, LongRunning: true, MayMiss: 1}, time.Hour)
					sim.advance(3 * time.Second)
					if begun, _ := sim.startsOf("lasting"); begun != tc.count {
						t.Fatalf("%d of %d lasting tasks have begun after 3s", begun, tc.count)
					}
					occupied := 0
					for _, e := range sim.executors {
						if len(e.runs) > 0 {
							occupied++
						}
					}
					if occupied != 2 {
						t.Errorf("the lasting tasks are on %d executors, and fit on 2", occupied)
					}
					sim.submitFor("guest", "batch", "batch", workload.Step{Count: 8 * domains * perDomain, Need: smallTask}, time.Hour)
					sim.advance(4 * time.Second)
					n := min(wholeTasks, (domains-out)*perDomain-occupied)
					sim.expectReclaimed("host", "now", workload.Step{Count: n, Need: whole})
					sim.takeOut(0, domains)
					if n < wholeTasks {
						sim.expectReclaimed("host", "back", workload.Step{Count: wholeTasks - n, Need: whole})
					}
					if _, again := sim.startsOf("lasting"); again > 0 {
						t.Errorf("%d lasting tasks were stopped although batch work could give way", again)
					}
				})
			})
		}
	}
}

// TestAdmittedLastingTasksComeBack guards against lasting tasks of which only some may be missing that have run and never come
// back after a failure, the loss of their executor or its upkeep, because the room beside the guarantees has shrunk or they
// still count on the executor that they have to leave. It also guards against an upkeep that waits for ever for that reason.
func TestAdmittedLastingTasksComeBack(t *testing.T) {
	for name, tc := range map[string]struct {
		step    workload.Step
		trouble func(*simulation, *fakeRun)
		// alone is set if no task may remain on the executor of the first one.
		alone bool
	}{
		"executor lost": {lasting(8, 1), func(sim *simulation, r *fakeRun) { sim.crash(r.executor.info.ID) }, true},
		"executor in upkeep": {lasting(8, 1), func(sim *simulation, r *fakeRun) {
			sim.holder.scheduler.SetEvacuating([]workload.ExecutorID{r.executor.info.ID})
		}, true},
		"task failed beside a higher guarantee": {
			workload.Step{Count: 2, Need: workload.Resources{CPU: 8000, GPU: 5}, LongRunning: true, MayMiss: 1},
			func(sim *simulation, r *fakeRun) {
				sim.config.Accounts[0].Guaranteed = 32
				sim.advance(100 * time.Millisecond)
				sim.endRun(r, workload.Failed)
			},
			false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
				executors := 3
				if tc.step.Count == 2 {
					executors = 4
				}
				sim := startGuaranteed(t, 1, executors, 16, configure)
				sim.submitFor("guest", "lasting", "normal", tc.step, time.Hour)
				sim.advance(3 * time.Second)
				first := sim.activeRuns[workload.TaskRef{Job: "lasting"}]
				if n := sim.running("guest").GPU; n != tc.step.Count*tc.step.Need.GPU {
					t.Fatalf("%d accelerators of the lasting job run before the trouble", n)
				}
				tc.trouble(sim, first)
				sim.advance(20 * time.Second)
				if n := sim.running("guest").GPU; n != tc.step.Count*tc.step.Need.GPU {
					t.Errorf("%d accelerators of the lasting job run 20s after the trouble, want %d", n, tc.step.Count*tc.step.Need.GPU)
				}
				if tc.alone && len(first.executor.runs) > 0 {
					t.Errorf("%d tasks are still on %s", len(first.executor.runs), first.executor.info.ID)
				}
				if !tc.alone && slices.Contains(first.executor.runs, first) {
					t.Error("the failed run goes on")
				}
				for _, v := range sim.violations {
					t.Error(v)
				}
			})
		})
	}
}

// TestFailedLastingTaskKeepsItsPlace guards against a lasting task of which only some may be missing whose place is taken by
// waiting work as soon as it fails, so that it waits beside idle executors that are kept for guarantees.
func TestFailedLastingTaskKeepsItsPlace(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 3, 16, configure)
		sim.submitFor("guest", "lasting", "batch", lasting(8, 1), time.Hour)
		sim.advance(3 * time.Second)
		sim.submitFor("guest", "short", "normal", workload.Step{Count: 16, Need: smallTask}, 12*time.Second)
		sim.advance(3 * time.Second)
		sim.submitFor("guest", "waiting", "normal", workload.Step{Count: 4, Need: smallTask}, time.Hour)
		sim.advance(time.Second)
		first := workload.TaskRef{Job: "lasting"}
		failed := sim.activeRuns[first]
		sim.endRun(failed, workload.Failed)
		sim.advance(20 * time.Second)
		if r := sim.activeRuns[first]; r == failed || !slices.Contains(r.executor.runs, r) {
			t.Error("the failed task has not come back after 20s")
		}
		sim.expectReclaimed("host", "guaranteed", workload.Step{Count: 2, Need: workload.Resources{CPU: 13000, GPU: 8}})
	})
}
