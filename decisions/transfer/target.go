package transfer

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// incomingTransfer is an open transfer at its target.
type incomingTransfer struct {
	TargetRecord
	// logged is true once the record of the phase is durable. Messages are answered only then.
	logged bool
	// nextAttempt is the time at which a failed append is repeated; zero if no append has failed.
	nextAttempt time.Time
}

// closedTransfers is the set of closed transfers from one source.
type closedTransfers struct {
	// closedThrough is the number up to which all transfers are closed. closedBeyond holds the closed ones above it.
	closedThrough uint64
	closedBeyond  map[uint64]bool
}

// Target is the state machine of the incoming transfers of one failure domain.
type Target struct {
	domain model.FailureDomain
	open   map[ID]*incomingTransfer
	closed map[model.FailureDomain]*closedTransfers
}

// NewTarget returns a target without transfers.
func NewTarget(d model.FailureDomain) *Target {
	return &Target{domain: d, open: make(map[ID]*incomingTransfer), closed: make(map[model.FailureDomain]*closedTransfers)}
}

// HandleOffer applies a JobAccept. d is the decision that the caller would make now: accepted, with the identifier of
// the new job, or refused. It is ignored if the transfer has already been decided. If the returned actions contain no
// reply, ReplyDecision follows once the decision is durable.
func (t *Target) HandleOffer(id ID, d Decision, _ time.Time) []Action {
	return t.decide(id, d, MaxOpenOffers)
}

// HandleWithdraw applies a JobWithdraw. It is answered like a JobAccept.
func (t *Target) HandleWithdraw(id ID, _ time.Time) []Action {
	return t.decide(id, Decision{Reason: ReasonWithdrawn}, MaxOpenEntries)
}

// decide returns the existing decision on a transfer, or makes decision d if fewer than maxOpen transfers are open and
// the number of the transfer is within Window.
func (t *Target) decide(id ID, d Decision, maxOpen int) []Action {
	c := t.closedFrom(id.Source)
	i := t.open[id]
	switch {
	case c.has(id.Seq):
		return []Action{Defer{ID: id, Reason: AlreadyClosed}}
	case i != nil && i.logged || i != nil && i.Phase == Closed:
		return []Action{ReplyDecision{ID: id, Decision: i.Decision}}
	case i != nil:
		return nil
	case len(t.open) >= maxOpen || id.Seq > c.closedThrough+Window:
		return []Action{Defer{ID: id, Reason: TooManyOpen}}
	}
	i = &incomingTransfer{TargetRecord: TargetRecord{ID: id, Phase: Decided, Decision: d}}
	t.open[id] = i
	return i.append()
}

// HandleAppendResult applies the result of an append. durable is false if the record may be missing in the log.
func (t *Target) HandleAppendResult(r TargetRecord, durable bool, now time.Time) []Action {
	i := t.open[r.ID]
	if i == nil || i.logged || i.Phase != r.Phase {
		return nil
	}
	if !durable {
		i.nextAttempt = now.Add(appendRetryDelay)
		return nil
	}
	if i.Phase == Closed {
		delete(t.open, r.ID)
		t.closedFrom(r.ID.Source).add(r.ID.Seq)
		return []Action{ReplyDone{ID: r.ID}}
	}
	i.logged = true
	out := []Action{ReplyDecision{ID: i.ID, Decision: i.Decision}}
	if i.Decision.Accepted {
		out = append(out, Enqueue{ID: i.ID, Job: i.Decision.Job})
	}
	return out
}

// HandleDone applies a TransferDone. Once the closing record is durable, the decision is deleted. If the returned
// actions contain no reply, ReplyDone follows then.
func (t *Target) HandleDone(id ID, _ time.Time) []Action {
	if t.closedFrom(id.Source).has(id.Seq) {
		return []Action{ReplyDone{ID: id}}
	}
	i := t.open[id]
	if i == nil || !i.logged || i.Phase == Closed {
		return nil
	}
	i.Phase, i.logged = Closed, false
	return i.append()
}

// Tick repeats failed appends that are due.
func (t *Target) Tick(now time.Time) []Action {
	var out []Action
	for _, i := range t.openByID() {
		if !i.nextAttempt.IsZero() && !now.Before(i.nextAttempt) {
			out = append(out, i.append()...)
		}
	}
	return out
}

// Deadline returns the time at which Tick must be called next; zero if nothing is scheduled.
func (t *Target) Deadline() time.Time {
	var first time.Time
	for _, i := range t.open {
		first = earlier(first, i.nextAttempt)
	}
	return first
}

// Records returns the state for a snapshot: the open decisions and the closed transfers.
func (t *Target) Records() []TargetRecord {
	var out []TargetRecord
	for _, i := range t.openByID() {
		out = append(out, i.TargetRecord)
	}
	for source, c := range t.closed {
		id := ID{Source: source, Target: t.domain, Seq: c.closedThrough}
		if c.closedThrough > 0 {
			out = append(out, TargetRecord{ID: id, Phase: ClosedThrough})
		}
		for seq := range c.closedBeyond {
			id.Seq = seq
			out = append(out, TargetRecord{ID: id, Phase: Closed})
		}
	}
	slices.SortFunc(out, func(a, b TargetRecord) int { return compareIDs(a.ID, b.ID) })
	return out
}

// Replay applies durable records to a new target. The jobs of accepted transfers have their own records in the log.
func (t *Target) Replay(records ...TargetRecord) {
	for _, r := range records {
		switch c := t.closedFrom(r.ID.Source); r.Phase {
		case ClosedThrough:
			c.closeThrough(r.ID.Seq)
		case Closed:
			c.add(r.ID.Seq)
		default:
			t.open[r.ID] = &incomingTransfer{TargetRecord: r, logged: true}
		}
	}
	maps.DeleteFunc(t.open, func(id ID, _ *incomingTransfer) bool { return t.closedFrom(id.Source).has(id.Seq) })
}

// closedFrom returns the closed transfers from a source.
func (t *Target) closedFrom(source model.FailureDomain) *closedTransfers {
	c := t.closed[source]
	if c == nil {
		c = &closedTransfers{closedBeyond: make(map[uint64]bool)}
		t.closed[source] = c
	}
	return c
}

func (t *Target) openByID() []*incomingTransfer {
	out := slices.Collect(maps.Values(t.open))
	slices.SortFunc(out, func(a, b *incomingTransfer) int { return compareIDs(a.ID, b.ID) })
	return out
}

func (i *incomingTransfer) append() []Action {
	i.nextAttempt = time.Time{}
	return []Action{AppendTarget{i.TargetRecord}}
}

func (c *closedTransfers) has(seq uint64) bool { return seq <= c.closedThrough || c.closedBeyond[seq] }

func (c *closedTransfers) add(seq uint64) {
	if seq > c.closedThrough {
		c.closedBeyond[seq] = true
		c.closeThrough(c.closedThrough)
	}
}

// closeThrough marks all numbers up to seq as closed and moves the numbers that follow without a gap from closedBeyond
// to closedThrough.
func (c *closedTransfers) closeThrough(seq uint64) {
	c.closedThrough = max(c.closedThrough, seq)
	for c.closedBeyond[c.closedThrough+1] {
		c.closedThrough++
	}
	maps.DeleteFunc(c.closedBeyond, func(s uint64, _ bool) bool { return s <= c.closedThrough })
}
