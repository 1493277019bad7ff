package fleet

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// CallFailure is why a call to an executor failed.
type CallFailure uint8

const (
	// CallUnanswered means that the outcome is unknown: the call may have taken effect, or may still do so.
	CallUnanswered CallFailure = iota
	// CallUnansweredProven is CallUnanswered on a connection on which the executor had answered before, so that no later process of
	// it has received the call.
	CallUnansweredProven
	// CallNotConnected means that no connection was available in time, so that the call had no effect.
	CallNotConnected
	// CallRefused means that the connection was refused, so that the call had no effect. The executor's process may have
	// ended, but a partition may also answer in its place while its runs go on.
	CallRefused
	// CallNotExecuted means that the call certainly had no effect.
	CallNotExecuted
	// CallUnhealthy means that the executor reported itself unhealthy and the call had no effect.
	CallUnhealthy
	// CallWrongExecutor means that another executor answers at the address.
	CallWrongExecutor
	// CallStaleRun, CallDeadlinePassed and CallInsufficientCapacity mean that the executor rejected a start: its run
	// number is too low, its deadline has passed, or the task exceeds the free capacity.
	CallStaleRun
	CallDeadlinePassed
	CallInsufficientCapacity
	// CallInvalidTicket means that the ticket is missing or has expired.
	CallInvalidTicket
)

// maxAnswerDelay is the longest time by which an answer may be reordered behind others: that of the longest call to an
// executor. A clock reading that is further behind shows that the executor has restarted.
const maxAnswerDelay = 2500 * time.Millisecond

// maxExecutionDelay bounds how late an executor carries out an order that it has not answered. It is an assumption: the protocol
// has no such bound.
const maxExecutionDelay = 12 * time.Second

// Report applies an executor's answer to a poll that was sent at sentAt.
func (f *Scheduler) Report(now time.Time, id workload.ExecutorID, sentAt time.Time, poll Poll, r workload.Report) {
	e, ok := f.executors[id]
	if !ok {
		return
	}
	e.polling = false
	if poll.Address == e.address {
		e.proveAddress()
	}
	e.markResponsive()
	if !f.applyIncarnation(now, sentAt, e, &r) {
		e.nextPollAt = now.Add(pollRetryDelay)
		return
	}
	f.setReportedClock(now, e, r.Clock)
	e.clockLag = 0
	f.noteDeadline(e, "poll", poll.Deadline, r.Clock)
	firstReport := !e.verified
	e.verified = true
	e.queriedOnly = poll.QueryOnly
	if poll.process == e.process {
		e.ackedEnd = max(e.ackedEnd, poll.AckedThrough)
	}
	for _, row := range r.Running {
		f.applyRunning(now, e, row)
	}
	previousEnd := e.processedEnd
	for _, row := range r.Ended {
		if row.Number > previousEnd {
			f.applyEnded(now, e, row)
			e.processedEnd = max(e.processedEnd, row.Number)
		}
	}
	if len(r.Ended) < maxReportedEnds {
		f.endMissingRuns(now, e, sentAt, &r)
	}
	f.adjustSpeeds(now, e, r.Running)
	e.advanceDurableEnd()
	switch {
	case len(e.pendingEnds) == 0:
		e.nextPollAt = now
	case e.processedEnd > previousEnd:
		e.nextPollAt = now.Add(recordDelay)
	default:
		// The executor answers at once while it has unacknowledged ends, so that polls without a delay would form a busy
		// loop.
		e.nextPollAt = now.Add(unrecordedPollDelay)
	}
	if firstReport && e.closed() {
		f.rosterVersion++
	}
	f.removeIfUnused(e)
}

func (e *executor) markResponsive() {
	e.unresponsiveSince = time.Time{}
}

// setClock applies a reading of an executor's clock in the answer to an order, which does not name the process. Answers on
// different connections may arrive out of order.
func (f *Scheduler) setClock(now time.Time, e *executor, clock time.Duration) {
	if e.clock > 0 && clock > e.maxClock(now) {
		// Either the executor has restarted or the holder's process was suspended. The next report names the process.
		e.verified = false
		e.nextPollAt = now
		return
	}
	if clock <= 0 {
		return
	}
	f.setReportedClock(now, e, clock)
	e.clockLag = max(e.clockLag, e.clock+now.Sub(e.clockAt)-clock)
}

// setReportedClock applies a reading of an executor's clock in a report, which names the process.
func (f *Scheduler) setReportedClock(now time.Time, e *executor, clock time.Duration) {
	switch {
	case clock <= 0:
	case e.clock == 0:
		e.clock, e.clockAt, e.leaseDeadline = clock, now, f.longestDeadline(now, e, clock)
	case clock >= e.minClock(now):
		e.clock, e.clockAt = clock, now
	case clock+maxAnswerDelay < e.minClock(now):
		// The clock of a restarted executor has no relation to the earlier one, and the numbers of its ends begin anew: a number
		// from before the restart must not be acknowledged.
		f.handleRestart(now, e, 0, RestartClock, clock)
		e.clock, e.clockAt, e.leaseDeadline = clock, now, f.longestDeadline(now, e, clock)
	}
}

// applyRunning applies a row of a report about a run in progress.
func (f *Scheduler) applyRunning(now time.Time, e *executor, row workload.RunningTask) {
	r := e.find(row.Task, row.Run)
	if r == nil {
		r = f.adopt(now, e, row)
	}
	if r.state != taskRunning {
		r.state, r.confirmedAt = taskRunning, now
	}
	r.progress = row.Percent
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
	if u := r.unit; u != nil {
		f.markBegun(u.job)
		u.observeProgress(now, r)
		f.learnFromProgress(now, u)
	}
}

// observeProgress applies the reported progress and checkpoint of a task run to its unit.
func (u *unit) observeProgress(now time.Time, r *taskRun) {
	u.markProgress(now, r.progress)
	if r.progress > u.progress {
		u.progress, u.progressAt = r.progress, now
	}
	if r.checkpoint != "" {
		u.checkpoint = r.checkpoint
	}
}

// markBegun records that a task of a job has started.
func (f *Scheduler) markBegun(j *job) {
	if !j.begun {
		j.begun = true
	}
}

// adopt adds a reported run that this holder did not start. It stops the run as an orphan if no unit can use it.
func (f *Scheduler) adopt(now time.Time, e *executor, row workload.RunningTask) *taskRun {
	r := &taskRun{task: row.Task, run: row.Run, executor: e, state: taskRunning, startSentAt: now, confirmedAt: now, speedPercent: fullSpeedPercent}
	var u *unit
	if j := f.jobs[row.Task.Job]; j != nil && j.hasTask(row.Task) {
		u = j.unitFor(row.Task)
		step := &j.rec.Steps[row.Task.Step]
		r.load, r.charge = step.CapacityNeed(), f.chargeOf(j, step)
	}
	if u == nil || !f.attachRun(now, u, r) {
		f.count(CountOrphan)
		r.stopping, r.stopReason = true, StopOrphan
	}
	e.add(r)
	return r
}

// attachRun makes an adopted run part of its unit. It reports false if the unit cannot use the run.
func (f *Scheduler) attachRun(now time.Time, u *unit, r *taskRun) bool {
	switch {
	case u.state == unitDone || u.state == unitAbandoned || r.run < u.run:
		return false
	case r.run == u.run && u.state == unitActive:
		if slices.ContainsFunc(u.taskRuns, func(other *taskRun) bool { return other.task == r.task }) {
			return false
		}
	case u.state == unitActive && u.reserved():
		f.cancelReservation(now, u)
		u.activate(now, r.run)
	case u.state == unitActive:
		// A higher run number than that of the unit was not issued by this holder; the lower run is obsolete.
		for _, other := range u.taskRuns {
			other.unit = nil
			other.stopping, other.stopReason = true, StopOrphan
		}
		u.taskRuns = nil
		u.activate(now, r.run)
	default:
		u.activate(now, r.run)
	}
	r.unit = u
	u.taskRuns = append(u.taskRuns, r)
	f.count(CountAdopted)
	if u.ending {
		r.stopping, r.stopReason = true, u.endReason
	}
	return true
}

// activate begins a run of a unit.
func (u *unit) activate(now time.Time, run workload.RunNumber) {
	u.state, u.run = unitActive, run
	u.ending = false
	u.group.occurrence.started = true
	u.progress, u.progressAt, u.startedAt = 0, now, now
	u.progressStart, u.learned = progressMark{}, nil
}

// applyEnded applies a row of a report about a run that has ended.
func (f *Scheduler) applyEnded(now time.Time, e *executor, row workload.EndedRun) {
	var u *unit
	j := f.jobs[row.Task.Job]
	if j != nil {
		u = j.unitFor(row.Task)
	}
	r := e.find(row.Task, row.Run)
	if r == nil && u != nil {
		// The run ended before this holder learned of it. A late end of a task that lasts has no meaning for its present run.
		if row.Outcome == workload.Failed && u.state == unitActive && u.run != row.Run {
			f.recordFailure(now, u, row.Run, e)
		} else if row.Outcome == workload.Done && !u.spec().LongRunning || u.state != unitActive || u.run == row.Run {
			r = &taskRun{unit: u, task: row.Task, run: row.Run, executor: e, state: taskRunning}
		}
	} else if r == nil && j != nil && j.hasTask(row.Task) {
		// The unit has ended before.
		f.markBegun(j)
		f.countOutcome(row.Outcome)
	}
	if r != nil {
		if r.unit != nil {
			f.markBegun(r.unit.job)
		}
		f.endRun(now, r, row.Outcome, row.Checkpoint)
	}
	end := pendingEnd{number: row.Number}
	if j == nil {
		j = noJob
	}
	end.job, end.version = j, j.version
	e.pendingEnds = append(e.pendingEnds, end)
}

// noJob stands for the unknown job of a run, whose end needs no record.
var noJob = &job{}

// endMissingRuns ends the runs that the executor has lost: those whose start or stop was answered before the poll was
// sent and that its report shows neither as running nor as ended. A run that is missing in an incomplete report may be in
// progress: it is stopped first, and has ended once the time for that has passed.
func (f *Scheduler) endMissingRuns(now time.Time, e *executor, sentAt time.Time, report *workload.Report) {
	if len(e.taskRuns) == 0 {
		return
	}
	type key struct {
		t workload.TaskRef
		r workload.RunNumber
	}
	reported := make(map[key]bool, len(report.Running))
	for _, row := range report.Running {
		reported[key{row.Task, row.Run}] = true
	}
	for _, r := range slices.Clone(e.taskRuns) {
		expected := r.state == taskRunning && r.confirmedAt.Before(sentAt) || !r.stopAckedAt.IsZero() && r.stopAckedAt.Before(sentAt)
		switch {
		case !expected || r.state == taskReserved || reported[key{r.task, r.run}]:
		case !report.Incomplete || !r.stopAckedAt.IsZero() && sentAt.Sub(r.stopAckedAt) > f.settings.MaxStopTime:
			f.endRun(now, r, workload.LeaseExpired, "")
		case !r.stopping:
			r.stopping, r.stopReason = true, StopUnlisted
		}
	}
}

// Started applies the confirmation of a start.
func (f *Scheduler) Started(now time.Time, id workload.ExecutorID, t workload.TaskRef, run workload.RunNumber, clock time.Duration) {
	e, ok := f.executors[id]
	if !ok {
		return
	}
	e.markResponsive()
	f.setClock(now, e, clock)
	if r := e.find(t, run); r != nil {
		f.noteDeadline(e, "start", r.deadline, clock)
		if r.state != taskRunning {
			r.state, r.confirmedAt = taskRunning, now
		}
		if r.unit != nil {
			f.markBegun(r.unit.job)
		}
	}
	if !e.polling {
		e.nextPollAt = earliest(e.nextPollAt, now)
	}
}

// StartFailed applies the failure of a start. clock is the executor's clock, or 0 if unknown.
func (f *Scheduler) StartFailed(now time.Time, id workload.ExecutorID, t workload.TaskRef, run workload.RunNumber, result CallFailure, clock time.Duration) {
	e, ok := f.executors[id]
	if !ok {
		return
	}
	f.setClock(now, e, clock)
	r := e.find(t, run)
	repeated := r != nil && r.state == taskStartSent && r.unanswered
	switch {
	case result == CallUnanswered || result == CallUnansweredProven || result == CallNotConnected && repeated:
		f.count(CountStartUnanswered)
		f.markUnresponsive(now, e)
		if result != CallNotConnected {
			f.markUnanswered(now, e, r, result)
		}
		if !f.repeatStart(now, r) {
			f.giveUpStart(now, r)
		}
		return
	case result == CallNotConnected && f.repeatStart(now, r):
		f.markUnresponsive(now, e)
		return
	case repeated && result == CallStaleRun:
		// An earlier attempt has arrived and its run has ended. The next report shows how.
		r.state, r.confirmedAt = taskRunning, now
		e.nextPollAt = now
		return
	case repeated:
		// Only this attempt had no effect; an earlier one may still arrive.
		f.giveUpStart(now, r)
		f.applyCallFailure(now, e, result)
		return
	}
	f.count(CountStartRefused)
	if r != nil && r.state == taskStartSent {
		u := r.unit
		f.endRun(now, r, workload.Stopped, "")
		if u != nil {
			if result == CallInvalidTicket {
				f.dropTicket(u, id)
			} else {
				u.avoid(now, id)
			}
			u.notBefore = now.Add(startRetryDelay)
		}
	}
	f.applyCallFailure(now, e, result)
}

// markUnanswered records that an executor may still carry out a start that it has not answered, and that a later process than the
// one for which the deadline was counted may do so, unless the connection was proven.
func (f *Scheduler) markUnanswered(now time.Time, e *executor, r *taskRun, result CallFailure) {
	if r == nil || r.state != taskStartSent {
		return
	}
	r.unanswered = true
	earlier := r.process != e.process
	if result == CallUnansweredProven && !earlier {
		return
	}
	r.unprovenUntil = latest(r.unprovenUntil, r.sentAt.Add(maxExecutionDelay))
	e.unprovenUntil = latest(e.unprovenUntil, r.unprovenUntil)
	if earlier && e.clock > 0 {
		e.leaseDeadline = max(e.leaseDeadline, f.longestDeadline(now, e, e.clock+now.Sub(e.clockAt)))
	}
}

// giveUpStart stops a run whose start may have arrived or may still arrive.
func (f *Scheduler) giveUpStart(now time.Time, r *taskRun) {
	if r == nil || r.state != taskStartSent {
		return
	}
	r.state = taskStartUnknown
	r.stopping, r.stopReason = true, StopStartUnanswered
	if r.unit != nil {
		f.markEnding(now, r.unit, StopGangIncomplete)
	}
}

// repeatStart sends the start of a run again if it may still be started. It reports false if the run is to be given up.
func (f *Scheduler) repeatStart(now time.Time, r *taskRun) bool {
	if r == nil || r.state != taskStartSent || r.startAttempts >= maxStartAttempts || r.stopping || !f.mayStart(now) {
		return false
	}
	u := r.unit
	if u == nil || u.state != unitActive || u.ending {
		return false
	}
	if e := r.executor; e.closed() || f.excludedDomains[e.info.Domain] || f.evacuating[e.info.ID] || !f.mayRepeat(now, r) {
		return false
	}
	f.count(CountStartRepeated)
	f.sendStart(now, r, "repeated")
	return true
}

// applyCallFailure applies the failure of a call to the state of its executor.
func (f *Scheduler) applyCallFailure(now time.Time, e *executor, result CallFailure) {
	switch result {
	case CallWrongExecutor:
		if !e.atProvenAddress() {
			break
		}
		f.markRunsLost(now, e, LossReplaced, func(*taskRun) bool { return true })
		e.forgetAddress()
		e.forgetProcess(now)
		e.nextPollAt = now.Add(pollRetryDelay)
	case CallUnhealthy:
		e.suspicion.add(now, unhealthyWeight)
	case CallUnanswered, CallUnansweredProven, CallRefused, CallNotConnected:
		f.markUnresponsive(now, e)
	}
}

func (f *Scheduler) markUnresponsive(now time.Time, e *executor) {
	if e.unresponsiveSince.IsZero() {
		e.unresponsiveSince = now
	}
}

// PollFailed applies the failure of a poll.
func (f *Scheduler) PollFailed(now time.Time, id workload.ExecutorID, result CallFailure) {
	e, ok := f.executors[id]
	if !ok {
		return
	}
	e.polling = false
	e.nextPollAt = now.Add(pollRetryDelay)
	if result == CallUnanswered && e.queriedOnly {
		// The poll may have renewed the lease of a later process.
		e.unprovenUntil = latest(e.unprovenUntil, now.Add(maxExecutionDelay))
	}
	e.queriedOnly = false
	// A failed poll, whatever its cause, may not have renewed the lease.
	f.markUnresponsive(now, e)
	f.applyCallFailure(now, e, result)
	e.tryOtherAddress()
}

// StopAnswered applies the result of a stop. done is false if the executor may not have received it.
func (f *Scheduler) StopAnswered(now time.Time, id workload.ExecutorID, t workload.TaskRef, run workload.RunNumber, done bool, clock time.Duration) {
	e, ok := f.executors[id]
	if !ok {
		return
	}
	f.setClock(now, e, clock)
	r := e.find(t, run)
	if r == nil {
		return
	}
	r.stopInFlight = false
	if done {
		e.markResponsive()
		// Only the first answer counts. With the latest one, repeated stops would keep moving the time after which a poll
		// must have been sent for its report to show the run as missing.
		if r.stopAckedAt.IsZero() {
			r.stopAckedAt = now
		}
	}
}
