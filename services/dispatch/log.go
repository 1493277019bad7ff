package dispatch

import (
	"encoding/json"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/ledger"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// appendTimeout bounds one append. After a timeout, records are replicated to the other VMs of the failure domain.
	appendTimeout = time.Second
	// probeInterval is the delay between two appends while the store does not answer.
	probeInterval = time.Second
	// peerTimeout bounds a call to another VM of the failure domain.
	peerTimeout = 500 * time.Millisecond
	// maxUnsaved bounds the records that wait for the store, and the intent records that are kept for another VM.
	maxUnsaved = 65536
)

type (
	appendTimedOut struct{ seq int }
	probeDue       struct{}
)

// Kind implements kernel.Message.
func (appendTimedOut) Kind() string { return "log_append_due" }

// Kind implements kernel.Message.
func (probeDue) Kind() string { return "log_probe_due" }

// pendingRecord is a record that is not durable yet. onSaved, unless nil, is called with the result.
type pendingRecord struct {
	record  ledger.Record
	onSaved func(*failure.Error)
}

func (p pendingRecord) notify(f *failure.Error) {
	if p.onSaved != nil {
		p.onSaved(f)
	}
}

// journal makes records durable: in the log by group commit, or at other VMs while the store is unavailable.
type journal struct {
	epoch model.Epoch
	// queue holds the records that wait for the next append. unsaved holds the records of an outage of the store.
	// They were sent to the peers and are not in the log yet.
	queue   []pendingRecord
	unsaved []ledger.Record
	// lastAppend is the number of the last append; inFlight is true until it ends.
	lastAppend int
	inFlight   bool
	outage     bool
	// fenced is true once an append was refused because a later holder has sealed the log, or while this VM is not the
	// holder.
	fenced bool
}

func encode(records []ledger.Record) []message.LogRecord {
	out := make([]message.LogRecord, 0, len(records))
	for _, r := range records {
		data, _ := json.Marshal(r)
		out = append(out, message.LogRecord{Service: names.Dispatch, Data: data})
	}
	return out
}

func decode(data []byte) (ledger.Record, bool) {
	var r ledger.Record
	err := json.Unmarshal(data, &r)
	return r, err == nil
}

// save makes a record durable and calls onSaved, which may be nil, with the result.
func (s *Service) save(c *kernel.Context, r ledger.Record, onSaved func(*failure.Error)) {
	p := pendingRecord{r, onSaved}
	switch {
	case s.journal.fenced:
		p.notify(failure.New(failure.IntentFenced, "a later holder has sealed the log"))
	case len(s.journal.unsaved)+len(s.journal.queue) >= maxUnsaved:
		p.notify(failure.New(failure.IntentNotRecorded, "%d records wait for the store", maxUnsaved))
	case s.journal.outage:
		s.journal.unsaved = append(s.journal.unsaved, r)
		s.sendToPeers(c, []pendingRecord{p})
	default:
		s.journal.queue = append(s.journal.queue, p)
		s.commit(c)
	}
}

// commit appends all queued records at once. At most one append is in flight.
func (s *Service) commit(c *kernel.Context) {
	j := &s.journal
	if j.inFlight || len(j.queue) == 0 {
		return
	}
	batch := j.queue
	j.queue = nil
	records := make([]ledger.Record, len(batch))
	for i, b := range batch {
		records[i] = b.record
	}
	s.appendToLog(c, records, func(f *failure.Error) {
		switch {
		case f == nil || f.Reason == failure.NotHolder:
			for _, b := range batch {
				b.notify(f)
			}
			s.commit(c)
		default:
			s.enterOutage(c, batch)
		}
	})
}

// appendToLog appends records to the log and calls done once with the result. The late result of an append that timed
// out is ignored, because its records are appended again.
func (s *Service) appendToLog(c *kernel.Context, records []ledger.Record, done func(*failure.Error)) {
	j := &s.journal
	j.lastAppend++
	j.inFlight = true
	n, epoch := j.lastAppend, j.epoch
	s.appendDone = func(f *failure.Error) {
		j.inFlight = false
		s.appendDone = nil
		j.fenced = j.fenced || f != nil && f.Reason == failure.NotHolder
		done(f)
	}
	c.SendAfter(appendTimeout, appendTimedOut{n})
	c.Request(names.Store, message.LogAppend{Epoch: epoch, Records: encode(records)}, func(_ kernel.Message, err error) {
		if j.lastAppend != n || s.appendDone == nil {
			return
		}
		if err != nil {
			s.appendDone(failure.From(err))
			return
		}
		s.appendDone(nil)
	})
}

func (s *Service) handleAppendTimeout(m appendTimedOut) {
	if s.journal.lastAppend == m.seq && s.appendDone != nil {
		s.appendDone(failure.New(failure.StoreUnavailable, "no answer within %v", appendTimeout))
	}
}

func (s *Service) enterOutage(c *kernel.Context, batch []pendingRecord) {
	j := &s.journal
	if !j.outage {
		c.SendAfter(probeInterval, probeDue{})
	}
	j.outage = true
	batch = append(batch, j.queue...)
	j.queue = nil
	for _, p := range batch {
		j.unsaved = append(j.unsaved, p.record)
	}
	s.sendToPeers(c, batch)
}

// probe appends the unsaved records. The outage ends once all of them are in the log.
func (s *Service) probe(c *kernel.Context) {
	j := &s.journal
	if !j.outage || j.inFlight || j.epoch.IsZero() {
		return
	}
	n := len(j.unsaved)
	s.appendToLog(c, j.unsaved[:n:n], func(f *failure.Error) {
		if f != nil {
			s.metrics.CountRetry(failure.RetryStoreUnavailable)
			c.SendAfter(probeInterval, probeDue{})
			return
		}
		j.unsaved = j.unsaved[n:]
		j.outage = len(j.unsaved) > 0
		if j.outage {
			c.SendAfter(0, probeDue{})
		}
	})
}

// sendToPeers replicates records to the other VMs of the failure domain. The record of a ticket needs one copy, because
// only this holder can spend the ticket. The record of a key needs a copy on every VM, so that the next holder,
// whichever VM it is, either has the record or has refused it; if a VM refuses it, the request does not run.
func (s *Service) sendToPeers(c *kernel.Context, pending []pendingRecord) {
	m := message.IntentRecord{Domain: s.domain, Epoch: s.journal.epoch}
	for _, p := range pending {
		data, _ := json.Marshal(p.record)
		m.Records = append(m.Records, data)
	}
	vms := s.domainPeers()
	acks, replies, fenced := 0, 0, false
	notifyAll := func() {
		for _, p := range pending {
			switch {
			case acks == len(vms) && acks > 0 || acks > 0 && !p.record.Key:
				p.notify(nil)
			case fenced:
				p.notify(failure.New(failure.IntentFenced, "a later holder exists"))
			default:
				p.notify(failure.New(failure.IntentNotRecorded, "%d of %d VMs answered", acks, len(vms)))
			}
		}
	}
	if len(vms) == 0 {
		notifyAll()
		return
	}
	for _, vm := range vms {
		f := message.Forward{VM: vm.VM, To: names.Dispatch, Body: m, Deadline: time.Now().Add(peerTimeout), Idempotent: true}
		c.Request(names.Peers, f, func(_ kernel.Message, err error) {
			replies++
			if err == nil {
				acks++
			} else if failure.From(err).Reason == failure.IntentFenced {
				fenced = true
			}
			if replies == len(vms) {
				notifyAll()
			}
		})
	}
}

// domainPeers returns the other VMs of the failure domain.
func (s *Service) domainPeers() []model.Member {
	var out []model.Member
	for _, m := range s.members {
		if m.Domain == s.domain {
			out = append(out, m)
		}
	}
	return out
}
