package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay     = 4 * time.Millisecond
	maxTxnEntries  = 32
	maxPageItems   = 500
	maxPageBytes   = 1 << 20
	maxValueBytes  = 1 << 20
	maxKeyBytes    = 200
	maxWatchWaitMS = 30_000
	leaseTick      = 10 * time.Millisecond
)

// store is a stand-in for the platform's metadata store. It behaves as PROTOCOL.md says.
type store struct {
	rec *record

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	items    map[string]item
	events   []event
	// compacted is the revision up to which changes are forgotten.
	compacted int64
	leases    map[int64]*storeLease
	// busy answers all calls of the system with 503. deaf holds back the changes that watches would report.
	busy, deaf bool
	// leaseClock stands still while the store is busy.
	leaseClock time.Duration
	stop       chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_rev"`
	Lease    int64  `json:"lease"`
}

type event struct {
	item
	Removed bool `json:"removed,omitempty"`
}

type storeLease struct{ ttl, ends time.Duration }

func newStore(rec *record) *store {
	s := &store{
		rec: rec, changed: make(chan struct{}), revision: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, stop: make(chan struct{}),
	}
	go s.tick()
	return s
}

func (s *store) tick() {
	t := time.NewTicker(leaseTick)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
		}
		now := time.Now()
		s.mu.Lock()
		if !s.busy {
			s.leaseClock += now.Sub(last)
		}
		for id, l := range s.leases {
			if l.ends < s.leaseClock {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
		last = now
	}
}

// wake lets waiting watches look again. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.removeItem(key)
		}
	}
	s.wake()
}

func (s *store) setItem(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, event{item: it})
}

func (s *store) removeItem(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, event{item: item{Key: key, Revision: s.revision}, Removed: true})
	}
}

// set writes an entry of the operator or of an executor.
func (s *store) set(key string, value any) {
	b, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.setItem(key, b, 0)
	s.wake()
}

// remove removes an entry of the operator or of an executor.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeItem(key)
	s.wake()
}

// get returns the value of an entry, or nil.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// keys returns the keys under a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

func (s *store) setBusy(busy bool) {
	s.rec.line("store: busy=%v", busy)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	s.wake()
}

// forget lets watches hear nothing for a second while changes are made, and then drops the history and cuts the watches.
func (s *store) forget() {
	s.rec.line("store: watches hear nothing")
	s.mu.Lock()
	s.deaf = true
	s.mu.Unlock()
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf, s.events, s.compacted = false, nil, s.revision
	s.rec.line("store: history dropped up to revision %d", s.compacted)
	s.wake()
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /verbenaflow/kv-key", s.serveKey)
	mux.HandleFunc("GET /verbenaflow/kv-range", s.serveRange)
	mux.HandleFunc("GET /verbenaflow/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /verbenaflow/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /verbenaflow/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /verbenaflow/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /verbenaflow/kv-lease-end/{id}", s.serveEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		s.mu.Lock()
		busy := s.busy
		s.mu.Unlock()
		if busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, body any) {
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.FormValue("key")]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{it, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		AsOf      int64  `json:"as_of"`
	}{Items: []item{}, AsOf: s.revision}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	bytes := 0
	for _, key := range keys {
		it := s.items[key]
		if len(out.Items) > 0 && (len(out.Items) == maxPageItems || bytes+len(it.Value) > maxPageBytes) {
			out.Truncated = true
			break
		}
		bytes += len(it.Value)
		out.Items = append(out.Items, it)
	}
	reply(w, http.StatusOK, out)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil || wait < 0 || wait > maxWatchWaitMS {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	over := wait == 0
	for {
		s.mu.Lock()
		changed := s.changed
		if s.busy {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.compacted {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		out := struct {
			Events []event `json:"events"`
			AsOf   int64   `json:"as_of"`
		}{Events: []event{}, AsOf: s.revision}
		if s.deaf {
			out.AsOf = after
		} else {
			for _, e := range s.events {
				if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
					out.Events = append(out.Events, e)
				}
			}
		}
		s.mu.Unlock()
		if over || len(out.Events) > 0 {
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

type txn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Set []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"set_keys"`
	Remove []string `json:"remove"`
}

// refusal returns the status with which the store refuses a transaction for good, or 0.
func (t *txn) refusal() int {
	if len(t.Expect)+len(t.Set)+len(t.Remove) > maxTxnEntries {
		return http.StatusBadRequest
	}
	keys := slices.Clone(t.Remove)
	for _, w := range t.Set {
		if len(w.Value) > maxValueBytes || len(w.Key) > maxKeyBytes {
			return http.StatusBadRequest
		}
		keys = append(keys, w.Key)
	}
	for _, key := range keys {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			return http.StatusForbidden
		}
	}
	return 0
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := t.refusal(); status != 0 {
		w.WriteHeader(status)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	current := []item{}
	for _, c := range t.Expect {
		it := s.items[c.Key]
		it.Key = c.Key
		held = held && it.Revision == c.Revision
		current = append(current, it)
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, set := range t.Set {
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, set := range t.Set {
		s.setItem(set.Key, set.Value, set.Lease)
	}
	for _, key := range t.Remove {
		s.removeItem(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	in.TTL = min(max(in.TTL, 1000), 600_000)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.revision] = &storeLease{ttl: ttl, ends: s.leaseClock + ttl}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": in.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.ends = s.leaseClock + l.ttl
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}
