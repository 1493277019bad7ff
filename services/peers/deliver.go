package peers

import (
	"context"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// delivery is a forwarded message with the state of its delivery attempts.
type delivery struct {
	envelope kernel.Envelope
	forward  message.Forward
	// attempt is the number of the current attempt, starting at 1.
	attempt int
	// maybeProcessed is set if an earlier attempt may have been processed.
	maybeProcessed bool
}

// fail ends a delivery with a failure. If an earlier attempt may have been processed, the outcome not run becomes
// unknown, because it covers the last attempt only.
func (d delivery) fail(f *failure.Error) {
	if d.maybeProcessed && f.Outcome == failure.NotRun {
		f = f.WithOutcome(failure.Unknown)
		f.RetryElsewhere = false
	}
	d.envelope.Fail(f)
}

// refuse ends the delivery of a message that has not reached its service and counts the refusal.
func (s *Service) refuse(d delivery, f *failure.Error) {
	d.fail(s.metrics.CountRefusal(message.UnreachedFailure(d.forward.Body, f)))
}

// forward delivers a message to the VM that it names, or else to the holder of its failure domain.
func (s *Service) forward(c *kernel.Context, d delivery) {
	target, dead := d.forward.VM, false
	if target == "" {
		target, dead = s.holderOf(d.forward.Domain)
	}
	switch {
	case target == "":
		s.retry(c, d, failure.New(failure.NoHolder, "no holder of %s is known", d.forward.Domain))
	case dead:
		s.retry(c, d, failure.New(failure.HomeUnreachable, "%s holds %s and is silent", target, d.forward.Domain))
	case target == s.self.VM:
		s.deliverLocal(c, d)
	default:
		s.deliverRemote(c, d, target)
	}
}

func (s *Service) deliverLocal(c *kernel.Context, d delivery) {
	c.Request(kernel.Name(d.forward.To), d.forward.Body, func(m kernel.Message, err error) {
		if err != nil {
			s.retryOrFail(c, d, message.DeliveryFailure(d.forward.Body, err))
			return
		}
		d.envelope.Reply(m)
	})
}

func (s *Service) deliverRemote(c *kernel.Context, d delivery, to model.VMID) {
	if s.callsInFlight >= maxCallsInFlight {
		s.refuse(d, failure.New(failure.Overloaded, "%d calls to other VMs are in flight", s.callsInFlight))
		return
	}
	if !s.breaker(to).allow(time.Now()) {
		s.retry(c, d, failure.New(failure.HomeUnreachable, "%s does not answer", to))
		return
	}
	s.callsInFlight++
	l, address := s.links[to], s.members[to].Address
	if l != nil {
		l.inFlight++
	}
	done := callDone{delivery: d, vm: to, link: l}
	req := Request{From: s.self.VM, To: d.forward.To, Body: d.forward.Body, Installation: s.installation}
	ctx, cancel := s.registerAttempt(&done)
	c.Spawn(func(service context.Context) kernel.Message {
		defer context.AfterFunc(service, cancel)()
		if done.link == nil {
			if done.link, done.err = dial(ctx, address); done.err != nil {
				return done
			}
		}
		req.Budget = time.Until(d.forward.Deadline)
		done.response, done.sent, done.err = call(ctx, done.link.client, req)
		return done
	})
}

// call makes one call to another VM. sent is false if the VM certainly did not process it. net/rpc may still write a
// late response after ctx is done, so the response has its own memory, which is not read any more then.
func call(ctx context.Context, client *rpc.Client, req Request) (resp Response, sent bool, err error) {
	result := new(Response)
	pending := client.Go(deliverMethod, req, result, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		return *result, !notProcessed(pending.Error), pending.Error
	case <-ctx.Done():
		return Response{}, true, ctx.Err()
	}
}

// notProcessed reports whether the error of a call proves that its message has not reached a service.
func notProcessed(err error) bool {
	var refused rpc.ServerError
	var closing closingError
	// A link is closed only when it has no calls in flight, so ErrShutdown means that the connection had ended before the
	// call. The endpoint never returns an error, so a ServerError means that net/rpc could not decode the call.
	return errors.Is(err, rpc.ErrShutdown) || errors.As(err, &refused) || errors.As(err, &closing)
}

// handleResult applies the result of a call to another VM.
func (s *Service) handleResult(c *kernel.Context, m callDone) {
	s.callsInFlight--
	defer s.checkDrained(c)
	s.removeAttempt(m.attemptID)
	s.updateBreaker(m, time.Now())
	s.releaseLink(m)
	switch {
	case m.err == nil && m.response.Failure != nil:
		s.retryOrFail(c, m.delivery, m.response.Failure)
	case m.err == nil:
		m.envelope.Reply(m.response.Body)
	default:
		s.handleNoAnswer(c, m)
	}
}

// handleNoAnswer continues a delivery after a call without a response: it retries the delivery, queries the outcome, or
// fails the delivery.
func (s *Service) handleNoAnswer(c *kernel.Context, m callDone) {
	f := failure.New(failure.HomeUnreachable, "%s: %v", m.vm, m.err)
	m.maybeProcessed = m.maybeProcessed || m.sent
	switch {
	case !m.sent || m.forward.Idempotent:
		s.retry(c, m.delivery, f)
	case s.scheduleOutcomeQuery(c, m):
	default:
		m.fail(s.metrics.CountRefusal(f))
	}
}

// retryOrFail retries a delivery if the failure may not occur at another VM and a retry is safe. Otherwise it fails the
// delivery.
func (s *Service) retryOrFail(c *kernel.Context, d delivery, f *failure.Error) {
	otherTarget := f.Reason == failure.NotHolder || f.Reason == failure.Draining && d.forward.VM == ""
	if otherTarget && mayRedeliver(d.forward, f) {
		s.retry(c, d, f)
		return
	}
	d.fail(f)
}

// mayRedeliver reports whether a message may be delivered again after a failure. A job submission that is not
// idempotent may be only if it certainly did not run: a holder that loses its authority may have recorded the job, and
// the next holder would queue it a second time. Requests may always be delivered again, because the ledger detects
// duplicates.
func mayRedeliver(m message.Forward, f *failure.Error) bool {
	_, isRequest := m.Body.(message.RequestSend)
	return f.Outcome == failure.NotRun || m.Idempotent || isRequest
}

// retry schedules another attempt to deliver a message to the holder of a failure domain, if the number of attempts,
// the deadline and the retry budget permit it. Otherwise it refuses the message with the failure of the last attempt.
func (s *Service) retry(c *kernel.Context, d delivery, last *failure.Error) {
	f := d.forward
	if f.VM != "" || d.attempt >= maxAttempts || time.Until(f.Deadline) < retryDelay || !s.retryBudget.TryRetry() {
		s.refuse(d, last)
		return
	}
	s.metrics.CountRetry(retryReason(last.Reason))
	// Half of the delay is random, so that calls to a lost holder are not all retried at the same time.
	delay := retryDelay/2 + time.Duration(s.random.Int64N(int64(retryDelay/2)))
	d.attempt++
	c.SendAfter(delay, retryDue{d})
}

// retryReason returns the reason under which a retry after a failure is counted.
func retryReason(r failure.Reason) failure.RetryReason {
	switch r {
	case failure.NoHolder:
		return failure.RetryElection
	case failure.NotHolder:
		return failure.RetryHolderChanged
	default:
		return failure.RetryForward
	}
}

// scheduleOutcomeQuery replaces a request that got no response by queries of its outcome. A query never runs the
// request, so it is safe to repeat. It returns false if the message is not a request or too little time is left before
// its deadline.
func (s *Service) scheduleOutcomeQuery(c *kernel.Context, m callDone) bool {
	send, ok := m.forward.Body.(message.RequestSend)
	if !ok || time.Until(m.forward.Deadline) < retryDelay {
		return false
	}
	f := m.forward
	f.Body = message.RequestStatus{Request: send.Request.ID, Ticket: send.Ticket}
	f.Idempotent = true
	s.metrics.CountRetry(failure.RetryOutcomeQuery)
	c.SendAfter(retryDelay, outcomeQueryDue{envelope: m.envelope, forward: f})
	return true
}

// pollOutcome queries the outcome of a request. It repeats the query while the request is in progress or the query
// fails with a transient failure, until the deadline of the request.
func (s *Service) pollOutcome(c *kernel.Context, q outcomeQueryDue) {
	c.Request(names.Peers, q.forward, func(reply kernel.Message, err error) {
		status, ok := reply.(message.RequestReply)
		switch {
		case err == nil && ok && !status.Pending:
			q.envelope.Reply(status)
		case time.Until(q.forward.Deadline) >= retryDelay && (err == nil || isTransient(failure.From(err).Reason)):
			c.SendAfter(retryDelay, q)
		case err != nil:
			f := failure.From(err)
			if isTransient(f.Reason) {
				f = f.WithOutcome(failure.Unknown)
			}
			q.envelope.Fail(s.metrics.CountRefusal(f))
		default:
			q.envelope.Fail(s.metrics.CountRefusal(failure.New(failure.DeadlineExceeded, "the request is in progress")))
		}
	})
}

// isTransient reports whether an outcome query that failed for a reason may succeed later.
func isTransient(r failure.Reason) bool {
	switch r {
	case failure.HomeUnreachable, failure.NoHolder, failure.NotHolder, failure.NotFound, failure.Overloaded, failure.Draining, failure.DeadlineExceeded:
		return true
	default:
		return false
	}
}
