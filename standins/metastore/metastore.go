// Package metastore is a small stand-in for the platform's metadata store, with faults that tests switch on.
package metastore

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// history is the number of changes that a watch may lie behind.
const history = 10_000

// tick is the resolution of leases.
const tick = 20 * time.Millisecond

// Fault is how the store misbehaves.
type Fault struct {
	// Busy refuses all calls, Silent answers none.
	Busy, Silent bool
	// Lost is the share of transactions that are applied and not answered.
	Lost float64
	// Late is the share of transactions that are not answered and applied lateDelay later, if their conditions still hold.
	Late float64
}

// lateDelay is the delay of late transactions.
const lateDelay = 1500 * time.Millisecond

// Store is the stand-in. Run owns its state; all other methods send it calls and may be used at the same time.
type Store struct {
	calls chan func(*state)
}

var _ metastore.API = (*Store)(nil)

type state struct {
	fault    Fault
	revision int64
	items    map[string]metastore.Item
	events   []metastore.Event
	leases   map[metastore.LeaseID]*lease
	watches  []*watch
	late     []lateTxn
	// dropped is the revision up to which history is gone.
	dropped int64
}

type lateTxn struct {
	at  time.Time
	txn metastore.Txn
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

type watch struct {
	prefix string
	after  int64
	until  time.Time
	answer chan<- watched
}

type watched struct {
	events []metastore.Event
	asOf   int64
	err    error
}

// New returns a store without entries.
func New() *Store { return &Store{calls: make(chan func(*state))} }

// Run serves until ctx ends.
func (s *Store) Run(ctx context.Context) {
	st := &state{items: map[string]metastore.Item{}, leases: map[metastore.LeaseID]*lease{}, revision: 1}
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case call := <-s.calls:
			call(st)
		case <-t.C:
		case <-ctx.Done():
			return
		}
		st.expire(time.Now())
		st.notify(time.Now())
	}
}

// do runs a call on the state. It returns an error if the store is in trouble or ctx ends.
func (s *Store) do(ctx context.Context, call func(*state)) error {
	fault := make(chan Fault, 1)
	run := func(st *state) {
		if !st.fault.Busy && !st.fault.Silent {
			call(st)
		}
		fault <- st.fault
	}
	select {
	case s.calls <- run:
	case <-ctx.Done():
		return &metastore.UnknownError{Cause: ctx.Err()}
	}
	f := <-fault
	if f.Silent {
		<-ctx.Done()
		return &metastore.UnknownError{Cause: ctx.Err()}
	}
	if f.Busy {
		return &metastore.NotDoneError{Cause: context.Canceled}
	}
	return nil
}

// SetFault switches faults.
func (s *Store) SetFault(f Fault) { s.calls <- func(st *state) { st.fault = f } }

// Compact drops the history, so that watches have to begin anew.
func (s *Store) Compact() {
	s.calls <- func(st *state) { st.events, st.dropped = nil, st.revision }
}

// Set writes an entry as the operators or the executors do, whatever the fault.
func (s *Store) Set(key string, value []byte) {
	s.calls <- func(st *state) { st.set(metastore.Write{Key: key, Value: value}) }
}

// Remove removes an entry as the operators or the executors do, whatever the fault.
func (s *Store) Remove(key string) { s.calls <- func(st *state) { st.remove(key) } }

// Entries returns the entries of a prefix, whatever the fault.
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
	answer := make(chan watched, 1)
	w := &watch{prefix: prefix, after: after, until: time.Now().Add(wait), answer: answer}
	if err := s.do(ctx, func(st *state) { st.watches = append(st.watches, w) }); err != nil {
		return nil, 0, err
	}
	select {
	case a := <-answer:
		return a.events, a.asOf, a.err
	case <-ctx.Done():
		return nil, 0, &metastore.UnknownError{Cause: ctx.Err()}
	}
}

// Commit implements metastore.API.
func (s *Store) Commit(ctx context.Context, t metastore.Txn) (revision int64, err error) {
	lost := false
	called := s.do(ctx, func(st *state) {
		if rand.Float64() < st.fault.Late {
			st.late = append(st.late, lateTxn{time.Now().Add(lateDelay), t})
			lost = true
			return
		}
		revision, err = st.commit(t)
		lost = rand.Float64() < st.fault.Lost
	})
	if called != nil {
		return 0, called
	}
	if lost {
		return 0, &metastore.UnknownError{Cause: context.Canceled}
	}
	return revision, err
}

// Grant implements metastore.API.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (id metastore.LeaseID, err error) {
	err = s.do(ctx, func(st *state) {
		st.revision++
		id = metastore.LeaseID(st.revision)
		st.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	})
	return id, err
}

// Renew implements metastore.API.
func (s *Store) Renew(ctx context.Context, id metastore.LeaseID) error {
	return s.lease(ctx, id, func(_ *state, l *lease) { l.ends = time.Now().Add(l.ttl) })
}

// Revoke implements metastore.API.
func (s *Store) Revoke(ctx context.Context, id metastore.LeaseID) error {
	return s.lease(ctx, id, func(st *state, _ *lease) { st.end(id) })
}

func (s *Store) lease(ctx context.Context, id metastore.LeaseID, call func(*state, *lease)) error {
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

func (st *state) commit(t metastore.Txn) (int64, error) {
	conflict := &metastore.ConflictError{}
	ok := true
	for _, c := range t.If {
		item := st.items[c.Key]
		item.Key = c.Key
		conflict.Items = append(conflict.Items, item)
		ok = ok && item.Revision == c.Revision
	}
	if !ok {
		return 0, conflict
	}
	for _, w := range t.Set {
		if w.Lease != 0 && st.leases[w.Lease] == nil {
			return 0, &metastore.LeaseEndedError{}
		}
	}
	st.revision++
	for _, w := range t.Set {
		st.write(w)
	}
	for _, key := range t.Remove {
		st.drop(key)
	}
	return st.revision, nil
}

func (st *state) set(w metastore.Write) {
	st.revision++
	st.write(w)
}

func (st *state) write(w metastore.Write) {
	item := metastore.Item{Key: w.Key, Value: w.Value, Revision: st.revision, Created: st.revision, Lease: w.Lease}
	if old, ok := st.items[w.Key]; ok {
		item.Created = old.Created
	}
	st.items[w.Key] = item
	st.record(metastore.Event{Item: item})
}

func (st *state) remove(key string) {
	st.revision++
	st.drop(key)
}

func (st *state) drop(key string) {
	if _, ok := st.items[key]; ok {
		delete(st.items, key)
		st.record(metastore.Event{Item: metastore.Item{Key: key, Revision: st.revision}, Removed: true})
	}
}

func (st *state) record(e metastore.Event) {
	st.events = append(st.events, e)
	if len(st.events) > history {
		st.dropped = st.events[0].Revision
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

// expire ends leases whose time is over and applies late transactions.
func (st *state) expire(now time.Time) {
	for len(st.late) > 0 && now.After(st.late[0].at) {
		// A condition that does not hold any more ends a late transaction.
		_, _ = st.commit(st.late[0].txn)
		st.late = st.late[1:]
	}
	for id, l := range st.leases {
		if now.After(l.ends) {
			st.end(id)
		}
	}
}

// end ends a lease and removes its keys.
func (st *state) end(id metastore.LeaseID) {
	delete(st.leases, id)
	for key, item := range st.items {
		if item.Lease == id {
			st.remove(key)
		}
	}
}

// notify answers the watches that have events or whose wait is over.
func (st *state) notify(now time.Time) {
	st.watches = slices.DeleteFunc(st.watches, func(w *watch) bool {
		if w.after < st.dropped {
			w.answer <- watched{err: &metastore.CompactedError{}}
			return true
		}
		var events []metastore.Event
		for _, e := range st.events {
			if e.Revision > w.after && strings.HasPrefix(e.Key, w.prefix) {
				events = append(events, e)
			}
		}
		if len(events) == 0 && now.Before(w.until) {
			return false
		}
		w.answer <- watched{events: events, asOf: st.revision}
		return true
	})
}
