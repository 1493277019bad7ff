package holder

import (
	"context"
	"fmt"
	"time"

	"github.com/verbenaflow/verbenaflow/api/boottime"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/runner"
)

// LeaseExpiredError reports an order that was not sent because the holder's lease may have ended since it was decided.
type LeaseExpiredError struct {
	// Late is how much too late the order was.
	Late time.Duration
}

func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("order not sent: the holder's lease may have ended %v ago", e.Late)
}

// TermEndedError reports an order that was not sent because the term in which it was decided has ended or may end at any
// moment.
type TermEndedError struct{}

func (*TermEndedError) Error() string { return "order not sent: the term has ended" }

// leaseAge returns the time since the last confirmed renewal of the lease was sent. It counts suspensions. While starts
// are suspended, it is at least the duration of the lease.
func (s *Service) leaseAge() time.Duration {
	age := s.now() - s.term.leaseConfirmedAt
	if s.term.startsSuspended() {
		return max(age, s.settings.Fleet.HolderLease)
	}
	return age
}

// confirmLease records that the store has confirmed a renewal that was sent at sentAt.
func (t *term) confirmLease(sentAt time.Duration) {
	t.leaseConfirmedAt = max(t.leaseConfirmedAt, sentAt)
}

// leaseGuard returns a guard of orders that fails once the lease is older than maxAge or valid has ended. An order
// may wait for a connection, or the process may be suspended, between the decision and the order.
func leaseGuard(now boottime.Clock, valid context.Context, confirmedAt, maxAge time.Duration) func() error {
	return func() error {
		if valid.Err() != nil {
			return &TermEndedError{}
		}
		if late := now() - confirmedAt - maxAge; late >= 0 {
			return &LeaseExpiredError{Late: late}
		}
		return nil
	}
}

// maxPermit is the longest validity of a permit for an order of another service. A release waits for its end.
const maxPermit = 500 * time.Millisecond

// handlePermitQuery permits an order of another service until the lease may end, at most for maxPermit.
func (s *Service) handlePermitQuery(m message.PermitQuery, e kernel.Envelope) {
	t := s.term
	remaining := min(maxPermit, fleet.MaxStartAge(s.settings.Fleet)-s.leaseAge())
	if remaining <= 0 || m.FencingToken != workload.FencingToken(t.fence) {
		e.Fail(notHolder())
		return
	}
	if m.Executor != "" && !t.fleet.PermitTermination(time.Now(), m.Executor) {
		e.Reply(message.OrderDenied{})
		return
	}
	t.permitUntil = s.now() + remaining
	e.Reply(message.OrderPermit{ValidUntil: t.permitUntil})
}

// exclusiveOrder returns the target of an order that may be sent only while no other VM can be the holder.
func (s *Service) exclusiveOrder(id workload.ExecutorID, address string) runner.Target {
	return s.target(s.term.startsCtx, id, address, fleet.MaxStartAge(s.settings.Fleet))
}

// renewalOrder returns the target of an order that preserves running work. It may be sent during an outage of the store.
func (s *Service) renewalOrder(id workload.ExecutorID, address string) runner.Target {
	return s.target(s.term.ctx, id, address, s.settings.Fleet.RenewalGrace)
}

func (s *Service) target(valid context.Context, id workload.ExecutorID, address string, maxAge time.Duration) runner.Target {
	return runner.Target{ID: id, Address: address, Guard: leaseGuard(s.now, valid, s.term.leaseConfirmedAt, maxAge)}
}
