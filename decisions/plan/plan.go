// Package plan decides which jobs start where in one failure domain.
//
// A Planner is a state machine without I/O or clock: events update its state, and Round returns the
// actions that the state calls for. The caller applies the actions.
package plan

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// Worker is a worker as the planner sees it.
type Worker struct {
	ID   model.WorkerID
	Rack string
	// Usable is false while the worker may not receive new tasks.
	Usable bool
	// Cores and MemoryMB are the worker's processors and memory in MB; 0 means unknown.
	Cores    int
	MemoryMB int
}

// Waiting is a job that waits for accelerators.
type Waiting struct {
	Job       model.JobID
	Spec      model.JobSpec
	Submitted time.Time
	// Attempt counts the earlier starts; Progress is the checkpointed share of the work, from 0 to 1.
	Attempt  int
	Progress float64
}

// Start is a decision to start a gang.
type Start struct {
	Job       model.JobID
	Placement model.Placement
}

// Preempt is a decision to checkpoint and stop Job so that For can start.
type Preempt struct {
	Job    model.JobID
	For    model.JobID
	Reason string
}

// Move is a decision to checkpoint and stop Job, which restarts elsewhere, so that For can start.
type Move struct {
	Job model.JobID
	For model.JobID
}

// Result lists the actions of one round.
type Result struct {
	Starts   []Start
	Preempts []Preempt
	Moves    []Move
}

// Planner holds the accelerators and the queue of one failure domain.
type Planner struct {
	workers []Worker
	used    map[model.WorkerID]model.GPUMask
	placed  map[model.JobID]model.Placement
	jobs    map[model.JobID]Waiting
	queue   []Waiting
}

// New returns a planner of a failure domain without workers.
func New(model.FailureDomain) *Planner {
	return &Planner{
		used:   make(map[model.WorkerID]model.GPUMask),
		placed: make(map[model.JobID]model.Placement),
		jobs:   make(map[model.JobID]Waiting),
	}
}

// SetWorkers replaces the known workers.
func (p *Planner) SetWorkers(ws []Worker) { p.workers = ws }

// SetPolicy sets the preset in force.
func (p *Planner) SetPolicy(model.Preset) {}

// Check returns why a job can never run, or nil.
func (p *Planner) Check(spec model.JobSpec) *failure.Error {
	if spec.Tasks < 1 || spec.GPUsPerTask < 1 || spec.GPUsPerTask > model.GPUsPerWorker {
		return failure.New(failure.Malformed, "tasks and GPUs per task must be positive")
	}
	return nil
}

// Enqueue adds a waiting job.
func (p *Planner) Enqueue(w Waiting) {
	p.jobs[w.Job] = w
	p.queue = append(p.queue, w)
}

// Adopt records a job that already runs on a placement since started.
func (p *Planner) Adopt(w Waiting, pl model.Placement, _ time.Time) {
	p.jobs[w.Job] = w
	p.occupy(w.Job, pl)
}

// Finish forgets a job that has ended.
func (p *Planner) Finish(job model.JobID, _ time.Time) { p.Remove(job) }

// Requeue returns a placed job to the queue and frees its accelerators.
func (p *Planner) Requeue(job model.JobID) {
	if w, ok := p.jobs[job]; ok {
		p.Remove(job)
		p.Enqueue(w)
	}
}

// Remove forgets jobs, whether they wait or run, and frees their accelerators.
func (p *Planner) Remove(jobs ...model.JobID) {
	gone := make(map[model.JobID]bool, len(jobs))
	for _, job := range jobs {
		gone[job] = true
		for _, s := range p.placed[job] {
			p.used[s.Worker] &^= s.GPUs
		}
		delete(p.placed, job)
		delete(p.jobs, job)
	}
	var rest []Waiting
	for _, w := range p.queue {
		if !gone[w.Job] {
			rest = append(rest, w)
		}
	}
	p.queue = rest
}

// Round decides the starts for the current state and reserves their accelerators.
func (p *Planner) Round(_ time.Time) Result {
	var r Result
	var rest []Waiting
	for _, w := range p.queue {
		pl, ok := p.firstFit(w.Spec)
		if !ok {
			rest = append(rest, w)
			if w.Spec.Urgent && len(r.Preempts) == 0 {
				r.Preempts = p.preemptible(w.Job)
			}
			continue
		}
		p.occupy(w.Job, pl)
		r.Starts = append(r.Starts, Start{Job: w.Job, Placement: pl})
	}
	p.queue = rest
	return r
}

// preemptible returns the running jobs that give way to urgent work.
func (p *Planner) preemptible(waiting model.JobID) []Preempt {
	var out []Preempt
	for job := range p.placed {
		if p.jobs[job].Spec.Preemptible {
			out = append(out, Preempt{Job: job, For: waiting, Reason: "urgent"})
		}
	}
	return out
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
