// Package ledger decides which requests of a failure domain may run, so that each non-repeatable request
// runs at most once and every answer about it is true.
//
// Only the holder of a failure domain uses a ledger. A ticket is spent only by the holder of the epoch that
// issued it, so a ticket needs no durable record to be safe; the record lets a later holder tell what
// happened. An idempotency key may reach any holder, so a holder accepts an unknown key only once it has
// every record of the holders before it.
package ledger

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// MaxIssue is the largest number of tickets of one call.
	MaxIssue = 1000
	// MaxBody is the largest body in bytes that is kept for callers that ask again.
	MaxBody = 16 << 10
	// MaxBodies bounds the bytes of all kept bodies. A snapshot writes them to the store in chunks of 1 MB.
	MaxBodies = 16 << 20
	// MaxRecords bounds the records. At the bound new keys are refused and old tickets expire.
	MaxRecords = 100_000
	// TicketLife is the time after which a ticket that was issued or spent may be collected.
	TicketLife = time.Hour
	// KeyRetention is the time for which a finished key is remembered. Later the key counts as new.
	KeyRetention = time.Hour
	// BodyRetention is the time for which the body of a finished request is kept.
	BodyRetention = 10 * time.Minute
)

// entry is a record with its local state.
type entry struct {
	Record
	// pending is true while this holder works on the request.
	pending bool
	at      time.Time
}

// batch is a range of tickets that were issued together.
type batch struct {
	last uint64
	at   time.Time
}

// Ledger is the state of one failure domain's requests. It is not safe for concurrent use.
type Ledger struct {
	domain   model.FailureDomain
	epoch    model.Epoch
	since    time.Time
	issued   uint64
	batches  []batch
	n        uint64
	entries  map[model.RequestID]*entry
	marks    map[model.Epoch]uint64
	flushed  map[model.Epoch]bool
	complete map[model.Epoch]bool
	// forgotten is the highest epoch of which records were collected.
	forgotten model.Epoch
	bodies    []model.RequestID
	bodyBytes int
	replayed  bool
	sealed    bool
	keysOpen  bool
}

// New returns the ledger of a failure domain that is not held.
func New(d model.FailureDomain) *Ledger {
	l := &Ledger{domain: d}
	l.Hold(model.Epoch{}, time.Time{})
	return l
}

// Hold starts an empty ledger of a new holder. A zero epoch ends the authority.
func (l *Ledger) Hold(e model.Epoch, now time.Time) {
	*l = Ledger{
		domain: l.domain, epoch: e, since: now,
		entries:  make(map[model.RequestID]*entry),
		marks:    make(map[model.Epoch]uint64),
		flushed:  make(map[model.Epoch]bool),
		complete: make(map[model.Epoch]bool),
	}
}

// Epoch returns the epoch of the holder; zero if the failure domain is not held.
func (l *Ledger) Epoch() model.Epoch { return l.epoch }

// Issue returns new tickets. Only their number is kept.
// It fails with failure.Malformed if count is not between 1 and MaxIssue.
func (l *Ledger) Issue(count int, now time.Time) ([]model.Ticket, *failure.Error) {
	if count < 1 || count > MaxIssue {
		return nil, failure.New(failure.Malformed, "count %d is not between 1 and %d", count, MaxIssue)
	}
	out := make([]model.Ticket, count)
	for i := range out {
		l.issued++
		out[i] = model.Ticket{Domain: l.domain, Epoch: l.epoch, Seq: l.issued}
	}
	l.batches = append(l.batches, batch{last: l.issued, at: now})
	return out, nil
}

// Replay takes the records of the log. sealed is false if the log could not be read; complete lists the
// epochs whose holders handed over gracefully.
func (l *Ledger) Replay(records []Record, sealed bool, complete []model.Epoch, now time.Time) {
	l.Merge(records, now)
	l.replayed, l.sealed = true, sealed
	for _, e := range complete {
		l.complete[e] = sealed
	}
}

// Replayed reports whether the ledger holds every record of the sealed log.
func (l *Ledger) Replayed() bool { return l.replayed && l.sealed }

// Merge takes records of earlier holders, in any order and number. Records of the own epoch are known already.
func (l *Ledger) Merge(records []Record, now time.Time) {
	for _, r := range records {
		switch {
		case r.Forgotten:
			if l.forgotten.Less(r.Rank.Epoch) {
				l.forgotten = r.Rank.Epoch
			}
		case r.Flushed:
			l.flushed[r.Rank.Epoch] = true
		case r.Mark > 0:
			l.marks[r.Rank.Epoch] = max(l.marks[r.Rank.Epoch], r.Mark)
		case r.Rank.Epoch.Compare(l.epoch) < 0:
			l.mergeRequest(r, now)
		}
	}
}

func (l *Ledger) mergeRequest(r Record, now time.Time) {
	old, ok := l.entries[r.ID]
	if ok && !r.supersedes(old.Record) {
		return
	}
	if ok {
		l.bodyBytes -= len(old.Body)
	}
	l.entries[r.ID] = &entry{Record: r, at: now}
	l.keepBody(r.ID, r.Body)
}

// OpenKeys permits unknown keys. The caller has merged the records that every other live VM of the failure
// domain keeps. It has no effect if the log could not be read and sealed.
func (l *Ledger) OpenKeys() { l.keysOpen = l.replayed && l.sealed }

// Flush returns the record which states that all records of this holder are in the log.
func (l *Ledger) Flush() Record { return Record{Rank: Rank{Epoch: l.epoch}, Flushed: true} }

// Verdict tells what to do with a request.
type Verdict int

// Verdicts on a request.
const (
	// Refuse answers with the failure. A ticket that is refused never runs later.
	Refuse Verdict = iota
	// Start runs the request.
	Start
	// Join waits for the request in progress.
	Join
	// Answer gives the recorded outcome.
	Answer
	// Wait asks again once the records of earlier holders are known.
	Wait
)

// Decision is a verdict with its data. Record is set for Start and Answer, Failure for Refuse.
type Decision struct {
	Verdict Verdict
	Record  Record
	Failure *failure.Error
}

func refuse(r failure.Reason, format string, args ...any) Decision {
	return Decision{Verdict: Refuse, Failure: failure.New(r, format, args...)}
}

// Begin decides on a request with a ticket, or with an idempotency key if ticket is nil. After Start the
// caller reports the end with Finish.
func (l *Ledger) Begin(id model.RequestID, ticket *model.Ticket, hash uint64, now time.Time) Decision {
	if old, ok := l.entries[id]; ok {
		if d, done := l.again(old, ticket != nil, hash); done {
			return d
		}
	} else if d := l.admit(ticket); d.Verdict != Start {
		return d
	}
	if ticket == nil && len(l.entries) >= MaxRecords {
		return refuse(failure.QueueFull, "%d requests are remembered", len(l.entries))
	}
	l.n++
	e := &entry{Record: Record{ID: id, Rank: Rank{Epoch: l.epoch, N: l.n}, Key: ticket == nil, Hash: hash}, pending: true, at: now}
	l.entries[id] = e
	return Decision{Verdict: Start, Record: e.Record}
}

// again decides on a request that is known; done is false if a key that did not run is used again.
func (l *Ledger) again(old *entry, ticket bool, hash uint64) (d Decision, done bool) {
	switch {
	case !ticket && old.Outcome == failure.NotRun:
		return Decision{}, false
	case old.Hash != hash && ticket:
		return refuse(failure.TicketSpent, "request %s was sent with other content", old.ID), true
	case old.Hash != hash:
		return refuse(failure.KeyReused, "the key was used with other content"), true
	case old.pending:
		return Decision{Verdict: Join}, true
	default:
		return Decision{Verdict: Answer, Record: old.settled()}, true
	}
}

// settled returns the record with an outcome: an intent whose holder is gone is unknown.
func (e *entry) settled() Record {
	r := e.Record
	if !r.Final() {
		r.Outcome, r.Code, r.Detail = failure.Unknown, failure.TicketEpochUnknown.Code(), "the holder that sent the request was lost"
	}
	if r.BodyDropped {
		r.Code, r.Detail = failure.ResponseExpired.Code(), "the request ran; its response is no longer kept"
	}
	return r
}

// admit decides on a request without a record.
func (l *Ledger) admit(t *model.Ticket) Decision {
	switch {
	case t == nil:
		return l.admitKey()
	case t.Domain != l.domain:
		return refuse(failure.TicketForeign, "the ticket belongs to %s", t.Domain)
	case l.epoch.Less(t.Epoch):
		d := refuse(failure.NotHolder, "the ticket belongs to a later holder")
		d.Failure.Outcome = failure.Unknown
		return d
	case t.Epoch == l.epoch && (t.Seq == 0 || t.Seq > l.issued):
		return refuse(failure.TicketForeign, "the ticket was not issued")
	case t.Seq <= l.marks[t.Epoch]:
		return refuse(failure.TicketSpent, "the ticket has expired")
	case t.Epoch == l.epoch:
		return Decision{Verdict: Start}
	case !l.replayed:
		return Decision{Verdict: Wait}
	case l.complete[t.Epoch] && l.flushed[t.Epoch] && l.forgotten.Less(t.Epoch):
		return refuse(failure.TicketEpochClosed, "the ticket was not spent before the holder changed")
	default:
		return refuse(failure.TicketEpochUnknown, "records of epoch %s may be missing", t.Epoch)
	}
}

func (l *Ledger) admitKey() Decision {
	switch {
	case l.keysOpen:
		return Decision{Verdict: Start}
	case l.replayed && !l.sealed:
		return refuse(failure.KeyEpochUnknown, "records of earlier holders may be missing")
	default:
		return Decision{Verdict: Wait}
	}
}

// Finish ends a request that Begin started and returns the record to make durable. It returns false if the
// request is not in progress under this rank, for instance because the authority changed.
func (l *Ledger) Finish(started Record, o failure.Outcome, body []byte, f *failure.Error, now time.Time) (Record, bool) {
	e, ok := l.entries[started.ID]
	if !ok || !e.pending || e.Rank != started.Rank {
		return Record{}, false
	}
	e.pending, e.at, e.Outcome = false, now, o
	if f != nil {
		e.Code, e.Detail = f.Reason.Code(), f.Detail
	}
	switch {
	case o != failure.Run || f != nil:
	case len(body) > MaxBody:
		e.BodyDropped = true
	default:
		e.Body = body
		l.keepBody(e.ID, body)
	}
	return e.Record, true
}

// Status returns the record of a request without changing anything; pending is true while it is in progress.
// A ticket that was not sent yet fails with failure.NotFound and outcome unknown, since it may still arrive.
func (l *Ledger) Status(id model.RequestID, ticket *model.Ticket) (r Record, pending bool, f *failure.Error) {
	if e, ok := l.entries[id]; ok {
		return e.settled(), e.pending, nil
	}
	d := l.admit(ticket)
	if d.Verdict == Refuse {
		return Record{}, false, d.Failure
	}
	return Record{}, false, failure.New(failure.NotFound, "request %s", id).WithOutcome(failure.Unknown)
}

// Pending returns the number of requests in progress.
func (l *Ledger) Pending() int {
	n := 0
	for _, e := range l.entries {
		if e.pending {
			n++
		}
	}
	return n
}
