package fleet

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// adviceBatch is the number of executors of one question; the service takes at most 100 and its time grows with them.
	adviceBatch = 30
	// adviceRetry is the delay before a question without an answer is repeated.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is the validity that a ticket must have left for a start.
	ticketMargin = 300 * time.Millisecond
)

// advice is what the advisory service has said of a step.
type advice struct {
	tickets map[workload.ExecutorID]ticket
	// asked holds the executors of answered questions; those without a ticket may not run the step.
	asked map[workload.ExecutorID]bool
	// askedAt is the time of the last question.
	askedAt time.Time
}

type ticket struct {
	value string
	until time.Time
}

// adviceOf returns the advice of a unit's step, or nil if its queue needs none.
func (f *Scheduler) adviceOf(u *unit) *advice {
	if !f.route(u.job).Advised {
		return nil
	}
	key := stepKey{u.job, u.occurrence, u.step}
	a := f.advice[key]
	if a == nil {
		a = &advice{tickets: map[workload.ExecutorID]ticket{}, asked: map[workload.ExecutorID]bool{}}
		f.advice[key] = a
	}
	return a
}

// permits reports whether an executor may run the step now.
func (a *advice) permits(now time.Time, id workload.ExecutorID) bool {
	return a == nil || a.tickets[id].until.After(now.Add(ticketMargin))
}

// ask asks for advice on executors that have room and of which nothing is known, or whose ticket has expired. The service
// handles one call at a time, so that the scheduler has one question under way.
func (f *Scheduler) ask(now time.Time, u *unit, fit []slot) {
	a := f.adviceOf(u)
	if a == nil || f.asking || now.Before(a.askedAt.Add(adviceRetry)) {
		return
	}
	var workers []workload.ExecutorID
	for _, s := range fit {
		id := s.e.info.ID
		_, had := a.tickets[id]
		if a.permits(now, id) || a.asked[id] && !had {
			continue
		}
		if workers = append(workers, id); len(workers) == adviceBatch {
			break
		}
	}
	if len(workers) == 0 {
		return
	}
	f.asking, a.askedAt = true, now
	f.count(CountAdvise)
	f.orders = append(f.orders, Advise{Step: u.task(0), Workers: workers})
}

// Advised applies an answer of the advisory service: the tickets of the executors that may run the step, and how long
// they are valid. ok is false if there was no answer.
func (f *Scheduler) Advised(now time.Time, q Advise, tickets map[workload.ExecutorID]string, valid time.Duration, ok bool) {
	f.asking = false
	j := f.jobs[q.Step.Job]
	if j == nil || !ok {
		return
	}
	a := f.advice[stepKey{j, q.Step.Occurrence, q.Step.Step}]
	if a == nil {
		return
	}
	for _, id := range q.Workers {
		a.asked[id] = true
		delete(a.tickets, id)
	}
	for id, value := range tickets {
		a.tickets[id] = ticket{value, now.Add(valid)}
	}
}

// ticketFor returns the ticket for a start, or "".
func (f *Scheduler) ticketFor(u *unit, id workload.ExecutorID) string {
	if a := f.adviceOf(u); a != nil {
		return a.tickets[id].value
	}
	return ""
}

// dropTicket forgets a ticket that an executor refused, so that it is asked for again.
func (f *Scheduler) dropTicket(u *unit, id workload.ExecutorID) {
	f.count(CountTicketRefused)
	if a := f.adviceOf(u); a != nil {
		delete(a.tickets, id)
		delete(a.asked, id)
		a.askedAt = time.Time{}
	}
}

// dropAdvice forgets the advice of a job that has ended, and that of an executor that began a new life, whose tickets are
// void.
func (f *Scheduler) dropAdvice(j *job, id workload.ExecutorID) {
	for key, a := range f.advice {
		if key.job == j {
			delete(f.advice, key)
		} else if id != "" {
			delete(a.tickets, id)
			delete(a.asked, id)
		}
	}
}
