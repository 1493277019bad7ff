package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/accountlimit"
)

const (
	floodAccounts = 10
	// floodFactor is how many times its usual number of jobs the first account submits from floodStart for floodTime.
	floodFactor = 8
	floodStart  = 10 * time.Second
	floodTime   = 20 * time.Second
	// floodTraffic is how long all accounts submit, floodDrain how long the simulation goes on.
	floodTraffic = 40 * time.Second
	floodDrain   = 30 * time.Second
)

// floodResult is what the other accounts get for the jobs that they submit while the first one floods the fleet.
type floodResult struct {
	// credit is the credit that each account has earned, as a share of that of all its jobs.
	credit map[workload.Account]float64
	// startedAt is when each job was first started.
	startedAt map[workload.JobID]time.Duration
}

// mean returns the mean credit of the accounts.
func (r *floodResult) mean() float64 {
	sum := 0.0
	for _, c := range r.credit {
		sum += c
	}
	return sum / float64(len(r.credit))
}

// floodKind is what the first account submits beside its usual jobs.
type floodKind string

const (
	floodNone floodKind = "no flood"
	// floodWithinRate cuts the flood at the rate of the account.
	floodWithinRate floodKind = "flood cut at the rate"
	// floodUnmarked is the whole flood of an account without a rate.
	floodUnmarked floodKind = "flood without rates"
	floodMarked   floodKind = "flood with rates"
)

// replayFlood simulates ten accounts with equal traffic, of which the first one may flood the fleet. Their rates are twice
// their usual numbers of jobs.
func replayFlood(t testing.TB, seed uint64, load float64, kind floodKind) *floodResult {
	t.Helper()
	const racks, perRack = 2, 8
	sim := newSimulation(t, seed, racks, perRack)
	account := func(i int) workload.Account { return workload.Account(fmt.Sprintf("t%d", i)) }
	jobs := traffic(seed, load, racks*perRack)
	for i := range jobs {
		jobs[i].job.Account = account(i % floodAccounts)
	}
	usual := float64(len(jobs)) / trafficDuration.Seconds() / floodAccounts
	jobs = slices.DeleteFunc(jobs, func(a arrival) bool { return a.at > floodTraffic })
	c := &workload.Config{Version: 2, Routes: sim.config.Routes, Pools: sim.config.Pools}
	for i := range floodAccounts {
		a := workload.AccountConfig{Name: account(i), Guaranteed: 8}
		if kind != floodUnmarked {
			a.Weight = 2 * usual
		}
		c.Accounts = append(c.Accounts, a)
	}
	sim.config = c.Index()
	others := slices.Clone(jobs)
	if kind != floodNone {
		for _, a := range traffic(seed+1000, load*(floodFactor-1)/floodAccounts, racks*perRack) {
			if a.at >= floodStart && a.at < floodStart+floodTime {
				a.job.ID, a.job.Account = "flood-"+a.job.ID, account(0)
				jobs = append(jobs, a)
			}
		}
		slices.SortStableFunc(jobs, func(a, b arrival) int { return int(a.at - b.at) })
		if kind == floodWithinRate {
			var r accountlimit.Rates
			jobs = slices.DeleteFunc(jobs, func(a arrival) bool {
				return a.job.Account == account(0) && r.Exceeds(account(0), 2*usual, sim.now.Add(a.at))
			})
		}
	}
	sim.newHolder()
	sim.advanceRuns()
	begin := sim.now
	for _, a := range jobs {
		sim.advance(a.at - sim.now.Sub(begin))
		a.job.Accepted = sim.now
		sim.submit(a.job, behavior{runTime: a.runTime})
	}
	sim.advance(floodDrain)
	for _, f := range sim.violations {
		t.Error(f)
	}
	out := &floodResult{credit: map[workload.Account]float64{}, startedAt: map[workload.JobID]time.Duration{}}
	owed := map[workload.Account]float64{}
	for i := range others {
		a := &others[i]
		if a.job.Account == account(0) || a.at < floodStart || a.at >= floodStart+floodTime {
			continue
		}
		out.credit[a.job.Account] += sim.creditOf(a)
		owed[a.job.Account] += jobKinds[a.kind].credit
		first := floodTraffic + floodDrain
		for k := range a.job.Steps[0].Count {
			if s := sim.starts[workload.TaskRef{Job: a.job.ID, Index: k}]; len(s) > 0 {
				first = min(first, s[0].Sub(begin))
			}
		}
		out.startedAt[a.job.ID] = first
	}
	for a := range out.credit {
		out.credit[a] /= owed[a]
	}
	return out
}

// TestFloodOfOneAccount guards against a flood of one account that changes when other accounts are served. Ten accounts
// share a full fleet, and one submits eight times its usual number of jobs; its rate is twice that number. What the others
// earn for the jobs of that time may fall by at most 0.03 because of the jobs beyond the rate, and by at most a tenth
// because of the whole flood, since what the rate admits raises the load by a tenth. A single account, which has only
// 24 jobs in these seeds, may lose half as much again.
func TestFloodOfOneAccount(t *testing.T) {
	t.Parallel()
	const seeds, load, maxExcessDrop, maxDrop, maxAccountDrop = 8, 1.3, 0.03, 0.1, 0.15
	without, kept, flooded := map[workload.Account]float64{}, 0.0, 0.0
	with := map[workload.Account]float64{}
	for seed := range uint64(seeds) {
		for a, c := range replayFlood(t, seed+1, load, floodNone).credit {
			without[a] += c / seeds
		}
		for a, c := range replayFlood(t, seed+1, load, floodMarked).credit {
			with[a] += c / seeds
			flooded += c / seeds / (floodAccounts - 1)
		}
		kept += replayFlood(t, seed+1, load, floodWithinRate).mean() / seeds
	}
	t.Logf("the other accounts earn %.3f of their credit with the flood, %.3f with what the rate admits of it", flooded, kept)
	if kept-flooded > maxExcessDrop {
		t.Errorf("jobs beyond the rate cost the other accounts %.3f of their credit, want at most %.2f", kept-flooded, maxExcessDrop)
	}
	drop := 0.0
	for a, c := range without {
		t.Logf("account %s earns %.3f without the flood, %.3f with it", a, c, with[a])
		drop += (c - with[a]) / (floodAccounts - 1)
		if c-with[a] > maxAccountDrop {
			t.Errorf("the flood costs account %s %.3f of its credit, want at most %.2f", a, c-with[a], maxAccountDrop)
		}
	}
	if drop > maxDrop {
		t.Errorf("the flood costs the other accounts %.3f of their credit, want at most %.2f", drop, maxDrop)
	}
}

// BenchmarkFlood prints the values of the table in docs/design/account-limits.md:
//
//	go test -run '^$' -bench Flood -benchtime 1x ./decisions/fleet
func BenchmarkFlood(b *testing.B) {
	const seeds = 24
	for _, load := range []float64{0.8, 1, 1.3} {
		for _, kind := range []floodKind{floodNone, floodWithinRate, floodUnmarked, floodMarked} {
			b.Run(fmt.Sprintf("%.1f/%s", load, kind), func(b *testing.B) {
				for b.Loop() {
					mean, later := 0.0, 0.0
					for seed := range uint64(seeds) {
						without, r := replayFlood(b, seed+1, load, floodNone), replayFlood(b, seed+1, load, kind)
						mean += r.mean() / seeds
						for id, at := range r.startedAt {
							if at > without.startedAt[id]+500*time.Millisecond {
								later += 1 / float64(len(r.startedAt)) / seeds
							}
						}
					}
					b.ReportMetric(mean, "credit")
					b.ReportMetric(later, "later-by-0.5s")
				}
			})
		}
	}
}

// TestExcessGivesWay guards against jobs beyond the rate of their account that preempt work of others, or that hold the
// fleet against urgent work of others; and against a new holder that marks other jobs as excess.
func TestExcessGivesWay(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	c := withLimits(sim.config, nil)
	for i := range c.Accounts {
		c.Accounts[i].Weight, c.Accounts[i].Guaranteed = 1, 0
	}
	sim.configure(c)
	submit := func(id string, account workload.Account, queue workload.Queue, tasks int) {
		j := oneStep(id, queue, workload.Step{Count: tasks, Gang: queue == "urgent", Need: workload.Resources{CPU: 1000, GPU: 1}, Estimate: 20 * time.Second})
		j.Account, j.Accepted = account, sim.now
		sim.submit(j, behavior{runTime: 20 * time.Second})
		sim.advance(time.Millisecond)
	}
	submit("batch", "b", "batch", 8)
	sim.advance(time.Second)
	for i := range 12 {
		submit(fmt.Sprintf("flood%02d", i), "a", "urgent", 4)
	}
	sim.advance(8 * time.Second)
	for i := range 8 {
		if n := len(sim.starts[workload.TaskRef{Job: "batch", Index: i}]); n != 1 {
			t.Errorf("task %d of the other account was started %d times", i, n)
		}
	}
	if got := sim.running("a").GPU; got != 24 {
		t.Errorf("%d accelerators run the flood, want all 24 that are free", got)
	}
	submit("urgent", "b", "urgent", 8)
	sim.advance(1200 * time.Millisecond)
	for i := range 8 {
		if sim.activeRuns[workload.TaskRef{Job: "urgent", Index: i}] == nil {
			t.Errorf("task %d of the other account's urgent gang does not run after 1.2 s", i)
		}
		if n := len(sim.starts[workload.TaskRef{Job: "batch", Index: i}]); n != 1 {
			t.Errorf("task %d of the other account was started %d times although excess work could be stopped", i, n)
		}
	}
	excess := func() (out []workload.JobID) {
		for _, id := range sim.jobIDs {
			if sim.holder.scheduler.jobs[id].excess {
				out = append(out, id)
			}
		}
		return out
	}
	before := excess()
	if len(before) != 8 {
		t.Errorf("%v are excess, want the last 8 of the flood", before)
	}
	slices.Reverse(sim.jobIDs)
	sim.newHolder()
	slices.Reverse(sim.jobIDs)
	if after := excess(); !slices.Equal(before, after) {
		t.Errorf("a new holder marks %v, the one before %v", after, before)
	}
	sim.advance(120 * time.Second)
	sim.expectDone()
}

// TestExcessBesideUnplaceableWork guards against a job that no executor can take, or that waits for another pool, and that
// keeps all jobs beyond the rate from free capacity.
func TestExcessBesideUnplaceableWork(t *testing.T) {
	for name, step := range map[string]workload.Step{
		"label that no executor has": {Count: 1, Need: smallTask, Requires: "none"},
		"gang larger than the pool":  {Count: 40, Gang: true, Need: smallTask},
	} {
		sim := startSimulation(t, 1, 4)
		c := withLimits(sim.config, nil)
		c.Account("a").Weight = 0.1
		sim.configure(c)
		waiting := oneStep("waiting", "normal", step)
		waiting.Account = "b"
		sim.submit(waiting, behavior{runTime: time.Second})
		for i := range 8 {
			j := oneStep(fmt.Sprintf("j%d", i), "batch", workload.Step{Count: 5, Need: workload.Resources{CPU: 4000, GPU: 1}, Estimate: 20 * time.Second})
			j.Accepted = sim.now
			sim.submit(j, behavior{runTime: 20 * time.Second})
			sim.advance(500 * time.Millisecond)
		}
		sim.advance(5 * time.Second)
		if got := sim.running("a").GPU; got != 32 {
			t.Errorf("%s: %d accelerators run the account's jobs, want all 32", name, got)
		}
		for _, f := range sim.violations {
			t.Error(f)
		}
	}
}

// TestExcessOfOtherPool guards against work of one pool that waits for capacity and keeps the jobs beyond the rate of
// another pool from free capacity.
func TestExcessOfOtherPool(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.addExecutor("other", "r9", "zone")
	info := &sim.executors["other"].info
	info.Pool = "other"
	sim.holder.scheduler.UpsertExecutor(sim.now, *info)
	sim.advance(100 * time.Millisecond)
	c := withLimits(sim.config, nil)
	c.Routes = append(slices.Clone(c.Routes), workload.Route{Name: "elsewhere", Pool: "other", Priority: 1, MaxAttempts: 3, Stretch: 3, Latency: time.Second})
	c.Pools = append(slices.Clone(c.Pools), workload.PoolConfig{Name: "other"})
	c.Index()
	c.Account("a").Weight = 0.1
	sim.configure(c)
	waiting := oneStep("waiting", "elsewhere", workload.Step{Count: 10, Need: smallTask, Estimate: 20 * time.Second})
	waiting.Account = "b"
	sim.submit(waiting, behavior{runTime: 20 * time.Second})
	for i := range 8 {
		j := oneStep(fmt.Sprintf("j%d", i), "batch", workload.Step{Count: 5, Need: workload.Resources{CPU: 4000, GPU: 1}, Estimate: 20 * time.Second})
		j.Accepted = sim.now
		sim.submit(j, behavior{runTime: 20 * time.Second})
		sim.advance(500 * time.Millisecond)
	}
	sim.advance(5 * time.Second)
	if got := sim.running("a").GPU; got != 32 {
		t.Errorf("%d accelerators run the account's jobs, want all 32 of its pool", got)
	}
}
