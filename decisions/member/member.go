// Package member decides which entry VMs are alive from heartbeats and the platform's lagging VM list.
//
// Heartbeats decide; the list only names VMs to talk to. A VM that sends heartbeats is alive even if the list
// does not show it, and a silent one is dead even if the list shows it.
//
// The VMs of a failure domain exchange heartbeats with each other. Between failure domains only their speakers
// do: each tells about the VMs of its failure domain and passes on to them what it learns. Every VM counts its
// heartbeats, and a VM is alive while its count rises (van Renesse, Minsky and Hayden, "A Gossip-Style Failure
// Detection Service"). Nobody else raises the count, so that repeated, delayed or quoted updates keep no VM alive.
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
	// FarInterval is the interval of heartbeats between the speakers of two failure domains.
	FarInterval = 2 * time.Second
	// NearDead is the silence after which a VM of the own failure domain is dead. It is longer than the
	// holder's lease of 3 s, so that a holder is not replaced before its lease has expired.
	NearDead = 3500 * time.Millisecond
	// FarDead is the silence after which a VM of another failure domain is dead unless its speaker reported it before.
	FarDead = 10 * time.Second
	// relayInterval is the shortest interval at which a mere sign of life from another failure domain is passed on to
	// the own one: with every second far heartbeat. After the loss of the speaker there, the next one takes over
	// within 6 s, so that a VM that lives is heard within FarDead.
	relayInterval = 3 * time.Second
	// suspectAfter is the silence, in intervals, after which a VM is suspected.
	suspectAfter = 3
	// forgetAfter is the silence after which the heartbeat count of a dead VM that no source names is forgotten.
	// Updates that are delayed for less time cannot revive it.
	forgetAfter = time.Minute
)

// State tells what the silence of a VM means.
type State string

// States of VMs. A suspected VM still counts as alive.
const (
	Alive     State = "alive"
	Suspected State = "suspected"
	Dead      State = "dead"
)

// Change tells how soon changed members are to be published.
type Change int

// Changes in the order of their urgency. A new configuration version is published with the next tick, because
// all VMs learn of it at the same time.
const (
	Unchanged Change = iota
	Deferred
	Immediate
)

type entry struct {
	member model.Member
	beat   uint64
	// named is set if the settings name the VM, listed if the VM list shows it.
	named, listed bool
	sent          time.Time
	// direct is the local time of the last heartbeat from the VM itself.
	direct time.Time
	// advertised and shown are the last addresses in a heartbeat and in the VM list.
	advertised, shown string
	// outside is set if the update came from another failure domain; relayed is the local time at which it was last
	// marked to be passed on.
	outside bool
	relayed time.Time
	// counted, changed and loaded are the own heartbeat counts when the count, the record and the load were learned.
	counted, changed, loaded uint64
	// seen is the highest count whose digest was processed, sentCount the own one that was last sent to the VM and acked
	// the one that it has processed.
	seen, sentCount, acked uint64
	// order is the highest count of a digest from the VM itself.
	order uint64
	// outdated is set after a digest of the VM with a lower count than known, quoteTo names the sender of such an update.
	outdated bool
	quoteTo  model.VMID
	// quoted is the highest count of a VM of the own failure domain that others have sent.
	quoted uint64
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

// highest returns the highest known heartbeat count of the VM.
func (e *entry) highest() uint64 { return max(e.beat, e.order) }

// gone reports whether a VM is dead and no source names it.
func (e *entry) gone() bool { return !e.member.Alive && !e.named && !e.listed }

// Table holds the other entry VMs as one VM sees them.
type Table struct {
	self model.Member
	// beat counts the digests of this VM; changed and loaded are its values when record and load changed.
	beat, changed, loaded uint64
	entries               map[model.VMID]*entry
}

// New returns the table of a VM with the peers that its settings name. They are dead until they are heard. The
// heartbeat count starts at start, which exceeds that of an earlier VM with the same id if it is the time in
// microseconds; otherwise the others tell the count to continue from.
func New(self model.Member, peers []model.Member, start uint64) *Table {
	t := &Table{self: self, beat: start, changed: start, loaded: start, entries: make(map[model.VMID]*entry)}
	for _, p := range peers {
		if p.VM == self.VM {
			continue
		}
		p.Alive, p.LastHeard = false, time.Time{}
		t.entries[p.VM] = &entry{member: p, named: true}
	}
	return t
}

// Self returns the record of this VM.
func (t *Table) Self() model.Member { return t.self }

// SetSelf changes what the heartbeats tell about this VM.
func (t *Table) SetSelf(m model.Member) {
	if compare(t.self, m) != Unchanged {
		t.changed = t.beat
	}
	t.loaded = t.beat
	t.self = m
}

// compare tells how two records of a VM differ. Loads are published on their own.
func compare(a, b model.Member) Change {
	a.LastHeard, a.Load = b.LastHeard, b.Load
	if a == b {
		return Unchanged
	}
	a.ConfigVersion = b.ConfigVersion
	if a == b {
		return Deferred
	}
	return Immediate
}

// Listed applies a revision of the VM list and reports whether the members changed. The address of the
// list counts only for a VM that is not heard, and its leaving flag only for one that never was.
func (t *Table) Listed(vms []model.VM) Change {
	before := t.Members()
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
		if e.beat == 0 {
			e.member.VM, e.member.Domain, e.member.Region, e.member.Leaving = id, vm.Domain, vm.Region, vm.Leaving
		}
		e.moveTo(vm.Address, &e.shown)
	}
	if slices.EqualFunc(before, t.Members(), func(a, b model.Member) bool { return compare(a, b) == Unchanged }) {
		return Unchanged
	}
	return Immediate
}

// Expire marks silent members as dead and reports whether the members changed.
func (t *Table) Expire(now time.Time) Change {
	change := Unchanged
	for id, e := range t.entries {
		if e.member.Alive && t.silent(e, now) >= t.deadAfter(e.member) {
			e.member.Alive = false
			// Other failure domains learn of it from the next digest.
			e.changed = t.beat
			change = Immediate
		}
		if e.gone() && t.silent(e, now) >= forgetAfter {
			delete(t.entries, id)
		}
	}
	return change
}

// Members returns the known members in the order of their ids.
func (t *Table) Members() []model.Member {
	out := make([]model.Member, 0, len(t.entries))
	for _, e := range t.entries {
		if !e.gone() {
			out = append(out, e.member)
		}
	}
	sortMembers(out)
	return out
}

func sortMembers(ms []model.Member) {
	slices.SortFunc(ms, func(a, b model.Member) int { return cmp.Compare(a.VM, b.VM) })
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

// Interval returns the interval of heartbeats to a member.
func (t *Table) Interval(m model.Member) time.Duration {
	if t.near(m) {
		return NearInterval
	}
	return FarInterval
}

func (t *Table) near(m model.Member) bool { return m.Domain == t.self.Domain }

func (t *Table) deadAfter(m model.Member) time.Duration {
	if t.near(m) {
		return NearDead
	}
	return FarDead
}

func (t *Table) silent(e *entry, now time.Time) time.Duration { return now.Sub(e.member.LastHeard) }
