package retryafter

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestDelay guards against callers that return before their call can be taken, all at once, or later than needed.
func TestDelay(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Delay(Stopping, 1)).To(gomega.BeZero(), "another VM takes the call now")
	g.Expect(Delay(NoHolder, 0)).To(gomega.BeNumerically(">=", 2*time.Second), "no holder is elected before its predecessor's lease ends")
	g.Expect(Delay(BeyondLimit, 0)).To(gomega.BeNumerically(">=", time.Minute))
	for c := Other; c <= BeyondLimit; c++ {
		g.Expect(Delay(c, 2)).To(gomega.Equal(Delay(c, 1)))
		for _, spread := range []float64{0, 0.3, 1} {
			g.Expect(Seconds(Delay(c, spread))).To(gomega.BeNumerically(">=", Delay(c, 0).Seconds()), "a whole number of seconds below the shortest delay")
		}
	}
	g.Expect(Delay(BeyondLimit+1, 0)).To(gomega.Equal(Delay(Other, 0)))
}

// TestReturnsAfterOutage guards against a burst of returns: 600 callers are refused within a second of an outage of the
// store, and no tenth of a second may bring more than a tenth of them.
func TestReturnsAfterOutage(t *testing.T) {
	const callers = 600
	returns := map[int]int{}
	for i := range callers {
		refusedAt := time.Duration(i) * time.Second / callers
		// The golden ratio spreads consecutive callers evenly, as random numbers do on average.
		spread := float64(i) * 0.6180339887
		returns[int((refusedAt+Delay(StoreAway, spread-float64(int(spread))))/(100*time.Millisecond))]++
	}
	for slot, n := range returns {
		if n > callers/10 {
			t.Errorf("%d of %d callers return in the tenth of a second %d", n, callers, slot)
		}
	}
}
