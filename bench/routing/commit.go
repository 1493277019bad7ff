package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// groupCommitSimulation simulates the log of intents with group commit: at most one append is in flight, and each
// append takes the intents that wait, up to maxBatch.
type groupCommitSimulation struct {
	eventLoop
	random *rand.Rand
	// maxBatch is the maximum number of intents of one append.
	maxBatch       int
	meanStoreTime  time.Duration
	waitingSince   []time.Time
	appendInFlight bool
	appends        int
	latencies      []time.Duration
}

// simulateGroupCommit simulates n intents that arrive in a Poisson process with the given rate per second. The response
// time of the store is half of meanStoreTime plus an exponentially distributed time with a mean of the other half.
func simulateGroupCommit(n int, rate float64, meanStoreTime time.Duration, maxBatch int, seed uint64) *groupCommitSimulation {
	sim := &groupCommitSimulation{random: rand.New(rand.NewPCG(seed, 2)), maxBatch: maxBatch, meanStoreTime: meanStoreTime}
	sim.arrive(n, float64(time.Second)/rate)
	sim.run()
	slices.Sort(sim.latencies)
	return sim
}

func (sim *groupCommitSimulation) arrive(n int, meanGap float64) {
	if n == 0 {
		return
	}
	sim.waitingSince = append(sim.waitingSince, sim.now)
	sim.appendBatch()
	sim.after(time.Duration(sim.random.ExpFloat64()*meanGap), func() { sim.arrive(n-1, meanGap) })
}

// appendBatch starts an append of the waiting intents, unless one is in flight.
func (sim *groupCommitSimulation) appendBatch() {
	if sim.appendInFlight || len(sim.waitingSince) == 0 {
		return
	}
	sim.appendInFlight = true
	sim.appends++
	size := min(sim.maxBatch, len(sim.waitingSince))
	batch := sim.waitingSince[:size]
	sim.waitingSince = sim.waitingSince[size:]
	sim.after(sim.meanStoreTime/2+time.Duration(sim.random.ExpFloat64()*float64(sim.meanStoreTime)/2), func() {
		for _, arrived := range batch {
			sim.latencies = append(sim.latencies, sim.now.Sub(arrived))
		}
		sim.appendInFlight = false
		sim.appendBatch()
	})
}
