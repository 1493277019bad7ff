// Package membership is the service that owns the table of VMs.
package membership

import (
	"context"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/vmlist"
)

const (
	// listWait bounds one watch of the VM list.
	listWait = 5 * time.Second
	// listRetry is the delay after a failed watch of the VM list.
	listRetry = time.Second
	// heartbeatEvery is the interval of heartbeats to the other entry VMs.
	heartbeatEvery = time.Second
)

type (
	listDue      struct{}
	heartbeatDue struct{}
	listDone     struct {
		list vmlist.List
		err  error
	}
)

// Kind implements kernel.Message.
func (listDue) Kind() string { return "vm_list_due" }

// Kind implements kernel.Message.
func (heartbeatDue) Kind() string { return "heartbeat_due" }

// Kind implements kernel.Message.
func (listDone) Kind() string { return "vm_list_done" }

// Service holds the known VMs.
type Service struct {
	self    model.Member
	list    vmlist.Client
	seen    uint64
	vms     []model.VM
	members map[model.VMID]model.Member
}

// New returns the service of one entry VM with the peers that its settings name.
func New(self model.Member, peers []model.Member, list vmlist.Client) *Service {
	s := &Service{self: self, list: list, members: make(map[model.VMID]model.Member)}
	for _, p := range peers {
		s.members[p.VM] = p
	}
	return s
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Membership, Service: s, Subscribes: []string{
		message.KindAuthorityChanged, message.KindConfigChanged,
	}}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	c.After(0, listDue{})
	c.After(0, heartbeatDue{})
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case listDue:
		s.watchList(c)
	case listDone:
		s.learnList(c, m)
	case heartbeatDue:
		s.sendHeartbeats(c)
		c.After(heartbeatEvery, heartbeatDue{})
	case message.Heartbeat:
		s.heard(c, m.Member)
		e.Reply(message.HeartbeatReply{Member: s.self})
	case message.AuthorityChanged:
		s.self.Holder = model.Epoch{}
		if m.Holder {
			s.self.Holder = m.Epoch
		}
		s.sendHeartbeats(c)
	case message.ConfigChanged:
		s.self.ConfigVersion = m.Config.Version
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
		s.publish(c)
	}
	c.After(0, listDue{})
}

func (s *Service) sendHeartbeats(c *kernel.Context) {
	for _, m := range s.members {
		f := message.Forward{
			VM: m.VM, To: names.Membership, Body: message.Heartbeat{Member: s.self},
			Deadline: time.Now().Add(heartbeatEvery),
		}
		c.Request(names.Peers, f, func(r kernel.Message, err error) {
			if reply, ok := r.(message.HeartbeatReply); ok && err == nil {
				s.heard(c, reply.Member)
			}
		})
	}
}

func (s *Service) heard(c *kernel.Context, m model.Member) {
	old := s.members[m.VM]
	m.Alive, m.LastHeard = true, time.Now()
	s.members[m.VM] = m
	if !old.Alive || old.Holder != m.Holder || old.Leaving != m.Leaving {
		s.publish(c)
	}
}

func (s *Service) publish(c *kernel.Context) {
	out := message.MembersChanged{}
	for _, m := range s.members {
		out.Members = append(out.Members, m)
	}
	for _, vm := range s.vms {
		switch {
		case vm.Domain != s.self.Domain:
		case vm.Role == model.RoleWorker:
			out.Workers = append(out.Workers, vm)
		case vm.Role == model.RoleExecutor:
			out.Executors = append(out.Executors, vm)
		}
	}
	c.Publish(out)
}
