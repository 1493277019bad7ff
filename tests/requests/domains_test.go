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

// forwards returns the messages for other VMs so far.
func (c *cell) forwards() []message.Forward {
	var out []message.Forward
	c.control(func(_ *kernel.Context, f *fake) { out = append(out, f.forwards...) })
	return out
}

func (c *cell) setRemote(remote func(message.Forward) message.AttemptDone) {
	c.control(func(_ *kernel.Context, f *fake) { f.remote = remote })
}

// addDomains publishes three other failure domains and marks the own executors as leaving.
func (c *cell) addDomains() {
	m := c.members()
	for i := range m.Executors {
		m.Executors[i].Leaving = true
	}
	m.Members = append(m.Members,
		model.Member{VM: "f1", Domain: "b", Region: "far", Alive: true},
		model.Member{VM: "n1", Domain: "d", Region: "r", Alive: true},
		model.Member{VM: "n2", Domain: "c", Region: "r", Alive: true})
	c.publish(m)
}

// domainsOf returns the failure domains that attempts were forwarded to.
func domainsOf(forwards []message.Forward) []model.FailureDomain {
	var out []model.FailureDomain
	for _, f := range forwards {
		if _, ok := f.Body.(message.Attempt); ok {
			out = append(out, f.Domain)
		}
	}
	return out
}

// TestOtherDomains guards against a request that ends although another failure domain has room, and against
// cross-region traffic while the own region has room.
func TestOtherDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, c := gomega.NewWithT(t), newCell(t, 1, time.Millisecond)
		defer c.close()
		tickets := c.issue(2)
		c.addDomains()
		c.setRemote(func(f message.Forward) message.AttemptDone {
			a := f.Body.(message.Attempt)
			if f.Domain != "b" {
				return message.AttemptDone{Failure: failure.New(failure.NoExecutor, "no room")}
			}
			return message.AttemptDone{Executor: "x", Sent: true, Ran: true, Response: model.Response{Body: append([]byte("s:"), a.Request.Payload...)}}
		})
		r := c.send(&tickets[0], "", false, 5*time.Second)
		g.Expect(r.outcome).To(gomega.Equal(failure.Run))
		g.Expect(r.body).To(gomega.Equal("s:" + string(r.id)))
		g.Expect(domainsOf(c.forwards())).To(gomega.Equal([]model.FailureDomain{"c", "d", "b"}))
		c.setRemote(nil)
		g.Expect(c.send(&tickets[1], "", false, 5*time.Second).outcome).To(gomega.Equal(failure.NotRun))
		g.Expect(c.histories()[0].Runs).To(gomega.BeEmpty())
	})
}

// TestLostInOtherDomain guards against a second attempt of a request that may have run in another failure
// domain.
func TestLostInOtherDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, c := gomega.NewWithT(t), newCell(t, 1, time.Millisecond)
		defer c.close()
		tickets := c.issue(1)
		c.addDomains()
		c.setRemote(func(message.Forward) message.AttemptDone {
			return message.AttemptDone{Sent: true, Failure: failure.New(failure.ExecutorLost, "no answer")}
		})
		g.Expect(c.send(&tickets[0], "", false, 5*time.Second).outcome).To(gomega.Equal(failure.Unknown))
		g.Expect(domainsOf(c.forwards())).To(gomega.HaveLen(1))
	})
}

// TestAccountLimit guards against an account that exceeds its rate, and against a refused request that runs.
func TestAccountLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, c := gomega.NewWithT(t), newCell(t, 1, time.Millisecond)
		defer c.close()
		policy := model.AccountPolicy{RequestsPerSecond: 1, RequestBurst: 2}
		presets := map[string]model.Preset{"p": {Accounts: map[model.AccountID]model.AccountPolicy{"x": policy}}}
		c.publish(message.ConfigChanged{Config: model.Config{Presets: presets, InForce: "p"}})
		tickets := c.issue(4)
		send := func(i int) result { return c.send(&tickets[i], "", false, 500*time.Millisecond) }
		g.Expect(send(0).outcome).To(gomega.Equal(failure.Run))
		g.Expect(send(1).outcome).To(gomega.Equal(failure.Run))
		refused := send(2)
		g.Expect(refused.reason).To(gomega.Equal(failure.RateLimited))
		g.Expect(refused.outcome).To(gomega.Equal(failure.NotRun))
		time.Sleep(time.Second)
		g.Expect(send(3).outcome).To(gomega.Equal(failure.Run))
		g.Expect(c.histories()[0].Runs).To(gomega.HaveLen(3))
	})
}

// TestRecordsReachNewVM guards against a record of an outage whose only other copy is lost with a VM: a VM
// that appears later gets it, and none is sent once the store has it.
func TestRecordsReachNewVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, c := gomega.NewWithT(t), newCell(t, 1, time.Millisecond)
		defer c.close()
		tickets := c.issue(1)
		c.control(func(_ *kernel.Context, f *fake) { f.mode = storeDown })
		g.Expect(c.send(&tickets[0], "", false, 500*time.Millisecond).outcome).To(gomega.Equal(failure.Run))
		copies := func(vm model.VMID) int {
			n := 0
			for _, f := range c.forwards() {
				if m, ok := f.Body.(message.IntentRecord); ok && f.VM == vm {
					n += len(m.Records)
				}
			}
			return n
		}
		m := c.members()
		m.Members = append(m.Members, model.Member{VM: "v3", Domain: "a", Region: "r", Alive: true})
		c.publish(m)
		g.Expect(copies("v3")).To(gomega.Equal(2), "intent and outcome")
		c.control(func(_ *kernel.Context, f *fake) { f.mode = storeUp })
		time.Sleep(5 * time.Second)
		m.Members = append(m.Members, model.Member{VM: "v4", Domain: "a", Region: "r", Alive: true})
		c.publish(m)
		g.Expect(copies("v4")).To(gomega.BeZero())
	})
}
