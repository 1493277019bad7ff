package expiry

import (
	"slices"
	"testing"
	"time"
)

// TestExpired guards against an entry that is removed too early, after it was written again, or that is never removed.
func TestExpired(t *testing.T) {
	const age = 10 * time.Second
	start := time.Unix(1_700_000_000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var s Set
	expect := func(seconds, limit int, want ...string) {
		t.Helper()
		var got []string
		for _, e := range s.Expired(at(seconds), age, limit) {
			got = append(got, e.Key)
		}
		if !slices.Equal(got, want) {
			t.Errorf("after %d s: %q, want %q", seconds, got, want)
		}
	}
	expect(100, 9)
	s.Observe(at(0), "again", 1)
	s.Observe(at(0), "gone", 2)
	s.Observe(at(1), "old", 3)
	s.Observe(at(2), "old", 3) // The same version, as a repeated list delivers it.
	s.Observe(at(3), "removed", 4)
	s.Observe(at(4), "young", 5)
	s.Observe(at(5), "again", 6)
	s.Remove("removed")
	s.Retain(map[string]bool{"again": true, "old": true, "young": true})
	expect(11, 9)
	expect(12, 9, "old")
	expect(16, 9, "old", "young", "again")
	expect(16, 2, "old", "young")
	s.Remove("old")
	expect(16, 1, "young")
}
