package httpapi

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
)

// gate counts the calls in progress and refuses new work once it is closed. Reads are still served, so that clients can
// query the outcome of earlier work during a drain.
type gate struct {
	closed      atomic.Bool
	activeCalls atomic.Int64
	// idleSignal receives a value each time the last call in progress ends.
	idleSignal chan struct{}
}

func newGate() *gate { return &gate{idleSignal: make(chan struct{}, 1)} }

func (g *gate) close() { g.closed.Store(true) }

// wrap returns a handler that counts each call and, while the gate is open, passes it to the routes of the API.
// Once the gate is closed, it refuses all calls but reads and those whose handlers check the gate themselves.
func (g *gate) wrap(a *api) http.Handler {
	routes := a.routes()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The call is counted before the gate is checked. Otherwise a drain could see no call in progress while one
		// has already passed the check.
		g.activeCalls.Add(1)
		defer g.endCall()
		if g.closed.Load() {
			w.Header().Set("Connection", "close")
			if r.Method != http.MethodGet && !handlerChecksGate(r.URL.Path) {
				a.writeFailure(w, a.metrics.CountRefusal(drainingFailure()))
				return
			}
		}
		routes.ServeHTTP(w, r)
	})
}

func (g *gate) endCall() {
	if g.activeCalls.Add(-1) > 0 {
		return
	}
	select {
	case g.idleSignal <- struct{}{}:
	default:
	}
}

// awaitIdle returns once no call is in progress or ctx is done.
func (g *gate) awaitIdle(ctx context.Context) {
	for g.activeCalls.Load() > 0 {
		select {
		case <-g.idleSignal:
		case <-ctx.Done():
			return
		}
	}
}

// handlerChecksGate reports whether the handler of a path checks the gate itself. It does where the outcome of a
// refused call depends on the body, which the handler has to decode first.
func handlerChecksGate(path string) bool { return path == requestsPath || path == jobsPath }

// refuseIfClosed refuses the call that sends the message body if the gate is closed, and reports whether it did.
func (g *gate) refuseIfClosed(a *api, w http.ResponseWriter, body any) bool {
	if !g.closed.Load() {
		return false
	}
	a.writeFailure(w, a.metrics.CountRefusal(message.UnreachedFailure(body, drainingFailure())))
	return true
}

// drainingFailure returns the failure with which new work is refused during a graceful shutdown.
func drainingFailure() *failure.Error {
	e := failure.New(failure.Draining, "this VM is shutting down")
	e.RetryElsewhere = true
	return e
}
