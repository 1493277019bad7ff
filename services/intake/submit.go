package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

const (
	// relayedBudget bounds the work on a call that another VM has passed on.
	relayedBudget = 1200 * time.Millisecond
	// relayMargin is kept of the time of a call to another VM for the way there and back, about 60 ms between regions.
	// With less than minRelay a call is not passed on.
	relayMargin = 100 * time.Millisecond
	minRelay    = 2 * relayMargin
	// relayTimeout bounds a call to another VM.
	relayTimeout = 1500 * time.Millisecond
	// nudgeTimeout bounds the message that tells the holder of news; its watch brings them too.
	nudgeTimeout = 500 * time.Millisecond
	// answerMargin is kept of a client's deadline for the way back of the answer.
	answerMargin = 250 * time.Millisecond
	// storeRetry is the delay before a call that the store refused is repeated.
	storeRetry = 60 * time.Millisecond
	// silenceMemory is how long the store counts as unreachable after it left a job undecided. Clients that are refused at
	// once come back; those that wait in vain have used up their time.
	silenceMemory = time.Second
	// refusalBudget is how long a store that refuses calls is tried before the client is told to come back.
	refusalBudget = 350 * time.Millisecond
)

// stored is the result of an attempt to store a job.
type stored struct {
	env      kernel.Envelope
	job      workload.Job
	deadline time.Time
	revision int64
	// existed is set if the job had been stored before.
	existed bool
	// relay permits to pass the call on to another VM.
	relay   bool
	began   time.Time
	failure *failure.Error
}

// Kind implements kernel.Message.
func (stored) Kind() string { return "intake_stored" }

// submit accepts a job.
func (s *Service) submit(c *kernel.Context, m message.SubmitCall, e kernel.Envelope) {
	a, f := s.admit(&m.ClientCall)
	if f != nil {
		s.refuse(e, "submit", a.rest, f)
		return
	}
	id, f := a.jobOf()
	if f != nil {
		s.refuse(e, "submit", a.rest, f)
		return
	}
	if m.Invalid != "" {
		s.refuse(e, "submit", id, failure.New(failure.Malformed, "%s", m.Invalid))
		return
	}
	job := m.Job
	job.ID, job.Queue, job.Account, job.Route, job.Accepted = id, a.route.Name, a.account, *a.route, time.Now()
	s.accept(c, job, m.Deadline.Add(-answerMargin), e, true)
}

// accept stores a job under a key that depends on its identifier alone, on the condition that there is none, so that a
// repeated call at any VM finds the job of the first.
func (s *Service) accept(c *kernel.Context, job workload.Job, deadline time.Time, e kernel.Envelope, relay bool) {
	out := stored{env: e, job: job, deadline: deadline, relay: relay, began: time.Now()}
	if !s.storeAnswers() {
		// Without a try the job certainly does not run, and the client may come back; after a try it might.
		if !relay || !s.relayJob(c, out) {
			s.refuse(e, "submit", job.ID, failure.New(failure.StoreUnavailable, "the store does not answer; nothing was sent to it"))
		}
		return
	}
	txn := metastore.Txn{
		If:  []metastore.Condition{{Key: records.JobKey(job.ID)}},
		Set: []metastore.Write{{Key: records.JobKey(job.ID), Value: records.Encode(job)}},
	}
	c.Spawn(func(ctx context.Context) kernel.Message {
		out.revision, out.existed, out.failure = s.commit(ctx, txn, deadline)
		return out
	})
}

// storeAnswers reports whether the store answers this VM, as far as is known.
func (s *Service) storeAnswers() bool {
	return s.reachable && time.Since(s.unansweredAt) >= silenceMemory
}

// noteUnanswered remembers when the store left a transaction undecided.
func (s *Service) noteUnanswered(f *failure.Error) {
	if f.Reason == failure.AcceptanceUnknown {
		s.unansweredAt = time.Now()
	}
}

// commit applies a transaction that may be repeated, until it is decided or the deadline comes.
func (s *Service) commit(ctx context.Context, txn metastore.Txn, deadline time.Time) (revision int64, existed bool, f *failure.Error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	began, lost := time.Now(), false
	for {
		revision, err := s.store.Commit(ctx, txn)
		var (
			conflict *metastore.ConflictError
			notDone  *metastore.NotDoneError
		)
		switch {
		case err == nil:
			return revision, false, nil
		case errors.As(err, &conflict):
			return revisionOf(conflict), true, nil
		case errors.As(err, &notDone):
			s.metrics.Retry(failure.RetryStoreUnavailable)
			if !lost && time.Since(began) > refusalBudget {
				return 0, false, failure.New(failure.StoreUnavailable, "%v", err)
			}
		default:
			// The transaction may have been applied, or may be later, so that the job must not be called refused.
			s.metrics.Retry(failure.RetryStoreAnswerLost)
			lost = true
		}
		select {
		case <-time.After(storeRetry):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			if lost {
				return 0, false, failure.New(failure.AcceptanceUnknown, "%v", err)
			}
			return 0, false, failure.New(failure.StoreUnavailable, "%v", err)
		}
	}
}

func revisionOf(e *metastore.ConflictError) int64 {
	for i := range e.Items {
		if e.Items[i].Created > 0 {
			return e.Items[i].Created
		}
	}
	return 0
}

// stored answers a submission.
func (s *Service) stored(c *kernel.Context, m stored) {
	if m.failure != nil {
		s.noteUnanswered(m.failure)
		if m.relay && m.failure.Reason == failure.StoreUnavailable && s.relayJob(c, m) {
			return
		}
		s.refuse(m.env, "submit", m.job.ID, m.failure)
		return
	}
	s.log("job accepted", "job", m.job.ID, "queue", m.job.Queue, "account", m.job.Account, "revision", m.revision, "repeated", m.existed,
		"took_ms", time.Since(m.began).Milliseconds())
	s.metrics.Event("jobs_accepted", 1)
	m.env.Reply(message.SubmitReply{})
	if !m.existed {
		s.nudge(c, message.JobStored{Job: m.job, Revision: m.revision})
	}
}

// nudge tells the holder of news that its watch will bring later.
func (s *Service) nudge(c *kernel.Context, m kernel.Message) {
	s.askHolder(c, m, nudgeTimeout, func(_ kernel.Message, err error) {
		if err != nil {
			s.metrics.Event("nudge_failed", 1)
		}
	})
}

// askHolder sends a message to the holder, on this VM or another.
func (s *Service) askHolder(c *kernel.Context, m kernel.Message, timeout time.Duration, done func(kernel.Message, error)) {
	switch {
	case s.holder.Self:
		c.Request(names.Holder, m, done)
	case s.holder.Address != "":
		c.Request(names.Relay, message.RelayCall{Address: s.holder.Address, To: names.Holder, Body: m, Timeout: timeout}, done)
	default:
		done(nil, failure.New(failure.NoHolder, "no holder known"))
	}
}

// relayedDeadline returns the deadline of a call that another VM has passed on, which needs the answer within a time.
func relayedDeadline(within time.Duration) time.Time {
	return time.Now().Add(min(relayedBudget, within))
}

// relayJob passes a submission on to a VM that may reach the store; false if there is none, or not enough time.
func (s *Service) relayJob(c *kernel.Context, m stored) bool {
	body := func(within time.Duration) kernel.Message { return message.AcceptJob{Job: m.job, Within: within} }
	return s.relay(c, m.deadline, body, func(address string, r kernel.Message, err error) {
		if err == nil {
			s.log("job accepted", "job", m.job.ID, "queue", m.job.Queue, "account", m.job.Account, "through", address,
				"took_ms", time.Since(m.began).Milliseconds())
			m.env.Reply(r)
			return
		}
		f := failure.From(err)
		switch {
		case f.Outcome == failure.NotRun && (f.Reason == failure.NoHolder || f.Reason == failure.StoreUnavailable):
			f = failure.New(failure.StoreUnavailable, "%s", f.Detail)
		default:
			f = failure.New(failure.AcceptanceUnknown, "%s", f.Detail)
		}
		s.refuse(m.env, "submit", m.job.ID, f)
	})
}

// relay passes a call on to the intake of a VM that may reach the store; false if there is none, or not enough time. body
// returns the call, whose answer is needed within a time; done gets the VM's address and its answer.
func (s *Service) relay(
	c *kernel.Context, deadline time.Time, body func(within time.Duration) kernel.Message, done func(address string, r kernel.Message, err error),
) bool {
	address, left := s.relayTarget(), time.Until(deadline)
	if address == "" || left < minRelay {
		return false
	}
	s.metrics.Retry(failure.RetryForward)
	call := message.RelayCall{Address: address, To: names.Intake, Body: body(left - relayMargin), Timeout: min(relayTimeout, left)}
	c.Request(names.Relay, call, func(r kernel.Message, err error) { done(address, r, err) })
	return true
}

// relayTarget returns the VM that calls are passed on to: the holder, which reaches the store if any VM does, or a VM
// of the settings.
func (s *Service) relayTarget() string {
	if s.holder.Address != "" && !s.holder.Self {
		return s.holder.Address
	}
	if len(s.settings.Peers) > 0 {
		return s.settings.Peers[0]
	}
	return ""
}
