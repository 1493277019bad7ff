package fleet

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// adviceBatchSize is the largest number of executors in one query. The service accepts at most 100, and its response
	// time grows with their number.
	adviceBatchSize = 30
	// adviceRetryDelay is the shortest time between two queries for the same step.
	adviceRetryDelay = 300 * time.Millisecond
	// minTicketValidity is the remaining validity that a ticket needs for a start.
	minTicketValidity = 300 * time.Millisecond
)

// advice is the set of answers of the advisory service for a step.
type advice struct {
	tickets map[workload.ExecutorID]ticket
	// answered holds the executors of answered queries; those without a ticket may not run the step.
	answered    map[workload.ExecutorID]bool
	lastQueryAt time.Time
}

type ticket struct {
	value     string
	expiresAt time.Time
}

// adviceFor returns the advice for a unit's step, empty at first, or nil if its queue needs none.
func (f *Scheduler) adviceFor(u *unit) *advice {
	if !f.route(u.job).Advised {
		return nil
	}
	key := stepKey{u.job, u.occurrence, u.step}
	a := f.advice[key]
	if a == nil {
		a = &advice{tickets: map[workload.ExecutorID]ticket{}, answered: map[workload.ExecutorID]bool{}}
		f.advice[key] = a
	}
	return a
}

// permits reports whether an executor may run the step now. Nil advice permits every executor.
func (a *advice) permits(now time.Time, id workload.ExecutorID) bool {
	return a == nil || a.tickets[id].expiresAt.After(now.Add(minTicketValidity))
}

// queryAdvice adds a query for the executors of fit whose advice is unknown or whose ticket has expired. The service
// handles one call at a time, so that the scheduler keeps at most one query in flight.
func (f *Scheduler) queryAdvice(now time.Time, u *unit, fit []fitOption) {
	a := f.adviceFor(u)
	if a == nil || f.adviceInFlight || now.Before(a.lastQueryAt.Add(adviceRetryDelay)) {
		return
	}
	var executors []workload.ExecutorID
	for _, s := range fit {
		id := s.executor.info.ID
		_, hadTicket := a.tickets[id]
		if a.permits(now, id) || a.answered[id] && !hadTicket {
			continue
		}
		if executors = append(executors, id); len(executors) == adviceBatchSize {
			break
		}
	}
	if len(executors) == 0 {
		return
	}
	f.adviceInFlight, a.lastQueryAt = true, now
	f.count(CountAdviceQuery)
	f.actions = append(f.actions, AdviceQuery{Step: u.task(0), Executors: executors})
}

// AdviceReceived applies an answer of the advisory service: the tickets of the executors that may run the step, and the
// duration of their validity. ok is false if there was no answer.
func (f *Scheduler) AdviceReceived(now time.Time, query AdviceQuery, tickets map[workload.ExecutorID]string, valid time.Duration, ok bool) {
	f.adviceInFlight = false
	j := f.jobs[query.Step.Job]
	if j == nil || !ok {
		return
	}
	a := f.advice[stepKey{j, query.Step.Occurrence, query.Step.Step}]
	if a == nil {
		return
	}
	for _, id := range query.Executors {
		a.answered[id] = true
		delete(a.tickets, id)
	}
	for id, value := range tickets {
		a.tickets[id] = ticket{value, now.Add(valid)}
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
		a.lastQueryAt = time.Time{}
	}
}

// dropAdvice removes the advice for a job that has ended, or the advice on an executor that restarted, whose tickets
// are void. Either j is nil or id is empty.
func (f *Scheduler) dropAdvice(j *job, id workload.ExecutorID) {
	for key, a := range f.advice {
		if key.job == j {
			delete(f.advice, key)
		} else if id != "" {
			delete(a.tickets, id)
			delete(a.answered, id)
		}
	}
}
