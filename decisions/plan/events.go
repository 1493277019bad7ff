package plan

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
)

// Enqueue adds a waiting job. It ignores a job that is already known and one that CheckAdmission rejects as malformed.
func (p *Planner) Enqueue(queued QueuedJob) {
	if p.jobs[queued.Job] != nil || validateSpec(queued.Spec) != nil {
		return
	}
	j := &job{QueuedJob: queued}
	p.jobs[queued.Job] = j
	p.addToBucket(j)
	if len(queued.AvoidWorkers) > 0 {
		p.avoidingJobs = append(p.avoidingJobs, j)
	}
}

// Adopt records a job that was found running on a placement, for example by a new holder of the failure domain. It
// ignores a job that is already recorded as running. Accelerators that another job already uses stay with that job.
func (p *Planner) Adopt(queued QueuedJob, pl model.Placement, started time.Time) {
	p.rebuild()
	if j := p.jobs[queued.Job]; j != nil {
		if j.phase == running {
			return
		}
		p.Remove(queued.Job)
	}
	j := &job{QueuedJob: queued, phase: running, placement: slices.Clone(pl), started: started, protected: !queued.Spec.Preemptible}
	p.jobs[queued.Job] = j
	p.requeueConflictingHolds(p.slotsOf(pl))
	j.slots = p.slotsOf(pl)
	p.allocate(j)
	if j.protected {
		p.restoreProtected(j)
	} else {
		p.tryCover(j)
	}
	p.version++
}

// requeueConflictingHolds returns to the queue the holding jobs whose reserved accelerators an adopted job uses.
func (p *Planner) requeueConflictingHolds(slots []cell.Slot) {
	for _, s := range slots {
		if p.reservedGPUs[s.Worker]&s.GPUs == 0 {
			continue
		}
		for _, h := range slices.Clone(p.holdingJobs) {
			if slices.ContainsFunc(h.slots, func(x cell.Slot) bool { return x.Worker == s.Worker && x.GPUs&s.GPUs != 0 }) {
				p.cancelHold(h)
				p.addToBucket(h)
			}
		}
	}
}

// Finish records that a job ended and frees its accelerators. If it was running and not being evicted, its run time
// corrects later estimates for its account. A job that is not running is removed.
func (p *Planner) Finish(id model.JobID, now time.Time) {
	if j := p.jobs[id]; j != nil && j.phase == running && !j.evicting {
		declared := time.Duration(float64(j.Spec.RunTime) * (1 - j.Progress))
		p.account(j.Spec.Account).correction.Observe(now.Sub(j.started), declared)
	}
	p.Remove(id)
}

// Remove removes jobs in any phase and frees their accelerators.
func (p *Planner) Remove(ids ...model.JobID) {
	touched := make(map[*bucket]bool)
	for _, id := range ids {
		j := p.jobs[id]
		if j == nil {
			continue
		}
		delete(p.jobs, id)
		switch j.phase {
		case waiting:
			p.account(j.Spec.Account).waitingCount--
			touched[j.bucket] = true
		case holding:
			p.cancelHold(j)
		case running:
			p.deallocate(j)
		}
		j.placement = nil
	}
	for b := range touched {
		b.jobs = slices.DeleteFunc(b.jobs, func(j *job) bool { return p.jobs[j.Job] != j })
		b.failedVersion = 0
	}
	if len(touched) > 0 {
		p.dropEmptyBuckets()
	}
}

// Requeue returns a running or holding job to the queue, at the position given by its submission, and frees its
// accelerators.
func (p *Planner) Requeue(id model.JobID) {
	j := p.jobs[id]
	if j == nil || j.phase == waiting {
		return
	}
	if validateSpec(j.Spec) != nil {
		p.Remove(id)
		return
	}
	if j.phase == holding {
		p.cancelHold(j)
	} else {
		p.deallocate(j)
	}
	j.Attempt++
	p.addToBucket(j)
}

// SetProgress records the checkpointed fraction of a job's work, from 0 to 1, which shortens its estimated run time.
func (p *Planner) SetProgress(id model.JobID, progress float64) {
	if j := p.jobs[id]; j != nil {
		j.Progress = min(1, max(0, progress))
	}
}

// allocate records the resources of a running job as in use. Accelerators that another job already uses are removed
// from its slots.
func (p *Planner) allocate(j *job) {
	a := p.account(j.Spec.Account)
	a.gpus += j.Spec.GPUs()
	a.cores += j.Spec.Tasks * j.Spec.CoresPerTask
	a.mem += j.Spec.Tasks * j.Spec.MemoryMBPerTask
	a.running = append(a.running, j)
	kept := j.slots[:0]
	for _, s := range j.slots {
		var taken model.GPUMask
		for i := range model.GPUsPerWorker {
			if s.GPUs&(1<<i) != 0 && p.gpuOwner[s.Worker][i] == nil {
				p.gpuOwner[s.Worker][i] = j
				taken |= 1 << i
			}
		}
		p.usage[s.Worker] = p.usage[s.Worker].plus(j, 1)
		p.runningOn[s.Worker] = append(p.runningOn[s.Worker], j)
		kept = append(kept, cell.Slot{Worker: s.Worker, GPUs: taken})
		p.refresh(s.Worker)
	}
	j.slots = kept
}

// deallocate frees the resources of a running job.
func (p *Planner) deallocate(j *job) {
	p.version++
	a := p.account(j.Spec.Account)
	a.gpus -= j.Spec.GPUs()
	a.cores -= j.Spec.Tasks * j.Spec.CoresPerTask
	a.mem -= j.Spec.Tasks * j.Spec.MemoryMBPerTask
	a.running = slices.DeleteFunc(a.running, func(x *job) bool { return x == j })
	for _, s := range j.slots {
		for i := range model.GPUsPerWorker {
			if p.gpuOwner[s.Worker][i] == j && s.GPUs&(1<<i) != 0 {
				p.gpuOwner[s.Worker][i] = nil
			}
		}
		p.usage[s.Worker] = p.usage[s.Worker].plus(j, -1)
		i := slices.Index(p.runningOn[s.Worker], j)
		p.runningOn[s.Worker] = slices.Delete(p.runningOn[s.Worker], i, i+1)
		if j.protected {
			p.tracker.Release(s)
		}
		p.refresh(s.Worker)
	}
	if j.evictedFor != nil {
		j.evictedFor.pendingEvictions--
	}
	j.evictedFor, j.evicting, j.protected = nil, false, false
	j.slots, j.placement = nil, nil
}

// reserve sets aside the accelerators, cores and memory of the slots of a holding job.
func (p *Planner) reserve(j *job) {
	a := p.account(j.Spec.Account)
	a.gpus += j.Spec.GPUs()
	for _, s := range j.slots {
		p.reservedGPUs[s.Worker] |= s.GPUs
		p.usage[s.Worker] = p.usage[s.Worker].plus(j, 1)
		p.refresh(s.Worker)
	}
}

// unreserve undoes reserve.
func (p *Planner) unreserve(j *job) {
	p.account(j.Spec.Account).gpus -= j.Spec.GPUs()
	for _, s := range j.slots {
		p.reservedGPUs[s.Worker] &^= s.GPUs
		p.usage[s.Worker] = p.usage[s.Worker].plus(j, -1)
		p.refresh(s.Worker)
	}
}

// cancelHold releases the slots of a holding job. The jobs that are evicted for it stay marked as evicting, because the
// caller is already stopping them.
func (p *Planner) cancelHold(j *job) {
	p.version++
	if i := slices.Index(p.holdingJobs, j); i >= 0 {
		p.holdingJobs = slices.Delete(p.holdingJobs, i, i+1)
		p.unreserve(j)
	}
	if j.protected {
		for _, s := range j.slots {
			p.tracker.Release(s)
		}
	}
	for _, v := range p.jobs {
		if v.evictedFor == j {
			v.evictedFor = nil
		}
	}
	j.pendingEvictions, j.protected, j.slots, j.placement = 0, false, nil, nil
}

// refresh recomputes the accelerators of a worker in the inventories free and freeOrPreemptible. The latter also holds
// those in use by borrowers that are not being evicted yet.
func (p *Planner) refresh(w int) {
	if !p.workerInfo[w].Usable {
		p.free.SetMask(w, 0)
		p.freeOrPreemptible.SetMask(w, 0)
		return
	}
	free, freeOrPreemptible := ^p.reservedGPUs[w], ^p.reservedGPUs[w]
	for i, j := range p.gpuOwner[w] {
		if j == nil {
			continue
		}
		free &^= 1 << i
		if !j.isBorrower() {
			freeOrPreemptible &^= 1 << i
		}
	}
	p.free.SetMask(w, free)
	p.freeOrPreemptible.SetMask(w, freeOrPreemptible)
}

func (p *Planner) refreshAll(slots []cell.Slot) {
	for _, s := range slots {
		p.refresh(s.Worker)
	}
}

// isBorrower reports whether the job may be preempted: it is preemptible, runs outside the guarantee of its account and
// is not being evicted.
func (j *job) isBorrower() bool { return j.Spec.Preemptible && !j.protected && !j.evicting }
