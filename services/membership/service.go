// Package membership is the service that owns the membership table of the entry VMs: it exchanges heartbeats, watches
// the VM list of the platform and publishes changes of the members and their loads.
package membership

import (
	"context"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/member"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/vmlist"
)

const (
	// listWatchTimeout bounds one watch of the VM list.
	listWatchTimeout = 5 * time.Second
	// listRetryDelay is the delay after a failed watch of the VM list.
	listRetryDelay = time.Second
	// tickInterval is the interval at which due heartbeats are sent and members without heartbeats are marked dead. It
	// divides the heartbeat intervals evenly, so that heartbeats are not sent late.
	tickInterval = 250 * time.Millisecond
	// heartbeatTimeout bounds the wait for the reply to a heartbeat.
	heartbeatTimeout = time.Second
	// leaveTimeout bounds the wait for the replies to the last heartbeats of a leaving VM.
	leaveTimeout = 2 * time.Second
)

type (
	listWatchDue  struct{}
	tickDue       struct{}
	listWatchDone struct {
		list vmlist.List
		err  error
	}
)

// Kind implements kernel.Message.
func (listWatchDue) Kind() string { return "vm_list_due" }

// Kind implements kernel.Message.
func (tickDue) Kind() string { return "membership_tick_due" }

// Kind implements kernel.Message.
func (listWatchDone) Kind() string { return "vm_list_done" }

// Service owns the membership table of one entry VM.
type Service struct {
	list         vmlist.Client
	listRevision uint64
	vms          []model.VM
	table        *member.Table
	// publishPending is set if changes of the members are to be published with the next tick.
	publishPending bool
	// ownLoad is the last published load of the own failure domain. Heartbeats carry it while this VM is the holder.
	ownLoad      *model.DomainLoad
	loadThrottle member.LoadThrottle
}

// New returns the service of one entry VM; peers are the other entry VMs in its settings.
func New(self model.Member, peers []model.Member, list vmlist.Client) *Service {
	return &Service{list: list, table: member.New(self, peers, uint64(time.Now().UnixMicro()))}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Membership, Service: s, DrainTimeout: leaveTimeout,
		// The last heartbeats are sent through the peers service, which must drain later.
		DependsOn:     []kernel.Name{names.Peers},
		Subscriptions: []string{message.KindAuthorityChanged, message.KindConfigChanged, message.KindLoadChanged},
	}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	c.SendAfter(0, listWatchDue{})
	c.SendAfter(0, tickDue{})
	return nil
}

// Drain implements kernel.Service. It tells every live member that this VM is leaving.
func (s *Service) Drain(c *kernel.Context) {
	self := s.table.Self()
	self.Leaving = true
	s.table.SetSelf(self)
	pending := 1
	onDone := func() {
		if pending--; pending == 0 {
			c.CompleteDrain()
		}
	}
	for _, m := range s.table.Members() {
		if m.Alive {
			pending++
			s.heartbeat(c, m, onDone)
		}
	}
	onDone()
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case listWatchDue:
		s.watchList(c)
	case listWatchDone:
		s.applyList(c, m)
	case tickDue:
		s.tick(c)
	case message.Heartbeat:
		from := s.applyDigest(c, m.Digest)
		e.Reply(message.HeartbeatReply{Digest: s.table.NewDigest(from, time.Now())})
	case message.AuthorityChanged:
		self := s.table.Self()
		self.Holder = model.Epoch{}
		if m.Holder {
			self.Holder = m.Epoch
		}
		s.table.SetSelf(self)
		s.updateOwnLoad()
		s.heartbeatAll(c)
	case message.ConfigChanged:
		if self := s.table.Self(); self.ConfigVersion != m.Config.Version {
			self.ConfigVersion = m.Config.Version
			s.table.SetSelf(self)
		}
	case message.LoadChanged:
		s.ownLoad = &m.Load
		s.updateOwnLoad()
	}
}

// updateOwnLoad sets the load that heartbeats carry: that of the own failure domain if this VM is its holder, else
// none.
func (s *Service) updateOwnLoad() {
	self := s.table.Self()
	self.Load = nil
	if !self.Holder.IsZero() {
		self.Load = s.ownLoad
	}
	s.table.SetSelf(self)
}

// publishLoads publishes the known loads, limited by loadThrottle.
func (s *Service) publishLoads(c *kernel.Context) {
	now := time.Now()
	if loads := s.table.Loads(now); s.loadThrottle.ShouldPublish(loads, now) {
		c.Publish(message.LoadsChanged{Loads: loads})
	}
}

func (s *Service) watchList(c *kernel.Context) {
	after := s.listRevision
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, listWatchTimeout+time.Second)
		defer cancel()
		l, err := s.list.Watch(ctx, after, listWatchTimeout)
		return listWatchDone{list: l, err: err}
	})
}

func (s *Service) applyList(c *kernel.Context, m listWatchDone) {
	if m.err != nil {
		c.SendAfter(listRetryDelay, listWatchDue{})
		return
	}
	if m.list.Revision != s.listRevision {
		s.listRevision, s.vms = m.list.Revision, m.list.VMs
		s.table.ApplyVMList(m.list.VMs)
		// The list also contains workers and executors, which are published with the members.
		s.publish(c)
	}
	c.SendAfter(0, listWatchDue{})
}

// tick sends the due heartbeats, marks members without heartbeats dead and publishes pending changes.
func (s *Service) tick(c *kernel.Context) {
	for _, m := range s.table.TakeDueHeartbeats(time.Now()) {
		s.heartbeat(c, m, nil)
	}
	s.publishChange(c, s.table.Expire(time.Now()))
	if s.publishPending {
		s.publish(c)
	}
	s.publishLoads(c)
	c.SendAfter(tickInterval, tickDue{})
}

// heartbeatAll sends a heartbeat to all live members at once, so that they learn of a change of this VM without delay.
func (s *Service) heartbeatAll(c *kernel.Context) {
	for _, m := range s.table.Members() {
		if m.Alive {
			s.heartbeat(c, m, nil)
		}
	}
}

// heartbeat sends one heartbeat to m and calls done, if not nil, after the reply or a failure.
func (s *Service) heartbeat(c *kernel.Context, m model.Member, done func()) {
	now := time.Now()
	f := message.Forward{
		VM: m.VM, To: names.Membership, Body: message.Heartbeat{Digest: s.table.NewDigest(m.VM, now)},
		Deadline: now.Add(heartbeatTimeout),
	}
	c.Request(names.Peers, f, func(r kernel.Message, err error) {
		if reply, ok := r.(message.HeartbeatReply); ok && err == nil {
			s.applyDigest(c, reply.Digest)
		}
		if done != nil {
			done()
		}
	})
}

// applyDigest applies the digest of a heartbeat or a reply and returns its sender.
func (s *Service) applyDigest(c *kernel.Context, d model.Digest) model.VMID {
	from, change := s.table.ApplyDigest(d, time.Now())
	s.publishChange(c, change)
	return from
}

// publishChange publishes the members at once or with the next tick, depending on the urgency of the change.
func (s *Service) publishChange(c *kernel.Context, change member.Change) {
	switch change {
	case member.Immediate:
		s.publish(c)
	case member.Deferred:
		s.publishPending = true
	}
}

func (s *Service) publish(c *kernel.Context) {
	s.publishPending = false
	domain := s.table.Self().Domain
	out := message.MembersChanged{Members: s.table.Members()}
	for _, vm := range s.vms {
		switch {
		case vm.Domain != domain:
		case vm.Role == model.RoleWorker:
			out.Workers = append(out.Workers, vm)
		case vm.Role == model.RoleExecutor:
			out.Executors = append(out.Executors, vm)
		}
	}
	c.Publish(out)
}
