package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// refusalsUntilGone is the number of refused connections in a row, over at least refusalSpan, after which nothing
	// runs at an address any more. One refusal may come from a connection that is reset on its way.
	refusalsUntilGone = 3
	refusalSpan       = 400 * time.Millisecond
	// lookRetry is the delay before a failed look is repeated, lookPause the time that a record of ends takes, and
	// unrecordedPause the delay between looks while ends cannot be recorded.
	lookRetry       = 200 * time.Millisecond
	lookPause       = 25 * time.Millisecond
	unrecordedPause = 400 * time.Millisecond
	// maxEnds is the number of ends after which a report may be incomplete.
	maxEnds = 500
)

// memberState is the state of a run of one task on an executor.
type memberState uint8

const (
	// memberReserved waits for room on its executor; nothing has been ordered.
	memberReserved memberState = iota
	// memberSent has been ordered and not yet answered.
	memberSent
	// memberUnsure has been ordered without an answer; it may start late.
	memberUnsure
	memberRunning
)

// member is a run of one task on an executor. It occupies the executor until its end is known.
type member struct {
	// unit is nil for a run that no unit accounts for.
	unit  *unit
	task  workload.TaskRef
	run   workload.RunNumber
	on    *executor
	load  workload.Resources
	state memberState
	// sentAt is when the start was ordered, confirmedAt when it was known to run.
	sentAt, confirmedAt time.Time
	// stopping is set once the run is to end, stopOut while a stop is not answered, stopAcked once the executor has
	// answered one.
	stopping, stopOut bool
	stopWhy           StopReason
	stopSentAt        time.Time
	stopAckedAt       time.Time
	percent           int
	saved             string
	// pace is the share in percent at which the task works, pacedAt when it last changed.
	pace    int
	pacedAt time.Time
}

// executor is one executor and what occupies it.
type executor struct {
	info workload.Executor
	rack string
	// listed is set while the executor is registered.
	listed bool
	// used is the capacity that members occupy, ordered the part of it that has been ordered.
	used, ordered workload.Resources
	members       []*member

	// verified is set once the executor has seen the fence of this term and has reported what runs there.
	verified bool
	born     int64
	// clock is the executor's clock at local time clockAt.
	clock   time.Duration
	clockAt time.Time
	// deadline is the latest end of the lease that was sent, on the executor's clock.
	deadline time.Duration
	// seen is the last end that was processed, ends those that are not recorded yet, acked what the executor knows as
	// seen.
	seen, noted, acked int64
	ends               []recordedEnd

	// inherited is what the earlier holder recorded; recordedClosed is set while a roster may be recorded in which the
	// executor is closed.
	inherited      *workload.RosterEntry
	recordedClosed bool

	looking   bool
	lookAt    time.Time
	refusals  int
	refusedAt time.Time
	// silentSince is when the executor began not to answer; zero if it answers.
	silentSince time.Time
	suspicion   suspicion
}

// recordedEnd is an end that may be forgotten once a version of its job's progress is durable.
type recordedEnd struct {
	number  int64
	job     *job
	version int64
}

// clockLow returns a lower bound of the executor's clock at a local time.
func (e *executor) clockLow(now time.Time) time.Duration {
	return e.clock + time.Duration(float64(now.Sub(e.clockAt))*(1-clockDrift))
}

// lapsesAt returns the local time at which nothing that was started under the sent leases still runs.
func (e *executor) lapsesAt() time.Time {
	left := max(0, e.deadline-e.clock)
	return e.clockAt.Add(time.Duration(float64(left)/(1-clockDrift)) + lapseMargin)
}

// renewal returns the end of a lease that begins now, on the executor's clock.
func (e *executor) renewal(now time.Time, lease time.Duration) time.Duration {
	return e.clock + now.Sub(e.clockAt) + lease
}

func (e *executor) add(m *member) {
	e.members = append(e.members, m)
	e.used = e.used.Add(m.load)
	if m.state != memberReserved {
		e.ordered = e.ordered.Add(m.load)
	}
}

func (e *executor) remove(m *member) {
	i := slices.Index(e.members, m)
	if i < 0 {
		return
	}
	e.members = slices.Delete(e.members, i, i+1)
	e.used = e.used.Sub(m.load)
	if m.state != memberReserved {
		e.ordered = e.ordered.Sub(m.load)
	}
}

func (e *executor) find(t workload.TaskRef, run workload.RunNumber) *member {
	for _, m := range e.members {
		if m.run == run && m.task == t && m.state != memberReserved {
			return m
		}
	}
	return nil
}

func (e *executor) free() workload.Resources { return e.info.Capacity.Sub(e.used) }

// noteRecorded advances the ends that the executor may forget.
func (e *executor) noteRecorded() {
	for len(e.ends) > 0 && e.ends[0].job.recorded >= e.ends[0].version {
		e.noted = e.ends[0].number
		e.ends = e.ends[1:]
	}
	if len(e.ends) == 0 {
		e.noted = e.seen
	}
}

// UpsertExecutor applies a registry entry.
func (f *Scheduler) UpsertExecutor(now time.Time, info workload.Executor) {
	f.rosterVersion++
	e, known := f.executors[info.ID]
	if !known {
		e = &executor{lookAt: now, clockAt: now}
		f.executors[info.ID] = e
		i, _ := slices.BinarySearchFunc(f.order, info.ID, func(o *executor, id workload.ExecutorID) int {
			return strings.Compare(string(o.info.ID), string(id))
		})
		f.order = slices.Insert(f.order, i, e)
	}
	if known && info.Born != 0 && e.born != 0 && info.Born > e.born {
		f.rebirth(now, e, info.Born)
	}
	if known && e.info.Address != info.Address && info.Address != "" && e.info.Address != "" {
		e.verified = false
	}
	e.info, e.rack, e.listed = info, info.Rack(), true
	e.lookAt = earlier(e.lookAt, now)
}

// RemoveExecutor applies the removal of a registry entry. What runs there is followed until its lease has ended.
func (f *Scheduler) RemoveExecutor(now time.Time, id workload.ExecutorID) {
	e, ok := f.executors[id]
	if !ok {
		return
	}
	e.listed = false
	f.rosterVersion++
	f.dropIfGone(e)
}

// KeepExecutors removes all registry entries but those listed.
func (f *Scheduler) KeepExecutors(now time.Time, listed map[workload.ExecutorID]bool) {
	for _, e := range slices.Clone(f.order) {
		if e.listed && !listed[e.info.ID] {
			f.RemoveExecutor(now, e.info.ID)
		}
	}
}

// dropIfGone forgets an executor that is neither registered nor occupied.
func (f *Scheduler) dropIfGone(e *executor) {
	if e.listed || len(e.members) > 0 || !e.verified && f.executors[e.info.ID] == e && e.refusals < refusalsUntilGone {
		return
	}
	f.rosterVersion++
	delete(f.executors, e.info.ID)
	if i := slices.Index(f.order, e); i >= 0 {
		f.order = slices.Delete(f.order, i, i+1)
	}
}

// rebirth applies the start of a new life of an executor. Nothing of before runs there, but an order that is under way
// may reach the new life, so that the next report decides what is lost.
func (f *Scheduler) rebirth(now time.Time, e *executor, born int64) {
	f.count(CountExecutorReborn)
	e.born = born
	e.seen, e.noted, e.acked, e.ends = 0, 0, 0, nil
	e.clock, e.clockAt, e.deadline = 0, now, f.settings.Lease
	e.verified = false
	e.suspicion = suspicion{}
	e.lookAt = now
	f.dropAdvice(nil, e.info.ID)
}

// loseAll ends all that ran on an executor without a report.
func (f *Scheduler) loseAll(now time.Time, e *executor) {
	if len(e.members) > 0 {
		f.count(CountExecutorLost)
	}
	for _, m := range slices.Clone(e.members) {
		f.endMember(now, m, workload.Lapsed, "")
	}
}

// eligible reports whether an executor may get work.
func (f *Scheduler) eligible(now time.Time, e *executor) bool {
	return !e.closed() && e.verified && !e.recordedClosed && !f.out[e.info.Domain] && e.silentSince.IsZero() && e.refusals == 0 &&
		!f.vacated[e.info.ID] &&
		!e.suspicion.blocks(now, e)
}

// wantsLook reports whether an executor is to be looked at: to learn what runs there or whether it answers again, to
// renew its lease or to let it forget ends.
func (e *executor) wantsLook() bool {
	return !e.verified || e.refusals > 0 || !e.silentSince.IsZero() || len(e.ordersOut()) > 0 || e.acked < e.noted || len(e.ends) > 0
}

// ordersOut returns the members that the executor may know of.
func (e *executor) ordersOut() []*member {
	for _, m := range e.members {
		if m.state != memberReserved {
			return e.members
		}
	}
	return nil
}

// planLooks returns the looks that are due.
func (f *Scheduler) planLooks(now time.Time) {
	for _, e := range f.order {
		if e.looking || !e.wantsLook() || now.Before(e.lookAt) || e.info.Address == "" {
			continue
		}
		look := Look{Executor: e.info.ID, Address: e.info.Address}
		if e.silentSince.IsZero() && e.refusals == 0 {
			// An executor that did not answer may be in a new life, which counts its ends anew.
			look.SeenUpTo = e.noted
		}
		// A look at an executor that does not answer renews nothing: it may be carried out late, and the lease has to end
		// for the tasks to start elsewhere.
		if e.verified && e.clock > 0 && len(e.ordersOut()) > 0 && e.silentSince.IsZero() && f.mayRenew(now) {
			look.Deadline = e.renewal(now, f.settings.Lease)
			look.Wait = f.settings.LookWait
			e.deadline = max(e.deadline, look.Deadline)
		}
		if e.acked < e.noted && len(e.ordersOut()) == 0 {
			look.Wait = 0
		}
		e.looking = true
		f.orders = append(f.orders, look)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
