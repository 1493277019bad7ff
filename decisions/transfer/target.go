package transfer

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// incoming is an open transfer at its target.
type incoming struct {
	TargetRecord
	// logged is true once the phase is durable. Answers are given only then.
	logged bool
	// next is the time at which a failed append is repeated; zero if there is none.
	next time.Time
}

// closings are the closed transfers of one source.
type closings struct {
	// through is the number up to which all transfers are closed; above holds closed ones beyond it.
	through uint64
	above   map[uint64]bool
}

// Target decides the incoming transfers of one failure domain.
type Target struct {
	domain model.FailureDomain
	open   map[ID]*incoming
	closed map[model.FailureDomain]*closings
}

// NewTarget returns a target that knows no transfers.
func NewTarget(d model.FailureDomain) *Target {
	return &Target{domain: d, open: make(map[ID]*incoming), closed: make(map[model.FailureDomain]*closings)}
}

// Offered applies a JobAccept. d is the decision that the caller would make now: accepted, with the identifier of the
// new job, or refused. It is ignored if the transfer has been decided. If no action answers, Answer follows once the
// decision is durable.
func (t *Target) Offered(id ID, d Decision, _ time.Time) []Action { return t.ask(id, d, MaxOpen) }

// Withdrawn applies a JobWithdraw; answered as Offered.
func (t *Target) Withdrawn(id ID, _ time.Time) []Action {
	return t.ask(id, Decision{Reason: ReasonWithdrawn}, MaxWithdrawn)
}

// ask repeats the decision of a transfer, or makes it unless bound entries are open.
func (t *Target) ask(id ID, d Decision, bound int) []Action {
	c := t.closedOf(id.Source)
	i := t.open[id]
	switch {
	case c.has(id.Seq):
		return []Action{Defer{ID: id, Reason: AlreadyClosed}}
	case i != nil && i.logged || i != nil && i.Phase == Closed:
		return []Action{Answer{ID: id, Decision: i.Decision}}
	case i != nil:
		return nil
	case len(t.open) >= bound || id.Seq > c.through+Window:
		return []Action{Defer{ID: id, Reason: Full}}
	}
	i = &incoming{TargetRecord: TargetRecord{ID: id, Phase: Decided, Decision: d}}
	t.open[id] = i
	return i.append()
}

// Logged applies the end of an append; durable is false if the record may be missing in the log.
func (t *Target) Logged(r TargetRecord, durable bool, now time.Time) []Action {
	i := t.open[r.ID]
	if i == nil || i.logged || i.Phase != r.Phase {
		return nil
	}
	if !durable {
		i.next = now.Add(logRetry)
		return nil
	}
	if i.Phase == Closed {
		delete(t.open, r.ID)
		t.closedOf(r.ID.Source).add(r.ID.Seq)
		return []Action{AnswerDone{ID: r.ID}}
	}
	i.logged = true
	out := []Action{Answer{ID: i.ID, Decision: i.Decision}}
	if i.Decision.Accepted {
		out = append(out, Enqueue{ID: i.ID, Job: i.Decision.Job})
	}
	return out
}

// Done applies a TransferDone. The decision is forgotten once this is durable. If no action answers, AnswerDone
// follows then.
func (t *Target) Done(id ID, _ time.Time) []Action {
	if t.closedOf(id.Source).has(id.Seq) {
		return []Action{AnswerDone{ID: id}}
	}
	i := t.open[id]
	if i == nil || !i.logged || i.Phase == Closed {
		return nil
	}
	i.Phase, i.logged = Closed, false
	return i.append()
}

// Tick repeats failed appends.
func (t *Target) Tick(now time.Time) []Action {
	var out []Action
	for _, i := range t.sorted() {
		if !i.next.IsZero() && !now.Before(i.next) {
			out = append(out, i.append()...)
		}
	}
	return out
}

// Deadline returns the time at which Tick must be called; zero if there is none.
func (t *Target) Deadline() time.Time {
	var first time.Time
	for _, i := range t.open {
		first = earlier(first, i.next)
	}
	return first
}

// Records returns the state for a snapshot: the open decisions and the closed transfers.
func (t *Target) Records() []TargetRecord {
	var out []TargetRecord
	for _, i := range t.sorted() {
		out = append(out, i.TargetRecord)
	}
	for source, c := range t.closed {
		id := ID{Source: source, Target: t.domain, Seq: c.through}
		if c.through > 0 {
			out = append(out, TargetRecord{ID: id, Phase: ClosedThrough})
		}
		for seq := range c.above {
			id.Seq = seq
			out = append(out, TargetRecord{ID: id, Phase: Closed})
		}
	}
	slices.SortFunc(out, func(a, b TargetRecord) int { return compare(a.ID, b.ID) })
	return out
}

// Replay applies durable records to a new target. The jobs of accepted transfers are in the log themselves.
func (t *Target) Replay(records ...TargetRecord) {
	for _, r := range records {
		switch c := t.closedOf(r.ID.Source); r.Phase {
		case ClosedThrough:
			c.raise(r.ID.Seq)
		case Closed:
			c.add(r.ID.Seq)
		default:
			t.open[r.ID] = &incoming{TargetRecord: r, logged: true}
		}
	}
	maps.DeleteFunc(t.open, func(id ID, _ *incoming) bool { return t.closedOf(id.Source).has(id.Seq) })
}

func (t *Target) closedOf(source model.FailureDomain) *closings {
	c := t.closed[source]
	if c == nil {
		c = &closings{above: make(map[uint64]bool)}
		t.closed[source] = c
	}
	return c
}

func (t *Target) sorted() []*incoming {
	out := slices.Collect(maps.Values(t.open))
	slices.SortFunc(out, func(a, b *incoming) int { return compare(a.ID, b.ID) })
	return out
}

func (i *incoming) append() []Action {
	i.next = time.Time{}
	return []Action{AppendTarget{i.TargetRecord}}
}

func (c *closings) has(seq uint64) bool { return seq <= c.through || c.above[seq] }

func (c *closings) add(seq uint64) {
	if seq > c.through {
		c.above[seq] = true
		c.raise(c.through)
	}
}

// raise closes all numbers up to seq and those that follow without a gap.
func (c *closings) raise(seq uint64) {
	c.through = max(c.through, seq)
	for c.above[c.through+1] {
		c.through++
	}
	maps.DeleteFunc(c.above, func(s uint64, _ bool) bool { return s <= c.through })
}
