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

// delivery is a message on its way to a VM.
type delivery struct {
	env     kernel.Envelope
	forward message.Forward
	// attempt counts from 1.
	attempt int
	// maybe is true if an earlier attempt may have been processed.
	maybe bool
}

// fail ends a delivery. A failure of the last attempt says nothing about an earlier one that was lost.
func (d delivery) fail(f *failure.Error) {
	if d.maybe && f.Outcome == failure.NotRun {
		f = f.WithOutcome(failure.Unknown)
		f.RetryElsewhere = false
	}
	d.env.Fail(f)
}

// refuse counts a refusal of a message that was not delivered and ends the delivery.
func (s *Service) refuse(d delivery, f *failure.Error) {
	d.fail(s.metrics.CountRefusal(message.UnreachedFailure(d.forward.Body, f)))
}

// forward delivers a message to a VM, or to the holder of a failure domain.
func (s *Service) forward(c *kernel.Context, d delivery) {
	target, silent := d.forward.VM, false
	if target == "" {
		target, silent = s.holderOf(d.forward.Domain)
	}
	switch {
	case target == "":
		s.retry(c, d, failure.New(failure.NoHolder, "no holder of %s is known", d.forward.Domain))
	case silent:
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
			s.settle(c, d, message.DeliveryFailure(d.forward.Body, err))
			return
		}
		d.env.Reply(m)
	})
}

func (s *Service) deliverRemote(c *kernel.Context, d delivery, to model.VMID) {
	if s.calls >= maxCalls {
		s.refuse(d, failure.New(failure.Overloaded, "%d calls to other VMs are in flight", s.calls))
		return
	}
	if !s.circuit(to).allow(time.Now()) {
		s.retry(c, d, failure.New(failure.HomeUnreachable, "%s does not answer", to))
		return
	}
	s.calls++
	l, address := s.links[to], s.members[to].Address
	if l != nil {
		l.calls++
	}
	done := callDone{delivery: d, vm: to, link: l}
	req := Request{From: s.self.VM, To: d.forward.To, Body: d.forward.Body, Installation: s.installation}
	ctx, cancel := s.begin(&done)
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

// call makes one remote call. sent is false if the other VM certainly did not process it. A response that
// arrives after the end of ctx is written to memory that nobody reads.
func call(ctx context.Context, client *rpc.Client, req Request) (resp Response, sent bool, err error) {
	late := new(Response)
	pending := client.Go(deliverMethod, req, late, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		return *late, !notProcessed(pending.Error), pending.Error
	case <-ctx.Done():
		return Response{}, true, ctx.Err()
	}
}

// notProcessed reports whether the error of a call proves that its message reached no service.
func notProcessed(err error) bool {
	var refused rpc.ServerError
	var closing closingError
	// A link is closed without calls only, so that ErrShutdown tells of a connection that had ended before. The
	// endpoint returns no errors, so that a ServerError tells of a call that net/rpc could not decode.
	return errors.Is(err, rpc.ErrShutdown) || errors.As(err, &refused) || errors.As(err, &closing)
}

// finish takes the result of a remote delivery.
func (s *Service) finish(c *kernel.Context, m callDone) {
	s.calls--
	defer s.checkDrained(c)
	s.end(m.number)
	s.judge(m, time.Now())
	s.release(m)
	switch {
	case m.err == nil && m.response.Failure != nil:
		s.settle(c, m.delivery, m.response.Failure)
	case m.err == nil:
		m.env.Reply(m.response.Body)
	default:
		s.lost(c, m)
	}
}

// lost continues a delivery that got no answer.
func (s *Service) lost(c *kernel.Context, m callDone) {
	f := failure.New(failure.HomeUnreachable, "%s: %v", m.vm, m.err)
	m.maybe = m.maybe || m.sent
	switch {
	case !m.sent || m.forward.Idempotent:
		s.retry(c, m.delivery, f)
	case s.queryOutcome(c, m):
	default:
		m.fail(s.metrics.CountRefusal(f))
	}
}

// settle answers with a failure, unless another delivery may succeed.
func (s *Service) settle(c *kernel.Context, d delivery, f *failure.Error) {
	elsewhere := f.Reason == failure.NotHolder || f.Reason == failure.Draining && d.forward.VM == ""
	if elsewhere && repeatable(d.forward, f) {
		s.retry(c, d, f)
		return
	}
	d.fail(f)
}

// repeatable reports whether a message may be delivered again after a failure. A holder that loses its authority
// may have recorded a submitted job, and the next one would queue it a second time. The ledger recognizes requests.
func repeatable(m message.Forward, f *failure.Error) bool {
	_, request := m.Body.(message.RequestSend)
	return f.Outcome == failure.NotRun || m.Idempotent || request
}

func (s *Service) retry(c *kernel.Context, d delivery, last *failure.Error) {
	f := d.forward
	if f.VM != "" || d.attempt >= maxForwards || time.Until(f.Deadline) < forwardDelay || !s.budget.TryRetry() {
		s.refuse(d, last)
		return
	}
	s.metrics.CountRetry(forwardRetry(last.Reason))
	// Half of the delay is random, so that the callers of a lost holder do not return at the same time.
	delay := forwardDelay/2 + time.Duration(s.random.Int64N(int64(forwardDelay/2)))
	d.attempt++
	c.After(delay, forwardDue{d})
}

// forwardRetry returns the counted reason of another delivery.
func forwardRetry(r failure.Reason) failure.RetryReason {
	switch r {
	case failure.NoHolder:
		return failure.RetryElection
	case failure.NotHolder:
		return failure.RetryHolderChanged
	default:
		return failure.RetryForward
	}
}

// queryOutcome replaces a request whose answer was lost by questions for its outcome, which are safe to
// repeat. It returns false if the message is no request. The holder does not run a request on a question.
func (s *Service) queryOutcome(c *kernel.Context, m callDone) bool {
	send, ok := m.forward.Body.(message.RequestSend)
	if !ok || time.Until(m.forward.Deadline) < forwardDelay {
		return false
	}
	f := m.forward
	f.Body = message.RequestStatus{Request: send.Request.ID, Ticket: send.Ticket}
	f.Idempotent = true
	s.metrics.CountRetry(failure.RetryOutcomeQuery)
	c.After(forwardDelay, queryDue{env: m.env, forward: f})
	return true
}

// askOutcome asks once and repeats the question while the request is in progress, up to its deadline.
func (s *Service) askOutcome(c *kernel.Context, q queryDue) {
	c.Request(names.Peers, q.forward, func(reply kernel.Message, err error) {
		status, ok := reply.(message.RequestReply)
		switch {
		case err == nil && ok && !status.Pending:
			q.env.Reply(status)
		case time.Until(q.forward.Deadline) >= forwardDelay && (err == nil || transient(failure.From(err).Reason)):
			c.After(forwardDelay, q)
		case err != nil:
			f := failure.From(err)
			if transient(f.Reason) {
				f = f.WithOutcome(failure.Unknown)
			}
			q.env.Fail(s.metrics.CountRefusal(f))
		default:
			q.env.Fail(s.metrics.CountRefusal(failure.New(failure.DeadlineExceeded, "the request is in progress")))
		}
	})
}

// transient reports whether a later question may be answered.
func transient(r failure.Reason) bool {
	switch r {
	case failure.HomeUnreachable, failure.NoHolder, failure.NotHolder, failure.NotFound, failure.Overloaded, failure.Draining, failure.DeadlineExceeded:
		return true
	default:
		return false
	}
}
