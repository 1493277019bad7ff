package recordlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestLimiter guards against an account that adds more than its limits in any second or window, that takes the room of
// another account or of another kind of record, and against a refusal of calls that keep to the limits. The oracle is the list of
// what was allowed.
func TestLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{
			Rate: float64(rapid.IntRange(1, 50).Draw(t, "rate")), Burst: rapid.IntRange(1, 100).Draw(t, "burst"),
			Window: 10 * time.Second, Records: rapid.IntRange(1, 300).Draw(t, "records"), Tombstones: rapid.IntRange(1, 100).Draw(t, "tombstones"),
		}
		l, now := New(s), time.Unix(1000, 0)
		type added struct {
			at    time.Time
			units int
		}
		var log [2][kindCount][]added
		within := func(list []added, span time.Duration) (units int) {
			for _, a := range list {
				if !a.at.Before(now.Add(-span)) {
					units += a.units
				}
			}
			return units
		}
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			id, k, units := rapid.IntRange(0, 1).Draw(t, "account"), Kind(rapid.IntRange(0, int(kindCount)-1).Draw(t, "kind")), rapid.IntRange(1, 5).Draw(t, "units")
			most := s.Records
			if k == Tombstone {
				most = s.Tombstones
			}
			list := &log[id][k]
			allowed := l.Allow(now, workload.Account(string(rune('a'+id))), k, units)
			if allowed {
				*list = append(*list, added{now, units})
			}
			// A bucket lets through its size and what it gains in the span.
			if n := within(*list, time.Second); float64(n) > float64(s.Burst)+s.Rate+1 {
				t.Fatalf("%d units in a second", n)
			}
			if n := within(*list, s.Window); n > 2*most+1 {
				t.Fatalf("%d units in a window, most is %d", n, most)
			}
			if idle := within(*list, 3*s.Window) == 0; idle && !allowed && units <= min(s.Burst, most) {
				t.Fatalf("the first call of account %d and kind %d is refused", id, k)
			}
		}
	})
}

// TestDefaults guards against default limits that a submission of the largest size, or a burst of cancellations of the platform's
// clients, meets.
func TestDefaults(t *testing.T) {
	l, now := New(DefaultSettings()), time.Unix(1000, 0)
	if !l.Allow(now, "a", Job, Units(1<<20)) {
		t.Error("the largest record is refused")
	}
	for i := range 300 {
		if !l.Allow(now, "a", Cancel, 1) {
			t.Fatalf("cancellation %d of a burst is refused", i)
		}
	}
}
