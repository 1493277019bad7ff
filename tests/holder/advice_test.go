package holder

import (
	"net/http"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
)

// TestSlowAdvice guards against a job that never starts because the holder gives each query for advice up before the service answers,
// as late as the configuration says.
func TestSlowAdvice(t *testing.T) {
	t.Parallel()
	const takes = 2300 * time.Millisecond
	env := &environment{
		t: t, store: storestandin.New(), clock: &suspendableClock{}, adviceTime: takes,
		advisor: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(takes):
				_, _ = w.Write([]byte(`{"good":[["e","ticket"]],"valid_ms":60000}`))
			case <-r.Context().Done():
			}
		}),
	}
	env.start()
	env.storeJob(smallJob, "10ms", workload.Step{Count: 1, Need: workload.Resources{CPU: 100}, Estimate: time.Second})
	env.eventually("the job completes", func() bool { return env.state(smallJob) == workload.StateCompleted })
}
