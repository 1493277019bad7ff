// Package retry decides whether and when a failed attempt is retried.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// BudgetRatio is the number of retries that each request adds to the budget. The budget follows the retry budget of
	// "The Site Reliability Workbook", chapter "Managing Load".
	BudgetRatio = 0.1
	// BudgetBurst is the size of a full budget: the number of retries that are allowed without further requests.
	BudgetBurst = 10
	// MeanFirstDelay is the mean delay before the first retry.
	MeanFirstDelay = 10 * time.Millisecond
	// MaxDelay bounds the delay before each retry.
	MaxDelay = 500 * time.Millisecond
)

// Budget limits retries to a fraction of the requests. The zero value is a full budget.
type Budget struct{ used float64 }

// RecordRequest records the first attempt of a request, which refills the budget by BudgetRatio.
func (b *Budget) RecordRequest() { b.used = max(0, b.used-BudgetRatio) }

// TryRetry takes one retry from the budget. It returns false if the budget is exhausted.
func (b *Budget) TryRetry() bool {
	if b.used+1 > BudgetBurst {
		return false
	}
	b.used++
	return true
}

// Delay returns the delay before the given retry, counted from 1. It is distributed uniformly above 0 and up to a
// limit that grows exponentially ("full jitter": "Exponential Backoff And Jitter", AWS Architecture Blog).
func Delay(retry int, random *rand.Rand) time.Duration {
	limit := MaxDelay
	if shift := retry - 1; shift < 6 {
		limit = min(limit, 2*MeanFirstDelay<<shift)
	}
	return time.Duration(random.Int64N(int64(limit)) + 1)
}
