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

// maxJobRun is the longest run time of a job.
const maxJobRun = 2 * time.Second

// planned is one call of a load.
type planned struct {
	number     int
	class      string
	at         time.Duration
	repeatable bool
	job        model.JobSpec
}

// plan returns the calls of a load in the order of their time. Arrivals are a Poisson process per class; the
// same options give the same plan.
func plan(o Options) []planned {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	calls := arrivals(random, ClassRequest, o.Rate, o.Duration)
	for i := range calls {
		calls[i].repeatable = random.Float64() < o.RepeatableShare
	}
	jobs := arrivals(random, ClassJob, o.JobRate, o.Duration)
	for i := range jobs {
		jobs[i].job = model.JobSpec{
			Account: o.Account, Tasks: 1 << random.IntN(3), GPUsPerTask: 1 << random.IntN(4),
			RunTime: time.Duration(random.Int64N(int64(maxJobRun))), Preemptible: random.IntN(2) == 0,
		}
	}
	calls = append(calls, jobs...)
	slices.SortStableFunc(calls, func(a, b planned) int { return cmp.Compare(a.at, b.at) })
	for i := range calls {
		calls[i].number = i
	}
	return calls
}

func arrivals(random *rand.Rand, class string, rate float64, within time.Duration) []planned {
	if rate <= 0 {
		return nil
	}
	var out []planned
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= within {
			return out
		}
		out = append(out, planned{class: class, at: at})
	}
}
