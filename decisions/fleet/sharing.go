package fleet

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// paceDownAt and paceUpAt are the shares of a serving task's target at which the tasks that fill beside it are slowed
	// down and allowed more: the gap keeps them from swinging at each report.
	paceDownAt = 0.85
	paceUpAt   = 0.6
	// paceStep is how much more a filling task is allowed at a time, in percent.
	paceStep = 20
	// paceEvery is the time between two steps up.
	paceEvery = time.Second
	// fullPace is the share of a task that nothing slows down, in percent.
	fullPace = 100
)

// share slows down the tasks that fill an executor while a task that serves there is close to its target or over it, and
// lets them work again step by step. A report gives the tail of response times of the last half second.
func (f *Scheduler) share(now time.Time, e *executor, rows []workload.Running) {
	worst, serving := 0.0, false
	for _, row := range rows {
		m := e.find(row.Task, row.Run)
		if m == nil || m.unit == nil || m.unit.spec().Target <= 0 || row.Percent < fullPercent {
			continue
		}
		serving = true
		worst = max(worst, row.Usage/float64(m.unit.spec().Target.Milliseconds()))
	}
	for _, m := range e.members {
		if m.unit == nil || !m.unit.spec().Fills || m.state != memberRunning || m.stopping {
			continue
		}
		want := m.pace
		switch {
		case !serving:
			want = fullPace
		case worst >= 1:
			want = 0
		case worst >= paceDownAt:
			want = min(want, max(0, m.pace-paceStep))
		case worst <= paceUpAt && now.Sub(m.pacedAt) >= paceEvery:
			want = min(fullPace, m.pace+paceStep)
		}
		if want == m.pace {
			continue
		}
		m.pace, m.pacedAt = want, now
		f.count(CountPace)
		f.orders = append(f.orders, Pace{Executor: e.info.ID, Address: e.info.Address, Task: m.task, Run: m.run, Percent: want})
	}
}

// fullPercent is the progress at which a long-running task is at work.
const fullPercent = 100

// mayInterrupt reports whether the scheduler may stop a unit of its own accord. Of a long-running step only so many tasks
// may be away at the same time, whatever took the others away.
func (f *Scheduler) mayInterrupt(u *unit) bool {
	if !u.spec().LongRunning {
		return true
	}
	away := 0
	for _, o := range u.job.units {
		if o.occurrence == u.occurrence && o.step == u.step && !o.atWork() {
			away += o.n
		}
	}
	return away+u.n <= u.spec().MayMiss
}

// atWork reports whether all tasks of a unit run and have finished their startup.
func (u *unit) atWork() bool {
	if u.state != unitActive || u.ending || len(u.members) < u.n {
		return false
	}
	for _, m := range u.members {
		if m.state != memberRunning || m.percent < fullPercent {
			return false
		}
	}
	return true
}

// PaceFailed applies that an order of a pace may not have been carried out; the next report asks for it again.
func (f *Scheduler) PaceFailed(p Pace) {
	e := f.executors[p.Executor]
	if e == nil {
		return
	}
	if m := e.find(p.Task, p.Run); m != nil {
		m.pace = unknownPace
	}
}

// unknownPace is the pace of a task whose last order had no answer; it differs from every pace that is asked for.
const unknownPace = -1
