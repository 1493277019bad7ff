package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// queryTimeout bounds a question to the holder, so that time is left to read the store.
const queryTimeout = 700 * time.Millisecond

// looked is what the store says of a job.
type looked struct {
	env     kernel.Envelope
	id      workload.JobID
	state   workload.State
	failure *failure.Error
}

// cancelled is the result of an attempt to store a cancellation.
type cancelled struct {
	env      kernel.Envelope
	id       workload.JobID
	deadline time.Time
	relay    bool
	began    time.Time
	failure  *failure.Error
}

// Kind implements kernel.Message.
func (looked) Kind() string { return "intake_looked" }

// Kind implements kernel.Message.
func (cancelled) Kind() string { return "intake_cancelled" }

// read answers for a job or a queue.
func (s *Service) read(c *kernel.Context, m message.ReadCall, e kernel.Envelope) {
	a, f := s.admit(&m.ClientCall)
	if f != nil {
		s.refuse(e, "read", a.rest, f)
		return
	}
	if a.rest == "" {
		s.readQueue(c, a.route.Name, e)
		return
	}
	id, f := a.jobOf()
	if f != nil {
		s.refuse(e, "read", a.rest, f)
		return
	}
	deadline := m.Deadline.Add(-answerMargin)
	s.askHolder(c, message.StateQuery{ID: id}, queryTimeout, func(r kernel.Message, err error) {
		if state, ok := r.(message.StateReply); err == nil && ok && state.State != "" {
			e.Reply(state)
			return
		}
		// The holder does not know the job or does not answer: the store decides.
		s.metrics.Event("state_from_store", 1)
		c.Spawn(func(ctx context.Context) kernel.Message {
			ctx, cancel := context.WithDeadline(ctx, deadline)
			defer cancel()
			state, f := s.lookUp(ctx, id)
			return looked{env: e, id: id, state: state, failure: f}
		})
	})
}

func (s *Service) readQueue(c *kernel.Context, q workload.Queue, e kernel.Envelope) {
	s.askHolder(c, message.WaitingQuery{Queue: q}, relayTimeout, func(r kernel.Message, err error) {
		if err != nil {
			s.refuse(e, "read_queue", q, failure.New(failure.NoHolder, "%v", err))
			return
		}
		e.Reply(r)
	})
}

// lookUp reads the state of a job from the store. A job whose end is not recorded counts as running once it has begun.
func (s *Service) lookUp(ctx context.Context, id workload.JobID) (workload.State, *failure.Error) {
	var missing *metastore.NotFoundError
	item, err := s.store.Get(ctx, records.ProgressKey(id))
	switch {
	case err == nil:
		p, err := records.Decode[workload.Progress](item.Key, item.Value)
		if err != nil {
			return "", failure.New(failure.Internal, "%v", err)
		}
		if p.State.Final() {
			return p.State, nil
		}
		return workload.StateRunning, nil
	case !errors.As(err, &missing):
		return "", failure.New(failure.StoreUnavailable, "%v", err)
	}
	_, err = s.store.Get(ctx, records.JobKey(id))
	switch {
	case err == nil:
		return workload.StateQueued, nil
	case errors.As(err, &missing):
		return "", failure.New(failure.JobGone, "no such job")
	default:
		return "", failure.New(failure.StoreUnavailable, "%v", err)
	}
}

func (s *Service) looked(_ *kernel.Context, m looked) {
	if m.failure != nil {
		s.refuse(m.env, "read", m.id, m.failure)
		return
	}
	m.env.Reply(message.StateReply{State: m.state})
}

// cancel stores a cancellation and tells the holder.
func (s *Service) cancel(c *kernel.Context, m message.CancelCall, e kernel.Envelope) {
	a, f := s.admit(&m.ClientCall)
	if f != nil {
		s.refuse(e, "cancel", a.rest, f)
		return
	}
	id, f := a.jobOf()
	if f != nil {
		s.refuse(e, "cancel", a.rest, f)
		return
	}
	s.storeCancel(c, id, m.Deadline.Add(-answerMargin), e, true)
}

func (s *Service) storeCancel(c *kernel.Context, id workload.JobID, deadline time.Time, e kernel.Envelope, relay bool) {
	out := cancelled{env: e, id: id, deadline: deadline, relay: relay, began: time.Now()}
	if !s.storeAnswers() {
		if !relay || !s.relayCancel(c, out) {
			s.refuse(e, "cancel", id, failure.New(failure.StoreUnavailable, "the store does not answer"))
		}
		return
	}
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		_, err := s.store.Get(ctx, records.JobKey(id))
		var missing *metastore.NotFoundError
		switch {
		case errors.As(err, &missing):
			out.failure = failure.New(failure.JobGone, "no such job")
			return out
		case err != nil:
			out.failure = failure.New(failure.StoreUnavailable, "%v", err)
			return out
		}
		txn := metastore.Txn{Set: []metastore.Write{{Key: records.CancelKey(id), Value: []byte("{}")}}}
		_, _, out.failure = s.commit(ctx, txn, deadline)
		return out
	})
}

func (s *Service) cancelled(c *kernel.Context, m cancelled) {
	if m.failure != nil {
		s.noteUnanswered(m.failure)
		if m.relay && m.failure.Reason == failure.StoreUnavailable && s.relayCancel(c, m) {
			return
		}
		s.refuse(m.env, "cancel", m.id, m.failure)
		return
	}
	s.log("cancellation accepted", "job", m.id, "took_ms", time.Since(m.began).Milliseconds())
	m.env.Reply(message.Done{})
	s.nudge(c, message.JobCancelled{ID: m.id})
}

// relayCancel passes a cancellation on to a VM that may reach the store; false if there is none, or not enough time.
func (s *Service) relayCancel(c *kernel.Context, m cancelled) bool {
	body := func(within time.Duration) kernel.Message { return message.AcceptCancel{ID: m.id, Within: within} }
	return s.relay(c, m.deadline, body, func(_ string, r kernel.Message, err error) {
		if err != nil {
			s.refuse(m.env, "cancel", m.id, failure.From(err))
			return
		}
		m.env.Reply(r)
	})
}
