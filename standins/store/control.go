package store

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

// Paths of the control interface. All take POST requests.
const (
	// PathCounts returns Counts.
	PathCounts = "/standin/counts"
	// PathFaults replaces all faults by the Faults in the body.
	PathFaults = "/standin/faults"
	// PathWrites returns the recorded writes as a list of RecordedWrite.
	PathWrites = "/standin/writes"
	// PathSnapshot saves the current entries, PathRestore restores the saved ones.
	PathSnapshot = "/standin/snapshot"
	PathRestore  = "/standin/restore"
)

// Faults are the faults that the store injects. The zero value injects none.
type Faults struct {
	// Outage closes every connection without an answer.
	Outage bool `json:"outage,omitempty"`
	// CutDomains closes the connections of callers in these failure domains without an answer.
	CutDomains []string `json:"cut,omitempty"`
	// CallDelayMS delays each call, in milliseconds.
	CallDelayMS int64 `json:"slow_ms,omitempty"`
	// LoseNextAnswers is the number of next writes that take effect but get no answer.
	LoseNextAnswers int `json:"lose_next,omitempty"`
	// LoseAnswerShare is the share of writes, from 0 to 1, that take effect but get no answer. They are chosen at random;
	// Seed is the seed of all random choices.
	LoseAnswerShare float64 `json:"lose_share,omitempty"`
	Seed            uint64  `json:"seed,omitempty"`
	// LeaseJitterMS lengthens or shortens each time to live of a lease at random by up to this number of milliseconds.
	LeaseJitterMS int64 `json:"lease_jitter_ms,omitempty"`
	// RecordWrites turns on the recording of accepted writes, which PathWrites returns.
	RecordWrites bool `json:"record,omitempty"`
}

// Counts are the numbers of calls, whether or not they were answered; a watch counts once.
type Counts struct {
	// Operations counts calls by operation, Sources by the failure domain of the caller and by operation.
	Operations map[string]int            `json:"operations"`
	Sources    map[string]map[string]int `json:"sources"`
}

// RecordedWrite is an accepted write. Writes are listed in the order in which they took effect.
type RecordedWrite struct {
	Operation string     `json:"operation"`
	Key       string     `json:"key,omitempty"`
	Value     []byte     `json:"value,omitempty"`
	Version   uint64     `json:"version,omitempty"`
	Lease     kv.LeaseID `json:"lease,omitempty"`
	Source    string     `json:"source,omitempty"`
	// Lost is true if the caller got no answer because of a fault.
	Lost bool `json:"lost,omitempty"`
}

type (
	countsQuery     struct{}
	writesQuery     struct{}
	snapshotRequest struct{}
	restoreRequest  struct{}
	done            struct{}
	writesReply     []RecordedWrite
)

// Kind implements kernel.Message.
func (countsQuery) Kind() string { return "store_counts_get" }

// Kind implements kernel.Message.
func (writesQuery) Kind() string { return "store_writes_get" }

// Kind implements kernel.Message.
func (snapshotRequest) Kind() string { return "store_snapshot" }

// Kind implements kernel.Message.
func (restoreRequest) Kind() string { return "store_restore" }

// Kind implements kernel.Message.
func (done) Kind() string { return "store_done" }

// Kind implements kernel.Message.
func (writesReply) Kind() string { return "store_writes" }

// Kind implements kernel.Message.
func (Faults) Kind() string { return "store_faults" }

// Kind implements kernel.Message.
func (Counts) Kind() string { return "store_counts" }

func controlRoutes() []host.Route {
	return []host.Route{
		host.JSONRoute(PathCounts, func(struct{}) kernel.Message { return countsQuery{} }),
		host.JSONRoute(PathFaults, func(f Faults) kernel.Message { return f }),
		host.JSONRoute(PathWrites, func(struct{}) kernel.Message { return writesQuery{} }),
		host.JSONRoute(PathSnapshot, func(struct{}) kernel.Message { return snapshotRequest{} }),
		host.JSONRoute(PathRestore, func(struct{}) kernel.Message { return restoreRequest{} }),
	}
}

func (s *Store) handleControl(e kernel.Envelope) {
	switch m := e.Body.(type) {
	case countsQuery:
		e.Reply(s.counts.clone())
	case writesQuery:
		e.Reply(writesReply(slices.Clone(s.writes)))
	case Faults:
		s.faults, s.random = m, newRandom(m.Seed)
		s.abortWatches()
		e.Reply(done{})
	case snapshotRequest:
		s.saved = &snapshot{entries: maps.Clone(s.entries), leaseOf: maps.Clone(s.leaseOf)}
		e.Reply(done{})
	case restoreRequest:
		if s.saved == nil {
			e.Fail(&host.StatusError{Status: http.StatusConflict, Body: "no snapshot was taken"})
			return
		}
		s.restore()
		e.Reply(done{})
	}
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// unreachableFrom reports whether a fault makes the store unreachable for callers in a failure domain.
func (s *Store) unreachableFrom(source string) bool {
	return s.faults.Outage || slices.Contains(s.faults.CutDomains, source)
}

// loseAnswer reports whether the write that just took effect gets no answer. It counts LoseNextAnswers down.
func (s *Store) loseAnswer() bool {
	if s.faults.LoseNextAnswers > 0 {
		s.faults.LoseNextAnswers--
		return true
	}
	return s.faults.LoseAnswerShare > 0 && s.random.Float64() < s.faults.LoseAnswerShare
}

// leaseJitter returns a random duration to add to the time to live of a lease.
func (s *Store) leaseJitter() time.Duration {
	j := s.faults.LeaseJitterMS
	if j <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(2*j+1)-j) * time.Millisecond
}

func (s *Store) recordWrite(m call, answer kernel.Message, lost bool) {
	if !s.faults.RecordWrites || m.path == kv.PathGet {
		return
	}
	w := RecordedWrite{Operation: operation(m.path), Key: m.Key, Value: m.Value, Lease: m.Lease, Source: m.Source, Lost: lost}
	switch a := answer.(type) {
	case entryReply:
		w.Version = a.Version
	case leaseReply:
		w.Lease = max(w.Lease, a.ID)
	}
	s.writes = append(s.writes, w)
}

// operation returns the name of the operation in counts and recorded writes.
func operation(path string) string { return strings.TrimPrefix(path, "/v1/") }

func newCounts() Counts {
	return Counts{Operations: make(map[string]int), Sources: make(map[string]map[string]int)}
}

func (c Counts) add(m call) {
	op := operation(m.path)
	c.Operations[op]++
	if c.Sources[m.Source] == nil {
		c.Sources[m.Source] = make(map[string]int)
	}
	c.Sources[m.Source][op]++
}

func (c Counts) clone() Counts {
	out := Counts{Operations: maps.Clone(c.Operations), Sources: make(map[string]map[string]int)}
	for source, n := range c.Sources {
		out.Sources[source] = maps.Clone(n)
	}
	return out
}

// snapshot is a saved state of the entries and of the leases that they belong to.
type snapshot struct {
	entries map[string]kv.Entry
	leaseOf map[string]kv.LeaseID
}

// restore replaces the entries by those of the snapshot, with their old versions and without those whose lease has
// ended since. It does not reset the revision, so that no version is used twice.
func (s *Store) restore() {
	before := s.entries
	s.entries, s.leaseOf = make(map[string]kv.Entry), make(map[string]kv.LeaseID)
	for _, l := range s.leases {
		clear(l.keys)
	}
	for key, entry := range s.saved.entries {
		id, leased := s.saved.leaseOf[key]
		l, alive := s.leases[id]
		if leased && !alive {
			continue
		}
		s.entries[key] = entry
		if leased {
			l.keys[key], s.leaseOf[key] = true, id
		}
	}
	for key := range s.watchers {
		if before[key].Version != s.entries[key].Version {
			s.notifyWatchers(key)
		}
	}
}
