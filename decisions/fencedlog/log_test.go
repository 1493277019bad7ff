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

func init() { testseed.Fix("100") }

type value struct {
	version uint64
	slot    fencedlog.Slot
	head    fencedlog.Head
	records []fencedlog.Record
}

// holder is a VM with its log and the state of its service: all records that it knows, in order.
type holder struct {
	log      *fencedlog.Log
	epoch    model.Epoch
	calls    []fencedlog.Call
	late     []fencedlog.Result
	wake     fencedlog.Wake
	wakeAt   time.Time
	state    []string
	appends  map[uint64]appended
	sealed   bool
	complete []model.Epoch
	snapshot bool
	first    uint64
}

// appended is one append. begin and end are its places among the starts and ends of all appends.
type appended struct {
	record     string
	id         uint64
	epoch      model.Epoch
	begin, end int
}

// world is a store and the holders that ever existed; durable and refused are the oracle.
type world struct {
	t       failer
	now     time.Time
	version uint64
	data    map[string]value
	outage  bool
	holders []*holder
	ids     uint64
	puts    int
	// events counts the starts and ends of appends.
	events  int
	durable []appended
	refused map[string]bool
	// unavailable lists the epochs with an append that was answered as unavailable.
	unavailable map[model.Epoch]bool
}

// failer is a *testing.T or a *rapid.T.
type failer interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

func newWorld(t failer) *world {
	return &world{
		t: t, now: time.Unix(1000, 0), data: map[string]value{}, refused: map[string]bool{},
		unavailable: map[model.Epoch]bool{},
	}
}

func (w *world) elect() *holder {
	n := len(w.holders) + 1
	h := &holder{log: fencedlog.New(fmt.Sprint("h", n)), epoch: model.Epoch{Store: uint64(n)}, appends: map[uint64]appended{}}
	w.holders = append(w.holders, h)
	w.step(h, fencedlog.Open{Epoch: h.epoch})
	return h
}

func (w *world) step(h *holder, e fencedlog.Event) {
	for _, a := range h.log.Step(e, w.now) {
		switch a := a.(type) {
		case fencedlog.Call:
			h.calls = append(h.calls, a)
		case fencedlog.Wake:
			h.wake, h.wakeAt = a, w.now.Add(a.Delay)
		case fencedlog.GetSnapshot:
			h.snapshot, h.first = true, a.First
		case fencedlog.Answer:
			w.answered(h, a)
		case fencedlog.Replayed:
			h.sealed, h.complete = a.Sealed, a.Complete
			for _, r := range a.Records {
				h.learn(string(r.Data))
			}
		}
	}
}

func (h *holder) learn(record string) {
	if !slices.Contains(h.state, record) {
		h.state = append(h.state, record)
	}
}

func (w *world) answered(h *holder, a fencedlog.Answer) {
	x := h.appends[a.ID]
	delete(h.appends, a.ID)
	switch {
	case x.record == "":
	case a.Outcome == fencedlog.Durable:
		w.events++
		x.end = w.events
		w.durable = append(w.durable, x)
	case a.Outcome == fencedlog.NotHolder:
		w.refused[x.record] = true
	default:
		w.unavailable[h.epoch] = true
	}
}

func (w *world) append(h *holder, size int) {
	if !h.sealed {
		return
	}
	w.ids++
	record := fmt.Sprintf("%d-%d%*s", h.epoch.Store, w.ids, size, "")
	w.events++
	h.appends[w.ids] = appended{record: record, id: w.ids, epoch: h.epoch, begin: w.events}
	h.learn(record)
	w.step(h, fencedlog.Append{ID: w.ids, Epoch: h.epoch, Records: []fencedlog.Record{{Service: "s", Data: []byte(record)}}})
}

func (w *world) apply(c fencedlog.Call) fencedlog.Result {
	key := fmt.Sprint(c.N)
	switch c.Op {
	case fencedlog.ReadHead, fencedlog.PutHead:
		key = "head"
	case fencedlog.ReadChunk, fencedlog.PutChunk, fencedlog.DeleteChunk:
		key = fmt.Sprintf("%d/%d", c.N, c.Chunk)
	}
	v := w.data[key]
	r := fencedlog.Result{ID: c.ID, Status: fencedlog.OK, Version: v.version, Slot: v.slot, Head: v.head, Records: v.records}
	switch c.Op {
	case fencedlog.ReadHead, fencedlog.ReadChunk, fencedlog.ReadSlot:
		return r
	}
	if v.version != c.Version {
		r.Status = fencedlog.Conflict
		return r
	}
	w.version++
	if c.Op == fencedlog.DeleteSlot || c.Op == fencedlog.DeleteChunk {
		delete(w.data, key)
		return r
	}
	w.puts++
	w.data[key] = value{version: w.version, slot: c.Slot, head: c.Head, records: c.Records}
	return fencedlog.Result{ID: c.ID, Status: fencedlog.OK, Version: w.version}
}

// answer executes the oldest call; fate 1 loses the answer, 2 loses the call and 3 delays the answer.
func (w *world) answer(h *holder, fate int) {
	if len(h.late) > 0 {
		r := h.late[0]
		h.late = h.late[1:]
		w.step(h, r)
		return
	}
	if len(h.calls) == 0 {
		return
	}
	c := h.calls[0]
	h.calls = h.calls[1:]
	r := fencedlog.Result{ID: c.ID, Status: fencedlog.Lost}
	if !w.outage && fate != 2 {
		if r = w.apply(c); fate == 1 {
			r = fencedlog.Result{ID: c.ID, Status: fencedlog.Lost}
		}
	}
	if fate == 3 {
		h.late = append(h.late, r)
		return
	}
	w.step(h, r)
}

func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, h := range w.holders {
		if h.wake.Number != 0 && !w.now.Before(h.wakeAt) {
			h.wakeAt = w.now.Add(time.Hour)
			w.step(h, fencedlog.Woken{Number: h.wake.Number})
		}
	}
}

func (w *world) snapshot(h *holder) {
	if !h.snapshot {
		return
	}
	h.snapshot = false
	e := fencedlog.Snapshot{First: h.first}
	for _, r := range h.state {
		e.Records = append(e.Records, fencedlog.Record{Service: "s", Data: []byte(r)})
	}
	w.step(h, e)
}

// slotFate is fate for a call that concerns a slot and 0 for others, so that snapshots overtake appends.
func (h *holder) slotFate(fate int) int {
	if len(h.calls) > 0 && (h.calls[0].Op == fencedlog.PutSlot || h.calls[0].Op == fencedlog.ReadSlot) {
		return fate
	}
	return 0
}

// work lets one holder answer its calls without faults.
func (w *world) work(rounds int, h *holder) {
	for range rounds {
		w.answer(h, 0)
		w.tick(20 * time.Millisecond)
	}
}

// check replays the log with a new holder and compares it with the oracle.
func (w *world) check() {
	w.outage = false
	h := w.elect()
	for range 2000 {
		w.answer(h, 0)
		if len(h.calls)+len(h.late) == 0 {
			w.tick(50 * time.Millisecond)
		}
		if h.sealed {
			break
		}
	}
	if !h.sealed {
		w.t.Fatal("the log was not sealed")
	}
	w.checkOrder(h.state)
	for _, r := range h.state {
		if w.refused[r] {
			w.t.Fatalf("refused record %.12s is in the log", r)
		}
	}
	for _, e := range h.complete {
		if w.unavailable[e] {
			w.t.Fatalf("epoch %s is complete although an append was unavailable", e)
		}
	}
}

// checkOrder requires every acknowledged record once in the log, those of one holder in the order of their appends
// and those of all holders in an order that real time permits: an append that began after the answer to another
// one comes after it. The answer of a paused holder may come after appends of its successor, which were concurrent.
func (w *world) checkOrder(log []string) {
	at := make(map[string]int, len(w.durable))
	for _, x := range w.durable {
		if at[x.record] = slices.Index(log, x.record); at[x.record] < 0 {
			w.t.Fatalf("acknowledged record %.12s is lost", x.record)
		}
	}
	ordered := slices.Clone(w.durable)
	slices.SortFunc(ordered, func(a, b appended) int { return at[a.record] - at[b.record] })
	last, began := make(map[model.Epoch]uint64), 0
	for _, x := range ordered {
		if x.id <= last[x.epoch] || began > x.end {
			w.t.Fatalf("record %.12s is out of order", x.record)
		}
		last[x.epoch], began = x.id, max(began, x.begin)
	}
}

// TestLog guards against lost, reordered or resurrected records over lost answers, outages, several holders
// at a time, snapshots and deletions.
func TestLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.elect()
		pick := func() *holder {
			return w.holders[max(0, len(w.holders)-1-rapid.IntRange(0, 2).Draw(t, "back"))]
		}
		fate := func() int { return rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 2, 3}).Draw(t, "fate") }
		t.Repeat(map[string]func(*rapid.T){
			"elect": func(*rapid.T) { w.elect() },
			"append": func(t *rapid.T) {
				h, large := pick(), rapid.IntRange(0, 3).Draw(t, "large") == 0
				for range rapid.IntRange(1, 20).Draw(t, "n") {
					// A large record is most of a slot, so that few of them bring a snapshot.
					if large {
						w.append(h, 400_000)
					} else {
						w.append(h, 1)
					}
				}
			},
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "rounds") {
					h := pick()
					w.answer(h, fate())
					w.snapshot(h)
					w.tick(20 * time.Millisecond)
				}
			},
			"work": func(t *rapid.T) {
				h := pick()
				w.snapshot(h)
				w.work(rapid.IntRange(1, 200).Draw(t, "rounds"), h)
			},
			"outage":  func(*rapid.T) { w.outage = !w.outage },
			"tick":    func(*rapid.T) { w.tick(2 * time.Second) },
			"abandon": func(*rapid.T) { h := pick(); h.sealed = false; w.step(h, fencedlog.Abandon{}) },
			"close": func(*rapid.T) {
				h := pick()
				w.ids++
				w.step(h, fencedlog.Closing{ID: w.ids, Epoch: h.epoch})
			},
			"check": func(*rapid.T) { w.check() },
			"compact": func(t *rapid.T) {
				h := w.holders[len(w.holders)-1]
				w.work(300, h)
				for range 12 {
					w.append(h, 400_000)
				}
				w.work(rapid.IntRange(10, 40).Draw(t, "before"), h)
				w.append(h, 1)
				w.snapshot(h)
				w.append(h, 1)
				lossy := rapid.IntRange(0, 2).Draw(t, "lossy")
				for range rapid.IntRange(0, 40).Draw(t, "after") {
					w.answer(h, h.slotFate(lossy))
					w.tick(time.Millisecond)
				}
				if rapid.Bool().Draw(t, "contend") {
					other := w.elect()
					for range rapid.IntRange(0, 60).Draw(t, "ahead") {
						w.answer(other, 0)
					}
					for range rapid.IntRange(1, 80).Draw(t, "rounds") {
						w.work(rapid.IntRange(1, 4).Draw(t, "burst"), rapid.SampledFrom([]*holder{h, other}).Draw(t, "holder"))
					}
				}
				w.work(rapid.IntRange(0, 150).Draw(t, "end"), h)
				old := pick()
				w.append(old, 1)
				w.work(10, old)
			},
			"interrupt": func(t *rapid.T) {
				h := w.holders[len(w.holders)-1]
				w.work(300, h)
				w.outage = true
				w.append(h, 1)
				w.work(rapid.IntRange(60, 120).Draw(t, "outage"), h)
				w.outage = false
				w.work(30, h)
				w.ids++
				w.step(h, fencedlog.Closing{ID: w.ids, Epoch: h.epoch})
				w.work(30, h)
			},
		})
		w.check()
	})
}
