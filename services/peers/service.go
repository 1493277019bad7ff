// Package peers is the service that carries messages between entry VMs over net/rpc.
package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/ledger"
	"github.com/verbenaflow/verbenaflow/decisions/retry"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// dialTimeout bounds a TCP connect. The one-way delay between regions is about 30 ms.
	dialTimeout = time.Second
	// maxForwards bounds the deliveries of one message.
	maxForwards = 4
	// circuitAfter is the number of consecutive failed connects after which calls to a VM fail at once.
	circuitAfter = 3
	// probeEvery is the interval of calls to a VM whose circuit is open; one of them is let through.
	probeEvery = time.Second
	// maxCalls bounds the remote calls in flight.
	maxCalls = 4096
	// drainTimeout bounds the calls in progress at a graceful shutdown.
	drainTimeout = 30 * time.Second
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
	queryDue struct {
		env     kernel.Envelope
		forward message.Forward
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
func (queryDue) Kind() string { return "outcome_query_due" }

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
	circuits map[model.VMID]*circuit
	budget   retry.Budget
	random   *rand.Rand
	calls    int
	draining bool
}

// circuit counts the consecutive failures of calls to one VM.
type circuit struct {
	failures int
	probe    time.Time
}

// allow reports whether a call may be made. While the VM is unreachable one call in probeEvery may.
func (k *circuit) allow(now time.Time) bool {
	if k.failures < circuitAfter {
		return true
	}
	if now.Before(k.probe) {
		return false
	}
	k.probe = now.Add(probeEvery)
	return true
}

// New returns the service of one VM with the peers that its settings name. It takes over the listener.
func New(self model.Member, peers []model.Member, l net.Listener, m *metrics.Set) *Service {
	s := &Service{
		self: self, listener: l, metrics: m,
		members: make(map[model.VMID]model.Member),
		clients: make(map[model.VMID]*rpc.Client), circuits: make(map[model.VMID]*circuit),
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0)),
	}
	for _, p := range peers {
		s.members[p.VM] = p
	}
	return s
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Peers, Service: s, Mailbox: 8192, DrainTimeout: drainTimeout, Subscribes: []string{
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
func (s *Service) Drain(c *kernel.Context) {
	s.draining = true
	s.checkDrained(c)
}

// checkDrained ends the drain once the calls to other VMs have ended. The services that answer the calls of
// other VMs drain before this one.
func (s *Service) checkDrained(c *kernel.Context) {
	if s.draining && s.calls == 0 {
		c.Drained()
	}
}

func (s *Service) circuit(vm model.VMID) *circuit {
	k, ok := s.circuits[vm]
	if !ok {
		k = &circuit{}
		s.circuits[vm] = k
	}
	return k
}

// domains returns all failure domains that the settings or the membership name.
func (s *Service) domains() []model.FailureDomain {
	out := []model.FailureDomain{s.self.Domain}
	for _, m := range s.members {
		out = append(out, m.Domain)
	}
	return out
}

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
		if m.Key != "" {
			m.Domain = ledger.Home(m.Key, s.domains())
		}
		s.budget.Request()
		s.forward(c, e, m, 1)
	case forwardDue:
		s.forward(c, m.env, m.forward, m.attempt)
	case callDone:
		s.finish(c, m)
	case queryDue:
		s.askOutcome(c, m)
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
	if s.calls >= maxCalls {
		e.Fail(s.metrics.Refusal(failure.New(failure.Overloaded, "%d calls to other VMs are in flight", s.calls)))
		return
	}
	if !s.circuit(to).allow(time.Now()) {
		s.retry(c, e, f, attempt, failure.New(failure.HomeUnreachable, "%s does not answer", to))
		return
	}
	s.calls++
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
	s.calls--
	defer s.checkDrained(c)
	if k := s.circuit(m.vm); m.err == nil {
		k.failures = 0
	} else if !m.sent {
		k.failures++
	}
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
	case m.err != nil && s.queryOutcome(c, m):
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
	if fail.Reason == failure.NotHolder || fail.Reason == failure.Draining && f.VM == "" {
		s.retry(c, e, f, attempt, fail)
		return
	}
	e.Fail(fail)
}

func (s *Service) retry(c *kernel.Context, e kernel.Envelope, f message.Forward, attempt int, last *failure.Error) {
	if f.VM != "" || attempt >= maxForwards || time.Until(f.Deadline) < forwardDelay || !s.budget.Allow() {
		e.Fail(s.metrics.Refusal(last))
		return
	}
	s.metrics.Retry(failure.RetryForward)
	// Half of the delay is random, so that the callers of a lost holder do not return at the same time.
	delay := forwardDelay/2 + time.Duration(s.random.Int64N(int64(forwardDelay/2)))
	c.After(delay, forwardDue{env: e, forward: f, attempt: attempt + 1})
}

// queryOutcome replaces a request whose answer was lost by questions for its outcome, which are safe to
// repeat. It returns false if the message is no request. The holder does not run a request on a question.
func (s *Service) queryOutcome(c *kernel.Context, m callDone) bool {
	send, ok := m.forward.Body.(message.RequestSend)
	if !ok || time.Until(m.forward.Deadline) < forwardDelay {
		return false
	}
	f := m.forward
	f.Body = message.RequestStatus{Request: send.Request.ID, Ticket: send.Ticket}
	f.Idempotent = true
	s.metrics.Retry(failure.RetryOutcomeQuery)
	c.After(forwardDelay, queryDue{env: m.env, forward: f})
	return true
}

// askOutcome asks once and repeats the question while the request is in progress, up to its deadline.
func (s *Service) askOutcome(c *kernel.Context, q queryDue) {
	c.Request(names.Peers, q.forward, func(reply kernel.Message, err error) {
		status, ok := reply.(message.RequestReply)
		switch {
		case err == nil && ok && !status.Pending:
			q.env.Reply(status)
		case time.Until(q.forward.Deadline) >= forwardDelay && (err == nil || transient(failure.From(err).Reason)):
			c.After(forwardDelay, q)
		case err != nil:
			f := failure.From(err)
			if transient(f.Reason) {
				f = f.WithOutcome(failure.Unknown)
			}
			q.env.Fail(s.metrics.Refusal(f))
		default:
			q.env.Fail(s.metrics.Refusal(failure.New(failure.DeadlineExceeded, "the request is in progress")))
		}
	})
}

// transient reports whether a later question may be answered.
func transient(r failure.Reason) bool {
	switch r {
	case failure.HomeUnreachable, failure.NoHolder, failure.NotHolder, failure.NotFound, failure.Overloaded, failure.Draining, failure.DeadlineExceeded:
		return true
	default:
		return false
	}
}
