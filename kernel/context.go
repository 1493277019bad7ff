package kernel

import (
	"context"
	"time"
)

// republishDelay is the wait before a published message is offered again to a full mailbox.
const republishDelay = 20 * time.Millisecond

// Context gives a service access to the kernel. It is used only on the service's own goroutine.
type Context struct{ r *runner }

type publication struct {
	to   Name
	kind string
}

// Name returns the name of the service.
func (c *Context) Name() Name { return c.r.spec.Name }

// Send delivers a message without an answer.
// It returns a *MailboxFullError, *UnknownServiceError or *StoppedError if the message is refused.
func (c *Context) Send(to Name, m Message) error {
	return c.r.kernel.deliver(to, Envelope{From: c.Name(), Body: m})
}

// Request delivers a message and runs done on this service's goroutine with the answer.
// A refusal reaches done as an error before Request returns. If either service stops before the answer,
// done receives an *UnansweredError: the message may have been processed.
func (c *Context) Request(to Name, m Message, done func(Message, error)) {
	r := c.r
	if r.isStopped {
		done(nil, &StoppedError{Name: c.Name()})
		return
	}
	if len(r.unanswered) >= maxUnanswered {
		done(nil, &TooManyRequestsError{Name: c.Name()})
		return
	}
	r.nextID++
	id := r.nextID
	// The first answer is the only one that finds its identifier, and the channel has room for all of them.
	port := func(m Message, err error) {
		select {
		case r.replies <- reply{id, m, err}:
		default:
		}
	}
	r.unanswered[id] = pending{to: to, done: done}
	if err := r.kernel.deliver(to, Envelope{From: c.Name(), Body: m, port: port}); err != nil {
		delete(r.unanswered, id)
		done(nil, err)
	}
}

// Publish delivers a message to every service that subscribes to its kind. A full mailbox gets the
// latest message of that kind later, so that a subscriber may miss intermediate values but not the last.
func (c *Context) Publish(m Message) {
	for _, sub := range c.r.kernel.byKind[m.Kind()] {
		key := publication{sub.spec.Name, m.Kind()}
		if _, waiting := c.r.unpublished[key]; waiting {
			c.r.unpublished[key] = m
			continue
		}
		c.publishTo(key, m)
	}
}

func (c *Context) publishTo(key publication, m Message) {
	err := c.Send(key.to, m)
	if _, full := err.(*MailboxFullError); !full {
		delete(c.r.unpublished, key)
		return
	}
	c.r.unpublished[key] = m
	c.r.timers.add(timer{at: time.Now().Add(republishDelay), fire: func() {
		c.publishTo(key, c.r.unpublished[key])
	}})
}

// After delivers m to this service after d. The returned function cancels the timer.
func (c *Context) After(d time.Duration, m Message) (cancel func()) {
	return c.r.timers.add(timer{at: time.Now().Add(d), m: m})
}

// Spawn runs a task on its own goroutine. The task may block and owns the sockets it uses; its result,
// if not nil, is delivered to this service. The task's context ends when the service stops. A panic stops
// the kernel.
func (c *Context) Spawn(task func(ctx context.Context) Message) {
	r := c.r
	ctx := r.ctx
	r.tasks.Go(func() {
		var m Message
		r.guard(func() { m = task(ctx) })
		if m == nil {
			return
		}
		select {
		case r.results <- m:
		case <-ctx.Done():
		}
	})
}

// Post returns a function that tasks of this service use to deliver messages to it. It blocks until
// the service takes the message and returns false once the service has stopped.
func (c *Context) Post() func(Message) bool {
	r := c.r
	ctx := r.ctx
	return func(m Message) bool {
		select {
		case r.results <- m:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// Caller returns the kernel as front-end tasks of this service see it.
func (c *Context) Caller() Caller { return c.r.kernel }

// Drained ends the service's drain. Later calls have no effect.
func (c *Context) Drained() {
	if !c.r.isDrained {
		c.r.isDrained = true
		close(c.r.drained)
	}
}
