package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/retry"
	"github.com/verbenaflow/verbenaflow/decisions/route"
)

const (
	executors = 50
	// service is the mean run time of a request on an executor of normal speed, sigma the deviation of its
	// logarithm.
	service = 20 * time.Millisecond
	sigma   = 0.5
	// failTime is the time after which a failing executor answers.
	failTime = time.Millisecond
	// deadline is the time that a caller waits. An executor that does not answer holds its slot for that time.
	deadline = 2 * time.Second
	// confirmEvery is the interval at which executors say that they are not leaving.
	confirmEvery = time.Second
)

// scenario is what is wrong with the faulty executors.
type scenario struct {
	name   string
	faulty int
	slower float64
	fails  float64
	silent float64
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// clock runs events in virtual time.
type clock struct {
	now    time.Time
	events events
	seq    int
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{c.now.Add(d), c.seq, run})
}

func (c *clock) run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// request is a repeatable request.
type request struct {
	begun   time.Time
	attempt int
	avoid   []model.ExecutorID
	ended   bool
}

// sim is one failure domain with its executors.
type sim struct {
	clock
	scenario
	table  *route.Table
	random *rand.Rand
	budget retry.Budget
	queue  []*request
	took   []time.Duration
	// sent counts the requests, retries their further attempts, lost those without an answer in time.
	sent, retries, lost int
}

func executorID(i int) model.ExecutorID { return model.ExecutorID(fmt.Sprintf("e%02d", i)) }

func newSim(s scenario, policy func(*rand.Rand) route.Policy, seed uint64) *sim {
	random := rand.New(rand.NewPCG(seed, 0))
	m := &sim{scenario: s, random: random, table: route.NewTableWithPolicy(policy(rand.New(rand.NewPCG(seed, 1))))}
	m.now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range executors {
		m.table.Add(executorID(i), false)
	}
	return m
}

// simulate sends n requests at a share of the capacity of executors of normal speed.
func (m *sim) simulate(n int, load float64) {
	gap := float64(service) / float64(executors*route.MaxSlotsPerExecutor) / load
	m.confirm(n)
	m.arrive(n, gap)
	m.run()
	slices.Sort(m.took)
}

func (m *sim) confirm(n int) {
	for i := range executors {
		m.table.RecordNotice(executorID(i), false, 0, m.now)
	}
	if m.sent < n || len(m.took)+m.lost < n {
		m.after(confirmEvery, func() { m.confirm(n) })
	}
}

func (m *sim) arrive(n int, gap float64) {
	if m.sent == n {
		return
	}
	m.sent++
	m.budget.RecordRequest()
	r := &request{begun: m.now}
	m.after(deadline, func() { m.expire(r) })
	m.try(r)
	m.after(time.Duration(m.random.ExpFloat64()*gap), func() { m.arrive(n, gap) })
}

func (m *sim) expire(r *request) {
	if !r.ended {
		r.ended = true
		m.lost++
	}
}

func (m *sim) try(r *request) {
	if r.ended {
		return
	}
	id, ok := m.table.Acquire(r.avoid, m.now)
	if !ok {
		m.queue = append(m.queue, r)
		return
	}
	r.attempt++
	took, failed := m.execute(id, r)
	m.after(took, func() { m.finish(r, id, took, failed) })
}

// execute draws how an attempt ends. The first executors are the faulty ones.
func (m *sim) execute(id model.ExecutorID, r *request) (time.Duration, bool) {
	took := time.Duration(float64(service) * math.Exp(sigma*m.random.NormFloat64()-sigma*sigma/2))
	fate := m.random.Float64()
	switch {
	case id >= executorID(m.faulty):
	case fate < m.fails:
		return failTime, true
	case fate < m.fails+m.silent:
		return max(0, r.begun.Add(deadline).Sub(m.now)), true
	default:
		took = time.Duration(float64(took) * m.slower)
	}
	return took, false
}

func (m *sim) finish(r *request, id model.ExecutorID, took time.Duration, failed bool) {
	m.table.Release(id, failed, took, m.now)
	switch {
	case r.ended:
	case !failed:
		r.ended = true
		m.took = append(m.took, m.now.Sub(r.begun))
	case m.budget.TryRetry():
		m.retries++
		r.avoid = append(r.avoid, id)
		m.after(retry.Delay(r.attempt, m.random), func() { m.try(r) })
	default:
		r.ended = true
		m.lost++
	}
	waiting := m.queue
	m.queue = nil
	for _, w := range waiting {
		m.try(w)
	}
}
