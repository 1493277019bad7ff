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

// writeSnapshot triggers a snapshot of several chunks and completes the given number of calls of the holder.
func (sim *simulation) writeSnapshot(h *holder, calls int) {
	for range 12 {
		sim.append(h, 400_000)
	}
	for range calls {
		sim.takeSnapshot(h)
		sim.completeCall(h, 0)
		sim.advance(fencedlog.DeleteDelay)
	}
}

// chunkKeys returns the sorted keys of the chunks in the store.
func (sim *simulation) chunkKeys() []string {
	keys := slices.Sorted(maps.Keys(sim.store))
	return slices.DeleteFunc(keys, func(k string) bool { return !strings.Contains(k, "/") })
}

// TestUnfinishedSnapshot guards against chunks that are never deleted. This happens if a holder stops at any point
// of writing a snapshot, and its successor does so as well.
func TestUnfinishedSnapshot(t *testing.T) {
	const last, step, enough = 80, 4, 400
	for calls := 0; calls < last; calls += step {
		sim := newSimulation(t)
		for _, n := range []int{40, calls, calls / 2} {
			h := sim.elect()
			sim.runWithoutFaults(200, h)
			sim.writeSnapshot(h, n)
			h.sealed = false
		}
		final := sim.elect()
		sim.runWithoutFaults(300, final)
		sim.writeSnapshot(final, enough)
		var live []string
		head := sim.store["head"].head
		for i := range head.Chunks {
			live = append(live, fmt.Sprintf("%d/%d", head.First, i))
		}
		slices.Sort(live)
		if got := sim.chunkKeys(); head.Epoch != final.epoch || len(live) < 2 || !slices.Equal(got, live) {
			t.Fatalf("%d calls: chunks %v, the head of epoch %s has %v", calls, got, head.Epoch, live)
		}
		sim.checkReplay()
	}
}

// TestWritePace guards against a busy log that exceeds its share of the store's write rate or does not use it fully,
// and against an idle log that delays an append.
func TestWritePace(t *testing.T) {
	for _, logCount := range []int{1, 3, 7} {
		sim := newSimulation(t)
		h := sim.elect()
		sim.runWithoutFaults(50, h)
		sim.step(h, fencedlog.SetLogCount{Count: logCount})
		checkWritePace(t, sim, h, logCount)
	}
}

// TestWritePaceOfNewEpoch guards against a log that writes without a limit in each epoch until the number of logs
// changes, which may never happen: the number is known before the epoch begins.
func TestWritePaceOfNewEpoch(t *testing.T) {
	const logCount = 3
	sim := newSimulation(t)
	h := sim.elect()
	sim.runWithoutFaults(50, h)
	sim.step(h, fencedlog.SetLogCount{Count: logCount})
	sim.step(h, fencedlog.Abandon{})
	h.epoch.Store++
	sim.step(h, fencedlog.Open{Epoch: h.epoch})
	sim.runWithoutFaults(50, h)
	checkWritePace(t, sim, h, logCount)
}

// checkWritePace checks the number of writes of a log that appends more often than its share permits.
func checkWritePace(t *testing.T, sim *simulation, h *holder, logCount int) {
	t.Helper()
	sim.append(h, 1)
	if len(h.calls) != 1 {
		t.Fatalf("an idle log has %d calls in flight after an append", len(h.calls))
	}
	sim.completeCall(h, 0)
	before, lastID := sim.puts, sim.lastID
	for range 1000 {
		sim.append(h, 1)
		sim.completeCall(h, 0)
		sim.advance(time.Millisecond)
	}
	share := fencedlog.WritesPerSecond / logCount
	if puts := sim.puts - before; puts < share || puts > share+fencedlog.WriteBurst {
		t.Fatalf("%d writes in a second by one of %d logs", puts, logCount)
	}
	sim.runWithoutFaults(10, h)
	if durable := len(sim.durable); durable != int(sim.lastID-lastID)+1 {
		t.Fatalf("%d of %d appends are durable", durable, sim.lastID-lastID+1)
	}
}
