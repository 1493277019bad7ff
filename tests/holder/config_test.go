package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/standins/metastore"
)

// startBeforeConfig starts a holder with a catalog that publishes its configuration when it is called, and stores two
// jobs of limitedAccount that were accepted when it had no limit.
func startBeforeConfig(t *testing.T) *environment {
	env := &environment{t: t, store: metastore.New(), clock: &suspendableClock{}, lateConfig: true}
	env.prepare = func() {
		for i := range 2 {
			job := workload.Job{
				ID: workload.JobID(fmt.Sprintf("%016d", i+1)), Queue: "q", Account: limitedAccount, Spec: time.Hour.String(),
				Route: workload.Route{Name: "q", Pool: "pool", Stretch: 3, Latency: time.Second},
				Steps: []workload.Step{{Count: 1, Need: workload.Resources{GPU: 1}, Estimate: time.Hour}},
			}
			env.store.Set(records.JobKey(job.ID), records.Encode(job))
		}
	}
	env.start()
	return env
}

// TestLimitBeforeConfig guards against a new holder that starts work beyond the limit of an account because the catalog
// has not read the configuration yet.
func TestLimitBeforeConfig(t *testing.T) {
	t.Parallel()
	const observed = 500 * time.Millisecond
	env := startBeforeConfig(t)
	env.eventually("the records are read", func() bool { return env.recordReads.Load() > 0 })
	time.Sleep(observed)
	if n := env.starts(); n != 0 {
		t.Errorf("%d starts before the configuration is known, want none", n)
	}
	if _, err := env.kernel.Call(t.Context(), names.Catalog, publishConfig{}); err != nil {
		t.Fatal(err)
	}
	env.eventually("a task runs", func() bool { return env.starts() > 0 })
	time.Sleep(observed)
	if n := env.starts(); n != 1 {
		t.Errorf("%d starts, want the one that the limit permits", n)
	}
}

// TestStartWithoutConfig guards against accepted jobs that never run because the store holds no usable configuration.
func TestStartWithoutConfig(t *testing.T) {
	t.Parallel()
	env := startBeforeConfig(t)
	env.eventually("the tasks run", func() bool { return env.starts() == 2 })
}
