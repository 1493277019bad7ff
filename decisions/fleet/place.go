package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// stepKey names a step of an occurrence of a job.
type stepKey struct {
	job              *job
	occurrence, step int
}

// place gives room to waiting units, in their order.
func (f *Scheduler) place(now time.Time, waiting []*candidate) {
	if len(waiting) == 0 {
		return
	}
	usable := slices.DeleteFunc(slices.Clone(f.order), func(e *executor) bool { return !f.eligible(now, e) })
	room := f.headroom(now, usable)
	blocked := map[stepKey]bool{}
	for _, c := range waiting {
		u := c.u
		key := stepKey{u.job, u.occurrence, u.step}
		if blocked[key] {
			// The tasks of a step are alike: where one finds no room, the others find none.
			continue
		}
		c.class = f.classOf(u)
		if !room.take(c, u.spec().Need) {
			blocked[key] = true
			continue
		}
		on, reason := f.find(now, c, usable)
		if on != nil && !u.job.clear() {
			// The job starts once it is recorded that it may run.
			continue
		}
		if on == nil {
			blocked[key] = !u.job.clear() || !f.preempt(now, c, usable)
			continue
		}
		f.reserve(now, u, on)
		f.start(now, u, reason)
	}
}

// find returns an executor for each task of a unit, or nil if there is no room.
func (f *Scheduler) find(now time.Time, c *candidate, usable []*executor) ([]*executor, string) {
	u := c.u
	s := u.spec()
	fit := f.fitting(now, u, usable)
	if a := f.adviceOf(u); a != nil {
		f.ask(now, u, fit)
		fit = slices.DeleteFunc(fit, func(c slot) bool { return !a.permits(now, c.e.info.ID) })
	}
	if len(fit) == 0 {
		return nil, ""
	}
	if s.Rack == "" && !(s.Gang && s.SameRack && u.n > 1) {
		return pack(u, fit), "fits"
	}
	if on := f.findNear(u, fit); on != nil {
		return on, "fits_rack"
	}
	if !f.mayGoFar(now, c, usable) {
		return nil, ""
	}
	return pack(u, fit), "fits_far"
}

// mayGoFar reports whether a unit may start away from its rack although it takes longer there: its objective is met even
// so, its racks could never hold it, or the wait has cost more than the longer run would.
func (f *Scheduler) mayGoFar(now time.Time, c *candidate, usable []*executor) bool {
	u := c.u
	expected := f.speed.expected(u.job.rec.Queue, u.spec().Estimate)
	extra := time.Duration((f.settings.SlowFactor - 1) * float64(expected))
	if now.Add(extra).Before(c.latest) && c.class > 1 {
		return true
	}
	if now.Sub(u.readyAt) > extra {
		return true
	}
	return !f.nearPossible(u, usable)
}

// nearPossible reports whether the empty executors of a wanted rack could hold a unit.
func (f *Scheduler) nearPossible(u *unit, usable []*executor) bool {
	s := u.spec()
	room := map[string]int{}
	for _, e := range usable {
		if s.Rack != "" && e.rack != s.Rack || !f.matches(u, e) {
			continue
		}
		room[e.rack] += capacityFor(s, e.info.Capacity)
		if room[e.rack] >= u.n {
			return true
		}
	}
	return false
}

// capacityFor returns how many tasks of a step an amount holds.
func capacityFor(s *workload.Step, free workload.Resources) int {
	n := 1 << 20
	load := s.Load()
	for _, p := range [...][2]int{{load.CPU, free.CPU}, {load.Memory, free.Memory}, {load.GPU, free.GPU}} {
		if p[0] > 0 {
			n = min(n, max(0, p[1])/p[0])
		}
	}
	if s.MaxPerExecutor > 0 {
		n = min(n, s.MaxPerExecutor)
	}
	return n
}

// slot is an executor with the number of tasks of a unit that it has room for.
type slot struct {
	e    *executor
	room int
	// waste is how much of the executor's accelerators and processors stays unused after one more task; less is better.
	waste float64
}

// matches reports whether an executor may run a unit, apart from its room.
func (f *Scheduler) matches(u *unit, e *executor) bool {
	s := u.spec()
	return e.info.Pool == f.route(u.job).Pool && (s.Requires == "" || slices.Contains(e.info.Labels, s.Requires))
}

// fitting returns the executors that have room for at least one task of a unit, those with the least waste first.
func (f *Scheduler) fitting(now time.Time, u *unit, usable []*executor) []slot {
	s := u.spec()
	load := s.Load()
	var out []slot
	for _, e := range usable {
		free := e.free()
		if !load.Fits(free) || !f.matches(u, e) || e.info.ID == u.avoid && now.Before(u.avoidUntil) {
			continue
		}
		room := capacityFor(s, free)
		if s.MaxPerExecutor > 0 {
			room = min(room, s.MaxPerExecutor-e.countOf(u))
		}
		if e.suspicion.current(now) >= suspicionBlocks {
			// A suspected executor gets a single run as a probe.
			room = min(room, 1)
		}
		if room > 0 {
			out = append(out, slot{e, room, waste(e, load)})
		}
	}
	slices.SortStableFunc(out, func(a, b slot) int { return cmp.Compare(a.waste, b.waste) })
	return out
}

// countOf returns the number of tasks of a unit's step on an executor.
func (e *executor) countOf(u *unit) int {
	n := 0
	for _, m := range e.members {
		if m.task.Job == u.job.rec.ID && m.task.Occurrence == u.occurrence && m.task.Step == u.step {
			n++
		}
	}
	return n
}

// coldWaste keeps units away from executors that are slow after their start while others have room.
const coldWaste = 10

// waste returns how much of an executor stays free after a task, as a share: first accelerators, then processors.
func waste(e *executor, load workload.Resources) float64 {
	free := e.free().Sub(load)
	c := e.info.Capacity
	w := 0.0
	if c.GPU > 0 {
		w += float64(free.GPU) / float64(c.GPU)
	}
	if c.CPU > 0 {
		w += float64(free.CPU) / float64(c.CPU) / 2
	}
	if e.info.ColdFor > 0 {
		w += coldWaste
	}
	return w
}

// pack fills the executors in their order until all tasks of a unit have a place, or returns nil.
func pack(u *unit, fit []slot) []*executor {
	on := make([]*executor, 0, u.n)
	for _, s := range fit {
		for range s.room {
			on = append(on, s.e)
			if len(on) == u.n {
				return on
			}
		}
	}
	return nil
}

// findNear places a unit on its rack or, for a gang that belongs together, on the rack that it fills best.
func (f *Scheduler) findNear(u *unit, fit []slot) []*executor {
	s := u.spec()
	if s.Rack != "" {
		return pack(u, slices.DeleteFunc(slices.Clone(fit), func(c slot) bool { return c.e.rack != s.Rack }))
	}
	racks := map[string][]slot{}
	room := map[string]int{}
	var names []string
	for _, c := range fit {
		if _, ok := racks[c.e.rack]; !ok {
			names = append(names, c.e.rack)
		}
		racks[c.e.rack] = append(racks[c.e.rack], c)
		room[c.e.rack] += c.room
	}
	best := ""
	for _, r := range names {
		if room[r] >= u.n && (best == "" || room[r] < room[best]) {
			best = r
		}
	}
	return pack(u, racks[best])
}
