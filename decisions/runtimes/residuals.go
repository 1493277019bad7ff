package runtimes

import (
	"math"
	"time"
)

const (
	// bins is the number of bins of a histogram of deviations, binWidth their width as a natural logarithm. The outer bins
	// hold all deviations beyond them.
	bins     = 48
	binWidth = 0.1
	lowest   = -bins * binWidth / 2
	// histogramMemory is the number of runs over which a histogram forgets.
	histogramMemory = 256
	// priorRuns is the weight of the assumed distribution of deviations, a normal one of priorSpread.
	priorRuns   = 6
	priorSpread = 0.4
	// unknownRunTime is expected of a task without a declared run time in a queue without runs.
	unknownRunTime = time.Second
	// errorMemory is the number of runs over which the means of errors forget.
	errorMemory = 64
)

// histogram is the distribution of the deviations of runs from their expectation, to which quantile and shareBelow add
// the assumed one. Older runs weigh less.
type histogram struct{ counts [bins]float64 }

// prior is the assumed distribution, with a sum of priorRuns.
var prior = func() (p [bins]float64) {
	normal := func(x float64) float64 { return 0.5 * (1 + math.Erf(x/priorSpread/math.Sqrt2)) }
	for i := range p {
		p[i] = priorRuns * (normal(lowest+float64(i+1)*binWidth) - normal(lowest+float64(i)*binWidth))
	}
	return p
}()

func (h *histogram) add(weight, deviation float64) {
	for i := range h.counts {
		h.counts[i] *= 1 - weight/histogramMemory
	}
	h.counts[min(max(int(math.Floor((deviation-lowest)/binWidth)), 0), bins-1)] += weight
}

func (h *histogram) addScaled(o *histogram, scale float64) {
	for i := range h.counts {
		h.counts[i] += scale * o.counts[i]
	}
}

func (h *histogram) weight() float64 {
	sum := 0.0
	for _, n := range h.counts {
		sum += n
	}
	return sum
}

func (h *histogram) total() float64 { return h.weight() + priorRuns }

// quantile returns the deviation below which a share of runs lies.
func (h *histogram) quantile(share float64) float64 {
	want := share * h.total()
	for i := range h.counts {
		n := h.counts[i] + prior[i]
		if want <= n && n > 0 {
			return lowest + (float64(i)+want/n)*binWidth
		}
		want -= n
	}
	return lowest + bins*binWidth
}

// shareBelow returns the share of runs below a deviation.
func (h *histogram) shareBelow(deviation float64) float64 {
	position := (deviation - lowest) / binWidth
	sum := 0.0
	for i := range h.counts {
		sum += (h.counts[i] + prior[i]) * min(max(position-float64(i), 0), 1)
	}
	return min(1, sum/h.total())
}

// errorMeans are the mean absolute errors of declared and of learned run times, as natural logarithms.
type errorMeans struct{ weight, declared, learned float64 }

func (e *errorMeans) add(weight, actual float64, declared time.Duration, learned float64) {
	const keep = 1 - 1.0/errorMemory
	e.weight = e.weight*keep + weight
	e.learned = e.learned*keep + weight*math.Abs(actual-learned)
	e.declared *= keep
	if declared > 0 {
		e.declared += weight * math.Abs(actual-logRunTime(declared))
	}
}
