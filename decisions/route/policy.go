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
	// Latency is the mean duration of an attempt, or 0 before the first one.
	Latency time.Duration
}

// expectedTime estimates the time until the response: the mean latency times the number of attempts in flight,
// including the new one.
func (c Candidate) expectedTime() time.Duration {
	return max(c.Latency, time.Microsecond) * time.Duration(c.InFlight+1)
}

// Policy selects one of the candidates. There is at least one, and their order is undefined.
type Policy func([]Candidate) model.ExecutorID

// LeastExpectedTime selects the candidate with the lowest expected response time; ties go to the lowest ID.
func LeastExpectedTime(free []Candidate) model.ExecutorID {
	return slices.MinFunc(free, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.expectedTime(), b.expectedTime()), cmp.Compare(a.ID, b.ID))
	}).ID
}

// LeastLoaded selects the candidate with the fewest attempts in flight; ties go to the lowest ID.
func LeastLoaded(free []Candidate) model.ExecutorID { return slices.MinFunc(free, compareLoad).ID }

func compareLoad(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.ID, b.ID))
}

// TwoChoices returns a policy that selects the less loaded of two random candidates ("The Power of Two Choices in
// Randomized Load Balancing", Mitzenmacher).
func TwoChoices(random *rand.Rand) Policy {
	return func(free []Candidate) model.ExecutorID {
		slices.SortFunc(free, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
		a, b := free[random.IntN(len(free))], free[random.IntN(len(free))]
		return slices.MinFunc([]Candidate{a, b}, compareLoad).ID
	}
}
