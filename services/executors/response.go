package executors

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/route"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/executor"
	"github.com/verbenaflow/verbenaflow/platform/httpjson"
)

// Names of counted events.
const (
	eventCrossed = "executor_answers_crossed"
	eventDropped = "executor_answers_dropped"
)

// handleCallDone handles the end of an exchange with an executor. The response that arrived may belong to
// another call.
func (s *Service) handleCallDone(c *kernel.Context, m callDone) {
	s.activeCalls--
	var notSent *httpjson.NotSentError
	var busy *executor.BusyError
	switch {
	case errors.As(m.err, &notSent):
		s.table.Release(m.id, true, 0, time.Now())
		s.failNotSent(m.call, failure.New(failure.NoExecutor, "%v", m.err))
	case errors.As(m.err, &busy):
		s.table.Release(m.id, false, 0, time.Now())
		s.failNotSent(m.call, failure.New(failure.ExecutorBusy, "%v", m.err))
	case m.err != nil:
		s.table.Release(m.id, true, m.took, time.Now())
		s.handleLostResponse(c, m.call, failure.New(failure.ExecutorLost, "%v", m.err))
	default:
		s.matchResponse(c, m)
	}
	s.startQueued(c)
}

// matchResponse delivers a response to the call that it belongs to, whichever connection it arrived on.
func (s *Service) matchResponse(c *kernel.Context, m callDone) {
	got := route.Call{Request: m.response.Request, Attempt: m.response.Attempt}
	complete := m.response.Size == len(m.response.Body)
	result := route.MatchResponse(m.call, got, complete, func(k route.Call) bool {
		p, ok := s.calls[k]
		return ok && p.sent
	})
	// A crossed response, which belongs to another call, is complete and shows that the executor works. Only a dropped
	// response counts as a failure of the executor.
	s.table.Release(m.id, result == route.MatchNone, m.took, time.Now())
	switch result {
	case route.MatchNone:
		s.metrics.CountEvent(eventDropped, 1)
	case route.MatchOtherCall:
		s.metrics.CountEvent(eventCrossed, 1)
		s.deliver(got, m.response)
	case route.MatchCarrier:
		s.deliver(got, m.response)
		return
	}
	s.handleLostResponse(c, m.call, failure.New(failure.ResponseInvalid, "the response belongs to another call or is truncated"))
}

// deliver completes a call with its own complete response.
func (s *Service) deliver(key route.Call, r executor.Response) {
	done := message.AttemptDone{Ran: true}
	if r.Failed {
		done.Failure = failure.New(failure.ExecutorFailed, "%s", r.Body)
	} else {
		done.Response = model.Response{Request: r.Request, Attempt: r.Attempt, Body: r.Body}
	}
	s.completeCall(key, done)
}

func (s *Service) failNotSent(key route.Call, f *failure.Error) {
	p, ok := s.calls[key]
	if !ok {
		return
	}
	delete(s.calls, key)
	p.env.Reply(message.AttemptDone{Executor: p.executorID, Failure: s.metrics.CountRefusal(f)})
}

// handleLostResponse handles the end of an exchange that did not bring the response of its call. A call that may not be
// repeated keeps waiting until its deadline, because its response may still arrive on the connection of another call.
func (s *Service) handleLostResponse(c *kernel.Context, key route.Call, f *failure.Error) {
	p, ok := s.calls[key]
	if !ok {
		return
	}
	if wait := time.Until(p.attempt.Request.Deadline); !p.attempt.Request.Repeatable && s.activeCalls > 0 && wait > 0 {
		c.SendAfter(wait, responseDue{key})
		return
	}
	s.completeCall(key, message.AttemptDone{Failure: f})
}

func (s *Service) failUnanswered(key route.Call) {
	s.completeCall(key, message.AttemptDone{Failure: failure.New(failure.ExecutorLost, "no answer before the deadline")})
}

// completeCall replies to an attempt of which bytes may have been sent.
func (s *Service) completeCall(key route.Call, done message.AttemptDone) {
	p, ok := s.calls[key]
	if !ok {
		return
	}
	delete(s.calls, key)
	done.Sent, done.Executor, done.Took = true, p.executorID, time.Since(p.started)
	p.env.Reply(done)
}
