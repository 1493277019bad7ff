package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/domains"
)

const (
	// publishInterval is the interval at which a failure domain publishes its load, heartbeatInterval the interval at
	// which the published load is sent to the other failure domains.
	publishInterval, heartbeatInterval = time.Second, 2 * time.Second
	// idleRoundInterval is the interval of transfer rounds while no load changes and jobs wait.
	idleRoundInterval = 30 * time.Second
	// transferTime is the time from the decision to transfer a job until it is queued at the target: two log writes and
	// a round trip between regions.
	transferTime = 200 * time.Millisecond
)

// loadSnapshot is the load of a failure domain from the time at until the next snapshot.
type loadSnapshot struct {
	at   time.Time
	load model.DomainLoad
}

// router selects failure domains for jobs at submission and transfers queued jobs. It knows the loads of other failure
// domains only with the delay of publication and heartbeats.
type router struct {
	rules domains.Rules
	// chooseDomain and transferQueued have the same meaning as in domainVariant.
	chooseDomain, transferQueued bool
	regions                      int
	// workerTasks counts the running tasks of each worker, by failure domain. Idle workers are not in the map.
	workerTasks []map[model.WorkerID]int
	// loadHistory holds the loads of each failure domain in ascending order of time.
	loadHistory [][]loadSnapshot
	// inFlightTransfers counts the undecided transfers from each failure domain.
	inFlightTransfers []int
	// scheduledRounds holds the times for which transfer rounds are scheduled.
	scheduledRounds map[time.Time]bool
	results         routingResults
}

// routingResults counts the decisions of a router and their effects.
type routingResults struct {
	// refusedTransfers counts the transfers whose target was out of service or did not admit the job.
	transfers, refusedTransfers int
	// completedElsewhere counts the completed jobs that ended in another failure domain than the one where they
	// arrived, completedInOtherRegion those that ended in another region.
	completed, completedElsewhere int
	completedInOtherRegion        int
	// discardedWork is the checkpointed work in GPU seconds that transfers discarded, faultWindowDiscardedWork the part
	// of it that they discarded during the fault window.
	discardedWork, faultWindowDiscardedWork float64
	// maxTransfersPerJob is the largest number of transfers of one job, including refused ones.
	maxTransfersPerJob int
}

func newRouter(s scenario, regions int, v domainVariant) *router {
	r := &router{rules: v.rules, chooseDomain: v.chooseDomain, transferQueued: v.transferQueued, regions: regions, scheduledRounds: make(map[time.Time]bool)}
	for range s.domains {
		r.workerTasks = append(r.workerTasks, make(map[model.WorkerID]int))
		r.loadHistory, r.inFlightTransfers = append(r.loadHistory, nil), append(r.inFlightTransfers, 0)
	}
	return r
}

// region returns the region of a failure domain. The failure domains are spread evenly over the regions.
func (r *router) region(d int) model.Region {
	return model.Region("r" + string(rune('0'+d*r.regions/len(r.workerTasks))))
}

// currentLoad returns the current load of a failure domain.
func (r *router) currentLoad(sim *simulation, d int) model.DomainLoad {
	out := model.DomainLoad{Domain: domainName(d), Region: r.region(d), Starts: !sim.outOfService[d], Out: sim.outOfService[d], Heard: sim.now}
	for _, w := range sim.workers[d] {
		if !w.Usable {
			continue
		}
		out.GPUs += model.GPUsPerWorker
		if r.workerTasks[d][w.ID] == 0 {
			out.FreeWorkers++
		}
	}
	out.FreeGPUs = max(0, sim.freeGPUs(d))
	for _, j := range sim.waiting[d] {
		out.QueuedGPUs += j.Spec.GPUs()
		out.QueuedJobs++
	}
	return out
}

// publishLoads records the loads that have changed and schedules the transfer rounds at which other failure domains
// know the changes.
func (r *router) publishLoads(sim *simulation) {
	changed := false
	for d := range r.loadHistory {
		current := r.currentLoad(sim, d)
		h := r.loadHistory[d]
		if n := len(h); n > 0 {
			last := h[n-1].load
			if last.Heard = current.Heard; last == current {
				continue
			}
		}
		changed = true
		if len(h) > 1000 {
			h = slices.Clone(h[len(h)-100:])
		}
		r.loadHistory[d] = append(h, loadSnapshot{at: sim.now, load: current})
	}
	if changed {
		// Other failure domains know the change within one publication interval and one heartbeat interval.
		next := sim.now.Truncate(heartbeatInterval).Add(heartbeatInterval)
		r.scheduleRound(sim, next)
		r.scheduleRound(sim, next.Add(heartbeatInterval))
	}
}

// scheduleRound schedules a transfer round at the given time, unless there already is one.
func (r *router) scheduleRound(sim *simulation, at time.Time) {
	if r.transferQueued && !r.scheduledRounds[at] {
		r.scheduledRounds[at] = true
		sim.scheduleAt(at, r.runTransferRound)
	}
}

// publishedLoad returns the load of a failure domain as the other failure domains know it: the load at the last
// publication up to its last heartbeat. It returns false if there is none yet.
func (r *router) publishedLoad(sim *simulation, d int) (model.DomainLoad, bool) {
	// Heartbeats of different failure domains are sent at different times.
	phase := time.Duration(d) * heartbeatInterval / time.Duration(len(r.workerTasks))
	sent := sim.now.Add(-phase).Truncate(heartbeatInterval).Add(phase)
	published := sent.Truncate(publishInterval)
	h := r.loadHistory[d]
	for i := len(h) - 1; i >= 0; i-- {
		if !h[i].at.After(published) {
			out := h[i].load
			out.Heard = sent
			return out, true
		}
	}
	return model.DomainLoad{}, false
}

// knownLoads returns the loads that a failure domain knows: first its own current load, then the published loads of the
// others.
func (r *router) knownLoads(sim *simulation, own int) []model.DomainLoad {
	out := []model.DomainLoad{r.currentLoad(sim, own)}
	for d := range r.workerTasks {
		if s, ok := r.publishedLoad(sim, d); ok && d != own {
			out = append(out, s)
		}
	}
	return out
}

// selectDomain returns the failure domain to which a job is submitted. A failure domain that is out of service refuses
// the job, and the next candidate is tried.
func (r *router) selectDomain(sim *simulation, j *simJob) int {
	if !r.chooseDomain {
		return j.origin
	}
	origin := domains.Origin{Domain: domainName(j.origin), Region: r.region(j.origin)}
	for _, name := range r.rules.Choose(r.knownLoads(sim, j.origin), j.Spec, origin, sim.now) {
		if d := sim.domainIndex(name); !sim.outOfService[d] {
			return d
		}
	}
	return j.origin
}

func (sim *simulation) domainIndex(name model.FailureDomain) int {
	for d := range sim.domains {
		if domainName(d) == name {
			return d
		}
	}
	panic("unknown failure domain " + string(name))
}

// runTransferRound begins the selected transfers of all failure domains, and schedules another round while jobs wait.
func (r *router) runTransferRound(sim *simulation) {
	delete(r.scheduledRounds, sim.now)
	anyWaiting := false
	for d := range r.workerTasks {
		if len(sim.waiting[d]) == 0 {
			continue
		}
		anyWaiting = true
		loads := r.knownLoads(sim, d)
		for _, t := range r.rules.SelectTransfers(loads[0], loads[1:], sim.queuedJobs(d), r.inFlightTransfers[d], sim.now) {
			r.beginTransfer(sim, sim.jobs[t.Job], sim.domainIndex(t.Target))
		}
	}
	if anyWaiting {
		r.scheduleRound(sim, sim.now.Truncate(idleRoundInterval).Add(idleRoundInterval))
	}
}

// queuedJobs returns the waiting jobs of a failure domain in the order of their IDs.
func (sim *simulation) queuedJobs(d int) []domains.QueuedJob {
	out := make([]domains.QueuedJob, 0, len(sim.waiting[d]))
	for _, j := range sim.waiting[d] {
		out = append(out, domains.QueuedJob{
			Job: j.Job, Spec: j.Spec, Submitted: j.Submitted, QueuedSince: j.queuedSince,
			Progress:  1 - float64(j.remaining)/float64(j.actualRunTime),
			Transfers: j.transfers, LastTransfer: j.lastTransfer,
		})
	}
	slices.SortFunc(out, func(a, b domains.QueuedJob) int { return cmp.Compare(a.Job, b.Job) })
	return out
}

// beginTransfer removes a job from the queue of its failure domain and schedules the end of its transfer.
func (r *router) beginTransfer(sim *simulation, j *simJob, target int) {
	source := j.domain
	sim.planners[source].Remove(j.Job)
	delete(sim.waiting[source], j.Job)
	sim.needsRound[source] = true
	r.inFlightTransfers[source]++
	r.results.transfers++
	sim.scheduleAt(sim.now.Add(transferTime), func(sim *simulation) { r.finishTransfer(sim, j, source, target) })
}

// finishTransfer queues a job at the target, or again at the source if the target is out of service or does not admit
// the job.
func (r *router) finishTransfer(sim *simulation, j *simJob, source, target int) {
	r.inFlightTransfers[source]--
	j.transfers, j.lastTransfer = j.transfers+1, sim.now
	r.results.maxTransfersPerJob = max(r.results.maxTransfersPerJob, j.transfers)
	c, hasCheck := sim.planners[target].(admissionChecker)
	if sim.outOfService[target] || hasCheck && !c.Check(j.Spec) {
		r.results.refusedTransfers++
		target = source
	} else {
		r.discardCheckpoint(sim, j)
	}
	j.domain = target
	queued := j.QueuedJob
	queued.Progress = 1 - float64(j.remaining)/float64(j.actualRunTime)
	sim.waiting[target][j.Job] = j
	sim.planners[target].Enqueue(queued)
	sim.needsRound[target] = true
}

// discardCheckpoint discards the checkpoint of a job, because a transfer does not copy it, and counts the lost work.
func (r *router) discardCheckpoint(sim *simulation, j *simJob) {
	// The remaining time includes the time to restore a checkpoint, so it can exceed the actual run time.
	work := max(0, j.actualRunTime-j.remaining).Seconds() * float64(j.Spec.GPUs())
	r.results.discardedWork += work
	if !sim.now.Before(sim.faultWindow[0]) && sim.now.Before(sim.faultWindow[1]) {
		r.results.faultWindowDiscardedWork += work
	}
	j.remaining, j.queuedSince = j.actualRunTime, sim.now
}

// recordCompletion counts a completed job.
func (r *router) recordCompletion(j *simJob) {
	r.results.completed++
	if j.domain != j.origin {
		r.results.completedElsewhere++
	}
	if r.region(j.domain) != r.region(j.origin) {
		r.results.completedInOtherRegion++
	}
}
