package fencedlog_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/decisions/fencedlog"
)

// compact lets a holder write a snapshot of several chunks and reports whether it ended within some calls.
func (w *world) compact(h *holder, calls int) {
	for range 12 {
		w.append(h, 400_000)
	}
	for range calls {
		w.snapshot(h)
		w.answer(h, 0)
		w.tick(fencedlog.DeleteDelay)
	}
}

// chunks lists the keys of chunks in the store.
func (w *world) chunks() []string {
	keys := slices.Sorted(maps.Keys(w.data))
	return slices.DeleteFunc(keys, func(k string) bool { return !strings.Contains(k, "/") })
}

// TestUnfinishedSnapshot guards against chunks that stay in the store for ever after their holder ended at any
// point of its snapshot, and after its successor ended likewise.
func TestUnfinishedSnapshot(t *testing.T) {
	const last, step, enough = 80, 4, 400
	for calls := 0; calls < last; calls += step {
		w := newWorld(t)
		for _, n := range []int{40, calls, calls / 2} {
			h := w.elect()
			w.work(200, h)
			w.compact(h, n)
			h.sealed = false
		}
		final := w.elect()
		w.work(300, final)
		w.compact(final, enough)
		var live []string
		head := w.data["head"].head
		for i := range head.Chunks {
			live = append(live, fmt.Sprintf("%d/%d", head.First, i))
		}
		slices.Sort(live)
		if got := w.chunks(); head.Epoch != final.epoch || len(live) < 2 || !slices.Equal(got, live) {
			t.Fatalf("%d calls: chunks %v, the head of epoch %s has %v", calls, got, head.Epoch, live)
		}
		w.check()
	}
}

// TestWritePace guards against a busy log that writes more often than its share of the store's writes, against one
// that does not use its share, and against an idle log that makes an append wait.
func TestWritePace(t *testing.T) {
	for _, logs := range []int{1, 3, 7} {
		w := newWorld(t)
		h := w.elect()
		w.work(50, h)
		w.step(h, fencedlog.Logs{Number: logs})
		w.append(h, 1)
		if len(h.calls) != 1 {
			t.Fatalf("an idle log has %d calls in flight after an append", len(h.calls))
		}
		w.answer(h, 0)
		before, ids := w.puts, w.ids
		for range 1000 {
			w.append(h, 1)
			w.answer(h, 0)
			w.tick(time.Millisecond)
		}
		share := fencedlog.WritesPerSecond / logs
		if puts := w.puts - before; puts < share || puts > share+fencedlog.WriteBurst {
			t.Fatalf("%d writes in a second by one of %d logs", puts, logs)
		}
		w.work(10, h)
		if durable := len(w.durable); durable != int(w.ids-ids)+1 {
			t.Fatalf("%d of %d appends are durable", durable, w.ids-ids+1)
		}
	}
}
