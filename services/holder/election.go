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
	// leaseTTL is the holder's lease.
	leaseTTL = fleet.HolderLease
	// renewEvery is the time between two renewals.
	renewEvery = 600 * time.Millisecond
	// incumbentGrace is how long other VMs leave the fleet to the VM whose lease has ended while the store was in trouble:
	// it keeps its state if it is alive. troubleMemory is how long trouble of the store counts.
	incumbentGrace = 700 * time.Millisecond
	troubleMemory  = leaseTTL + time.Second
	// weakDelay is how much later a VM with a small share of a processor stands for election, strongWeight the share
	// from which a VM does not wait.
	weakDelay    = 400 * time.Millisecond
	strongWeight = 0.3
	// candidateJitter spreads candidates, so that few of them call the store for the same term.
	candidateJitter = 60 * time.Millisecond
	// retryDelay is the delay before a failed step of the election is repeated.
	retryDelay = 300 * time.Millisecond
)

type (
	holderFollowed struct{ metastore.Update }
	candidacyDue   struct{ revision int64 }
	candidacyDone  struct {
		sentAt   time.Time
		lease    metastore.LeaseID
		record   records.Holder
		revision int64
		err      error
	}
	renewDue struct{ lease metastore.LeaseID }
	renewed  struct {
		lease  metastore.LeaseID
		sentAt time.Time
		err    error
	}
	released struct{ err error }
)

// Kind implements kernel.Message.
func (holderFollowed) Kind() string { return "holder_followed" }

// Kind implements kernel.Message.
func (candidacyDue) Kind() string { return "holder_candidacy_due" }

// Kind implements kernel.Message.
func (candidacyDone) Kind() string { return "holder_candidacy_done" }

// Kind implements kernel.Message.
func (renewDue) Kind() string { return "holder_renew_due" }

// Kind implements kernel.Message.
func (renewed) Kind() string { return "holder_renewed" }

// Kind implements kernel.Message.
func (released) Kind() string { return "holder_released" }

// election is what this VM knows of the holder.
type election struct {
	incarnation string
	// known is set once the store has been read.
	known bool
	// record is the present holder, revision its entry's revision; 0 if there is no entry.
	record   records.Holder
	revision int64
	// bound is the lease of the present holder's entry.
	bound metastore.LeaseID
	// troubledAt is when the store last failed to answer this VM.
	troubledAt time.Time
	// last is the number of the last term, lastBy the process that began it, lastRevision that of its entry.
	last         records.Term
	lastRevision int64
	// lease is that of the own entry.
	lease metastore.LeaseID
	// standing is set while a candidacy is in progress.
	standing bool
	// releasing is set while the own entry is being given up.
	releasing bool
	published message.HolderChanged
}

// predecessor reports whether the present holder is an earlier process of this VM. It has ended, so that its lease need
// not be waited for.
func (e *election) predecessor(vm string) bool {
	return e.revision != 0 && !e.record.Released && e.record.VM == vm && e.record.Incarnation != e.incarnation
}

func notHolder() error { return failure.New(failure.NoHolder, "this VM does not hold the fleet") }

func (s *Service) handleElection(c *kernel.Context, m kernel.Message) bool {
	switch m := m.(type) {
	case holderFollowed:
		s.followHolder(c, m.Update)
	case candidacyDue:
		if m.revision == s.election.revision {
			s.stand(c)
		}
	case candidacyDone:
		s.stood(c, m)
	case renewDue:
		s.renew(c, m.lease)
	case renewed:
		s.renewed(c, m)
	case released:
		s.election.releasing = false
		if s.draining {
			c.Drained()
		}
	default:
		return false
	}
	return true
}

// followHolder applies news of the holder's entry.
func (s *Service) followHolder(c *kernel.Context, u metastore.Update) {
	if u.Err != nil {
		s.metrics.Event("holder_watch_failed", 1)
		s.election.troubledAt = time.Now()
		return
	}
	el := &s.election
	before := el.revision
	if u.Snapshot {
		el.known = true
		el.record, el.revision = records.Holder{}, 0
		for i := range u.Items {
			s.holderItem(&u.Items[i])
		}
	}
	for i := range u.Events {
		if u.Events[i].Removed && u.Events[i].Key == records.HolderKey {
			if u.Events[i].Revision > el.revision {
				el.record, el.revision = records.Holder{VM: el.record.VM, Incarnation: el.record.Incarnation}, 0
			}
		} else if !u.Events[i].Removed {
			s.holderItem(&u.Events[i].Item)
		}
	}
	if el.known && (el.revision != before || u.Snapshot) {
		s.holderChanged(c)
	}
}

func (s *Service) holderItem(item *metastore.Item) {
	el := &s.election
	switch item.Key {
	case records.HolderKey:
		r, err := records.Decode[records.Holder](item.Key, item.Value)
		if err != nil {
			s.log("holder entry ignored", "error", err.Error())
			return
		}
		if item.Revision >= el.revision {
			el.record, el.revision, el.bound = r, item.Revision, item.Lease
		}
	case records.TermKey:
		r, err := records.Decode[records.Term](item.Key, item.Value)
		if err != nil {
			s.log("term entry ignored", "error", err.Error())
			return
		}
		if item.Revision >= el.lastRevision {
			el.last, el.lastRevision = r, item.Revision
		}
	}
}

// holderChanged acts on a new holder or the loss of one.
func (s *Service) holderChanged(c *kernel.Context) {
	el := &s.election
	vacant := el.revision == 0 || el.record.Released
	own := !vacant && el.record.Incarnation == el.incarnation
	if t := s.term; t != nil && !own && !vacant {
		s.endTerm("another VM holds the fleet", "holder", el.record.VM, "term", el.record.Term)
	}
	s.publishHolder(c)
	if s.draining || !vacant && !el.predecessor(s.settings.VM) {
		return
	}
	if s.term != nil || !vacant {
		s.stand(c)
		return
	}
	delay := rand.N(candidateJitter)
	if el.revision == 0 && el.record.VM != "" && time.Since(el.troubledAt) < troubleMemory {
		delay += incumbentGrace
	}
	if s.settings.Weight < strongWeight {
		delay += weakDelay
	}
	c.After(delay, candidacyDue{el.revision})
}

func (s *Service) publishHolder(c *kernel.Context) {
	el := &s.election
	m := message.HolderChanged{}
	if s.term != nil {
		m.Self, m.Fence = true, workload.Fence(s.term.fence)
	}
	if el.revision != 0 && !el.record.Released {
		m.VM, m.Address = el.record.VM, el.record.Address
	}
	if m != el.published {
		el.published = m
		c.Publish(m)
	}
}

// stand tries to become the holder: it creates a lease and binds the holder's entry to it, on the condition that nobody
// else has done so.
func (s *Service) stand(c *kernel.Context) {
	el := &s.election
	predecessor := el.predecessor(s.settings.VM)
	if el.standing || s.draining || el.revision != 0 && !el.record.Released && !predecessor {
		return
	}
	el.standing = true
	record := records.Holder{VM: s.settings.VM, Address: s.settings.Address, Incarnation: el.incarnation, Term: el.last.Term + 1}
	term := records.Term{Term: record.Term, Incarnation: el.incarnation}
	conditions := []metastore.Condition{
		{Key: records.HolderKey, Revision: el.revision},
		{Key: records.TermKey, Revision: el.lastRevision},
	}
	bound := el.bound
	if predecessor {
		conditions[0].Revision = 0
	}
	c.Spawn(func(ctx context.Context) kernel.Message {
		out := candidacyDone{record: record, sentAt: time.Now()}
		if predecessor {
			if out.err = s.store.Revoke(ctx, bound); out.err != nil {
				return out
			}
		}
		out.lease, out.err = s.store.Grant(ctx, leaseTTL)
		if out.err != nil {
			return out
		}
		out.revision, out.err = s.store.Commit(ctx, metastore.Txn{If: conditions, Set: []metastore.Write{
			{Key: records.HolderKey, Value: records.Encode(record), Lease: out.lease},
			{Key: records.TermKey, Value: records.Encode(term)},
		}})
		return out
	})
}

// stood applies the result of a candidacy.
func (s *Service) stood(c *kernel.Context, m candidacyDone) {
	el := &s.election
	el.standing = false
	var conflict *metastore.ConflictError
	switch {
	case m.err == nil:
		el.lease = m.lease
		inherited := el.last.Term > 0
		same := s.term != nil && el.last.Incarnation == el.incarnation
		el.record, el.revision = m.record, m.revision
		el.last, el.lastRevision = records.Term{Term: m.record.Term, Incarnation: el.incarnation}, m.revision
		s.log("fleet held", "term", m.record.Term, "fence", m.revision, "continued", same)
		if same {
			s.term.fence = m.revision
		} else {
			s.beginTerm(c, m.record.Term, m.revision, inherited)
		}
		s.term.fleet.Confirm(m.sentAt)
		s.publishHolder(c)
		c.After(renewEvery, renewDue{m.lease})
	case errors.As(m.err, &conflict):
		s.metrics.Event("election_lost", 1)
		for i := range conflict.Items {
			item := &conflict.Items[i]
			if item.Revision == 0 && item.Key == records.HolderKey {
				el.record, el.revision = records.Holder{}, 0
			} else if item.Revision > 0 {
				s.holderItem(item)
			}
		}
		s.revoke(c, m.lease)
		s.holderChanged(c)
	default:
		s.metrics.Event("election_failed", 1)
		s.log("candidacy failed", "error", m.err.Error())
		el.troubledAt = time.Now()
		c.After(retryDelay, candidacyDue{el.revision})
	}
}

func (s *Service) revoke(c *kernel.Context, lease metastore.LeaseID) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		if err := s.store.Revoke(ctx, lease); err != nil {
			s.log("lease not revoked; it ends by itself", "error", err.Error())
		}
		return nil
	})
}

func (s *Service) renew(c *kernel.Context, lease metastore.LeaseID) {
	if s.term == nil || s.election.lease != lease {
		return
	}
	sentAt := time.Now()
	c.Spawn(func(ctx context.Context) kernel.Message { return renewed{lease, sentAt, s.store.Renew(ctx, lease)} })
}

// renewed applies the result of a renewal. While the store does not answer, the holder goes on: its executors refuse its
// orders as soon as another holder has shown them a higher fence.
func (s *Service) renewed(c *kernel.Context, m renewed) {
	el := &s.election
	if s.term == nil || el.lease != m.lease {
		return
	}
	var ended *metastore.LeaseEndedError
	if errors.As(m.err, &ended) {
		s.log("holder lease ended", "term", el.record.Term)
		s.metrics.Event("holder_lease_ended", 1)
		el.lease = 0
		if el.record.Incarnation == el.incarnation {
			el.revision = 0
		}
		s.stand(c)
		return
	}
	if m.err != nil {
		s.metrics.Event("holder_renewal_failed", 1)
	} else {
		s.term.fleet.Confirm(m.sentAt)
	}
	c.After(renewEvery, renewDue{m.lease})
}

// release gives the fleet up, so that another VM takes it over at once.
func (s *Service) release(c *kernel.Context) {
	el := &s.election
	if s.term == nil || el.releasing {
		return
	}
	fence, record := s.term.fence, el.record
	record.Released = true
	s.endTerm("released for shutdown")
	s.publishHolder(c)
	el.releasing = true
	c.Spawn(func(ctx context.Context) kernel.Message {
		_, err := s.store.Commit(ctx, metastore.Txn{
			If:  []metastore.Condition{{Key: records.HolderKey, Revision: fence}},
			Set: []metastore.Write{{Key: records.HolderKey, Value: records.Encode(record)}},
		})
		if err != nil {
			s.log("release not recorded; the lease ends by itself", "error", err.Error())
		}
		return released{err}
	})
}
