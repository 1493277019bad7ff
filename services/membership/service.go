// Package membership is the service that owns the table of VMs.
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
	// listWait bounds one watch of the VM list.
	listWait = 5 * time.Second
	// listRetry is the delay after a failed watch of the VM list.
	listRetry = time.Second
	// tickEvery is the interval at which due heartbeats are sent and silent members expire. It divides the
	// intervals of heartbeats.
	tickEvery = 250 * time.Millisecond
	// answerTimeout bounds the wait for the answer to a heartbeat.
	answerTimeout = time.Second
	// leaveTimeout bounds the wait for the answers to the last heartbeats of a leaving VM.
	leaveTimeout = 2 * time.Second
)

type (
	listDue  struct{}
	tickDue  struct{}
	listDone struct {
		list vmlist.List
		err  error
	}
)

// Kind implements kernel.Message.
func (listDue) Kind() string { return "vm_list_due" }

// Kind implements kernel.Message.
func (tickDue) Kind() string { return "membership_tick_due" }

// Kind implements kernel.Message.
func (listDone) Kind() string { return "vm_list_done" }

// Service holds the known VMs.
type Service struct {
	list  vmlist.Client
	seen  uint64
	vms   []model.VM
	table *member.Table
	// unpublished is set while changes of members wait for the next tick.
	unpublished bool
	// load is the last load of the own failure domain; it is sent while this VM is the holder.
	load  *model.DomainLoad
	loads member.LoadThrottle
}

// New returns the service of one entry VM with the peers that its settings name.
func New(self model.Member, peers []model.Member, list vmlist.Client) *Service {
	return &Service{list: list, table: member.New(self, peers, uint64(time.Now().UnixMicro()))}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Membership, Service: s, DrainTimeout: leaveTimeout,
		// The last heartbeats leave through the peers service.
		After:      []kernel.Name{names.Peers},
		Subscribes: []string{message.KindAuthorityChanged, message.KindConfigChanged, message.KindLoadChanged},
	}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	c.After(0, listDue{})
	c.After(0, tickDue{})
	return nil
}

// Drain implements kernel.Service. It tells every live member that this VM leaves.
func (s *Service) Drain(c *kernel.Context) {
	self := s.table.Self()
	self.Leaving = true
	s.table.SetSelf(self)
	left := 1
	done := func() {
		if left--; left == 0 {
			c.Drained()
		}
	}
	for _, m := range s.table.Members() {
		if m.Alive {
			left++
			s.heartbeat(c, m, done)
		}
	}
	done()
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case listDue:
		s.watchList(c)
	case listDone:
		s.learnList(c, m)
	case tickDue:
		s.tick(c)
	case message.Heartbeat:
		from := s.heard(c, m.Digest)
		e.Reply(message.HeartbeatReply{Digest: s.table.NewDigest(from, time.Now())})
	case message.AuthorityChanged:
		self := s.table.Self()
		self.Holder = model.Epoch{}
		if m.Holder {
			self.Holder = m.Epoch
		}
		s.table.SetSelf(self)
		s.setLoad()
		s.announce(c)
	case message.ConfigChanged:
		if self := s.table.Self(); self.ConfigVersion != m.Config.Version {
			self.ConfigVersion = m.Config.Version
			s.table.SetSelf(self)
		}
	case message.LoadChanged:
		s.load = &m.Load
		s.setLoad()
	}
}

// setLoad makes the heartbeats of a holder carry the load of its failure domain.
func (s *Service) setLoad() {
	self := s.table.Self()
	self.Load = nil
	if !self.Holder.IsZero() {
		self.Load = s.load
	}
	s.table.SetSelf(self)
}

// publishLoads publishes the known loads if they are due.
func (s *Service) publishLoads(c *kernel.Context) {
	now := time.Now()
	if loads := s.table.Loads(now); s.loads.ShouldPublish(loads, now) {
		c.Publish(message.LoadsChanged{Loads: loads})
	}
}

func (s *Service) watchList(c *kernel.Context) {
	after := s.seen
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, listWait+time.Second)
		defer cancel()
		l, err := s.list.Watch(ctx, after, listWait)
		return listDone{list: l, err: err}
	})
}

func (s *Service) learnList(c *kernel.Context, m listDone) {
	if m.err != nil {
		c.After(listRetry, listDue{})
		return
	}
	if m.list.Revision != s.seen {
		s.seen, s.vms = m.list.Revision, m.list.VMs
		s.table.ApplyVMList(m.list.VMs)
		// The list also names workers and executors.
		s.publish(c)
	}
	c.After(0, listDue{})
}

// tick sends the heartbeats that are due and publishes the members that have become dead.
func (s *Service) tick(c *kernel.Context) {
	for _, m := range s.table.TakeDueHeartbeats(time.Now()) {
		s.heartbeat(c, m, nil)
	}
	s.changed(c, s.table.Expire(time.Now()))
	if s.unpublished {
		s.publish(c)
	}
	s.publishLoads(c)
	c.After(tickEvery, tickDue{})
}

// announce tells all live members about a change of this VM at once.
func (s *Service) announce(c *kernel.Context) {
	for _, m := range s.table.Members() {
		if m.Alive {
			s.heartbeat(c, m, nil)
		}
	}
}

// heartbeat sends one heartbeat and runs done, if not nil, after its answer.
func (s *Service) heartbeat(c *kernel.Context, m model.Member, done func()) {
	now := time.Now()
	f := message.Forward{
		VM: m.VM, To: names.Membership, Body: message.Heartbeat{Digest: s.table.NewDigest(m.VM, now)},
		Deadline: now.Add(answerTimeout),
	}
	c.Request(names.Peers, f, func(r kernel.Message, err error) {
		if reply, ok := r.(message.HeartbeatReply); ok && err == nil {
			s.heard(c, reply.Digest)
		}
		if done != nil {
			done()
		}
	})
}

// heard applies a heartbeat or an answer and returns its sender.
func (s *Service) heard(c *kernel.Context, d model.Digest) model.VMID {
	from, change := s.table.ApplyDigest(d, time.Now())
	s.changed(c, change)
	return from
}

// changed publishes the members now or with the next tick.
func (s *Service) changed(c *kernel.Context, change member.Change) {
	switch change {
	case member.Immediate:
		s.publish(c)
	case member.Deferred:
		s.unpublished = true
	}
}

func (s *Service) publish(c *kernel.Context) {
	s.unpublished = false
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
