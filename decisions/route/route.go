// Package route selects the executor for each attempt of a request, keeps to the executors' slots and matches responses
// to calls.
package route

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// MaxSlotsPerExecutor is the maximum number of requests that an executor runs concurrently.
	MaxSlotsPerExecutor = 8
	// ejectionThreshold is the number of consecutive failures after which an executor is ejected: it gets no attempts
	// except probes.
	ejectionThreshold = 3
	// probeDelay is the time since its last failure after which an ejected executor gets one attempt as a probe.
	probeDelay = time.Second
	// confirmationTTL is the time for which an executor gets attempts after its last answer to the watch of its notices.
	// It is below 2 s, because an executor that is leaving must get no new attempts after that time, even if it no
	// longer answers the watch.
	confirmationTTL = 1750 * time.Millisecond
	// latencyWeight is the weight of a new measurement in the exponentially weighted mean latency.
	latencyWeight = 0.2
)

// Executor is the state of one executor.
type Executor struct {
	inFlight         int
	slots            int
	leavingPerVMList bool
	leavingPerNotice bool
	// confirmedAt is the time at which the executor last reported whether it is leaving.
	confirmedAt         time.Time
	consecutiveFailures int
	lastFailure         time.Time
	meanLatency         time.Duration
}

// Table holds the executors of a failure domain. It is not safe for concurrent use.
type Table struct {
	executors map[model.ExecutorID]*Executor
	choose    Policy
}

// NewTable returns an empty table with the policy LeastExpectedTime.
func NewTable() *Table { return NewTableWithPolicy(LeastExpectedTime) }

// NewTableWithPolicy returns an empty table with the policy p.
func NewTableWithPolicy(p Policy) *Table {
	return &Table{executors: make(map[model.ExecutorID]*Executor), choose: p}
}

// Add adds an executor, or updates whether it is leaving according to the VM list.
func (t *Table) Add(id model.ExecutorID, leaving bool) {
	e, ok := t.executors[id]
	if !ok {
		e = &Executor{slots: MaxSlotsPerExecutor}
		t.executors[id] = e
	}
	e.leavingPerVMList = leaving
}

// Remove removes an executor.
func (t *Table) Remove(id model.ExecutorID) { delete(t.executors, id) }

// RecordNotice records what the executor reported at confirmedAt: whether it is leaving, and its number of slots. If
// slots is 0, the number stays as it is.
func (t *Table) RecordNotice(id model.ExecutorID, leaving bool, slots int, confirmedAt time.Time) {
	if e, ok := t.executors[id]; ok {
		e.confirmedAt, e.leavingPerNotice = confirmedAt, leaving
		if slots > 0 {
			e.slots = min(slots, MaxSlotsPerExecutor)
		}
	}
}

// Capacity returns the number of slots, free or in use, of the executors that accept attempts.
func (t *Table) Capacity(now time.Time) int {
	n := 0
	for _, e := range t.executors {
		if e.acceptsAttempts(now) {
			n += e.slots
		}
	}
	return n
}

func (e *Executor) acceptsAttempts(now time.Time) bool {
	return !e.leavingPerVMList && !e.leavingPerNotice && now.Sub(e.confirmedAt) < confirmationTTL
}

// healthy reports whether the executor is not ejected or is due for a probe.
func (e *Executor) healthy(now time.Time) bool {
	return e.consecutiveFailures < ejectionThreshold || e.inFlight == 0 && now.Sub(e.lastFailure) >= probeDelay
}

// Acquire selects an executor that is not in avoid and takes one of its slots. It returns false if there is none.
func (t *Table) Acquire(avoid []model.ExecutorID, now time.Time) (model.ExecutorID, bool) {
	var free []Candidate
	for id, e := range t.executors {
		if e.acceptsAttempts(now) && e.healthy(now) && e.inFlight < e.slots && !slices.Contains(avoid, id) {
			free = append(free, Candidate{ID: id, InFlight: e.inFlight, Latency: e.meanLatency})
		}
	}
	if len(free) == 0 {
		return "", false
	}
	id := t.choose(free)
	t.executors[id].inFlight++
	return id, true
}

// Release frees a slot after an attempt of duration took. failed is true if the executor gave no valid response. A
// failure that is faster than the mean latency does not lower it, because that would attract further attempts to the
// failing executor.
func (t *Table) Release(id model.ExecutorID, failed bool, took time.Duration, now time.Time) {
	e, ok := t.executors[id]
	if !ok {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	if failed {
		e.consecutiveFailures, e.lastFailure = e.consecutiveFailures+1, now
	} else {
		e.consecutiveFailures = 0
	}
	if took > 0 && (!failed || took > e.meanLatency) {
		e.meanLatency += time.Duration(latencyWeight * float64(took-e.meanLatency))
	}
}

// Call identifies one attempt of a request.
type Call struct {
	Request model.RequestID
	Attempt int
}

// MatchResult tells to which call a response belongs.
type MatchResult int

// Results of MatchResponse.
const (
	// MatchNone means that the response is truncated or belongs to no pending call.
	MatchNone MatchResult = iota
	// MatchCarrier means that the response belongs to the call on which it arrived.
	MatchCarrier
	// MatchOtherCall means that the response belongs to another pending call.
	MatchOtherCall
)

// MatchResponse matches a response to the pending calls. carrier is the call on which it arrived, answer the call that
// it names. complete is false for a truncated response.
func MatchResponse(carrier, answer Call, complete bool, pending func(Call) bool) MatchResult {
	switch {
	case !complete || !pending(answer):
		return MatchNone
	case carrier == answer:
		return MatchCarrier
	default:
		return MatchOtherCall
	}
}
