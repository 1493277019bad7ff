package kernel

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// maxUnanswered bounds the requests of one service that wait for an answer. The reply channel has
// this capacity, so that an answer never blocks the service that gives it.
const maxUnanswered = 8192

// runner owns one service: its mailbox, timers, tasks and unanswered requests.
type runner struct {
	kernel  *Kernel
	spec    Spec
	mailbox chan Envelope
	replies chan reply
	results chan Message
	ready   chan error
	drain   chan struct{}
	drained chan struct{}
	stop    chan struct{}
	stopped chan struct{}

	// The fields below belong to the service goroutine.
	ctx         context.Context
	cancel      context.CancelFunc
	tasks       conc.WaitGroup
	timers      timerHeap
	nextID      uint64
	unanswered  map[uint64]func(Message, error)
	unpublished map[publication]Message
	isDrained   bool
}

type reply struct {
	id  uint64
	m   Message
	err error
}

func newRunner(k *Kernel, s Spec) *runner {
	if s.Mailbox == 0 {
		s.Mailbox = DefaultMailbox
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = DefaultDrainTimeout
	}
	return &runner{
		kernel:      k,
		spec:        s,
		mailbox:     make(chan Envelope, s.Mailbox),
		replies:     make(chan reply, maxUnanswered),
		results:     make(chan Message),
		ready:       make(chan error, 1),
		drain:       make(chan struct{}),
		drained:     make(chan struct{}),
		stop:        make(chan struct{}),
		stopped:     make(chan struct{}),
		unanswered:  make(map[uint64]func(Message, error)),
		unpublished: make(map[publication]Message),
	}
}

// offer puts an envelope into the mailbox without blocking.
func (r *runner) offer(e Envelope) error {
	select {
	case <-r.stopped:
		return &StoppedError{Name: r.spec.Name}
	default:
	}
	select {
	case r.mailbox <- e:
		return nil
	default:
		if r.kernel.observer != nil {
			r.kernel.observer.Refused(r.spec.Name, e.Body.Kind())
		}
		return &MailboxFullError{Name: r.spec.Name, Kind: e.Body.Kind()}
	}
}

// run is the goroutine of the service.
func (r *runner) run() {
	r.ctx, r.cancel = context.WithCancel(context.Background())
	c := &Context{r: r}
	err := r.spec.Service.Start(c)
	r.ready <- err
	if err == nil {
		r.loop(c)
	}
	r.cancel()
	close(r.stopped)
	r.tasks.Wait()
	r.refuseRest()
}

func (r *runner) loop(c *Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	drain := r.drain
	for {
		timer.Reset(r.timers.untilNext(time.Now()))
		select {
		case e := <-r.mailbox:
			r.spec.Service.Handle(c, e)
		case m := <-r.results:
			r.spec.Service.Handle(c, Envelope{From: r.spec.Name, Body: m})
		case a := <-r.replies:
			r.answer(a)
		case <-timer.C:
			r.fireTimers(c)
		case <-drain:
			drain = nil
			r.spec.Service.Drain(c)
		case <-r.stop:
			return
		}
	}
}

func (r *runner) answer(a reply) {
	if f, ok := r.unanswered[a.id]; ok {
		delete(r.unanswered, a.id)
		f(a.m, a.err)
	}
}

func (r *runner) fireTimers(c *Context) {
	now := time.Now()
	for {
		t, ok := r.timers.popDue(now)
		if !ok {
			return
		}
		if t.fire != nil {
			t.fire()
			continue
		}
		r.spec.Service.Handle(c, Envelope{From: r.spec.Name, Body: t.m})
	}
}

// shutdown drains the service within its timeout, if asked to, and stops it.
func (r *runner) shutdown(graceful bool) {
	if graceful {
		close(r.drain)
		t := time.NewTimer(r.spec.DrainTimeout)
		defer t.Stop()
		select {
		case <-r.drained:
		case <-t.C:
		case <-r.stopped:
		}
	}
	close(r.stop)
	<-r.stopped
}

// refuseRest fails the envelopes that arrived too late to be handled.
func (r *runner) refuseRest() {
	for {
		select {
		case e := <-r.mailbox:
			e.Fail(&StoppedError{Name: r.spec.Name})
		default:
			return
		}
	}
}
