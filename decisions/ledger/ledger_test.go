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
	testseed.Fix("2000")
	// Long runs are needed for a key that meets two holder changes and an outage.
	_ = flag.Set("rapid.steps", "80")
}

// vm is one entry VM of the failure domain; it may believe that it is the holder.
type vm struct {
	ledger  *Ledger
	kept    map[string]Record
	fence   model.Epoch
	unsaved []Record
	outage  bool
}

// keep stores records as a peer does.
func (v *vm) keep(records ...Record) {
	if v.kept == nil {
		v.kept = map[string]Record{}
	}
	for _, r := range records {
		v.kept[fmt.Sprint(r.ID, r.Rank, r.Outcome)] = r
	}
}

// running is a request that a holder has started.
type running struct {
	vm     int
	rec    Record
	ticket *model.Ticket
}

// world is the oracle: it counts what truly ran and which promises were given.
type world struct {
	now      time.Time
	storeUp  bool
	log      []Record
	complete []model.Epoch
	top      model.Epoch
	sealed   model.Epoch
	vms      [3]vm
	tickets  []model.Ticket
	keys     int
	running  []running
	runs     map[model.RequestID]int
	denied   map[model.RequestID]bool
}

func newWorld() *world {
	w := &world{now: time.Unix(1, 0), storeUp: true, runs: map[model.RequestID]int{}, denied: map[model.RequestID]bool{}}
	for i := range w.vms {
		w.vms[i].ledger = New("a")
	}
	w.lead(0, true)
	return w
}

func (w *world) holder(t *rapid.T) (int, *vm) {
	var holders []int
	for i := range w.vms {
		if !w.vms[i].ledger.Epoch().IsZero() {
			holders = append(holders, i)
		}
	}
	if len(holders) == 0 {
		t.Skip("no holder")
	}
	i := rapid.SampledFrom(holders).Draw(t, "holder")
	return i, &w.vms[i]
}

// save makes a record durable in the log, or else at other VMs: at all of them for a key, at one for a ticket.
func (w *world) save(i int, r Record, lost bool) bool {
	v := &w.vms[i]
	if w.storeUp && v.ledger.Epoch() == w.sealed {
		w.log = append(w.log, append(v.unsaved, r)...)
		v.unsaved = nil
		if !lost {
			return true
		}
	}
	v.unsaved, v.outage = append(v.unsaved, r), true
	acks := 0
	for j := range w.vms {
		if j != i && !v.ledger.Epoch().Less(w.vms[j].fence) {
			w.vms[j].keep(r)
			acks++
		}
	}
	return acks == len(w.vms)-1 || acks > 0 && !r.Key
}

func (w *world) check(t *rapid.T, id model.RequestID, key bool, o failure.Outcome) {
	if o == failure.NotRun {
		if w.runs[id] > 0 {
			t.Fatalf("%s ran but was reported as not run", id)
		}
		w.denied[id] = w.denied[id] || !key
	}
	if o == failure.Run && w.runs[id] != 1 {
		t.Fatalf("%s was reported as run and ran %d times", id, w.runs[id])
	}
}

func (w *world) send(t *rapid.T) {
	i, v := w.holder(t)
	var ticket *model.Ticket
	id := KeyID("acme", fmt.Sprintf("%d-%d", w.keys, rapid.IntRange(0, 2).Draw(t, "key")))
	if len(w.tickets) > 0 && rapid.Bool().Draw(t, "ticket") {
		ticket = &w.tickets[rapid.IntRange(0, len(w.tickets)-1).Draw(t, "index")]
		id = model.RequestID(ticket.String())
	}
	d := v.ledger.Begin(id, ticket, 1, w.now)
	switch d.Verdict {
	case Refuse:
		w.check(t, id, ticket == nil, d.Failure.Outcome)
	case Answer:
		w.check(t, id, ticket == nil, d.Record.Outcome)
	case Start:
		if w.save(i, d.Record, rapid.Bool().Draw(t, "answer lost")) {
			w.running = append(w.running, running{i, d.Record, ticket})
			return
		}
		// A holder that could not record a key may have been replaced by one that ran it.
		o := failure.NotRun
		if ticket == nil {
			o = failure.Unknown
		}
		v.ledger.Finish(d.Record, o, nil, nil, w.now)
		w.check(t, id, ticket == nil, o)
	}
}

func (w *world) finish(t *rapid.T) {
	if len(w.running) == 0 {
		t.Skip("nothing in progress")
	}
	n := rapid.IntRange(0, len(w.running)-1).Draw(t, "running")
	r := w.running[n]
	w.running = slices.Delete(w.running, n, n+1)
	o := rapid.SampledFrom([]failure.Outcome{failure.Run, failure.NotRun, failure.Unknown, ""}).Draw(t, "outcome")
	if o == failure.Run || o == failure.Unknown && rapid.Bool().Draw(t, "ran") {
		w.runs[r.rec.ID]++
		if w.runs[r.rec.ID] > 1 || w.denied[r.rec.ID] {
			t.Fatalf("%s ran %d times, reported as not run: %v", r.rec.ID, w.runs[r.rec.ID], w.denied[r.rec.ID])
		}
	}
	if o == "" {
		return
	}
	done, ok := w.vms[r.vm].ledger.Finish(r.rec, o, []byte(r.rec.ID), nil, w.now)
	w.check(t, r.rec.ID, r.ticket == nil, o)
	if ok {
		w.save(r.vm, done, rapid.Bool().Draw(t, "answer lost"))
	}
}

// takeover makes a VM the holder: with a sealed log, or by a claim during an outage.
func (w *world) takeover(t *rapid.T) {
	w.lead(rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm"), rapid.Bool().Draw(t, "peers answer"))
}

func (w *world) lead(i int, peersAnswer bool) {
	v := &w.vms[i]
	if w.storeUp {
		w.top = model.Epoch{Store: w.top.Store + 1}
		w.sealed = w.top
	} else {
		w.top.Outage++
	}
	v.ledger.Hold(w.top, w.now)
	v.fence, v.unsaved, v.outage = w.top, nil, false
	if w.storeUp {
		v.ledger.Replay(w.log, true, w.complete, w.now)
	} else {
		v.ledger.Replay(nil, false, w.complete, w.now)
	}
	if peersAnswer {
		for j := range w.vms {
			w.vms[j].fence = w.top
			v.ledger.Merge(slices.Collect(maps.Values(w.vms[j].kept)), w.now)
		}
		v.ledger.OpenKeys()
	}
}

// handover ends the authority of a holder that has nothing in progress. The last append of its ledger may
// fail although the epoch is closed.
func (w *world) handover(t *rapid.T) {
	_, v := w.holder(t)
	if !w.storeUp || v.ledger.Epoch() != w.sealed || v.ledger.Pending() > 0 {
		t.Skip("cannot close the log")
	}
	flushed := rapid.Bool().Draw(t, "flushed")
	if flushed {
		w.log = append(append(w.log, v.unsaved...), v.ledger.Flush())
	}
	if !v.outage || !flushed {
		w.complete = append(w.complete, w.sealed)
	}
	v.ledger.Hold(model.Epoch{}, w.now)
}

// crash replaces a VM. One VM with every record survives, and the holder repeats its records to the new VM.
func (w *world) crash(t *rapid.T) {
	i := rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")
	lost := append(slices.Collect(maps.Values(w.vms[i].kept)), w.vms[i].unsaved...)
	w.running = slices.DeleteFunc(w.running, func(r running) bool { return r.vm == i })
	w.vms[i] = vm{ledger: New("a"), fence: w.top}
	for j := range w.vms {
		if j != i {
			w.vms[j].keep(lost...)
		}
		w.vms[i].keep(w.vms[j].unsaved...)
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"send": w.send, "send again": w.send, "send more": w.send, "finish": w.finish, "finish more": w.finish, "takeover": w.takeover, "handover": w.handover, "crash": w.crash,
		"issue": func(t *rapid.T) {
			_, v := w.holder(t)
			tickets, _ := v.ledger.Issue(2, w.now)
			w.tickets = append(w.tickets, tickets...)
		},
		"store": func(*rapid.T) { w.storeUp = !w.storeUp },
		"compact": func(t *rapid.T) {
			_, v := w.holder(t)
			if w.storeUp && v.ledger.Epoch() == w.sealed {
				w.log = append(v.ledger.Snapshot(), v.unsaved...)
			}
		},
		"collect": func(t *rapid.T) {
			// A caller uses no key again after its retention.
			w.now, w.keys = w.now.Add(KeyRetention), w.keys+1
			for i := range w.vms {
				w.vms[i].ledger.Collect(w.now)
			}
		},
	}
}

// TestAtMostOnce guards against a request that runs twice, a false "not run" and a false "run" under
// duplicates, lost answers, holder changes, store outages, lost VMs and garbage collection.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newWorld().actions()) })
}

// TestHomeIsStable guards against a key whose home depends on the order of the settings, or that ignores its prefix.
func TestHomeIsStable(t *testing.T) {
	g := gomega.NewWithT(t)
	for i := range 50 {
		key := fmt.Sprint("order-", i)
		g.Expect(Home(key, []model.FailureDomain{"b", "a", "c"})).To(gomega.Equal(Home(key, []model.FailureDomain{"a", "c", "b"})))
	}
	g.Expect(Home("b/x", []model.FailureDomain{"a", "b"})).To(gomega.Equal(model.FailureDomain("b")))
	g.Expect(KeyID("a/b", "c")).NotTo(gomega.Equal(KeyID("a", "b/c")))
}

// TestContentAndBodies guards against an answer to other content and against an incomplete answer to a duplicate.
func TestContentAndBodies(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Unix(1, 0)
	l := New("a")
	l.Hold(model.Epoch{Store: 1}, now)
	l.Replay(nil, true, nil, now)
	l.OpenKeys()
	begin := func(id model.RequestID, hash uint64) Decision { return l.Begin(id, nil, hash, now) }
	small, large := begin("key/a/1", 1), begin("key/a/2", 1)
	g.Expect(begin("key/a/1", 1).Verdict).To(gomega.Equal(Join))
	g.Expect(begin("key/a/1", 2).Failure.Reason).To(gomega.Equal(failure.KeyReused))
	l.Finish(small.Record, failure.Run, []byte("x"), nil, now)
	l.Finish(large.Record, failure.Run, make([]byte, MaxBody+1), nil, now)
	g.Expect(begin("key/a/1", 1).Record.Body).To(gomega.Equal([]byte("x")))
	f := begin("key/a/2", 1).Record.Failure()
	g.Expect(f.Reason).To(gomega.Equal(failure.ResponseExpired))
	g.Expect(f.Outcome).To(gomega.Equal(failure.Run))
	now = now.Add(KeyRetention)
	l.Collect(now)
	g.Expect(begin("key/a/1", 2).Verdict).To(gomega.Equal(Start), "a key counts as new after its retention")
}
