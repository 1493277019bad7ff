package httpapi

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
)

// gate counts the calls in progress and refuses new work once it is closed. Reads stay permitted, so that
// callers can ask for the outcome of earlier work during a drain.
type gate struct {
	closed atomic.Bool
	active atomic.Int64
	// ended receives a value when the last call in progress ends.
	ended chan struct{}
}

func newGate() *gate { return &gate{ended: make(chan struct{}, 1)} }

func (g *gate) close() { g.closed.Store(true) }

// wrap returns the routes of the API behind the gate.
func (g *gate) wrap(a *api) http.Handler {
	routes := a.routes()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The call counts before the gate is read, so that a drain that sees no call in progress cannot
		// overlook one that has passed.
		g.active.Add(1)
		defer g.leave()
		if g.closed.Load() {
			w.Header().Set("Connection", "close")
			if r.Method != http.MethodGet && !refusesItself(r.URL.Path) {
				a.fail(w, a.metrics.CountRefusal(draining()))
				return
			}
		}
		routes.ServeHTTP(w, r)
	})
}

func (g *gate) leave() {
	if g.active.Add(-1) > 0 {
		return
	}
	select {
	case g.ended <- struct{}{}:
	default:
	}
}

// awaitIdle returns once no call is in progress or ctx has ended.
func (g *gate) awaitIdle(ctx context.Context) {
	for g.active.Load() > 0 {
		select {
		case <-g.ended:
		case <-ctx.Done():
			return
		}
	}
}

// refusesItself reports whether the handler of a path reads the gate, because the outcome of a refused call depends
// on its body.
func refusesItself(path string) bool { return path == requestsPath || path == jobsPath }

// refuses answers a submission with a refusal if the gate is closed, and reports whether it did.
func (g *gate) refuses(a *api, w http.ResponseWriter, body any) bool {
	if !g.closed.Load() {
		return false
	}
	a.fail(w, a.metrics.CountRefusal(message.UnreachedFailure(body, draining())))
	return true
}

// draining returns the refusal of new work during a graceful shutdown.
func draining() *failure.Error {
	e := failure.New(failure.Draining, "this VM is shutting down")
	e.RetryElsewhere = true
	return e
}
