// Package load sends requests and jobs to entry VMs at a fixed rate, independent of the answers, and reports
// latency and outcomes.
//
// Latency is measured from the time at which a call was due, so that a slow system is not credited for calls
// that it delayed (G. Tene, "How NOT to Measure Latency").
package load

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/node/client"
)

const (
	// maxInFlight bounds the calls in progress; calls beyond it are counted as skipped.
	maxInFlight = 2000
	// ticketBatch is the number of tickets taken at once.
	ticketBatch = 100
	// ticketRetry is the wait after a refused call for tickets.
	ticketRetry = 200 * time.Millisecond
)

// Options describe a load.
type Options struct {
	// Servers are the entry VMs; calls go to them in turn.
	Servers []string
	Account model.AccountID
	// Service is the operation of the requests.
	Service string
	// Rate and JobRate are calls per second.
	Rate, JobRate float64
	Duration      time.Duration
	// RepeatableShare is the share of requests, from 0 to 1, that may run more than once.
	RepeatableShare float64
	// Timeout is the time that a caller waits.
	Timeout time.Duration
	Seed    uint64
}

// Run generates the load and waits for all answers. A failed call is part of the report and not an error.
func Run(ctx context.Context, o Options) Report {
	g := &generator{options: o, results: make(chan result, maxInFlight)}
	for _, s := range o.Servers {
		g.targets = append(g.targets, &target{client: client.New(maxInFlight, s), tickets: make(chan string, ticketBatch)})
	}
	ctx, cancel := context.WithCancel(ctx)
	var tickets, collector conc.WaitGroup
	if o.Rate > 0 {
		for _, t := range g.targets {
			tickets.Go(func() { t.takeTickets(ctx, o.Account) })
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
	return rep.finish()
}

// target is one entry VM.
type target struct {
	client  *client.Client
	tickets chan string
}

// takeTickets keeps tickets ready until ctx ends.
func (t *target) takeTickets(ctx context.Context, account model.AccountID) {
	for ctx.Err() == nil {
		batch, err := t.batch(ctx, account)
		if err != nil {
			select {
			case <-time.After(ticketRetry):
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

// generator sends the calls of a plan when they are due.
type generator struct {
	options Options
	targets []*target
	results chan result
}

// generate sends all calls and returns when each has ended.
func (g *generator) generate(ctx context.Context) {
	var calls conc.WaitGroup
	defer calls.Wait()
	slots := make(chan struct{}, maxInFlight)
	begun := time.Now()
	for _, c := range plan(g.options) {
		due := begun.Add(c.at)
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			g.results <- result{class: c.class, skipped: true}
			continue
		}
		t := g.targets[c.number%len(g.targets)]
		calls.Go(func() {
			defer func() { <-slots }()
			g.results <- g.send(ctx, t, c, due)
		})
	}
}
