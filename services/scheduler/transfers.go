package scheduler

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/transfer"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// transfers holds the transfers from and to the own failure domain.
type transfers struct {
	source *transfer.Source
	target *transfer.Target
	// asking holds the latest message of each kind that waits for the decision on a transfer.
	asking map[question]kernel.Envelope
	// tick is the time of the timer that is set.
	tick time.Time
	// offerFrom is the time before which no transfer begins.
	offerFrom time.Time
}

func newTransfers(d model.FailureDomain) transfers {
	return transfers{
		source: transfer.NewSource(d), target: transfer.NewTarget(d), asking: make(map[question]kernel.Envelope),
	}
}

type transferDue struct {
	epoch model.Epoch
	at    time.Time
}

// Kind implements kernel.Message.
func (transferDue) Kind() string { return "transfer_due" }

// elsewhere reports whether the job may run, or runs, in another failure domain.
func (j *job) elsewhere() bool {
	return j.State == model.JobTransferring || j.State == model.JobMoved
}

// carryOut applies the actions of the state machines of transfers.
func (s *Service) carryOut(c *kernel.Context, actions []transfer.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case transfer.AppendSource:
			s.recordSource(c, a.Record)
		case transfer.Offer:
			s.offer(c, a)
		case transfer.Withdraw:
			s.withdraw(c, a)
		case transfer.Confirm:
			s.confirmDecision(c, a.ID)
		case transfer.DecisionDurable:
			s.transferEnded(c, a)
		case transfer.AppendTarget:
			s.recordTarget(c, a.Record)
		case transfer.Enqueue:
			s.takeOver(c, a)
		case transfer.ReplyDecision, transfer.Defer, transfer.ReplyDone:
			s.answerSource(a)
		}
	}
	s.planTransferTick(c)
}

// planTransferTick sets the timer of the next repeated message or append.
func (s *Service) planTransferTick(c *kernel.Context) {
	at := s.transfers.source.Deadline()
	if t := s.transfers.target.Deadline(); at.IsZero() || !t.IsZero() && t.Before(at) {
		at = t
	}
	if at.IsZero() || at.Equal(s.transfers.tick) {
		return
	}
	s.transfers.tick = at
	c.SendAfter(time.Until(at), transferDue{epoch: s.epoch, at: at})
}

// transferDue repeats messages and appends. A timer that a later one has replaced does nothing.
func (s *Service) transferDue(c *kernel.Context, m transferDue) {
	if m.epoch != s.epoch || !m.at.Equal(s.transfers.tick) {
		return
	}
	now := time.Now()
	s.transfers.tick = time.Time{}
	s.carryOut(c, append(s.transfers.source.Tick(now), s.transfers.target.Tick(now)...))
}

// replaySteps passes the steps of the log to the state machines.
func (s *Service) replaySteps(steps []transferRecord) {
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

// resumeTransfers gives the replayed jobs the state that their transfers call for, because a snapshot may hold a
// step that is newer than the records of its job after it. It returns the messages of the open transfers.
func (s *Service) resumeTransfers(now time.Time) []transfer.Action {
	var messages []transfer.Action
	for _, a := range s.transfers.source.Resume(now) {
		e, durable := a.(transfer.DecisionDurable)
		if !durable {
			messages = append(messages, a)
		} else if j := s.jobs[e.Job]; j != nil && j.State == model.JobTransferring {
			s.applyDecision(j, e.Decision)
		}
	}
	for id, j := range s.jobs {
		if _, open := s.transfers.source.UndecidedTransfer(id); open && j.State == model.JobQueued && j.gang == nil {
			s.setState(j, model.JobTransferring)
		}
	}
	return messages
}

// transferSteps returns the state of all transfers for a snapshot, which holds the jobs as well.
func (s *Service) transferSteps() []*step {
	var out []*step
	for _, r := range s.transfers.source.Records() {
		out = append(out, &step{source: &r})
	}
	for _, r := range s.transfers.target.Records() {
		out = append(out, &step{target: &r})
	}
	return out
}

// appendStep records a step and runs done once it is in the log or an append of it has failed.
func (s *Service) appendStep(p *step, done func(durable bool)) {
	s.changed(p)
	await(s, []*step{p}, func(f *failure.Error) { done(f == nil) })
}
