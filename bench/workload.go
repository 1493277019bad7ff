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

// scenario describes the size of an installation and the jobs that arrive there.
type scenario struct {
	name     string
	domains  int
	workers  int
	accounts int
	// arrivalSpan is the virtual time during which jobs arrive.
	arrivalSpan time.Duration
	// maxGangTasks is the maximum number of tasks of a large gang; each task uses 8 accelerators.
	maxGangTasks int
	// skewed spreads the jobs unevenly over the failure domains; about a third of the jobs require the failure domain
	// where they arrive.
	skewed bool
}

// scenarios are the present size of the installation and the size expected in two years; the latter with 7 failure
// domains and with one.
var scenarios = []scenario{
	{name: "today", domains: 1, workers: 50, accounts: 4, arrivalSpan: 72 * time.Hour, maxGangTasks: 8},
	{name: "large-7", domains: 7, workers: 1200, accounts: 60, arrivalSpan: 24 * time.Hour, maxGangTasks: 16},
	{name: "large-1", domains: 1, workers: 1200, accounts: 60, arrivalSpan: 24 * time.Hour, maxGangTasks: 16},
}

const (
	// largeGPUs is the number of accelerators from which a job counts as large in the table.
	largeGPUs = 32
	// probeInterval is the time between two probe jobs, which use the guarantee of the first account.
	probeInterval = 3 * time.Hour
	// burstJobs is the number of jobs with one accelerator that arrive in a burst. It is also the inverse of the
	// probability that such a job becomes a burst, so that about half of these jobs arrive in bursts.
	burstJobs = 40
)

// arrival is a job at its submission, with properties that the planner does not know.
type arrival struct {
	plan.QueuedJob
	domain        int
	actualRunTime time.Duration
	// probe is true for jobs that fit into the guarantee of their account, unless an earlier probe job still runs. They
	// measure how long a guaranteed job waits.
	probe bool
}

func domainName(d int) model.FailureDomain { return model.FailureDomain(fmt.Sprintf("d%d", d)) }

func accountName(a int) model.AccountID { return model.AccountID(fmt.Sprintf("account-%02d", a)) }

// newWorkers returns the workers of each failure domain, in racks of model.WorkersPerRack.
func (s scenario) newWorkers() [][]plan.Worker {
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

// preset returns a preset that guarantees two workers to the first account and four workers, half a rack, to the second
// one, in each failure domain. The other accounts have no guarantee.
func (s scenario) preset(defragment bool) model.Preset {
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

// drawArrivals draws random jobs until their total work is load times the capacity over the arrival span, and adds the
// probe jobs.
func (s scenario) drawArrivals(rng *rand.Rand, load float64, start time.Time) []arrival {
	var out []arrival
	remainingGPUHours := load * float64(s.workers*model.GPUsPerWorker) * s.arrivalSpan.Hours()
	for remainingGPUHours > 0 {
		at := start.Add(time.Duration(rng.Float64() * float64(s.arrivalSpan)).Truncate(time.Second))
		n, spec := 1, s.drawSpec(rng)
		if spec.GPUs() == 1 && rng.IntN(burstJobs) == 0 {
			n = burstJobs
		}
		for range n {
			a := s.drawArrival(rng, spec, at)
			remainingGPUHours -= a.actualRunTime.Hours() * float64(spec.GPUs())
			out = append(out, a)
		}
	}
	for at := probeInterval; at < s.arrivalSpan; at += probeInterval {
		for d := range s.domains {
			a := arrival{domain: d, actualRunTime: 20 * time.Minute, probe: true}
			a.Submitted = start.Add(at)
			a.Spec = model.JobSpec{Account: accountName(0), Tasks: 2, GPUsPerTask: 8, RunTime: 20 * time.Minute}
			out = append(out, a)
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return a.Submitted.Compare(b.Submitted) })
	for i := range out {
		out[i].Job = model.JobID(fmt.Sprintf("j%06d", i))
	}
	if s.skewed {
		s.drawSkewedDomains(rng, out, start)
	}
	return out
}

// drawSkewedDomains draws the failure domain of each job with weights that fall linearly from 1.5 to 0.5 and rotate by
// one failure domain after each quarter of the arrival span. The jobs of a burst get the same one. Probe jobs keep
// theirs. Probe jobs and about a third of the others require their failure domain.
func (s scenario) drawSkewedDomains(rng *rand.Rand, jobs []arrival, start time.Time) {
	for i := range jobs {
		j := &jobs[i]
		if !j.probe {
			if i > 0 && j.Submitted.Equal(jobs[i-1].Submitted) && j.Spec.Account == jobs[i-1].Spec.Account {
				j.domain = jobs[i-1].domain
			} else {
				quarter := int(4 * j.Submitted.Sub(start) / s.arrivalSpan)
				j.domain = (s.drawDomain(rng) + quarter) % s.domains
			}
		}
		if j.probe || rng.IntN(3) == 0 {
			j.Spec.Domain = domainName(j.domain)
		}
	}
}

// drawDomain draws the index of a failure domain with linearly falling weights, so that 0 is the most frequent.
func (s scenario) drawDomain(rng *rand.Rand) int {
	for {
		d := rng.IntN(s.domains)
		if rng.Float64()*1.5 < 1.5-float64(d)/float64(max(1, s.domains-1)) {
			return d
		}
	}
}

// drawSpec draws the shape of a job. Most jobs are small, but most of the work is in a few large gangs.
func (s scenario) drawSpec(rng *rand.Rand) model.JobSpec {
	spec := model.JobSpec{Tasks: 1, Preemptible: rng.IntN(10) < 8}
	// Account 0 submits only probe jobs, so that its guarantee is unused between them.
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
		spec.GPUsPerTask, spec.Tasks = 8, 4+rng.IntN(s.maxGangTasks-3)
		if spec.Tasks <= model.WorkersPerRack {
			spec.Within = model.LevelRack
		}
	}
	return spec
}

// drawArrival draws the failure domain and the run times of a job. The declared run time is the actual one multiplied
// by a bias of the account (1/4, 1 or 4) and by a random factor.
func (s scenario) drawArrival(rng *rand.Rand, spec model.JobSpec, at time.Time) arrival {
	median := 0.5
	if spec.GPUs() >= model.GPUsPerWorker {
		median = 2
	}
	hours := min(12, median*math.Exp(rng.NormFloat64()*0.8))
	actual := max(time.Minute, time.Duration(hours*float64(time.Hour)))
	bias := math.Pow(4, float64(accountNumber(spec.Account)%3-1))
	spec.RunTime = max(time.Second, time.Duration(float64(actual)*bias*math.Exp(rng.NormFloat64()*0.7)))
	a := arrival{domain: rng.IntN(s.domains), actualRunTime: actual}
	a.Spec, a.Submitted = spec, at
	return a
}

func accountNumber(a model.AccountID) int {
	var n int
	_, _ = fmt.Sscanf(string(a), "account-%d", &n)
	return n
}

// isLightAccount reports whether an account is in the last third of the accounts, which submit the fewest jobs.
func isLightAccount(accountCount int, a model.AccountID) bool {
	return 3*accountNumber(a) >= 2*accountCount
}

// percentile returns the p-th percentile of unsorted values, or 0 if there are none.
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
