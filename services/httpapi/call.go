package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// callContext is the context, with its deadline, that all messages of one HTTP call share.
type callContext struct {
	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time
}

// newCallContext returns a context that is not cancelled when the client disconnects, so that the outcome of the call
// is still recorded.
func newCallContext(r *http.Request, timeout time.Duration) callContext {
	c := callContext{deadline: time.Now().Add(timeout)}
	c.ctx, c.cancel = context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	return c
}

// callHolder sends a message to the holder of a failure domain and waits for the reply.
func callHolder[T kernel.Message](a *api, c callContext, f message.Forward) (T, error) {
	f.Deadline = c.deadline
	return kernel.Call[T](c.ctx, a.caller, names.Peers, f)
}
