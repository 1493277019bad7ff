package queue

import (
	"slices"
	"time"
)

const (
	// window is the number of latest jobs that a correction remembers.
	window = 32
	// quantile of the remembered ratios. A high one overestimates: a backfilled job that runs longer than
	// estimated delays the reservation, one that ends early delays nothing.
	quantile = 0.75
	// minRatio and maxRatio bound the correction against a few extreme jobs.
	minRatio, maxRatio = 1.0 / 16, 16.0
	// unknownRunTime is the estimate for a job without a declared run time.
	unknownRunTime = time.Hour
)

// Correction learns from ended jobs how far the declared run times of an account are off. The zero value
// corrects nothing.
type Correction struct {
	ratios [window]float64
	next   int
	n      int
	factor float64
}

// Observe records the actual and the declared run time of an ended job. It ignores non-positive ones.
func (c *Correction) Observe(actual, declared time.Duration) {
	if actual <= 0 || declared <= 0 {
		return
	}
	c.ratios[c.next] = min(maxRatio, max(minRatio, float64(actual)/float64(declared)))
	c.next = (c.next + 1) % window
	c.n = min(c.n+1, window)
	sorted := slices.Clone(c.ratios[:c.n])
	slices.Sort(sorted)
	c.factor = sorted[int(quantile*float64(c.n-1)+0.5)]
}

// Estimate returns the corrected run time of a job.
func (c *Correction) Estimate(declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = unknownRunTime
	}
	if c.n == 0 {
		return declared
	}
	return time.Duration(float64(declared) * c.factor)
}
