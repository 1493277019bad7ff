package embedded

import (
	"net"
	"sync"
)

// listener is a net.Listener that tracks its accepted connections, so that abort can close them as the end of a process
// does.
type listener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, conns: make(map[net.Conn]struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return nil, net.ErrClosed
	}
	l.conns[c] = struct{}{}
	return &trackedConn{Conn: c, listener: l}, nil
}

// abort closes the listener and all accepted connections.
func (l *listener) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.Listener.Close()
	for c := range l.conns {
		c.Close()
	}
	clear(l.conns)
}

func (l *listener) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// trackedConn is an accepted connection of a listener.
type trackedConn struct {
	net.Conn
	listener *listener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.remove(c.Conn)
	return c.Conn.Close()
}
