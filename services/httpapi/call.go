package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// call bounds the messages of one HTTP call.
type call struct {
	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time
}

// newCall returns a call that outlives a caller that disconnects, so that its outcome is recorded.
func newCall(r *http.Request, timeout time.Duration) call {
	c := call{deadline: time.Now().Add(timeout)}
	c.ctx, c.cancel = context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	return c
}

// ask sends a message to the holder of a failure domain.
func ask[T kernel.Message](a *api, c call, f message.Forward) (T, error) {
	f.Deadline = c.deadline
	return kernel.Call[T](c.ctx, a.caller, names.Peers, f)
}
