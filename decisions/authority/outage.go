package authority

import (
	"github.com/verbenaflow/verbenaflow/api/model"
)

func (m *Machine) handleMembers(peers []model.Member) {
	m.peers = peers
	for _, p := range peers {
		m.observeEpoch(p.Holder)
		if !p.Holder.IsZero() && p.LastHeard.After(m.holderLastHeard) {
			m.holderLastHeard = p.LastHeard
		}
	}
	// A live peer with a higher epoch has won an election or has made an outage claim.
	for _, p := range peers {
		if p.Alive && !m.epoch.IsZero() && m.epoch.Less(p.Holder) && !m.draining {
			m.stepDown()
		}
	}
}

// tryClaim takes the next outage epoch if the store is down, an earlier epoch is known, claimAfter has passed, no
// heartbeat of a holder has arrived for more than LeaseTTL, and no live peer holds an epoch or has a lower id. A
// leaving peer with a lower id does not count. In any case the timer for the next call is set.
func (m *Machine) tryClaim() {
	if m.mayClaim() {
		m.becomeHolder(model.Epoch{Store: m.highestEpoch.Store, Outage: m.highestEpoch.Outage + 1})
	}
	m.scheduleRetry()
}

func (m *Machine) mayClaim() bool {
	if !m.storeDown || !m.epoch.IsZero() || m.highestEpoch.IsZero() {
		return false
	}
	if m.now.Sub(m.holderLastHeard) <= LeaseTTL || m.now.Before(m.claimAfter) {
		return false
	}
	for _, p := range m.peers {
		if p.Alive && (!p.Holder.IsZero() || p.VM < m.vm && !p.Leaving) {
			return false
		}
	}
	return true
}

// rank returns the number of known peers with a lower id. VMs that know each other have different ranks, so that their
// claims are delayed by different times.
func (m *Machine) rank() int {
	n := 0
	for _, p := range m.peers {
		if p.VM < m.vm {
			n++
		}
	}
	return n
}

func (m *Machine) startDrain() {
	m.draining = true
	if m.epoch.IsZero() {
		m.finishDrain()
		return
	}
	m.actions = append(m.actions, CloseLog{Epoch: m.epoch})
}

// finishDrain gives up the epoch and revokes the lease after the log is closed, so that a peer can be elected without
// waiting for the expiry.
func (m *Machine) finishDrain() {
	if !m.epoch.IsZero() {
		m.epoch = model.Epoch{}
		m.actions = append(m.actions, Announce{})
	}
	if m.leaseID == 0 {
		m.actions = append(m.actions, Drained{})
		return
	}
	m.startCall(Call{Op: RevokeLease, Lease: m.leaseID})
}
