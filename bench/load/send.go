package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/node/client"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
)

// result is the result of one call.
type result struct {
	class   string
	skipped bool
	// id identifies a request; it is empty for a job.
	id      string
	latency time.Duration
	// outcome is empty if no complete response arrived.
	outcome failure.Outcome
	// reason is the error code of a call that failed.
	reason string
	// mismatched is true if the response belongs to another request.
	mismatched bool
}

func (t *target) fetchTickets(ctx context.Context, account model.AccountID) ([]string, error) {
	var out []string
	err := t.client.Post(ctx, "/v1/tickets", httpapi.IssueTicketsRequest{Account: account, Count: ticketBatchSize}, &out)
	return out, err
}

// send makes one call. The call is not canceled with ctx, so that the end of the load does not cut off a response.
func (g *generator) send(ctx context.Context, t *target, c plannedCall, due time.Time) result {
	r := result{class: c.class}
	var err error
	if c.class == ClassJob {
		var j model.Job
		err = t.client.Call(context.WithoutCancel(ctx), http.MethodPost, "/v1/jobs", c.job, &j, g.options.Timeout)
	} else {
		err = g.sendRequest(ctx, t, c, &r)
	}
	r.latency = time.Since(due)
	classify(&r, err)
	return r
}

// noTicketError reports a request that was not sent, because no ticket was available in time.
type noTicketError struct{}

func (*noTicketError) Error() string { return "no ticket was available in time" }

func (g *generator) sendRequest(ctx context.Context, t *target, c plannedCall, r *result) error {
	select {
	case r.id = <-t.tickets:
	case <-time.After(g.options.Timeout):
		return &noTicketError{}
	case <-ctx.Done():
		return &noTicketError{}
	}
	payload := fmt.Sprintf("load-%d-%d", g.options.Seed, c.number)
	in := httpapi.SendRequest{
		Ticket: r.id, Account: g.options.Account, Service: g.options.Service, Repeatable: c.repeatable,
		Payload: []byte(payload), TimeoutMS: g.options.Timeout.Milliseconds(),
		Fresh: true,
	}
	var out httpapi.RequestResult
	err := t.client.Call(context.WithoutCancel(ctx), http.MethodPost, "/v1/requests", in, &out, g.options.Timeout)
	if err == nil {
		r.mismatched = string(out.Request) != r.id || string(out.Body) != g.options.Service+":"+payload
	}
	return err
}

// classify derives the outcome and the reason from the error of a call.
func classify(r *result, err error) {
	var f *failure.Error
	var t *client.TransportError
	var n *noTicketError
	switch {
	case err == nil:
		r.outcome = failure.Run
	case errors.As(err, &f):
		r.outcome, r.reason = f.Outcome, f.Reason.Code()
	case errors.As(err, &n):
		r.outcome, r.reason = failure.NotRun, "no_ticket"
	case errors.As(err, &t) && t.Outcome == failure.NotRun:
		r.outcome, r.reason = failure.NotRun, "connection_refused"
	default:
		r.reason = "no_answer"
	}
}
