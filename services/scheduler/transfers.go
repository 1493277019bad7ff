package scheduler

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/transfer"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// transfers holds the transfers from and to this failure domain.
type transfers struct {
	source *transfer.Source
	target *transfer.Target
	// pendingRequests holds the latest message of each kind that awaits a reply about a transfer.
	pendingRequests map[transferRequest]kernel.Envelope
	// timerAt is the time for which the timer is set.
	timerAt time.Time
	// notBefore is the time before which no transfer begins.
	notBefore time.Time
}

func newTransfers(d model.FailureDomain) transfers {
	return transfers{
		source: transfer.NewSource(d), target: transfer.NewTarget(d), pendingRequests: make(map[transferRequest]kernel.Envelope),
	}
}

type transferDue struct {
	epoch model.Epoch
	at    time.Time
}

// Kind implements kernel.Message.
func (transferDue) Kind() string { return "transfer_due" }

// mayRunElsewhere reports whether the job is being transferred or has moved to another failure domain.
func (j *job) mayRunElsewhere() bool {
	return j.State == model.JobTransferring || j.State == model.JobMoved
}

// applyTransferActions carries out the actions of the transfer state machines.
func (s *Service) applyTransferActions(c *kernel.Context, actions []transfer.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case transfer.AppendSource:
			s.appendSourceStep(c, a.Record)
		case transfer.Offer:
			s.sendOffer(c, a)
		case transfer.Withdraw:
			s.sendWithdraw(c, a)
		case transfer.Confirm:
			s.sendDone(c, a.ID)
		case transfer.DecisionDurable:
			s.handleDecisionDurable(c, a)
		case transfer.AppendTarget:
			s.appendTargetStep(c, a.Record)
		case transfer.Enqueue:
			s.enqueueAccepted(c, a)
		case transfer.ReplyDecision, transfer.Defer, transfer.ReplyDone:
			s.replyToSource(a)
		}
	}
	s.scheduleTransferTimer(c)
}

// scheduleTransferTimer sets the timer of the next message or append that must be repeated.
func (s *Service) scheduleTransferTimer(c *kernel.Context) {
	at := s.transfers.source.Deadline()
	if t := s.transfers.target.Deadline(); at.IsZero() || !t.IsZero() && t.Before(at) {
		at = t
	}
	if at.IsZero() || at.Equal(s.transfers.timerAt) {
		return
	}
	s.transfers.timerAt = at
	c.SendAfter(time.Until(at), transferDue{epoch: s.epoch, at: at})
}

// handleTransferDue repeats messages and appends whose time has come. A timer that was replaced by a later one does
// nothing.
func (s *Service) handleTransferDue(c *kernel.Context, m transferDue) {
	if m.epoch != s.epoch || !m.at.Equal(s.transfers.timerAt) {
		return
	}
	now := time.Now()
	s.transfers.timerAt = time.Time{}
	s.applyTransferActions(c, append(s.transfers.source.Tick(now), s.transfers.target.Tick(now)...))
}

// replayTransferSteps passes the transfer steps of the log to the state machines.
func (s *Service) replayTransferSteps(steps []transferRecord) {
	var sources []transfer.SourceRecord
	var targets []transfer.TargetRecord
	for _, t := range steps {
		if t.Source != nil {
			sources = append(sources, *t.Source)
		}
		if t.Target != nil {
			targets = append(targets, *t.Target)
		}
	}
	s.transfers.source.Replay(sources...)
	s.transfers.target.Replay(targets...)
}

// resumeTransfers sets the state of replayed jobs according to their transfers, because a snapshot may hold a transfer
// step that is newer than the records of its job that follow the snapshot in the log. It returns the actions that
// resend the messages of the open transfers.
func (s *Service) resumeTransfers(now time.Time) []transfer.Action {
	var actions []transfer.Action
	for _, a := range s.transfers.source.Resume(now) {
		decided, durable := a.(transfer.DecisionDurable)
		if !durable {
			actions = append(actions, a)
		} else if j := s.jobs[decided.Job]; j != nil && j.State == model.JobTransferring {
			s.applyDecision(j, decided.Decision)
		}
	}
	for id, j := range s.jobs {
		if _, open := s.transfers.source.UndecidedTransfer(id); open && j.State == model.JobQueued && j.gang == nil {
			s.setState(j, model.JobTransferring)
		}
	}
	return actions
}

// transferSteps returns the state of all transfers for a snapshot. The steps carry no job, because the snapshot holds
// the jobs separately.
func (s *Service) transferSteps() []*transferStep {
	var out []*transferStep
	for _, r := range s.transfers.source.Records() {
		out = append(out, &transferStep{source: &r})
	}
	for _, r := range s.transfers.target.Records() {
		out = append(out, &transferStep{target: &r})
	}
	return out
}

// appendStep records a step and calls done once it is in the log or an append of it has failed.
func (s *Service) appendStep(step *transferStep, done func(durable bool)) {
	s.markChanged(step)
	awaitDurable(s, []*transferStep{step}, func(f *failure.Error) { done(f == nil) })
}
