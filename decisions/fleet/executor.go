package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// pollRetryDelay is the delay before a failed poll is repeated, recordDelay the usual time until reported ends are
	// durable, and unrecordedPollDelay the delay between polls while ends cannot be recorded.
	pollRetryDelay      = 200 * time.Millisecond
	recordDelay         = 25 * time.Millisecond
	unrecordedPollDelay = 400 * time.Millisecond
	// maxReportedEnds is the number of ends from which on a report may be truncated.
	maxReportedEnds = 500
)

// taskRunState is the state of a run of one task on an executor.
type taskRunState uint8

const (
	// taskReserved waits for capacity on its executor; no start has been sent.
	taskReserved taskRunState = iota
	// taskStartSent has been sent to the executor and is not answered yet.
	taskStartSent
	// taskStartUnknown got no answer to its start; the executor may still start it.
	taskStartUnknown
	taskRunning
)

// taskRun is a run of one task on an executor. It occupies capacity there until its end is known.
type taskRun struct {
	// unit is nil for an orphan: a run that no unit expects.
	unit     *unit
	task     workload.TaskRef
	run      workload.RunNumber
	executor *executor
	load     workload.Resources
	charge   charge
	state    taskRunState
	// startAttempts is the number of times that the start was sent.
	startAttempts int
	// deadline is the lease deadline of the latest start, process the count of the executor's processes when it was sent at sentAt.
	deadline time.Duration
	process  int64
	sentAt   time.Time
	// unanswered is set if a start may have arrived without an answer. Until unprovenUntil a process that is later than the one for
	// which it was meant may carry it out.
	unanswered    bool
	unprovenUntil time.Time
	// startSentAt is when the start was sent, confirmedAt when the scheduler first learned that the task was running.
	startSentAt, confirmedAt time.Time
	// stopping is set once the run is to be stopped, stopInFlight while a stop is unanswered. stopAckedAt is when the
	// executor first acknowledged a stop.
	stopping, stopInFlight bool
	stopReason             StopReason
	stopSentAt             time.Time
	stopAckedAt            time.Time
	// progress is the reported progress in percent.
	progress   int
	checkpoint string
	// speedPercent is the share of its full speed at which the task may run, speedChangedAt when it last changed.
	speedPercent   int
	speedChangedAt time.Time
}

// executor is the scheduler's view of one executor and of the runs that occupy it.
type executor struct {
	info workload.Executor
	rack string
	// address is where calls go. provenAddress is where the executor last answered, or where an earlier holder reached it;
	// empty if unknown.
	address, provenAddress string
	// registered is set while the executor has a registry entry.
	registered bool
	// terminatesUntil is until when an order may terminate the executor; zero if there is none.
	terminatesUntil time.Time
	// used is the capacity that all task runs occupy, dispatched the part of those whose start was sent.
	used, dispatched workload.Resources
	taskRuns         []*taskRun
	// use is the scheduler's count of what accounts occupy, to which the task runs add.
	use *accountUse

	// verified is set once the executor has seen the fencing token of this term and has reported its runs.
	verified bool
	// process counts the processes of the executor that were found to have ended.
	process int64
	// queriedOnly is set if the last poll did not renew the lease because its connection was new. The next one renews it on any
	// connection, so that the lease does not expire on an executor that closes its connections.
	queriedOnly bool
	// incarnation identifies the executor's process by its start time, and incarnationSeenAt is when a report first named it.
	// A later process may have an earlier start time.
	incarnation       int64
	incarnationSeenAt time.Time
	// clock is the executor's clock at local time clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseDeadline is the latest time, on the executor's clock, at which its lease may end. deadlineSentAt is when a call
	// with a deadline was last sent to the executor.
	leaseDeadline  time.Duration
	deadlineSentAt time.Time
	// unprovenUntil is the latest time at which the executor may carry out a start whose deadline was counted on the clock of an
	// earlier process.
	unprovenUntil time.Time
	// clockLag is how far readings since the last report were behind the expected clock. They may be late, or come from a later
	// process, whose lease ends later by this time.
	clockLag time.Duration
	// processedEnd is the number of the last end that was processed, durableEnd that of the last end up to which all are
	// durable, ackedEnd that of the last end whose acknowledgement the executor has received. pendingEnds are the
	// processed ends that are not durable yet.
	processedEnd, durableEnd, ackedEnd int64
	pendingEnds                        []pendingEnd

	// inheritedEntry is the entry in the earlier holder's roster; closedInRoster is set while a roster in which the
	// executor is closed may be the recorded one.
	inheritedEntry *workload.RosterEntry
	closedInRoster bool

	// reportedAt is when the last report was applied, reportedClock the executor's clock in it. previousReportAt is when the
	// report before was applied.
	reportedAt, previousReportAt time.Time
	reportedClock                time.Duration
	// pace is the learned pace, where 1 is the typical one; 0 if none is learned.
	pace       float64
	polling    bool
	nextPollAt time.Time
	// unresponsiveSince is when calls to the executor began to fail; zero if it answers.
	unresponsiveSince time.Time
	suspicion         suspicion
}

// pendingEnd is the end of a run that may be acknowledged to the executor once a version of its job's progress is
// durable.
type pendingEnd struct {
	number  int64
	job     *job
	version int64
}

// minClock returns a lower bound of the executor's clock at a local time.
func (e *executor) minClock(now time.Time) time.Duration {
	return e.clock + time.Duration(float64(now.Sub(e.clockAt))*(1-maxClockDrift))
}

// maxClock returns an upper bound of the executor's clock at a local time, unless the holder's process was suspended.
func (e *executor) maxClock(now time.Time) time.Duration {
	return e.clock + now.Sub(e.clockAt) + maxAnswerDelay
}

// longestWait returns the longest time for which a lease that is measured by an executor's clock lasts.
func longestWait(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-maxClockDrift)) + expiryMargin
}

// leaseExpiry returns the local time from which no run of the executor's present process is still running.
func (e *executor) leaseExpiry() time.Time {
	return e.clockAt.Add(longestWait(max(0, e.leaseDeadline-e.clock+e.clockLag)))
}

// runExpiry returns the local time from which a run has certainly ended if the executor does not answer. A start without an
// answer may have reached a later process, which has granted it the longest lease.
func (f *Scheduler) runExpiry(r *taskRun) time.Time {
	expiry := r.executor.leaseExpiry()
	if (r.state == taskStartSent || r.state == taskStartUnknown) && !r.unprovenUntil.IsZero() {
		expiry = latest(expiry, r.unprovenUntil.Add(longestWait(f.settings.LongestLease)))
	}
	return expiry
}

// longestDeadline returns the latest deadline that the lease of an executor's process may have at a reading of its clock if no
// deadline was counted on this clock yet. Calls with a deadline on the clock of an earlier process may have reached this one, or
// may still; the executor shortens their lease to the longest one from their arrival.
func (f *Scheduler) longestDeadline(now time.Time, e *executor, clock time.Duration) time.Duration {
	if !f.hasPredecessor && e.deadlineSentAt.IsZero() {
		// No call with a deadline was sent to the executor.
		return clock
	}
	latestArrival := latest(e.deadlineSentAt.Add(maxAnswerDelay), e.unprovenUntil)
	return clock + f.settings.LongestLease + max(0, latestArrival.Sub(now))
}

// renewedDeadline returns the deadline of a lease that begins now, on the executor's clock.
func (e *executor) renewedDeadline(now time.Time, lease time.Duration) time.Duration {
	return e.clock + now.Sub(e.clockAt) + lease
}

func (e *executor) add(r *taskRun) {
	e.taskRuns = append(e.taskRuns, r)
	e.used = e.used.Add(r.load)
	e.use.add(r.charge)
	if r.state != taskReserved {
		e.dispatch(r)
	}
}

// dispatch counts a task run of which a start is sent or was reported.
func (e *executor) dispatch(r *taskRun) {
	e.dispatched = e.dispatched.Add(r.load)
	e.use.dispatched.Add(r.charge.account, r.charge.need)
}

func (e *executor) remove(r *taskRun) {
	i := slices.Index(e.taskRuns, r)
	if i < 0 {
		return
	}
	e.taskRuns = slices.Delete(e.taskRuns, i, i+1)
	e.used = e.used.Sub(r.load)
	e.use.remove(r.charge)
	if r.state != taskReserved {
		e.dispatched = e.dispatched.Sub(r.load)
		e.use.dispatched.Remove(r.charge.account, r.charge.need)
	}
}

func (e *executor) find(t workload.TaskRef, run workload.RunNumber) *taskRun {
	for _, r := range e.taskRuns {
		if r.run == run && r.task == t && r.state != taskReserved {
			return r
		}
	}
	return nil
}

func (e *executor) free() workload.Resources { return e.info.Capacity.Sub(e.used) }

// advanceDurableEnd drops the pending ends that have become durable, so that they are acknowledged to the executor.
func (e *executor) advanceDurableEnd() {
	for len(e.pendingEnds) > 0 && e.pendingEnds[0].job.recordedVersion >= e.pendingEnds[0].version {
		e.durableEnd = e.pendingEnds[0].number
		e.pendingEnds = e.pendingEnds[1:]
	}
	if len(e.pendingEnds) == 0 {
		e.durableEnd = e.processedEnd
	}
}

// UpsertExecutor adds or updates an executor from its registry entry.
func (f *Scheduler) UpsertExecutor(now time.Time, info workload.Executor) {
	f.rosterVersion++
	e, known := f.executors[info.ID]
	if !known {
		e = &executor{nextPollAt: now, clockAt: now, use: &f.use}
		f.executors[info.ID] = e
		i, _ := slices.BinarySearchFunc(f.sortedExecutors, info.ID, func(o *executor, id workload.ExecutorID) int {
			return strings.Compare(string(o.info.ID), string(id))
		})
		f.sortedExecutors = slices.Insert(f.sortedExecutors, i, e)
	}
	if known && e.incarnation != 0 && info.StartedAtMS != e.incarnation && info.StartedAtMS != e.info.StartedAtMS {
		// Only a report of the executor itself shows that it has restarted.
		e.verified = false
	}
	e.register(info)
	f.declareExecutor(e)
	e.nextPollAt = earliest(e.nextPollAt, now)
}

// RemoveExecutor applies the removal of a registry entry. Runs on the executor are tracked until its lease has expired.
func (f *Scheduler) RemoveExecutor(now time.Time, id workload.ExecutorID) {
	e, ok := f.executors[id]
	if !ok {
		return
	}
	e.registered = false
	f.rosterVersion++
	f.removeIfUnused(e)
}

// RetainExecutors applies the removal of all registry entries except the given ones.
func (f *Scheduler) RetainExecutors(now time.Time, registered map[workload.ExecutorID]bool) {
	for _, e := range slices.Clone(f.sortedExecutors) {
		if e.registered && !registered[e.info.ID] {
			f.RemoveExecutor(now, e.info.ID)
		}
	}
}

// removeIfUnused removes an executor that is neither registered nor occupied from the state. Runs of earlier holders may
// occupy one that is not verified until this holder is reconciled.
func (f *Scheduler) removeIfUnused(e *executor) {
	if e.registered || len(e.taskRuns) > 0 || !e.verified && !f.reconcileBy.IsZero() {
		return
	}
	f.rosterVersion++
	delete(f.executors, e.info.ID)
	if f.learned != nil {
		f.learned.RemoveExecutor(e.info.ID)
	}
	if i := slices.Index(f.sortedExecutors, e); i >= 0 {
		f.sortedExecutors = slices.Delete(f.sortedExecutors, i, i+1)
	}
}

// handleRestart resets the state of an executor that has restarted. Earlier runs have ended, but a start in flight may
// still reach the new process, so that the next report decides which runs are lost.
func (f *Scheduler) handleRestart(now time.Time, e *executor, incarnation int64, evidence RestartEvidence, clock time.Duration) {
	f.count(CountExecutorRestarted)
	f.actions = append(f.actions, RestartNotice{
		Executor: e.info.ID, Address: e.address, Evidence: evidence, EarlierClock: e.minClock(now), Clock: clock, Runs: len(e.taskRuns),
	})
	e.forgetProcess(now)
	e.incarnation = incarnation
	e.leaseDeadline = f.longestDeadline(now, e, 0)
	e.suspicion = suspicion{}
	e.nextPollAt = now
	f.dropTickets(e.info.ID)
}

// forgetProcess drops what is known of the process of an executor, because it has ended.
func (e *executor) forgetProcess(now time.Time) {
	e.process++
	e.verified, e.queriedOnly = false, false
	e.incarnation, e.reportedClock = 0, 0
	e.clock, e.clockAt, e.leaseDeadline, e.clockLag = 0, now, 0, 0
	e.processedEnd, e.durableEnd, e.ackedEnd, e.pendingEnds = 0, 0, 0, nil
}

// eligible reports whether an executor may be given work.
func (f *Scheduler) eligible(now time.Time, e *executor) bool {
	return !e.closed() && e.verified && !e.closedInRoster && !f.excludedDomains[e.info.Domain] && e.unresponsiveSince.IsZero() &&
		!f.evacuating[e.info.ID] &&
		!e.suspicion.blocks(now, e)
}

// needsPoll reports whether an executor is to be polled: to learn its runs or whether it answers again, to renew its
// lease, or to acknowledge ends.
func (e *executor) needsPoll() bool {
	return !e.verified || !e.unresponsiveSince.IsZero() || len(e.dispatchedRuns()) > 0 || e.ackedEnd < e.durableEnd || len(e.pendingEnds) > 0
}

// dispatchedRuns returns the task runs of an executor if a start was sent for at least one of them, and nil otherwise.
func (e *executor) dispatchedRuns() []*taskRun {
	for _, r := range e.taskRuns {
		if r.state != taskReserved {
			return e.taskRuns
		}
	}
	return nil
}

// planPolls adds the polls that are due to the actions.
func (f *Scheduler) planPolls(now time.Time) {
	for _, e := range f.sortedExecutors {
		if e.polling || !e.needsPoll() || now.Before(e.nextPollAt) || e.address == "" {
			continue
		}
		poll := Poll{Executor: e.info.ID, Address: e.address, AnyConnection: e.queriedOnly, process: e.process}
		if e.verified && e.unresponsiveSince.IsZero() && e.ackedEnd < e.durableEnd {
			// An executor that is not verified or did not answer may have restarted, and numbers its ends from the beginning
			// then.
			poll.AckedThrough = e.durableEnd
		}
		// A poll of an executor that does not answer does not renew its lease: it may take effect late, and the lease has
		// to expire before the tasks can start elsewhere.
		if e.verified && e.clock > 0 && len(e.dispatchedRuns()) > 0 && e.unresponsiveSince.IsZero() && f.mayRenew(now) {
			poll.Deadline = e.renewedDeadline(now, f.settings.Lease)
			poll.Wait = f.settings.PollWait
			e.leaseDeadline, e.deadlineSentAt = max(e.leaseDeadline, poll.Deadline), now
		}
		if e.ackedEnd < e.durableEnd && len(e.dispatchedRuns()) == 0 {
			poll.Wait = 0
		}
		e.polling = true
		f.actions = append(f.actions, poll)
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
