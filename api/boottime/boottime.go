// Package boottime reads a clock that neither jumps nor stops while the machine is suspended. The monotonic clock of
// package time does not count a suspension, so that a lease measured with it seems to be valid for too long.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns a reading. Only differences between readings of the same process have a meaning.
type Clock func() time.Duration

var processStart = time.Now()

// Now is the Clock of the machine. If the machine has no such clock, it falls back to the monotonic clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
