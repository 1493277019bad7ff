package accountlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// TestSteadyRate guards against jobs of an account that keeps its rate and are marked as excess: callers at regular
// intervals at the full rate, and independent ones at half of it.
func TestSteadyRate(t *testing.T) {
	for _, perSec := range []float64{0.5, 2, 30} {
		var r Rates
		for i := range 1000 {
			if r.Exceeds("a", perSec, start.Add(time.Duration(float64(i)/perSec*float64(time.Second)))) {
				t.Fatalf("job %d at the rate of %g jobs a second exceeds it", i, perSec)
			}
		}
		random, n, at := rand.New(rand.NewPCG(1, 1)), 0, 0.0
		const jobs = 20_000
		for range jobs {
			at += random.ExpFloat64() / (perSec / 2)
			if r.Exceeds("b", perSec, start.Add(time.Duration(at*float64(time.Second)))) {
				n++
			}
		}
		t.Logf("%g jobs a second: %d of %d random jobs at half of the rate exceed it", perSec, n, jobs)
		if n*100 >= jobs {
			t.Errorf("%g jobs a second: %d of %d random jobs at half of the rate exceed it, want fewer than 1 in 100", perSec, n, jobs)
		}
	}
}

// TestFlood guards against a flood of which more than the rate and the burst passes, and against one that uses up the
// rate of the jobs after it or of another account.
func TestFlood(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var r Rates
		perSec := rapid.Float64Range(0.1, 50).Draw(rt, "rate")
		first, at, passed := start, start, 0
		if !r.Exceeds("a", perSec, at) {
			passed++
		}
		for range rapid.IntRange(1, 300).Draw(rt, "jobs") {
			// A negative pause is a job whose acceptance is older than that of the job before.
			at = at.Add(time.Duration(rapid.IntRange(-20, 100).Draw(rt, "pause ms")) * time.Millisecond)
			if !r.Exceeds("a", perSec, at) {
				passed++
			}
		}
		most := max(minBurst, perSec*burstTime.Seconds()+1) + perSec*r.accounts["a"].latest.Sub(first).Seconds()
		if float64(passed) > most+1e-6 {
			rt.Fatalf("%d jobs pass, want at most %.1f", passed, most)
		}
		if r.Exceeds("b", perSec, at) {
			rt.Fatal("the flood uses up the rate of another account")
		}
		if r.Exceeds("a", perSec, r.accounts["a"].latest.Add(time.Duration(float64(time.Second)/perSec)+time.Millisecond)) {
			rt.Fatal("a job that comes an interval after the flood exceeds the rate")
		}
	})
}

// TestRateChange guards against an account that keeps an old rate after a change of the configuration, or that is marked
// although its rate was removed.
func TestRateChange(t *testing.T) {
	var r Rates
	for !r.Exceeds("a", 1, start) {
	}
	at := start.Add(100 * time.Millisecond)
	if r.Exceeds("a", 0, at) {
		t.Error("a job exceeds a rate that was removed")
	}
	for !r.Exceeds("a", 1, at) {
	}
	r.Exceeds("a", 100, at)
	passed := 0
	for range 50 {
		if !r.Exceeds("a", 100, at.Add(200*time.Millisecond)) {
			passed++
		}
	}
	if passed != 20 {
		t.Errorf("%d jobs pass 0.2 s after the rate rose to 100 a second, want 20", passed)
	}
}
