package runtimes

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// BenchmarkEstimators prints the mean logarithmic error of several estimators of run times, for the table in
// docs/design/run-times.md: the declared time, the moving average of the ratio of actual to declared time, the median of
// the last 256 runs whatever was declared, and the model.
func BenchmarkEstimators(b *testing.B) {
	for range b.N {
		for _, c := range []struct{ off, spread, tail float64 }{{0.2, 0.3, 0}, {0.2, 0.5, 0.03}, {0.5, 0.3, 0}, {0.5, 0.3, 0.03}, {0.9, 0.3, 0.03}, {0.9, 0.5, 0}} {
			l, m := newLoad(c.off, c.spread), newModel()
			l.tail, l.tailShare = 7, c.tail
			ratio := 1.0
			var recent []time.Duration
			var errors [4]float64
			const runs, warmUp = 3000, 500
			for i := range runs {
				o := l.draw()
				if i >= warmUp {
					sorted := slices.Sorted(slices.Values(recent))
					for j, e := range []time.Duration{o.Declared, time.Duration(ratio * float64(o.Declared)), sorted[len(sorted)/2], m.Expect(o.Query).Typical} {
						errors[j] += logError(e, o.Elapsed) / (runs - warmUp)
					}
				}
				ratio += 0.1 * (math.Min(4, float64(o.Elapsed)/float64(o.Declared)) - ratio)
				recent = append(recent, o.Elapsed)
				recent = recent[max(0, len(recent)-256):]
				observe(m, start, o)
			}
			fmt.Printf("| %.1f | %.1f | %.2f | %.3f | %.3f | %.3f | %.3f |\n", c.off, c.spread, c.tail, errors[0], errors[1], errors[2], errors[3])
		}
	}
}

// BenchmarkExpect measures an expectation right after a run of a queue with 60 accounts of five shapes each.
func BenchmarkExpect(b *testing.B) {
	l, m := newLoad(0.5, 0.3), newModel()
	draw := func() Observation {
		o := l.draw()
		o.Account = workload.Account(fmt.Sprint("account", l.n%60))
		o.Need.GPU = 1 << (l.n % 5)
		return o
	}
	for range 3000 {
		observe(m, start, draw())
	}
	for b.Loop() {
		o := draw()
		observe(m, start, o)
		m.Expect(o.Query)
	}
}
