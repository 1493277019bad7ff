package requests

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/standins/executor"
)

// TestLeavingVM checks a VM that shuts down (promise P8): it must refuse new requests and the attempts of other VMs as
// not run, with the hint to retry elsewhere, and a request in progress must still get its second attempt.
func TestLeavingVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, h := gomega.NewWithT(t), newHarness(t, 2, 100*time.Millisecond)
		defer h.close()
		tickets := h.issueTickets(2)
		g.Expect(h.execs[0].SetFaults(context.Background(), executor.Faults{FailCalls: 1})).To(gomega.Succeed())
		results := make(chan result, 1)
		go func() { results <- h.send(&tickets[0], "", true, 5*time.Second) }()
		time.Sleep(50 * time.Millisecond)
		h.publish(message.DrainStarted{})
		remote := message.Attempt{Request: model.Request{ID: "x", Deadline: time.Now().Add(time.Second)}, Attempt: 1}
		done, err := kernel.Call[message.AttemptDone](context.Background(), h.kernel, names.Executors, remote)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(done.Sent).To(gomega.BeFalse())
		g.Expect(done.Failure.Reason).To(gomega.Equal(failure.Draining))
		g.Expect(done.Failure.RetryElsewhere).To(gomega.BeTrue())
		late := h.send(&tickets[1], "", false, time.Second)
		g.Expect(late.reason).To(gomega.Equal(failure.Draining))
		g.Expect(late.outcome).To(gomega.Equal(failure.NotRun))
		r := <-results
		g.Expect(h.executorHistories()[1].Runs).To(gomega.HaveLen(1), "second attempt")
		g.Expect(r.reason).To(gomega.BeZero())
		g.Expect(r.outcome).To(gomega.Equal(failure.Run))
	})
}
