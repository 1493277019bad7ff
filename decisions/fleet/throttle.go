package fleet

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/victims"
)

const (
	// slowDownShare and speedUpShare are the shares of a serving task's response time target from which on opportunistic
	// tasks beside it are slowed down, and up to which they are sped up. The gap is a hysteresis that prevents oscillation
	// from report to report.
	slowDownShare = 0.85
	speedUpShare  = 0.6
	// speedStepPercent is the size of a step up or down, in percent of the full speed.
	speedStepPercent = 20
	// speedUpInterval is the shortest time before a step up.
	speedUpInterval = time.Second
	// fullSpeedPercent is the speed of a task that is not throttled.
	fullSpeedPercent = 100
)

// adjustSpeeds throttles the opportunistic tasks of an executor (those whose step has Fills set) while the response
// time of a serving task there is close to its target or above it, and speeds them up step by step afterwards. A report
// gives the tail response time of the last half second.
func (f *Scheduler) adjustSpeeds(now time.Time, e *executor, rows []workload.RunningTask) {
	worst, serving := 0.0, false
	for _, row := range rows {
		r := e.find(row.Task, row.Run)
		if r == nil || r.unit == nil || r.unit.spec().Target <= 0 || row.Percent < fullProgress {
			continue
		}
		serving = true
		worst = max(worst, row.Usage/float64(r.unit.spec().Target.Milliseconds()))
	}
	for _, r := range e.taskRuns {
		if r.unit == nil || !r.unit.spec().Fills || r.state != taskRunning || r.stopping {
			continue
		}
		want := r.speedPercent
		switch {
		case !serving:
			want = fullSpeedPercent
		case worst >= 1:
			want = 0
		case worst >= slowDownShare:
			want = min(want, max(0, r.speedPercent-speedStepPercent))
		case worst <= speedUpShare && now.Sub(r.speedChangedAt) >= speedUpInterval:
			want = min(fullSpeedPercent, r.speedPercent+speedStepPercent)
		}
		if want == r.speedPercent {
			continue
		}
		r.speedPercent, r.speedChangedAt = want, now
		f.count(CountThrottle)
		f.actions = append(f.actions, Throttle{Executor: e.info.ID, Address: e.address, Task: r.task, Run: r.run, SpeedPercent: want})
	}
}

// fullProgress is the progress in percent at which a long-running task has finished its startup.
const fullProgress = 100

// mayInterrupt reports whether the scheduler may stop a unit that could continue. At most MayMiss tasks of a
// long-running step may be missing at the same time, for whatever reason the others are missing.
func (f *Scheduler) mayInterrupt(u *unit) bool {
	return !u.spec().LongRunning || u.missingIfStopped() <= u.spec().MayMiss-u.missingTasks()
}

// missingIfStopped returns how many more tasks of its step are missing once a unit is stopped: none if it is missing
// already.
func (u *unit) missingIfStopped() int {
	if !u.fullyRunning() {
		return 0
	}
	return u.size
}

// missingTasks returns how many tasks of a unit's step do not run or have not finished their startup.
func (u *unit) missingTasks() int {
	missing := u.spec().Count
	for _, other := range u.group.units {
		if other.fullyRunning() {
			missing -= other.size
		}
	}
	return missing
}

// stopBudgets holds how many more tasks of each long-running step may be stopped by one decision. It is determined when
// a step is first asked for.
type stopBudgets struct {
	// guaranteed is set if the decision is for work whose accelerators lie within the guarantee of its account. Long-running
	// tasks without MayMiss give way to that only: a guarantee can always be reclaimed.
	guaranteed bool
	steps      map[stepKey]*victims.Budget
}

// newStopBudgets returns the budgets of a decision for work of a class.
func newStopBudgets(class int) stopBudgets {
	return stopBudgets{guaranteed: class <= classPartlyGuaranteed, steps: map[stepKey]*victims.Budget{}}
}

// of returns the budget of a unit's step, or nil if there is no limit.
func (b stopBudgets) of(u *unit) *victims.Budget {
	if !u.spec().LongRunning || b.guaranteed && u.spec().MayMiss == 0 {
		return nil
	}
	key := stepKey{u.job, u.occurrence, u.step}
	if b.steps[key] == nil {
		b.steps[key] = &victims.Budget{Tasks: u.spec().MayMiss - u.missingTasks()}
	}
	return b.steps[key]
}

func (b stopBudgets) clone() stopBudgets {
	out := stopBudgets{guaranteed: b.guaranteed, steps: make(map[stepKey]*victims.Budget, len(b.steps))}
	for key, budget := range b.steps {
		out.steps[key] = &victims.Budget{Tasks: budget.Tasks}
	}
	return out
}

// take reports whether a unit may be stopped besides those that were taken, and takes it then.
func (b stopBudgets) take(u *unit) bool {
	budget := b.of(u)
	if budget == nil {
		return true
	}
	tasks := u.missingIfStopped()
	if budget.Tasks < tasks {
		return false
	}
	budget.Tasks -= tasks
	return true
}

// fullyRunning reports whether all tasks of a unit run and have finished their startup, on executors that will not be terminated.
func (u *unit) fullyRunning() bool {
	if u.state != unitActive || u.ending || len(u.taskRuns) < u.size {
		return false
	}
	for _, r := range u.taskRuns {
		if r.state != taskRunning || r.progress < fullProgress || r.executor.terminates() {
			return false
		}
	}
	return true
}

// ThrottleFailed applies the failure of a Throttle action, whose outcome is unknown. The next report triggers it again.
func (f *Scheduler) ThrottleFailed(p Throttle) {
	e := f.executors[p.Executor]
	if e == nil {
		return
	}
	if r := e.find(p.Task, p.Run); r != nil {
		r.speedPercent = unknownSpeed
	}
}

// unknownSpeed is the speed of a task whose last Throttle action failed. It differs from every speed that is requested.
const unknownSpeed = -1
