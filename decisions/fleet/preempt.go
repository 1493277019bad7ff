package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// preempt makes room for a unit of priority 0 by stopping units that come after it, those with the least lost work
// first. It reports whether it did.
func (f *Scheduler) preempt(now time.Time, c *candidate, u *unit, usable []*executor) bool {
	// Room is vacated for priority 0 only, and beyond the guarantee of its account only while that meets the objective.
	if c.Class > classUrgent || c.Class > classGuaranteed && now.After(c.Latest) {
		return false
	}
	s := u.spec()
	if s.Rack == "" && !(s.Gang && s.SameRack && u.n > 1) {
		return f.apply(now, u, f.vacancy(now, c.Class, u, usable))
	}
	// The racks are tried one after the other, the one with the least loss first.
	racks := map[string][]*executor{}
	var names []string
	for _, e := range usable {
		if s.Rack != "" && e.rack != s.Rack {
			continue
		}
		if _, ok := racks[e.rack]; !ok {
			names = append(names, e.rack)
		}
		racks[e.rack] = append(racks[e.rack], e)
	}
	var best *vacancy
	for _, r := range names {
		if v := f.vacancy(now, c.Class, u, racks[r]); v != nil && (best == nil || v.cost < best.cost) {
			best = v
		}
	}
	if best == nil {
		// No rack holds the unit even without its borrowers.
		best = f.vacancy(now, c.Class, u, usable)
	}
	return f.apply(now, u, best)
}

// vacancy is a placement of a unit in room that other units give up.
type vacancy struct {
	on      []*executor
	victims []*unit
	cost    float64
}

// vacancy returns the placement of a unit with the least lost work, task by task, or nil if there is none.
func (f *Scheduler) vacancy(now time.Time, class int, u *unit, usable []*executor) *vacancy {
	load := u.spec().Load()
	v := &vacancy{}
	given := map[*unit]bool{}
	freed := map[*executor]workload.Resources{}
	placed := map[*executor]int{}
	limit := u.spec().MaxPerExecutor
	advice := f.adviceOf(u)
	pool := f.route(u.job).Pool
	var hosts []*executor
	for _, e := range usable {
		if advice.permits(now, e.info.ID) && e.matches(pool, u.spec()) && load.Fits(e.info.Capacity) {
			hosts = append(hosts, e)
		}
	}
	for range u.n {
		var (
			best     *executor
			bestCost float64
			bestGive []*unit
		)
		for _, e := range hosts {
			if limit > 0 && e.countOf(u)+placed[e] >= limit {
				continue
			}
			give, cost, ok := f.victims(now, class, e, load.Sub(e.free().Add(freed[e])), given)
			if ok && (best == nil || cost < bestCost) {
				best, bestCost, bestGive = e, cost, give
			}
		}
		if best == nil {
			return nil
		}
		for _, g := range bestGive {
			given[g] = true
			v.victims = append(v.victims, g)
			for _, m := range g.members {
				freed[m.on] = freed[m.on].Add(m.load)
			}
		}
		freed[best] = freed[best].Sub(load)
		placed[best]++
		v.on = append(v.on, best)
		v.cost += bestCost
	}
	return v
}

// victims returns the units to stop on an executor so that the missing amount becomes free, and their lost work.
func (f *Scheduler) victims(now time.Time, class int, e *executor, missing workload.Resources, given map[*unit]bool) ([]*unit, float64, bool) {
	if missing.CPU <= 0 && missing.Memory <= 0 && missing.GPU <= 0 {
		return nil, 0, true
	}
	type option struct {
		u    *unit
		load workload.Resources
		cost float64
	}
	var options []option
	for _, m := range e.members {
		g := m.unit
		if g == nil || given[g] || g.ending || g.state != unitActive || g.reserved() || f.classOfRunning(g) <= class || !f.mayInterrupt(g) {
			continue
		}
		i := slices.IndexFunc(options, func(o option) bool { return o.u == g })
		if i < 0 {
			options = append(options, option{g, m.load, f.lostWork(now, g)})
		} else {
			options[i].load = options[i].load.Add(m.load)
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	var (
		out  []*unit
		cost float64
	)
	for _, o := range options {
		if missing.CPU <= 0 && missing.Memory <= 0 && missing.GPU <= 0 {
			break
		}
		out = append(out, o.u)
		cost += o.cost
		missing = missing.Sub(o.load)
	}
	return out, cost, missing.CPU <= 0 && missing.Memory <= 0 && missing.GPU <= 0
}

// classOfRunning returns the class of a unit that runs: priority 0 beyond the guarantee of its account gives way to
// guaranteed work.
func (f *Scheduler) classOfRunning(u *unit) int {
	r := f.route(u.job)
	if r.Priority > 0 {
		return classUrgent + r.Priority
	}
	if t := f.config.Tenant(u.job.rec.Account); t != nil && f.usage[u.job.rec.Account] <= t.Guaranteed {
		return classGuaranteed
	}
	return classUrgent
}

const (
	// restartCost is the time that a stopped run loses beside its work: the stop, the wait for room and the start.
	restartCost = time.Second
	// importanceStep is how much more the work of a priority counts than that of the next one when room is vacated.
	importanceStep = 4
	// lowestPriority is the priority from which the importance does not fall further.
	lowestPriority = 2
)

// importance weighs the lost work of a unit by its priority, so that the least urgent work gives way first.
func (f *Scheduler) importance(u *unit) float64 {
	w := 1.0
	for p := f.route(u.job).Priority; p < lowestPriority; p++ {
		w *= importanceStep
	}
	return w
}

// lostWork returns the work that a stop of a unit throws away, in core-seconds.
func (f *Scheduler) lostWork(now time.Time, u *unit) float64 {
	lost := now.Sub(u.startedAt)
	if u.spec().Checkpoint {
		lost = min(lost, f.settings.RestoreTime+f.settings.SaveInterval/2)
	}
	lost += restartCost
	return lost.Seconds() * float64(u.n) * float64(weightOf(u.spec().Need)) / 1000 * f.importance(u)
}

// apply stops the victims of a vacancy and reserves their room.
func (f *Scheduler) apply(now time.Time, u *unit, v *vacancy) bool {
	if v == nil {
		return false
	}
	for _, g := range v.victims {
		f.count(CountPreempt)
		f.interrupt(now, g, StopPreempted)
	}
	f.reserve(now, u, v.on)
	return true
}
