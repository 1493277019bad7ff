// Package joborder decides which waiting job gets free room next. It answers a load beyond capacity, at which the order
// alone decides how many jobs are done in time; docs/decisions/job-order.md compares the orders.
package joborder

import (
	"cmp"
	"math"
	"time"
)

// Candidate is what decides the turn of the waiting tasks of a job's step.
type Candidate struct {
	// Class comes before all else: lower classes are served first and may take the room of higher ones.
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

// InTimeFirst serves first what can still meet its objective, by the latest start; then what is late, by its work, so that
// a backlog delays as few jobs as possible; last what earns nothing any more.
func InTimeFirst(now time.Time, a, b *Candidate) int {
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

// FIFO serves in the order of acceptance.
func FIFO(_ time.Time, a, b *Candidate) int {
	if c := cmp.Compare(a.Class, b.Class); c != 0 {
		return c
	}
	return a.Arrived.Compare(b.Arrived)
}

// LeastWork serves first what needs least.
func LeastWork(_ time.Time, a, b *Candidate) int {
	if c := cmp.Compare(a.Class, b.Class); c != 0 {
		return c
	}
	return cmp.Compare(a.Work, b.Work)
}

// LeastSlack serves first what has to start first, late or not.
func LeastSlack(_ time.Time, a, b *Candidate) int {
	if c := cmp.Compare(a.Class, b.Class); c != 0 {
		return c
	}
	return a.Latest.Compare(b.Latest)
}

// CreditDensity serves first what earns most for its work: the credit of a start at this moment, which falls from the
// latest start to the expiry, and which counts the more the longer the job has waited.
func CreditDensity(now time.Time, a, b *Candidate) int {
	if c := cmp.Compare(a.Class, b.Class); c != 0 {
		return c
	}
	return cmp.Compare(b.density(now), a.density(now))
}

func (c *Candidate) density(now time.Time) float64 {
	credit := 1.0
	if now.After(c.Latest) {
		credit = max(0, float64(c.Expiry.Sub(now))/math.Max(1, float64(c.Expiry.Sub(c.Latest))))
	}
	// The weight of a job doubles each time that it has waited as long as it may.
	age := float64(now.Sub(c.Arrived)) / math.Max(float64(time.Millisecond), float64(c.Latest.Sub(c.Arrived)))
	return credit * (1 + max(0, age)) / max(c.Work, 1e-3)
}
