package advice

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBatchSize guards against queries that take seconds although fewer executors would do, and against gangs whose first tickets have
// expired when the last ones are issued.
func TestBatchSize(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		policy       Policy
		needed, want int
	}{
		{Policy{40 * ms, 10 * ms, 5000 * ms}, 1, 30},
		{Policy{0, 0, 5000 * ms}, 1, 30},
		{Policy{600 * ms, 50 * ms, 5000 * ms}, 1, 12},
		{Policy{0, time.Second, 5000 * ms}, 1, 1},
		{Policy{10 * time.Second, 0, 5000 * ms}, 1, 30},
		{Policy{10 * time.Second, 50 * ms, 5000 * ms}, 1, 30},
		// Two queries of 12 executors each take 1.2 s and leave the first tickets 2.8 s.
		{Policy{600 * ms, 50 * ms, 4000 * ms}, 20, 12},
		{Policy{600 * ms, 50 * ms, 1000 * ms}, 20, 20},
		{Policy{600 * ms, 50 * ms, 1 * ms}, 500, 100},
	} {
		if got := tc.policy.BatchSize(tc.needed); got != tc.want {
			t.Errorf("%+v: %d executors for %d that are needed, want %d", tc.policy, got, tc.needed, tc.want)
		}
	}
}

// TestTurns guards against a queue with long queries that keeps others from theirs, and against one that never gets a turn: of two
// that always ask, each has used half of the time, up to the longest query.
func TestTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var turns Turns[string]
		long := time.Duration(rapid.IntRange(1, 5000).Draw(t, "long")) * time.Millisecond
		short := time.Duration(rapid.IntRange(1, 5000).Draw(t, "short")) * time.Millisecond
		for range rapid.IntRange(0, 100).Draw(t, "alone") {
			turns.Take("a", long)
		}
		used := map[string]time.Duration{}
		for range rapid.IntRange(1, 300).Draw(t, "turns") {
			if turns.Start("b") < turns.Start("a") {
				turns.Take("b", short)
				used["b"] += short
			} else {
				turns.Take("a", long)
				used["a"] += long
			}
			if d := used["a"] - used["b"]; d > 2*max(long, short) || -d > 2*max(long, short) {
				t.Fatalf("one queue has used %v, the other %v, with queries of %v and %v", used["a"], used["b"], long, short)
			}
		}
		if len(turns.next) > 2 {
			t.Fatalf("%d queues are remembered", len(turns.next))
		}
	})
}
