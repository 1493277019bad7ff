package member

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// representative returns the VM of a failure domain that exchanges heartbeats with other failure domains: the holder,
// or the preferred live VM while no holder is known. It returns "" if none of the members is alive.
func representative(members []model.Member) model.VMID {
	var best model.Member
	for _, m := range members {
		switch {
		case !m.Alive:
		case best.VM == "" || best.Holder.Less(m.Holder):
			best = m
		case best.Holder == m.Holder && preferred(m, best):
			best = m
		}
	}
	return best.VM
}

// preferred reports whether a rather than b is the representative if neither holds the failure domain: a VM that is not
// leaving comes first, then the one with the lower id.
func preferred(a, b model.Member) bool {
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	return a.VM < b.VM
}

// TakeDueHeartbeats returns the members to which a heartbeat is due and records it as sent. Of two VMs the one with the
// lower id sends heartbeats, and the answers serve as heartbeats of the other one, which sends its own only if none
// arrive.
func (t *Table) TakeDueHeartbeats(now time.Time) []model.Member {
	var out []model.Member
	for _, id := range t.targets() {
		e := t.entries[id]
		interval := t.HeartbeatInterval(e.member)
		if now.Sub(e.lastSent) < interval {
			continue
		}
		if t.self.VM > id && e.member.Alive && now.Sub(e.lastDirect) < 2*interval {
			continue
		}
		e.lastSent = now
		out = append(out, e.member)
	}
	sortMembers(out)
	return out
}

// targets returns the VMs to which heartbeats are sent: all of the own failure domain and, if this VM is its
// representative, the representatives of the others. Of a failure domain without a live VM all VMs are tried, because
// any of them may be the first to answer.
func (t *Table) targets() []model.VMID {
	domains := make(map[model.FailureDomain][]model.Member)
	for _, m := range t.Members() {
		domains[m.Domain] = append(domains[m.Domain], m)
	}
	var out []model.VMID
	ownDomain := domains[t.self.Domain]
	for _, m := range ownDomain {
		out = append(out, m.VM)
	}
	self := t.self
	self.Alive = true
	if representative(append(ownDomain, self)) != self.VM {
		return out
	}
	delete(domains, self.Domain)
	for _, members := range domains {
		if vm := representative(members); vm != "" {
			out = append(out, vm)
			continue
		}
		for _, m := range members {
			out = append(out, m.VM)
		}
	}
	return out
}
