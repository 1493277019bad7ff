package runtimes

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestSnapshot guards against a successor that expects something else than its predecessor.
func TestSnapshot(t *testing.T) {
	l, m := &unevenLoad{load: newLoad(0.5, 0.3)}, newModel()
	for range 600 {
		observe(m, start, l.run(l.executor()))
	}
	s := m.Snapshot()
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	next := Restore(s)
	for i := range 40 {
		id := workload.ExecutorID(fmt.Sprint("e", i))
		next.SetExecutor(id, fmt.Sprint("10.0.0.", i), "a")
		if math.Abs(math.Log(next.Pace(id)/m.Pace(id))) > 0.01 {
			t.Errorf("executor %s has pace %.3f, was %.3f", id, next.Pace(id), m.Pace(id))
		}
	}
	for range 100 {
		q := l.draw().Query
		if a, b := m.Expect(q), next.Expect(q); logError(a.Typical, b.Typical) > 0.01 || logError(a.High, b.High) > 0.02 {
			t.Errorf("expectation %+v, was %+v", b, a)
		}
	}
}

// TestSnapshotBound guards against a state that grows with its use: 3,000 machines, 60 accounts and ten queues whose
// tasks have more shapes than are kept, while executors are replaced all the time. It also guards against hosts of a
// supported fleet that displace each other. The limit is half of what the store holds in a value.
func TestSnapshotBound(t *testing.T) {
	const limit = 512 << 10
	l, m := newLoad(0.5, 0.3), New()
	for i := range 20_000 {
		o := l.draw()
		o.Queue = workload.Queue(fmt.Sprint("queue-of-usual-length-", i%10))
		o.Account = workload.Account(fmt.Sprint("account-of-usual-length-", i/7%60))
		o.Need = workload.Resources{CPU: 1 << (i % 13), Memory: 1 << (i % 17), GPU: i % 9}
		id := workload.ExecutorID(fmt.Sprintf("%016x", i/3))
		m.SetExecutor(id, fmt.Sprintf("10.0.%d.%d:54321", i%3000/250, i%250), fmt.Sprint("kind-", i/7000))
		if i > 5000 {
			m.RemoveExecutor(workload.ExecutorID(fmt.Sprintf("%016x", (i-5000)/3)))
		}
		o.Executors = []workload.ExecutorID{id}
		m.ObservePace(start.Add(time.Duration(i)*time.Millisecond), o)
		if i%4 == 0 {
			m.Observe(start.Add(time.Duration(i)*time.Millisecond), o)
		}
		if i == 6000 && (m.Hosts() != 3000 || m.EvictedHosts() != 0) {
			t.Errorf("%d hosts kept and %d evicted of 3,000 machines", m.Hosts(), m.EvictedHosts())
		}
	}
	if m.Hosts() != maxHosts || m.EvictedHosts() == 0 {
		t.Errorf("%d hosts kept and %d evicted, want %d and some", m.Hosts(), m.EvictedHosts(), maxHosts)
	}
	s := m.Snapshot()
	if err := s.Validate(); err != nil {
		t.Error(err)
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d cells, %d hosts, %d bytes", m.Cells(), m.Hosts(), len(encoded))
	if m.Cells() > maxCells || m.Hosts() > maxHosts || len(encoded) > limit {
		t.Errorf("%d cells, %d hosts, %d bytes; want at most %d, %d and %d", m.Cells(), m.Hosts(), len(encoded), maxCells, maxHosts, limit)
	}
}

// TestSnapshotOfManyQueues guards against a snapshot that the holder cannot save, because each queue adds a histogram to it,
// and against the loss of the queues and hosts that were used last.
func TestSnapshotOfManyQueues(t *testing.T) {
	for name, filler := range map[string]string{"usual names": "-of-usual-length", "long names": strings.Repeat("<", 50)} {
		m := New()
		const runs = 2 * maxHosts
		for i := range runs {
			id := workload.ExecutorID(fmt.Sprint("e", i))
			m.SetExecutor(id, fmt.Sprintf("10.0.%d.%d:54321", i%maxHosts/250, i%250), "kind"+filler)
			observe(m, start.Add(time.Duration(i)*time.Second), Observation{
				Query: Query{
					Queue: workload.Queue(fmt.Sprint("queue-", i%maxCells, filler)), Account: workload.Account(fmt.Sprint("account-", i%maxCells, filler)),
					Need: workload.Resources{CPU: 1000}, Declared: time.Duration(1+i%1000) * time.Second,
				},
				Job: workload.JobID(fmt.Sprint("j", i)), Executors: []workload.ExecutorID{id}, Elapsed: time.Duration(1+i*i%1000) * time.Second,
			})
		}
		s := m.Snapshot()
		if err := s.Validate(); err != nil {
			t.Error(err)
		}
		encoded, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d queues, %d hosts, %d bytes", name, len(s.Groups), len(s.Hosts), len(encoded))
		if len(encoded) > 512<<10 || len(encoded) < 256<<10 {
			t.Errorf("%s: %d bytes, want at most 512 KiB and at least half of it", name, len(encoded))
		}
		lastQueue, lastHost := workload.Queue(fmt.Sprint("queue-", (runs-1)%maxCells, filler)), m.paces.executors[workload.ExecutorID(fmt.Sprint("e", runs-1))]
		if !slices.ContainsFunc(s.Groups, func(g GroupState) bool { return g.Queue == lastQueue }) ||
			!slices.ContainsFunc(s.Hosts, func(h HostState) bool { return h.Address == lastHost.Address }) {
			t.Errorf("%s: queue %s or host %s is left out", name, lastQueue, lastHost.Address)
		}
	}
}

// TestUnusableSnapshot guards against a damaged or foreign snapshot that is used.
func TestUnusableSnapshot(t *testing.T) {
	l := newLoad(0.5, 0.3)
	for name, damage := range map[string]func(*Snapshot){
		"version":           func(s *Snapshot) { s.Version = 2 },
		"empty":             func(s *Snapshot) { *s = Snapshot{} },
		"not a number":      func(s *Snapshot) { s.Groups[0].Cells[0].Sums[2] = math.NaN() },
		"infinite pace":     func(s *Snapshot) { s.Hosts[0].LogPace = math.Inf(1) },
		"negative weight":   func(s *Snapshot) { s.Groups[0].Cells[0].Sums[0] = -1 },
		"large weight":      func(s *Snapshot) { s.Groups[0].Cells[0].Sums[0] = 1e6 },
		"large sum":         func(s *Snapshot) { s.Groups[0].Cells[0].Sums[1] = 1e6 },
		"short histogram":   func(s *Snapshot) { s.Groups[0].Deviations = s.Groups[0].Deviations[1:] },
		"negative share":    func(s *Snapshot) { s.Groups[0].Deviations[3] = -0.1 },
		"queue twice":       func(s *Snapshot) { s.Groups = append(s.Groups, s.Groups[0]) },
		"cell twice":        func(s *Snapshot) { s.Groups[0].Cells = append(s.Groups[0].Cells, s.Groups[0].Cells[0]) },
		"host twice":        func(s *Snapshot) { s.Hosts = append(s.Hosts, s.Hosts[0]) },
		"too many hosts":    func(s *Snapshot) { s.Hosts = slices.Repeat(s.Hosts, 100) },
		"too many accounts": func(s *Snapshot) { s.Groups[0].Cells = make([]CellState, maxCells+1) },
	} {
		m := newModel()
		l.teach(m, 100)
		s := m.Snapshot()
		damage(&s)
		if s.Validate() == nil {
			t.Errorf("%s: the snapshot is taken for valid", name)
		}
	}
}

// TestModelIsFinite guards against expectations and paces that are not finite or out of range after any sequence of
// observations, and against a snapshot that the same program refuses.
func TestModelIsFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "runs") {
			q := Query{
				Queue:    workload.Queue(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "queue")),
				Account:  workload.Account(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account")),
				Need:     workload.Resources{CPU: rapid.IntRange(-1, 1<<20).Draw(t, "cpu"), GPU: rapid.IntRange(0, 8).Draw(t, "gpu")},
				Declared: time.Duration(rapid.Int64Range(-1, math.MaxInt64).Draw(t, "declared")),
			}
			o := Observation{Query: q, Job: workload.JobID(rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "job"))}
			for range rapid.IntRange(0, 3).Draw(t, "executors") {
				n := rapid.IntRange(0, 5).Draw(t, "executor")
				id := workload.ExecutorID(fmt.Sprint(n))
				if n > 0 {
					m.SetExecutor(id, fmt.Sprint(n%4), fmt.Sprint(n%2))
				}
				o.Executors = append(o.Executors, id)
			}
			o.Elapsed = time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "elapsed"))
			o.LowerBound = rapid.Bool().Draw(t, "lower bound")
			now = now.Add(time.Duration(rapid.IntRange(-1000, 100_000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "running") {
				m.ObservePace(now, o)
			} else {
				observe(m, now, o)
			}
			e := m.Expect(q)
			if e.Low < minRunTime || e.Low > e.Typical || e.Typical > e.High || e.High > 2*maxRunTime {
				t.Fatalf("expectation %+v", e)
			}
			for id := range m.paces.executors {
				if p := m.Pace(id); !(p >= 0.1 && p <= 10) {
					t.Fatalf("pace %v", p)
				}
			}
			if left, ok := m.Remaining(q, 1, o.Elapsed); ok && left < 0 {
				t.Fatalf("remaining %v", left)
			}
		}
		s := m.Snapshot()
		if err := s.Validate(); err != nil {
			t.Fatal(err)
		}
		again := Restore(s).Snapshot()
		if a, b := fmt.Sprint(s.Groups), fmt.Sprint(again.Groups); a != b {
			t.Fatalf("snapshot of the restored model\n%s\nwant\n%s", b, a)
		}
	})
}

// TestSnapshotOfStaleCell guards against a model that refuses its own snapshot, because the weight of a cell has decayed
// to 0 by its precision while the sums of logarithms have not: those of declared times far from a second are larger.
func TestSnapshotOfStaleCell(t *testing.T) {
	m := newModel()
	run := func(i, cpu int) {
		observe(m, start.Add(time.Duration(i)*time.Second), Observation{
			Query:   Query{Queue: "q", Account: "a", Need: workload.Resources{CPU: cpu}, Declared: time.Hour},
			Job:     workload.JobID(fmt.Sprint("j", i)),
			Elapsed: time.Hour,
		})
		s := m.Snapshot()
		if err := s.Validate(); err != nil {
			t.Fatalf("after %d runs: %v", i+1, err)
		}
	}
	run(0, 1000)
	for i := range 300 {
		run(i+1, 2000)
	}
	if s := m.Snapshot(); len(s.Groups) != 1 || len(s.Groups[0].Cells) != 1 {
		t.Errorf("groups %v, want the cell of the later runs", s.Groups)
	}
}

// TestSnapshotIsValid guards against a reachable model whose snapshot the same program refuses: accounts change the shape
// of their tasks for many runs, and hosts are idle while the paces of others drift.
func TestSnapshotIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		for i := range 8 {
			m.SetExecutor(workload.ExecutorID(fmt.Sprint("e", i)), fmt.Sprint(i), "a")
		}
		job := 0
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			o := Observation{
				Query: Query{
					Queue: "q", Account: workload.Account(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")),
					Need:     workload.Resources{CPU: 1 << rapid.IntRange(0, 20).Draw(t, "cpu")},
					Declared: time.Duration(math.Exp(rapid.Float64Range(0, math.Log(math.MaxInt64/2)).Draw(t, "log declared"))),
				},
				Elapsed: time.Duration(math.Exp(rapid.Float64Range(0, math.Log(math.MaxInt64/2)).Draw(t, "log elapsed"))),
			}
			executors := rapid.IntRange(1, 8).Draw(t, "executors")
			factor := rapid.Float64Range(0.8, 1.25).Draw(t, "change of the run time")
			for range rapid.IntRange(1, 300).Draw(t, "runs") {
				job++
				o.Job = workload.JobID(fmt.Sprint(job))
				o.Executors = []workload.ExecutorID{workload.ExecutorID(fmt.Sprint("e", job%executors))}
				o.Elapsed = min(max(time.Duration(factor*float64(o.Elapsed)), time.Millisecond), maxRunTime)
				observe(m, start.Add(time.Duration(job)*time.Second), o)
			}
			s := m.Snapshot()
			if err := s.Validate(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
