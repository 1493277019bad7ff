// Package metrics holds the counters of one daemon. Every refusal reason and retry reason has a counter from
// the start, so that none goes uncounted.
package metrics

import (
	"expvar"

	"github.com/verbenaflow/verbenaflow/api/failure"
)

// Set holds the counters of one daemon. All methods are safe for concurrent use and accept a nil Set.
type Set struct {
	root            expvar.Map
	refusals        expvar.Map
	retries         expvar.Map
	storeCalls      expvar.Map
	mailboxRefusals expvar.Map
	events          expvar.Map
	gauges          expvar.Map
	latency         latencies
}

// New returns a set with a zero counter for each reason.
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
	s.root.Set("store_calls", &s.storeCalls)
	s.root.Set("mailbox_refusals", &s.mailboxRefusals)
	s.root.Set("events", &s.events)
	s.root.Set("gauges", &s.gauges)
	s.root.Set("latency_ms", &s.latency)
	return s
}

// Publish adds a variable with the given name that its owner maintains.
func (s *Set) Publish(name string, v expvar.Var) { s.root.Set(name, v) }

// Var returns the counters as one expvar.Var.
func (s *Set) Var() expvar.Var { return &s.root }

// CountRefusal counts a refusal by its reason and returns the failure.
func (s *Set) CountRefusal(e *failure.Error) *failure.Error {
	if s != nil {
		s.refusals.Add(e.Reason.Code(), 1)
	}
	return e
}

// CountRetry counts a retry by its reason.
func (s *Set) CountRetry(r failure.RetryReason) {
	if s != nil {
		s.retries.Add(r.Code(), 1)
	}
}

// CountStoreCall counts one call to the store by its operation.
func (s *Set) CountStoreCall(op string) {
	if s != nil {
		s.storeCalls.Add(op, 1)
	}
}

// CountMailboxRefusal counts a message that the full mailbox of a service refused.
func (s *Set) CountMailboxRefusal(service string) {
	if s != nil {
		s.mailboxRefusals.Add(service, 1)
	}
}

// CountEvent adds n to the event counter with the given name.
func (s *Set) CountEvent(name string, n int64) {
	if s != nil {
		s.events.Add(name, n)
	}
}

// SetGauge sets the gauge with the given name.
func (s *Set) SetGauge(name string, v int64) {
	if s == nil {
		return
	}
	g := new(expvar.Int)
	g.Set(v)
	s.gauges.Set(name, g)
}

// RemoveGauge removes the gauge with the given name, if there is one.
func (s *Set) RemoveGauge(name string) {
	if s != nil {
		s.gauges.Delete(name)
	}
}
