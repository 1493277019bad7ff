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
	testseed.SetFlags("1000")
	// A transfer with a crash at its source, a crash at its target and a late copy of its offer needs about 60 steps.
	_ = flag.Set("rapid.steps", "120")
}

// jobEntry is a job as the scheduler of its failure domain keeps it.
type jobEntry struct {
	state model.JobState
	// durable is true once the record of the state is durable.
	durable bool
}

func (e jobEntry) runnable() bool { return e.state == model.JobQueued && e.durable }

// logRecord is one append: either a record of a source or one of a target.
type logRecord struct {
	source *SourceRecord
	target *TargetRecord
}

// domainState is the state of a failure domain: its log, and the volatile state that is lost in a crash.
type domainState struct {
	domain model.FailureDomain
	// snapshot holds the jobs at the start of the log; outgoing and incoming hold the transfers.
	snapshot map[model.JobID]jobEntry
	outgoing []SourceRecord
	incoming []TargetRecord
	log      []logRecord
	// snapshotStart is the index of the first record that the snapshot in progress does not replace; -1 if there is none.
	snapshotStart  int
	source         *Source
	target         *Target
	jobs           map[model.JobID]jobEntry
	pendingAppends []logRecord
}

// message is a message in the network. action is the action that sends it.
type message struct {
	to     model.FailureDomain
	action Action
}

// domains lists the failure domains. There are three, because transfers of one job to different targets are numbered
// independently.
var domains = []model.FailureDomain{"a", "b", "c"}

// simulation holds the failure domains and a network that loses, duplicates, delays and reorders messages.
type simulation struct {
	now          time.Time
	domainStates map[model.FailureDomain]*domainState
	messages     []message
	lastJobID    int
}

// logicalJobs lists the jobs. A transfer creates a copy of a job, whose identifier starts with the name of the job.
var logicalJobs = []string{"j0", "j1", "j2"}

func newSimulation() *simulation {
	sim := &simulation{now: time.Unix(1000, 0), domainStates: map[model.FailureDomain]*domainState{}}
	for _, d := range domains {
		sim.domainStates[d] = &domainState{domain: d, snapshot: map[model.JobID]jobEntry{}}
	}
	for _, j := range logicalJobs {
		sim.domainStates["a"].snapshot[model.JobID(j+"-0")] = jobEntry{model.JobQueued, true}
	}
	for _, d := range domains {
		sim.restart(sim.domainStates[d])
	}
	return sim
}

// applyRecord changes a job as the scheduler does when it appends or replays the record.
func applyRecord(jobs map[model.JobID]jobEntry, l logRecord, durable bool) {
	switch {
	case l.source != nil && l.source.Job != "" && l.source.Phase != Closed:
		state := model.JobTransferring
		if l.source.Phase == Decided {
			state = stateAfter(l.source.Decision)
		}
		jobs[l.source.Job] = jobEntry{state, durable}
	case l.target != nil && l.target.Phase == Decided && l.target.Decision.Accepted:
		jobs[l.target.Decision.Job] = jobEntry{model.JobQueued, durable}
	}
}

func stateAfter(d Decision) model.JobState {
	if d.Accepted {
		return model.JobMoved
	}
	return model.JobQueued
}

// rebuild returns the state that a new holder restores from the snapshot and the log, and its first actions.
func (s *domainState) rebuild(now time.Time) (domainState, []Action) {
	n := domainState{domain: s.domain, source: NewSource(s.domain), target: NewTarget(s.domain), jobs: maps.Clone(s.snapshot)}
	n.source.Replay(s.outgoing...)
	n.target.Replay(s.incoming...)
	for _, l := range s.log {
		applyRecord(n.jobs, l, true)
		if l.source != nil {
			n.source.Replay(*l.source)
		} else {
			n.target.Replay(*l.target)
		}
	}
	actions := n.source.Resume(now)
	for id, e := range n.jobs {
		if _, ok := n.source.UndecidedTransfer(id); ok {
			e.state = model.JobTransferring
		}
		n.jobs[id] = e
	}
	for _, a := range actions {
		n.applyDecisionDurable(a)
	}
	return n, actions
}

// applyDecisionDurable applies a DecisionDurable action to a job that is being transferred or whose final state was not
// durable.
func (s *domainState) applyDecisionDurable(a Action) {
	e, ok := a.(DecisionDurable)
	if state := s.jobs[e.Job].state; ok && (state == model.JobTransferring || state == stateAfter(e.Decision)) {
		s.jobs[e.Job] = jobEntry{stateAfter(e.Decision), true}
	}
}

// restart discards the volatile state of a failure domain and restores it from the log.
func (sim *simulation) restart(s *domainState) {
	n, actions := s.rebuild(sim.now)
	s.source, s.target, s.jobs, s.pendingAppends, s.snapshotStart = n.source, n.target, n.jobs, nil, -1
	sim.execute(s, actions)
}

// compact begins a snapshot or ends the one in progress. At its end, the current state, durable or not, replaces the
// records before its begin.
func (s *domainState) compact() {
	if s.snapshotStart < 0 {
		s.snapshotStart = len(s.log)
		return
	}
	s.snapshot = make(map[model.JobID]jobEntry)
	for id, e := range s.jobs {
		s.snapshot[id] = jobEntry{e.state, true}
	}
	s.log, s.snapshotStart = s.log[s.snapshotStart:], -1
	s.outgoing, s.incoming = s.source.Records(), s.target.Records()
}

func (sim *simulation) execute(s *domainState, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case AppendSource:
			s.append(logRecord{source: &a.Record})
		case AppendTarget:
			s.append(logRecord{target: &a.Record})
		case DecisionDurable:
			s.applyDecisionDurable(a)
		case Enqueue:
			s.jobs[a.Job] = jobEntry{model.JobQueued, true}
		case Offer:
			sim.send(a.ID.Target, a)
		case Withdraw:
			sim.send(a.ID.Target, a)
		case Confirm:
			sim.send(a.ID.Target, a)
		case ReplyDecision:
			sim.send(a.ID.Source, a)
		case ReplyDone:
			sim.send(a.ID.Source, a)
		}
	}
}

func (sim *simulation) send(to model.FailureDomain, a Action) {
	sim.messages = append(sim.messages, message{to, a})
}

func (s *domainState) append(l logRecord) {
	applyRecord(s.jobs, l, false)
	s.pendingAppends = append(s.pendingAppends, l)
}

// deliver passes a message to its receiver. d is the decision of a target that has not decided yet.
func (sim *simulation) deliver(m message, d Decision) {
	s := sim.domainStates[m.to]
	switch a := m.action.(type) {
	case Offer:
		if d.Accepted {
			sim.lastJobID++
			d.Job = model.JobID(fmt.Sprintf("%.2s-%d", a.Job, sim.lastJobID))
		}
		sim.execute(s, s.target.HandleOffer(a.ID, d, sim.now))
	case Withdraw:
		sim.execute(s, s.target.HandleWithdraw(a.ID, sim.now))
	case Confirm:
		sim.execute(s, s.target.HandleDone(a.ID, sim.now))
	case ReplyDecision:
		sim.execute(s, s.source.HandleDecision(a.ID, a.Decision, sim.now))
	case ReplyDone:
		sim.execute(s, s.source.HandleConfirmed(a.ID, sim.now))
	}
}

// completeAppend completes the oldest append of a failure domain. written is true if the log contains the record,
// durable if the append is acknowledged.
func (sim *simulation) completeAppend(s *domainState, written, durable bool) {
	l := s.pendingAppends[0]
	s.pendingAppends = s.pendingAppends[1:]
	if written {
		s.log = append(s.log, l)
	}
	if l.source != nil {
		sim.execute(s, s.source.HandleAppendResult(*l.source, durable, sim.now))
	} else {
		sim.execute(s, s.target.HandleAppendResult(*l.target, durable, sim.now))
	}
}

func (sim *simulation) advance(by time.Duration) {
	sim.now = sim.now.Add(by)
	for _, d := range domains {
		sim.execute(sim.domainStates[d], sim.domainStates[d].source.Tick(sim.now))
		sim.execute(sim.domainStates[d], sim.domainStates[d].target.Tick(sim.now))
	}
}

// runnable counts the copies of each job that a failure domain may start, now or after a restart.
func (sim *simulation) runnable() map[string]int {
	out := make(map[string]int)
	for _, s := range sim.domainStates {
		after, _ := s.rebuild(sim.now)
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

func (sim *simulation) checkRunnableOnce(t *rapid.T) {
	copies := sim.runnable()
	for _, j := range logicalJobs {
		if n := copies[j]; n > 1 {
			t.Fatalf("%s is runnable %d times", j, n)
		}
	}
}

// checkWithoutFaults runs the simulation without further faults and checks that in the end each job is runnable exactly
// once and no transfer is open.
func (sim *simulation) checkWithoutFaults(t *rapid.T) {
	for range 40 {
		for _, d := range domains {
			for len(sim.domainStates[d].pendingAppends) > 0 {
				sim.completeAppend(sim.domainStates[d], true, true)
			}
		}
		messages := sim.messages
		sim.messages = nil
		for _, m := range messages {
			sim.deliver(m, Decision{Accepted: true})
			sim.checkRunnableOnce(t)
		}
		sim.advance(maxResendDelay)
	}
	for _, j := range logicalJobs {
		if n := sim.runnable()[j]; n != 1 {
			t.Fatalf("%s is runnable %d times after the faults", j, n)
		}
	}
	for _, d := range domains {
		s := sim.domainStates[d]
		if len(s.source.open)+len(s.target.open)+len(s.source.jobs) > 0 {
			t.Fatalf("%s keeps transfers: %v, %v", d, s.source.Records(), s.target.Records())
		}
		for source, c := range s.target.closed {
			if lastSeq := sim.domainStates[source].source.lastSeq[d]; c.closedThrough != lastSeq || len(c.closedBeyond) > 0 {
				t.Fatalf("%s has closed %d and %v of %d transfers", d, c.closedThrough, c.closedBeyond, lastSeq)
			}
		}
	}
}

// TestTransfers guards against a job that is runnable in two failure domains or in none. Messages are lost, duplicated,
// delayed and reordered, appends fail or are not acknowledged, and any failure domain crashes at any point.
func TestTransfers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		pick := func() *domainState { return sim.domainStates[rapid.SampledFrom(domains).Draw(t, "side")] }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				s := pick()
				for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
					if s.jobs[id].runnable() && rapid.Bool().Draw(t, "begin") {
						sim.execute(s, s.source.Begin(id, rapid.SampledFrom(domains).Draw(t, "target"), sim.now))
					}
				}
			},
			"withdraw": func(t *rapid.T) {
				s := pick()
				for _, id := range slices.Sorted(maps.Keys(s.source.jobs)) {
					sim.execute(s, s.source.Withdraw(id, sim.now))
				}
			},
			"message": func(t *rapid.T) {
				for range min(len(sim.messages), rapid.IntRange(1, 4).Draw(t, "messages")) {
					i := rapid.IntRange(0, len(sim.messages)-1).Draw(t, "message")
					fault := rapid.SampledFrom([]string{"deliver", "deliver", "repeat", "repeat", "lose"}).Draw(t, "fault")
					m := sim.messages[i]
					if fault != "repeat" {
						sim.messages = slices.Delete(sim.messages, i, i+1)
					}
					if fault != "lose" {
						sim.deliver(m, Decision{Accepted: rapid.IntRange(0, 3).Draw(t, "accepts") > 0, Reason: "busy"})
					}
				}
			},
			"write": func(t *rapid.T) {
				for s := pick(); len(s.pendingAppends) > 0; {
					end := rapid.SampledFrom([]string{"durable", "durable", "durable", "failed", "answer lost"}).Draw(t, "end")
					sim.completeAppend(s, end != "failed", end == "durable")
				}
			},
			"crash": func(t *rapid.T) {
				if s := pick(); rapid.IntRange(0, 2).Draw(t, "crash") == 0 {
					sim.restart(s)
				}
			},
			"snapshot": func(*rapid.T) { pick().compact() },
			"time":     func(t *rapid.T) { sim.advance(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second) },
			"":         sim.checkRunnableOnce,
		})
		sim.checkWithoutFaults(t)
	})
}

// TestBounds guards against a target whose number of open transfers grows without bound, and against a target that
// cannot decide a withdrawal because too many offers are open. The job of the source could then never run.
func TestBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	target, now := NewTarget("b"), time.Unix(1000, 0)
	id := func(n int) ID {
		return ID{Source: model.FailureDomain(fmt.Sprintf("s%d", n/Window)), Target: "b", Seq: uint64(n%Window) + 1}
	}
	for n := range MaxOpenOffers {
		g.Expect(target.HandleOffer(id(n), Decision{Accepted: true}, now)).To(gomega.HaveLen(1))
	}
	g.Expect(target.HandleOffer(id(MaxOpenOffers), Decision{Accepted: true}, now)).To(gomega.ConsistOf(Defer{id(MaxOpenOffers), TooManyOpen}))
	g.Expect(target.HandleWithdraw(id(MaxOpenOffers), now)).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(AppendTarget{})))
	far := ID{Source: "c", Target: "b", Seq: Window + 1}
	g.Expect(target.HandleWithdraw(far, now)).To(gomega.ConsistOf(Defer{far, TooManyOpen}))

	source := NewSource("a")
	for n := range Window {
		g.Expect(source.Begin(model.JobID(fmt.Sprint(n)), "b", now)).To(gomega.HaveLen(1), "%d", n)
	}
	g.Expect(source.Begin("last", "b", now)).To(gomega.BeEmpty())
	g.Expect(source.UndecidedCount()).To(gomega.Equal(Window))
}

// TestUnreachableTarget guards against a transfer to an unreachable target that is never withdrawn, and against
// messages that are repeated without a delay.
func TestUnreachableTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := NewSource("a"), time.Unix(1000, 0)
	begun := s.Begin("j", "b", now)[0].(AppendSource).Record
	g.Expect(s.Deadline().IsZero()).To(gomega.BeTrue(), "nothing to do before the record is durable")
	g.Expect(s.HandleAppendResult(begun, true, now)).To(gomega.HaveLen(1))
	var sent []string
	for range 6 {
		g.Expect(s.Deadline()).To(gomega.BeTemporally(">", now))
		now = s.Deadline()
		for _, a := range s.Tick(now) {
			sent = append(sent, fmt.Sprintf("%T", a))
			if r, ok := a.(AppendSource); ok {
				g.Expect(s.HandleAppendResult(r.Record, true, now)).To(gomega.ConsistOf(Withdraw{begun.ID, "j"}))
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

// TestReplayOfClosed guards against a transfer that is closed in the snapshot and reopened by an older record in the
// log. Its target would never decide it.
func TestReplayOfClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	id := ID{Source: "a", Target: "b", Seq: 1}
	s := NewSource("a")
	s.Replay(SourceRecord{ID: id, Order: 1, Phase: ClosedThrough}, SourceRecord{ID: id, Order: 1, Job: "j", Phase: Withdrawing})
	g.Expect(s.Resume(time.Unix(1000, 0))).To(gomega.BeEmpty())
	g.Expect(s.UndecidedCount()).To(gomega.BeZero())
}
