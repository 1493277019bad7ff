package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// arrivalHalfLife is the half-life of an arrival of urgent work in urgentArrivals.
	arrivalHalfLife = 2 * time.Second
	// defaultHeadroomWindow is the duration of urgent arrivals for which capacity is reserved, so that they start without
	// a preemption. It is about the run time of urgent tasks: the capacity that they release stays free for the next ones,
	// while long tasks would otherwise fill it at once and be preempted again.
	defaultHeadroomWindow = 3 * time.Second
	// lowCapacityShare is the free share of the fleet below which capacity is reserved for waiting gangs, lowCapacityHold
	// how long it stays reserved after the free share has risen above that. Both are below the limits at which waiting
	// work counts as forgotten: 3 s without a start while half of the fleet is free.
	lowCapacityShare = 0.4
	lowCapacityHold  = 2 * time.Second
	// maxHeadroomShare bounds the share of the fleet that is reserved for urgent work.
	maxHeadroomShare = 0.5
)

// observeArrival adds the weight of a new job to urgentArrivals if its priority is 0.
func (f *Scheduler) observeArrival(now time.Time, j *job) {
	if f.route(j).Priority != 0 {
		return
	}
	w := 0
	for i := range j.rec.Steps {
		w += j.rec.Steps[i].Count * weightedMillicores(j.rec.Steps[i].Need)
	}
	f.urgentArrivals.add(now, arrivalHalfLife, float64(w))
}

// headroom is the capacity that work below priority 0 may still use: what is free beyond the reserve for urgent work.
type headroom struct {
	// remaining is in thousandths of a core.
	remaining float64
	// lowCapacity is set if the free share was below lowCapacityShare within the last lowCapacityHold, so that capacity is
	// reserved for waiting gangs.
	lowCapacity bool
	// usable lists all executors that may be used, unreserved those beside the reserve.
	usable, unreserved []*executor
	// largest is the weighted capacity of the largest executor.
	largest int
}

// headroom returns the capacity of the usable executors that work below priority 0 may use.
func (f *Scheduler) headroom(now time.Time, usable []*executor) headroom {
	free, capacity, largest := 0, 0, 0
	for _, e := range usable {
		free += max(0, weightedMillicores(e.free()))
		capacity += weightedMillicores(e.info.Capacity)
		largest = max(largest, weightedMillicores(e.info.Capacity))
	}
	rate := f.urgentArrivals.current(now, arrivalHalfLife) * math.Ln2 / arrivalHalfLife.Seconds()
	reserved := min(rate*f.headroomWindow.Seconds(), maxHeadroomShare*float64(capacity))
	if float64(free) < lowCapacityShare*float64(capacity) {
		f.lowCapacityAt = now
	}
	h := headroom{
		remaining: float64(free) - reserved, lowCapacity: now.Sub(f.lowCapacityAt) < lowCapacityHold,
		usable: usable, unreserved: usable, largest: largest,
	}
	if f.settings.ChooseVictims && reserved > 0 {
		h.unreserved = f.beside(now, usable, reserved)
	}
	return h
}

// reserveOrderAge is the age up to which the order of the executors in the reserve is used again. Sorting thousands of
// executors in each planning pass would take most of its time.
const reserveOrderAge = 200 * time.Millisecond

// reserveOrder is the order in which executors enter the reserve.
type reserveOrder struct {
	executors []*executor
	at        time.Time
}

// beside returns the executors beside a reserve, which consists of the emptiest executors of the racks with most free
// capacity, fast ones first: gangs of large tasks find room on a rack there, while a reserve that is scattered over all
// executors would hold small tasks only.
func (f *Scheduler) beside(now time.Time, usable []*executor, reserve float64) []*executor {
	if o := &f.reserveOrder; o.executors == nil || now.Sub(o.at) >= reserveOrderAge {
		*o = reserveOrder{orderForReserve(usable), now}
	}
	closed := map[*executor]bool{}
	for _, e := range f.reserveOrder.executors {
		free := float64(max(0, weightedMillicores(e.free())))
		if reserve < free/2 {
			// Less than half of the executor is needed, so that a small reserve closes none.
			break
		}
		reserve -= free
		closed[e] = true
	}
	if len(closed) == 0 {
		return usable
	}
	out := make([]*executor, 0, len(usable))
	for _, e := range usable {
		if !closed[e] {
			out = append(out, e)
		}
	}
	return out
}

// orderForReserve returns the executors in the order in which they enter the reserve.
func orderForReserve(usable []*executor) []*executor {
	type part struct {
		rack  string
		class int
	}
	type entry struct {
		e                        *executor
		class, rackFree, ownFree int
	}
	rackFree := map[part]int{}
	entries := make([]entry, len(usable))
	for i, e := range usable {
		free := max(0, weightedMillicores(e.free()))
		entries[i] = entry{e: e, class: e.paceClass(), ownFree: free}
		rackFree[part{e.rack, entries[i].class}] += free
	}
	for i := range entries {
		entries[i].rackFree = rackFree[part{entries[i].e.rack, entries[i].class}]
	}
	slices.SortStableFunc(entries, func(a, b entry) int {
		return cmp.Or(
			cmp.Compare(b.class, a.class), cmp.Compare(b.rackFree, a.rackFree), cmp.Compare(a.e.rack, b.e.rack), cmp.Compare(b.ownFree, a.ownFree),
		)
	})
	out := make([]*executor, len(entries))
	for i := range entries {
		out[i] = entries[i].e
	}
	return out
}

// executorsFor returns the executors that a unit of a candidate may use. A unit that is bound to a rack has little choice,
// so that it may use the reserve. So may a large task that can no longer start in time: the executors beside the reserve
// are seldom empty.
func (h *headroom) executorsFor(now time.Time, c *candidate, u *unit) []*executor {
	large := 2*weightedMillicores(u.spec().Need) > h.largest
	if c.Class <= classUrgent || u.spec().LongRunning || u.needsRack() || large && now.After(c.LatestStart) {
		return h.usable
	}
	return h.unreserved
}

// allows reports whether a unit may start. Urgent work and long-running tasks may use any free capacity; the absence of
// the latter counts from the first second.
func (h *headroom) allows(class int, u *unit) bool {
	return class <= classUrgent || u.spec().LongRunning || float64(u.size*weightedMillicores(u.spec().Need)) <= h.remaining
}

// consume subtracts the capacity of a unit that was placed.
func (h *headroom) consume(u *unit) {
	h.remaining -= float64(u.size * weightedMillicores(u.spec().Need))
}
