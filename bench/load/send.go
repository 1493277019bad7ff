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

// result is how one call ended.
type result struct {
	class   string
	skipped bool
	// id identifies a request; empty for jobs.
	id      string
	latency time.Duration
	// outcome is empty if no complete answer arrived.
	outcome failure.Outcome
	// reason is the code of a refusal.
	reason string
	// mismatched is true for an answer to another request.
	mismatched bool
}

func (t *target) batch(ctx context.Context, account model.AccountID) ([]string, error) {
	var out []string
	err := t.client.Post(ctx, "/v1/tickets", httpapi.TicketsBody{Account: account, Count: ticketBatch}, &out)
	return out, err
}

// send makes one call. The call itself does not end with ctx, so that each one gets its answer.
func (g *generator) send(ctx context.Context, t *target, c planned, due time.Time) result {
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

// noTicketError reports a request that had no ticket in time. It was not sent.
type noTicketError struct{}

func (*noTicketError) Error() string { return "no ticket" }

func (g *generator) sendRequest(ctx context.Context, t *target, c planned, r *result) error {
	select {
	case r.id = <-t.tickets:
	case <-time.After(g.options.Timeout):
		return &noTicketError{}
	case <-ctx.Done():
		return &noTicketError{}
	}
	payload := fmt.Sprintf("load-%d-%d", g.options.Seed, c.number)
	in := httpapi.SendBody{
		Ticket: r.id, Account: g.options.Account, Service: g.options.Service, Repeatable: c.repeatable,
		Payload: []byte(payload), TimeoutMS: g.options.Timeout.Milliseconds(),
		Fresh: true,
	}
	var out httpapi.RequestBody
	err := t.client.Call(context.WithoutCancel(ctx), http.MethodPost, "/v1/requests", in, &out, g.options.Timeout)
	if err == nil {
		r.mismatched = string(out.Request) != r.id || string(out.Body) != g.options.Service+":"+payload
	}
	return err
}

// classify sets outcome and reason from the error of a call.
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
