package fleet

import (
	"cmp"
	"slices"
	"time"
)

// classExcess is added to the class of a job beyond its account's rate. Excess work comes after all other work, preempts
// nothing and may be preempted by all urgent work, so that a flood of one account does not delay the others.
const classExcess = 1 << 20

// weightOf returns the rate of a job's account in jobs a second; 0 if it has none.
func (f *Scheduler) weightOf(j *job) float64 {
	if t := f.config.Account(j.rec.Account); t != nil {
		return t.Weight
	}
	return 0
}

// markExcess marks the jobs that exceed the rate of their account among those that were added since the last call. They
// count in the order of their acceptance, in which a new holder, which reads all stored jobs at once, counts them, too. It
// may still mark others, because finished jobs that were removed after their retention no longer use the rate.
func (f *Scheduler) markExcess() {
	if len(f.unmarkedJobs) == 0 {
		return
	}
	slices.SortStableFunc(f.unmarkedJobs, func(a, b *job) int {
		return cmp.Or(a.submittedAt().Compare(b.submittedAt()), cmp.Compare(a.rec.ID, b.rec.ID))
	})
	for _, j := range f.unmarkedJobs {
		if j.excess = f.rates.Exceeds(j.rec.Account, f.weightOf(j), j.submittedAt()); j.excess {
			f.count(CountExcess)
		} else if !j.state.Final() {
			f.observeArrival(j.arrivedAt, j)
		}
	}
	clear(f.unmarkedJobs)
	f.unmarkedJobs = f.unmarkedJobs[:0]
}

// needsRoom reports whether a unit of a candidate waits because capacity is short and would fit on empty executors. Excess
// work of the same pool does not take what becomes free then: it would keep larger units waiting.
func (f *Scheduler) needsRoom(c *candidate, usable []*executor) bool {
	i := slices.IndexFunc(c.units, func(u *unit) bool {
		return u.state == unitPending && (u.waitsFor == WaitCapacity || u.waitsFor == WaitHeadroom || u.waitsFor == WaitGang)
	})
	// The units of a step have equal demands.
	return i >= 0 && f.couldFit(c.units[i], usable, false)
}

// submittedAt returns when a job was accepted. The clock of the accepting VM may be ahead.
func (j *job) submittedAt() time.Time {
	if j.rec.Accepted.IsZero() || j.rec.Accepted.After(j.arrivedAt) {
		return j.arrivedAt
	}
	return j.rec.Accepted
}

// demoted returns the class of a job's work given that without regard to the account's rate.
func demoted(j *job, class int) int {
	if j.excess {
		return class + classExcess
	}
	return class
}
