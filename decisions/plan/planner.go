package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
	"github.com/verbenaflow/verbenaflow/decisions/guarantee"
	"github.com/verbenaflow/verbenaflow/decisions/queue"
)

// phase is the phase of a job in the planner.
type phase uint8

const (
	waiting phase = iota
	// holding means that the job's accelerators are reserved and not all free yet.
	holding
	running
)

// job is a job that waits, holds or runs.
type job struct {
	Waiting
	phase  phase
	bucket *bucket
	// rank orders the waiting jobs of a bucket.
	rank      time.Time
	placement model.Placement
	// slots holds the slots of the placement on known workers.
	slots   []cell.Slot
	started time.Time
	// fixed is true if the job is recorded in the guarantee tracker: no other account reclaims it.
	fixed bool
	// pending counts the jobs that must leave before a holding job starts.
	pending int
	// leavesFor is the holding job that the job leaves for; leaving stays true if that one is gone.
	leavesFor *job
	leaving   bool
	moves     int
	lastMove  time.Time
}

// account is what the planner knows of a client account.
type account struct {
	policy           model.AccountPolicy
	gpus, cores, mem int
	waiting          int
	correction       queue.Correction
	// running lists the running jobs in their order of start.
	running []*job
	// recharged is the version at which borrowers were last charged to the guarantee.
	recharged uint64
}

// Planner holds the accelerators and the queue of one failure domain.
type Planner struct {
	domain   model.FailureDomain
	opts     Options
	policy   model.Preset
	weights  int
	accounts map[model.AccountID]*account
	jobs     map[model.JobID]*job
	buckets  []*bucket
	byClass  map[class]*bucket
	workers  []Worker
	changed  bool
	version  uint64
	topo     *cell.Topology
	info     []Worker
	totals   [3]int
	usage    []usage
	// on lists the running jobs of each worker, one entry per task.
	on [][]*job
	// least is the least load that tasks without accelerators leave on a worker.
	least    load
	owner    [][model.GPUsPerWorker]*job
	reserved []model.GPUMask
	free     *cell.Inventory
	takeable *cell.Inventory
	tracker  *guarantee.Tracker
	holds    []*job
	// avoiding lists the jobs that were queued with workers to avoid.
	avoiding   []*job
	res        *reservation
	scratch    []model.GPUMask
	candidates []candidate
	// attempts holds the searches that failed at the version attemptsOf.
	attempts   map[attempt]bool
	attemptsOf uint64
	probe      *Planner
	// work counts the jobs that the current round tried.
	work    int
	maxWork int
	fits    map[class]bool
}

// New returns a planner of one failure domain, without workers and policy.
func New(domain model.FailureDomain) *Planner { return NewWith(domain, Options{}) }

// NewWith returns a planner with other policies than the measured better ones.
func NewWith(domain model.FailureDomain, o Options) *Planner {
	p := &Planner{
		domain: domain, opts: o, accounts: make(map[model.AccountID]*account),
		jobs: make(map[model.JobID]*job), byClass: make(map[class]*bucket),
		topo: cell.NewTopology(nil), changed: true, maxWork: maxWork,
	}
	p.settle()
	return p
}

// SetWorkers replaces the known workers. A job that runs on a worker that is no longer known stays until
// the caller reports its end. The change takes effect in the next round.
func (p *Planner) SetWorkers(ws []Worker) {
	if slices.Equal(p.workers, ws) {
		return
	}
	same := len(ws) == len(p.workers)
	for i := range ws {
		same = same && ws[i].ID == p.workers[i].ID && ws[i].Rack == p.workers[i].Rack &&
			ws[i].Cores == p.workers[i].Cores && ws[i].MemoryMB == p.workers[i].MemoryMB
	}
	p.workers = slices.Clone(ws)
	p.changed = true
	if !same {
		p.topo, p.probe, p.fits = nil, nil, nil
	}
}

// SetPolicy replaces the accounts' rights and limits. The change takes effect in the next round.
func (p *Planner) SetPolicy(policy model.Preset) {
	p.policy = policy
	p.changed, p.probe, p.fits = true, nil, nil
}

// settle applies changes of workers and policy: it records all placed jobs anew in their order of start.
// Non-preemptible jobs come first, so that the guarantees cover them before preemptible ones. Holding jobs
// come before non-preemptible ones that were outside the guarantee: else those would take the cells of a hold
// whose victims are already stopping, and the hold would be dropped.
func (p *Planner) settle() {
	if !p.changed {
		return
	}
	p.changed = false
	p.version++
	covered := p.coveredJobs()
	p.settleTopology()
	p.settlePolicy()
	for _, a := range p.accounts {
		a.gpus, a.cores, a.mem = 0, 0, 0
		a.running = nil
	}
	placed := p.placedJobs()
	for _, j := range placed {
		p.occupy(j)
	}
	p.recoverAll(placed, func(j *job) bool { return covered[j] })
	holds := p.holds
	p.holds = nil
	for _, j := range holds {
		p.restoreHold(j)
	}
	p.recoverAll(placed, func(j *job) bool { return !covered[j] && !j.Spec.Preemptible })
	p.recoverAll(placed, func(j *job) bool { return j.Spec.Preemptible })
	if p.res != nil && !p.res.valid(p) {
		p.res = nil
	}
}

// coveredJobs returns the non-preemptible running jobs that lie within the guarantee of their account.
func (p *Planner) coveredJobs() map[*job]bool {
	out := make(map[*job]bool)
	for _, j := range p.jobs {
		if j.phase == running && !j.Spec.Preemptible && !slices.ContainsFunc(j.slots, func(s cell.Slot) bool {
			return !p.tracker.Covers(j.Spec.Account, s)
		}) {
			out[j] = true
		}
	}
	return out
}

// recoverAll records the chosen fixed jobs anew.
func (p *Planner) recoverAll(placed []*job, chosen func(*job) bool) {
	for _, j := range placed {
		if j.fixed && chosen(j) {
			p.recover(j)
		}
	}
}

// settleTopology builds empty inventories for the current workers.
func (p *Planner) settleTopology() {
	if p.topo == nil {
		cs := make([]cell.Worker, len(p.workers))
		for i, w := range p.workers {
			cs[i] = cell.Worker{ID: w.ID, Rack: w.Rack}
		}
		p.topo, p.res = cell.NewTopology(cs), nil
	}
	n := p.topo.Workers()
	p.info = make([]Worker, n)
	p.totals = [3]int{n * model.GPUsPerWorker}
	for _, w := range p.workers {
		if i, ok := p.topo.Index(w.ID); ok {
			p.info[i] = w
			p.totals[1] += w.Cores
			p.totals[2] += w.MemoryMB
		}
	}
	p.usage, p.on, p.least = make([]usage, n), make([][]*job, n), leastLeft(p.info)
	p.owner, p.reserved = make([][model.GPUsPerWorker]*job, n), make([]model.GPUMask, n)
	p.scratch = make([]model.GPUMask, n)
	p.free, p.takeable = cell.NewInventory(p.topo), cell.NewInventory(p.topo)
	for w := range n {
		p.refresh(w)
	}
}

// settlePolicy reads the accounts' rights and builds an empty tracker.
func (p *Planner) settlePolicy() {
	p.weights = 0
	counts := make(map[model.AccountID]guarantee.Counts)
	for _, a := range p.accounts {
		a.policy = model.AccountPolicy{}
	}
	for id, pol := range p.policy.Accounts {
		p.account(id).policy = pol
		p.weights += max(1, pol.Weight)
		if c := guarantee.CountsOf(pol.Guarantees, p.domain, p.topo.Workers()); c != (guarantee.Counts{}) {
			counts[id] = c
		}
	}
	usable := make([]bool, len(p.info))
	for i, w := range p.info {
		usable[i] = w.Usable
	}
	p.tracker = guarantee.New(p.topo, usable, counts)
}

func (p *Planner) placedJobs() []*job {
	placed := slices.Collect(maps.Values(p.jobs))
	placed = slices.DeleteFunc(placed, func(j *job) bool { return j.phase != running })
	slices.SortFunc(placed, func(a, b *job) int {
		if a.Spec.Preemptible != b.Spec.Preemptible {
			if b.Spec.Preemptible {
				return -1
			}
			return 1
		}
		return cmp.Or(a.started.Compare(b.started), cmp.Compare(a.Job, b.Job))
	})
	for _, j := range placed {
		j.slots = p.slotsOf(j.placement)
	}
	return placed
}

// recover records a fixed job anew. Covering a task never increases the deficit. A preemptible job that is no
// longer covered becomes a borrower.
func (p *Planner) recover(j *job) {
	if !j.Spec.Preemptible {
		for _, s := range j.slots {
			p.tracker.Release(s)
			p.tracker.Force(j.Spec.Account, s)
		}
		p.refreshAll(j.slots)
		return
	}
	j.fixed = false
	p.charge(j)
}

// charge records a running preemptible job against the guarantee of its account, if that covers it.
func (p *Planner) charge(j *job) bool {
	if j.Spec.GPUsPerTask == 0 {
		return false
	}
	for i, s := range j.slots {
		if !p.tracker.Allows(j.Spec.Account, s, true) {
			for _, done := range j.slots[:i] {
				p.tracker.Release(done)
			}
			return false
		}
	}
	j.fixed = true
	p.refreshAll(j.slots)
	return true
}

// restoreHold records a holding job anew, or returns it to the queue if its accelerators are gone.
func (p *Planner) restoreHold(j *job) {
	j.slots = p.slotsOf(j.placement)
	ok := len(j.slots) == len(j.placement)
	for _, s := range j.slots {
		ok = ok && p.info[s.Worker].Usable
	}
	if ok && j.fixed {
		ok = p.recordFixed(j)
	}
	if !ok {
		j.fixed = false
		p.dropHold(j)
		p.queueJob(j)
		return
	}
	p.holds = append(p.holds, j)
	p.reserve(j)
}

// recordFixed records all slots of a job in the tracker, or none.
func (p *Planner) recordFixed(j *job) bool {
	for i, s := range j.slots {
		if !p.tracker.Allows(j.Spec.Account, s, j.Spec.Preemptible) {
			for _, done := range j.slots[:i] {
				p.tracker.Release(done)
			}
			return false
		}
	}
	return true
}

func (p *Planner) account(id model.AccountID) *account {
	a := p.accounts[id]
	if a == nil {
		a = &account{}
		p.accounts[id] = a
	}
	return a
}

func (p *Planner) slotsOf(pl model.Placement) []cell.Slot {
	out := make([]cell.Slot, 0, len(pl))
	for _, s := range pl {
		if w, ok := p.topo.Index(s.Worker); ok {
			out = append(out, cell.Slot{Worker: w, GPUs: s.GPUs})
		}
	}
	return out
}
