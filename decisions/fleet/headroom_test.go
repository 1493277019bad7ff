package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// replayUrgent plays a steady stream of short urgent gangs over a fleet that long batch tasks would fill, and returns
// the number of runs that were stopped and of urgent jobs that were done within their objective.
func replayUrgent(t *testing.T, headroom time.Duration) (stopped, inTime int) {
	t.Helper()
	w := newWorld(t, 7, 2, 8)
	w.newHolder()
	w.holder.fleet.keepFor = headroom
	w.work()
	w.run(100 * time.Millisecond)
	for i := range 12 {
		w.submit(oneStep(fmt.Sprintf("batch%d", i), "batch", workload.Step{Count: 40, Need: small, Estimate: 8 * time.Second}), behavior{work: 8 * time.Second})
	}
	const urgent = 60
	for i := range urgent {
		w.submit(oneStep(fmt.Sprintf("urgent%02d", i), "urgent", workload.Step{Count: 3, Gang: true, SameRack: true, Need: workload.Resources{CPU: 3700, GPU: 4}}),
			behavior{work: 2 * time.Second})
		w.run(500 * time.Millisecond)
	}
	w.run(4 * time.Second)
	for _, f := range w.faults {
		t.Error(f)
	}
	for _, id := range w.order {
		state, _ := w.holder.fleet.Status(id)
		if w.jobs[id].Queue == "urgent" && state == workload.StateCompleted {
			inTime++
		}
	}
	return int(w.holder.fleet.Counts()[CountPreempt]), inTime
}

// TestHeadroomSparesWork guards against urgent work that stops long tasks again and again, because they fill the room
// that it gives back. The load is a stream of short urgent gangs beside more batch work than the fleet holds.
func TestHeadroomSparesWork(t *testing.T) {
	without, servedWithout := replayUrgent(t, 0)
	with, served := replayUrgent(t, headroomTime)
	t.Logf("stopped units %d without headroom, %d with it; urgent jobs done %d and %d", without, with, servedWithout, served)
	if with*2 > without {
		t.Errorf("%d units stopped with headroom, %d without it; want at most half", with, without)
	}
	if served < servedWithout {
		t.Errorf("%d urgent jobs done with headroom, %d without it", served, servedWithout)
	}
}

// TestRoomForGangs guards against a gang that never finds enough room at once, because a stream of small tasks fills what
// becomes free. The load is more batch work than the fleet holds, beside a gang that needs three quarters of it.
func TestRoomForGangs(t *testing.T) {
	w := start(t, 2, 4)
	gang := oneStep("gang", "normal", workload.Step{Count: 6, Gang: true, Need: workload.Resources{CPU: 13000, GPU: 8}, Estimate: 4 * time.Second})
	for i := range 60 {
		w.submit(oneStep(fmt.Sprintf("batch%02d", i), "batch", workload.Step{Count: 10, Need: small, Estimate: 4 * time.Second}), behavior{work: 4 * time.Second})
		if i == 10 {
			w.submit(gang, behavior{work: 4 * time.Second})
		}
		w.run(500 * time.Millisecond)
	}
	for _, f := range w.faults {
		t.Error(f)
	}
	route := w.config.Route("normal")
	// The gang arrives after 5.6 s and meets its objective if it starts within its slack.
	latest := time.Unix(1_700_000_000, 0).Add(5600*time.Millisecond + time.Duration((route.Stretch-1)*float64(4*time.Second)) + route.Latency)
	starts := w.starts[workload.TaskRef{Job: "gang"}]
	if len(starts) == 0 || starts[0].After(latest) {
		t.Errorf("the gang started at %v, want %v at the latest", starts, latest)
	}
}

// TestIdleFleetKeepsNoRoom guards against work that waits for a gang although most of the fleet is free, and against a
// long-running task that waits for one: its absence counts from the first second.
func TestIdleFleetKeepsNoRoom(t *testing.T) {
	for name, tc := range map[string]struct {
		busy workload.Step
		then workload.Step
	}{
		"idle": {
			workload.Step{Count: 8, MaxPerExecutor: 1, Need: small, Estimate: 30 * time.Second},
			workload.Step{Count: 4, Need: small, Estimate: 30 * time.Second},
		},
		"long-running": {
			workload.Step{Count: 8, MaxPerExecutor: 1, Need: workload.Resources{CPU: 20000, GPU: 5}, Estimate: 30 * time.Second},
			workload.Step{Count: 4, Need: small, Estimate: 30 * time.Second, LongRunning: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 2, 4)
			w.submit(oneStep("busy", "normal", tc.busy), behavior{work: 30 * time.Second})
			w.run(200 * time.Millisecond)
			w.submit(oneStep("gang", "normal", workload.Step{Count: 4, Gang: true, SameRack: true, Need: workload.Resources{CPU: 13000, GPU: 8}, Estimate: 4 * time.Second}),
				behavior{work: 4 * time.Second})
			w.run(200 * time.Millisecond)
			w.submit(oneStep("then", "batch", tc.then), behavior{work: 30 * time.Second})
			w.run(500 * time.Millisecond)
			for i := range tc.then.Count {
				if w.active[workload.TaskRef{Job: "then", Index: i}] == nil {
					t.Errorf("task %d waits for a gang", i)
				}
			}
			if w.active[workload.TaskRef{Job: "gang"}] != nil {
				t.Error("the gang did not have to wait, so that the test shows nothing")
			}
		})
	}
}
