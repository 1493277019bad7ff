package peers

import (
	"context"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// deliverMethod is the net/rpc method that delivers a message to a service of the called VM.
const deliverMethod = "Peer.Deliver"

// Request is the net/rpc request that carries a message to a service of another VM.
type Request struct {
	From model.VMID
	To   string
	Body kernel.Message
	// Installation names the installation of the caller.
	Installation string
	// Budget is the time left until the deadline of the caller. It is a duration, because the clocks of VMs may differ.
	Budget time.Duration
}

// Response is the net/rpc response with either the reply of the service or a failure.
type Response struct {
	Body    kernel.Message
	Failure *failure.Error
}

// endpoint is the net/rpc receiver for the calls of other VMs.
type endpoint struct {
	ctx    context.Context
	caller kernel.Caller
	// installation is that of this VM; calls from other installations are refused.
	installation string
}

// Deliver passes a message to a local service and returns its reply.
func (p *endpoint) Deliver(req Request, resp *Response) error {
	switch {
	case req.Installation != p.installation:
		// The address of a replaced VM may be reused in another installation, whose VMs may have the same names.
		resp.Failure = message.UnreachedFailure(req.Body, failure.New(failure.HomeUnreachable, "the VM belongs to installation %q", p.installation))
		return nil
	case req.Body == nil:
		resp.Failure = failure.New(failure.Malformed, "the call has no message")
		return nil
	case req.Budget <= 0:
		resp.Failure = message.UnreachedFailure(req.Body, failure.New(failure.DeadlineExceeded, "the caller no longer waits").WithOutcome(failure.NotRun))
		return nil
	}
	ctx, cancel := context.WithTimeout(p.ctx, req.Budget)
	defer cancel()
	body := req.Body
	if d, ok := body.(interface{ WithDeadline(time.Time) any }); ok {
		body = d.WithDeadline(time.Now().Add(req.Budget)).(kernel.Message)
	}
	m, err := p.caller.Call(ctx, kernel.Name(req.To), body)
	if err != nil {
		resp.Failure = message.DeliveryFailure(req.Body, err)
		return nil
	}
	resp.Body = m
	return nil
}
