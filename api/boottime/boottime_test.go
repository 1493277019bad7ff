package boottime

import (
	"testing"
	"time"
)

// TestNow guards against a clock that stands still or runs in another unit than the monotonic clock.
func TestNow(t *testing.T) {
	before, start := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	got, want := Now()-before, time.Since(start)
	if got < 20*time.Millisecond || got > want+time.Second {
		t.Errorf("%v passed, want about %v", got, want)
	}
}
