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

type answer executor.Response

// Kind implements kernel.Message.
func (answer) Kind() string { return "executor_answer" }

type noticeQuery executor.NoticeQuery

// Kind implements kernel.Message.
func (noticeQuery) Kind() string { return "executor_notice_query" }

type notice executor.Notice

// Kind implements kernel.Message.
func (notice) Kind() string { return "executor_notice" }

type (
	callDue struct {
		env  kernel.Envelope
		call call
		// runIndex is the index of the run in History.Runs.
		runIndex int
	}
	answerDue struct{ pendingAnswer }
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

// Executor is the service that holds the calls of one executor and the history of what actually ran.
type Executor struct {
	// slots is the number of calls that may run at the same time, inUse the number of those that run.
	slots       int
	runDuration time.Duration
	inUse       int
	notice      notice
	faults      Faults
	history     History
	watchers    []watcher
	lastWatchID int
	// frozenAnswers are held back by Faults.FreezeAnswers. pendingSwap is the first answer of a pair that
	// Faults.SwapAnswers swaps.
	frozenAnswers []pendingAnswer
	pendingSwap   *pendingAnswer
}

// New returns an executor with a number of slots, each of which runs one call at a time for runDuration.
func New(slots int, runDuration time.Duration) *Executor {
	return &Executor{slots: slots, runDuration: runDuration, notice: notice{Revision: 1, Slots: slots}}
}

// Run serves the executor until ctx ends. It takes ownership of the listener.
func Run(ctx context.Context, l net.Listener, s *Executor) error {
	return host.Run(ctx, l, s, s.routes()...)
}

// Start implements kernel.Service.
func (s *Executor) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Executor) Drain(c *kernel.Context) { c.CompleteDrain() }

// Handle implements kernel.Service.
func (s *Executor) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case call:
		s.startRun(c, e, m)
	case callDue:
		s.finishRun(c, m)
	case answerDue:
		s.respond(m.pendingAnswer)
	case noticeQuery:
		s.watch(c, e, m)
	case waitDue:
		s.endWatch(m.id)
	default:
		s.handleControl(e)
	}
}

// startRun starts a call, or refuses it as busy if no slot is free or a fault says so.
func (s *Executor) startRun(c *kernel.Context, e kernel.Envelope, m call) {
	if s.inUse >= s.slots || consume(&s.faults.RefuseCalls) {
		e.Fail(&host.StatusError{Status: executor.StatusBusy})
		return
	}
	s.inUse++
	s.openCall()
	s.history.PeakInUse = max(s.history.PeakInUse, s.inUse)
	s.history.Runs = append(s.history.Runs, RunRecord{Request: m.Request, Attempt: m.Attempt, StartMS: time.Now().UnixMilli()})
	c.SendAfter(s.runDuration, callDue{env: e, call: m, runIndex: len(s.history.Runs) - 1})
}

func (s *Executor) finishRun(c *kernel.Context, m callDue) {
	s.inUse--
	s.history.Runs[m.runIndex].EndMS = time.Now().UnixMilli()
	body := append([]byte(m.call.Service+":"), m.call.Payload...)
	a := answer{Request: m.call.Request, Attempt: m.call.Attempt, Body: body, Size: len(body), Failed: consume(&s.faults.FailCalls)}
	h := pendingAnswer{env: m.env, answer: a}
	if s.faults.AnswerDelayMS > 0 {
		c.SendAfter(time.Duration(s.faults.AnswerDelayMS)*time.Millisecond, answerDue{h})
		return
	}
	s.respond(h)
}

// watch answers a notice query at once if the revision differs, otherwise at the next change or after its wait.
func (s *Executor) watch(c *kernel.Context, e kernel.Envelope, m noticeQuery) {
	s.openCall()
	if m.After != s.notice.Revision && !s.faults.FreezeAnswers {
		s.closeCall()
		e.Reply(s.notice)
		return
	}
	s.lastWatchID++
	s.watchers = append(s.watchers, watcher{id: s.lastWatchID, after: m.After, env: e})
	c.SendAfter(time.Duration(m.WaitMS)*time.Millisecond, waitDue{id: s.lastWatchID})
}

// endWatch answers a watch whose wait is over. A freeze keeps the watch open.
func (s *Executor) endWatch(id int) {
	for i, w := range s.watchers {
		if w.id == id && !s.faults.FreezeAnswers {
			s.watchers = append(s.watchers[:i], s.watchers[i+1:]...)
			s.closeCall()
			w.env.Reply(s.notice)
			return
		}
	}
}
