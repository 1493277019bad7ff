package httpapi

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
)

// SendBody is the body of a request call.
type SendBody struct {
	Ticket     string          `json:"ticket,omitempty"`
	Key        string          `json:"key,omitempty"`
	Account    model.AccountID `json:"account"`
	Service    string          `json:"service"`
	Repeatable bool            `json:"repeatable"`
	Payload    []byte          `json:"payload,omitempty"`
	TimeoutMS  int64           `json:"timeout_ms,omitempty"`
}

// RequestBody is the body of an answered request.
type RequestBody struct {
	Request model.RequestID `json:"request"`
	Outcome failure.Outcome `json:"outcome"`
	Body    []byte          `json:"body,omitempty"`
	Pending bool            `json:"pending,omitempty"`
}

// TicketsBody is the body of a call for tickets.
type TicketsBody struct {
	Account model.AccountID     `json:"account"`
	Domain  model.FailureDomain `json:"domain,omitempty"`
	Count   int                 `json:"count"`
}

func (a *api) issueTickets(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in TicketsBody
	if !a.read(w, r, &in) {
		return
	}
	f := message.Forward{
		Domain: a.domainOr(string(in.Domain)), To: names.Dispatch, Idempotent: true,
		Body: message.TicketIssue{Account: in.Account, Count: in.Count},
	}
	reply, ok := forward[message.TicketsReply](a, w, r, f, defaultTimeout)
	if !ok {
		return
	}
	out := make([]string, 0, len(reply.Tickets))
	for _, t := range reply.Tickets {
		out = append(out, t.String())
	}
	write(w, http.StatusOK, out)
}

func (a *api) sendRequest(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in SendBody
	if !a.read(w, r, &in) {
		return
	}
	ticket, err := model.ParseTicket(in.Ticket)
	if err != nil {
		a.fail(w, failure.New(failure.Malformed, "%v", err))
		return
	}
	timeout := defaultTimeout
	if in.TimeoutMS > 0 {
		timeout = time.Duration(in.TimeoutMS) * time.Millisecond
	}
	req := model.Request{
		ID: model.RequestID(ticket.String()), Account: in.Account, Service: in.Service,
		Repeatable: in.Repeatable, Payload: in.Payload, Deadline: time.Now().Add(timeout),
	}
	f := message.Forward{Domain: ticket.Domain, To: names.Dispatch, Body: message.RequestSend{Request: req, Ticket: &ticket}}
	if reply, ok := forward[message.RequestReply](a, w, r, f, timeout); ok {
		write(w, http.StatusOK, requestBody(reply))
	}
}

func (a *api) showRequest(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ticket, err := model.ParseTicket(r.URL.Query().Get("id"))
	if err != nil {
		a.fail(w, failure.New(failure.Malformed, "%v", err))
		return
	}
	f := message.Forward{
		Domain: ticket.Domain, To: names.Dispatch, Idempotent: true,
		Body: message.RequestStatus{Request: model.RequestID(ticket.String()), Ticket: &ticket},
	}
	if reply, ok := forward[message.RequestReply](a, w, r, f, defaultTimeout); ok {
		write(w, http.StatusOK, requestBody(reply))
	}
}

func requestBody(m message.RequestReply) RequestBody {
	return RequestBody{Request: m.Request, Outcome: m.Outcome, Body: m.Body, Pending: m.Pending}
}
