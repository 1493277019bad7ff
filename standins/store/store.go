// Package store is a small stand-in for the platform's key-value service.
package store

import (
	"context"
	"net"
	"time"

	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

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
)

// Kind implements kernel.Message.
func (leaseDue) Kind() string { return "lease_due" }

// Kind implements kernel.Message.
func (watchDue) Kind() string { return "watch_due" }

type lease struct {
	ttl    time.Duration
	keys   map[string]bool
	cancel func()
}

type watcher struct {
	env  kernel.Envelope
	key  string
	done bool
}

// State holds the keys, leases and watches.
type State struct {
	revision uint64
	nextID   kv.LeaseID
	entries  map[string]kv.Entry
	bound    map[string]kv.LeaseID
	leases   map[kv.LeaseID]*lease
	watchers map[string][]*watcher
}

// New returns an empty store.
func New() *State {
	return &State{
		entries:  make(map[string]kv.Entry),
		bound:    make(map[string]kv.LeaseID),
		leases:   make(map[kv.LeaseID]*lease),
		watchers: make(map[string][]*watcher),
	}
}

// Run serves the store until ctx ends. It takes over the listener.
func Run(ctx context.Context, l net.Listener, s *State) error {
	var routes []host.Route
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
		s.call(c, e, m)
	case leaseDue:
		s.expire(m.id)
	case watchDue:
		s.answerWatch(m.w)
	}
}

func (s *State) call(c *kernel.Context, e kernel.Envelope, m call) {
	switch m.path {
	case kv.PathGet:
		e.Reply(entryAnswer(s.get(m.Key)))
	case kv.PathPut:
		s.put(e, m.Write)
	case kv.PathDelete:
		if !s.expect(e, m.Write) {
			return
		}
		s.remove(m.Key)
		e.Reply(entryAnswer{Key: m.Key})
	case kv.PathGrant:
		s.grant(c, e, time.Duration(m.TTLMS)*time.Millisecond)
	case kv.PathKeepAlive:
		s.keepAlive(c, e, m.Lease)
	case kv.PathRevoke:
		s.expire(m.Lease)
		e.Reply(leaseAnswer{})
	case kv.PathWatch:
		s.watch(c, e, m.Call)
	}
}

func (s *State) get(key string) kv.Entry {
	if entry, ok := s.entries[key]; ok {
		return entry
	}
	return kv.Entry{Key: key}
}

// expect answers with a conflict and returns false if the version is not the expected one.
func (s *State) expect(e kernel.Envelope, w kv.Write) bool {
	if current := s.get(w.Key); current.Version != w.Expect {
		e.Fail(&host.StatusError{Status: kv.StatusConflict, Body: current})
		return false
	}
	return true
}

func (s *State) put(e kernel.Envelope, w kv.Write) {
	l, ok := s.leases[w.Lease]
	if w.Lease != 0 && !ok {
		e.Fail(&host.StatusError{Status: kv.StatusLeaseExpired})
		return
	}
	if !s.expect(e, w) {
		return
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
	e.Reply(entryAnswer{Key: w.Key, Version: entry.Version})
}

func (s *State) unbind(key string) {
	if id, ok := s.bound[key]; ok {
		delete(s.leases[id].keys, key)
		delete(s.bound, key)
	}
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

func (s *State) grant(c *kernel.Context, e kernel.Envelope, ttl time.Duration) {
	s.nextID++
	id := s.nextID
	l := &lease{ttl: ttl, keys: make(map[string]bool)}
	s.leases[id] = l
	s.arm(c, id, l)
	e.Reply(leaseAnswer{ID: id})
}

func (s *State) arm(c *kernel.Context, id kv.LeaseID, l *lease) {
	if l.cancel != nil {
		l.cancel()
	}
	l.cancel = c.After(l.ttl, leaseDue{id: id})
}

func (s *State) keepAlive(c *kernel.Context, e kernel.Envelope, id kv.LeaseID) {
	l, ok := s.leases[id]
	if !ok {
		e.Fail(&host.StatusError{Status: kv.StatusLeaseExpired})
		return
	}
	s.arm(c, id, l)
	e.Reply(leaseAnswer{ID: id})
}

func (s *State) expire(id kv.LeaseID) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.cancel()
	for key := range l.keys {
		s.remove(key)
	}
	delete(s.leases, id)
}

func (s *State) watch(c *kernel.Context, e kernel.Envelope, m kv.Call) {
	if current := s.get(m.Key); current.Version != m.After {
		e.Reply(entryAnswer(current))
		return
	}
	w := &watcher{env: e, key: m.Key}
	s.watchers[m.Key] = append(s.watchers[m.Key], w)
	c.After(time.Duration(m.WaitMS)*time.Millisecond, watchDue{w: w})
}

func (s *State) answerWatch(w *watcher) {
	if w.done {
		return
	}
	w.done = true
	rest := s.watchers[w.key][:0]
	for _, o := range s.watchers[w.key] {
		if o != w {
			rest = append(rest, o)
		}
	}
	s.watchers[w.key] = rest
	w.env.Reply(entryAnswer(s.get(w.key)))
}

func (s *State) notify(key string) {
	waiting := s.watchers[key]
	delete(s.watchers, key)
	for _, w := range waiting {
		w.done = true
		w.env.Reply(entryAnswer(s.get(key)))
	}
}
