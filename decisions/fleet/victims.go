package fleet

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/victims"
)

// awaitTime returns how long a preemption for a unit may wait for others that end by themselves: the time that a stop
// takes on average, so that the urgent unit starts no later than after a stop. A unit that has waited in vain does not
// wait again.
func (f *Scheduler) awaitTime(u *unit) time.Duration {
	if u.awaitFailed {
		return 0
	}
	return f.settings.MaxStopTime / 2
}

// awaitedRun is a run of a unit whose own end a reservation waits for.
type awaitedRun struct {
	unit *unit
	run  workload.RunNumber
}

// awaitsInVain reports whether a reserved unit has waited long enough for a run that goes on.
func (u *unit) awaitsInVain(now time.Time) bool {
	return now.After(u.awaitUntil) && slices.ContainsFunc(u.awaited, func(a awaitedRun) bool {
		return a.unit.state == unitActive && a.unit.run == a.run && !a.unit.ending
	})
}

// endsWithin reports whether a unit is expected to end by itself within a time, by its reported progress. The model of run
// times is not asked: a search looks at thousands of units.
func endsWithin(now time.Time, u *unit, d time.Duration) bool {
	pace := u.progressPerSecond()
	if pace <= 0 || u.spec().LongRunning {
		return false
	}
	left := time.Duration(float64(fullProgress-u.progress) / pace * float64(time.Second))
	return left-now.Sub(u.progressAt) <= d
}

// choosePreemption places the tasks of a unit on executors of which other units are stopped or awaited: on those of
// suitable pace if the unit fits there, otherwise on all. It returns nil if not all tasks fit.
func (f *Scheduler) choosePreemption(now time.Time, c *candidate, u *unit, usable []*executor) *preemption {
	pace := f.pacePreference(now, u)
	suitable := slices.DeleteFunc(slices.Clone(usable), func(e *executor) bool { return pace.rank(e) > rankNext })
	if len(suitable) < len(usable) {
		if p := f.choosePreemptionOn(now, c, u, suitable, nil); p != nil {
			return p
		}
	}
	return f.choosePreemptionOn(now, c, u, usable, nil)
}

// choosePreemptionOn places the tasks of a unit on some executors. Units of higher classes may be stopped, and those that
// mayAlso, if not nil, permits.
func (f *Scheduler) choosePreemptionOn(now time.Time, c *candidate, u *unit, usable []*executor, mayAlso func(time.Time, *unit) bool) *preemption {
	step := u.spec()
	load := step.CapacityNeed()
	pool := f.route(u.job).Pool
	advice := f.adviceFor(u)
	await := f.awaitTime(u)
	var (
		executors []*executor
		hosts     []victims.Host
		running   []*unit
		units     []victims.Unit
	)
	budgets := newStopBudgets(c.Class)
	// index holds the indices of units in running, or -1 for those that are neither stopped nor awaited.
	index := map[*unit]int{}
	for _, e := range usable {
		if !f.mayReserve(now, u, advice, e.info.ID) || !e.matches(pool, step) || !load.Fits(e.info.Capacity) {
			continue
		}
		host := victims.Host{Free: e.free(), Slots: capacityFor(step, e.info.Capacity)}
		if step.MaxPerExecutor > 0 {
			host.Slots = min(host.Slots, step.MaxPerExecutor-e.stepTaskCount(u))
		}
		for _, r := range e.taskRuns {
			v := r.unit
			if v == nil || v.state != unitActive || v.reserved() {
				continue
			}
			i, known := index[v]
			if !known {
				i = -1
				ends := v.ending || await > 0 && endsWithin(now, v, await)
				if ends || f.runningClass(v) > c.Class || mayAlso != nil && mayAlso(now, v) {
					i = len(running)
					running = append(running, v)
					unit := victims.Unit{Cost: f.lostWork(now, v), Ends: ends, Tasks: v.missingIfStopped()}
					if !ends {
						unit.Budget = budgets.of(v)
					}
					units = append(units, unit)
				}
				index[v] = i
			}
			if i < 0 {
				continue
			}
			host.Occupants = addOccupant(host.Occupants, i, r.load)
		}
		executors = append(executors, e)
		hosts = append(hosts, host)
	}
	plan, ok := victims.Choose(load, u.size, hosts, units)
	if !ok {
		return nil
	}
	p := &preemption{cost: plan.Cost}
	for _, i := range plan.Awaited {
		if v := running[i]; !v.ending {
			p.awaited = append(p.awaited, awaitedRun{v, v.run})
			p.awaitUntil = now.Add(await)
		}
	}
	for _, h := range plan.Hosts {
		p.placement = append(p.placement, executors[h])
	}
	for _, i := range plan.Stopped {
		p.victims = append(p.victims, running[i])
	}
	return p
}

// addOccupant adds what a unit occupies on a host.
func addOccupant(occupants []victims.Occupant, u int, load workload.Resources) []victims.Occupant {
	for i := range occupants {
		if occupants[i].Unit == u {
			occupants[i].Load = occupants[i].Load.Add(load)
			return occupants
		}
	}
	return append(occupants, victims.Occupant{Unit: u, Load: load})
}

// preemptionKind identifies units for which a preemption finds the same executors and victims.
type preemptionKind struct {
	class          int
	load           workload.Resources
	pool           workload.Pool
	requires, rack string
	maxPerExecutor int
	needsRack      bool
	// fixed units may start on few executors only.
	fixed bool
}

func (f *Scheduler) preemptionKind(c *candidate, u *unit) preemptionKind {
	s := u.spec()
	return preemptionKind{c.Class, s.CapacityNeed(), f.route(u.job).Pool, s.Requires, s.Rack, s.MaxPerExecutor, u.needsRack(), u.isFixed()}
}

// failsLike reports whether the preemption for a unit of the same kind with no more tasks has failed in this planning
// pass. In a burst, many urgent gangs wait at once and the search is the longest part of a pass.
func (f *Scheduler) failsLike(c *candidate, u *unit) bool {
	n, failed := f.failedPreemptions[f.preemptionKind(c, u)]
	return failed && u.size >= n && f.adviceFor(u) == nil
}

func (f *Scheduler) recordFailedPreemption(c *candidate, u *unit) {
	if !f.settings.ChooseVictims || f.adviceFor(u) != nil {
		return
	}
	kind := f.preemptionKind(c, u)
	if n, failed := f.failedPreemptions[kind]; !failed || u.size < n {
		f.failedPreemptions[kind] = u.size
	}
}
