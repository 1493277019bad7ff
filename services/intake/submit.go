package intake

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/accountlimit"
	"github.com/verbenaflow/verbenaflow/decisions/recordlimit"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

const (
	// relayedCallTimeout bounds the handling of a call that another VM has relayed.
	relayedCallTimeout = 1200 * time.Millisecond
	// relayRoundTrip is the part of a relayed call's time that is reserved for the round trip, which takes about 60 ms
	// between regions. A call with less than minRelayTime left is not relayed.
	relayRoundTrip = 100 * time.Millisecond
	minRelayTime   = relayRoundTrip + minCommitTime
	// relayTimeout bounds a relayed call, and a query to the holder for the length of a queue.
	relayTimeout = 1500 * time.Millisecond
	// notifyTimeout bounds a notification of the holder. A lost notification does no harm, because the holder also
	// watches the store.
	notifyTimeout = 500 * time.Millisecond
	// replyMargin is the part of a client's deadline that is reserved for sending the reply.
	replyMargin = 250 * time.Millisecond
	// storeRetryDelay is the delay before a transaction that the store refused or did not answer is repeated.
	storeRetryDelay = 60 * time.Millisecond
	// storeHoldOff is how long the store counts as unavailable after a transaction without a known outcome. Clients that
	// are refused immediately can retry within their deadline; those that wait for the store in vain cannot.
	storeHoldOff = time.Second
	// maxRefusalTime is how long a transaction is repeated while the store refuses it, before the call is relayed or
	// fails.
	maxRefusalTime = 350 * time.Millisecond
	// minCommitTime is the time before the deadline that a transaction needs if it is repeated or sent by another VM. A
	// store that is busy may refuse it so late that its outcome would be unknown, although all attempts before were
	// certainly refused.
	minCommitTime = 120 * time.Millisecond
)

// storeDone is the result of an attempt to store a job.
type storeDone struct {
	env      kernel.Envelope
	job      workload.Job
	deadline time.Time
	revision int64
	// existed is set if the job was already stored.
	existed bool
	// lookup is set if the call was only looked up, as one that is refused if the job is not stored.
	lookup bool
	// mayRelay is set if the call may be relayed to another VM.
	mayRelay  bool
	startedAt time.Time
	failure   *failure.Error
}

// Kind implements kernel.Message.
func (storeDone) Kind() string { return "intake_stored" }

// submit validates and accepts a job.
func (s *Service) submit(c *kernel.Context, m message.SubmitCall, e kernel.Envelope) {
	a, f := s.admit(&m.ClientCall)
	if f != nil {
		s.refuse(e, "submit", a.subpath, f)
		return
	}
	id, f := a.jobID()
	if f != nil {
		s.refuse(e, "submit", a.subpath, f)
		return
	}
	if m.Invalid != "" {
		s.refuse(e, "submit", id, failure.New(failure.Malformed, "%s", m.Invalid))
		return
	}
	job := m.Job
	job.ID, job.Queue, job.Account, job.Route, job.Accepted = id, a.route.Name, a.caller.Account, *a.route, time.Now()
	job.KeyHash = a.caller.KeyHash
	deadline := m.Deadline.Add(-replyMargin)
	if t := s.config.Account(a.caller.Account); t != nil {
		job.AccountLimit = t.Limit
	}
	if step, never := accountlimit.NeverFits(job.AccountLimit, job.Steps); never {
		s.refuseUnlessStored(c, job, deadline, e,
			failure.New(failure.AccountLimit, "step %d needs more than account %s may have running", step, job.Account))
		return
	}
	s.accept(c, job, deadline, e, true)
}

// accept stores a job on the condition that no job with its identifier is stored, and that its account has not cancelled
// it: a submission may be read or applied seconds after its caller gave up and cancelled it through another VM. The job's
// key depends on the identifier alone, so that a repeated call at any VM finds the job of the first call.
func (s *Service) accept(c *kernel.Context, job workload.Job, deadline time.Time, e kernel.Envelope, mayRelay bool) {
	value, err := records.EncodeJob(&job, metastore.MaxValueBytes)
	if err != nil {
		s.refuseUnlessStored(c, job, deadline, e, failure.New(failure.TooLarge, "%v", err))
		return
	}
	if f := s.limitBacklog(job.Account); f != nil {
		s.refuseUnlessStored(c, job, deadline, e, f)
		return
	}
	// A repeated submission writes no record, but it is a write call of the store, too. The VM that took a relayed call counts
	// it, whether it stores the job itself or relays it.
	if mayRelay {
		if f := s.limitRecords(job.Account, recordlimit.Job, recordlimit.Units(len(value))); f != nil {
			s.refuseUnlessStored(c, job, deadline, e, f)
			return
		}
	}
	out := storeDone{env: e, job: job, deadline: deadline, mayRelay: mayRelay, startedAt: time.Now()}
	if !s.storeAvailable() {
		// As nothing is sent to the store, the job certainly does not run, so that the client may retry. After an attempt
		// to store it, the job might run.
		if !mayRelay || !s.relayJob(c, out) {
			s.refuse(e, "submit", job.ID, failure.New(failure.StoreUnavailable, "the store does not answer; nothing was sent to it"))
		}
		return
	}
	txn := metastore.Txn{
		Conditions: []metastore.Condition{{Key: records.JobKey(job.ID)}, {Key: records.TombstoneKey(job.ID, job.Account)}},
		Writes:     []metastore.Write{{Key: records.JobKey(job.ID), Value: value}},
	}
	config, caller := s.config, callerOf(&job)
	c.Spawn(func(ctx context.Context) kernel.Message {
		var conflict *metastore.ConflictError
		out.revision, conflict, out.failure = s.commit(ctx, txn, deadline)
		if conflict != nil {
			out.revision = createdRevision(conflict, records.JobKey(job.ID))
			if out.existed = out.revision > 0; !out.existed {
				// An earlier attempt without an answer can't be applied either, because its conditions do not hold.
				out.failure = failure.New(failure.JobGone, "the job was cancelled before it was stored")
			} else if !mayAccess(config, caller, storedOwner(conflict, records.JobKey(job.ID))) {
				out.failure = keyReused()
			}
		}
		return out
	})
}

// callerOf returns the caller who submits a job.
func callerOf(job *workload.Job) workload.Caller {
	caller := workload.Caller{Account: job.Account, KeyHash: job.KeyHash}
	if job.Route.Public {
		caller.PublicQueue = job.Queue
	}
	return caller
}

func keyReused() *failure.Error {
	return failure.New(failure.KeyReused, "a job of another account has this identifier")
}

// storeAvailable reports whether the store is expected to answer this VM.
func (s *Service) storeAvailable() bool {
	return s.storeReachable && time.Since(s.undecidedAt) >= storeHoldOff
}

// recordUndecided records the time of a transaction without a known outcome.
func (s *Service) recordUndecided(f *failure.Error) {
	if f.Reason == failure.AcceptanceUnknown {
		s.undecidedAt = time.Now()
	}
}

// commit repeats an idempotent transaction until its outcome is known or the deadline passes. It returns the conflict if
// a condition does not hold, which an earlier attempt without an answer may have caused.
func (s *Service) commit(ctx context.Context, txn metastore.Txn, deadline time.Time) (revision int64, conflict *metastore.ConflictError, f *failure.Error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	start, answerLost := time.Now(), false
	for {
		revision, err := s.store.Commit(ctx, txn)
		var (
			notExecuted *metastore.NotExecutedError
			rejected    *metastore.RejectedError
		)
		switch {
		case err == nil:
			return revision, nil, nil
		case errors.As(err, &conflict):
			return 0, conflict, nil
		case errors.As(err, &rejected):
			s.log("the store refuses a transaction", "status", rejected.Status, "bytes", metastore.EncodedTxnBytes(txn), "error", err.Error())
			if answerLost {
				return 0, nil, failure.New(failure.AcceptanceUnknown, "%v", err)
			}
			return 0, nil, failure.New(failure.TooLarge, "the store refuses the record of the call: %v", err)
		case errors.As(err, &notExecuted):
			s.metrics.CountRetry(failure.RetryStoreUnavailable)
			outOfTime := time.Since(start) > maxRefusalTime || time.Until(deadline) < storeRetryDelay+minCommitTime
			if !answerLost && outOfTime {
				return 0, nil, failure.New(failure.StoreUnavailable, "%v", err)
			}
		default:
			// The transaction may have been applied or may still be applied later, so that the call must not fail as refused.
			s.metrics.CountRetry(failure.RetryStoreAnswerLost)
			answerLost = true
		}
		select {
		case <-time.After(storeRetryDelay):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			if answerLost {
				return 0, nil, failure.New(failure.AcceptanceUnknown, "%v", err)
			}
			return 0, nil, failure.New(failure.StoreUnavailable, "%v", err)
		}
	}
}

// createdRevision returns the revision at which an entry of a conflict was created; 0 if there is no such entry.
func createdRevision(e *metastore.ConflictError, key string) int64 {
	for i := range e.Items {
		if e.Items[i].Key == key {
			return e.Items[i].Created
		}
	}
	return 0
}

// storedOwner returns the owner of the job that a conflict shows under a key, or the zero value if it cannot be decoded.
func storedOwner(e *metastore.ConflictError, key string) workload.Owner {
	for i := range e.Items {
		if e.Items[i].Key == key {
			return decodeOwner(&e.Items[i])
		}
	}
	return workload.Owner{}
}

// decodeOwner returns the owner of a stored job, or the zero value if it cannot be decoded.
func decodeOwner(item *metastore.Item) workload.Owner {
	job, err := records.Decode[workload.Job](item.Key, item.Value)
	if err != nil {
		return workload.Owner{}
	}
	return job.Owner()
}

// mayAccess is Config.MayAccess for a configuration that may not be known yet, as for a call that another VM has relayed.
func mayAccess(c *workload.Config, caller workload.Caller, o workload.Owner) bool {
	return c == nil || c.MayAccess(caller, o)
}

// handleStoreDone replies to a submission.
func (s *Service) handleStoreDone(c *kernel.Context, m storeDone) {
	if m.lookup {
		s.lookupEnded(m.job.Account)
	}
	if m.failure != nil {
		s.recordUndecided(m.failure)
		if m.mayRelay && m.failure.Reason == failure.StoreUnavailable && s.relayJob(c, m) {
			return
		}
		s.refuse(m.env, "submit", m.job.ID, m.failure)
		return
	}
	s.log("job accepted", "job", m.job.ID, "queue", m.job.Queue, "account", m.job.Account, "revision", m.revision, "repeated", m.existed,
		"took_ms", time.Since(m.startedAt).Milliseconds())
	s.metrics.CountEvent("jobs_accepted", 1)
	m.env.Reply(message.SubmitReply{})
	if !m.existed {
		s.notifyHolder(c, message.JobStored{Job: m.job, Revision: m.revision})
	}
}

// notifyHolder sends the holder a change that its watch of the store delivers later.
func (s *Service) notifyHolder(c *kernel.Context, m kernel.Message) {
	s.askHolder(c, m, notifyTimeout, func(_ kernel.Message, err error) {
		if err != nil {
			s.metrics.CountEvent("nudge_failed", 1)
		}
	})
}

// askHolder sends a message to the holder, which may be this VM or another.
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

// relayedDeadline returns the local deadline of a relayed call whose sender needs the reply within the given time.
func relayedDeadline(within time.Duration) time.Time {
	return time.Now().Add(min(relayedCallTimeout, within))
}

// relayJob relays a submission to a VM that may reach the store; see relay.
func (s *Service) relayJob(c *kernel.Context, m storeDone) bool {
	newBody := func(within time.Duration) kernel.Message { return message.AcceptJob{Job: m.job, Within: within} }
	return s.relay(c, m.deadline, newBody, func(address string, r kernel.Message, err error) {
		if err == nil {
			s.log("job accepted", "job", m.job.ID, "queue", m.job.Queue, "account", m.job.Account, "through", address,
				"took_ms", time.Since(m.startedAt).Milliseconds())
			m.env.Reply(r)
			return
		}
		f := failure.FromDelivery(err)
		switch {
		case f.Outcome == failure.NotRun && f.Reason.HTTPStatus() == http.StatusServiceUnavailable:
			f = failure.New(failure.StoreUnavailable, "%s", f.Error())
		case f.Outcome == failure.NotRun && (f.Reason == failure.JobGone || f.Reason == failure.TooLarge || f.Reason == failure.KeyReused || f.Reason == failure.BacklogFull):
		default:
			f = failure.New(failure.AcceptanceUnknown, "%s", f.Detail)
		}
		s.refuse(m.env, "submit", m.job.ID, f)
	})
}

// relay sends a call to the intake of a VM that may reach the store. It returns false if there is no such VM or not
// enough time. newBody returns the message for the time within which the reply is needed; done gets the VM's address
// and its reply.
func (s *Service) relay(
	c *kernel.Context, deadline time.Time, newBody func(within time.Duration) kernel.Message, done func(address string, r kernel.Message, err error),
) bool {
	address, remaining := s.relayTarget(), time.Until(deadline)
	if address == "" || remaining < minRelayTime {
		return false
	}
	s.metrics.CountRetry(failure.RetryForward)
	call := message.RelayCall{Address: address, To: names.Intake, Body: newBody(remaining - relayRoundTrip), Timeout: min(relayTimeout, remaining)}
	c.Request(names.Relay, call, func(r kernel.Message, err error) { done(address, r, err) })
	return true
}

// relayTarget returns the address of the VM that calls are relayed to: the holder if it is another VM, because it
// reaches the store if any VM does, or else the first peer of the settings. It is empty if there is neither.
func (s *Service) relayTarget() string {
	if s.holder.Address != "" && !s.holder.Self {
		return s.holder.Address
	}
	if len(s.settings.Peers) > 0 {
		return s.settings.Peers[0]
	}
	return ""
}
