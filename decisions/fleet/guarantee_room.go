package fleet

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// isFixed reports whether running tasks of a unit cannot give way to guaranteed work at once: tasks that last and of which
// only some may be missing.
func (u *unit) isFixed() bool {
	s := u.spec()
	return s.LongRunning && s.MayMiss > 0 && s.MayMiss < s.Count
}

// guaranteeRoom is the room of a pool in which guaranteed work can start. It consists of the executors that carry no
// fixed tasks and no lasting tasks within a guarantee, and to which no fixed task is to come back: the rest of such an
// executor may not hold the next guaranteed task.
type guaranteeRoom struct {
	// occupied holds the other executors.
	occupied map[*executor]bool
	// spare is the number of accelerators of the room beyond what accounts may still reclaim, not counting executors that are
	// out of use for a while; outOfUse is the number on these.
	spare, outOfUse int
	// limited is set if the room has to be kept: accounts have guarantees that the pool can hold.
	limited bool
}

// guaranteeRoomOf returns the room of a pool in this planning pass.
func (f *Scheduler) guaranteeRoomOf(pool workload.Pool) *guaranteeRoom {
	if g := f.guaranteeRooms[pool]; g != nil {
		return g
	}
	g := &guaranteeRoom{occupied: map[*executor]bool{}}
	f.guaranteeRooms[pool] = g
	reclaimable := f.reclaimable(pool)
	if reclaimable == 0 {
		return g
	}
	returns := map[*executor]bool{}
	for _, u := range f.pendingUnits {
		if u.state == unitPending && u.isFixed() {
			returns[u.lastHost] = true
		}
	}
	total := 0
	for _, e := range f.sortedExecutors {
		if e.info.Pool != pool || e.closed() {
			continue
		}
		gpus := e.info.Capacity.GPU
		total += gpus
		switch {
		case returns[e] || slices.ContainsFunc(e.taskRuns, func(r *taskRun) bool { return r.unit != nil && f.occupiesGuaranteeRoom(r.unit) }):
			g.occupied[e] = true
		case f.excludedDomains[e.info.Domain] || f.evacuating[e.info.ID]:
			g.outOfUse += gpus
		default:
			g.spare += gpus
		}
	}
	g.spare -= reclaimable
	// Guarantees that exceed the pool cannot be kept, and would keep lasting tasks from running at all. Executors that are
	// out of use for a while do not make them so.
	g.limited = reclaimable <= total
	return g
}

// occupiesGuaranteeRoom reports whether running tasks of a unit cannot be stopped for guaranteed work of other accounts
// before their job ends.
func (f *Scheduler) occupiesGuaranteeRoom(u *unit) bool {
	return u.isFixed() || u.spec().LongRunning && f.runningClass(u) == classGuaranteed
}

// occupy takes an executor that is in use out of the room.
func (g *guaranteeRoom) occupy(e *executor) {
	if !g.occupied[e] {
		g.occupied[e] = true
		g.spare -= e.info.Capacity.GPU
	}
}

// beside returns the executors on which fixed tasks of a unit leave the room for guarantees if the room has so many
// accelerators to spare.
func (g *guaranteeRoom) beside(u *unit, usable []*executor, spare int) []*executor {
	var out []*executor
	for _, e := range usable {
		switch gpus := e.info.Capacity.GPU; {
		case g.occupied[e] || gpus == 0:
		case gpus > spare:
			continue
		case u.size > 1:
			// The tasks of a gang may take all of these executors.
			spare -= gpus
		}
		out = append(out, e)
	}
	return out
}

// besideGuarantees returns the executors on which fixed tasks of a unit may start, in sets of which an earlier one is preferred.
//
// The first start of a task has to leave the room that accounts may reclaim. Executors that are out of use for a while count
// as room if the others do not suffice: idle capacity is not withheld meanwhile, and what may be reclaimed is there
// when they return. A task that cannot come back to its executor starts wherever it fits, because it was admitted before.
func (f *Scheduler) besideGuarantees(now time.Time, u *unit, usable []*executor) [][]*executor {
	g := f.guaranteeRoomOf(f.route(u.job).Pool)
	if !g.limited {
		return [][]*executor{usable}
	}
	sets := [][]*executor{g.beside(u, usable, g.spare)}
	if g.outOfUse > 0 {
		sets = append(sets, g.beside(u, usable, g.spare+g.outOfUse))
	}
	if u.lastHost != nil && !f.eligible(now, u.lastHost) {
		sets = append(sets, usable)
	}
	return sets
}

// moveReturns lets the fixed tasks that were to come back to one executor come back to another, on which the first of them
// has started: together they occupy no more room than before.
func (f *Scheduler) moveReturns(from, to *executor) {
	for _, u := range f.pendingUnits {
		if u.lastHost == from {
			u.lastHost = to
		}
	}
}

// fixedUse returns the accelerators that fixed tasks of an account use outside its guarantee.
func (f *Scheduler) fixedUse(a workload.Account) int {
	sum := 0
	for _, u := range f.activeUnits {
		if u.job.rec.Account == a && u.state == unitActive && u.isFixed() && f.route(u.job).Priority > 0 {
			sum += u.totalNeed().GPU
		}
	}
	return sum
}

// leavesGuarantee reports whether the limit of its account leaves room for the guarantee of the account beside a unit: fixed
// tasks of the account could not be stopped for its guaranteed work.
func (f *Scheduler) leavesGuarantee(u *unit) bool {
	t := f.config.Account(u.job.rec.Account)
	if t == nil || t.Limit.GPU == 0 || guaranteedTo(t) == 0 || !u.isFixed() || f.route(u.job).Priority == 0 {
		return true
	}
	return f.fixedUse(t.Name)+u.totalNeed().GPU+guaranteedTo(t) <= t.Limit.GPU
}
