package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/joborder"
)

// jobKind is a kind of job in the simulated traffic, which is the mix of a site with three priorities.
type jobKind struct {
	queue workload.Queue
	// share is the relative share of arrivals, credit what a job earns within its objective, lateCredit what it earns up
	// to three times its objective.
	share, credit, lateCredit float64
	gang                      bool
	meanTasks, maxTasks       float64
	cpu                       int
	gpu                       []int
	meanRunTime               time.Duration
	checkpointShare           float64
	// estimateError is the width of the range of relative errors of estimates, which is centered at 0.
	estimateError float64
}

var jobKinds = []jobKind{
	{queue: "urgent", share: 2.74, credit: 4, lateCredit: 0.8, gang: true, meanTasks: 4.7, maxTasks: 16, cpu: 3700, gpu: []int{1, 2, 4, 8, 8}, meanRunTime: 2500 * time.Millisecond, estimateError: 0.9},
	{queue: "normal", share: 0.785, credit: 3, lateCredit: 0.9, gang: true, meanTasks: 8, maxTasks: 28, cpu: 13000, gpu: []int{1, 2, 4, 8, 8}, meanRunTime: 6800 * time.Millisecond, checkpointShare: 0.45, estimateError: 0.2},
	{queue: "batch", share: 0.964, credit: 1, lateCredit: 0.3, meanTasks: 30, maxTasks: 180, cpu: 2800, gpu: []int{1}, meanRunTime: 7600 * time.Millisecond, checkpointShare: 0.45, estimateError: 0.9},
}

// arrival is a job of the simulated traffic.
type arrival struct {
	at      time.Duration
	kind    int
	job     *workload.Job
	runTime time.Duration
}

const (
	trafficDuration = 120 * time.Second
	// drainDuration is long enough for every job to end that can still earn credit.
	drainDuration = 60 * time.Second
)

// traffic draws random jobs that offer a load to a number of executors, with a burst of normal jobs and one of urgent
// jobs.
func traffic(seed uint64, load float64, executors int) []arrival {
	r := rand.New(rand.NewPCG(seed, 11))
	capacity := workload.Resources{CPU: 32000, GPU: 8}
	draw := func(i, n int) arrival {
		k := &jobKinds[i]
		work := time.Duration(float64(k.meanRunTime) * (0.5 + r.Float64()))
		s := workload.Step{
			Count: int(min(k.maxTasks, 1+r.ExpFloat64()*(k.meanTasks-1))), Need: workload.Resources{CPU: k.cpu, GPU: k.gpu[r.IntN(len(k.gpu))]},
			Gang: k.gang, SameRack: k.gang && r.Float64() < 0.5, Checkpoint: r.Float64() < k.checkpointShare,
			Estimate: time.Duration(float64(work) * (1 + k.estimateError*(r.Float64()-0.5))),
		}
		j := oneStep(fmt.Sprintf("%s%04d", k.queue, n), k.queue, s)
		j.Account = []workload.Account{"a", "b"}[r.IntN(2)]
		return arrival{kind: i, job: j, runTime: work}
	}
	executorSeconds := func(a *arrival) float64 {
		s := &a.job.Steps[0]
		share := max(float64(s.Need.CPU)/float64(capacity.CPU), float64(s.Need.GPU)/float64(capacity.GPU))
		return float64(s.Count) * share * a.runTime.Seconds()
	}
	total, mean := 0.0, 0.0
	for i := range jobKinds {
		total += jobKinds[i].share
	}
	const sample = 400
	for i := range jobKinds {
		for n := range sample {
			a := draw(i, n)
			mean += executorSeconds(&a) * jobKinds[i].share / total / sample
		}
	}
	rate := load * float64(executors) / mean
	var out []arrival
	for at := 0.0; ; {
		at += r.ExpFloat64() / (rate * 2.6)
		if at > trafficDuration.Seconds() {
			return out
		}
		x, i := r.Float64()*total, 0
		for i < len(jobKinds)-1 && x > jobKinds[i].share {
			x -= jobKinds[i].share
			i++
		}
		factor := 1 + 0.15*math.Sin(2*math.Pi*at/11)
		if i == 1 && at >= 15 && at < 19 || i == 0 && at >= 35 && at < 39.5 {
			factor = 2.6
		}
		if r.Float64()*2.6 > factor {
			continue
		}
		a := draw(i, len(out))
		a.at = time.Duration(at * float64(time.Second))
		out = append(out, a)
	}
}

// replayResult is the credit earned in a replay, as shares of the credit of all jobs within their objectives.
type replayResult struct {
	all, worstKind, worstAccount, largest float64
	// lostShare is the share of the capacity whose work was lost by stops.
	lostShare float64
}

// replay simulates traffic with an order of jobs.
func replay(t testing.TB, order joborder.Order, seed uint64, load float64) replayResult {
	t.Helper()
	const racks, perRack = 2, 8
	sim := newSimulation(t, seed, racks, perRack)
	sim.newHolder()
	sim.holder.scheduler.jobOrder = order
	sim.advanceRuns()
	jobs := traffic(seed, load, racks*perRack)
	for _, a := range jobs {
		sim.advance(a.at - sim.now.Sub(time.Unix(1_700_000_000, 0)))
		a.job.Accepted = sim.now
		sim.submit(a.job, behavior{runTime: a.runTime})
	}
	sim.advance(drainDuration)
	for _, f := range sim.violations {
		t.Error(f)
	}
	type sum struct{ earned, owed float64 }
	var all, largest sum
	byKind, byAccount := map[int]*sum{}, map[workload.Account]*sum{}
	size := func(a arrival) float64 {
		s := &a.job.Steps[0]
		return float64(s.Count*weightedMillicores(s.Need)) * a.runTime.Seconds()
	}
	add := func(to *sum, s sum) { to.earned, to.owed = to.earned+s.earned, to.owed+s.owed }
	for i := range jobKinds {
		var ofKind []arrival
		for _, a := range jobs {
			if a.kind == i {
				ofKind = append(ofKind, a)
			}
		}
		slices.SortFunc(ofKind, func(a, b arrival) int { return cmp.Compare(size(b), size(a)) })
		byKind[i] = &sum{}
		for n, a := range ofKind {
			s := sum{sim.creditOf(&a), jobKinds[a.kind].credit}
			if byAccount[a.job.Account] == nil {
				byAccount[a.job.Account] = &sum{}
			}
			add(&all, s)
			add(byKind[i], s)
			add(byAccount[a.job.Account], s)
			if n < len(ofKind)/10 {
				add(&largest, s)
			}
		}
	}
	ratio := func(s *sum) float64 { return s.earned / max(1, s.owed) }
	return replayResult{
		all: ratio(&all), largest: ratio(&largest),
		lostShare:    sim.lostWork / (racks * perRack * float64(weightedMillicores(workload.Resources{CPU: 32000, GPU: 8})) / 1000 * trafficDuration.Seconds()),
		worstKind:    ratio(slices.MinFunc(slices.Collect(maps.Values(byKind)), func(a, b *sum) int { return cmp.Compare(ratio(a), ratio(b)) })),
		worstAccount: ratio(slices.MinFunc(slices.Collect(maps.Values(byAccount)), func(a, b *sum) int { return cmp.Compare(ratio(a), ratio(b)) })),
	}
}

// creditOf returns the credit that a job has earned.
func (sim *simulation) creditOf(a *arrival) float64 {
	k := &jobKinds[a.kind]
	route := sim.config.Route(a.job.Queue)
	objective := time.Duration(route.Stretch*float64(a.runTime)) + route.Latency
	var end time.Time
	for i := range a.job.Steps[0].Count {
		at, ok := sim.doneAt[workload.TaskRef{Job: a.job.ID, Index: i}]
		if !ok {
			return 0
		}
		end = latest(end, at)
	}
	switch took := end.Sub(a.job.Accepted); {
	case took <= objective:
		return k.credit
	case took <= expiryFactor*objective:
		return k.lateCredit
	}
	return 0
}

// TestOrderOverload guards against an order of jobs that earns no more credit than first come, first served in an
// overload with bursts, because work that is late already delays work that can still be in time.
func TestOrderOverload(t *testing.T) {
	t.Parallel()
	var inTimeFirstCredit, fifoCredit float64
	// The results of a single seed vary by more than the orders differ.
	const seeds = 6
	for seed := range uint64(seeds) {
		inTimeFirstCredit += replay(t, joborder.InTimeFirst, seed+1, 2).all / seeds
		fifoCredit += replay(t, byClass(fifo), seed+1, 2).all / seeds
	}
	t.Logf("in time first earns %.3f of the credit, first come first served %.3f", inTimeFirstCredit, fifoCredit)
	if inTimeFirstCredit <= fifoCredit {
		t.Errorf("in time first earns %.3f of the credit, first come first served %.3f", inTimeFirstCredit, fifoCredit)
	}
}

// byClass orders candidates by class, and by another order within a class.
func byClass(within joborder.Order) joborder.Order {
	return func(now time.Time, a, b *joborder.Candidate) int {
		if c := cmp.Compare(a.Class, b.Class); c != 0 {
			return c
		}
		return within(now, a, b)
	}
}

// expiredLast puts candidates that can no longer earn credit last, except for those of the guaranteed class.
func expiredLast(order joborder.Order) joborder.Order {
	return func(now time.Time, a, b *joborder.Candidate) int {
		expiredRank := func(c *joborder.Candidate) int {
			if c.Class != classGuaranteed && now.After(c.Expiry) {
				return 1
			}
			return 0
		}
		if c := cmp.Compare(expiredRank(a), expiredRank(b)); c != 0 {
			return c
		}
		return order(now, a, b)
	}
}

func fifo(_ time.Time, a, b *joborder.Candidate) int { return a.Arrived.Compare(b.Arrived) }

func leastWork(_ time.Time, a, b *joborder.Candidate) int { return cmp.Compare(a.Work, b.Work) }

func leastSlack(_ time.Time, a, b *joborder.Candidate) int {
	return a.LatestStart.Compare(b.LatestStart)
}

// inTimeFirst is the order that joborder.InTimeFirst applies within a class.
func inTimeFirst(now time.Time, a, b *joborder.Candidate) int {
	x, y := *a, *b
	x.Class, y.Class = joborder.Guaranteed, joborder.Guaranteed
	return joborder.InTimeFirst(now, &x, &y)
}

// creditDensity orders candidates by the credit of a start at this moment, relative to their work. The credit falls
// from the latest start to the expiry and is weighted by the time that the job has waited.
func creditDensity(now time.Time, a, b *joborder.Candidate) int {
	density := func(c *joborder.Candidate) float64 {
		credit := 1.0
		if now.After(c.LatestStart) {
			credit = max(0, float64(c.Expiry.Sub(now))/float64(c.Expiry.Sub(c.LatestStart)))
		}
		age := float64(now.Sub(c.Arrived)) / max(float64(time.Millisecond), float64(c.LatestStart.Sub(c.Arrived)))
		return credit * (1 + max(0, age)) / max(c.Work, 1e-3)
	}
	return cmp.Compare(density(b), density(a))
}

// BenchmarkOrders compares orders of jobs by the credit that they earn; TestOrderOverload checks the one in use. It
// prints the values of the table in docs/decisions/job-order.md:
//
//	go test -run '^$' -bench Orders -benchtime 1x ./decisions/fleet
func BenchmarkOrders(b *testing.B) {
	orders := []struct {
		name  string
		order joborder.Order
	}{
		{"first come, first served", byClass(fifo)},
		{"least work first", byClass(leastWork)},
		{"least slack first", byClass(leastSlack)},
		{"credit density with ageing", byClass(creditDensity)},
		{"in time first", byClass(inTimeFirst)},
		{"in time first, expired last", joborder.InTimeFirst},
		{"least work first, expired last", expiredLast(byClass(leastWork))},
	}
	seeds := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	for _, load := range []float64{0.8, 1, 1.3, 2} {
		for _, o := range orders {
			b.Run(fmt.Sprintf("%.1f/%s", load, o.name), func(b *testing.B) {
				for b.Loop() {
					var mean replayResult
					for _, seed := range seeds {
						s := replay(b, o.order, seed, load)
						n := float64(len(seeds))
						mean.all += s.all / n
						mean.worstKind += s.worstKind / n
						mean.worstAccount += s.worstAccount / n
						mean.largest += s.largest / n
						mean.lostShare += s.lostShare / n
					}
					b.ReportMetric(mean.all, "credit")
					b.ReportMetric(mean.worstKind, "worst-kind")
					b.ReportMetric(mean.worstAccount, "worst-account")
					b.ReportMetric(mean.largest, "largest")
					b.ReportMetric(mean.lostShare, "lost")
				}
			})
		}
	}
}
