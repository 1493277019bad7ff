// Package store is a small stand-in for the platform's key-value service. It counts calls, records writes and
// injects faults on request.
package store

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

// MaxKeyBytes is the maximum length of a key.
const MaxKeyBytes = 512

// call is one call of a client; path names the operation.
type call struct {
	path string
	kv.Call
}

// Kind implements kernel.Message.
func (call) Kind() string { return "store_call" }

type entryReply kv.Entry

// Kind implements kernel.Message.
func (entryReply) Kind() string { return "store_entry" }

type leaseReply kv.Lease

// Kind implements kernel.Message.
func (leaseReply) Kind() string { return "store_lease" }

type (
	leaseDue struct{ id kv.LeaseID }
	watchDue struct{ w *watcher }
	// slowDue delivers a call whose delay by Faults.CallDelayMS has passed.
	slowDue struct {
		env  kernel.Envelope
		call call
	}
)

// Kind implements kernel.Message.
func (leaseDue) Kind() string { return "lease_due" }

// Kind implements kernel.Message.
func (watchDue) Kind() string { return "watch_due" }

// Kind implements kernel.Message.
func (slowDue) Kind() string { return "slow_due" }

// Store holds the entries, leases, watches and faults.
type Store struct {
	// revision is the version that was assigned last.
	revision uint64
	nextID   kv.LeaseID
	entries  map[string]kv.Entry
	leaseOf  map[string]kv.LeaseID
	leases   map[kv.LeaseID]*lease
	watchers map[string][]*watcher
	faults   Faults
	random   *rand.Rand
	counts   Counts
	writes   []RecordedWrite
	saved    *snapshot
}

// New returns an empty store.
func New() *Store {
	return &Store{
		entries:  make(map[string]kv.Entry),
		leaseOf:  make(map[string]kv.LeaseID),
		leases:   make(map[kv.LeaseID]*lease),
		watchers: make(map[string][]*watcher),
		random:   newRandom(0),
		counts:   newCounts(),
	}
}

// Run serves the store until ctx ends. It takes ownership of the listener.
func Run(ctx context.Context, l net.Listener, s *Store) error {
	routes := controlRoutes()
	for _, p := range []string{kv.PathGet, kv.PathPut, kv.PathDelete, kv.PathGrant, kv.PathKeepAlive, kv.PathRevoke, kv.PathWatch} {
		routes = append(routes, host.JSONRoute(p, func(c kv.Call) kernel.Message { return call{path: p, Call: c} }))
	}
	return host.Run(ctx, l, s, routes...)
}

// Start implements kernel.Service.
func (s *Store) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Store) Drain(c *kernel.Context) { c.CompleteDrain() }

// Handle implements kernel.Service.
func (s *Store) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case call:
		s.counts.add(m)
		if s.faults.CallDelayMS > 0 {
			c.SendAfter(time.Duration(s.faults.CallDelayMS)*time.Millisecond, slowDue{env: e, call: m})
			return
		}
		s.handleCall(c, e, m)
	case slowDue:
		s.handleCall(c, m.env, m.call)
	case leaseDue:
		s.endLease(m.id)
	case watchDue:
		s.endWatch(m.w)
	default:
		s.handleControl(e)
	}
}

// handleCall processes a call unless a fault makes the store unreachable for the caller.
func (s *Store) handleCall(c *kernel.Context, e kernel.Envelope, m call) {
	if s.unreachableFrom(m.Source) {
		e.Fail(&host.AbortError{})
		return
	}
	if m.path == kv.PathWatch {
		s.watch(c, e, m.Call)
		return
	}
	answer, err := s.apply(c, m)
	lost := err == nil && m.path != kv.PathGet && s.loseAnswer()
	if err == nil {
		s.recordWrite(m, answer, lost)
	}
	switch {
	case err != nil:
		e.Fail(err)
	case lost:
		e.Fail(&host.AbortError{})
	default:
		e.Reply(answer)
	}
}

// apply processes a call other than a watch.
func (s *Store) apply(c *kernel.Context, m call) (kernel.Message, error) {
	switch m.path {
	case kv.PathGet:
		return entryReply(s.get(m.Key)), nil
	case kv.PathPut:
		return s.put(m.Write)
	case kv.PathDelete:
		if err := s.checkVersion(m.Write); err != nil {
			return nil, err
		}
		s.remove(m.Key)
		return entryReply{Key: m.Key}, nil
	case kv.PathGrant:
		return s.grant(c, time.Duration(m.TTLMS)*time.Millisecond), nil
	case kv.PathKeepAlive:
		return s.keepAlive(c, m.Lease)
	default:
		s.endLease(m.Lease)
		return leaseReply{}, nil
	}
}

func (s *Store) get(key string) kv.Entry {
	if entry, ok := s.entries[key]; ok {
		return entry
	}
	return kv.Entry{Key: key}
}

// checkVersion returns a conflict if the version of the key is not the expected one.
func (s *Store) checkVersion(w kv.Write) error {
	if current := s.get(w.Key); current.Version != w.Expect {
		return &host.StatusError{Status: kv.StatusConflict, Body: current}
	}
	return nil
}

func (s *Store) put(w kv.Write) (kernel.Message, error) {
	l, ok := s.leases[w.Lease]
	switch {
	case w.Key == "" || len(w.Key) > MaxKeyBytes:
		return nil, &host.StatusError{Status: http.StatusBadRequest, Body: "key length"}
	case len(w.Value) > kv.MaxValueBytes:
		return nil, &host.StatusError{Status: http.StatusRequestEntityTooLarge, Body: "value size"}
	case w.Lease != 0 && !ok:
		return nil, &host.StatusError{Status: kv.StatusLeaseExpired}
	}
	if err := s.checkVersion(w); err != nil {
		return nil, err
	}
	s.revision++
	entry := kv.Entry{Key: w.Key, Value: w.Value, Version: s.revision}
	s.entries[w.Key] = entry
	s.detachLease(w.Key)
	if ok {
		l.keys[w.Key] = true
		s.leaseOf[w.Key] = w.Lease
	}
	s.notifyWatchers(w.Key)
	return entryReply{Key: w.Key, Version: entry.Version}, nil
}

// detachLease dissociates a key from its lease.
func (s *Store) detachLease(key string) {
	id, ok := s.leaseOf[key]
	if !ok {
		return
	}
	delete(s.leases[id].keys, key)
	delete(s.leaseOf, key)
}

func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.detachLease(key)
	s.notifyWatchers(key)
}
