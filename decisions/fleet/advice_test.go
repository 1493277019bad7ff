package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/workload"
	policy "github.com/verbenaflow/verbenaflow/decisions/advice"
)

// withPolicy makes a queue need advice by a policy, which the configuration and the service know.
func (sim *simulation) withPolicy(queue workload.Queue, p policy.Policy) {
	if sim.advisor == nil {
		sim.advisor = &fakeAdvisor{permits: func(workload.ExecutorID) bool { return true }, tickets: map[string]time.Time{}, byRoute: true}
	}
	c := *sim.config
	c.Version++
	c.Routes = slices.Clone(c.Routes)
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Name == queue {
			r.Advised, r.AdviceDecideTime, r.AdviceExecutorTime, r.TicketValid = true, p.Decide, p.PerExecutor, p.Valid
		}
	}
	sim.configure(c.Index())
}

// begunAt returns when all tasks of the first step of a job had been started once, or the zero time.
func (sim *simulation) begunAt(id workload.JobID) (last time.Time) {
	for i := range sim.jobs[id].Steps[0].Count {
		starts := sim.starts[workload.TaskRef{Job: id, Index: i}]
		if len(starts) == 0 {
			return time.Time{}
		}
		last = latest(last, starts[0])
	}
	return last
}

// TestAdviceOfAnyPolicy guards against jobs that never start because queries take longer than the holder waits for, or because tickets end
// before all of a gang have one, whatever the policies of the queues and however jobs of several queues wait at once.
func TestAdviceOfAnyPolicy(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), 2, 20)
		sim.t = failOn{t, rt}
		sim.settings.ChooseVictims = rapid.Bool().Draw(rt, "choose victims")
		sim.newHolder()
		sim.advanceRuns()
		sim.advance(100 * time.Millisecond)
		longest := time.Duration(0)
		for _, queue := range []workload.Queue{"urgent", "normal", "batch"} {
			if rapid.IntRange(0, 3).Draw(rt, "advised") == 0 {
				continue
			}
			p := policy.Policy{
				Decide:      time.Duration(rapid.SampledFrom([]int{0, 20, 600, 2500, 8000}).Draw(rt, "decide")) * time.Millisecond,
				PerExecutor: time.Duration(rapid.SampledFrom([]int{0, 2, 50, 400}).Draw(rt, "each")) * time.Millisecond,
				Valid:       time.Duration(rapid.SampledFrom([]int{100, 300, 1000, 5000}).Draw(rt, "valid")) * time.Millisecond,
			}
			sim.withPolicy(queue, p)
			longest = max(longest, p.Duration(policy.MaxExecutors))
		}
		if sim.advisor != nil && rapid.Bool().Draw(rt, "every second executor") {
			sim.advisor.permits = func(id workload.ExecutorID) bool { return id[len(id)-1]%2 == 0 }
		}
		jobs := rapid.IntRange(1, 6).Draw(rt, "jobs")
		for i := range jobs {
			j := drawJob(rt, i)
			sim.submit(j, behavior{runTime: time.Duration(rapid.IntRange(200, 4000).Draw(rt, "work")) * time.Millisecond})
			sim.advance(time.Duration(rapid.IntRange(5, 3000).Draw(rt, "pause")) * time.Millisecond)
		}
		for end := sim.now.Add(time.Minute + time.Duration(10*jobs)*longest); sim.now.Before(end) && sim.holder.scheduler.Gauges(sim.now).OpenJobs > 0; {
			sim.advance(time.Second)
		}
		sim.expectDone()
		if a := sim.advisor; a != nil && (a.unanswered > 0 || a.refused > 0) {
			sim.t.Errorf("%d of %d queries were given up, %d starts were refused for their tickets", a.unanswered, a.queries, a.refused)
		}
	})
}

// TestAdviceForLargeGangs guards against gangs that need more executors than queries name while tickets are valid.
func TestAdviceForLargeGangs(t *testing.T) {
	for name, tc := range map[string]struct {
		policy  policy.Policy
		members int
		within  time.Duration
	}{
		// Each query of 60 takes 3.5 s, after which the tickets of an earlier one have ended.
		"one query holds the gang": {policy.Policy{Decide: 500 * time.Millisecond, PerExecutor: 50 * time.Millisecond, Valid: time.Second}, 60, 10 * time.Second},
		// Two queries are needed, of at most 1.1 s.
		"more than a query holds": {policy.Policy{Decide: 100 * time.Millisecond, PerExecutor: 10 * time.Millisecond, Valid: 3 * time.Second}, 120, 10 * time.Second},
		"tickets end at once":     {policy.Policy{Decide: 20 * time.Millisecond, PerExecutor: 2 * time.Millisecond, Valid: 100 * time.Millisecond}, 90, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 13, 10)
			sim.withPolicy("normal", tc.policy)
			sim.submit(oneStep("j", "normal", workload.Step{Count: tc.members, Gang: true, Need: workload.Resources{CPU: 20000, GPU: 8}}), behavior{runTime: time.Second})
			submitted := sim.now
			sim.advance(2 * tc.within)
			if at := sim.begunAt("j"); at.IsZero() || at.Sub(submitted) > tc.within {
				t.Errorf("the gang began at %v, submitted at %v, want within %v", at, submitted, tc.within)
			}
			sim.expectDone()
			if sim.advisor.refused > 0 {
				t.Errorf("%d starts were refused for their tickets", sim.advisor.refused)
			}
		})
	}
}

// TestAdviceBesideSlowQueue guards against a queue that waits for the advice of others for ever: a slow one has jobs all the time, and its
// queries take most of the time of the service.
func TestAdviceBesideSlowQueue(t *testing.T) {
	for _, fast := range []workload.Queue{"urgent", "batch"} {
		sim := startSimulation(t, 2, 10)
		slow := policy.Policy{Decide: 3 * time.Second, PerExecutor: 10 * time.Millisecond, Valid: 5 * time.Second}
		sim.withPolicy("normal", slow)
		sim.withPolicy(fast, policy.Policy{Decide: 20 * time.Millisecond, PerExecutor: 2 * time.Millisecond, Valid: 3 * time.Second})
		var submitted []time.Time
		for i := range 40 {
			sim.submit(oneStep(fmt.Sprint("slow", i), "normal", workload.Step{Count: 1, Need: smallTask}), behavior{runTime: 500 * time.Millisecond})
			sim.submit(oneStep(fmt.Sprint("fast", i), fast, workload.Step{Count: 1, Need: smallTask}), behavior{runTime: 500 * time.Millisecond})
			submitted = append(submitted, sim.now)
			sim.advance(time.Second)
		}
		sim.advance(150 * time.Second)
		for i, at := range submitted {
			if begun := sim.begunAt(workload.JobID(fmt.Sprint("fast", i))); begun.IsZero() || begun.Sub(at) > slow.Duration(20)+500*time.Millisecond {
				t.Errorf("%s job %d began after %v, want at most one query of the other queue", fast, i, begun.Sub(at))
			}
		}
		sim.expectDone()
	}
}

// TestAdviceBesideFastQueue guards against a slow queue that gets no turn beside one that always asks.
func TestAdviceBesideFastQueue(t *testing.T) {
	sim := startSimulation(t, 2, 10)
	sim.withPolicy("urgent", policy.Policy{Decide: 400 * time.Millisecond, PerExecutor: 10 * time.Millisecond, Valid: time.Second})
	sim.withPolicy("batch", policy.Policy{Decide: 2 * time.Second, Valid: 5 * time.Second})
	sim.submit(oneStep("slow", "batch", workload.Step{Count: 1, Need: smallTask}), behavior{runTime: time.Second})
	submitted := sim.now
	for i := range 60 {
		sim.submit(oneStep(fmt.Sprint("fast", i), "urgent", workload.Step{Count: 1, Need: smallTask}), behavior{runTime: time.Second})
		sim.advance(200 * time.Millisecond)
	}
	if at := sim.begunAt("slow"); at.IsZero() || at.Sub(submitted) > 6*time.Second {
		t.Errorf("the job of the slow queue began after %v", at.Sub(submitted))
	}
}

// TestNoReservationWithoutService guards against capacity that is kept for a unit whose tickets have ended while the service does not
// answer, and against work that is stopped for it.
func TestNoReservationWithoutService(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 2, 16, configure)
		sim.withPolicy("urgent", policy.Policy{Decide: 20 * time.Millisecond, PerExecutor: 2 * time.Millisecond, Valid: 300 * time.Millisecond})
		sim.submitFor("guest", "batch", "batch", workload.Step{Count: 16, Need: smallTask}, 10*time.Second)
		sim.advance(2 * time.Second)
		// The first task of the step tells which executors are permitted; then the service is gone.
		sim.submitFor("host", "urgent", "urgent", workload.Step{Count: 2, Need: workload.Resources{CPU: 8000, GPU: 8}}, 200*time.Millisecond)
		for sim.advisor.queries == 0 {
			sim.advance(5 * time.Millisecond)
		}
		sim.advisor.silent = 1000
		sim.advance(4 * time.Second)
		stopped := sim.holder.scheduler.TakeCounters()[CountPreempted]
		sim.advance(20 * time.Second)
		if again := sim.holder.scheduler.TakeCounters()[CountPreempted]; again > 0 {
			t.Errorf("%d units were stopped for a unit without tickets, %d before", again, stopped)
		}
		sim.submitFor("guest", "second", "batch", workload.Step{Count: 16, Need: smallTask}, time.Second)
		sim.advance(3 * time.Second)
		if begun, _ := sim.startsOf("second"); begun != 16 {
			t.Errorf("%d of 16 tasks of other work have begun on an idle fleet", begun)
		}
		sim.advisor.silent = 0
		sim.advance(10 * time.Second)
		if begun, _ := sim.startsOf("urgent"); begun != 2 {
			t.Errorf("%d of 2 tasks have begun after the return of the service", begun)
		}
	})
}

// TestReservationForTicketsEnds guards against capacity that stays reserved for a unit whose executors are denied when it needs new
// tickets.
func TestReservationForTicketsEnds(t *testing.T) {
	sim := startSimulation(t, 1, 2)
	sim.withPolicy("normal", policy.Policy{Decide: time.Second, Valid: 300 * time.Millisecond})
	permitted := true
	sim.advisor.permits = func(workload.ExecutorID) bool { return permitted }
	big := workload.Resources{CPU: 8000, GPU: 8}
	sim.submit(oneStep("j", "normal", workload.Step{Count: 2, Gang: true, Need: big}), behavior{runTime: 100 * time.Millisecond})
	sim.advance(500 * time.Millisecond)
	// The executors are occupied when the first answer arrives, and its tickets have ended when they are free again.
	sim.submit(oneStep("blocker", "batch", workload.Step{Count: 2, Need: big}), behavior{runTime: 3 * time.Second})
	sim.advance(2 * time.Second)
	permitted = false
	sim.advance(2500 * time.Millisecond)
	sim.submit(oneStep("other", "batch", workload.Step{Count: 2, Need: big}), behavior{runTime: 500 * time.Millisecond})
	sim.advance(time.Second)
	if sim.begunAt("other").IsZero() || sim.advisor.queries < 2 {
		t.Errorf("other work does not start beside a unit that is denied, after %d queries: %s", sim.advisor.queries, sim.describe("j"))
	}
}

// TestAdviceOnBusyFleet guards against a unit that always finds its executors occupied when their tickets arrive, because other work
// takes them while the service decides.
func TestAdviceOnBusyFleet(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	sim.withPolicy("normal", policy.Policy{Decide: 1500 * time.Millisecond, Valid: 300 * time.Millisecond})
	big := workload.Resources{CPU: 8000, GPU: 8}
	for i := range 60 {
		sim.submit(oneStep(fmt.Sprint("batch", i), "batch", workload.Step{Count: 1, Need: big}), behavior{runTime: 700 * time.Millisecond})
	}
	sim.advance(time.Second)
	sim.submit(oneStep("j", "normal", workload.Step{Count: 2, Need: big}), behavior{runTime: time.Second})
	submitted := sim.now
	sim.advance(10 * time.Second)
	if at := sim.begunAt("j"); at.IsZero() || at.Sub(submitted) > 8*time.Second {
		t.Errorf("the job began after %v of other work that comes later: %s", at.Sub(submitted), sim.describe("j"))
	}
	sim.advance(20 * time.Second)
	sim.expectDone()
}

// TestSlowAdviceOnFullFleet guards against work that is stopped again and again for a unit that gives its room up before it has the
// tickets for it.
func TestSlowAdviceOnFullFleet(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 2, 3, 16, configure)
		sim.withPolicy("urgent", policy.Policy{Decide: 3 * time.Second, Valid: 300 * time.Millisecond})
		sim.advisor.permits = func(id workload.ExecutorID) bool { return id[1] == '0' }
		sim.submitFor("guest", "batch", "batch", workload.Step{Count: 48, Need: smallTask, Requires: "r0"}, time.Minute)
		// Short tasks elsewhere bring about planning passes all the time.
		sim.submitFor("guest", "short", "batch", workload.Step{Count: 12000, Need: smallTask, Requires: "r1"}, 25*time.Millisecond)
		sim.advance(6 * time.Second)
		sim.submitFor("host", "guaranteed", "urgent", workload.Step{Count: 8, Need: smallTask}, time.Second)
		submitted := sim.now
		sim.advance(14 * time.Second)
		// The first query shows which executors may be vacated, the second one renews their tickets.
		if at := sim.begunAt("guaranteed"); at.IsZero() || at.Sub(submitted) > 8*time.Second {
			t.Errorf("the job began after %v: %s", at.Sub(submitted), sim.describe("guaranteed"))
		}
		if n := sim.holder.scheduler.TakeCounters()[CountPreempted]; n != 8 {
			t.Errorf("%d tasks were stopped for 8", n)
		}
	})
}
