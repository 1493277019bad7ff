package membership_test

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
	"github.com/verbenaflow/verbenaflow/platform/vmlist"
	"github.com/verbenaflow/verbenaflow/services/membership"
)

// fakeList is a VM list that never changes.
type fakeList struct{ vms []model.VM }

func (f fakeList) Watch(ctx context.Context, after uint64, wait time.Duration) (vmlist.List, error) {
	if after == 1 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return vmlist.List{Revision: 1, VMs: f.vms}, nil
}

type (
	silenceVM  struct{ vm model.VMID }
	setVersion struct{ version uint64 }
	publish    struct{ body kernel.Message }
)

func (silenceVM) Kind() string  { return "silence" }
func (setVersion) Kind() string { return "set_version" }
func (publish) Kind() string    { return "publish" }

// fakePeers replies to the heartbeats to every VM that is not silent and records heartbeats and publications.
type fakePeers struct {
	silent        map[model.VMID]bool
	heartbeats    map[model.VMID]int
	leaving       map[model.VMID]bool
	lastPublished message.MembersChanged
	// memberPublications counts the published member lists and publishedLoads records the published loads. sentLoad is the
	// load in the last heartbeat, configVersion the one that the fake members report.
	memberPublications int
	publishedLoads     [][]model.DomainLoad
	sentLoad           *model.DomainLoad
	configVersion      uint64
}

func (p *fakePeers) Start(*kernel.Context) error { return nil }
func (p *fakePeers) Drain(c *kernel.Context)     { c.CompleteDrain() }
func (p *fakePeers) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case silenceVM:
		p.silent[m.vm] = true
	case setVersion:
		p.configVersion = m.version
	case message.MembersChanged:
		p.lastPublished = m
		p.memberPublications++
	case message.Forward:
		if p.silent[m.VM] {
			e.Fail(failure.New(failure.HomeUnreachable, "silent"))
			return
		}
		p.heartbeats[m.VM]++
		d := m.Body.(message.Heartbeat).Digest
		p.leaving[m.VM] = d.Updates[0].Member != nil && d.Updates[0].Member.Leaving
		p.sentLoad = d.Updates[0].Load
		domain := model.FailureDomain("a")
		if m.VM == "v9" {
			domain = "b"
		}
		update := model.MemberUpdate{VM: m.VM, Beat: uint64(p.heartbeats[m.VM]), Member: &model.Member{
			VM: m.VM, Domain: domain, Alive: true, Holder: model.Epoch{Store: 1}, ConfigVersion: p.configVersion,
		}}
		if domain == "b" {
			update.Load = &model.DomainLoad{FreeGPUs: 5}
		}
		e.Reply(message.HeartbeatReply{Digest: model.Digest{Updates: []model.MemberUpdate{update}}})
	case message.LoadsChanged:
		p.publishedLoads = append(p.publishedLoads, m.Loads)
	case publish:
		c.Publish(m.body)
	}
}

// startMembership starts the membership service of v1 in failure domain a. v1 knows v2 of its own failure domain from
// the settings, and v9 of failure domain b from the VM list.
func startMembership(t *testing.T) (*fakePeers, *kernel.Kernel, func()) {
	g := gomega.NewWithT(t)
	list := fakeList{vms: []model.VM{{ID: "v2", Role: model.RoleEntry, Domain: "a"}, {ID: "v9", Role: model.RoleEntry, Domain: "b"}}}
	p := &fakePeers{silent: map[model.VMID]bool{}, heartbeats: map[model.VMID]int{}, leaving: map[model.VMID]bool{}}
	s := membership.New(model.Member{VM: "v1", Domain: "a"}, []model.Member{{VM: "v2", Domain: "a"}}, list)
	k, err := kernel.New(nil, s.Spec(), kernel.Spec{Name: names.Peers, Service: p, Subscriptions: []string{
		message.KindMembersChanged, message.KindLoadsChanged,
	}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stop, err := k.Start()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	advance(time.Millisecond)
	return p, k, func() { g.Expect(stop(nil)).To(gomega.Succeed()) }
}

func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// TestHeartbeats guards against heartbeats at the wrong rate, heartbeats to other failure domains from a VM that is not
// the representative of its own, a silent VM that stays alive because the VM list contains it, a VM of the list that
// gets no heartbeats, and a VM that shuts down without announcing that it is leaving.
func TestHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p, k, stop := startMembership(t)
		advance(20 * time.Second)
		g.Expect(p.heartbeats["v2"]).To(gomega.BeNumerically("~", 40, 2))
		g.Expect(p.heartbeats["v9"]).To(gomega.BeNumerically("<=", 2), "v2 is the holder")
		g.Expect(p.lastPublished.Members[0].Alive).To(gomega.BeTrue())
		before := p.heartbeats["v9"]
		g.Expect(k.Send(names.Peers, publish{message.AuthorityChanged{Holder: true, Epoch: model.Epoch{Store: 2}}})).To(gomega.Succeed())
		advance(20 * time.Second)
		g.Expect(p.heartbeats["v9"]-before).To(gomega.BeNumerically("~", 10, 1), "learned from the list")
		g.Expect(p.lastPublished.Members).To(gomega.HaveEach(gomega.HaveField("Alive", true)))
		g.Expect(k.Send(names.Peers, silenceVM{"v2"})).To(gomega.Succeed())
		advance(4 * time.Second)
		g.Expect(p.lastPublished.Members[0].VM).To(gomega.Equal(model.VMID("v2")))
		g.Expect(p.lastPublished.Members[0].Alive).To(gomega.BeFalse())
		stop()
		g.Expect(p.leaving["v9"]).To(gomega.BeTrue())
	})
}

// TestConfigVersion guards against published members with an old configuration version, and against one publication for
// each VM that applies a new version.
func TestConfigVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p, k, stop := startMembership(t)
		defer stop()
		advance(10 * time.Second)
		before := p.memberPublications
		g.Expect(k.Send(names.Peers, setVersion{7})).To(gomega.Succeed())
		advance(time.Second)
		g.Expect(p.lastPublished.Members[0].ConfigVersion).To(gomega.Equal(uint64(7)))
		advance(10 * time.Second)
		g.Expect(p.memberPublications - before).To(gomega.BeNumerically("<=", 2))
	})
}

// TestLoadsPublished guards against loads that are missing in the heartbeats or not published on this VM, and against
// heartbeats that carry a load although the VM is not the holder.
func TestLoadsPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p, k, stop := startMembership(t)
		defer stop()
		send := func(m kernel.Message) { g.Expect(k.Send(names.Peers, publish{m})).To(gomega.Succeed()) }
		send(message.LoadChanged{Load: model.DomainLoad{Domain: "a", FreeGPUs: 3}})
		advance(3 * time.Second)
		g.Expect(p.sentLoad).To(gomega.BeNil())
		send(message.AuthorityChanged{Holder: true, Epoch: model.Epoch{Store: 2}})
		advance(3 * time.Second)
		g.Expect(p.sentLoad).NotTo(gomega.BeNil())
		last := p.publishedLoads[len(p.publishedLoads)-1]
		g.Expect(last).To(gomega.HaveLen(2))
		g.Expect([]int{last[0].FreeGPUs, last[1].FreeGPUs}).To(gomega.Equal([]int{3, 5}))
		g.Expect(len(p.publishedLoads)).To(gomega.BeNumerically("<=", 6))
	})
}
