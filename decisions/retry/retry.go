// Package retry decides whether and when a failed attempt is repeated.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// Ratio is the share of requests that may be added as retries. The budget follows the retry budget of
	// "The Site Reliability Workbook", chapter "Managing Load".
	Ratio = 0.1
	// Burst is the number of retries that are allowed without earlier requests.
	Burst = 10
	// FirstDelay is the mean delay before the first retry.
	FirstDelay = 10 * time.Millisecond
	// MaxDelay bounds the delay before any retry.
	MaxDelay = 500 * time.Millisecond
)

// Budget bounds retries to a share of the requests. The zero value is full.
type Budget struct{ used float64 }

// Request accounts for a first attempt.
func (b *Budget) Request() { b.used = max(0, b.used-Ratio) }

// Allow takes one retry from the budget. It returns false if the budget is spent.
func (b *Budget) Allow() bool {
	if b.used+1 > Burst {
		return false
	}
	b.used++
	return true
}

// Delay returns the wait before the given retry, counted from 1. It grows exponentially and is spread over
// its whole range ("full jitter": "Exponential Backoff And Jitter", AWS Architecture Blog).
func Delay(retry int, random *rand.Rand) time.Duration {
	limit := MaxDelay
	if shift := retry - 1; shift < 6 {
		limit = min(limit, 2*FirstDelay<<shift)
	}
	return time.Duration(random.Int64N(int64(limit)) + 1)
}
