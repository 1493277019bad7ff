package plan

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Baseline is a first-fit scheduler in order of submission, without guarantees, fair shares, quotas, reservations or
// preemption. It exists as a reference for benchmarks.
type Baseline struct {
	workers []Worker
	used    map[model.WorkerID]model.GPUMask
	placed  map[model.JobID]model.Placement
	specs   map[model.JobID]QueuedJob
	queue   []QueuedJob
}

// NewBaseline returns a baseline planner without workers.
func NewBaseline() *Baseline {
	return &Baseline{
		used:   make(map[model.WorkerID]model.GPUMask),
		placed: make(map[model.JobID]model.Placement),
		specs:  make(map[model.JobID]QueuedJob),
	}
}

// SetWorkers replaces the known workers.
func (p *Baseline) SetWorkers(ws []Worker) { p.workers = slices.Clone(ws) }

// SetPolicy does nothing, because the baseline has no policies.
func (p *Baseline) SetPolicy(model.Preset) {}

// Enqueue adds a waiting job.
func (p *Baseline) Enqueue(queued QueuedJob) {
	p.specs[queued.Job] = queued
	i, _ := slices.BinarySearchFunc(p.queue, queued, func(a, b QueuedJob) int { return a.Submitted.Compare(b.Submitted) })
	p.queue = slices.Insert(p.queue, i, queued)
}

// Finish frees the accelerators of a job.
func (p *Baseline) Finish(id model.JobID, _ time.Time) { p.Remove(id) }

// Remove removes jobs and frees their accelerators.
func (p *Baseline) Remove(ids ...model.JobID) {
	for _, id := range ids {
		p.release(id)
		delete(p.specs, id)
	}
	p.queue = slices.DeleteFunc(p.queue, func(queued QueuedJob) bool { _, known := p.specs[queued.Job]; return !known })
}

// Requeue returns a running job to the queue.
func (p *Baseline) Requeue(id model.JobID) {
	if _, placed := p.placed[id]; placed {
		p.release(id)
		p.Enqueue(p.specs[id])
	}
}

// SetProgress does nothing, because the baseline uses no run times.
func (p *Baseline) SetProgress(model.JobID, float64) {}

// Round starts every waiting job that fits, in order of submission.
func (p *Baseline) Round(time.Time) Result {
	var r Result
	// A class that does not fit once does not fit for the rest of the round.
	failed := make(map[class]bool)
	p.queue = slices.DeleteFunc(p.queue, func(queued QueuedJob) bool {
		c := class{tasks: queued.Spec.Tasks, gpus: queued.Spec.GPUsPerTask, within: queued.Spec.Within}
		if failed[c] {
			return false
		}
		pl, ok := p.firstFit(queued.Spec)
		failed[c] = !ok
		if ok {
			p.placed[queued.Job] = pl
			for _, s := range pl {
				p.used[s.Worker] |= s.GPUs
			}
			r.Starts = append(r.Starts, Start{Job: queued.Job, Placement: pl})
		}
		return ok
	})
	return r
}

func (p *Baseline) release(id model.JobID) {
	for _, s := range p.placed[id] {
		p.used[s.Worker] &^= s.GPUs
	}
	delete(p.placed, id)
}

// firstFit places each task on the first free aligned block within one cell of the required level.
func (p *Baseline) firstFit(spec model.JobSpec) (model.Placement, bool) {
	var pl model.Placement
	var cell string
	for _, w := range p.workers {
		key := w.Rack
		switch spec.Within {
		case model.LevelWorker:
			key = string(w.ID)
		case model.LevelRack:
		default:
			key = ""
		}
		if key != cell {
			pl, cell = pl[:0], key
		}
		if !w.Usable {
			continue
		}
		for base := 0; base < model.GPUsPerWorker && len(pl) < spec.Tasks; base += spec.GPUsPerTask {
			mask := model.GPUMask((1<<spec.GPUsPerTask)-1) << base
			if p.used[w.ID]&mask == 0 {
				pl = append(pl, model.Slot{Worker: w.ID, GPUs: mask})
			}
		}
		if len(pl) == spec.Tasks {
			return pl, true
		}
	}
	return nil, false
}
