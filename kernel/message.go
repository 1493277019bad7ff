package kernel

import "sync/atomic"

// Name identifies a service within one kernel.
type Name string

// Message is a typed value delivered to a service's mailbox.
type Message interface {
	// Kind returns the stable identifier of the message type in subscriptions, counters and logs.
	Kind() string
}

// Envelope carries one message and, if the sender waits for a reply, the function that delivers it.
type Envelope struct {
	// From is the sending service, or empty for callers outside the kernel.
	From Name
	// Body is the message.
	Body Message

	respond replyFunc
	// handled is set once the receiver begins to handle the envelope; nil if the sender does not track this.
	handled *atomic.Bool
}

// markHandled records that the receiver has begun to handle the envelope.
func (e Envelope) markHandled() {
	if e.handled != nil {
		e.handled.Store(true)
	}
}

// replyFunc delivers a reply or an error to the sender without blocking. Calls after the first have no effect.
type replyFunc func(Message, error)

// Reply sends a reply to the sender. Only the first Reply or Fail of an envelope has an effect.
func (e Envelope) Reply(m Message) {
	if e.respond != nil {
		e.respond(m, nil)
	}
}

// Fail replies to the sender with an error. Only the first Reply or Fail of an envelope has an effect.
func (e Envelope) Fail(err error) {
	if e.respond != nil {
		e.respond(nil, err)
	}
}

// WantsReply reports whether the sender waits for a reply.
func (e Envelope) WantsReply() bool { return e.respond != nil }
