package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/recordlimit"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// queryTimeout bounds a query to the holder for the state of a job, so that time is left to read the store instead.
const queryTimeout = 700 * time.Millisecond

// lookupDone is the result of reading the state of a job from the store.
type lookupDone struct {
	env     kernel.Envelope
	id      workload.JobID
	state   workload.State
	failure *failure.Error
}

// cancelDone is the result of an attempt to store a cancellation.
type cancelDone struct {
	env       kernel.Envelope
	id        workload.JobID
	caller    workload.Caller
	deadline  time.Time
	mayRelay  bool
	startedAt time.Time
	// unknown is set if the job is not stored, mayMark if a tombstone may be stored for it.
	unknown, mayMark bool
	failure          *failure.Error
}

// Kind implements kernel.Message.
func (lookupDone) Kind() string { return "intake_looked" }

// Kind implements kernel.Message.
func (cancelDone) Kind() string { return "intake_cancelled" }

// read answers a call for the state of a job or the length of a queue.
func (s *Service) read(c *kernel.Context, m message.ReadCall, e kernel.Envelope) {
	a, f := s.admit(&m.ClientCall)
	if f != nil {
		s.refuse(e, "read", a.subpath, f)
		return
	}
	if a.subpath == "" {
		s.readQueue(c, a.route.Name, e)
		return
	}
	id, f := a.jobID()
	if f != nil {
		s.refuse(e, "read", a.subpath, f)
		return
	}
	deadline, config, caller := m.Deadline.Add(-replyMargin), s.config, a.caller
	s.askHolder(c, message.StateQuery{ID: id}, queryTimeout, func(r kernel.Message, err error) {
		if state, ok := r.(message.StateReply); err == nil && ok && state.State != "" {
			if !mayAccess(config, caller, state.Owner) {
				s.refuse(e, "read", id, foreignJob())
				return
			}
			e.Reply(message.StateReply{State: state.State})
			return
		}
		// The holder does not know the job or does not answer: the state comes from the store.
		s.metrics.CountEvent("state_from_store", 1)
		c.Spawn(func(ctx context.Context) kernel.Message {
			ctx, cancel := context.WithDeadline(ctx, deadline)
			defer cancel()
			state, f := s.readStoredState(ctx, id, config, caller)
			return lookupDone{env: e, id: id, state: state, failure: f}
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

// foreignJob is the failure of a call about a job of another account. The caller gets the answer for a job that does not
// exist; only the log shows the difference.
func foreignJob() *failure.Error {
	return failure.New(failure.JobGone, "the job belongs to another account")
}

func noJob() *failure.Error { return failure.New(failure.JobGone, "no such job") }

// readStoredState reads the state of a job from the store. A job with recorded progress but no recorded end is running.
func (s *Service) readStoredState(ctx context.Context, id workload.JobID, config *workload.Config, caller workload.Caller) (workload.State, *failure.Error) {
	var missing *metastore.NotFoundError
	item, err := s.store.Get(ctx, records.JobKey(id))
	switch {
	case errors.As(err, &missing):
		return "", noJob()
	case err == nil && !mayAccess(config, caller, decodeOwner(&item)):
		return "", foreignJob()
	case err != nil:
		return "", failure.New(failure.StoreUnavailable, "%v", err)
	}
	item, err = s.store.Get(ctx, records.ProgressKey(id))
	switch {
	case errors.As(err, &missing):
		return workload.StateQueued, nil
	case err != nil:
		return "", failure.New(failure.StoreUnavailable, "%v", err)
	}
	p, err := records.Decode[workload.Progress](item.Key, item.Value)
	switch {
	case err != nil:
		return "", failure.New(failure.Internal, "%v", err)
	case p.State.Final():
		return p.State, nil
	default:
		return workload.StateRunning, nil
	}
}

func (s *Service) handleLookupDone(_ *kernel.Context, m lookupDone) {
	if m.failure != nil {
		s.refuse(m.env, "read", m.id, m.failure)
		return
	}
	m.env.Reply(message.StateReply{State: m.state})
}

// cancel stores a cancellation and notifies the holder.
func (s *Service) cancel(c *kernel.Context, m message.CancelCall, e kernel.Envelope) {
	a, f := s.admit(&m.ClientCall)
	if f != nil {
		s.refuse(e, "cancel", a.subpath, f)
		return
	}
	id, f := a.jobID()
	if f != nil {
		s.refuse(e, "cancel", a.subpath, f)
		return
	}
	if f := s.limitRecords(a.caller.Account, recordlimit.Cancel, 1); f != nil {
		s.refuse(e, "cancel", id, f)
		return
	}
	s.storeCancel(c, cancelDone{env: e, id: id, caller: a.caller, deadline: m.Deadline.Add(-replyMargin), mayRelay: true})
}

// storeCancel stores a cancellation. out holds the call and receives the result.
func (s *Service) storeCancel(c *kernel.Context, out cancelDone) {
	out.startedAt = time.Now()
	config := s.config
	if !s.storeAvailable() {
		if !out.mayRelay || !s.relayCancel(c, out) {
			s.refuse(out.env, "cancel", out.id, failure.New(failure.StoreUnavailable, "the store does not answer"))
		}
		return
	}
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithDeadline(ctx, out.deadline)
		defer cancel()
		out.unknown, out.failure = s.recordCancel(ctx, config, out)
		return out
	})
}

// recordCancel stores the cancellation of a job. If the job is not stored, it stores a tombstone, which keeps a submission
// that is still on its way from being accepted, and returns JobGone; without the permission for a tombstone, it stores nothing and
// reports the job as unknown. A job of another account is left unchanged.
func (s *Service) recordCancel(ctx context.Context, config *workload.Config, call cancelDone) (unknown bool, f *failure.Error) {
	var (
		missing *metastore.NotFoundError
		owner   workload.Owner
	)
	item, err := s.store.Get(ctx, records.JobKey(call.id))
	switch {
	case err == nil:
		owner = decodeOwner(&item)
	case errors.As(err, &missing) && !call.mayMark:
		return true, nil
	case errors.As(err, &missing):
		account := call.caller.Account
		_, conflict, f := s.commit(ctx, metastore.Txn{
			Conditions: []metastore.Condition{{Key: records.JobKey(call.id)}},
			Writes: []metastore.Write{{
				Key: records.TombstoneKey(call.id, account), Value: records.Encode(records.Tombstone{Account: account}),
			}},
		}, call.deadline)
		if f != nil {
			return false, f
		}
		if conflict == nil {
			s.metrics.CountEvent("tombstones_stored", 1)
			return false, noJob()
		}
		// The job was stored after it was read.
		owner = storedOwner(conflict, records.JobKey(call.id))
	default:
		return false, failure.New(failure.StoreUnavailable, "%v", err)
	}
	if !mayAccess(config, call.caller, owner) {
		return false, foreignJob()
	}
	_, _, f = s.commit(ctx, metastore.Txn{Writes: []metastore.Write{{Key: records.CancelKey(call.id), Value: []byte("{}")}}}, call.deadline)
	return false, f
}

func (s *Service) handleCancelDone(c *kernel.Context, m cancelDone) {
	if m.unknown {
		if f := s.limitRecords(m.caller.Account, recordlimit.Tombstone, 1); f != nil {
			s.refuse(m.env, "cancel", m.id, f)
			return
		}
		m.unknown, m.mayMark = false, true
		s.storeCancel(c, m)
		return
	}
	if m.failure != nil {
		s.recordUndecided(m.failure)
		if m.mayRelay && m.failure.Reason == failure.StoreUnavailable && s.relayCancel(c, m) {
			return
		}
		s.refuse(m.env, "cancel", m.id, m.failure)
		return
	}
	s.log("cancellation accepted", "job", m.id, "took_ms", time.Since(m.startedAt).Milliseconds())
	m.env.Reply(message.Done{})
	s.notifyHolder(c, message.JobCancelled{ID: m.id})
}

// relayCancel relays a cancellation to a VM that may reach the store; see relay.
func (s *Service) relayCancel(c *kernel.Context, m cancelDone) bool {
	newBody := func(within time.Duration) kernel.Message {
		return message.AcceptCancel{ID: m.id, Account: m.caller.Account, Within: within, KeyHash: m.caller.KeyHash, PublicQueue: m.caller.PublicQueue}
	}
	return s.relay(c, m.deadline, newBody, func(_ string, r kernel.Message, err error) {
		if err != nil {
			s.refuse(m.env, "cancel", m.id, failure.From(err))
			return
		}
		m.env.Reply(r)
	})
}
