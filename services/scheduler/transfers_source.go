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
	// transferTimeout bounds one message of a transfer. The state machine repeats it after 2 s or later.
	transferTimeout = 2 * time.Second
	// cancelRetry is the delay before a cancellation is passed on again.
	cancelRetry = 2 * time.Second
)

type passCancelDue struct {
	epoch model.Epoch
	job   model.JobID
	// to is the job that goes on for it, as far as it is known.
	to model.JobID
}

// Kind implements kernel.Message.
func (passCancelDue) Kind() string { return "pass_cancel_due" }

// beginTransfers hands waiting jobs over. A holder without the whole log does not know which transfers are open.
func (s *Service) beginTransfers(c *kernel.Context, own model.DomainLoad, now time.Time) {
	if s.recovery != nil || s.log.partial || s.log.closed || s.draining || now.Before(s.transfers.offerFrom) {
		return
	}
	if s.config.Config.Version == 0 || len(s.loads) == 0 {
		return
	}
	for _, l := range s.loads {
		if l.Domain == s.domain {
			own.Region = l.Region
		}
	}
	for _, t := range domains.SelectTransfers(own, s.loads, s.movable(), s.transfers.source.UndecidedCount(), now) {
		if j := s.jobs[t.Job]; j != nil {
			s.beginTransfer(c, j, t.Target, now)
			domains.AddExpectedLoad(s.loads, t.Target, j.Spec)
		}
	}
}

// movable returns the waiting jobs that name no failure domain and of which certainly no task runs. Jobs with a key are
// among them, because the moved job keeps the key and leads to its successor.
func (s *Service) movable() []domains.QueuedJob {
	var out []domains.QueuedJob
	for _, j := range s.jobs {
		if j.Spec.Domain != "" || !j.planned || j.gang != nil || j.State != model.JobQueued || j.lapsed {
			continue
		}
		out = append(out, domains.QueuedJob{
			Job: j.ID, Spec: j.Spec, Submitted: j.Submitted, QueuedSince: j.since, Progress: j.progress,
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
	j.planned = false
	delete(s.reserved, j.ID)
	j.transfers++
	s.setState(j, model.JobTransferring)
	s.metrics.CountEvent("transfers_begun", 1)
	klog.InfoS("transfer begun", "job", j.ID, "account", j.Spec.Account, "from", s.domain, "to", to)
	s.carryOut(c, actions)
}

// recordSource changes the job as the step tells and appends both.
func (s *Service) recordSource(c *kernel.Context, r transfer.SourceRecord) {
	j := s.jobs[r.Job]
	if j != nil && r.Phase == transfer.Decided && j.State == model.JobTransferring {
		s.applyDecision(j, r.Decision)
	}
	p := &step{job: j, source: &r}
	if r.Phase == transfer.Closed {
		s.changed(p)
		return
	}
	s.appendStep(p, func(durable bool) { s.carryOut(c, s.transfers.source.HandleAppendResult(r, durable, time.Now())) })
}

// applyDecision ends a job as moved or lets it wait again. It starts once that is durable.
func (s *Service) applyDecision(j *job, d transfer.Decision) {
	now := time.Now()
	j.lastTransfer = now
	if d.Accepted {
		j.MovedTo = d.Job
		s.end(j, model.JobMoved, "", now)
		return
	}
	since := j.since
	s.setState(j, model.JobQueued)
	j.since = since // It has waited all the time.
}

// send passes a message of a transfer to the holder of its target and applies the answer.
func (s *Service) send(c *kernel.Context, id transfer.ID, m kernel.Message, apply func(kernel.Message) []transfer.Action) {
	epoch := s.epoch
	f := message.Forward{
		Domain: id.Target, To: names.Scheduler, Body: m, Deadline: time.Now().Add(transferTimeout), Idempotent: true,
	}
	c.Request(names.Peers, f, func(reply kernel.Message, err error) {
		if err != nil || epoch != s.epoch {
			return // The state machine sends the message again.
		}
		s.carryOut(c, apply(reply))
		s.finishEvent(c)
	})
}

// answered returns the actions of a decision.
func (s *Service) answered(id transfer.ID) func(kernel.Message) []transfer.Action {
	return func(reply kernel.Message) []transfer.Action {
		r, ok := reply.(message.JobAcceptReply)
		if !ok {
			return nil
		}
		return s.transfers.source.HandleDecision(id, transfer.Decision{Accepted: r.Accepted, Job: r.Job, Reason: r.Reason}, time.Now())
	}
}

func (s *Service) offer(c *kernel.Context, a transfer.Offer) {
	j := s.jobs[a.Job]
	if j == nil {
		s.carryOut(c, s.transfers.source.Withdraw(a.Job, time.Now()))
		return
	}
	offered := j.Job
	offered.Placement = nil
	m := message.JobAccept{Transfer: a.ID.String(), Job: offered, Progress: j.progress, Transfers: j.transfers}
	s.send(c, a.ID, m, s.answered(a.ID))
}

func (s *Service) withdraw(c *kernel.Context, a transfer.Withdraw) {
	s.send(c, a.ID, message.JobWithdraw{Transfer: a.ID.String(), Job: a.Job}, s.answered(a.ID))
}

func (s *Service) confirmDecision(c *kernel.Context, id transfer.ID) {
	s.send(c, id, message.TransferDone{Transfer: id.String()}, func(kernel.Message) []transfer.Action {
		return s.transfers.source.HandleConfirmed(id, time.Now())
	})
}

// transferEnded follows a decision that is durable.
func (s *Service) transferEnded(c *kernel.Context, a transfer.DecisionDurable) {
	s.countEnd(a.Decision)
	klog.InfoS("transfer ended", "job", a.Job, "to", a.ID.Target, "accepted", a.Decision.Accepted,
		"successor", a.Decision.Job, "reason", a.Decision.Reason)
	j := s.jobs[a.Job]
	switch {
	case j == nil:
	case j.State == model.JobMoved:
		s.passCancel(c, j, j.MovedTo)
	case j.State != model.JobQueued || j.planned:
	case j.cancelled:
		s.end(j, model.JobCancelled, "", time.Now())
	default:
		s.enqueue(j)
		s.requestRound(c)
	}
}

func (s *Service) countEnd(d transfer.Decision) {
	switch {
	case d.Accepted:
		s.metrics.CountEvent("transfers_accepted", 1)
	case d.Reason == transfer.ReasonWithdrawn:
		s.metrics.CountEvent("transfers_withdrawn", 1)
	default:
		s.metrics.CountEvent("transfers_refused", 1)
	}
}

// cancelTransferring cancels a job whose transfer is undecided. If the target has accepted already, the
// cancellation is passed on.
func (s *Service) cancelTransferring(c *kernel.Context, j *job, now time.Time) {
	j.cancelled = true
	s.changed(j)
	s.carryOut(c, s.transfers.source.Withdraw(j.ID, now))
}

// passCancels continues the cancellations that an earlier holder had not passed on.
func (s *Service) passCancels(c *kernel.Context) {
	for _, id := range s.moved {
		s.passCancel(c, s.jobs[id], s.jobs[id].MovedTo)
	}
}

// passCancel cancels the job that goes on for a moved one, which may have moved again.
func (s *Service) passCancel(c *kernel.Context, j *job, to model.JobID) {
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
		next, done := passedTo(reply, err, to)
		if done {
			j.cancelled = false
			s.changed(j)
			s.finishEvent(c)
			return
		}
		c.SendAfter(cancelRetry, passCancelDue{epoch: epoch, job: j.ID, to: next})
	})
}

// passedTo returns the job that must be cancelled next; done is true if none is left.
func passedTo(reply kernel.Message, err error, to model.JobID) (next model.JobID, done bool) {
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

func (s *Service) passCancelDue(c *kernel.Context, m passCancelDue) {
	if j := s.jobs[m.job]; m.epoch == s.epoch && j != nil {
		s.passCancel(c, j, m.to)
	}
}
