package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// BenchmarkPlan measures a plan of a full fleet of 350 executors with a backlog: the state of the grown sites, on a holder
// that has a small part of a processor.
func BenchmarkPlan(b *testing.B) {
	w := newWorld(b, 1, 10, 35)
	w.newHolder()
	for i := range 120 {
		w.submit(&workload.Job{
			ID: workload.JobID(fmt.Sprintf("j%03d", i)), Queue: "batch", Account: "a", Spec: "spec",
			Steps: []workload.Step{
				{Count: 60, Need: workload.Resources{CPU: 2800, GPU: 1}, Estimate: 20 * time.Second},
				{Count: 60, Need: workload.Resources{CPU: 2800, GPU: 1}, Estimate: 20 * time.Second, After: []int{0}},
			},
		}, behavior{work: 20 * time.Second})
	}
	w.run(3 * time.Second)
	b.ReportAllocs()
	for b.Loop() {
		w.holder.fleet.Plan(w.now)
	}
}
