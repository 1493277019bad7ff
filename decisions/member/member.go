// Package member decides which entry VMs are alive from heartbeats and the platform's lagging VM list.
//
// Heartbeats decide; the list only names VMs to talk to. A VM that sends heartbeats is alive even if the list
// does not show it, and a silent one is dead even if the list shows it.
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// NearInterval is the interval of heartbeats inside a failure domain.
	NearInterval = 500 * time.Millisecond
	// FarInterval is the interval of heartbeats to other failure domains. It keeps the traffic of 28 VMs in
	// 7 failure domains under the 5 KB a second of a node.
	FarInterval = 2 * time.Second
	// NearDead is the silence after which a VM of the own failure domain is dead. It is longer than the
	// holder's lease of 3 s, so that a holder is not replaced before its lease has expired.
	NearDead = 3500 * time.Millisecond
	// FarDead is the silence after which a VM of another failure domain is dead.
	FarDead = 10 * time.Second
	// suspectAfter is the silence, in intervals, after which a VM is suspected.
	suspectAfter = 3
)

// State tells what the silence of a VM means.
type State string

// States of VMs. A suspected VM still counts as alive.
const (
	Alive     State = "alive"
	Suspected State = "suspected"
	Dead      State = "dead"
)

type entry struct {
	member model.Member
	// named is set if the settings name the VM, listed if the VM list shows it.
	named, listed bool
	sent          time.Time
	// advertised and shown are the last addresses in a heartbeat and in the VM list.
	advertised, shown string
}

// moveTo applies an address that a source gives, where last is the one that it gave before. The address of the
// settings may lead through a relay that the VM does not know of, so it stays until a source gives another
// address than before: then the VM was replaced.
func (e *entry) moveTo(address string, last *string) {
	before := *last
	*last = address
	if !e.named || before != "" && before != address {
		e.member.Address = address
	}
}

// Table holds the other entry VMs as one VM sees them.
type Table struct {
	self    model.Member
	entries map[model.VMID]*entry
}

// New returns the table of a VM with the peers that its settings name. They are dead until they are heard.
func New(self model.Member, peers []model.Member) *Table {
	t := &Table{self: self, entries: make(map[model.VMID]*entry)}
	for _, p := range peers {
		if p.VM == self.VM {
			continue
		}
		p.Alive, p.LastHeard = false, time.Time{}
		t.entries[p.VM] = &entry{member: p, named: true}
	}
	return t
}

// Heard applies a heartbeat that arrived at a local time and reports whether another member is seen now.
func (t *Table) Heard(m model.Member, now time.Time) bool {
	if m.VM == t.self.VM {
		return false
	}
	e, ok := t.entries[m.VM]
	if !ok {
		e = &entry{}
		t.entries[m.VM] = e
	}
	old := e.member
	advertised := m.Address
	m.Alive, m.LastHeard, m.Address = true, now, old.Address
	e.member = m
	e.moveTo(advertised, &e.advertised)
	return !same(old, e.member)
}

// same reports whether two views of a member differ only in what every heartbeat changes. Loads are published on
// their own.
func same(a, b model.Member) bool {
	a.LastHeard, a.ConfigVersion, a.Load = b.LastHeard, b.ConfigVersion, b.Load
	return a == b
}

// Listed applies a revision of the VM list and reports whether the members changed. The address and the
// leaving flag of the list count only for a VM that is not heard.
func (t *Table) Listed(vms []model.VM) bool {
	changed := false
	for _, e := range t.entries {
		e.listed = false
	}
	for _, vm := range vms {
		id := model.VMID(vm.ID)
		if vm.Role != model.RoleEntry || id == t.self.VM {
			continue
		}
		e, ok := t.entries[id]
		if !ok {
			e = &entry{}
			t.entries[id] = e
		}
		e.listed = true
		if e.member.Alive {
			continue
		}
		old := e.member
		e.member.VM, e.member.Domain, e.member.Region, e.member.Leaving = id, vm.Domain, vm.Region, vm.Leaving
		e.moveTo(vm.Address, &e.shown)
		changed = changed || !same(old, e.member)
	}
	return t.forget() || changed
}

// Expire marks silent members as dead and reports whether the members changed.
func (t *Table) Expire(now time.Time) bool {
	changed := false
	for _, e := range t.entries {
		if e.member.Alive && t.silent(e, now) >= t.deadAfter(e.member) {
			e.member.Alive = false
			changed = true
		}
	}
	return t.forget() || changed
}

// forget removes dead members that neither the settings nor the list name.
func (t *Table) forget() bool {
	n := len(t.entries)
	for id, e := range t.entries {
		if !e.member.Alive && !e.named && !e.listed {
			delete(t.entries, id)
		}
	}
	return len(t.entries) != n
}

// Members returns the known members in the order of their ids.
func (t *Table) Members() []model.Member {
	out := make([]model.Member, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.member)
	}
	slices.SortFunc(out, func(a, b model.Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// State returns the state of a member; a VM that is not known is dead.
func (t *Table) State(id model.VMID, now time.Time) State {
	e, ok := t.entries[id]
	switch {
	case !ok || !e.member.Alive || t.silent(e, now) >= t.deadAfter(e.member):
		return Dead
	case t.silent(e, now) >= suspectAfter*t.Interval(e.member):
		return Suspected
	}
	return Alive
}

// Due returns the members to which a heartbeat is due and counts it as sent. The VM with the lower id sends
// and the answer serves as the heartbeat of the other, which sends only if it hears nothing.
func (t *Table) Due(now time.Time) []model.Member {
	var out []model.Member
	for _, e := range t.entries {
		interval := t.Interval(e.member)
		if now.Sub(e.sent) < interval {
			continue
		}
		if t.self.VM > e.member.VM && e.member.Alive && t.silent(e, now) < 2*interval {
			continue
		}
		e.sent = now
		out = append(out, e.member)
	}
	slices.SortFunc(out, func(a, b model.Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Interval returns the interval of heartbeats to a member.
func (t *Table) Interval(m model.Member) time.Duration {
	if m.Domain == t.self.Domain {
		return NearInterval
	}
	return FarInterval
}

func (t *Table) deadAfter(m model.Member) time.Duration {
	if m.Domain == t.self.Domain {
		return NearDead
	}
	return FarDead
}

func (t *Table) silent(e *entry, now time.Time) time.Duration { return now.Sub(e.member.LastHeard) }
