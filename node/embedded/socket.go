package embedded

import (
	"net"
	"sync"
)

// socket is a listener that closes its accepted connections when its daemon ends, as the end of a process does.
type socket struct {
	net.Listener
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

func newSocket(l net.Listener) *socket {
	return &socket{Listener: l, open: make(map[net.Conn]struct{})}
}

// Accept implements net.Listener.
func (s *socket) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return nil, net.ErrClosed
	}
	s.open[c] = struct{}{}
	return &conn{Conn: c, socket: s}, nil
}

// abort closes the listener and all accepted connections.
func (s *socket) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.Listener.Close()
	for c := range s.open {
		c.Close()
	}
	clear(s.open)
}

func (s *socket) forget(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	socket *socket
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.socket.forget(c.Conn)
	return c.Conn.Close()
}
