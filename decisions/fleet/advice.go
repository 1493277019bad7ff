package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// adviceBatchSize is the largest number of executors in one query. The service accepts at most 100, and its response
	// time grows with their number.
	adviceBatchSize = 30
	// adviceRetryDelay is the shortest time between two queries for a step that name the same executor, and after a query
	// without an answer.
	adviceRetryDelay = 300 * time.Millisecond
	// minTicketValidity is the remaining validity that a ticket needs for a start, but at most half of its whole validity.
	minTicketValidity = 300 * time.Millisecond
	// maxAdviceWait is how long a unit that may preempt others waits for advice on better executors: free ones, or more of
	// a rack. Capacity that becomes free all the time would otherwise keep it from what it may reclaim.
	maxAdviceWait = time.Second
)

// advice is the set of answers of the advisory service for a step.
type advice struct {
	tickets map[workload.ExecutorID]ticket
	// answered holds the executors of answered queries; those without a ticket may not run the step.
	answered map[workload.ExecutorID]bool
	// askedAt is when the last query named an executor.
	askedAt map[workload.ExecutorID]time.Time
	// retryAt is when the next query may be sent after one without an answer.
	retryAt time.Time
}

type ticket struct {
	value string
	// usableUntil is when the ticket has less than its minimum validity left.
	usableUntil time.Time
}

// adviceFor returns the advice for a unit's step, empty at first, or nil if its queue needs none.
func (f *Scheduler) adviceFor(u *unit) *advice {
	if !f.route(u.job).Advised {
		return nil
	}
	key := stepKey{u.job, u.occurrence, u.step}
	a := u.job.advice[key]
	if a == nil {
		a = &advice{tickets: map[workload.ExecutorID]ticket{}, answered: map[workload.ExecutorID]bool{}, askedAt: map[workload.ExecutorID]time.Time{}}
		if u.job.advice == nil {
			u.job.advice = map[stepKey]*advice{}
		}
		u.job.advice[key] = a
	}
	return a
}

// permits reports whether an executor may run the step now. Nil advice permits every executor.
func (a *advice) permits(now time.Time, id workload.ExecutorID) bool {
	return a == nil || a.tickets[id].usableUntil.After(now)
}

// isOpen reports whether it is not known now whether an executor may run the step: it was never asked about, or its ticket
// has expired.
func (a *advice) isOpen(now time.Time, id workload.ExecutorID) bool {
	_, hadTicket := a.tickets[id]
	return !a.permits(now, id) && (hadTicket || !a.answered[id])
}

// queryAdvice adds a query for the first executors of a list on which advice is open, and reports whether there are any. The
// service handles one call at a time, so that the scheduler keeps at most one query in flight.
func (f *Scheduler) queryAdvice(now time.Time, u *unit, executors []*executor) (open bool) {
	a := f.adviceFor(u)
	if a == nil {
		return false
	}
	var ids []workload.ExecutorID
	for _, e := range executors {
		id := e.info.ID
		if !a.isOpen(now, id) {
			continue
		}
		open = true
		if asked, known := a.askedAt[id]; known && now.Before(asked.Add(adviceRetryDelay)) {
			continue
		}
		if ids = append(ids, id); len(ids) == adviceBatchSize {
			break
		}
	}
	if len(ids) == 0 || f.adviceInFlight || now.Before(a.retryAt) {
		return open
	}
	for _, id := range ids {
		a.askedAt[id] = now
	}
	f.adviceInFlight = true
	f.count(CountAdviceQuery)
	f.actions = append(f.actions, AdviceQuery{Step: u.task(0), Executors: ids})
	return open
}

// queryVacatable asks for advice on executors that a preemption for a unit could vacate, those with the least lost work
// first, and for a unit that needs a rack one rack after the other. It reports whether advice on any of them may be open.
func (f *Scheduler) queryVacatable(now time.Time, c *candidate, u *unit, usable []*executor) (open bool) {
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
		if !a.isOpen(now, e.info.ID) || !e.matches(pool, step) || step.MaxPerExecutor > 0 && e.stepTaskCount(u) >= step.MaxPerExecutor {
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
	return f.queryAdvice(now, u, executors)
}

// renewTickets reports whether all executors of a reserved unit have a usable ticket, and asks for those that are missing.
func (f *Scheduler) renewTickets(now time.Time, u *unit) bool {
	if f.adviceFor(u) == nil {
		return true
	}
	executors := make([]*executor, len(u.taskRuns))
	for i, r := range u.taskRuns {
		executors[i] = r.executor
	}
	return !f.queryAdvice(now, u, executors)
}

// AdviceReceived applies an answer of the advisory service: the tickets of the executors that may run the step, and the
// duration of their validity. ok is false if there was no answer.
func (f *Scheduler) AdviceReceived(now time.Time, query AdviceQuery, tickets map[workload.ExecutorID]string, valid time.Duration, ok bool) {
	f.adviceInFlight = false
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
	for _, id := range query.Executors {
		a.answered[id] = true
		delete(a.tickets, id)
	}
	for id, value := range tickets {
		a.tickets[id] = ticket{value, now.Add(valid - min(minTicketValidity, valid/2))}
	}
}

// ticketFor returns the ticket for a start, or "".
func (f *Scheduler) ticketFor(u *unit, id workload.ExecutorID) string {
	if a := f.adviceFor(u); a != nil {
		return a.tickets[id].value
	}
	return ""
}

// dropTicket removes a ticket that an executor refused, so that the service is queried again without delay.
func (f *Scheduler) dropTicket(u *unit, id workload.ExecutorID) {
	f.count(CountTicketRefused)
	if a := f.adviceFor(u); a != nil {
		delete(a.tickets, id)
		delete(a.answered, id)
		delete(a.askedAt, id)
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
			delete(a.tickets, id)
			delete(a.answered, id)
			delete(a.askedAt, id)
		}
	}
}
