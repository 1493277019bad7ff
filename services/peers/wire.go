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

// Request is the net/rpc form of a message to a service of another VM.
type Request struct {
	From model.VMID
	To   string
	Body kernel.Message
	// Installation is that of the caller.
	Installation string
	// Budget is the time that the caller still waits. Clocks of VMs are not compared.
	Budget time.Duration
}

// Response is the net/rpc form of the answer.
type Response struct {
	Body    kernel.Message
	Failure *failure.Error
}

// endpoint receives the calls of other VMs.
type endpoint struct {
	ctx    context.Context
	caller kernel.Caller
	// installation is the only one whose calls are accepted.
	installation string
}

// Deliver passes a message to a local service and returns its answer.
func (p *endpoint) Deliver(req Request, resp *Response) error {
	switch {
	case req.Installation != p.installation:
		// Its VMs may have the names of this one. An address passes on when a VM is replaced.
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
