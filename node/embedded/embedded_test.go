package embedded

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/node/client"
	"github.com/verbenaflow/verbenaflow/node/logging"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
)

// waitTimeout is long because it only ends a test that hangs.
const waitTimeout = 60 * time.Second

// TestLifecycle guards against a killed daemon that keeps its listener or connections, a lost holder that no other
// daemon replaces, and a daemon that does not restart on its addresses.
func TestLifecycle(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(logging.Setup(io.Discard, "test", "test", 0)).To(gomega.Succeed())
	c, err := Start(Options{
		Domains: []Domain{{Name: "a", Region: "r1", VMs: 2, Workers: 1, Executors: 1}}, ExecutorSlots: 8,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { g.Expect(c.Stop()).To(gomega.Succeed()) }()
	holder := func(seenBy model.VMID) httpapi.HolderStatus {
		var s httpapi.StatusResponse
		if client.New(0, c.HTTPAddress(seenBy)).Get(context.Background(), "/v1/status", &s) != nil || len(s.Holders) != 1 {
			return httpapi.HolderStatus{}
		}
		return s.Holders[0]
	}
	g.Eventually(func() model.VMID { return holder("a-v1").VM }, waitTimeout).ShouldNot(gomega.BeEmpty())
	old := holder("a-v1")
	other := model.VMID("a-v1")
	if old.VM == other {
		other = "a-v2"
	}
	kept, err := net.Dial("tcp", c.HTTPAddress(old.VM))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.Kill(old.VM)).To(gomega.Succeed())
	_, err = kept.Read(make([]byte, 1))
	g.Expect(err).To(gomega.HaveOccurred(), "an open connection survived the kill")
	_, err = net.Dial("tcp", c.HTTPAddress(old.VM))
	g.Expect(err).To(gomega.HaveOccurred(), "the killed daemon still listens")
	g.Eventually(func() bool { return old.Epoch.Less(holder(other).Epoch) }, waitTimeout).Should(gomega.BeTrue())
	g.Expect(c.Kill(old.VM)).NotTo(gomega.Succeed(), "killed twice")
	g.Expect(c.Restart(old.VM)).To(gomega.Succeed())
	g.Eventually(func() model.VMID { return holder(old.VM).VM }, waitTimeout).Should(gomega.Equal(other))
	g.Expect(c.Shutdown(other)).To(gomega.Succeed())
}
