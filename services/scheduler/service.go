// Package scheduler is the service that owns the jobs of the own failure domain while the VM holds it.
package scheduler

import (
	"time"

	"github.com/google/uuid"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/gang"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// configValid is the age up to which a confirmed configuration permits new tasks.
	configValid = 2 * time.Second
	// roundDelay collects the events of a burst into one round.
	roundDelay = 10 * time.Millisecond
)

type roundDue struct{}

// Kind implements kernel.Message.
func (roundDue) Kind() string { return "round_due" }

// job is a job with the state of its current attempt.
type job struct {
	model.Job
	gang *gang.Gang
}

// Service queues jobs, starts gangs and follows their tasks.
type Service struct {
	domain       model.FailureDomain
	metrics      *metrics.Set
	epoch        model.Epoch
	config       message.ConfigChanged
	jobs         map[model.JobID]*job
	planner      *plan.Planner
	workers      map[model.WorkerID]*plan.Worker
	order        []model.WorkerID
	roundPending bool
}

// New returns the service of one failure domain.
func New(d model.FailureDomain, m *metrics.Set) *Service {
	return &Service{
		domain: d, metrics: m, planner: plan.New(d),
		jobs:    make(map[model.JobID]*job),
		workers: make(map[model.WorkerID]*plan.Worker),
	}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Scheduler, Service: s, Mailbox: 16384, After: []kernel.Name{names.Workers}, Subscribes: []string{
		message.KindAuthorityChanged, message.KindConfigChanged, message.KindMembersChanged,
	}}
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.AuthorityChanged:
		s.epoch = model.Epoch{}
		if m.Holder {
			s.epoch = m.Epoch
		}
	case message.ConfigChanged:
		s.config = m
		s.requestRound(c)
	case message.MembersChanged:
		s.setWorkers(m.Workers)
		s.requestRound(c)
	case message.WorkerReport:
		s.report(c, m)
	case message.WorkerLost:
		s.workerLost(c, m)
	case roundDue:
		s.roundPending = false
		s.round(c)
	default:
		s.call(c, e)
	}
}

// call answers callers and operators.
func (s *Service) call(c *kernel.Context, e kernel.Envelope) {
	if s.epoch.IsZero() {
		e.Fail(s.metrics.Refusal(failure.New(failure.NotHolder, "this VM does not hold %s", s.domain)))
		return
	}
	switch m := e.Body.(type) {
	case message.JobSubmit:
		s.submit(c, e, m.Spec)
	case message.JobStatus:
		if j, ok := s.jobs[m.Job]; ok {
			e.Reply(message.JobReply{Job: j.Job})
			return
		}
		e.Fail(s.metrics.Refusal(failure.New(failure.NotFound, "job %s", m.Job)))
	case message.JobList:
		e.Reply(s.list(m.Account))
	case message.JobCancel:
		e.Reply(s.cancel(c, m))
	}
}

func (s *Service) submit(c *kernel.Context, e kernel.Envelope, spec model.JobSpec) {
	if spec.Tasks < 1 || spec.GPUsPerTask < 1 || spec.GPUsPerTask > model.GPUsPerWorker {
		e.Fail(s.metrics.Refusal(failure.New(failure.Malformed, "tasks and GPUs per task must be positive")))
		return
	}
	j := &job{Job: model.Job{
		ID: model.JobID(string(s.domain) + "/" + uuid.NewString()), Spec: spec, Domain: s.domain,
		State: model.JobQueued, Submitted: time.Now(),
	}}
	s.jobs[j.ID] = j
	s.planner.Enqueue(plan.Waiting{Job: j.ID, Spec: spec, Submitted: j.Submitted})
	s.requestRound(c)
	e.Reply(message.JobReply{Job: j.Job})
}

func (s *Service) list(account model.AccountID) message.JobsReply {
	var out message.JobsReply
	for _, j := range s.jobs {
		if account == "" || j.Spec.Account == account {
			out.Jobs = append(out.Jobs, j.Job)
		}
	}
	return out
}

func (s *Service) cancel(c *kernel.Context, m message.JobCancel) message.JobsReply {
	var out message.JobsReply
	for _, id := range m.Jobs {
		j, ok := s.jobs[id]
		if !ok || j.Spec.Account != m.Account {
			continue
		}
		if !j.State.Final() {
			j.State = model.JobCancelled
			if j.gang != nil {
				s.apply(c, j, j.gang.Cancel())
			}
			s.planner.Remove(id)
		}
		out.Jobs = append(out.Jobs, j.Job)
	}
	s.requestRound(c)
	return out
}

func (s *Service) setWorkers(vms []model.VM) {
	s.order = s.order[:0]
	for _, vm := range vms {
		id := model.WorkerID(vm.ID)
		s.order = append(s.order, id)
		if w, ok := s.workers[id]; ok {
			w.Rack = vm.Rack
			continue
		}
		s.workers[id] = &plan.Worker{ID: id, Rack: vm.Rack}
	}
	s.updatePlanner()
}

func (s *Service) updatePlanner() {
	ws := make([]plan.Worker, 0, len(s.order))
	for _, id := range s.order {
		ws = append(ws, *s.workers[id])
	}
	s.planner.SetWorkers(ws)
}

func (s *Service) requestRound(c *kernel.Context) {
	if !s.roundPending {
		s.roundPending = true
		c.After(roundDelay, roundDue{})
	}
}

// mayStart reports whether a new task may start now.
func (s *Service) mayStart() bool {
	return !s.epoch.IsZero() && s.config.Config.Version > 0 &&
		time.Since(s.config.Confirmed) < configValid && !s.config.Config.IsOut(s.domain)
}

func (s *Service) round(c *kernel.Context) {
	if !s.mayStart() {
		return
	}
	for _, st := range s.planner.Round(time.Now()).Starts {
		j := s.jobs[st.Job]
		j.State, j.Placement = model.JobStarting, st.Placement
		j.Attempt++
		g, actions := gang.New(len(st.Placement))
		j.gang = g
		s.apply(c, j, actions)
	}
}

var taskOps = map[gang.ActionKind]message.TaskOp{
	gang.Hold:    message.TaskHold,
	gang.Release: message.TaskRelease,
	gang.Stop:    message.TaskStop,
}

// apply sends the actions of a gang to its workers, one message per worker.
func (s *Service) apply(c *kernel.Context, j *job, actions []gang.Action) {
	byWorker := make(map[model.WorkerID][]message.TaskCommand)
	for _, a := range actions {
		slot := j.Placement[a.Index]
		byWorker[slot.Worker] = append(byWorker[slot.Worker], message.TaskCommand{
			Op: taskOps[a.Kind], Task: model.TaskID{Job: j.ID, Index: a.Index, Attempt: j.Attempt},
			GPUs: slot.GPUs, RunMS: j.Spec.RunTime.Milliseconds(), Command: j.Spec.Command,
		})
	}
	for w, cmds := range byWorker {
		_ = c.Send(names.Workers, message.WorkerCommand{Worker: w, Epoch: s.epoch, Commands: cmds})
	}
}

func (s *Service) report(c *kernel.Context, m message.WorkerReport) {
	if m.Epoch != s.epoch {
		return
	}
	if w, ok := s.workers[m.Worker]; ok && !w.Usable {
		w.Usable = true
		s.updatePlanner()
		s.requestRound(c)
	}
	for _, t := range m.Tasks {
		s.observe(c, t.Task, t.State)
	}
	for _, t := range m.Refused {
		s.observe(c, t, model.TaskFailed)
	}
}

func (s *Service) observe(c *kernel.Context, t model.TaskID, state model.TaskState) {
	j, ok := s.jobs[t.Job]
	if !ok || j.gang == nil || j.Attempt != t.Attempt {
		return
	}
	s.apply(c, j, j.gang.Observe(t.Index, state))
	switch j.gang.Phase {
	case gang.Running:
		if j.State == model.JobStarting {
			j.State, j.Started = model.JobRunning, time.Now()
		}
	case gang.Ended:
		s.end(c, j)
	}
}

func (s *Service) end(c *kernel.Context, j *job) {
	switch {
	case j.State.Final():
	case j.gang.Failed:
		j.State = model.JobFailed
	default:
		j.State = model.JobSucceeded
	}
	j.Ended = time.Now()
	s.planner.Remove(j.ID)
	s.requestRound(c)
}

func (s *Service) workerLost(c *kernel.Context, m message.WorkerLost) {
	if m.Epoch != s.epoch {
		return
	}
	if w, ok := s.workers[m.Worker]; ok {
		w.Usable = false
		s.updatePlanner()
	}
	for _, j := range s.jobs {
		for i, slot := range j.Placement {
			if slot.Worker == m.Worker && !j.State.Final() {
				s.observe(c, model.TaskID{Job: j.ID, Index: i, Attempt: j.Attempt}, model.TaskFailed)
			}
		}
	}
}
