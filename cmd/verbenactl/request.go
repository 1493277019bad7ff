package main

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
)

type requestSend struct {
	app        *app
	Account    string        `long:"account" required:"true" description:"client account"`
	Service    string        `long:"service" required:"true" description:"operation that the executor runs"`
	Payload    string        `long:"payload" description:"text for the operation"`
	Repeatable bool          `long:"repeatable" description:"permit more than one run"`
	Ticket     string        `long:"ticket" description:"ticket; by default one is taken"`
	Key        string        `long:"key" description:"idempotency key instead of a ticket"`
	Timeout    time.Duration `long:"timeout" default:"10s" description:"time that the caller waits"`
}

// Execute implements flags.Commander.
func (o *requestSend) Execute([]string) error {
	if o.Ticket != "" && o.Key != "" {
		return &usageError{"--ticket and --key exclude each other"}
	}
	fresh := o.Ticket == "" && o.Key == ""
	if fresh {
		tickets, err := takeTickets(o.app, o.Account, "", 1)
		if err != nil {
			return err
		}
		o.Ticket = tickets[0]
	}
	in := httpapi.SendRequest{
		Ticket: o.Ticket, Key: o.Key, Account: model.AccountID(o.Account), Service: o.Service,
		Repeatable: o.Repeatable, Payload: []byte(o.Payload), TimeoutMS: o.Timeout.Milliseconds(),
		Fresh: fresh,
	}
	var out httpapi.RequestResult
	if err := o.app.client().Call(context.Background(), http.MethodPost, "/v1/requests", in, &out, o.Timeout); err != nil {
		return &requestError{id: o.Ticket + o.Key, cause: err}
	}
	return o.app.printRequest(out)
}

type requestStatus struct {
	app     *app
	Account string `long:"account" description:"client account of the idempotency key"`
	Key     string `long:"key" description:"idempotency key instead of a ticket"`
	Args    struct {
		Request string `positional-arg-name:"REQUEST" description:"ticket of the request"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (o *requestStatus) Execute([]string) error {
	if (o.Args.Request == "") == (o.Key == "") || (o.Key == "") != (o.Account == "") {
		return &usageError{"give either a ticket, or --account and --key"}
	}
	var out httpapi.RequestResult
	q := url.Values{"id": {o.Args.Request}, "account": {o.Account}, "key": {o.Key}}
	if err := o.app.get("/v1/request?"+q.Encode(), &out); err != nil {
		return err
	}
	return o.app.printRequest(out)
}

func (a *app) printRequest(r httpapi.RequestResult) error {
	return a.printResult(r, []any{"REQUEST", "OUTCOME", "PENDING", "BODY"}, []any{r.Request, r.Outcome, r.Pending, string(r.Body)})
}

type ticketTake struct {
	app     *app
	Account string `long:"account" required:"true" description:"client account"`
	Domain  string `long:"domain" description:"failure domain; by default that of the entry VM"`
	Count   int    `long:"count" default:"1" description:"number of tickets"`
}

// Execute implements flags.Commander.
func (o *ticketTake) Execute([]string) error {
	tickets, err := takeTickets(o.app, o.Account, o.Domain, o.Count)
	if err != nil {
		return err
	}
	rows := [][]any{{"TICKET"}}
	for _, t := range tickets {
		rows = append(rows, []any{t})
	}
	return o.app.printResult(tickets, rows...)
}

// takeTickets requests tickets from the entry VM. It returns at least one ticket or an error.
func takeTickets(a *app, account, domain string, count int) ([]string, error) {
	if count < 1 {
		return nil, &usageError{"--count must be positive"}
	}
	in := httpapi.IssueTicketsRequest{Account: model.AccountID(account), Domain: model.FailureDomain(domain), Count: count}
	var tickets []string
	if err := a.post("/v1/tickets", in, &tickets); err != nil {
		return nil, err
	}
	if len(tickets) == 0 {
		return nil, &noTicketError{}
	}
	return tickets, nil
}
