package daemon

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/node/settings"
)

// Listeners are the sockets of one daemon.
type Listeners struct{ HTTP, Peers, Admin net.Listener }

// Listen opens the listeners of the settings. It returns the error of the first address that is not free.
func Listen(s settings.Settings) (Listeners, error) {
	var l Listeners
	err := listen([]endpoint{{"http", s.HTTP, &l.HTTP}, {"peers", s.Peers, &l.Peers}, {"admin", s.Admin, &l.Admin}})
	return l, err
}

// Close closes the open listeners.
func (l Listeners) Close() { closeAll(l.HTTP, l.Peers, l.Admin) }

// fleetListeners are the sockets of a daemon on the users' platform.
type fleetListeners struct{ front, ready, relay, admin net.Listener }

// listenFleet opens the listeners of the settings. It returns the error of the first address that is not free.
func listenFleet(s settings.Fleet) (fleetListeners, error) {
	var l fleetListeners
	err := listen([]endpoint{{"front", s.Front, &l.front}, {"ready", s.Ready, &l.ready}, {"relay", s.Relay, &l.relay}, {"admin", s.Admin, &l.admin}})
	return l, err
}

func (l fleetListeners) close() { closeAll(l.front, l.ready, l.relay, l.admin) }

// endpoint is an address of the settings under its key, with the listener that is opened there.
type endpoint struct {
	key, address string
	listener     *net.Listener
}

// listen opens all endpoints, or none and returns the error of the first that fails.
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
			// A service that was stopped has closed its listener.
			_ = l.Close()
		}
	}
}
