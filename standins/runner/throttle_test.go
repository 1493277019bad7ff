package runner

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/runner"
)

// TestThrottle guards against a stand-in that answers an order to throttle with 404, which tests would take for an
// executor that does not answer, and against an order of an earlier holder that has an effect.
func TestThrottle(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	e := New(workload.Executor{ID: "e", Capacity: workload.Resources{GPU: 1}, StartedAtMS: 1})
	wg.Go(func() { e.Run(ctx) })
	server := httptest.NewServer(runner.NewHandler("e", e))
	t.Cleanup(server.Close)
	c, to := runner.NewClient(1), runner.Target{ID: "e", Address: strings.TrimPrefix(server.URL, "http://")}
	task := workload.TaskRef{Job: "j"}
	if _, err := c.Start(ctx, to, runner.StartOrder{Task: task, Run: 1, Spec: "1h", Deadline: time.Hour, Fence: 2}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Throttle(ctx, to, task, 1, 40, 2); err != nil {
		t.Error(err)
	}
	var refused *runner.RefusedError
	if _, err := c.Throttle(ctx, to, task, 1, 100, 1); !errors.As(err, &refused) || refused.Reason != runner.Fenced {
		t.Errorf("%v, want a refusal of the earlier fencing token", err)
	}
	if r := e.RunRecords()[0]; r.SpeedPercent != 40 {
		t.Errorf("speed %d%%, want 40%%", r.SpeedPercent)
	}
}
