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
	sim.submitFor(account, id, "urgent", s, time.Second)
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
