package executor

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/executor"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

// Paths of the control interface.
const (
	PathHistory = "/standin/history"
	PathFaults  = "/standin/faults"
	PathLeave   = "/standin/leave"
)

// Faults are the faults that the executor injects. Each count is the number of following calls that it applies to.
type Faults struct {
	// AnswerDelayMS delays every answer by this number of milliseconds after the operation has run.
	AnswerDelayMS int64 `json:"late_ms,omitempty"`
	// SwapAnswers swaps the answers of pairs of calls that run at the same time.
	SwapAnswers int `json:"cross,omitempty"`
	// TruncateAnswers cuts answers to half their length, DropAnswers closes the connection without an answer after the
	// operation has run.
	TruncateAnswers int `json:"truncate,omitempty"`
	DropAnswers     int `json:"drop,omitempty"`
	// RefuseCalls answers that the executor is busy and does not run the operation; FailCalls runs it and reports that it
	// failed.
	RefuseCalls int `json:"refuse,omitempty"`
	FailCalls   int `json:"fail,omitempty"`
	// FreezeAnswers holds back all answers, including notices, until it is cleared.
	FreezeAnswers bool `json:"freeze,omitempty"`
}

// RunRecord is one operation that actually ran. Times are in milliseconds since 1970; EndMS is zero while it runs.
type RunRecord struct {
	Request model.RequestID `json:"request"`
	Attempt int             `json:"attempt"`
	StartMS int64           `json:"start_ms"`
	EndMS   int64           `json:"end_ms,omitempty"`
}

// History is the record of what actually ran, regardless of the answers.
type History struct {
	Runs []RunRecord `json:"runs"`
	// PeakInUse is the largest number of slots in use at a time.
	PeakInUse int `json:"peak_in_use"`
	// OpenCalls is the number of HTTP calls in progress, PeakCalls its maximum; each holds one connection.
	OpenCalls int `json:"calls"`
	PeakCalls int `json:"peak_calls"`
	// LeftMS is the time of the leaving notice; 0 if there was none.
	LeftMS int64 `json:"left_ms,omitempty"`
}

// Kind implements kernel.Message.
func (History) Kind() string { return "executor_history" }

type (
	historyQuery struct{}
	setFaults    Faults
	leave        struct{}
	done         struct{}
)

// Kind implements kernel.Message.
func (historyQuery) Kind() string { return "executor_history_query" }

// Kind implements kernel.Message.
func (setFaults) Kind() string { return "executor_faults" }

// Kind implements kernel.Message.
func (leave) Kind() string { return "executor_leave" }

// Kind implements kernel.Message.
func (done) Kind() string { return "executor_done" }

// pendingAnswer is the answer of an operation that has run. It is sent after its delay, at the end of a freeze or with
// its partner of a swap.
type pendingAnswer struct {
	env    kernel.Envelope
	answer answer
}

// consume reports whether a counted fault applies to the present call, and counts it down.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// respond sends an answer subject to the current faults, or holds it back.
func (s *Executor) respond(h pendingAnswer) {
	switch {
	case s.faults.FreezeAnswers:
		s.frozenAnswers = append(s.frozenAnswers, h)
	case consume(&s.faults.DropAnswers):
		s.closeCall()
		h.env.Fail(&host.AbortError{})
	case consume(&s.faults.TruncateAnswers):
		h.answer.Body = h.answer.Body[:len(h.answer.Body)/2]
		s.reply(h)
	case s.pendingSwap != nil:
		other := *s.pendingSwap
		s.pendingSwap = nil
		h.answer, other.answer = other.answer, h.answer
		s.reply(h)
		s.reply(other)
	case s.faults.SwapAnswers > 0 && s.inUse > 0:
		s.faults.SwapAnswers--
		s.pendingSwap = &h
	default:
		s.reply(h)
	}
}

func (s *Executor) reply(h pendingAnswer) {
	s.closeCall()
	h.env.Reply(h.answer)
}

func (s *Executor) closeCall() { s.history.OpenCalls-- }

func (s *Executor) openCall() {
	s.history.OpenCalls++
	s.history.PeakCalls = max(s.history.PeakCalls, s.history.OpenCalls)
}

// handleControl processes calls of the control interface.
func (s *Executor) handleControl(e kernel.Envelope) {
	switch m := e.Body.(type) {
	case historyQuery:
		out := s.history
		out.Runs = append([]RunRecord(nil), s.history.Runs...)
		e.Reply(out)
	case setFaults:
		s.faults = Faults(m)
		s.unfreeze()
		e.Reply(done{})
	case leave:
		s.notice.Revision++
		s.notice.Leaving = true
		s.history.LeftMS = time.Now().UnixMilli()
		s.answerWatchers()
		e.Reply(done{})
	}
}

// unfreeze sends the answers that a freeze has held back, unless the freeze continues.
func (s *Executor) unfreeze() {
	if s.faults.FreezeAnswers {
		return
	}
	waiting := s.frozenAnswers
	s.frozenAnswers = nil
	for _, h := range waiting {
		s.respond(h)
	}
	s.answerWatchers()
}

// answerWatchers sends a changed notice to all open watches.
func (s *Executor) answerWatchers() {
	if s.faults.FreezeAnswers {
		return
	}
	kept := s.watchers[:0]
	for _, w := range s.watchers {
		if w.after == s.notice.Revision {
			kept = append(kept, w)
			continue
		}
		s.closeCall()
		w.env.Reply(s.notice)
	}
	s.watchers = kept
}

func (s *Executor) routes() []host.Route {
	return []host.Route{
		host.JSONRoute(executor.PathExecute, func(c executor.Call) kernel.Message { return call(c) }),
		host.JSONRoute(executor.PathNotice, func(q executor.NoticeQuery) kernel.Message { return noticeQuery(q) }),
		host.JSONRoute(PathHistory, func(struct{}) kernel.Message { return historyQuery{} }),
		host.JSONRoute(PathFaults, func(f Faults) kernel.Message { return setFaults(f) }),
		host.JSONRoute(PathLeave, func(struct{}) kernel.Message { return leave{} }),
	}
}
