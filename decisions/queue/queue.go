// Package queue orders waiting jobs and corrects declared run times.
package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// AgeingPeriod is the wait that outweighs one fair share of use: an account that uses its whole fair share
// is served like an idle account whose job waits this much less.
const AgeingPeriod = 2 * time.Hour

// maxRunTimeDelay bounds the delay of a job by its run time, so that no job waits behind jobs that were submitted
// longer than this after it, by their rank alone.
const maxRunTimeDelay = 12 * time.Hour

// runTimeWeight scales the delay of a job by its run time. Weights of 1 and 2, and a delay that does not depend on the
// accelerators, gave longer waits of large jobs or a longer mean completion time.
const runTimeWeight = 4

// Rank returns the time that orders the jobs of an account: the submission, delayed in proportion to the estimated run
// time and to the inverse square root of the accelerators. Short jobs pass long ones that were submitted a little
// earlier, which lowers the mean completion time; large gangs are delayed less, because they fit less often. The order
// of two jobs never changes, so that none starves. The idea is that of "highest response ratio next" (Brinch Hansen,
// "Short-Term Scheduling in Multiprogramming Systems", SOSP 1971), in a form that does not depend on the present.
func Rank(submitted time.Time, estimate time.Duration, gpus int) time.Time {
	delay := runTimeWeight * float64(estimate) / math.Sqrt(float64(max(1, gpus)))
	return submitted.Add(time.Duration(min(max(0, delay), float64(maxRunTimeDelay))))
}

// Candidate is a waiting job with the facts that order it.
type Candidate struct {
	Job model.JobID
	// Rank is the time of Rank, or that of the submission.
	Rank   time.Time
	Urgent bool
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

// Compare orders candidates: urgent ones first, then by share lowered by age since their rank, then by rank.
func Compare(a, b Candidate, now time.Time) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.key(now), b.key(now)), CompareFIFO(a, b))
}

// CompareFIFO orders candidates by rank.
func CompareFIFO(a, b Candidate) int {
	return cmp.Or(a.Rank.Compare(b.Rank), cmp.Compare(a.Job, b.Job))
}

func (c Candidate) key(now time.Time) float64 {
	return c.Share - float64(now.Sub(c.Rank))/float64(AgeingPeriod)
}

// Order sorts candidates in the order of Compare.
func Order(cs []Candidate, now time.Time) {
	slices.SortFunc(cs, func(a, b Candidate) int { return Compare(a, b, now) })
}
