// Package load is an open-loop load generator: it sends requests and jobs to entry VMs at a configured rate,
// independent of the responses, and reports latency and outcomes.
//
// Latency is measured from the time at which a call was due, not from the time at which it was sent. Otherwise the
// delay that a slow system causes to later calls would not be counted (coordinated omission; see G. Tene, "How NOT
// to Measure Latency").
package load

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/node/client"
)

const (
	// maxInFlight is the largest number of calls in progress. A call that would exceed it is not sent and counts as
	// skipped.
	maxInFlight = 2000
	// ticketBatchSize is the number of tickets that one call asks for.
	ticketBatchSize = 100
	// ticketRetryDelay is the delay after a failed call for tickets.
	ticketRetryDelay = 200 * time.Millisecond
)

// Options describes the load to generate.
type Options struct {
	// Servers are the addresses of the entry VMs; calls go to them round-robin.
	Servers []string
	Account model.AccountID
	// Service is the operation that the requests name.
	Service string
	// RequestRate and JobRate are the mean numbers of requests and of job submissions per second.
	RequestRate, JobRate float64
	Duration             time.Duration
	// RepeatableShare is the fraction of requests, from 0 to 1, that may run more than once.
	RepeatableShare float64
	// Timeout is the time that a caller waits for a ticket, and then for the response.
	Timeout time.Duration
	Seed    uint64
}

// Run generates the load and returns once every call has ended. Failed calls are counted in the report.
func Run(ctx context.Context, o Options) Report {
	g := &generator{options: o, results: make(chan result, maxInFlight)}
	for _, s := range o.Servers {
		g.targets = append(g.targets, &target{client: client.New(maxInFlight, s), tickets: make(chan string, ticketBatchSize)})
	}
	ctx, cancel := context.WithCancel(ctx)
	var tickets, collector conc.WaitGroup
	if o.RequestRate > 0 {
		for _, t := range g.targets {
			tickets.Go(func() { t.refillTickets(ctx, o.Account) })
		}
	}
	rep := newReport()
	collector.Go(func() {
		for r := range g.results {
			rep.add(r)
		}
	})
	g.generate(ctx)
	cancel()
	tickets.Wait()
	close(g.results)
	collector.Wait()
	return rep.computePercentiles()
}

// target is an entry VM and the tickets that it issued for later requests.
type target struct {
	client  *client.Client
	tickets chan string
}

// refillTickets fetches tickets ahead of their use until ctx ends, so that a request does not wait for one.
func (t *target) refillTickets(ctx context.Context, account model.AccountID) {
	for ctx.Err() == nil {
		batch, err := t.fetchTickets(ctx, account)
		if err != nil {
			select {
			case <-time.After(ticketRetryDelay):
			case <-ctx.Done():
			}
		}
		for _, id := range batch {
			select {
			case t.tickets <- id:
			case <-ctx.Done():
				return
			}
		}
	}
}

// generator sends each planned call when it is due.
type generator struct {
	options Options
	targets []*target
	results chan result
}

// generate sends the planned calls and returns once all of them have ended.
func (g *generator) generate(ctx context.Context) {
	var calls conc.WaitGroup
	defer calls.Wait()
	inFlight := make(chan struct{}, maxInFlight)
	start := time.Now()
	for _, c := range plan(g.options) {
		due := start.Add(c.offset)
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		select {
		case inFlight <- struct{}{}:
		default:
			g.results <- result{class: c.class, skipped: true}
			continue
		}
		t := g.targets[c.number%len(g.targets)]
		calls.Go(func() {
			defer func() { <-inFlight }()
			g.results <- g.send(ctx, t, c, due)
		})
	}
}
