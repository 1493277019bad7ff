// Package demo drives an embedded cluster through the main promises of the system and reports what the
// stand-ins saw.
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
	// stepLimit bounds each wait of a step.
	stepLimit = 10 * time.Second
	// pollInterval is the time between two looks at the cluster, which has no watch for observers.
	pollInterval = 50 * time.Millisecond
)

// Result tells how a step ended.
type Result string

// Results of steps.
const (
	OK     Result = "ok"
	Failed Result = "failed"
	// Broken means that a promise of the design page was broken.
	Broken Result = "broken"
)

// Step is one line of the report.
type Step struct {
	Name   string `json:"name"`
	Result Result `json:"result"`
	// Promise names the broken promise; empty for other results.
	Promise  string `json:"promise,omitempty"`
	TimeMS   int64  `json:"time_ms"`
	Evidence string `json:"evidence"`
}

// brokenError reports a promise that the cluster did not keep.
type brokenError struct{ promise, detail string }

func (e *brokenError) Error() string { return e.promise + " broken: " + e.detail }

// limitError reports a wait that did not end in time.
type limitError struct {
	what string
	last string
}

func (e *limitError) Error() string {
	return fmt.Sprintf("not within %s: %s (last seen: %s)", stepLimit, e.what, e.last)
}

// restartError reports a job that the new holder started again instead of adopting its tasks.
type restartError struct{ attempt int }

func (e *restartError) Error() string {
	return fmt.Sprintf("the job was started again (attempt %d)", e.attempt)
}

// demo is the state that the steps share.
type demo struct {
	cluster  *embedded.Cluster
	standins *httpjson.Client
}

// Run drives a running cluster through all steps. A failed step does not end the demo.
func Run(ctx context.Context, c *embedded.Cluster) []Step {
	d := &demo{cluster: c, standins: httpjson.NewClient(c.Store(), 0)}
	defer d.standins.Close()
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"configuration in force on every entry VM", d.configure},
		{"gang of 16 accelerators started as one", d.gang},
		{"request answered, its ticket refused again", d.request},
		{"borrowed accelerators reclaimed for a guarantee", d.reclaim},
		{"failure domain taken out and brought back", d.takeOut},
		{"holder lost, its work adopted", d.loseHolder},
	}
	var out []Step
	for _, s := range steps {
		begun := time.Now()
		evidence, err := s.run(ctx)
		out = append(out, report(s.name, time.Since(begun), evidence, err))
	}
	return out
}

func report(name string, took time.Duration, evidence string, err error) Step {
	s := Step{Name: name, Result: OK, TimeMS: took.Milliseconds(), Evidence: evidence}
	var broken *brokenError
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

// await looks until check is satisfied. check returns what it saw.
func await(ctx context.Context, what string, check func() (seen string, done bool)) error {
	ctx, cancel := context.WithTimeout(ctx, stepLimit)
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
			return &limitError{what: what, last: seen}
		}
	}
}

// any returns a client of all running entry VMs.
func (d *demo) any() *client.Client {
	var servers []string
	for _, id := range d.cluster.VMs() {
		if d.cluster.Running(id) {
			servers = append(servers, d.cluster.HTTP(id))
		}
	}
	return client.New(0, servers...)
}

// writes returns what the store accepted for a key.
func (d *demo) writes(ctx context.Context, key string) ([]store.Written, error) {
	var all, out []store.Written
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
