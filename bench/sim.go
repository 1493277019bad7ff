package bench

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
)

// planner contains the methods of a planner that the simulation calls.
type planner interface {
	SetWorkers([]plan.Worker)
	SetPolicy(model.Preset)
	Enqueue(plan.QueuedJob)
	Finish(model.JobID, time.Time)
	Remove(...model.JobID)
	Requeue(model.JobID)
	SetProgress(model.JobID, float64)
	Round(time.Time) plan.Result
}

// admissionChecker is implemented by planners that reject jobs at submission, such as jobs that can never run.
type admissionChecker interface{ Check(model.JobSpec) bool }

const (
	// maxCheckpointTime is the longest time that a preempted job takes to checkpoint and stop. It is also the time that
	// a restore adds to the remaining run time.
	maxCheckpointTime = 30 * time.Second
	// maxUrgentWait is the time within which an urgent job must start.
	maxUrgentWait = 2100 * time.Millisecond
	// blackHoleFailTime is the time after which a gang fails that has a task on a black-hole worker: a worker on which
	// every task fails quickly, so that it keeps attracting further jobs.
	blackHoleFailTime = 5 * time.Second
	// maxBlackHoleFailures is the number of failures after which a black-hole worker becomes unusable.
	maxBlackHoleFailures = 3
	// domainOutageTime is the time during which a failure domain is out of service. The fault window, over which work
	// is measured separately, ends domainReturnTime later.
	domainOutageTime, domainReturnTime = 2 * time.Hour, time.Hour
	// cancelWaveInterval is the time between two bulk cancellations.
	cancelWaveInterval = 9 * time.Hour
)

// event is a function that runs at a virtual time. Events at the same time run in the order of seq.
type event struct {
	at  time.Time
	seq int
	run func(*simulation)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simJob is the simulated state of a job.
type simJob struct {
	arrival
	// remaining is the run time that is left, including the time to restore a checkpoint.
	remaining time.Duration
	running   bool
	started   time.Time
	attempt   int
	placement model.Placement
	// reclaimStarted is the time of the last eviction in favor of this job, or zero.
	reclaimStarted time.Time
	// arrivedDuringOutage is true if the job arrived while its failure domain was out of service.
	arrivedDuringOutage bool
	firstStart          time.Time
	// origin is the failure domain where the job arrived. queuedSince, transfers and lastTransfer are the values of the
	// fields of domains.QueuedJob.
	origin       int
	queuedSince  time.Time
	transfers    int
	lastTransfer time.Time
}

// simulation runs the planners of all failure domains in virtual time.
type simulation struct {
	scenario
	now      time.Time
	events   eventHeap
	seq      int
	planners []planner
	workers  [][]plan.Worker
	// jobs holds the jobs that have arrived and are neither completed nor cancelled.
	jobs       map[model.JobID]*simJob
	waiting    []map[model.JobID]*simJob
	running    []map[model.JobID]*simJob
	gpusInUse  []int
	needsRound []bool
	// blackHoles maps each black-hole worker to its number of failures plus 1.
	blackHoles   map[model.WorkerID]int
	outOfService []bool
	// faultWindow holds the begin and the end of the interval during which a failure domain is out of service and
	// recovers.
	faultWindow [2]time.Time
	last        time.Time
	storeOutage storeOutage
	results     runResults
	// router is nil if each job runs in the failure domain where it arrives, or in the next one if that is out of
	// service.
	router *router
}

// scheduleAt schedules run for the virtual time t.
func (sim *simulation) scheduleAt(t time.Time, run func(*simulation)) {
	sim.seq++
	heap.Push(&sim.events, event{at: t, seq: sim.seq, run: run})
}

// newSimulation returns a simulation with the arrivals and faults of a scenario. newPlanner creates the planner of a
// failure domain.
func newSimulation(s scenario, start time.Time, rng *rand.Rand, load float64, newPlanner func(int) planner) *simulation {
	sim := &simulation{scenario: s, now: start, last: start, workers: s.newWorkers(), jobs: map[model.JobID]*simJob{}, blackHoles: map[model.WorkerID]int{}}
	for d := range s.domains {
		p := newPlanner(d)
		p.SetWorkers(sim.workers[d])
		sim.planners = append(sim.planners, p)
		sim.waiting = append(sim.waiting, map[model.JobID]*simJob{})
		sim.running = append(sim.running, map[model.JobID]*simJob{})
		sim.gpusInUse, sim.needsRound, sim.outOfService = append(sim.gpusInUse, 0), append(sim.needsRound, false), append(sim.outOfService, false)
	}
	for _, a := range s.drawArrivals(rng, load, start) {
		sim.scheduleAt(a.Submitted, func(sim *simulation) { sim.arrive(a) })
	}
	sim.addFaults(start, rng)
	return sim
}

// addFaults schedules bulk cancellations, black-hole workers and an outage of failure domain 0.
func (sim *simulation) addFaults(start time.Time, rng *rand.Rand) {
	for at := cancelWaveInterval; at < sim.arrivalSpan; at += cancelWaveInterval {
		seed := rng.Uint64()
		sim.scheduleAt(start.Add(at), func(sim *simulation) { sim.cancelWave(rand.New(rand.NewPCG(seed, 1))) })
	}
	for range max(1, sim.scenario.workers/100) {
		d := rng.IntN(sim.domains)
		w := sim.workers[d][rng.IntN(len(sim.workers[d]))].ID
		sim.scheduleAt(start.Add(time.Duration(rng.Float64()*float64(sim.arrivalSpan))), func(sim *simulation) { sim.blackHoles[w] = 1 })
	}
	outageStart := start.Add(sim.arrivalSpan * 2 / 5)
	sim.faultWindow = [2]time.Time{outageStart, outageStart.Add(domainOutageTime + domainReturnTime)}
	sim.scheduleAt(outageStart, func(sim *simulation) { sim.setDomainInService(0, false) })
	sim.scheduleAt(outageStart.Add(domainOutageTime), func(sim *simulation) { sim.setDomainInService(0, true) })
	sim.scheduleAt(sim.faultWindow[1], func(*simulation) {})
}

// simulate runs until there are no more events, at most until a week after the arrival span. It counts the jobs that
// still wait as unfinished.
func (sim *simulation) simulate() runResults {
	limit := sim.now.Add(sim.arrivalSpan + 7*24*time.Hour)
	for len(sim.events) > 0 && sim.now.Before(limit) {
		t := sim.events[0].at
		sim.advance(t)
		for len(sim.events) > 0 && sim.events[0].at.Equal(t) {
			heap.Pop(&sim.events).(event).run(sim)
		}
		for d, pending := range sim.needsRound {
			for pending {
				sim.runRound(d)
				pending = sim.needsRound[d]
			}
		}
		if sim.router != nil {
			sim.router.publishLoads(sim)
		}
	}
	for _, jobs := range sim.waiting {
		sim.results.unfinished += len(jobs)
	}
	return sim.results
}

// advance sets the virtual time to t and integrates the measured quantities over the elapsed time.
func (sim *simulation) advance(t time.Time) {
	dt := t.Sub(sim.now).Seconds()
	for d := range sim.planners {
		if !sim.now.Before(sim.faultWindow[0]) && sim.now.Before(sim.faultWindow[1]) {
			sim.results.faultWindowWork += float64(sim.gpusInUse[d]) * dt
		}
		free := sim.freeGPUs(d)
		if len(sim.waiting[d]) == 0 || sim.outOfService[d] || free <= 0 {
			continue
		}
		sim.results.freeGPUSeconds += float64(free) * dt
		fits := false
		for _, j := range sim.waiting[d] {
			if j.Spec.GPUs() <= free {
				sim.results.fittingJobSeconds += dt
				fits = true
			}
		}
		if fits {
			sim.results.stuckGPUSeconds += float64(free) * dt
		}
	}
	sim.now = t
}

func (sim *simulation) freeGPUs(d int) int {
	free := -sim.gpusInUse[d]
	for _, w := range sim.workers[d] {
		if w.Usable {
			free += model.GPUsPerWorker
		}
	}
	return free
}

func (sim *simulation) arrive(a arrival) {
	j := &simJob{arrival: a, remaining: a.actualRunTime, origin: a.domain, queuedSince: sim.now}
	switch {
	case sim.router != nil:
		j.domain = sim.router.selectDomain(sim, j)
	case sim.outOfService[a.domain] && sim.domains > 1:
		j.domain = (a.domain + 1) % sim.domains
	}
	if c, ok := sim.planners[j.domain].(admissionChecker); ok && !c.Check(a.Spec) {
		sim.results.rejected++
		return
	}
	j.arrivedDuringOutage = sim.outOfService[j.domain]
	sim.jobs[a.Job] = j
	sim.waiting[j.domain][a.Job] = j
	sim.planners[j.domain].Enqueue(a.QueuedJob)
	sim.needsRound[j.domain] = true
}

// runRound runs one planner round of a failure domain and applies its result.
func (sim *simulation) runRound(d int) {
	if sim.startsBlocked() {
		sim.needsRound[d] = false
		return
	}
	begin := time.Now()
	result := sim.planners[d].Round(sim.now)
	sim.results.roundTimes = append(sim.results.roundTimes, time.Since(begin))
	sim.needsRound[d] = result.Incomplete
	for _, s := range result.Starts {
		sim.start(sim.jobs[s.Job], s.Placement)
	}
	for _, x := range result.Preemptions {
		sim.results.preemptions++
		sim.evict(x.Job, x.ForJob, x.GracePeriod)
	}
	for _, x := range result.Migrations {
		sim.results.migrations++
		sim.evict(x.Job, x.ForJob, 0)
	}
}

func (sim *simulation) start(j *simJob, placement model.Placement) {
	j.running, j.started, j.placement = true, sim.now, placement
	j.attempt++
	attempt := j.attempt
	delete(sim.waiting[j.domain], j.Job)
	sim.running[j.domain][j.Job] = j
	sim.gpusInUse[j.domain] += j.Spec.GPUs()
	sim.addWorkerTasks(j, 1)
	if j.firstStart.IsZero() {
		j.firstStart = sim.now
	}
	if !j.reclaimStarted.IsZero() {
		sim.results.reclaimTimes = append(sim.results.reclaimTimes, sim.now.Sub(j.reclaimStarted).Seconds())
		j.reclaimStarted = time.Time{}
	}
	for _, s := range placement {
		if sim.blackHoles[s.Worker] > 0 {
			sim.scheduleAt(sim.now.Add(blackHoleFailTime), func(sim *simulation) { sim.failAttempt(j, attempt, s.Worker) })
			return
		}
	}
	sim.scheduleAt(sim.now.Add(j.remaining), func(sim *simulation) { sim.completeJob(j, attempt) })
}

// addWorkerTasks adds delta to the task count of a worker for each slot of the placement of a job. Only the router uses
// these counts.
func (sim *simulation) addWorkerTasks(j *simJob, delta int) {
	if sim.router == nil {
		return
	}
	workerTasks := sim.router.workerTasks[j.domain]
	for _, s := range j.placement {
		if workerTasks[s.Worker] += delta; workerTasks[s.Worker] == 0 {
			delete(workerTasks, s.Worker)
		}
	}
}

// stopAttempt stops an attempt of a job and frees its accelerators. It returns false if the attempt no longer runs.
func (sim *simulation) stopAttempt(j *simJob, attempt int) bool {
	if !j.running || j.attempt != attempt {
		return false
	}
	j.running = false
	sim.gpusInUse[j.domain] -= j.Spec.GPUs()
	sim.addWorkerTasks(j, -1)
	delete(sim.running[j.domain], j.Job)
	sim.needsRound[j.domain] = true
	return true
}

func (sim *simulation) completeJob(j *simJob, attempt int) {
	if !sim.stopAttempt(j, attempt) {
		return
	}
	sim.planners[j.domain].Finish(j.Job, sim.now)
	delete(sim.jobs, j.Job)
	wait := j.firstStart.Sub(j.Submitted).Seconds()
	switch {
	case j.probe:
		sim.results.probeWaits = append(sim.results.probeWaits, wait)
		return
	case j.Spec.GPUs() >= largeGPUs:
		sim.results.largeWaits = append(sim.results.largeWaits, wait)
	}
	if isLightAccount(sim.accounts, j.Spec.Account) {
		sim.results.lightWaits = append(sim.results.lightWaits, wait)
	}
	if j.Spec.Urgent && !j.arrivedDuringOutage {
		sim.results.urgentWaits = append(sim.results.urgentWaits, wait)
		if wait > maxUrgentWait.Seconds() {
			sim.results.urgentLate++
		}
	}
	sim.storeOutage.recordCompletion(j.Submitted, sim.now)
	sim.results.completionTimes = append(sim.results.completionTimes, sim.now.Sub(j.Submitted).Seconds())
	if sim.router != nil {
		sim.router.recordCompletion(j)
	}
}

// failAttempt ends an attempt that failed on a black-hole worker and requeues the job. The worker becomes unusable
// after maxBlackHoleFailures.
func (sim *simulation) failAttempt(j *simJob, attempt int, worker model.WorkerID) {
	if !sim.stopAttempt(j, attempt) {
		return
	}
	sim.requeue(j)
	if sim.blackHoles[worker]++; sim.blackHoles[worker] <= maxBlackHoleFailures {
		return
	}
	ws := slices.Clone(sim.workers[j.domain])
	for i := range ws {
		if ws[i].ID == worker {
			ws[i].Usable = false
		}
	}
	sim.setWorkers(j.domain, ws)
}

func (sim *simulation) requeue(j *simJob) {
	j.queuedSince = sim.now
	sim.waiting[j.domain][j.Job] = j
	sim.planners[j.domain].SetProgress(j.Job, 1-float64(j.remaining)/float64(j.actualRunTime))
	sim.planners[j.domain].Requeue(j.Job)
}

// evict checkpoints and stops a job in favor of forJob, which may be empty. If the checkpoint takes longer than
// gracePeriod, the job is stopped without it and loses the work since the start of the attempt. A gracePeriod of 0 sets
// no limit.
func (sim *simulation) evict(id, forJob model.JobID, gracePeriod time.Duration) {
	j := sim.jobs[id]
	attempt := j.attempt
	if beneficiary := sim.jobs[forJob]; beneficiary != nil {
		beneficiary.reclaimStarted = sim.now
	}
	delay := maxCheckpointTime / 3 * time.Duration(1+(sim.seq%3))
	if gracePeriod > 0 && delay > gracePeriod {
		sim.scheduleAt(sim.now.Add(gracePeriod), func(sim *simulation) { sim.stopWithoutCheckpoint(j, attempt) })
		return
	}
	sim.scheduleAt(sim.now.Add(delay), func(sim *simulation) { sim.stopWithCheckpoint(j, attempt) })
}

// stopWithoutCheckpoint stops and requeues a job whose checkpoint exceeded the grace period, and counts the lost work.
func (sim *simulation) stopWithoutCheckpoint(j *simJob, attempt int) {
	started := j.started
	if sim.stopAttempt(j, attempt) {
		sim.results.lostWork += sim.now.Sub(started).Seconds() * float64(j.Spec.GPUs())
		sim.requeue(j)
	}
}

// stopWithCheckpoint stops and requeues a job after its checkpoint. The remaining time includes the time to restore it.
func (sim *simulation) stopWithCheckpoint(j *simJob, attempt int) {
	if sim.stopAttempt(j, attempt) {
		j.remaining = max(time.Second, j.remaining-sim.now.Sub(j.started)+maxCheckpointTime)
		sim.requeue(j)
	}
}

func (sim *simulation) setWorkers(d int, ws []plan.Worker) {
	sim.workers[d] = ws
	sim.planners[d].SetWorkers(ws)
	sim.needsRound[d] = true
}

// setDomainInService takes a failure domain out of service or back into service. When it goes out of service, its
// running jobs checkpoint, stop and wait there until it returns.
func (sim *simulation) setDomainInService(d int, inService bool) {
	sim.outOfService[d] = !inService
	ws := slices.Clone(sim.workers[d])
	for i := range ws {
		ws[i].Usable = inService && sim.blackHoles[ws[i].ID] <= maxBlackHoleFailures
	}
	sim.setWorkers(d, ws)
	if inService {
		return
	}
	for _, id := range sortedJobIDs(sim.running[d]) {
		sim.evict(id, "", 0)
	}
}

// cancelWave cancels about a third of the waiting jobs of one random account in one pass.
func (sim *simulation) cancelWave(rng *rand.Rand) {
	account := accountName(1 + rng.IntN(sim.accounts-1))
	for d, p := range sim.planners {
		var ids []model.JobID
		for _, id := range sortedJobIDs(sim.waiting[d]) {
			if sim.waiting[d][id].Spec.Account == account && rng.IntN(3) == 0 {
				ids = append(ids, id)
			}
		}
		p.Remove(ids...)
		for _, id := range ids {
			delete(sim.waiting[d], id)
			delete(sim.jobs, id)
		}
		sim.needsRound[d] = true
	}
}
