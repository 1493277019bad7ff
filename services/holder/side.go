package holder

import (
	"context"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/advisor"
	"github.com/verbenaflow/verbenaflow/platform/runner"
)

// adviseTimeout bounds a question to the advisory service, which decides for some time on each executor and handles the
// questions of a VM in turn.
const adviseTimeout = 2 * time.Second

type (
	paceDone struct {
		inTerm
		order fleet.Pace
		err   error
	}
	adviseDone struct {
		inTerm
		question fleet.Advise
		advice   advisor.Advice
		err      error
	}
)

// Kind implements kernel.Message.
func (paceDone) Kind() string { return "holder_pace_done" }

// Kind implements kernel.Message.
func (adviseDone) Kind() string { return "holder_advise_done" }

// pace slows down a task or lets it work again.
func (s *Service) pace(c *kernel.Context, a fleet.Pace) {
	t := s.term
	s.runLine("task paced", "task", a.Task, "run", a.Run, "executor", a.Executor, "percent", a.Percent)
	to := runner.Target{ID: a.Executor, Address: a.Address}
	fence := workload.Fence(t.fence)
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		_, err := s.runner.Pace(ctx, to, a.Task, a.Run, a.Percent, fence)
		return paceDone{inTerm: inTerm{t.number}, order: a, err: err}
	})
}

func (s *Service) paceDone(c *kernel.Context, m paceDone) {
	if m.err == nil {
		return
	}
	why, _, fenced := result(m.err)
	if fenced {
		s.fenced(c, m.order.Executor)
		return
	}
	s.metrics.Event("pace_failed_"+resultName(why), 1)
	s.term.fleet.PaceFailed(m.order)
}

// advise asks the advisory service about a step.
func (s *Service) advise(c *kernel.Context, a fleet.Advise) {
	t := s.term
	if s.advisor == nil {
		s.metrics.Event("advisor_missing", 1)
		t.fleet.Advised(time.Now(), a, nil, 0, false)
		return
	}
	// The service names a step like a task without its index.
	step := a.Step.String()
	step = step[:strings.LastIndexByte(step, '.')]
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, adviseTimeout)
		defer cancel()
		out := adviseDone{inTerm: inTerm{t.number}, question: a}
		out.advice, out.err = s.advisor.Advise(ctx, step, a.Workers)
		return out
	})
}
