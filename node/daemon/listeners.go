package daemon

import (
	"net"

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

// listen opens all endpoints. If one fails, it closes those already open and returns the error.
func listen(endpoints []endpoint) error {
	for i, e := range endpoints {
		l, err := net.Listen("tcp", e.address)
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
