package peers

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// silentAfter is the shortest wait without an answer that counts as silence of the called VM. A shorter deadline
// says nothing about it.
const silentAfter = 500 * time.Millisecond

// attempt is a remote call in flight.
type attempt struct {
	forward message.Forward
	to      model.VMID
	cancel  context.CancelFunc
}

// begin registers a remote call and returns its context, which the service or the task of the call ends.
func (s *Service) begin(m *callDone) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.Background(), m.forward.Deadline)
	s.lastAttempt++
	m.number, m.begun = s.lastAttempt, time.Now()
	s.attempts[m.number] = attempt{forward: m.forward, to: m.vm, cancel: cancel}
	return ctx, cancel
}

// end forgets a remote call.
func (s *Service) end(number uint64) {
	if a, ok := s.attempts[number]; ok {
		a.cancel()
		delete(s.attempts, number)
	}
}

// abandon ends the calls that wait for a VM while a later holder is known and that may be repeated. They
// continue there.
func (s *Service) abandon() {
	for _, a := range s.attempts {
		if a.forward.VM != "" || !a.forward.Idempotent {
			continue
		}
		if to, _ := s.holderOf(a.forward.Domain); to != "" && to != a.to {
			a.cancel()
		}
	}
}

// holderOf returns the holder of a failure domain with the highest known epoch, and whether it is silent: the
// membership has heard it before and holds it for dead.
func (s *Service) holderOf(d model.FailureDomain) (vm model.VMID, silent bool) {
	if s.holder && d == s.self.Domain {
		return s.self.VM, false
	}
	var best model.Member
	for _, m := range s.members {
		if m.Domain == d && best.Holder.Less(m.Holder) {
			best = m
		}
	}
	return best.VM, !best.Alive && !best.LastHeard.IsZero()
}

// judge takes what a remote call tells about the called VM: an answer or a processed call, a failed connect, or
// silence. An abandoned call tells nothing.
func (s *Service) judge(m callDone, now time.Time) {
	switch {
	case errors.Is(m.err, context.Canceled):
	case m.sent && errors.Is(m.err, context.DeadlineExceeded):
		if now.Sub(m.begun) >= silentAfter && answersSoon(m.forward) {
			s.circuit(m.vm).record(false, now)
		}
	default:
		s.circuit(m.vm).record(m.err == nil || m.sent, now)
	}
}

// answersSoon reports whether a VM that runs answers a message without waiting for an executor.
func answersSoon(f message.Forward) bool {
	switch f.Body.(type) {
	case message.RequestSend, message.Attempt:
		return false
	}
	return true
}
