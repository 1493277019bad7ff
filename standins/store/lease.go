package store

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

type lease struct {
	ttl  time.Duration
	keys map[string]bool
	// cancelExpiry stops the timer that expires the lease.
	cancelExpiry func()
}

// watcher is an open watch of a key by a caller that knows the version after.
type watcher struct {
	env      kernel.Envelope
	key      string
	after    uint64
	source   string
	answered bool
}

func (s *Store) grant(c *kernel.Context, ttl time.Duration) kernel.Message {
	s.nextID++
	id := s.nextID
	l := &lease{ttl: ttl, keys: make(map[string]bool)}
	s.leases[id] = l
	s.scheduleExpiry(c, id, l)
	return leaseReply{ID: id}
}

// scheduleExpiry starts the time to live of a lease, from the beginning if it runs already.
func (s *Store) scheduleExpiry(c *kernel.Context, id kv.LeaseID, l *lease) {
	if l.cancelExpiry != nil {
		l.cancelExpiry()
	}
	l.cancelExpiry = c.SendAfter(max(0, l.ttl+s.leaseJitter()), leaseDue{id: id})
}

func (s *Store) keepAlive(c *kernel.Context, id kv.LeaseID) (kernel.Message, error) {
	l, ok := s.leases[id]
	if !ok {
		return nil, &host.StatusError{Status: kv.StatusLeaseExpired}
	}
	s.scheduleExpiry(c, id, l)
	return leaseReply{ID: id}, nil
}

// endLease removes a lease that has expired or is revoked, and deletes its keys.
func (s *Store) endLease(id kv.LeaseID) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.cancelExpiry()
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.remove(key)
	}
	delete(s.leases, id)
}

func (s *Store) watch(c *kernel.Context, e kernel.Envelope, m kv.Call) {
	if current := s.get(m.Key); current.Version != m.After {
		e.Reply(entryReply(current))
		return
	}
	w := &watcher{env: e, key: m.Key, after: m.After, source: m.Source}
	s.watchers[m.Key] = append(s.watchers[m.Key], w)
	c.SendAfter(time.Duration(m.WaitMS)*time.Millisecond, watchDue{w: w})
}

// endWatch answers a watch whose wait is over.
func (s *Store) endWatch(w *watcher) {
	if w.answered {
		return
	}
	w.answered = true
	s.watchers[w.key] = slices.DeleteFunc(s.watchers[w.key], func(o *watcher) bool { return o == w })
	// The version is still w.after: notifyWatchers would have answered the watch at a change.
	w.env.Reply(entryReply{Key: w.key, Version: w.after, Unchanged: true})
}

// notifyWatchers answers all watches of a key that has changed.
func (s *Store) notifyWatchers(key string) {
	waiting := s.watchers[key]
	delete(s.watchers, key)
	for _, w := range waiting {
		w.answered = true
		w.env.Reply(entryReply(s.get(key)))
	}
}

// abortWatches closes the connections of watches from failure domains for which a fault makes the store unreachable.
func (s *Store) abortWatches() {
	for key, waiting := range s.watchers {
		s.watchers[key] = slices.DeleteFunc(waiting, func(w *watcher) bool {
			if !s.unreachableFrom(w.source) {
				return false
			}
			w.answered = true
			w.env.Fail(&host.AbortError{})
			return true
		})
	}
}
