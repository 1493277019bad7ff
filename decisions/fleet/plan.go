package fleet

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/joborder"
)

const (
	// maxPlanDelay bounds the time between two calls of Plan while anything waits.
	maxPlanDelay = 100 * time.Millisecond
	// idlePlanDelay is the time between two calls of Plan while nothing waits.
	idlePlanDelay = 500 * time.Millisecond
)

// Plan returns the actions that the state asks for and the delay after which Plan is to be called again if no event
// comes before.
func (f *Scheduler) Plan(now time.Time) ([]Action, time.Duration) {
	f.expire(now)
	f.listUnits(now)
	f.closeRuns(now)
	f.leaveDraining(now)
	f.restartStalled(now)
	var waiting []*candidate
	if f.mayStart(now) {
		waiting = f.startable(now)
		f.place(now, waiting)
		f.startReserved(now)
	}
	f.planStops(now)
	f.planLooks(now)
	out := f.orders
	f.orders = nil
	return out, f.nextPlan(now, len(waiting) > 0)
}

func (f *Scheduler) nextPlan(now time.Time, waiting bool) time.Duration {
	d := idlePlanDelay
	if waiting {
		d = maxPlanDelay
	}
	for _, e := range f.order {
		if !e.looking && e.wantsLook() {
			d = min(d, max(time.Millisecond, e.lookAt.Sub(now)))
		}
	}
	return d
}

// expire ends what ran on executors whose leases have ended.
func (f *Scheduler) expire(now time.Time) {
	if !f.mayStart(now) {
		// Another holder may have renewed the leases.
		return
	}
	// The loop forgets executors, which changes the list.
	for _, e := range slices.Clone(f.order) {
		if len(e.ordersOut()) > 0 && !e.silentSince.IsZero() && e.deadline > 0 && now.After(e.lapsesAt()) {
			f.loseAll(now, e)
			f.dropIfGone(e)
		}
	}
	if f.settled(now) {
		return
	}
	if now.After(f.settleBy) {
		f.settleBy = time.Time{}
		f.dropUnverified()
	}
}

// settled reports whether nothing is left that an earlier holder may have started unknown to this one.
func (f *Scheduler) settled(now time.Time) bool {
	if f.settleBy.IsZero() {
		return true
	}
	for _, e := range f.order {
		if !e.verified && e.refusals < refusalsUntilGone {
			return false
		}
	}
	f.settleBy = time.Time{}
	f.dropUnverified()
	return true
}

// dropUnverified forgets unregistered executors that did not answer until all leases had ended.
func (f *Scheduler) dropUnverified() {
	for _, e := range slices.Clone(f.order) {
		if !e.verified && !e.listed && len(e.members) == 0 {
			e.refusals = refusalsUntilGone
			f.dropIfGone(e)
		}
	}
}

// listUnits fills the lists of pending and active units. On its way it makes those units startable whose earlier steps
// are done and whose time has come.
func (f *Scheduler) listUnits(now time.Time) {
	f.pending, f.active = f.pending[:0], f.active[:0]
	for _, j := range f.open {
		for _, u := range j.units {
			if u.state == unitBlocked && !j.state.Final() && j.ready(u) && !now.Before(j.dueAt(u.occurrence)) {
				u.state, u.readyAt = unitPending, now
			}
			if u.state == unitPending {
				f.pending = append(f.pending, u)
			}
			if len(u.members) > 0 {
				f.active = append(f.active, u)
			}
		}
	}
}

// closeRuns stops the rest of runs that do not go on: gangs that lost a member, and runs whose job has ended.
func (f *Scheduler) closeRuns(now time.Time) {
	settled := f.settled(now)
	for _, u := range f.active {
		if settled && u.state == unitActive && !u.ending && !u.reserved() && len(u.members) < u.n {
			f.end(now, u, StopGang)
		}
		if u.ending && now.Sub(u.endingAt) >= brokenWait {
			for _, m := range u.members {
				if !m.stopping {
					m.stopping, m.stopWhy = true, u.endWhy
				}
			}
		}
	}
}

// startable returns what may start, in the order in which it is placed.
func (f *Scheduler) startable(now time.Time) []*candidate {
	unsettled := f.unsettled(now)
	var out []*candidate
	for rest := f.pending; len(rest) > 0; {
		u := rest[0]
		n := 1
		for n < len(rest) && rest[n].job == u.job && rest[n].occurrence == u.occurrence && rest[n].step == u.step {
			n++
		}
		units := rest[:n]
		rest = rest[n:]
		inherited := u.job.created <= f.since && u.job.mayRun
		if inherited && slices.ContainsFunc(unsettled, func(e *executor) bool { return e.mayRun(u.job.rec.ID) }) {
			continue
		}
		if slices.ContainsFunc(units, func(u *unit) bool { return !now.Before(u.notBefore) }) {
			out = append(out, f.candidate(now, units))
		}
	}
	slices.SortStableFunc(out, func(a, b *candidate) int { return f.jobOrder(now, &a.Candidate, &b.Candidate) })
	return out
}

// planStops returns the stops that are due.
func (f *Scheduler) planStops(now time.Time) {
	for _, e := range f.order {
		for _, m := range e.members {
			due := m.stopping && !m.stopOut && m.state != memberReserved && now.Sub(m.stopSentAt) >= stopRetry
			// A start on its way is stopped only after it was answered, so that the stop does not overtake it.
			if !due || m.state == memberSent {
				continue
			}
			m.stopOut, m.stopSentAt = true, now
			f.count(CountStop)
			f.orders = append(f.orders, Stop{Executor: e.info.ID, Address: e.info.Address, Task: m.task, Run: m.run, Reason: m.stopWhy})
		}
	}
}

// start orders the members of a unit whose room is free.
func (f *Scheduler) start(now time.Time, u *unit, reason string) {
	u.startedAt, u.progressAt, u.percent = now, now, 0
	for _, m := range u.members {
		m.state, m.sentAt = memberSent, now
		m.on.ordered = m.on.ordered.Add(m.load)
		m.on.deadline = max(m.on.deadline, m.on.renewal(now, f.settings.Lease))
		f.count(CountStart)
		f.orders = append(f.orders, Start{
			Executor: m.on.info.ID, Address: m.on.info.Address, Task: m.task, Run: m.run, Spec: u.job.rec.Spec, Saved: u.saved, Ticket: f.ticketFor(u, m.on.info.ID),
			Deadline: m.on.renewal(now, f.settings.Lease), Reason: reason, Waited: now.Sub(u.readyAt),
		})
	}
}

// reserve gives a unit a new run on the given executors, one for each task.
func (f *Scheduler) reserve(now time.Time, u *unit, on []*executor) {
	u.starts++
	u.activate(now, workload.RunNumber(f.term*runsPerTerm+u.starts))
	for i, e := range on {
		m := &member{unit: u, task: u.task(u.first + i), run: u.run, on: e, load: u.spec().Load(), state: memberReserved, pace: fullPace}
		u.members = append(u.members, m)
		e.add(m)
		f.usage.add(u, m.load.GPU)
	}
	f.active = append(f.active, u)
}

// startReserved starts the units whose room has become free, and gives up those that wait too long.
func (f *Scheduler) startReserved(now time.Time) {
	for _, u := range f.active {
		if u.state != unitActive || !u.reserved() {
			continue
		}
		switch {
		case f.canStart(now, u):
			f.start(now, u, "room_vacated")
		case now.Sub(u.startedAt) > f.settings.StopBound+reserveWait || f.blockedBy(now, u):
			f.count(CountReserveBroken)
			u.notBefore = now.Add(startRetry)
			f.giveUpReservation(now, u)
		}
	}
}

// canStart reports whether what is ordered on the executors leaves room for all members of a reserved unit.
func (f *Scheduler) canStart(now time.Time, u *unit) bool {
	need := map[*executor]workload.Resources{}
	for _, m := range u.members {
		need[m.on] = need[m.on].Add(m.load)
	}
	for e, n := range need {
		if !f.eligible(now, e) || !n.Fits(e.info.Capacity.Sub(e.ordered)) {
			return false
		}
	}
	return true
}

// blockedBy reports whether a reserved unit waits for an executor that gets no work any more.
func (f *Scheduler) blockedBy(now time.Time, u *unit) bool {
	return slices.ContainsFunc(u.members, func(m *member) bool { return !f.eligible(now, m.on) })
}

// candidate is the pending units of a step of an occurrence of a job, with what decides their turn.
type candidate struct {
	joborder.Candidate
	units []*unit
}

const (
	// classGuaranteed is the class of priority 0 within the guarantee of its account, classUrgent that of priority 0 beyond
	// it. Lower priorities follow.
	classGuaranteed = joborder.Guaranteed + iota
	classUrgent
)

// classOf returns the class of a unit that is to start; lower classes may take the room of higher ones.
func (f *Scheduler) classOf(u *unit) int {
	r := f.route(u.job)
	if r.Priority > 0 {
		return classUrgent + r.Priority
	}
	t := f.config.Tenant(u.job.rec.Account)
	if t != nil && f.usage[u.job.rec.Account]+u.n*u.spec().Need.GPU <= t.Guaranteed {
		return classGuaranteed
	}
	return classUrgent
}

// expiryFactor is the multiple of the objective after which a completed job earns nothing.
const expiryFactor = 3

func (f *Scheduler) candidate(now time.Time, units []*unit) *candidate {
	u := units[0]
	j := u.job
	r := f.route(j)
	begin := j.arrived
	if j.rec.Occurrences > 0 {
		begin = j.dueAt(u.occurrence)
	}
	objective := time.Duration(r.Stretch*float64(f.speed.expected(j.rec.Queue, j.longest))) + r.Latency
	rest := f.speed.expected(j.rec.Queue, j.chains[u.step])
	return &candidate{units: units, Candidate: joborder.Candidate{
		Class: f.classOf(u), Arrived: begin,
		Latest: begin.Add(objective - rest), Expiry: begin.Add(expiryFactor*objective - rest),
		Work: float64(u.n) * float64(weightOf(u.spec().Need)) / 1000 * rest.Seconds(),
	}}
}

// gpuCores is how many cores an accelerator counts for.
const gpuCores = 8

// weightOf returns an amount as thousandths of a core.
func weightOf(r workload.Resources) int { return r.CPU + r.GPU*gpuCores*1000 }
