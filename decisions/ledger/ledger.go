// Package ledger decides which requests of a failure domain may run, so that each non-repeatable request runs at most
// once and no caller receives a false outcome.
//
// Only the holder of a failure domain uses a ledger. A ticket can be spent only by the holder of the epoch that issued
// it, so at-most-once execution of tickets does not depend on durable records; the record lets a later holder report
// the outcome. An idempotency key may reach any holder, so a holder accepts an unknown key only after it has merged
// every record of all earlier holders.
package ledger

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// MaxTicketsPerIssue is the maximum number of tickets that one call of IssueTickets returns.
	MaxTicketsPerIssue = 1000
	// MaxBodyBytes is the maximum size of a response body that is kept for callers that repeat a request.
	MaxBodyBytes = 16 << 10
	// MaxTotalBodyBytes bounds the total size of all kept bodies. Each snapshot writes them to the store in chunks of
	// 1 MB.
	MaxTotalBodyBytes = 16 << 20
	// MaxRecords bounds the number of records. At the bound, new keys are refused and the oldest tickets expire early.
	MaxRecords = 100_000
	// TicketRetention is the time after which an issued ticket expires and its record may be removed.
	TicketRetention = time.Hour
	// KeyRetention is the time for which the record of a finished key is kept. Afterwards the key counts as new.
	KeyRetention = time.Hour
	// BodyRetention is the time for which the response body of a finished request is kept.
	BodyRetention = 10 * time.Minute
)

// entry is a record with its local state.
type entry struct {
	Record
	// inProgress is true while this holder runs the request.
	inProgress bool
	// updatedAt is the time at which the request was begun or finished here, or its record was merged.
	updatedAt time.Time
}

// ticketBatch is a range of tickets that were issued by one call. lastSeq is the highest of their numbers.
type ticketBatch struct {
	lastSeq  uint64
	issuedAt time.Time
}

// Ledger holds the state of one failure domain's requests. It is not safe for concurrent use.
type Ledger struct {
	domain     model.FailureDomain
	epoch      model.Epoch
	heldSince  time.Time
	lastIssued uint64
	batches    []ticketBatch
	// lastRank is the highest Rank.Seq that this holder has used.
	lastRank       uint64
	entries        map[model.RequestID]*entry
	lowWaterMarks  map[model.Epoch]uint64
	flushedEpochs  map[model.Epoch]bool
	completeEpochs map[model.Epoch]bool
	// forgottenThrough is the highest epoch of which ticket records have been removed.
	forgottenThrough model.Epoch
	bodyOrder        []model.RequestID
	bodyBytes        int
	replayed         bool
	sealed           bool
	acceptsKeys      bool
}

// New returns the ledger of a VM that is not the holder of the failure domain.
func New(d model.FailureDomain) *Ledger {
	l := &Ledger{domain: d}
	l.Reset(model.Epoch{}, time.Time{})
	return l
}

// Reset resets the ledger for a new holder with epoch e. A zero epoch means that the VM is no longer the holder.
func (l *Ledger) Reset(e model.Epoch, now time.Time) {
	*l = Ledger{
		domain: l.domain, epoch: e, heldSince: now,
		entries:        make(map[model.RequestID]*entry),
		lowWaterMarks:  make(map[model.Epoch]uint64),
		flushedEpochs:  make(map[model.Epoch]bool),
		completeEpochs: make(map[model.Epoch]bool),
	}
}

// Epoch returns the epoch of this holder; zero if the VM is not the holder.
func (l *Ledger) Epoch() model.Epoch { return l.epoch }

// IssueTickets returns new tickets. Of the issued tickets only the highest number of each call is kept.
// It fails with failure.Malformed if count is not between 1 and MaxTicketsPerIssue.
func (l *Ledger) IssueTickets(count int, now time.Time) ([]model.Ticket, *failure.Error) {
	if count < 1 || count > MaxTicketsPerIssue {
		return nil, failure.New(failure.Malformed, "count %d is not between 1 and %d", count, MaxTicketsPerIssue)
	}
	out := make([]model.Ticket, count)
	for i := range out {
		l.lastIssued++
		out[i] = model.Ticket{Domain: l.domain, Epoch: l.epoch, Seq: l.lastIssued}
	}
	l.batches = append(l.batches, ticketBatch{lastSeq: l.lastIssued, issuedAt: now})
	return out, nil
}

// Replay merges the records of the log. sealed is false if the log could not be read and sealed. completeEpochs lists
// the epochs whose holders closed the log on a graceful handover.
func (l *Ledger) Replay(records []Record, sealed bool, completeEpochs []model.Epoch, now time.Time) {
	l.Merge(records, now)
	l.replayed, l.sealed = true, sealed
	for _, e := range completeEpochs {
		l.completeEpochs[e] = sealed
	}
}

// Replayed reports whether the ledger holds every record of the sealed log.
func (l *Ledger) Replayed() bool { return l.replayed && l.sealed }

// Merge applies records of earlier holders. They may be repeated and in any order. Records of requests of the own epoch
// are skipped, because the ledger holds them already.
func (l *Ledger) Merge(records []Record, now time.Time) {
	for _, r := range records {
		switch {
		case r.Forgotten:
			if l.forgottenThrough.Less(r.Rank.Epoch) {
				l.forgottenThrough = r.Rank.Epoch
			}
		case r.Flushed:
			l.flushedEpochs[r.Rank.Epoch] = true
		case r.LowWaterMark > 0:
			l.lowWaterMarks[r.Rank.Epoch] = max(l.lowWaterMarks[r.Rank.Epoch], r.LowWaterMark)
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
	l.entries[r.ID] = &entry{Record: r, updatedAt: now}
	l.retainBody(r.ID, r.Body)
}

// AcceptNewKeys permits requests with unknown keys. The caller must first have merged the records that every other live
// VM of the failure domain keeps. AcceptNewKeys has no effect if the log could not be read and sealed.
func (l *Ledger) AcceptNewKeys() { l.acceptsKeys = l.replayed && l.sealed }

// FlushedRecord returns the record that states that all records of this holder are in the log.
func (l *Ledger) FlushedRecord() Record { return Record{Rank: Rank{Epoch: l.epoch}, Flushed: true} }

// Verdict is the kind of a Decision.
type Verdict int

// Verdicts on a request.
const (
	// Refuse answers with the failure. A refused ticket never runs later.
	Refuse Verdict = iota
	// Start runs the request.
	Start
	// Join waits for the request in progress.
	Join
	// Answer returns the recorded outcome.
	Answer
	// Wait keeps the request until the records of earlier holders are known, then calls Begin again.
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

// Begin decides on a request with a ticket, or with an idempotency key if ticket is nil. After Start the caller must
// report the outcome with Finish.
func (l *Ledger) Begin(id model.RequestID, ticket *model.Ticket, hash uint64, now time.Time) Decision {
	if old, ok := l.entries[id]; ok {
		if d, done := l.decideKnown(old, ticket != nil, hash); done {
			return d
		}
	} else if d := l.admit(ticket); d.Verdict != Start {
		return d
	}
	if ticket == nil && len(l.entries) >= MaxRecords {
		return refuse(failure.QueueFull, "%d requests are remembered", len(l.entries))
	}
	l.lastRank++
	e := &entry{
		Record:     Record{ID: id, Rank: Rank{Epoch: l.epoch, Seq: l.lastRank}, Key: ticket == nil, Hash: hash},
		inProgress: true, updatedAt: now,
	}
	l.entries[id] = e
	return Decision{Verdict: Start, Record: e.Record}
}

// decideKnown decides on a request with a record. done is false if the record is of a key that did not run, which may
// be used again.
func (l *Ledger) decideKnown(old *entry, ticket bool, hash uint64) (d Decision, done bool) {
	switch {
	case !ticket && old.Outcome == failure.NotRun:
		return Decision{}, false
	case old.Hash != hash && ticket:
		return refuse(failure.TicketSpent, "request %s was sent with other content", old.ID), true
	case old.Hash != hash:
		return refuse(failure.KeyReused, "the key was used with other content"), true
	case old.inProgress:
		return Decision{Verdict: Join}, true
	default:
		return Decision{Verdict: Answer, Record: old.withOutcome()}, true
	}
}

// withOutcome returns the record with an outcome. That of an intent is unknown: the holder that recorded it was lost,
// or the request is still in progress here.
func (e *entry) withOutcome() Record {
	r := e.Record
	if !r.Final() {
		r.Outcome, r.Code, r.Detail = failure.Unknown, failure.TicketEpochUnknown.Code(), "the holder that sent the request was lost"
	}
	if r.BodyDropped {
		r.Code, r.Detail = failure.ResponseExpired.Code(), "the request ran; its response is no longer kept"
	}
	return r
}

// admit decides on a request without a record. t is nil for an idempotency key.
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
	case t.Epoch == l.epoch && (t.Seq == 0 || t.Seq > l.lastIssued):
		return refuse(failure.TicketForeign, "the ticket was not issued")
	case t.Seq <= l.lowWaterMarks[t.Epoch]:
		return refuse(failure.TicketSpent, "the ticket has expired")
	case t.Epoch == l.epoch:
		return Decision{Verdict: Start}
	case !l.replayed:
		return Decision{Verdict: Wait}
	case l.completeEpochs[t.Epoch] && l.flushedEpochs[t.Epoch] && l.forgottenThrough.Less(t.Epoch):
		return refuse(failure.TicketEpochClosed, "the ticket was not spent before the holder changed")
	default:
		return refuse(failure.TicketEpochUnknown, "records of epoch %s may be missing", t.Epoch)
	}
}

func (l *Ledger) admitKey() Decision {
	switch {
	case l.acceptsKeys:
		return Decision{Verdict: Start}
	case l.replayed && !l.sealed:
		return refuse(failure.KeyEpochUnknown, "records of earlier holders may be missing")
	default:
		return Decision{Verdict: Wait}
	}
}

// Finish records the outcome of a request that Begin started and returns the record to make durable. It returns false
// if the request is not in progress under this rank, for instance because the holder has changed.
func (l *Ledger) Finish(started Record, o failure.Outcome, body []byte, f *failure.Error, now time.Time) (Record, bool) {
	e, ok := l.entries[started.ID]
	if !ok || !e.inProgress || e.Rank != started.Rank {
		return Record{}, false
	}
	e.inProgress, e.updatedAt, e.Outcome = false, now, o
	if f != nil {
		e.Code, e.Detail = f.Reason.Code(), f.Detail
	}
	switch {
	case o != failure.Run || f != nil:
	case len(body) > MaxBodyBytes:
		e.BodyDropped = true
	default:
		e.Body = body
		l.retainBody(e.ID, body)
	}
	return e.Record, true
}

// Status returns the record of a request and does not change the ledger. inProgress is true while this holder
// runs the request. A ticket that was not sent yet fails with failure.NotFound and outcome unknown, since it may still
// arrive.
func (l *Ledger) Status(id model.RequestID, ticket *model.Ticket) (r Record, inProgress bool, f *failure.Error) {
	if e, ok := l.entries[id]; ok {
		return e.withOutcome(), e.inProgress, nil
	}
	d := l.admit(ticket)
	if d.Verdict == Refuse {
		return Record{}, false, d.Failure
	}
	return Record{}, false, failure.New(failure.NotFound, "request %s", id).WithOutcome(failure.Unknown)
}

// InProgress returns the number of requests in progress.
func (l *Ledger) InProgress() int {
	n := 0
	for _, e := range l.entries {
		if e.inProgress {
			n++
		}
	}
	return n
}
