// Package link is a small stand-in for a network path: it relays TCP connections with a delay and can be cut.
package link

import (
	"context"
	"net"
	"time"

	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

// PathFaults is the path that changes the state of the link.
const PathFaults = "/standin/faults"

const (
	// chunkSize is the largest part in bytes that is relayed at once.
	chunkSize = 32 << 10
	// queued is the number of parts in flight for one direction of a connection.
	queued = 256
	// dialTimeout bounds the connect to the target.
	dialTimeout = 5 * time.Second
)

// Mode is the state of the link.
type Mode string

// Modes of the link.
const (
	// Pass relays all bytes.
	Pass Mode = "pass"
	// Refuse closes all connections and those that arrive.
	Refuse Mode = "refuse"
	// Hold keeps connections open but relays no byte until the mode changes.
	Hold Mode = "hold"
)

// Faults is the state of the link; DelayMS is the one-way delay in milliseconds.
type Faults struct {
	Mode    Mode  `json:"mode"`
	DelayMS int64 `json:"delay_ms"`
	// Bytes counts the relayed bytes. It is only reported.
	Bytes int64 `json:"bytes"`
}

type (
	set      Faults
	faults   Faults
	accepted struct{ client, server net.Conn }
	relayed  struct {
		p     *pipe
		bytes int64
	}
)

// Kind implements kernel.Message.
func (set) Kind() string { return "link_set" }

// Kind implements kernel.Message.
func (faults) Kind() string { return "link_faults" }

// Kind implements kernel.Message.
func (accepted) Kind() string { return "link_accepted" }

// Kind implements kernel.Message.
func (relayed) Kind() string { return "link_relayed" }

// State owns the relayed connections.
type State struct {
	socket net.Listener
	target string
	state  Faults
	pipes  map[*pipe]struct{}
}

// New returns a link that relays the connections of a listener to the target ("IP:port"). It takes over the
// listener.
func New(l net.Listener, target string, delay time.Duration) *State {
	return &State{
		socket: l, target: target, pipes: make(map[*pipe]struct{}),
		state: Faults{Mode: Pass, DelayMS: delay.Milliseconds()},
	}
}

// Run relays until ctx ends. The control listener serves PathFaults; it is taken over.
func Run(ctx context.Context, control net.Listener, s *State) error {
	return host.Run(ctx, control, s, host.JSON(PathFaults, func(f Faults) kernel.Message { return set(f) }))
}

// Start implements kernel.Service.
func (s *State) Start(c *kernel.Context) error {
	post := c.Post()
	socket, target := s.socket, s.target
	c.Spawn(func(ctx context.Context) kernel.Message {
		stop := context.AfterFunc(ctx, func() { socket.Close() })
		defer stop()
		for {
			client, err := socket.Accept()
			if err != nil {
				return nil
			}
			server, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", target)
			if err != nil {
				client.Close()
				continue
			}
			if !post(accepted{client: client, server: server}) {
				client.Close()
				server.Close()
				return nil
			}
		}
	})
	return nil
}

// Drain implements kernel.Service.
func (s *State) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *State) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case set:
		s.set(m)
		e.Reply(faults(s.state))
	case accepted:
		if s.state.Mode == Refuse {
			m.client.Close()
			m.server.Close()
			return
		}
		s.relay(c, m.client, m.server)
		s.relay(c, m.server, m.client)
	case relayed:
		delete(s.pipes, m.p)
		s.state.Bytes += m.bytes
	}
}

// set changes the mode, unless it is empty, and the delay with it.
func (s *State) set(m set) {
	if m.Mode == "" {
		return
	}
	s.state.Mode, s.state.DelayMS = m.Mode, m.DelayMS
	for p := range s.pipes {
		if m.Mode == Refuse {
			p.from.Close()
			p.to.Close()
			continue
		}
		p.update(gate{open: m.Mode == Pass, delay: s.delay()})
	}
}

func (s *State) delay() time.Duration { return time.Duration(s.state.DelayMS) * time.Millisecond }

// gate tells a pipe whether it may write and how long each part is delayed.
type gate struct {
	open  bool
	delay time.Duration
}

// part is data with the time of its arrival.
type part struct {
	data    []byte
	arrived time.Time
}

// pipe relays one direction of a connection.
type pipe struct {
	from, to net.Conn
	gates    chan gate
}

// update replaces the gate that the pipe has not read yet. Only the service calls it.
func (p *pipe) update(g gate) {
	select {
	case <-p.gates:
	default:
	}
	p.gates <- g
}

func (s *State) relay(c *kernel.Context, from, to net.Conn) {
	p := &pipe{from: from, to: to, gates: make(chan gate, 1)}
	s.pipes[p] = struct{}{}
	p.update(gate{open: s.state.Mode == Pass, delay: s.delay()})
	parts := make(chan part, queued)
	c.Spawn(func(ctx context.Context) kernel.Message {
		defer close(parts)
		stop := context.AfterFunc(ctx, func() { from.Close() })
		defer stop()
		for {
			buf := make([]byte, chunkSize)
			n, err := from.Read(buf)
			if n > 0 {
				select {
				case parts <- part{data: buf[:n], arrived: time.Now()}:
				case <-ctx.Done():
					return nil
				}
			}
			if err != nil {
				return nil
			}
		}
	})
	c.Spawn(func(ctx context.Context) kernel.Message {
		n := p.write(ctx, parts)
		to.Close()
		from.Close()
		for range parts { // Lets a reader that waits for room end.
		}
		return relayed{p: p, bytes: n}
	})
}

// write writes the parts when they are due and the gate is open. It returns the number of bytes.
func (p *pipe) write(ctx context.Context, parts <-chan part) int64 {
	var total int64
	var g gate
	for {
		select {
		case g = <-p.gates:
		case <-ctx.Done():
			return total
		case d, ok := <-parts:
			if !ok {
				return total
			}
			if !p.wait(ctx, &g, d.arrived) {
				return total
			}
			n, err := p.to.Write(d.data)
			total += int64(n)
			if err != nil {
				return total
			}
		}
	}
}

// wait returns true once the gate is open and the delay since the arrival has passed.
func (p *pipe) wait(ctx context.Context, g *gate, arrived time.Time) bool {
	t := time.NewTimer(time.Until(arrived.Add(g.delay)))
	defer t.Stop()
	timer := t.C
	for timer != nil || !g.open {
		select {
		case *g = <-p.gates:
		case <-timer:
			timer = nil
		case <-ctx.Done():
			return false
		}
	}
	return true
}
