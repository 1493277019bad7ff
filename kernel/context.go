package kernel

import (
	"context"
	"time"
)

// republishDelay is the delay before the delivery of a published message to a full mailbox is retried.
const republishDelay = 20 * time.Millisecond

// Context gives a service access to the kernel. It must be used only on the service's own goroutine.
type Context struct{ r *runner }

// publicationKey identifies the deferred publications of one message kind to one subscriber.
type publicationKey struct {
	to   Name
	kind string
}

// Name returns the name of the service.
func (c *Context) Name() Name { return c.r.spec.Name }

// Send delivers a message that gets no reply.
// It returns a *MailboxFullError, *UnknownServiceError or *StoppedError if the message is refused.
func (c *Context) Send(to Name, m Message) error {
	return c.r.kernel.deliver(to, Envelope{From: c.Name(), Body: m})
}

// Request delivers a message and calls done with the reply on this service's goroutine.
// If the message is refused, done is called with the error before Request returns. If either service stops before the
// reply, done is called with an *UnansweredError: the receiver may have processed the message.
func (c *Context) Request(to Name, m Message, done func(Message, error)) {
	r := c.r
	if r.isStopped {
		done(nil, &StoppedError{Name: c.Name()})
		return
	}
	if len(r.pendingRequests) >= maxPendingRequests {
		done(nil, &TooManyRequestsError{Name: c.Name()})
		return
	}
	r.lastRequestID++
	id := r.lastRequestID
	// The first reply to a request removes its entry, so later ones are ignored. The channel has capacity for the
	// first replies to all pending requests.
	respond := func(m Message, err error) {
		select {
		case r.replies <- reply{id, m, err}:
		default:
		}
	}
	r.pendingRequests[id] = pendingRequest{to: to, done: done}
	if err := r.kernel.deliver(to, Envelope{From: c.Name(), Body: m, respond: respond}); err != nil {
		delete(r.pendingRequests, id)
		done(nil, err)
	}
}

// Publish delivers a message to every service that subscribes to its kind. If a mailbox is full, only the latest
// message of that kind is delivered later, so a subscriber may miss intermediate messages but not the last one.
func (c *Context) Publish(m Message) {
	for _, sub := range c.r.kernel.subscribers[m.Kind()] {
		key := publicationKey{sub.spec.Name, m.Kind()}
		if _, waiting := c.r.deferredPublications[key]; waiting {
			c.r.deferredPublications[key] = m
			continue
		}
		c.publishTo(key, m)
	}
}

func (c *Context) publishTo(key publicationKey, m Message) {
	err := c.Send(key.to, m)
	if _, full := err.(*MailboxFullError); !full {
		delete(c.r.deferredPublications, key)
		return
	}
	c.r.deferredPublications[key] = m
	c.r.timers.add(timer{at: time.Now().Add(republishDelay), fire: func() {
		c.publishTo(key, c.r.deferredPublications[key])
	}})
}

// SendAfter delivers m to this service after the delay d. The returned function cancels the timer.
func (c *Context) SendAfter(d time.Duration, m Message) (cancel func()) {
	return c.r.timers.add(timer{at: time.Now().Add(d), m: m})
}

// Spawn runs a task on its own goroutine. The task may block, and the sockets that it uses belong to it. Its result, if
// not nil, is delivered to this service as a message. The context of the task is canceled when the service stops.
// A panic of the task stops the kernel unless the service is a Recoverer.
func (c *Context) Spawn(task func(ctx context.Context) Message) {
	r := c.r
	ctx := r.ctx
	r.tasks.Go(func() {
		var m Message
		r.catchTaskPanic(ctx.Done(), func() { m = task(ctx) })
		if m == nil {
			return
		}
		select {
		case r.taskMessages <- m:
		case <-ctx.Done():
		}
	})
}

// TaskSender returns a function with which tasks of this service deliver messages to it. The function blocks until the
// service receives the message, or returns false once the service has stopped.
func (c *Context) TaskSender() func(Message) bool {
	r := c.r
	ctx := r.ctx
	return func(m Message) bool {
		select {
		case r.taskMessages <- m:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// Caller returns the kernel for tasks of this service that call services on behalf of external clients.
func (c *Context) Caller() Caller { return c.r.kernel }

// CompleteDrain reports that the service has completed its drain. Later calls have no effect.
func (c *Context) CompleteDrain() {
	if !c.r.isDrained {
		c.r.isDrained = true
		close(c.r.drained)
	}
}
