package fleet

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// simulation simulates the executors of a holder in virtual time. It checks the guarantees of the scheduler from what
// the executors observe.
type simulation struct {
	t    testing.TB
	rand *rand.Rand
	// clocks draws the clocks of processes at their starts.
	clocks *rand.Rand
	now    time.Time
	queue  events
	seq    int

	settings Settings
	config   *workload.Config
	// configs lists all configurations with the times from which on they were in force.
	configs     []configChange
	executors   map[workload.ExecutorID]*fakeExecutor
	executorIDs []workload.ExecutorID
	jobs        map[workload.JobID]*workload.Job
	jobIDs      []workload.JobID
	behavior    map[workload.JobID]behavior

	// The durable records, as the store would hold them.
	progress        map[workload.JobID]workload.Progress
	createdRevision map[workload.JobID]int64
	cancelled       map[workload.JobID]time.Time
	roster          workload.Roster
	revision        int64

	holder *holder
	term   int64
	// storeDown makes writes to the store fail. lossRate is the share of calls whose answer is lost and that take effect
	// late.
	storeDown bool
	lossRate  float64
	// addressTaken is set if another executor answers at wrong addresses.
	addressTaken bool
	// polls counts the polls that holders have sent.
	polls int
	// stopTime is how long a stop takes; 0 means half of the longest time.
	stopTime time.Duration
	// onStop, if not nil, is called for each stop that is sent.
	onStop func(Stop)
	// stops counts the stops that were sent, by reason.
	stops map[StopReason]int
	// missingSince holds the long-running tasks whose latest run has ended at work, with the time.
	missingSince map[workload.TaskRef]missingTask
	// advisor answers queries for advice; nil if no queue needs any.
	advisor *fakeAdvisor

	// activeRuns holds the latest run of each task, doneAt the time of its successful end. ackedDoneAt and failedAt hold
	// the times of the successful and the failed ends that were acknowledged.
	activeRuns  map[workload.TaskRef]*fakeRun
	ackedDoneAt map[workload.TaskRef]time.Time
	failedAt    map[workload.TaskRef][]time.Time
	doneAt      map[workload.TaskRef]time.Time
	starts      map[workload.TaskRef][]time.Time
	endedAt     map[endKey]time.Time
	violations  []string
	started     int
	// lostWork is the work in core-seconds that was lost by stops.
	lostWork float64
	// deliveringLate is set while a delayed call takes effect, to which no time limit applies.
	deliveringLate bool
	// faultFree is set if no faults are injected, so that no task of a gang may time out waiting for the others.
	faultFree bool
	// unregistered holds the executors whose registry entries were removed although they are up.
	unregistered map[workload.ExecutorID]bool
}

// configChange is a configuration that came into force at a time.
type configChange struct {
	at     time.Time
	config *workload.Config
}

// endKey identifies the end of a run by its executor and number.
type endKey struct {
	executor workload.ExecutorID
	number   int64
}

// behavior is the run time and the outcome of the tasks of a job.
type behavior struct {
	runTime time.Duration
	fails   bool
}

// missingTask is the end of a run of a long-running task: whether an order ended it, and when.
type missingTask struct {
	byOrder bool
	at      time.Time
}

// checkAvailability checks that the end of a run by an order leaves no more tasks of a long-running step missing than it
// may miss.
func (sim *simulation) checkAvailability(r *fakeRun, outcome workload.Outcome) {
	step := &r.job.Steps[r.task.Step]
	if _, cancelled := sim.cancelled[r.job.ID]; cancelled || !step.LongRunning || sim.now.Sub(r.startedAt) < startupTime {
		return
	}
	sim.missingSince[r.task] = missingTask{outcome == workload.Stopped, sim.now}
	if step.MayMiss == 0 || outcome != workload.Stopped {
		return
	}
	missing := 0
	for i := range step.Count {
		t := r.task
		t.Index = i
		end, ended := sim.missingSince[t]
		if other := sim.activeRuns[t]; t == r.task || !ended || slices.Contains(other.executor.runs, other) && sim.now.Sub(other.startedAt) >= startupTime {
			continue
		}
		if end.byOrder || sim.now.Sub(end.at) >= noticeTime {
			missing++
		}
	}
	if missing >= step.MayMiss {
		sim.recordViolation("availability: %s was stopped while %d others are missing", r.task, missing)
	}
}

// fakeAdvisor permits some executors to run the steps of queues that need advice. It handles one query at a time.
type fakeAdvisor struct {
	// permits reports whether an executor may run a step.
	permits func(workload.ExecutorID) bool
	// decide and each are the time of a query and, in addition, of each executor that it names. Tickets are valid for valid.
	decide, each, valid time.Duration
	// byRoute is set if these times are those of the configuration of the queue.
	byRoute bool
	// silent is the number of queries that get no answer from now on.
	silent int
	// queries counts the queries, refused the starts without a valid ticket.
	queries, refused int
	tickets          map[string]time.Time
	// busyUntil is when the service has handled all queries, unanswered counts those that were given up before.
	busyUntil  time.Time
	unanswered int
}

// holder is a holder of the fleet. Messages to a replaced one are dropped.
type holder struct {
	scheduler     *Scheduler
	fence         workload.FencingToken
	replaced      bool
	nextPlanAt    time.Time
	saving        bool
	rosterVersion int64
	// reachable holds the executors that the holder reaches, nil if it reaches all. A partitioned holder does not reach
	// the store.
	reachable   map[workload.ExecutorID]bool
	partitioned bool
	// answered holds the start of the process that last answered the holder, by executor. Calls to it use the same connection.
	answered map[workload.ExecutorID]time.Time
	// configuredAt is when the latest configuration reached the holder.
	configuredAt time.Time
}

type fakeExecutor struct {
	info        workload.Executor
	up          bool
	unreachable bool
	// rejecting is set if calls to the unreachable executor fail with a refused connection instead of a timeout.
	rejecting bool
	// silent is set while the machine of a process that has ended answers nothing. Calls wait for the next process then, and
	// those in waiting reach it if it starts before their timeout.
	silent  bool
	waiting []func()
	stalled bool
	// pace is the factor by which runs go faster; 0 means 1.
	pace      float64
	fence     workload.FencingToken
	deadline  time.Time
	runs      []*fakeRun
	ends      []workload.EndedRun
	lastEnd   int64
	seen      int64
	startedAt time.Time
	// clockStart is the clock of the present process at its start.
	clockStart time.Duration
	// clockOffset is the error of the machine's clock from which the next start time is taken.
	clockOffset time.Duration
	// leaseExpiredAt is the latest time at which the lease was found expired.
	leaseExpiredAt time.Time
	stopped        map[workload.TaskRef]workload.RunNumber
}

type fakeRun struct {
	task       workload.TaskRef
	run        workload.RunNumber
	executor   *fakeExecutor
	job        *workload.Job
	remaining  time.Duration
	advancedAt time.Time
	startedAt  time.Time
	checkpoint time.Duration
}

const (
	// longestLease is the longest lease that an executor grants: a later deadline is shortened to it.
	longestLease = 10 * time.Second
	// startTimeout and commandTimeout are the timeouts of starts and stops, pollMargin that of a poll beyond its wait.
	startTimeout   = 350 * time.Millisecond
	commandTimeout = 900 * time.Millisecond
	pollMargin     = 700 * time.Millisecond
	tick           = 20 * time.Millisecond
	callLatency    = 5 * time.Millisecond
	// startupTime is the time until a long-running task is at work.
	startupTime = 300 * time.Millisecond
	// noticeTime is the time from which on a long-running task that is not at work for any cause counts as missing.
	noticeTime = 5500 * time.Millisecond
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

func newSimulation(t testing.TB, seed uint64, racks, perRack int) *simulation {
	sim := &simulation{
		t: t, rand: rand.New(rand.NewPCG(seed, seed)), clocks: rand.New(rand.NewPCG(seed, ^seed)), now: time.Unix(1_700_000_000, 0),
		settings: Settings{
			Lease: 6 * time.Second, LongestLease: longestLease, HolderLease: HolderLease, RenewalGrace: RenewalGrace, PollWait: 1500 * time.Millisecond, MaxStopTime: 400 * time.Millisecond, RemoteSlowdown: 3,
			CheckpointRestoreTime: 100 * time.Millisecond, CheckpointInterval: time.Second, Retention: time.Hour,
		},
		executors: map[workload.ExecutorID]*fakeExecutor{}, jobs: map[workload.JobID]*workload.Job{},
		behavior: map[workload.JobID]behavior{}, progress: map[workload.JobID]workload.Progress{},
		createdRevision: map[workload.JobID]int64{}, cancelled: map[workload.JobID]time.Time{},
		activeRuns: map[workload.TaskRef]*fakeRun{}, ackedDoneAt: map[workload.TaskRef]time.Time{}, failedAt: map[workload.TaskRef][]time.Time{},
		doneAt: map[workload.TaskRef]time.Time{}, endedAt: map[endKey]time.Time{}, unregistered: map[workload.ExecutorID]bool{}, stops: map[StopReason]int{}, missingSince: map[workload.TaskRef]missingTask{}, starts: map[workload.TaskRef][]time.Time{},
	}
	sim.config = (&workload.Config{
		Version: 1,
		Routes: []workload.Route{
			{Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Latency: 600 * time.Millisecond},
			{Name: "normal", Pool: "pool", Priority: 1, MaxAttempts: 3, Stretch: 3, Latency: 1500 * time.Millisecond},
			{Name: "batch", Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 3, Latency: 3 * time.Second},
		},
		Pools:    []workload.PoolConfig{{Name: "pool"}},
		Accounts: []workload.AccountConfig{{Name: "a", Keys: []string{"ka"}, Guaranteed: 16}, {Name: "b", Keys: []string{"kb"}, Guaranteed: 8}},
	}).Index()
	sim.configs = []configChange{{sim.now, sim.config}}
	for r := range racks {
		for i := range perRack {
			sim.addExecutor(fmt.Sprintf("e%d-%d", r, i), fmt.Sprintf("r%d", r), "zone")
		}
	}
	return sim
}

func (sim *simulation) addExecutor(id, rack, domain string) {
	e := &fakeExecutor{info: workload.Executor{
		ID: workload.ExecutorID(id), Pool: "pool", Address: id, Domain: workload.Domain(domain),
		Capacity: workload.Resources{CPU: 32000, Memory: 64000, GPU: 8}, Labels: []string{"a", rack}, StartedAtMS: sim.now.UnixMilli(),
	}, up: true, startedAt: sim.now, clockStart: sim.drawClock(), stopped: map[workload.TaskRef]workload.RunNumber{}}
	sim.executors[e.info.ID] = e
	sim.executorIDs = append(sim.executorIDs, e.info.ID)
	if sim.holder != nil {
		sim.holder.scheduler.UpsertExecutor(sim.now, e.info)
	}
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now.Add(d), sim.seq, run})
}

// advance runs the events of the next period of virtual time.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// trace prints an event if tests run verbosely, to debug a failing seed.
func (sim *simulation) trace(format string, args ...any) {
	if testing.Verbose() {
		fmt.Printf("%v: %s\n", sim.now.Sub(time.Unix(1_700_000_000, 0)), fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(time.Unix(1_700_000_000, 0)))+fmt.Sprintf(format, args...))
}

// newHolder begins the term of a new holder from the durable records.
func (sim *simulation) newHolder() { sim.newHolderReaching(nil) }

// newHolderReaching begins the term of a new holder that reaches only some executors, or all if reachable is nil.
func (sim *simulation) newHolderReaching(reachable map[workload.ExecutorID]bool) {
	if sim.holder != nil {
		sim.holder.replaced = true
	}
	sim.term++
	sim.revision++
	h := &holder{fence: workload.FencingToken(sim.revision), reachable: reachable, answered: map[workload.ExecutorID]time.Time{}}
	h.scheduler = New(sim.settings, sim.term, sim.revision, sim.term > 1, sim.now)
	h.scheduler.SetConfig(sim.config)
	h.scheduler.InheritRoster(sim.now, sim.roster)
	for _, id := range sim.executorIDs {
		if sim.executors[id].up && !sim.unregistered[id] {
			h.scheduler.UpsertExecutor(sim.now, sim.executors[id].info)
		}
	}
	sim.holder = h
	for _, id := range sim.jobIDs {
		var p *workload.Progress
		if rec, ok := sim.progress[id]; ok {
			p = &rec
		}
		h.scheduler.AddJob(sim.now, sim.jobs[id], sim.createdRevision[id], p)
		if _, ok := sim.cancelled[id]; ok {
			h.scheduler.Cancel(sim.now, id)
		}
	}
	sim.plan(h)
}

// partition creates a network partition that separates the holder from the store and from all executors except those in
// oldReachable. A new holder reaches the others after the lease of the old one has expired. The partition heals after
// d.
func (sim *simulation) partition(oldReachable map[workload.ExecutorID]bool, d time.Duration) {
	old := sim.holder
	old.partitioned, old.reachable, old.configuredAt = true, oldReachable, sim.now
	sim.holder = nil
	sim.schedule(HolderLease, func() {
		if sim.holder != nil {
			return
		}
		reachable := map[workload.ExecutorID]bool{}
		for _, id := range sim.executorIDs {
			reachable[id] = !oldReachable[id]
		}
		sim.newHolderReaching(reachable)
		next := sim.holder
		sim.schedule(max(0, d-HolderLease), func() { next.reachable = nil })
	})
	sim.schedule(d, func() { old.reachable = nil })
}

func (sim *simulation) submit(j *workload.Job, b behavior) {
	sim.revision++
	sim.jobs[j.ID], sim.createdRevision[j.ID], sim.behavior[j.ID] = j, sim.revision, b
	sim.jobIDs = append(sim.jobIDs, j.ID)
	if sim.holder != nil {
		sim.holder.scheduler.AddJob(sim.now, j, sim.revision, nil)
		sim.plan(sim.holder)
	}
}

func (sim *simulation) cancel(id workload.JobID) {
	sim.cancelled[id] = sim.now
	if sim.holder != nil {
		sim.holder.scheduler.Cancel(sim.now, id)
		sim.plan(sim.holder)
	}
}

// plan calls Plan, carries out its actions and schedules the next call.
func (sim *simulation) plan(h *holder) {
	if h.replaced {
		return
	}
	actions, next := h.scheduler.Plan(sim.now)
	for _, a := range actions {
		sim.trace("fence %d: %T %+v", h.fence, a, a)
		switch a := a.(type) {
		case Start:
			sim.start(h, a)
		case Stop:
			sim.stop(h, a)
		case Poll:
			sim.poll(h, a)
		case AdviceQuery:
			if sim.advisor != nil {
				sim.advise(h, a)
			}
		}
	}
	sim.save(h)
	at := sim.now.Add(max(next, time.Millisecond))
	h.nextPlanAt = at
	sim.schedule(at.Sub(sim.now), func() {
		if h.nextPlanAt.Equal(at) {
			sim.plan(h)
		}
	})
}

func (sim *simulation) save(h *holder) {
	if h.saving || sim.storeDown || h.partitioned {
		return
	}
	h.scheduler.SetLeaseAge(sim.now, 0)
	records := h.scheduler.UnrecordedProgress(30)
	if len(records) == 0 && h.rosterVersion == h.scheduler.RosterVersion() {
		return
	}
	version := h.scheduler.RosterVersion()
	roster := h.scheduler.Roster()
	h.saving = true
	sim.schedule(callLatency, func() {
		h.saving = false
		if h.replaced || sim.storeDown || h.partitioned {
			return
		}
		for _, r := range records {
			sim.progress[r.Job] = stored(sim.t, r.Progress)
		}
		sim.roster, h.rosterVersion = roster, version
		h.scheduler.MarkRosterRecorded(roster)
		h.scheduler.MarkRecorded(records)
		sim.plan(h)
	})
}

// call delivers a call to an executor at an address or reports its failure. Nothing listens at addresses other than that
// of the executor, or another executor does if addressTaken is set. A call that is reported as unanswered takes effect late.
// A call to a silent executor reaches its next process if that starts within the timeout of the call, unless the call was sent
// on a connection to the earlier one.
// stored returns progress as the next holder reads it.
func stored(t testing.TB, p workload.Progress) (out workload.Progress) {
	value, err := json.Marshal(p)
	if err == nil {
		err = json.Unmarshal(value, &out)
	}
	if err != nil {
		t.Errorf("the progress can't be stored: %v", err)
	}
	return out
}

func (sim *simulation) call(h *holder, id workload.ExecutorID, address string, timeout time.Duration, deliver func(e *fakeExecutor), fail func(r CallFailure)) {
	e := sim.executors[id]
	switch {
	case e != nil && !e.up && e.silent && address == e.info.Address && sim.rand.IntN(2) == 0 && h.answered[id].Equal(e.startedAt):
		sim.schedule(timeout, func() { fail(CallUnansweredProven) })
	case e != nil && !e.up && e.silent && address == e.info.Address:
		done := false
		sim.schedule(timeout, func() {
			if !done {
				done = true
				fail(CallNotConnected)
			}
		})
		e.waiting = append(e.waiting, func() {
			if !done {
				done = true
				deliver(e)
			}
		})
	case e != nil && address != e.info.Address && sim.addressTaken:
		sim.schedule(callLatency, func() { fail(CallWrongExecutor) })
	case e == nil || !e.up || address != e.info.Address:
		sim.schedule(callLatency, func() { fail(CallRefused) })
	case e.unreachable && e.rejecting:
		sim.schedule(callLatency, func() { fail(CallRefused) })
	case e.unreachable || h.reachable != nil && !h.reachable[id]:
		sim.schedule(900*time.Millisecond, func() { fail(CallNotExecuted) })
	case sim.rand.Float64() < sim.lossRate:
		// A delayed call is lost if the process that received it ends.
		processStart := e.startedAt
		sim.schedule(time.Duration(2000+sim.rand.IntN(8000))*time.Millisecond, func() {
			if e.up && e.startedAt.Equal(processStart) {
				sim.deliveringLate = true
				deliver(e)
				sim.deliveringLate = false
			}
		})
		result := CallUnanswered
		if h.answered[id].Equal(processStart) {
			result = CallUnansweredProven
		}
		sim.schedule(900*time.Millisecond, func() { fail(result) })
	default:
		sim.schedule(callLatency, func() { deliver(e) })
	}
}

// configure puts a configuration into force.
func (sim *simulation) configure(c *workload.Config) {
	sim.config = c
	sim.configs = append(sim.configs, configChange{sim.now, c})
	if sim.holder != nil {
		sim.holder.scheduler.SetConfig(c)
		sim.plan(sim.holder)
	}
}

// limitSince returns the highest limit of an account in the configurations that were in force since a time.
func (sim *simulation) limitSince(a workload.Account, since time.Time) workload.Resources {
	const unlimited = 1 << 40
	most := workload.Resources{}
	higher := func(x, y int) int {
		if y == 0 {
			return unlimited
		}
		return max(x, y)
	}
	for i, c := range sim.configs {
		if i+1 < len(sim.configs) && sim.configs[i+1].at.Before(since) {
			continue
		}
		var limit workload.Resources
		if t := c.config.Account(a); t != nil {
			limit = t.Limit
		}
		most = workload.Resources{CPU: higher(most.CPU, limit.CPU), Memory: higher(most.Memory, limit.Memory), GPU: higher(most.GPU, limit.GPU)}
	}
	return most
}

// checkLimit checks that a start that was sent at a time keeps its account below its limit, counted over all executors.
// A start that takes effect late was permitted by a configuration that was in force since it was sent.
func (sim *simulation) checkLimit(j *workload.Job, a Start, sentAt time.Time) {
	sum := j.Steps[a.Task.Step].Need
	for _, e := range sim.executors {
		for _, r := range e.runs {
			if e.up && r.job.Account == j.Account {
				sum = sum.Add(r.job.Steps[r.task.Step].Need)
			}
		}
	}
	if limit := sim.limitSince(j.Account, sentAt); !sum.Fits(limit) {
		sim.recordViolation("account limit: %s run %d brings account %s to %v, its limit is %v", a.Task, a.Run, j.Account, sum, limit)
	}
}

func (sim *simulation) start(h *holder, a Start) {
	sentAt := sim.now
	if h.partitioned && h.configuredAt.Before(sentAt) {
		sentAt = h.configuredAt
	}
	answer := func(result CallFailure, ok bool, clock time.Duration) {
		sim.schedule(callLatency, func() {
			if h.replaced {
				return
			}
			if e := sim.executors[a.Executor]; e.unreachable && clock > 0 {
				lost := CallUnanswered
				if h.answered[a.Executor].Equal(e.startedAt) {
					lost = CallUnansweredProven
				}
				sim.schedule(startTimeout, func() {
					if !h.replaced {
						h.scheduler.StartFailed(sim.now, a.Executor, a.Task, a.Run, lost, 0)
						sim.plan(h)
					}
				})
				return
			}
			if clock > 0 {
				h.answered[a.Executor] = sim.executors[a.Executor].startedAt
			}
			if ok {
				h.scheduler.Started(sim.now, a.Executor, a.Task, a.Run, clock)
			} else {
				h.scheduler.StartFailed(sim.now, a.Executor, a.Task, a.Run, result, clock)
			}
			sim.plan(h)
		})
	}
	answered := false
	sim.call(h, a.Executor, a.Address, startTimeout, func(e *fakeExecutor) {
		result, ok := sim.handleStart(e, h.fence, a, sentAt)
		if !answered {
			answered = true
			answer(result, ok, sim.clock(e))
		}
	}, func(r CallFailure) {
		answered = true
		answer(r, false, 0)
	})
}

func (sim *simulation) clock(e *fakeExecutor) time.Duration {
	return sim.now.Sub(e.startedAt) + e.clockStart
}

// drawClock returns the clock of a process at its start. It has no relation to that of an earlier process, and a difference
// of seconds is as likely as one of an hour.
func (sim *simulation) drawClock() time.Duration {
	seconds := []int{1, 10, 20, 3600, 7200}[sim.clocks.IntN(5)]
	return time.Duration(seconds)*time.Second + time.Duration(sim.clocks.IntN(9000))*time.Millisecond
}

func (sim *simulation) extend(e *fakeExecutor, deadline time.Duration) {
	at := e.startedAt.Add(deadline - e.clockStart)
	if latest := sim.now.Add(longestLease); at.After(latest) {
		at = latest
	}
	if at.After(e.deadline) {
		e.deadline = at
	}
}

// advise answers a query for advice.
func (sim *simulation) advise(h *holder, a AdviceQuery) {
	adv := sim.advisor
	adv.queries++
	if adv.silent > 0 {
		adv.silent--
		sim.schedule(700*time.Millisecond, func() {
			if !h.replaced {
				h.scheduler.AdviceReceived(sim.now, a, nil, 0, false)
				sim.plan(h)
			}
		})
		return
	}
	// A query that is given up keeps the service busy all the same.
	decide, each, valid := adv.decide, adv.each, adv.valid
	if r := sim.config.Route(a.Queue); adv.byRoute {
		decide, each, valid = r.AdviceDecideTime, r.AdviceExecutorTime, r.TicketValid
	}
	adv.busyUntil = latest(sim.now, adv.busyUntil).Add(decide + time.Duration(len(a.Executors))*each)
	if len(a.Executors) > 100 {
		sim.recordViolation("advice: %d executors in a query", len(a.Executors))
	}
	takes := adv.busyUntil.Sub(sim.now) + 2*callLatency
	if takes > a.Timeout {
		sim.schedule(a.Timeout, func() {
			adv.unanswered++
			if !h.replaced {
				h.scheduler.AdviceReceived(sim.now, a, nil, 0, false)
				sim.plan(h)
			}
		})
		return
	}
	sim.schedule(takes, func() {
		tickets := map[workload.ExecutorID]string{}
		for _, id := range a.Executors {
			if adv.permits(id) {
				tickets[id] = fmt.Sprintf("%s %d.%d %s at %v", a.Step.Job, a.Step.Occurrence, a.Step.Step, id, sim.now)
				adv.tickets[tickets[id]] = sim.now.Add(valid)
			}
		}
		if !h.replaced {
			h.scheduler.AdviceReceived(sim.now, a, tickets, valid, true)
			sim.plan(h)
		}
	})
}

// hasTicket reports whether a start on an executor carries a valid ticket, if it needs one.
func (sim *simulation) hasTicket(e *fakeExecutor, a Start) bool {
	if sim.advisor == nil || !sim.config.Route(sim.jobs[a.Task.Job].Queue).Advised {
		return true
	}
	if sim.now.Before(sim.advisor.tickets[a.Ticket]) {
		return true
	}
	sim.advisor.refused++
	return false
}

// handleStart handles a start as an executor does.
func (sim *simulation) handleStart(e *fakeExecutor, fence workload.FencingToken, a Start, sentAt time.Time) (CallFailure, bool) {
	if fence < e.fence {
		return CallNotExecuted, false
	}
	e.fence = fence
	for _, r := range e.runs {
		if r.task == a.Task && r.run == a.Run {
			return 0, true
		}
	}
	if a.Run <= e.stopped[a.Task] {
		sim.extend(e, a.Deadline)
		return CallStaleRun, false
	}
	if a.Deadline < sim.clock(e) {
		return CallDeadlinePassed, false
	}
	sim.extend(e, a.Deadline)
	if !sim.hasTicket(e, a) {
		return CallInvalidTicket, false
	}
	j := sim.jobs[a.Task.Job]
	sim.trace("%s run %d begins on %s", a.Task, a.Run, e.info.ID)
	sim.checkStart(e, j, a)
	sim.checkLimit(j, a, sentAt)
	b := sim.behavior[a.Task.Job]
	r := &fakeRun{task: a.Task, run: a.Run, executor: e, job: j, remaining: b.runTime, advancedAt: sim.now, startedAt: sim.now}
	if a.Checkpoint != "" {
		var ms int
		if _, err := fmt.Sscanf(a.Checkpoint, "%d", &ms); err != nil {
			sim.recordViolation("task %s started with checkpoint %q", a.Task, a.Checkpoint)
		}
		r.checkpoint = time.Duration(ms) * time.Millisecond
		r.remaining = max(0, b.runTime-r.checkpoint)
	}
	e.runs = append(e.runs, r)
	sim.activeRuns[a.Task] = r
	sim.starts[a.Task] = append(sim.starts[a.Task], sim.now)
	sim.started++
	return 0, true
}

// checkStart checks that a start is allowed: for capacity, duplicate runs, cancelled jobs and dependencies.
func (sim *simulation) checkStart(e *fakeExecutor, j *workload.Job, a Start) {
	s := &j.Steps[a.Task.Step]
	used := s.CapacityNeed()
	for _, r := range e.runs {
		used = used.Add(r.job.Steps[r.task.Step].CapacityNeed())
	}
	if !used.Fits(e.info.Capacity) {
		sim.recordViolation("capacity: %s on %s brings its load to %v", a.Task, e.info.ID, used)
	}
	if r := sim.activeRuns[a.Task]; r != nil && r.executor.up && slices.Contains(r.executor.runs, r) {
		sim.recordViolation("duplicate run: %s run %d on %s while run %d is on %s", a.Task, a.Run, e.info.ID, r.run, r.executor.info.ID)
	}
	if at, ok := sim.cancelled[j.ID]; ok && sim.now.Sub(at) > 3*time.Second && !sim.deliveringLate {
		sim.recordViolation("cancelled job: %s starts %v after its job was cancelled", a.Task, sim.now.Sub(at))
	}
	for _, dependency := range s.After {
		for i := range j.Steps[dependency].Count {
			if _, ok := sim.doneAt[workload.TaskRef{Job: j.ID, Occurrence: a.Task.Occurrence, Step: dependency, Index: i}]; !ok {
				sim.recordViolation("dependency: %s starts before task %d of step %d is done", a.Task, i, dependency)
			}
		}
	}
	if a.Spec != j.Spec {
		sim.recordViolation("spec: %s starts with another spec than its job's", a.Task)
	}
}

func (sim *simulation) stop(h *holder, a Stop) {
	sim.stops[a.Reason]++
	if sim.onStop != nil {
		sim.onStop(a)
	}
	reply := func(ok bool, clock time.Duration) {
		sim.schedule(callLatency, func() {
			if !h.replaced {
				if e := sim.executors[a.Executor]; e.unreachable {
					ok, clock = false, 0
				} else if ok {
					h.answered[a.Executor] = e.startedAt
				}
				h.scheduler.StopAnswered(sim.now, a.Executor, a.Task, a.Run, ok, clock)
				sim.plan(h)
			}
		})
	}
	answered := false
	sim.call(h, a.Executor, a.Address, commandTimeout, func(e *fakeExecutor) {
		if h.fence >= e.fence {
			e.fence = h.fence
			e.stopped[a.Task] = max(e.stopped[a.Task], a.Run)
			for _, r := range e.runs {
				if r.task == a.Task && r.run == a.Run {
					sim.schedule(cmp.Or(sim.stopTime, sim.settings.MaxStopTime/2), func() { sim.endRun(r, workload.Stopped) })
				}
			}
		}
		if !answered {
			answered = true
			reply(true, sim.clock(e))
		}
	}, func(CallFailure) {
		answered = true
		reply(false, 0)
	})
}

func (sim *simulation) poll(h *holder, a Poll) {
	sentAt := sim.now
	sim.polls++
	answered := false
	processStart := time.Time{}
	if e := sim.executors[a.Executor]; e != nil {
		processStart = e.startedAt
	}
	sim.call(h, a.Executor, a.Address, a.Wait+pollMargin, func(e *fakeExecutor) {
		if !e.startedAt.Equal(processStart) && !a.AnyConnection {
			// The connection is new.
			a.QueryOnly, a.Deadline, a.AckedThrough, a.Wait = true, 0, 0, 0
		}
		if h.fence < e.fence {
			if h.partitioned {
				h.replaced = true
			} else if !answered && !h.replaced {
				answered = true
				sim.recordViolation("the holder of fence %d was fenced although it was not replaced", h.fence)
			}
			return
		}
		e.fence = h.fence
		if a.Deadline > 0 {
			sim.extend(e, a.Deadline)
		}
		e.ends = slices.DeleteFunc(e.ends, func(x workload.EndedRun) bool {
			// An end does not count if the executor's lease expired between the end and its acknowledgement.
			at := sim.endedAt[endKey{e.info.ID, x.Number}]
			if x.Number <= a.AckedThrough && !e.leaseExpiredAt.After(at) {
				switch x.Outcome {
				case workload.Done:
					sim.ackedDoneAt[x.Task] = at
				case workload.Failed:
					sim.failedAt[x.Task] = append(sim.failedAt[x.Task], at)
				}
			}
			return x.Number <= a.AckedThrough
		})
		if answered {
			return
		}
		answered = true
		sim.answerPoll(h, e, a, sentAt, sim.now.Add(a.Wait), e.startedAt)
	}, func(r CallFailure) {
		answered = true
		sim.schedule(callLatency, func() {
			if !h.replaced {
				h.scheduler.PollFailed(sim.now, a.Executor, r)
				sim.plan(h)
			}
		})
	})
}

// answerPoll answers a poll as soon as there is an end to report, or when the wait is over.
func (sim *simulation) answerPoll(h *holder, e *fakeExecutor, a Poll, sentAt, until, processStart time.Time) {
	if !e.startedAt.Equal(processStart) {
		// The connection was closed with the process.
		if !h.replaced {
			h.scheduler.PollFailed(sim.now, a.Executor, CallUnanswered)
			sim.plan(h)
		}
		return
	}
	if len(e.ends) == 0 && sim.now.Before(until) && e.up {
		sim.schedule(tick, func() { sim.answerPoll(h, e, a, sentAt, until, processStart) })
		return
	}
	if !e.up || e.unreachable {
		delay := 700 * time.Millisecond
		if e.rejecting {
			delay = callLatency
		}
		sim.schedule(delay, func() {
			if !h.replaced {
				h.scheduler.PollFailed(sim.now, a.Executor, CallUnanswered)
				sim.plan(h)
			}
		})
		return
	}
	r := workload.Report{Clock: sim.clock(e), StartedAtMS: e.info.StartedAtMS, Ended: slices.Clone(e.ends)}
	for _, run := range e.runs {
		b := sim.behavior[run.task.Job]
		row := workload.RunningTask{Task: run.task, Run: run.run, Percent: int(100 * (b.runTime - run.remaining) / max(1, b.runTime))}
		if run.job.Steps[run.task.Step].LongRunning {
			row.Percent = int(min(100, 100*sim.now.Sub(run.startedAt)/startupTime))
		}
		if run.job.Steps[run.task.Step].Checkpoint {
			row.Checkpoint = fmt.Sprint((b.runTime - run.remaining).Truncate(time.Second).Milliseconds())
		}
		r.Running = append(r.Running, row)
	}
	sim.schedule(callLatency, func() {
		if !h.replaced {
			h.answered[a.Executor] = e.startedAt
			sim.trace("report of %s to the poll of %v: %+v", a.Executor, sentAt.Sub(time.Unix(1_700_000_000, 0)), r)
			h.scheduler.Report(sim.now, a.Executor, sentAt, a, r)
			sim.plan(h)
		}
	})
}

// advanceRuns advances all runs by the time since the last call. The tasks of a gang progress only while all are
// running.
func (sim *simulation) advanceRuns() {
	for _, id := range sim.executorIDs {
		e := sim.executors[id]
		if !e.up {
			continue
		}
		if sim.now.After(e.deadline) {
			e.leaseExpiredAt = sim.now
			for _, r := range slices.Clone(e.runs) {
				sim.endRun(r, workload.LeaseExpired)
			}
		}
		for _, r := range slices.Clone(e.runs) {
			if !slices.Contains(e.runs, r) {
				continue
			}
			s := &r.job.Steps[r.task.Step]
			if s.Gang && !sim.gangComplete(r) {
				if sim.now.Sub(r.startedAt) > 3*time.Second {
					if _, cancelled := sim.cancelled[r.job.ID]; sim.faultFree && !cancelled {
						sim.recordViolation("gang: %s run %d on %s ends because the rest of its gang is missing", r.task, r.run, r.executor.info.ID)
					}
					sim.endRun(r, workload.GangNotStarted)
				}
				r.advancedAt = sim.now
				continue
			}
			if !e.stalled {
				r.remaining -= time.Duration(sim.pace(r) * float64(sim.now.Sub(r.advancedAt)))
			}
			r.advancedAt = sim.now
			if r.remaining <= 0 {
				outcome := workload.Done
				if sim.behavior[r.job.ID].fails {
					outcome = workload.Failed
				}
				sim.endRun(r, outcome)
			}
		}
	}
	sim.schedule(tick, sim.advanceRuns)
}

// pace returns the pace of a run: that of its executor or, in a gang, that of the slowest one.
func (sim *simulation) pace(r *fakeRun) float64 {
	pace := cmp.Or(r.executor.pace, 1)
	if s := &r.job.Steps[r.task.Step]; s.Gang {
		for i := range s.Count {
			t := r.task
			t.Index = i
			pace = min(pace, cmp.Or(sim.activeRuns[t].executor.pace, 1))
		}
	}
	return pace
}

// gangComplete reports whether all tasks of the gang of a run are running.
func (sim *simulation) gangComplete(r *fakeRun) bool {
	for i := range r.job.Steps[r.task.Step].Count {
		t := r.task
		t.Index = i
		if other := sim.activeRuns[t]; other == nil || other.run != r.run || !other.executor.up || !slices.Contains(other.executor.runs, other) {
			return false
		}
	}
	return true
}

// endRun ends a run and, if its gang is complete, the other tasks of the gang.
func (sim *simulation) endRun(r *fakeRun, outcome workload.Outcome) {
	i := slices.Index(r.executor.runs, r)
	if i < 0 || !r.executor.up {
		return
	}
	complete := r.job.Steps[r.task.Step].Gang && sim.gangComplete(r)
	r.executor.runs = slices.Delete(r.executor.runs, i, i+1)
	r.executor.lastEnd++
	sim.checkAvailability(r, outcome)
	sim.trace("%s run %d on %s ends %s as %d", r.task, r.run, r.executor.info.ID, outcome, r.executor.lastEnd)
	checkpoint := ""
	if r.job.Steps[r.task.Step].Checkpoint && outcome == workload.Stopped {
		checkpoint = fmt.Sprint((sim.behavior[r.job.ID].runTime - r.remaining).Milliseconds())
	} else if outcome == workload.Stopped || outcome == workload.GangBroken {
		sim.lostWork += (sim.behavior[r.job.ID].runTime - r.checkpoint - r.remaining).Seconds() * float64(weightedMillicores(r.job.Steps[r.task.Step].Need)) / 1000
	}
	r.executor.ends = append(r.executor.ends, workload.EndedRun{Number: r.executor.lastEnd, Task: r.task, Run: r.run, Outcome: outcome, Checkpoint: checkpoint})
	r.executor.stopped[r.task] = max(r.executor.stopped[r.task], r.run)
	sim.endedAt[endKey{r.executor.info.ID, r.executor.lastEnd}] = sim.now
	if outcome == workload.Done {
		sim.doneAt[r.task] = sim.now
	}
	if !complete {
		return
	}
	restOutcome := workload.GangBroken
	if outcome == workload.Done {
		restOutcome = workload.Done
	}
	for i := range r.job.Steps[r.task.Step].Count {
		t := r.task
		t.Index = i
		if other := sim.activeRuns[t]; other != nil && other.run == r.run && other != r {
			sim.endRun(other, restOutcome)
		}
	}
}

// crash ends an executor's process without notice. Its registry entry is removed after a delay.
func (sim *simulation) crash(id workload.ExecutorID) {
	sim.trace("%s crashes", id)
	e := sim.executors[id]
	e.up, e.runs, e.ends = false, nil, nil
	if h := sim.holder; h != nil {
		sim.schedule(4500*time.Millisecond, func() {
			if !e.up && !h.replaced {
				h.scheduler.RemoveExecutor(sim.now, id)
			}
		})
	}
}

// crashSilently ends an executor's process while its machine answers nothing, so that calls may wait for the next process.
func (sim *simulation) crashSilently(id workload.ExecutorID) {
	sim.crash(id)
	sim.executors[id].silent = true
}

// restart starts an executor again under its identifier and updates its registry entry.
func (sim *simulation) restart(id workload.ExecutorID) {
	sim.restartUnregistered(id)
	if sim.holder != nil {
		sim.holder.scheduler.UpsertExecutor(sim.now, sim.executors[id].info)
	}
}

// restartUnregistered starts an executor again without an update of its registry entry.
func (sim *simulation) restartUnregistered(id workload.ExecutorID) {
	sim.trace("%s starts again", id)
	e := sim.executors[id]
	e.up, e.unreachable, e.rejecting, e.fence, e.lastEnd, e.seen, e.startedAt = true, false, false, 0, 0, 0, sim.now
	e.info.StartedAtMS = sim.now.Add(e.clockOffset).UnixMilli()
	e.stopped = map[workload.TaskRef]workload.RunNumber{}
	e.clockStart = sim.drawClock()
	e.deadline = time.Time{}
	e.runs, e.ends = nil, nil
	e.silent = false
	for _, deliver := range e.waiting {
		// Connections are tried again after up to a second.
		sim.schedule(callLatency+time.Duration(sim.rand.IntN(1000))*time.Millisecond, func() {
			if e.up && !e.unreachable {
				deliver()
			}
		})
	}
	e.waiting = nil
}

// checkAttempts checks that no task starts again after a success, or after as many failures as its queue allows. An end
// counts for every start after it, no matter when it was acknowledged.
func (sim *simulation) checkAttempts() {
	for task, starts := range sim.starts {
		limit := sim.config.Route(sim.jobs[task.Job].Queue).MaxAttempts
		for _, at := range starts {
			if done, ok := sim.ackedDoneAt[task]; ok && at.After(done) {
				sim.recordViolation("repeated run: %s started at %v after its end at %v, which was acknowledged", task, at, done)
			}
			n := 0
			for _, failed := range sim.failedAt[task] {
				if failed.Before(at) {
					n++
				}
			}
			if n >= limit {
				sim.recordViolation("attempts: %s started after %d failures", task, n)
			}
		}
	}
}

// expectDone fails the test unless all jobs have ended as their behavior determines and no violation was recorded.
func (sim *simulation) expectDone() {
	sim.t.Helper()
	sim.checkAttempts()
	for _, f := range sim.violations {
		sim.t.Error(f)
	}
	sim.expectEnded(func(workload.JobID) bool { return true })
}

// expectEnded fails the test unless the selected jobs have ended as their behavior determines.
func (sim *simulation) expectEnded(selected func(workload.JobID) bool) {
	sim.t.Helper()
	for _, id := range sim.jobIDs {
		if !selected(id) {
			continue
		}
		want := workload.StateCompleted
		if sim.behavior[id].fails {
			want = workload.StateFailed
		}
		got, known := sim.holder.scheduler.Status(id)
		if _, ok := sim.cancelled[id]; ok {
			if !got.Final() {
				sim.t.Errorf("job %s was cancelled and is %s", id, got)
			}
			continue
		}
		if !known || got != want {
			sim.t.Errorf("job %s is %q, want %q: %s", id, got, want, sim.describe(id))
		}
	}
}

// oneStep returns a job with a single step.
func oneStep(id string, queue workload.Queue, s workload.Step) *workload.Job {
	if s.Estimate == 0 {
		s.Estimate = 2 * time.Second
	}
	return &workload.Job{ID: workload.JobID(id), Queue: queue, Account: "a", Spec: "spec of " + id, Steps: []workload.Step{s}}
}

// describe returns the state of a job's units and of the executors, to show why the job has not ended.
func (sim *simulation) describe(id workload.JobID) string {
	out := ""
	for _, u := range sim.holder.scheduler.jobs[id].allUnits() {
		if u.state == unitDone {
			continue
		}
		out += fmt.Sprintf("\n  unit %d.%d state %d run %d ending %v failed %v avoid %q", u.step, u.firstTask, u.state, u.run, u.ending, u.failedRuns, u.avoidedExecutor)
		for _, r := range u.taskRuns {
			out += fmt.Sprintf("\n    %s on %s state %d stopping %v acked %v", r.task, r.executor.info.ID, r.state, r.stopping, r.stopAckedAt)
		}
	}
	for _, e := range sim.holder.scheduler.sortedExecutors {
		out += fmt.Sprintf("\n  executor %s free %v eligible %v verified %v unresponsive since %v suspicion %.2f polling %v",
			e.info.ID, e.free(), sim.holder.scheduler.eligible(sim.now, e), e.verified, e.unresponsiveSince, e.suspicion.current(sim.now), e.polling)
		for _, r := range e.taskRuns {
			out += fmt.Sprintf("\n    %s run %d state %d of a unit %v stopping %v %s acked %v", r.task, r.run, r.state, r.unit != nil, r.stopping, r.stopReason, r.stopAckedAt)
		}
	}
	return out
}
