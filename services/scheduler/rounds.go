package scheduler

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/config"
	"github.com/verbenaflow/verbenaflow/decisions/gang"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// roundDelay collects the events of a burst into one round.
	roundDelay = 10 * time.Millisecond
	// roundEvery is the interval of rounds without an event while jobs wait, because the age of a job changes
	// its place in the queue.
	roundEvery = time.Minute
	// resendDelay is the delay after commands were refused by a full mailbox.
	resendDelay = 50 * time.Millisecond
	// checkpointBound bounds a checkpoint before the job is stopped anyway, unless the planner grants less.
	checkpointBound = 10 * time.Second
	// preemptibleGrace and othersGrace are the times for which jobs run on in a failure domain that
	// operators have taken out.
	preemptibleGrace = 30 * time.Second
	othersGrace      = 2 * time.Minute
)

// Timers that act on the state of an epoch carry it.
type (
	roundDue  struct{}
	ageDue    struct{ epoch model.Epoch }
	resendDue struct{}
	probeDue  struct{ epoch model.Epoch }
	clearDue  struct {
		epoch model.Epoch
		since time.Time
	}
	gangDue struct {
		epoch   model.Epoch
		job     model.JobID
		attempt int
	}
	retryDue struct {
		epoch model.Epoch
		job   model.JobID
	}
	healthyDue struct {
		epoch   model.Epoch
		job     model.JobID
		attempt int
	}
)

// Kind implements kernel.Message.
func (roundDue) Kind() string { return "round_due" }

// Kind implements kernel.Message.
func (ageDue) Kind() string { return "queue_age_due" }

// Kind implements kernel.Message.
func (resendDue) Kind() string { return "resend_due" }

// Kind implements kernel.Message.
func (probeDue) Kind() string { return "probe_due" }

// Kind implements kernel.Message.
func (clearDue) Kind() string { return "domain_clear_due" }

// Kind implements kernel.Message.
func (gangDue) Kind() string { return "gang_due" }

// Kind implements kernel.Message.
func (retryDue) Kind() string { return "start_retry_due" }

// Kind implements kernel.Message.
func (healthyDue) Kind() string { return "worker_healthy_due" }

// due handles timers. It returns false for other messages.
func (s *Service) due(c *kernel.Context, m kernel.Message) bool {
	switch m := m.(type) {
	case roundDue:
		s.roundPending = false
		s.round(c)
	case ageDue:
		if m.epoch == s.epoch {
			s.round(c)
		}
	case reviewDue:
		s.reviewDue(m)
	case partialDue:
		s.partialDue(m)
	case resendDue:
		s.resendPending = false
	case appendDue:
		if m.epoch == s.epoch {
			s.log.delayed = false
		}
	case probeDue:
		if m.epoch == s.epoch {
			s.probeAt = time.Time{}
			s.workersChanged = true
			s.requestRound(c)
		}
	case clearDue:
		if m.epoch == s.epoch && m.since.Equal(s.outSince) {
			s.clear(c)
		}
	case gangDue:
		s.gangDue(c, m)
	case retryDue:
		s.retryDue(c, m)
	case healthyDue:
		s.healthyDue(m)
	case loadDue:
		s.loadDue(c, m)
	case transferDue:
		s.transferDue(c, m)
	case passCancelDue:
		s.passCancelDue(c, m)
	default:
		return false
	}
	return true
}

// requestRound plans a round for the events of the next moments.
func (s *Service) requestRound(c *kernel.Context) {
	if !s.roundPending && !s.epoch.IsZero() {
		s.roundPending = true
		c.SendAfter(roundDelay, roundDue{})
	}
}

// blocked returns why no task may start now; false if tasks may start.
func (s *Service) blocked(now time.Time) (model.JobReason, bool) {
	switch {
	case s.config.Config.IsOut(s.domain):
		return model.ReasonDomainOut, true
	case s.config.Config.Version == 0 || !now.Before(s.startsUntil()):
		return model.ReasonConfigStale, true
	}
	return "", false
}

// startsUntil returns the local time up to which the confirmed configuration permits new tasks.
func (s *Service) startsUntil() time.Time { return s.config.Confirmed.Add(config.ValidFor) }

// round applies the decisions of the planner.
func (s *Service) round(c *kernel.Context) {
	if s.epoch.IsZero() || s.recovery != nil {
		return
	}
	defer s.reportGauges()
	now := time.Now()
	if _, blocked := s.blocked(now); blocked || s.draining {
		return
	}
	s.updateWorkers(c, now)
	r := s.planner.Round(now)
	clear(s.reserved)
	for _, st := range r.Starts {
		s.start(c, st, now)
	}
	for _, p := range r.Preemptions {
		s.reserved[p.ForJob] = true
		bound := checkpointBound
		if p.GracePeriod > 0 {
			bound = p.GracePeriod
		}
		s.preempt(c, p.Job, bound, now)
	}
	for _, m := range r.Migrations {
		s.reserved[m.ForJob] = true
		s.preempt(c, m.Job, s.moveBound(m.ForJob), now)
	}
	if r.Incomplete {
		s.requestRound(c)
	}
	s.reportShortfall(r.Shortfall)
	s.planNextRound(c)
}

// planNextRound sets the timer of the next round without an event, while jobs wait.
func (s *Service) planNextRound(c *kernel.Context) {
	if s.cancelRound != nil {
		s.cancelRound()
		s.cancelRound = nil
	}
	for _, n := range s.queued {
		if n > 0 {
			s.cancelRound = c.SendAfter(roundEvery, ageDue{epoch: s.epoch})
			return
		}
	}
}

// updateWorkers tells the planner which workers are usable, and plans the next probe.
func (s *Service) updateWorkers(c *kernel.Context, now time.Time) {
	if !s.workersChanged {
		return
	}
	s.workersChanged = false
	ws := make([]plan.Worker, 0, len(s.order))
	for _, id := range s.order {
		w := s.workers[id]
		ws = append(ws, plan.Worker{
			ID: id, Rack: w.rack, Usable: w.reported && s.tracker.Usable(id, now), Cores: w.cores, MemoryMB: w.memoryMB,
		})
	}
	s.planner.SetWorkers(ws)
	s.reportQuarantine()
	if at, waits := s.tracker.NextProbe(now); waits && !at.Equal(s.probeAt) {
		s.probeAt = at
		c.SendAfter(at.Sub(now), probeDue{epoch: s.epoch})
	}
}

// start holds the members of a gang, unless the job would be a second probe of a quarantined worker.
func (s *Service) start(c *kernel.Context, st plan.Start, now time.Time) {
	j := s.jobs[st.Job]
	if j == nil || j.gang != nil || j.State.Final() {
		s.planner.Remove(st.Job)
		return
	}
	for _, slot := range st.Placement {
		if !s.tracker.TryPlace(slot.Worker, j.ID, now) {
			s.tracker.RecordEnd(j.ID, false)
			s.planner.Requeue(j.ID)
			s.workersChanged = true
			s.requestRound(c)
			return
		}
		s.workersChanged = s.workersChanged || !s.tracker.Usable(slot.Worker, now)
	}
	j.Attempt++
	j.Placement = st.Placement
	s.setState(j, model.JobStarting)
	s.bind(j)
	g, actions := gang.New(len(st.Placement), j.progress, now)
	j.gang = g
	s.metrics.CountEvent("gang_starts", 1)
	s.apply(j, actions)
	s.follow(c, j, now)
}

// moveBound returns the bound of the checkpoint of a job that is moved for a waiting one.
func (s *Service) moveBound(waiting model.JobID) time.Duration {
	if w := s.jobs[waiting]; w != nil && w.Spec.Urgent {
		return plan.UrgentGracePeriod
	}
	return checkpointBound
}

// preempt checkpoints a job, for at most bound, and stops it so that another can start.
func (s *Service) preempt(c *kernel.Context, id model.JobID, bound time.Duration, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.gang == nil {
		s.planner.Remove(id) // It occupies nothing, and the planner would wait for its end.
		if j != nil && j.planned {
			s.enqueue(j)
			s.requestRound(c)
		}
		return
	}
	s.checkpoint(c, j, bound, now)
}

func (s *Service) checkpoint(c *kernel.Context, j *job, bound time.Duration, now time.Time) {
	s.apply(j, j.gang.Preempt(bound, now))
	if j.State != model.JobPreempting {
		s.setState(j, model.JobPreempting)
	}
	s.follow(c, j, now)
}

// followDomain aborts starts when operators take the failure domain out, and begins to clear it.
func (s *Service) followDomain(c *kernel.Context) {
	out := s.config.Config.IsOut(s.domain)
	if !out {
		s.outSince = time.Time{}
		return
	}
	if !s.outSince.IsZero() {
		return
	}
	now := time.Now()
	s.outSince = now
	for _, j := range s.jobs {
		if j.gang != nil && j.gang.Starting() {
			s.apply(j, j.gang.Cancel(gang.DomainOut, now))
			s.follow(c, j, now)
		}
	}
	c.SendAfter(preemptibleGrace, clearDue{epoch: s.epoch, since: now})
	c.SendAfter(othersGrace, clearDue{epoch: s.epoch, since: now})
}

// clear checkpoints and stops the jobs of a failure domain that is out whose grace period has ended.
func (s *Service) clear(c *kernel.Context) {
	now := time.Now()
	all := now.Sub(s.outSince) >= othersGrace
	for _, j := range s.jobs {
		if j.gang != nil && j.gang.Phase() == gang.Running && (all || j.Spec.Preemptible) {
			s.checkpoint(c, j, checkpointBound, now)
		}
	}
}
