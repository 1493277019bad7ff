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
	// commandTimeout bounds a stop or throttle command. An executor answers within a round trip between regions.
	commandTimeout = 900 * time.Millisecond
	// startTimeout bounds one attempt to start a run, of which the scheduler makes several. It leaves time for a lost packet
	// to be sent again.
	startTimeout = 350 * time.Millisecond
	// pollMargin is added to the wait of a poll to give the timeout of the call.
	pollMargin = 700 * time.Millisecond
	// minPlanInterval is the shortest time between two planning passes, so that one pass handles a burst of events.
	minPlanInterval = 5 * time.Millisecond
	// summaryInterval is the time between two summaries in the log and updates of the gauges.
	summaryInterval = 5 * time.Second
)

type (
	planDue   struct{ termScoped }
	startDone struct {
		termScoped
		action        fleet.Start
		executorClock time.Duration
		err           error
	}
	stopDone struct {
		termScoped
		action        fleet.Stop
		executorClock time.Duration
		err           error
	}
	pollDone struct {
		termScoped
		action fleet.Poll
		sentAt time.Time
		report workload.Report
		// queryOnly is set if the poll neither renewed the lease nor acknowledged ends.
		queryOnly bool
		err       error
	}
)

// Kind implements kernel.Message.
func (planDue) Kind() string { return "holder_plan_due" }

// Kind implements kernel.Message.
func (startDone) Kind() string { return "holder_start_done" }

// Kind implements kernel.Message.
func (stopDone) Kind() string { return "holder_stop_done" }

// Kind implements kernel.Message.
func (pollDone) Kind() string { return "holder_look_done" }

func (s *Service) handleAction(c *kernel.Context, m kernel.Message) {
	t := s.term
	switch m := m.(type) {
	case planDue:
		t.planScheduled = false
		s.runPlan(c)
	case startDone:
		s.handleStartDone(c, m)
	case stopDone:
		s.handleStopDone(c, m)
	case pollDone:
		s.handlePollDone(c, m)
	case throttleDone:
		s.handleThrottleDone(c, m)
	case adviceDone:
		s.handleAdviceDone(c, m)
	case backlogSaved:
		s.handleBacklogSaved(c, m)
	case saveDone:
		s.handleSaveDone(c, m)
	}
}

// requestPlan schedules a planning pass as soon as minPlanInterval permits. Events in quick succession share a pass.
func (s *Service) requestPlan(c *kernel.Context) {
	t := s.term
	if t == nil || !t.loaded() {
		return
	}
	s.schedulePlan(c, max(0, minPlanInterval-time.Since(t.lastPlanAt)))
}

// schedulePlan schedules a planning pass after d unless an earlier one is scheduled.
func (s *Service) schedulePlan(c *kernel.Context, d time.Duration) {
	t := s.term
	at := time.Now().Add(d)
	if t.planScheduled {
		if !at.Before(t.planAt) {
			return
		}
		t.cancelPlan()
	}
	t.planScheduled, t.planAt = true, at
	t.cancelPlan = c.SendAfter(d, planDue{termScoped{t.number}})
}

// runPlan runs a planning pass of the scheduler and carries out the resulting actions.
func (s *Service) runPlan(c *kernel.Context) {
	t := s.term
	now := time.Now()
	if !t.loadLogged {
		t.loadLogged = true
		g := t.fleet.Gauges(now)
		s.log("records loaded", "term", t.number, "jobs", g.Jobs, "open_jobs", g.OpenJobs, "occurrences_open", g.OpenOccurrences, "units_held", g.HeldUnits,
			"executors", g.Executors, "took_ms", now.Sub(t.startedAt).Milliseconds())
	}
	t.lastPlanAt = now
	t.fleet.SetLeaseAge(now, s.leaseAge())
	actions, next := t.fleet.Plan(now)
	for _, a := range actions {
		switch a := a.(type) {
		case fleet.Start:
			s.startTask(c, a)
		case fleet.Stop:
			s.stopTask(c, a)
		case fleet.Poll:
			s.pollExecutor(c, a)
		case fleet.Throttle:
			s.throttleTask(c, a)
		case fleet.AdviceQuery:
			s.requestAdvice(c, a)
		case fleet.WaitNotice:
			s.logWait(a)
		case fleet.LossNotice:
			s.logLoss(a)
		case fleet.RestartNotice:
			s.logRestart(a)
		case fleet.StaleDeadlineNotice:
			s.logStaleDeadline(a)
		}
	}
	s.save(c)
	s.saveRunTimes(c, now)
	s.saveBacklog(c, now)
	s.flushRunLog(now, false)
	s.updateMetrics(now)
	s.schedulePlan(c, next)
}

// updateMetrics updates the scheduler's counters and, every summaryInterval, its gauges and the summary in the log.
func (s *Service) updateMetrics(now time.Time) {
	t := s.term
	for name, n := range t.fleet.TakeCounters() {
		s.metrics.CountEvent("fleet_"+string(name), n)
		t.summaryCounts[name] += n
	}
	if now.Sub(t.lastSummaryAt) < summaryInterval {
		return
	}
	t.lastSummaryAt = now
	g := t.fleet.Gauges(now)
	for name, v := range map[string]int{
		"jobs_open": g.OpenJobs, "units_waiting": g.WaitingUnits, "units_active": g.ActiveUnits,
		"executors": g.Executors, "executors_eligible": g.Eligible, "occurrences_open": g.OpenOccurrences, "units_held": g.HeldUnits,
		"accepted_bytes": int(g.AcceptedBytes), "accounts_at_backlog_limit": len(s.election.backlog.atLimit),
		"units_at_account_limit": g.UnitsAtLimit, "accounts_at_limit": len(g.AccountsAtLimit), "jobs_excess_open": g.ExcessJobs,
	} {
		s.metrics.SetGauge(name, int64(v))
	}
	s.updateRunTimeGauges()
	s.log("fleet summary", "term", t.number, "jobs_open", g.OpenJobs, "units_waiting", g.WaitingUnits, "units_active", g.ActiveUnits,
		"occurrences_open", g.OpenOccurrences, "units_held", g.HeldUnits,
		"accepted_bytes", g.AcceptedBytes, "executors", g.Executors, "executors_eligible", g.Eligible, "unverified", t.fleet.UnverifiedExecutors(),
		"accounts_at_limit", g.AccountsAtLimit, "jobs_excess", g.ExcessJobs, "counts", t.summaryCounts)
	t.summaryCounts = map[fleet.Counter]int64{}
}

func (s *Service) startTask(c *kernel.Context, a fleet.Start) {
	t := s.term
	s.logStart(a)
	s.metrics.RecordLatency("start_wait", a.Waited)
	command := runner.StartOrder{
		Task: a.Task, Run: a.Run, Spec: a.Spec, Checkpoint: a.Checkpoint, Ticket: a.Ticket, Deadline: a.Deadline, Fence: workload.FencingToken(t.fence),
	}
	to := s.exclusiveOrder(a.Executor, a.Address)
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		out := startDone{termScoped: termScoped{t.number}, action: a}
		start := time.Now()
		out.executorClock, out.err = s.runner.Start(ctx, to, command)
		s.metrics.RecordLatency("executor_start", time.Since(start))
		return out
	})
}

func (s *Service) handleStartDone(c *kernel.Context, m startDone) {
	t, now := s.term, time.Now()
	if m.err == nil {
		t.fleet.Started(now, m.action.Executor, m.action.Task, m.action.Run, m.executorClock)
		return
	}
	result, clock, fenced := classifyError(m.err)
	s.logStartFailed(m, result)
	if fenced {
		s.handleFenced(c, m.action.Executor)
		return
	}
	t.fleet.StartFailed(now, m.action.Executor, m.action.Task, m.action.Run, result, clock)
	s.requestPlan(c)
}

func (s *Service) stopTask(c *kernel.Context, a fleet.Stop) {
	t := s.term
	s.logStop(a)
	to := s.renewalOrder(a.Executor, a.Address)
	fence := workload.FencingToken(t.fence)
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		out := stopDone{termScoped: termScoped{t.number}, action: a}
		out.executorClock, out.err = s.runner.Stop(ctx, to, a.Task, a.Run, fence)
		return out
	})
}

func (s *Service) handleStopDone(c *kernel.Context, m stopDone) {
	result, clock, fenced := classifyError(m.err)
	if fenced {
		s.handleFenced(c, m.action.Executor)
		return
	}
	if m.err == nil {
		clock = m.executorClock
	}
	// If the executor refuses the run number as old, the run has already ended there.
	done := m.err == nil || result == fleet.CallStaleRun
	s.term.fleet.StopAnswered(time.Now(), m.action.Executor, m.action.Task, m.action.Run, done, clock)
	s.requestPlan(c)
}

func (s *Service) pollExecutor(c *kernel.Context, a fleet.Poll) {
	t := s.term
	to := s.renewalOrder(a.Executor, a.Address)
	command := runner.RenewOrder{Deadline: a.Deadline, Fence: workload.FencingToken(t.fence), SeenUpTo: a.AckedThrough, Wait: a.Wait, AnyConnection: a.AnyConnection, CheckpointBytes: s.checkpointBytes()}
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, a.Wait+pollMargin)
		defer cancel()
		out := pollDone{termScoped: termScoped{t.number}, action: a, sentAt: time.Now()}
		out.report, out.queryOnly, out.err = s.runner.RenewLease(ctx, to, command)
		s.metrics.RecordLatency("executor_look", time.Since(out.sentAt))
		return out
	})
}

func (s *Service) handlePollDone(c *kernel.Context, m pollDone) {
	t, now := s.term, time.Now()
	if m.err != nil {
		result, _, fenced := classifyError(m.err)
		if fenced {
			s.handleFenced(c, m.action.Executor)
			return
		}
		s.metrics.CountEvent("look_failed_"+failureName(result), 1)
		t.fleet.PollFailed(now, m.action.Executor, result)
		s.requestPlan(c)
		return
	}
	if m.queryOnly {
		s.metrics.CountEvent("looks_without_renewal", 1)
		m.action.Deadline, m.action.AckedThrough, m.action.QueryOnly = 0, 0, true
	}
	s.logEndedRuns(m)
	s.noteOversizedCheckpoints(m.action.Executor, &m.report)
	t.fleet.Report(now, m.action.Executor, m.sentAt, m.action, m.report)
	s.requestPlan(c)
}

// checkpointBytes returns the part of the memory for checkpoints that the report of one executor may take.
func (s *Service) checkpointBytes() int {
	return int(s.settings.CheckpointMemory) / max(1, s.term.fleet.ExecutorCount())
}

// handleFenced ends the term, because an executor has seen a higher fencing token: there is a newer holder.
func (s *Service) handleFenced(c *kernel.Context, executor workload.ExecutorID) {
	s.metrics.CountEvent("fenced", 1)
	s.endTerm("fenced by an executor", "executor", executor)
	s.publishHolder(c)
}

// classifyError translates the error of a command or a poll into a result for the scheduler.
func classifyError(err error) (result fleet.CallFailure, clock time.Duration, fenced bool) {
	var (
		refused     *runner.RefusedError
		notExecuted *runner.NotExecutedError
		replaced    *runner.ReplacedError
		unknown     *runner.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &refused):
		switch refused.Reason {
		case runner.Fenced:
			return fleet.CallNotExecuted, refused.Clock, true
		case runner.StaleRun:
			return fleet.CallStaleRun, refused.Clock, false
		case runner.DeadlinePassed:
			return fleet.CallDeadlinePassed, refused.Clock, false
		case runner.InsufficientCapacity:
			return fleet.CallInsufficientCapacity, refused.Clock, false
		case runner.InvalidTicket:
			return fleet.CallInvalidTicket, refused.Clock, false
		}
		return fleet.CallNotExecuted, refused.Clock, false
	case errors.As(err, &replaced):
		return fleet.CallWrongExecutor, 0, false
	case errors.As(err, &notExecuted):
		switch {
		case notExecuted.ConnectionRefused:
			return fleet.CallRefused, 0, false
		case notExecuted.NoConnection:
			return fleet.CallNotConnected, 0, false
		case notExecuted.Unhealthy:
			return fleet.CallUnhealthy, 0, false
		}
		return fleet.CallNotExecuted, 0, false
	case errors.As(err, &unknown) && unknown.Proven:
		return fleet.CallUnansweredProven, 0, false
	default:
		return fleet.CallUnanswered, 0, false
	}
}
