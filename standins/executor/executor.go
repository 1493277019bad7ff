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
		run  int
	}
	answerDue struct{ held }
	waitDue   struct{ id int }
)

// Kind implements kernel.Message.
func (callDue) Kind() string { return "executor_call_due" }

// Kind implements kernel.Message.
func (answerDue) Kind() string { return "executor_answer_due" }

// Kind implements kernel.Message.
func (waitDue) Kind() string { return "executor_wait_due" }

// watcher is an open watch of the notice.
type watcher struct {
	id    int
	after uint64
	env   kernel.Envelope
}

// State holds the calls of one executor and the history of what truly ran.
type State struct {
	slots    int
	took     time.Duration
	inUse    int
	notice   notice
	faults   Faults
	history  History
	watchers []watcher
	watches  int
	frozen   []held
	swap     *held
}

// New returns an executor with a number of slots that answers each call after a time.
func New(slots int, took time.Duration) *State {
	return &State{slots: slots, took: took, notice: notice{Revision: 1, Slots: slots}}
}

// Run serves the executor until ctx ends. It takes over the listener.
func Run(ctx context.Context, l net.Listener, s *State) error {
	return host.Run(ctx, l, s, s.routes()...)
}

// Start implements kernel.Service.
func (s *State) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *State) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *State) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case call:
		s.begin(c, e, m)
	case callDue:
		s.end(c, m)
	case answerDue:
		s.respond(m.held)
	case query:
		s.watch(c, e, m)
	case waitDue:
		s.endWatch(m.id)
	default:
		s.control(e)
	}
}

func (s *State) begin(c *kernel.Context, e kernel.Envelope, m call) {
	if s.inUse >= s.slots || take(&s.faults.Refuse) {
		e.Fail(&host.StatusError{Status: executor.StatusBusy})
		return
	}
	s.inUse++
	s.startCall()
	s.history.PeakInUse = max(s.history.PeakInUse, s.inUse)
	s.history.Runs = append(s.history.Runs, RunRecord{Request: m.Request, Attempt: m.Attempt, StartMS: time.Now().UnixMilli()})
	c.After(s.took, callDue{env: e, call: m, run: len(s.history.Runs) - 1})
}

func (s *State) end(c *kernel.Context, m callDue) {
	s.inUse--
	s.history.Runs[m.run].EndMS = time.Now().UnixMilli()
	body := append([]byte(m.call.Service+":"), m.call.Payload...)
	a := answer{Request: m.call.Request, Attempt: m.call.Attempt, Body: body, Size: len(body), Failed: take(&s.faults.Fail)}
	h := held{env: m.env, answer: a}
	if s.faults.LateMS > 0 {
		c.After(time.Duration(s.faults.LateMS)*time.Millisecond, answerDue{h})
		return
	}
	s.respond(h)
}

func (s *State) watch(c *kernel.Context, e kernel.Envelope, m query) {
	s.startCall()
	if m.After != s.notice.Revision && !s.faults.Freeze {
		s.finishCall()
		e.Reply(s.notice)
		return
	}
	s.watches++
	s.watchers = append(s.watchers, watcher{id: s.watches, after: m.After, env: e})
	c.After(time.Duration(m.WaitMS)*time.Millisecond, waitDue{id: s.watches})
}

func (s *State) endWatch(id int) {
	for i, w := range s.watchers {
		if w.id == id && !s.faults.Freeze {
			s.watchers = append(s.watchers[:i], s.watchers[i+1:]...)
			s.finishCall()
			w.env.Reply(s.notice)
			return
		}
	}
}
