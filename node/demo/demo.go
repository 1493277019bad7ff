// Package demo exercises the main guarantees (promises) of the system on an embedded cluster, and checks them against
// what the stand-ins recorded.
package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/node/client"
	"github.com/verbenaflow/verbenaflow/node/embedded"
	"github.com/verbenaflow/verbenaflow/platform/httpjson"
	"github.com/verbenaflow/verbenaflow/standins/store"
)

const (
	// waitTimeout bounds each wait of a step.
	waitTimeout = 10 * time.Second
	// pollInterval is the time between two polls of the cluster, whose HTTP interface has no watch.
	pollInterval = 50 * time.Millisecond
)

// Result is the outcome of a step.
type Result string

// Results of steps.
const (
	OK     Result = "ok"
	Failed Result = "failed"
	// Broken means that the cluster violated one of the promises that the design documentation numbers P1, P2 and so on.
	Broken Result = "broken"
)

// Step is the reported result of one step.
type Step struct {
	Name   string `json:"name"`
	Result Result `json:"result"`
	// Promise is the number of the broken promise; empty for other results.
	Promise  string `json:"promise,omitempty"`
	TimeMS   int64  `json:"time_ms"`
	Evidence string `json:"evidence"`
}

// brokenPromiseError reports a promise that the cluster violated.
type brokenPromiseError struct{ promise, detail string }

func (e *brokenPromiseError) Error() string { return e.promise + " broken: " + e.detail }

// timeoutError reports a wait that was not satisfied within waitTimeout. last is the state that was seen last.
type timeoutError struct {
	what string
	last string
}

func (e *timeoutError) Error() string {
	return fmt.Sprintf("not within %s: %s (last seen: %s)", waitTimeout, e.what, e.last)
}

// restartError reports a job that the new holder restarted instead of adopting its tasks.
type restartError struct{ attempt int }

func (e *restartError) Error() string {
	return fmt.Sprintf("the job was started again (attempt %d)", e.attempt)
}

// demo is the state that the steps share.
type demo struct {
	cluster  *embedded.Cluster
	standins *httpjson.Client
}

// Run runs all steps on a running cluster. It continues after a failed step.
func Run(ctx context.Context, c *embedded.Cluster) []Step {
	d := &demo{cluster: c, standins: httpjson.NewClient(c.StoreAddress(), 0)}
	defer d.standins.Close()
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"configuration in force on every entry VM", d.configure},
		{"gang of 16 accelerators started as one", d.runGang},
		{"request answered, its ticket refused again", d.sendRequest},
		{"borrowed accelerators reclaimed for a guarantee", d.reclaimGuarantee},
		{"failure domain taken out and brought back", d.takeOutDomain},
		{"holder lost, its work adopted", d.killHolder},
	}
	var out []Step
	for _, s := range steps {
		begun := time.Now()
		evidence, err := s.run(ctx)
		out = append(out, newStep(s.name, time.Since(begun), evidence, err))
	}
	return out
}

// newStep returns the report on a step with the evidence or error that it returned.
func newStep(name string, took time.Duration, evidence string, err error) Step {
	s := Step{Name: name, Result: OK, TimeMS: took.Milliseconds(), Evidence: evidence}
	var broken *brokenPromiseError
	switch {
	case errors.As(err, &broken):
		s.Result, s.Promise, s.Evidence = Broken, broken.promise, broken.detail
	case err != nil:
		s.Result, s.Evidence = Failed, err.Error()
	}
	return s
}

// BrokenPromise reports whether a step broke a promise.
func BrokenPromise(steps []Step) bool {
	for _, s := range steps {
		if s.Result == Broken {
			return true
		}
	}
	return false
}

// AllOK reports whether every step succeeded.
func AllOK(steps []Step) bool {
	for _, s := range steps {
		if s.Result != OK {
			return false
		}
	}
	return true
}

// waitUntil polls until check reports done. On a timeout, the error contains what check saw last.
func waitUntil(ctx context.Context, what string, check func() (seen string, done bool)) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		seen, done := check()
		if done {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return &timeoutError{what: what, last: seen}
		}
	}
}

// newClient returns a client of all running entry VMs.
func (d *demo) newClient() *client.Client {
	var servers []string
	for _, id := range d.cluster.EntryVMs() {
		if d.cluster.Running(id) {
			servers = append(servers, d.cluster.HTTPAddress(id))
		}
	}
	return client.New(0, servers...)
}

// acceptedWrites returns the writes of a key that the store accepted.
func (d *demo) acceptedWrites(ctx context.Context, key string) ([]store.RecordedWrite, error) {
	var all, out []store.RecordedWrite
	if err := d.standins.Post(ctx, store.PathWrites, struct{}{}, &all); err != nil {
		return nil, err
	}
	for _, w := range all {
		if w.Key == key {
			out = append(out, w)
		}
	}
	return out, nil
}
