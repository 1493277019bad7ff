package peers

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// link is a connection to another VM. It belongs to the service goroutine once its first call has ended.
type link struct {
	client  *rpc.Client
	address string
	// calls counts the calls in flight. A stale link takes no new ones and is closed after the last.
	calls int
	stale bool
}

// dial opens a link for one call.
func dial(ctx context.Context, address string) (*link, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &link{client: rpc.NewClientWithCodec(newClientCodec(conn)), address: address, calls: 1}, nil
}

// release ends the use of a link by one call. A link with a failed call is replaced, because its connection
// may be dead without notice; the other calls on it continue.
func (s *Service) release(m callDone) {
	l := m.link
	if l == nil {
		return
	}
	l.calls--
	current := s.links[m.vm]
	switch {
	case current == l && m.err != nil:
		s.dropLink(m.vm)
	case current == nil && m.err == nil && !l.stale && l.address == s.members[m.vm].Address:
		s.links[m.vm] = l
	case current != l:
		l.stale = true
	}
	l.closeUnused()
}

// dropLink makes the next call to a VM open a new connection.
func (s *Service) dropLink(vm model.VMID) {
	if l, ok := s.links[vm]; ok {
		delete(s.links, vm)
		l.stale = true
		l.closeUnused()
	}
}

func (l *link) closeUnused() {
	if l.stale && l.calls == 0 {
		l.client.Close()
	}
}

// setMembers learns the other VMs. One with a new address is a new VM for links and circuits. One that is no longer
// listed is dead; it stays known, because the homes of idempotency keys depend on the known failure domains.
func (s *Service) setMembers(members []model.Member) {
	for vm, m := range s.members {
		m.Alive = false
		s.members[vm] = m
	}
	for _, m := range members {
		if old, ok := s.members[m.VM]; ok && old.Address != m.Address {
			s.dropLink(m.VM)
			delete(s.circuits, m.VM)
		}
		s.members[m.VM] = m
	}
}

// circuit counts the consecutive failed connects and unanswered calls to one VM ("Release It!", chapter "Stability
// Patterns", circuit breaker).
type circuit struct {
	failures int
	probe    time.Time
}

// allow reports whether a call may be made. While the VM is unreachable one call in probeEvery may.
func (k *circuit) allow(now time.Time) bool {
	if k.failures < circuitAfter {
		return true
	}
	if now.Before(k.probe) {
		return false
	}
	k.probe = now.Add(probeEvery)
	return true
}

// record takes the result of a call: whether the VM answered or processed it.
func (k *circuit) record(answered bool, now time.Time) {
	if answered {
		k.failures = 0
		return
	}
	k.failures++
	if k.failures == circuitAfter {
		k.probe = now.Add(probeEvery)
	}
}

func (s *Service) circuit(vm model.VMID) *circuit {
	k, ok := s.circuits[vm]
	if !ok {
		k = &circuit{}
		s.circuits[vm] = k
	}
	return k
}
