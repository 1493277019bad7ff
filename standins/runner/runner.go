// Package runner is a small stand-in for the platform's executors. It runs tasks for a time that their specification
// names and keeps the evidence of what ran.
package runner

import (
	"context"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/runner"
)

// tick is the resolution of the work of tasks.
const tick = 20 * time.Millisecond

// Evidence is a run as the executor saw it.
type Evidence struct {
	Executor workload.ExecutorID
	Task     workload.TaskRef
	Run      workload.RunNumber
	Began    time.Time
	// Ended is zero while the run goes on.
	Ended time.Time
	How   workload.Outcome
	// Noted is set once the holder has acknowledged the end, unless the lease lapsed between the two: a holder may not have
	// heard of an end that is not noted, and starts the task again.
	Noted bool
}

// Executor is the stand-in of one executor. Run owns its state; all other methods send it calls and may be used at the
// same time. Capacity is not enforced, as on the users' platform; Overfull counts the starts that exceeded it.
type Executor struct {
	info  workload.Executor
	calls chan func(*state)
}

var _ runner.API = (*Executor)(nil)

type state struct {
	info     workload.Executor
	boot     time.Time
	fence    workload.FencingToken
	deadline time.Time
	runs     []*run
	ended    []workload.EndedRun
	number   int64
	highest  map[workload.TaskRef]workload.RunNumber
	evidence []*Evidence
	// unnoted holds the evidence of ends that are not acknowledged, lapsedAt is the last time at which the lease was over.
	unnoted  map[int64]*Evidence
	lapsedAt time.Time
	overfull int
	// next is closed at the next end.
	next chan struct{}
}

type run struct {
	task   workload.TaskRef
	number workload.RunNumber
	ends   time.Time
	proof  *Evidence
}

// New returns an executor. Its tasks run for the time that their specification spells, such as "300ms"; other
// specifications fail at once.
func New(info workload.Executor) *Executor {
	return &Executor{info: info, calls: make(chan func(*state))}
}

// Run serves until ctx ends.
func (e *Executor) Run(ctx context.Context) {
	st := &state{info: e.info, boot: time.Now(), highest: map[workload.TaskRef]workload.RunNumber{}, unnoted: map[int64]*Evidence{}, next: make(chan struct{})}
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case call := <-e.calls:
			call(st)
		case now := <-t.C:
			st.work(now)
		case <-ctx.Done():
			return
		}
	}
}

// Evidence returns all runs so far.
func (e *Executor) Evidence() []Evidence {
	out := make(chan []Evidence, 1)
	e.calls <- func(st *state) {
		list := make([]Evidence, 0, len(st.evidence))
		for _, p := range st.evidence {
			list = append(list, *p)
		}
		out <- list
	}
	return <-out
}

// Overfull returns the number of starts that brought the executor over its capacity of parallel tasks.
func (e *Executor) Overfull() int {
	out := make(chan int, 1)
	e.calls <- func(st *state) { out <- st.overfull }
	return <-out
}

// Crash ends all runs without a trace, as the end of the process does. The executor begins a new life.
func (e *Executor) Crash() {
	e.calls <- func(st *state) {
		now := time.Now()
		for _, r := range st.runs {
			r.proof.Ended, r.proof.How = now, workload.LeaseExpired
		}
		st.runs, st.ended, st.number, st.fence, st.deadline = nil, nil, 0, 0, time.Time{}
		clear(st.unnoted)
		st.boot, st.highest = now, map[workload.TaskRef]workload.RunNumber{}
		st.info.StartedAtMS = now.UnixMilli()
	}
}

type result struct {
	clock  time.Duration
	report workload.Report
	next   <-chan struct{}
	err    error
}

func (e *Executor) do(call func(*state) result) result {
	out := make(chan result, 1)
	e.calls <- func(st *state) { out <- call(st) }
	return <-out
}

// Start implements runner.API.
func (e *Executor) Start(o runner.StartOrder) (time.Duration, error) {
	r := e.do(func(st *state) result { return result{clock: st.clock(), err: st.start(o)} })
	return r.clock, r.err
}

// Stop implements runner.API.
func (e *Executor) Stop(task workload.TaskRef, number workload.RunNumber, f workload.FencingToken) (time.Duration, error) {
	r := e.do(func(st *state) result {
		if err := st.check(f); err != nil {
			return result{err: err}
		}
		st.highest[task] = max(st.highest[task], number)
		for _, run := range slices.Clone(st.runs) {
			if run.task == task && run.number <= number {
				st.end(run, workload.Stopped)
			}
		}
		return result{clock: st.clock()}
	})
	return r.clock, r.err
}

// Hold implements runner.API.
func (e *Executor) Hold(o runner.HoldOrder) (workload.Report, <-chan struct{}, error) {
	r := e.do(func(st *state) result {
		if err := st.check(o.Fence); err != nil {
			return result{err: err}
		}
		st.extend(o.Deadline)
		st.note(o.SeenUpTo)
		rep := workload.Report{Clock: st.clock(), StartedAtMS: st.info.StartedAtMS, Ended: slices.Clone(st.ended)}
		for _, run := range st.runs {
			rep.Running = append(rep.Running, workload.RunningTask{Task: run.task, Run: run.number, Percent: 50})
		}
		return result{report: rep, next: st.next}
	})
	return r.report, r.next, r.err
}

func (st *state) clock() time.Duration { return time.Since(st.boot) + time.Second }

func (st *state) check(f workload.FencingToken) error {
	if f < st.fence {
		return &runner.RefusedError{Reason: runner.Fenced, Clock: st.clock()}
	}
	st.fence = f
	return nil
}

func (st *state) extend(deadline time.Duration) {
	if at := st.boot.Add(deadline - time.Second); deadline > 0 && at.After(st.deadline) {
		st.deadline = at
	}
}

func (st *state) start(o runner.StartOrder) error {
	if err := st.check(o.Fence); err != nil {
		return err
	}
	for _, r := range st.runs {
		if r.task == o.Task && r.number == o.Run {
			return nil
		}
	}
	switch {
	case o.Run <= st.highest[o.Task]:
		return &runner.RefusedError{Reason: runner.OldRun, Clock: st.clock()}
	case o.Deadline < st.clock():
		return &runner.RefusedError{Reason: runner.Late, Clock: st.clock()}
	}
	st.extend(o.Deadline)
	now := time.Now()
	proof := &Evidence{Executor: st.info.ID, Task: o.Task, Run: o.Run, Began: now}
	st.evidence = append(st.evidence, proof)
	if st.runs = append(st.runs, &run{task: o.Task, number: o.Run, proof: proof}); len(st.runs) > st.info.Capacity.GPU {
		st.overfull++
	}
	r := st.runs[len(st.runs)-1]
	took, err := time.ParseDuration(o.Spec)
	if err != nil {
		st.end(r, workload.Failed)
		return nil
	}
	r.ends = now.Add(took)
	return nil
}

// note forgets the ends up to a number.
func (st *state) note(upTo int64) {
	st.ended = slices.DeleteFunc(st.ended, func(x workload.EndedRun) bool { return x.Number <= upTo })
	for number, proof := range st.unnoted {
		if number <= upTo {
			proof.Noted = !st.lapsedAt.After(proof.Ended)
			delete(st.unnoted, number)
		}
	}
}

// work ends the runs whose time has come, and all of them if the lease is over.
func (st *state) work(now time.Time) {
	if now.After(st.deadline) {
		st.lapsedAt = now
	}
	for _, r := range slices.Clone(st.runs) {
		switch {
		case now.After(st.deadline):
			st.end(r, workload.LeaseExpired)
		case now.After(r.ends):
			st.end(r, workload.Done)
		}
	}
}

func (st *state) end(r *run, how workload.Outcome) {
	st.runs = slices.DeleteFunc(st.runs, func(o *run) bool { return o == r })
	st.number++
	st.highest[r.task] = max(st.highest[r.task], r.number)
	st.ended = append(st.ended, workload.EndedRun{Number: st.number, Task: r.task, Run: r.number, Outcome: how})
	r.proof.Ended, r.proof.How = time.Now(), how
	st.unnoted[st.number] = r.proof
	close(st.next)
	st.next = make(chan struct{})
}
