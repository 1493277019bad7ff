package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// preempt frees capacity for a unit of priority 0 by stopping units of higher classes, those with the least lost work
// first, and reserves it for the unit. It reports whether it succeeded.
func (f *Scheduler) preempt(now time.Time, c *candidate, u *unit, usable []*executor) bool {
	// Only priority 0 preempts, and beyond the guarantee of its account only while it can still meet its objective.
	if c.Class > classUrgent || c.Class > classPartlyGuaranteed && now.After(c.LatestStart) {
		return false
	}
	if f.settings.ChooseVictims && f.failsLike(c, u) {
		return false
	}
	advised := f.adviceFor(u) != nil
	maxWaitOver := now.Sub(u.pendingSince) >= maxAdviceWait
	if advised && u.adviceOpen && !maxWaitOver {
		// An executor with free capacity may be permitted.
		if p := f.policyOf(u.job); p.DecideDominates(p.BatchSize(1)) {
			f.requestVacatable(now, c, u, usable)
		}
		return false
	}
	step := u.spec()
	if !u.needsRack() {
		p := f.findPreemption(now, c, u, usable)
		if p == nil && advised && f.requestVacatable(now, c, u, usable) && !maxWaitOver {
			// An executor that can be vacated may be permitted.
			return false
		}
		if p == nil && c.Class == classGuaranteed {
			p = f.findRelocation(now, c, u, usable)
		}
		return f.applyPreemption(now, c, u, p)
	}
	// Of the racks that can hold the unit, the one with the least lost work is chosen.
	racks := map[string][]*executor{}
	var names []string
	for _, e := range usable {
		if step.Rack != "" && e.rack != step.Rack {
			continue
		}
		if _, ok := racks[e.rack]; !ok {
			names = append(names, e.rack)
		}
		racks[e.rack] = append(racks[e.rack], e)
	}
	var best *preemption
	for _, r := range names {
		if p := f.findPreemption(now, c, u, racks[r]); p != nil && (best == nil || p.cost < best.cost) {
			best = p
		}
	}
	if best == nil && advised && f.requestVacatable(now, c, u, usable) && !maxWaitOver {
		// A rack that can hold the unit may be permitted.
		return false
	}
	if best == nil {
		// No rack can hold the unit even after preemption, so that it is placed across racks.
		best = f.findPreemption(now, c, u, usable)
	}
	if best == nil && c.Class == classGuaranteed {
		best = f.findRelocation(now, c, u, usable)
	}
	return f.applyPreemption(now, c, u, best)
}

// preemption is a placement of a unit that stops other units, the victims; cost is their lost work.
type preemption struct {
	placement []*executor
	victims   []*unit
	cost      float64
	// awaited lists the runs whose own end the placement waits for, until awaitUntil.
	awaited    []awaitedRun
	awaitUntil time.Time
}

// findPreemption returns a placement of a unit for which others are stopped, or nil if there is none.
func (f *Scheduler) findPreemption(now time.Time, c *candidate, u *unit, usable []*executor) *preemption {
	if f.settings.ChooseVictims {
		return f.choosePreemption(now, c, u, usable)
	}
	return f.findPreemptionByTask(now, c.Class, u, usable)
}

// findPreemptionByTask places the tasks of a unit one by one, each where the least work is lost. It returns nil if not
// all fit.
func (f *Scheduler) findPreemptionByTask(now time.Time, class int, u *unit, usable []*executor) *preemption {
	load := u.spec().CapacityNeed()
	p := &preemption{}
	chosen := map[*unit]bool{}
	budgets := newStopBudgets(class)
	freed := map[*executor]workload.Resources{}
	placed := map[*executor]int{}
	limit := u.spec().MaxPerExecutor
	advice := f.adviceFor(u)
	pool := f.route(u.job).Pool
	var hosts []*executor
	for _, e := range usable {
		if f.mayReserve(now, u, advice, e.info.ID) && e.matches(pool, u.spec()) && load.Fits(e.info.Capacity) {
			hosts = append(hosts, e)
			freed[e] = e.endingLoad()
		}
	}
	for range u.size {
		var (
			best        *executor
			bestCost    float64
			bestVictims []*unit
		)
		for _, e := range hosts {
			if limit > 0 && e.stepTaskCount(u)+placed[e] >= limit {
				continue
			}
			victims, cost, ok := f.selectVictims(now, class, e, load.Sub(e.free().Add(freed[e])), chosen, budgets)
			if ok && (best == nil || cost < bestCost) {
				best, bestCost, bestVictims = e, cost, victims
			}
		}
		if best == nil {
			return nil
		}
		for _, victim := range bestVictims {
			chosen[victim] = true
			budgets.take(victim)
			p.victims = append(p.victims, victim)
			for _, r := range victim.taskRuns {
				freed[r.executor] = freed[r.executor].Add(r.load)
			}
		}
		freed[best] = freed[best].Sub(load)
		placed[best]++
		p.placement = append(p.placement, best)
		p.cost += bestCost
	}
	return p
}

// endingLoad returns what the runs of units that are ending occupy.
func (e *executor) endingLoad() workload.Resources {
	var sum workload.Resources
	for _, r := range e.taskRuns {
		if r.unit != nil && r.unit.ending {
			sum = sum.Add(r.load)
		}
	}
	return sum
}

// selectVictims returns the units to stop on an executor so that the missing resources become free, and their lost
// work. Units of chosen are not stopped, and budgets is what remains beside them. The last result is false if the units that
// may be stopped do not occupy enough.
func (f *Scheduler) selectVictims(now time.Time, class int, e *executor, missing workload.Resources, chosen map[*unit]bool, budgets stopBudgets) ([]*unit, float64, bool) {
	if missing.CPU <= 0 && missing.Memory <= 0 && missing.GPU <= 0 {
		return nil, 0, true
	}
	type option struct {
		u    *unit
		load workload.Resources
		cost float64
	}
	var options []option
	for _, r := range e.taskRuns {
		victim := r.unit
		if victim == nil || chosen[victim] || victim.ending || victim.state != unitActive || victim.reserved() || f.runningClass(victim) <= class {
			continue
		}
		budgets.of(victim)
		i := slices.IndexFunc(options, func(o option) bool { return o.u == victim })
		if i < 0 {
			options = append(options, option{victim, r.load, f.lostWork(now, victim)})
		} else {
			options[i].load = options[i].load.Add(r.load)
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	var (
		out  []*unit
		cost float64
	)
	left := budgets.clone()
	for _, o := range options {
		if missing.CPU <= 0 && missing.Memory <= 0 && missing.GPU <= 0 {
			break
		}
		if !left.take(o.u) {
			continue
		}
		out = append(out, o.u)
		cost += o.cost
		missing = missing.Sub(o.load)
	}
	return out, cost, missing.CPU <= 0 && missing.Memory <= 0 && missing.GPU <= 0
}

const (
	// restartOverhead is the time that a stopped run loses in addition to its work: the stop, the wait for capacity and
	// the start.
	restartOverhead = time.Second
	// priorityCostFactor is the factor by which lost work of a priority weighs more than that of the next lower one.
	priorityCostFactor = 4
	// lowestPriority is the priority from which on the weight of lost work does not decrease further.
	lowestPriority = 2
)

// priorityCost returns the weight of the lost work of a unit by its priority, so that the least urgent work is
// preempted first.
func (f *Scheduler) priorityCost(u *unit) float64 {
	w := 1.0
	if u.job.excess {
		return w / priorityCostFactor
	}
	for p := f.route(u.job).Priority; p < lowestPriority; p++ {
		w *= priorityCostFactor
	}
	return w
}

// lostWork returns the work that is lost by stopping a unit, in core-seconds weighted by priority.
func (f *Scheduler) lostWork(now time.Time, u *unit) float64 {
	lost := now.Sub(u.startedAt)
	switch {
	case u.spec().Checkpoint && f.settings.ChooseVictims:
		// A stop saves a checkpoint, so that only the restore is lost.
		lost = min(lost, f.settings.CheckpointRestoreTime)
	case u.spec().Checkpoint:
		lost = min(lost, f.settings.CheckpointRestoreTime+f.settings.CheckpointInterval/2)
	}
	lost += restartOverhead
	return lost.Seconds() * float64(u.size) * float64(weightedMillicores(u.spec().Need)) / 1000 * f.priorityCost(u)
}

// applyPreemption stops the victims of a preemption and reserves its placement. It reports false if p is nil.
func (f *Scheduler) applyPreemption(now time.Time, c *candidate, u *unit, p *preemption) bool {
	if p == nil {
		f.recordFailedPreemption(c, u)
		return false
	}
	u.awaited, u.awaitUntil = p.awaited, p.awaitUntil
	if len(p.awaited) > 0 {
		f.count(CountAwaited)
	}
	for _, victim := range p.victims {
		if f.runningClass(victim) == classGuaranteed {
			victim.relocatedAt = now
			f.count(CountRelocated)
			f.interrupt(now, victim, StopRelocated)
			continue
		}
		f.count(CountPreempted)
		f.interrupt(now, victim, StopPreempted)
	}
	f.reserve(now, u, p.placement)
	return true
}
