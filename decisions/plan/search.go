package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
)

// search looks for the slots of one gang. On success the slots of a fixed gang are recorded in the tracker.
type search struct {
	p   *Planner
	j   *job
	now time.Time
	// take permits accelerators of borrowers, which are preempted then.
	take bool
	// covered requires every task to lie within the account's guarantee.
	covered bool
	// fixed gangs are recorded in the tracker.
	fixed bool
	// barred excludes the workers of the reservation of another job.
	barred map[int]bool
	// avoided excludes the workers on which the job has failed.
	avoided map[int]bool
	// only limits the search to some workers, if it is not nil.
	only  map[int]bool
	slots []cell.Slot
	// refused counts the slots that the tracker did not allow.
	refused int
}

// candidate is a worker or a rack with its score; lower is better.
type candidate struct {
	index  int
	blocks int
	score  float64
}

func (p *Planner) newSearch(j *job, now time.Time) *search {
	s := &search{p: p, j: j, now: now, avoided: p.avoidedBy(j)}
	if p.res != nil && p.res.bars(j) && now.Add(p.estimate(j)).After(p.res.until) {
		s.barred = p.res.workers
	}
	return s
}

// avoidedBy returns the workers on which the job has failed, or nil.
func (p *Planner) avoidedBy(j *job) map[int]bool {
	if len(j.Avoid) == 0 {
		return nil
	}
	out := make(map[int]bool, len(j.Avoid))
	for _, id := range j.Avoid {
		if w, ok := p.topo.Index(id); ok {
			out[w] = true
		}
	}
	return out
}

// excluded reports whether the gang may not use a worker at all.
func (s *search) excluded(w int) bool {
	return s.barred[w] || s.avoided[w] || (s.only != nil && !s.only[w])
}

// find returns the slots of the gang, by task index.
func (s *search) find() ([]cell.Slot, bool) {
	if s.j.Spec.GPUsPerTask == 0 {
		ok := s.findCores()
		return s.slots, ok
	}
	inv, spec := s.inventory(), s.j.Spec
	if inv.Total(spec.GPUsPerTask) < spec.Tasks || !s.guaranteeLeaves() {
		return nil, false
	}
	defer s.clear()
	if spec.GPUs() <= model.GPUsPerWorker && s.inOne(s.workers(inv)) {
		return s.slots, true
	}
	if spec.Within == model.LevelWorker {
		return nil, false
	}
	if spec.GPUs() <= model.GPUsPerRack && s.inRack(inv) {
		return s.slots, true
	}
	if spec.Within == model.LevelRack {
		return nil, false
	}
	if s.fill(s.domainWorkers(inv)) {
		return s.slots, true
	}
	return nil, false
}

// guaranteeLeaves reports whether the guarantees can leave enough accelerators at all.
func (s *search) guaranteeLeaves() bool {
	spare, n := s.p.tracker.Spare(s.j.Spec.Account), s.j.Spec.GPUs()
	switch {
	case s.covered:
		return n <= spare
	case s.fixed:
		return n <= spare+max(0, s.p.tracker.Headroom())
	default:
		return true
	}
}

func (s *search) inventory() *cell.Inventory {
	if s.take {
		return s.p.takeable
	}
	return s.p.free
}

// clear resets the scratch masks.
func (s *search) clear() {
	for _, x := range s.slots {
		s.p.scratch[x.Worker] = 0
	}
}

// mask returns the accelerators of a worker that the gang may use.
func (s *search) mask(w int) model.GPUMask {
	if s.excluded(w) {
		return 0
	}
	m := s.inventory().Mask(w) &^ s.p.scratch[w]
	if m == 0 {
		return 0
	}
	if s.fixed {
		m &^= s.p.tracker.Foreign(w, s.j.Spec.Account)
	}
	if s.covered {
		m &= s.p.tracker.Coverable(w, s.j.Spec.Account)
	}
	if s.take && !s.covered && s.j.Spec.Urgent {
		for i, o := range s.p.owner[w] {
			if o != nil && o.Spec.Urgent {
				m &^= 1 << i
			}
		}
	}
	return m
}

// blocksIn returns how many tasks fit on a worker.
func (s *search) blocksIn(w int) int {
	n := cell.Blocks(s.mask(w), s.j.Spec.GPUsPerTask)
	if n == 0 {
		return 0
	}
	return min(n, s.room(w))
}

// workers returns the workers that hold the whole gang, as candidates.
func (s *search) workers(inv *cell.Inventory) []candidate {
	out := s.p.candidates[:0]
	for r, ws := range s.p.topo.Racks {
		if inv.InRack(r, s.j.Spec.GPUsPerTask) < s.j.Spec.Tasks {
			continue
		}
		for _, w := range ws {
			if inv.Mask(w) == 0 {
				continue
			}
			if n := s.blocksIn(w); n >= s.j.Spec.Tasks {
				out = append(out, candidate{index: w, blocks: n, score: s.workerScore(w)})
			}
		}
	}
	s.p.candidates = out
	return out
}

// workerScore prefers workers with own guaranteed cells in use, then the least lost work, then the fewest
// free accelerators, so that whole workers and racks stay whole.
func (s *search) workerScore(w int) float64 {
	if s.p.opts.Placement == FirstFit {
		return float64(w)
	}
	score := float64(s.mask(w).Count()) + float64(s.p.free.InRack(s.p.topo.RackOf[w], 1))/(2*model.GPUsPerRack)
	if s.covered {
		score += float64(s.p.tracker.InRack(s.p.topo.RackOf[w])) / (2 * model.GPUsPerRack)
		score -= float64(model.GPUsPerWorker * s.p.tracker.Own(w, s.j.Spec.Account))
	}
	if s.take {
		score += s.lostOn(w)
	}
	return score
}

// inOne tries to place the whole gang in one of the candidate workers.
func (s *search) inOne(cs []candidate) bool {
	for len(cs) > 0 && s.refused <= maxRefused {
		best := 0
		for i := range cs {
			if cs[i].score < cs[best].score {
				best = i
			}
		}
		if s.fill([]candidate{cs[best]}) {
			return true
		}
		cs[best] = cs[len(cs)-1]
		cs = cs[:len(cs)-1]
	}
	return false
}

// inRack tries to place the whole gang in one rack: the one with the least room left over, or in a search
// that takes from borrowers, with the least lost work.
func (s *search) inRack(inv *cell.Inventory) bool {
	spec := s.j.Spec
	var racks []candidate
	for r := range s.p.topo.Racks {
		if inv.InRack(r, spec.GPUsPerTask) < spec.Tasks {
			continue
		}
		c := candidate{index: r, score: float64(s.p.free.InRack(r, 1))}
		for _, w := range s.p.topo.Racks[r] {
			c.blocks += s.blocksIn(w)
			if s.take {
				c.score += s.lostOn(w)
			}
		}
		if s.p.opts.Placement == FirstFit {
			c.score = 0
		}
		if c.blocks >= spec.Tasks {
			racks = append(racks, c)
		}
	}
	slices.SortStableFunc(racks, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	for _, r := range racks {
		if s.fill(s.ordered(s.p.topo.Racks[r.index])) {
			return true
		}
	}
	return false
}

// domainWorkers returns all workers with room: rack by rack, the emptiest rack first, so that the gang
// spans few racks.
func (s *search) domainWorkers(inv *cell.Inventory) []candidate {
	racks := make([]candidate, 0, len(s.p.topo.Racks))
	for r := range s.p.topo.Racks {
		if n := inv.InRack(r, s.j.Spec.GPUsPerTask); n > 0 {
			racks = append(racks, candidate{index: r, blocks: n})
		}
	}
	if s.p.opts.Placement != FirstFit {
		slices.SortStableFunc(racks, func(a, b candidate) int { return cmp.Compare(b.blocks, a.blocks) })
	}
	var out []candidate
	for _, r := range racks {
		out = append(out, s.ordered(s.p.topo.Racks[r.index])...)
	}
	return out
}

// ordered returns the workers with room: least lost work first, then the emptiest first, so that the gang
// spans few workers.
func (s *search) ordered(ws []int) []candidate {
	out := make([]candidate, 0, len(ws))
	for _, w := range ws {
		if n := s.blocksIn(w); n > 0 {
			c := candidate{index: w, blocks: n, score: -float64(n)}
			if s.take {
				c.score += s.lostOn(w)
			}
			out = append(out, c)
		}
	}
	if s.p.opts.Placement != FirstFit {
		slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	}
	return out
}

// fill places the gang on workers in order; the last tasks go to the tightest worker that holds them all.
func (s *search) fill(ws []candidate) bool {
	s.clear()
	s.slots = s.slots[:0]
	for len(ws) > 0 && len(s.slots) < s.j.Spec.Tasks {
		i := 0
		if left := s.j.Spec.Tasks - len(s.slots); s.p.opts.Placement != FirstFit && ws[0].blocks > left && !s.take {
			i = tightest(ws, left)
		}
		s.fillWorker(ws[i].index, s.j.Spec.Tasks-len(s.slots))
		if i == 0 {
			ws = ws[1:]
		} else {
			ws = slices.Delete(ws, i, i+1)
		}
	}
	if len(s.slots) == s.j.Spec.Tasks {
		return true
	}
	s.undo()
	return false
}

func tightest(ws []candidate, n int) int {
	best := 0
	for i, c := range ws {
		if c.blocks >= n && c.blocks < ws[best].blocks {
			best = i
		}
	}
	return best
}

// undo takes back the slots of a gang that does not fit.
func (s *search) undo() {
	s.clear()
	if s.fixed {
		for _, x := range s.slots {
			s.p.tracker.Release(x)
		}
	}
	s.slots = s.slots[:0]
}

// fillWorker places up to n tasks on a worker.
func (s *search) fillWorker(w, n int) {
	n = min(n, s.room(w))
	for _, m := range s.blocksOf(w) {
		if n == 0 || s.refused > maxRefused {
			return
		}
		slot := cell.Slot{Worker: w, GPUs: m}
		if s.fixed && !s.p.tracker.Allows(s.j.Spec.Account, slot, s.covered) {
			if !s.covered {
				s.refused++
			}
			continue
		}
		s.p.scratch[w] |= m
		s.slots = append(s.slots, slot)
		n--
	}
}

// blocksOf returns the blocks of a worker that the gang may use: the least lost work first, then those in
// the most broken surroundings.
func (s *search) blocksOf(w int) []model.GPUMask {
	m, size := s.mask(w), s.j.Spec.GPUsPerTask
	var out []model.GPUMask
	for i := 0; i < model.GPUsPerWorker; i += size {
		if b := cell.Block(i, size); m&b == b {
			out = append(out, b)
		}
	}
	if s.p.opts.Placement == FirstFit || len(out) < 2 {
		return out
	}
	var score [model.GPUsPerWorker]float64
	for _, b := range out {
		score[trailing(b)] = s.blockScore(w, m, b)
	}
	slices.SortStableFunc(out, func(a, b model.GPUMask) int {
		return cmp.Compare(score[trailing(a)], score[trailing(b)])
	})
	return out
}

func (s *search) blockScore(w int, m, b model.GPUMask) float64 {
	score := 0.0
	first := trailing(b)
	for size := b.Count() * 2; size <= model.GPUsPerWorker; size *= 2 {
		score += float64((m & cell.Block(first, size)).Count())
	}
	if s.take {
		score += s.lost(w, b)
	}
	return score
}

// lost returns the work that is lost if the owners of the accelerators are preempted, estimated as their
// accelerator seconds since their start, because the time of the last checkpoint is not known here.
func (s *search) lost(w int, m model.GPUMask) float64 {
	total := 0.0
	var last *job
	for i, o := range s.p.owner[w] {
		if o != nil && o != last && m&(1<<i) != 0 {
			total += preemptCost + float64(o.Spec.GPUs())*s.now.Sub(o.started).Seconds()
			last = o
		}
	}
	return math.Min(total, maxCost)
}

// lostOn returns the least lost work of the blocks that the gang would use on a worker.
func (s *search) lostOn(w int) float64 {
	size, m := s.j.Spec.GPUsPerTask, s.mask(w)
	var costs []float64
	for i := 0; i < model.GPUsPerWorker; i += size {
		if b := cell.Block(i, size); m&b == b {
			costs = append(costs, s.lost(w, b))
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
	// maxRefused bounds the slots outside a guarantee that one search tries in vain. Refusals depend on the
	// counts of whole cells, so further workers seldom differ. Searches within a guarantee are not bounded.
	maxRefused = 64
	// preemptCost is the cost of any preemption, in accelerator seconds; it outweighs the order of workers.
	preemptCost = 1000.0
	// maxCost keeps the sum of costs within the exact range of float64.
	maxCost = 1e12
)
