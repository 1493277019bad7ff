package plan

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
)

// Enqueue adds a waiting job. A job that is already known or whose shape Check calls malformed is ignored.
func (p *Planner) Enqueue(w Waiting) {
	if p.jobs[w.Job] != nil || malformed(w.Spec) != nil {
		return
	}
	j := &job{Waiting: w}
	p.jobs[w.Job] = j
	p.queueJob(j)
	if len(w.Avoid) > 0 {
		p.avoiding = append(p.avoiding, j)
	}
}

// Adopt records a job that already runs on a placement, as after a change of the holder. A job that
// already runs is ignored. Accelerators that are already in use by another job stay with that job.
func (p *Planner) Adopt(w Waiting, pl model.Placement, started time.Time) {
	p.settle()
	if j := p.jobs[w.Job]; j != nil {
		if j.phase == running {
			return
		}
		p.Remove(w.Job)
	}
	j := &job{Waiting: w, phase: running, placement: slices.Clone(pl), started: started, fixed: !w.Spec.Preemptible}
	p.jobs[w.Job] = j
	p.displaceHolds(p.slotsOf(pl))
	j.slots = p.slotsOf(pl)
	p.occupy(j)
	if j.fixed {
		p.recover(j)
	} else {
		p.charge(j)
	}
	p.version++
}

// displaceHolds returns holding jobs to the queue whose reserved accelerators an adopted job uses.
func (p *Planner) displaceHolds(slots []cell.Slot) {
	for _, s := range slots {
		if p.reserved[s.Worker]&s.GPUs == 0 {
			continue
		}
		for _, h := range slices.Clone(p.holds) {
			if slices.ContainsFunc(h.slots, func(x cell.Slot) bool { return x.Worker == s.Worker && x.GPUs&s.GPUs != 0 }) {
				p.dropHold(h)
				p.queueJob(h)
			}
		}
	}
}

// Finish records that a job ended, frees its accelerators and learns from its run time. A job that does
// not run is forgotten.
func (p *Planner) Finish(id model.JobID, now time.Time) {
	if j := p.jobs[id]; j != nil && j.phase == running && !j.leaving {
		declared := time.Duration(float64(j.Spec.RunTime) * (1 - j.Progress))
		p.account(j.Spec.Account).correction.Observe(now.Sub(j.started), declared)
	}
	p.Remove(id)
}

// Remove forgets jobs, whether they wait or run, and frees their accelerators.
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
			p.account(j.Spec.Account).waiting--
			touched[j.bucket] = true
		case holding:
			p.dropHold(j)
		case running:
			p.vacate(j)
		}
		j.placement = nil
	}
	for b := range touched {
		b.jobs = slices.DeleteFunc(b.jobs, func(j *job) bool { return p.jobs[j.Job] != j })
		b.failed = 0
	}
	if len(touched) > 0 {
		p.dropEmptyBuckets()
	}
}

// Requeue returns a running job to the queue, in the place of its submission, and frees its accelerators.
// A job that holds accelerators loses them.
func (p *Planner) Requeue(id model.JobID) {
	j := p.jobs[id]
	if j == nil || j.phase == waiting {
		return
	}
	if malformed(j.Spec) != nil {
		p.Remove(id)
		return
	}
	if j.phase == holding {
		p.dropHold(j)
	} else {
		p.vacate(j)
	}
	j.Attempt++
	p.queueJob(j)
}

// SetProgress records the checkpointed share of a job's work, from 0 to 1, which shortens its estimate.
func (p *Planner) SetProgress(id model.JobID, progress float64) {
	if j := p.jobs[id]; j != nil {
		j.Progress = min(1, max(0, progress))
	}
}

// occupy gives a running job its accelerators.
func (p *Planner) occupy(j *job) {
	a := p.account(j.Spec.Account)
	a.gpus += j.Spec.GPUs()
	a.cores += j.Spec.Tasks * j.Spec.CoresPerTask
	a.mem += j.Spec.Tasks * j.Spec.MemoryMBPerTask
	a.running = append(a.running, j)
	kept := j.slots[:0]
	for _, s := range j.slots {
		var taken model.GPUMask
		for i := range model.GPUsPerWorker {
			if s.GPUs&(1<<i) != 0 && p.owner[s.Worker][i] == nil {
				p.owner[s.Worker][i] = j
				taken |= 1 << i
			}
		}
		p.usage[s.Worker] = p.usage[s.Worker].plus(j, 1)
		p.on[s.Worker] = append(p.on[s.Worker], j)
		kept = append(kept, cell.Slot{Worker: s.Worker, GPUs: taken})
		p.refresh(s.Worker)
	}
	j.slots = kept
}

// vacate frees the accelerators of a running job.
func (p *Planner) vacate(j *job) {
	p.version++
	a := p.account(j.Spec.Account)
	a.gpus -= j.Spec.GPUs()
	a.cores -= j.Spec.Tasks * j.Spec.CoresPerTask
	a.mem -= j.Spec.Tasks * j.Spec.MemoryMBPerTask
	a.running = slices.DeleteFunc(a.running, func(x *job) bool { return x == j })
	for _, s := range j.slots {
		for i := range model.GPUsPerWorker {
			if p.owner[s.Worker][i] == j && s.GPUs&(1<<i) != 0 {
				p.owner[s.Worker][i] = nil
			}
		}
		p.usage[s.Worker] = p.usage[s.Worker].plus(j, -1)
		i := slices.Index(p.on[s.Worker], j)
		p.on[s.Worker] = slices.Delete(p.on[s.Worker], i, i+1)
		if j.fixed {
			p.tracker.Release(s)
		}
		p.refresh(s.Worker)
	}
	if j.leavesFor != nil {
		j.leavesFor.pending--
	}
	j.leavesFor, j.leaving, j.fixed = nil, false, false
	j.slots, j.placement = nil, nil
}

// reserve keeps the accelerators, cores and memory of a holding job for it.
func (p *Planner) reserve(j *job) {
	a := p.account(j.Spec.Account)
	a.gpus += j.Spec.GPUs()
	for _, s := range j.slots {
		p.reserved[s.Worker] |= s.GPUs
		p.usage[s.Worker] = p.usage[s.Worker].plus(j, 1)
		p.refresh(s.Worker)
	}
}

// unreserve undoes reserve.
func (p *Planner) unreserve(j *job) {
	p.account(j.Spec.Account).gpus -= j.Spec.GPUs()
	for _, s := range j.slots {
		p.reserved[s.Worker] &^= s.GPUs
		p.usage[s.Worker] = p.usage[s.Worker].plus(j, -1)
		p.refresh(s.Worker)
	}
}

// dropHold ends the hold of a job. The jobs that leave for it keep leaving: the caller already stops them.
func (p *Planner) dropHold(j *job) {
	p.version++
	if i := slices.Index(p.holds, j); i >= 0 {
		p.holds = slices.Delete(p.holds, i, i+1)
		p.unreserve(j)
	}
	if j.fixed {
		for _, s := range j.slots {
			p.tracker.Release(s)
		}
	}
	for _, v := range p.jobs {
		if v.leavesFor == j {
			v.leavesFor = nil
		}
	}
	j.pending, j.fixed, j.slots, j.placement = 0, false, nil, nil
}

// refresh recomputes the free and the takeable accelerators of a worker. Takeable ones are free or in
// use by borrowers that are not leaving yet.
func (p *Planner) refresh(w int) {
	if !p.info[w].Usable {
		p.free.Set(w, 0)
		p.takeable.Set(w, 0)
		return
	}
	free, takeable := ^p.reserved[w], ^p.reserved[w]
	for i, j := range p.owner[w] {
		if j == nil {
			continue
		}
		free &^= 1 << i
		if !j.borrows() {
			takeable &^= 1 << i
		}
	}
	p.free.Set(w, free)
	p.takeable.Set(w, takeable)
}

func (p *Planner) refreshAll(slots []cell.Slot) {
	for _, s := range slots {
		p.refresh(s.Worker)
	}
}

// borrows reports whether the job may be preempted.
func (j *job) borrows() bool { return j.Spec.Preemptible && !j.fixed && !j.leaving }
