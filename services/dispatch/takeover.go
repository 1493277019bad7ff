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
	// queryRetry is the delay before VMs that did not answer are asked again for the records they keep.
	queryRetry = 500 * time.Millisecond
	// unheardGrace is the time in which a VM that was never heard of may still turn out to be alive.
	unheardGrace = 5 * time.Second
	// maxParked bounds the requests that wait for the records of earlier holders.
	maxParked = 1024
)

// queryDue asks the VMs that have not answered. term tells holders of this VM apart.
type queryDue struct {
	term  int
	begun time.Time
	heard map[model.VMID]bool
}

// Kind implements kernel.Message.
func (queryDue) Kind() string { return "intent_query_due" }

// parked is a request that waits for the records of earlier holders.
type parked struct {
	env  kernel.Envelope
	send message.RequestSend
}

// intentStore keeps the records of a holder that cannot reach the store. It is lost with the VM.
type intentStore struct {
	fence   model.Epoch
	records [][]byte
	at      time.Time
}

func (k *intentStore) raise(e model.Epoch) {
	if k.fence.Less(e) {
		k.fence = e
	}
}

// collect drops the records once no key in them is remembered any more.
func (k *intentStore) collect(now time.Time) {
	if now.Sub(k.at) >= ledger.KeyRetention {
		k.records = nil
	}
}

func (s *Service) serveIntents(e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.IntentRecord:
		switch {
		case m.Epoch.Less(s.kept.fence):
			e.Fail(s.metrics.CountRefusal(failure.New(failure.IntentFenced, "epoch %s is known", s.kept.fence)))
		case len(s.kept.records)+len(m.Records) > maxUnsaved:
			e.Fail(s.metrics.CountRefusal(failure.New(failure.QueueFull, "%d records are kept", len(s.kept.records))))
		default:
			s.kept.raise(m.Epoch)
			s.kept.records, s.kept.at = append(s.kept.records, m.Records...), time.Now()
			e.Reply(message.Done{})
		}
	case message.IntentQuery:
		s.kept.raise(m.Epoch)
		e.Reply(message.IntentReply{Records: s.kept.records})
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
	s.kept.raise(epoch)
	s.ledger.Reset(epoch, time.Now())
	s.dropJournal(epoch)
	for _, p := range s.parked {
		p.env.Fail(s.metrics.CountRefusal(failure.New(failure.NotHolder, "the holder of %s changed", s.domain).WithOutcome(failure.Unknown)))
	}
	s.parked = nil
}

// dropJournal ends the journal of the last epoch. Waiting intents are not sent.
func (s *Service) dropJournal(epoch model.Epoch) {
	old, done := s.journal, s.appendDone
	s.journal = journal{epoch: epoch, appends: old.appends + 1, fenced: epoch.IsZero()}
	fenced := failure.New(failure.NotHolder, "the holder of %s changed", s.domain)
	s.appendDone = nil
	if done != nil {
		done(fenced)
	}
	for _, i := range old.queue {
		i.done(fenced)
	}
	s.journal = journal{epoch: epoch, appends: old.appends + 1, fenced: epoch.IsZero()}
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
	s.mergeKept(s.kept.records)
	s.release(c)
	if m.Sealed {
		s.queryPeers(c, queryDue{term: s.term, begun: now, heard: make(map[model.VMID]bool)})
	}
}

func (s *Service) mergeKept(data [][]byte) {
	var records []ledger.Record
	for _, d := range data {
		if r, ok := decode(d); ok {
			records = append(records, r)
		}
	}
	s.ledger.Merge(records, time.Now())
}

// queryPeers asks the live VMs of the failure domain for the records that they keep and opens keys once
// all have answered.
func (s *Service) queryPeers(c *kernel.Context, q queryDue) {
	if q.term != s.term {
		return
	}
	open := 0
	for _, m := range s.domainPeers() {
		unheard := m.LastHeard.IsZero() && time.Since(q.begun) < unheardGrace
		if q.heard[m.VM] || !m.Alive && !unheard {
			continue
		}
		open++
		s.queryPeer(c, q, m.VM)
	}
	if open == 0 {
		s.ledger.AcceptNewKeys()
		s.release(c)
		return
	}
	c.After(queryRetry, q)
}

func (s *Service) queryPeer(c *kernel.Context, q queryDue, vm model.VMID) {
	body := message.IntentQuery{Domain: s.domain, Epoch: s.ledger.Epoch()}
	f := message.Forward{VM: vm, To: names.Dispatch, Body: body, Deadline: time.Now().Add(queryRetry), Idempotent: true}
	c.Request(names.Peers, f, func(m kernel.Message, err error) {
		reply, ok := m.(message.IntentReply)
		if err != nil || !ok || q.term != s.term {
			return
		}
		s.mergeKept(reply.Records)
		q.heard[vm] = true
	})
}

// release decides again on the requests that waited for records of earlier holders.
func (s *Service) release(c *kernel.Context) {
	waiting := s.parked
	s.parked = nil
	for _, p := range waiting {
		s.send(c, p.env, p.send)
	}
}

// repeatToNew sends the unsaved records to VMs that were not alive before, so that a replaced VM does not
// reduce the number of copies.
func (s *Service) repeatToNew(c *kernel.Context, alive map[model.VMID]bool) {
	if len(s.journal.unsaved) == 0 {
		return
	}
	var data [][]byte
	for _, r := range encode(s.journal.unsaved) {
		data = append(data, r.Data)
	}
	body := message.IntentRecord{Domain: s.domain, Epoch: s.journal.epoch, Records: data}
	for _, m := range s.domainPeers() {
		if m.Alive && !alive[m.VM] {
			f := message.Forward{VM: m.VM, To: names.Dispatch, Body: body, Deadline: time.Now().Add(peerTimeout), Idempotent: true}
			c.Request(names.Peers, f, func(kernel.Message, error) {})
		}
	}
}
