package bench

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
)

// planner is what the loop needs of a policy.
type planner interface {
	SetWorkers([]plan.Worker)
	SetPolicy(model.Preset)
	Enqueue(plan.QueuedJob)
	Finish(model.JobID, time.Time)
	Remove(...model.JobID)
	Requeue(model.JobID)
	SetProgress(model.JobID, float64)
	Round(time.Time) plan.Result
}

// checker is a planner that refuses jobs that can never run.
type checker interface{ Check(model.JobSpec) bool }

const (
	// checkpointTime is the longest time that a preempted job takes to checkpoint and stop.
	checkpointTime = 30 * time.Second
	// urgentBound is the time in which urgent work must start.
	urgentBound = 2100 * time.Millisecond
	// failTime is the time after which a gang with a task on a black-hole worker fails.
	failTime = 5 * time.Second
	// blackHoleFails is the number of failures after which a worker is no longer usable.
	blackHoleFails = 3
	// outTime is the time that a failure domain is out; returnTime is the time after it that still counts.
	outTime, returnTime = 2 * time.Hour, time.Hour
	// waveEvery is the time between two waves of cancellations.
	waveEvery = 9 * time.Hour
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func(*loop)
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
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

// simJob is a job's true state.
type simJob struct {
	arrival
	left      time.Duration
	running   bool
	started   time.Time
	run       int
	placement model.Placement
	asked     time.Time
	// arrivedOut is true if the job arrived while its failure domain was out.
	arrivedOut bool
	first      time.Time
	// home is the failure domain of submission. since, transfers and transferred are the facts of domains.QueuedJob.
	home        int
	since       time.Time
	transfers   int
	transferred time.Time
}

// loop drives the planners of all failure domains in virtual time.
type loop struct {
	scenario
	now      time.Time
	queue    events
	seq      int
	planners []planner
	workers  [][]plan.Worker
	jobs     map[model.JobID]*simJob
	waiting  []map[model.JobID]*simJob
	running  []map[model.JobID]*simJob
	inUse    []int
	touched  []bool
	bad      map[model.WorkerID]int
	out      []bool
	window   [2]time.Time
	last     time.Time
	outage   outage
	m        measures
	// router is nil if jobs stay where they were submitted, or in the next failure domain while that is out.
	router *router
}

func (l *loop) at(t time.Time, run func(*loop)) {
	l.seq++
	heap.Push(&l.queue, event{at: t, seq: l.seq, run: run})
}

func newLoop(s scenario, start time.Time, rng *rand.Rand, load float64, make func(int) planner) *loop {
	l := &loop{scenario: s, now: start, last: start, workers: s.workersOf(), jobs: map[model.JobID]*simJob{}, bad: map[model.WorkerID]int{}}
	for d := range s.domains {
		p := make(d)
		p.SetWorkers(l.workers[d])
		l.planners = append(l.planners, p)
		l.waiting = append(l.waiting, map[model.JobID]*simJob{})
		l.running = append(l.running, map[model.JobID]*simJob{})
		l.inUse, l.touched, l.out = append(l.inUse, 0), append(l.touched, false), append(l.out, false)
	}
	for _, a := range s.arrivals(rng, load, start) {
		l.at(a.Submitted, func(l *loop) { l.arrive(a) })
	}
	l.addFaults(start, rng)
	return l
}

// addFaults adds waves of cancellations, black-hole workers and a failure domain that leaves and returns.
func (l *loop) addFaults(start time.Time, rng *rand.Rand) {
	for at := waveEvery; at < l.span; at += waveEvery {
		seed := rng.Uint64()
		l.at(start.Add(at), func(l *loop) { l.cancelWave(rand.New(rand.NewPCG(seed, 1))) })
	}
	for range max(1, l.scenario.workers/100) {
		d := rng.IntN(l.domains)
		w := l.workers[d][rng.IntN(len(l.workers[d]))].ID
		l.at(start.Add(time.Duration(rng.Float64()*float64(l.span))), func(l *loop) { l.bad[w] = 1 })
	}
	leave := start.Add(l.span * 2 / 5)
	l.window = [2]time.Time{leave, leave.Add(outTime + returnTime)}
	l.at(leave, func(l *loop) { l.setDomain(0, false) })
	l.at(leave.Add(outTime), func(l *loop) { l.setDomain(0, true) })
	l.at(l.window[1], func(*loop) {})
}

// simulate runs until all jobs ended or a week after the last arrival.
func (l *loop) simulate() measures {
	limit := l.now.Add(l.span + 7*24*time.Hour)
	for len(l.queue) > 0 && l.now.Before(limit) {
		t := l.queue[0].at
		l.advance(t)
		for len(l.queue) > 0 && l.queue[0].at.Equal(t) {
			heap.Pop(&l.queue).(event).run(l)
		}
		for d, touched := range l.touched {
			for touched {
				l.round(d)
				touched = l.touched[d]
			}
		}
		if l.router != nil {
			l.router.publish(l)
		}
	}
	for _, ws := range l.waiting {
		l.m.unfinished += len(ws)
	}
	return l.m
}

// advance moves the time and sums the state over it.
func (l *loop) advance(t time.Time) {
	dt := t.Sub(l.now).Seconds()
	for d := range l.planners {
		if !l.now.Before(l.window[0]) && l.now.Before(l.window[1]) {
			l.m.windowWork += float64(l.inUse[d]) * dt
		}
		free := l.freeIn(d)
		if len(l.waiting[d]) == 0 || l.out[d] || free <= 0 {
			continue
		}
		l.m.freeTime += float64(free) * dt
		fits := false
		for _, j := range l.waiting[d] {
			if j.Spec.GPUs() <= free {
				l.m.refusedTime += dt
				fits = true
			}
		}
		if fits {
			l.m.stuckTime += float64(free) * dt
		}
	}
	l.now = t
}

func (l *loop) freeIn(d int) int {
	n := -l.inUse[d]
	for _, w := range l.workers[d] {
		if w.Usable {
			n += model.GPUsPerWorker
		}
	}
	return n
}

func (l *loop) arrive(a arrival) {
	j := &simJob{arrival: a, left: a.actual, home: a.domain, since: l.now}
	switch {
	case l.router != nil:
		j.domain = l.router.choose(l, j)
	case l.out[a.domain] && l.domains > 1:
		j.domain = (a.domain + 1) % l.domains
	}
	if c, ok := l.planners[j.domain].(checker); ok && !c.Check(a.Spec) {
		l.m.refused++
		return
	}
	j.arrivedOut = l.out[j.domain]
	l.jobs[a.Job] = j
	l.waiting[j.domain][a.Job] = j
	l.planners[j.domain].Enqueue(a.QueuedJob)
	l.touched[j.domain] = true
}

// round runs one round and applies its result.
func (l *loop) round(d int) {
	if l.blocked() {
		l.touched[d] = false
		return
	}
	begin := time.Now()
	r := l.planners[d].Round(l.now)
	l.m.rounds = append(l.m.rounds, time.Since(begin))
	l.touched[d] = r.Incomplete
	for _, s := range r.Starts {
		l.start(l.jobs[s.Job], s.Placement)
	}
	for _, x := range r.Preemptions {
		l.m.preempts++
		l.leave(x.Job, x.ForJob, x.GracePeriod)
	}
	for _, x := range r.Migrations {
		l.m.moves++
		l.leave(x.Job, x.ForJob, 0)
	}
}

func (l *loop) start(j *simJob, pl model.Placement) {
	j.running, j.started, j.placement = true, l.now, pl
	j.run++
	run := j.run
	delete(l.waiting[j.domain], j.Job)
	l.running[j.domain][j.Job] = j
	l.inUse[j.domain] += j.Spec.GPUs()
	l.occupy(j, 1)
	if j.first.IsZero() {
		j.first = l.now
	}
	if !j.asked.IsZero() {
		l.m.reclaims = append(l.m.reclaims, l.now.Sub(j.asked).Seconds())
		j.asked = time.Time{}
	}
	for _, s := range pl {
		if l.bad[s.Worker] > 0 {
			l.at(l.now.Add(failTime), func(l *loop) { l.fail(j, run, s.Worker) })
			return
		}
	}
	l.at(l.now.Add(j.left), func(l *loop) { l.end(j, run) })
}

// occupy counts the tasks of a job on its workers.
func (l *loop) occupy(j *simJob, tasks int) {
	if l.router == nil {
		return
	}
	busy := l.router.busy[j.domain]
	for _, s := range j.placement {
		if busy[s.Worker] += tasks; busy[s.Worker] == 0 {
			delete(busy, s.Worker)
		}
	}
}

// stop takes a job off its accelerators; false if it no longer runs that attempt.
func (l *loop) stop(j *simJob, run int) bool {
	if !j.running || j.run != run {
		return false
	}
	j.running = false
	l.inUse[j.domain] -= j.Spec.GPUs()
	l.occupy(j, -1)
	delete(l.running[j.domain], j.Job)
	l.touched[j.domain] = true
	return true
}

func (l *loop) end(j *simJob, run int) {
	if !l.stop(j, run) {
		return
	}
	l.planners[j.domain].Finish(j.Job, l.now)
	delete(l.jobs, j.Job)
	wait := j.first.Sub(j.Submitted).Seconds()
	switch {
	case j.probe:
		l.m.probeWaits = append(l.m.probeWaits, wait)
		return
	case j.Spec.GPUs() >= largeGPUs:
		l.m.largeWaits = append(l.m.largeWaits, wait)
	}
	if lightAccount(l.accounts, j.Spec.Account) {
		l.m.lightWaits = append(l.m.lightWaits, wait)
	}
	if j.Spec.Urgent && !j.arrivedOut {
		l.m.urgentWaits = append(l.m.urgentWaits, wait)
		if wait > urgentBound.Seconds() {
			l.m.urgentLate++
		}
	}
	l.outage.observe(j.Submitted, l.now)
	l.m.completion = append(l.m.completion, l.now.Sub(j.Submitted).Seconds())
	if l.router != nil {
		l.router.completed(j)
	}
}

// fail ends an attempt on a black-hole worker, which is taken out of use after some failures.
func (l *loop) fail(j *simJob, run int, w model.WorkerID) {
	if !l.stop(j, run) {
		return
	}
	l.requeue(j)
	if l.bad[w]++; l.bad[w] <= blackHoleFails {
		return
	}
	ws := slices.Clone(l.workers[j.domain])
	for i := range ws {
		if ws[i].ID == w {
			ws[i].Usable = false
		}
	}
	l.setWorkers(j.domain, ws)
}

func (l *loop) requeue(j *simJob) {
	j.since = l.now
	l.waiting[j.domain][j.Job] = j
	l.planners[j.domain].SetProgress(j.Job, 1-float64(j.left)/float64(j.actual))
	l.planners[j.domain].Requeue(j.Job)
}

// leave checkpoints and stops a job for another one. A checkpoint that takes longer than grace is lost with the
// work since the start of the run; grace 0 is no bound.
func (l *loop) leave(id, by model.JobID, grace time.Duration) {
	j := l.jobs[id]
	run := j.run
	if b := l.jobs[by]; b != nil {
		b.asked = l.now
	}
	delay := checkpointTime / 3 * time.Duration(1+(l.seq%3))
	if grace > 0 && delay > grace {
		l.at(l.now.Add(grace), func(l *loop) { l.stopShort(j, run) })
		return
	}
	l.at(l.now.Add(delay), func(l *loop) { l.checkpoint(j, run) })
}

// stopShort stops a job without a checkpoint.
func (l *loop) stopShort(j *simJob, run int) {
	started := j.started
	if l.stop(j, run) {
		l.m.lostWork += l.now.Sub(started).Seconds() * float64(j.Spec.GPUs())
		l.requeue(j)
	}
}

func (l *loop) checkpoint(j *simJob, run int) {
	if l.stop(j, run) {
		j.left = max(time.Second, j.left-l.now.Sub(j.started)+checkpointTime)
		l.requeue(j)
	}
}

func (l *loop) setWorkers(d int, ws []plan.Worker) {
	l.workers[d] = ws
	l.planners[d].SetWorkers(ws)
	l.touched[d] = true
}

// setDomain takes a failure domain out or brings it back. Its jobs checkpoint, stop and wait for it.
func (l *loop) setDomain(d int, in bool) {
	l.out[d] = !in
	ws := slices.Clone(l.workers[d])
	for i := range ws {
		ws[i].Usable = in && l.bad[ws[i].ID] <= blackHoleFails
	}
	l.setWorkers(d, ws)
	if in {
		return
	}
	for _, id := range sortedKeys(l.running[d]) {
		l.leave(id, "", 0)
	}
}

// cancelWave cancels about a third of the waiting jobs of one account in one pass.
func (l *loop) cancelWave(rng *rand.Rand) {
	account := accountName(1 + rng.IntN(l.accounts-1))
	for d, p := range l.planners {
		var ids []model.JobID
		for _, id := range sortedKeys(l.waiting[d]) {
			if l.waiting[d][id].Spec.Account == account && rng.IntN(3) == 0 {
				ids = append(ids, id)
			}
		}
		p.Remove(ids...)
		for _, id := range ids {
			delete(l.waiting[d], id)
			delete(l.jobs, id)
		}
		l.touched[d] = true
	}
}
