package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the metadata store, as PROTOCOL.md and the settings of dvorak-slots give them.
const (
	storeLatency    = 4 * time.Millisecond
	maxValueBytes   = 1 << 20
	maxKeyBytes     = 200
	maxTxnEntries   = 32
	maxPageItems    = 500
	maxPageBytes    = 1 << 20
	maxWatchMS      = 30_000
	minLeaseMS      = 1000
	maxLeaseMS      = 600_000
	leaseCheckEvery = 20 * time.Millisecond
)

type item struct {
	value             []byte
	revision, created int64
	lease             int64
}

type event struct {
	key      string
	revision int64
	removed  bool
	item     item
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []event
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
	rec      *recorder
}

func newStore(rec *recorder) *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), rec: rec}
	go func() {
		for range time.Tick(leaseCheckEvery) {
			s.expire(time.Now())
		}
	}()
	return s
}

// notify wakes the waiting watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, k := range keys {
		s.removeAt(k, s.revision)
	}
	s.notify()
}

func (s *store) removeAt(key string, revision int64) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, event{key: key, revision: revision, removed: true})
	}
}

func (s *store) setAt(key string, value []byte, leaseID, revision int64) {
	it := item{value: value, revision: revision, created: revision, lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.created = old.created
	}
	s.items[key] = it
	s.events = append(s.events, event{key: key, revision: revision, item: it})
}

// put writes an entry for the operator or an executor.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.setAt(key, value, 0, s.revision)
	s.notify()
}

// remove removes an entry for the platform.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeAt(key, s.revision)
	s.notify()
}

// get returns the value of an entry.
func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it.value, ok
}

func (it item) wire(key string) map[string]any {
	return map[string]any{
		"key": key, "value": base64.StdEncoding.EncodeToString(it.value), "revision": it.revision, "created_rev": it.created, "lease": it.lease,
	}
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /verbenaflow/kv-key", s.handleKey)
	m.HandleFunc("GET /verbenaflow/kv-range", s.handleRange)
	m.HandleFunc("GET /verbenaflow/kv-watch", s.handleWatch)
	m.HandleFunc("POST /verbenaflow/kv-txn", s.handleTxn)
	m.HandleFunc("POST /verbenaflow/kv-lease", s.handleLease)
	m.HandleFunc("POST /verbenaflow/kv-keep/{id}", s.handleKeep)
	m.HandleFunc("DELETE /verbenaflow/kv-lease-end/{id}", s.handleLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		m.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	s.mu.Lock()
	it, ok := s.items[key]
	out := it.wire(key)
	out["as_of"] = s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, out)
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), q.Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, truncated := []any{}, 0, false
	for _, k := range keys {
		it := s.items[k]
		if len(items) > 0 && (len(items) == maxPageItems || size+len(it.value) > maxPageBytes) {
			truncated = true
			break
		}
		items = append(items, it.wire(k))
		size += len(it.value)
	}
	out := map[string]any{"items": items, "truncated": truncated, "as_of": s.revision}
	s.mu.Unlock()
	reply(w, http.StatusOK, out)
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil || wait < 0 || wait > maxWatchMS {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, asOf, changed := s.eventsAfter(q.Get("prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": []any{}, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes under a prefix after a revision. The caller holds mu.
func (s *store) eventsAfter(prefix string, after int64) []any {
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].revision > after })
	var out []any
	for _, e := range s.events[first:] {
		switch {
		case !strings.HasPrefix(e.key, prefix):
		case e.removed:
			out = append(out, map[string]any{"key": e.key, "revision": e.revision, "removed": true})
		default:
			out = append(out, e.item.wire(e.key))
		}
	}
	return out
}

type txn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"set_keys"`
	Remove []string `json:"remove"`
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.SetKeys)+len(t.Remove) > maxTxnEntries {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, k := range t.SetKeys {
		value, err := base64.StdEncoding.DecodeString(k.Value)
		switch {
		case err != nil || len(k.Key) > maxKeyBytes:
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		case len(value) > maxValueBytes:
			s.rec.once("store refuses "+k.Key, "store: refuses %s: value of %d bytes, value_bytes is %d", k.Key, len(value), maxValueBytes)
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		case strings.HasPrefix(k.Key, "op/") || strings.HasPrefix(k.Key, "servers/"):
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	status, out := s.apply(&t)
	reply(w, status, out)
}

// apply carries out a transaction and returns the status and the body of the response.
func (s *store) apply(t *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	met, current := true, []any{}
	for _, c := range t.Expect {
		it, ok := s.items[c.Key]
		met = met && it.revision == c.Revision
		if ok {
			current = append(current, it.wire(c.Key))
		} else {
			current = append(current, map[string]any{"key": c.Key, "revision": 0})
		}
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, k := range t.SetKeys {
		if _, ok := s.leases[k.Lease]; k.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, k := range t.SetKeys {
		value, _ := base64.StdEncoding.DecodeString(k.Value)
		s.setAt(k.Key, value, k.Lease, s.revision)
	}
	for _, k := range t.Remove {
		s.removeAt(k, s.revision)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := min(max(in.TTL, minLeaseMS), maxLeaseMS)
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	d := time.Duration(ttl) * time.Millisecond
	s.leases[id] = &lease{ttl: d, expires: time.Now().Add(d)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		s.endLease(id)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}
