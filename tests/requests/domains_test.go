package requests

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// forwards returns the messages that were sent to other VMs so far.
func (h *harness) forwards() []message.Forward {
	var out []message.Forward
	h.withFake(func(_ *kernel.Context, f *fakeService) { out = append(out, f.forwards...) })
	return out
}

func (h *harness) setRemote(remote func(message.Forward) message.AttemptDone) {
	h.withFake(func(_ *kernel.Context, f *fakeService) { f.remoteAttempt = remote })
}

// addOtherDomains publishes VMs of three other failure domains and marks the executors of this one as leaving.
func (h *harness) addOtherDomains() {
	m := h.membersChanged()
	for i := range m.Executors {
		m.Executors[i].Leaving = true
	}
	m.Members = append(m.Members,
		model.Member{VM: "f1", Domain: "b", Region: "far", Alive: true},
		model.Member{VM: "n1", Domain: "d", Region: "r", Alive: true},
		model.Member{VM: "n2", Domain: "c", Region: "r", Alive: true})
	h.publish(m)
}

// attemptedDomains returns the failure domains to which attempts were forwarded, in order.
func attemptedDomains(forwards []message.Forward) []model.FailureDomain {
	var out []model.FailureDomain
	for _, f := range forwards {
		if _, ok := f.Body.(message.Attempt); ok {
			out = append(out, f.Domain)
		}
	}
	return out
}

// TestOtherDomains guards against a request that fails although another failure domain has a free executor, and against
// cross-region traffic before the failure domains of the same region were tried.
func TestOtherDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, h := gomega.NewWithT(t), newHarness(t, 1, time.Millisecond)
		defer h.close()
		tickets := h.issueTickets(2)
		h.addOtherDomains()
		h.setRemote(func(f message.Forward) message.AttemptDone {
			a := f.Body.(message.Attempt)
			if f.Domain != "b" {
				return message.AttemptDone{Failure: failure.New(failure.NoExecutor, "no room")}
			}
			return message.AttemptDone{Executor: "x", Sent: true, Ran: true, Response: model.Response{Body: append([]byte("s:"), a.Request.Payload...)}}
		})
		r := h.send(&tickets[0], "", false, 5*time.Second)
		g.Expect(r.outcome).To(gomega.Equal(failure.Run))
		g.Expect(r.body).To(gomega.Equal("s:" + string(r.id)))
		g.Expect(attemptedDomains(h.forwards())).To(gomega.Equal([]model.FailureDomain{"c", "d", "b"}))
		h.setRemote(nil)
		g.Expect(h.send(&tickets[1], "", false, 5*time.Second).outcome).To(gomega.Equal(failure.NotRun))
		g.Expect(h.executorHistories()[0].Runs).To(gomega.BeEmpty())
	})
}

// TestLostInOtherDomain guards against a second attempt of a non-repeatable request that may have run in another
// failure domain, because the executor there was lost after the request had been sent.
func TestLostInOtherDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, h := gomega.NewWithT(t), newHarness(t, 1, time.Millisecond)
		defer h.close()
		tickets := h.issueTickets(1)
		h.addOtherDomains()
		h.setRemote(func(message.Forward) message.AttemptDone {
			return message.AttemptDone{Sent: true, Failure: failure.New(failure.ExecutorLost, "no answer")}
		})
		g.Expect(h.send(&tickets[0], "", false, 5*time.Second).outcome).To(gomega.Equal(failure.Unknown))
		g.Expect(attemptedDomains(h.forwards())).To(gomega.HaveLen(1))
	})
}

// TestAccountLimit guards against an account that exceeds its request rate, and against a refused request that runs.
func TestAccountLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, h := gomega.NewWithT(t), newHarness(t, 1, time.Millisecond)
		defer h.close()
		policy := model.AccountPolicy{RequestsPerSecond: 1, RequestBurst: 2}
		presets := map[string]model.Preset{"p": {Accounts: map[model.AccountID]model.AccountPolicy{"x": policy}}}
		h.publish(message.ConfigChanged{Config: model.Config{Presets: presets, InForce: "p"}})
		tickets := h.issueTickets(4)
		send := func(i int) result { return h.send(&tickets[i], "", false, 500*time.Millisecond) }
		g.Expect(send(0).outcome).To(gomega.Equal(failure.Run))
		g.Expect(send(1).outcome).To(gomega.Equal(failure.Run))
		refused := send(2)
		g.Expect(refused.reason).To(gomega.Equal(failure.RateLimited))
		g.Expect(refused.outcome).To(gomega.Equal(failure.NotRun))
		time.Sleep(time.Second)
		g.Expect(send(3).outcome).To(gomega.Equal(failure.Run))
		g.Expect(h.executorHistories()[0].Runs).To(gomega.HaveLen(3))
	})
}

// TestRecordsReachNewVM guards against the loss of records that could not be written during a store outage and have a
// copy on one other VM only. A VM that joins later must get a copy, but not once the store has the records.
func TestRecordsReachNewVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, h := gomega.NewWithT(t), newHarness(t, 1, time.Millisecond)
		defer h.close()
		tickets := h.issueTickets(1)
		h.withFake(func(_ *kernel.Context, f *fakeService) { f.storeMode = storeDown })
		g.Expect(h.send(&tickets[0], "", false, 500*time.Millisecond).outcome).To(gomega.Equal(failure.Run))
		copies := func(vm model.VMID) int {
			n := 0
			for _, f := range h.forwards() {
				if m, ok := f.Body.(message.IntentRecord); ok && f.VM == vm {
					n += len(m.Records)
				}
			}
			return n
		}
		m := h.membersChanged()
		m.Members = append(m.Members, model.Member{VM: "v3", Domain: "a", Region: "r", Alive: true})
		h.publish(m)
		g.Expect(copies("v3")).To(gomega.Equal(2), "intent and outcome")
		h.withFake(func(_ *kernel.Context, f *fakeService) { f.storeMode = storeUp })
		time.Sleep(5 * time.Second)
		m.Members = append(m.Members, model.Member{VM: "v4", Domain: "a", Region: "r", Alive: true})
		h.publish(m)
		g.Expect(copies("v4")).To(gomega.BeZero())
	})
}
