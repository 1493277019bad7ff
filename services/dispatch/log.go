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
	// appendTimeout bounds one append; afterwards intents go to other VMs of the failure domain.
	appendTimeout = time.Second
	// probeEvery is the interval of appends while the store does not answer.
	probeEvery = time.Second
	// peerTimeout bounds a call to another VM of the failure domain.
	peerTimeout = 500 * time.Millisecond
	// maxUnsaved bounds the records that wait for the store, and those kept for another VM.
	maxUnsaved = 65536
)

type (
	appendDue struct{ n int }
	probeDue  struct{}
)

// Kind implements kernel.Message.
func (appendDue) Kind() string { return "log_append_due" }

// Kind implements kernel.Message.
func (probeDue) Kind() string { return "log_probe_due" }

// item is a record that waits to become durable; saved, if set, is told the result.
type item struct {
	record ledger.Record
	saved  func(*failure.Error)
}

func (i item) done(f *failure.Error) {
	if i.saved != nil {
		i.saved(f)
	}
}

// journal makes records durable: in the log by group commit, or at other VMs while the store is unavailable.
type journal struct {
	epoch   model.Epoch
	queue   []item
	unsaved []ledger.Record
	// appends numbers the appends; busy is true while one is in flight.
	appends int
	busy    bool
	outage  bool
	fenced  bool
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

// save makes a record durable and then calls saved, which may be nil.
func (s *Service) save(c *kernel.Context, r ledger.Record, saved func(*failure.Error)) {
	i := item{r, saved}
	switch {
	case s.journal.fenced:
		i.done(failure.New(failure.IntentFenced, "a later holder has sealed the log"))
	case len(s.journal.unsaved)+len(s.journal.queue) >= maxUnsaved:
		i.done(failure.New(failure.IntentNotRecorded, "%d records wait for the store", maxUnsaved))
	case s.journal.outage:
		s.journal.unsaved = append(s.journal.unsaved, r)
		s.sendToPeers(c, []item{i})
	default:
		s.journal.queue = append(s.journal.queue, i)
		s.commit(c)
	}
}

// commit appends all waiting records at once, with at most one append in flight.
func (s *Service) commit(c *kernel.Context) {
	j := &s.journal
	if j.busy || len(j.queue) == 0 {
		return
	}
	batch := j.queue
	j.queue = nil
	records := make([]ledger.Record, len(batch))
	for i, b := range batch {
		records[i] = b.record
	}
	s.append(c, records, func(f *failure.Error) {
		switch {
		case f == nil || f.Reason == failure.NotHolder:
			for _, b := range batch {
				b.done(f)
			}
			s.commit(c)
		default:
			s.enterOutage(c, batch)
		}
	})
}

// append makes one append and reports its result once. A late result of an append that timed out is ignored;
// its records are appended again.
func (s *Service) append(c *kernel.Context, records []ledger.Record, done func(*failure.Error)) {
	j := &s.journal
	j.appends++
	j.busy = true
	n, epoch := j.appends, j.epoch
	s.appendDone = func(f *failure.Error) {
		j.busy = false
		s.appendDone = nil
		j.fenced = j.fenced || f != nil && f.Reason == failure.NotHolder
		done(f)
	}
	c.After(appendTimeout, appendDue{n})
	c.Request(names.Store, message.LogAppend{Epoch: epoch, Records: encode(records)}, func(_ kernel.Message, err error) {
		if j.appends != n || s.appendDone == nil {
			return
		}
		if err != nil {
			s.appendDone(failure.From(err))
			return
		}
		s.appendDone(nil)
	})
}

func (s *Service) appendExpired(m appendDue) {
	if s.journal.appends == m.n && s.appendDone != nil {
		s.appendDone(failure.New(failure.StoreUnavailable, "no answer within %v", appendTimeout))
	}
}

func (s *Service) enterOutage(c *kernel.Context, batch []item) {
	j := &s.journal
	if !j.outage {
		c.After(probeEvery, probeDue{})
	}
	j.outage = true
	batch = append(batch, j.queue...)
	j.queue = nil
	for _, i := range batch {
		j.unsaved = append(j.unsaved, i.record)
	}
	s.sendToPeers(c, batch)
}

// probe appends the records of the outage; success ends the outage.
func (s *Service) probe(c *kernel.Context) {
	j := &s.journal
	if !j.outage || j.busy || j.epoch.IsZero() {
		return
	}
	n := len(j.unsaved)
	s.append(c, j.unsaved[:n:n], func(f *failure.Error) {
		if f != nil {
			s.metrics.CountRetry(failure.RetryStoreUnavailable)
			c.After(probeEvery, probeDue{})
			return
		}
		j.unsaved = j.unsaved[n:]
		j.outage = len(j.unsaved) > 0
		if j.outage {
			c.After(0, probeDue{})
		}
	})
}

// sendToPeers records items in other VMs of the failure domain. A ticket needs one VM, since only this
// holder spends it. A key needs every VM, so that whichever becomes the next holder knows the key or
// refuses to let this one use it.
func (s *Service) sendToPeers(c *kernel.Context, items []item) {
	m := message.IntentRecord{Domain: s.domain, Epoch: s.journal.epoch}
	for _, i := range items {
		data, _ := json.Marshal(i.record)
		m.Records = append(m.Records, data)
	}
	vms := s.domainPeers()
	acks, answers, fenced := 0, 0, false
	settle := func() {
		for _, i := range items {
			switch {
			case acks == len(vms) && acks > 0 || acks > 0 && !i.record.Key:
				i.done(nil)
			case fenced:
				i.done(failure.New(failure.IntentFenced, "a later holder exists"))
			default:
				i.done(failure.New(failure.IntentNotRecorded, "%d of %d VMs answered", acks, len(vms)))
			}
		}
	}
	if len(vms) == 0 {
		settle()
		return
	}
	for _, vm := range vms {
		f := message.Forward{VM: vm.VM, To: names.Dispatch, Body: m, Deadline: time.Now().Add(peerTimeout), Idempotent: true}
		c.Request(names.Peers, f, func(_ kernel.Message, err error) {
			answers++
			if err == nil {
				acks++
			} else if failure.From(err).Reason == failure.IntentFenced {
				fenced = true
			}
			if answers == len(vms) {
				settle()
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
