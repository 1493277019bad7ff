// Package runner is a small stand-in for the platform's executors. It simulates tasks that run for the duration in
// their specification, and records what ran.
package runner

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/runner"
)

// tickInterval is the resolution of the ends of runs and of the lease.
const tickInterval = 20 * time.Millisecond

// fullSpeedPercent is the speed of a run that is not throttled.
const fullSpeedPercent = 100

// RunRecord is the executor's record of one run.
type RunRecord struct {
	Executor workload.ExecutorID
	Task     workload.TaskRef
	Run      workload.RunNumber
	Started  time.Time
	// Ended is zero while the task runs.
	Ended   time.Time
	Outcome workload.Outcome
	// EndAcknowledged is set once the holder has acknowledged the end, unless the lease has expired since the end. A
	// holder may not know of an end that is not acknowledged, and may start the task again.
	EndAcknowledged bool
	// SpeedPercent is the share of its full speed at which the run was last ordered to work.
	SpeedPercent int
	// Worked is set once the run has worked: from its start, or from when all members of its gang were present.
	Worked bool
}

// Executor is the stand-in for one executor. Run owns its state; all other methods send calls to Run and are safe for
// concurrent use. Capacity is not enforced, as on the real platform; OverCapacityStarts counts the starts that exceeded
// it.
type Executor struct {
	info  workload.Executor
	gangs *Gangs
	calls chan func(*state)
}

var _ runner.API = (*Executor)(nil)

type state struct {
	info workload.Executor
	// gangs is nil if the tasks of gangs run independently.
	gangs *Gangs
	// boot is the start time of the incarnation and clockStart its clock at that time, fence the highest fencing token seen and
	// deadline the end of the lease, which lasts for longestLease at most.
	boot         time.Time
	clockStart   time.Duration
	fence        workload.FencingToken
	deadline     time.Time
	longestLease time.Duration
	runs         []*run
	ended        []workload.EndedRun
	// lastEndNumber is the number of the last end.
	lastEndNumber int64
	// highestRun is the highest run number of each task that was stopped or has ended.
	highestRun map[workload.TaskRef]workload.RunNumber
	records    []*RunRecord
	// unacknowledged holds the runs whose end the holder has not acknowledged, by number of the end.
	unacknowledged map[int64]*RunRecord
	// lastWithoutLease is the last time at which the executor had no valid lease.
	lastWithoutLease time.Time
	overCapacity     int
	// nextEnd is closed at the next end of a run.
	nextEnd chan struct{}
}

type run struct {
	task   workload.TaskRef
	number workload.RunNumber
	endsAt time.Time
	// duration is the run time and members the size of the gang, 0 for a task that runs independently.
	duration time.Duration
	members  int
	// startup is the time that a long-running task takes to start up, 0 for any other.
	startup time.Duration
	record  *RunRecord
	// checkpoint is the checkpoint that each report of the run shows.
	checkpoint string
}

// percent returns the progress of a run.
func (r *run) percent(now time.Time) int {
	total := r.endsAt.Sub(r.record.Started)
	if r.startup > 0 {
		total = r.startup
	}
	if total <= 0 {
		return 100
	}
	return int(100 * min(total, now.Sub(r.record.Started)) / total)
}

const (
	// firstClock is the clock of the first incarnation at its start, DefaultLongestLease the default of SetLongestLease.
	firstClock          = 30 * time.Minute
	DefaultLongestLease = 10 * time.Second
)

// New returns an executor on which the tasks of gangs run independently. A task runs for the duration in its
// specification, such as "300ms"; it fails at once if the specification is not a duration. A number of bytes after the
// duration, such as "300ms 4000", is the size of its checkpoints.
func New(info workload.Executor) *Executor { return NewWithGangs(info, nil) }

// NewWithGangs returns an executor on which tasks with a GangSpec work and end as their gang does. All executors of a
// platform share gangs.
func NewWithGangs(info workload.Executor, gangs *Gangs) *Executor {
	return &Executor{info: info, gangs: gangs, calls: make(chan func(*state))}
}

// Run serves until ctx ends.
func (e *Executor) Run(ctx context.Context) {
	st := &state{info: e.info, gangs: e.gangs, boot: time.Now(), clockStart: firstClock, longestLease: DefaultLongestLease, highestRun: map[workload.TaskRef]workload.RunNumber{}, unacknowledged: map[int64]*RunRecord{}, nextEnd: make(chan struct{})}
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case call := <-e.calls:
			call(st)
		case now := <-t.C:
			st.advance(now)
		case <-ctx.Done():
			return
		}
	}
}

// RunRecords returns the records of all runs so far.
func (e *Executor) RunRecords() []RunRecord {
	out := make(chan []RunRecord, 1)
	e.calls <- func(st *state) {
		list := make([]RunRecord, 0, len(st.records))
		for _, p := range st.records {
			list = append(list, *p)
		}
		out <- list
	}
	return <-out
}

// OverCapacityStarts returns the number of starts that exceeded the capacity of one task for each GPU.
func (e *Executor) OverCapacityStarts() int {
	out := make(chan int, 1)
	e.calls <- func(st *state) { out <- st.overCapacity }
	return <-out
}

// SetLongestLease sets the longest lease that the executor grants: a later deadline is shortened to it.
func (e *Executor) SetLongestLease(d time.Duration) {
	e.calls <- func(st *state) { st.longestLease = d }
}

// Crash simulates a crash and restart of the process: all runs end and none of the ends is reported. The executor gets
// a new start time, which identifies its incarnation, and a new clock. The records of runs are kept.
func (e *Executor) Crash() {
	e.RestartWithClock(time.Duration(rand.Int64N(int64(2 * firstClock))))
}

// RestartWithClock is Crash with the clock of the new incarnation at its start.
func (e *Executor) RestartWithClock(clock time.Duration) {
	e.calls <- func(st *state) {
		now := time.Now()
		for _, r := range st.runs {
			r.record.Ended, r.record.Outcome = now, workload.LeaseExpired
			if r.members > 0 {
				st.gangs.leave(r, workload.LeaseExpired)
			}
		}
		st.runs, st.ended, st.lastEndNumber, st.fence, st.deadline = nil, nil, 0, 0, time.Time{}
		clear(st.unacknowledged)
		st.clockStart = max(clock, time.Second)
		st.boot, st.highestRun = now, map[workload.TaskRef]workload.RunNumber{}
		st.info.StartedAtMS = now.UnixMilli()
	}
}

// Fail ends the run of a task as failed. It reports whether the task was running.
func (e *Executor) Fail(task workload.TaskRef) bool {
	out := make(chan bool, 1)
	e.calls <- func(st *state) {
		i := slices.IndexFunc(st.runs, func(r *run) bool { return r.task == task })
		if i >= 0 {
			st.endRun(st.runs[i], workload.Failed)
		}
		out <- i >= 0
	}
	return <-out
}

type result struct {
	clock   time.Duration
	report  workload.Report
	nextEnd <-chan struct{}
	err     error
}

// do executes a call on the state and returns its result.
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
		if err := st.checkFence(f); err != nil {
			return result{err: err}
		}
		st.highestRun[task] = max(st.highestRun[task], number)
		for _, run := range slices.Clone(st.runs) {
			if run.task == task && run.number <= number {
				st.endRun(run, workload.Stopped)
			}
		}
		return result{clock: st.clock()}
	})
	return r.clock, r.err
}

// Throttle implements runner.API. It records the speed; tasks of this executor take as long at any speed.
func (e *Executor) Throttle(task workload.TaskRef, number workload.RunNumber, percent int, f workload.FencingToken) (time.Duration, error) {
	r := e.do(func(st *state) result {
		if err := st.checkFence(f); err != nil {
			return result{err: err}
		}
		for _, run := range st.runs {
			if run.task == task && run.number == number {
				run.record.SpeedPercent = percent
			}
		}
		return result{clock: st.clock()}
	})
	return r.clock, r.err
}

// RenewLease implements runner.API.
func (e *Executor) RenewLease(o runner.RenewOrder) (workload.Report, <-chan struct{}, error) {
	r := e.do(func(st *state) result {
		if err := st.checkFence(o.Fence); err != nil {
			return result{err: err}
		}
		st.extendLease(o.Deadline)
		st.acknowledge(o.SeenUpTo)
		rep := workload.Report{Clock: st.clock(), StartedAtMS: st.info.StartedAtMS, Ended: slices.Clone(st.ended)}
		for _, run := range st.runs {
			rep.Running = append(rep.Running, workload.RunningTask{Task: run.task, Run: run.number, Checkpoint: run.checkpoint, Percent: run.percent(time.Now())})
		}
		return result{report: rep, nextEnd: st.nextEnd}
	})
	return r.report, r.nextEnd, r.err
}

// clock returns the time on the executor's clock, which has no relation to that of an earlier incarnation.
func (st *state) clock() time.Duration { return time.Since(st.boot) + st.clockStart }

// checkFence refuses a fencing token that is lower than the highest one seen.
func (st *state) checkFence(f workload.FencingToken) error {
	if f < st.fence {
		return &runner.RefusedError{Reason: runner.Fenced, Clock: st.clock()}
	}
	st.fence = f
	return nil
}

// extendLease moves the end of the lease to a deadline on the executor's clock, unless the lease ends later.
func (st *state) extendLease(deadline time.Duration) {
	if deadline <= 0 {
		return
	}
	at := st.boot.Add(deadline - st.clockStart)
	if latest := time.Now().Add(st.longestLease); at.After(latest) {
		at = latest
	}
	if at.After(st.deadline) {
		st.deadline = at
	}
}

func (st *state) start(o runner.StartOrder) error {
	if err := st.checkFence(o.Fence); err != nil {
		return err
	}
	for _, r := range st.runs {
		if r.task == o.Task && r.number == o.Run {
			return nil
		}
	}
	switch {
	case o.Run <= st.highestRun[o.Task]:
		return &runner.RefusedError{Reason: runner.StaleRun, Clock: st.clock()}
	case o.Deadline < st.clock():
		return &runner.RefusedError{Reason: runner.DeadlinePassed, Clock: st.clock()}
	}
	st.extendLease(o.Deadline)
	now := time.Now()
	record := &RunRecord{Executor: st.info.ID, Task: o.Task, Run: o.Run, Started: now, SpeedPercent: fullSpeedPercent}
	st.records = append(st.records, record)
	if st.runs = append(st.runs, &run{task: o.Task, number: o.Run, record: record}); len(st.runs) > st.info.Capacity.GPU {
		st.overCapacity++
	}
	r := st.runs[len(st.runs)-1]
	if text, ok := strings.CutPrefix(o.Spec, servePrefix); ok {
		startup, err := time.ParseDuration(text)
		if err != nil {
			st.endRun(r, workload.Failed)
			return nil
		}
		r.startup, r.duration, r.endsAt, record.Worked = startup, serveTime, now.Add(serveTime), true
		return nil
	}
	duration, members, saveBytes, err := parseSpec(o.Spec)
	r.checkpoint = strings.Repeat("c", saveBytes)
	if err != nil {
		st.endRun(r, workload.Failed)
		return nil
	}
	r.duration, r.endsAt = duration, now.Add(duration)
	if members > 0 && st.gangs != nil {
		r.members = members
		st.gangs.join(r)
	} else {
		record.Worked = true
	}
	return nil
}

// acknowledge deletes the ends up to a number, which the holder has seen.
func (st *state) acknowledge(upTo int64) {
	st.ended = slices.DeleteFunc(st.ended, func(x workload.EndedRun) bool { return x.Number <= upTo })
	for number, record := range st.unacknowledged {
		if number <= upTo {
			record.EndAcknowledged = !st.lastWithoutLease.After(record.Ended)
			delete(st.unacknowledged, number)
		}
	}
}

// advance ends the runs whose duration is over, and all runs if the lease has expired.
func (st *state) advance(now time.Time) {
	if now.After(st.deadline) {
		st.lastWithoutLease = now
	}
	for _, r := range slices.Clone(st.runs) {
		switch {
		case now.After(st.deadline):
			st.endRun(r, workload.LeaseExpired)
		case r.members > 0:
			st.advanceMember(now, r)
		case now.After(r.endsAt):
			st.endRun(r, workload.Done)
		}
	}
}

// endRun removes a run, records its end and wakes waiting RenewLease calls.
func (st *state) endRun(r *run, outcome workload.Outcome) {
	st.runs = slices.DeleteFunc(st.runs, func(o *run) bool { return o == r })
	st.lastEndNumber++
	st.highestRun[r.task] = max(st.highestRun[r.task], r.number)
	st.ended = append(st.ended, workload.EndedRun{Number: st.lastEndNumber, Task: r.task, Run: r.number, Outcome: outcome})
	r.record.Ended, r.record.Outcome = time.Now(), outcome
	if r.members > 0 {
		st.gangs.leave(r, outcome)
	}
	st.unacknowledged[st.lastEndNumber] = r.record
	close(st.nextEnd)
	st.nextEnd = make(chan struct{})
}
