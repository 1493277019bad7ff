package plan

import (
	"cmp"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
)

// cpuShare is the divisor of a worker's cores and memory that gives the part that tasks without
// accelerators may use. The rest stays for tasks with accelerators, so that free accelerators stay usable.
// Half of 30 cores leaves room for 15 tasks of one core next to 8 tasks with accelerators.
const cpuShare = 2

// load is a use of cores and memory.
type load struct{ cores, mem int }

func (l load) plus(o load, n int) load { return load{l.cores + n*o.cores, l.mem + n*o.mem} }

// within reports whether the load fits; a total of 0 is unknown and fits everything.
func (l load) within(total load) bool {
	return (total.cores == 0 || l.cores <= total.cores) && (total.mem == 0 || l.mem <= total.mem)
}

func loadOf(s model.JobSpec) load { return load{s.CoresPerTask, s.MemoryMBPerTask} }

func (w Worker) total() load { return load{w.Cores, w.MemoryMB} }

// part returns the share of a total for tasks without accelerators; a known resource stays known.
func (l load) part() load {
	out := load{l.cores / cpuShare, l.mem / cpuShare}
	if l.cores > 0 {
		out.cores = max(1, out.cores)
	}
	if l.mem > 0 {
		out.mem = max(1, out.mem)
	}
	return out
}

// usage is the load of a worker by all tasks and by those without accelerators. It includes what is kept
// for holding jobs.
type usage struct{ all, cpu load }

func (u usage) plus(j *job, n int) usage {
	l := loadOf(j.Spec)
	u.all = u.all.plus(l, n)
	if j.Spec.GPUsPerTask == 0 {
		u.cpu = u.cpu.plus(l, n)
	}
	return u
}

// fits reports whether a worker carries the load. Only a job without accelerators is held to their share.
func (u usage) fits(j *job, w Worker) bool {
	return u.all.within(w.total()) && (j.Spec.GPUsPerTask > 0 || u.cpu.within(w.total().part()))
}

// tasksWithin returns how many tasks of load l fit into free of total; at most limit.
func tasksWithin(l, total, used load, limit int) int {
	if l.cores > 0 && total.cores > 0 {
		limit = min(limit, (total.cores-used.cores)/l.cores)
	}
	if l.mem > 0 && total.mem > 0 {
		limit = min(limit, (total.mem-used.mem)/l.mem)
	}
	return max(0, limit)
}

// beyondShare reports whether a task needs more cores or memory than its accelerators' part of what tasks
// without accelerators leave on a worker. Such a job waits for those tasks, too.
func (p *Planner) beyondShare(c class) bool {
	const n = model.GPUsPerWorker
	return c.gpus > 0 && !load{c.cores * n, c.mem * n}.within(load{c.gpus * p.least.cores, c.gpus * p.least.mem})
}

// leastLeft returns the least cores and memory that tasks without accelerators leave on a worker.
func leastLeft(ws []Worker) load {
	var out load
	for _, w := range ws {
		left := w.total().plus(w.total().part(), -1)
		if left.cores > 0 && (out.cores == 0 || left.cores < out.cores) {
			out.cores = left.cores
		}
		if left.mem > 0 && (out.mem == 0 || left.mem < out.mem) {
			out.mem = left.mem
		}
	}
	return out
}

// mayTake reports whether the search may preempt a running job.
func (s *search) mayTake(o *job) bool {
	return o.borrows() && (s.covered || !s.j.Spec.Urgent || !o.Spec.Urgent)
}

// usageOf returns the load of a worker that the search cannot take away.
func (s *search) usageOf(w int) usage {
	u := s.p.usage[w]
	if !s.take || s.only != nil {
		return u
	}
	for _, o := range s.p.on[w] {
		if s.mayTake(o) {
			u = u.plus(o, -1)
		}
	}
	return u
}

// room returns how many tasks the worker's cores and memory permit.
func (s *search) room(w int) int {
	spec, total := s.j.Spec, s.p.info[w].total()
	l := loadOf(spec)
	if spec.GPUsPerTask > 0 {
		if l == (load{}) {
			return model.GPUsPerWorker
		}
		return tasksWithin(l, total, s.usageOf(w).all, model.GPUsPerWorker)
	}
	if total.cores == 0 || !s.p.info[w].Usable || s.excluded(w) {
		return 0
	}
	u := s.usageOf(w)
	return tasksWithin(l, total.part(), u.cpu, tasksWithin(l, total, u.all, spec.Tasks))
}

// findCores places a gang that needs no accelerators within its cell. Workers with the fewest free
// accelerators come first, then those with the least room, so that other workers keep their cores.
func (s *search) findCores() bool {
	spec := s.j.Spec
	all := s.p.candidates[:0]
	defer func() { s.p.candidates = all[:0] }()
	least := 0
	for _, ws := range s.p.topo.Racks {
		start := len(all)
		all = s.coreWorkers(all, ws)
		if spec.Within != model.LevelRack {
			continue
		}
		switch n := roomIn(all[start:]); {
		case n < spec.Tasks || (least > 0 && n >= least):
			all = all[:start]
		default:
			all = all[:copy(all, all[start:])]
			least = n
		}
	}
	if roomIn(all) < spec.Tasks {
		return false
	}
	s.fillCores(all)
	return true
}

// fillCores places the gang on candidates that have room for it. A small gang needs few of them, so picking
// the best one again costs less than sorting all.
func (s *search) fillCores(cs []candidate) {
	for len(s.slots) < s.j.Spec.Tasks {
		best := 0
		for i := range cs {
			if cs[i].score < cs[best].score {
				best = i
			}
		}
		for range min(cs[best].blocks, s.j.Spec.Tasks-len(s.slots)) {
			s.slots = append(s.slots, cell.Slot{Worker: cs[best].index})
		}
		cs[best] = cs[len(cs)-1]
		cs = cs[:len(cs)-1]
	}
}

func roomIn(cs []candidate) int {
	n := 0
	for _, c := range cs {
		n += c.blocks
	}
	return n
}

// coreWorkers appends the workers with room for tasks without accelerators; only those with room for the
// whole gang if it must stay within a worker.
func (s *search) coreWorkers(out []candidate, ws []int) []candidate {
	for _, w := range ws {
		n := s.room(w)
		if n == 0 || (s.j.Spec.Within == model.LevelWorker && n < s.j.Spec.Tasks) {
			continue
		}
		total := s.p.info[w].total()
		left := float64(total.cores-s.p.usage[w].all.cores) / float64(total.cores)
		c := candidate{index: w, blocks: n, score: float64(s.p.free.Mask(w).Count()) + left}
		if s.p.opts.Placement == FirstFit {
			c.score = float64(w)
		}
		out = append(out, c)
	}
	return out
}

// coreVictims marks further borrowers as leaving where the cores and memory of those already marked do not
// suffice for a holding job: jobs without accelerators first, then the shortest run.
func (p *Planner) coreVictims(j *job, s *search) []*job {
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
		for _, o := range p.on[x.Worker] {
			if o.leavesFor == j {
				u = u.plus(o, -1)
			}
		}
		for _, o := range s.byLoss(x.Worker) {
			if u.fits(j, p.info[x.Worker]) {
				break
			}
			if o.leavesFor != j {
				o.leaving, o.leavesFor = true, j
				j.pending++
				out = append(out, o)
			}
			u = u.plus(o, -1)
		}
	}
	return out
}

// byLoss lists the tasks on a worker that may be preempted, in the order of preference.
func (s *search) byLoss(w int) []*job {
	if s.only != nil {
		return nil
	}
	var out []*job
	for _, o := range s.p.on[w] {
		if s.mayTake(o) {
			out = append(out, o)
		}
	}
	slices.SortStableFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Spec.GPUsPerTask, b.Spec.GPUsPerTask), b.started.Compare(a.started), cmp.Compare(a.Job, b.Job))
	})
	return out
}
