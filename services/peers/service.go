// Package peers is the service that delivers messages between entry VMs over net/rpc.
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
	// maxAttempts bounds the delivery attempts of one message.
	maxAttempts = 4
	// breakerThreshold is the number of consecutive failures after which the circuit breaker of a VM opens, so that calls
	// to the VM fail at once.
	breakerThreshold = 3
	// probeInterval is the interval at which an open circuit breaker allows a call.
	probeInterval = time.Second
	// maxCallsInFlight bounds the calls in flight to other VMs.
	maxCallsInFlight = 4096
	// drainTimeout bounds the wait for the calls in progress at a graceful shutdown.
	drainTimeout = 30 * time.Second
	// retryDelay is the maximum delay before another delivery attempt and the delay between two queries of an outcome.
	// Nothing is retried with less time left before the deadline.
	retryDelay = 200 * time.Millisecond
)

type (
	callDone struct {
		delivery
		vm   model.VMID
		link *link
		// attemptID identifies the attempt, startedAt is the local time of its start.
		attemptID uint64
		startedAt time.Time
		response  Response
		err       error
		// sent is false if the called VM certainly did not process the call.
		sent bool
	}
	connAccepted    struct{ conn net.Conn }
	connClosed      struct{ conn net.Conn }
	outcomeQueryDue struct {
		envelope kernel.Envelope
		forward  message.Forward
	}
	retryDue struct{ delivery }
)

// Kind implements kernel.Message.
func (callDone) Kind() string { return "peer_call_done" }

// Kind implements kernel.Message.
func (connAccepted) Kind() string { return "peer_accepted" }

// Kind implements kernel.Message.
func (connClosed) Kind() string { return "peer_conn_closed" }

// Kind implements kernel.Message.
func (outcomeQueryDue) Kind() string { return "outcome_query_due" }

// Kind implements kernel.Message.
func (retryDue) Kind() string { return "forward_due" }

// Service owns the connections to and from the other entry VMs.
type Service struct {
	self model.Member
	// installation is sent with each call; calls from other installations are refused.
	installation  string
	listener      net.Listener
	metrics       *metrics.Set
	isHolder      bool
	members       map[model.VMID]model.Member
	links         map[model.VMID]*link
	breakers      map[model.VMID]*circuitBreaker
	retryBudget   retry.Budget
	random        *rand.Rand
	callsInFlight int
	draining      bool
	// attempts contains the calls in flight to other VMs by attempt ID.
	attempts      map[uint64]attempt
	lastAttemptID uint64
	// inboundConns contains the connections on which other VMs call this one.
	inboundConns map[net.Conn]bool
	server       *rpc.Server
}

// New returns the service of one VM of an installation; peers are the other entry VMs in its settings. It takes
// ownership of the listener.
func New(installation string, self model.Member, peers []model.Member, l net.Listener, m *metrics.Set) *Service {
	s := &Service{
		self: self, installation: installation, listener: l, metrics: m,
		members: make(map[model.VMID]model.Member),
		links:   make(map[model.VMID]*link), breakers: make(map[model.VMID]*circuitBreaker),
		attempts:     make(map[uint64]attempt),
		inboundConns: make(map[net.Conn]bool), server: rpc.NewServer(),
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0)),
	}
	for _, p := range peers {
		s.members[p.VM] = p
	}
	return s
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Peers, Service: s, MailboxSize: 8192, DrainTimeout: drainTimeout, Subscriptions: []string{
		message.KindMembersChanged, message.KindAuthorityChanged,
	}}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	caller, post, listener, server := c.Caller(), c.TaskSender(), s.listener, s.server
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
			if !post(connAccepted{conn}) {
				conn.Close()
			}
		}
	})
	return nil
}

// serve answers the calls of one connection until the connection ends.
func (s *Service) serve(c *kernel.Context, conn net.Conn) {
	if s.draining {
		conn.Close()
		return
	}
	s.inboundConns[conn] = true
	server := s.server
	c.Spawn(func(ctx context.Context) kernel.Message {
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		defer stop()
		server.ServeCodec(newServerCodec(conn))
		return connClosed{conn}
	})
}

// Drain implements kernel.Service. The services that handle the calls of other VMs have drained before. The expired
// read deadline ends the input of each connection. net/rpc then writes the responses to all calls that it has read and
// closes the codec, which tells the caller that its other calls were not processed.
func (s *Service) Drain(c *kernel.Context) {
	s.draining = true
	s.listener.Close()
	for conn := range s.inboundConns {
		_ = conn.SetReadDeadline(time.Now())
	}
	s.checkDrained(c)
}

// checkDrained completes the drain once the calls to other VMs and the connections from them have ended.
func (s *Service) checkDrained(c *kernel.Context) {
	if !s.draining || s.callsInFlight > 0 || len(s.inboundConns) > 0 {
		return
	}
	for vm := range s.links {
		s.dropLink(vm)
	}
	c.CompleteDrain()
}

// knownDomains returns the failure domains of all VMs that the settings or the membership service have named. It may
// contain duplicates.
func (s *Service) knownDomains() []model.FailureDomain {
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
		s.cancelSuperseded()
	case message.AuthorityChanged:
		s.isHolder = m.Holder
		s.cancelSuperseded()
	case message.Forward:
		if m.Key != "" {
			m.Domain = ledger.HomeDomain(m.Key, s.knownDomains())
		}
		s.retryBudget.RecordRequest()
		s.forward(c, delivery{envelope: e, forward: m, attempt: 1})
	case retryDue:
		s.forward(c, m.delivery)
	case callDone:
		s.handleResult(c, m)
	case connAccepted:
		s.serve(c, m.conn)
	case connClosed:
		delete(s.inboundConns, m.conn)
		s.checkDrained(c)
	case outcomeQueryDue:
		s.pollOutcome(c, m)
	}
}
