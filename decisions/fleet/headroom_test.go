package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// replayUrgent simulates a steady stream of short urgent gangs on a fleet with more long batch tasks than it can hold.
// It returns the number of preempted units and of completed urgent jobs.
func replayUrgent(t *testing.T, headroom time.Duration) (preempted, completed int) {
	t.Helper()
	sim := newSimulation(t, 7, 2, 8)
	sim.newHolder()
	sim.holder.scheduler.headroomWindow = headroom
	sim.advanceRuns()
	sim.advance(100 * time.Millisecond)
	for i := range 12 {
		sim.submit(oneStep(fmt.Sprintf("batch%d", i), "batch", workload.Step{Count: 40, Need: smallTask, Estimate: 8 * time.Second}), behavior{runTime: 8 * time.Second})
	}
	const urgent = 60
	for i := range urgent {
		sim.submit(oneStep(fmt.Sprintf("urgent%02d", i), "urgent", workload.Step{Count: 3, Gang: true, SameRack: true, Need: workload.Resources{CPU: 3700, GPU: 4}}),
			behavior{runTime: 2 * time.Second})
		sim.advance(500 * time.Millisecond)
	}
	sim.advance(4 * time.Second)
	for _, f := range sim.violations {
		t.Error(f)
	}
	for _, id := range sim.jobIDs {
		state, _ := sim.holder.scheduler.Status(id)
		if sim.jobs[id].Queue == "urgent" && state == workload.StateCompleted {
			completed++
		}
	}
	return int(sim.holder.scheduler.TakeCounters()[CountPreempted]), completed
}

// TestHeadroomSparesWork guards against urgent work that preempts long tasks again and again, because they fill the
// capacity that it releases. The load is a stream of short urgent gangs beside more batch work than the fleet can hold.
func TestHeadroomSparesWork(t *testing.T) {
	t.Parallel()
	preemptedWithout, completedWithout := replayUrgent(t, 0)
	preemptedWith, completedWith := replayUrgent(t, defaultHeadroomWindow)
	t.Logf("preempted units: %d without headroom, %d with it; completed urgent jobs: %d and %d", preemptedWithout, preemptedWith, completedWithout, completedWith)
	if preemptedWith*2 > preemptedWithout {
		t.Errorf("%d units preempted with headroom, %d without it; want at most half", preemptedWith, preemptedWithout)
	}
	if completedWith < completedWithout {
		t.Errorf("%d urgent jobs completed with headroom, %d without it", completedWith, completedWithout)
	}
}

// TestRoomForGangs guards against the starvation of a gang, because a stream of small tasks takes the capacity that
// becomes free. The load is more batch work than the fleet can hold, beside a gang that needs three quarters of the
// fleet.
func TestRoomForGangs(t *testing.T) {
	sim := startSimulation(t, 2, 4)
	gang := oneStep("gang", "normal", workload.Step{Count: 6, Gang: true, Need: workload.Resources{CPU: 13000, GPU: 8}, Estimate: 4 * time.Second})
	for i := range 60 {
		sim.submit(oneStep(fmt.Sprintf("batch%02d", i), "batch", workload.Step{Count: 10, Need: smallTask, Estimate: 4 * time.Second}), behavior{runTime: 4 * time.Second})
		if i == 10 {
			sim.submit(gang, behavior{runTime: 4 * time.Second})
		}
		sim.advance(500 * time.Millisecond)
	}
	for _, f := range sim.violations {
		t.Error(f)
	}
	route := sim.config.Route("normal")
	// The gang arrives after 5.6 s and meets its objective if it starts within its slack.
	latest := time.Unix(1_700_000_000, 0).Add(5600*time.Millisecond + time.Duration((route.Stretch-1)*float64(4*time.Second)) + route.Latency)
	starts := sim.starts[workload.TaskRef{Job: "gang"}]
	if len(starts) == 0 || starts[0].After(latest) {
		t.Errorf("the gang started at %v, want %v at the latest", starts, latest)
	}
}

// TestIdleFleetKeepsNoRoom guards against work that is held back for a waiting gang although most of the fleet is free,
// and against a long-running task that is held back at all: its absence counts from the first second.
func TestIdleFleetKeepsNoRoom(t *testing.T) {
	for name, tc := range map[string]struct {
		busy workload.Step
		then workload.Step
	}{
		"idle": {
			workload.Step{Count: 8, MaxPerExecutor: 1, Need: smallTask, Estimate: 30 * time.Second},
			workload.Step{Count: 4, Need: smallTask, Estimate: 30 * time.Second},
		},
		"long-running": {
			workload.Step{Count: 8, MaxPerExecutor: 1, Need: workload.Resources{CPU: 20000, GPU: 5}, Estimate: 30 * time.Second},
			workload.Step{Count: 4, Need: smallTask, Estimate: 30 * time.Second, LongRunning: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 2, 4)
			sim.submit(oneStep("busy", "normal", tc.busy), behavior{runTime: 30 * time.Second})
			sim.advance(200 * time.Millisecond)
			sim.submit(oneStep("gang", "normal", workload.Step{Count: 4, Gang: true, SameRack: true, Need: workload.Resources{CPU: 13000, GPU: 8}, Estimate: 4 * time.Second}),
				behavior{runTime: 4 * time.Second})
			sim.advance(200 * time.Millisecond)
			sim.submit(oneStep("then", "batch", tc.then), behavior{runTime: 30 * time.Second})
			sim.advance(500 * time.Millisecond)
			for i := range tc.then.Count {
				if sim.activeRuns[workload.TaskRef{Job: "then", Index: i}] == nil {
					t.Errorf("task %d is held back for a waiting gang", i)
				}
			}
			if sim.activeRuns[workload.TaskRef{Job: "gang"}] != nil {
				t.Error("the gang did not have to wait, so that the test does not check anything")
			}
		})
	}
}
