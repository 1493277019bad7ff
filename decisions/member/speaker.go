package member

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// speaker returns the VM that exchanges heartbeats with other failure domains: the holder, or the live VM with
// the lowest id while no holder is known. It returns "" if no VM of the members is alive.
func speaker(members []model.Member) model.VMID {
	var best model.Member
	for _, m := range members {
		switch {
		case !m.Alive:
		case best.VM == "" || best.Holder.Less(m.Holder):
			best = m
		case best.Holder == m.Holder && precedes(m, best):
			best = m
		}
	}
	return best.VM
}

// precedes reports whether a speaks rather than b if neither holds the failure domain.
func precedes(a, b model.Member) bool {
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	return a.VM < b.VM
}

// Due returns the members to which a heartbeat is due and counts it as sent. Of two VMs the one with the lower id
// sends and the answer serves as the heartbeat of the other, which sends only if it hears nothing.
func (t *Table) Due(now time.Time) []model.Member {
	var out []model.Member
	for _, id := range t.targets() {
		e := t.entries[id]
		interval := t.Interval(e.member)
		if now.Sub(e.sent) < interval {
			continue
		}
		if t.self.VM > id && e.member.Alive && now.Sub(e.direct) < 2*interval {
			continue
		}
		e.sent = now
		out = append(out, e.member)
	}
	sortMembers(out)
	return out
}

// targets returns the VMs to talk to: all of the own failure domain and, if this VM speaks for it, the speakers
// of the others. All VMs of a failure domain without a live VM are tried, so that any of them ends its silence.
func (t *Table) targets() []model.VMID {
	domains := make(map[model.FailureDomain][]model.Member)
	for _, m := range t.Members() {
		domains[m.Domain] = append(domains[m.Domain], m)
	}
	var out []model.VMID
	near := domains[t.self.Domain]
	for _, m := range near {
		out = append(out, m.VM)
	}
	self := t.self
	self.Alive = true
	if speaker(append(near, self)) != self.VM {
		return out
	}
	delete(domains, self.Domain)
	for _, members := range domains {
		if s := speaker(members); s != "" {
			out = append(out, s)
			continue
		}
		for _, m := range members {
			out = append(out, m.VM)
		}
	}
	return out
}
