package fleet

import (
	"cmp"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/joborder"
)

// The guarantee of an account is a number of accelerators for its work of priority 0. To each accelerator belong as many
// processors and as much memory as the fleet has for one, and work counts with the accelerators to which all that it
// needs belongs. So guarantees that the fleet can hold can be used at once, whatever resources their work needs most.
// This file says what a guarantee covers and which class work has that starts or runs; work gives way to that of lower
// classes.

const (
	// classGuaranteed is the class of priority 0 within the guarantee of its account, and classPartlyGuaranteed that of work
	// of which it covers the accelerators, but not the processors or the memory. Such work may reclaim from all that lies beyond
	// guarantees, and gives way to work within one. classUrgent is the class of priority 0 beyond the guarantee. Lower
	// priorities follow.
	classGuaranteed       = joborder.Guaranteed
	classPartlyGuaranteed = joborder.PartlyGuaranteed
	classUrgent           = joborder.PartlyGuaranteed + 1
)

// classOf returns the class of a unit that is to start. Units of a lower class may preempt those of a higher one.
func (f *Scheduler) classOf(u *unit) int {
	if p := f.route(u.job).Priority; p > 0 {
		return demoted(u.job, classUrgent+p)
	}
	a := u.job.rec.Account
	if !f.coversAccelerators(a, u.totalNeed().GPU) {
		return demoted(u.job, classUrgent)
	}
	share := f.shape().share(u.spec().CapacityNeed())
	if share == milli*u.spec().Need.GPU || f.use.urgentShare[a]+u.size*share <= f.guaranteedShare(a) {
		return classGuaranteed
	}
	return classPartlyGuaranteed
}

// runningClass returns the class of a running unit.
func (f *Scheduler) runningClass(u *unit) int {
	if p := f.route(u.job).Priority; p > 0 {
		return demoted(u.job, classUrgent+p)
	}
	switch f.coverageOf(u) {
	case coveredWhole:
		return classGuaranteed
	case coveredAccelerators:
		return classPartlyGuaranteed
	default:
		return demoted(u.job, classUrgent)
	}
}

// coversAccelerators reports whether the guarantee of an account covers the accelerators of all its runs of priority 0 and
// further ones. Work of lower priorities does not count: it gives way to any guaranteed work.
func (f *Scheduler) coversAccelerators(a workload.Account, further int) bool {
	t := f.config.Account(a)
	return t != nil && t.Guaranteed > 0 && f.use.urgent.Occupied(a).GPU+further <= t.Guaranteed
}

// guaranteedShare returns the guarantee of an account in thousandths of an accelerator.
func (f *Scheduler) guaranteedShare(a workload.Account) int {
	if t := f.config.Account(a); t != nil {
		return milli * t.Guaranteed
	}
	return 0
}

// fleetShape is the capacity of all registered executors that have accelerators, also of those that are out of use for a while.
type fleetShape struct {
	capacity workload.Resources
	// rosterVersion is the version of the roster for which the capacity was determined.
	rosterVersion int64
}

// shape returns the shape of the fleet.
func (f *Scheduler) shape() *fleetShape {
	if s := &f.fleetShape; s.rosterVersion != f.rosterVersion {
		*s = fleetShape{rosterVersion: f.rosterVersion}
		for _, e := range f.sortedExecutors {
			if e.registered && e.info.Capacity.GPU > 0 {
				s.capacity = s.capacity.Add(e.info.Capacity)
			}
		}
	}
	return &f.fleetShape
}

// milli is the number of parts of an accelerator in which shares are counted.
const milli = 1000

// share returns the accelerators to which resources belong, in thousandths: those among them or, if that is more, those to
// which the processors or the memory belong.
func (s *fleetShape) share(r workload.Resources) int {
	n := milli * r.GPU
	for _, p := range [...]struct{ need, capacity int }{{r.CPU, s.capacity.CPU}, {r.Memory, s.capacity.Memory}} {
		if p.need > 0 && p.capacity > 0 {
			n = max(n, (milli*p.need*s.capacity.GPU+p.capacity-1)/p.capacity)
		}
	}
	return n
}

// coverage says which part of a running unit of priority 0 the guarantee of its account covers.
type coverage uint8

const (
	coveredNothing coverage = iota
	coveredAccelerators
	coveredWhole
)

// accountCoverage caches the coverage of the running units of an account whose runs of priority 0 exceed its guarantee.
type accountCoverage struct {
	// version is that of the runs of the account, shape that of the fleet and guaranteed the guarantee for which the coverage was determined.
	version    int64
	shape      workload.Resources
	guaranteed int
	units      map[*unit]coverage
}

// coverageOf returns the coverage of a running unit of priority 0. A guarantee covers first the units that need no more than
// belongs to their accelerators, so that work of other shapes does not take it away, and of these, as of the
// others, the units that were accepted first: an account that also runs work beyond its guarantee keeps what it
// guarantees.
func (f *Scheduler) coverageOf(u *unit) coverage {
	a := u.job.rec.Account
	guaranteed := f.guaranteedShare(a)
	if guaranteed == 0 {
		return coveredNothing
	}
	if f.use.urgentShare[a] <= guaranteed {
		return coveredWhole
	}
	c, version, shape := f.coverage[a], f.use.urgentVersion[a], f.shape().capacity
	if c == nil || c.version != version || c.shape != shape || c.guaranteed != guaranteed {
		c = &accountCoverage{version: version, shape: shape, guaranteed: guaranteed, units: f.coverUnits(a, guaranteed)}
		f.coverage[a] = c
	}
	return c.units[u]
}

// coverUnits returns the coverage of the running units of priority 0 of an account by a guarantee, in thousandths of an
// accelerator.
func (f *Scheduler) coverUnits(a workload.Account, guaranteed int) map[*unit]coverage {
	type option struct {
		u *unit
		// share is that of the unit, gpus the part of it that is due to accelerators.
		share, gpus int
	}
	var options []option
	for _, u := range f.activeUnits {
		if u.job.rec.Account == a && u.state == unitActive && f.route(u.job).Priority == 0 {
			options = append(options, option{u, u.size * f.shape().share(u.spec().CapacityNeed()), milli * u.totalNeed().GPU})
		}
	}
	disproportionate := func(o option) int {
		if o.share > o.gpus {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(options, func(a, b option) int {
		x, y := a.u, b.u
		return cmp.Or(
			cmp.Compare(disproportionate(a), disproportionate(b)), cmp.Compare(x.job.createdRevision, y.job.createdRevision), cmp.Compare(x.job.rec.ID, y.job.rec.ID),
			cmp.Compare(x.occurrence, y.occurrence), cmp.Compare(x.step, y.step), cmp.Compare(x.firstTask, y.firstTask),
		)
	})
	covered := make(map[*unit]coverage, len(options))
	left, leftGPUs := guaranteed, guaranteed
	for _, o := range options {
		if o.share <= left {
			covered[o.u] = coveredWhole
			left -= o.share
			leftGPUs -= o.gpus
		}
	}
	for _, o := range options {
		if covered[o.u] == coveredNothing && o.gpus <= leftGPUs {
			covered[o.u] = coveredAccelerators
			leftGPUs -= o.gpus
		}
	}
	return covered
}

// guaranteedTo returns the accelerators that the guarantee of an account promises below its limit.
func guaranteedTo(t *workload.AccountConfig) int {
	if t.Limit.GPU == 0 {
		return t.Guaranteed
	}
	return min(t.Guaranteed, t.Limit.GPU)
}

// reclaimable returns the accelerators of a pool that accounts may still reclaim: their guarantees less what their lasting
// tasks use of them.
func (f *Scheduler) reclaimable(pool workload.Pool) int {
	urgent := func(r workload.Route) bool { return r.Pool == pool && r.Priority == 0 }
	if !slices.ContainsFunc(f.config.Routes, urgent) {
		return 0
	}
	used := map[workload.Account]int{}
	for _, u := range f.activeUnits {
		if u.spec().LongRunning && f.runningClass(u) == classGuaranteed {
			used[u.job.rec.Account] += u.size * f.shape().share(u.spec().CapacityNeed())
		}
	}
	sum := 0
	for i := range f.config.Accounts {
		a := &f.config.Accounts[i]
		sum += max(0, a.Guaranteed-(used[a.Name]+milli-1)/milli)
	}
	return sum
}
