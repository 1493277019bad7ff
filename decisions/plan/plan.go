// Package plan decides which jobs start where in one failure domain.
//
// A Planner is a state machine without I/O or clock: events update its state, and Round returns the
// actions that the state calls for. The caller applies the actions.
package plan

import (
	"slices"
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
	// Cores and MemoryMB are the totals of the worker; 0 means unknown.
	Cores    int
	MemoryMB int
}

// Waiting is a job that waits for accelerators.
type Waiting struct {
	Job  model.JobID
	Spec model.JobSpec
	// Submitted is the time of submission; it keeps the job's place after a requeue.
	Submitted time.Time
	// Attempt counts the attempts so far.
	Attempt int
	// Progress is the checkpointed share of the work, from 0 to 1.
	Progress float64
}

// Start is a decision to start a gang.
type Start struct {
	Job       model.JobID
	Placement model.Placement
}

// Reason tells why a running job must give up its accelerators.
type Reason string

// Reasons of preemptions.
const (
	// ReasonReclaim means that an account reclaims its guaranteed shape.
	ReasonReclaim Reason = "reclaim"
	// ReasonUrgent means that an urgent job needs the accelerators.
	ReasonUrgent Reason = "urgent"
)

// Preempt is a decision to checkpoint and stop a running job. Its accelerators stay reserved for the job
// in For until the caller reports Requeue, Finish or Remove of the preempted job.
type Preempt struct {
	Job    model.JobID
	For    model.JobID
	Reason Reason
}

// Move is a decision to checkpoint a running job and restart it elsewhere, so that the job in For fits.
type Move struct {
	Job model.JobID
	For model.JobID
}

// Result lists the actions of one round.
type Result struct {
	Starts   []Start
	Preempts []Preempt
	Moves    []Move
	// Shortfall lists the guaranteed cells that cannot be packed at present, because of lost workers, a
	// change of policy or adopted jobs. Nothing running is stopped for it.
	Shortfall []model.CellCount
}

// Planner holds the accelerators and the queue of one failure domain.
type Planner struct {
	domain  model.FailureDomain
	policy  model.Preset
	specs   map[model.JobID]Waiting
	workers []Worker
	used    map[model.WorkerID]model.GPUMask
	placed  map[model.JobID]model.Placement
	queue   []Waiting
}

// New returns a planner of one failure domain, without workers and policy.
func New(domain model.FailureDomain) *Planner {
	return &Planner{
		domain: domain,
		specs:  make(map[model.JobID]Waiting),
		used:   make(map[model.WorkerID]model.GPUMask),
		placed: make(map[model.JobID]model.Placement),
	}
}

// SetWorkers replaces the known workers.
func (p *Planner) SetWorkers(ws []Worker) { p.workers = ws }

// SetPolicy replaces the accounts' rights and limits.
func (p *Planner) SetPolicy(policy model.Preset) { p.policy = policy }

// Check returns why a job cannot be accepted now, or nil.
func (p *Planner) Check(spec model.JobSpec) *failure.Error {
	if spec.Tasks < 1 || spec.GPUsPerTask < 1 || spec.GPUsPerTask > model.GPUsPerWorker {
		return failure.New(failure.Malformed, "tasks and GPUs per task must be positive")
	}
	return nil
}

// Enqueue adds a waiting job. A job that is already known is ignored.
func (p *Planner) Enqueue(w Waiting) {
	if _, known := p.specs[w.Job]; known {
		return
	}
	p.specs[w.Job] = w
	p.queue = append(p.queue, w)
}

// Adopt records a job that already runs on a placement. A job that is already placed is ignored.
func (p *Planner) Adopt(w Waiting, pl model.Placement, _ time.Time) {
	if _, placed := p.placed[w.Job]; placed {
		return
	}
	p.Remove(w.Job)
	p.specs[w.Job] = w
	p.occupy(w.Job, pl)
}

// Finish records that a job ended and frees its accelerators.
func (p *Planner) Finish(job model.JobID, _ time.Time) { p.Remove(job) }

// Remove forgets jobs, whether they wait or run, and frees their accelerators.
func (p *Planner) Remove(jobs ...model.JobID) {
	for _, job := range jobs {
		p.release(job)
		delete(p.specs, job)
	}
	p.queue = slices.DeleteFunc(p.queue, func(w Waiting) bool { return p.specs[w.Job].Job == "" })
}

// Requeue returns a placed job to the queue, in the place of its submission.
func (p *Planner) Requeue(job model.JobID) {
	w, known := p.specs[job]
	if _, placed := p.placed[job]; !known || !placed {
		return
	}
	p.release(job)
	i, _ := slices.BinarySearchFunc(p.queue, w, func(a, b Waiting) int { return a.Submitted.Compare(b.Submitted) })
	p.queue = slices.Insert(p.queue, i, w)
}

func (p *Planner) release(job model.JobID) {
	for _, s := range p.placed[job] {
		p.used[s.Worker] &^= s.GPUs
	}
	delete(p.placed, job)
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
