package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// relocationInterval is the shortest time between two relocations of a unit. It bounds the work that is lost if guaranteed
// units of several shapes compete for the same executors.
const relocationInterval = 10 * time.Second

// findRelocation returns a placement of a guaranteed unit for which guaranteed units are stopped that fit elsewhere, or nil
// if there is none. It is for units that others keep from an executor only because they are spread over all of them.
func (f *Scheduler) findRelocation(now time.Time, c *candidate, u *unit, usable []*executor) *preemption {
	p := f.choosePreemptionOn(now, c, u, usable, f.mayRelocate)
	if p == nil || !f.fitElsewhere(u, p, usable) {
		return nil
	}
	return p
}

// mayRelocate reports whether a running unit may be stopped because it fits elsewhere. Gangs and units that are bound to
// some executors stay: whether they fit elsewhere is a search of its own.
func (f *Scheduler) mayRelocate(now time.Time, u *unit) bool {
	s := u.spec()
	return f.runningClass(u) == classGuaranteed && u.size == 1 && !s.LongRunning && s.MaxPerExecutor == 0 && s.Rack == "" &&
		!f.route(u.job).Advised && now.Sub(u.relocatedAt) >= relocationInterval
}

// fitElsewhere reports whether the guaranteed victims of a preemption for a unit fit beside all work that cannot be stopped
// for them.
func (f *Scheduler) fitElsewhere(u *unit, p *preemption, usable []*executor) bool {
	var moved []*unit
	for _, v := range p.victims {
		if f.runningClass(v) == classGuaranteed {
			moved = append(moved, v)
		}
	}
	room := make([]workload.Resources, len(usable))
	for i, e := range usable {
		room[i] = e.info.Capacity
		for _, r := range e.taskRuns {
			if r.unit == nil || !slices.Contains(p.victims, r.unit) && (r.unit.isFixed() || f.runningClass(r.unit) == classGuaranteed) {
				room[i] = room[i].Sub(r.load)
			}
		}
	}
	for _, e := range p.placement {
		i := slices.Index(usable, e)
		room[i] = room[i].Sub(u.spec().CapacityNeed())
	}
	slices.SortStableFunc(moved, func(a, b *unit) int {
		return cmp.Compare(weightedMillicores(b.spec().Need), weightedMillicores(a.spec().Need))
	})
	for _, v := range moved {
		load := v.spec().CapacityNeed()
		pool := f.route(v.job).Pool
		fits := false
		for i, e := range usable {
			if fits = e.matches(pool, v.spec()) && load.Fits(room[i]); fits {
				room[i] = room[i].Sub(load)
				break
			}
		}
		if !fits {
			return false
		}
	}
	return true
}
