// Package relay is the service that carries messages between the entry VMs over net/rpc.
package relay

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// rpcName is the name of the receiver, rpcMethod its only method.
	rpcName   = "Relay"
	rpcMethod = rpcName + ".Deliver"
	// dialTimeout bounds a TCP connect. The longest one-way delay between regions is about 30 ms.
	dialTimeout = 400 * time.Millisecond
	// serveTimeout bounds the handling of a message from another VM.
	serveTimeout = 3 * time.Second
)

// Parcel is a message on its way between two VMs.
type Parcel struct {
	// To is the service that receives the message.
	To   string
	Body kernel.Message
}

// Receipt is the answer to a parcel: a message or a failure.
type Receipt struct {
	Body    kernel.Message
	Failure *failure.Error
}

type (
	dialed struct {
		call   message.RelayCall
		env    kernel.Envelope
		client *rpc.Client
		err    error
	}
	returned struct {
		env     kernel.Envelope
		address string
		client  *rpc.Client
		receipt Receipt
		err     error
	}
)

// Kind implements kernel.Message.
func (dialed) Kind() string { return "relay_dialed" }

// Kind implements kernel.Message.
func (returned) Kind() string { return "relay_returned" }

// Service owns the listener for other VMs and the connections to them.
type Service struct {
	listener net.Listener
	metrics  *metrics.Set
	clients  map[string]*rpc.Client
	// dialing holds the calls that wait for a connection.
	dialing map[string][]dialed
}

// New returns the service. It takes over the listener.
func New(l net.Listener, m *metrics.Set) *Service {
	return &Service{listener: l, metrics: m, clients: map[string]*rpc.Client{}, dialing: map[string][]dialed{}}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec { return kernel.Spec{Name: names.Relay, Service: s} }

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	server := rpc.NewServer()
	if err := server.RegisterName(rpcName, &receiver{c.Caller()}); err != nil {
		return err
	}
	c.Spawn(func(ctx context.Context) kernel.Message {
		stop := context.AfterFunc(ctx, func() { s.listener.Close() })
		defer stop()
		var conns conc.WaitGroup
		defer conns.Wait()
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return nil
			}
			conns.Go(func() {
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				defer stop()
				server.ServeConn(conn)
			})
		}
	})
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.RelayCall:
		s.call(c, m, e)
	case dialed:
		s.dialed(c, m)
	case returned:
		s.returned(m)
	}
}

func (s *Service) call(c *kernel.Context, m message.RelayCall, e kernel.Envelope) {
	if client := s.clients[m.Address]; client != nil {
		s.send(c, m, e, client)
		return
	}
	first := len(s.dialing[m.Address]) == 0
	s.dialing[m.Address] = append(s.dialing[m.Address], dialed{call: m, env: e})
	if !first {
		return
	}
	c.Spawn(func(ctx context.Context) kernel.Message {
		d := net.Dialer{Timeout: dialTimeout}
		conn, err := d.DialContext(ctx, "tcp", m.Address)
		if err != nil {
			return dialed{call: m, err: err}
		}
		return dialed{call: m, client: rpc.NewClient(conn)}
	})
}

func (s *Service) dialed(c *kernel.Context, m dialed) {
	waiting := s.dialing[m.call.Address]
	delete(s.dialing, m.call.Address)
	if m.err == nil {
		s.clients[m.call.Address] = m.client
	}
	for _, w := range waiting {
		if m.err != nil {
			s.metrics.Event("relay_dial_failed", 1)
			w.env.Fail(failure.New(failure.NoHolder, "VM at %s not reached: %v", m.call.Address, m.err))
			continue
		}
		s.send(c, w.call, w.env, m.client)
	}
}

func (s *Service) send(c *kernel.Context, m message.RelayCall, e kernel.Envelope, client *rpc.Client) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		out := returned{env: e, address: m.Address, client: client}
		// After a time-out the call may still write to the receipt.
		receipt := new(Receipt)
		call := client.Go(rpcMethod, Parcel{To: m.To, Body: m.Body}, receipt, make(chan *rpc.Call, 1))
		t := time.NewTimer(m.Timeout)
		defer t.Stop()
		select {
		case <-call.Done:
			out.receipt, out.err = *receipt, call.Error
		case <-t.C:
			out.err = context.DeadlineExceeded
		case <-ctx.Done():
			out.err = ctx.Err()
		}
		return out
	})
}

func (s *Service) returned(m returned) {
	var served rpc.ServerError
	switch {
	case m.err == nil && m.receipt.Failure != nil:
		m.env.Fail(m.receipt.Failure)
	case m.err == nil && m.receipt.Body != nil:
		m.env.Reply(m.receipt.Body)
	default:
		if !errors.As(m.err, &served) && s.clients[m.address] == m.client {
			delete(s.clients, m.address)
			m.client.Close()
		}
		s.metrics.Event("relay_call_failed", 1)
		m.env.Fail(failure.New(failure.HomeUnreachable, "VM at %s gave no answer: %v", m.address, m.err).WithOutcome(failure.Unknown))
	}
}

// receiver hands messages of other VMs to the own services.
type receiver struct{ caller kernel.Caller }

// Deliver implements the method of net/rpc.
func (r *receiver) Deliver(p Parcel, out *Receipt) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	body, err := r.caller.Call(ctx, kernel.Name(p.To), p.Body)
	if err != nil {
		out.Failure = failure.From(err)
		return nil
	}
	out.Body = body
	return nil
}
