package daemon

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/node/settings"
)

// Listeners holds the network listeners of one daemon.
type Listeners struct{ HTTP, Peers, Admin net.Listener }

// Listen opens the listeners of the settings. It returns the error of the first one that fails.
func Listen(s settings.Settings) (Listeners, error) {
	var l Listeners
	err := listen([]endpoint{{"http", s.HTTP, &l.HTTP}, {"peers", s.Peers, &l.Peers}, {"admin", s.Admin, &l.Admin}})
	return l, err
}

// Close closes the open listeners.
func (l Listeners) Close() { closeAll(l.HTTP, l.Peers, l.Admin) }

// platformListeners holds the network listeners of a daemon on the users' platform.
type platformListeners struct{ front, ready, relay, admin net.Listener }

// listenPlatform opens the listeners of the settings. It returns the error of the first one that fails.
func listenPlatform(s settings.Platform) (platformListeners, error) {
	var l platformListeners
	err := listen([]endpoint{{"front", s.Front, &l.front}, {"ready", s.Ready, &l.ready}, {"relay", s.Relay, &l.relay}, {"admin", s.Admin, &l.admin}})
	return l, err
}

func (l platformListeners) close() { closeAll(l.front, l.ready, l.relay, l.admin) }

// endpoint is a listen address with its settings key and the variable that receives the listener.
type endpoint struct {
	key, address string
	listener     *net.Listener
}

const (
	// queuedBufferBytes is the size of the receive buffer of a connection that waits to be accepted. What clients have sent and
	// the process has not read counts toward the VM's memory, and nothing else bounds these connections but acceptQueue. The
	// listener enlarges the buffer of those that it accepts.
	queuedBufferBytes = 4 << 10
	// sendBufferBytes is the size of the send buffer of a connection. Answers to clients have some 100 bytes.
	sendBufferBytes = 32 << 10
	// acceptQueue is the number of connections that wait to be accepted. A VM that is suspended for seconds gets that many.
	acceptQueue = 1024
)

// listenTCP opens an endpoint. The socket buffers of other VMs' connections are those of the system.
func listenTCP(e endpoint) (net.Listener, error) {
	if e.key == "relay" || e.key == "peers" {
		return net.Listen("tcp", e.address)
	}
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without the options the connections have the usual buffers.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, queuedBufferBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes)
		})
	}}
	l, err := c.Listen(context.Background(), "tcp", e.address)
	if err != nil {
		return nil, err
	}
	if raw, err := l.(*net.TCPListener).SyscallConn(); err == nil {
		// A second call changes the length of the queue, which is otherwise the largest that the system permits.
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), acceptQueue) })
	}
	return l, nil
}

// listen opens all endpoints. If one fails, it closes those already open and returns the error.
func listen(endpoints []endpoint) error {
	for i, e := range endpoints {
		l, err := listenTCP(e)
		if err != nil {
			for _, open := range endpoints[:i] {
				closeAll(*open.listener)
				*open.listener = nil
			}
			return errors.Wrapf(err, "[listen] %s", e.key)
		}
		*e.listener = l
	}
	return nil
}

func closeAll(listeners ...net.Listener) {
	for _, l := range listeners {
		if l != nil {
			// The error is ignored because a stopped service has already closed its listener.
			_ = l.Close()
		}
	}
}
