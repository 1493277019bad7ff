package scheduling

import (
	"context"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	standin "github.com/verbenaflow/verbenaflow/standins/worker"
)

// TestJobLeavesFailingWorker guards against a job that uses up all its attempts on one worker that fails every
// task although another worker is free.
func TestJobLeavesFailingWorker(t *testing.T) {
	withHolder(t, 2, func(t *testing.T, td *testDomain) {
		if err := td.clients["w0"].SetFaults(context.Background(), standin.Faults{FailTasks: true}); err != nil {
			t.Fatal(err)
		}
		job := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 4, RunTime: 10 * time.Second})
		time.Sleep(50 * time.Second)
		m, err := td.current().call(message.JobStatus{Job: job})
		if err != nil {
			t.Fatal(err)
		}
		if got := m.(message.JobReply).Job; got.State != model.JobSucceeded || got.Attempt != 2 {
			t.Fatalf("after one failed attempt the job is %s in attempt %d", got.State, got.Attempt)
		}
	})
}
