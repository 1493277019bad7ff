package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestGuaranteesCanBeReclaimed guards against guaranteed work that does not start in time whatever occupies the fleet: batch
// work of its own account, urgent and lasting work of others, gangs, executors in upkeep, executors without advice,
// and limits of accounts. It also guards against guaranteed work that is stopped for other work, and against work that is
// stopped although the guaranteed work fits beside it.
func TestGuaranteesCanBeReclaimed(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		for range reclaimRounds {
			fuzzReclaim(t, rt, func(*Settings) {})
		}
	})
}

// TestGuaranteesCanBeReclaimedFromVictims guards against the same with all optional decisions switched on.
func TestGuaranteesCanBeReclaimedFromVictims(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		for range reclaimRounds {
			fuzzReclaim(t, rt, func(s *Settings) { s.LearnRunTimes, s.ChooseVictims = true, true })
		}
	})
}

// reclaimRounds is the number of fleets of a case: the other tests of the package need fewer cases.
const reclaimRounds = 4

// reclaimFuzz is a run of the fuzz test of guarantees.
type reclaimFuzz struct {
	*simulation
	rt *rapid.T
	// permitted holds the executors that may run work of the urgent queue.
	permitted map[workload.ExecutorID]bool
	// evacuated is an executor in upkeep, or empty.
	evacuated workload.ExecutorID
	// preempted holds the latest runs of units that a preemption has stopped, by their first tasks.
	preempted map[workload.TaskRef]workload.RunNumber
	// settles is the time after the last job before the guaranteed one.
	settles  time.Duration
	jobCount int
}

func fuzzReclaim(t *testing.T, rt *rapid.T, configure func(*Settings)) {
	sim := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 2).Draw(rt, "racks"), rapid.IntRange(2, 4).Draw(rt, "executors of a rack"))
	sim.t = failOn{t, rt}
	sim.faultFree = true
	configure(&sim.settings)
	sim.settings.MaxStopTime = time.Duration(rapid.SampledFrom([]int{200, 400, 900}).Draw(rt, "longest stop")) * time.Millisecond
	sim.stopTime = sim.settings.MaxStopTime * time.Duration(rapid.SampledFrom([]int{50, 75, 100, 100}).Draw(rt, "stop percent")) / 100
	gpus := 8 * len(sim.executorIDs)
	host := rapid.IntRange(1, gpus/2).Draw(rt, "guarantee")
	guest := rapid.SampledFrom([]int{0, 0, 4, gpus / 4}).Draw(rt, "guarantee of the guest")
	sim.config.Accounts = []workload.AccountConfig{{Name: "host", Keys: []string{"kh"}, Guaranteed: host}, {Name: "guest", Keys: []string{"kg"}, Guaranteed: guest}}
	if rapid.IntRange(0, 2).Draw(rt, "limited") == 0 {
		sim.config.Accounts[0].Limit.GPU = rapid.IntRange(host, gpus).Draw(rt, "limit")
	}
	sim.config.Index()
	f := &reclaimFuzz{simulation: sim, rt: rt, permitted: map[workload.ExecutorID]bool{}, preempted: map[workload.TaskRef]workload.RunNumber{}}
	sim.onStop = f.checkPreemption
	advised := rapid.IntRange(0, 2).Draw(rt, "advised") == 0
	for _, id := range sim.executorIDs {
		f.permitted[id] = !advised || rapid.IntRange(0, 3).Draw(rt, "permitted") > 0
	}
	if advised {
		sim.withAdvice(time.Duration(rapid.SampledFrom([]int{400, 3000}).Draw(rt, "validity"))*time.Millisecond, func(id workload.ExecutorID) bool { return f.permitted[id] })
	}
	sim.newHolder()
	sim.advanceRuns()
	sim.advance(100 * time.Millisecond)
	if limit := sim.config.Accounts[0].Limit.GPU; limit > 0 && rapid.Bool().Draw(rt, "limit used") {
		f.submitFor("host", "own", "batch", workload.Step{Count: limit, Need: smallTask}, time.Minute)
	}
	for range rapid.IntRange(1, 8).Draw(rt, "jobs before") {
		f.occupy()
	}
	f.startUpkeep()
	f.settles = time.Duration(rapid.IntRange(0, 7000).Draw(rt, "settles")) * time.Millisecond
	sim.advance(f.settles)
	f.checkFixedTasks()
	f.reclaim(host)
	for _, v := range sim.violations {
		sim.t.Error(v)
	}
}

// occupy submits a job that may occupy the fleet, and lets time pass.
func (f *reclaimFuzz) occupy() {
	rt := f.rt
	account := rapid.SampledFrom([]workload.Account{"guest", "guest", "host"}).Draw(rt, "account")
	queue := rapid.SampledFrom([]workload.Queue{"urgent", "normal", "batch"}).Draw(rt, "queue")
	s := workload.Step{
		Count: rapid.IntRange(1, 24).Draw(rt, "count"),
		Need: workload.Resources{
			CPU: rapid.SampledFrom([]int{500, 3700, 13000}).Draw(rt, "cpu"), GPU: rapid.SampledFrom([]int{0, 1, 1, 2, 4, 8}).Draw(rt, "gpu"),
		},
		Gang:       rapid.IntRange(0, 3).Draw(rt, "gang") == 0,
		Checkpoint: rapid.Bool().Draw(rt, "checkpoint"),
	}
	if rapid.IntRange(0, 2).Draw(rt, "lasts") == 0 {
		s.LongRunning, s.Gang = true, false
		s.MayMiss = rapid.SampledFrom([]int{0, 0, 1, 2, s.Count}).Draw(rt, "may miss")
	}
	if queue == "urgent" && account == "host" && f.urgentUse("host")+s.Count*s.Need.GPU > f.config.Account("host").Guaranteed {
		queue = "batch"
	}
	runTime := time.Duration(rapid.SampledFrom([]int{1, 8, 60}).Draw(rt, "run time")) * time.Second
	f.jobCount++
	f.submitFor(account, fmt.Sprintf("occupant%02d", f.jobCount), queue, s, runTime)
	f.advance(time.Duration(rapid.IntRange(10, 2500).Draw(rt, "pause")) * time.Millisecond)
}

// startUpkeep evacuates an executor in some runs.
func (f *reclaimFuzz) startUpkeep() {
	if rapid.IntRange(0, 3).Draw(f.rt, "upkeep") > 0 {
		return
	}
	f.evacuated = rapid.SampledFrom(f.executorIDs).Draw(f.rt, "in upkeep")
	f.holder.scheduler.SetEvacuating([]workload.ExecutorID{f.evacuated})
}

// urgentUse returns the accelerators that the unfinished urgent jobs of an account need.
func (f *reclaimFuzz) urgentUse(account workload.Account) int {
	sum := 0
	for id, j := range f.jobs {
		if state, _ := f.holder.scheduler.Status(id); j.Account == account && j.Queue == "urgent" && !state.Final() {
			sum += j.Steps[0].Count * j.Steps[0].Need.GPU
		}
	}
	return sum
}

// stays reports whether a run cannot be stopped for the host: it lies, or may lie, within a guarantee, or too few tasks of its
// step may be missing.
func (f *reclaimFuzz) stays(r *fakeRun) bool {
	s := &r.job.Steps[r.task.Step]
	guaranteed := r.job.Queue == "urgent" && f.config.Account(r.job.Account).Guaranteed > 0
	return guaranteed || isFixed(s)
}

// isFixed reports whether too few tasks of a step may be missing.
func isFixed(s *workload.Step) bool {
	return s.LongRunning && s.MayMiss > 0 && s.MayMiss < s.Count
}

// shareOf returns the accelerators to which what a step needs for a task belongs: its own, or more if it needs more processors or memory
// than executors have for each.
func shareOf(s *workload.Step) float64 {
	load := s.CapacityNeed()
	return max(float64(load.GPU), float64(load.CPU)/4000, float64(load.Memory)/8000)
}

// checkPreemption checks that a preemption stops an urgent run only if its account runs urgent work beyond its guarantee: more
// accelerators or, if the run needs more processors or memory than belong to its accelerators, a larger share.
func (f *reclaimFuzz) checkPreemption(a Stop) {
	j := f.jobs[a.Task.Job]
	unit := unitOf(j, a.Task)
	if a.Reason != StopPreempted || j.Queue != "urgent" || f.preempted[unit] >= a.Run {
		// A stop is sent again until the end of the run is known.
		return
	}
	f.preempted[unit] = a.Run
	if f.waits(func(other *workload.Job) bool { return other.Account == j.Account && other.Queue == "urgent" }) {
		// Starts that have not arrived count, too.
		return
	}
	gpus, share := 0, 0.0
	add := func(task workload.TaskRef) {
		if other := f.jobs[task.Job]; other.Account == j.Account && other.Queue == "urgent" {
			s := &other.Steps[task.Step]
			gpus += s.Need.GPU
			share += shareOf(s)
		}
	}
	for _, e := range f.executors {
		for _, r := range e.runs {
			if other := unitOf(r.job, r.task); other == unit || f.preempted[other] < r.run {
				add(r.task)
			}
		}
		// The scheduler may not know of these ends yet.
		for _, end := range e.ends {
			add(end.Task)
		}
	}
	g := f.config.Account(j.Account).Guaranteed
	s := &j.Steps[a.Task.Step]
	proportionate := shareOf(s) == float64(s.Need.GPU)
	if within := gpus <= g && gpus > 0 && proportionate || share <= float64(g) && share > 0; within {
		f.t.Errorf("%s was stopped for others while %s runs %d urgent accelerators and a share of %.3f within its guarantee of %d", a.Task, j.Account, gpus, share, g)
	}
}

// unitOf returns the first task of the unit that a task is part of.
func unitOf(j *workload.Job, task workload.TaskRef) workload.TaskRef {
	if j.Steps[task.Step].Gang {
		task.Index = 0
	}
	return task
}

// movesGuaranteed reports whether runs that stay are in upkeep, from which they move to other executors.
func (f *reclaimFuzz) movesGuaranteed() bool {
	e := f.executors[f.evacuated]
	return e != nil && slices.ContainsFunc(e.runs, f.stays)
}

// capacityFor returns how many tasks of a step of the host's urgent queue fit beside the runs that stay, and how many beside
// all runs.
func (f *reclaimFuzz) capacityFor(s *workload.Step) (reclaimable, free int) {
	for _, id := range f.executorIDs {
		e := f.executors[id]
		if !f.permitted[id] || id == f.evacuated {
			continue
		}
		staying, all := workload.Resources{}, workload.Resources{}
		for _, r := range e.runs {
			load := r.job.Steps[r.task.Step].CapacityNeed()
			all = all.Add(load)
			if f.stays(r) {
				staying = staying.Add(load)
			}
		}
		reclaimable += s.CapacityNeed().CountIn(e.info.Capacity.Sub(staying))
		free += s.CapacityNeed().CountIn(e.info.Capacity.Sub(all))
	}
	return reclaimable, free
}

// waits reports whether a task of an unfinished job of some kind does not run.
func (f *reclaimFuzz) waits(kind func(*workload.Job) bool) bool {
	for id, j := range f.jobs {
		if state, _ := f.holder.scheduler.Status(id); state.Final() || !kind(j) {
			continue
		}
		for i := range j.Steps[0].Count {
			t := workload.TaskRef{Job: id, Index: i}
			r := f.activeRuns[t]
			if _, done := f.doneAt[t]; (!done || j.Steps[0].LongRunning) && (r == nil || !slices.Contains(r.executor.runs, r)) {
				return true
			}
		}
	}
	return false
}

// checkFixedTasks checks that executors without lasting tasks that stay hold all guarantees.
func (f *reclaimFuzz) checkFixedTasks() {
	left, reclaimable := 0, f.config.Account("host").Guaranteed+f.config.Account("guest").Guaranteed
	any := false
	for _, id := range f.executorIDs {
		e := f.executors[id]
		lasting := func(r *fakeRun) bool { return r.job.Steps[r.task.Step].LongRunning && f.stays(r) }
		fixed := slices.ContainsFunc(e.runs, func(r *fakeRun) bool { return lasting(r) && r.job.Queue != "urgent" })
		any = any || fixed
		if !slices.ContainsFunc(e.runs, lasting) {
			left += e.info.Capacity.GPU
		}
	}
	for _, id := range f.jobIDs {
		if j := f.jobs[id]; j.Queue == "urgent" && j.Steps[0].LongRunning && f.config.Account(j.Account).Guaranteed > 0 {
			return // It uses a part of the guarantee, which makes less of it reclaimable.
		}
	}
	if any && f.evacuated == "" && left < reclaimable {
		f.t.Errorf("%d accelerators are on executors without lasting tasks that stay, the guarantees are %d", left, reclaimable)
	}
}

// reclaim submits a job of the host within its guarantee while others submit more work. All its tasks have to begin in time
// if they fit beside the runs that stay.
func (f *reclaimFuzz) reclaim(guarantee int) {
	rt := f.rt
	left := guarantee - f.urgentUse("host")
	if left <= 0 {
		return
	}
	need := rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "guaranteed gpu")
	if need > left {
		need = 1
	}
	s := workload.Step{
		Count: rapid.IntRange(1, left/need).Draw(rt, "guaranteed count"),
		Need:  workload.Resources{CPU: rapid.SampledFrom([]int{500, 3700}).Draw(rt, "guaranteed cpu") * need, GPU: need},
		Gang:  rapid.Bool().Draw(rt, "guaranteed gang"),
	}
	s.SameRack = s.Gang && rapid.Bool().Draw(rt, "same rack")
	reclaimable, free := f.capacityFor(&s)
	guaranteed := func(j *workload.Job) bool { return j.Queue == "urgent" && f.config.Account(j.Account).Guaranteed > 0 }
	if reclaimable < s.Count || f.movesGuaranteed() || f.waits(guaranteed) {
		// Other guaranteed work takes its part of what is reclaimable first.
		return
	}
	if (f.advisor != nil || f.evacuated != "") && slices.ContainsFunc(f.jobIDs, func(id workload.JobID) bool { return isFixed(&f.jobs[id].Steps[0]) }) {
		// The room that such tasks leave may lie on executors that may not run the job, or that went into upkeep later.
		return
	}
	rivals := []workload.Queue{"urgent", "batch"}
	if f.config.Account("guest").Guaranteed > 0 {
		// Urgent rivals may lie within a guarantee, too.
		rivals = rivals[1:]
	}
	quiet := rapid.Bool().Draw(rt, "quiet")
	// Stops that were decided before may still be sent for a while.
	fits := free >= s.Count && !s.SameRack && quiet && f.settles > time.Second && !f.waits(func(*workload.Job) bool { return true })
	id := workload.JobID("guaranteed")
	before := f.stops[StopPreempted]
	f.submitFor("host", string(id), "urgent", s, time.Minute)
	bound := 2400*time.Millisecond + f.settings.MaxStopTime
	end := f.now.Add(bound)
	for !quiet && f.now.Before(end.Add(-2500*time.Millisecond)) {
		f.jobCount++
		rival := workload.Step{
			Count: rapid.IntRange(1, 8).Draw(rt, "rival count"), Gang: rapid.Bool().Draw(rt, "rival gang"),
			Need: workload.Resources{CPU: 500, GPU: rapid.SampledFrom([]int{1, 4, 8}).Draw(rt, "rival gpu")},
		}
		f.submitFor("guest", fmt.Sprintf("rival%02d", f.jobCount), rapid.SampledFrom(rivals).Draw(rt, "rival"), rival, time.Minute)
		f.advance(300 * time.Millisecond)
	}
	f.advance(end.Sub(f.now))
	begun, again := f.startsOf(id)
	if begun < s.Count {
		f.t.Errorf("%d of %d tasks of the guaranteed job have begun after %v: %s", begun, s.Count, bound, f.describe(id))
	}
	if moved := f.stops[StopRelocated]; again > moved {
		f.t.Errorf("%d guaranteed tasks were stopped and started again, %d of them for guaranteed work that fits nowhere else", again, moved)
	}
	if f.stops[StopRelocated] > 0 {
		f.advance(bound)
		if f.waits(guaranteed) {
			f.t.Errorf("guaranteed tasks that were stopped because they fit elsewhere do not run after %v", bound)
		}
	}
	if stopped := f.stops[StopPreempted] - before; fits && stopped > 0 {
		f.t.Errorf("%d tasks were stopped although %d fit", stopped, free)
	}
}
