package ledger

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// keepBody accounts for a kept body and drops the oldest bodies beyond MaxBodies.
func (l *Ledger) keepBody(id model.RequestID, body []byte) {
	if len(body) == 0 {
		return
	}
	l.bodies = append(l.bodies, id)
	l.bodyBytes += len(body)
	for l.bodyBytes > MaxBodies && len(l.bodies) > 0 {
		l.dropBody(l.bodies[0])
		l.bodies = l.bodies[1:]
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

// Collect drops records that have outlived their retention. Nothing dropped can run again as a ticket: the
// low-water mark of the own epoch and the highest forgotten epoch answer for it as unknown.
func (l *Ledger) Collect(now time.Time) {
	for len(l.bodies) > 0 {
		e, ok := l.entries[l.bodies[0]]
		if ok && now.Sub(e.at) < BodyRetention {
			break
		}
		l.dropBody(l.bodies[0])
		l.bodies = l.bodies[1:]
	}
	for len(l.batches) > 0 && (now.Sub(l.batches[0].at) >= TicketLife || len(l.entries) > MaxRecords) {
		l.marks[l.epoch] = l.batches[0].last
		l.batches = l.batches[1:]
		l.dropTickets(l.epoch)
	}
	if now.Sub(l.since) >= TicketLife {
		l.forgetEarlier()
	}
	for id, e := range l.entries {
		if e.Key && !e.pending && now.Sub(e.at) >= KeyRetention {
			l.drop(id, e)
		}
	}
}

// dropTickets drops the finished records of tickets of an epoch up to its mark.
func (l *Ledger) dropTickets(epoch model.Epoch) {
	for id, e := range l.entries {
		if e.Key || e.pending || e.Rank.Epoch != epoch {
			continue
		}
		if t, err := model.ParseTicket(string(id)); err == nil && t.Seq <= l.marks[epoch] {
			l.drop(id, e)
		}
	}
}

// forgetEarlier drops the records of tickets of all earlier epochs.
func (l *Ledger) forgetEarlier() {
	for id, e := range l.entries {
		if !e.Key && e.Rank.Epoch.Less(l.epoch) {
			if l.forgotten.Less(e.Rank.Epoch) {
				l.forgotten = e.Rank.Epoch
			}
			l.drop(id, e)
		}
	}
	for epoch := range l.marks {
		if epoch.Less(l.epoch) {
			if l.forgotten.Less(epoch) {
				l.forgotten = epoch
			}
			delete(l.marks, epoch)
		}
	}
}

func (l *Ledger) drop(id model.RequestID, e *entry) {
	l.bodyBytes -= len(e.Body)
	delete(l.entries, id)
}

// Snapshot returns records that rebuild the durable state. Intents of repeatable requests are included
// like all others; they end as unknown for a later holder.
func (l *Ledger) Snapshot() []Record {
	var out []Record
	if !l.forgotten.IsZero() {
		out = append(out, Record{Rank: Rank{Epoch: l.forgotten}, Forgotten: true})
	}
	for epoch, mark := range l.marks {
		out = append(out, Record{Rank: Rank{Epoch: epoch}, Mark: mark})
	}
	for epoch := range l.flushed {
		out = append(out, Record{Rank: Rank{Epoch: epoch}, Flushed: true})
	}
	for _, e := range l.entries {
		out = append(out, e.Record)
	}
	return out
}
