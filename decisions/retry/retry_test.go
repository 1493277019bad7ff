package retry

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/testseed"
)

func init() { testseed.SetFlags("100") }

// TestBudgetBoundsRetries guards against retries that exceed the budget and so multiply the load on failing executors.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		requests, retries := 0, 0
		for _, request := range rapid.SliceOfN(rapid.Bool(), 1, 500).Draw(t, "calls") {
			if request {
				b.RecordRequest()
				requests++
			} else if b.TryRetry() {
				retries++
			}
		}
		if float64(retries) > BudgetBurst+BudgetRatio*float64(requests)+1e-6 {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
}

// TestDelayIsBounded guards against an integer overflow of the delay and against a retry without delay.
func TestDelayIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for n := 1; n < 100; n++ {
		if d := Delay(n, random); d <= 0 || d > MaxDelay {
			t.Fatalf("delay %d: %v", n, d)
		}
	}
}
