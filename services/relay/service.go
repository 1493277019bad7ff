// Package relay is the service that sends messages between the entry VMs over net/rpc.
package relay

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// rpcName is the net/rpc name of the receiver, rpcMethod that of its only method.
	rpcName   = "Relay"
	rpcMethod = rpcName + ".Deliver"
	// dialTimeout bounds a TCP connect. The longest one-way delay between regions is about 30 ms.
	dialTimeout = 400 * time.Millisecond
	// writeTimeout bounds a write to another VM that does not read. It is longer than a full link delays it.
	writeTimeout = 2 * time.Second
	// serveTimeout bounds the handling of a message from another VM.
	serveTimeout = 3 * time.Second
	// acceptRetryDelay is the wait after a failed accept, as for a lack of descriptors, which connections that end give back.
	acceptRetryDelay = 100 * time.Millisecond
)

// Parcel is the request that sends a message to another VM. gob carries the names of the type and of its fields.
type Parcel struct {
	// To is the name of the service that receives the message.
	To   string
	Body kernel.Message
}

// Receipt is the response to a Parcel: a message or a failure. gob carries the names of the type and of its fields.
type Receipt struct {
	Body    kernel.Message
	Failure *failure.Error
}

type (
	dialDone struct {
		call   message.RelayCall
		env    kernel.Envelope
		client *rpc.Client
		err    error
	}
	callDone struct {
		env      kernel.Envelope
		address  string
		client   *rpc.Client
		response Receipt
		err      error
	}
)

// Kind implements kernel.Message.
func (dialDone) Kind() string { return "relay_dialed" }

// Kind implements kernel.Message.
func (callDone) Kind() string { return "relay_returned" }

// Service owns the listener for calls of other VMs and the connections to them.
type Service struct {
	listener net.Listener
	// places is the most connections of other VMs at a time.
	places  int
	metrics *metrics.Set
	clients map[string]*rpc.Client
	// pendingDials holds the calls that wait for a connection, by address.
	pendingDials map[string][]dialDone
}

// New returns the service. It takes over the listener, and accepts at most so many connections, or maxConnections.
func New(l net.Listener, connections int, m *metrics.Set) *Service {
	return &Service{listener: l, places: max(1, min(connections, maxConnections)), metrics: m, clients: map[string]*rpc.Client{}, pendingDials: map[string][]dialDone{}}
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
		// places bounds the connections.
		places := make(chan struct{}, s.places)
		for {
			conn, err := s.listener.Accept()
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return nil
			}
			if err != nil {
				s.metrics.CountEvent("relay_accept_failed", 1)
				select {
				case <-time.After(acceptRetryDelay):
				case <-ctx.Done():
				}
				continue
			}
			select {
			case places <- struct{}{}:
			default:
				s.metrics.CountEvent("relay_connections_refused", 1)
				conn.Close()
				continue
			}
			conns.Go(func() {
				defer func() { <-places }()
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				defer stop()
				_ = conn.SetReadDeadline(time.Now().Add(messageTime))
				s.serve(server, &limitedConn{Conn: boundedConn{conn}})
			})
		}
	})
	return nil
}

// serve serves the calls of one connection. Bytes that cannot be decoded end only this connection.
func (s *Service) serve(server *rpc.Server, conn net.Conn) {
	p := panics.Try(func() { server.ServeConn(conn) })
	if p == nil {
		return
	}
	conn.Close()
	s.metrics.CountEvent("relay_connection_panics", 1)
	klog.ErrorS(&ConnectionError{Cause: p.AsError()}, "connection of another VM closed after a panic", "service", names.Relay, "from", conn.RemoteAddr())
}

// ConnectionError reports a connection that was closed because decoding its bytes caused a panic.
type ConnectionError struct{ Cause error }

func (e *ConnectionError) Error() string { return fmt.Sprintf("decode a call: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Cause }

// boundedConn is a connection whose writes fail if the peer does not read. net/rpc holds a lock while it writes, so that a
// write that waits would hold up all calls, or all responses, of the connection. A failed write ends the connection.
type boundedConn struct{ net.Conn }

// Write implements net.Conn.
func (c boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.Close()
	}
	return n, err
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.CompleteDrain() }

// Recover implements kernel.Recoverer. It closes all connections to other VMs and fails the calls that wait for one,
// because no dial may be in progress for them any more. It does not recover a listener that has ended.
func (s *Service) Recover(_ *kernel.Context, p *kernel.PanicError) bool {
	for _, waiting := range s.pendingDials {
		for _, w := range waiting {
			w.env.Fail(p)
		}
	}
	for _, client := range s.clients {
		client.Close()
	}
	clear(s.pendingDials)
	clear(s.clients)
	return !p.Task
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.RelayCall:
		s.handleCall(c, m, e)
	case dialDone:
		s.handleDialDone(c, m)
	case callDone:
		s.handleCallDone(m)
	}
}

func (s *Service) handleCall(c *kernel.Context, m message.RelayCall, e kernel.Envelope) {
	if client := s.clients[m.Address]; client != nil {
		s.send(c, m, e, client)
		return
	}
	first := len(s.pendingDials[m.Address]) == 0
	s.pendingDials[m.Address] = append(s.pendingDials[m.Address], dialDone{call: m, env: e})
	if !first {
		return
	}
	c.Spawn(func(ctx context.Context) kernel.Message {
		d := net.Dialer{Timeout: dialTimeout}
		conn, err := d.DialContext(ctx, "tcp", m.Address)
		if err != nil {
			return dialDone{call: m, err: err}
		}
		return dialDone{call: m, client: rpc.NewClient(boundedConn{conn})}
	})
}

func (s *Service) handleDialDone(c *kernel.Context, m dialDone) {
	waiting := s.pendingDials[m.call.Address]
	delete(s.pendingDials, m.call.Address)
	if m.err == nil {
		s.clients[m.call.Address] = m.client
	}
	for _, w := range waiting {
		if m.err != nil {
			s.metrics.CountEvent("relay_dial_failed", 1)
			w.env.Fail(failure.New(failure.NoHolder, "VM at %s not reached: %v", m.call.Address, m.err))
			continue
		}
		s.send(c, w.call, w.env, m.client)
	}
}

func (s *Service) send(c *kernel.Context, m message.RelayCall, e kernel.Envelope, client *rpc.Client) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		out := callDone{env: e, address: m.Address, client: client}
		// The response is not part of out, because the call may still write to it after a timeout.
		response := new(Receipt)
		call := client.Go(rpcMethod, Parcel{To: m.To, Body: m.Body}, response, make(chan *rpc.Call, 1))
		t := time.NewTimer(m.Timeout)
		defer t.Stop()
		select {
		case <-call.Done:
			out.response, out.err = *response, call.Error
		case <-t.C:
			out.err = context.DeadlineExceeded
		case <-ctx.Done():
			out.err = ctx.Err()
		}
		return out
	})
}

func (s *Service) handleCallDone(m callDone) {
	var serverErr rpc.ServerError
	switch {
	case m.err == nil && m.response.Failure != nil:
		m.env.Fail(m.response.Failure)
	case m.err == nil && m.response.Body != nil:
		m.env.Reply(m.response.Body)
	default:
		if !errors.As(m.err, &serverErr) && s.clients[m.address] == m.client {
			delete(s.clients, m.address)
			m.client.Close()
		}
		s.metrics.CountEvent("relay_call_failed", 1)
		m.env.Fail(failure.New(failure.HomeUnreachable, "VM at %s gave no answer: %v", m.address, m.err).WithOutcome(failure.Unknown))
	}
}

// receiver is the net/rpc receiver that forwards messages of other VMs to this VM's services.
type receiver struct{ caller kernel.Caller }

// accepted holds the messages that a VM accepts from others, and the services that receive them.
var accepted = map[string]kernel.Name{
	message.JobStored{}.Kind():    names.Holder,
	message.JobCancelled{}.Kind(): names.Holder,
	message.StateQuery{}.Kind():   names.Holder,
	message.WaitingQuery{}.Kind(): names.Holder,
	message.ResignHolder{}.Kind(): names.Holder,
	message.AcceptJob{}.Kind():    names.Intake,
	message.AcceptCancel{}.Kind(): names.Intake,
}

// Deliver is the net/rpc method rpcMethod.
func (r *receiver) Deliver(request Parcel, response *Receipt) error {
	if request.Body == nil || request.To == "" || accepted[request.Body.Kind()] != kernel.Name(request.To) {
		response.Failure = failure.New(failure.Malformed, "no service %.40q for the message", request.To)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	body, err := r.caller.Call(ctx, kernel.Name(request.To), request.Body)
	if err != nil {
		response.Failure = failure.FromDelivery(err)
		return nil
	}
	response.Body = body
	return nil
}
