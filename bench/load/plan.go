package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Classes of calls.
const (
	ClassRequest = "request"
	ClassJob     = "job"
)

// maxJobRunTime is the upper bound of the random run time of a job.
const maxJobRunTime = 2 * time.Second

// plannedCall is a call that is due at an offset from the start of the load.
type plannedCall struct {
	number     int
	class      string
	offset     time.Duration
	repeatable bool
	job        model.JobSpec
}

// plan returns the calls of a load, sorted by the time at which they are due. The arrivals of each class are a Poisson
// process. The result depends on the options only.
func plan(o Options) []plannedCall {
	rng := rand.New(rand.NewPCG(o.Seed, o.Seed))
	calls := arrivals(rng, ClassRequest, o.RequestRate, o.Duration)
	for i := range calls {
		calls[i].repeatable = rng.Float64() < o.RepeatableShare
	}
	jobs := arrivals(rng, ClassJob, o.JobRate, o.Duration)
	for i := range jobs {
		jobs[i].job = model.JobSpec{
			Account: o.Account, Tasks: 1 << rng.IntN(3), GPUsPerTask: 1 << rng.IntN(4),
			RunTime: time.Duration(rng.Int64N(int64(maxJobRunTime))), Preemptible: rng.IntN(2) == 0,
		}
	}
	calls = append(calls, jobs...)
	slices.SortStableFunc(calls, func(a, b plannedCall) int { return cmp.Compare(a.offset, b.offset) })
	for i := range calls {
		calls[i].number = i
	}
	return calls
}

func arrivals(rng *rand.Rand, class string, rate float64, duration time.Duration) []plannedCall {
	if rate <= 0 {
		return nil
	}
	var out []plannedCall
	offset := time.Duration(0)
	for {
		offset += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if offset >= duration {
			return out
		}
		out = append(out, plannedCall{class: class, offset: offset})
	}
}
