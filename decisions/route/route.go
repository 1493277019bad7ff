// Package route chooses the executor of an attempt within its slots and matches answers to calls.
package route

import (
	"cmp"
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
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{executors: make(map[model.ExecutorID]*Executor)} }

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

// score estimates the time to an answer: the mean latency times the attempts before and including this one.
func (e *Executor) score() time.Duration {
	return max(e.latency, time.Microsecond) * time.Duration(e.inFlight+1)
}

// Acquire takes a slot of the executor with the lowest expected time to an answer that is not in avoid;
// ties go to the lowest identifier. It returns false if there is none.
func (t *Table) Acquire(avoid []model.ExecutorID, now time.Time) (model.ExecutorID, bool) {
	var best model.ExecutorID
	for id, e := range t.executors {
		if !e.accepts(now) || !e.healthy(now) || e.inFlight >= e.slots || slices.Contains(avoid, id) {
			continue
		}
		if best == "" || cmp.Or(cmp.Compare(e.score(), t.executors[best].score()), cmp.Compare(id, best)) < 0 {
			best = id
		}
	}
	if best == "" {
		return "", false
	}
	t.executors[best].inFlight++
	return best, true
}

// Release gives a slot back. failed tells that the executor did not answer properly.
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
	if took > 0 {
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
