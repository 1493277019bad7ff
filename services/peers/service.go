// Package peers is the service that carries messages between entry VMs over net/rpc.
package peers

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// dialTimeout bounds a TCP connect. The one-way delay between regions is about 30 ms.
	dialTimeout = time.Second
	// maxForwards bounds the deliveries of one message.
	maxForwards = 4
	// forwardDelay is the wait before another delivery while no holder is known.
	forwardDelay = 200 * time.Millisecond
)

type (
	callDone struct {
		env      kernel.Envelope
		forward  message.Forward
		attempt  int
		vm       model.VMID
		client   *rpc.Client
		response Response
		err      error
		sent     bool
	}
	forwardDue struct {
		env     kernel.Envelope
		forward message.Forward
		attempt int
	}
)

// Kind implements kernel.Message.
func (callDone) Kind() string { return "peer_call_done" }

// Kind implements kernel.Message.
func (forwardDue) Kind() string { return "forward_due" }

// Service owns the connections to the other entry VMs.
type Service struct {
	self     model.Member
	listener net.Listener
	metrics  *metrics.Set
	holder   bool
	members  map[model.VMID]model.Member
	clients  map[model.VMID]*rpc.Client
}

// New returns the service of one VM with the peers that its settings name. It takes over the listener.
func New(self model.Member, peers []model.Member, l net.Listener, m *metrics.Set) *Service {
	s := &Service{
		self: self, listener: l, metrics: m,
		members: make(map[model.VMID]model.Member),
		clients: make(map[model.VMID]*rpc.Client),
	}
	for _, p := range peers {
		s.members[p.VM] = p
	}
	return s
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Peers, Service: s, Mailbox: 8192, Subscribes: []string{
		message.KindMembersChanged, message.KindAuthorityChanged,
	}}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	server := rpc.NewServer()
	caller := c.Caller()
	listener := s.listener
	c.Spawn(func(ctx context.Context) kernel.Message {
		stop := context.AfterFunc(ctx, func() { listener.Close() })
		defer stop()
		if err := server.RegisterName("Peer", &endpoint{ctx: ctx, caller: caller}); err != nil {
			return nil
		}
		server.Accept(listener)
		return nil
	})
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.MembersChanged:
		for _, member := range m.Members {
			s.members[member.VM] = member
		}
	case message.AuthorityChanged:
		s.holder = m.Holder
	case message.Forward:
		s.forward(c, e, m, 1)
	case forwardDue:
		s.forward(c, m.env, m.forward, m.attempt)
	case callDone:
		s.finish(c, m)
	}
}

// forward delivers a message to a VM, or to the holder of a failure domain.
func (s *Service) forward(c *kernel.Context, e kernel.Envelope, f message.Forward, attempt int) {
	target := f.VM
	if target == "" {
		target = s.holderOf(f.Domain)
	}
	switch target {
	case "":
		s.retry(c, e, f, attempt, failure.New(failure.NoHolder, "no holder of %s is known", f.Domain))
	case s.self.VM:
		s.deliverLocal(c, e, f, attempt)
	default:
		s.deliverRemote(c, e, f, attempt, target)
	}
}

func (s *Service) holderOf(d model.FailureDomain) model.VMID {
	if s.holder && d == s.self.Domain {
		return s.self.VM
	}
	var best model.Member
	for _, m := range s.members {
		if m.Domain == d && best.Holder.Less(m.Holder) {
			best = m
		}
	}
	return best.VM
}

func (s *Service) deliverLocal(c *kernel.Context, e kernel.Envelope, f message.Forward, attempt int) {
	c.Request(kernel.Name(f.To), f.Body, func(m kernel.Message, err error) {
		if err != nil {
			s.settle(c, e, f, attempt, failure.From(translate(err)))
			return
		}
		e.Reply(m)
	})
}

func (s *Service) deliverRemote(c *kernel.Context, e kernel.Envelope, f message.Forward, attempt int, to model.VMID) {
	client, address := s.clients[to], s.members[to].Address
	req := Request{From: s.self.VM, To: f.To, Body: f.Body, Budget: time.Until(f.Deadline)}
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithDeadline(ctx, f.Deadline)
		defer cancel()
		done := callDone{env: e, forward: f, attempt: attempt, vm: to, client: client}
		if client == nil {
			conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
			if err != nil {
				done.err = err
				return done
			}
			done.client = rpc.NewClient(conn)
		}
		done.sent = true
		call := done.client.Go(deliverMethod, req, &done.response, make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
			done.err = call.Error
		case <-ctx.Done():
			done.response, done.err = Response{}, ctx.Err()
		}
		return done
	})
}

// finish takes the result of a remote delivery.
func (s *Service) finish(c *kernel.Context, m callDone) {
	switch old := s.clients[m.vm]; {
	case m.err != nil && m.client != nil:
		m.client.Close()
		if old == m.client {
			delete(s.clients, m.vm)
		}
	case m.err == nil && old == nil:
		s.clients[m.vm] = m.client
	case m.err == nil && old != m.client:
		m.client.Close()
	}
	switch {
	case m.err != nil && (!m.sent || m.forward.Idempotent):
		s.retry(c, m.env, m.forward, m.attempt, failure.New(failure.HomeUnreachable, "%s: %v", m.vm, m.err))
	case m.err != nil:
		m.env.Fail(s.metrics.Refusal(failure.New(failure.HomeUnreachable, "%s: %v", m.vm, m.err).WithOutcome(failure.Unknown)))
	case m.response.Failure != nil:
		s.settle(c, m.env, m.forward, m.attempt, m.response.Failure)
	default:
		m.env.Reply(m.response.Body)
	}
}

// settle answers with a failure, unless another delivery may succeed.
func (s *Service) settle(c *kernel.Context, e kernel.Envelope, f message.Forward, attempt int, fail *failure.Error) {
	if fail.Reason == failure.NotHolder {
		s.retry(c, e, f, attempt, fail)
		return
	}
	e.Fail(fail)
}

func (s *Service) retry(c *kernel.Context, e kernel.Envelope, f message.Forward, attempt int, last *failure.Error) {
	if f.VM != "" || attempt >= maxForwards || time.Until(f.Deadline) < forwardDelay {
		e.Fail(s.metrics.Refusal(last))
		return
	}
	s.metrics.Retry(failure.RetryForward)
	c.After(forwardDelay, forwardDue{env: e, forward: f, attempt: attempt + 1})
}
