package plan

import (
	"cmp"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
)

// cpuShareDivisor limits the tasks without accelerators to 1/cpuShareDivisor of a worker's cores and memory. The rest
// is left to tasks with accelerators, so that no accelerator is idle for lack of cores or memory. Half of 30 cores is
// room for 15 tasks of one core next to 8 tasks with accelerators.
const cpuShareDivisor = 2

// load is an amount of cores and memory in MB.
type load struct{ cores, mem int }

func (l load) plus(o load, n int) load { return load{l.cores + n*o.cores, l.mem + n*o.mem} }

// within reports whether the load fits into total. A resource of total 0 is unknown and not checked.
func (l load) within(total load) bool {
	return (total.cores == 0 || l.cores <= total.cores) && (total.mem == 0 || l.mem <= total.mem)
}

func loadOf(s model.JobSpec) load { return load{s.CoresPerTask, s.MemoryMBPerTask} }

func (w Worker) total() load { return load{w.Cores, w.MemoryMB} }

// cpuOnlyShare returns the share of a total that tasks without accelerators may use. It is at least 1 for a known
// resource, because 0 means unknown.
func (l load) cpuOnlyShare() load {
	out := load{l.cores / cpuShareDivisor, l.mem / cpuShareDivisor}
	if l.cores > 0 {
		out.cores = max(1, out.cores)
	}
	if l.mem > 0 {
		out.mem = max(1, out.mem)
	}
	return out
}

// usage is the load of a worker by all tasks and by the tasks without accelerators. It includes the tasks of holding
// jobs.
type usage struct{ allTasks, cpuOnlyTasks load }

func (u usage) plus(j *job, n int) usage {
	l := loadOf(j.Spec)
	u.allTasks = u.allTasks.plus(l, n)
	if j.Spec.GPUsPerTask == 0 {
		u.cpuOnlyTasks = u.cpuOnlyTasks.plus(l, n)
	}
	return u
}

// fits reports whether a worker can carry the usage, to which job j has been added. The share for tasks without
// accelerators is checked only if j needs none.
func (u usage) fits(j *job, w Worker) bool {
	return u.allTasks.within(w.total()) && (j.Spec.GPUsPerTask > 0 || u.cpuOnlyTasks.within(w.total().cpuOnlyShare()))
}

// fittingTasks returns how many tasks of load l fit into what used leaves of total, at most limit.
func fittingTasks(l, total, used load, limit int) int {
	if l.cores > 0 && total.cores > 0 {
		limit = min(limit, (total.cores-used.cores)/l.cores)
	}
	if l.mem > 0 && total.mem > 0 {
		limit = min(limit, (total.mem-used.mem)/l.mem)
	}
	return max(0, limit)
}

// exceedsGPUShare reports whether a task needs more cores or memory, in proportion to its accelerators, than tasks
// without accelerators leave on a worker. Such a job may have to wait for those tasks, too.
func (p *Planner) exceedsGPUShare(c class) bool {
	const n = model.GPUsPerWorker
	return c.gpus > 0 && !load{c.cores * n, c.mem * n}.within(load{c.gpus * p.minLeftForGPUTasks.cores, c.gpus * p.minLeftForGPUTasks.mem})
}

// smallestRemainder returns the least cores and the least memory that tasks without accelerators leave on any worker
// of known capacity.
func smallestRemainder(ws []Worker) load {
	var out load
	for _, w := range ws {
		left := w.total().plus(w.total().cpuOnlyShare(), -1)
		if left.cores > 0 && (out.cores == 0 || left.cores < out.cores) {
			out.cores = left.cores
		}
		if left.mem > 0 && (out.mem == 0 || left.mem < out.mem) {
			out.mem = left.mem
		}
	}
	return out
}

// mayPreempt reports whether the search may preempt a running job.
func (s *search) mayPreempt(o *job) bool {
	return o.isBorrower() && (s.withinGuarantee || !s.j.Spec.Urgent || !o.Spec.Urgent)
}

// unpreemptibleUsage returns the usage of a worker without the jobs that the search may preempt.
func (s *search) unpreemptibleUsage(w int) usage {
	u := s.p.usage[w]
	if !s.preempt || s.onlyWorkers != nil {
		return u
	}
	for _, o := range s.p.runningOn[w] {
		if s.mayPreempt(o) {
			u = u.plus(o, -1)
		}
	}
	return u
}

// hostCapacity returns how many tasks of the gang the worker's cores and memory permit.
func (s *search) hostCapacity(w int) int {
	spec, total := s.j.Spec, s.p.workerInfo[w].total()
	l := loadOf(spec)
	if spec.GPUsPerTask > 0 {
		if l == (load{}) {
			return model.GPUsPerWorker
		}
		return fittingTasks(l, total, s.unpreemptibleUsage(w).allTasks, model.GPUsPerWorker)
	}
	if total.cores == 0 || !s.p.workerInfo[w].Usable || s.excluded(w) {
		return 0
	}
	u := s.unpreemptibleUsage(w)
	return fittingTasks(l, total.cpuOnlyShare(), u.cpuOnlyTasks, fittingTasks(l, total, u.allTasks, spec.Tasks))
}

// findCPUOnlySlots places a gang without accelerators within its cell. Workers with the fewest free accelerators come
// first, then those with the smallest fraction of free cores, so that other workers keep their cores for tasks with
// accelerators.
func (s *search) findCPUOnlySlots() bool {
	spec := s.j.Spec
	all := s.p.candidateBuf[:0]
	defer func() { s.p.candidateBuf = all[:0] }()
	smallest := 0
	for _, ws := range s.p.topo.Racks {
		start := len(all)
		all = s.cpuOnlyCandidates(all, ws)
		if spec.Within != model.LevelRack {
			continue
		}
		switch n := totalCapacity(all[start:]); {
		case n < spec.Tasks || (smallest > 0 && n >= smallest):
			all = all[:start]
		default:
			all = all[:copy(all, all[start:])]
			smallest = n
		}
	}
	if totalCapacity(all) < spec.Tasks {
		return false
	}
	s.placeCPUOnly(all)
	return true
}

// placeCPUOnly places the gang on the candidates, which have room for it. It selects the best candidate repeatedly
// instead of sorting, because a small gang needs only a few of them.
func (s *search) placeCPUOnly(cs []candidate) {
	for len(s.slots) < s.j.Spec.Tasks {
		best := 0
		for i := range cs {
			if cs[i].score < cs[best].score {
				best = i
			}
		}
		for range min(cs[best].capacity, s.j.Spec.Tasks-len(s.slots)) {
			s.slots = append(s.slots, cell.Slot{Worker: cs[best].index})
		}
		cs[best] = cs[len(cs)-1]
		cs = cs[:len(cs)-1]
	}
}

func totalCapacity(cs []candidate) int {
	n := 0
	for _, c := range cs {
		n += c.capacity
	}
	return n
}

// cpuOnlyCandidates appends the workers of ws with room for tasks without accelerators. If the gang must stay within a
// worker, only those with room for the whole gang are appended.
func (s *search) cpuOnlyCandidates(out []candidate, ws []int) []candidate {
	for _, w := range ws {
		n := s.hostCapacity(w)
		if n == 0 || (s.j.Spec.Within == model.LevelWorker && n < s.j.Spec.Tasks) {
			continue
		}
		total := s.p.workerInfo[w].total()
		left := float64(total.cores-s.p.usage[w].allTasks.cores) / float64(total.cores)
		c := candidate{index: w, capacity: n, score: float64(s.p.free.Mask(w).Count()) + left}
		if s.p.opts.Placement == FirstFit {
			c.score = float64(w)
		}
		out = append(out, c)
	}
	return out
}

// hostVictims marks further borrowers for eviction on workers where the cores and memory of those already marked do not
// suffice for a holding job, in the order of preemptionOrder, and returns them.
func (p *Planner) hostVictims(j *job, s *search) []*job {
	var out []*job
	for i, x := range j.slots {
		if i > 0 && slices.ContainsFunc(j.slots[:i], func(y cell.Slot) bool { return y.Worker == x.Worker }) {
			continue
		}
		u := p.usage[x.Worker]
		for _, y := range j.slots {
			if y.Worker == x.Worker {
				u = u.plus(j, 1)
			}
		}
		for _, o := range p.runningOn[x.Worker] {
			if o.evictedFor == j {
				u = u.plus(o, -1)
			}
		}
		for _, o := range s.preemptionOrder(x.Worker) {
			if u.fits(j, p.workerInfo[x.Worker]) {
				break
			}
			if o.evictedFor != j {
				o.evicting, o.evictedFor = true, j
				j.pendingEvictions++
				out = append(out, o)
			}
			u = u.plus(o, -1)
		}
	}
	return out
}

// preemptionOrder lists the jobs on a worker that may be preempted, one entry per task: those without accelerators
// first, then by accelerators per task, then the latest start first.
func (s *search) preemptionOrder(w int) []*job {
	if s.onlyWorkers != nil {
		return nil
	}
	var out []*job
	for _, o := range s.p.runningOn[w] {
		if s.mayPreempt(o) {
			out = append(out, o)
		}
	}
	slices.SortStableFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Spec.GPUsPerTask, b.Spec.GPUsPerTask), b.started.Compare(a.started), cmp.Compare(a.Job, b.Job))
	})
	return out
}
