// Package metastore is a small stand-in for the platform's metadata store. It injects faults that tests set.
package metastore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// maxEvents limits the history: a watch that is more changes behind gets a *metastore.CompactedError.
const maxEvents = 10_000

// tickInterval is the resolution of leases.
const tickInterval = 20 * time.Millisecond

// Faults is the set of faults that the store injects. The zero value injects none.
type Faults struct {
	// RefuseCalls refuses all calls without effect, IgnoreCalls answers none.
	RefuseCalls, IgnoreCalls bool
	// LoseAnswerShare is the share of transactions that are applied but not answered.
	LoseAnswerShare float64
	// LateTxnShare is the share of transactions that are not answered, and are applied after lateDelay if their conditions
	// still hold.
	LateTxnShare float64
	// Reject, if not nil, reports whether the store refuses a transaction for good.
	Reject func(metastore.Txn) bool
	// RefuseTxn, if not nil, reports whether the store refuses a transaction without effect, as a busy store does.
	RefuseTxn func(metastore.Txn) bool
	// End, if not nil, tells how a transaction ends.
	End func(metastore.Txn) TxnEnd
}

// TxnEnd is a way in which a transaction ends.
type TxnEnd uint8

// Ends of a transaction.
const (
	// TxnAnswered means that the transaction is processed and answered.
	TxnAnswered TxnEnd = iota
	// TxnRefused means that it is refused without effect, as by a busy store.
	TxnRefused
	// TxnAnswerLost means that it is processed and not answered.
	TxnAnswerLost
	// TxnLate means that it is not answered, and processed after lateDelay.
	TxnLate
	// TxnIgnored means that it is not answered and never processed.
	TxnIgnored
	// TxnRejected means that it is refused for good.
	TxnRejected
)

// end returns how a transaction ends.
func (f *Faults) end(t metastore.Txn) TxnEnd {
	switch {
	case f.End != nil:
		return f.End(t)
	case rand.Float64() < f.LateTxnShare:
		return TxnLate
	case rand.Float64() < f.LoseAnswerShare:
		return TxnAnswerLost
	default:
		return TxnAnswered
	}
}

// lateDelay is the time after which a late transaction is applied.
const lateDelay = 1500 * time.Millisecond

// Store is the stand-in. Run owns its state; all other methods send calls to Run and are safe for concurrent use.
type Store struct {
	calls chan func(*state)
}

var _ metastore.API = (*Store)(nil)

type state struct {
	faults   Faults
	revision int64
	items    map[string]metastore.Item
	events   []metastore.Event
	leases   map[metastore.LeaseID]*lease
	watches  []*watch
	lateTxns []lateTxn
	// compacted is the highest revision whose event has been dropped from events.
	compacted int64
}

// lateTxn is a transaction that Faults.LateTxnShare delays until due.
type lateTxn struct {
	due time.Time
	txn metastore.Txn
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// watch is an open watch. result has space for one value, so that sending does not block Run.
type watch struct {
	prefix   string
	after    int64
	deadline time.Time
	result   chan<- watchResult
}

type watchResult struct {
	events []metastore.Event
	asOf   int64
	err    error
}

// New returns a store without entries.
func New() *Store { return &Store{calls: make(chan func(*state))} }

// Run serves until ctx ends.
func (s *Store) Run(ctx context.Context) {
	st := &state{items: map[string]metastore.Item{}, leases: map[metastore.LeaseID]*lease{}, revision: 1}
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case call := <-s.calls:
			call(st)
		case <-t.C:
		case <-ctx.Done():
			return
		}
		st.advance(time.Now())
		st.notifyWatches(time.Now())
	}
}

// do executes a call on the state, unless a fault prevents it. It returns an error if a fault applies or ctx ends.
func (s *Store) do(ctx context.Context, call func(*state)) error {
	faults := make(chan Faults, 1)
	run := func(st *state) {
		if !st.faults.RefuseCalls && !st.faults.IgnoreCalls {
			call(st)
		}
		faults <- st.faults
	}
	select {
	case s.calls <- run:
	case <-ctx.Done():
		return &metastore.UnknownOutcomeError{Cause: ctx.Err()}
	}
	f := <-faults
	if f.IgnoreCalls {
		<-ctx.Done()
		return &metastore.UnknownOutcomeError{Cause: ctx.Err()}
	}
	if f.RefuseCalls {
		return &metastore.NotExecutedError{Cause: context.Canceled}
	}
	return nil
}

// SetFaults replaces all faults.
func (s *Store) SetFaults(f Faults) { s.calls <- func(st *state) { st.faults = f } }

// Compact drops the history, so that watches from an earlier revision get a *metastore.CompactedError.
func (s *Store) Compact() {
	s.calls <- func(st *state) { st.events, st.compacted = nil, st.revision }
}

// Set writes an entry on behalf of operators or executors, regardless of faults.
func (s *Store) Set(key string, value []byte) {
	s.calls <- func(st *state) { st.set(metastore.Write{Key: key, Value: value}) }
}

// Remove removes an entry on behalf of operators or executors, regardless of faults.
func (s *Store) Remove(key string) { s.calls <- func(st *state) { st.remove(key) } }

// Entries returns the entries of a prefix, regardless of faults.
func (s *Store) Entries(prefix string) []metastore.Item {
	out := make(chan []metastore.Item, 1)
	s.calls <- func(st *state) { out <- st.list(prefix) }
	return <-out
}

// Get implements metastore.API.
func (s *Store) Get(ctx context.Context, key string) (metastore.Item, error) {
	var (
		item metastore.Item
		ok   bool
	)
	if err := s.do(ctx, func(st *state) { item, ok = st.items[key] }); err != nil {
		return item, err
	}
	if !ok {
		return item, &metastore.NotFoundError{}
	}
	return item, nil
}

// List implements metastore.API.
func (s *Store) List(ctx context.Context, prefix string) (items []metastore.Item, asOf int64, err error) {
	err = s.do(ctx, func(st *state) { items, asOf = st.list(prefix), st.revision })
	return items, asOf, err
}

// Watch implements metastore.API.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	result := make(chan watchResult, 1)
	w := &watch{prefix: prefix, after: after, deadline: time.Now().Add(wait), result: result}
	if err := s.do(ctx, func(st *state) { st.watches = append(st.watches, w) }); err != nil {
		return nil, 0, err
	}
	select {
	case r := <-result:
		return r.events, r.asOf, r.err
	case <-ctx.Done():
		return nil, 0, &metastore.UnknownOutcomeError{Cause: ctx.Err()}
	}
}

// Commit implements metastore.API.
func (s *Store) Commit(ctx context.Context, t metastore.Txn) (revision int64, err error) {
	lost := false
	callErr := s.do(ctx, func(st *state) {
		end := st.faults.end(t)
		lost = end == TxnAnswerLost || end == TxnLate || end == TxnIgnored
		switch end {
		case TxnRejected:
			err = &metastore.RejectedError{Status: http.StatusForbidden, Cause: &metastore.NotExecutedError{Cause: context.Canceled}}
		case TxnRefused:
			err = &metastore.NotExecutedError{Cause: context.Canceled}
		case TxnIgnored:
		case TxnLate:
			st.lateTxns = append(st.lateTxns, lateTxn{time.Now().Add(lateDelay), t})
		default:
			revision, err = st.commit(t)
		}
	})
	if callErr != nil {
		return 0, callErr
	}
	if lost {
		return 0, &metastore.UnknownOutcomeError{Cause: context.Canceled}
	}
	return revision, err
}

// Grant implements metastore.API.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (id metastore.LeaseID, err error) {
	err = s.do(ctx, func(st *state) {
		st.revision++
		id = metastore.LeaseID(st.revision)
		st.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	})
	return id, err
}

// Renew implements metastore.API.
func (s *Store) Renew(ctx context.Context, id metastore.LeaseID) error {
	return s.withLease(ctx, id, func(_ *state, l *lease) { l.expires = time.Now().Add(l.ttl) })
}

// Revoke implements metastore.API.
func (s *Store) Revoke(ctx context.Context, id metastore.LeaseID) error {
	return s.withLease(ctx, id, func(st *state, _ *lease) { st.endLease(id) })
}

// withLease executes a call on a lease. It returns a *metastore.LeaseEndedError if the lease does not exist.
func (s *Store) withLease(ctx context.Context, id metastore.LeaseID, call func(*state, *lease)) error {
	known := false
	err := s.do(ctx, func(st *state) {
		if l := st.leases[id]; l != nil {
			known = true
			call(st, l)
		}
	})
	if err == nil && !known {
		return &metastore.LeaseEndedError{}
	}
	return err
}

// reservedPrefixes are the prefixes of the keys that only operators and executors write.
var reservedPrefixes = []string{"op/", "servers/"}

// checkLimits returns a *metastore.RejectedError for a transaction that exceeds the limits of the platform's store or
// writes reserved keys.
func checkLimits(t metastore.Txn) error {
	reject := func(status int, format string, args ...any) error {
		return &metastore.RejectedError{Status: status, Cause: &metastore.NotExecutedError{Cause: fmt.Errorf(format, args...)}}
	}
	if n := len(t.Conditions) + len(t.Writes) + len(t.Removals); n > metastore.MaxTxnEntries {
		return reject(http.StatusBadRequest, "%d entries", n)
	}
	keys := slices.Clone(t.Removals)
	for _, w := range t.Writes {
		if len(w.Value) > metastore.MaxValueBytes {
			return reject(http.StatusBadRequest, "value of %q with %d bytes", w.Key, len(w.Value))
		}
		keys = append(keys, w.Key)
	}
	for _, key := range keys {
		if len(key) > metastore.MaxKeyBytes {
			return reject(http.StatusBadRequest, "key with %d bytes", len(key))
		}
		if slices.ContainsFunc(reservedPrefixes, func(p string) bool { return strings.HasPrefix(key, p) }) {
			return reject(http.StatusForbidden, "key %q", key)
		}
	}
	return nil
}

// commit applies a transaction at a new revision if all its conditions hold and all its leases exist.
func (st *state) commit(t metastore.Txn) (int64, error) {
	if err := checkLimits(t); err != nil {
		return 0, err
	}
	if st.faults.Reject != nil && st.faults.Reject(t) {
		return 0, &metastore.RejectedError{Status: http.StatusForbidden, Cause: &metastore.NotExecutedError{Cause: context.Canceled}}
	}
	if st.faults.RefuseTxn != nil && st.faults.RefuseTxn(t) {
		return 0, &metastore.NotExecutedError{Cause: context.Canceled}
	}
	conflict := &metastore.ConflictError{}
	ok := true
	for _, c := range t.Conditions {
		item := st.items[c.Key]
		item.Key = c.Key
		conflict.Items = append(conflict.Items, item)
		ok = ok && item.Revision == c.Revision
	}
	if !ok {
		return 0, conflict
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && st.leases[w.Lease] == nil {
			return 0, &metastore.LeaseEndedError{}
		}
	}
	st.revision++
	for _, w := range t.Writes {
		st.writeItem(w)
	}
	for _, key := range t.Removals {
		st.deleteItem(key)
	}
	return st.revision, nil
}

// set writes an item at a new revision.
func (st *state) set(w metastore.Write) {
	st.revision++
	st.writeItem(w)
}

// writeItem writes an item at the current revision.
func (st *state) writeItem(w metastore.Write) {
	item := metastore.Item{Key: w.Key, Value: w.Value, Revision: st.revision, Created: st.revision, Lease: w.Lease}
	if old, ok := st.items[w.Key]; ok {
		item.Created = old.Created
	}
	st.items[w.Key] = item
	st.record(metastore.Event{Item: item})
}

// remove deletes an item at a new revision.
func (st *state) remove(key string) {
	st.revision++
	st.deleteItem(key)
}

// deleteItem deletes an item, if it exists, at the current revision.
func (st *state) deleteItem(key string) {
	if _, ok := st.items[key]; ok {
		delete(st.items, key)
		st.record(metastore.Event{Item: metastore.Item{Key: key, Revision: st.revision}, Removed: true})
	}
}

// record adds an event to the history and drops the oldest beyond maxEvents.
func (st *state) record(e metastore.Event) {
	st.events = append(st.events, e)
	if len(st.events) > maxEvents {
		st.compacted = st.events[0].Revision
		st.events = st.events[1:]
	}
}

func (st *state) list(prefix string) []metastore.Item {
	var out []metastore.Item
	for key, item := range st.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b metastore.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// advance applies late transactions that are due and ends expired leases.
func (st *state) advance(now time.Time) {
	for len(st.lateTxns) > 0 && now.After(st.lateTxns[0].due) {
		// A late transaction whose conditions no longer hold has no effect.
		_, _ = st.commit(st.lateTxns[0].txn)
		st.lateTxns = st.lateTxns[1:]
	}
	for id, l := range st.leases {
		if now.After(l.expires) {
			st.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys.
func (st *state) endLease(id metastore.LeaseID) {
	delete(st.leases, id)
	for key, item := range st.items {
		if item.Lease == id {
			st.remove(key)
		}
	}
}

// notifyWatches answers the watches that have events, whose wait is over or whose revision was compacted.
func (st *state) notifyWatches(now time.Time) {
	st.watches = slices.DeleteFunc(st.watches, func(w *watch) bool {
		if w.after < st.compacted {
			w.result <- watchResult{err: &metastore.CompactedError{}}
			return true
		}
		var events []metastore.Event
		for _, e := range st.events {
			if e.Revision > w.after && strings.HasPrefix(e.Key, w.prefix) {
				events = append(events, e)
			}
		}
		if len(events) == 0 && now.Before(w.deadline) {
			return false
		}
		w.result <- watchResult{events: events, asOf: st.revision}
		return true
	})
}
