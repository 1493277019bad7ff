// Package joborder decides which waiting job gets free room next. It answers a load beyond capacity, at which the order
// alone decides how many jobs are done in time; docs/decisions/job-order.md compares the orders.
package joborder

import (
	"cmp"
	"time"
)

// Candidate is what decides the turn of the waiting tasks of a job's step.
type Candidate struct {
	// Class is the urgency: lower classes are served first and may take the room of higher ones.
	Class int
	// Arrived is when the job was accepted.
	Arrived time.Time
	// Latest is when the tasks must start for the job to meet its objective, Expiry when a completion stops to earn
	// anything.
	Latest, Expiry time.Time
	// Work is what the step's tasks and those that follow them still need, in core-seconds by estimate.
	Work float64
}

// Order compares two candidates of one moment: the result is negative if a comes first and positive if b does.
type Order func(now time.Time, a, b *Candidate) int

// Guaranteed is the class of work within the guarantee of its account, which nothing comes before.
const Guaranteed = 0

// InTimeFirst serves, class by class, first what can still meet its objective, by the latest start; then what is late, by
// its work, so that a backlog delays as few jobs as possible. What earns nothing any more comes after all classes but the
// guaranteed one.
func InTimeFirst(now time.Time, a, b *Candidate) int {
	if c := cmp.Compare(a.rank(now), b.rank(now)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Class, b.Class); c != 0 {
		return c
	}
	late := a.stage(now)
	if c := cmp.Compare(late, b.stage(now)); c != 0 {
		return c
	}
	if late == inTime {
		return a.Latest.Compare(b.Latest)
	}
	return cmp.Compare(a.Work, b.Work)
}

// rank separates what a class may put before others from what earns nothing.
func (c *Candidate) rank(now time.Time) int {
	if c.Class != Guaranteed && c.stage(now) == expired {
		return 1
	}
	return 0
}

// stage is how far a candidate is from earning its credit.
type stage uint8

const (
	inTime stage = iota
	tooLate
	expired
)

func (c *Candidate) stage(now time.Time) stage {
	switch {
	case now.After(c.Expiry):
		return expired
	case now.After(c.Latest):
		return tooLate
	default:
		return inTime
	}
}
