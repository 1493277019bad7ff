package fleet

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the time in which the weight of an arrival of urgent work halves in the average.
	demandHalfLife = 2 * time.Second
	// headroomTime is how much urgent work, in time of its arrival, finds room without a preemption: about the run time
	// of urgent tasks, so that the room which they give back waits for the next ones. Long tasks would otherwise fill it
	// at once and be stopped again.
	headroomTime = 3 * time.Second
	// crowdedBelow is the free share of the fleet below which room is kept for gangs, crowdedMemory how long after that it is
	// still kept, while more becomes free. Work that does not start for 3 s while half of the fleet is free counts as
	// forgotten.
	crowdedBelow  = 0.4
	crowdedMemory = 2 * time.Second
	// maxHeadroom bounds the share of the fleet that is kept free.
	maxHeadroom = 0.5
)

// arrive observes the arrival of a job of priority 0.
func (f *Scheduler) arrive(now time.Time, j *job) {
	if f.route(j).Priority != 0 {
		return
	}
	w := 0
	for i := range j.rec.Steps {
		w += j.rec.Steps[i].Count * weightOf(j.rec.Steps[i].Need)
	}
	f.urgent.add(now, demandHalfLife, float64(w))
}

// headroom is the room that other work may still take: what is free beyond what is kept for urgent work.
type headroom struct {
	left float64
	// crowded is set if, at present or a moment ago, so little was free that gangs need room to be kept for them.
	crowded bool
}

// headroom returns what work below priority 0 may take of the usable executors.
func (f *Scheduler) headroom(now time.Time, usable []*executor) headroom {
	free, capacity := 0, 0
	for _, e := range usable {
		free += max(0, weightOf(e.free()))
		capacity += weightOf(e.info.Capacity)
	}
	rate := f.urgent.current(now, demandHalfLife) * math.Ln2 / demandHalfLife.Seconds()
	keep := min(rate*f.keepFor.Seconds(), maxHeadroom*float64(capacity))
	if float64(free) < crowdedBelow*float64(capacity) {
		f.crowdedAt = now
	}
	return headroom{left: float64(free) - keep, crowded: now.Sub(f.crowdedAt) < crowdedMemory}
}

// allows reports whether a unit may start. Urgent work takes any room, and long-running tasks do, whose absence counts at
// once.
func (h *headroom) allows(class int, u *unit) bool {
	return class <= classUrgent || u.spec().LongRunning || float64(u.n*weightOf(u.spec().Need)) <= h.left
}

// take takes the room of a unit that was placed.
func (h *headroom) take(u *unit) { h.left -= float64(u.n * weightOf(u.spec().Need)) }
