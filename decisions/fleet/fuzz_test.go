package fleet

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/api/workload"
)

func init() { testseed.SetFlags("150") }

// TestFleet checks the guarantees of the scheduler under random sequences of faults: no task runs twice, no executor is
// overcommitted, no step starts early, no task exceeds its attempts and no job is lost. Holders are replaced and
// partitioned, executors crash, restart, drain, stall and become unreachable, silently or with rejected connections,
// calls take effect late, and the store is down for a while.
func TestFleet(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) { fuzzFleet(t, rt, func(*Settings) {}) })
}

// TestFleetLearning checks the same guarantees while run times and paces are learned, on executors of uneven pace.
func TestFleetLearning(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) { fuzzFleet(t, rt, func(s *Settings) { s.LearnRunTimes = true }) })
}

// TestFleetOptions checks the same guarantees with all optional decisions switched on.
func TestFleetOptions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		fuzzFleet(t, rt, func(s *Settings) { s.LearnRunTimes, s.ChooseVictims = true, true })
	})
}

func fuzzFleet(t *testing.T, rt *rapid.T, configure func(*Settings)) {
	sim := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), 2, 3)
	sim.t = failOn{t, rt}
	configure(&sim.settings)
	if sim.settings.LearnRunTimes {
		for _, id := range sim.executorIDs {
			sim.executors[id].pace = rapid.SampledFrom([]float64{0.55, 1, 1.2}).Draw(rt, "pace")
		}
	}
	sim.newHolder()
	sim.advanceRuns()
	steps := rapid.IntRange(5, 25).Draw(rt, "steps")
	for i := range steps {
		sim.advance(time.Duration(rapid.IntRange(5, 1500).Draw(rt, "pause")) * time.Millisecond)
		sim.fuzzStep(rt, i)
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
	sim.advance(roundEnd)
	if longest := sim.longJobsRunTime() + 30*time.Second; longest > roundEnd {
		sim.expectEnded(func(id workload.JobID) bool { return sim.behavior[id].runTime <= maxRunTime })
		sim.advance(longest - roundEnd)
	}
	sim.expectDone()
}

// roundEnd is the time without faults after which all jobs of a round have ended, but for those with long tasks.
const roundEnd = 90 * time.Second

// maxRunTime is the run time of a task up to which the jobs of a round fit one after another into the end of the round.
const maxRunTime = 4 * time.Second

// longJobsRunTime returns how long the jobs with longer tasks take on the slowest executor if their steps run one after
// another, as they do if a step has a gang that needs the whole fleet.
func (sim *simulation) longJobsRunTime() time.Duration {
	slowest := 1.0
	for _, e := range sim.executors {
		slowest = min(slowest, cmp.Or(e.pace, 1))
	}
	var sum time.Duration
	for id, b := range sim.behavior {
		if b.runTime > maxRunTime {
			sum += time.Duration(float64(len(sim.jobs[id].Steps)) * float64(b.runTime) / slowest)
		}
	}
	return sum
}

// failOn reports failures to rapid, so that it shrinks the failing case.
type failOn struct {
	testing.TB
	rt *rapid.T
}

func (f failOn) Error(args ...any)                 { f.rt.Error(args...) }
func (f failOn) Errorf(format string, args ...any) { f.rt.Errorf(format, args...) }

func (sim *simulation) fuzzStep(rt *rapid.T, i int) {
	pick := func() workload.ExecutorID {
		return sim.executorIDs[rapid.IntRange(0, len(sim.executorIDs)-1).Draw(rt, "executor")]
	}
	switch rapid.SampledFrom([]string{
		"submit", "submit", "submit", "submit", "cancel", "holder", "crash", "restart", "cut", "heal", "stall", "store", "loss", "drain", "unregister", "partition", "clock", "silent restart",
	}).Draw(rt, "action") {
	case "submit":
		sim.submit(drawJob(rt, i), behavior{
			runTime: time.Duration(rapid.IntRange(200, int(maxRunTime/time.Millisecond)).Draw(rt, "work")) * time.Millisecond,
			fails:   rapid.IntRange(0, 9).Draw(rt, "fails") == 0,
		})
	case "cancel":
		if len(sim.jobIDs) > 0 {
			sim.cancel(rapid.SampledFrom(sim.jobIDs).Draw(rt, "job"))
		}
	case "holder":
		sim.newHolder()
	case "partition":
		reachable := map[workload.ExecutorID]bool{}
		for _, id := range sim.executorIDs {
			reachable[id] = rapid.Bool().Draw(rt, "side")
		}
		sim.partition(reachable, time.Duration(rapid.IntRange(1, 15).Draw(rt, "heals"))*time.Second)
		sim.advance(HolderLease + 10*time.Millisecond)
	case "crash":
		if id := pick(); sim.executors[id].up {
			sim.crash(id)
		}
	case "silent restart":
		// Calls reach the next process, and a cut soon after it hides what they did.
		id := pick()
		e := sim.executors[id]
		if !e.up {
			break
		}
		cutAfter := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "cut after")) * time.Millisecond
		sim.restartSilently(id, time.Duration(rapid.IntRange(50, 2000).Draw(rt, "pause"))*time.Millisecond, func() {
			sim.submit(drawJob(rt, 100+i), behavior{runTime: time.Duration(rapid.IntRange(200, 15000).Draw(rt, "work")) * time.Millisecond})
		})
		sim.advance(cutAfter)
		e.unreachable = true
	case "restart":
		if id := pick(); !sim.executors[id].up {
			sim.restart(id)
		}
	case "cut":
		e := sim.executors[pick()]
		e.unreachable, e.rejecting = true, rapid.Bool().Draw(rt, "rejecting")
	case "heal":
		e := sim.executors[pick()]
		e.unreachable, e.rejecting = false, false
	case "stall":
		e := sim.executors[pick()]
		e.stalled = !e.stalled
	case "store":
		sim.storeDown = !sim.storeDown
	case "loss":
		sim.lossRate = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(rt, "loss rate")
	case "clock":
		sim.executors[pick()].clockOffset = rapid.SampledFrom([]time.Duration{-time.Hour, -2 * time.Second, 0, time.Minute}).Draw(rt, "offset")
	case "unregister":
		id := pick()
		if sim.unregistered[id] = !sim.unregistered[id]; sim.unregistered[id] {
			sim.holder.scheduler.RemoveExecutor(sim.now, id)
		} else if sim.executors[id].up {
			sim.holder.scheduler.UpsertExecutor(sim.now, sim.executors[id].info)
		}
	case "drain":
		e := sim.executors[pick()]
		e.info.Draining = !e.info.Draining
		sim.holder.scheduler.UpsertExecutor(sim.now, e.info)
	}
}

func drawJob(rt *rapid.T, i int) *workload.Job {
	j := &workload.Job{
		ID:      workload.JobID(fmt.Sprintf("j%02d", i)),
		Queue:   rapid.SampledFrom([]workload.Queue{"urgent", "normal", "batch"}).Draw(rt, "queue"),
		Account: rapid.SampledFrom([]workload.Account{"a", "b"}).Draw(rt, "account"),
		Spec:    fmt.Sprint("spec ", i),
	}
	for s := range rapid.IntRange(1, 3).Draw(rt, "job steps") {
		step := workload.Step{
			Count:      rapid.IntRange(1, 6).Draw(rt, "count"),
			Need:       workload.Resources{CPU: rapid.SampledFrom([]int{1000, 3700, 13000}).Draw(rt, "cpu"), GPU: rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "gpu")},
			Estimate:   time.Duration(rapid.IntRange(200, 4000).Draw(rt, "estimate")) * time.Millisecond,
			Gang:       rapid.Bool().Draw(rt, "gang"),
			Checkpoint: rapid.Bool().Draw(rt, "checkpoint"),
		}
		step.SameRack = step.Gang && rapid.Bool().Draw(rt, "same rack")
		if s > 0 && rapid.Bool().Draw(rt, "after") {
			step.After = []int{s - 1}
		}
		if !step.Gang && rapid.IntRange(0, 3).Draw(rt, "max per") == 0 {
			step.MaxPerExecutor = 2
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}
