package transfer

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
)

func init() {
	testseed.Fix("1000")
	// A transfer with a crash on each side and a late copy of its offer needs about 60 steps.
	_ = flag.Set("rapid.steps", "120")
}

// entry is a job of one side as its service keeps it.
type entry struct {
	state model.JobState
	// confirmed is true once the state is durable.
	confirmed bool
}

func (e entry) runnable() bool { return e.state == model.JobQueued && e.confirmed }

// logged is one append: a record of either kind.
type logged struct {
	source *SourceRecord
	target *TargetRecord
}

// side is a failure domain: a log, and the volatile state that a crash loses.
type side struct {
	domain model.FailureDomain
	// snapshot holds the jobs at the start of the log, outgoing and incoming the transfers.
	snapshot map[model.JobID]entry
	outgoing []SourceRecord
	incoming []TargetRecord
	log      []logged
	// first is the first record after the snapshot that has begun, -1 if none has.
	first   int
	source  *Source
	target  *Target
	jobs    map[model.JobID]entry
	appends []logged
}

// message is a message in the network; action is what its sender wanted.
type message struct {
	to     model.FailureDomain
	action Action
}

// names are the failure domains. Transfers of one job to different targets have no common numbers.
var names = []model.FailureDomain{"a", "b", "c"}

// world is the failure domains and a network that loses, repeats, delays and reorders messages.
type world struct {
	now   time.Time
	sides map[model.FailureDomain]*side
	net   []message
	ids   int
}

// logicalJobs is the number of jobs; the identifiers of their copies start with their names.
var logicalJobs = []string{"j0", "j1", "j2"}

func newWorld() *world {
	w := &world{now: time.Unix(1000, 0), sides: map[model.FailureDomain]*side{}}
	for _, d := range names {
		w.sides[d] = &side{domain: d, snapshot: map[model.JobID]entry{}}
	}
	for _, j := range logicalJobs {
		w.sides["a"].snapshot[model.JobID(j+"-0")] = entry{model.JobQueued, true}
	}
	for _, d := range names {
		w.restart(w.sides[d])
	}
	return w
}

// apply changes a job as the service does together with an append, or at its replay.
func apply(jobs map[model.JobID]entry, l logged, durable bool) {
	switch {
	case l.source != nil && l.source.Job != "" && l.source.Phase != Closed:
		state := model.JobTransferring
		if l.source.Phase == Decided {
			state = ended(l.source.Decision)
		}
		jobs[l.source.Job] = entry{state, durable}
	case l.target != nil && l.target.Phase == Decided && l.target.Decision.Accepted:
		jobs[l.target.Decision.Job] = entry{model.JobQueued, durable}
	}
}

func ended(d Decision) model.JobState {
	if d.Accepted {
		return model.JobMoved
	}
	return model.JobQueued
}

// rebuild returns what a new holder makes of the snapshot and the log, and its actions.
func (s *side) rebuild(now time.Time) (side, []Action) {
	n := side{domain: s.domain, source: NewSource(s.domain), target: NewTarget(s.domain), jobs: maps.Clone(s.snapshot)}
	n.source.Replay(s.outgoing...)
	n.target.Replay(s.incoming...)
	for _, l := range s.log {
		apply(n.jobs, l, true)
		if l.source != nil {
			n.source.Replay(*l.source)
		} else {
			n.target.Replay(*l.target)
		}
	}
	actions := n.source.Resume(now)
	for id, e := range n.jobs {
		if _, ok := n.source.Transferring(id); ok {
			e.state = model.JobTransferring
		}
		n.jobs[id] = e
	}
	for _, a := range actions {
		n.end(a)
	}
	return n, actions
}

// end applies an Ended to a job that is being transferred or whose end was not durable.
func (s *side) end(a Action) {
	e, ok := a.(Ended)
	if state := s.jobs[e.Job].state; ok && (state == model.JobTransferring || state == ended(e.Decision)) {
		s.jobs[e.Job] = entry{ended(e.Decision), true}
	}
}

// restart loses the volatile state of a side.
func (w *world) restart(s *side) {
	n, actions := s.rebuild(w.now)
	s.source, s.target, s.jobs, s.appends, s.first = n.source, n.target, n.jobs, nil, -1
	w.act(s, actions)
}

// compact begins a snapshot, or ends one: the present state, durable or not, replaces the log before the begin.
func (s *side) compact() {
	if s.first < 0 {
		s.first = len(s.log)
		return
	}
	s.snapshot = make(map[model.JobID]entry)
	for id, e := range s.jobs {
		s.snapshot[id] = entry{e.state, true}
	}
	s.log, s.first = s.log[s.first:], -1
	s.outgoing, s.incoming = s.source.Records(), s.target.Records()
}

func (w *world) act(s *side, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case AppendSource:
			s.append(logged{source: &a.Record})
		case AppendTarget:
			s.append(logged{target: &a.Record})
		case Ended:
			s.end(a)
		case Enqueue:
			s.jobs[a.Job] = entry{model.JobQueued, true}
		case Offer:
			w.send(a.ID.Target, a)
		case Withdraw:
			w.send(a.ID.Target, a)
		case Confirm:
			w.send(a.ID.Target, a)
		case Answer:
			w.send(a.ID.Source, a)
		case AnswerDone:
			w.send(a.ID.Source, a)
		}
	}
}

func (w *world) send(to model.FailureDomain, a Action) { w.net = append(w.net, message{to, a}) }

func (s *side) append(l logged) {
	apply(s.jobs, l, false)
	s.appends = append(s.appends, l)
}

// deliver hands a message to its receiver. d is the decision of a target that has not decided.
func (w *world) deliver(m message, d Decision) {
	s := w.sides[m.to]
	switch a := m.action.(type) {
	case Offer:
		if d.Accepted {
			w.ids++
			d.Job = model.JobID(fmt.Sprintf("%.2s-%d", a.Job, w.ids))
		}
		w.act(s, s.target.Offered(a.ID, d, w.now))
	case Withdraw:
		w.act(s, s.target.Withdrawn(a.ID, w.now))
	case Confirm:
		w.act(s, s.target.Done(a.ID, w.now))
	case Answer:
		w.act(s, s.source.Answered(a.ID, a.Decision, w.now))
	case AnswerDone:
		w.act(s, s.source.Confirmed(a.ID, w.now))
	}
}

// write ends the oldest append of a side.
func (w *world) write(s *side, taken, durable bool) {
	l := s.appends[0]
	s.appends = s.appends[1:]
	if taken {
		s.log = append(s.log, l)
	}
	if l.source != nil {
		w.act(s, s.source.Logged(*l.source, durable, w.now))
	} else {
		w.act(s, s.target.Logged(*l.target, durable, w.now))
	}
}

func (w *world) tick(by time.Duration) {
	w.now = w.now.Add(by)
	for _, d := range names {
		w.act(w.sides[d], w.sides[d].source.Tick(w.now))
		w.act(w.sides[d], w.sides[d].target.Tick(w.now))
	}
}

// runnable counts the copies of each job that a side may start, now or after a restart.
func (w *world) runnable() map[string]int {
	out := make(map[string]int)
	for _, s := range w.sides {
		after, _ := s.rebuild(w.now)
		ids := maps.Clone(s.jobs)
		maps.Copy(ids, after.jobs)
		for id := range ids {
			if s.jobs[id].runnable() || after.jobs[id].runnable() {
				out[strings.Split(string(id), "-")[0]]++
			}
		}
	}
	return out
}

func (w *world) check(t *rapid.T) {
	copies := w.runnable()
	for _, j := range logicalJobs {
		if n := copies[j]; n > 1 {
			t.Fatalf("%s is runnable %d times", j, n)
		}
	}
}

// settle ends all faults and checks that each job is runnable once and that no transfer stays open.
func (w *world) settle(t *rapid.T) {
	for range 40 {
		for _, d := range names {
			for len(w.sides[d].appends) > 0 {
				w.write(w.sides[d], true, true)
			}
		}
		net := w.net
		w.net = nil
		for _, m := range net {
			w.deliver(m, Decision{Accepted: true})
			w.check(t)
		}
		w.tick(resendMax)
	}
	for _, j := range logicalJobs {
		if n := w.runnable()[j]; n != 1 {
			t.Fatalf("%s is runnable %d times after the faults", j, n)
		}
	}
	for _, d := range names {
		s := w.sides[d]
		if len(s.source.open)+len(s.target.open)+len(s.source.jobs) > 0 {
			t.Fatalf("%s keeps transfers: %v, %v", d, s.source.Records(), s.target.Records())
		}
		for source, c := range s.target.closed {
			if last := w.sides[source].source.last[d]; c.through != last || len(c.above) > 0 {
				t.Fatalf("%s has closed %d and %v of %d transfers", d, c.through, c.above, last)
			}
		}
	}
}

// TestTransfers guards against a job that is runnable in two failure domains or in none, whatever is lost, repeated,
// late or out of order and whichever side crashes at whatever point.
func TestTransfers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		pick := func() *side { return w.sides[rapid.SampledFrom(names).Draw(t, "side")] }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				s := pick()
				for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
					if s.jobs[id].runnable() && rapid.Bool().Draw(t, "begin") {
						w.act(s, s.source.Begin(id, rapid.SampledFrom(names).Draw(t, "target"), w.now))
					}
				}
			},
			"withdraw": func(t *rapid.T) {
				s := pick()
				for _, id := range slices.Sorted(maps.Keys(s.source.jobs)) {
					w.act(s, s.source.Withdraw(id, w.now))
				}
			},
			"message": func(t *rapid.T) {
				for range min(len(w.net), rapid.IntRange(1, 4).Draw(t, "messages")) {
					i := rapid.IntRange(0, len(w.net)-1).Draw(t, "message")
					fate := rapid.SampledFrom([]string{"deliver", "deliver", "repeat", "repeat", "lose"}).Draw(t, "fate")
					m := w.net[i]
					if fate != "repeat" {
						w.net = slices.Delete(w.net, i, i+1)
					}
					if fate != "lose" {
						w.deliver(m, Decision{Accepted: rapid.IntRange(0, 3).Draw(t, "accepts") > 0, Reason: "busy"})
					}
				}
			},
			"write": func(t *rapid.T) {
				for s := pick(); len(s.appends) > 0; {
					end := rapid.SampledFrom([]string{"durable", "durable", "durable", "failed", "answer lost"}).Draw(t, "end")
					w.write(s, end != "failed", end == "durable")
				}
			},
			"crash": func(t *rapid.T) {
				if s := pick(); rapid.IntRange(0, 2).Draw(t, "crash") == 0 {
					w.restart(s)
				}
			},
			"snapshot": func(*rapid.T) { pick().compact() },
			"time":     func(t *rapid.T) { w.tick(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second) },
			"":         w.check,
		})
		w.settle(t)
	})
}

// TestBounds guards against a target whose table grows without bound, and against one that is so full that it cannot
// decide a withdrawal, which would keep the job of the source from running.
func TestBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	target, now := NewTarget("b"), time.Unix(1000, 0)
	id := func(n int) ID {
		return ID{Source: model.FailureDomain(fmt.Sprintf("s%d", n/Window)), Target: "b", Seq: uint64(n%Window) + 1}
	}
	for n := range MaxOpen {
		g.Expect(target.Offered(id(n), Decision{Accepted: true}, now)).To(gomega.HaveLen(1))
	}
	g.Expect(target.Offered(id(MaxOpen), Decision{Accepted: true}, now)).To(gomega.ConsistOf(Defer{id(MaxOpen), Full}))
	g.Expect(target.Withdrawn(id(MaxOpen), now)).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(AppendTarget{})))
	far := ID{Source: "c", Target: "b", Seq: Window + 1}
	g.Expect(target.Withdrawn(far, now)).To(gomega.ConsistOf(Defer{far, Full}))

	source := NewSource("a")
	for n := range Window {
		g.Expect(source.Begin(model.JobID(fmt.Sprint(n)), "b", now)).To(gomega.HaveLen(1), "%d", n)
	}
	g.Expect(source.Begin("last", "b", now)).To(gomega.BeEmpty())
	g.Expect(source.Undecided()).To(gomega.Equal(Window))
}

// TestUnreachableTarget guards against a transfer that is never withdrawn, and against messages without a delay.
func TestUnreachableTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := NewSource("a"), time.Unix(1000, 0)
	begun := s.Begin("j", "b", now)[0].(AppendSource).Record
	g.Expect(s.Deadline().IsZero()).To(gomega.BeTrue(), "nothing to do before the record is durable")
	g.Expect(s.Logged(begun, true, now)).To(gomega.HaveLen(1))
	var sent []string
	for range 6 {
		g.Expect(s.Deadline()).To(gomega.BeTemporally(">", now))
		now = s.Deadline()
		for _, a := range s.Tick(now) {
			sent = append(sent, fmt.Sprintf("%T", a))
			if r, ok := a.(AppendSource); ok {
				g.Expect(s.Logged(r.Record, true, now)).To(gomega.ConsistOf(Withdraw{begun.ID, "j"}))
			}
		}
	}
	g.Expect(sent).To(gomega.Equal([]string{
		"transfer.Offer", "transfer.Offer", "transfer.Offer", "transfer.AppendSource", "transfer.Withdraw", "transfer.Withdraw",
	}))
	id, err := ParseID(begun.ID.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(id).To(gomega.Equal(begun.ID))
}

// TestReplayOfClosed guards against a transfer that an old record opens again although the snapshot has closed it; its
// target would never decide it.
func TestReplayOfClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	id := ID{Source: "a", Target: "b", Seq: 1}
	s := NewSource("a")
	s.Replay(SourceRecord{ID: id, Order: 1, Phase: ClosedThrough}, SourceRecord{ID: id, Order: 1, Job: "j", Phase: Withdrawing})
	g.Expect(s.Resume(time.Unix(1000, 0))).To(gomega.BeEmpty())
	g.Expect(s.Undecided()).To(gomega.BeZero())
}
