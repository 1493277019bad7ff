package message

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// TicketIssue asks the dispatcher for tickets; answered by TicketsReply.
type TicketIssue struct {
	Account model.AccountID
	Count   int
}

// TicketsReply carries new tickets.
type TicketsReply struct{ Tickets []model.Ticket }

// RequestSend asks the dispatcher to run a request; answered by RequestReply. Ticket is nil if the caller
// passed an idempotency key.
type RequestSend struct {
	Request model.Request
	Ticket  *model.Ticket
	// Fresh is true if the caller has not sent the ticket or key before.
	Fresh bool
}

// RequestStatus asks the dispatcher for the outcome of an earlier request; answered by RequestReply.
type RequestStatus struct {
	Request model.RequestID
	Ticket  *model.Ticket
}

// RequestReply is the reply to a request.
type RequestReply struct {
	Request model.RequestID
	Outcome failure.Outcome
	Body    []byte
	// Pending is true while the request is in progress.
	Pending bool
}

// IntentRecord asks another VM of the failure domain to keep records of a holder that cannot reach the
// store; answered by Done. It fails with failure.IntentFenced if the VM knows a holder of a higher epoch
// and with failure.QueueFull if the VM keeps too many records.
type IntentRecord struct {
	Domain  model.FailureDomain
	Epoch   model.Epoch
	Records [][]byte
}

// IntentQuery asks another VM of the failure domain for all records that it keeps, on behalf of the holder
// of Epoch. From then on the receiver refuses records of lower epochs. It is answered by IntentReply.
type IntentQuery struct {
	Domain model.FailureDomain
	Epoch  model.Epoch
}

// IntentReply carries the records that a VM keeps.
type IntentReply struct{ Records [][]byte }

// Attempt asks the executors service to run one attempt of a request; answered by AttemptDone.
type Attempt struct {
	Request model.Request
	Attempt int
	// Avoid lists executors that earlier attempts used.
	Avoid []model.ExecutorID
}

// AttemptDone is the result of an attempt. Sent is false only if no byte reached an executor.
type AttemptDone struct {
	Executor model.ExecutorID
	Sent     bool
	// Ran is true if a complete response proves that the operation ran.
	Ran      bool
	Response model.Response
	// Failure is nil if the attempt succeeded.
	Failure *failure.Error
	Took    time.Duration
}

// Kind implements kernel.Message.
func (TicketIssue) Kind() string { return "ticket_issue" }

// Kind implements kernel.Message.
func (TicketsReply) Kind() string { return "tickets_reply" }

// Kind implements kernel.Message.
func (RequestSend) Kind() string { return "request_send" }

// Kind implements kernel.Message.
func (RequestStatus) Kind() string { return "request_status" }

// Kind implements kernel.Message.
func (RequestReply) Kind() string { return "request_reply" }

// WithDeadline returns the message with the deadline in the receiver's local time.
func (m RequestSend) WithDeadline(t time.Time) any {
	m.Request.Deadline = t
	return m
}

// WithDeadline returns the message with the deadline in the receiver's local time.
func (m Attempt) WithDeadline(t time.Time) any {
	m.Request.Deadline = t
	return m
}

// Kind implements kernel.Message.
func (IntentRecord) Kind() string { return "intent_record" }

// Kind implements kernel.Message.
func (IntentQuery) Kind() string { return "intent_query" }

// Kind implements kernel.Message.
func (IntentReply) Kind() string { return "intent_reply" }

// Kind implements kernel.Message.
func (Attempt) Kind() string { return "attempt" }

// Kind implements kernel.Message.
func (AttemptDone) Kind() string { return "attempt_done" }
