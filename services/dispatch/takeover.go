package dispatch

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/ledger"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// queryRetryDelay bounds one query of a VM for its intent records, and is the delay before VMs that did not answer
	// are queried again.
	queryRetryDelay = 500 * time.Millisecond
	// unheardGrace is the time for which a new holder also queries VMs from which no heartbeat has arrived yet, because
	// they may be alive.
	unheardGrace = 5 * time.Second
	// maxDeferred bounds the requests that wait until the records of earlier holders are merged.
	maxDeferred = 1024
)

// queryDue is due when the VMs that have not answered are queried. It is ignored after the term has changed.
type queryDue struct {
	term      int
	startedAt time.Time
	answered  map[model.VMID]bool
}

// Kind implements kernel.Message.
func (queryDue) Kind() string { return "intent_query_due" }

// deferredRequest is a request that waits until the records of earlier holders are merged.
type deferredRequest struct {
	env  kernel.Envelope
	send message.RequestSend
}

// intentStore keeps, in memory only, the records that the holder sends to its peers while the store is unavailable.
// Records of an epoch below fence are refused, so that a holder that was replaced cannot add records.
type intentStore struct {
	fence     model.Epoch
	records   [][]byte
	updatedAt time.Time
}

func (st *intentStore) raiseFence(e model.Epoch) {
	if st.fence.Less(e) {
		st.fence = e
	}
}

// collect removes the records once the retention of every key in them has passed.
func (st *intentStore) collect(now time.Time) {
	if now.Sub(st.updatedAt) >= ledger.KeyRetention {
		st.records = nil
	}
}

func (s *Service) handleIntents(e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.IntentRecord:
		switch {
		case m.Epoch.Less(s.peerIntents.fence):
			e.Fail(s.metrics.CountRefusal(failure.New(failure.IntentFenced, "epoch %s is known", s.peerIntents.fence)))
		case len(s.peerIntents.records)+len(m.Records) > maxUnsaved:
			e.Fail(s.metrics.CountRefusal(failure.New(failure.QueueFull, "%d records are kept", len(s.peerIntents.records))))
		default:
			s.peerIntents.raiseFence(m.Epoch)
			s.peerIntents.records, s.peerIntents.updatedAt = append(s.peerIntents.records, m.Records...), time.Now()
			e.Reply(message.Done{})
		}
	case message.IntentQuery:
		s.peerIntents.raiseFence(m.Epoch)
		e.Reply(message.IntentReply{Records: s.peerIntents.records})
	}
}

func (s *Service) setAuthority(m message.AuthorityChanged) {
	epoch := model.Epoch{}
	if m.Holder {
		epoch = m.Epoch
	}
	if epoch == s.ledger.Epoch() {
		return
	}
	s.term++
	s.peerIntents.raiseFence(epoch)
	s.ledger.Reset(epoch, time.Now())
	s.resetJournal(epoch)
	for _, p := range s.deferred {
		p.env.Fail(s.metrics.CountRefusal(failure.New(failure.NotHolder, "the holder of %s changed", s.domain).WithOutcome(failure.Unknown)))
	}
	s.deferred = nil
}

// resetJournal replaces the journal of the last epoch. The requests whose records are still queued are not sent, and
// their callers are refused.
func (s *Service) resetJournal(epoch model.Epoch) {
	old, done := s.journal, s.appendDone
	s.journal = journal{epoch: epoch, lastAppend: old.lastAppend + 1, fenced: epoch.IsZero()}
	fenced := failure.New(failure.NotHolder, "the holder of %s changed", s.domain)
	s.appendDone = nil
	if done != nil {
		done(fenced)
	}
	for _, p := range old.queue {
		p.notify(fenced)
	}
	s.journal = journal{epoch: epoch, lastAppend: old.lastAppend + 1, fenced: epoch.IsZero()}
}

func (s *Service) replay(c *kernel.Context, m message.LogReplayed) {
	if m.Epoch != s.ledger.Epoch() || m.Epoch.IsZero() {
		return
	}
	var records []ledger.Record
	for _, r := range m.Records {
		if rec, ok := decode(r.Data); ok && r.Service == names.Dispatch {
			records = append(records, rec)
		}
	}
	now := time.Now()
	s.ledger.Replay(records, m.Sealed, m.Complete, now)
	s.mergeEncoded(s.peerIntents.records)
	s.handleDeferred(c)
	if m.Sealed {
		s.queryPeers(c, queryDue{term: s.term, startedAt: now, answered: make(map[model.VMID]bool)})
	}
}

func (s *Service) mergeEncoded(data [][]byte) {
	var records []ledger.Record
	for _, d := range data {
		if r, ok := decode(d); ok {
			records = append(records, r)
		}
	}
	s.ledger.Merge(records, time.Now())
}

// queryPeers queries the VMs of the failure domain that are or may be alive for the intent records that they keep. Once
// all have answered, the ledger accepts unknown keys.
func (s *Service) queryPeers(c *kernel.Context, q queryDue) {
	if q.term != s.term {
		return
	}
	unanswered := 0
	for _, m := range s.domainPeers() {
		unheard := m.LastHeard.IsZero() && time.Since(q.startedAt) < unheardGrace
		if q.answered[m.VM] || !m.Alive && !unheard {
			continue
		}
		unanswered++
		s.queryPeer(c, q, m.VM)
	}
	if unanswered == 0 {
		s.ledger.AcceptNewKeys()
		s.handleDeferred(c)
		return
	}
	c.SendAfter(queryRetryDelay, q)
}

func (s *Service) queryPeer(c *kernel.Context, q queryDue, vm model.VMID) {
	body := message.IntentQuery{Domain: s.domain, Epoch: s.ledger.Epoch()}
	f := message.Forward{VM: vm, To: names.Dispatch, Body: body, Deadline: time.Now().Add(queryRetryDelay), Idempotent: true}
	c.Request(names.Peers, f, func(m kernel.Message, err error) {
		reply, ok := m.(message.IntentReply)
		if err != nil || !ok || q.term != s.term {
			return
		}
		s.mergeEncoded(reply.Records)
		q.answered[vm] = true
	})
}

// handleDeferred handles the deferred requests again after records of earlier holders were merged.
func (s *Service) handleDeferred(c *kernel.Context) {
	waiting := s.deferred
	s.deferred = nil
	for _, p := range waiting {
		s.handleSend(c, p.env, p.send)
	}
}

// replicateToNewPeers sends the unsaved records to the VMs that were not alive before, so that the replacement of a VM
// does not reduce the number of copies.
func (s *Service) replicateToNewPeers(c *kernel.Context, wasAlive map[model.VMID]bool) {
	if len(s.journal.unsaved) == 0 {
		return
	}
	var data [][]byte
	for _, r := range encode(s.journal.unsaved) {
		data = append(data, r.Data)
	}
	body := message.IntentRecord{Domain: s.domain, Epoch: s.journal.epoch, Records: data}
	for _, m := range s.domainPeers() {
		if m.Alive && !wasAlive[m.VM] {
			f := message.Forward{VM: m.VM, To: names.Dispatch, Body: body, Deadline: time.Now().Add(peerTimeout), Idempotent: true}
			c.Request(names.Peers, f, func(kernel.Message, error) {})
		}
	}
}
