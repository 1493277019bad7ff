// Package member implements the failure detector for entry VMs, based on heartbeats and the VM list of the platform.
//
// Only heartbeats determine liveness: a VM that sends heartbeats is alive even if the VM list does not contain it,
// and a VM without heartbeats is dead even if the list contains it. The list lags behind and only provides VMs to
// contact.
//
// The VMs of a failure domain exchange heartbeats with each other. Between failure domains only their representatives
// do: each reports the VMs of its failure domain and relays to them the updates that it receives. Every VM increments
// its heartbeat count, and a VM is alive while its count increases (van Renesse, Minsky and Hayden, "A Gossip-Style
// Failure Detection Service"). No other VM increments the count, so repeated, delayed or relayed updates cannot keep
// a dead VM alive.
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// IntraDomainInterval is the interval of heartbeats inside a failure domain.
	IntraDomainInterval = 500 * time.Millisecond
	// InterDomainInterval is the interval of heartbeats between the representatives of two failure domains.
	InterDomainInterval = 2 * time.Second
	// IntraDomainTimeout is the time without a heartbeat after which a VM of the own failure domain is dead. It is longer
	// than the lease of the holder (3 s), so that a holder is not replaced before its lease has expired.
	IntraDomainTimeout = 3500 * time.Millisecond
	// InterDomainTimeout is the time without a heartbeat after which a VM of another failure domain is dead, unless its
	// representative has reported it dead earlier.
	InterDomainTimeout = 10 * time.Second
	// relayInterval is the minimum interval at which updates with nothing but a higher count are relayed from another
	// failure domain to the own one, which means with every second heartbeat between failure domains. After the loss of
	// the representative there the next one takes over within 6 s, so that an update about a live VM arrives within
	// InterDomainTimeout.
	relayInterval = 3 * time.Second
	// suspectAfterIntervals is the number of heartbeat intervals without a heartbeat after which a VM is suspected.
	suspectAfterIntervals = 3
	// forgetAfter is the time without a heartbeat after which the entry of a dead VM, with its heartbeat count, is deleted
	// if neither the settings nor the VM list contain it. An update that is delayed for less time therefore cannot mark
	// the VM as alive again.
	forgetAfter = time.Minute
)

// State is the liveness of a VM, judged by the time since its last heartbeat.
type State string

// States of VMs. A suspected VM still counts as alive.
const (
	Alive     State = "alive"
	Suspected State = "suspected"
	Dead      State = "dead"
)

// Change is the urgency of publishing changed members.
type Change int

// Changes in the order of urgency. A new configuration version is deferred to the next tick, because it arrives from
// all VMs at about the same time.
const (
	Unchanged Change = iota
	Deferred
	Immediate
)

// entry is the state of one other VM.
type entry struct {
	member model.Member
	// count is the highest heartbeat count of the VM in an applied update.
	count uint64
	// configured is set if the settings name the VM, listed if the VM list contains it.
	configured, listed bool
	// lastSent is the local time at which TakeDueHeartbeats last returned the VM.
	lastSent time.Time
	// lastDirect is the local time of the last heartbeat from the VM itself.
	lastDirect time.Time
	// advertisedAddress and listedAddress are the last addresses in a heartbeat and in the VM list.
	advertisedAddress, listedAddress string
	// fromOtherDomain is set if the last update came from a VM of another failure domain. lastRelayed is the local time at
	// which the count was last marked for relaying.
	fromOtherDomain bool
	lastRelayed     time.Time
	// countVersion, recordVersion and loadVersion are the values of Table.count when the count, the record and the load
	// last changed. A digest contains those that the receiver has not acknowledged.
	countVersion, recordVersion, loadVersion uint64
	// processedCount is the highest count of the VM whose digest was processed; 0 requests all records again. sentCount is
	// the value of Table.count that was last sent to the VM, and ackedCount the one that the VM has processed.
	processedCount, sentCount, ackedCount uint64
	// directCount is the highest count in a digest from the VM itself, even if its updates were not applied.
	directCount uint64
	// outdated is set if the last digest from the VM itself had a lower count than known. correctionTo is another VM that
	// has sent a lower count for the VM of this entry than known, and is to be sent the known one.
	outdated     bool
	correctionTo model.VMID
	// reportedCount is the highest count that other VMs have reported for a VM of the own failure domain.
	reportedCount uint64
}

// updateAddress applies an address from a source. lastFromSource is the last address from the same source and is
// updated. An address in the settings may be that of a proxy that the VM does not know of, so it is kept until a
// source changes its address, which means that the VM was replaced.
func (e *entry) updateAddress(address string, lastFromSource *string) {
	previous := *lastFromSource
	*lastFromSource = address
	if !e.configured || previous != "" && previous != address {
		e.member.Address = address
	}
}

// highestCount returns the highest known heartbeat count of the VM.
func (e *entry) highestCount() uint64 { return max(e.count, e.directCount) }

// unreferenced reports whether a VM is dead and neither the settings nor the VM list contain it.
func (e *entry) unreferenced() bool { return !e.member.Alive && !e.configured && !e.listed }

// Table is the view that one entry VM has of the others.
type Table struct {
	self model.Member
	// count is the heartbeat count of this VM, which increases with every digest. recordVersion and loadVersion are its
	// values when the record and the load of this VM last changed.
	count, recordVersion, loadVersion uint64
	entries                           map[model.VMID]*entry
}

// New returns the table of a VM with the peers that its settings name. They are dead until a heartbeat arrives. The
// heartbeat count starts at startCount, which should be the time in microseconds, so that it exceeds the count of an
// earlier VM with the same id. If it does not, the other VMs report the count from which to continue.
func New(self model.Member, peers []model.Member, startCount uint64) *Table {
	t := &Table{self: self, count: startCount, recordVersion: startCount, loadVersion: startCount, entries: make(map[model.VMID]*entry)}
	for _, p := range peers {
		if p.VM == self.VM {
			continue
		}
		p.Alive, p.LastHeard = false, time.Time{}
		t.entries[p.VM] = &entry{member: p, configured: true}
	}
	return t
}

// Self returns the record of this VM.
func (t *Table) Self() model.Member { return t.self }

// SetSelf replaces the record and the load of this VM that its heartbeats contain.
func (t *Table) SetSelf(m model.Member) {
	if compareRecords(t.self, m) != Unchanged {
		t.recordVersion = t.count
	}
	t.loadVersion = t.count
	t.self = m
}

// compareRecords returns the urgency of publishing the difference between two records of a VM. Loads do not count,
// because they are published separately.
func compareRecords(a, b model.Member) Change {
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

// ApplyVMList applies a revision of the VM list and reports whether the members changed. The address in the list
// applies only to a VM that is not alive, and the leaving flag only to a VM from which no heartbeat has ever arrived.
func (t *Table) ApplyVMList(vms []model.VM) Change {
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
		if e.count == 0 {
			e.member.VM, e.member.Domain, e.member.Region, e.member.Leaving = id, vm.Domain, vm.Region, vm.Leaving
		}
		e.updateAddress(vm.Address, &e.listedAddress)
	}
	if slices.EqualFunc(before, t.Members(), func(a, b model.Member) bool { return compareRecords(a, b) == Unchanged }) {
		return Unchanged
	}
	return Immediate
}

// Expire marks members without recent heartbeats as dead and reports whether the members changed.
func (t *Table) Expire(now time.Time) Change {
	change := Unchanged
	for id, e := range t.entries {
		if e.member.Alive && t.timeSinceHeartbeat(e, now) >= t.deadTimeout(e.member) {
			e.member.Alive = false
			// The next digest reports the death to the other failure domains.
			e.recordVersion = t.count
			change = Immediate
		}
		if e.unreferenced() && t.timeSinceHeartbeat(e, now) >= forgetAfter {
			delete(t.entries, id)
		}
	}
	return change
}

// Members returns the known members sorted by id.
func (t *Table) Members() []model.Member {
	out := make([]model.Member, 0, len(t.entries))
	for _, e := range t.entries {
		if !e.unreferenced() {
			out = append(out, e.member)
		}
	}
	sortMembers(out)
	return out
}

func sortMembers(ms []model.Member) {
	slices.SortFunc(ms, func(a, b model.Member) int { return cmp.Compare(a.VM, b.VM) })
}

// State returns the state of a member. An unknown VM is dead.
func (t *Table) State(id model.VMID, now time.Time) State {
	e, ok := t.entries[id]
	switch {
	case !ok || !e.member.Alive || t.timeSinceHeartbeat(e, now) >= t.deadTimeout(e.member):
		return Dead
	case t.timeSinceHeartbeat(e, now) >= suspectAfterIntervals*t.HeartbeatInterval(e.member):
		return Suspected
	}
	return Alive
}

// HeartbeatInterval returns the interval of the heartbeats to a member.
func (t *Table) HeartbeatInterval(m model.Member) time.Duration {
	if t.inOwnDomain(m) {
		return IntraDomainInterval
	}
	return InterDomainInterval
}

func (t *Table) inOwnDomain(m model.Member) bool { return m.Domain == t.self.Domain }

func (t *Table) deadTimeout(m model.Member) time.Duration {
	if t.inOwnDomain(m) {
		return IntraDomainTimeout
	}
	return InterDomainTimeout
}

func (t *Table) timeSinceHeartbeat(e *entry, now time.Time) time.Duration {
	return now.Sub(e.member.LastHeard)
}
