package kernel

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// maxPendingRequests bounds the requests of one service that wait for a reply. The reply channel has this capacity, so
// that a reply never blocks the service that sends it.
const maxPendingRequests = 8192

// runner runs one service and holds its mailbox, timers, tasks and pending requests.
type runner struct {
	kernel       *Kernel
	spec         Spec
	mailbox      chan Envelope
	replies      chan reply
	taskMessages chan Message
	// taskPanics receives the panics of tasks of a Recoverer.
	taskPanics chan *PanicError
	ready      chan error
	drain      chan struct{}
	drained    chan struct{}
	stop       chan struct{}
	// stopped is closed once the service handles no more messages, finished once its tasks have ended, too.
	stopped  chan struct{}
	finished chan struct{}
	// finishedServices receives the names of the services that have finished. It has capacity for all of them.
	finishedServices chan Name

	// The fields below belong to the service goroutine.
	ctx                  context.Context
	cancel               context.CancelFunc
	tasks                conc.WaitGroup
	timers               timerHeap
	lastRequestID        uint64
	pendingRequests      map[uint64]pendingRequest
	deferredPublications map[publicationKey]Message
	isDrained            bool
	isStopped            bool
}

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	to   Name
	done func(Message, error)
}

// reply is the result of the request with this ID.
type reply struct {
	id  uint64
	m   Message
	err error
}

func newRunner(k *Kernel, s Spec) *runner {
	if s.MailboxSize == 0 {
		s.MailboxSize = DefaultMailboxSize
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = DefaultDrainTimeout
	}
	return &runner{
		kernel:               k,
		spec:                 s,
		mailbox:              make(chan Envelope, s.MailboxSize),
		replies:              make(chan reply, maxPendingRequests),
		taskMessages:         make(chan Message),
		taskPanics:           make(chan *PanicError),
		ready:                make(chan error, 1),
		drain:                make(chan struct{}),
		drained:              make(chan struct{}),
		stop:                 make(chan struct{}),
		stopped:              make(chan struct{}),
		finished:             make(chan struct{}),
		pendingRequests:      make(map[uint64]pendingRequest),
		deferredPublications: make(map[publicationKey]Message),
	}
}

// enqueue puts an envelope into the mailbox without blocking.
func (r *runner) enqueue(e Envelope) error {
	select {
	case <-r.stopped:
		return &StoppedError{Name: r.spec.Name}
	default:
	}
	select {
	case r.mailbox <- e:
		return r.refuseIfStopped()
	default:
		if r.kernel.observer != nil {
			r.kernel.observer.MessageRefused(r.spec.Name, e.Body.Kind())
		}
		return &MailboxFullError{Name: r.spec.Name, Kind: e.Body.Kind()}
	}
}

// refuseIfStopped fails envelopes that entered the mailbox after the stopped service had emptied it.
func (r *runner) refuseIfStopped() error {
	select {
	case <-r.stopped:
		r.refuseQueued()
	default:
	}
	return nil
}

// run is the goroutine of the service.
func (r *runner) run() {
	r.ctx, r.cancel = context.WithCancel(context.Background())
	c := &Context{r: r}
	r.catchPanic(func() {
		err := r.spec.Service.Start(c)
		r.ready <- err
		if err == nil {
			r.loop(c)
		}
	})
	r.cancel()
	r.isStopped = true
	close(r.stopped)
	r.refuseQueued()
	r.catchPanic(r.failPendingRequests)
	r.tasks.Wait()
	r.announceFinished()
}

// announceFinished notifies the services that this one sends no more replies.
func (r *runner) announceFinished() {
	for _, other := range r.kernel.runners {
		other.finishedServices <- r.spec.Name
	}
	close(r.finished)
}

// closeUnstarted marks a service that never started as stopped, and fails the envelopes in its mailbox.
func (r *runner) closeUnstarted() {
	close(r.stopped)
	r.refuseQueued()
	close(r.finished)
}

// catchPanic runs f and reports a panic as a failure of the kernel.
func (r *runner) catchPanic(f func()) {
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
			e.markHandled()
			r.handle(c, e)
		case m := <-r.taskMessages:
			r.handle(c, Envelope{From: r.spec.Name, Body: m})
		case a := <-r.replies:
			r.recoverPanics(c, Envelope{}, func() { r.completeRequest(a) })
		case n := <-r.finishedServices:
			r.recoverPanics(c, Envelope{}, func() { r.handleServiceFinished(n) })
		case p := <-r.taskPanics:
			r.recoverFrom(c, Envelope{}, p)
		case <-timer.C:
			r.fireTimers(c)
		case <-drain:
			drain = nil
			r.recoverPanics(c, Envelope{}, func() { r.spec.Service.Drain(c) })
		case <-r.stop:
			return
		}
	}
}

func (r *runner) completeRequest(a reply) {
	if p, ok := r.pendingRequests[a.id]; ok {
		delete(r.pendingRequests, a.id)
		p.done(a.m, a.err)
	}
}

// handleServiceFinished fails the pending requests to a service that has finished.
func (r *runner) handleServiceFinished(n Name) {
	// Replies that the service sent before it finished are already in the channel.
	for len(r.replies) > 0 {
		r.completeRequest(<-r.replies)
	}
	for _, id := range slices.Sorted(maps.Keys(r.pendingRequests)) {
		if r.pendingRequests[id].to == n {
			r.completeRequest(reply{id: id, err: &UnansweredError{Name: n}})
		}
	}
}

// failPendingRequests fails the pending requests of this service when it stops, because their callbacks may hold
// envelopes whose senders wait for a reply. The receivers may still process the requests, so the error is not a
// StoppedError.
func (r *runner) failPendingRequests() {
	for _, id := range slices.Sorted(maps.Keys(r.pendingRequests)) {
		r.completeRequest(reply{id: id, err: &UnansweredError{Name: r.pendingRequests[id].to}})
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
		r.handle(c, Envelope{From: r.spec.Name, Body: t.m})
	}
}

// shutdown stops the service, after a drain within its timeout if graceful.
func (r *runner) shutdown(graceful bool) {
	complete := graceful
	o, observed := r.kernel.observer.(LifecycleObserver)
	if graceful {
		if observed {
			o.ServiceDraining(r.spec.Name)
		}
		complete = r.drainWithTimeout()
	}
	close(r.stop)
	<-r.stopped
	if observed {
		o.ServiceStopped(r.spec.Name, complete)
	}
}

// drainWithTimeout drains the service and reports whether the drain was complete within its timeout.
func (r *runner) drainWithTimeout() bool {
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

// refuseQueued fails the envelopes in the mailbox of a stopped service.
func (r *runner) refuseQueued() {
	for {
		select {
		case e := <-r.mailbox:
			e.Fail(&StoppedError{Name: r.spec.Name})
		default:
			return
		}
	}
}
