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
	ttl    time.Duration
	keys   map[string]bool
	cancel func()
}

type watcher struct {
	env    kernel.Envelope
	key    string
	after  uint64
	source string
	done   bool
}

func (s *State) grant(c *kernel.Context, ttl time.Duration) kernel.Message {
	s.nextID++
	id := s.nextID
	l := &lease{ttl: ttl, keys: make(map[string]bool)}
	s.leases[id] = l
	s.arm(c, id, l)
	return leaseAnswer{ID: id}
}

func (s *State) arm(c *kernel.Context, id kv.LeaseID, l *lease) {
	if l.cancel != nil {
		l.cancel()
	}
	l.cancel = c.After(max(0, l.ttl+s.jitter()), leaseDue{id: id})
}

func (s *State) keepAlive(c *kernel.Context, id kv.LeaseID) (kernel.Message, error) {
	l, ok := s.leases[id]
	if !ok {
		return nil, &host.StatusError{Status: kv.StatusLeaseExpired}
	}
	s.arm(c, id, l)
	return leaseAnswer{ID: id}, nil
}

func (s *State) expire(id kv.LeaseID) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.cancel()
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.remove(key)
	}
	delete(s.leases, id)
}

func (s *State) watch(c *kernel.Context, e kernel.Envelope, m kv.Call) {
	if current := s.get(m.Key); current.Version != m.After {
		e.Reply(entryAnswer(current))
		return
	}
	w := &watcher{env: e, key: m.Key, after: m.After, source: m.Source}
	s.watchers[m.Key] = append(s.watchers[m.Key], w)
	c.After(time.Duration(m.WaitMS)*time.Millisecond, watchDue{w: w})
}

func (s *State) answerWatch(w *watcher) {
	if w.done {
		return
	}
	w.done = true
	s.watchers[w.key] = slices.DeleteFunc(s.watchers[w.key], func(o *watcher) bool { return o == w })
	// A change ends a watch before its time, so that the version is still the one that was asked about.
	w.env.Reply(entryAnswer{Key: w.key, Version: w.after, Unchanged: true})
}

func (s *State) notify(key string) {
	waiting := s.watchers[key]
	delete(s.watchers, key)
	for _, w := range waiting {
		w.done = true
		w.env.Reply(entryAnswer(s.get(key)))
	}
}

// cutWatches ends the watches of sources that a fault hides the store from.
func (s *State) cutWatches() {
	for key, waiting := range s.watchers {
		s.watchers[key] = slices.DeleteFunc(waiting, func(w *watcher) bool {
			if !s.hidden(w.source) {
				return false
			}
			w.done = true
			w.env.Fail(&host.AbortError{})
			return true
		})
	}
}
