package metrics

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMs is the largest recorded latency in milliseconds; longer latencies are recorded as this value.
	maxLatencyMs = 60_000
	// latencyDigits is the number of significant digits that a histogram keeps.
	latencyDigits = 1
)

// latencies holds latency histograms by name. It implements expvar.Var.
type latencies struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// RecordLatency records a duration in the histogram with the given name.
func (s *Set) RecordLatency(name string, d time.Duration) {
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
		h = hdrhistogram.New(1, maxLatencyMs, latencyDigits)
		if l.byName == nil {
			l.byName = map[string]*hdrhistogram.Histogram{}
		}
		l.byName[name] = h
	}
	// RecordValue fails only for values outside the range of the histogram.
	_ = h.RecordValue(min(maxLatencyMs, max(1, d.Milliseconds())))
}

// latencySummary is the exported form of a histogram; latencies are in milliseconds.
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
