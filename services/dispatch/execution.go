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
	// maxReplyMargin bounds the time by which the deadline of an execution precedes the caller's deadline, so that the
	// answer arrives in time.
	maxReplyMargin = 50 * time.Millisecond
	// replyMarginDivisor divides the remaining time of a request to give its margin.
	replyMarginDivisor = 20
	// expireGrace is the time after the deadline of an execution during which its attempt can still report its end.
	expireGrace = 20 * time.Millisecond
)

// Events that count the payload bytes sent to and received from other regions, which are billed.
const (
	eventCrossRegionOut = "cross_region_bytes_out"
	eventCrossRegionIn  = "cross_region_bytes_in"
)

// execution is a request in progress. It consists of one or more attempts.
type execution struct {
	record  ledger.Record
	request model.Request
	waiters []kernel.Envelope
	// intentDurable is true once the record of the intent to run the request is durable. A repeatable request has none.
	intentDurable   bool
	attemptInFlight bool
	attempt         int
	avoid           []model.ExecutorID
	// domain is the failure domain of the next attempt; empty means the own one. triedDomains lists the failure domains
	// in which no executor had a free slot.
	domain       model.FailureDomain
	triedDomains []model.FailureDomain
	// mayHaveRun is true if an attempt was sent and it is not known whether it ran.
	mayHaveRun bool
	// hasRun is true if an attempt is known to have run. A repeatable request may have further attempts after one that
	// ran and failed.
	hasRun bool
	// lastSentFailure is the failure of the last attempt of which bytes may have been sent. It is reported to the caller
	// in place of the refusal of a later attempt, which would permit another VM to run the request again.
	lastSentFailure *failure.Error
	lastDuration    time.Duration
}

type (
	retryDue  struct{ x *execution }
	expireDue struct{ x *execution }
)

// Kind implements kernel.Message.
func (retryDue) Kind() string { return "attempt_due" }

// Kind implements kernel.Message.
func (expireDue) Kind() string { return "request_expired" }

func (s *Service) isActive(x *execution) bool { return s.executions[x.record.ID] == x }

// handleSend starts a request, joins it to its execution in progress, defers it, or answers it from the ledger.
func (s *Service) handleSend(c *kernel.Context, e kernel.Envelope, m message.RequestSend) {
	if m.Ticket != nil {
		m.Request.ID = model.RequestID(m.Ticket.String())
	}
	d := s.ledger.Begin(m.Request.ID, m.Ticket, ledger.Fingerprint(m.Request), time.Now())
	switch d.Verdict {
	case ledger.Refuse:
		e.Fail(s.metrics.CountRefusal(d.Failure))
	case ledger.Answer:
		s.replyOutcome(e, d.Record)
	case ledger.Join:
		if x, ok := s.executions[m.Request.ID]; ok {
			x.waiters = append(x.waiters, e)
			return
		}
		e.Fail(s.metrics.CountRefusal(failure.New(failure.TicketSpent, "the request is in progress")))
	case ledger.Wait:
		s.deferRequest(e, m)
	case ledger.Start:
		s.startExecution(c, e, m.Request, d.Record)
	}
}

func (s *Service) deferRequest(e kernel.Envelope, m message.RequestSend) {
	if len(s.deferred) >= maxDeferred {
		f := failure.New(failure.Overloaded, "%d requests wait for earlier records", maxDeferred)
		e.Fail(s.metrics.CountRefusal(f.WithOutcome(failure.Unknown)))
		return
	}
	s.deferred = append(s.deferred, deferredRequest{e, m})
}

func (s *Service) startExecution(c *kernel.Context, e kernel.Envelope, r model.Request, rec ledger.Record) {
	now := time.Now()
	r.Deadline = r.Deadline.Add(-min(maxReplyMargin, r.Deadline.Sub(now)/replyMarginDivisor))
	x := &execution{record: rec, request: r, waiters: []kernel.Envelope{e}}
	if f := s.admit(r, now); f != nil {
		s.finishExecution(c, x, s.refusalOutcome(x, f), nil, f)
		return
	}
	s.executions[rec.ID] = x
	s.retryBudget.RecordRequest()
	c.SendAfter(max(0, r.Deadline.Sub(now))+expireGrace, expireDue{x})
	if r.Repeatable {
		s.startAttempt(c, x)
		return
	}
	s.save(c, rec, func(f *failure.Error) { s.intentSaved(c, x, f) })
}

func (s *Service) admit(r model.Request, now time.Time) *failure.Error {
	switch {
	case s.leaving:
		return drainingFailure()
	case !now.Before(r.Deadline):
		return failure.New(failure.DeadlineExceeded, "the deadline has passed").WithOutcome(failure.NotRun)
	}
	return s.limiter.Admit(r.Account, s.executorSlots, r.Deadline, now)
}

// refusalOutcome returns the outcome of a request that this holder did not send. The outcome of a key is unknown while
// the store is unavailable or if the holder has changed, because a later holder may have run the same key.
func (s *Service) refusalOutcome(x *execution, f *failure.Error) failure.Outcome {
	if x.record.Key && (s.journal.outage || s.journal.fenced || f.Reason == failure.IntentFenced || f.Reason == failure.NotHolder) {
		return failure.Unknown
	}
	return failure.NotRun
}

// intentSaved starts the first attempt once the intent is durable, or ends the request without sending it.
func (s *Service) intentSaved(c *kernel.Context, x *execution, f *failure.Error) {
	if !s.isActive(x) {
		return
	}
	if f != nil {
		if f.Reason != failure.IntentFenced && f.Reason != failure.NotHolder {
			f = failure.New(failure.IntentNotRecorded, "%s", f.Detail)
		}
		s.finishExecution(c, x, s.refusalOutcome(x, f), nil, f)
		return
	}
	x.intentDurable = true
	s.startAttempt(c, x)
}

// startAttempt starts an attempt in the failure domain that was chosen for it.
func (s *Service) startAttempt(c *kernel.Context, x *execution) {
	if !time.Now().Before(x.request.Deadline) {
		s.finishExecution(c, x, s.failedOutcome(x), nil, failure.New(failure.DeadlineExceeded, "no executor in time"))
		return
	}
	x.attempt++
	x.attemptInFlight = true
	a := message.Attempt{Request: x.request, Attempt: x.attempt, Avoid: x.avoid}
	done := func(m kernel.Message, err error) { s.finishAttempt(c, x, m, err) }
	if x.domain == "" {
		c.Request(names.Executors, a, done)
		return
	}
	if s.regionOf(x.domain) != s.region {
		s.metrics.CountEvent(eventCrossRegionOut, int64(len(x.request.Payload)))
	}
	c.Request(names.Peers, message.Forward{Domain: x.domain, To: names.Executors, Body: a, Deadline: x.request.Deadline}, done)
}

// finishAttempt applies the result of an attempt: it ends the request or retries it.
func (s *Service) finishAttempt(c *kernel.Context, x *execution, m kernel.Message, err error) {
	if !s.isActive(x) {
		return
	}
	x.attemptInFlight = false
	done, ok := m.(message.AttemptDone)
	if !ok || err != nil {
		done = attemptFromError(err)
	}
	if x.domain != "" && s.regionOf(x.domain) != s.region {
		s.metrics.CountEvent(eventCrossRegionIn, int64(len(done.Response.Body)))
	}
	x.lastDuration = done.Took
	x.mayHaveRun = x.mayHaveRun || done.Sent && !done.Ran
	x.hasRun = x.hasRun || done.Ran
	if done.Sent && done.Failure != nil {
		x.lastSentFailure = done.Failure
	}
	switch {
	case done.Failure == nil && done.Ran:
		s.finishExecution(c, x, failure.Run, done.Response.Body, nil)
	case done.Failure == nil:
		s.finishExecution(c, x, failure.Unknown, nil, failure.New(failure.ResponseInvalid, "the attempt has no result"))
	case !done.Sent, x.request.Repeatable:
		s.retryOrFinish(c, x, done)
	case done.Ran:
		s.finishExecution(c, x, failure.Run, nil, done.Failure)
	default:
		s.finishExecution(c, x, failure.Unknown, nil, done.Failure)
	}
}

// attemptFromError returns the result of an attempt whose message failed. A message that the kernel refused was not
// processed, so that nothing was sent to an executor.
func attemptFromError(err error) message.AttemptDone {
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

// retryOrFinish schedules another attempt that avoids the executor or failure domain of the last one. It ends the
// request if the retry budget or the deadline does not permit another attempt, or if no failure domain is left.
func (s *Service) retryOrFinish(c *kernel.Context, x *execution, done message.AttemptDone) {
	if done.Executor != "" {
		x.avoid = append(x.avoid, done.Executor)
	}
	noFreeSlot := !done.Sent && done.Executor == ""
	if noFreeSlot {
		x.triedDomains = append(x.triedDomains, x.domain)
		x.domain = s.nextDomain(x)
	}
	delay := retry.Delay(x.attempt, s.random)
	if noFreeSlot && x.domain == "" || time.Until(x.request.Deadline) <= delay || !s.retryBudget.TryRetry() {
		s.finishExecution(c, x, s.failedOutcome(x), nil, cmp.Or(x.lastSentFailure, done.Failure))
		return
	}
	s.metrics.CountRetry(retryReason(done.Failure.Reason))
	c.SendAfter(delay, retryDue{x})
}

func (s *Service) retryAttempt(c *kernel.Context, m retryDue) {
	if s.isActive(m.x) {
		s.startAttempt(c, m.x)
	}
}

// failedOutcome returns the outcome of a request that ends without a response.
func (s *Service) failedOutcome(x *execution) failure.Outcome {
	switch {
	case x.hasRun:
		return failure.Run
	case x.mayHaveRun:
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

// nextDomain returns the next failure domain to try, or "" if none is left. Failure domains of the own region come
// first; within each group the order is by name.
func (s *Service) nextDomain(x *execution) model.FailureDomain {
	var best model.Member
	for _, m := range s.members {
		if m.Domain == s.domain || slices.Contains(x.triedDomains, m.Domain) {
			continue
		}
		sameRegion, bestSameRegion := m.Region == s.region, best.Region == s.region
		if best.Domain == "" || sameRegion && !bestSameRegion || sameRegion == bestSameRegion && m.Domain < best.Domain {
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
	x := m.x
	if !s.isActive(x) {
		return
	}
	x.mayHaveRun = x.mayHaveRun || x.attemptInFlight
	s.finishExecution(c, x, s.failedOutcome(x), nil, failure.New(failure.DeadlineExceeded, "no answer before the deadline"))
}

// finishExecution ends a request, records its outcome and answers all callers that wait for it.
func (s *Service) finishExecution(c *kernel.Context, x *execution, o failure.Outcome, body []byte, f *failure.Error) {
	if s.isActive(x) {
		delete(s.executions, x.record.ID)
		s.limiter.Done(x.request.Account, x.lastDuration)
	}
	rec, known := s.ledger.Finish(x.record, o, body, f, time.Now())
	if known && x.intentDurable {
		s.save(c, rec, nil)
	}
	for _, e := range x.waiters {
		if f != nil {
			e.Fail(s.metrics.CountRefusal(f.WithOutcome(o)))
			continue
		}
		e.Reply(message.RequestReply{Request: x.record.ID, Outcome: o, Body: body})
	}
	s.finishDrainIfIdle(c)
}
