package fleet

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/joborder"
)

const (
	// maxPlanDelay bounds the delay until the next call of Plan while units wait for a start.
	maxPlanDelay = 100 * time.Millisecond
	// idlePlanDelay bounds the delay until the next call of Plan while none waits.
	idlePlanDelay = 500 * time.Millisecond
	// heldBackPlanDelay is the delay after a planning pass that has started units while a job has more due occurrences than may
	// be open at the same time, so that the next ones are opened soon.
	heldBackPlanDelay = 10 * time.Millisecond
)

// Plan returns the actions to carry out now, and the delay after which Plan is to be called again unless an event
// occurs earlier.
func (f *Scheduler) Plan(now time.Time) ([]Action, time.Duration) {
	f.expireLeases(now)
	f.markExcess()
	f.limitPass = limitPass{}
	f.reservedUnits = false
	clear(f.guaranteeRooms)
	f.collectUnits(now)
	f.stopIncompleteRuns(now)
	f.expireTerminations(now)
	f.evacuateDraining(now)
	f.restartStalled(now)
	var waiting []*candidate
	if f.mayStart(now) {
		waiting = f.startable(now)
		f.placeWaiting(now, waiting)
		f.startReserved(now)
	} else {
		setWaiting(f.pendingUnits, WaitLease)
	}
	f.reportWaiting(now)
	f.sendAdviceQuery(now)
	f.planStops(now)
	f.planPolls(now)
	out := f.actions
	f.actions = nil
	return out, f.nextPlanDelay(now, len(waiting) > 0)
}

func (f *Scheduler) nextPlanDelay(now time.Time, waiting bool) time.Duration {
	d := idlePlanDelay
	if waiting {
		d = maxPlanDelay
	}
	if f.occurrencesHeldBack && f.reservedUnits {
		d = heldBackPlanDelay
	}
	for _, e := range f.sortedExecutors {
		if !e.polling && e.needsPoll() {
			d = min(d, max(time.Millisecond, e.nextPollAt.Sub(now)))
		}
	}
	return d
}

// expireLeases ends the runs on unresponsive executors whose leases have expired.
func (f *Scheduler) expireLeases(now time.Time) {
	if !f.mayStart(now) {
		// Another holder may have renewed the leases.
		return
	}
	// The loop removes executors from the list, so that it iterates over a copy.
	for _, e := range slices.Clone(f.sortedExecutors) {
		if len(e.dispatchedRuns()) > 0 && !e.unresponsiveSince.IsZero() && e.leaseDeadline > 0 && now.After(e.leaseExpiry()) {
			f.markRunsLost(now, e, LossLeaseExpired, func(r *taskRun) bool { return now.After(f.runExpiry(r)) })
			f.removeIfUnused(e)
		}
	}
	if f.reconciled(now) {
		return
	}
	if now.After(f.reconcileBy) {
		f.reconcileBy = time.Time{}
		f.dropUnverified()
	}
}

// reconciled reports whether all runs that earlier holders started are known: every executor has reported, or all leases
// granted by earlier holders have expired.
func (f *Scheduler) reconciled(now time.Time) bool {
	if f.reconcileBy.IsZero() {
		return true
	}
	for _, e := range f.sortedExecutors {
		if !e.verified {
			return false
		}
	}
	f.reconcileBy = time.Time{}
	f.dropUnverified()
	return true
}

// dropUnverified removes unregistered executors without runs that have not reported. It is called once this holder is
// reconciled.
func (f *Scheduler) dropUnverified() {
	for _, e := range slices.Clone(f.sortedExecutors) {
		if !e.verified {
			f.removeIfUnused(e)
		}
	}
}

// collectUnits fills the lists of steps with pending units and of active units. Occurrences are opened once they are due,
// and the units of a step become pending once the steps before it are done. A pending step lists at least one unit: the
// untried ones are equal to it.
func (f *Scheduler) collectUnits(now time.Time) {
	// Stale entries would keep the state of jobs that have ended.
	clear(f.pendingUnits)
	clear(f.activeUnits)
	clear(f.pendingSteps)
	f.pendingUnits, f.activeUnits, f.pendingSteps = f.pendingUnits[:0], f.activeUnits[:0], f.pendingSteps[:0]
	f.occurrencesHeldBack = false
	for _, j := range f.openJobs {
		if !j.state.Final() && j.openDue(now) {
			f.occurrencesHeldBack = true
		}
		for _, o := range j.occurrences {
			for s := range o.steps {
				f.collectStep(now, &o.steps[s])
			}
		}
	}
}

// collectStep adds the units of a step to the lists.
func (f *Scheduler) collectStep(now time.Time, g *stepUnits) {
	o := g.occurrence
	final := o.job.state.Final()
	if g.readyAt.IsZero() && !final && g.open > 0 && o.dependenciesDone(g.step) && !now.Before(o.job.dueAt(o.number)) {
		g.readyAt = now
	}
	begin := len(f.pendingUnits)
	for _, u := range g.units {
		if u.state == unitBlocked && !g.readyAt.IsZero() {
			u.state, u.readyAt, u.pendingSince = unitPending, now, now
		}
		if u.state == unitPending {
			f.pendingUnits = append(f.pendingUnits, u)
		}
		if len(u.taskRuns) > 0 {
			f.activeUnits = append(f.activeUnits, u)
		}
	}
	if len(f.pendingUnits) == begin && !g.readyAt.IsZero() && !final {
		if u := g.nextUntried(); u != nil {
			f.pendingUnits = append(f.pendingUnits, u)
		}
	}
	if end := len(f.pendingUnits); end > begin {
		f.pendingSteps = append(f.pendingSteps, pendingStep{g, begin, end})
	}
}

// pendingStep is a step with pending units, which are pendingUnits[begin:end].
type pendingStep struct {
	group      *stepUnits
	begin, end int
}

// stopIncompleteRuns marks runs that have lost tasks as ending, and stops the remaining tasks of ending runs after
// gangEndGrace.
func (f *Scheduler) stopIncompleteRuns(now time.Time) {
	reconciled := f.reconciled(now)
	for _, u := range f.activeUnits {
		if reconciled && u.state == unitActive && !u.ending && !u.reserved() && len(u.taskRuns) < u.size {
			f.markEnding(now, u, StopGangIncomplete)
		}
		if u.ending && now.Sub(u.endingSince) >= gangEndGrace {
			for _, r := range u.taskRuns {
				if !r.stopping {
					r.stopping, r.stopReason = true, u.endReason
				}
			}
		}
	}
}

// startable returns the candidates that may start, in the order in which they are placed.
func (f *Scheduler) startable(now time.Time) []*candidate {
	unreconciled := f.unreconciledExecutors(now)
	var out []*candidate
	for _, p := range f.pendingSteps {
		units := f.pendingUnits[p.begin:p.end:p.end]
		u := units[0]
		if u.job.inherited && slices.ContainsFunc(unreconciled, func(e *executor) bool { return e.mayHaveRun(u.job.rec.ID) }) {
			setWaiting(units, WaitUnverified)
			continue
		}
		if p.group.untried() > 0 || slices.ContainsFunc(units, func(u *unit) bool { return !now.Before(u.notBefore) }) {
			out = append(out, f.newCandidate(now, units))
		} else {
			setWaiting(units, WaitRetry)
		}
	}
	f.markOverShare(out)
	slices.SortStableFunc(out, func(a, b *candidate) int { return f.jobOrder(now, &a.Candidate, &b.Candidate) })
	returningFirst(out)
	return out
}

// planStops adds the stops that are due to the actions.
func (f *Scheduler) planStops(now time.Time) {
	for _, e := range f.sortedExecutors {
		for _, r := range e.taskRuns {
			due := r.stopping && !r.stopInFlight && r.state != taskReserved && now.Sub(r.stopSentAt) >= stopRetryInterval
			// A start in flight is stopped only after it was answered, so that the stop does not overtake it.
			if !due || r.state == taskStartSent {
				continue
			}
			r.stopInFlight, r.stopSentAt = true, now
			f.count(CountStop)
			f.actions = append(f.actions, Stop{Executor: e.info.ID, Address: e.address, Task: r.task, Run: r.run, Reason: r.stopReason})
		}
	}
}

// start adds the starts of all tasks of a unit that has reserved free capacity.
func (f *Scheduler) start(now time.Time, u *unit, reason string) {
	u.startedAt, u.progressAt, u.progress = now, now, 0
	if u.checkpoint == "" {
		u.progressStart = progressMark{at: now}
	}
	f.beginLearning(u)
	for _, r := range u.taskRuns {
		r.state, r.startSentAt = taskStartSent, now
		r.executor.dispatch(r)
		f.count(CountStart)
		f.sendStart(now, r, reason)
	}
	u.waitsFor = ""
}

// sendStart adds the start of a task run to the actions.
func (f *Scheduler) sendStart(now time.Time, r *taskRun, reason string) {
	u, e := r.unit, r.executor
	deadline := e.renewedDeadline(now, f.settings.Lease)
	e.leaseDeadline, e.deadlineSentAt = max(e.leaseDeadline, deadline), now
	r.deadline, r.process, r.sentAt = deadline, e.process, now
	r.startAttempts++
	f.actions = append(f.actions, Start{
		Executor: e.info.ID, Address: e.address, Task: r.task, Run: r.run, Spec: u.job.rec.Spec, Checkpoint: u.checkpoint, Ticket: f.ticketFor(u, e.info.ID),
		Deadline: deadline, Reason: reason, Waited: now.Sub(u.pendingSince), WaitedFor: u.waitsFor,
	})
}

// reserve begins a new run of a unit and reserves capacity on the given executors, one for each task.
func (f *Scheduler) reserve(now time.Time, u *unit, executors []*executor) {
	u.starts++
	u.activate(now, workload.RunNumber(f.term*runNumbersPerTerm+u.starts))
	charge := f.chargeOf(u.job, u.spec())
	for i, e := range executors {
		r := &taskRun{
			unit: u, task: u.task(u.firstTask + i), run: u.run, executor: e, load: u.spec().CapacityNeed(), charge: charge,
			state: taskReserved, speedPercent: fullSpeedPercent,
		}
		u.taskRuns = append(u.taskRuns, r)
		e.add(r)
	}
	f.activeUnits = append(f.activeUnits, u)
	f.reservedUnits = true
	if g := f.guaranteeRooms[f.route(u.job).Pool]; g != nil && f.occupiesGuaranteeRoom(u) {
		if from := u.lastHost; from != nil && !g.occupied[executors[0]] {
			f.moveReturns(from, executors[0])
		}
		for _, e := range executors {
			g.occupy(e)
		}
	}
}

// startReserved starts the units whose reserved capacity has become free, and cancels reservations that wait too long.
func (f *Scheduler) startReserved(now time.Time) {
	for _, u := range f.activeUnits {
		if u.state != unitActive || !u.reserved() {
			continue
		}
		vacated := f.canStart(now, u)
		tickets := ticketsAwaited
		if vacated || f.ticketsInAdvance(u) {
			tickets = f.checkTickets(now, u)
		}
		switch {
		case tickets == ticketsDenied:
			u.notBefore = now.Add(startRetryDelay)
			f.cancelReservation(now, u)
		case vacated && f.mayDispatch(now, u) && tickets == ticketsUsable:
			f.start(now, u, "room_vacated")
		case u.awaitsInVain(now):
			f.count(CountAwaitFailed)
			u.awaitFailed = true
			f.cancelReservation(now, u)
		case now.Sub(u.startedAt) > f.settings.MaxStopTime+reservationMargin+f.ticketTime(u) || f.isBlocked(now, u) || !f.mayDispatch(now, u):
			f.count(CountReservationCancelled)
			u.notBefore = now.Add(startRetryDelay)
			f.cancelReservation(now, u)
		}
	}
}

// ticketsInAdvance reports whether new tickets for a reserved unit are requested before its room is free, because they take
// longer than that.
func (f *Scheduler) ticketsInAdvance(u *unit) bool {
	return f.adviceFor(u) != nil && f.policyOf(u.job).Duration(len(u.taskRuns)) > f.settings.MaxStopTime
}

// canStart reports whether all tasks of a reserved unit fit beside the runs that were dispatched to their executors.
func (f *Scheduler) canStart(now time.Time, u *unit) bool {
	need := map[*executor]workload.Resources{}
	for _, r := range u.taskRuns {
		need[r.executor] = need[r.executor].Add(r.load)
	}
	for e, n := range need {
		if !f.eligible(now, e) || !n.Fits(e.info.Capacity.Sub(e.dispatched)) {
			return false
		}
	}
	return true
}

// isBlocked reports whether a reserved unit waits for an executor that is no longer eligible.
func (f *Scheduler) isBlocked(now time.Time, u *unit) bool {
	return slices.ContainsFunc(u.taskRuns, func(r *taskRun) bool { return !f.eligible(now, r.executor) })
}

// candidate is the set of pending units of a step of an occurrence of a job, with the values that determine their
// order.
type candidate struct {
	joborder.Candidate
	// units lists the units with a state of their own. There may be untried ones besides.
	units []*unit
	// triesUntried is set once an untried unit was added to units.
	triesUntried bool
	// expected is the expected run time of a task.
	expected time.Duration
}

// returningFirst moves the candidates with tasks that are to come back to their executors behind those of priority 0 at the
// beginning of a list and before all others. Other work would take what they have left there, and they may start on few
// other executors.
func returningFirst(candidates []*candidate) {
	begin := slices.IndexFunc(candidates, func(c *candidate) bool { return c.Class > classUrgent })
	if begin < 0 || !slices.ContainsFunc(candidates[begin:], (*candidate).returns) {
		return
	}
	slices.SortStableFunc(candidates[begin:], func(a, b *candidate) int {
		switch {
		case a.returns() == b.returns():
			return 0
		case a.returns():
			return -1
		default:
			return 1
		}
	})
}

// returns reports whether a task of the candidate is to come back to its executor.
func (c *candidate) returns() bool {
	return c.units[0].isFixed() && slices.ContainsFunc(c.units, func(u *unit) bool { return u.lastHost != nil })
}

// expiryFactor is the multiple of its objective after which the completion of a job earns no credit.
const expiryFactor = 3

// newCandidate returns the candidate of pending units of a step. Its latest start leaves time for the critical path of
// the job from this step on.
func (f *Scheduler) newCandidate(now time.Time, units []*unit) *candidate {
	u := units[0]
	j := u.job
	r := f.route(j)
	arrival := j.arrivedAt
	if j.rec.Occurrences > 0 {
		arrival = j.dueAt(u.occurrence)
	}
	remaining, longest := f.expectedPath(now, j, u.step)
	objective := time.Duration(r.Stretch*float64(longest)) + r.Latency
	class := f.classOf(u)
	return &candidate{units: units, Candidate: joborder.Candidate{
		Class: class, Excess: class >= classExcess, Arrived: arrival,
		LatestStart: arrival.Add(objective - remaining), Expiry: arrival.Add(expiryFactor*objective - remaining),
		Work: float64(u.size) * float64(weightedMillicores(u.spec().Need)) / 1000 * remaining.Seconds(),
	}}
}

// coresPerGPU is the number of cores that an accelerator is weighted with.
const coresPerGPU = 8

// weightedMillicores returns resources as a single weight, in thousandths of a core.
func weightedMillicores(r workload.Resources) int { return r.CPU + r.GPU*coresPerGPU*1000 }
