package metrics

import (
	"encoding/json"
	"testing"
	"time"
)

// TestLatency guards against exported histograms that monitoring tools cannot parse.
func TestLatency(t *testing.T) {
	s := New()
	for range 99 {
		s.RecordLatency("call", 10*time.Millisecond)
	}
	s.RecordLatency("call", time.Hour)
	var out struct {
		Latency map[string]struct {
			Count, P50, P99, Max int64
		} `json:"latency_ms"`
	}
	if err := json.Unmarshal([]byte(s.Var().String()), &out); err != nil {
		t.Fatal(err)
	}
	if got := out.Latency["call"]; got.Count != 100 || got.P50 != 10 || got.P99 != 10 || got.Max < 50_000 {
		t.Errorf("%+v", got)
	}
}
