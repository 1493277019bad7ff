package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/joborder"
)

// withoutShares is the order of jobs without regard to shares.
func withoutShares(now time.Time, a, b *joborder.Candidate) int {
	x, y := *a, *b
	x.OverShare, y.OverShare = false, false
	return joborder.InTimeFirst(now, &x, &y)
}

// replayShares simulates ten accounts with equal weights, of which the first one submits 40 of 100 jobs. It returns the
// credit of all jobs, of the first account and of the mean of the others.
func replayShares(t testing.TB, order joborder.Order, seed uint64, load float64) (all, large, others float64) {
	t.Helper()
	const racks, perRack, accounts = 2, 8, 10
	sim := newSimulation(t, seed, racks, perRack)
	account := func(i int) workload.Account { return workload.Account(fmt.Sprintf("t%d", i)) }
	jobs := traffic(seed, load, racks*perRack)
	for i := range jobs {
		n := 0
		if i%5 >= 2 {
			n = 1 + (i/5*3+i%5-2)%(accounts-1)
		}
		jobs[i].job.Account = account(n)
	}
	c := &workload.Config{Version: 2, Routes: sim.config.Routes, Pools: sim.config.Pools}
	for i := range accounts {
		// No account exceeds this rate.
		c.Accounts = append(c.Accounts, workload.AccountConfig{Name: account(i), Guaranteed: 8, Weight: 1000})
	}
	sim.config = c.Index()
	sim.newHolder()
	sim.holder.scheduler.jobOrder = order
	sim.advanceRuns()
	begin := sim.now
	for _, a := range jobs {
		sim.advance(a.at - sim.now.Sub(begin))
		a.job.Accepted = sim.now
		sim.submit(a.job, behavior{runTime: a.runTime})
	}
	sim.advance(drainDuration)
	for _, f := range sim.violations {
		t.Error(f)
	}
	earned, owed := map[workload.Account]float64{}, map[workload.Account]float64{}
	for i := range jobs {
		a := &jobs[i]
		earned[a.job.Account] += sim.creditOf(a)
		owed[a.job.Account] += jobKinds[a.kind].credit
	}
	earnedByAll, owedToAll := 0.0, 0.0
	for a, c := range earned {
		earnedByAll, owedToAll = earnedByAll+c, owedToAll+owed[a]
		if a == account(0) {
			large = c / owed[a]
		} else {
			others += c / owed[a] / (accounts - 1)
		}
	}
	return earnedByAll / owedToAll, large, others
}

// BenchmarkShares prints the values of the table of shares in docs/design/account-limits.md:
//
//	go test -run '^$' -bench Shares -benchtime 1x ./decisions/fleet
func BenchmarkShares(b *testing.B) {
	const seeds = 8
	for _, load := range []float64{0.8, 1, 1.3, 2} {
		for _, o := range []struct {
			name  string
			order joborder.Order
		}{{"without shares", withoutShares}, {"by share", joborder.InTimeFirst}} {
			b.Run(fmt.Sprintf("%.1f/%s", load, o.name), func(b *testing.B) {
				for b.Loop() {
					var sum [3]float64
					for seed := range uint64(seeds) {
						all, large, others := replayShares(b, o.order, seed+1, load)
						sum[0], sum[1], sum[2] = sum[0]+all/seeds, sum[1]+large/seeds, sum[2]+others/seeds
					}
					b.ReportMetric(sum[0], "credit")
					b.ReportMetric(sum[1], "large-account")
					b.ReportMetric(sum[2], "other-accounts")
				}
			})
		}
	}
}

// TestShareOfFullFleet guards against an account with a backlog that takes all capacity which becomes free, while another
// account with the same weight waits.
func TestShareOfFullFleet(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	c := withLimits(sim.config, nil)
	for i := range c.Accounts {
		c.Accounts[i].Weight, c.Accounts[i].Guaranteed = 1000, 0
	}
	sim.configure(c)
	submit := func(id string, a workload.Account, tasks int) {
		j := oneStep(id, "batch", workload.Step{Count: tasks, Need: workload.Resources{CPU: 1000, GPU: 1}, Estimate: 3 * time.Second})
		j.Account = a
		sim.submit(j, behavior{runTime: 3 * time.Second})
	}
	for i := range 4 {
		submit(fmt.Sprintf("backlog%d", i), "a", 16)
	}
	sim.advance(time.Second)
	submit("late", "b", 8)
	sim.advance(2500 * time.Millisecond)
	if a, b := sim.running("a").GPU, sim.running("b").GPU; a != 8 || b != 8 {
		t.Errorf("the accounts run %d and %d tasks once the first ones have ended, want 8 each", a, b)
	}
	sim.advance(30 * time.Second)
	sim.expectDone()
}
