// Package metrics counts what one daemon does. Every refusal reason and retry reason has a counter from
// the start, so that none goes uncounted.
package metrics

import (
	"expvar"

	"github.com/verbenaflow/verbenaflow/api/failure"
)

// Set holds the counters of one daemon. All methods are safe for concurrent use and accept a nil Set.
type Set struct {
	root     expvar.Map
	refusals expvar.Map
	retries  expvar.Map
	store    expvar.Map
	dropped  expvar.Map
	events   expvar.Map
	gauges   expvar.Map
	latency  latencies
}

// New returns a set with one zero counter for each reason.
func New() *Set {
	s := &Set{}
	for _, r := range failure.Reasons() {
		s.refusals.Add(r.Code(), 0)
	}
	for _, r := range failure.RetryReasons() {
		s.retries.Add(r.Code(), 0)
	}
	s.root.Set("refusals", &s.refusals)
	s.root.Set("retries", &s.retries)
	s.root.Set("store_calls", &s.store)
	s.root.Set("mailbox_refusals", &s.dropped)
	s.root.Set("events", &s.events)
	s.root.Set("gauges", &s.gauges)
	s.root.Set("latency_ms", &s.latency)
	return s
}

// Var returns the counters as one variable for the expvar listener.
func (s *Set) Var() expvar.Var { return &s.root }

// Refusal counts a refusal by its reason and returns the failure.
func (s *Set) Refusal(e *failure.Error) *failure.Error {
	if s != nil {
		s.refusals.Add(e.Reason.Code(), 1)
	}
	return e
}

// Retry counts a retry by its reason.
func (s *Set) Retry(r failure.RetryReason) {
	if s != nil {
		s.retries.Add(r.Code(), 1)
	}
}

// StoreCall counts one call to the store by its operation.
func (s *Set) StoreCall(op string) {
	if s != nil {
		s.store.Add(op, 1)
	}
}

// MailboxRefusal counts a message refused by a full mailbox.
func (s *Set) MailboxRefusal(service string) {
	if s != nil {
		s.dropped.Add(service, 1)
	}
}

// Event counts an event by name.
func (s *Set) Event(name string, n int64) {
	if s != nil {
		s.events.Add(name, n)
	}
}

// Gauge sets a current value by name.
func (s *Set) Gauge(name string, v int64) {
	if s == nil {
		return
	}
	g := new(expvar.Int)
	g.Set(v)
	s.gauges.Set(name, g)
}
