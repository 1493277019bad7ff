package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
)

// search looks for the slots of one gang. On success the slots of a protected gang are recorded in the tracker.
type search struct {
	p   *Planner
	j   *job
	now time.Time
	// preempt permits accelerators and host resources of borrowers, which must then be preempted.
	preempt bool
	// withinGuarantee requires every task to lie within the account's guarantee.
	withinGuarantee bool
	// protected requires that the guarantee tracker accepts every slot, and records it there.
	protected bool
	// blockedWorkers excludes workers that are kept for another job.
	blockedWorkers map[int]bool
	// avoidedWorkers excludes the workers on which the job has failed.
	avoidedWorkers map[int]bool
	// onlyWorkers restricts the search to these workers unless it is nil.
	onlyWorkers map[int]bool
	slots       []cell.Slot
	// rejectedSlots counts the slots outside the guarantee that the tracker rejected.
	rejectedSlots int
}

// candidate is a worker or a rack with its capacity in tasks and its score. Lower scores are better.
type candidate struct {
	index    int
	capacity int
	score    float64
}

func (p *Planner) newSearch(j *job, now time.Time) *search {
	s := &search{p: p, j: j, now: now, avoidedWorkers: p.avoidedBy(j)}
	if p.activeReservation != nil && p.activeReservation.appliesTo(j) && now.Add(p.estimatedRunTime(j)).After(p.activeReservation.dueAt) {
		s.blockedWorkers = p.activeReservation.workers
	}
	return s
}

// avoidedBy returns the workers on which the job has failed, or nil.
func (p *Planner) avoidedBy(j *job) map[int]bool {
	if len(j.AvoidWorkers) == 0 {
		return nil
	}
	out := make(map[int]bool, len(j.AvoidWorkers))
	for _, id := range j.AvoidWorkers {
		if w, ok := p.topo.WorkerIndex(id); ok {
			out[w] = true
		}
	}
	return out
}

// excluded reports whether the gang must not use a worker.
func (s *search) excluded(w int) bool {
	return s.blockedWorkers[w] || s.avoidedWorkers[w] || (s.onlyWorkers != nil && !s.onlyWorkers[w])
}

// findSlots returns the slots of the gang in order of the task index: within one worker if possible, else within one
// rack, else across racks.
func (s *search) findSlots() ([]cell.Slot, bool) {
	if s.j.Spec.GPUsPerTask == 0 {
		ok := s.findCPUOnlySlots()
		return s.slots, ok
	}
	inv, spec := s.inventory(), s.j.Spec
	if inv.TotalBlocks(spec.GPUsPerTask) < spec.Tasks || !s.guaranteesPermit() {
		return nil, false
	}
	defer s.clearTentative()
	if spec.GPUs() <= model.GPUsPerWorker && s.placeInWorker(s.wholeGangWorkers(inv)) {
		return s.slots, true
	}
	if spec.Within == model.LevelWorker {
		return nil, false
	}
	if spec.GPUs() <= model.GPUsPerRack && s.placeInRack(inv) {
		return s.slots, true
	}
	if spec.Within == model.LevelRack {
		return nil, false
	}
	if s.place(s.domainWorkers(inv)) {
		return s.slots, true
	}
	return nil, false
}

// guaranteesPermit reports whether the guarantees leave enough accelerators for the gang, judged by their number alone.
func (s *search) guaranteesPermit() bool {
	unused, n := s.p.tracker.UnusedGuarantee(s.j.Spec.Account), s.j.Spec.GPUs()
	switch {
	case s.withinGuarantee:
		return n <= unused
	case s.protected:
		return n <= unused+max(0, s.p.tracker.Headroom())
	default:
		return true
	}
}

func (s *search) inventory() *cell.Inventory {
	if s.preempt {
		return s.p.freeOrPreemptible
	}
	return s.p.free
}

// clearTentative unmarks the accelerators that this search has picked.
func (s *search) clearTentative() {
	for _, x := range s.slots {
		s.p.tentativeGPUs[x.Worker] = 0
	}
}

// usableGPUs returns the accelerators of a worker that the gang may use and the search has not yet picked.
func (s *search) usableGPUs(w int) model.GPUMask {
	if s.excluded(w) {
		return 0
	}
	m := s.inventory().Mask(w) &^ s.p.tentativeGPUs[w]
	if m == 0 {
		return 0
	}
	if s.protected {
		m &^= s.p.tracker.UnavailableTo(w, s.j.Spec.Account)
	}
	if s.withinGuarantee {
		m &= s.p.tracker.Coverable(w, s.j.Spec.Account)
	}
	if s.preempt && !s.withinGuarantee && s.j.Spec.Urgent {
		for i, o := range s.p.gpuOwner[w] {
			if o != nil && o.Spec.Urgent {
				m &^= 1 << i
			}
		}
	}
	return m
}

// taskCapacity returns how many tasks of the gang fit on a worker.
func (s *search) taskCapacity(w int) int {
	n := cell.CountBlocks(s.usableGPUs(w), s.j.Spec.GPUsPerTask)
	if n == 0 {
		return 0
	}
	return min(n, s.hostCapacity(w))
}

// wholeGangWorkers returns the workers with room for the whole gang.
func (s *search) wholeGangWorkers(inv *cell.Inventory) []candidate {
	out := s.p.candidateBuf[:0]
	for r, ws := range s.p.topo.Racks {
		if inv.BlocksInRack(r, s.j.Spec.GPUsPerTask) < s.j.Spec.Tasks {
			continue
		}
		for _, w := range ws {
			if inv.Mask(w) == 0 {
				continue
			}
			if n := s.taskCapacity(w); n >= s.j.Spec.Tasks {
				out = append(out, candidate{index: w, capacity: n, score: s.workerScore(w)})
			}
		}
	}
	s.p.candidateBuf = out
	return out
}

// workerScore prefers workers on which the account already uses guaranteed cells, then the lowest preemption cost, then
// the fewest free accelerators, so that idle workers and racks stay free for large gangs.
func (s *search) workerScore(w int) float64 {
	if s.p.opts.Placement == FirstFit {
		return float64(w)
	}
	score := float64(s.usableGPUs(w).Count()) + float64(s.p.free.BlocksInRack(s.p.topo.RackOf[w], 1))/(2*model.GPUsPerRack)
	if s.withinGuarantee {
		score += float64(s.p.tracker.AvailableInRack(s.p.topo.RackOf[w])) / (2 * model.GPUsPerRack)
		score -= float64(model.GPUsPerWorker * s.p.tracker.PinnedGPUs(w, s.j.Spec.Account))
	}
	if s.preempt {
		score += s.minPreemptionCost(w)
	}
	return score
}

// placeInWorker tries to place the whole gang on one of the candidate workers, in order of their scores.
func (s *search) placeInWorker(cs []candidate) bool {
	for len(cs) > 0 && s.rejectedSlots <= maxRejectedSlots {
		best := 0
		for i := range cs {
			if cs[i].score < cs[best].score {
				best = i
			}
		}
		if s.place([]candidate{cs[best]}) {
			return true
		}
		cs[best] = cs[len(cs)-1]
		cs = cs[:len(cs)-1]
	}
	return false
}

// placeInRack tries to place the whole gang in one rack. It prefers the rack with the fewest free accelerators or, in a
// search that may preempt, with the lowest preemption cost.
func (s *search) placeInRack(inv *cell.Inventory) bool {
	spec := s.j.Spec
	var racks []candidate
	for r := range s.p.topo.Racks {
		if inv.BlocksInRack(r, spec.GPUsPerTask) < spec.Tasks {
			continue
		}
		c := candidate{index: r, score: float64(s.p.free.BlocksInRack(r, 1))}
		for _, w := range s.p.topo.Racks[r] {
			c.capacity += s.taskCapacity(w)
			if s.preempt {
				c.score += s.minPreemptionCost(w)
			}
		}
		if s.p.opts.Placement == FirstFit {
			c.score = 0
		}
		if c.capacity >= spec.Tasks {
			racks = append(racks, c)
		}
	}
	slices.SortStableFunc(racks, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	for _, r := range racks {
		if s.place(s.orderedWorkers(s.p.topo.Racks[r.index])) {
			return true
		}
	}
	return false
}

// domainWorkers returns all workers with room, rack by rack. The rack with the most available blocks comes first, so
// that the gang spans few racks.
func (s *search) domainWorkers(inv *cell.Inventory) []candidate {
	racks := make([]candidate, 0, len(s.p.topo.Racks))
	for r := range s.p.topo.Racks {
		if n := inv.BlocksInRack(r, s.j.Spec.GPUsPerTask); n > 0 {
			racks = append(racks, candidate{index: r, capacity: n})
		}
	}
	if s.p.opts.Placement != FirstFit {
		slices.SortStableFunc(racks, func(a, b candidate) int { return cmp.Compare(b.capacity, a.capacity) })
	}
	var out []candidate
	for _, r := range racks {
		out = append(out, s.orderedWorkers(s.p.topo.Racks[r.index])...)
	}
	return out
}

// orderedWorkers returns the workers with room, those with the lowest preemption cost first, then those with the
// largest capacity, so that the gang spans few workers.
func (s *search) orderedWorkers(ws []int) []candidate {
	out := make([]candidate, 0, len(ws))
	for _, w := range ws {
		if n := s.taskCapacity(w); n > 0 {
			c := candidate{index: w, capacity: n, score: -float64(n)}
			if s.preempt {
				c.score += s.minPreemptionCost(w)
			}
			out = append(out, c)
		}
	}
	if s.p.opts.Placement != FirstFit {
		slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	}
	return out
}

// place places the gang on the workers in order. The last tasks go to the smallest worker with room for all of them,
// unless the search may preempt.
func (s *search) place(ws []candidate) bool {
	s.clearTentative()
	s.slots = s.slots[:0]
	for len(ws) > 0 && len(s.slots) < s.j.Spec.Tasks {
		i := 0
		if left := s.j.Spec.Tasks - len(s.slots); s.p.opts.Placement != FirstFit && ws[0].capacity > left && !s.preempt {
			i = tightestFit(ws, left)
		}
		s.placeOnWorker(ws[i].index, s.j.Spec.Tasks-len(s.slots))
		if i == 0 {
			ws = ws[1:]
		} else {
			ws = slices.Delete(ws, i, i+1)
		}
	}
	if len(s.slots) == s.j.Spec.Tasks {
		return true
	}
	s.rollback()
	return false
}

func tightestFit(ws []candidate, n int) int {
	best := 0
	for i, c := range ws {
		if c.capacity >= n && c.capacity < ws[best].capacity {
			best = i
		}
	}
	return best
}

// rollback discards the slots picked so far and removes them from the tracker.
func (s *search) rollback() {
	s.clearTentative()
	if s.protected {
		for _, x := range s.slots {
			s.p.tracker.Release(x)
		}
	}
	s.slots = s.slots[:0]
}

// placeOnWorker places up to n tasks on a worker.
func (s *search) placeOnWorker(w, n int) {
	n = min(n, s.hostCapacity(w))
	for _, m := range s.orderedBlocks(w) {
		if n == 0 || s.rejectedSlots > maxRejectedSlots {
			return
		}
		slot := cell.Slot{Worker: w, GPUs: m}
		if s.protected && !s.p.tracker.TryRecord(s.j.Spec.Account, slot, s.withinGuarantee) {
			if !s.withinGuarantee {
				s.rejectedSlots++
			}
			continue
		}
		s.p.tentativeGPUs[w] |= m
		s.slots = append(s.slots, slot)
		n--
	}
}

// orderedBlocks returns the blocks of a worker that the gang may use: those with the lowest preemption cost first, then
// those whose enclosing larger blocks have the fewest usable accelerators, so that whole blocks stay free.
func (s *search) orderedBlocks(w int) []model.GPUMask {
	m, size := s.usableGPUs(w), s.j.Spec.GPUsPerTask
	var out []model.GPUMask
	for i := 0; i < model.GPUsPerWorker; i += size {
		if b := cell.AlignedBlock(i, size); m&b == b {
			out = append(out, b)
		}
	}
	if s.p.opts.Placement == FirstFit || len(out) < 2 {
		return out
	}
	var score [model.GPUsPerWorker]float64
	for _, b := range out {
		score[lowestGPU(b)] = s.blockScore(w, m, b)
	}
	slices.SortStableFunc(out, func(a, b model.GPUMask) int {
		return cmp.Compare(score[lowestGPU(a)], score[lowestGPU(b)])
	})
	return out
}

func (s *search) blockScore(w int, m, b model.GPUMask) float64 {
	score := 0.0
	first := lowestGPU(b)
	for size := b.Count() * 2; size <= model.GPUsPerWorker; size *= 2 {
		score += float64((m & cell.AlignedBlock(first, size)).Count())
	}
	if s.preempt {
		score += s.preemptionCost(w, b)
	}
	return score
}

// preemptionCost estimates the work that is lost if the owners of the accelerators are preempted, as their accelerator
// seconds since they started, because the planner does not know the time of the last checkpoint.
func (s *search) preemptionCost(w int, m model.GPUMask) float64 {
	total := 0.0
	var last *job
	for i, o := range s.p.gpuOwner[w] {
		if o != nil && o != last && m&(1<<i) != 0 {
			total += basePreemptionCost + float64(o.Spec.GPUs())*s.now.Sub(o.started).Seconds()
			last = o
		}
	}
	return math.Min(total, maxPreemptionCost)
}

// minPreemptionCost returns the lowest total preemption cost of the blocks that the gang would use on a worker.
func (s *search) minPreemptionCost(w int) float64 {
	size, m := s.j.Spec.GPUsPerTask, s.usableGPUs(w)
	var costs []float64
	for i := 0; i < model.GPUsPerWorker; i += size {
		if b := cell.AlignedBlock(i, size); m&b == b {
			costs = append(costs, s.preemptionCost(w, b))
		}
	}
	slices.Sort(costs)
	total := 0.0
	for _, c := range costs[:min(len(costs), s.j.Spec.Tasks)] {
		total += c
	}
	return total
}

const (
	// maxRejectedSlots bounds the rejected slots of one search outside a guarantee. Rejections depend on the
	// domain-wide counts of whole cells, so further workers seldom give another result. Searches within a guarantee
	// are not bounded.
	maxRejectedSlots = 64
	// basePreemptionCost is the fixed cost of each preemption, in accelerator seconds. It outweighs the placement
	// preferences in a score.
	basePreemptionCost = 1000.0
	// maxPreemptionCost bounds a cost, in accelerator seconds, so that sums of costs stay exact in float64.
	maxPreemptionCost = 1e12
)
