// Package queue orders waiting jobs and corrects declared run times.
package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// AgeingPeriod is the waiting time that offsets a normalized share of 1: the job of an account that uses exactly its
// fair share is ordered like the job of an idle account that has waited for this much less.
const AgeingPeriod = 2 * time.Hour

// maxRunTimeDelay bounds the delay in RankTime, so that no job is ranked behind a job of its account that was submitted
// later by more than this.
const maxRunTimeDelay = 12 * time.Hour

// runTimeWeight scales the delay by the run time in RankTime. Weights of 1 and 2, and a delay that does not depend on
// the number of accelerators, lead to longer waits of large jobs or to a longer mean completion time.
const runTimeWeight = 4

// RankTime returns the time that orders the jobs of an account: the submission, delayed in proportion to the estimated
// run time and inversely to the square root of the number of accelerators. Short jobs overtake long ones that were
// submitted a little earlier, which lowers the mean completion time. Large gangs are delayed less, because they fit
// less often. The order of two jobs never changes, so that none starves. The idea is that of "highest response ratio
// next" (Brinch Hansen, "Short-Term Scheduling in Multiprogramming Systems", SOSP 1971), in a form that does not depend
// on the current time.
func RankTime(submitted time.Time, estimate time.Duration, gpus int) time.Time {
	delay := runTimeWeight * float64(estimate) / math.Sqrt(float64(max(1, gpus)))
	return submitted.Add(time.Duration(min(max(0, delay), float64(maxRunTimeDelay))))
}

// Candidate is a waiting job with the properties that order it.
type Candidate struct {
	Job model.JobID
	// RankTime is the result of the function RankTime or the time of submission.
	RankTime time.Time
	Urgent   bool
	// Share is the account's dominant share divided by its fair share; 1 means exactly its fair share.
	Share float64
}

// DominantShare returns the largest used fraction of any resource, from 0 to 1. A resource whose total is unknown (0)
// is ignored. The measure is from "Dominant Resource Fairness: Fair Allocation of Multiple Resource Types" (NSDI 2011).
func DominantShare(used, total []int) float64 {
	var out float64
	for i := range used {
		if total[i] > 0 {
			out = max(out, float64(used[i])/float64(total[i]))
		}
	}
	return out
}

// Compare orders candidates: urgent ones first, then by their share less their age in units of AgeingPeriod, then by
// rank time. The age counts from the rank time.
func Compare(a, b Candidate, now time.Time) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.agedShare(now), b.agedShare(now)), CompareFIFO(a, b))
}

// CompareFIFO orders candidates by rank time.
func CompareFIFO(a, b Candidate) int {
	return cmp.Or(a.RankTime.Compare(b.RankTime), cmp.Compare(a.Job, b.Job))
}

func (c Candidate) agedShare(now time.Time) float64 {
	return c.Share - float64(now.Sub(c.RankTime))/float64(AgeingPeriod)
}

// Sort sorts candidates in the order of Compare.
func Sort(cs []Candidate, now time.Time) {
	slices.SortFunc(cs, func(a, b Candidate) int { return Compare(a, b, now) })
}
