package transfer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// outgoingTransfer is an open transfer at its source.
type outgoingTransfer struct {
	SourceRecord
	// logged is true once the record of the phase is durable. Messages are sent only then.
	logged bool
	// firstOffer is the time at which this process first sent the offer.
	firstOffer time.Time
	// nextAttempt is the time at which the message or append is repeated; zero while an append is in progress.
	nextAttempt time.Time
	resendDelay time.Duration
}

// Source is the state machine of the outgoing transfers of one failure domain.
type Source struct {
	domain model.FailureDomain
	open   map[ID]*outgoingTransfer
	// jobs maps each job in an undecided transfer to that transfer.
	jobs map[model.JobID]ID
	// lastSeq is the highest number used for each target.
	lastSeq map[model.FailureDomain]uint64
	// lastOrder is the highest Order used.
	lastOrder uint64
	// closedThrough is the number up to which transfers to a target without a record are closed. It is used only during
	// a replay.
	closedThrough map[model.FailureDomain]uint64
}

// NewSource returns a source without transfers.
func NewSource(d model.FailureDomain) *Source {
	return &Source{
		domain: d, open: make(map[ID]*outgoingTransfer), jobs: make(map[model.JobID]ID),
		lastSeq: make(map[model.FailureDomain]uint64), closedThrough: make(map[model.FailureDomain]uint64),
	}
}

// Begin starts a transfer of a job. If it returns actions, the caller must not start the job any more. It returns nil
// and changes nothing if the job is already being transferred, the target is the own failure domain, or too many
// transfers to the target are open.
func (s *Source) Begin(job model.JobID, target model.FailureDomain, _ time.Time) []Action {
	if _, busy := s.jobs[job]; busy || target == s.domain || s.lastSeq[target]+1 >= s.oldestOpenSeq(target)+Window {
		return nil
	}
	s.lastSeq[target]++
	s.lastOrder++
	id := ID{Source: s.domain, Target: target, Seq: s.lastSeq[target]}
	o := &outgoingTransfer{SourceRecord: SourceRecord{ID: id, Order: s.lastOrder, Job: job, Phase: Offering}}
	s.open[id], s.jobs[job] = o, id
	return o.append()
}

// oldestOpenSeq returns the lowest number of the open transfers to a target, or the next number if none is open.
func (s *Source) oldestOpenSeq(target model.FailureDomain) uint64 {
	low := s.lastSeq[target] + 1
	for id := range s.open {
		if id.Target == target {
			low = min(low, id.Seq)
		}
	}
	return low
}

// Withdraw asks the target to refuse the undecided transfer of a job, for example because the job was cancelled. The
// target may have accepted already; DecisionDurable reports its decision.
func (s *Source) Withdraw(job model.JobID, _ time.Time) []Action {
	o := s.open[s.jobs[job]]
	if o == nil || o.Phase != Offering {
		return nil
	}
	return o.enterPhase(Withdrawing)
}

// HandleDecision applies a decision of the target.
func (s *Source) HandleDecision(id ID, d Decision, _ time.Time) []Action {
	o := s.open[id]
	if o == nil || o.Phase.rank() >= Decided.rank() {
		return nil
	}
	o.Decision = d
	return o.enterPhase(Decided)
}

// HandleAppendResult applies the result of an append. durable is false if the record may be missing in the log.
func (s *Source) HandleAppendResult(r SourceRecord, durable bool, now time.Time) []Action {
	o := s.open[r.ID]
	if o == nil || o.logged || o.Phase != r.Phase {
		return nil
	}
	if !durable {
		o.nextAttempt = now.Add(appendRetryDelay)
		return nil
	}
	o.logged, o.resendDelay = true, initialResendDelay
	if o.Phase != Decided {
		return s.send(o, now)
	}
	if o.Job == "" {
		return s.send(o, now)
	}
	s.releaseJob(o)
	return append([]Action{DecisionDurable{ID: o.ID, Job: o.Job, Decision: o.Decision}}, s.send(o, now)...)
}

// HandleConfirmed closes a transfer that the target has closed. The result of the append that it returns need not be
// reported: if the record is lost in a crash, the source sends Confirm again.
func (s *Source) HandleConfirmed(id ID, _ time.Time) []Action {
	o := s.open[id]
	if o == nil || o.Phase != Decided || !o.logged {
		return nil
	}
	delete(s.open, id)
	return []Action{AppendSource{SourceRecord{ID: id, Order: o.Order, Job: o.Job, Phase: Closed, Decision: o.Decision}}}
}

// Tick repeats messages and failed appends that are due.
func (s *Source) Tick(now time.Time) []Action {
	var out []Action
	for _, o := range s.openByID() {
		if o.nextAttempt.IsZero() || now.Before(o.nextAttempt) {
			continue
		}
		switch {
		case !o.logged:
			out = append(out, o.append()...)
		case o.Phase == Offering && !now.Before(o.firstOffer.Add(withdrawAfter)):
			out = append(out, o.enterPhase(Withdrawing)...)
		default:
			out = append(out, s.send(o, now)...)
		}
	}
	return out
}

// Deadline returns the time at which Tick must be called next; zero if nothing is scheduled.
func (s *Source) Deadline() time.Time {
	var first time.Time
	for _, o := range s.open {
		first = earlier(first, o.nextAttempt)
	}
	return first
}

// UndecidedCount returns the number of transfers without a durable decision.
func (s *Source) UndecidedCount() int { return len(s.jobs) }

// UndecidedTransfer returns the undecided transfer of a job; false if there is none.
func (s *Source) UndecidedTransfer(job model.JobID) (ID, bool) {
	id, ok := s.jobs[job]
	return id, ok
}

// Records returns the state for a snapshot: the open transfers and, for each target, the number up to which all other
// transfers are closed.
func (s *Source) Records() []SourceRecord {
	var out []SourceRecord
	for _, o := range s.openByID() {
		out = append(out, o.SourceRecord)
	}
	for target, seq := range s.lastSeq {
		id := ID{Source: s.domain, Target: target, Seq: seq}
		out = append(out, SourceRecord{ID: id, Order: s.lastOrder, Phase: ClosedThrough})
	}
	slices.SortStableFunc(out, func(a, b SourceRecord) int { return compareIDs(a.ID, b.ID) })
	return out
}

// Replay applies durable records to a new source, those of the snapshot first. It must be called before Resume.
func (s *Source) Replay(records ...SourceRecord) {
	for _, r := range records {
		s.lastSeq[r.ID.Target], s.lastOrder = max(s.lastSeq[r.ID.Target], r.ID.Seq), max(s.lastOrder, r.Order)
		o := s.open[r.ID]
		switch {
		case r.Phase == ClosedThrough:
			s.closedThrough[r.ID.Target] = max(s.closedThrough[r.ID.Target], r.ID.Seq)
		case o == nil && r.ID.Seq <= s.closedThrough[r.ID.Target]:
			// The snapshot is newer than the record; the transfer was closed before it.
		case o == nil || o.Phase.rank() < r.Phase.rank():
			s.open[r.ID] = &outgoingTransfer{SourceRecord: r, logged: true, resendDelay: initialResendDelay}
		}
	}
}

// Resume ends a replay and returns the messages of all open transfers. Afterwards a job is not runnable while
// UndecidedTransfer returns a transfer for it, even if the job's own record says otherwise: a snapshot may contain a
// transfer that is newer than the records that follow the snapshot. For the same reason Resume returns DecisionDurable
// for the latest transfer of a job if it is decided. The caller ignores this DecisionDurable unless the job is being
// transferred.
func (s *Source) Resume(now time.Time) []Action {
	s.fillGaps()
	maps.DeleteFunc(s.open, func(_ ID, o *outgoingTransfer) bool { return o.Phase == Closed })
	latest := make(map[model.JobID]*outgoingTransfer)
	for _, o := range s.open {
		if l := latest[o.Job]; o.Job != "" && (l == nil || l.Order < o.Order) {
			latest[o.Job] = o
		}
	}
	var out []Action
	for _, o := range s.openByID() {
		switch {
		case latest[o.Job] != o:
		case o.Phase == Decided:
			out = append(out, DecisionDurable{ID: o.ID, Job: o.Job, Decision: o.Decision})
		default:
			s.jobs[o.Job] = o.ID
		}
		out = append(out, s.send(o, now)...)
	}
	return out
}

// fillGaps adds a withdrawal for each number without a record below the highest number with one. The record of
// such a transfer was lost in a crash before any message was sent, but the target needs every number to be closed.
func (s *Source) fillGaps() {
	for target, lastSeq := range s.lastSeq {
		for seq := s.closedThrough[target] + 1; seq < lastSeq; seq++ {
			id := ID{Source: s.domain, Target: target, Seq: seq}
			if s.open[id] == nil {
				s.open[id] = &outgoingTransfer{
					SourceRecord: SourceRecord{ID: id, Phase: Withdrawing}, logged: true, resendDelay: initialResendDelay,
				}
			}
		}
	}
	clear(s.closedThrough)
}

// send returns the message of the current phase, which must be durable, and schedules its repetition.
func (s *Source) send(o *outgoingTransfer, now time.Time) []Action {
	o.nextAttempt, o.resendDelay = now.Add(o.resendDelay), min(2*o.resendDelay, maxResendDelay)
	switch o.Phase {
	case Offering:
		if o.firstOffer.IsZero() {
			o.firstOffer = now
		}
		return []Action{Offer{ID: o.ID, Job: o.Job}}
	case Withdrawing:
		return []Action{Withdraw{ID: o.ID, Job: o.Job}}
	default:
		return []Action{Confirm{ID: o.ID}}
	}
}

// releaseJob ends the undecided state of the job of a transfer.
func (s *Source) releaseJob(o *outgoingTransfer) {
	if s.jobs[o.Job] == o.ID {
		delete(s.jobs, o.Job)
	}
}

func (s *Source) openByID() []*outgoingTransfer {
	out := make([]*outgoingTransfer, 0, len(s.open))
	for _, o := range s.open {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *outgoingTransfer) int { return compareIDs(a.ID, b.ID) })
	return out
}

// enterPhase changes the phase and appends its record.
func (o *outgoingTransfer) enterPhase(p Phase) []Action {
	o.Phase, o.logged = p, false
	return o.append()
}

func (o *outgoingTransfer) append() []Action {
	o.nextAttempt = time.Time{}
	return []Action{AppendSource{o.SourceRecord}}
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Seq, b.Seq))
}

// earlier returns the earlier of two times. A zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
