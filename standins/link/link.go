// Package link is a small stand-in for a network path: a TCP proxy that delays data and, on request, holds it back or
// refuses connections.
package link

import (
	"context"
	"net"
	"time"

	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

// PathFaults is the path that sets Faults and returns them. An empty Mode only returns them.
const PathFaults = "/standin/faults"

const (
	// chunkBytes is the maximum size of a chunk.
	chunkBytes = 32 << 10
	// maxQueuedChunks limits the chunks that are read but not yet written, for one direction of a connection.
	maxQueuedChunks = 256
	// dialTimeout limits how long connecting to the target may take.
	dialTimeout = 5 * time.Second
)

// Mode is how the link treats connections and their data.
type Mode string

// Modes of the link.
const (
	// ModePass relays all bytes.
	ModePass Mode = "pass"
	// ModeRefuse closes all existing and new connections.
	ModeRefuse Mode = "refuse"
	// ModeHold keeps connections open but relays no data until the mode changes.
	ModeHold Mode = "hold"
)

// Faults are the mode of the link and its one-way delay in milliseconds.
type Faults struct {
	Mode    Mode  `json:"mode"`
	DelayMS int64 `json:"delay_ms"`
	// Bytes counts the bytes relayed by pipes that have ended. It is reported and cannot be set.
	Bytes int64 `json:"bytes"`
}

type (
	setFaults    Faults
	faultsReply  Faults
	connAccepted struct{ client, server net.Conn }
	pipeEnded    struct {
		p     *pipe
		bytes int64
	}
)

// Kind implements kernel.Message.
func (setFaults) Kind() string { return "link_set" }

// Kind implements kernel.Message.
func (faultsReply) Kind() string { return "link_faults" }

// Kind implements kernel.Message.
func (connAccepted) Kind() string { return "link_accepted" }

// Kind implements kernel.Message.
func (pipeEnded) Kind() string { return "link_relayed" }

// Link is the service that owns the relayed connections.
type Link struct {
	socket net.Listener
	target string
	faults Faults
	pipes  map[*pipe]struct{}
}

// New returns a link that relays the connections of a listener to the target ("IP:port"). It takes ownership of the
// listener.
func New(l net.Listener, target string, delay time.Duration) *Link {
	return &Link{
		socket: l, target: target, pipes: make(map[*pipe]struct{}),
		faults: Faults{Mode: ModePass, DelayMS: delay.Milliseconds()},
	}
}

// Run relays connections until ctx ends. It takes ownership of the control listener, which serves PathFaults.
func Run(ctx context.Context, control net.Listener, s *Link) error {
	return host.Run(ctx, control, s, host.JSONRoute(PathFaults, func(f Faults) kernel.Message { return setFaults(f) }))
}

// Start implements kernel.Service.
func (s *Link) Start(c *kernel.Context) error {
	send := c.TaskSender()
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
			if !send(connAccepted{client: client, server: server}) {
				client.Close()
				server.Close()
				return nil
			}
		}
	})
	return nil
}

// Drain implements kernel.Service.
func (s *Link) Drain(c *kernel.Context) { c.CompleteDrain() }

// Handle implements kernel.Service.
func (s *Link) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case setFaults:
		s.setFaults(m)
		e.Reply(faultsReply(s.faults))
	case connAccepted:
		if s.faults.Mode == ModeRefuse {
			m.client.Close()
			m.server.Close()
			return
		}
		s.startPipe(c, m.client, m.server)
		s.startPipe(c, m.server, m.client)
	case pipeEnded:
		delete(s.pipes, m.p)
		s.faults.Bytes += m.bytes
	}
}

// setFaults sets the mode and the delay, unless the mode is empty.
func (s *Link) setFaults(m setFaults) {
	if m.Mode == "" {
		return
	}
	s.faults.Mode, s.faults.DelayMS = m.Mode, m.DelayMS
	for p := range s.pipes {
		if m.Mode == ModeRefuse {
			p.from.Close()
			p.to.Close()
			continue
		}
		p.update(pipeConfig{forward: m.Mode == ModePass, delay: s.delay()})
	}
}

func (s *Link) delay() time.Duration { return time.Duration(s.faults.DelayMS) * time.Millisecond }

// pipeConfig tells a pipe whether to forward data and how long to delay each chunk.
type pipeConfig struct {
	forward bool
	delay   time.Duration
}

// chunk is received data with the time of its arrival.
type chunk struct {
	data    []byte
	arrived time.Time
}

// pipe relays one direction of a connection.
type pipe struct {
	from, to net.Conn
	configs  chan pipeConfig
}

// update sends the pipe a configuration and replaces one that the pipe has not read yet. The service must be its only
// caller, because it assumes that no one else sends to configs.
func (p *pipe) update(config pipeConfig) {
	select {
	case <-p.configs:
	default:
	}
	p.configs <- config
}

// startPipe relays from one connection to the other. One goroutine reads and another writes, so that the delay of a
// chunk does not limit the throughput.
func (s *Link) startPipe(c *kernel.Context, from, to net.Conn) {
	p := &pipe{from: from, to: to, configs: make(chan pipeConfig, 1)}
	s.pipes[p] = struct{}{}
	p.update(pipeConfig{forward: s.faults.Mode == ModePass, delay: s.delay()})
	chunks := make(chan chunk, maxQueuedChunks)
	c.Spawn(func(ctx context.Context) kernel.Message {
		defer close(chunks)
		stop := context.AfterFunc(ctx, func() { from.Close() })
		defer stop()
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				select {
				case chunks <- chunk{data: buf[:n], arrived: time.Now()}:
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
		n := p.write(ctx, chunks)
		to.Close()
		from.Close()
		for range chunks { // Unblocks a reader that waits for space in the queue, so that it ends.
		}
		return pipeEnded{p: p, bytes: n}
	})
}

// write writes each chunk when it is due and returns the number of bytes written.
func (p *pipe) write(ctx context.Context, chunks <-chan chunk) int64 {
	var total int64
	var config pipeConfig
	for {
		select {
		case config = <-p.configs:
		case <-ctx.Done():
			return total
		case next, ok := <-chunks:
			if !ok {
				return total
			}
			if !p.waitUntilDue(ctx, &config, next.arrived) {
				return total
			}
			n, err := p.to.Write(next.data)
			total += int64(n)
			if err != nil {
				return total
			}
		}
	}
}

// waitUntilDue waits until forwarding is on and the delay since the arrival has passed. It returns false if ctx ends
// before.
func (p *pipe) waitUntilDue(ctx context.Context, config *pipeConfig, arrived time.Time) bool {
	t := time.NewTimer(time.Until(arrived.Add(config.delay)))
	defer t.Stop()
	timer := t.C
	for timer != nil || !config.forward {
		select {
		case *config = <-p.configs:
		case <-timer:
			timer = nil
		case <-ctx.Done():
			return false
		}
	}
	return true
}
