package limit

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// TestLimits guards against an account that starves the others by its number or rate of requests, and against admitting
// a request that cannot complete before its deadline.
func TestLimits(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Unix(1, 0)
	l := New()
	l.SetPolicies(map[model.AccountID]model.AccountPolicy{"slow": {RequestsPerSecond: 1, RequestBurst: 2}})
	later := now.Add(time.Second)
	g.Expect(l.Admit("slow", 0, later, now)).To(gomega.BeNil())
	g.Expect(l.Admit("slow", 0, later, now)).To(gomega.BeNil())
	g.Expect(l.Admit("slow", 0, later, now).Reason).To(gomega.Equal(failure.RateLimited))
	g.Expect(l.Admit("slow", 0, later.Add(time.Second), now.Add(time.Second))).To(gomega.BeNil())
	for range MaxInFlightPerAccount {
		g.Expect(l.Admit("busy", 0, later, now)).To(gomega.BeNil())
	}
	g.Expect(l.Admit("busy", 0, later, now).Reason).To(gomega.Equal(failure.QueueFull))
	g.Expect(l.Admit("other", 0, later, now)).To(gomega.BeNil())
	l.Done("other", 10*time.Millisecond)
	g.Expect(l.Admit("other", 8, later, now)).To(gomega.BeNil())
	g.Expect(l.Admit("other", 8, now.Add(100*time.Millisecond), now).Reason).To(gomega.Equal(failure.Overloaded))
}
