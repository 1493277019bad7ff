package metrics

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest recorded latency in milliseconds; longer ones count as this.
	maxLatency = 60_000
	// latencyDigits is the number of significant digits that a histogram keeps.
	latencyDigits = 1
)

// latencies are histograms of latencies by name. They are an expvar.Var.
type latencies struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// Latency records how long something took.
func (s *Set) Latency(name string, d time.Duration) {
	if s == nil {
		return
	}
	s.latency.record(name, d)
}

func (l *latencies) record(name string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.byName[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency, latencyDigits)
		if l.byName == nil {
			l.byName = map[string]*hdrhistogram.Histogram{}
		}
		l.byName[name] = h
	}
	// A value within the range of the histogram cannot fail.
	_ = h.RecordValue(min(maxLatency, max(1, d.Milliseconds())))
}

// latencySummary is what is served of a histogram, in milliseconds.
type latencySummary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P95   int64   `json:"p95"`
	P99   int64   `json:"p99"`
	Max   int64   `json:"max"`
}

// String implements expvar.Var.
func (l *latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]latencySummary, len(l.byName))
	for name := range maps.Keys(l.byName) {
		h := l.byName[name]
		out[name] = latencySummary{
			Count: h.TotalCount(), Mean: h.Mean(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
	}
	b, err := json.Marshal(out)
	if err != nil {
		return "{}"
	}
	return string(b)
}
