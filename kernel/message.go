package kernel

import "sync/atomic"

// Name identifies a service within one kernel.
type Name string

// Message is a typed value delivered to a service's mailbox.
type Message interface {
	// Kind returns a stable identifier of the message type for subscriptions, counters and logs.
	Kind() string
}

// Envelope carries one message and, if the sender waits for an answer, the port that takes it.
type Envelope struct {
	// From is the sending service, or empty for callers outside the kernel.
	From Name
	// Body is the message.
	Body Message

	port replyPort
	// taken is set once the receiver begins to handle the envelope; nil if nobody asks.
	taken *atomic.Bool
}

// take marks the envelope as handled.
func (e Envelope) take() {
	if e.taken != nil {
		e.taken.Store(true)
	}
}

// replyPort accepts exactly one answer without blocking.
type replyPort func(Message, error)

// Reply answers the sender. Only the first answer to an envelope counts.
func (e Envelope) Reply(m Message) {
	if e.port != nil {
		e.port(m, nil)
	}
}

// Fail answers the sender with an error. Only the first answer to an envelope counts.
func (e Envelope) Fail(err error) {
	if e.port != nil {
		e.port(nil, err)
	}
}

// WantsReply reports whether the sender waits for an answer.
func (e Envelope) WantsReply() bool { return e.port != nil }
