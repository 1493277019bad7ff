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

// machine is a rapid state machine. It applies the same events to two planners, requires equal results of both and
// checks one of them against the oracle after every event.
type machine struct {
	oracle
	p, replica *Planner
	now        time.Time
	nextID     int
	specs      map[model.JobID]model.JobSpec
	evicted    map[model.JobID]bool
	// submitted holds the jobs as they were enqueued.
	submitted map[model.JobID]QueuedJob
	// allowFaults permits events after which the guarantees may be impossible to meet.
	allowFaults bool
}

func newMachine(t *rapid.T, allowFaults bool, perRack int, policy model.Preset) *machine {
	m := &machine{
		p: New("d"), replica: New("d"), now: epoch, allowFaults: allowFaults,
		specs: make(map[model.JobID]model.JobSpec), evicted: make(map[model.JobID]bool),
		submitted: make(map[model.JobID]QueuedJob),
	}
	m.domain, m.workers, m.policy = "d", workersOf(2, perRack), policy
	bound := rapid.SampledFrom([]int{1, 4, maxTriedJobs}).Draw(t, "work")
	m.forBoth(func(p *Planner) { p.SetWorkers(m.workers); p.SetPolicy(m.policy); p.maxTriedJobs = bound })
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

func (m *machine) forBoth(f func(*Planner)) { f(m.p); f(m.replica) }

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
	queued := QueuedJob{Spec: drawSpec(t)}
	if rapid.IntRange(0, 3).Draw(t, "avoids") == 0 {
		queued.AvoidWorkers = []model.WorkerID{rapid.SampledFrom(m.workers).Draw(t, "avoid").ID}
		queued.AvoidUntil = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "for")) * time.Minute)
	}
	m.submit(queued)
}

// enqueueBorrowers fills the failure domain with preemptible jobs, so that later jobs must preempt some of them.
func (m *machine) enqueueBorrowers(t *rapid.T) {
	for range 4 {
		spec := drawSpec(t)
		spec.Preemptible, spec.Urgent = true, false
		m.submit(QueuedJob{Spec: spec})
	}
	m.round(t)
}

func (m *machine) submit(queued QueuedJob) {
	if m.p.CheckAdmission(queued.Spec) != nil {
		return
	}
	m.nextID++
	queued.Job, queued.Submitted = model.JobID(fmt.Sprintf("j%03d", m.nextID)), m.now
	m.specs[queued.Job], m.submitted[queued.Job] = queued.Spec, queued
	m.forBoth(func(p *Planner) { p.Enqueue(queued); p.Enqueue(queued) })
}

func (m *machine) round(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pass")) * time.Minute)
	r, other := m.p.Round(m.now), m.replica.Round(m.now)
	if !reflect.DeepEqual(r, other) {
		t.Fatalf("equal inputs gave %+v and %+v", r, other)
	}
	for _, s := range r.Starts {
		if err := m.checkPlacement(m.specs[s.Job], s.Placement); err != nil {
			t.Fatalf("start of %s: %v", s.Job, err)
		}
		if queued := m.submitted[s.Job]; m.now.Before(queued.AvoidUntil) && slices.ContainsFunc(s.Placement, func(x model.Slot) bool { return x.Worker == queued.AvoidWorkers[0] }) {
			t.Fatalf("%s starts on %s, which it avoids", s.Job, queued.AvoidWorkers[0])
		}
	}
	for _, x := range r.Preemptions {
		m.recordEviction(t, x.Job, m.specs[x.ForJob], x.ForJob)
	}
	for _, x := range r.Migrations {
		m.recordEviction(t, x.Job, m.specs[x.ForJob], x.ForJob)
	}
}

func (m *machine) recordEviction(t *rapid.T, id model.JobID, _ model.JobSpec, by model.JobID) {
	if !m.specs[id].Preemptible || m.evicted[id] {
		t.Fatalf("%s must not be preempted for %s", id, by)
	}
	m.evicted[id] = true
}

// drawJob draws a known job that satisfies ok; empty if there is none.
func (m *machine) drawJob(t *rapid.T, ok func(*job) bool) model.JobID {
	ids := slices.Sorted(maps.Keys(m.p.jobs))
	ids = slices.DeleteFunc(ids, func(id model.JobID) bool { return !ok(m.p.jobs[id]) })
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(t, "job")
}

func isRunning(j *job) bool { return j.phase == running }

func (m *machine) finish(t *rapid.T) {
	id := m.drawJob(t, isRunning)
	m.forBoth(func(p *Planner) { p.Finish(id, m.now); p.Finish(id, m.now) })
	m.deleteJob(id)
}

func (m *machine) requeue(t *rapid.T) {
	id := m.drawJob(t, isRunning)
	m.forBoth(func(p *Planner) { p.Requeue(id); p.Requeue(id) })
	delete(m.evicted, id)
}

func (m *machine) remove(t *rapid.T) {
	id := m.drawJob(t, func(*job) bool { return true })
	m.forBoth(func(p *Planner) { p.Remove(id, id, "unknown") })
	m.deleteJob(id)
}

// requeueEvicted reports that an evicted job has stopped.
func (m *machine) requeueEvicted(t *rapid.T) {
	id := m.drawJob(t, func(j *job) bool { return m.evicted[j.Job] })
	m.forBoth(func(p *Planner) { p.Requeue(id) })
	delete(m.evicted, id)
}

func (m *machine) deleteJob(id model.JobID) {
	delete(m.specs, id)
	delete(m.evicted, id)
}

// toggleUsable makes a usable worker unusable or the reverse.
func (m *machine) toggleUsable(t *rapid.T) {
	if !m.allowFaults {
		return
	}
	i := rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")
	m.workers = slices.Clone(m.workers)
	m.workers[i].Usable = !m.workers[i].Usable
	m.forBoth(func(p *Planner) { p.SetWorkers(m.workers) })
}

// failOver rebuilds the state of all jobs in new planners, as a new holder of the failure domain does.
func (m *machine) failOver(*rapid.T) {
	if !m.allowFaults {
		return
	}
	old := m.p
	m.p, m.replica = New("d"), New("d")
	m.evicted = make(map[model.JobID]bool)
	m.forBoth(func(p *Planner) {
		p.SetWorkers(m.workers)
		p.SetPolicy(m.policy)
		for _, id := range slices.Sorted(maps.Keys(old.jobs)) {
			j := old.jobs[id]
			if j.phase == running {
				p.Adopt(j.QueuedJob, j.placement, j.started)
				p.Adopt(j.QueuedJob, j.placement, j.started)
			} else {
				p.Enqueue(j.QueuedJob)
			}
		}
	})
}

func (m *machine) check(t *rapid.T) {
	used, err := gpusInUse(m.p.jobs)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.checkLoads(m.p.jobs); err != nil {
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
	if m.p.needsRebuild || (m.allowFaults && !m.p.tracker.Reclaimable()) {
		return
	}
	if !m.guaranteesFit(used) {
		t.Fatalf("the guarantees cannot be reclaimed: %v", used)
	}
}

// checkHolds fails if accelerators reserved for a holding job are also reserved for another or used by a job that is
// not being evicted.
func (m *machine) checkHolds(t *rapid.T) {
	reservedFor := make(map[string]model.JobID)
	for id, h := range m.p.jobs {
		if err := m.checkPlacement(h.Spec, h.placement); h.phase == holding && !m.p.needsRebuild && err != nil {
			t.Fatalf("%s holds an invalid placement: %v", id, err)
		}
		for _, s := range h.placement {
			for i := 0; h.phase == holding && i < model.GPUsPerWorker; i++ {
				key := fmt.Sprintf("%s/%d", s.Worker, i)
				if s.GPUs&(1<<i) != 0 && reservedFor[key] != "" {
					t.Fatalf("%s is reserved for %s and %s", key, id, reservedFor[key])
				} else if s.GPUs&(1<<i) != 0 {
					reservedFor[key] = id
				}
			}
		}
	}
	used, _ := gpusInUse(m.p.jobs)
	for key, id := range reservedFor {
		if x, inUse := used[key]; inUse && !m.evicted[x.job] {
			t.Fatalf("%s is reserved for %s and used by %s", key, id, x.job)
		}
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.check, "enqueue": m.enqueue, "round": m.round, "finish": m.finish, "requeue": m.requeue,
		"remove": m.remove, "obey": m.requeueEvicted, "flip": m.toggleUsable, "readopt": m.failOver, "round2": m.round, "enqueue2": m.enqueue, "borrow": m.enqueueBorrowers,
	}
}

// TestGuaranteesAlwaysReclaimable guards against a placement after which guaranteed cells cannot be reclaimed (promise
// P1), against two jobs on one accelerator, a partial gang, an exceeded quota, a lost job and nondeterministic results.
func TestGuaranteesAlwaysReclaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, false, 2, drawPolicy(t))
		t.Repeat(m.actions())
	})
}

// TestFaultsAreReported guards against the same failures while workers are lost and the holder changes, where a
// guarantee that cannot be met must be reported as a shortfall.
func TestFaultsAreReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, true, 2, drawPolicy(t))
		t.Repeat(m.actions())
	})
}

// TestGuaranteedRackStaysWhole guards against small jobs that occupy part of the last rack that a guarantee needs.
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
