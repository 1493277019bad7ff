package peers

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// unresponsiveAfter is the shortest wait without a response that counts as a failure of the called VM. A call with a
// shorter deadline may end before a healthy VM responds.
const unresponsiveAfter = 500 * time.Millisecond

// attempt is a call to another VM in flight.
type attempt struct {
	forward message.Forward
	to      model.VMID
	cancel  context.CancelFunc
}

// registerAttempt registers a call to another VM and returns its context and the function that cancels it. The service
// cancels it through the attempt, the task of the call through the returned function.
func (s *Service) registerAttempt(m *callDone) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.Background(), m.forward.Deadline)
	s.lastAttemptID++
	m.attemptID, m.startedAt = s.lastAttemptID, time.Now()
	s.attempts[m.attemptID] = attempt{forward: m.forward, to: m.vm, cancel: cancel}
	return ctx, cancel
}

// removeAttempt removes a finished call to another VM and releases its context.
func (s *Service) removeAttempt(id uint64) {
	if a, ok := s.attempts[id]; ok {
		a.cancel()
		delete(s.attempts, id)
	}
}

// cancelSuperseded cancels the idempotent calls to a former holder of a failure domain whose next holder is known. They
// are retried there.
func (s *Service) cancelSuperseded() {
	for _, a := range s.attempts {
		if a.forward.VM != "" || !a.forward.Idempotent {
			continue
		}
		if to, _ := s.holderOf(a.forward.Domain); to != "" && to != a.to {
			a.cancel()
		}
	}
}

// holderOf returns the holder of a failure domain, which is the member with the highest known epoch, and whether it is
// dead: the membership service has received heartbeats of it and considers it dead. A VM that is known from the
// settings only, and has not sent a heartbeat yet, does not count as dead.
func (s *Service) holderOf(d model.FailureDomain) (vm model.VMID, dead bool) {
	if s.isHolder && d == s.self.Domain {
		return s.self.VM, false
	}
	var latest model.Member
	for _, m := range s.members {
		if m.Domain == d && latest.Holder.Less(m.Holder) {
			latest = m
		}
	}
	return latest.VM, !latest.Alive && !latest.LastHeard.IsZero()
}

// updateBreaker records the result of a call in the circuit breaker of the called VM. A response, or an error after
// which the VM may have processed the call, counts as success. An error that proves that the VM did not process the
// call, such as a failed connect, counts as a failure. So does a call that got no response within at least
// unresponsiveAfter, if its message is answered promptly. A cancelled call does not count.
func (s *Service) updateBreaker(m callDone, now time.Time) {
	switch {
	case errors.Is(m.err, context.Canceled):
	case m.sent && errors.Is(m.err, context.DeadlineExceeded):
		if now.Sub(m.startedAt) >= unresponsiveAfter && answersPromptly(m.forward) {
			s.breaker(m.vm).record(false, now)
		}
	default:
		s.breaker(m.vm).record(m.err == nil || m.sent, now)
	}
}

// answersPromptly reports whether a healthy VM answers a message without waiting for an executor.
func answersPromptly(f message.Forward) bool {
	switch f.Body.(type) {
	case message.RequestSend, message.Attempt:
		return false
	}
	return true
}
