package holder

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/advisor"
)

type (
	throttleDone struct {
		termScoped
		action fleet.Throttle
		err    error
	}
	adviceDone struct {
		termScoped
		action fleet.AdviceQuery
		advice advisor.Advice
		took   time.Duration
		err    error
	}
)

// Kind implements kernel.Message.
func (throttleDone) Kind() string { return "holder_pace_done" }

// Kind implements kernel.Message.
func (adviceDone) Kind() string { return "holder_advise_done" }

// throttleTask limits a task to a percentage of its speed; 100 lifts the limit.
func (s *Service) throttleTask(c *kernel.Context, a fleet.Throttle) {
	t := s.term
	s.runLine("task speed change ordered", a.Task, a.Run, a.Executor, "percent", strconv.Itoa(a.SpeedPercent), "")
	to := s.renewalOrder(a.Executor, a.Address)
	fence := workload.FencingToken(t.fence)
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		_, err := s.runner.Throttle(ctx, to, a.Task, a.Run, a.SpeedPercent, fence)
		return throttleDone{termScoped: termScoped{t.number}, action: a, err: err}
	})
}

func (s *Service) handleThrottleDone(c *kernel.Context, m throttleDone) {
	if m.err == nil {
		return
	}
	result, _, fenced := classifyError(m.err)
	if fenced {
		s.handleFenced(c, m.action.Executor)
		return
	}
	s.metrics.CountEvent("pace_failed_"+failureName(result), 1)
	s.term.fleet.ThrottleFailed(m.action)
}

// requestAdvice asks the advisory service on which executors tasks of a step may start.
func (s *Service) requestAdvice(c *kernel.Context, a fleet.AdviceQuery) {
	t := s.term
	if s.advisor == nil {
		s.metrics.CountEvent("advisor_missing", 1)
		t.fleet.AdviceReceived(time.Now(), a, nil, 0, false)
		return
	}
	// The advisory service identifies a step by the text of a task reference without the index.
	step := a.Step.String()
	step = step[:strings.LastIndexByte(step, '.')]
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, a.Timeout)
		defer cancel()
		out := adviceDone{termScoped: termScoped{t.number}, action: a}
		start := time.Now()
		out.advice, out.err = s.advisor.Advise(ctx, step, a.Executors)
		out.took = time.Since(start)
		s.metrics.RecordLatency("advice", out.took)
		return out
	})
}

func (s *Service) handleAdviceDone(c *kernel.Context, m adviceDone) {
	if m.err != nil {
		s.metrics.CountEvent("advice_failed", 1)
		s.log("advice not received; asking again", "step", m.action.Step, "executors", len(m.action.Executors), "took_ms", m.took.Milliseconds(),
			"timeout_ms", m.action.Timeout.Milliseconds(), "error", m.err.Error())
	}
	s.term.fleet.AdviceReceived(time.Now(), m.action, m.advice.Tickets, m.advice.ValidFor, m.err == nil)
	s.requestPlan(c)
}
