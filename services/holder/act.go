package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/runner"
)

const (
	// orderTimeout bounds a start or a stop. An executor answers within a round trip between regions.
	orderTimeout = 900 * time.Millisecond
	// lookMargin is added to the wait of a look.
	lookMargin = 700 * time.Millisecond
	// planPause is the shortest time between two plans, so that the events of a burst are planned together.
	planPause = 5 * time.Millisecond
	// summaryEvery is the time between two summaries in the log.
	summaryEvery = 5 * time.Second
)

type (
	planDue   struct{ inTerm }
	startDone struct {
		inTerm
		order fleet.Start
		clock time.Duration
		err   error
	}
	stopDone struct {
		inTerm
		order fleet.Stop
		clock time.Duration
		err   error
	}
	lookDone struct {
		inTerm
		order  fleet.Look
		sentAt time.Time
		report workload.Report
		err    error
	}
)

// Kind implements kernel.Message.
func (planDue) Kind() string { return "holder_plan_due" }

// Kind implements kernel.Message.
func (startDone) Kind() string { return "holder_start_done" }

// Kind implements kernel.Message.
func (stopDone) Kind() string { return "holder_stop_done" }

// Kind implements kernel.Message.
func (lookDone) Kind() string { return "holder_look_done" }

func (s *Service) handleAction(c *kernel.Context, m kernel.Message) {
	t := s.term
	switch m := m.(type) {
	case planDue:
		t.planSet = false
		s.planNow(c)
	case startDone:
		s.startDone(c, m)
	case stopDone:
		s.stopDone(c, m)
	case lookDone:
		s.lookDone(c, m)
	case paceDone:
		s.paceDone(c, m)
	case adviseDone:
		t.fleet.Advised(time.Now(), m.question, m.advice.Tickets, m.advice.Valid, m.err == nil)
		s.plan(c)
	case saveDone:
		s.saveDone(c, m)
	}
}

// plan asks for a plan soon. Several events share one.
func (s *Service) plan(c *kernel.Context) {
	t := s.term
	if t == nil || !t.loaded() {
		return
	}
	s.planAfter(c, max(0, planPause-time.Since(t.plannedAt)))
}

func (s *Service) planAfter(c *kernel.Context, d time.Duration) {
	t := s.term
	at := time.Now().Add(d)
	if t.planSet {
		if !at.Before(t.planAt) {
			return
		}
		t.planCancel()
	}
	t.planSet, t.planAt = true, at
	t.planCancel = c.After(d, planDue{inTerm{t.number}})
}

// planNow carries out what the scheduler asks for.
func (s *Service) planNow(c *kernel.Context) {
	t := s.term
	now := time.Now()
	if !t.logged {
		t.logged = true
		g := t.fleet.Gauges(now)
		s.log("records loaded", "term", t.number, "jobs", g.Jobs, "open_jobs", g.OpenJobs, "executors", g.Executors,
			"took_ms", now.Sub(t.begunAt).Milliseconds())
	}
	t.plannedAt = now
	actions, next := t.fleet.Plan(now)
	for _, a := range actions {
		switch a := a.(type) {
		case fleet.Start:
			s.start(c, a)
		case fleet.Stop:
			s.stop(c, a)
		case fleet.Look:
			s.look(c, a)
		case fleet.Pace:
			s.pace(c, a)
		case fleet.Advise:
			s.advise(c, a)
		}
	}
	s.save(c)
	s.observe(now)
	s.planAfter(c, next)
}

// observe updates the counters of the scheduler and, from time to time, its gauges and a summary in the log.
func (s *Service) observe(now time.Time) {
	t := s.term
	for name, n := range t.fleet.Counts() {
		s.metrics.Event("fleet_"+string(name), n)
		t.sums[name] += n
	}
	if now.Sub(t.summaryAt) < summaryEvery {
		return
	}
	t.summaryAt = now
	g := t.fleet.Gauges(now)
	for name, v := range map[string]int{
		"jobs_open": g.OpenJobs, "units_waiting": g.WaitingUnits, "units_active": g.ActiveUnits,
		"executors": g.Executors, "executors_eligible": g.Eligible,
	} {
		s.metrics.Gauge(name, int64(v))
	}
	s.log("fleet summary", "term", t.number, "jobs_open", g.OpenJobs, "units_waiting", g.WaitingUnits, "units_active", g.ActiveUnits,
		"executors", g.Executors, "executors_eligible", g.Eligible, "unverified", t.fleet.Unverified(), "counts", t.sums)
	t.sums = map[fleet.Count]int64{}
}

func (s *Service) start(c *kernel.Context, a fleet.Start) {
	t := s.term
	s.logStart(a)
	s.metrics.Latency("start_wait", a.Waited)
	order := runner.StartOrder{
		Task: a.Task, Run: a.Run, Spec: a.Spec, Saved: a.Saved, Ticket: a.Ticket, Deadline: a.Deadline, Fence: workload.Fence(t.fence),
	}
	to := runner.Target{ID: a.Executor, Address: a.Address}
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		out := startDone{inTerm: inTerm{t.number}, order: a}
		began := time.Now()
		out.clock, out.err = s.runner.Start(ctx, to, order)
		s.metrics.Latency("executor_start", time.Since(began))
		return out
	})
}

func (s *Service) startDone(c *kernel.Context, m startDone) {
	t, now := s.term, time.Now()
	if m.err == nil {
		t.fleet.Started(now, m.order.Executor, m.order.Task, m.order.Run, m.clock)
		return
	}
	why, clock, fenced := result(m.err)
	s.logNotStarted(m, why)
	if fenced {
		s.fenced(c, m.order.Executor)
		return
	}
	t.fleet.NotStarted(now, m.order.Executor, m.order.Task, m.order.Run, why, clock)
	s.plan(c)
}

func (s *Service) stop(c *kernel.Context, a fleet.Stop) {
	t := s.term
	s.logStop(a)
	to := runner.Target{ID: a.Executor, Address: a.Address}
	fence := workload.Fence(t.fence)
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		out := stopDone{inTerm: inTerm{t.number}, order: a}
		out.clock, out.err = s.runner.Stop(ctx, to, a.Task, a.Run, fence)
		return out
	})
}

func (s *Service) stopDone(c *kernel.Context, m stopDone) {
	why, clock, fenced := result(m.err)
	if fenced {
		s.fenced(c, m.order.Executor)
		return
	}
	if m.err == nil {
		clock = m.clock
	}
	// A run number that the executor calls old has ended there.
	done := m.err == nil || why == fleet.CallOldRun
	s.term.fleet.StopAnswered(time.Now(), m.order.Executor, m.order.Task, m.order.Run, done, clock)
	s.plan(c)
}

func (s *Service) look(c *kernel.Context, a fleet.Look) {
	t := s.term
	to := runner.Target{ID: a.Executor, Address: a.Address}
	order := runner.HoldOrder{Deadline: a.Deadline, Fence: workload.Fence(t.fence), SeenUpTo: a.SeenUpTo, Wait: a.Wait}
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, a.Wait+lookMargin)
		defer cancel()
		out := lookDone{inTerm: inTerm{t.number}, order: a, sentAt: time.Now()}
		out.report, out.err = s.runner.Hold(ctx, to, order)
		s.metrics.Latency("executor_look", time.Since(out.sentAt))
		return out
	})
}

func (s *Service) lookDone(c *kernel.Context, m lookDone) {
	t, now := s.term, time.Now()
	if m.err != nil {
		why, _, fenced := result(m.err)
		if fenced {
			s.fenced(c, m.order.Executor)
			return
		}
		s.metrics.Event("look_failed_"+resultName(why), 1)
		t.fleet.LookFailed(now, m.order.Executor, why)
		s.plan(c)
		return
	}
	s.logEnds(m)
	t.fleet.Report(now, m.order.Executor, m.sentAt, m.order, m.report)
	s.plan(c)
}

// fenced ends the term: another holder has shown the executor a higher fence.
func (s *Service) fenced(c *kernel.Context, by workload.ExecutorID) {
	s.metrics.Event("fenced", 1)
	s.endTerm("fenced by an executor", "executor", by)
	s.publishHolder(c)
}

// result translates the error of an order.
func result(err error) (why fleet.CallResult, clock time.Duration, fenced bool) {
	var (
		refused  *runner.RefusedError
		notDone  *runner.NotDoneError
		replaced *runner.ReplacedError
	)
	switch {
	case errors.As(err, &refused):
		switch refused.Reason {
		case runner.Fenced:
			return fleet.CallNotDone, refused.Clock, true
		case runner.OldRun:
			return fleet.CallOldRun, refused.Clock, false
		case runner.Late:
			return fleet.CallLate, refused.Clock, false
		case runner.NoRoom:
			return fleet.CallNoRoom, refused.Clock, false
		case runner.NoTicket:
			return fleet.CallNoTicket, refused.Clock, false
		}
		return fleet.CallNotDone, refused.Clock, false
	case errors.As(err, &replaced):
		return fleet.CallReplaced, 0, false
	case errors.As(err, &notDone):
		switch {
		case notDone.ConnectionRefused:
			return fleet.CallRefused, 0, false
		case notDone.Unhealthy:
			return fleet.CallUnhealthy, 0, false
		}
		return fleet.CallNotDone, 0, false
	default:
		return fleet.CallUnanswered, 0, false
	}
}
