package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// commitSim is the journal of intents: at most one append is in flight, and each takes the intents that wait.
type commitSim struct {
	clock
	random *rand.Rand
	// limit is the largest number of intents of one append.
	limit   int
	store   time.Duration
	waiting []time.Time
	busy    bool
	appends int
	took    []time.Duration
}

// simulateCommit records n intents that arrive at a rate a second. The store answers after half of its mean
// time and an exponential rest.
func simulateCommit(n int, rate float64, store time.Duration, limit int, seed uint64) *commitSim {
	m := &commitSim{random: rand.New(rand.NewPCG(seed, 2)), limit: limit, store: store}
	m.arrive(n, float64(time.Second)/rate)
	m.run()
	slices.Sort(m.took)
	return m
}

func (m *commitSim) arrive(n int, gap float64) {
	if n == 0 {
		return
	}
	m.waiting = append(m.waiting, m.now)
	m.commit()
	m.after(time.Duration(m.random.ExpFloat64()*gap), func() { m.arrive(n-1, gap) })
}

func (m *commitSim) commit() {
	if m.busy || len(m.waiting) == 0 {
		return
	}
	m.busy = true
	m.appends++
	size := min(m.limit, len(m.waiting))
	batch := m.waiting[:size]
	m.waiting = m.waiting[size:]
	m.after(m.store/2+time.Duration(m.random.ExpFloat64()*float64(m.store)/2), func() {
		for _, begun := range batch {
			m.took = append(m.took, m.now.Sub(begun))
		}
		m.busy = false
		m.commit()
	})
}
