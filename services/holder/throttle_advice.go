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

// adviceTimeout bounds a call to the advisory service. The service needs some time for each executor of a call and
// handles the calls of a VM one after the other.
const adviceTimeout = 2 * time.Second

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
		ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		out := adviceDone{termScoped: termScoped{t.number}, action: a}
		out.advice, out.err = s.advisor.Advise(ctx, step, a.Executors)
		return out
	})
}
