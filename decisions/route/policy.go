package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Candidate is an executor with a free slot.
type Candidate struct {
	ID       model.ExecutorID
	InFlight int
	// Latency is the mean time of an attempt; 0 before the first.
	Latency time.Duration
}

// expected estimates the time to an answer: the mean latency times the attempts before and including this one.
func (c Candidate) expected() time.Duration {
	return max(c.Latency, time.Microsecond) * time.Duration(c.InFlight+1)
}

// Policy chooses one of at least one candidates, which come in no order.
type Policy func([]Candidate) model.ExecutorID

// LeastExpected chooses the lowest expected time to an answer; ties go to the lowest identifier.
func LeastExpected(free []Candidate) model.ExecutorID {
	return slices.MinFunc(free, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.expected(), b.expected()), cmp.Compare(a.ID, b.ID))
	}).ID
}

// LeastLoaded chooses the fewest attempts in flight; ties go to the lowest identifier.
func LeastLoaded(free []Candidate) model.ExecutorID { return slices.MinFunc(free, byLoad).ID }

func byLoad(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.ID, b.ID))
}

// TwoChoices chooses the less loaded of two random candidates ("The Power of Two Choices in Randomized Load
// Balancing", Mitzenmacher).
func TwoChoices(random *rand.Rand) Policy {
	return func(free []Candidate) model.ExecutorID {
		slices.SortFunc(free, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
		a, b := free[random.IntN(len(free))], free[random.IntN(len(free))]
		return slices.MinFunc([]Candidate{a, b}, byLoad).ID
	}
}
