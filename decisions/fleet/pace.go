package fleet

import (
	"time"
)

// Executors below slowPace count as slow, those above fastPace as fast. Learned paces are off by about 0.15, so that few
// executors of the typical pace are on either side.
const (
	slowPace = 0.7
	fastPace = 1.3
)

// Ranks of executors for a unit. Lower ones come first.
const (
	rankPreferred = iota
	rankNext
	rankLast
	// rankWarmingUp is the rank of an executor that is still slow after its start.
	rankWarmingUp
)

// updatePaces takes the paces of executors from the model.
func (f *Scheduler) updatePaces(now time.Time) {
	if f.learned == nil || now.Sub(f.pacesAt) < expectationAge {
		return
	}
	f.pacesAt = now
	for _, e := range f.sortedExecutors {
		e.pace = f.learned.Pace(e.info.ID)
	}
}

// Classes of executors by their pace.
const (
	classSlow = iota
	classTypical
	classFast
)

// pacePreference is which executors a unit is placed on first.
type pacePreference uint8

const (
	anyPace pacePreference = iota
	fastFirst
	slowFirst
	typicalFirst
)

// paceRanks holds the ranks of the classes under each preference.
var paceRanks = [...][3]int{
	fastFirst:    {classSlow: rankLast, classTypical: rankNext, classFast: rankPreferred},
	slowFirst:    {classSlow: rankPreferred, classTypical: rankNext, classFast: rankLast},
	typicalFirst: {classSlow: rankLast, classTypical: rankPreferred, classFast: rankNext},
}

// pacePreference returns the preference of a unit. Fast executors are left to work of priority 0: work of the lowest
// priority goes to slow executors and other gangs to typical ones, unless only fast ones let them meet their objective. A
// gang goes at the pace of its slowest executor, so that it prefers executors of one pace.
func (f *Scheduler) pacePreference(now time.Time, u *unit) pacePreference {
	if f.learned == nil {
		return anyPace
	}
	priority := f.route(u.job).Priority
	switch {
	case priority >= lowestPriority && !f.needsFast(now, u):
		return slowFirst
	case priority == 0 || priority >= lowestPriority || u.size > 1 && f.needsFast(now, u):
		return fastFirst
	case u.size > 1:
		return typicalFirst
	default:
		return anyPace
	}
}

// needsFast reports whether a unit meets its objective if it starts now at the typical pace, but not at a slow one.
func (f *Scheduler) needsFast(now time.Time, u *unit) bool {
	slack := u.latestStart.Sub(now)
	return slack >= 0 && slack.Seconds() < f.expectedRunTime(u).Seconds()*(1/slowPace-1)
}

// rank returns the rank of an executor under a preference.
func (p pacePreference) rank(e *executor) int {
	if p == anyPace {
		return rankPreferred
	}
	if e.info.WarmUpRemaining > 0 {
		return rankWarmingUp
	}
	return paceRanks[p][e.paceClass()]
}

// paceClass returns the class of an executor. One whose pace is not known counts as typical.
func (e *executor) paceClass() int {
	switch {
	case e.pace == 0:
		return classTypical
	case e.pace < slowPace:
		return classSlow
	case e.pace > fastPace:
		return classFast
	default:
		return classTypical
	}
}

// byPace returns the sets of options to try in turn for a unit of several tasks: those of each rank alone, before they
// are mixed with those of the lower ranks, and finally all. A unit never waits for a set: it starts if it fits on all.
// fit is in the order of ranks.
func byPace(u *unit, fit []fitOption) [][]fitOption {
	if u.size == 1 || len(fit) == 0 || fit[0].rank == fit[len(fit)-1].rank {
		return [][]fitOption{fit}
	}
	var out [][]fitOption
	total := 0
	for i := 0; i < len(fit); {
		n, tasks := i, 0
		for n < len(fit) && fit[n].rank == fit[i].rank {
			tasks += fit[n].tasks
			n++
		}
		total += tasks
		if tasks >= u.size {
			out = append(out, fit[i:n])
		}
		if i > 0 && total >= u.size {
			out = append(out, fit[:n])
		}
		i = n
	}
	return out
}
