package holder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

const (
	// leaseTTL is the time to live of the holder's lease.
	leaseTTL = fleet.HolderLease
	// renewInterval is the time between two renewals of the lease.
	renewInterval = 600 * time.Millisecond
	// incumbentGrace is how much longer other VMs wait before they stand for election if the holder's lease expired while
	// the store was failing: a holder that is still alive can then win again and keep its state. storeFailureWindow is how
	// long the store counts as failing after a failed call.
	incumbentGrace     = 700 * time.Millisecond
	storeFailureWindow = leaseTTL + time.Second
	// lowWeightDelay is how much later a VM with a small share of a processor stands for election. VMs whose share is at
	// least lowWeightThreshold do not wait.
	lowWeightDelay     = 400 * time.Millisecond
	lowWeightThreshold = 0.3
	// candidateJitter is the largest random delay of a candidacy, so that few candidates call the store for the same term.
	candidateJitter = 60 * time.Millisecond
	// electionCallTimeout bounds a call of the election. It exceeds the response time of a store that is 100 times slower
	// than its usual 4 ms. Longer calls would hide the return of a silent store.
	electionCallTimeout = 500 * time.Millisecond
	// retakeDelay is how much later than others a VM stands for election if its process has ended for the second time in a row
	// while it was the holder. It exceeds the delays of all other candidates.
	retakeDelay = 1500 * time.Millisecond
	// candidacyRetryDelay is the delay before a failed candidacy is repeated.
	candidacyRetryDelay = 300 * time.Millisecond
)

type (
	holderUpdate  struct{ metastore.Update }
	candidacyDue  struct{ revision int64 }
	candidacyDone struct {
		// sentAt is a reading of the service's clock.
		sentAt   time.Duration
		lease    metastore.LeaseID
		record   records.Holder
		revision int64
		err      error
	}
	renewDue  struct{ lease metastore.LeaseID }
	renewDone struct {
		lease metastore.LeaseID
		// sentAt is a reading of the service's clock.
		sentAt time.Duration
		err    error
	}
	releaseDone struct{ err error }
)

// Kind implements kernel.Message.
func (holderUpdate) Kind() string { return "holder_followed" }

// Kind implements kernel.Message.
func (candidacyDue) Kind() string { return "holder_candidacy_due" }

// Kind implements kernel.Message.
func (candidacyDone) Kind() string { return "holder_candidacy_done" }

// Kind implements kernel.Message.
func (renewDue) Kind() string { return "holder_renew_due" }

// Kind implements kernel.Message.
func (renewDone) Kind() string { return "holder_renewed" }

// Kind implements kernel.Message.
func (releaseDone) Kind() string { return "holder_released" }

// election is this VM's view of the election.
type election struct {
	incarnation string
	// loaded is set once the holder's entry has been read from the store.
	loaded bool
	// record is the current holder's entry and revision its store revision, which is 0 if there is no entry.
	record   records.Holder
	revision int64
	// holderLease is the lease that the current holder's entry is bound to.
	holderLease metastore.LeaseID
	// storeFailedAt is when the store last failed to answer this VM.
	storeFailedAt time.Time
	// lastTerm holds the number of the last term and the process that began it, termRevision the revision of its entry.
	lastTerm     records.Term
	termRevision int64
	// ownLease is the lease of this VM's holder entry.
	ownLease metastore.LeaseID
	// campaigning is set while a candidacy is in progress.
	campaigning bool
	// releasing is set while this VM's holder entry is being marked as released.
	releasing bool
	// yielded is the revision of the entry of an earlier process whose lease was revoked for other candidates.
	yielded int64
	// abstainUntil is when this VM may stand for election again.
	abstainUntil time.Time
	published    message.HolderChanged
	backlog      backlogEntry
}

// heldByEarlierProcess reports whether the current holder is an earlier process of this VM. That process has ended, so
// that this one need not wait for its lease to expire. It takes the fleet back once; if the process that did so has ended,
// too, the fleet may be more than the VM can hold.
func (e *election) heldByEarlierProcess(vm string) bool {
	return e.revision != 0 && !e.record.Released && e.record.VM == vm && e.record.Incarnation != e.incarnation
}

func notHolder() error { return failure.New(failure.NoHolder, "this VM does not hold the fleet") }

func (s *Service) handleElection(c *kernel.Context, m kernel.Message) bool {
	switch m := m.(type) {
	case holderUpdate:
		s.applyHolderUpdate(c, m.Update)
	case candidacyDue:
		if m.revision == s.election.revision {
			s.campaign(c)
		}
	case candidacyDone:
		s.handleCandidacyDone(c, m)
	case renewDue:
		s.renew(c, m.lease)
	case renewDone:
		s.handleRenewDone(c, m)
	case resignRecorded:
		s.handleResignRecorded(m)
	case releaseDone:
		s.election.releasing = false
		if s.draining {
			c.CompleteDrain()
		}
	default:
		return false
	}
	return true
}

// applyHolderUpdate applies an update of the entries of the holder and the term.
func (s *Service) applyHolderUpdate(c *kernel.Context, u metastore.Update) {
	if u.Err != nil {
		s.metrics.CountEvent("holder_watch_failed", 1)
		s.election.storeFailedAt = time.Now()
		return
	}
	el := &s.election
	before := el.revision
	if u.Snapshot {
		el.loaded = true
		el.record, el.revision = records.Holder{}, 0
		el.backlog.clear()
		for i := range u.Items {
			s.applyHolderItem(&u.Items[i])
		}
	}
	for i := range u.Events {
		if u.Events[i].Removed && u.Events[i].Key == records.HolderKey {
			if u.Events[i].Revision > el.revision {
				el.record, el.revision = records.Holder{VM: el.record.VM, Incarnation: el.record.Incarnation}, 0
			}
		} else if !u.Events[i].Removed {
			s.applyHolderItem(&u.Events[i].Item)
		}
	}
	s.publishBacklog(c)
	if el.loaded && (el.revision != before || u.Snapshot) {
		s.handleHolderChange(c)
	}
}

func (s *Service) applyHolderItem(item *metastore.Item) {
	el := &s.election
	switch item.Key {
	case records.HolderKey:
		r, err := records.Decode[records.Holder](item.Key, item.Value)
		if err != nil {
			s.log("unreadable holder entry ignored", "error", err.Error())
			return
		}
		if item.Revision >= el.revision {
			el.record, el.revision, el.holderLease = r, item.Revision, item.Lease
		}
	case records.TermKey:
		r, err := records.Decode[records.Term](item.Key, item.Value)
		if err != nil {
			s.log("unreadable term entry ignored", "error", err.Error())
			return
		}
		if item.Revision >= el.termRevision {
			el.lastTerm, el.termRevision = r, item.Revision
		}
	case records.BacklogKey:
		s.applyBacklogItem(item)
	}
}

// handleHolderChange reacts to a new holder or to the loss of the holder.
func (s *Service) handleHolderChange(c *kernel.Context) {
	el := &s.election
	vacant := el.revision == 0 || el.record.Released
	heldHere := !vacant && el.record.Incarnation == el.incarnation
	if t := s.term; t != nil && !heldHere && !vacant {
		s.endTerm("another VM holds the fleet", "holder", el.record.VM, "term", el.record.Term)
	}
	s.publishHolder(c)
	if s.draining || !vacant && !el.heldByEarlierProcess(s.settings.VM) {
		return
	}
	if !vacant && el.record.Retaken && el.yielded != el.revision {
		el.yielded, el.abstainUntil = el.revision, time.Now().Add(retakeDelay)
		s.log("process ended again while it held the fleet; other VMs come first", "term", el.record.Term)
		s.metrics.CountEvent("election_yielded", 1)
		s.revoke(c, el.holderLease)
	}
	if s.term != nil || !vacant && time.Now().After(el.abstainUntil) {
		s.campaign(c)
		return
	}
	delay := rand.N(candidateJitter)
	if el.revision == 0 && el.record.VM != "" && time.Since(el.storeFailedAt) < storeFailureWindow {
		delay += incumbentGrace
	}
	if s.settings.Weight < lowWeightThreshold {
		delay += lowWeightDelay
	}
	delay += max(0, time.Until(el.abstainUntil))
	c.SendAfter(delay, candidacyDue{el.revision})
}

func (s *Service) publishHolder(c *kernel.Context) {
	el := &s.election
	m := message.HolderChanged{}
	if s.term != nil {
		m.Self, m.FencingToken = true, workload.FencingToken(s.term.fence)
	}
	if el.revision != 0 && !el.record.Released {
		m.VM, m.Address = el.record.VM, el.record.Address
	}
	if m != el.published {
		el.published = m
		c.Publish(m)
	}
}

// campaign stands for election: it creates a lease and writes the holder's entry under it, on the condition that no
// other VM has done so.
func (s *Service) campaign(c *kernel.Context) {
	el := &s.election
	earlierProcess := el.heldByEarlierProcess(s.settings.VM)
	vacant := el.revision == 0 || el.record.Released
	if el.campaigning || s.draining || !vacant && !earlierProcess && !s.leaseAbandoned() {
		return
	}
	el.campaigning = true
	record := records.Holder{VM: s.settings.VM, Address: s.settings.Address, Incarnation: el.incarnation, Term: el.lastTerm.Term + 1, Retaken: earlierProcess}
	term := records.Term{Term: record.Term, Incarnation: el.incarnation}
	conditions := []metastore.Condition{
		{Key: records.HolderKey, Revision: el.revision},
		{Key: records.TermKey, Revision: el.termRevision},
	}
	earlierLease := el.holderLease
	if earlierProcess {
		conditions[0].Revision = 0
	}
	c.Spawn(func(ctx context.Context) kernel.Message {
		out := candidacyDone{record: record, sentAt: s.now()}
		if earlierProcess {
			if out.err = withTimeout(ctx, func(ctx context.Context) error { return s.store.Revoke(ctx, earlierLease) }); out.err != nil {
				return out
			}
		}
		out.err = withTimeout(ctx, func(ctx context.Context) (err error) {
			out.lease, err = s.store.Grant(ctx, leaseTTL)
			return err
		})
		if out.err != nil {
			return out
		}
		// The lease runs from the arrival of the grant, and the call may have waited in the store.
		ctx, cancel := context.WithTimeout(ctx, electionCallTimeout)
		defer cancel()
		out.revision, out.err = s.store.Commit(ctx, metastore.Txn{Conditions: conditions, Writes: []metastore.Write{
			{Key: records.HolderKey, Value: records.Encode(record), Lease: out.lease},
			{Key: records.TermKey, Value: records.Encode(term)},
		}})
		return out
	})
}

// leaseAbandoned reports whether this VM is the holder and does not renew its lease any more, so that it may stand for
// election to begin a new one.
func (s *Service) leaseAbandoned() bool {
	el := &s.election
	return s.term != nil && el.ownLease == 0 && el.revision == s.term.fence
}

// withTimeout makes a call of the election.
func withTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	return call(ctx)
}

// handleCandidacyDone applies the result of a candidacy.
func (s *Service) handleCandidacyDone(c *kernel.Context, m candidacyDone) {
	el := &s.election
	el.campaigning = false
	var conflict *metastore.ConflictError
	switch {
	case m.err == nil:
		el.ownLease = m.lease
		hasPredecessor := el.lastTerm.Term > 0
		continued := s.term != nil && el.lastTerm.Incarnation == el.incarnation
		el.record, el.revision = m.record, m.revision
		el.lastTerm, el.termRevision = records.Term{Term: m.record.Term, Incarnation: el.incarnation}, m.revision
		s.log("elected as holder", "term", m.record.Term, "fence", m.revision, "continued", continued)
		if continued {
			s.term.fence = m.revision
			s.term.renewFailures = 0
			if s.term.startsSuspended() {
				s.term.resumeStarts()
			}
		} else {
			s.beginTerm(c, m.record.Term, m.revision, hasPredecessor)
		}
		s.term.confirmLease(m.sentAt)
		s.publishHolder(c)
		c.SendAfter(renewInterval, renewDue{m.lease})
	case errors.As(m.err, &conflict):
		s.metrics.CountEvent("election_lost", 1)
		for i := range conflict.Items {
			item := &conflict.Items[i]
			if item.Revision == 0 && item.Key == records.HolderKey {
				el.record, el.revision = records.Holder{}, 0
			} else if item.Revision > 0 {
				s.applyHolderItem(item)
			}
		}
		s.revoke(c, m.lease)
		s.handleHolderChange(c)
	default:
		s.metrics.CountEvent("election_failed", 1)
		s.log("candidacy failed", "error", m.err.Error())
		el.storeFailedAt = time.Now()
		c.SendAfter(candidacyRetryDelay, candidacyDue{el.revision})
	}
}

func (s *Service) revoke(c *kernel.Context, lease metastore.LeaseID) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		if err := s.store.Revoke(ctx, lease); err != nil {
			s.log("revoking the lease failed; it will expire", "error", err.Error())
		}
		return nil
	})
}

func (s *Service) renew(c *kernel.Context, lease metastore.LeaseID) {
	if s.term == nil || s.election.ownLease != lease {
		return
	}
	sentAt := s.now()
	c.Spawn(func(ctx context.Context) kernel.Message {
		return renewDone{lease, sentAt, withTimeout(ctx, func(ctx context.Context) error { return s.store.Renew(ctx, lease) })}
	})
}

// handleRenewDone applies the result of a renewal. While the store does not answer, the holder continues. This is safe:
// executors refuse its commands as soon as another holder has sent them a higher fencing token.
func (s *Service) handleRenewDone(c *kernel.Context, m renewDone) {
	el := &s.election
	if s.term == nil || el.ownLease != m.lease {
		return
	}
	var ended *metastore.LeaseEndedError
	if errors.As(m.err, &ended) {
		s.log("holder lease ended", "term", el.record.Term)
		s.metrics.CountEvent("holder_lease_ended", 1)
		el.ownLease = 0
		if el.record.Incarnation == el.incarnation {
			el.revision = 0
		}
		s.campaign(c)
		return
	}
	delay := renewInterval
	if t := s.term; m.err != nil {
		s.metrics.CountEvent("holder_renewal_failed", 1)
		t.renewFailures++
		if t.renewFailures < handoverFailures {
			delay = renewRetryDelay
		} else {
			s.tryHandover(c)
		}
	} else {
		t.renewFailures = 0
		t.confirmLease(m.sentAt)
	}
	c.SendAfter(delay, renewDue{m.lease})
}

// release resigns: it marks the holder's entry as released, so that another VM takes over immediately. Before that it
// waits until no order of another service can be sent any more.
func (s *Service) release(c *kernel.Context) {
	el := &s.election
	if s.term == nil || el.releasing {
		return
	}
	fence, record := s.term.fence, el.record
	permitRemaining := s.term.permitUntil - s.now()
	record.Released = true
	s.endTerm("released for shutdown")
	s.publishHolder(c)
	el.releasing = true
	c.Spawn(func(ctx context.Context) kernel.Message {
		metastore.Sleep(ctx, permitRemaining)
		_, err := s.store.Commit(ctx, metastore.Txn{
			Conditions: []metastore.Condition{{Key: records.HolderKey, Revision: fence}},
			Writes:     []metastore.Write{{Key: records.HolderKey, Value: records.Encode(record)}},
		})
		if err != nil {
			s.log("recording the release failed; the lease will expire", "error", err.Error())
		}
		return releaseDone{err}
	})
}
