package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// wideTasks are steps of urgent work that take more processors or memory than belong to the accelerators that they use, on
// a fleet of 6 executors with 32 cores, 64,000 MB and 8 accelerators.
var wideTasks = map[string]workload.Step{
	"all cores":                    {Count: 6, Need: workload.Resources{CPU: 32000, Memory: 5700}},
	"all memory":                   {Count: 6, Need: workload.Resources{CPU: 500, Memory: 64000}},
	"all cores and an accelerator": {Count: 6, Need: workload.Resources{CPU: 32000, Memory: 5700, GPU: 1}},
	"many small tasks":             {Count: 192, Need: workload.Resources{CPU: 1000, Memory: 100}},
	"gang":                         {Count: 6, Gang: true, Need: workload.Resources{CPU: 32000, Memory: 5700}},
	"lasting":                      {Count: 6, Need: workload.Resources{CPU: 32000, Memory: 5700}, LongRunning: true},
	"lasting, one may be missing":  {Count: 6, Need: workload.Resources{CPU: 32000, Memory: 5700}, LongRunning: true, MayMiss: 1},
}

// TestGuaranteeBesideOtherResources guards against work of priority 0 that takes all processors or memory of the fleet and
// counts as guaranteed because it uses few accelerators or none, so that guaranteed work of another account or of its own
// never begins.
func TestGuaranteeBesideOtherResources(t *testing.T) {
	for name, step := range wideTasks {
		for _, account := range []workload.Account{"guest", "host"} {
			t.Run(fmt.Sprintf("%s of %s", name, account), func(t *testing.T) {
				forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
					sim := startGuaranteed(t, 1, 6, 16, configure)
					sim.config.Accounts[1].Guaranteed = 16
					sim.submitFor(account, "wide", "urgent", step, time.Hour)
					sim.advance(6 * time.Second)
					began, _ := sim.startsOf("wide")
					if want := step.Count; began < want && step.MayMiss == 0 {
						t.Fatalf("%d of %d tasks have begun on an idle fleet", began, want)
					}
					guaranteed := workload.Step{Count: 8, Need: workload.Resources{CPU: 3700, Memory: 7600, GPU: 1}}
					sim.expectReclaimed("host", "guaranteed", guaranteed)
					sim.advance(2 * time.Second)
					// One executor holds the 8 tasks.
					most := step.Count / 6
					if step.Gang {
						most = 1
					}
					if stopped := sim.holder.scheduler.TakeCounters()[CountPreempted]; stopped > int64(most) {
						t.Errorf("%d units were stopped for 8 tasks of 3.7 cores, want at most %d", stopped, most)
					}
					sim.advance(6 * time.Second)
					if n := sim.running(account); n != times(step.Need, began) {
						t.Errorf("%v is in use after the guaranteed job has ended, want %v again", n, times(step.Need, began))
					}
				})
			})
		}
	}
}

// TestShareOfGuaranteeStays guards against work without accelerators that is stopped for another guarantee although it takes
// no more processors and memory than belong to the accelerators of its own.
func TestShareOfGuaranteeStays(t *testing.T) {
	whole := workload.Step{Count: 1, Need: workload.Resources{CPU: 32000, Memory: 64000, GPU: 8}}
	for name, need := range map[string]workload.Resources{
		"cores":                        {CPU: 32000, Memory: 100},
		"memory":                       {CPU: 100, Memory: 64000},
		"all cores and an accelerator": {CPU: 32000, Memory: 100, GPU: 1},
	} {
		t.Run(name, func(t *testing.T) {
			forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
				sim := startGuaranteed(t, 1, 3, 16, configure)
				sim.config.Accounts[1].Guaranteed = 8
				// A stop of a task that saves checkpoints costs the least.
				sim.submitFor("guest", "within", "urgent", workload.Step{Count: 1, Need: need, Checkpoint: true}, time.Hour)
				sim.advance(time.Second)
				sim.submitFor("guest", "beyond", "urgent", workload.Step{Count: 2, Need: need}, time.Hour)
				sim.advance(6 * time.Second)
				sim.expectReclaimed("host", "first", whole)
				sim.expectReclaimed("host", "second", whole)
				if _, again := sim.startsOf("within"); again > 0 || sim.stops[StopPreempted] != 2 {
					t.Errorf("%d tasks were stopped, %d of them within the share of their account, want 2 and none", sim.stops[StopPreempted], again)
				}
			})
		})
	}
}

// TestWideUrgentWorkReclaims guards against work of priority 0 that does not begin in time although its accelerators lie within
// the guarantee of its account, because it needs more processors than belong to them: it takes them from all work that
// lies within no guarantee. It also guards against such work of two accounts that stop each other by turns.
func TestWideUrgentWorkReclaims(t *testing.T) {
	wide := workload.Step{Count: 6, Need: workload.Resources{CPU: 32000, Memory: 5700}}
	for _, queue := range []workload.Queue{"batch", "urgent"} {
		forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
			sim := startGuaranteed(t, 1, 6, 16, configure)
			sim.submitFor("guest", "other", queue, workload.Step{Count: 48, Need: smallTask}, time.Hour)
			sim.advance(6 * time.Second)
			sim.expectReclaimed("host", "wide", wide)
		})
	}
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 6, 16, configure)
		sim.config.Accounts[1].Guaranteed = 16
		sim.submitFor("host", "first", "urgent", wide, time.Hour)
		sim.advance(time.Second)
		sim.submitFor("guest", "second", "urgent", wide, time.Hour)
		sim.advance(20 * time.Second)
		if n := sim.stops[StopPreempted]; n > 2 {
			t.Errorf("%d tasks were stopped, want at most the 2 that the share of the second account needs", n)
		}
	})
}

// TestSharesCanBeReclaimed guards against guaranteed work that does not begin in time beside urgent work of other shapes: any
// mixture of tasks with many or few processors, much or little memory, some accelerators or none.
func TestSharesCanBeReclaimed(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		for range reclaimRounds {
			fuzzShares(t, rt)
		}
	})
}

func fuzzShares(t *testing.T, rt *rapid.T) {
	const executors = 6
	sim := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), 2, executors/2)
	sim.t = failOn{t, rt}
	sim.faultFree = true
	sim.settings.ChooseVictims = rapid.Bool().Draw(rt, "choose victims")
	// What other work within the guarantees leaves on each executor may be too little for one more task.
	const most = (8*executors - executors) / 2
	host, guest := rapid.IntRange(1, most).Draw(rt, "guarantee"), rapid.IntRange(1, most).Draw(rt, "guarantee of the guest")
	sim.config.Accounts = []workload.AccountConfig{{Name: "host", Keys: []string{"kh"}, Guaranteed: host}, {Name: "guest", Keys: []string{"kg"}, Guaranteed: guest}}
	sim.config.Index()
	sim.newHolder()
	sim.advanceRuns()
	sim.advance(100 * time.Millisecond)
	for i := range rapid.IntRange(1, 6).Draw(rt, "jobs before") {
		s := workload.Step{
			Count: rapid.IntRange(1, 40).Draw(rt, "count"),
			Need: workload.Resources{
				CPU:    rapid.SampledFrom([]int{100, 1000, 3700, 13000, 32000}).Draw(rt, "cpu"),
				Memory: rapid.SampledFrom([]int{0, 100, 7600, 30000, 64000}).Draw(rt, "memory"),
				GPU:    rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(rt, "gpu"),
			},
			Gang:        rapid.IntRange(0, 3).Draw(rt, "gang") == 0,
			LongRunning: rapid.IntRange(0, 3).Draw(rt, "lasts") == 0,
		}
		s.Gang = s.Gang && !s.LongRunning
		account := rapid.SampledFrom([]workload.Account{"guest", "host"}).Draw(rt, "account")
		if account == "host" {
			// The accelerators of the host's guarantee are left to the guaranteed job.
			s.Need.GPU = 0
		}
		sim.submitFor(account, fmt.Sprintf("occupant%d", i), rapid.SampledFrom([]workload.Queue{"urgent", "urgent", "batch"}).Draw(rt, "queue"), s, time.Minute)
		sim.advance(time.Duration(rapid.IntRange(10, 3000).Draw(rt, "pause")) * time.Millisecond)
	}
	need := workload.Resources{CPU: rapid.IntRange(0, 4000).Draw(rt, "guaranteed cpu"), Memory: rapid.IntRange(0, 8000).Draw(rt, "guaranteed memory"), GPU: 1}
	sim.expectReclaimed("host", "guaranteed", workload.Step{Count: rapid.IntRange(1, host).Draw(rt, "guaranteed count"), Need: need})
}

// TestShapeShare guards against shares that forget a resource, round down, or divide by a capacity that the fleet does not have.
func TestShapeShare(t *testing.T) {
	fleet := fleetShape{capacity: workload.Resources{CPU: 64000, Memory: 128000, GPU: 16}}
	for _, tc := range []struct {
		shape fleetShape
		need  workload.Resources
		want  int
	}{
		{fleet, workload.Resources{}, 0},
		{fleet, workload.Resources{CPU: 3700, Memory: 7600, GPU: 1}, 1000},
		{fleet, workload.Resources{CPU: 32000, Memory: 64000, GPU: 8}, 8000},
		{fleet, workload.Resources{CPU: 13000, Memory: 7600, GPU: 1}, 3250},
		{fleet, workload.Resources{CPU: 32000}, 8000},
		{fleet, workload.Resources{CPU: 100, Memory: 64000}, 8000},
		{fleet, workload.Resources{CPU: 1}, 1},
		{fleetShape{}, workload.Resources{CPU: 32000, Memory: 64000}, 0},
		{fleetShape{capacity: workload.Resources{CPU: 4000, GPU: 1}}, workload.Resources{CPU: 2000, Memory: 64000}, 500},
	} {
		if got := tc.shape.share(tc.need); got != tc.want {
			t.Errorf("share of %+v is %d, want %d", tc.need, got, tc.want)
		}
	}
}

// TestGuaranteeAtLimitOfWideWork guards against guaranteed work that does not begin because work of priority 0 of the same account,
// with more processors than belong to its accelerators, has reached the limit of the account.
func TestGuaranteeAtLimitOfWideWork(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 6, 16, configure)
		sim.configure(withLimits(sim.config, map[workload.Account]workload.Resources{"host": {CPU: 96000}}))
		wide := workload.Step{Count: 3, Need: workload.Resources{CPU: 32000}}
		sim.submitFor("host", "wide", "urgent", wide, time.Hour)
		sim.advance(6 * time.Second)
		sim.expectReclaimed("host", "guaranteed", workload.Step{Count: 8, Need: workload.Resources{CPU: 3700, Memory: 7600, GPU: 1}})
		if n := sim.holder.scheduler.TakeCounters()[CountLimitVacated]; n != 1 {
			t.Errorf("%d tasks were stopped for the limit, want 1", n)
		}
		sim.submitFor("host", "second", "urgent", wide, time.Hour)
		sim.advance(20 * time.Second)
		if begun, again := sim.startsOf("wide"); begun != 3 || again != 1 {
			t.Errorf("%d of 3 tasks have begun and %d were started again, want one restart after the guaranteed job", begun, again)
		}
	})
}

// TestLastingWorkBesideWideWork guards against urgent work that cannot stop others, because lasting work with the same needs, which
// may not take the room of guarantees, has found no work to stop in the same planning pass.
func TestLastingWorkBesideWideWork(t *testing.T) {
	forEachChoice(t, func(t *testing.T, configure func(*Settings)) {
		sim := startGuaranteed(t, 1, 6, 16, configure)
		sim.config.Accounts[1].Guaranteed = 16
		sim.submitFor("guest", "batch", "batch", workload.Step{Count: 48, Need: smallTask}, time.Hour)
		sim.advance(6 * time.Second)
		step := wideTasks["lasting, one may be missing"]
		step.Estimate = 4 * time.Second
		j := oneStep("lasting", "urgent", step)
		j.Account = "host"
		sim.submit(j, behavior{runTime: time.Hour})
		sim.expectReclaimed("host", "wide", workload.Step{Count: 1, Need: workload.Resources{CPU: 32000, Memory: 5700}})
	})
}
