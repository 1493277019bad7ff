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

// question is a message that waits for the decision on a transfer or for its end.
type question struct {
	transfer transfer.ID
	kind     string
}

// ask returns the transfer of a message and keeps the envelope until it is answered. It refuses a message
// that this holder cannot answer. An earlier copy of the message is refused, so that copies do not pile up.
func (s *Service) ask(e kernel.Envelope, text string) (transfer.ID, bool) {
	id, err := transfer.ParseID(text)
	switch {
	case err != nil || id.Target != s.domain:
		s.refuse(e, failure.New(failure.Malformed, "transfer %q", text))
		return id, false
	case s.log.partial:
		s.refuse(e, failure.New(failure.StoreUnavailable, "the log of %s was not read", s.domain))
		return id, false
	}
	q := question{transfer: id, kind: e.Body.Kind()}
	if earlier, ok := s.transfers.asking[q]; ok {
		s.refuse(earlier, failure.New(failure.Overloaded, "transfer %s was asked for again", id))
	}
	s.transfers.asking[q] = e
	return id, true
}

// failQuestions ends all messages that wait for an answer.
func (s *Service) failQuestions(f *failure.Error) {
	for q, e := range s.transfers.asking {
		delete(s.transfers.asking, q)
		s.refuse(e, f)
	}
}

// offered decides on a job of another failure domain, unless the transfer has been decided.
func (s *Service) offered(c *kernel.Context, e kernel.Envelope, m message.JobAccept) {
	id, ok := s.ask(e, m.Transfer)
	if !ok {
		return
	}
	now := time.Now()
	j, d := s.consider(m, now)
	actions := s.transfers.target.HandleOffer(id, d, now)
	if len(actions) > 0 && d.Accepted {
		if a, decides := actions[0].(transfer.AppendTarget); decides && a.Record.Decision == d {
			s.add(j)
		}
	}
	s.carryOut(c, actions)
}

func (s *Service) withdrawn(c *kernel.Context, e kernel.Envelope, m message.JobWithdraw) {
	if id, ok := s.ask(e, m.Transfer); ok {
		s.carryOut(c, s.transfers.target.HandleWithdraw(id, time.Now()))
	}
}

func (s *Service) transferDone(c *kernel.Context, e kernel.Envelope, m message.TransferDone) {
	if id, ok := s.ask(e, m.Transfer); ok {
		s.carryOut(c, s.transfers.target.HandleDone(id, time.Now()))
	}
}

// consider returns the decision on an offered job and, if it is accepted, the job that goes on for it.
func (s *Service) consider(m message.JobAccept, now time.Time) (*job, transfer.Decision) {
	if reason, blocked := s.blocked(now); blocked {
		return nil, transfer.Decision{Reason: string(reason)}
	}
	if m.Job.Spec.Domain != "" {
		return nil, transfer.Decision{Reason: failure.Malformed.Code()}
	}
	if f := s.check(m.Job.Spec); f != nil {
		return nil, transfer.Decision{Reason: f.Reason.Code()}
	}
	j := &job{Job: model.Job{
		ID: model.NewJobID(s.domain, uuid.NewString()), Spec: m.Job.Spec, Domain: s.domain,
		State: model.JobQueued, Submitted: m.Job.Submitted, Origin: m.Job.ID,
	}, confirmed: true, since: now, transfers: m.Transfers, lastTransfer: now}
	return j, transfer.Decision{Accepted: true, Job: j.ID}
}

// recordTarget appends a decision with the job that it accepts, or the end of a transfer.
func (s *Service) recordTarget(c *kernel.Context, r transfer.TargetRecord) {
	p := &step{job: s.jobs[r.Decision.Job], target: &r}
	s.appendStep(p, func(durable bool) { s.carryOut(c, s.transfers.target.HandleAppendResult(r, durable, time.Now())) })
}

// takeOver queues an accepted job once its record is durable.
func (s *Service) takeOver(c *kernel.Context, a transfer.Enqueue) {
	j := s.jobs[a.Job]
	if j == nil || j.planned || j.State != model.JobQueued || j.gang != nil {
		return
	}
	s.metrics.CountEvent("transfers_taken_over", 1)
	klog.InfoS("job taken over", "job", j.ID, "account", j.Spec.Account, "origin", j.Origin, "from", a.ID.Source)
	s.enqueue(j)
	s.requestRound(c)
}

// answerSource answers the messages that wait for an action.
func (s *Service) answerSource(a transfer.Action) {
	switch a := a.(type) {
	case transfer.ReplyDecision:
		reply := message.JobAcceptReply{Accepted: a.Decision.Accepted, Job: a.Decision.Job, Reason: a.Decision.Reason}
		s.reply(a.ID, reply, message.JobAccept{}.Kind(), message.JobWithdraw{}.Kind())
	case transfer.ReplyDone:
		s.reply(a.ID, message.Done{}, message.TransferDone{}.Kind())
	case transfer.Defer:
		for _, kind := range []string{message.JobAccept{}.Kind(), message.JobWithdraw{}.Kind()} {
			if e, ok := s.take(question{a.ID, kind}); ok {
				s.refuse(e, failure.New(failure.Overloaded, "transfer %s: %s", a.ID, a.Reason))
			}
		}
	}
}

func (s *Service) reply(id transfer.ID, m kernel.Message, kinds ...string) {
	for _, kind := range kinds {
		if e, ok := s.take(question{id, kind}); ok {
			e.Reply(m)
		}
	}
}

func (s *Service) take(q question) (kernel.Envelope, bool) {
	e, ok := s.transfers.asking[q]
	delete(s.transfers.asking, q)
	return e, ok
}
