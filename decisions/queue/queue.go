// Package queue orders waiting jobs and corrects declared run times.
package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// AgeingPeriod is the wait that outweighs one fair share of use: an account that uses its whole fair share
// is served like an idle account whose job waits this much less.
const AgeingPeriod = 2 * time.Hour

// Candidate is a waiting job with the facts that order it.
type Candidate struct {
	Job       model.JobID
	Submitted time.Time
	Urgent    bool
	// Share is the account's dominant usage divided by its fair share; 1 means exactly its fair share.
	Share float64
}

// Dominant returns the largest of the used parts of the resources, each from 0 to 1. A resource of
// unknown total (0) is left out. The measure is from "Dominant Resource Fairness: Fair Allocation of
// Multiple Resource Types" (NSDI 2011).
func Dominant(used, total []int) float64 {
	var out float64
	for i := range used {
		if total[i] > 0 {
			out = max(out, float64(used[i])/float64(total[i]))
		}
	}
	return out
}

// Compare orders candidates: urgent ones first, then by share lowered by age, then by submission.
func Compare(a, b Candidate, now time.Time) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.key(now), b.key(now)), CompareFIFO(a, b))
}

// CompareFIFO orders candidates by submission.
func CompareFIFO(a, b Candidate) int {
	return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.Job, b.Job))
}

func (c Candidate) key(now time.Time) float64 {
	return c.Share - float64(now.Sub(c.Submitted))/float64(AgeingPeriod)
}

// Order sorts candidates in the order of Compare.
func Order(cs []Candidate, now time.Time) {
	slices.SortFunc(cs, func(a, b Candidate) int { return Compare(a, b, now) })
}
