package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/ledger"
	"github.com/verbenaflow/verbenaflow/decisions/retry"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// answerMargin is the largest part of the deadline that is kept for the way back of the answer.
	answerMargin = 50 * time.Millisecond
	// marginShare is the divisor of the remaining time that gives the margin.
	marginShare = 20
	// expireGrace is the time after the deadline in which an attempt still reports its end.
	expireGrace = 20 * time.Millisecond
)

// Events that are counted: billed payload bytes in each direction.
const (
	eventCrossRegionOut = "cross_region_bytes_out"
	eventCrossRegionIn  = "cross_region_bytes_in"
)

// work is a request in progress.
type work struct {
	record  ledger.Record
	request model.Request
	waiters []kernel.Envelope
	// intended is true once the intent is durable; sending while an attempt is out.
	intended bool
	sending  bool
	attempt  int
	avoid    []model.ExecutorID
	// domain runs the next attempt; empty is the own one. tried lists those that had no room.
	domain model.FailureDomain
	tried  []model.FailureDomain
	// maybe is true if an attempt may have run without proof.
	maybe bool
	// ran is true if an attempt ran and failed; a repeatable request may then have further attempts.
	ran bool
	// cause is the failure of the last attempt of which bytes may have been sent. It explains the outcome; the
	// refusal of a later attempt would permit another VM to run the request again.
	cause *failure.Error
	took  time.Duration
}

type (
	retryDue  struct{ w *work }
	expireDue struct{ w *work }
)

// Kind implements kernel.Message.
func (retryDue) Kind() string { return "attempt_due" }

// Kind implements kernel.Message.
func (expireDue) Kind() string { return "request_expired" }

func (s *Service) current(w *work) bool { return s.work[w.record.ID] == w }

// send decides on a request of a caller.
func (s *Service) send(c *kernel.Context, e kernel.Envelope, m message.RequestSend) {
	if m.Ticket != nil {
		m.Request.ID = model.RequestID(m.Ticket.String())
	}
	d := s.ledger.Begin(m.Request.ID, m.Ticket, ledger.Fingerprint(m.Request), time.Now())
	switch d.Verdict {
	case ledger.Refuse:
		e.Fail(s.metrics.CountRefusal(d.Failure))
	case ledger.Answer:
		s.answer(e, d.Record)
	case ledger.Join:
		if w, ok := s.work[m.Request.ID]; ok {
			w.waiters = append(w.waiters, e)
			return
		}
		e.Fail(s.metrics.CountRefusal(failure.New(failure.TicketSpent, "the request is in progress")))
	case ledger.Wait:
		s.park(e, m)
	case ledger.Start:
		s.begin(c, e, m.Request, d.Record)
	}
}

func (s *Service) park(e kernel.Envelope, m message.RequestSend) {
	if len(s.parked) >= maxParked {
		f := failure.New(failure.Overloaded, "%d requests wait for earlier records", maxParked)
		e.Fail(s.metrics.CountRefusal(f.WithOutcome(failure.Unknown)))
		return
	}
	s.parked = append(s.parked, parked{e, m})
}

func (s *Service) begin(c *kernel.Context, e kernel.Envelope, r model.Request, rec ledger.Record) {
	now := time.Now()
	r.Deadline = r.Deadline.Add(-min(answerMargin, r.Deadline.Sub(now)/marginShare))
	w := &work{record: rec, request: r, waiters: []kernel.Envelope{e}}
	if f := s.admit(r, now); f != nil {
		s.conclude(c, w, s.refused(w, f), nil, f)
		return
	}
	s.work[rec.ID] = w
	s.budget.RecordRequest()
	c.After(max(0, r.Deadline.Sub(now))+expireGrace, expireDue{w})
	if r.Repeatable {
		s.run(c, w)
		return
	}
	s.save(c, rec, func(f *failure.Error) { s.intended(c, w, f) })
}

func (s *Service) admit(r model.Request, now time.Time) *failure.Error {
	switch {
	case s.leaving:
		return drainingFailure()
	case !now.Before(r.Deadline):
		return failure.New(failure.DeadlineExceeded, "the deadline has passed").WithOutcome(failure.NotRun)
	}
	return s.limits.Admit(r.Account, s.slots, r.Deadline, now)
}

// refused returns the outcome of a request that this holder did not send. While the store is unavailable a
// later holder may have run the same key.
func (s *Service) refused(w *work, f *failure.Error) failure.Outcome {
	if w.record.Key && (s.journal.outage || s.journal.fenced || f.Reason == failure.IntentFenced || f.Reason == failure.NotHolder) {
		return failure.Unknown
	}
	return failure.NotRun
}

// intended continues once the intent is durable, or ends the request without sending it.
func (s *Service) intended(c *kernel.Context, w *work, f *failure.Error) {
	if !s.current(w) {
		return
	}
	if f != nil {
		if f.Reason != failure.IntentFenced && f.Reason != failure.NotHolder {
			f = failure.New(failure.IntentNotRecorded, "%s", f.Detail)
		}
		s.conclude(c, w, s.refused(w, f), nil, f)
		return
	}
	w.intended = true
	s.run(c, w)
}

// run makes one attempt in the own failure domain or in another one.
func (s *Service) run(c *kernel.Context, w *work) {
	if !time.Now().Before(w.request.Deadline) {
		s.conclude(c, w, s.unproven(w), nil, failure.New(failure.DeadlineExceeded, "no executor in time"))
		return
	}
	w.attempt++
	w.sending = true
	a := message.Attempt{Request: w.request, Attempt: w.attempt, Avoid: w.avoid}
	done := func(m kernel.Message, err error) { s.attempted(c, w, m, err) }
	if w.domain == "" {
		c.Request(names.Executors, a, done)
		return
	}
	if s.regionOf(w.domain) != s.region {
		s.metrics.CountEvent(eventCrossRegionOut, int64(len(w.request.Payload)))
	}
	c.Request(names.Peers, message.Forward{Domain: w.domain, To: names.Executors, Body: a, Deadline: w.request.Deadline}, done)
}

// attempted takes the end of an attempt.
func (s *Service) attempted(c *kernel.Context, w *work, m kernel.Message, err error) {
	if !s.current(w) {
		return
	}
	w.sending = false
	done, ok := m.(message.AttemptDone)
	if !ok || err != nil {
		done = lostAttempt(err)
	}
	if w.domain != "" && s.regionOf(w.domain) != s.region {
		s.metrics.CountEvent(eventCrossRegionIn, int64(len(done.Response.Body)))
	}
	w.took = done.Took
	w.maybe = w.maybe || done.Sent && !done.Ran
	w.ran = w.ran || done.Ran
	if done.Sent && done.Failure != nil {
		w.cause = done.Failure
	}
	switch {
	case done.Failure == nil && done.Ran:
		s.conclude(c, w, failure.Run, done.Response.Body, nil)
	case done.Failure == nil:
		s.conclude(c, w, failure.Unknown, nil, failure.New(failure.ResponseInvalid, "the attempt has no result"))
	case !done.Sent, w.request.Repeatable:
		s.next(c, w, done)
	case done.Ran:
		s.conclude(c, w, failure.Run, nil, done.Failure)
	default:
		s.conclude(c, w, failure.Unknown, nil, done.Failure)
	}
}

// lostAttempt describes an attempt that reported an error instead of its end. Messages that the kernel
// refused were not processed.
func lostAttempt(err error) message.AttemptDone {
	var full *kernel.MailboxFullError
	var many *kernel.TooManyRequestsError
	var unknown *kernel.UnknownServiceError
	var stopped *kernel.StoppedError
	switch {
	case errors.As(err, &full), errors.As(err, &many):
		return message.AttemptDone{Failure: failure.New(failure.Overloaded, "%v", err)}
	case errors.As(err, &unknown), errors.As(err, &stopped):
		return message.AttemptDone{Failure: failure.New(failure.NoExecutor, "%v", err)}
	}
	f := failure.From(err)
	return message.AttemptDone{Sent: f.Outcome != failure.NotRun, Failure: f}
}

// next repeats an attempt elsewhere within the budget and the deadline, or ends the request.
func (s *Service) next(c *kernel.Context, w *work, done message.AttemptDone) {
	if done.Executor != "" {
		w.avoid = append(w.avoid, done.Executor)
	}
	noRoom := !done.Sent && done.Executor == ""
	if noRoom {
		w.tried = append(w.tried, w.domain)
		w.domain = s.nextDomain(w)
	}
	delay := retry.Delay(w.attempt, s.random)
	if noRoom && w.domain == "" || time.Until(w.request.Deadline) <= delay || !s.budget.TryRetry() {
		s.conclude(c, w, s.unproven(w), nil, cmp.Or(w.cause, done.Failure))
		return
	}
	s.metrics.CountRetry(retryReason(done.Failure.Reason))
	c.After(delay, retryDue{w})
}

func (s *Service) attemptAgain(c *kernel.Context, m retryDue) {
	if s.current(m.w) {
		s.run(c, m.w)
	}
}

// unproven returns the outcome of a request without a successful answer.
func (s *Service) unproven(w *work) failure.Outcome {
	switch {
	case w.ran:
		return failure.Run
	case w.maybe:
		return failure.Unknown
	}
	return failure.NotRun
}

func retryReason(r failure.Reason) failure.RetryReason {
	switch r {
	case failure.ExecutorBusy:
		return failure.RetryExecutorBusy
	case failure.ExecutorLost, failure.HomeUnreachable, failure.DeadlineExceeded:
		return failure.RetryExecutorLost
	case failure.ExecutorFailed:
		return failure.RetryExecutorFailed
	case failure.ResponseInvalid:
		return failure.RetryResponseInvalid
	default:
		return failure.RetryNoExecutor
	}
}

// nextDomain returns the next failure domain to try: those of the own region first, then the others by
// name; "" if none is left.
func (s *Service) nextDomain(w *work) model.FailureDomain {
	var best model.Member
	for _, m := range s.members {
		if m.Domain == s.domain || slices.Contains(w.tried, m.Domain) {
			continue
		}
		near, bestNear := m.Region == s.region, best.Region == s.region
		if best.Domain == "" || near && !bestNear || near == bestNear && m.Domain < best.Domain {
			best = m
		}
	}
	return best.Domain
}

func (s *Service) regionOf(d model.FailureDomain) model.Region {
	for _, m := range s.members {
		if m.Domain == d {
			return m.Region
		}
	}
	return ""
}

// expire ends a request whose attempt did not report in time.
func (s *Service) expire(c *kernel.Context, m expireDue) {
	w := m.w
	if !s.current(w) {
		return
	}
	w.maybe = w.maybe || w.sending
	s.conclude(c, w, s.unproven(w), nil, failure.New(failure.DeadlineExceeded, "no answer before the deadline"))
}

// conclude ends a request once and answers all callers that wait for it.
func (s *Service) conclude(c *kernel.Context, w *work, o failure.Outcome, body []byte, f *failure.Error) {
	if s.current(w) {
		delete(s.work, w.record.ID)
		s.limits.Done(w.request.Account, w.took)
	}
	rec, known := s.ledger.Finish(w.record, o, body, f, time.Now())
	if known && w.intended {
		s.save(c, rec, nil)
	}
	for _, e := range w.waiters {
		if f != nil {
			e.Fail(s.metrics.CountRefusal(f.WithOutcome(o)))
			continue
		}
		e.Reply(message.RequestReply{Request: w.record.ID, Outcome: o, Body: body})
	}
	s.checkDrained(c)
}
