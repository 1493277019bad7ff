// Package advice decides how many executors a query of the advisory service names and whose turn it is to ask.
//
// It answers queues whose policies take long to decide: the service handles the queries of a VM one after the other, so that
// large queries of one queue delay all others, while small ones repeat the time that each query takes.
package advice

import "time"

const (
	// MaxExecutors is the largest number of executors that the service accepts in one query.
	MaxExecutors = 100
	// usualExecutors is the number of executors in a query that takes no longer than usualDuration.
	usualExecutors = 30
	// usualDuration is the time that a query should take at most, so that other queues do not wait for long.
	usualDuration = time.Second
)

// Policy is the time that the policy of a queue takes, and how long its tickets are valid.
type Policy struct {
	// Decide is the time of a query, PerExecutor what each executor adds to it.
	Decide, PerExecutor time.Duration
	Valid               time.Duration
}

// Duration returns the time of a query that names n executors.
func (p Policy) Duration(n int) time.Duration { return p.Decide + time.Duration(n)*p.PerExecutor }

// BatchSize returns the number of executors to name in a query for a step that needs some of them at once: as many as
// usualDuration permits, but so many that the fixed time of a query is at most half of it, and so many that the tickets for all that
// are needed are valid at the same time.
func (p Policy) BatchSize(needed int) int {
	n := usualExecutors
	if p.Duration(n) > usualDuration && p.PerExecutor > 0 {
		n = max(1, min(n, max(int((usualDuration-p.Decide)/p.PerExecutor), int(p.Decide/p.PerExecutor))))
	}
	for needed = min(needed, MaxExecutors); n < needed && !p.lasts(n, needed); n++ {
	}
	return n
}

// DecideDominates reports whether the fixed time of a query exceeds that of n executors, so that a second query costs more time than
// further executors in the first one.
func (p Policy) DecideDominates(n int) bool { return time.Duration(n)*p.PerExecutor <= p.Decide }

// lasts reports whether queries of n executors each cover the needed executors before the first tickets have used up half of
// their validity. The other half is left for the starts.
func (p Policy) lasts(n, needed int) bool {
	further := (needed+n-1)/n - 1
	return time.Duration(further)*p.Duration(n) <= p.Valid/2
}

// Turns shares the time of the service equally among the queues that ask, by start-time fair queueing. The zero value is ready to
// use.
type Turns[Q comparable] struct {
	// served is the virtual start time of the latest turn, next that of the next turn of each queue.
	served time.Duration
	next   map[Q]time.Duration
}

// Start returns the virtual start time of the next turn of a queue. Of the queues that ask, the one with the earliest is next.
func (t *Turns[Q]) Start(q Q) time.Duration { return max(t.served, t.next[q]) }

// Take gives a queue its turn for a query of the given duration.
func (t *Turns[Q]) Take(q Q, d time.Duration) {
	t.served = t.Start(q)
	for other, at := range t.next {
		if at <= t.served {
			delete(t.next, other)
		}
	}
	if t.next == nil {
		t.next = map[Q]time.Duration{}
	}
	t.next[q] = t.served + d
}
