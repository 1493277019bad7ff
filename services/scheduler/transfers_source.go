package scheduler

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/domains"
	"github.com/verbenaflow/verbenaflow/decisions/transfer"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// transferTimeout bounds one message of a transfer. The state machine repeats the message after at least 2 s.
	transferTimeout = 2 * time.Second
	// cancelRetryDelay is the delay before a cancellation is forwarded again.
	cancelRetryDelay = 2 * time.Second
)

type forwardCancelDue struct {
	epoch model.Epoch
	job   model.JobID
	// to is the last known successor of the job.
	to model.JobID
}

// Kind implements kernel.Message.
func (forwardCancelDue) Kind() string { return "pass_cancel_due" }

// beginTransfers offers queued jobs to other failure domains. A holder that could not read the whole log does nothing,
// because it does not know which transfers are open.
func (s *Service) beginTransfers(c *kernel.Context, own model.DomainLoad, now time.Time) {
	if s.recovery != nil || s.journal.logUnread || s.journal.fenced || s.draining || now.Before(s.transfers.notBefore) {
		return
	}
	if s.config.Config.Version == 0 || len(s.domainLoads) == 0 {
		return
	}
	for _, l := range s.domainLoads {
		if l.Domain == s.domain {
			own.Region = l.Region
		}
	}
	for _, t := range domains.SelectTransfers(own, s.domainLoads, s.transferCandidates(), s.transfers.source.UndecidedCount(), now) {
		if j := s.jobs[t.Job]; j != nil {
			s.beginTransfer(c, j, t.Target, now)
			domains.AddExpectedLoad(s.domainLoads, t.Target, j.Spec)
		}
	}
}

// transferCandidates returns the queued jobs that name no failure domain and of which certainly no task runs. Jobs with
// an idempotency key are included, because the moved job keeps the key and refers to its successor.
func (s *Service) transferCandidates() []domains.QueuedJob {
	var out []domains.QueuedJob
	for _, j := range s.jobs {
		if j.Spec.Domain != "" || !j.inPlanner || j.gang != nil || j.State != model.JobQueued || j.stopUnconfirmed {
			continue
		}
		out = append(out, domains.QueuedJob{
			Job: j.ID, Spec: j.Spec, Submitted: j.Submitted, QueuedSince: j.queuedSince, Progress: j.progress,
			Transfers: j.transfers, LastTransfer: j.lastTransfer,
		})
	}
	return out
}

func (s *Service) beginTransfer(c *kernel.Context, j *job, to model.FailureDomain, now time.Time) {
	actions := s.transfers.source.Begin(j.ID, to, now)
	if len(actions) == 0 {
		return
	}
	s.planner.Remove(j.ID)
	j.inPlanner = false
	delete(s.hasReservation, j.ID)
	j.transfers++
	s.setState(j, model.JobTransferring)
	s.metrics.CountEvent("transfers_begun", 1)
	klog.InfoS("transfer begun", "job", j.ID, "account", j.Spec.Account, "from", s.domain, "to", to)
	s.applyTransferActions(c, actions)
}

// appendSourceStep applies a step of a transfer to its job and appends both to the log.
func (s *Service) appendSourceStep(c *kernel.Context, r transfer.SourceRecord) {
	j := s.jobs[r.Job]
	if j != nil && r.Phase == transfer.Decided && j.State == model.JobTransferring {
		s.applyDecision(j, r.Decision)
	}
	step := &transferStep{job: j, source: &r}
	if r.Phase == transfer.Closed {
		s.markChanged(step)
		return
	}
	s.appendStep(step, func(durable bool) {
		s.applyTransferActions(c, s.transfers.source.HandleAppendResult(r, durable, time.Now()))
	})
}

// applyDecision ends a job as moved or returns it to the queue. A returned job starts only once the decision is
// durable.
func (s *Service) applyDecision(j *job, d transfer.Decision) {
	now := time.Now()
	j.lastTransfer = now
	if d.Accepted {
		j.MovedTo = d.Job
		s.endJob(j, model.JobMoved, "", now)
		return
	}
	since := j.queuedSince
	s.setState(j, model.JobQueued)
	j.queuedSince = since // A refused transfer does not restart the waiting time.
}

// sendToTarget sends a message of a transfer to the holder of its target and applies the reply.
func (s *Service) sendToTarget(c *kernel.Context, id transfer.ID, m kernel.Message, apply func(kernel.Message) []transfer.Action) {
	epoch := s.epoch
	f := message.Forward{
		Domain: id.Target, To: names.Scheduler, Body: m, Deadline: time.Now().Add(transferTimeout), Idempotent: true,
	}
	c.Request(names.Peers, f, func(reply kernel.Message, err error) {
		if err != nil || epoch != s.epoch {
			return // The state machine sends the message again.
		}
		s.applyTransferActions(c, apply(reply))
		s.finishEvent(c)
	})
}

// decisionHandler returns a function that passes the decision in a reply to the state machine of the source.
func (s *Service) decisionHandler(id transfer.ID) func(kernel.Message) []transfer.Action {
	return func(reply kernel.Message) []transfer.Action {
		r, ok := reply.(message.JobAcceptReply)
		if !ok {
			return nil
		}
		return s.transfers.source.HandleDecision(id, transfer.Decision{Accepted: r.Accepted, Job: r.Job, Reason: r.Reason}, time.Now())
	}
}

func (s *Service) sendOffer(c *kernel.Context, a transfer.Offer) {
	j := s.jobs[a.Job]
	if j == nil {
		s.applyTransferActions(c, s.transfers.source.Withdraw(a.Job, time.Now()))
		return
	}
	offered := j.Job
	offered.Placement = nil
	m := message.JobAccept{Transfer: a.ID.String(), Job: offered, Progress: j.progress, Transfers: j.transfers}
	s.sendToTarget(c, a.ID, m, s.decisionHandler(a.ID))
}

func (s *Service) sendWithdraw(c *kernel.Context, a transfer.Withdraw) {
	s.sendToTarget(c, a.ID, message.JobWithdraw{Transfer: a.ID.String(), Job: a.Job}, s.decisionHandler(a.ID))
}

func (s *Service) sendDone(c *kernel.Context, id transfer.ID) {
	s.sendToTarget(c, id, message.TransferDone{Transfer: id.String()}, func(kernel.Message) []transfer.Action {
		return s.transfers.source.HandleConfirmed(id, time.Now())
	})
}

// handleDecisionDurable continues with a job after the decision on its transfer has become durable: a cancellation of a
// moved job is forwarded, a job that the target did not accept is ended if it was cancelled and queued otherwise.
func (s *Service) handleDecisionDurable(c *kernel.Context, a transfer.DecisionDurable) {
	s.countDecision(a.Decision)
	klog.InfoS("transfer decided", "job", a.Job, "to", a.ID.Target, "accepted", a.Decision.Accepted,
		"successor", a.Decision.Job, "reason", a.Decision.Reason)
	j := s.jobs[a.Job]
	switch {
	case j == nil:
	case j.State == model.JobMoved:
		s.forwardCancel(c, j, j.MovedTo)
	case j.State != model.JobQueued || j.inPlanner:
	case j.cancelled:
		s.endJob(j, model.JobCancelled, "", time.Now())
	default:
		s.enqueue(j)
		s.requestRound(c)
	}
}

func (s *Service) countDecision(d transfer.Decision) {
	switch {
	case d.Accepted:
		s.metrics.CountEvent("transfers_accepted", 1)
	case d.Reason == transfer.ReasonWithdrawn:
		s.metrics.CountEvent("transfers_withdrawn", 1)
	default:
		s.metrics.CountEvent("transfers_refused", 1)
	}
}

// cancelTransferring cancels a job whose transfer is undecided. If the target has already accepted it, the cancellation
// is forwarded to the successor.
func (s *Service) cancelTransferring(c *kernel.Context, j *job, now time.Time) {
	j.cancelled = true
	s.markChanged(j)
	s.applyTransferActions(c, s.transfers.source.Withdraw(j.ID, now))
}

// forwardCancels continues the cancellations of moved jobs that an earlier holder has not forwarded completely.
func (s *Service) forwardCancels(c *kernel.Context) {
	for _, id := range s.movedJobs {
		s.forwardCancel(c, s.jobs[id], s.jobs[id].MovedTo)
	}
}

// forwardCancel cancels the successor of a moved job. The successor may have moved in turn.
func (s *Service) forwardCancel(c *kernel.Context, j *job, to model.JobID) {
	if !j.cancelled {
		return
	}
	epoch := s.epoch
	f := message.Forward{
		Domain: to.Domain(), To: names.Scheduler, Idempotent: true, Deadline: time.Now().Add(transferTimeout),
		Body: message.JobCancel{Account: j.Spec.Account, Jobs: []model.JobID{to}},
	}
	c.Request(names.Peers, f, func(reply kernel.Message, err error) {
		if epoch != s.epoch {
			return
		}
		next, done := nextToCancel(reply, err, to)
		if done {
			j.cancelled = false
			s.markChanged(j)
			s.finishEvent(c)
			return
		}
		c.SendAfter(cancelRetryDelay, forwardCancelDue{epoch: epoch, job: j.ID, to: next})
	})
}

// nextToCancel returns the job that must be cancelled next; done is true if there is none.
func nextToCancel(reply kernel.Message, err error, to model.JobID) (next model.JobID, done bool) {
	r, ok := reply.(message.JobsReply)
	switch {
	case err != nil || !ok:
		return to, false
	case len(r.Jobs) == 1 && r.Jobs[0].State == model.JobMoved && r.Jobs[0].MovedTo != "":
		return r.Jobs[0].MovedTo, false
	default:
		return "", true
	}
}

func (s *Service) handleForwardCancelDue(c *kernel.Context, m forwardCancelDue) {
	if j := s.jobs[m.job]; m.epoch == s.epoch && j != nil {
		s.forwardCancel(c, j, m.to)
	}
}
