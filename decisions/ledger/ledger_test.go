package ledger

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
)

func init() {
	testseed.SetFlags("2000")
	// Many steps are needed for a key to go through two holder changes and a store outage.
	_ = flag.Set("rapid.steps", "80")
}

// vm is one entry VM of the failure domain. It may act as the holder after it has been replaced.
type vm struct {
	ledger *Ledger
	// peerRecords holds the records that this VM keeps for a holder on another VM.
	peerRecords map[string]Record
	// highestEpoch is the highest epoch that this VM has answered. It stores no records of lower ones.
	highestEpoch model.Epoch
	// unsaved lists records of the own ledger that may be missing in the log.
	unsaved []Record
	// appendFailed is true once an append of the epoch was not acknowledged.
	appendFailed bool
}

// storePeerRecords keeps records of a holder on another VM.
func (v *vm) storePeerRecords(records ...Record) {
	if v.peerRecords == nil {
		v.peerRecords = map[string]Record{}
	}
	for _, r := range records {
		v.peerRecords[fmt.Sprint(r.ID, r.Rank, r.Outcome)] = r
	}
}

// running is a request that a holder has started and not finished.
type running struct {
	vm     int
	record Record
	ticket *model.Ticket
}

// simulation holds the VMs, the log and the oracle: how often each request ran and which were reported as not run.
type simulation struct {
	now            time.Time
	storeUp        bool
	log            []Record
	complete       []model.Epoch
	lastEpoch      model.Epoch
	sealedEpoch    model.Epoch
	vms            [3]vm
	tickets        []model.Ticket
	keyGeneration  int
	running        []running
	runs           map[model.RequestID]int
	reportedNotRun map[model.RequestID]bool
}

func newSimulation() *simulation {
	sim := &simulation{
		now: time.Unix(1, 0), storeUp: true,
		runs: map[model.RequestID]int{}, reportedNotRun: map[model.RequestID]bool{},
	}
	for i := range sim.vms {
		sim.vms[i].ledger = New("a")
	}
	sim.makeHolder(0, true)
	return sim
}

func (sim *simulation) holder(t *rapid.T) (int, *vm) {
	var holders []int
	for i := range sim.vms {
		if !sim.vms[i].ledger.Epoch().IsZero() {
			holders = append(holders, i)
		}
	}
	if len(holders) == 0 {
		t.Skip("no holder")
	}
	i := rapid.SampledFrom(holders).Draw(t, "holder")
	return i, &sim.vms[i]
}

// makeDurable saves a record in the log, or otherwise at other VMs: at all of them for a key, at one for a ticket.
func (sim *simulation) makeDurable(i int, r Record, lost bool) bool {
	v := &sim.vms[i]
	if sim.storeUp && v.ledger.Epoch() == sim.sealedEpoch {
		sim.log = append(sim.log, append(v.unsaved, r)...)
		v.unsaved = nil
		if !lost {
			return true
		}
	}
	v.unsaved, v.appendFailed = append(v.unsaved, r), true
	acks := 0
	for j := range sim.vms {
		if j != i && !v.ledger.Epoch().Less(sim.vms[j].highestEpoch) {
			sim.vms[j].storePeerRecords(r)
			acks++
		}
	}
	return acks == len(sim.vms)-1 || acks > 0 && !r.Key
}

// checkOutcome compares an outcome that a caller receives with what ran.
func (sim *simulation) checkOutcome(t *rapid.T, id model.RequestID, key bool, o failure.Outcome) {
	if o == failure.NotRun {
		if sim.runs[id] > 0 {
			t.Fatalf("%s ran but was reported as not run", id)
		}
		sim.reportedNotRun[id] = sim.reportedNotRun[id] || !key
	}
	if o == failure.Run && sim.runs[id] != 1 {
		t.Fatalf("%s was reported as run and ran %d times", id, sim.runs[id])
	}
}

func (sim *simulation) send(t *rapid.T) {
	i, v := sim.holder(t)
	var ticket *model.Ticket
	id := KeyID("acme", fmt.Sprintf("%d-%d", sim.keyGeneration, rapid.IntRange(0, 2).Draw(t, "key")))
	if len(sim.tickets) > 0 && rapid.Bool().Draw(t, "ticket") {
		ticket = &sim.tickets[rapid.IntRange(0, len(sim.tickets)-1).Draw(t, "index")]
		id = model.RequestID(ticket.String())
	}
	d := v.ledger.Begin(id, ticket, 1, sim.now)
	switch d.Verdict {
	case Refuse:
		sim.checkOutcome(t, id, ticket == nil, d.Failure.Outcome)
	case Answer:
		sim.checkOutcome(t, id, ticket == nil, d.Record.Outcome)
	case Start:
		if sim.makeDurable(i, d.Record, rapid.Bool().Draw(t, "answer lost")) {
			sim.running = append(sim.running, running{i, d.Record, ticket})
			return
		}
		// A holder that could not record a key may have been replaced by one that ran the request.
		o := failure.NotRun
		if ticket == nil {
			o = failure.Unknown
		}
		v.ledger.Finish(d.Record, o, nil, nil, sim.now)
		sim.checkOutcome(t, id, ticket == nil, o)
	}
}

func (sim *simulation) finish(t *rapid.T) {
	if len(sim.running) == 0 {
		t.Skip("nothing in progress")
	}
	n := rapid.IntRange(0, len(sim.running)-1).Draw(t, "running")
	r := sim.running[n]
	sim.running = slices.Delete(sim.running, n, n+1)
	o := rapid.SampledFrom([]failure.Outcome{failure.Run, failure.NotRun, failure.Unknown, ""}).Draw(t, "outcome")
	if o == failure.Run || o == failure.Unknown && rapid.Bool().Draw(t, "ran") {
		sim.runs[r.record.ID]++
		if sim.runs[r.record.ID] > 1 || sim.reportedNotRun[r.record.ID] {
			t.Fatalf("%s ran %d times, reported as not run: %v", r.record.ID, sim.runs[r.record.ID], sim.reportedNotRun[r.record.ID])
		}
	}
	if o == "" {
		return
	}
	done, ok := sim.vms[r.vm].ledger.Finish(r.record, o, []byte(r.record.ID), nil, sim.now)
	sim.checkOutcome(t, r.record.ID, r.ticket == nil, o)
	if ok {
		sim.makeDurable(r.vm, done, rapid.Bool().Draw(t, "answer lost"))
	}
}

// takeover makes a VM the holder, with a sealed log or by a claim during a store outage.
func (sim *simulation) takeover(t *rapid.T) {
	sim.makeHolder(rapid.IntRange(0, len(sim.vms)-1).Draw(t, "vm"), rapid.Bool().Draw(t, "peers answer"))
}

func (sim *simulation) makeHolder(i int, peersAnswer bool) {
	v := &sim.vms[i]
	if sim.storeUp {
		sim.lastEpoch = model.Epoch{Store: sim.lastEpoch.Store + 1}
		sim.sealedEpoch = sim.lastEpoch
	} else {
		sim.lastEpoch.Outage++
	}
	v.ledger.Reset(sim.lastEpoch, sim.now)
	v.highestEpoch, v.unsaved, v.appendFailed = sim.lastEpoch, nil, false
	if sim.storeUp {
		v.ledger.Replay(sim.log, true, sim.complete, sim.now)
	} else {
		v.ledger.Replay(nil, false, sim.complete, sim.now)
	}
	if peersAnswer {
		for j := range sim.vms {
			sim.vms[j].highestEpoch = sim.lastEpoch
			v.ledger.Merge(slices.Collect(maps.Values(sim.vms[j].peerRecords)), sim.now)
		}
		v.ledger.AcceptNewKeys()
	}
}

// handover ends the epoch of a holder that has no requests in progress. The last append of its ledger may fail although
// the epoch is closed.
func (sim *simulation) handover(t *rapid.T) {
	_, v := sim.holder(t)
	if !sim.storeUp || v.ledger.Epoch() != sim.sealedEpoch || v.ledger.InProgress() > 0 {
		t.Skip("cannot close the log")
	}
	flushed := rapid.Bool().Draw(t, "flushed")
	if flushed {
		sim.log = append(append(sim.log, v.unsaved...), v.ledger.FlushedRecord())
	}
	if !v.appendFailed || !flushed {
		sim.complete = append(sim.complete, sim.sealedEpoch)
	}
	v.ledger.Reset(model.Epoch{}, sim.now)
}

// crash replaces a VM. At least one VM with every record survives, and the holder sends its unsaved records to the new
// VM.
func (sim *simulation) crash(t *rapid.T) {
	i := rapid.IntRange(0, len(sim.vms)-1).Draw(t, "vm")
	lost := append(slices.Collect(maps.Values(sim.vms[i].peerRecords)), sim.vms[i].unsaved...)
	sim.running = slices.DeleteFunc(sim.running, func(r running) bool { return r.vm == i })
	sim.vms[i] = vm{ledger: New("a"), highestEpoch: sim.lastEpoch}
	for j := range sim.vms {
		if j != i {
			sim.vms[j].storePeerRecords(lost...)
		}
		sim.vms[i].storePeerRecords(sim.vms[j].unsaved...)
	}
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"send": sim.send, "send again": sim.send, "send more": sim.send, "finish": sim.finish, "finish more": sim.finish, "takeover": sim.takeover, "handover": sim.handover, "crash": sim.crash,
		"issue": func(t *rapid.T) {
			_, v := sim.holder(t)
			tickets, _ := v.ledger.IssueTickets(2, sim.now)
			sim.tickets = append(sim.tickets, tickets...)
		},
		"store": func(*rapid.T) { sim.storeUp = !sim.storeUp },
		"compact": func(t *rapid.T) {
			_, v := sim.holder(t)
			if sim.storeUp && v.ledger.Epoch() == sim.sealedEpoch {
				sim.log = append(v.ledger.Snapshot(), v.unsaved...)
			}
		},
		"collect": func(t *rapid.T) {
			// Callers do not use a key again after its retention time.
			sim.now, sim.keyGeneration = sim.now.Add(KeyRetention), sim.keyGeneration+1
			for i := range sim.vms {
				sim.vms[i].ledger.Collect(sim.now)
			}
		},
	}
}

// TestAtMostOnce guards against requests that run twice and against false outcomes "not run" and "run". The faults are
// duplicate requests, lost answers, holder changes, store outages, lost VMs and the removal of old records.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newSimulation().actions()) })
}

// TestHomeIsStable guards against a home domain that depends on the order of the failure domains or ignores the prefix
// of the key.
func TestHomeIsStable(t *testing.T) {
	g := gomega.NewWithT(t)
	for i := range 50 {
		key := fmt.Sprint("order-", i)
		g.Expect(HomeDomain(key, []model.FailureDomain{"b", "a", "c"})).To(gomega.Equal(HomeDomain(key, []model.FailureDomain{"a", "c", "b"})))
	}
	g.Expect(HomeDomain("b/x", []model.FailureDomain{"a", "b"})).To(gomega.Equal(model.FailureDomain("b")))
	g.Expect(KeyID("a/b", "c")).NotTo(gomega.Equal(KeyID("a", "b/c")))
}

// TestContentAndBodies guards against a recorded response that is returned for different content, and against a
// duplicate that gets an incomplete response, because its body was too large to keep.
func TestContentAndBodies(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Unix(1, 0)
	l := New("a")
	l.Reset(model.Epoch{Store: 1}, now)
	l.Replay(nil, true, nil, now)
	l.AcceptNewKeys()
	begin := func(id model.RequestID, hash uint64) Decision { return l.Begin(id, nil, hash, now) }
	small, large := begin("key/a/1", 1), begin("key/a/2", 1)
	g.Expect(begin("key/a/1", 1).Verdict).To(gomega.Equal(Join))
	g.Expect(begin("key/a/1", 2).Failure.Reason).To(gomega.Equal(failure.KeyReused))
	l.Finish(small.Record, failure.Run, []byte("x"), nil, now)
	l.Finish(large.Record, failure.Run, make([]byte, MaxBodyBytes+1), nil, now)
	g.Expect(begin("key/a/1", 1).Record.Body).To(gomega.Equal([]byte("x")))
	f := begin("key/a/2", 1).Record.Failure()
	g.Expect(f.Reason).To(gomega.Equal(failure.ResponseExpired))
	g.Expect(f.Outcome).To(gomega.Equal(failure.Run))
	now = now.Add(KeyRetention)
	l.Collect(now)
	g.Expect(begin("key/a/1", 2).Verdict).To(gomega.Equal(Start), "a key counts as new after its retention")
}
