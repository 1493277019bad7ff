package scheduler

import (
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/transfer"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// transferRequest identifies a message that awaits the decision on a transfer or the end of one.
type transferRequest struct {
	transfer transfer.ID
	kind     string
}

// registerRequest parses the transfer of a message and keeps the envelope until the reply. It refuses a message that
// this holder cannot answer. An earlier copy of the message is refused, so that copies do not accumulate.
func (s *Service) registerRequest(e kernel.Envelope, text string) (transfer.ID, bool) {
	id, err := transfer.ParseID(text)
	switch {
	case err != nil || id.Target != s.domain:
		s.refuse(e, failure.New(failure.Malformed, "transfer %q", text))
		return id, false
	case s.journal.logUnread:
		s.refuse(e, failure.New(failure.StoreUnavailable, "the log of %s was not read", s.domain))
		return id, false
	}
	key := transferRequest{transfer: id, kind: e.Body.Kind()}
	if earlier, ok := s.transfers.pendingRequests[key]; ok {
		s.refuse(earlier, failure.New(failure.Overloaded, "transfer %s was asked for again", id))
	}
	s.transfers.pendingRequests[key] = e
	return id, true
}

// failTransferRequests fails all messages that await a reply.
func (s *Service) failTransferRequests(f *failure.Error) {
	for key, e := range s.transfers.pendingRequests {
		delete(s.transfers.pendingRequests, key)
		s.refuse(e, f)
	}
}

// handleOffer decides on a job that another failure domain offers, unless its transfer has already been decided.
func (s *Service) handleOffer(c *kernel.Context, e kernel.Envelope, m message.JobAccept) {
	id, ok := s.registerRequest(e, m.Transfer)
	if !ok {
		return
	}
	now := time.Now()
	j, d := s.decideOffer(m, now)
	actions := s.transfers.target.HandleOffer(id, d, now)
	if len(actions) > 0 && d.Accepted {
		if a, decides := actions[0].(transfer.AppendTarget); decides && a.Record.Decision == d {
			s.addJob(j)
		}
	}
	s.applyTransferActions(c, actions)
}

func (s *Service) handleWithdraw(c *kernel.Context, e kernel.Envelope, m message.JobWithdraw) {
	if id, ok := s.registerRequest(e, m.Transfer); ok {
		s.applyTransferActions(c, s.transfers.target.HandleWithdraw(id, time.Now()))
	}
}

func (s *Service) handleTransferDone(c *kernel.Context, e kernel.Envelope, m message.TransferDone) {
	if id, ok := s.registerRequest(e, m.Transfer); ok {
		s.applyTransferActions(c, s.transfers.target.HandleDone(id, time.Now()))
	}
}

// decideOffer returns the decision on an offered job and, if it is accepted, the successor job.
func (s *Service) decideOffer(m message.JobAccept, now time.Time) (*job, transfer.Decision) {
	if reason, blocked := s.startsBlocked(now); blocked {
		return nil, transfer.Decision{Reason: string(reason)}
	}
	if m.Job.Spec.Domain != "" {
		return nil, transfer.Decision{Reason: failure.Malformed.Code()}
	}
	if f := s.checkSubmission(m.Job.Spec); f != nil {
		return nil, transfer.Decision{Reason: f.Reason.Code()}
	}
	j := &job{Job: model.Job{
		ID: model.NewJobID(s.domain, uuid.NewString()), Spec: m.Job.Spec, Domain: s.domain,
		State: model.JobQueued, Submitted: m.Job.Submitted, Origin: m.Job.ID,
	}, confirmed: true, queuedSince: now, transfers: m.Transfers, lastTransfer: now}
	return j, transfer.Decision{Accepted: true, Job: j.ID}
}

// appendTargetStep appends a decision with the job that it accepts, or the end of a transfer.
func (s *Service) appendTargetStep(c *kernel.Context, r transfer.TargetRecord) {
	step := &transferStep{job: s.jobs[r.Decision.Job], target: &r}
	s.appendStep(step, func(durable bool) {
		s.applyTransferActions(c, s.transfers.target.HandleAppendResult(r, durable, time.Now()))
	})
}

// enqueueAccepted queues an accepted job once its record is durable.
func (s *Service) enqueueAccepted(c *kernel.Context, a transfer.Enqueue) {
	j := s.jobs[a.Job]
	if j == nil || j.inPlanner || j.State != model.JobQueued || j.gang != nil {
		return
	}
	s.metrics.CountEvent("transfers_taken_over", 1)
	klog.InfoS("transferred job queued", "job", j.ID, "account", j.Spec.Account, "origin", j.Origin, "from", a.ID.Source)
	s.enqueue(j)
	s.requestRound(c)
}

// replyToSource replies to the messages that await an action of the target's state machine.
func (s *Service) replyToSource(a transfer.Action) {
	switch a := a.(type) {
	case transfer.ReplyDecision:
		reply := message.JobAcceptReply{Accepted: a.Decision.Accepted, Job: a.Decision.Job, Reason: a.Decision.Reason}
		s.replyToRequests(a.ID, reply, message.JobAccept{}.Kind(), message.JobWithdraw{}.Kind())
	case transfer.ReplyDone:
		s.replyToRequests(a.ID, message.Done{}, message.TransferDone{}.Kind())
	case transfer.Defer:
		for _, kind := range []string{message.JobAccept{}.Kind(), message.JobWithdraw{}.Kind()} {
			if e, ok := s.takeRequest(transferRequest{a.ID, kind}); ok {
				s.refuse(e, failure.New(failure.Overloaded, "transfer %s: %s", a.ID, a.Reason))
			}
		}
	}
}

func (s *Service) replyToRequests(id transfer.ID, m kernel.Message, kinds ...string) {
	for _, kind := range kinds {
		if e, ok := s.takeRequest(transferRequest{id, kind}); ok {
			e.Reply(m)
		}
	}
}

func (s *Service) takeRequest(key transferRequest) (kernel.Envelope, bool) {
	e, ok := s.transfers.pendingRequests[key]
	delete(s.transfers.pendingRequests, key)
	return e, ok
}
