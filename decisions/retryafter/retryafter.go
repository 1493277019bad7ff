// Package retryafter decides when a refused caller may come back.
//
// It answers an outage or a burst in which many callers are refused at once: those that come back too early are refused
// again and load the VMs that recover, and those that come back together form the next burst.
package retryafter

import (
	"math"
	"time"
)

// Cause is why a call was refused.
type Cause uint8

const (
	// Other is a cause that says nothing about its end.
	Other Cause = iota
	// Stopping is a VM that shuts down. Another one takes the call at once.
	Stopping
	// NoRoom is a VM without memory or places for the call. Others may have some, and calls end within seconds.
	NoRoom
	// RateExceeded is an account that exceeds its rate, which grants new calls all the time.
	RateExceeded
	// NoConfiguration is a VM that has just started.
	NoConfiguration
	// StoreAway is a store that refuses or does not answer.
	StoreAway
	// NoHolder is a fleet whose holder is lost.
	NoHolder
	// BacklogFull is an account whose accepted jobs take all the memory for them. Room returns as jobs end.
	BacklogFull
	// BeyondLimit is work that the limits of its account never permit. Only an operator can change that.
	BeyondLimit
)

// wait is the time after which a call is likely to be taken, and the time over which the returns are spread.
type wait struct{ shortest, spread time.Duration }

var waits = [...]wait{
	Other:    {time.Second, 2 * time.Second},
	Stopping: {0, 0},
	NoRoom:   {time.Second, 2 * time.Second},
	// A rate of one call a second grants the next one within a second.
	RateExceeded:    {time.Second, 2 * time.Second},
	NoConfiguration: {time.Second, time.Second},
	// The return of the store is noticed within half a second, and a VM asks it again a second after a lost answer.
	StoreAway: {time.Second, time.Second},
	// The lease of a lost holder ends after two seconds, and its successor reads the records.
	NoHolder: {2 * time.Second, 2 * time.Second},
	// Jobs run for seconds to minutes.
	BacklogFull: {5 * time.Second, 10 * time.Second},
	BeyondLimit: {time.Minute, 0},
}

// Delay returns how long a caller should wait. spread, from 0 to 1, is the caller's part of the time over which the
// returns are spread, drawn at random.
func Delay(c Cause, spread float64) time.Duration {
	if int(c) >= len(waits) {
		c = Other
	}
	w := waits[c]
	return w.shortest + time.Duration(min(1, max(0, spread))*float64(w.spread))
}

// Seconds returns a delay in whole seconds, as HTTP carries it. The shortest delays are whole seconds, so that none becomes
// shorter than that of its cause.
func Seconds(d time.Duration) int { return int(math.Round(d.Seconds())) }
