// Package peers is the service that carries messages between entry VMs over net/rpc.
package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"time"

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
	// circuitAfter is the number of consecutive failed connects and unanswered calls after which calls to a VM fail at once.
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
		delivery
		vm   model.VMID
		link *link
		// number identifies the attempt, begun is the local time of its start.
		number   uint64
		begun    time.Time
		response Response
		err      error
		sent     bool
	}
	accepted   struct{ conn net.Conn }
	connClosed struct{ conn net.Conn }
	queryDue   struct {
		env     kernel.Envelope
		forward message.Forward
	}
	forwardDue struct{ delivery }
)

// Kind implements kernel.Message.
func (callDone) Kind() string { return "peer_call_done" }

// Kind implements kernel.Message.
func (accepted) Kind() string { return "peer_accepted" }

// Kind implements kernel.Message.
func (connClosed) Kind() string { return "peer_conn_closed" }

// Kind implements kernel.Message.
func (queryDue) Kind() string { return "outcome_query_due" }

// Kind implements kernel.Message.
func (forwardDue) Kind() string { return "forward_due" }

// Service owns the connections to the other entry VMs.
type Service struct {
	self model.Member
	// installation is sent with each call and required of each caller.
	installation string
	listener     net.Listener
	metrics      *metrics.Set
	holder       bool
	members      map[model.VMID]model.Member
	links        map[model.VMID]*link
	circuits     map[model.VMID]*circuit
	budget       retry.Budget
	random       *rand.Rand
	calls        int
	draining     bool
	// attempts are the remote calls in flight by number.
	attempts    map[uint64]attempt
	lastAttempt uint64
	// conns are the connections on which other VMs call this one.
	conns  map[net.Conn]bool
	server *rpc.Server
}

// New returns the service of one VM of an installation with the peers that its settings name. It takes over the listener.
func New(installation string, self model.Member, peers []model.Member, l net.Listener, m *metrics.Set) *Service {
	s := &Service{
		self: self, installation: installation, listener: l, metrics: m,
		members: make(map[model.VMID]model.Member),
		links:   make(map[model.VMID]*link), circuits: make(map[model.VMID]*circuit),
		attempts: make(map[uint64]attempt),
		conns:    make(map[net.Conn]bool), server: rpc.NewServer(),
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
	caller, post, listener, server := c.Caller(), c.Post(), s.listener, s.server
	installation := s.installation
	c.Spawn(func(ctx context.Context) kernel.Message {
		stop := context.AfterFunc(ctx, func() { listener.Close() })
		defer stop()
		if err := server.RegisterName("Peer", &endpoint{ctx, caller, installation}); err != nil {
			return nil
		}
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			if !post(accepted{conn}) {
				conn.Close()
			}
		}
	})
	return nil
}

// serve answers the calls of one connection until its end.
func (s *Service) serve(c *kernel.Context, conn net.Conn) {
	if s.draining {
		conn.Close()
		return
	}
	s.conns[conn] = true
	server := s.server
	c.Spawn(func(ctx context.Context) kernel.Message {
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		defer stop()
		server.ServeCodec(newServerCodec(conn))
		return connClosed{conn}
	})
}

// Drain implements kernel.Service. The services that answer the calls of other VMs have drained before. At
// the end of its input net/rpc writes the answers to all calls that it has read and then closes the codec, which
// tells the caller that its other calls were not processed.
func (s *Service) Drain(c *kernel.Context) {
	s.draining = true
	s.listener.Close()
	for conn := range s.conns {
		_ = conn.SetReadDeadline(time.Now())
	}
	s.checkDrained(c)
}

// checkDrained ends the drain once the calls to and from other VMs have ended.
func (s *Service) checkDrained(c *kernel.Context) {
	if !s.draining || s.calls > 0 || len(s.conns) > 0 {
		return
	}
	for vm := range s.links {
		s.dropLink(vm)
	}
	c.Drained()
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
		s.setMembers(m.Members)
		s.abandon()
	case message.AuthorityChanged:
		s.holder = m.Holder
		s.abandon()
	case message.Forward:
		if m.Key != "" {
			m.Domain = ledger.HomeDomain(m.Key, s.domains())
		}
		s.budget.RecordRequest()
		s.forward(c, delivery{env: e, forward: m, attempt: 1})
	case forwardDue:
		s.forward(c, m.delivery)
	case callDone:
		s.finish(c, m)
	case accepted:
		s.serve(c, m.conn)
	case connClosed:
		delete(s.conns, m.conn)
		s.checkDrained(c)
	case queryDue:
		s.askOutcome(c, m)
	}
}
