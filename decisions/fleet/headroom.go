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
	// kept holds the executors whose free capacity is the reserve; nil if the reserve may be anywhere.
	kept map[*executor]bool
}

// headroom returns the capacity of the usable executors that work below priority 0 may use.
func (f *Scheduler) headroom(now time.Time, usable []*executor) headroom {
	free, capacity := 0, 0
	for _, e := range usable {
		free += max(0, weightedMillicores(e.free()))
		capacity += weightedMillicores(e.info.Capacity)
	}
	rate := f.urgentArrivals.current(now, arrivalHalfLife) * math.Ln2 / arrivalHalfLife.Seconds()
	reserved := min(rate*f.headroomWindow.Seconds(), maxHeadroomShare*float64(capacity))
	if float64(free) < lowCapacityShare*float64(capacity) {
		f.lowCapacityAt = now
	}
	h := headroom{remaining: float64(free) - reserved, lowCapacity: now.Sub(f.lowCapacityAt) < lowCapacityHold}
	if f.settings.ChooseVictims && reserved > 0 {
		h.kept = keepTogether(usable, reserved)
	}
	return h
}

// keepTogether returns the executors whose free capacity makes up the reserve: the emptiest ones of the racks with most
// free capacity, so that gangs of large tasks find room on a rack there. Reserved capacity that is scattered over all
// executors would hold small tasks only.
func keepTogether(usable []*executor, reserved float64) map[*executor]bool {
	rackFree := map[string]int{}
	for _, e := range usable {
		rackFree[e.rack] += max(0, weightedMillicores(e.free()))
	}
	order := slices.Clone(usable)
	slices.SortStableFunc(order, func(a, b *executor) int {
		return cmp.Or(
			cmp.Compare(rackFree[b.rack], rackFree[a.rack]), cmp.Compare(a.rack, b.rack),
			cmp.Compare(weightedMillicores(b.free()), weightedMillicores(a.free())),
		)
	})
	kept := map[*executor]bool{}
	for _, e := range order {
		if reserved <= 0 {
			break
		}
		if free := weightedMillicores(e.free()); free > 0 {
			kept[e] = true
			reserved -= float64(free)
		}
	}
	return kept
}

// open returns the executors that a unit of a class may use: all, or those beside the reserve. Work that needs a certain
// rack may use the reserve, because it has no choice.
func (h *headroom) open(class int, u *unit, usable []*executor) []*executor {
	if h.kept == nil || class <= classUrgent || u.spec().LongRunning || u.spec().Rack != "" {
		return usable
	}
	return slices.DeleteFunc(slices.Clone(usable), func(e *executor) bool { return h.kept[e] })
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
