package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// stepKey identifies a step of an occurrence of a job.
type stepKey struct {
	job              *job
	occurrence, step int
}

// placeWaiting places the waiting candidates in their order.
func (f *Scheduler) placeWaiting(now time.Time, waiting []*candidate) {
	if len(waiting) == 0 {
		return
	}
	f.updatePaces(now)
	usable := slices.DeleteFunc(slices.Clone(f.sortedExecutors), func(e *executor) bool { return !f.eligible(now, e) })
	clear(f.failedPreemptions)
	budget := f.headroom(now, usable)
	var filter backfill
	// roomNeeded holds the pools in which other work than excess work waits for capacity.
	roomNeeded := map[workload.Pool]bool{}
	for _, c := range waiting {
		pool := f.route(c.units[0].job).Pool
		if c.Excess && roomNeeded[pool] && budget.lowCapacity {
			setWaiting(c.units, WaitAccountRate)
			continue
		}
		first := c.units[0]
		c.expected = f.expectedRunTime(first)
		if c.Class <= classUrgent || first.spec().LongRunning || filter.permits(now, c.expected) {
			f.placeStep(now, c, usable, &budget, &filter)
		} else {
			setWaiting(c.units, WaitGang)
		}
		if !c.Excess && !roomNeeded[pool] && f.needsRoom(c, usable) {
			roomNeeded[pool] = true
		}
	}
}

// placeStep places the waiting units of a step until one does not fit: the units of a step have equal demands.
func (f *Scheduler) placeStep(now time.Time, c *candidate, usable []*executor, budget *headroom, filter *backfill) {
	for i, waiting := 0, c.waiting(); i < waiting; i++ {
		u := c.unit(i)
		if now.Before(u.notBefore) {
			u.waitsFor = WaitRetry
			continue
		}
		if u.job.mayRunPending() {
			// No unit of the job starts before the record is durable, so that no placement is needed yet.
			c.setWaiting(i, WaitRecord)
			f.holdRoomForStep(u, waiting-i)
			return
		}
		// Each placement uses some of the account's guarantee, so that the class of the next unit may differ.
		c.Class = f.classOf(u)
		if reason := f.tryPlace(now, c, u, budget); reason != "" {
			if reason == WaitAccountLimit && i+1 < waiting && f.withinGuarantee(u) {
				// Room below the limit is vacated for all guaranteed units at once.
				u.waitsFor = reason
				continue
			}
			c.setWaiting(i, reason)
			if reason == WaitCapacity && c.Class <= classUrgent && f.couldFit(u, usable, false) {
				// Other work of the account does not take the room below the limit, which may have been vacated for this unit.
				f.holdRoomForStep(u, waiting-i)
			}
			if reason != WaitAccountLimit && budget.lowCapacity && f.limitsBackfill(now, c, u, usable) {
				filter.restrictTo(c.LatestStart)
			}
			return
		}
		budget.consume(u)
	}
}

// waiting returns the number of pending units, including the untried ones.
func (c *candidate) waiting() int { return len(c.units) + c.units[0].group.untried() }

// unit returns the pending unit with an index. The first untried unit that cannot be placed stands for all others, so that a
// wide step that waits takes little memory.
func (c *candidate) unit(i int) *unit {
	if i < len(c.units) {
		return c.units[i]
	}
	last := c.units[len(c.units)-1]
	if c.triesUntried && last.state == unitPending {
		return last
	}
	c.triesUntried = true
	u := last.group.nextUntried()
	c.units = append(c.units, u)
	return u
}

// setWaiting sets the reason of the units from an index on that are not started.
func (c *candidate) setWaiting(i int, r WaitReason) {
	setWaiting(c.units[min(i, len(c.units)-1):], r)
}

// tryPlace places a unit if the headroom allows it. It returns why the next unit of the step is not worth trying, or "".
func (f *Scheduler) tryPlace(now time.Time, c *candidate, u *unit, budget *headroom) WaitReason {
	if !f.belowLimit(now, c, u, budget.usable) {
		return WaitAccountLimit
	}
	if !budget.allows(c.Class, u) {
		return WaitHeadroom
	}
	if u.isFixed() && c.Class > classGuaranteed {
		return f.tryPlaceFixed(now, c, u, budget.usable)
	}
	executors := budget.executorsFor(now, c, u)
	if !f.placeUnit(now, c, u, executors) {
		if len(executors) == len(budget.usable) || f.couldFit(u, executors, false) {
			return WaitCapacity
		}
		// The executors beside the reserve can't hold the unit even when they are empty.
		if !f.placeUnit(now, c, u, budget.usable) {
			return WaitCapacity
		}
	}
	if u.job.mayRunPending() {
		u.waitsFor = WaitRecord
		f.holdRoom(u)
	}
	return ""
}

// tryPlaceFixed places a unit whose tasks cannot give way to guaranteed work, where enough room for that is left. It returns
// what tryPlace returns.
func (f *Scheduler) tryPlaceFixed(now time.Time, c *candidate, u *unit, usable []*executor) WaitReason {
	sets := f.besideGuarantees(now, u, usable)
	i := slices.IndexFunc(sets, func(executors []*executor) bool {
		placement, _ := f.findPlacement(now, u, executors)
		return placement != nil
	})
	// Only the largest set is worth a preemption.
	executors := sets[len(sets)-1]
	if i >= 0 {
		executors = sets[i]
	}
	switch {
	case f.placeUnit(now, c, u, executors):
		if u.job.mayRunPending() {
			u.waitsFor = WaitRecord
			f.holdRoom(u)
		}
		return ""
	case len(executors) < len(usable):
		return WaitGuarantee
	default:
		return WaitCapacity
	}
}

// backfill restricts the work that may start ahead of gangs which do not fit, so that capacity becomes free for them:
// it has to end before the earliest latest start of these gangs.
type backfill struct {
	// deadline is when the work has to end; zero while no gang waits.
	deadline time.Time
}

func (b *backfill) restrictTo(end time.Time) {
	if b.deadline.IsZero() || end.Before(b.deadline) {
		b.deadline = end
	}
}

// permits reports whether work with an expected run time may start.
func (b *backfill) permits(now time.Time, expected time.Duration) bool {
	return b.deadline.IsZero() || !now.Add(expected).After(b.deadline)
}

// limitsBackfill reports whether backfill is restricted for a unit that does not fit: for a gang that can still meet
// its objective and that would fit on empty executors.
func (f *Scheduler) limitsBackfill(now time.Time, c *candidate, u *unit, usable []*executor) bool {
	return u.size > 1 && c.Class > classUrgent && !now.After(c.LatestStart) && f.couldFit(u, usable, false)
}

// placeUnit starts a unit, or preempts others and reserves their capacity for it. It reports whether the next unit of
// the step is worth trying.
func (f *Scheduler) placeUnit(now time.Time, c *candidate, u *unit, usable []*executor) bool {
	u.latestStart = c.LatestStart
	placement, reason := f.findPlacement(now, u, usable)
	// A job starts only after the record that it may run is durable.
	mayRunRecorded := u.job.requestMayRun()
	switch {
	case placement == nil:
		return mayRunRecorded && f.preempt(now, c, u, usable)
	case mayRunRecorded:
		f.reserve(now, u, placement)
		if f.checkTickets(now, u) == ticketsUsable {
			f.start(now, u, reason)
		}
	}
	return true
}

// findPlacement returns an executor for each task of a unit and the reason of the choice, or nil if the unit does not
// fit.
func (f *Scheduler) findPlacement(now time.Time, u *unit, usable []*executor) ([]*executor, string) {
	fit := f.fittingExecutors(now, u, usable)
	if a := f.adviceFor(u); a != nil {
		return f.findAdvised(now, u, usable, fit, a)
	}
	return f.choosePlacement(now, u, usable, fit)
}

// choosePlacement is findPlacement on the executors on which tasks of the unit fit.
func (f *Scheduler) choosePlacement(now time.Time, u *unit, usable []*executor, fit []fitOption) ([]*executor, string) {
	if len(fit) == 0 {
		return nil, ""
	}
	sets := byPace(u, fit)
	for _, options := range sets {
		if !u.needsRack() {
			if placement := pack(u, options); placement != nil {
				return placement, "fits"
			}
		} else if placement := f.findInRack(u, options); placement != nil {
			return placement, "fits_rack"
		}
	}
	if !u.needsRack() || !f.mayLeaveRack(now, u, usable) {
		return nil, ""
	}
	for _, options := range sets {
		if placement := pack(u, options); placement != nil {
			return placement, "fits_far"
		}
	}
	return nil, ""
}

// needsRack reports whether a unit runs longer away from a certain rack or on more than one.
func (u *unit) needsRack() bool {
	s := u.spec()
	return s.Rack != "" || s.Gang && s.SameRack && u.size > 1
}

// mayLeaveRack reports whether a unit may start outside its rack, although it runs longer and occupies its executors
// longer there: no rack could hold it, or it has waited for longer than the extra run time.
func (f *Scheduler) mayLeaveRack(now time.Time, u *unit, usable []*executor) bool {
	expected := f.expectedRunTime(u)
	extraTime := time.Duration((f.settings.RemoteSlowdown - 1) * float64(expected))
	return now.Sub(u.readyAt) > extraTime || !f.couldFit(u, usable, true)
}

// couldFit reports whether a unit would fit if the executors were empty: on all of them together or, with inRack, on
// those of a single rack that the unit may use.
func (f *Scheduler) couldFit(u *unit, usable []*executor, inRack bool) bool {
	step := u.spec()
	pool := f.route(u.job).Pool
	capacity := map[string]int{}
	for _, e := range usable {
		rack := ""
		if inRack {
			rack = e.rack
		}
		if inRack && step.Rack != "" && rack != step.Rack || !e.matches(pool, step) {
			continue
		}
		capacity[rack] += capacityFor(step, e.info.Capacity)
		if capacity[rack] >= u.size {
			return true
		}
	}
	return false
}

// capacityFor returns how many tasks of a step fit into the free resources of an executor.
func capacityFor(s *workload.Step, free workload.Resources) int {
	n := s.CapacityNeed().CountIn(free)
	if s.MaxPerExecutor > 0 {
		n = min(n, s.MaxPerExecutor)
	}
	return n
}

// fitOption is an executor on which tasks of a unit fit, with their number.
type fitOption struct {
	executor *executor
	tasks    int
	// rank is the rank of the executor for the unit, see the type pacePreference; less is better.
	rank int
	// waste is the share of the executor that stays unused after one more task, see the function waste; less is better.
	waste float64
}

// byWaste orders options by their rank and then by their waste.
func byWaste(a, b fitOption) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.waste, b.waste))
}

// matches reports whether an executor belongs to a pool and has the label that a step requires.
func (e *executor) matches(pool workload.Pool, s *workload.Step) bool {
	return e.info.Pool == pool && (s.Requires == "" || slices.Contains(e.info.Labels, s.Requires))
}

// fittingExecutors returns the executors on which at least one task of a unit fits, for a unit of several tasks in
// order of increasing rank and waste. The result is valid until the next call.
func (f *Scheduler) fittingExecutors(now time.Time, u *unit, usable []*executor) []fitOption {
	step := u.spec()
	load := step.CapacityNeed()
	pool := f.route(u.job).Pool
	preference := f.pacePreference(now, u)
	out := f.fitScratch[:0]
	for _, e := range usable {
		free := e.free()
		if !load.Fits(free) || !e.matches(pool, step) || e.info.ID == u.avoidedExecutor && now.Before(u.avoidUntil) {
			continue
		}
		tasks := 1
		if u.size > 1 {
			tasks = capacityFor(step, free)
		}
		if step.MaxPerExecutor > 0 {
			tasks = min(tasks, step.MaxPerExecutor-e.stepTaskCount(u))
		}
		if e.suspicion.current(now) >= suspicionThreshold {
			// A suspected executor gets only a single run, as a probe.
			tasks = min(tasks, 1)
		}
		if tasks > 0 {
			out = append(out, fitOption{e, tasks, preference.rank(e), waste(e, load)})
		}
	}
	f.fitScratch = out
	if u.size > 1 {
		slices.SortStableFunc(out, byWaste)
	}
	return out
}

// stepTaskCount returns the number of tasks of a unit's step on an executor.
func (e *executor) stepTaskCount(u *unit) int {
	n := 0
	for _, r := range e.taskRuns {
		if r.task.Job == u.job.rec.ID && r.task.Occurrence == u.occurrence && r.task.Step == u.step {
			n++
		}
	}
	return n
}

// coldStartPenalty is the waste added for an executor that is still slow after its start. It exceeds the waste of any
// other executor, so that units start there only if they fit nowhere else.
const coldStartPenalty = 10

// waste returns the free share of an executor's accelerators after one more task, plus half of that of its processors.
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
	if e.info.WarmUpRemaining > 0 {
		w += coldStartPenalty
	}
	return w
}

// pack places a single task on the option with the least waste, and several by filling the options in their order. It
// returns nil if not all tasks fit.
func pack(u *unit, fit []fitOption) []*executor {
	if u.size == 1 {
		if len(fit) == 0 {
			return nil
		}
		return []*executor{slices.MinFunc(fit, byWaste).executor}
	}
	placement := make([]*executor, 0, u.size)
	for _, option := range fit {
		for range option.tasks {
			placement = append(placement, option.executor)
			if len(placement) == u.size {
				return placement
			}
		}
	}
	return nil
}

// findInRack places a unit on the rack that its step names or, for a gang that needs a common rack, on the rack with
// the least free capacity on which it fits (best fit).
func (f *Scheduler) findInRack(u *unit, fit []fitOption) []*executor {
	step := u.spec()
	if step.Rack != "" {
		return pack(u, slices.DeleteFunc(slices.Clone(fit), func(option fitOption) bool { return option.executor.rack != step.Rack }))
	}
	racks := map[string][]fitOption{}
	capacity := map[string]int{}
	var names []string
	for _, option := range fit {
		if _, ok := racks[option.executor.rack]; !ok {
			names = append(names, option.executor.rack)
		}
		racks[option.executor.rack] = append(racks[option.executor.rack], option)
		capacity[option.executor.rack] += option.tasks
	}
	best := ""
	for _, r := range names {
		if capacity[r] >= u.size && (best == "" || capacity[r] < capacity[best]) {
			best = r
		}
	}
	return pack(u, racks[best])
}
