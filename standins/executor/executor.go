// Package executor is a small stand-in for an executor, a backend server that runs requests.
package executor

import (
	"context"
	"net"
	"time"

	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/executor"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

type call executor.Call

// Kind implements kernel.Message.
func (call) Kind() string { return "executor_call" }

type answer executor.Answer

// Kind implements kernel.Message.
func (answer) Kind() string { return "executor_answer" }

type query executor.NoticeQuery

// Kind implements kernel.Message.
func (query) Kind() string { return "executor_notice_query" }

type notice executor.Notice

// Kind implements kernel.Message.
func (notice) Kind() string { return "executor_notice" }

type (
	callDue struct {
		env  kernel.Envelope
		call call
	}
	waitDue struct{ env kernel.Envelope }
)

// Kind implements kernel.Message.
func (callDue) Kind() string { return "executor_call_due" }

// Kind implements kernel.Message.
func (waitDue) Kind() string { return "executor_wait_due" }

// State holds the calls of one executor.
type State struct {
	slots  int
	took   time.Duration
	inUse  int
	notice notice
}

// New returns an executor with a number of slots that answers each call after a time.
func New(slots int, took time.Duration) *State {
	return &State{slots: slots, took: took, notice: notice{Revision: 1, Slots: slots}}
}

// Run serves the executor until ctx ends. It takes over the listener.
func Run(ctx context.Context, l net.Listener, s *State) error {
	return host.Run(ctx, l, s,
		host.JSON(executor.PathExecute, func(c executor.Call) kernel.Message { return call(c) }),
		host.JSON(executor.PathNotice, func(q executor.NoticeQuery) kernel.Message { return query(q) }),
	)
}

// Start implements kernel.Service.
func (s *State) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *State) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *State) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case call:
		if s.inUse >= s.slots {
			e.Fail(&host.StatusError{Status: executor.StatusBusy})
			return
		}
		s.inUse++
		c.After(s.took, callDue{env: e, call: m})
	case callDue:
		s.inUse--
		body := append([]byte(m.call.Service+":"), m.call.Payload...)
		m.env.Reply(answer{Request: m.call.Request, Attempt: m.call.Attempt, Body: body, Size: len(body)})
	case query:
		if m.After != s.notice.Revision {
			e.Reply(s.notice)
			return
		}
		c.After(time.Duration(m.WaitMS)*time.Millisecond, waitDue{env: e})
	case waitDue:
		m.env.Reply(s.notice)
	}
}
