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

// Paths of the controls. All are POST.
const (
	// PathCounts is answered with Counts.
	PathCounts = "/standin/counts"
	// PathFaults replaces all faults by the Faults in the body.
	PathFaults = "/standin/faults"
	// PathWrites is answered with the recorded writes, a list of Written.
	PathWrites = "/standin/writes"
	// PathSnapshot keeps the current state, PathRestore goes back to the kept one.
	PathSnapshot = "/standin/snapshot"
	PathRestore  = "/standin/restore"
)

// Faults are the faults that the store shows. The zero value shows none.
type Faults struct {
	// Outage closes every connection without an answer.
	Outage bool `json:"outage,omitempty"`
	// Cut does so for callers in these failure domains.
	Cut []string `json:"cut,omitempty"`
	// SlowMS delays each call, in milliseconds.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LoseNext is the number of coming writes whose answer is lost after they took effect.
	LoseNext int `json:"lose_next,omitempty"`
	// LoseShare is the share of writes, from 0 to 1, whose answer is lost, chosen at random from Seed.
	LoseShare float64 `json:"lose_share,omitempty"`
	Seed      uint64  `json:"seed,omitempty"`
	// LeaseJitterMS changes each time to live by up to this number of milliseconds in either direction.
	LeaseJitterMS int64 `json:"lease_jitter_ms,omitempty"`
	// Record keeps accepted writes.
	Record bool `json:"record,omitempty"`
}

// Counts are the numbers of calls, whether or not they were answered; a watch counts once.
type Counts struct {
	Operations map[string]int            `json:"operations"`
	Sources    map[string]map[string]int `json:"sources"`
}

// Written is an accepted write in the order of effect.
type Written struct {
	Operation string     `json:"operation"`
	Key       string     `json:"key,omitempty"`
	Value     []byte     `json:"value,omitempty"`
	Version   uint64     `json:"version,omitempty"`
	Lease     kv.LeaseID `json:"lease,omitempty"`
	Source    string     `json:"source,omitempty"`
	// Lost is true if the answer was withheld.
	Lost bool `json:"lost,omitempty"`
}

type (
	countsGet   struct{}
	writesGet   struct{}
	snapshotAsk struct{}
	restoreAsk  struct{}
	done        struct{}
	writesReply []Written
)

// Kind implements kernel.Message.
func (countsGet) Kind() string { return "store_counts_get" }

// Kind implements kernel.Message.
func (writesGet) Kind() string { return "store_writes_get" }

// Kind implements kernel.Message.
func (snapshotAsk) Kind() string { return "store_snapshot" }

// Kind implements kernel.Message.
func (restoreAsk) Kind() string { return "store_restore" }

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
		host.JSON(PathCounts, func(struct{}) kernel.Message { return countsGet{} }),
		host.JSON(PathFaults, func(f Faults) kernel.Message { return f }),
		host.JSON(PathWrites, func(struct{}) kernel.Message { return writesGet{} }),
		host.JSON(PathSnapshot, func(struct{}) kernel.Message { return snapshotAsk{} }),
		host.JSON(PathRestore, func(struct{}) kernel.Message { return restoreAsk{} }),
	}
}

func (s *State) control(e kernel.Envelope) {
	switch m := e.Body.(type) {
	case countsGet:
		e.Reply(s.counts.clone())
	case writesGet:
		e.Reply(writesReply(slices.Clone(s.writes)))
	case Faults:
		s.faults, s.random = m, newRandom(m.Seed)
		s.cutWatches()
		e.Reply(done{})
	case snapshotAsk:
		s.saved = &snapshot{entries: maps.Clone(s.entries), bound: maps.Clone(s.bound)}
		e.Reply(done{})
	case restoreAsk:
		if s.saved == nil {
			e.Fail(&host.StatusError{Status: http.StatusConflict, Body: "no snapshot was taken"})
			return
		}
		s.restore()
		e.Reply(done{})
	}
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// hidden reports whether a fault hides the store from callers in a failure domain.
func (s *State) hidden(source string) bool {
	return s.faults.Outage || slices.Contains(s.faults.Cut, source)
}

// loses reports whether the answer to the write that just took effect is lost.
func (s *State) loses() bool {
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return true
	}
	return s.faults.LoseShare > 0 && s.random.Float64() < s.faults.LoseShare
}

// jitter returns the change of one time to live.
func (s *State) jitter() time.Duration {
	j := s.faults.LeaseJitterMS
	if j <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(2*j+1)-j) * time.Millisecond
}

func (s *State) record(m call, answer kernel.Message, lost bool) {
	if !s.faults.Record || m.path == kv.PathGet {
		return
	}
	w := Written{Operation: operation(m.path), Key: m.Key, Value: m.Value, Lease: m.Lease, Source: m.Source, Lost: lost}
	switch a := answer.(type) {
	case entryAnswer:
		w.Version = a.Version
	case leaseAnswer:
		w.Lease = max(w.Lease, a.ID)
	}
	s.writes = append(s.writes, w)
}

// operation returns the name of a call in counts and records.
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

// snapshot is an earlier state of the keys.
type snapshot struct {
	entries map[string]kv.Entry
	bound   map[string]kv.LeaseID
}

// restore goes back to the snapshot. Keys return with their old versions, except those whose lease has ended.
// The revision stays, so that no version is given out twice.
func (s *State) restore() {
	before := s.entries
	s.entries, s.bound = make(map[string]kv.Entry), make(map[string]kv.LeaseID)
	for _, l := range s.leases {
		clear(l.keys)
	}
	for key, entry := range s.saved.entries {
		id, leased := s.saved.bound[key]
		l, alive := s.leases[id]
		if leased && !alive {
			continue
		}
		s.entries[key] = entry
		if leased {
			l.keys[key], s.bound[key] = true, id
		}
	}
	for key := range s.watchers {
		if before[key].Version != s.entries[key].Version {
			s.notify(key)
		}
	}
}
