// Package worker is a small stand-in for a platform worker that runs tasks under leases.
package worker

import (
	"context"
	"net"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/worker"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

type exchange worker.Exchange

// Kind implements kernel.Message.
func (exchange) Kind() string { return "worker_exchange" }

type report worker.Report

// Kind implements kernel.Message.
func (report) Kind() string { return "worker_report" }

type (
	leaseDue struct{ number uint64 }
	holdDue  struct{ task model.TaskID }
	runDue   struct{ task model.TaskID }
)

// Kind implements kernel.Message.
func (leaseDue) Kind() string { return "worker_lease_due" }

// Kind implements kernel.Message.
func (holdDue) Kind() string { return "task_hold_due" }

// Kind implements kernel.Message.
func (runDue) Kind() string { return "task_run_due" }

type task struct {
	status  model.TaskStatus
	runFor  time.Duration
	changed uint64
}

// State holds the tasks of one worker.
type State struct {
	epoch   model.Epoch
	number  uint64
	tasks   map[model.TaskID]*task
	lapse   func()
	renewed uint64
}

// New returns an idle worker.
func New() *State { return &State{tasks: make(map[model.TaskID]*task)} }

// Run serves the worker until ctx ends. It takes over the listener.
func Run(ctx context.Context, l net.Listener, s *State) error {
	return host.Run(ctx, l, s,
		host.JSON(worker.PathExchange, func(x worker.Exchange) kernel.Message { return exchange(x) }))
}

// Start implements kernel.Service.
func (s *State) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *State) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *State) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case exchange:
		e.Reply(s.exchange(c, m))
	case leaseDue:
		if m.number == s.renewed {
			s.stopAll()
		}
	case holdDue:
		s.move(m.task, model.TaskHeld, model.TaskStopped)
	case runDue:
		s.move(m.task, model.TaskRunning, model.TaskSucceeded)
	}
}

func (s *State) exchange(c *kernel.Context, x exchange) report {
	if x.Epoch.Less(s.epoch) {
		return report{Epoch: s.epoch}
	}
	s.epoch = x.Epoch
	s.renewed++
	if s.lapse != nil {
		s.lapse()
	}
	s.lapse = c.After(time.Duration(x.LeaseMS)*time.Millisecond, leaseDue{number: s.renewed})
	out := report{Accepted: true, Epoch: s.epoch, Full: x.Seen == 0}
	for _, cmd := range x.Commands {
		if reason := s.execute(c, cmd); reason != "" {
			out.Refusals = append(out.Refusals, worker.Refusal{Task: cmd.Task, Op: cmd.Op, Reason: reason})
		}
	}
	for _, t := range s.tasks {
		if t.changed > x.Seen {
			out.Tasks = append(out.Tasks, t.status)
		}
	}
	s.number++
	out.Number = s.number
	return out
}

// execute runs one command and returns why it was refused, or "".
func (s *State) execute(c *kernel.Context, cmd worker.Command) string {
	t, known := s.tasks[cmd.Task]
	switch cmd.Op {
	case worker.OpHold:
		if known {
			return ""
		}
		if s.occupied()&cmd.GPUs != 0 {
			return "accelerators are occupied"
		}
		s.tasks[cmd.Task] = &task{
			status: model.TaskStatus{Task: cmd.Task, GPUs: cmd.GPUs, Progress: cmd.Progress},
			runFor: time.Duration(cmd.RunMS) * time.Millisecond,
		}
		s.set(cmd.Task, model.TaskHeld)
		c.After(time.Duration(cmd.HoldMS)*time.Millisecond, holdDue{task: cmd.Task})
		return ""
	case worker.OpRelease:
		if !known || t.status.State.Final() {
			return "task is not held"
		}
		if s.move(cmd.Task, model.TaskHeld, model.TaskRunning) {
			c.After(t.runFor, runDue{task: cmd.Task})
		}
		return ""
	case worker.OpStop:
		if known && !t.status.State.Final() {
			s.set(cmd.Task, model.TaskStopped)
		}
		return ""
	default:
		return "unknown operation"
	}
}

func (s *State) occupied() model.GPUMask {
	var m model.GPUMask
	for _, t := range s.tasks {
		if !t.status.State.Final() {
			m |= t.status.GPUs
		}
	}
	return m
}

func (s *State) move(id model.TaskID, from, to model.TaskState) bool {
	t, ok := s.tasks[id]
	if !ok || t.status.State != from {
		return false
	}
	s.set(id, to)
	return true
}

func (s *State) set(id model.TaskID, to model.TaskState) {
	t := s.tasks[id]
	t.status.State = to
	t.changed = s.number + 1
}

func (s *State) stopAll() {
	for id, t := range s.tasks {
		if !t.status.State.Final() {
			s.set(id, model.TaskStopped)
		}
	}
}
