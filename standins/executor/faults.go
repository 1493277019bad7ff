package executor

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/executor"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

// Paths of the stand-in's own interface.
const (
	PathHistory = "/standin/history"
	PathFaults  = "/standin/faults"
	PathLeave   = "/standin/leave"
)

// Faults is what the executor does wrong. Each counter is the number of next calls that it applies to.
type Faults struct {
	// LateMS delays every answer after the operation has run, in milliseconds.
	LateMS int64 `json:"late_ms,omitempty"`
	// Cross swaps the answers of pairs of calls that run at the same time.
	Cross int `json:"cross,omitempty"`
	// Truncate shortens answers, Drop closes the connection after the operation has run.
	Truncate int `json:"truncate,omitempty"`
	Drop     int `json:"drop,omitempty"`
	// Refuse answers busy without running, Fail runs and reports a failure.
	Refuse int `json:"refuse,omitempty"`
	Fail   int `json:"fail,omitempty"`
	// Freeze holds back all answers, including notices, until it is cleared.
	Freeze bool `json:"freeze,omitempty"`
}

// RunRecord is one operation that truly ran. End is zero while it runs. Times are in milliseconds since 1970.
type RunRecord struct {
	Request model.RequestID `json:"request"`
	Attempt int             `json:"attempt"`
	StartMS int64           `json:"start_ms"`
	EndMS   int64           `json:"end_ms,omitempty"`
}

// History is what truly happened at the executor.
type History struct {
	Runs      []RunRecord `json:"runs"`
	PeakInUse int         `json:"peak_in_use"`
	// Calls is the number of HTTP calls in progress, PeakCalls its maximum; each holds one connection.
	Calls     int `json:"calls"`
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

// held is an answer that waits for the end of a freeze or for its partner of a swap.
type held struct {
	env    kernel.Envelope
	answer answer
}

func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// respond sends the answer of an operation that has run, with the faults in force.
func (s *State) respond(h held) {
	switch {
	case s.faults.Freeze:
		s.frozen = append(s.frozen, h)
	case take(&s.faults.Drop):
		s.finishCall()
		h.env.Fail(&host.AbortError{})
	case take(&s.faults.Truncate):
		h.answer.Body = h.answer.Body[:len(h.answer.Body)/2]
		s.reply(h)
	case s.swap != nil:
		other := *s.swap
		s.swap = nil
		h.answer, other.answer = other.answer, h.answer
		s.reply(h)
		s.reply(other)
	case s.faults.Cross > 0 && s.inUse > 0:
		s.faults.Cross--
		s.swap = &h
	default:
		s.reply(h)
	}
}

func (s *State) reply(h held) {
	s.finishCall()
	h.env.Reply(h.answer)
}

func (s *State) finishCall() { s.history.Calls-- }

func (s *State) startCall() {
	s.history.Calls++
	s.history.PeakCalls = max(s.history.PeakCalls, s.history.Calls)
}

// control processes the calls of the stand-in's own interface.
func (s *State) control(e kernel.Envelope) {
	switch m := e.Body.(type) {
	case historyQuery:
		out := s.history
		out.Runs = append([]RunRecord(nil), s.history.Runs...)
		e.Reply(out)
	case setFaults:
		s.faults = Faults(m)
		s.thaw()
		e.Reply(done{})
	case leave:
		s.notice.Revision++
		s.notice.Leaving = true
		s.history.LeftMS = time.Now().UnixMilli()
		s.answerWatchers()
		e.Reply(done{})
	}
}

func (s *State) thaw() {
	if s.faults.Freeze {
		return
	}
	waiting := s.frozen
	s.frozen = nil
	for _, h := range waiting {
		s.respond(h)
	}
	s.answerWatchers()
}

// answerWatchers sends a changed notice to all open watches.
func (s *State) answerWatchers() {
	if s.faults.Freeze {
		return
	}
	kept := s.watchers[:0]
	for _, w := range s.watchers {
		if w.after == s.notice.Revision {
			kept = append(kept, w)
			continue
		}
		s.finishCall()
		w.env.Reply(s.notice)
	}
	s.watchers = kept
}

func (s *State) routes() []host.Route {
	return []host.Route{
		host.JSON(executor.PathExecute, func(c executor.Call) kernel.Message { return call(c) }),
		host.JSON(executor.PathNotice, func(q executor.NoticeQuery) kernel.Message { return query(q) }),
		host.JSON(PathHistory, func(struct{}) kernel.Message { return historyQuery{} }),
		host.JSON(PathFaults, func(f Faults) kernel.Message { return setFaults(f) }),
		host.JSON(PathLeave, func(struct{}) kernel.Message { return leave{} }),
	}
}
