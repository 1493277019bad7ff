package ledger

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// retainBody adds a body to the kept ones and drops the oldest bodies while their total size exceeds MaxTotalBodyBytes.
func (l *Ledger) retainBody(id model.RequestID, body []byte) {
	if len(body) == 0 {
		return
	}
	l.bodyOrder = append(l.bodyOrder, id)
	l.bodyBytes += len(body)
	for l.bodyBytes > MaxTotalBodyBytes && len(l.bodyOrder) > 0 {
		l.dropBody(l.bodyOrder[0])
		l.bodyOrder = l.bodyOrder[1:]
	}
}

func (l *Ledger) dropBody(id model.RequestID) {
	e, ok := l.entries[id]
	if !ok || len(e.Body) == 0 {
		return
	}
	l.bodyBytes -= len(e.Body)
	e.Body, e.BodyDropped = nil, true
}

// Collect removes records and bodies whose retention time has passed. A ticket whose record is removed cannot run
// again: tickets up to the low-water mark of the own epoch, and tickets of epochs up to the highest forgotten one, are
// refused with outcome unknown.
func (l *Ledger) Collect(now time.Time) {
	for len(l.bodyOrder) > 0 {
		e, ok := l.entries[l.bodyOrder[0]]
		if ok && now.Sub(e.updatedAt) < BodyRetention {
			break
		}
		l.dropBody(l.bodyOrder[0])
		l.bodyOrder = l.bodyOrder[1:]
	}
	for len(l.batches) > 0 && (now.Sub(l.batches[0].issuedAt) >= TicketRetention || len(l.entries) > MaxRecords) {
		l.lowWaterMarks[l.epoch] = l.batches[0].lastSeq
		l.batches = l.batches[1:]
		l.dropTickets(l.epoch)
	}
	if now.Sub(l.heldSince) >= TicketRetention {
		l.forgetEarlierEpochs()
	}
	for id, e := range l.entries {
		if e.Key && !e.inProgress && now.Sub(e.updatedAt) >= KeyRetention {
			l.drop(id, e)
		}
	}
}

// dropTickets removes the finished records of tickets of an epoch up to its low-water mark.
func (l *Ledger) dropTickets(epoch model.Epoch) {
	for id, e := range l.entries {
		if e.Key || e.inProgress || e.Rank.Epoch != epoch {
			continue
		}
		if t, err := model.ParseTicket(string(id)); err == nil && t.Seq <= l.lowWaterMarks[epoch] {
			l.drop(id, e)
		}
	}
}

// forgetEarlierEpochs removes the ticket records and low-water marks of all earlier epochs.
func (l *Ledger) forgetEarlierEpochs() {
	for id, e := range l.entries {
		if !e.Key && e.Rank.Epoch.Less(l.epoch) {
			if l.forgottenThrough.Less(e.Rank.Epoch) {
				l.forgottenThrough = e.Rank.Epoch
			}
			l.drop(id, e)
		}
	}
	for epoch := range l.lowWaterMarks {
		if epoch.Less(l.epoch) {
			if l.forgottenThrough.Less(epoch) {
				l.forgottenThrough = epoch
			}
			delete(l.lowWaterMarks, epoch)
		}
	}
}

func (l *Ledger) drop(id model.RequestID, e *entry) {
	l.bodyBytes -= len(e.Body)
	delete(l.entries, id)
}

// Snapshot returns records that rebuild the durable state. It includes intents, also those of repeatable requests. A
// later holder reports them as unknown.
func (l *Ledger) Snapshot() []Record {
	var out []Record
	if !l.forgottenThrough.IsZero() {
		out = append(out, Record{Rank: Rank{Epoch: l.forgottenThrough}, Forgotten: true})
	}
	for epoch, mark := range l.lowWaterMarks {
		out = append(out, Record{Rank: Rank{Epoch: epoch}, LowWaterMark: mark})
	}
	for epoch := range l.flushedEpochs {
		out = append(out, Record{Rank: Rank{Epoch: epoch}, Flushed: true})
	}
	for _, e := range l.entries {
		out = append(out, e.Record)
	}
	return out
}
