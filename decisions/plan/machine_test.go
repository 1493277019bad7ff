package plan

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// machine drives two planners with equal events and checks one against the oracle after every event.
type machine struct {
	oracle
	p, twin *Planner
	now     time.Time
	next    int
	specs   map[model.JobID]model.JobSpec
	asked   map[model.JobID]bool
	// avoid holds the jobs that were queued with workers to avoid.
	avoid map[model.JobID]Waiting
	// faults permits events that may make the guarantees impossible.
	faults bool
}

func newMachine(t *rapid.T, faults bool, perRack int, policy model.Preset) *machine {
	m := &machine{
		p: New("d"), twin: New("d"), now: epoch, faults: faults,
		specs: make(map[model.JobID]model.JobSpec), asked: make(map[model.JobID]bool),
		avoid: make(map[model.JobID]Waiting),
	}
	m.domain, m.workers, m.policy = "d", workersOf(2, perRack), policy
	bound := rapid.SampledFrom([]int{1, 4, maxWork}).Draw(t, "work")
	m.each(func(p *Planner) { p.SetWorkers(m.workers); p.SetPolicy(m.policy); p.maxWork = bound })
	return m
}

func drawPolicy(t *rapid.T) model.Preset {
	n := func(hi int, name string) int { return rapid.IntRange(0, hi).Draw(t, name) }
	return model.Preset{Defragment: rapid.Bool().Draw(t, "defragment"), Accounts: map[model.AccountID]model.AccountPolicy{
		"a": {Weight: 2, Guarantees: guarantees(model.CellCount{Level: model.LevelWorker, Count: 1 + n(1, "workers a")}, model.CellCount{Level: model.LevelGPU, Count: n(2, "gpus a")})},
		"b": {Weight: 1, QuotaGPUs: 12, Guarantees: guarantees(model.CellCount{Level: model.LevelHalf, Count: n(2, "halves b")})},
		"c": {Weight: 1},
	}}
}

func (m *machine) each(f func(*Planner)) { f(m.p); f(m.twin) }

func drawSpec(t *rapid.T) model.JobSpec {
	gpus := rapid.SampledFrom([]int{0, 1, 2, 4, 8}).Draw(t, "gpus")
	return model.JobSpec{
		CoresPerTask: rapid.IntRange(0, 6).Draw(t, "cores"), MemoryMBPerTask: rapid.IntRange(0, 12).Draw(t, "memory"),
		Account:     rapid.SampledFrom([]model.AccountID{"a", "b", "c"}).Draw(t, "account"),
		Tasks:       rapid.IntRange(1, 3).Draw(t, "tasks"),
		GPUsPerTask: gpus,
		Within:      rapid.SampledFrom([]model.Level{"", model.LevelWorker, model.LevelRack}).Draw(t, "within"),
		RunTime:     time.Duration(rapid.IntRange(1, 100).Draw(t, "minutes")) * time.Minute,
		Preemptible: rapid.Bool().Draw(t, "preemptible"),
		Urgent:      rapid.IntRange(0, 5).Draw(t, "urgent") == 0,
	}
}

func (m *machine) enqueue(t *rapid.T) {
	w := Waiting{Spec: drawSpec(t)}
	if rapid.IntRange(0, 3).Draw(t, "avoids") == 0 {
		w.Avoid = []model.WorkerID{rapid.SampledFrom(m.workers).Draw(t, "avoid").ID}
		w.AvoidUntil = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "for")) * time.Minute)
	}
	m.submit(w)
}

// borrow fills the failure domain with borrowers, so that later jobs must preempt them.
func (m *machine) borrow(t *rapid.T) {
	for range 4 {
		spec := drawSpec(t)
		spec.Preemptible, spec.Urgent = true, false
		m.submit(Waiting{Spec: spec})
	}
	m.round(t)
}

func (m *machine) submit(w Waiting) {
	if m.p.Check(w.Spec) != nil {
		return
	}
	m.next++
	w.Job, w.Submitted = model.JobID(fmt.Sprintf("j%03d", m.next)), m.now
	m.specs[w.Job], m.avoid[w.Job] = w.Spec, w
	m.each(func(p *Planner) { p.Enqueue(w); p.Enqueue(w) })
}

func (m *machine) round(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pass")) * time.Minute)
	r, other := m.p.Round(m.now), m.twin.Round(m.now)
	if !reflect.DeepEqual(r, other) {
		t.Fatalf("equal inputs gave %+v and %+v", r, other)
	}
	for _, s := range r.Starts {
		if err := m.gang(m.specs[s.Job], s.Placement); err != nil {
			t.Fatalf("start of %s: %v", s.Job, err)
		}
		if w := m.avoid[s.Job]; m.now.Before(w.AvoidUntil) && slices.ContainsFunc(s.Placement, func(x model.Slot) bool { return x.Worker == w.Avoid[0] }) {
			t.Fatalf("%s starts on %s, which it avoids", s.Job, w.Avoid[0])
		}
	}
	for _, x := range r.Preempts {
		m.ask(t, x.Job, m.specs[x.For], x.For)
	}
	for _, x := range r.Moves {
		m.ask(t, x.Job, m.specs[x.For], x.For)
	}
}

func (m *machine) ask(t *rapid.T, id model.JobID, _ model.JobSpec, by model.JobID) {
	if !m.specs[id].Preemptible || m.asked[id] {
		t.Fatalf("%s must not be preempted for %s", id, by)
	}
	m.asked[id] = true
}

// pick draws a known job in a phase; empty if there is none.
func (m *machine) pick(t *rapid.T, ok func(*job) bool) model.JobID {
	ids := slices.Sorted(maps.Keys(m.p.jobs))
	ids = slices.DeleteFunc(ids, func(id model.JobID) bool { return !ok(m.p.jobs[id]) })
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(t, "job")
}

func isRunning(j *job) bool { return j.phase == running }

func (m *machine) finish(t *rapid.T) {
	id := m.pick(t, isRunning)
	m.each(func(p *Planner) { p.Finish(id, m.now); p.Finish(id, m.now) })
	m.forget(id)
}

func (m *machine) requeue(t *rapid.T) {
	id := m.pick(t, isRunning)
	m.each(func(p *Planner) { p.Requeue(id); p.Requeue(id) })
	delete(m.asked, id)
}

func (m *machine) remove(t *rapid.T) {
	id := m.pick(t, func(*job) bool { return true })
	m.each(func(p *Planner) { p.Remove(id, id, "unknown") })
	m.forget(id)
}

// obey lets a preempted job leave.
func (m *machine) obey(t *rapid.T) {
	id := m.pick(t, func(j *job) bool { return m.asked[j.Job] })
	m.each(func(p *Planner) { p.Requeue(id) })
	delete(m.asked, id)
}

func (m *machine) forget(id model.JobID) {
	delete(m.specs, id)
	delete(m.asked, id)
}

// flip changes the usability of a worker.
func (m *machine) flip(t *rapid.T) {
	if !m.faults {
		return
	}
	i := rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")
	m.workers = slices.Clone(m.workers)
	m.workers[i].Usable = !m.workers[i].Usable
	m.each(func(p *Planner) { p.SetWorkers(m.workers) })
}

// readopt moves all jobs to new planners, as after a change of the holder.
func (m *machine) readopt(*rapid.T) {
	if !m.faults {
		return
	}
	old := m.p
	m.p, m.twin = New("d"), New("d")
	m.asked = make(map[model.JobID]bool)
	m.each(func(p *Planner) {
		p.SetWorkers(m.workers)
		p.SetPolicy(m.policy)
		for _, id := range slices.Sorted(maps.Keys(old.jobs)) {
			j := old.jobs[id]
			if j.phase == running {
				p.Adopt(j.Waiting, j.placement, j.started)
				p.Adopt(j.Waiting, j.placement, j.started)
			} else {
				p.Enqueue(j.Waiting)
			}
		}
	})
}

func (m *machine) check(t *rapid.T) {
	used, err := use(m.p.jobs)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.loads(m.p.jobs); err != nil {
		t.Fatal(err)
	}
	if len(m.p.jobs) != len(m.specs) {
		t.Fatalf("%d jobs are known, want %d", len(m.p.jobs), len(m.specs))
	}
	gpus := make(map[model.AccountID]int)
	for id, spec := range m.specs {
		j := m.p.jobs[id]
		if j == nil {
			t.Fatalf("%s is lost", id)
		}
		if j.phase == running {
			gpus[spec.Account] += spec.GPUs()
		}
	}
	for a, n := range gpus {
		if q := m.policy.Accounts[a].QuotaGPUs; q > 0 && n > q {
			t.Fatalf("account %s uses %d GPUs, the quota is %d", a, n, q)
		}
	}
	m.checkHolds(t)
	if m.p.changed || (m.faults && !m.p.tracker.Reclaimable()) {
		return
	}
	if !m.packs(used) {
		t.Fatalf("the guarantees cannot be reclaimed: %v", used)
	}
}

// checkHolds fails if a job that does not leave uses accelerators that are kept for another.
func (m *machine) checkHolds(t *rapid.T) {
	kept := make(map[string]model.JobID)
	for id, h := range m.p.jobs {
		if err := m.gang(h.Spec, h.placement); h.phase == holding && !m.p.changed && err != nil {
			t.Fatalf("%s holds an impossible placement: %v", id, err)
		}
		for _, s := range h.placement {
			for i := 0; h.phase == holding && i < model.GPUsPerWorker; i++ {
				key := fmt.Sprintf("%s/%d", s.Worker, i)
				if s.GPUs&(1<<i) != 0 && kept[key] != "" {
					t.Fatalf("%s is kept for %s and %s", key, id, kept[key])
				} else if s.GPUs&(1<<i) != 0 {
					kept[key] = id
				}
			}
		}
	}
	used, _ := use(m.p.jobs)
	for key, id := range kept {
		if x, inUse := used[key]; inUse && !m.asked[x.job] {
			t.Fatalf("%s is kept for %s and used by %s", key, id, x.job)
		}
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.check, "enqueue": m.enqueue, "round": m.round, "finish": m.finish, "requeue": m.requeue,
		"remove": m.remove, "obey": m.obey, "flip": m.flip, "readopt": m.readopt, "round2": m.round, "enqueue2": m.enqueue, "borrow": m.borrow,
	}
}

// TestGuaranteesAlwaysReclaimable guards against a placement that makes a guaranteed shape unreclaimable (P1),
// a double use of an accelerator, a torn gang, an exceeded quota, a lost job and unequal outputs.
func TestGuaranteesAlwaysReclaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, false, 2, drawPolicy(t))
		t.Repeat(m.actions())
	})
}

// TestFaultsAreReported guards against the same under lost workers and changes of the holder, where an
// impossible guarantee must be reported as a shortfall.
func TestFaultsAreReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, true, 2, drawPolicy(t))
		t.Repeat(m.actions())
	})
}

// TestGuaranteedRackStaysWhole guards against small jobs that break the last rack of a guarantee.
func TestGuaranteedRackStaysWhole(t *testing.T) {
	policy := model.Preset{Accounts: map[model.AccountID]model.AccountPolicy{
		"a": {Guarantees: guarantees(model.CellCount{Level: model.LevelRack, Count: 1})},
		"b": {Guarantees: guarantees(model.CellCount{Level: model.LevelWorker, Count: 7})}, "c": {},
	}}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, false, model.WorkersPerRack, policy)
		t.Repeat(m.actions())
	})
}
