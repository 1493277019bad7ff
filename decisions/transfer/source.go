package transfer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// outgoing is an open transfer at its source.
type outgoing struct {
	SourceRecord
	// logged is true once the phase is durable. Messages are sent only then.
	logged bool
	// offered is the time of the first offer of this process.
	offered time.Time
	// next is the time of the next message or append; zero while an append is in progress.
	next  time.Time
	delay time.Duration
}

// Source decides the outgoing transfers of one failure domain.
type Source struct {
	domain model.FailureDomain
	open   map[ID]*outgoing
	jobs   map[model.JobID]ID
	// last is the highest number that was used for each target.
	last map[model.FailureDomain]uint64
	// order is the last Order that was used.
	order uint64
	// through is used in a replay: all transfers up to this number without a record are closed.
	through map[model.FailureDomain]uint64
}

// NewSource returns a source without transfers.
func NewSource(d model.FailureDomain) *Source {
	return &Source{
		domain: d, open: make(map[ID]*outgoing), jobs: make(map[model.JobID]ID),
		last: make(map[model.FailureDomain]uint64), through: make(map[model.FailureDomain]uint64),
	}
}

// Begin starts a transfer of a job that is not being transferred. From now on the caller does not start the job. It
// returns nil, and the job stays as it is, if the job is being transferred or too many transfers to the target are open.
func (s *Source) Begin(job model.JobID, target model.FailureDomain, _ time.Time) []Action {
	if _, busy := s.jobs[job]; busy || target == s.domain || s.last[target]+1 >= s.oldest(target)+Window {
		return nil
	}
	s.last[target]++
	s.order++
	id := ID{Source: s.domain, Target: target, Seq: s.last[target]}
	o := &outgoing{SourceRecord: SourceRecord{ID: id, Order: s.order, Job: job, Phase: Offering}}
	s.open[id], s.jobs[job] = o, id
	return o.append()
}

// oldest returns the lowest open number to a target, or the next one if none is open.
func (s *Source) oldest(target model.FailureDomain) uint64 {
	low := s.last[target] + 1
	for id := range s.open {
		if id.Target == target {
			low = min(low, id.Seq)
		}
	}
	return low
}

// Withdraw asks the target to refuse the undecided transfer of a job, for example because the job was cancelled. The
// target may have accepted already; Ended tells.
func (s *Source) Withdraw(job model.JobID, _ time.Time) []Action {
	o := s.open[s.jobs[job]]
	if o == nil || o.Phase != Offering {
		return nil
	}
	return o.advance(Withdrawing)
}

// Answered applies a decision of the target.
func (s *Source) Answered(id ID, d Decision, _ time.Time) []Action {
	o := s.open[id]
	if o == nil || o.Phase.rank() >= Decided.rank() {
		return nil
	}
	o.Decision = d
	return o.advance(Decided)
}

// Logged applies the end of an append; durable is false if the record may be missing in the log.
func (s *Source) Logged(r SourceRecord, durable bool, now time.Time) []Action {
	o := s.open[r.ID]
	if o == nil || o.logged || o.Phase != r.Phase {
		return nil
	}
	if !durable {
		o.next = now.Add(logRetry)
		return nil
	}
	o.logged, o.delay = true, resendFirst
	if o.Phase != Decided {
		return s.send(o, now)
	}
	if o.Job == "" {
		return s.send(o, now)
	}
	s.release(o)
	return append([]Action{Ended{ID: o.ID, Job: o.Job, Decision: o.Decision}}, s.send(o, now)...)
}

// Confirmed applies that the target has closed a transfer. The record that it returns needs no answer: after a crash
// without it the target is asked again.
func (s *Source) Confirmed(id ID, _ time.Time) []Action {
	o := s.open[id]
	if o == nil || o.Phase != Decided || !o.logged {
		return nil
	}
	delete(s.open, id)
	return []Action{AppendSource{SourceRecord{ID: id, Order: o.Order, Job: o.Job, Phase: Closed, Decision: o.Decision}}}
}

// Tick sends messages again and repeats failed appends.
func (s *Source) Tick(now time.Time) []Action {
	var out []Action
	for _, o := range s.sorted() {
		if o.next.IsZero() || now.Before(o.next) {
			continue
		}
		switch {
		case !o.logged:
			out = append(out, o.append()...)
		case o.Phase == Offering && !now.Before(o.offered.Add(withdrawAfter)):
			out = append(out, o.advance(Withdrawing)...)
		default:
			out = append(out, s.send(o, now)...)
		}
	}
	return out
}

// Deadline returns the time at which Tick must be called; zero if there is none.
func (s *Source) Deadline() time.Time {
	var first time.Time
	for _, o := range s.open {
		first = earlier(first, o.next)
	}
	return first
}

// Undecided counts the transfers without a durable decision.
func (s *Source) Undecided() int { return len(s.jobs) }

// Transferring returns the undecided transfer of a job; false if there is none.
func (s *Source) Transferring(job model.JobID) (ID, bool) {
	id, ok := s.jobs[job]
	return id, ok
}

// Records returns the state for a snapshot: the open transfers and, for each target, the number up to which all others
// are closed.
func (s *Source) Records() []SourceRecord {
	var out []SourceRecord
	for _, o := range s.sorted() {
		out = append(out, o.SourceRecord)
	}
	for target, seq := range s.last {
		id := ID{Source: s.domain, Target: target, Seq: seq}
		out = append(out, SourceRecord{ID: id, Order: s.order, Phase: ClosedThrough})
	}
	slices.SortStableFunc(out, func(a, b SourceRecord) int { return compare(a.ID, b.ID) })
	return out
}

// Replay applies durable records to a new source, those of the snapshot first, before Resume.
func (s *Source) Replay(records ...SourceRecord) {
	for _, r := range records {
		s.last[r.ID.Target], s.order = max(s.last[r.ID.Target], r.ID.Seq), max(s.order, r.Order)
		o := s.open[r.ID]
		switch {
		case r.Phase == ClosedThrough:
			s.through[r.ID.Target] = max(s.through[r.ID.Target], r.ID.Seq)
		case o == nil && r.ID.Seq <= s.through[r.ID.Target]:
			// The snapshot is newer than the record and has closed the transfer.
		case o == nil || o.Phase.rank() < r.Phase.rank():
			s.open[r.ID] = &outgoing{SourceRecord: r, logged: true, delay: resendFirst}
		}
	}
}

// Resume ends a replay and returns the messages of all open transfers. Afterwards a job is not runnable while
// Transferring gives a transfer for it, whatever its own record says: a snapshot may hold a transfer that is newer than the
// records after it. For the same reason Ended is given again for the latest transfer of a job if it is
// decided; the caller ignores it unless the job is being transferred.
func (s *Source) Resume(now time.Time) []Action {
	s.fillGaps()
	maps.DeleteFunc(s.open, func(_ ID, o *outgoing) bool { return o.Phase == Closed })
	latest := make(map[model.JobID]*outgoing)
	for _, o := range s.open {
		if l := latest[o.Job]; o.Job != "" && (l == nil || l.Order < o.Order) {
			latest[o.Job] = o
		}
	}
	var out []Action
	for _, o := range s.sorted() {
		switch {
		case latest[o.Job] != o:
		case o.Phase == Decided:
			out = append(out, Ended{ID: o.ID, Job: o.Job, Decision: o.Decision})
		default:
			s.jobs[o.Job] = o.ID
		}
		out = append(out, s.send(o, now)...)
	}
	return out
}

// fillGaps withdraws the numbers without a record below one with a record. The record of such a transfer was not
// durable before a crash, so that nothing was sent; the target waits for its number to be closed.
func (s *Source) fillGaps() {
	for target, last := range s.last {
		for seq := s.through[target] + 1; seq < last; seq++ {
			id := ID{Source: s.domain, Target: target, Seq: seq}
			if s.open[id] == nil {
				s.open[id] = &outgoing{SourceRecord: SourceRecord{ID: id, Phase: Withdrawing}, logged: true, delay: resendFirst}
			}
		}
	}
	clear(s.through)
}

// send returns the message of a durable phase.
func (s *Source) send(o *outgoing, now time.Time) []Action {
	o.next, o.delay = now.Add(o.delay), min(2*o.delay, resendMax)
	switch o.Phase {
	case Offering:
		if o.offered.IsZero() {
			o.offered = now
		}
		return []Action{Offer{ID: o.ID, Job: o.Job}}
	case Withdrawing:
		return []Action{Withdraw{ID: o.ID, Job: o.Job}}
	default:
		return []Action{Confirm{ID: o.ID}}
	}
}

func (s *Source) release(o *outgoing) {
	if s.jobs[o.Job] == o.ID {
		delete(s.jobs, o.Job)
	}
}

func (s *Source) sorted() []*outgoing {
	out := make([]*outgoing, 0, len(s.open))
	for _, o := range s.open {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *outgoing) int { return compare(a.ID, b.ID) })
	return out
}

// advance enters a phase and asks for its record.
func (o *outgoing) advance(p Phase) []Action {
	o.Phase, o.logged = p, false
	return o.append()
}

func (o *outgoing) append() []Action {
	o.next = time.Time{}
	return []Action{AppendSource{o.SourceRecord}}
}

func compare(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Seq, b.Seq))
}

// earlier returns the earlier of two times, where zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
