package kernel

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
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
	// stopped is closed once the service handles no more messages, finished once its tasks have ended too.
	stopped  chan struct{}
	finished chan struct{}
	// ended receives the names of other services that have finished. It has room for all of them.
	ended chan Name

	// The fields below belong to the service goroutine.
	ctx         context.Context
	cancel      context.CancelFunc
	tasks       conc.WaitGroup
	timers      timerHeap
	nextID      uint64
	unanswered  map[uint64]pending
	unpublished map[publication]Message
	isDrained   bool
	isStopped   bool
}

// pending is a request that waits for its answer.
type pending struct {
	to   Name
	done func(Message, error)
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
		finished:    make(chan struct{}),
		unanswered:  make(map[uint64]pending),
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
		return r.recheck()
	default:
		if r.kernel.observer != nil {
			r.kernel.observer.Refused(r.spec.Name, e.Body.Kind())
		}
		return &MailboxFullError{Name: r.spec.Name, Kind: e.Body.Kind()}
	}
}

// recheck fails an envelope that entered the mailbox after the service emptied it for the last time.
func (r *runner) recheck() error {
	select {
	case <-r.stopped:
		r.refuseRest()
	default:
	}
	return nil
}

// run is the goroutine of the service.
func (r *runner) run() {
	r.ctx, r.cancel = context.WithCancel(context.Background())
	c := &Context{r: r}
	r.guard(func() {
		err := r.spec.Service.Start(c)
		r.ready <- err
		if err == nil {
			r.loop(c)
		}
	})
	r.cancel()
	r.isStopped = true
	close(r.stopped)
	r.refuseRest()
	r.guard(r.failUnanswered)
	r.tasks.Wait()
	r.finish()
}

// finish tells the other services that this one gives no more answers.
func (r *runner) finish() {
	for _, other := range r.kernel.order {
		other.ended <- r.spec.Name
	}
	close(r.finished)
}

// abandon closes a service that never started.
func (r *runner) abandon() {
	close(r.stopped)
	r.refuseRest()
	close(r.finished)
}

// guard runs f and turns a panic into a failure of the kernel.
func (r *runner) guard(f func()) {
	p := panics.Try(f)
	if p == nil {
		return
	}
	err := &PanicError{Name: r.spec.Name, Value: p.Value, Stack: string(p.Stack)}
	r.kernel.fail(err)
	select {
	case r.ready <- err:
	default:
	}
}

func (r *runner) loop(c *Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	drain := r.drain
	for {
		timer.Reset(r.timers.untilNext(time.Now()))
		select {
		case e := <-r.mailbox:
			e.take()
			r.spec.Service.Handle(c, e)
		case m := <-r.results:
			r.spec.Service.Handle(c, Envelope{From: r.spec.Name, Body: m})
		case a := <-r.replies:
			r.answer(a)
		case n := <-r.ended:
			r.peerEnded(n)
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
	if p, ok := r.unanswered[a.id]; ok {
		delete(r.unanswered, a.id)
		p.done(a.m, a.err)
	}
}

// peerEnded fails the requests that a finished service left without an answer.
func (r *runner) peerEnded(n Name) {
	// Answers that the service gave before it finished are already in the channel.
	for len(r.replies) > 0 {
		r.answer(<-r.replies)
	}
	for _, id := range slices.Sorted(maps.Keys(r.unanswered)) {
		if r.unanswered[id].to == n {
			r.answer(reply{id: id, err: &UnansweredError{Name: n}})
		}
	}
}

// failUnanswered ends the requests of this service when it stops, so that envelopes held by their
// callbacks are answered. The receiver may still process them, so the error differs from StoppedError.
func (r *runner) failUnanswered() {
	for _, id := range slices.Sorted(maps.Keys(r.unanswered)) {
		r.answer(reply{id: id, err: &UnansweredError{Name: r.unanswered[id].to}})
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
	complete := graceful
	o, observed := r.kernel.observer.(LifecycleObserver)
	if graceful {
		if observed {
			o.ServiceDraining(r.spec.Name)
		}
		complete = r.drainWithin()
	}
	close(r.stop)
	<-r.stopped
	if observed {
		o.ServiceStopped(r.spec.Name, complete)
	}
}

// drainWithin drains the service and reports whether it ended within the drain timeout.
func (r *runner) drainWithin() bool {
	close(r.drain)
	t := time.NewTimer(r.spec.DrainTimeout)
	defer t.Stop()
	select {
	case <-r.drained:
		return true
	case <-t.C:
	case <-r.stopped:
	}
	return false
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
