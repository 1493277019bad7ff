package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// BenchmarkPlan measures Plan on a full fleet of 350 executors with a backlog: the load of the largest sites, whose
// holder has only a small share of a processor.
func BenchmarkPlan(b *testing.B) {
	sim := newSimulation(b, 1, 10, 35)
	sim.newHolder()
	for i := range 120 {
		sim.submit(&workload.Job{
			ID: workload.JobID(fmt.Sprintf("j%03d", i)), Queue: "batch", Account: "a", Spec: "spec",
			Steps: []workload.Step{
				{Count: 60, Need: workload.Resources{CPU: 2800, GPU: 1}, Estimate: 20 * time.Second},
				{Count: 60, Need: workload.Resources{CPU: 2800, GPU: 1}, Estimate: 20 * time.Second, After: []int{0}},
			},
		}, behavior{runTime: 20 * time.Second})
	}
	sim.advance(3 * time.Second)
	b.ReportAllocs()
	for b.Loop() {
		sim.holder.scheduler.Plan(sim.now)
	}
}
