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
	var fill backfill
	for _, c := range waiting {
		first := c.units[0]
		expected := f.speed.expected(first.job.rec.Queue, first.spec().Estimate)
		if c.Class <= classUrgent || first.spec().LongRunning || fill.permits(now, expected) {
			f.placeStep(now, c, usable, &room, &fill)
		}
	}
}

// placeStep gives room to the waiting units of a step, until one finds none: the tasks of a step are alike.
func (f *Scheduler) placeStep(now time.Time, c *candidate, usable []*executor, room *headroom, fill *backfill) {
	for _, u := range c.units {
		if now.Before(u.notBefore) {
			continue
		}
		if u.job.unrecorded() {
			// Nothing of the job starts before the record; a look for room would be in vain.
			return
		}
		// Each start uses up the guarantee of its account.
		c.Class = f.classOf(u)
		if !room.allows(c.Class, u) || !f.placeUnit(now, c, u, usable) {
			if room.crowded && f.limitsBackfill(now, c, u, usable) {
				fill.limit(c.Latest)
			}
			return
		}
		room.take(u)
	}
}

// backfill bounds the work that starts beside gangs which found no room, so that room becomes free for them: it has to end
// before the first of them must start.
type backfill struct {
	// end is zero while no gang waits.
	end time.Time
}

func (b *backfill) limit(end time.Time) {
	if b.end.IsZero() || end.Before(b.end) {
		b.end = end
	}
}

// permits reports whether work of an expected time may start.
func (b *backfill) permits(now time.Time, expected time.Duration) bool {
	return b.end.IsZero() || !now.Add(expected).After(b.end)
}

// limitsBackfill reports whether room is to be kept for a unit: a gang that can still meet its objective, and that the
// executors could hold.
func (f *Scheduler) limitsBackfill(now time.Time, c *candidate, u *unit, usable []*executor) bool {
	return u.n > 1 && c.Class > classUrgent && !now.After(c.Latest) && f.couldHold(u, usable, false)
}

// placeUnit starts a unit, or reserves room that others give up for it. It reports whether the next one of its step may be
// tried.
func (f *Scheduler) placeUnit(now time.Time, c *candidate, u *unit, usable []*executor) bool {
	on, reason := f.find(now, u, usable)
	// A job starts once it is recorded that it may run.
	cleared := u.job.clear()
	switch {
	case on == nil:
		return cleared && f.preempt(now, c, u, usable)
	case cleared:
		f.reserve(now, u, on)
		f.start(now, u, reason)
	}
	return true
}

// find returns an executor for each task of a unit, or nil if there is no room.
func (f *Scheduler) find(now time.Time, u *unit, usable []*executor) ([]*executor, string) {
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
	if !f.mayGoFar(now, u, usable) {
		return nil, ""
	}
	return pack(u, fit), "fits_far"
}

// mayGoFar reports whether a unit may start away from its rack although it takes longer there, and occupies its executors
// longer: its racks could never hold it, or the wait has cost more than the longer run would.
func (f *Scheduler) mayGoFar(now time.Time, u *unit, usable []*executor) bool {
	expected := f.speed.expected(u.job.rec.Queue, u.spec().Estimate)
	extra := time.Duration((f.settings.SlowFactor - 1) * float64(expected))
	return now.Sub(u.readyAt) > extra || !f.couldHold(u, usable, true)
}

// couldHold reports whether the executors, if they were empty, could hold a unit: all together, or those of a rack that the
// unit may use.
func (f *Scheduler) couldHold(u *unit, usable []*executor, inRack bool) bool {
	s := u.spec()
	pool := f.route(u.job).Pool
	room := map[string]int{}
	for _, e := range usable {
		rack := ""
		if inRack {
			rack = e.rack
		}
		if inRack && s.Rack != "" && rack != s.Rack || !e.matches(pool, s) {
			continue
		}
		room[rack] += capacityFor(s, e.info.Capacity)
		if room[rack] >= u.n {
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

// byWaste orders slots by what stays unused.
func byWaste(a, b slot) int { return cmp.Compare(a.waste, b.waste) }

// matches reports whether an executor of a pool may run tasks of a step, apart from its room.
func (e *executor) matches(pool workload.Pool, s *workload.Step) bool {
	return e.info.Pool == pool && (s.Requires == "" || slices.Contains(e.info.Labels, s.Requires))
}

// fitting returns the executors that have room for at least one task of a unit. For several tasks those with the least
// waste come first; a single one needs no order. The result is valid until the next call.
func (f *Scheduler) fitting(now time.Time, u *unit, usable []*executor) []slot {
	s := u.spec()
	load := s.Load()
	pool := f.route(u.job).Pool
	out := f.slots[:0]
	for _, e := range usable {
		free := e.free()
		if !load.Fits(free) || !e.matches(pool, s) || e.info.ID == u.avoid && now.Before(u.avoidUntil) {
			continue
		}
		room := 1
		if u.n > 1 {
			room = capacityFor(s, free)
		}
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
	f.slots = out
	if u.n > 1 {
		slices.SortStableFunc(out, byWaste)
	}
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

// pack places a single task where it wastes least, and several by filling the executors in their order; it returns nil if
// not all have a place.
func pack(u *unit, fit []slot) []*executor {
	if u.n == 1 {
		if len(fit) == 0 {
			return nil
		}
		return []*executor{slices.MinFunc(fit, byWaste).e}
	}
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
