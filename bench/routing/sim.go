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
	executorCount = 50
	// meanServiceTime is the mean of the lognormal run time of a request on an executor of normal speed,
	// serviceTimeSigma the standard deviation of its logarithm.
	meanServiceTime  = 20 * time.Millisecond
	serviceTimeSigma = 0.5
	// failureLatency is the time after which an executor answers an attempt that fails.
	failureLatency = time.Millisecond
	// requestTimeout is the time for which a caller waits for a response. An executor that does not answer occupies its
	// slot until the request times out.
	requestTimeout = 2 * time.Second
	// confirmInterval is the interval at which executors report that they are not leaving.
	confirmInterval = time.Second
)

// scenario describes the faults of the executors.
type scenario struct {
	name string
	// faultyExecutors is the number of faulty executors. The other fields apply only to these.
	faultyExecutors int
	// slowdown multiplies the run time of a request.
	slowdown float64
	// failureShare is the share of attempts that fail, silentShare the share that is never answered.
	failureShare float64
	silentShare  float64
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// eventLoop runs events in virtual time. Events at the same time run in the order in which they were scheduled.
type eventLoop struct {
	now    time.Time
	events eventHeap
	seq    int
}

// after schedules run after d.
func (l *eventLoop) after(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.events, event{l.now.Add(d), l.seq, run})
}

func (l *eventLoop) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

// request is a request that may be retried, because it is repeatable. Retries avoid the executors that failed it.
type request struct {
	arrived time.Time
	attempt int
	avoid   []model.ExecutorID
	done    bool
}

// simulation simulates the executors of one failure domain and the routing of requests to them.
type simulation struct {
	eventLoop
	scenario
	table     *route.Table
	random    *rand.Rand
	budget    retry.Budget
	queue     []*request
	latencies []time.Duration
	// sent counts the requests, retries the attempts after the first one, unanswered the requests without a response in
	// time.
	sent, retries, unanswered int
}

func executorID(i int) model.ExecutorID { return model.ExecutorID(fmt.Sprintf("e%02d", i)) }

func newSimulation(s scenario, newPolicy func(*rand.Rand) route.Policy, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 0))
	sim := &simulation{scenario: s, random: random, table: route.NewTableWithPolicy(newPolicy(rand.New(rand.NewPCG(seed, 1))))}
	sim.now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range executorCount {
		sim.table.Add(executorID(i), false)
	}
	return sim
}

// simulate sends n requests in a Poisson process at a rate of load times the capacity of healthy executors.
func (sim *simulation) simulate(n int, load float64) {
	meanGap := float64(meanServiceTime) / float64(executorCount*route.MaxSlotsPerExecutor) / load
	sim.confirmExecutors(n)
	sim.arrive(n, meanGap)
	sim.run()
	slices.Sort(sim.latencies)
}

// confirmExecutors confirms all executors at regular intervals until n requests have ended.
func (sim *simulation) confirmExecutors(n int) {
	for i := range executorCount {
		sim.table.RecordNotice(executorID(i), false, 0, sim.now)
	}
	if sim.sent < n || len(sim.latencies)+sim.unanswered < n {
		sim.after(confirmInterval, func() { sim.confirmExecutors(n) })
	}
}

func (sim *simulation) arrive(n int, meanGap float64) {
	if sim.sent == n {
		return
	}
	sim.sent++
	sim.budget.RecordRequest()
	r := &request{arrived: sim.now}
	sim.after(requestTimeout, func() { sim.expire(r) })
	sim.startAttempt(r)
	sim.after(time.Duration(sim.random.ExpFloat64()*meanGap), func() { sim.arrive(n, meanGap) })
}

func (sim *simulation) expire(r *request) {
	if !r.done {
		r.done = true
		sim.unanswered++
	}
}

// startAttempt starts an attempt of a request, or queues the request if no executor has a free slot.
func (sim *simulation) startAttempt(r *request) {
	if r.done {
		return
	}
	id, ok := sim.table.Acquire(r.avoid, sim.now)
	if !ok {
		sim.queue = append(sim.queue, r)
		return
	}
	r.attempt++
	took, failed := sim.drawOutcome(id, r)
	sim.after(took, func() { sim.finishAttempt(r, id, took, failed) })
}

// drawOutcome draws the duration of an attempt and whether it fails. The executors with the lowest IDs are the faulty
// ones.
func (sim *simulation) drawOutcome(id model.ExecutorID, r *request) (time.Duration, bool) {
	took := time.Duration(float64(meanServiceTime) * math.Exp(serviceTimeSigma*sim.random.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2))
	draw := sim.random.Float64()
	switch {
	case id >= executorID(sim.faultyExecutors):
	case draw < sim.failureShare:
		return failureLatency, true
	case draw < sim.failureShare+sim.silentShare:
		return max(0, r.arrived.Add(requestTimeout).Sub(sim.now)), true
	default:
		took = time.Duration(float64(took) * sim.slowdown)
	}
	return took, false
}

// finishAttempt frees the slot of an attempt, retries the request after a failure if the retry budget permits it, and
// starts the queued requests.
func (sim *simulation) finishAttempt(r *request, id model.ExecutorID, took time.Duration, failed bool) {
	sim.table.Release(id, failed, took, sim.now)
	switch {
	case r.done:
	case !failed:
		r.done = true
		sim.latencies = append(sim.latencies, sim.now.Sub(r.arrived))
	case sim.budget.TryRetry():
		sim.retries++
		r.avoid = append(r.avoid, id)
		sim.after(retry.Delay(r.attempt, sim.random), func() { sim.startAttempt(r) })
	default:
		r.done = true
		sim.unanswered++
	}
	waiting := sim.queue
	sim.queue = nil
	for _, w := range waiting {
		sim.startAttempt(w)
	}
}
