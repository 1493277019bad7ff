package vmlist

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const lag = 2 * time.Second

// TestList guards against a list that publishes changes too early, out of order or to callers that are cut off,
// and against one that loses the changes made while it is frozen.
func TestList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k, err := kernel.New(nil, kernel.Spec{Name: "state", Service: New([]model.VM{{ID: "w1"}}, lag)})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		stop, err := k.Start()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		call := func(m kernel.Message) (listReply, error) { return kernel.Call[listReply](t.Context(), k, "state", m) }
		control := func(m kernel.Message) {
			_, err := call(m)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		// next returns the first list whose revision differs from after, and the time that it took to get it.
		next := func(after uint64, source string) (listReply, time.Duration) {
			started := time.Now()
			l, err := call(listQuery{After: after, WaitMS: 60_000, Source: source})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return l, time.Since(started)
		}

		control(SetLeaving{ID: "w1", Leaving: true})
		l, took := next(1, "a")
		g.Expect(took).To(gomega.Equal(lag))
		g.Expect(l.VMs).To(gomega.Equal([]model.VM{{ID: "w1", Leaving: true}}))

		control(setVMs{{ID: "w1"}, {ID: "w2"}})
		control(SetLeaving{ID: "w2", Leaving: true})
		l, _ = next(2, "a")
		g.Expect(l.Revision).To(gomega.BeNumerically(">", 2))
		time.Sleep(time.Millisecond)
		l, _ = next(0, "a")
		g.Expect(l.VMs).To(gomega.Equal([]model.VM{{ID: "w1"}, {ID: "w2", Leaving: true}}))

		control(Faults{Frozen: true, CutDomains: []string{"b"}})
		_, err = call(listQuery{Source: "b"})
		g.Expect(err).To(gomega.HaveOccurred(), "a caller that is cut off gets no list")
		control(setVMs{{ID: "w3"}})
		time.Sleep(2 * lag)
		frozen, _ := next(0, "a")
		g.Expect(frozen).To(gomega.Equal(l))
		control(Faults{})
		l, took = next(frozen.Revision, "b")
		g.Expect(took).To(gomega.BeZero())
		g.Expect(l.VMs).To(gomega.Equal([]model.VM{{ID: "w3"}}))

		started := time.Now()
		same, err := call(listQuery{After: l.Revision, WaitMS: 300})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(same.Revision).To(gomega.Equal(l.Revision))
		g.Expect(time.Since(started)).To(gomega.Equal(300 * time.Millisecond))
		_, err = call(SetLeaving{ID: "unknown"})
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(stop(nil)).To(gomega.Succeed())
	})
}
