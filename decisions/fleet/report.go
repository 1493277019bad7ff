package fleet

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// CallResult is how an order to an executor ended without being carried out as asked.
type CallResult uint8

const (
	// CallUnanswered means that the order may have been carried out, or may be later.
	CallUnanswered CallResult = iota
	// CallRefused means that nothing listens at the address.
	CallRefused
	// CallNotDone means that the order certainly had no effect.
	CallNotDone
	// CallUnhealthy means that the executor is unhealthy and did nothing.
	CallUnhealthy
	// CallReplaced means that another executor answers at the address.
	CallReplaced
	// CallOldRun, CallLate and CallNoRoom are refusals of a start: the run number is too low, the deadline has passed,
	// or the task does not fit.
	CallOldRun
	CallLate
	CallNoRoom
	// CallNoTicket means that the ticket is missing or has expired.
	CallNoTicket
)

// maxAnswerDelay is the longest time that an answer may be overtaken by others: the longest call to an executor. A clock
// that is further behind is that of a new life.
const maxAnswerDelay = 2500 * time.Millisecond

// Report applies an executor's answer to a look that was sent at sentAt.
func (f *Scheduler) Report(now time.Time, id workload.ExecutorID, sentAt time.Time, look Look, r workload.Report) {
	e, ok := f.executors[id]
	if !ok {
		return
	}
	e.looking = false
	e.answered()
	if r.Born != 0 && e.born != 0 && r.Born < e.born {
		return
	}
	if r.Born != 0 && e.born != r.Born {
		if e.born != 0 {
			f.rebirth(now, e, r.Born)
		}
		e.born = r.Born
	}
	f.setClock(now, e, r.Clock)
	first := !e.verified
	e.verified = true
	e.acked = max(e.acked, look.SeenUpTo)
	for _, row := range r.Running {
		f.running(now, e, row)
	}
	seen := e.seen
	for _, row := range r.Ended {
		if row.Number > seen {
			f.ended(now, e, row)
			e.seen = max(e.seen, row.Number)
		}
	}
	if len(r.Ended) < maxEnds {
		f.absent(now, e, sentAt, r.Running)
	}
	f.share(now, e, r.Running)
	e.noteRecorded()
	switch {
	case len(e.ends) == 0:
		e.lookAt = now
	case e.seen > seen:
		e.lookAt = now.Add(lookPause)
	default:
		// The executor answers at once while it has ends to list, so that a look without pause would repeat at full speed.
		e.lookAt = now.Add(unrecordedPause)
	}
	if first && e.closed() {
		f.rosterVersion++
	}
	f.dropIfGone(e)
}

func (e *executor) answered() {
	e.refusals = 0
	e.silentSince = time.Time{}
}

// setClock takes over a reading of an executor's clock. Answers on different connections may overtake each other.
func (f *Scheduler) setClock(now time.Time, e *executor, clock time.Duration) {
	switch {
	case clock <= 0:
	case clock >= e.clockLow(now):
		e.clock, e.clockAt = clock, now
	case clock+maxAnswerDelay < e.clockLow(now):
		// The clock of a new life begins anew. Its ends do too: the number of the last life must not be acknowledged.
		f.rebirth(now, e, 0)
		e.clock, e.clockAt = clock, now
	}
}

// running applies a row of a report about a run that goes on.
func (f *Scheduler) running(now time.Time, e *executor, row workload.Running) {
	m := e.find(row.Task, row.Run)
	if m == nil {
		m = f.adopt(now, e, row)
	}
	if m.state != memberRunning {
		m.state, m.confirmedAt = memberRunning, now
	}
	m.percent = row.Percent
	if row.Saved != "" {
		m.saved = row.Saved
	}
	if u := m.unit; u != nil {
		f.begin(u.job)
		u.observe(now, m)
	}
}

// observe takes over the progress of a member.
func (u *unit) observe(now time.Time, m *member) {
	if m.percent > u.percent {
		u.percent, u.progressAt = m.percent, now
	}
	if m.saved != "" {
		u.saved = m.saved
	}
}

func (f *Scheduler) begin(j *job) {
	if !j.begun {
		j.begun = true
	}
}

// adopt takes over a run that an earlier holder has started, or stops it if nothing accounts for it.
func (f *Scheduler) adopt(now time.Time, e *executor, row workload.Running) *member {
	m := &member{task: row.Task, run: row.Run, on: e, state: memberRunning, sentAt: now, confirmedAt: now, pace: fullPace}
	var u *unit
	if j := f.jobs[row.Task.Job]; j != nil {
		u = j.unitOf(row.Task)
	}
	if u != nil {
		m.load = u.spec().Load()
	}
	if u == nil || !f.takeOver(now, u, m) {
		f.count(CountOrphan)
		m.stopping, m.stopWhy = true, StopOrphan
	}
	e.add(m)
	return m
}

// takeOver makes a run part of its unit; false if the unit has no use for it.
func (f *Scheduler) takeOver(now time.Time, u *unit, m *member) bool {
	switch {
	case u.state == unitDone || u.state == unitDead || m.run < u.run:
		return false
	case m.run == u.run && u.state == unitActive:
		if slices.ContainsFunc(u.members, func(o *member) bool { return o.task == m.task }) {
			return false
		}
	case u.state == unitActive && u.reserved():
		f.giveUpReservation(now, u)
		u.activate(now, m.run)
	case u.state == unitActive:
		// A higher run than that of the unit cannot come from this holder; the lower one is a remainder.
		for _, o := range u.members {
			o.unit = nil
			o.stopping, o.stopWhy = true, StopOrphan
		}
		u.members = nil
		u.activate(now, m.run)
	default:
		u.activate(now, m.run)
	}
	m.unit = u
	u.members = append(u.members, m)
	f.usage.add(u, m.load.GPU)
	f.count(CountAdopted)
	if u.ending {
		m.stopping, m.stopWhy = true, u.endWhy
	}
	return true
}

func (u *unit) activate(now time.Time, run workload.RunNumber) {
	u.state, u.run = unitActive, run
	u.ending = false
	u.percent, u.progressAt, u.startedAt = 0, now, now
}

// ended applies a row of a report about a run that has ended.
func (f *Scheduler) ended(now time.Time, e *executor, row workload.Ended) {
	var u *unit
	j := f.jobs[row.Task.Job]
	if j != nil {
		u = j.unitOf(row.Task)
	}
	m := e.find(row.Task, row.Run)
	if m == nil && u != nil {
		// The run ended before this holder knew of it.
		if row.How == workload.Erred && u.state == unitActive && u.run != row.Run {
			f.countFailure(now, u, row.Run, e)
		} else if row.How == workload.Done || u.state != unitActive || u.run == row.Run {
			m = &member{unit: u, task: row.Task, run: row.Run, on: e, state: memberRunning}
		}
	}
	if m != nil {
		if m.unit != nil {
			f.begin(m.unit.job)
		}
		f.endMember(now, m, row.How, row.Saved)
	}
	end := recordedEnd{number: row.Number}
	if j == nil {
		j = noJob
	}
	end.job, end.version = j, j.version
	e.ends = append(e.ends, end)
}

// noJob stands for the job of a run that no job accounts for; its ends need no record.
var noJob = &job{}

// absent ends the members that the executor does not know: neither running nor ended in a report to a look that was
// sent after their start or stop was answered.
func (f *Scheduler) absent(now time.Time, e *executor, sentAt time.Time, rows []workload.Running) {
	if len(e.members) == 0 {
		return
	}
	type key struct {
		t workload.TaskRef
		r workload.RunNumber
	}
	present := make(map[key]bool, len(rows))
	for _, row := range rows {
		present[key{row.Task, row.Run}] = true
	}
	for _, m := range slices.Clone(e.members) {
		known := m.state == memberRunning && m.confirmedAt.Before(sentAt) || !m.stopAckedAt.IsZero() && m.stopAckedAt.Before(sentAt)
		if known && m.state != memberReserved && !present[key{m.task, m.run}] {
			f.endMember(now, m, workload.Lapsed, "")
		}
	}
}

// Started applies the confirmation of a start.
func (f *Scheduler) Started(now time.Time, id workload.ExecutorID, t workload.TaskRef, run workload.RunNumber, clock time.Duration) {
	e, ok := f.executors[id]
	if !ok {
		return
	}
	e.answered()
	f.setClock(now, e, clock)
	if m := e.find(t, run); m != nil {
		if m.state != memberRunning {
			m.state, m.confirmedAt = memberRunning, now
		}
		if m.unit != nil {
			f.begin(m.unit.job)
		}
	}
	if !e.looking {
		e.lookAt = earlier(e.lookAt, now)
	}
}

// NotStarted applies the result of a start that did not succeed. clock is the executor's clock, or 0.
func (f *Scheduler) NotStarted(now time.Time, id workload.ExecutorID, t workload.TaskRef, run workload.RunNumber, why CallResult, clock time.Duration) {
	e, ok := f.executors[id]
	if !ok {
		return
	}
	f.setClock(now, e, clock)
	m := e.find(t, run)
	if why == CallUnanswered {
		f.count(CountStartUnknown)
		f.silent(now, e)
		if m != nil && m.state == memberSent {
			m.state = memberUnsure
			m.stopping, m.stopWhy = true, StopUnanswered
			if m.unit != nil {
				f.end(now, m.unit, StopGang)
			}
		}
		return
	}
	f.count(CountStartRefused)
	if m != nil && m.state == memberSent {
		u := m.unit
		f.endMember(now, m, workload.Stopped, "")
		if u != nil {
			if why == CallNoTicket {
				f.dropTicket(u, id)
			} else {
				u.shun(now, id)
			}
			u.notBefore = now.Add(startRetry)
		}
	}
	f.failed(now, e, why)
}

// failed applies the failure of a call to the state of its executor.
func (f *Scheduler) failed(now time.Time, e *executor, why CallResult) {
	switch why {
	case CallReplaced:
		f.loseAll(now, e)
		e.verified = false
		e.born = 0
		e.seen, e.noted, e.acked, e.ends = 0, 0, 0, nil
		e.refusals = max(e.refusals, 1)
		e.lookAt = now.Add(lookRetry)
	case CallRefused:
		f.refused(now, e)
	case CallUnhealthy:
		e.suspicion.add(now, unhealthyWeight)
	case CallUnanswered:
		f.silent(now, e)
	}
}

// refused applies a refused connection. After some in a row nothing runs at the address.
func (f *Scheduler) refused(now time.Time, e *executor) {
	if e.refusals == 0 {
		e.refusedAt = now
	}
	e.refusals++
	if e.refusals >= refusalsUntilGone && now.Sub(e.refusedAt) >= refusalSpan {
		f.loseAll(now, e)
		e.verified = false
		f.dropIfGone(e)
	}
}

func (f *Scheduler) silent(now time.Time, e *executor) {
	if e.silentSince.IsZero() {
		e.silentSince = now
	}
}

// LookFailed applies the failure of a look.
func (f *Scheduler) LookFailed(now time.Time, id workload.ExecutorID, why CallResult) {
	e, ok := f.executors[id]
	if !ok {
		return
	}
	e.looking = false
	e.lookAt = now.Add(lookRetry)
	// However the look failed, it did not renew the lease.
	f.silent(now, e)
	f.failed(now, e, why)
}

// StopAnswered applies the answer to a stop. done is false if the executor may not have received it.
func (f *Scheduler) StopAnswered(now time.Time, id workload.ExecutorID, t workload.TaskRef, run workload.RunNumber, done bool, clock time.Duration) {
	e, ok := f.executors[id]
	if !ok {
		return
	}
	f.setClock(now, e, clock)
	m := e.find(t, run)
	if m == nil {
		return
	}
	m.stopOut = false
	if done {
		e.answered()
		// The first answer counts: later ones would move the time that a report has to follow ever further.
		if m.stopAckedAt.IsZero() {
			m.stopAckedAt = now
		}
	}
}
