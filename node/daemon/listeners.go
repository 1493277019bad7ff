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
	for _, a := range []struct {
		key, address string
		target       *net.Listener
	}{{"http", s.HTTP, &l.HTTP}, {"peers", s.Peers, &l.Peers}, {"admin", s.Admin, &l.Admin}} {
		socket, err := net.Listen("tcp", a.address)
		if err != nil {
			l.Close()
			return Listeners{}, errors.Wrapf(err, "[listen] %s", a.key)
		}
		*a.target = socket
	}
	return l, nil
}

// Close closes the open listeners.
func (l Listeners) Close() {
	for _, socket := range []net.Listener{l.HTTP, l.Peers, l.Admin} {
		if socket != nil {
			socket.Close()
		}
	}
}
