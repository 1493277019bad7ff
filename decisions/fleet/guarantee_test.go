package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// reclaimBound is the time within which guaranteed work has to start: the shortest of the deployments in force, less the
// delays of acceptance.
const reclaimBound = 2500 * time.Millisecond

// startGuaranteed starts a simulation of racks with executors of 8 accelerators. Account "host" is guaranteed so many
// accelerators, "guest" none.
func startGuaranteed(t testing.TB, racks, perRack, guaranteed int, configure func(*Settings)) *simulation {
	t.Helper()
	sim := newSimulation(t, 1, racks, perRack)
	sim.config.Accounts = []workload.AccountConfig{{Name: "host", Keys: []string{"kh"}, Guaranteed: guaranteed}, {Name: "guest", Keys: []string{"kg"}}}
	sim.config.Index()
	configure(&sim.settings)
	sim.newHolder()
	sim.advanceRuns()
	sim.advance(100 * time.Millisecond)
	return sim
}

// forEachChoice runs a test with both ways to choose the victims of a preemption.
func forEachChoice(t *testing.T, test func(t *testing.T, configure func(*Settings))) {
	t.Helper()
	t.Run("least work", func(t *testing.T) { test(t, func(*Settings) {}) })
	t.Run("victims", func(t *testing.T) { test(t, func(s *Settings) { s.ChooseVictims = true }) })
}

// submitFor submits a job of one step of an account.
func (sim *simulation) submitFor(account workload.Account, id string, queue workload.Queue, s workload.Step, runTime time.Duration) {
	s.Estimate = runTime
	j := oneStep(id, queue, s)
	j.Account = account
	sim.submit(j, behavior{runTime: runTime})
}

// startsOf returns how many tasks of a job were started and how often one was started again.
func (sim *simulation) startsOf(id workload.JobID) (begun, again int) {
	for i := range sim.jobs[id].Steps[0].Count {
		if n := len(sim.starts[workload.TaskRef{Job: id, Index: i}]); n > 0 {
			begun++
			again += n - 1
		}
	}
	return begun, again
}

// expectReclaimed submits a job of an account within its guarantee and fails the test unless all its tasks begin in time.
func (sim *simulation) expectReclaimed(account workload.Account, id string, s workload.Step) {
	sim.t.Helper()
	// The tasks run for longer than the bound, so that none can take the room of another.
	sim.submitFor(account, id, "urgent", s, 2*reclaimBound)
	sim.advance(reclaimBound)
	if n, _ := sim.startsOf(workload.JobID(id)); n < s.Count {
		sim.t.Errorf("%d of %d tasks of the guaranteed job %s have begun after %v", n, s.Count, id, reclaimBound)
	}
	for _, v := range sim.violations {
		sim.t.Error(v)
	}
}

// TestOwnBatchBesideGuarantee guards against batch work of an account that counts against its guarantee, so that it cannot
// reclaim from urgent work of others, and against more of that work being stopped than the guaranteed job needs.
func TestOwnBatchBesideGuarantee(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 3, 8, configure)
		sim.submitFor("host", "own", "batch", workload.Step{Count: 4, Need: smallTask}, time.Minute)
		sim.advance(time.Second)
		sim.submitFor("guest", "other", "urgent", workload.Step{Count: 20, Need: smallTask}, time.Minute)
		sim.advance(6 * time.Second)
		sim.expectReclaimed("host", "guaranteed", workload.Step{Count: 8, Gang: true, Need: smallTask})
		if stopped := sim.holder.scheduler.TakeCounters()[CountPreempted]; stopped != 8 {
			t.Errorf("%d tasks were stopped for 8 guaranteed ones", stopped)
		}
	})
}

// TestRunsWithinGuaranteeStay guards against work within the guarantee of its account that is stopped for another
// guarantee, because the account also runs work beyond its own.
func TestRunsWithinGuaranteeStay(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 3, 8, configure)
		sim.config.Accounts[1].Guaranteed = 8
		// The stop of a task that saves checkpoints costs the least.
		sim.submitFor("guest", "within", "urgent", workload.Step{Count: 8, Need: smallTask, Checkpoint: true}, time.Minute)
		sim.advance(time.Second)
		sim.submitFor("guest", "beyond", "urgent", workload.Step{Count: 16, Need: smallTask}, time.Minute)
		sim.advance(6 * time.Second)
		sim.expectReclaimed("host", "guaranteed", workload.Step{Count: 8, Need: smallTask})
		sim.advance(2 * time.Second)
		if _, again := sim.startsOf("within"); again > 0 {
			t.Errorf("%d tasks within the guarantee of their account were stopped", again)
		}
		if stopped := sim.holder.scheduler.TakeCounters()[CountPreempted]; stopped != 8 {
			t.Errorf("%d tasks were stopped for 8 guaranteed ones", stopped)
		}
	})
}

// TestUrgentWorkBeyondGuaranteeWaits guards against a guarantee that is reclaimed twice: urgent work of an account beyond
// it stops no urgent work of others.
func TestUrgentWorkBeyondGuaranteeWaits(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 3, 8, configure)
		sim.submitFor("guest", "other", "urgent", workload.Step{Count: 24, Need: smallTask}, time.Minute)
		sim.advance(time.Second)
		sim.submitFor("host", "first", "urgent", workload.Step{Count: 8, Need: smallTask}, time.Minute)
		sim.submitFor("host", "second", "urgent", workload.Step{Count: 8, Need: smallTask}, time.Minute)
		sim.advance(6 * time.Second)
		if n := sim.running("host").GPU; n != 8 {
			t.Errorf("%d accelerators of the account run beside urgent work of another, want its guarantee of 8", n)
		}
		if stopped := sim.holder.scheduler.TakeCounters()[CountPreempted]; stopped != 8 {
			t.Errorf("%d tasks were stopped for a guarantee of 8", stopped)
		}
	})
}

// TestLateGuaranteeIsReported guards against a guarantee that is late without an alarm.
func TestLateGuaranteeIsReported(t *testing.T) {
	sim := startGuaranteed(t, 1, 1, 8, func(*Settings) {})
	for _, e := range sim.executors {
		e.unreachable = true
	}
	sim.submitFor("host", "guaranteed", "urgent", workload.Step{Count: 2, Need: smallTask}, time.Second)
	sim.submitFor("guest", "urgent", "urgent", workload.Step{Count: 1, Need: smallTask}, time.Second)
	sim.advance(noticeDelay + time.Second)
	if n := sim.holder.scheduler.TakeCounters()[CountGuaranteedWait]; n != 1 {
		t.Errorf("%d late guaranteed jobs, want one", n)
	}
}

// withAdvice makes the urgent queue need advice, which permits some executors, with tickets of a validity.
func (sim *simulation) withAdvice(valid time.Duration, permits func(workload.ExecutorID) bool) {
	sim.config.Routes[0].Advised = true
	sim.advisor = &fakeAdvisor{permits: permits, decide: 20 * time.Millisecond, each: 2 * time.Millisecond, valid: valid, tickets: map[string]time.Time{}}
}

// TestAdviceOnFullFleet guards against guaranteed work of a queue with advice that never starts on a full fleet, because
// advice was asked for only on executors with free capacity, and against tickets that expire while others are stopped.
func TestAdviceOnFullFleet(t *testing.T) {
	all := func(workload.ExecutorID) bool { return true }
	for name, tc := range map[string]struct {
		racks, perRack int
		valid          time.Duration
		permits        func(workload.ExecutorID) bool
		step           workload.Step
		maxQueries     int
		silent         int
	}{
		"all may run it": {racks: 1, perRack: 3, valid: 3 * time.Second, permits: all, step: workload.Step{Count: 8, Need: smallTask}, maxQueries: 1},
		"short tickets":  {racks: 1, perRack: 3, valid: 350 * time.Millisecond, permits: all, step: workload.Step{Count: 8, Need: smallTask}, maxQueries: 8},
		"tickets shorter than the margin of a start": {
			racks: 1, perRack: 3, valid: 200 * time.Millisecond, permits: all, step: workload.Step{Count: 8, Need: smallTask}, maxQueries: 12,
		},
		"first query unanswered": {
			racks: 1, perRack: 3, valid: 3 * time.Second, permits: all, step: workload.Step{Count: 8, Need: smallTask}, maxQueries: 2, silent: 1,
		},
		"few may run it": {
			racks: 4, perRack: 20, valid: 3 * time.Second, permits: func(id workload.ExecutorID) bool { return id == "e2-7" || id == "e3-19" },
			step: workload.Step{Count: 8, Need: workload.Resources{CPU: 8000, GPU: 2}, Gang: true}, maxQueries: 3,
		},
		"gang in a rack": {
			racks: 4, perRack: 20, valid: 3 * time.Second, permits: func(id workload.ExecutorID) bool { return id[1] == '2' },
			step: workload.Step{Count: 2, Need: workload.Resources{CPU: 8000, GPU: 8}, Gang: true, SameRack: true}, maxQueries: 3,
		},
	} {
		t.Run(name, func(t *testing.T) {
			forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
				sim := startGuaranteed(t, tc.racks, tc.perRack, 16, configure)
				sim.withAdvice(tc.valid, tc.permits)
				sim.advisor.silent = tc.silent
				sim.submitFor("guest", "batch", "batch", workload.Step{Count: 8 * tc.racks * tc.perRack, Need: smallTask}, time.Minute)
				sim.advance(6 * time.Second)
				if n := sim.running("guest").GPU; n != 8*tc.racks*tc.perRack {
					t.Fatalf("%d accelerators of the batch job run, want a full fleet", n)
				}
				sim.expectReclaimed("host", "guaranteed", tc.step)
				if stopped, need := sim.holder.scheduler.TakeCounters()[CountPreempted], tc.step.Count*tc.step.Need.GPU; stopped != int64(need) {
					t.Errorf("%d tasks of one accelerator were stopped for %d", stopped, need)
				}
				if a := sim.advisor; a.queries > tc.maxQueries || a.refused > 0 {
					t.Errorf("%d queries for advice, want at most %d, and %d starts were refused for their tickets", a.queries, tc.maxQueries, a.refused)
				}
			})
		})
	}
}

// TestAdviceBeforePreemption guards against work that is stopped for a unit with advice although another executor that may
// run it is free, and against queries for advice on occupied executors for work that preempts nothing.
func TestAdviceBeforePreemption(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 4, 16, configure)
		sim.withAdvice(3*time.Second, func(workload.ExecutorID) bool { return true })
		sim.submitFor("host", "earlier", "urgent", workload.Step{Count: 1, Need: smallTask}, 100*time.Millisecond)
		sim.submitFor("guest", "batch", "batch", workload.Step{Count: 3, Need: workload.Resources{CPU: 8000, GPU: 8}}, time.Minute)
		sim.advance(6 * time.Second)
		sim.expectReclaimed("host", "guaranteed", workload.Step{Count: 8, Need: smallTask})
		if stopped := sim.holder.scheduler.TakeCounters()[CountPreempted]; stopped > 0 {
			t.Errorf("%d units were stopped beside a free executor", stopped)
		}
		sim.submitFor("guest", "second", "batch", workload.Step{Count: 1, Need: workload.Resources{CPU: 8000, GPU: 8}}, time.Minute)
		sim.advance(3 * reclaimBound)
		sim.config.Routes[2].Advised = true
		queries := sim.advisor.queries
		sim.submitFor("guest", "third", "batch", workload.Step{Count: 1, Need: workload.Resources{CPU: 8000, GPU: 8}}, time.Minute)
		sim.advance(3 * time.Second)
		if n := sim.advisor.queries - queries; n > 0 {
			t.Errorf("%d queries for batch work on a full fleet", n)
		}
	})
}

// lasting returns a step of tasks with one accelerator that run until their job is cancelled.
func lasting(count, mayMiss int) workload.Step {
	return workload.Step{Count: count, Need: smallTask, LongRunning: true, MayMiss: mayMiss}
}

// TestReclaimFromLastingTasks guards against tasks that last, without a limit on how many may be missing, that are never
// stopped for a guarantee, against more of them being stopped than it needs, and against tasks that stay away afterwards.
func TestReclaimFromLastingTasks(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 3, 8, configure)
		sim.submitFor("guest", "lasting", "batch", lasting(24, 0), time.Hour)
		sim.advance(6 * time.Second)
		if n := sim.running("guest").GPU; n != 24 {
			t.Fatalf("%d accelerators of the lasting job run, want a full fleet", n)
		}
		sim.expectReclaimed("host", "guaranteed", workload.Step{Count: 8, Need: smallTask})
		if stopped := sim.holder.scheduler.TakeCounters()[CountPreempted]; stopped != 8 {
			t.Errorf("%d tasks were stopped for 8 guaranteed ones", stopped)
		}
		sim.advance(3 * reclaimBound)
		if n := sim.running("guest").GPU; n != 24 {
			t.Errorf("%d accelerators of the lasting job run again, want a full fleet", n)
		}
	})
}

// TestLastingTasksStayForOthers guards against tasks that last that are stopped for work beyond a guarantee.
func TestLastingTasksStayForOthers(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 3, 8, configure)
		sim.submitFor("host", "lasting", "batch", lasting(24, 0), time.Hour)
		sim.advance(time.Second)
		sim.submitFor("guest", "urgent", "urgent", workload.Step{Count: 4, Need: smallTask}, time.Second)
		sim.submitFor("host", "beyond", "urgent", workload.Step{Count: 9, Gang: true, Need: smallTask}, time.Second)
		sim.advance(3 * time.Second)
		if begun, again := sim.startsOf("lasting"); begun != 24 || again != 0 {
			t.Errorf("%d lasting tasks have begun and %d were started again, want 24 and none", begun, again)
		}
	})
}

// TestRoomForGuaranteeBesideLastingTasks guards against tasks that last and of which only some may be missing that take
// the room of a guarantee: no more of them may be stopped at once. It also guards against more of them missing than
// that, and against room that is kept although it is not guaranteed.
func TestRoomForGuaranteeBesideLastingTasks(t *testing.T) {
	for name, step := range map[string]workload.Step{
		"small":     {Count: 8, Need: smallTask},
		"whole":     {Count: 1, Need: workload.Resources{CPU: 13000, GPU: 8}},
		"gang":      {Count: 2, Gang: true, Need: workload.Resources{CPU: 3700, GPU: 4}},
		"all cores": {Count: 1, Need: workload.Resources{CPU: 32000, GPU: 8}},
	} {
		t.Run(name, func(t *testing.T) {
			forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
				sim := startGuaranteed(t, 1, 3, 8, configure)
				sim.submitFor("guest", "lasting", "batch", lasting(24, 2), time.Hour)
				sim.submitFor("guest", "batch", "batch", workload.Step{Count: 24, Need: smallTask}, time.Hour)
				sim.advance(6 * time.Second)
				if begun, _ := sim.startsOf("lasting"); begun < 16 {
					t.Errorf("%d lasting tasks have begun beside a guarantee of 8 of 24 accelerators, want 16", begun)
				}
				if n := sim.running("guest").GPU; n != 24 {
					t.Errorf("%d accelerators of the guest run, want a full fleet: batch work may use the room of the guarantee", n)
				}
				sim.expectReclaimed("host", "guaranteed", step)
				if _, again := sim.startsOf("lasting"); again > 0 {
					t.Errorf("%d lasting tasks were stopped although batch work could give way", again)
				}
			})
		})
	}
}

// TestRoomOfUnguaranteedFleet guards against tasks that last that are kept waiting on a fleet without guarantees, or whose
// own account has the guarantee.
func TestRoomOfUnguaranteedFleet(t *testing.T) {
	for account, queue := range map[workload.Account]workload.Queue{"guest": "batch", "host": "urgent"} {
		forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
			guaranteed := 0
			if account == "host" {
				guaranteed = 24
			}
			sim := startGuaranteed(t, 1, 3, guaranteed, configure)
			sim.submitFor(account, "lasting", queue, lasting(24, 2), time.Hour)
			sim.advance(2 * time.Second)
			if begun, _ := sim.startsOf("lasting"); begun != 24 {
				t.Errorf("%d of 24 lasting tasks of %s have begun on an idle fleet", begun, account)
			}
		})
	}
}

// TestGuaranteeBelowLimitBesideLastingTasks guards against tasks that last and of which only some may be missing that take
// the room below the limit of their own account that its guarantee needs.
func TestGuaranteeBelowLimitBesideLastingTasks(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 4, 8, configure)
		sim.configure(withLimits(sim.config, map[workload.Account]workload.Resources{"host": {GPU: 12}}))
		sim.submitFor("host", "lasting", "batch", lasting(12, 1), time.Hour)
		sim.advance(6 * time.Second)
		if n := sim.running("host").GPU; n != 4 {
			t.Errorf("%d accelerators of the lasting job run, want 4 beside a guarantee of 8 below a limit of 12", n)
		}
		sim.expectReclaimed("host", "guaranteed", workload.Step{Count: 8, Need: smallTask})
	})
}

// TestGuaranteeAtLimitOfLastingTasks guards against lasting work of an account, without a limit on how many tasks may be
// missing, that keeps its guaranteed work from starting at the account's limit.
func TestGuaranteeAtLimitOfLastingTasks(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 4, 8, configure)
		sim.configure(withLimits(sim.config, map[workload.Account]workload.Resources{"host": {GPU: 12}}))
		sim.submitFor("host", "lasting", "batch", lasting(12, 0), time.Hour)
		sim.advance(6 * time.Second)
		if n := sim.running("host").GPU; n != 12 {
			t.Errorf("%d accelerators of the lasting job run, want the limit of 12", n)
		}
		sim.expectReclaimed("host", "guaranteed", workload.Step{Count: 8, Need: smallTask})
		if n := sim.holder.scheduler.TakeCounters()[CountLimitVacated]; n != 8 {
			t.Errorf("%d tasks were stopped for the limit, want 8", n)
		}
	})
}

// TestLimitIsVacatedAtOnce guards against guaranteed tasks at the limit of their account for which work is stopped one task
// after the other, so that the last one starts too late.
func TestLimitIsVacatedAtOnce(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 3, 12, configure)
		sim.stopTime = sim.settings.MaxStopTime
		sim.configure(withLimits(sim.config, map[workload.Account]workload.Resources{"host": {GPU: 14}}))
		sim.submitFor("host", "own", "batch", workload.Step{Count: 14, Need: smallTask}, time.Minute)
		sim.advance(2 * time.Second)
		sim.expectReclaimed("host", "guaranteed", workload.Step{Count: 12, Need: smallTask})
		if n := sim.holder.scheduler.TakeCounters()[CountLimitVacated]; n != 12 {
			t.Errorf("%d tasks were stopped for the limit, want 12", n)
		}
		sim.submitFor("host", "beyond", "urgent", workload.Step{Count: 2, Need: smallTask}, time.Second)
		sim.advance(time.Second)
		if n := sim.holder.scheduler.TakeCounters()[CountLimitVacated]; n != 0 {
			t.Errorf("%d tasks were stopped for work beyond the guarantee", n)
		}
	})
}

// TestRoomBelowLimitIsHeldForAllTasks guards against guaranteed tasks at the limit of their account that start one after the
// other, because lower work takes the room again that was vacated for them while the first of them waits for advice.
func TestRoomBelowLimitIsHeldForAllTasks(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 2, 5, configure)
		sim.stopTime = sim.settings.MaxStopTime
		sim.withAdvice(400*time.Millisecond, func(id workload.ExecutorID) bool { return id == "e0-1" })
		sim.configure(withLimits(sim.config, map[workload.Account]workload.Resources{"host": {GPU: 5}}))
		sim.submitFor("host", "own", "batch", workload.Step{Count: 5, Need: smallTask}, time.Minute)
		sim.advance(50 * time.Millisecond)
		sim.expectReclaimed("host", "guaranteed", workload.Step{Count: 5, Need: smallTask})
		if n := sim.holder.scheduler.TakeCounters()[CountLimitVacated]; n != 5 {
			t.Errorf("%d tasks were stopped for the limit, want 5", n)
		}
	})
}

// TestRoomForGuaranteesInUpkeep guards against tasks that last and of which only some may be missing that take the room of
// all guarantees while an executor is in upkeep, because the others do not hold the sum of the guarantees meanwhile.
func TestRoomForGuaranteesInUpkeep(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 2, 5, configure)
		sim.config.Accounts[1].Guaranteed = 4
		sim.holder.scheduler.SetEvacuating([]workload.ExecutorID{"e0-0"})
		sim.submitFor("guest", "lasting", "batch", lasting(5, 1), time.Hour)
		sim.advance(time.Second)
		sim.expectReclaimed("host", "guaranteed", workload.Step{Count: 5, Need: smallTask})
		sim.holder.scheduler.SetEvacuating(nil)
		sim.advance(3 * time.Second)
		if begun, _ := sim.startsOf("lasting"); begun != 0 {
			t.Errorf("%d lasting tasks have begun, but guarantees of 9 accelerators need both executors", begun)
		}
	})
}

// TestGuaranteedWorkMovesTogether guards against a guaranteed task that needs a whole executor and waits for guaranteed tasks
// of another account that are spread over all of them, against moves without need, and against moves back and forth.
func TestGuaranteedWorkMovesTogether(t *testing.T) {
	whole := workload.Step{Count: 1, Need: workload.Resources{CPU: 16000, GPU: 8}}
	for name, tc := range map[string]struct {
		// spread is the number of guaranteed tasks on each of two executors, moves how many of them may have to move.
		spread, moves int
	}{
		"fit on one":        {spread: 4, moves: 4},
		"few on one":        {spread: 2, moves: 2},
		"do not fit on one": {spread: 5, moves: 0},
	} {
		t.Run(name, func(t *testing.T) {
			forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
				sim := startGuaranteed(t, 1, 2, 8, configure)
				sim.config.Accounts[1].Guaranteed = 2 * tc.spread
				// Short tasks fill the rest of both executors, so that the guaranteed ones do not fit on one.
				sim.submitFor("guest", "short", "batch", workload.Step{Count: 2, Need: workload.Resources{CPU: 1000, GPU: 8 - tc.spread}, MaxPerExecutor: 1}, 2*time.Second)
				sim.advance(time.Second)
				sim.submitFor("guest", "spread", "urgent", workload.Step{Count: 2 * tc.spread, Need: smallTask}, time.Hour)
				sim.advance(6 * time.Second)
				for _, id := range sim.executorIDs {
					if n := len(sim.executors[id].runs); n != tc.spread {
						t.Fatalf("%d tasks on %s, want %d", n, id, tc.spread)
					}
				}
				sim.submitFor("host", "whole", "urgent", whole, 10*time.Second)
				sim.advance(reclaimBound)
				if begun, _ := sim.startsOf("whole"); begun != min(1, tc.moves) {
					t.Errorf("%d guaranteed tasks have begun on a whole executor, want %d", begun, min(1, tc.moves))
				}
				sim.advance(5 * time.Second)
				if begun, again := sim.startsOf("spread"); begun != 2*tc.spread || again != tc.moves {
					t.Errorf("%d of %d guaranteed tasks have begun and %d were moved, want all and %d", begun, 2*tc.spread, again, tc.moves)
				}
				if n := sim.running("guest").GPU; n != 2*tc.spread {
					t.Errorf("%d accelerators of the other account run, want its guarantee of %d", n, 2*tc.spread)
				}
				for _, v := range sim.violations {
					t.Error(v)
				}
			})
		})
	}
}
