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

// phase is the scheduling phase of a job.
type phase uint8

const (
	waiting phase = iota
	// holding means that slots are reserved for the job and it waits for evicted jobs to leave them.
	holding
	running
)

// job is a job in any phase.
type job struct {
	QueuedJob
	phase  phase
	bucket *bucket
	// rankTime orders the waiting jobs of a bucket, the earliest first.
	rankTime  time.Time
	placement model.Placement
	// slots holds the slots of the placement that lie on known workers.
	slots   []cell.Slot
	started time.Time
	// protected is true if the job is recorded in the guarantee tracker, so that no other account can reclaim its
	// accelerators.
	protected bool
	// pendingEvictions is the number of evicted jobs that must stop before a holding job can start.
	pendingEvictions int
	// evictedFor is the holding job for which the job is preempted or migrated. evicting is true until the job has
	// stopped, also if the holding job no longer exists.
	evictedFor    *job
	evicting      bool
	migrations    int
	lastMigration time.Time
}

// account is the state of one client account: policy, resources in use and jobs.
type account struct {
	policy           model.AccountPolicy
	gpus, cores, mem int
	waitingCount     int
	correction       queue.RunTimeCorrection
	// running lists the running jobs in order of their start.
	running []*job
	// coveredVersion is the planner version at which coverRunningJobs last ran for the account.
	coveredVersion uint64
}

// Planner schedules the jobs of one failure domain. It is not safe for concurrent use.
type Planner struct {
	domain       model.FailureDomain
	opts         Options
	policy       model.Preset
	totalWeight  int
	accounts     map[model.AccountID]*account
	jobs         map[model.JobID]*job
	buckets      []*bucket
	byClass      map[class]*bucket
	workers      []Worker
	needsRebuild bool
	// version is incremented whenever a job that did not fit may fit now, so that failed searches are repeated.
	version uint64
	topo    *cell.Topology
	// workerInfo holds the workers by their index in topo.
	workerInfo []Worker
	// totals holds the accelerators, cores and memory of all workers.
	totals [3]int
	usage  []usage
	// runningOn lists the running jobs of each worker, with one entry per task.
	runningOn [][]*job
	// minLeftForGPUTasks is the least cores and the least memory that tasks without accelerators leave on any worker.
	minLeftForGPUTasks load
	gpuOwner           [][model.GPUsPerWorker]*job
	reservedGPUs       []model.GPUMask
	free               *cell.Inventory
	freeOrPreemptible  *cell.Inventory
	tracker            *guarantee.Tracker
	holdingJobs        []*job
	// avoidingJobs lists the jobs that were enqueued with workers to avoid.
	avoidingJobs      []*job
	activeReservation *reservation
	// tentativeGPUs marks the accelerators that the search in progress has picked.
	tentativeGPUs []model.GPUMask
	candidateBuf  []candidate
	// failedSearches holds the keys of the searches that failed at version failedSearchesVersion.
	failedSearches        map[searchKey]bool
	failedSearchesVersion uint64
	// emptyDomain is a planner with the same policy and all workers usable and idle. It serves everFits.
	emptyDomain *Planner
	// triedJobs counts the jobs that the current round has tried to place.
	triedJobs    int
	maxTriedJobs int
	fitsByClass  map[class]bool
}

// New returns a planner of one failure domain with default options, without workers and policy.
func New(domain model.FailureDomain) *Planner { return NewWithOptions(domain, Options{}) }

// NewWithOptions returns a planner like New, with other options than the defaults.
func NewWithOptions(domain model.FailureDomain, o Options) *Planner {
	p := &Planner{
		domain: domain, opts: o, accounts: make(map[model.AccountID]*account),
		jobs: make(map[model.JobID]*job), byClass: make(map[class]*bucket),
		topo: cell.NewTopology(nil), needsRebuild: true, maxTriedJobs: maxTriedJobs,
	}
	p.rebuild()
	return p
}

// SetWorkers replaces the known workers. A job on a worker that is no longer known stays recorded as running until the
// caller reports its end. The change takes effect in the next round.
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
	p.needsRebuild = true
	if !same {
		p.topo, p.emptyDomain, p.fitsByClass = nil, nil, nil
	}
}

// SetPolicy replaces the accounts' guarantees, weights and limits. The change takes effect in the next round.
func (p *Planner) SetPolicy(policy model.Preset) {
	p.policy = policy
	p.needsRebuild, p.emptyDomain, p.fitsByClass = true, nil, nil
}

// rebuild applies changes of workers and policy: it builds empty inventories and an empty tracker and records all
// running and holding jobs again, in order of their start. Non-preemptible jobs come before preemptible ones, so that
// the guarantees cover them first. Holding jobs come before the non-preemptible ones that were outside the guarantee:
// otherwise those would take the guaranteed cells of a holding job whose victims are already stopping, and its hold
// would be cancelled.
func (p *Planner) rebuild() {
	if !p.needsRebuild {
		return
	}
	p.needsRebuild = false
	p.version++
	covered := p.coveredJobs()
	p.rebuildTopology()
	p.rebuildGuarantees()
	for _, a := range p.accounts {
		a.gpus, a.cores, a.mem = 0, 0, 0
		a.running = nil
	}
	placed := p.placedJobs()
	for _, j := range placed {
		p.allocate(j)
	}
	p.restoreAllProtected(placed, func(j *job) bool { return covered[j] })
	holdingJobs := p.holdingJobs
	p.holdingJobs = nil
	for _, j := range holdingJobs {
		p.restoreHold(j)
	}
	p.restoreAllProtected(placed, func(j *job) bool { return !covered[j] && !j.Spec.Preemptible })
	p.restoreAllProtected(placed, func(j *job) bool { return j.Spec.Preemptible })
	if p.activeReservation != nil && !p.activeReservation.valid(p) {
		p.activeReservation = nil
	}
}

// coveredJobs returns the non-preemptible running jobs that lie entirely within the guarantee of their account.
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

// restoreAllProtected records those protected jobs again for which include returns true.
func (p *Planner) restoreAllProtected(placed []*job, include func(*job) bool) {
	for _, j := range placed {
		if j.protected && include(j) {
			p.restoreProtected(j)
		}
	}
}

// rebuildTopology builds empty inventories for the current workers.
func (p *Planner) rebuildTopology() {
	if p.topo == nil {
		cs := make([]cell.WorkerLocation, len(p.workers))
		for i, w := range p.workers {
			cs[i] = cell.WorkerLocation{ID: w.ID, Rack: w.Rack}
		}
		p.topo, p.activeReservation = cell.NewTopology(cs), nil
	}
	n := p.topo.NumWorkers()
	p.workerInfo = make([]Worker, n)
	p.totals = [3]int{n * model.GPUsPerWorker}
	for _, w := range p.workers {
		if i, ok := p.topo.WorkerIndex(w.ID); ok {
			p.workerInfo[i] = w
			p.totals[1] += w.Cores
			p.totals[2] += w.MemoryMB
		}
	}
	p.usage, p.runningOn, p.minLeftForGPUTasks = make([]usage, n), make([][]*job, n), smallestRemainder(p.workerInfo)
	p.gpuOwner, p.reservedGPUs = make([][model.GPUsPerWorker]*job, n), make([]model.GPUMask, n)
	p.tentativeGPUs = make([]model.GPUMask, n)
	p.free, p.freeOrPreemptible = cell.NewInventory(p.topo), cell.NewInventory(p.topo)
	for w := range n {
		p.refresh(w)
	}
}

// rebuildGuarantees reads the accounts' policies and builds an empty guarantee tracker.
func (p *Planner) rebuildGuarantees() {
	p.totalWeight = 0
	counts := make(map[model.AccountID]guarantee.CellCounts)
	for _, a := range p.accounts {
		a.policy = model.AccountPolicy{}
	}
	for id, pol := range p.policy.Accounts {
		p.account(id).policy = pol
		p.totalWeight += max(1, pol.Weight)
		if c := guarantee.CountCells(pol.Guarantees, p.domain, p.topo.NumWorkers()); c != (guarantee.CellCounts{}) {
			counts[id] = c
		}
	}
	usable := make([]bool, len(p.workerInfo))
	for i, w := range p.workerInfo {
		usable[i] = w.Usable
	}
	p.tracker = guarantee.New(p.topo, usable, counts)
}

// placedJobs returns the running jobs, non-preemptible ones first, then in order of their start, and recomputes their
// slots.
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

// restoreProtected records a protected job in the tracker again. Recording a task within the guarantee never increases
// the deficit. A preemptible job that the guarantee no longer covers becomes a borrower.
func (p *Planner) restoreProtected(j *job) {
	if !j.Spec.Preemptible {
		for _, s := range j.slots {
			p.tracker.Release(s)
			p.tracker.ForceRecord(j.Spec.Account, s)
		}
		p.refreshAll(j.slots)
		return
	}
	j.protected = false
	p.tryCover(j)
}

// tryCover records a running preemptible job as protected if the guarantee of its account covers all its slots.
func (p *Planner) tryCover(j *job) bool {
	if j.Spec.GPUsPerTask == 0 {
		return false
	}
	for i, s := range j.slots {
		if !p.tracker.TryRecord(j.Spec.Account, s, true) {
			for _, done := range j.slots[:i] {
				p.tracker.Release(done)
			}
			return false
		}
	}
	j.protected = true
	p.refreshAll(j.slots)
	return true
}

// restoreHold reserves the slots of a holding job again, or returns the job to the queue if they are no longer
// available to it.
func (p *Planner) restoreHold(j *job) {
	j.slots = p.slotsOf(j.placement)
	ok := len(j.slots) == len(j.placement)
	for _, s := range j.slots {
		ok = ok && p.workerInfo[s.Worker].Usable
	}
	if ok && j.protected {
		ok = p.recordProtected(j)
	}
	if !ok {
		j.protected = false
		p.cancelHold(j)
		p.addToBucket(j)
		return
	}
	p.holdingJobs = append(p.holdingJobs, j)
	p.reserve(j)
}

// recordProtected records all slots of a job in the tracker, or none of them. A preemptible job is recorded only within
// its guarantee.
func (p *Planner) recordProtected(j *job) bool {
	for i, s := range j.slots {
		if !p.tracker.TryRecord(j.Spec.Account, s, j.Spec.Preemptible) {
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
		if w, ok := p.topo.WorkerIndex(s.Worker); ok {
			out = append(out, cell.Slot{Worker: w, GPUs: s.GPUs})
		}
	}
	return out
}
