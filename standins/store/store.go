// Package store is a small stand-in for the platform's key-value service. It counts and records what it is
// asked to do and shows faults on request.
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

// MaxKey is the length of the longest key in bytes.
const MaxKey = 512

// call is one call of a client.
type call struct {
	path string
	kv.Call
}

// Kind implements kernel.Message.
func (call) Kind() string { return "store_call" }

type entryAnswer kv.Entry

// Kind implements kernel.Message.
func (entryAnswer) Kind() string { return "store_entry" }

type leaseAnswer kv.Lease

// Kind implements kernel.Message.
func (leaseAnswer) Kind() string { return "store_lease" }

type (
	leaseDue struct{ id kv.LeaseID }
	watchDue struct{ w *watcher }
	// slowDue is a call that a slow store takes up now.
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

// State holds the keys, leases, watches and faults.
type State struct {
	revision uint64
	nextID   kv.LeaseID
	entries  map[string]kv.Entry
	bound    map[string]kv.LeaseID
	leases   map[kv.LeaseID]*lease
	watchers map[string][]*watcher
	faults   Faults
	random   *rand.Rand
	counts   Counts
	writes   []Written
	saved    *snapshot
}

// New returns an empty store.
func New() *State {
	return &State{
		entries:  make(map[string]kv.Entry),
		bound:    make(map[string]kv.LeaseID),
		leases:   make(map[kv.LeaseID]*lease),
		watchers: make(map[string][]*watcher),
		random:   newRandom(0),
		counts:   newCounts(),
	}
}

// Run serves the store until ctx ends. It takes over the listener.
func Run(ctx context.Context, l net.Listener, s *State) error {
	routes := controlRoutes()
	for _, p := range []string{kv.PathGet, kv.PathPut, kv.PathDelete, kv.PathGrant, kv.PathKeepAlive, kv.PathRevoke, kv.PathWatch} {
		routes = append(routes, host.JSON(p, func(c kv.Call) kernel.Message { return call{path: p, Call: c} }))
	}
	return host.Run(ctx, l, s, routes...)
}

// Start implements kernel.Service.
func (s *State) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *State) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *State) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case call:
		s.counts.add(m)
		if s.faults.SlowMS > 0 {
			c.After(time.Duration(s.faults.SlowMS)*time.Millisecond, slowDue{env: e, call: m})
			return
		}
		s.take(c, e, m)
	case slowDue:
		s.take(c, m.env, m.call)
	case leaseDue:
		s.expire(m.id)
	case watchDue:
		s.answerWatch(m.w)
	default:
		s.control(e)
	}
}

// take runs a call unless a fault hides the store from its source.
func (s *State) take(c *kernel.Context, e kernel.Envelope, m call) {
	if s.hidden(m.Source) {
		e.Fail(&host.AbortError{})
		return
	}
	if m.path == kv.PathWatch {
		s.watch(c, e, m.Call)
		return
	}
	answer, err := s.run(c, m)
	lost := err == nil && m.path != kv.PathGet && s.loses()
	if err == nil {
		s.record(m, answer, lost)
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

// run runs a call that is answered at once.
func (s *State) run(c *kernel.Context, m call) (kernel.Message, error) {
	switch m.path {
	case kv.PathGet:
		return entryAnswer(s.get(m.Key)), nil
	case kv.PathPut:
		return s.put(m.Write)
	case kv.PathDelete:
		if err := s.expect(m.Write); err != nil {
			return nil, err
		}
		s.remove(m.Key)
		return entryAnswer{Key: m.Key}, nil
	case kv.PathGrant:
		return s.grant(c, time.Duration(m.TTLMS)*time.Millisecond), nil
	case kv.PathKeepAlive:
		return s.keepAlive(c, m.Lease)
	default:
		s.expire(m.Lease)
		return leaseAnswer{}, nil
	}
}

func (s *State) get(key string) kv.Entry {
	if entry, ok := s.entries[key]; ok {
		return entry
	}
	return kv.Entry{Key: key}
}

// expect returns a conflict if the version is not the expected one.
func (s *State) expect(w kv.Write) error {
	if current := s.get(w.Key); current.Version != w.Expect {
		return &host.StatusError{Status: kv.StatusConflict, Body: current}
	}
	return nil
}

func (s *State) put(w kv.Write) (kernel.Message, error) {
	l, ok := s.leases[w.Lease]
	switch {
	case w.Key == "" || len(w.Key) > MaxKey:
		return nil, &host.StatusError{Status: http.StatusBadRequest, Body: "key length"}
	case len(w.Value) > kv.MaxValue:
		return nil, &host.StatusError{Status: http.StatusRequestEntityTooLarge, Body: "value size"}
	case w.Lease != 0 && !ok:
		return nil, &host.StatusError{Status: kv.StatusLeaseExpired}
	}
	if err := s.expect(w); err != nil {
		return nil, err
	}
	s.revision++
	entry := kv.Entry{Key: w.Key, Value: w.Value, Version: s.revision}
	s.entries[w.Key] = entry
	s.unbind(w.Key)
	if ok {
		l.keys[w.Key] = true
		s.bound[w.Key] = w.Lease
	}
	s.notify(w.Key)
	return entryAnswer{Key: w.Key, Version: entry.Version}, nil
}

func (s *State) unbind(key string) {
	id, ok := s.bound[key]
	if !ok {
		return
	}
	delete(s.leases[id].keys, key)
	delete(s.bound, key)
}

func (s *State) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.unbind(key)
	s.notify(key)
}
