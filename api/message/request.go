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
// brought an idempotency key.
type RequestSend struct {
	Request model.Request
	Ticket  *model.Ticket
}

// RequestStatus asks the dispatcher for the outcome of an earlier request; answered by RequestReply.
type RequestStatus struct {
	Request model.RequestID
	Ticket  *model.Ticket
}

// RequestReply is the one answer to a request.
type RequestReply struct {
	Request model.RequestID
	Outcome failure.Outcome
	Body    []byte
	// Pending is true while the request is in progress.
	Pending bool
}

// Attempt asks the executors service to run one attempt of a request; answered by AttemptDone.
type Attempt struct {
	Request model.Request
	Attempt int
	// Avoid lists executors that earlier attempts used.
	Avoid []model.ExecutorID
}

// AttemptDone tells how an attempt ended. Sent is false only if no byte reached an executor.
type AttemptDone struct {
	Executor model.ExecutorID
	Sent     bool
	// Ran is true if a complete answer proves that the operation ran.
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

// Kind implements kernel.Message.
func (Attempt) Kind() string { return "attempt" }

// Kind implements kernel.Message.
func (AttemptDone) Kind() string { return "attempt_done" }
