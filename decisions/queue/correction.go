package queue

import (
	"slices"
	"time"
)

const (
	// correctionWindow is the number of most recent jobs from which a correction is computed.
	correctionWindow = 32
	// correctionQuantile is the quantile of the ratios that is used as the correction. It lies above the median,
	// because a backfilled job that runs longer than estimated delays the reservation, while one that ends early
	// delays nothing.
	correctionQuantile = 0.75
	// minCorrection and maxCorrection bound the ratio of each job, so that a few extreme jobs do not dominate.
	minCorrection, maxCorrection = 1.0 / 16, 16.0
	// defaultRunTime is assumed for a job without a declared run time.
	defaultRunTime = time.Hour
)

// RunTimeCorrection estimates run times from declared ones and the ratio of actual to declared run time of the
// account's recent jobs. The zero value applies no correction.
type RunTimeCorrection struct {
	ratios [correctionWindow]float64
	next   int
	count  int
	factor float64
}

// Observe records the actual and the declared run time of an ended job. It ignores the job unless both are positive.
func (c *RunTimeCorrection) Observe(actual, declared time.Duration) {
	if actual <= 0 || declared <= 0 {
		return
	}
	c.ratios[c.next] = min(maxCorrection, max(minCorrection, float64(actual)/float64(declared)))
	c.next = (c.next + 1) % correctionWindow
	c.count = min(c.count+1, correctionWindow)
	sorted := slices.Clone(c.ratios[:c.count])
	slices.Sort(sorted)
	c.factor = sorted[int(correctionQuantile*float64(c.count-1)+0.5)]
}

// Estimate returns the expected run time of a job with the declared run time.
func (c *RunTimeCorrection) Estimate(declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = defaultRunTime
	}
	if c.count == 0 {
		return declared
	}
	return time.Duration(float64(declared) * c.factor)
}
