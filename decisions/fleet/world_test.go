package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// world is a simulation of the executors that a holder schedules on, in virtual time. It checks the promises from what
// the executors see.
type world struct {
	t     testing.TB
	rand  *rand.Rand
	now   time.Time
	queue events
	seq   int

	settings Settings
	config   *workload.Config
	execs    map[workload.ExecutorID]*fakeExecutor
	names    []workload.ExecutorID
	jobs     map[workload.JobID]*workload.Job
	order    []workload.JobID
	behavior map[workload.JobID]behavior

	// The durable records: what the store would hold.
	progress  map[workload.JobID]workload.Progress
	created   map[workload.JobID]int64
	cancelled map[workload.JobID]time.Time
	roster    workload.Roster
	revision  int64

	holder *holder
	term   int64
	// storeDown stops records, lossy is the share of orders without an answer that are carried out late.
	storeDown bool
	lossy     float64

	// runs holds what started, done the tasks that have ended done and were acknowledged.
	active  map[workload.TaskRef]*fakeRun
	acked   map[workload.TaskRef]time.Time
	failed  map[workload.TaskRef][]time.Time
	doneAt  map[workload.TaskRef]time.Time
	starts  map[workload.TaskRef][]time.Time
	endedAt map[endKey]time.Time
	faults  []string
	started int
	// lost is the work in core-seconds that was thrown away by stops.
	lost float64
	// late is set while an order is carried out late, for which no bound of time holds.
	late bool
	// calm is set while nothing happens that excuses a member of a gang that ends alone.
	calm bool
	// unlisted holds the executors whose registry entries are gone although they are up.
	unlisted map[workload.ExecutorID]bool
}

// endKey names an end of an executor.
type endKey struct {
	on     workload.ExecutorID
	number int64
}

// behavior is how the tasks of a job run.
type behavior struct {
	work  time.Duration
	fails bool
}

// holder is one holder; messages to one that was replaced are dropped.
type holder struct {
	fleet *Scheduler
	fence workload.Fence
	gone  bool
	// planned is the time of the next plan.
	planned       time.Time
	saving        bool
	rosterVersion int64
	// reaches holds the executors that a holder on one side of a cut reaches; nil if it reaches all. stale holders do not
	// reach the store.
	reaches map[workload.ExecutorID]bool
	stale   bool
}

type fakeExecutor struct {
	info     workload.Executor
	up       bool
	cut      bool
	hang     bool
	fence    workload.Fence
	deadline time.Time
	runs     []*fakeRun
	ended    []workload.Ended
	number   int64
	seen     int64
	bootAt   time.Time
	// lapsedAt is the last time at which the lease was over.
	lapsedAt time.Time
	stopped  map[workload.TaskRef]workload.RunNumber
}

type fakeRun struct {
	task   workload.TaskRef
	run    workload.RunNumber
	on     *fakeExecutor
	job    *workload.Job
	left   time.Duration
	lastAt time.Time
	began  time.Time
	saved  time.Duration
}

const (
	tick     = 20 * time.Millisecond
	callTime = 5 * time.Millisecond
)

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

func newWorld(t testing.TB, seed uint64, racks, perRack int) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_700_000_000, 0),
		settings: Settings{
			Lease: 6 * time.Second, HolderLease: HolderLease, HoldOnly: HoldOnly, LookWait: 1500 * time.Millisecond, StopBound: 400 * time.Millisecond, SlowFactor: 3,
			RestoreTime: 100 * time.Millisecond, SaveInterval: time.Second, Retention: time.Hour,
		},
		execs: map[workload.ExecutorID]*fakeExecutor{}, jobs: map[workload.JobID]*workload.Job{},
		behavior: map[workload.JobID]behavior{}, progress: map[workload.JobID]workload.Progress{},
		created: map[workload.JobID]int64{}, cancelled: map[workload.JobID]time.Time{},
		active: map[workload.TaskRef]*fakeRun{}, acked: map[workload.TaskRef]time.Time{}, failed: map[workload.TaskRef][]time.Time{},
		doneAt: map[workload.TaskRef]time.Time{}, endedAt: map[endKey]time.Time{}, unlisted: map[workload.ExecutorID]bool{}, starts: map[workload.TaskRef][]time.Time{},
	}
	w.config = (&workload.Config{
		Version: 1,
		Routes: []workload.Route{
			{Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Latency: 600 * time.Millisecond},
			{Name: "normal", Pool: "pool", Priority: 1, MaxAttempts: 3, Stretch: 3, Latency: 1500 * time.Millisecond},
			{Name: "batch", Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 3, Latency: 3 * time.Second},
		},
		Services: []workload.Service{{Name: "pool"}},
		Tenants:  []workload.Tenant{{Name: "a", Keys: []string{"ka"}, Guaranteed: 16}, {Name: "b", Keys: []string{"kb"}, Guaranteed: 8}},
	}).Index()
	for r := range racks {
		for i := range perRack {
			w.addExecutor(fmt.Sprintf("e%d-%d", r, i), fmt.Sprintf("r%d", r), "zone")
		}
	}
	return w
}

func (w *world) addExecutor(id, rack, domain string) {
	e := &fakeExecutor{info: workload.Executor{
		ID: workload.ExecutorID(id), Pool: "pool", Address: id, Domain: workload.Domain(domain),
		Capacity: workload.Resources{CPU: 32000, Memory: 64000, GPU: 8}, Labels: []string{"a", rack}, Born: w.now.UnixMilli(),
	}, up: true, bootAt: w.now, stopped: map[workload.TaskRef]workload.RunNumber{}}
	w.execs[e.info.ID] = e
	w.names = append(w.names, e.info.ID)
	if w.holder != nil {
		w.holder.fleet.UpsertExecutor(w.now, e.info)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, do})
}

// run plays the world for a time.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// trace records what happens when tests run verbosely, to follow a failing seed.
func (w *world) trace(format string, args ...any) {
	if testing.Verbose() {
		fmt.Printf("%v: %s\n", w.now.Sub(time.Unix(1_700_000_000, 0)), fmt.Sprintf(format, args...))
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now.Sub(time.Unix(1_700_000_000, 0)))+fmt.Sprintf(format, args...))
}

// newHolder begins a term with what is durable.
func (w *world) newHolder() { w.newHolderOn(nil) }

// newHolderOn begins a term of a holder that reaches only some executors, or all if reaches is nil.
func (w *world) newHolderOn(reaches map[workload.ExecutorID]bool) {
	if w.holder != nil {
		w.holder.gone = true
	}
	w.term++
	w.revision++
	h := &holder{fence: workload.Fence(w.revision), reaches: reaches}
	h.fleet = New(w.settings, w.term, w.revision, w.term > 1, w.now)
	h.fleet.SetConfig(w.config)
	h.fleet.Inherit(w.now, w.roster)
	for _, id := range w.names {
		if w.execs[id].up && !w.unlisted[id] {
			h.fleet.UpsertExecutor(w.now, w.execs[id].info)
		}
	}
	w.holder = h
	for _, id := range w.order {
		var p *workload.Progress
		if rec, ok := w.progress[id]; ok {
			p = &rec
		}
		h.fleet.AddJob(w.now, w.jobs[id], w.created[id], p)
		if _, ok := w.cancelled[id]; ok {
			h.fleet.Cancel(w.now, id)
		}
	}
	w.plan(h)
}

// split cuts the holder off from the store and from the executors that another holder on the other side then reaches. It
// heals after a time.
func (w *world) split(side map[workload.ExecutorID]bool, d time.Duration) {
	old := w.holder
	old.stale, old.reaches = true, side
	w.holder = nil
	w.after(HolderLease, func() {
		if w.holder != nil {
			return
		}
		other := map[workload.ExecutorID]bool{}
		for _, id := range w.names {
			other[id] = !side[id]
		}
		w.newHolderOn(other)
		next := w.holder
		w.after(max(0, d-HolderLease), func() { next.reaches = nil })
	})
	w.after(d, func() { old.reaches = nil })
}

func (w *world) submit(j *workload.Job, b behavior) {
	w.revision++
	w.jobs[j.ID], w.created[j.ID], w.behavior[j.ID] = j, w.revision, b
	w.order = append(w.order, j.ID)
	if w.holder != nil {
		w.holder.fleet.AddJob(w.now, j, w.revision, nil)
		w.plan(w.holder)
	}
}

func (w *world) cancel(id workload.JobID) {
	w.cancelled[id] = w.now
	if w.holder != nil {
		w.holder.fleet.Cancel(w.now, id)
		w.plan(w.holder)
	}
}

// plan carries out what the scheduler asks for.
func (w *world) plan(h *holder) {
	if h.gone {
		return
	}
	actions, next := h.fleet.Plan(w.now)
	for _, a := range actions {
		w.trace("fence %d: %T %+v", h.fence, a, a)
		switch a := a.(type) {
		case Start:
			w.start(h, a)
		case Stop:
			w.stop(h, a)
		case Look:
			w.look(h, a)
		}
	}
	w.save(h)
	at := w.now.Add(max(next, time.Millisecond))
	h.planned = at
	w.after(at.Sub(w.now), func() {
		if h.planned.Equal(at) {
			w.plan(h)
		}
	})
}

func (w *world) save(h *holder) {
	if h.saving || w.storeDown || h.stale {
		return
	}
	h.fleet.Confirm(w.now)
	records := h.fleet.Dirty(30)
	if len(records) == 0 && h.rosterVersion == h.fleet.RosterVersion() {
		return
	}
	version := h.fleet.RosterVersion()
	roster := h.fleet.Roster()
	h.saving = true
	w.after(callTime, func() {
		h.saving = false
		if h.gone || w.storeDown || h.stale {
			return
		}
		for _, r := range records {
			w.progress[r.Job] = r.Progress
		}
		w.roster, h.rosterVersion = roster, version
		h.fleet.RosterRecorded(roster)
		h.fleet.Recorded(records)
		w.plan(h)
	})
}

// reach delivers a call to an executor, or drops it. A lost call may be carried out late.
func (w *world) reach(h *holder, id workload.ExecutorID, do func(e *fakeExecutor), lost func(r CallResult)) {
	e := w.execs[id]
	switch {
	case e == nil || !e.up:
		w.after(callTime, func() { lost(CallRefused) })
	case e.cut || h.reaches != nil && !h.reaches[id]:
		w.after(900*time.Millisecond, func() { lost(CallNotDone) })
	case w.rand.Float64() < w.lossy:
		// An order that is carried out late does not outlive the process that received it.
		life := e.bootAt
		w.after(time.Duration(2000+w.rand.IntN(8000))*time.Millisecond, func() {
			if e.up && e.bootAt.Equal(life) {
				w.late = true
				do(e)
				w.late = false
			}
		})
		w.after(900*time.Millisecond, func() { lost(CallUnanswered) })
	default:
		w.after(callTime, func() { do(e) })
	}
}

func (w *world) start(h *holder, a Start) {
	answer := func(why CallResult, ok bool, clock time.Duration) {
		w.after(callTime, func() {
			if h.gone {
				return
			}
			if ok {
				h.fleet.Started(w.now, a.Executor, a.Task, a.Run, clock)
			} else {
				h.fleet.NotStarted(w.now, a.Executor, a.Task, a.Run, why, clock)
			}
			w.plan(h)
		})
	}
	answered := false
	w.reach(h, a.Executor, func(e *fakeExecutor) {
		why, ok := w.begin(e, h.fence, a)
		if !answered {
			answered = true
			answer(why, ok, w.clock(e))
		}
	}, func(r CallResult) {
		answered = true
		answer(r, false, 0)
	})
}

func (w *world) clock(e *fakeExecutor) time.Duration { return w.now.Sub(e.bootAt) + time.Second }

func (w *world) extend(e *fakeExecutor, deadline time.Duration) {
	if at := e.bootAt.Add(deadline - time.Second); at.After(e.deadline) {
		e.deadline = at
	}
}

// begin is an executor's handling of a start.
func (w *world) begin(e *fakeExecutor, fence workload.Fence, a Start) (CallResult, bool) {
	if fence < e.fence {
		return CallNotDone, false
	}
	e.fence = fence
	for _, r := range e.runs {
		if r.task == a.Task && r.run == a.Run {
			return 0, true
		}
	}
	if a.Run <= e.stopped[a.Task] {
		w.extend(e, a.Deadline)
		return CallOldRun, false
	}
	if a.Deadline < w.clock(e) {
		return CallLate, false
	}
	w.extend(e, a.Deadline)
	j := w.jobs[a.Task.Job]
	w.trace("%s run %d begins on %s", a.Task, a.Run, e.info.ID)
	w.checkStart(e, j, a)
	b := w.behavior[a.Task.Job]
	r := &fakeRun{task: a.Task, run: a.Run, on: e, job: j, left: b.work, lastAt: w.now, began: w.now}
	if a.Saved != "" {
		var ms int
		if _, err := fmt.Sscanf(a.Saved, "%d", &ms); err != nil {
			w.fault("task %s started with checkpoint %q", a.Task, a.Saved)
		}
		r.saved = time.Duration(ms) * time.Millisecond
		r.left = max(0, b.work-r.saved)
	}
	e.runs = append(e.runs, r)
	w.active[a.Task] = r
	w.starts[a.Task] = append(w.starts[a.Task], w.now)
	w.started++
	return 0, true
}

// checkStart is the oracle of starts.
func (w *world) checkStart(e *fakeExecutor, j *workload.Job, a Start) {
	s := &j.Steps[a.Task.Step]
	used := s.Load()
	for _, r := range e.runs {
		used = used.Add(r.job.Steps[r.task.Step].Load())
	}
	if !used.Fits(e.info.Capacity) {
		w.fault("LIMIT: %s on %s brings it to %v", a.Task, e.info.ID, used)
	}
	if r := w.active[a.Task]; r != nil && r.on.up && slices.Contains(r.on.runs, r) {
		w.fault("TWICE: %s run %d on %s while run %d is on %s", a.Task, a.Run, e.info.ID, r.run, r.on.info.ID)
	}
	if at, ok := w.cancelled[j.ID]; ok && w.now.Sub(at) > 3*time.Second && !w.late {
		w.fault("UNASKED: %s starts %v after its job was cancelled", a.Task, w.now.Sub(at))
	}
	for _, after := range s.After {
		for i := range j.Steps[after].Count {
			if _, ok := w.doneAt[workload.TaskRef{Job: j.ID, Occurrence: a.Task.Occurrence, Step: after, Index: i}]; !ok {
				w.fault("ORDER: %s before %d of step %d", a.Task, i, after)
			}
		}
	}
	if a.Spec != j.Spec {
		w.fault("UNASKED: %s with another spec", a.Task)
	}
}

func (w *world) stop(h *holder, a Stop) {
	reply := func(ok bool, clock time.Duration) {
		w.after(callTime, func() {
			if !h.gone {
				h.fleet.StopAnswered(w.now, a.Executor, a.Task, a.Run, ok, clock)
				w.plan(h)
			}
		})
	}
	answered := false
	w.reach(h, a.Executor, func(e *fakeExecutor) {
		if h.fence >= e.fence {
			e.fence = h.fence
			e.stopped[a.Task] = max(e.stopped[a.Task], a.Run)
			for _, r := range e.runs {
				if r.task == a.Task && r.run == a.Run {
					w.after(w.settings.StopBound/2, func() { w.end(r, workload.Stopped) })
				}
			}
		}
		if !answered {
			answered = true
			reply(true, w.clock(e))
		}
	}, func(CallResult) {
		answered = true
		reply(false, 0)
	})
}

func (w *world) look(h *holder, a Look) {
	sentAt := w.now
	answered := false
	w.reach(h, a.Executor, func(e *fakeExecutor) {
		if h.fence < e.fence {
			if h.stale {
				h.gone = true
			} else if !answered && !h.gone {
				answered = true
				w.fault("holder of fence %d is not gone and was fenced", h.fence)
			}
			return
		}
		e.fence = h.fence
		if a.Deadline > 0 {
			w.extend(e, a.Deadline)
		}
		e.ended = slices.DeleteFunc(e.ended, func(x workload.Ended) bool {
			// An end whose executor's lease lapsed before its acknowledgement does not count.
			at := w.endedAt[endKey{e.info.ID, x.Number}]
			if x.Number <= a.SeenUpTo && !e.lapsedAt.After(at) {
				switch x.How {
				case workload.Done:
					w.acked[x.Task] = at
				case workload.Erred:
					w.failed[x.Task] = append(w.failed[x.Task], at)
				}
			}
			return x.Number <= a.SeenUpTo
		})
		if answered {
			return
		}
		answered = true
		w.answerLook(h, e, a, sentAt, w.now.Add(a.Wait), e.bootAt)
	}, func(r CallResult) {
		answered = true
		w.after(callTime, func() {
			if !h.gone {
				h.fleet.LookFailed(w.now, a.Executor, r)
				w.plan(h)
			}
		})
	})
}

// answerLook answers as soon as there is an end to tell, or when the wait is over.
func (w *world) answerLook(h *holder, e *fakeExecutor, a Look, sentAt, until, life time.Time) {
	if !e.bootAt.Equal(life) {
		// The connection ended with the process.
		if !h.gone {
			h.fleet.LookFailed(w.now, a.Executor, CallUnanswered)
			w.plan(h)
		}
		return
	}
	if len(e.ended) == 0 && w.now.Before(until) && e.up {
		w.after(tick, func() { w.answerLook(h, e, a, sentAt, until, life) })
		return
	}
	if !e.up || e.cut {
		w.after(700*time.Millisecond, func() {
			if !h.gone {
				h.fleet.LookFailed(w.now, a.Executor, CallUnanswered)
				w.plan(h)
			}
		})
		return
	}
	r := workload.Report{Clock: w.clock(e), Born: e.info.Born, Ended: slices.Clone(e.ended)}
	for _, run := range e.runs {
		b := w.behavior[run.task.Job]
		row := workload.Running{Task: run.task, Run: run.run, Percent: int(100 * (b.work - run.left) / max(1, b.work))}
		if run.job.Steps[run.task.Step].Checkpoint {
			row.Saved = fmt.Sprint((b.work - run.left).Truncate(time.Second).Milliseconds())
		}
		r.Running = append(r.Running, row)
	}
	w.after(callTime, func() {
		if !h.gone {
			w.trace("report of %s to the look of %v: %+v", a.Executor, sentAt.Sub(time.Unix(1_700_000_000, 0)), r)
			h.fleet.Report(w.now, a.Executor, sentAt, a, r)
			w.plan(h)
		}
	})
}

// work advances all runs. Gangs work only together.
func (w *world) work() {
	for _, id := range w.names {
		e := w.execs[id]
		if !e.up {
			continue
		}
		if w.now.After(e.deadline) {
			e.lapsedAt = w.now
			for _, r := range slices.Clone(e.runs) {
				w.end(r, workload.Lapsed)
			}
		}
		for _, r := range slices.Clone(e.runs) {
			if !slices.Contains(e.runs, r) {
				continue
			}
			s := &r.job.Steps[r.task.Step]
			if s.Gang && !w.together(r) {
				if w.now.Sub(r.began) > 3*time.Second {
					if _, cancelled := w.cancelled[r.job.ID]; w.calm && !cancelled {
						w.fault("GANG: %s run %d on %s ends alone", r.task, r.run, r.on.info.ID)
					}
					w.end(r, workload.Alone)
				}
				r.lastAt = w.now
				continue
			}
			if !e.hang {
				r.left -= w.now.Sub(r.lastAt)
			}
			r.lastAt = w.now
			if r.left <= 0 {
				how := workload.Done
				if w.behavior[r.job.ID].fails {
					how = workload.Erred
				}
				w.end(r, how)
			}
		}
	}
	w.after(tick, w.work)
}

// together reports whether all members of a gang's run are present.
func (w *world) together(r *fakeRun) bool {
	for i := range r.job.Steps[r.task.Step].Count {
		t := r.task
		t.Index = i
		if o := w.active[t]; o == nil || o.run != r.run || !o.on.up || !slices.Contains(o.on.runs, o) {
			return false
		}
	}
	return true
}

// end ends a run. The members of a gang end together.
func (w *world) end(r *fakeRun, how workload.Outcome) {
	i := slices.Index(r.on.runs, r)
	if i < 0 || !r.on.up {
		return
	}
	whole := r.job.Steps[r.task.Step].Gang && w.together(r)
	r.on.runs = slices.Delete(r.on.runs, i, i+1)
	r.on.number++
	w.trace("%s run %d on %s ends %s as %d", r.task, r.run, r.on.info.ID, how, r.on.number)
	saved := ""
	if r.job.Steps[r.task.Step].Checkpoint && how == workload.Stopped {
		saved = fmt.Sprint((w.behavior[r.job.ID].work - r.left).Milliseconds())
	} else if how == workload.Stopped || how == workload.Broken {
		w.lost += (w.behavior[r.job.ID].work - r.saved - r.left).Seconds() * float64(weightOf(r.job.Steps[r.task.Step].Need)) / 1000
	}
	r.on.ended = append(r.on.ended, workload.Ended{Number: r.on.number, Task: r.task, Run: r.run, How: how, Saved: saved})
	r.on.stopped[r.task] = max(r.on.stopped[r.task], r.run)
	w.endedAt[endKey{r.on.info.ID, r.on.number}] = w.now
	if how == workload.Done {
		w.doneAt[r.task] = w.now
	}
	if !whole {
		return
	}
	rest := workload.Broken
	if how == workload.Done {
		rest = workload.Done
	}
	for i := range r.job.Steps[r.task.Step].Count {
		t := r.task
		t.Index = i
		if o := w.active[t]; o != nil && o.run == r.run && o != r {
			w.end(o, rest)
		}
	}
}

// crash ends an executor's process without a word.
func (w *world) crash(id workload.ExecutorID) {
	w.trace("%s crashes", id)
	e := w.execs[id]
	e.up, e.runs, e.ended = false, nil, nil
	if h := w.holder; h != nil {
		w.after(4500*time.Millisecond, func() {
			if !e.up && !h.gone {
				h.fleet.RemoveExecutor(w.now, id)
			}
		})
	}
}

// reborn starts an executor again under its id.
func (w *world) reborn(id workload.ExecutorID) {
	w.rebornUnnoticed(id)
	if w.holder != nil {
		w.holder.fleet.UpsertExecutor(w.now, w.execs[id].info)
	}
}

// rebornUnnoticed starts an executor again before the registry shows it.
func (w *world) rebornUnnoticed(id workload.ExecutorID) {
	w.trace("%s starts again", id)
	e := w.execs[id]
	e.up, e.cut, e.fence, e.number, e.seen, e.bootAt = true, false, 0, 0, 0, w.now
	e.info.Born = w.now.UnixMilli()
	e.stopped = map[workload.TaskRef]workload.RunNumber{}
	e.deadline = time.Time{}
	e.runs, e.ended = nil, nil
}

// checkBudgets is the oracle of attempts and of repeated runs: ends that are acknowledged at any time count for every start
// after them.
func (w *world) checkBudgets() {
	for task, starts := range w.starts {
		limit := w.config.Route(w.jobs[task.Job].Queue).MaxAttempts
		for _, at := range starts {
			if done, ok := w.acked[task]; ok && at.After(done) {
				w.fault("TWICE: %s started at %v after its end at %v, which was acknowledged", task, at, done)
			}
			n := 0
			for _, failed := range w.failed[task] {
				if failed.Before(at) {
					n++
				}
			}
			if n >= limit {
				w.fault("BUDGET: %s started after %d failures", task, n)
			}
		}
	}
}

// expectDone fails the test unless all jobs have ended as their behavior says and no promise was broken.
func (w *world) expectDone() {
	w.t.Helper()
	w.checkBudgets()
	for _, f := range w.faults {
		w.t.Error(f)
	}
	for _, id := range w.order {
		want := workload.StateCompleted
		if w.behavior[id].fails {
			want = workload.StateFailed
		}
		got, known := w.holder.fleet.Status(id)
		if _, ok := w.cancelled[id]; ok {
			if !got.Final() {
				w.t.Errorf("job %s was cancelled and is %s", id, got)
			}
			continue
		}
		if !known || got != want {
			w.t.Errorf("job %s is %q, want %q: %s", id, got, want, w.describe(id))
		}
	}
}

// oneStep returns a job of one step.
func oneStep(id string, queue workload.Queue, s workload.Step) *workload.Job {
	if s.Estimate == 0 {
		s.Estimate = 2 * time.Second
	}
	return &workload.Job{ID: workload.JobID(id), Queue: queue, Account: "a", Spec: "spec of " + id, Steps: []workload.Step{s}}
}

// describe tells why a job has not ended.
func (w *world) describe(id workload.JobID) string {
	out := ""
	for _, u := range w.holder.fleet.jobs[id].units {
		if u.state == unitDone {
			continue
		}
		out += fmt.Sprintf("\n  unit %d.%d state %d run %d ending %v failed %v avoid %q", u.step, u.first, u.state, u.run, u.ending, u.failed, u.avoid)
		for _, m := range u.members {
			out += fmt.Sprintf("\n    %s on %s state %d stopping %v acked %v", m.task, m.on.info.ID, m.state, m.stopping, m.stopAckedAt)
		}
	}
	for _, e := range w.holder.fleet.order {
		out += fmt.Sprintf("\n  executor %s free %v eligible %v verified %v silent %v refusals %d suspicion %.2f looking %v",
			e.info.ID, e.free(), w.holder.fleet.eligible(w.now, e), e.verified, e.silentSince, e.refusals, e.suspicion.current(w.now), e.looking)
		for _, m := range e.members {
			out += fmt.Sprintf("\n    %s run %d state %d of a unit %v stopping %v %s acked %v", m.task, m.run, m.state, m.unit != nil, m.stopping, m.stopWhy, m.stopAckedAt)
		}
	}
	return out
}
