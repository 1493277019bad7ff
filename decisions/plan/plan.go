// Package plan decides which jobs start where in one failure domain.
//
// A Planner is a state machine without I/O or clock: events update its state, and Round returns the
// actions that the state calls for. The caller applies the actions.
package plan

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Worker is a worker as the planner sees it.
type Worker struct {
	ID   model.WorkerID
	Rack string
	// Usable is false while the worker may not receive new tasks.
	Usable bool
}

// Waiting is a job that waits for accelerators.
type Waiting struct {
	Job       model.JobID
	Spec      model.JobSpec
	Submitted time.Time
}

// Start is a decision to start a gang.
type Start struct {
	Job       model.JobID
	Placement model.Placement
}

// Result lists the actions of one round.
type Result struct {
	Starts []Start
	// Preempts lists running jobs that must give up their accelerators.
	Preempts []model.JobID
}

// Planner holds the accelerators and the queue of one failure domain.
type Planner struct {
	workers []Worker
	used    map[model.WorkerID]model.GPUMask
	placed  map[model.JobID]model.Placement
	queue   []Waiting
}

// New returns a planner without workers.
func New() *Planner {
	return &Planner{
		used:   make(map[model.WorkerID]model.GPUMask),
		placed: make(map[model.JobID]model.Placement),
	}
}

// SetWorkers replaces the known workers.
func (p *Planner) SetWorkers(ws []Worker) { p.workers = ws }

// Enqueue adds a waiting job.
func (p *Planner) Enqueue(w Waiting) { p.queue = append(p.queue, w) }

// Adopt records a job that already runs on a placement.
func (p *Planner) Adopt(job model.JobID, pl model.Placement) { p.occupy(job, pl) }

// Remove forgets a job, whether it waits or runs, and frees its accelerators.
func (p *Planner) Remove(job model.JobID) {
	for _, s := range p.placed[job] {
		p.used[s.Worker] &^= s.GPUs
	}
	delete(p.placed, job)
	for i, w := range p.queue {
		if w.Job == job {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return
		}
	}
}

// Round decides the starts for the current state and reserves their accelerators.
func (p *Planner) Round(_ time.Time) Result {
	var r Result
	var rest []Waiting
	for _, w := range p.queue {
		pl, ok := p.firstFit(w.Spec)
		if !ok {
			rest = append(rest, w)
			continue
		}
		p.occupy(w.Job, pl)
		r.Starts = append(r.Starts, Start{Job: w.Job, Placement: pl})
	}
	p.queue = rest
	return r
}

func (p *Planner) occupy(job model.JobID, pl model.Placement) {
	p.placed[job] = pl
	for _, s := range pl {
		p.used[s.Worker] |= s.GPUs
	}
}

// firstFit places each task on the first aligned free accelerators.
func (p *Planner) firstFit(spec model.JobSpec) (model.Placement, bool) {
	taken := make(map[model.WorkerID]model.GPUMask)
	var pl model.Placement
	for _, w := range p.workers {
		if !w.Usable {
			continue
		}
		for base := 0; base < model.GPUsPerWorker && len(pl) < spec.Tasks; base += spec.GPUsPerTask {
			mask := model.GPUMask((1<<spec.GPUsPerTask)-1) << base
			if (p.used[w.ID]|taken[w.ID])&mask == 0 {
				taken[w.ID] |= mask
				pl = append(pl, model.Slot{Worker: w.ID, GPUs: mask})
			}
		}
	}
	return pl, len(pl) == spec.Tasks
}
