package httpapi

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/ledger"
)

// SendRequest is the body of a call that sends a request to a backend server. It has either a ticket or a key.
type SendRequest struct {
	Ticket     string          `json:"ticket,omitempty"`
	Key        string          `json:"key,omitempty"`
	Account    model.AccountID `json:"account"`
	Service    string          `json:"service"`
	Repeatable bool            `json:"repeatable"`
	Payload    []byte          `json:"payload,omitempty"`
	TimeoutMS  int64           `json:"timeout_ms,omitempty"`
	// Fresh states that the ticket or key has not been sent before. If it is not set, a refusal without a look-up of the
	// request has an unknown outcome, because an earlier call may have run the request.
	Fresh bool `json:"fresh,omitempty"`
}

// RequestResult is the response body of the calls that send a request or query its outcome.
type RequestResult struct {
	Request model.RequestID `json:"request"`
	Outcome failure.Outcome `json:"outcome"`
	Body    []byte          `json:"body,omitempty"`
	Pending bool            `json:"pending,omitempty"`
}

// IssueTicketsRequest is the request body of a call that issues tickets.
type IssueTicketsRequest struct {
	Account model.AccountID     `json:"account"`
	Domain  model.FailureDomain `json:"domain,omitempty"`
	Count   int                 `json:"count"`
}

func (a *api) issueTickets(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in IssueTicketsRequest
	if !a.decodeBody(w, r, &in) {
		return
	}
	f := message.Forward{
		Domain: a.domainOrDefault(string(in.Domain)), To: names.Dispatch, Idempotent: true,
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
	writeJSON(w, http.StatusOK, out)
}

func (a *api) sendRequest(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in SendRequest
	if !a.decodeBody(w, r, &in) {
		return
	}
	id, ticket, f, ok := a.parseRequestTarget(w, in.Account, in.Ticket, in.Key)
	if !ok {
		return
	}
	timeout := defaultTimeout
	if in.TimeoutMS > 0 {
		timeout = time.Duration(in.TimeoutMS) * time.Millisecond
	}
	req := model.Request{
		ID: id, Account: in.Account, Service: in.Service,
		Repeatable: in.Repeatable, Payload: in.Payload, Deadline: time.Now().Add(timeout),
	}
	f.Body = message.RequestSend{Request: req, Ticket: ticket, Fresh: in.Fresh}
	if a.gate.refuseIfClosed(a, w, f.Body) {
		return
	}
	if reply, ok := forward[message.RequestReply](a, w, r, f, timeout); ok {
		writeJSON(w, http.StatusOK, newRequestResult(reply))
	}
}

func (a *api) showRequest(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	id, ticket, f, ok := a.parseRequestTarget(w, model.AccountID(q.Get("account")), q.Get("id"), q.Get("key"))
	if !ok {
		return
	}
	f.Idempotent = true
	f.Body = message.RequestStatus{Request: id, Ticket: ticket}
	if reply, ok := forward[message.RequestReply](a, w, r, f, defaultTimeout); ok {
		writeJSON(w, http.StatusOK, newRequestResult(reply))
	}
}

// parseRequestTarget returns the identifier of a request, its ticket if it has one, and a forward to its home failure
// domain. Exactly one of the ticket and the key must be set; otherwise it refuses the call as malformed and returns
// false.
func (a *api) parseRequestTarget(w http.ResponseWriter, account model.AccountID, ticketText, key string) (model.RequestID, *model.Ticket, message.Forward, bool) {
	f := message.Forward{To: names.Dispatch, Key: key}
	if key != "" && ticketText == "" {
		return ledger.KeyID(account, key), nil, f, true
	}
	ticket, err := model.ParseTicket(ticketText)
	if err != nil || key != "" {
		a.writeFailure(w, a.metrics.CountRefusal(failure.New(failure.Malformed, "expected one of a ticket and a key: %v", err)))
		return "", nil, f, false
	}
	f.Domain = ticket.Domain
	return model.RequestID(ticket.String()), &ticket, f, true
}

func newRequestResult(m message.RequestReply) RequestResult {
	return RequestResult{Request: m.Request, Outcome: m.Outcome, Body: m.Body, Pending: m.Pending}
}
