package bench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
)

// scenario is a size and a mix of faults.
type scenario struct {
	name     string
	domains  int
	workers  int
	accounts int
	// span is the virtual time in which jobs arrive.
	span time.Duration
	// maxTasks bounds the tasks of a large gang; each has 8 accelerators.
	maxTasks int
	// skewed draws the failure domains of the jobs unevenly and lets a third of the jobs name theirs.
	skewed bool
}

// scenarios are today's size and the size of two years on, split and whole.
var scenarios = []scenario{
	{name: "today", domains: 1, workers: 50, accounts: 4, span: 72 * time.Hour, maxTasks: 8},
	{name: "large-7", domains: 7, workers: 1200, accounts: 60, span: 24 * time.Hour, maxTasks: 16},
	{name: "large-1", domains: 1, workers: 1200, accounts: 60, span: 24 * time.Hour, maxTasks: 16},
}

const (
	// largeGPUs is the size from which a job counts as large in the table.
	largeGPUs = 32
	// probeEvery is the time between two jobs that need the guarantee of the first account.
	probeEvery = 3 * time.Hour
	// burstJobs is the number of small jobs of a burst.
	burstJobs = 40
)

// arrival is a job with the facts that the planner does not see.
type arrival struct {
	plan.QueuedJob
	domain int
	actual time.Duration
	// probe jobs fit the guarantee of their account, unless an earlier one still runs.
	probe bool
}

func domainName(d int) model.FailureDomain { return model.FailureDomain(fmt.Sprintf("d%d", d)) }

func accountName(a int) model.AccountID { return model.AccountID(fmt.Sprintf("account-%02d", a)) }

// workersOf returns the workers of each failure domain, in racks of 8.
func (s scenario) workersOf() [][]plan.Worker {
	out := make([][]plan.Worker, s.domains)
	for i := range s.workers {
		d := i % s.domains
		n := len(out[d])
		out[d] = append(out[d], plan.Worker{
			ID: model.WorkerID(fmt.Sprintf("d%d-w%04d", d, n)), Rack: fmt.Sprintf("d%d-r%03d", d, n/model.WorkersPerRack),
			Usable: true, Cores: 30, MemoryMB: 64 * 1024,
		})
	}
	return out
}

// policy gives the first account a guarantee of two workers in each failure domain and the second one half
// a rack; the others have none.
func (s scenario) policy(defragment bool) model.Preset {
	p := model.Preset{Accounts: make(map[model.AccountID]model.AccountPolicy), Defragment: defragment}
	for a := range s.accounts {
		p.Accounts[accountName(a)] = model.AccountPolicy{Weight: 1 + a%3}
	}
	for a, workers := range []int{2, 4} {
		pol := p.Accounts[accountName(a)]
		for d := range s.domains {
			pol.Guarantees = append(pol.Guarantees, model.Guarantee{
				Domain: domainName(d), Cells: []model.CellCount{{Level: model.LevelWorker, Count: workers}},
			})
		}
		p.Accounts[accountName(a)] = pol
	}
	return p
}

// arrivals draws jobs until they offer load times the capacity over the span.
func (s scenario) arrivals(rng *rand.Rand, load float64, start time.Time) []arrival {
	var out []arrival
	left := load * float64(s.workers*model.GPUsPerWorker) * s.span.Hours()
	for left > 0 {
		at := start.Add(time.Duration(rng.Float64() * float64(s.span)).Truncate(time.Second))
		n, spec := 1, s.draw(rng)
		if spec.GPUs() == 1 && rng.IntN(burstJobs) == 0 {
			n = burstJobs
		}
		for range n {
			x := s.complete(rng, spec, at)
			left -= x.actual.Hours() * float64(spec.GPUs())
			out = append(out, x)
		}
	}
	for at := probeEvery; at < s.span; at += probeEvery {
		for d := range s.domains {
			x := arrival{domain: d, actual: 20 * time.Minute, probe: true}
			x.Submitted = start.Add(at)
			x.Spec = model.JobSpec{Account: accountName(0), Tasks: 2, GPUsPerTask: 8, RunTime: 20 * time.Minute}
			out = append(out, x)
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return a.Submitted.Compare(b.Submitted) })
	for i := range out {
		out[i].Job = model.JobID(fmt.Sprintf("j%06d", i))
	}
	if s.skewed {
		s.skew(rng, out, start)
	}
	return out
}

// skew draws the failure domains with weights that fall from 1.5 to 0.5 and move on by one failure domain after each
// quarter of the span. The jobs of a burst share one. Probes and a third of the other jobs name theirs.
func (s scenario) skew(rng *rand.Rand, jobs []arrival, start time.Time) {
	for i := range jobs {
		j := &jobs[i]
		if !j.probe {
			if i > 0 && j.Submitted.Equal(jobs[i-1].Submitted) && j.Spec.Account == jobs[i-1].Spec.Account {
				j.domain = jobs[i-1].domain
			} else {
				quarter := int(4 * j.Submitted.Sub(start) / s.span)
				j.domain = (s.heaviest(rng) + quarter) % s.domains
			}
		}
		if j.probe || rng.IntN(3) == 0 {
			j.Spec.Domain = domainName(j.domain)
		}
	}
}

// heaviest draws a number below domains with linear weights, 0 most often.
func (s scenario) heaviest(rng *rand.Rand) int {
	for {
		d := rng.IntN(s.domains)
		if rng.Float64()*1.5 < 1.5-float64(d)/float64(max(1, s.domains-1)) {
			return d
		}
	}
}

// draw draws a shape: mostly small jobs, with most of the work in few large gangs.
func (s scenario) draw(rng *rand.Rand) model.JobSpec {
	spec := model.JobSpec{Tasks: 1, Preemptible: rng.IntN(10) < 8}
	// Account 0 submits only the probes, so that its guarantee is unused between them.
	spec.Account = accountName(1 + min(rng.IntN(s.accounts-1), rng.IntN(s.accounts-1)))
	switch kind := rng.IntN(20); {
	case kind < 12:
		spec.GPUsPerTask = 1 << rng.IntN(3)
		spec.Urgent = rng.IntN(50) == 0
	case kind < 16:
		spec.GPUsPerTask, spec.Tasks = 1<<rng.IntN(3), 2+rng.IntN(7)
	case kind < 18:
		spec.GPUsPerTask, spec.Within = 4, model.LevelWorker
		spec.Tasks = 2
	default:
		spec.GPUsPerTask, spec.Tasks = 8, 4+rng.IntN(s.maxTasks-3)
		if spec.Tasks <= model.WorkersPerRack {
			spec.Within = model.LevelRack
		}
	}
	return spec
}

// complete draws the run times of a job. Declared ones are off by a bias of the account, up to four times
// in either direction, and by a random factor.
func (s scenario) complete(rng *rand.Rand, spec model.JobSpec, at time.Time) arrival {
	median := 0.5
	if spec.GPUs() >= model.GPUsPerWorker {
		median = 2
	}
	hours := min(12, median*math.Exp(rng.NormFloat64()*0.8))
	actual := max(time.Minute, time.Duration(hours*float64(time.Hour)))
	bias := math.Pow(4, float64(accountNumber(spec.Account)%3-1))
	spec.RunTime = max(time.Second, time.Duration(float64(actual)*bias*math.Exp(rng.NormFloat64()*0.7)))
	x := arrival{domain: rng.IntN(s.domains), actual: actual}
	x.Spec, x.Submitted = spec, at
	return x
}

func accountNumber(a model.AccountID) int {
	var n int
	_, _ = fmt.Sscanf(string(a), "account-%d", &n)
	return n
}

// lightAccount reports whether an account is in the last third, which submits the fewest jobs.
func lightAccount(accounts int, a model.AccountID) bool { return 3*accountNumber(a) >= 2*accounts }

// percentile returns the p-th percentile of unsorted values, 0 if there are none.
func percentile[T cmp.Ordered](values []T, p int) T {
	var zero T
	if len(values) == 0 {
		return zero
	}
	values = slices.Sorted(slices.Values(values))
	return values[min(len(values)-1, len(values)*p/100)]
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
