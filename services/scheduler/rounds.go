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
	// roundDelay collects a burst of events into one round.
	roundDelay = 10 * time.Millisecond
	// roundInterval is the interval of periodic rounds while jobs are queued. They are needed without an event, too,
	// because the age of a job changes its position in the queue.
	roundInterval = time.Minute
	// resendDelay is the delay before commands are sent again that a full mailbox has refused.
	resendDelay = 50 * time.Millisecond
	// checkpointTimeout bounds a checkpoint; then the job is stopped without it. The planner may set a shorter bound.
	checkpointTimeout = 10 * time.Second
	// preemptibleGrace and nonPreemptibleGrace are the times for which jobs continue to run after operators have taken
	// their failure domain out of service.
	preemptibleGrace    = 30 * time.Second
	nonPreemptibleGrace = 2 * time.Minute
)

// Timer messages. Those that act on the state of an epoch carry the epoch.
type (
	roundDue         struct{}
	periodicRoundDue struct{ epoch model.Epoch }
	resendDue        struct{}
	probeDue         struct{ epoch model.Epoch }
	evacuationDue    struct {
		epoch model.Epoch
		since time.Time
	}
	gangDeadlineDue struct {
		epoch   model.Epoch
		job     model.JobID
		attempt int
	}
	startRetryDue struct {
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
func (periodicRoundDue) Kind() string { return "queue_age_due" }

// Kind implements kernel.Message.
func (resendDue) Kind() string { return "resend_due" }

// Kind implements kernel.Message.
func (probeDue) Kind() string { return "probe_due" }

// Kind implements kernel.Message.
func (evacuationDue) Kind() string { return "domain_clear_due" }

// Kind implements kernel.Message.
func (gangDeadlineDue) Kind() string { return "gang_due" }

// Kind implements kernel.Message.
func (startRetryDue) Kind() string { return "start_retry_due" }

// Kind implements kernel.Message.
func (healthyDue) Kind() string { return "worker_healthy_due" }

// handleTimer handles timer messages. It returns false for all other messages.
func (s *Service) handleTimer(c *kernel.Context, m kernel.Message) bool {
	switch m := m.(type) {
	case roundDue:
		s.roundPending = false
		s.runRound(c)
	case periodicRoundDue:
		if m.epoch == s.epoch {
			s.runRound(c)
		}
	case leaseReviewDue:
		s.handleLeaseReviewDue(m)
	case partialGangsDue:
		s.handlePartialGangsDue(m)
	case resendDue:
		s.resendPending = false
	case appendRetryDue:
		if m.epoch == s.epoch {
			s.journal.retryPending = false
		}
	case probeDue:
		if m.epoch == s.epoch {
			s.nextProbeAt = time.Time{}
			s.workersChanged = true
			s.requestRound(c)
		}
	case evacuationDue:
		if m.epoch == s.epoch && m.since.Equal(s.domainOutSince) {
			s.evacuateDomain(c)
		}
	case gangDeadlineDue:
		s.handleGangDeadline(c, m)
	case startRetryDue:
		s.handleStartRetry(c, m)
	case healthyDue:
		s.handleHealthyDue(m)
	case loadDue:
		s.handleLoadDue(c, m)
	case transferDue:
		s.handleTransferDue(c, m)
	case forwardCancelDue:
		s.handleForwardCancelDue(c, m)
	default:
		return false
	}
	return true
}

// requestRound schedules a round after roundDelay unless one is pending.
func (s *Service) requestRound(c *kernel.Context) {
	if !s.roundPending && !s.epoch.IsZero() {
		s.roundPending = true
		c.SendAfter(roundDelay, roundDue{})
	}
}

// startsBlocked returns the reason why no task may start now, and false if tasks may start.
func (s *Service) startsBlocked(now time.Time) (model.JobReason, bool) {
	switch {
	case s.config.Config.IsOut(s.domain):
		return model.ReasonDomainOut, true
	case s.config.Config.Version == 0 || !now.Before(s.startsAllowedUntil()):
		return model.ReasonConfigStale, true
	}
	return "", false
}

// startsAllowedUntil returns the local time until which the last confirmation of the configuration permits starts.
func (s *Service) startsAllowedUntil() time.Time { return s.config.Confirmed.Add(config.ValidFor) }

// runRound runs one round of the planner and applies its decisions.
func (s *Service) runRound(c *kernel.Context) {
	if s.epoch.IsZero() || s.recovery != nil {
		return
	}
	defer s.reportGauges()
	now := time.Now()
	if _, blocked := s.startsBlocked(now); blocked || s.draining {
		return
	}
	s.updateWorkers(c, now)
	r := s.planner.Round(now)
	clear(s.hasReservation)
	for _, st := range r.Starts {
		s.startGang(c, st, now)
	}
	for _, p := range r.Preemptions {
		s.hasReservation[p.ForJob] = true
		timeout := checkpointTimeout
		if p.GracePeriod > 0 {
			timeout = p.GracePeriod
		}
		s.preempt(c, p.Job, timeout, now)
	}
	for _, m := range r.Migrations {
		s.hasReservation[m.ForJob] = true
		s.preempt(c, m.Job, s.migrationCheckpointTimeout(m.ForJob), now)
	}
	if r.Incomplete {
		s.requestRound(c)
	}
	s.reportShortfall(r.Shortfall)
	s.scheduleNextRound(c)
}

// scheduleNextRound sets the timer of the next periodic round if jobs are queued.
func (s *Service) scheduleNextRound(c *kernel.Context) {
	if s.cancelRoundTimer != nil {
		s.cancelRoundTimer()
		s.cancelRoundTimer = nil
	}
	for _, n := range s.queuedByAccount {
		if n > 0 {
			s.cancelRoundTimer = c.SendAfter(roundInterval, periodicRoundDue{epoch: s.epoch})
			return
		}
	}
}

// updateWorkers tells the planner which workers are usable, and schedules the next quarantine probe.
func (s *Service) updateWorkers(c *kernel.Context, now time.Time) {
	if !s.workersChanged {
		return
	}
	s.workersChanged = false
	ws := make([]plan.Worker, 0, len(s.workerOrder))
	for _, id := range s.workerOrder {
		w := s.workers[id]
		ws = append(ws, plan.Worker{
			ID: id, Rack: w.rack, Usable: w.reported && s.tracker.Usable(id, now), Cores: w.cores, MemoryMB: w.memoryMB,
		})
	}
	s.planner.SetWorkers(ws)
	s.reportQuarantine()
	if at, waits := s.tracker.NextProbe(now); waits && !at.Equal(s.nextProbeAt) {
		s.nextProbeAt = at
		c.SendAfter(at.Sub(now), probeDue{epoch: s.epoch})
	}
}

// startGang starts a new attempt of a job by holding its tasks on their workers. It requeues the job if that would be
// a second probe of a quarantined worker.
func (s *Service) startGang(c *kernel.Context, st plan.Start, now time.Time) {
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
	s.indexPlacement(j)
	g, actions := gang.New(len(st.Placement), j.progress, now)
	j.gang = g
	s.metrics.CountEvent("gang_starts", 1)
	s.applyActions(j, actions)
	s.updateFromGang(c, j, now)
}

// migrationCheckpointTimeout returns the bound of the checkpoint of a job that is migrated to make room for another.
func (s *Service) migrationCheckpointTimeout(waiting model.JobID) time.Duration {
	if w := s.jobs[waiting]; w != nil && w.Spec.Urgent {
		return plan.UrgentGracePeriod
	}
	return checkpointTimeout
}

// preempt checkpoints a job for at most timeout and stops it, so that another job can start.
func (s *Service) preempt(c *kernel.Context, id model.JobID, timeout time.Duration, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.gang == nil {
		s.planner.Remove(id) // The job occupies no worker, so that the planner would wait for its end forever.
		if j != nil && j.inPlanner {
			s.enqueue(j)
			s.requestRound(c)
		}
		return
	}
	s.checkpointAndStop(c, j, timeout, now)
}

func (s *Service) checkpointAndStop(c *kernel.Context, j *job, timeout time.Duration, now time.Time) {
	s.applyActions(j, j.gang.Preempt(timeout, now))
	if j.State != model.JobPreempting {
		s.setState(j, model.JobPreempting)
	}
	s.updateFromGang(c, j, now)
}

// updateDomainOut aborts starts in progress when operators take the failure domain out of service, and sets the timers
// of the evacuation.
func (s *Service) updateDomainOut(c *kernel.Context) {
	out := s.config.Config.IsOut(s.domain)
	if !out {
		s.domainOutSince = time.Time{}
		return
	}
	if !s.domainOutSince.IsZero() {
		return
	}
	now := time.Now()
	s.domainOutSince = now
	for _, j := range s.jobs {
		if j.gang != nil && j.gang.Starting() {
			s.applyActions(j, j.gang.Cancel(gang.DomainOut, now))
			s.updateFromGang(c, j, now)
		}
	}
	c.SendAfter(preemptibleGrace, evacuationDue{epoch: s.epoch, since: now})
	c.SendAfter(nonPreemptibleGrace, evacuationDue{epoch: s.epoch, since: now})
}

// evacuateDomain checkpoints and stops the running jobs whose grace period in a failure domain that is out of service
// has ended.
func (s *Service) evacuateDomain(c *kernel.Context) {
	now := time.Now()
	all := now.Sub(s.domainOutSince) >= nonPreemptibleGrace
	for _, j := range s.jobs {
		if j.gang != nil && j.gang.Phase() == gang.Running && (all || j.Spec.Preemptible) {
			s.checkpointAndStop(c, j, checkpointTimeout, now)
		}
	}
}
