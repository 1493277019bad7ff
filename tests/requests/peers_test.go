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
	// peerDelay is the wait before a message is forwarded again.
	peerDelay = 100 * time.Millisecond
	// maxDeliveries bounds the deliveries of one message.
	maxDeliveries = 8
)

// peersProxy is the peers service of a VM: it delivers to the kernels of the other VMs without sockets.
type peersProxy struct {
	vm       *entryVM
	open     int
	draining bool
}

func (p *peersProxy) Start(*kernel.Context) error { return nil }

func (p *peersProxy) Drain(c *kernel.Context) {
	p.draining = true
	p.checkDrained(c)
}

func (p *peersProxy) checkDrained(c *kernel.Context) {
	if p.draining && p.open == 0 {
		c.Drained()
	}
}

func (p *peersProxy) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case forwarded:
		p.open--
		p.checkDrained(c)
	case message.Forward:
		p.open++
		c.Spawn(func(ctx context.Context) kernel.Message {
			ctx, cancel := context.WithDeadline(ctx, m.Deadline)
			defer cancel()
			p.forward(ctx, e, m)
			return forwarded{}
		})
	}
}

// forward delivers a message, again while nobody has processed it.
func (p *peersProxy) forward(ctx context.Context, e kernel.Envelope, m message.Forward) {
	for n := 1; ; n++ {
		reply, err := p.deliver(ctx, m)
		if err == nil {
			e.Reply(reply)
			return
		}
		f := translate(err)
		again := f.Reason == failure.NotHolder || f.Reason == failure.NoHolder || f.Reason == failure.Draining
		_, request := m.Body.(message.RequestSend)
		again = again && (f.Outcome == failure.NotRun || m.Idempotent || request)
		if !again || m.VM != "" || n == maxDeliveries || time.Until(m.Deadline) < peerDelay {
			e.Fail(f)
			return
		}
		time.Sleep(peerDelay)
	}
}

func (p *peersProxy) deliver(ctx context.Context, m message.Forward) (kernel.Message, error) {
	found, err := kernel.Call[located](ctx, p.vm.d.k, groundName, locate{vm: m.VM})
	switch {
	case err != nil:
		return nil, err
	case found.vm == nil && m.VM != "":
		return nil, failure.New(failure.HomeUnreachable, "%s has ended", m.VM)
	case found.vm == nil:
		return nil, failure.New(failure.NoHolder, "no holder")
	}
	return found.vm.k.Call(ctx, kernel.Name(m.To), m.Body)
}

// translate types the errors of a kernel as the real service does.
func translate(err error) *failure.Error {
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

// holderNow returns the VM that holds the failure domain, or nil.
func (d *failureDomain) holderNow() *entryVM {
	var out *entryVM
	d.ground(func(g *ground) { out = g.holder })
	return out
}

// depose gives the failure domain to another VM, as after a lost lease. The old holder learns it later.
func (d *failureDomain) depose(after time.Duration) {
	d.ground(func(g *ground) {
		old := g.holder
		g.elect(old)
		if old == nil {
			return
		}
		epoch := model.Epoch{}
		time.AfterFunc(after, func() { old.publish(message.AuthorityChanged{Epoch: epoch, Domain: "a"}) })
	})
}
