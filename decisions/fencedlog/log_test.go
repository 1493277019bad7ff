package fencedlog_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/decisions/fencedlog"
)

func init() { testseed.SetFlags("100") }

// storeEntry is a value of the simulated store with its version.
type storeEntry struct {
	version uint64
	slot    fencedlog.Slot
	head    fencedlog.Head
	records []fencedlog.Record
}

// holder is a VM with its log and the state of its service: all records that it knows, in order of arrival.
type holder struct {
	log   *fencedlog.Log
	epoch model.Epoch
	calls []fencedlog.Call
	// delayed holds results that are delivered after those of later calls.
	delayed    []fencedlog.CallResult
	timer      fencedlog.SetTimer
	timerAt    time.Time
	records    []string
	unanswered map[uint64]appendOp
	sealed     bool
	complete   []model.Epoch
	// takeSnapshot is true while a GetSnapshot is unanswered; snapshotFirst is its First.
	takeSnapshot  bool
	snapshotFirst uint64
}

// appendOp is one append. begin and end number its start and its answer among those of all appends.
type appendOp struct {
	record     string
	id         uint64
	epoch      model.Epoch
	begin, end int
}

// simulation is a store with all holders so far. durable and refused list what the log must and must not contain.
type simulation struct {
	t       fataler
	now     time.Time
	version uint64
	store   map[string]storeEntry
	outage  bool
	holders []*holder
	lastID  uint64
	puts    int
	// events counts the starts and answers of appends.
	events  int
	durable []appendOp
	refused map[string]bool
	// unavailable holds the epochs with an append that was answered as unavailable.
	unavailable map[model.Epoch]bool
}

// fataler is the part of *testing.T and *rapid.T that the simulation uses.
type fataler interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

func newSimulation(t fataler) *simulation {
	return &simulation{
		t: t, now: time.Unix(1000, 0), store: map[string]storeEntry{}, refused: map[string]bool{},
		unavailable: map[model.Epoch]bool{},
	}
}

func (sim *simulation) elect() *holder {
	n := len(sim.holders) + 1
	h := &holder{log: fencedlog.New(fmt.Sprint("h", n)), epoch: model.Epoch{Store: uint64(n)}, unanswered: map[uint64]appendOp{}}
	sim.holders = append(sim.holders, h)
	sim.step(h, fencedlog.Open{Epoch: h.epoch})
	return h
}

func (sim *simulation) step(h *holder, e fencedlog.Event) {
	for _, a := range h.log.Step(e, sim.now) {
		switch a := a.(type) {
		case fencedlog.Call:
			h.calls = append(h.calls, a)
		case fencedlog.SetTimer:
			h.timer, h.timerAt = a, sim.now.Add(a.Delay)
		case fencedlog.GetSnapshot:
			h.takeSnapshot, h.snapshotFirst = true, a.First
		case fencedlog.AppendResult:
			sim.handleAnswer(h, a)
		case fencedlog.Replayed:
			h.sealed, h.complete = a.Sealed, a.Complete
			for _, r := range a.Records {
				h.addRecord(string(r.Data))
			}
		}
	}
}

func (h *holder) addRecord(record string) {
	if !slices.Contains(h.records, record) {
		h.records = append(h.records, record)
	}
}

func (sim *simulation) handleAnswer(h *holder, a fencedlog.AppendResult) {
	x := h.unanswered[a.ID]
	delete(h.unanswered, a.ID)
	switch {
	case x.record == "":
	case a.Outcome == fencedlog.Durable:
		sim.events++
		x.end = sim.events
		sim.durable = append(sim.durable, x)
	case a.Outcome == fencedlog.NotHolder:
		sim.refused[x.record] = true
	default:
		sim.unavailable[h.epoch] = true
	}
}

func (sim *simulation) append(h *holder, size int) {
	if !h.sealed {
		return
	}
	sim.lastID++
	record := fmt.Sprintf("%d-%d%*s", h.epoch.Store, sim.lastID, size, "")
	sim.events++
	h.unanswered[sim.lastID] = appendOp{record: record, id: sim.lastID, epoch: h.epoch, begin: sim.events}
	h.addRecord(record)
	sim.step(h, fencedlog.Append{ID: sim.lastID, Epoch: h.epoch, Records: []fencedlog.Record{{Service: "s", Data: []byte(record)}}})
}

func (sim *simulation) execute(c fencedlog.Call) fencedlog.CallResult {
	key := fmt.Sprint(c.SlotNumber)
	switch c.Op {
	case fencedlog.ReadHead, fencedlog.PutHead:
		key = "head"
	case fencedlog.ReadChunk, fencedlog.PutChunk, fencedlog.DeleteChunk:
		key = fmt.Sprintf("%d/%d", c.SlotNumber, c.Chunk)
	}
	v := sim.store[key]
	r := fencedlog.CallResult{ID: c.ID, Status: fencedlog.OK, Version: v.version, Slot: v.slot, Head: v.head, Records: v.records}
	switch c.Op {
	case fencedlog.ReadHead, fencedlog.ReadChunk, fencedlog.ReadSlot:
		return r
	}
	if v.version != c.Version {
		r.Status = fencedlog.Conflict
		return r
	}
	sim.version++
	if c.Op == fencedlog.DeleteSlot || c.Op == fencedlog.DeleteChunk {
		delete(sim.store, key)
		return r
	}
	sim.puts++
	sim.store[key] = storeEntry{version: sim.version, slot: c.Slot, head: c.Head, records: c.Records}
	return fencedlog.CallResult{ID: c.ID, Status: fencedlog.OK, Version: sim.version}
}

// completeCall executes the oldest call. Fault 1 loses the answer, 2 loses the call, 3 delays the answer, 0 is none.
func (sim *simulation) completeCall(h *holder, fault int) {
	if len(h.delayed) > 0 {
		r := h.delayed[0]
		h.delayed = h.delayed[1:]
		sim.step(h, r)
		return
	}
	if len(h.calls) == 0 {
		return
	}
	c := h.calls[0]
	h.calls = h.calls[1:]
	r := fencedlog.CallResult{ID: c.ID, Status: fencedlog.NoAnswer}
	if !sim.outage && fault != 2 {
		if r = sim.execute(c); fault == 1 {
			r = fencedlog.CallResult{ID: c.ID, Status: fencedlog.NoAnswer}
		}
	}
	if fault == 3 {
		h.delayed = append(h.delayed, r)
		return
	}
	sim.step(h, r)
}

func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, h := range sim.holders {
		if h.timer.Number != 0 && !sim.now.Before(h.timerAt) {
			h.timerAt = sim.now.Add(time.Hour)
			sim.step(h, fencedlog.TimerFired{Number: h.timer.Number})
		}
	}
}

func (sim *simulation) takeSnapshot(h *holder) {
	if !h.takeSnapshot {
		return
	}
	h.takeSnapshot = false
	e := fencedlog.Snapshot{First: h.snapshotFirst}
	for _, r := range h.records {
		e.Records = append(e.Records, fencedlog.Record{Service: "s", Data: []byte(r)})
	}
	sim.step(h, e)
}

// slotFault returns fault if the next call concerns a slot and 0 otherwise, so that snapshots overtake appends.
func (h *holder) slotFault(fault int) int {
	if len(h.calls) > 0 && (h.calls[0].Op == fencedlog.PutSlot || h.calls[0].Op == fencedlog.ReadSlot) {
		return fault
	}
	return 0
}

// runWithoutFaults completes the calls of one holder without faults.
func (sim *simulation) runWithoutFaults(rounds int, h *holder) {
	for range rounds {
		sim.completeCall(h, 0)
		sim.advance(20 * time.Millisecond)
	}
}

// checkReplay replays the log with a new holder and compares the result with the appends that were acknowledged and
// refused.
func (sim *simulation) checkReplay() {
	sim.outage = false
	h := sim.elect()
	for range 2000 {
		sim.completeCall(h, 0)
		if len(h.calls)+len(h.delayed) == 0 {
			sim.advance(50 * time.Millisecond)
		}
		if h.sealed {
			break
		}
	}
	if !h.sealed {
		sim.t.Fatal("the log was not sealed")
	}
	sim.checkOrder(h.records)
	for _, r := range h.records {
		if sim.refused[r] {
			sim.t.Fatalf("refused record %.12s is in the log", r)
		}
	}
	for _, e := range h.complete {
		if sim.unavailable[e] {
			sim.t.Fatalf("epoch %s is complete although an append was unavailable", e)
		}
	}
}

// checkOrder requires that the log contains every acknowledged record, that the records of one holder are in the order
// of their appends, and that the order of all records is linearizable: an append that began after another one was
// answered comes after it. A paused holder may receive an answer after appends of its successor began; these count as
// concurrent.
func (sim *simulation) checkOrder(log []string) {
	at := make(map[string]int, len(sim.durable))
	for _, x := range sim.durable {
		if at[x.record] = slices.Index(log, x.record); at[x.record] < 0 {
			sim.t.Fatalf("acknowledged record %.12s is lost", x.record)
		}
	}
	ordered := slices.Clone(sim.durable)
	slices.SortFunc(ordered, func(a, b appendOp) int { return at[a.record] - at[b.record] })
	last, began := make(map[model.Epoch]uint64), 0
	for _, x := range ordered {
		if x.id <= last[x.epoch] || began > x.end {
			sim.t.Fatalf("record %.12s is out of order", x.record)
		}
		last[x.epoch], began = x.id, max(began, x.begin)
	}
}

// TestLog guards against records that are lost, reordered or in the log although they were refused. The faults are
// lost and delayed answers, store outages, concurrent holders, snapshots and deletions.
func TestLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.elect()
		pick := func() *holder {
			return sim.holders[max(0, len(sim.holders)-1-rapid.IntRange(0, 2).Draw(t, "back"))]
		}
		fault := func() int { return rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 2, 3}).Draw(t, "fault") }
		t.Repeat(map[string]func(*rapid.T){
			"elect": func(*rapid.T) { sim.elect() },
			"append": func(t *rapid.T) {
				h, large := pick(), rapid.IntRange(0, 3).Draw(t, "large") == 0
				for range rapid.IntRange(1, 20).Draw(t, "n") {
					// A large record fills most of a slot, so that a few of them trigger a snapshot.
					if large {
						sim.append(h, 400_000)
					} else {
						sim.append(h, 1)
					}
				}
			},
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "rounds") {
					h := pick()
					sim.completeCall(h, fault())
					sim.takeSnapshot(h)
					sim.advance(20 * time.Millisecond)
				}
			},
			"work": func(t *rapid.T) {
				h := pick()
				sim.takeSnapshot(h)
				sim.runWithoutFaults(rapid.IntRange(1, 200).Draw(t, "rounds"), h)
			},
			"outage":  func(*rapid.T) { sim.outage = !sim.outage },
			"tick":    func(*rapid.T) { sim.advance(2 * time.Second) },
			"abandon": func(*rapid.T) { h := pick(); h.sealed = false; sim.step(h, fencedlog.Abandon{}) },
			"close": func(*rapid.T) {
				h := pick()
				sim.lastID++
				sim.step(h, fencedlog.CloseEpoch{ID: sim.lastID, Epoch: h.epoch})
			},
			"check": func(*rapid.T) { sim.checkReplay() },
			"compact": func(t *rapid.T) {
				h := sim.holders[len(sim.holders)-1]
				sim.runWithoutFaults(300, h)
				for range 12 {
					sim.append(h, 400_000)
				}
				sim.runWithoutFaults(rapid.IntRange(10, 40).Draw(t, "before"), h)
				sim.append(h, 1)
				sim.takeSnapshot(h)
				sim.append(h, 1)
				lossy := rapid.IntRange(0, 2).Draw(t, "lossy")
				for range rapid.IntRange(0, 40).Draw(t, "after") {
					sim.completeCall(h, h.slotFault(lossy))
					sim.advance(time.Millisecond)
				}
				if rapid.Bool().Draw(t, "contend") {
					other := sim.elect()
					for range rapid.IntRange(0, 60).Draw(t, "ahead") {
						sim.completeCall(other, 0)
					}
					for range rapid.IntRange(1, 80).Draw(t, "rounds") {
						sim.runWithoutFaults(rapid.IntRange(1, 4).Draw(t, "burst"), rapid.SampledFrom([]*holder{h, other}).Draw(t, "holder"))
					}
				}
				sim.runWithoutFaults(rapid.IntRange(0, 150).Draw(t, "end"), h)
				old := pick()
				sim.append(old, 1)
				sim.runWithoutFaults(10, old)
			},
			"interrupt": func(t *rapid.T) {
				h := sim.holders[len(sim.holders)-1]
				sim.runWithoutFaults(300, h)
				sim.outage = true
				sim.append(h, 1)
				sim.runWithoutFaults(rapid.IntRange(60, 120).Draw(t, "outage"), h)
				sim.outage = false
				sim.runWithoutFaults(30, h)
				sim.lastID++
				sim.step(h, fencedlog.CloseEpoch{ID: sim.lastID, Epoch: h.epoch})
				sim.runWithoutFaults(30, h)
			},
		})
		sim.checkReplay()
	})
}
