package authority

import (
	"github.com/verbenaflow/verbenaflow/api/model"
)

func (m *Machine) learnMembers(peers []model.Member) {
	m.peers = peers
	for _, p := range peers {
		m.learn(p.Holder)
		if !p.Holder.IsZero() && p.LastHeard.After(m.holderHeard) {
			m.holderHeard = p.LastHeard
		}
	}
	// A live peer with a higher epoch has been elected or has claimed the workers.
	for _, p := range peers {
		if p.Alive && !m.epoch.IsZero() && m.epoch.Less(p.Holder) && !m.draining {
			m.stepDown()
		}
	}
}

// claim takes the next outage epoch if the holder is dead and this VM is the first of the live peers.
// Otherwise it waits.
func (m *Machine) claim() {
	if m.mayClaim() {
		m.hold(model.Epoch{Store: m.known.Store, Outage: m.known.Outage + 1})
	}
	m.again()
}

func (m *Machine) mayClaim() bool {
	if !m.storeDown || !m.epoch.IsZero() || m.known.IsZero() {
		return false
	}
	if m.now.Sub(m.holderHeard) <= LeaseTTL || m.now.Before(m.claimAfter) {
		return false
	}
	for _, p := range m.peers {
		if p.Alive && (!p.Holder.IsZero() || p.VM < m.vm && !p.Leaving) {
			return false
		}
	}
	return true
}

// rank is the number of known peers with a lower id. It differs between VMs that know each other.
func (m *Machine) rank() int {
	n := 0
	for _, p := range m.peers {
		if p.VM < m.vm {
			n++
		}
	}
	return n
}

func (m *Machine) drain() {
	m.draining = true
	if m.epoch.IsZero() {
		m.release()
		return
	}
	m.out = append(m.out, CloseLog{Epoch: m.epoch})
}

// release ends the lease after the log is closed, so that a peer is elected without waiting for its expiry.
func (m *Machine) release() {
	if !m.epoch.IsZero() {
		m.epoch = model.Epoch{}
		m.out = append(m.out, Announce{})
	}
	if m.lease == 0 {
		m.out = append(m.out, Drained{})
		return
	}
	m.do(Call{Op: Revoke, Lease: m.lease})
}
