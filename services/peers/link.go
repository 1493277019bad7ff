package peers

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// link is a connection to another VM. It belongs to the goroutine of the service once its first call has ended.
type link struct {
	client  *rpc.Client
	address string
	// inFlight counts the calls in flight. A stale link gets no new calls and is closed after the last one.
	inFlight int
	stale    bool
}

// dial opens a link that is in use by one call.
func dial(ctx context.Context, address string) (*link, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &link{client: rpc.NewClientWithCodec(newClientCodec(conn)), address: address, inFlight: 1}, nil
}

// releaseLink ends the use of a link by one call. A link with a failed call gets no new calls, because its connection
// may be broken without an error; the other calls in flight on it continue.
func (s *Service) releaseLink(m callDone) {
	l := m.link
	if l == nil {
		return
	}
	l.inFlight--
	current := s.links[m.vm]
	switch {
	case current == l && m.err != nil:
		s.dropLink(m.vm)
	case current == nil && m.err == nil && !l.stale && l.address == s.members[m.vm].Address:
		s.links[m.vm] = l
	case current != l:
		l.stale = true
	}
	l.closeIfUnused()
}

// dropLink makes the next call to a VM open a new connection.
func (s *Service) dropLink(vm model.VMID) {
	if l, ok := s.links[vm]; ok {
		delete(s.links, vm)
		l.stale = true
		l.closeIfUnused()
	}
}

func (l *link) closeIfUnused() {
	if l.stale && l.inFlight == 0 {
		l.client.Close()
	}
}

// setMembers updates the known VMs. A VM with a new address gets a new link and circuit breaker. A VM that is no longer
// listed counts as dead; it stays known, because the home of an idempotency key depends on the known failure domains.
func (s *Service) setMembers(members []model.Member) {
	for vm, m := range s.members {
		m.Alive = false
		s.members[vm] = m
	}
	for _, m := range members {
		if old, ok := s.members[m.VM]; ok && old.Address != m.Address {
			s.dropLink(m.VM)
			delete(s.breakers, m.VM)
		}
		s.members[m.VM] = m
	}
}

// circuitBreaker counts the consecutive failed connects and unanswered calls to one VM ("Release It!", chapter
// "Stability Patterns", circuit breaker).
type circuitBreaker struct {
	failures  int
	nextProbe time.Time
}

// allow reports whether a call may be made. While the circuit breaker is open, it allows one call, the probe, in each
// probeInterval.
func (k *circuitBreaker) allow(now time.Time) bool {
	if k.failures < breakerThreshold {
		return true
	}
	if now.Before(k.nextProbe) {
		return false
	}
	k.nextProbe = now.Add(probeInterval)
	return true
}

// record applies the result of a call: answered is set if the VM responded to the call or may have processed it.
func (k *circuitBreaker) record(answered bool, now time.Time) {
	if answered {
		k.failures = 0
		return
	}
	k.failures++
	if k.failures == breakerThreshold {
		k.nextProbe = now.Add(probeInterval)
	}
}

// breaker returns the circuit breaker of a VM and creates it if it does not exist.
func (s *Service) breaker(vm model.VMID) *circuitBreaker {
	k, ok := s.breakers[vm]
	if !ok {
		k = &circuitBreaker{}
		s.breakers[vm] = k
	}
	return k
}
