package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	policy "github.com/verbenaflow/verbenaflow/decisions/advice"
)

const (
	// adviceRetryDelay is the shortest time between two queries for a step that name the same executor, and after a query
	// without an answer.
	adviceRetryDelay = 300 * time.Millisecond
	// minTicketValidity is the remaining validity that a ticket needs for a start, but at most half of its whole validity.
	minTicketValidity = 300 * time.Millisecond
	// maxAdviceWait is how long a unit that may preempt others waits for advice on better executors: free ones, or more of
	// a rack. Capacity that becomes free all the time would otherwise keep it from what it may reclaim.
	maxAdviceWait = time.Second
	// adviceMargin is the time by which an answer may be later than the policy says: the service may still be busy with an earlier
	// query that was given up. It doubles with each query of a queue without an answer, up to adviceMarginDoublings times,
	// because a policy may take longer than the configuration says.
	adviceMargin          = 2 * time.Second
	adviceMarginDoublings = 2
)

// advice is the set of answers of the advisory service for a step.
type advice struct {
	executors map[workload.ExecutorID]advised
	// retryAt is when the next query may be sent after one without an answer.
	retryAt time.Time
	// waitsSince is when the step began to wait for its next query; zero if it does not.
	waitsSince time.Time
}

// advised is what the service has answered about an executor for a step.
type advised struct {
	// answered is set once the service has answered, permitted if the executor may run the step.
	answered, permitted bool
	ticket              string
	// usableUntil is when the ticket has less than its minimum validity left.
	usableUntil time.Time
	// askedAt is when the last query named the executor.
	askedAt time.Time
}

// adviceFor returns the advice for a unit's step, empty at first, or nil if its queue needs none.
func (f *Scheduler) adviceFor(u *unit) *advice {
	if !f.route(u.job).Advised {
		return nil
	}
	key := stepKey{u.job, u.occurrence, u.step}
	a := u.job.advice[key]
	if a == nil {
		a = &advice{executors: map[workload.ExecutorID]advised{}}
		if u.job.advice == nil {
			u.job.advice = map[stepKey]*advice{}
		}
		u.job.advice[key] = a
	}
	return a
}

// hasTicket reports whether an executor may run the step now. Nil advice permits every executor.
func (a *advice) hasTicket(now time.Time, id workload.ExecutorID) bool {
	return a == nil || a.executors[id].usableUntil.After(now)
}

// adviceFails reports whether the last query of a unit's queue had no answer.
func (f *Scheduler) adviceFails(u *unit) bool { return f.adviceFailures[u.job.rec.Queue] > 0 }

// mayReserve reports whether capacity of an executor may be reserved for a unit: it has a ticket, or the service has permitted it
// before. What the service permits does not change, so that it issues a new ticket if it answers. Nil advice permits every executor.
func (f *Scheduler) mayReserve(now time.Time, u *unit, a *advice, id workload.ExecutorID) bool {
	return a.hasTicket(now, id) || a.executors[id].permitted && !f.adviceFails(u)
}

// isOpen reports whether a query about an executor can help a unit: its capacity may not be reserved for the unit now, and the
// service has not denied it.
func (f *Scheduler) isOpen(now time.Time, u *unit, a *advice, id workload.ExecutorID) bool {
	return !f.mayReserve(now, u, a, id) && !a.denies(id)
}

// denies reports whether an executor may not run the step.
func (a *advice) denies(id workload.ExecutorID) bool {
	e := a.executors[id]
	return e.answered && !e.permitted
}

func (f *Scheduler) policyOf(j *job) policy.Policy { return policyOf(f.route(j)) }

func policyOf(r *workload.Route) policy.Policy {
	// A route of an accepted job may have been written by another build.
	return policy.Policy{Decide: max(0, r.AdviceDecideTime), PerExecutor: max(0, r.AdviceExecutorTime), Valid: max(0, r.TicketValid)}
}

// adviceRequest is a query that a step waits for.
type adviceRequest struct {
	unit      *unit
	advice    *advice
	executors []workload.ExecutorID
	// reserved is set if units that have reserved capacity wait for it.
	reserved bool
}

// requestAdvice requests a query for the first executors of a list on which advice is open, and reports whether there are any.
// needed is how many executors the unit needs at once.
func (f *Scheduler) requestAdvice(now time.Time, u *unit, executors []*executor, needed int) (open bool) {
	a := f.adviceFor(u)
	if a == nil {
		return false
	}
	var ids []workload.ExecutorID
	size := f.adviceBatchSize(u, needed)
	for _, e := range executors {
		id := e.info.ID
		if !f.isOpen(now, u, a, id) {
			continue
		}
		open = true
		if len(ids) < size && !now.Before(a.executors[id].askedAt.Add(adviceRetryDelay)) {
			ids = append(ids, id)
		}
	}
	f.addAdviceRequest(now, adviceRequest{unit: u, advice: a, executors: ids}, size)
	return open
}

// adviceBatchSize returns the number of executors to name in a query for a unit. It halves with each query without an answer:
// the service may take longer for each executor than the configuration says.
func (f *Scheduler) adviceBatchSize(u *unit, needed int) int {
	return max(1, f.policyOf(u.job).BatchSize(needed)>>f.adviceFailures[u.job.rec.Queue])
}

// addAdviceRequest adds a request to those of this planning pass. Requests of the same step are merged into one query of at most
// size executors.
func (f *Scheduler) addAdviceRequest(now time.Time, r adviceRequest, size int) {
	if len(r.executors) == 0 || f.adviceInFlight || now.Before(r.advice.retryAt) {
		return
	}
	if r.advice.waitsSince.IsZero() {
		r.advice.waitsSince = now
	}
	i := slices.IndexFunc(f.adviceRequests, func(other adviceRequest) bool { return other.advice == r.advice })
	if i < 0 {
		f.adviceRequests = append(f.adviceRequests, r)
		return
	}
	other := &f.adviceRequests[i]
	other.reserved = other.reserved || r.reserved
	for _, id := range r.executors {
		if len(other.executors) < size && !slices.Contains(other.executors, id) {
			other.executors = append(other.executors, id)
		}
	}
}

// sendAdviceQuery adds a query for one of the requests to the actions: of the queue whose turn it is, for units that have
// reserved capacity or, if there are none, for the step that has waited for longest. The service handles one query at a time, so
// that at most one is in flight.
func (f *Scheduler) sendAdviceQuery(now time.Time) {
	defer func() {
		clear(f.adviceRequests)
		f.adviceRequests = f.adviceRequests[:0]
	}()
	if f.adviceInFlight || len(f.adviceRequests) == 0 {
		return
	}
	rank := func(reserved bool) int {
		if reserved {
			return 0
		}
		return 1
	}
	r := slices.MinFunc(f.adviceRequests, func(a, b adviceRequest) int {
		return cmp.Or(
			cmp.Compare(f.adviceTurns.Start(a.unit.job.rec.Queue), f.adviceTurns.Start(b.unit.job.rec.Queue)),
			cmp.Compare(rank(a.reserved), rank(b.reserved)), a.advice.waitsSince.Compare(b.advice.waitsSince),
		)
	})
	for _, id := range r.executors {
		e := r.advice.executors[id]
		e.askedAt = now
		r.advice.executors[id] = e
	}
	queue := r.unit.job.rec.Queue
	takes := f.policyOf(r.unit.job).Duration(len(r.executors))
	f.adviceTurns.Take(queue, takes)
	r.advice.waitsSince = time.Time{}
	f.adviceInFlight = true
	f.count(CountAdviceQuery)
	f.actions = append(f.actions, AdviceQuery{
		Step: r.unit.task(0), Queue: queue, Executors: r.executors, Timeout: takes + adviceMargin<<min(f.adviceFailures[queue], adviceMarginDoublings),
	})
}

// requestVacatable requests advice on executors that a preemption for a unit could vacate, those with the least lost work
// first, and for a unit that needs a rack one rack after the other. It reports whether advice on any of them may be open.
func (f *Scheduler) requestVacatable(now time.Time, c *candidate, u *unit, usable []*executor) (open bool) {
	type option struct {
		e              *executor
		rank           int
		cost, rackCost float64
	}
	a := f.adviceFor(u)
	if f.adviceInFlight || now.Before(a.retryAt) {
		return true
	}
	step := u.spec()
	load := step.CapacityNeed()
	pool := f.route(u.job).Pool
	budgets := newStopBudgets(c.Class)
	var options []option
	rackCost := map[string]float64{}
	for _, e := range usable {
		if !f.isOpen(now, u, a, e.info.ID) || !e.matches(pool, step) || step.MaxPerExecutor > 0 && e.stepTaskCount(u) >= step.MaxPerExecutor {
			continue
		}
		_, cost, ok := f.selectVictims(now, c.Class, e, load.Sub(e.free().Add(e.endingLoad())), nil, budgets)
		if !ok {
			continue
		}
		o := option{e: e, cost: cost}
		if step.Rack != "" && e.rack != step.Rack {
			o.rank = 1
		}
		if least, known := rackCost[e.rack]; !known || cost < least {
			rackCost[e.rack] = cost
		}
		options = append(options, o)
	}
	if u.needsRack() {
		for i := range options {
			options[i].rackCost = rackCost[options[i].e.rack]
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		byRack := 0
		if u.needsRack() {
			byRack = cmp.Compare(a.e.rack, b.e.rack)
		}
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.rackCost, b.rackCost), byRack, cmp.Compare(a.cost, b.cost))
	})
	executors := make([]*executor, len(options))
	for i := range options {
		executors[i] = options[i].e
	}
	return f.requestAdvice(now, u, executors, executorsNeeded(u, executors))
}

// executorsNeeded returns how many of some executors, in their order, hold a unit if they are empty.
func executorsNeeded(u *unit, executors []*executor) int {
	left := u.size
	for i, e := range executors {
		if left -= max(1, capacityFor(u.spec(), e.info.Capacity)); left <= 0 {
			return i + 1
		}
	}
	return len(executors)
}

// findAdvised returns a placement, on some of the executors on which it fits, of a unit whose queue needs advice. The placement may
// need new tickets. If there is none, it requests advice on the other executors and returns nil.
func (f *Scheduler) findAdvised(now time.Time, u *unit, usable []*executor, fit []fitOption, a *advice) ([]*executor, string) {
	u.adviceOpen = false
	withTicket := slices.DeleteFunc(slices.Clone(fit), func(option fitOption) bool { return !a.hasTicket(now, option.executor.info.ID) })
	if placement, reason := f.choosePlacement(now, u, usable, withTicket); placement != nil {
		return placement, reason
	}
	permitted := slices.DeleteFunc(slices.Clone(fit), func(option fitOption) bool { return !f.mayReserve(now, u, a, option.executor.info.ID) })
	if placement, reason := f.choosePlacement(now, u, usable, permitted); placement != nil {
		return placement, reason
	}
	free := make([]*executor, len(fit))
	for i := range fit {
		free[i] = fit[i].executor
	}
	u.adviceOpen = f.requestAdvice(now, u, free, executorsNeeded(u, free))
	return nil, ""
}

// ticketState says whether a reserved unit may start with its tickets.
type ticketState uint8

const (
	// ticketsUsable means that all executors of the unit have usable tickets.
	ticketsUsable ticketState = iota
	// ticketsAwaited means that new tickets are needed, and may be issued.
	ticketsAwaited
	// ticketsDenied means that an executor of the unit may not run it.
	ticketsDenied
)

// checkTickets reports whether all executors of a reserved unit have a usable ticket, and requests those that are missing together with
// those that would expire meanwhile.
func (f *Scheduler) checkTickets(now time.Time, u *unit) ticketState {
	a := f.adviceFor(u)
	if a == nil {
		return ticketsUsable
	}
	state := ticketsUsable
	for _, r := range u.taskRuns {
		switch id := r.executor.info.ID; {
		case a.hasTicket(now, id):
		case a.denies(id):
			return ticketsDenied
		default:
			state = ticketsAwaited
		}
	}
	if state == ticketsUsable {
		return state
	}
	lasts := now.Add(f.policyOf(u.job).Duration(min(len(u.taskRuns), policy.MaxExecutors)) + minTicketValidity)
	var ids []workload.ExecutorID
	for _, r := range u.taskRuns {
		id := r.executor.info.ID
		if e := a.executors[id]; !e.usableUntil.After(lasts) && !now.Before(e.askedAt.Add(adviceRetryDelay)) && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	f.addAdviceRequest(now, adviceRequest{unit: u, advice: a, executors: ids[:min(len(ids), policy.MaxExecutors)], reserved: true}, policy.MaxExecutors)
	return state
}

// ticketTime returns how long a reservation of a unit may wait for tickets: for its own query and for one of another queue before it.
func (f *Scheduler) ticketTime(u *unit) time.Duration {
	if f.adviceFor(u) == nil {
		return 0
	}
	longest := time.Duration(0)
	for i := range f.config.Routes {
		if r := &f.config.Routes[i]; r.Advised {
			p := policyOf(r)
			longest = max(longest, p.Duration(p.BatchSize(1)))
		}
	}
	return longest + f.policyOf(u.job).Duration(min(u.size, policy.MaxExecutors)) + adviceMargin
}

// AdviceReceived applies an answer of the advisory service: the tickets of the executors that may run the step, and the
// duration of their validity. ok is false if there was no answer.
func (f *Scheduler) AdviceReceived(now time.Time, query AdviceQuery, tickets map[workload.ExecutorID]string, valid time.Duration, ok bool) {
	f.adviceInFlight = false
	if ok {
		delete(f.adviceFailures, query.Queue)
	} else {
		f.adviceFailures[query.Queue]++
	}
	j := f.jobs[query.Step.Job]
	if j == nil {
		return
	}
	a := j.advice[stepKey{j, query.Step.Occurrence, query.Step.Step}]
	if a == nil {
		return
	}
	if !ok {
		a.retryAt = now.Add(adviceRetryDelay)
		return
	}
	if valid <= 0 {
		valid = f.route(j).TicketValid
	}
	for _, id := range query.Executors {
		e := advised{answered: true, askedAt: a.executors[id].askedAt}
		if e.ticket, e.permitted = tickets[id]; e.permitted {
			e.usableUntil = now.Add(valid - min(minTicketValidity, valid/2))
		}
		a.executors[id] = e
	}
}

// ticketFor returns the ticket for a start, or "".
func (f *Scheduler) ticketFor(u *unit, id workload.ExecutorID) string {
	if a := f.adviceFor(u); a != nil {
		return a.executors[id].ticket
	}
	return ""
}

// dropTicket removes a ticket that an executor refused, so that the service is queried again without delay.
func (f *Scheduler) dropTicket(u *unit, id workload.ExecutorID) {
	f.count(CountTicketRefused)
	if a := f.adviceFor(u); a != nil {
		delete(a.executors, id)
	}
}

// dropAdvice removes the advice for a step that is done.
func (j *job) dropAdvice(occurrence, step int) {
	delete(j.advice, stepKey{j, occurrence, step})
}

// dropTickets removes the advice on an executor that restarted, whose tickets are void.
func (f *Scheduler) dropTickets(id workload.ExecutorID) {
	for _, j := range f.openJobs {
		for _, a := range j.advice {
			delete(a.executors, id)
		}
	}
}
