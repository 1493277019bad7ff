// Package route chooses the executor of an attempt within its slots and matches answers to calls.
package route

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// Slots is the number of requests that an executor runs at a time.
	Slots = 8
	// ejectAfter is the number of consecutive failures after which an executor is avoided.
	ejectAfter = 3
	// probeAfter is the time after which an avoided executor gets one attempt.
	probeAfter = time.Second
	// confirmWithin is the time after the last answer of the notice watch during which an executor gets
	// attempts. It stays below the 2 s in which a leaving executor must get nothing new, even if the executor
	// no longer answers its watch.
	confirmWithin = 1750 * time.Millisecond
	// weight is the part of a new measurement in the mean latency.
	weight = 0.2
)

// Executor is what is known about one executor.
type Executor struct {
	inFlight      int
	slots         int
	listLeaving   bool
	noticeLeaving bool
	// confirmed is when the executor last said whether it is leaving.
	confirmed time.Time
	failures  int
	failedAt  time.Time
	latency   time.Duration
}

// Table holds the executors of a failure domain. It is not safe for concurrent use.
type Table struct {
	executors map[model.ExecutorID]*Executor
	choose    Policy
}

// NewTable returns an empty table that chooses by LeastExpected.
func NewTable() *Table { return NewTableWith(LeastExpected) }

// NewTableWith returns an empty table with another choice policy.
func NewTableWith(p Policy) *Table {
	return &Table{executors: make(map[model.ExecutorID]*Executor), choose: p}
}

// Add adds an executor, or updates whether the VM list calls it leaving.
func (t *Table) Add(id model.ExecutorID, leaving bool) {
	e, ok := t.executors[id]
	if !ok {
		e = &Executor{slots: Slots}
		t.executors[id] = e
	}
	e.listLeaving = leaving
}

// Remove forgets an executor.
func (t *Table) Remove(id model.ExecutorID) { delete(t.executors, id) }

// Notice records what the executor said at the time confirmed. slots 0 keeps the number of slots.
func (t *Table) Notice(id model.ExecutorID, leaving bool, slots int, confirmed time.Time) {
	if e, ok := t.executors[id]; ok {
		e.confirmed, e.noticeLeaving = confirmed, leaving
		if slots > 0 {
			e.slots = min(slots, Slots)
		}
	}
}

// Capacity returns the number of slots of executors that accept attempts, free or not.
func (t *Table) Capacity(now time.Time) int {
	n := 0
	for _, e := range t.executors {
		if e.accepts(now) {
			n += e.slots
		}
	}
	return n
}

func (e *Executor) accepts(now time.Time) bool {
	return !e.listLeaving && !e.noticeLeaving && now.Sub(e.confirmed) < confirmWithin
}

// healthy reports whether the executor is not avoided, or is due for a probe.
func (e *Executor) healthy(now time.Time) bool {
	return e.failures < ejectAfter || e.inFlight == 0 && now.Sub(e.failedAt) >= probeAfter
}

// Acquire takes a slot of an executor that is not in avoid. It returns false if there is none.
func (t *Table) Acquire(avoid []model.ExecutorID, now time.Time) (model.ExecutorID, bool) {
	var free []Candidate
	for id, e := range t.executors {
		if e.accepts(now) && e.healthy(now) && e.inFlight < e.slots && !slices.Contains(avoid, id) {
			free = append(free, Candidate{ID: id, InFlight: e.inFlight, Latency: e.latency})
		}
	}
	if len(free) == 0 {
		return "", false
	}
	id := t.choose(free)
	t.executors[id].inFlight++
	return id, true
}

// Release gives a slot back. failed tells that the executor did not answer properly. A failure that is faster
// than the mean does not lower it, because it would draw further attempts to the failing executor.
func (t *Table) Release(id model.ExecutorID, failed bool, took time.Duration, now time.Time) {
	e, ok := t.executors[id]
	if !ok {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	if failed {
		e.failures, e.failedAt = e.failures+1, now
	} else {
		e.failures = 0
	}
	if took > 0 && (!failed || took > e.latency) {
		e.latency += time.Duration(weight * float64(took-e.latency))
	}
}

// Call identifies one attempt of a request.
type Call struct {
	Request model.RequestID
	Attempt int
}

// Match tells what to do with an answer. to is the call that the answer belongs to.
type Match int

// Results of matching an answer.
const (
	// Drop means that the answer is truncated or belongs to no pending call.
	Drop Match = iota
	// Own means that the answer belongs to the call that carried it.
	Own
	// Crossed means that the answer belongs to another pending call.
	Crossed
)

// MatchAnswer matches an answer to the pending calls. whole is false for a truncated answer.
func MatchAnswer(carrier, answer Call, whole bool, pending func(Call) bool) Match {
	switch {
	case !whole || !pending(answer):
		return Drop
	case carrier == answer:
		return Own
	default:
		return Crossed
	}
}
