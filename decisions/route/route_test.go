package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
)

func init() { testseed.SetFlags("300") }

// TestSlotsAndLeaving guards against more attempts than slots, and against new attempts on an executor that is leaving
// or has not reported for confirmationTTL whether it is.
func TestSlotsAndLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(), time.Unix(1, 0)
		used, leaving := map[model.ExecutorID]int{}, map[model.ExecutorID]bool{}
		confirmed := map[model.ExecutorID]time.Time{"a": now, "b": now}
		ids := rapid.SampledFrom([]model.ExecutorID{"a", "b"})
		for _, id := range []model.ExecutorID{"a", "b"} {
			table.Add(id, false)
			table.RecordNotice(id, false, MaxSlotsPerExecutor, now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "n") {
					id, ok := table.Acquire(nil, now)
					if !ok {
						return
					}
					used[id]++
					if used[id] > MaxSlotsPerExecutor || leaving[id] || now.Sub(confirmed[id]) >= confirmationTTL {
						t.Fatalf("%s: %d slots, leaving %v, confirmed %v", id, used[id], leaving[id], confirmed[id])
					}
				}
			},
			"release": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				if used[id] > 0 {
					used[id]--
					table.Release(id, rapid.Bool().Draw(t, "failed"), time.Millisecond, now)
				}
			},
			"notice": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				leaving[id], confirmed[id] = rapid.Bool().Draw(t, "leaving"), now
				table.RecordNotice(id, leaving[id], 0, now)
			},
			"wait": func(*rapid.T) { now = now.Add(500 * time.Millisecond) },
		})
	})
}

// TestFailingExecutorIsAvoided guards against an executor that fails every attempt and is preferred because its
// failures are fast.
func TestFailingExecutorIsAvoided(t *testing.T) {
	table, now := NewTable(), time.Unix(1, 0)
	for i := range 2 {
		id := model.ExecutorID(fmt.Sprint("e", i))
		table.Add(id, false)
		table.RecordNotice(id, false, MaxSlotsPerExecutor, now)
	}
	for range ejectionThreshold {
		table.Acquire([]model.ExecutorID{"e1"}, now)
		table.Release("e0", true, time.Microsecond, now)
	}
	for range MaxSlotsPerExecutor {
		if id, _ := table.Acquire(nil, now); id != "e1" {
			t.Fatalf("chose %q", id)
		}
	}
	if id, ok := table.Acquire(nil, now); ok {
		t.Fatalf("chose %q before the probe is due", id)
	}
	now = now.Add(probeDelay)
	table.RecordNotice("e0", false, 0, now)
	if id, _ := table.Acquire(nil, now); id != "e0" {
		t.Fatalf("no probe")
	}
	if id, ok := table.Acquire(nil, now); ok {
		t.Fatalf("second probe on %q", id)
	}
}

// TestFastFailuresDrawNoWork guards against an executor that is preferred because the attempts that fail on it are
// fast.
func TestFastFailuresDrawNoWork(t *testing.T) {
	table, now := NewTable(), time.Unix(1, 0)
	for i := range 2 {
		id := model.ExecutorID(fmt.Sprint("e", i))
		table.Add(id, false)
		table.RecordNotice(id, false, MaxSlotsPerExecutor, now)
		table.Acquire([]model.ExecutorID{"e0", "e1"}[1-i:2-i], now)
		table.Release(id, false, time.Second, now)
	}
	table.Acquire([]model.ExecutorID{"e0"}, now)
	table.Release("e1", true, time.Millisecond, now)
	if id, _ := table.Acquire(nil, now); id != "e0" {
		t.Fatalf("chose %q", id)
	}
}
