package requests

import (
	"context"
	"errors"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// redeliveryDelay is the delay before a message is delivered again.
	redeliveryDelay = 100 * time.Millisecond
	// maxDeliveries is the largest number of deliveries of one message.
	maxDeliveries = 8
)

// peersProxy is the peers service of a VM. It delivers messages to the kernels of the other VMs without sockets.
type peersProxy struct {
	vm              *entryVM
	pendingForwards int
	draining        bool
}

func (p *peersProxy) Start(*kernel.Context) error { return nil }

func (p *peersProxy) Drain(c *kernel.Context) {
	p.draining = true
	p.checkDrained(c)
}

func (p *peersProxy) checkDrained(c *kernel.Context) {
	if p.draining && p.pendingForwards == 0 {
		c.CompleteDrain()
	}
}

func (p *peersProxy) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case forwardDone:
		p.pendingForwards--
		p.checkDrained(c)
	case message.Forward:
		p.pendingForwards++
		c.Spawn(func(ctx context.Context) kernel.Message {
			ctx, cancel := context.WithDeadline(ctx, m.Deadline)
			defer cancel()
			p.forward(ctx, e, m)
			return forwardDone{}
		})
	}
}

// forward delivers a message to a VM or to the current holder. For the holder, it retries if the receiver is not the
// holder or is draining, and the message was not processed or may be repeated.
func (p *peersProxy) forward(ctx context.Context, e kernel.Envelope, m message.Forward) {
	for deliveries := 1; ; deliveries++ {
		reply, err := p.deliver(ctx, m)
		if err == nil {
			e.Reply(reply)
			return
		}
		f := toFailure(err)
		retry := f.Reason == failure.NotHolder || f.Reason == failure.NoHolder || f.Reason == failure.Draining
		_, isRequest := m.Body.(message.RequestSend)
		retry = retry && (f.Outcome == failure.NotRun || m.Idempotent || isRequest)
		if !retry || m.VM != "" || deliveries == maxDeliveries || time.Until(m.Deadline) < redeliveryDelay {
			e.Fail(f)
			return
		}
		time.Sleep(redeliveryDelay)
	}
}

func (p *peersProxy) deliver(ctx context.Context, m message.Forward) (kernel.Message, error) {
	found, err := kernel.Call[located](ctx, p.vm.domain.platformKernel, domainStateName, locate{id: m.VM})
	switch {
	case err != nil:
		return nil, err
	case found.vm == nil && m.VM != "":
		return nil, failure.New(failure.HomeUnreachable, "%s has ended", m.VM)
	case found.vm == nil:
		return nil, failure.New(failure.NoHolder, "no holder")
	}
	return found.vm.kernel.Call(ctx, kernel.Name(m.To), m.Body)
}

// toFailure converts the errors of a kernel in the same way as the real peers service.
func toFailure(err error) *failure.Error {
	var stopped *kernel.StoppedError
	switch {
	case errors.As(err, &stopped):
		f := failure.New(failure.Draining, "%v", err)
		f.RetryElsewhere = true
		return f
	case errors.Is(err, context.DeadlineExceeded):
		return failure.New(failure.DeadlineExceeded, "%v", err)
	}
	return failure.From(err)
}

// currentHolder returns the holder of the failure domain, or nil if there is none.
func (d *failureDomain) currentHolder() *entryVM {
	var out *entryVM
	d.withState(func(state *domainState) { out = state.holder })
	return out
}

// replaceHolder makes another VM the holder, as after the loss of a lease. The old holder is notified after a delay.
func (d *failureDomain) replaceHolder(notifyDelay time.Duration) {
	d.withState(func(state *domainState) {
		oldHolder := state.holder
		state.elect(oldHolder)
		if oldHolder == nil {
			return
		}
		epoch := model.Epoch{}
		time.AfterFunc(notifyDelay, func() { oldHolder.publish(message.AuthorityChanged{Epoch: epoch, Domain: "a"}) })
	})
}
