// Package joborder determines which waiting job gets free capacity next. It is designed for overload, in which the
// order alone determines how many jobs meet their objectives; docs/decisions/job-order.md compares the orders.
package joborder

import (
	"cmp"
	"time"
)

// Candidate holds the values that determine the turn of the waiting tasks of a step of a job.
type Candidate struct {
	// Class is the urgency: lower classes are served first and may preempt higher ones.
	Class int
	// Excess is set for work beyond the rate of its account.
	Excess bool
	// OverShare is set if the account occupies more than its share of what is in use.
	OverShare bool
	// Arrived is when the job was accepted.
	Arrived time.Time
	// LatestStart is the latest start with which the job can meet its objective, Expiry the latest start with which its
	// completion can still earn credit.
	LatestStart, Expiry time.Time
	// Work is the estimated remaining work in core-seconds: the cores of the tasks that start together, times the
	// estimated time from the start of the step to the end of the job.
	Work float64
}

// Order compares two candidates at a time: the result is negative if a comes first and positive if b does.
type Order func(now time.Time, a, b *Candidate) int

// Classes of work that can reclaim capacity. They come before all others.
const (
	// Guaranteed is the class of work within the guarantee of its account.
	Guaranteed = iota
	// PartlyGuaranteed is the class of work of which the guarantee covers the accelerators only.
	PartlyGuaranteed
)

// InTimeFirst orders candidates by class. Within a class, those that can still meet their objective come first, of these
// the ones of accounts within their share, by latest start; then late ones, by work, so that a backlog delays as few jobs as possible. Candidates that can no
// longer earn credit come after all classes, and excess work after these, except for candidates that can reclaim capacity.
func InTimeFirst(now time.Time, a, b *Candidate) int {
	if c := cmp.Compare(a.rank(now), b.rank(now)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Class, b.Class); c != 0 {
		return c
	}
	stageOfA := a.stage(now)
	if c := cmp.Compare(stageOfA, b.stage(now)); c != 0 {
		return c
	}
	if stageOfA == inTime {
		if a.OverShare != b.OverShare && a.Class > PartlyGuaranteed {
			if a.OverShare {
				return 1
			}
			return -1
		}
		return a.LatestStart.Compare(b.LatestStart)
	}
	return cmp.Compare(a.Work, b.Work)
}

// rank returns 0 for a candidate whose turn is determined by its class, 1 for one that comes after all classes because
// it can no longer earn credit, and 2 for excess work.
func (c *Candidate) rank(now time.Time) int {
	switch {
	case c.Class <= PartlyGuaranteed:
		return 0
	case c.Excess:
		return 2
	case c.stage(now) == expired:
		return 1
	}
	return 0
}

// stage is the lateness of a candidate with respect to its objective and its expiry.
type stage uint8

const (
	inTime stage = iota
	late
	expired
)

// stage returns the stage of a candidate at a time.
func (c *Candidate) stage(now time.Time) stage {
	switch {
	case now.After(c.Expiry):
		return expired
	case now.After(c.LatestStart):
		return late
	default:
		return inTime
	}
}
