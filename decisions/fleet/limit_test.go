package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// withLimits returns the next version of a configuration with other limits of its accounts; accounts without one are not
// bounded.
func withLimits(c *workload.Config, limits map[workload.Account]workload.Resources) *workload.Config {
	next := &workload.Config{Version: c.Version + 1, Routes: c.Routes, Pools: c.Pools}
	for _, a := range c.Accounts {
		a.Limit = limits[a.Name]
		next.Accounts = append(next.Accounts, a)
	}
	return next.Index()
}

// running returns what runs of an account on all executors.
func (sim *simulation) running(a workload.Account) workload.Resources {
	var sum workload.Resources
	for _, e := range sim.executors {
		for _, r := range e.runs {
			if e.up && r.job.Account == a {
				sum = sum.Add(r.job.Steps[r.task.Step].Need)
			}
		}
	}
	return sum
}

// TestAccountLimitsUnderFaults guards against a start that brings what an account has running on all executors above its
// limit, whatever happens to holders, executors, calls and the configuration in between, and against work that does not
// go on once limits are lifted. The executors see what truly runs.
func TestAccountLimitsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), 2, 3)
		sim.t = failOn{t, rt}
		drawLimits := func() map[workload.Account]workload.Resources {
			limits := map[workload.Account]workload.Resources{}
			for _, a := range []workload.Account{"a", "b"} {
				limits[a] = workload.Resources{
					CPU: rapid.SampledFrom([]int{0, 0, 20000, 40000}).Draw(rt, "cpu limit"), GPU: rapid.SampledFrom([]int{0, 4, 8, 12, 20}).Draw(rt, "gpu limit"),
				}
			}
			return limits
		}
		sim.settings.LearnRunTimes, sim.settings.ChooseVictims = rapid.Bool().Draw(rt, "learn run times"), rapid.Bool().Draw(rt, "choose victims")
		c := withLimits(sim.config, drawLimits())
		for i := range c.Accounts {
			c.Accounts[i].Weight = rapid.SampledFrom([]float64{0, 0.2, 2}).Draw(rt, "weight")
		}
		sim.configure(c)
		sim.newHolder()
		sim.advanceRuns()
		for i := range rapid.IntRange(5, 30).Draw(rt, "steps") {
			sim.advance(time.Duration(rapid.IntRange(5, 1500).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(rt, "limits") {
			case 0:
				sim.configure(withLimits(sim.config, drawLimits()))
			case 1:
				sim.submitUrgent(rt, fmt.Sprintf("u%02d", i), 2*time.Second)
			default:
				sim.fuzzStep(rt, i)
			}
		}
		sim.lossRate, sim.storeDown = 0, false
		clear(sim.unregistered)
		sim.advance(20 * time.Second)
		for _, id := range sim.executorIDs {
			e := sim.executors[id]
			e.unreachable, e.rejecting, e.stalled, e.info.Draining = false, false, false, false
			if !e.up {
				sim.restart(id)
			} else {
				sim.holder.scheduler.UpsertExecutor(sim.now, e.info)
			}
		}
		sim.configure(withLimits(sim.config, nil))
		sim.advance(90 * time.Second)
		sim.expectDone()
		for _, a := range []workload.Account{"a", "b"} {
			use := &sim.holder.scheduler.use
			if o, d, u := use.occupied.Occupied(a), use.dispatched.Occupied(a), use.urgent.Occupied(a); o != d || d != u || o != (workload.Resources{}) {
				sim.t.Errorf("account %s is counted with %v, %v sent, %v of priority 0, although nothing runs", a, o, d, u)
			}
		}
	})
}

// submitUrgent submits 2 to 10 urgent jobs of account a at once.
func (sim *simulation) submitUrgent(rt *rapid.T, prefix string, runTime time.Duration) {
	for i := range rapid.IntRange(2, 10).Draw(rt, "urgent jobs") {
		sim.submit(oneStep(fmt.Sprintf("%s-%d", prefix, i), "urgent", workload.Step{
			Count: rapid.IntRange(1, 2).Draw(rt, "urgent tasks"), Gang: rapid.Bool().Draw(rt, "urgent gang"), Estimate: runTime,
			Need: workload.Resources{CPU: 1000, GPU: rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "urgent gpu")},
		}), behavior{runTime: runTime})
	}
}

// TestVacatedForUrgentJobs guards against simultaneous urgent jobs that together stop more work of their account than its
// guarantee. The work is in tasks of one accelerator, so that none is larger than what is missing, and the urgent jobs run
// until the end of the test, so that each part of the guarantee is used once.
func TestVacatedForUrgentJobs(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), 2, 3)
		sim.t = failOn{t, rt}
		sim.settings.LearnRunTimes, sim.settings.ChooseVictims = rapid.Bool().Draw(rt, "learn run times"), rapid.Bool().Draw(rt, "choose victims")
		limit := rapid.SampledFrom([]int{8, 16, 32}).Draw(rt, "limit")
		c := withLimits(sim.config, map[workload.Account]workload.Resources{"a": {GPU: limit}})
		a := c.Account("a")
		a.Guaranteed, a.Weight = rapid.SampledFrom([]int{0, 4, 8, 16}).Draw(rt, "guarantee"), rapid.SampledFrom([]float64{0, 0.2, 2}).Draw(rt, "weight")
		sim.configure(c)
		sim.newHolder()
		sim.advanceRuns()
		sim.submit(oneStep("own", "batch", workload.Step{Count: 40, Need: smallTask, Estimate: time.Minute}), behavior{runTime: time.Minute})
		sim.advance(3 * time.Second)
		sim.submitUrgent(rt, "urgent", time.Minute)
		sim.advance(10 * time.Second)
		if n := sim.holder.scheduler.TakeCounters()[CountLimitVacated]; n > int64(a.Guaranteed) {
			sim.t.Errorf("%d accelerators were vacated, want at most the guarantee of %d", n, a.Guaranteed)
		}
		for _, f := range sim.violations {
			sim.t.Error(f)
		}
	})
}

// TestLimitInWaves guards against a step wider than the limit of its account that starts at once or never, against a
// limit that leaves room unused, and against processors that do not count because they fill what others leave unused.
func TestLimitInWaves(t *testing.T) {
	for _, fills := range []bool{false, true} {
		sim := startSimulation(t, 2, 4)
		sim.configure(withLimits(sim.config, map[workload.Account]workload.Resources{"a": {CPU: 8 * smallTask.CPU}}))
		sim.submit(oneStep("wide", "batch", workload.Step{Count: 24, Need: smallTask, Fills: fills}), behavior{runTime: 2 * time.Second})
		for range 3 {
			sim.advance(time.Second)
			if got := sim.running("a").CPU; got != 8*smallTask.CPU {
				t.Errorf("%v: %d thousandths of a core run, want those of 8 tasks", sim.now.Sub(time.Unix(1_700_000_000, 0)), got)
			}
			sim.advance(1100 * time.Millisecond)
		}
		sim.advance(3 * time.Second)
		sim.expectDone()
	}
}

// TestLimitChanges guards against runs that are stopped because a limit fell, starts below a limit that was passed, a
// limit that is used late after it rose or was removed, and runs that are no longer counted while their account is not
// configured.
func TestLimitChanges(t *testing.T) {
	sim := startSimulation(t, 2, 4)
	limit := func(tasks int) map[workload.Account]workload.Resources {
		return map[workload.Account]workload.Resources{"a": {GPU: tasks}}
	}
	expect := func(what string, want int) {
		t.Helper()
		sim.advance(200 * time.Millisecond)
		if got := sim.running("a").GPU; got != want {
			t.Errorf("%s: %d tasks run, want %d", what, got, want)
		}
	}
	sim.configure(withLimits(sim.config, limit(12)))
	accounts := sim.config.Accounts
	j := oneStep("j", "batch", workload.Step{Count: 40, Need: smallTask, Estimate: 9 * time.Second})
	j.AccountLimit = workload.Resources{GPU: 12}
	sim.submit(j, behavior{runTime: 9 * time.Second})
	expect("limit of 12", 12)
	sim.configure(withLimits(sim.config, limit(4)))
	expect("limit that fell to 4", 12)
	sim.configure(withLimits(sim.config, limit(20)))
	expect("limit that rose to 20", 20)
	removed := *sim.config
	removed.Version, removed.Accounts = removed.Version+1, nil
	sim.configure(removed.Index())
	expect("account that was removed", 20)
	sim.cancel("j")
	removed.Version, removed.Accounts = removed.Version+1, accounts
	sim.configure(withLimits(removed.Index(), limit(20)))
	sim.submit(oneStep("k", "batch", workload.Step{Count: 40, Need: smallTask, Estimate: 9 * time.Second}), behavior{runTime: 9 * time.Second})
	sim.advance(100 * time.Millisecond)
	if got := sim.running("a").GPU; got != 20 {
		t.Errorf("%d tasks run while those of a cancelled job end, want 20", got)
	}
	sim.advance(time.Second)
	sim.configure(withLimits(sim.config, nil))
	expect("limit that was removed", 40)
	for _, f := range sim.violations {
		t.Error(f)
	}
}

// TestGuaranteeAtLimit guards against guaranteed work that does not start within its bound because lower work of its own
// account occupies the limit, and against work of another account that is stopped for it: that would not help.
func TestGuaranteeAtLimit(t *testing.T) {
	sim := startSimulation(t, 2, 4)
	sim.configure(withLimits(sim.config, map[workload.Account]workload.Resources{"a": {GPU: 16}}))
	own := oneStep("own", "batch", workload.Step{Count: 30, Need: smallTask, Estimate: 20 * time.Second})
	other := oneStep("other", "batch", workload.Step{Count: 20, Need: smallTask, Estimate: 20 * time.Second})
	other.Account = "b"
	sim.submit(own, behavior{runTime: 20 * time.Second})
	sim.submit(other, behavior{runTime: 20 * time.Second})
	sim.advance(2 * time.Second)
	sim.submit(oneStep("urgent", "urgent", workload.Step{Count: 4, Gang: true, Need: workload.Resources{CPU: 3700, GPU: 2}, Estimate: 3 * time.Second}), behavior{runTime: 3 * time.Second})
	sim.advance(1500 * time.Millisecond)
	if got := sim.running("a").GPU; got != 16 {
		t.Errorf("%d accelerators of the account run, want its limit of 16", got)
	}
	for i := range 4 {
		if sim.activeRuns[workload.TaskRef{Job: "urgent", Index: i}] == nil {
			t.Errorf("task %d of the guaranteed gang does not run after 1.5 s", i)
		}
	}
	counters := sim.holder.scheduler.TakeCounters()
	if counters[CountLimitVacated] != 8 || counters[CountPreempted] != 0 {
		t.Errorf("%d units stopped for the limit and %d preempted, want 8 and none", counters[CountLimitVacated], counters[CountPreempted])
	}
	for i := range 20 {
		if n := len(sim.starts[workload.TaskRef{Job: "other", Index: i}]); n != 1 {
			t.Errorf("task %d of the other account was started %d times", i, n)
		}
	}
	sim.advance(80 * time.Second)
	sim.expectDone()
}

// TestVacatedWithinGuarantee guards against simultaneous urgent jobs that each stop other work of their account as if they
// alone used its guarantee.
func TestVacatedWithinGuarantee(t *testing.T) {
	sim := startSimulation(t, 2, 4)
	c := withLimits(sim.config, map[workload.Account]workload.Resources{"a": {GPU: 40}})
	c.Account("a").Guaranteed = 8
	sim.configure(c)
	sim.submit(oneStep("own", "batch", workload.Step{Count: 40, Need: smallTask, Estimate: 20 * time.Second}), behavior{runTime: 20 * time.Second})
	sim.advance(2 * time.Second)
	for i := range 10 {
		sim.submit(oneStep(fmt.Sprintf("urgent%d", i), "urgent", workload.Step{Count: 1, Need: workload.Resources{CPU: 1000, GPU: 4}, Estimate: 5 * time.Second}), behavior{runTime: 5 * time.Second})
	}
	sim.advance(3 * time.Second)
	if n := sim.holder.scheduler.TakeCounters()[CountLimitVacated]; n != 8 {
		t.Errorf("%d tasks of one accelerator were stopped for a guarantee of 8, want 8", n)
	}
	sim.advance(120 * time.Second)
	sim.expectDone()
}

// TestVacatedOnce guards against batch work that is stopped and started again without end for guaranteed work of its
// account that no executor can take, or that waits for one which others use.
func TestVacatedOnce(t *testing.T) {
	for label, want := range map[string]int64{"none": 0, "r0": 1} {
		sim := startSimulation(t, 2, 1)
		sim.configure(withLimits(sim.config, map[workload.Account]workload.Resources{"a": {GPU: 8}}))
		other := oneStep("other", "urgent", workload.Step{Count: 8, Need: smallTask, Requires: "r0", Estimate: 20 * time.Second})
		other.Account = "b"
		sim.submit(other, behavior{runTime: 20 * time.Second})
		sim.advance(time.Second)
		sim.submit(oneStep("own", "batch", workload.Step{Count: 8, Need: smallTask, Estimate: 20 * time.Second}), behavior{runTime: 20 * time.Second})
		sim.advance(6 * time.Second)
		sim.submit(oneStep("urgent", "urgent", workload.Step{Count: 1, Need: smallTask, Requires: label}), behavior{runTime: time.Second})
		sim.advance(10 * time.Second)
		if n := sim.holder.scheduler.TakeCounters()[CountLimitVacated]; n != want {
			t.Errorf("label %s: %d tasks were stopped for a task that cannot start, want %d", label, n, want)
		}
		sim.advance(20 * time.Second)
		if started := len(sim.starts[workload.TaskRef{Job: "urgent"}]) > 0; started != (want > 0) {
			t.Errorf("label %s: started %v once the executor is free", label, started)
		}
		for _, f := range sim.violations {
			t.Error(f)
		}
	}
}

// TestNoGuaranteeWithoutAccelerators guards against urgent work without accelerators of an account that has no guarantee
// and that stops other work of the account, or is never excess, as if it were within the guarantee.
func TestNoGuaranteeWithoutAccelerators(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	c := withLimits(sim.config, map[workload.Account]workload.Resources{"a": {CPU: 8000}})
	c.Account("a").Guaranteed, c.Account("a").Weight = 0, 1
	sim.configure(c)
	step := workload.Step{Count: 1, Need: workload.Resources{CPU: 1000}, Estimate: 10 * time.Second}
	for i := range 10 {
		queue := workload.Queue("batch")
		step.Need.GPU = 1
		if i >= 8 {
			queue, step.Need.GPU = "urgent", 0
		}
		j := oneStep(fmt.Sprintf("j%d", i), queue, step)
		j.Accepted = sim.now
		sim.submit(j, behavior{runTime: 10 * time.Second})
		sim.advance(50 * time.Millisecond)
	}
	sim.advance(2 * time.Second)
	f := sim.holder.scheduler
	if n := f.TakeCounters()[CountLimitVacated]; n != 0 {
		t.Errorf("%d tasks were stopped for an account without a guarantee", n)
	}
	if j := f.jobs["j9"]; !j.excess || f.classOf(j.unitAt(0)) < classExcess || f.runningClass(j.unitAt(0)) < classExcess {
		t.Errorf("excess %v, class %d to start and %d while it runs, want a job beyond the rate after all other work", j.excess, f.classOf(j.unitAt(0)), f.runningClass(j.unitAt(0)))
	}
	sim.advance(60 * time.Second)
	sim.expectDone()
}

// TestLimitHoldsOverGuarantee guards against guaranteed work that starts beyond the limit of its account, or that stops
// work of its account although that does not suffice.
func TestLimitHoldsOverGuarantee(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.configure(withLimits(sim.config, map[workload.Account]workload.Resources{"a": {GPU: 8}}))
	sim.submit(oneStep("own", "batch", workload.Step{Count: 8, Need: smallTask, Estimate: 9 * time.Second}), behavior{runTime: 9 * time.Second})
	sim.advance(time.Second)
	sim.submit(oneStep("wide", "urgent", workload.Step{Count: 3, Gang: true, Need: workload.Resources{GPU: 4}}), behavior{runTime: time.Second})
	sim.advance(4 * time.Second)
	if got := sim.running("a").GPU; got != 8 {
		t.Errorf("%d accelerators of the account run, want the 8 of its batch job", got)
	}
	if r := sim.holder.scheduler.jobs["wide"].unitAt(0).waitsFor; r != WaitAccountLimit {
		t.Errorf("a gang beyond its account's limit waits for %s, want %s", r, WaitAccountLimit)
	}
	sim.configure(withLimits(sim.config, nil))
	sim.advance(20 * time.Second)
	sim.expectDone()
}

// TestGangAtLimit guards against the starvation of a gang by small tasks of its own account, which take each part of the
// limit that becomes free.
func TestGangAtLimit(t *testing.T) {
	sim := startSimulation(t, 2, 4)
	sim.configure(withLimits(sim.config, map[workload.Account]workload.Resources{"a": {GPU: 16}}))
	for i := range 40 {
		sim.submit(oneStep(fmt.Sprintf("batch%02d", i), "batch", workload.Step{Count: 4, Need: smallTask, Estimate: 4 * time.Second}), behavior{runTime: 4 * time.Second})
		if i == 10 {
			sim.submit(oneStep("gang", "normal", workload.Step{Count: 3, Gang: true, Need: workload.Resources{CPU: 1000, GPU: 4}, Estimate: 4 * time.Second}), behavior{runTime: 4 * time.Second})
		}
		sim.advance(500 * time.Millisecond)
	}
	for _, f := range sim.violations {
		t.Error(f)
	}
	route := sim.config.Route("normal")
	// The last task that may start before the gang ends at its latest start, and its end is reported within 0.2 s.
	latest := time.Unix(1_700_000_000, 0).Add(5800*time.Millisecond + time.Duration((route.Stretch-1)*float64(4*time.Second)) + route.Latency)
	if starts := sim.starts[workload.TaskRef{Job: "gang"}]; len(starts) == 0 || starts[0].After(latest) {
		t.Errorf("the gang started at %v, want %v at the latest", starts, latest)
	}
}

// TestLimitOfNewHolder guards against a new holder that starts work of an account while an executor that does not answer
// may still run work which an earlier holder started for it, and against one that starts nothing for other accounts
// meanwhile or for that account afterwards.
func TestLimitOfNewHolder(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.configure(withLimits(sim.config, map[workload.Account]workload.Resources{"a": {GPU: 8}}))
	sim.submit(oneStep("first", "batch", workload.Step{Count: 8, Need: smallTask, MaxPerExecutor: 2, Estimate: 30 * time.Second}), behavior{runTime: 30 * time.Second})
	sim.advance(time.Second)
	for _, id := range []workload.ExecutorID{"e0-0", "e0-1"} {
		sim.executors[id].unreachable = true
	}
	sim.newHolder()
	next := oneStep("next", "batch", workload.Step{Count: 4, Need: smallTask})
	other := oneStep("other", "batch", workload.Step{Count: 4, Need: smallTask})
	other.Account = "b"
	sim.submit(next, behavior{runTime: time.Second})
	sim.submit(other, behavior{runTime: time.Second})
	sim.advance(2 * time.Second)
	if n := len(sim.starts[workload.TaskRef{Job: "next"}]); n != 0 {
		t.Errorf("%d starts of the account while its earlier runs are not known to have ended", n)
	}
	if n := len(sim.starts[workload.TaskRef{Job: "other"}]); n != 1 {
		t.Errorf("%d starts of another account, want 1", n)
	}
	sim.advance(20 * time.Second)
	if n := len(sim.starts[workload.TaskRef{Job: "next"}]); n != 1 {
		t.Errorf("%d starts of the account after the leases of its earlier runs have ended, want 1", n)
	}
	for _, f := range sim.violations {
		t.Error(f)
	}
}

// removeExpired removes the expired jobs and returns them in the order of their identifiers.
func (sim *simulation) removeExpired() []workload.JobID {
	expired := sim.holder.scheduler.ExpiredJobs(sim.now, 10)
	sim.holder.scheduler.RemoveJobs(expired)
	var ids []workload.JobID
	for _, x := range expired {
		ids = append(ids, x.ID)
	}
	slices.Sort(ids)
	return ids
}

// TestLimitAfterCompletedJobs guards against a new holder that counts completed jobs as possibly running, and against one
// that forgets a finished job of which tasks may still run before the executors have reported.
func TestLimitAfterCompletedJobs(t *testing.T) {
	sim := startSimulation(t, 1, 4)
	sim.configure(withLimits(sim.config, map[workload.Account]workload.Resources{"a": {GPU: 8}}))
	sim.submit(oneStep("completed", "batch", workload.Step{Count: 8, Need: smallTask, MaxPerExecutor: 2, Estimate: time.Second}), behavior{runTime: time.Second})
	sim.advance(3 * time.Second)
	cancelled := oneStep("cancelled", "batch", workload.Step{Count: 4, Need: smallTask, MaxPerExecutor: 1, Estimate: 30 * time.Second})
	cancelled.Account = "b"
	sim.submit(cancelled, behavior{runTime: 30 * time.Second})
	sim.advance(time.Second)
	if s := sim.progress["completed"].State; s != workload.StateCompleted {
		t.Fatalf("the first job is %q, want %s", s, workload.StateCompleted)
	}
	for _, id := range []workload.ExecutorID{"e0-0", "e0-1"} {
		sim.executors[id].unreachable = true
	}
	sim.cancel("cancelled")
	sim.advance(500 * time.Millisecond)
	if s := sim.progress["cancelled"].State; s != workload.StateCancelled {
		t.Fatalf("the second job is %q, want %s", s, workload.StateCancelled)
	}
	sim.settings.Retention = time.Millisecond
	sim.newHolder()
	sim.submit(oneStep("next", "batch", workload.Step{Count: 4, Need: smallTask}), behavior{runTime: time.Second})
	sim.advance(2 * time.Second)
	if n := len(sim.starts[workload.TaskRef{Job: "next"}]); n != 1 {
		t.Errorf("%d starts beside a completed job, want 1", n)
	}
	// The holder has started the job "next" itself and knows all of its runs.
	if ids := sim.removeExpired(); !slices.Equal(ids, []workload.JobID{"next"}) {
		t.Errorf("%v are removed before all executors have reported, want next", ids)
	}
	sim.advance(20 * time.Second)
	if ids := sim.removeExpired(); !slices.Equal(ids, []workload.JobID{"cancelled", "completed"}) {
		t.Errorf("%v are removed once all leases have ended, want the other two", ids)
	}
	for _, f := range sim.violations {
		t.Error(f)
	}
}
