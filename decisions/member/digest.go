package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// NewDigest returns the content of a heartbeat to a VM or of the answer to one, and increments the heartbeat count. It
// contains the updates that the receiver has not acknowledged: for a VM of another failure domain those about the own
// failure domain, and for a VM of the own one those that this VM has received from other failure domains.
func (t *Table) NewDigest(to model.VMID, now time.Time) model.Digest {
	t.count++
	receiver, known := t.entries[to]
	if !known {
		receiver = &entry{}
	}
	since := receiver.ackedCount
	receiver.sentCount = t.count
	digest := model.Digest{Since: since, Seen: receiver.processedCount, Updates: []model.MemberUpdate{t.selfUpdate(since)}}
	if receiver.outdated || receiver.reportedCount > receiver.count {
		digest.Known = max(receiver.highestCount(), receiver.reportedCount)
	}
	for id, other := range t.entries {
		if id == to || other.count == 0 || max(other.countVersion, other.recordVersion, other.loadVersion) < since {
			continue
		}
		if other.correctionTo == to || t.inOwnDomain(receiver.member) && other.fromOtherDomain || !t.inOwnDomain(receiver.member) && t.inOwnDomain(other.member) {
			digest.Updates = append(digest.Updates, t.memberUpdate(other, to, since, now))
		}
	}
	slices.SortFunc(digest.Updates[1:], func(a, b model.MemberUpdate) int { return cmp.Compare(a.VM, b.VM) })
	return digest
}

func (t *Table) selfUpdate(since uint64) model.MemberUpdate {
	update := model.MemberUpdate{VM: t.self.VM, Beat: t.count}
	if t.recordVersion >= since {
		m := t.self
		m.Alive = true
		update.Member = wireRecord(m)
	}
	if t.loadVersion >= since {
		update.Load = wireLoad(t.self.Load)
	}
	return update
}

func (t *Table) memberUpdate(e *entry, receiver model.VMID, since uint64, now time.Time) model.MemberUpdate {
	update := model.MemberUpdate{VM: e.member.VM, Beat: e.count, Age: tenthsOfSecond(t.timeSinceHeartbeat(e, now))}
	if e.recordVersion >= since || e.correctionTo == receiver {
		m := e.member
		m.Address = e.advertisedAddress
		update.Member = wireRecord(m)
	}
	if e.loadVersion >= since {
		update.Load = wireLoad(e.member.Load)
	}
	return update
}

// tenthsOfSecond returns a duration in tenths of a second, rounded up so that an update never appears to be more recent
// than it is.
func tenthsOfSecond(d time.Duration) uint32 {
	const tenth = 100 * time.Millisecond
	return uint32(min((max(d, 0)+tenth-1)/tenth, math.MaxUint32))
}

// wireRecord returns a member in the form that is sent: without the load and the local time of the last heartbeat.
func wireRecord(m model.Member) *model.Member {
	m.Load, m.LastHeard = nil, time.Time{}
	return &m
}

// wireLoad returns a load in the form that is sent. The receiver takes the failure domain and the region from the
// member.
func wireLoad(l *model.DomainLoad) *model.DomainLoad {
	if l == nil {
		return nil
	}
	out := *l
	out.Domain, out.Region, out.Heard = "", "", time.Time{}
	return &out
}

// ApplyDigest applies a digest that arrived at a local time and returns its sender, or "" for an empty digest. The
// updates of a digest without a higher count of its sender, such as a repeated one, are ignored.
func (t *Table) ApplyDigest(digest model.Digest, now time.Time) (model.VMID, Change) {
	if len(digest.Updates) == 0 || digest.Updates[0].VM == t.self.VM {
		return "", Unchanged
	}
	t.raiseCount(digest.Known)
	senderUpdate := digest.Updates[0]
	if !t.acceptDigest(digest) {
		return senderUpdate.VM, Unchanged
	}
	sender := t.entries[senderUpdate.VM]
	sender.lastDirect = now
	change := t.applyNewer(sender, senderUpdate, !t.inOwnDomain(recordAfter(sender, senderUpdate)), now)
	sender.processedCount = senderUpdate.Beat
	for _, update := range digest.Updates[1:] {
		relayedChange, used := t.applyRelayed(update, senderUpdate.VM, now)
		change = max(change, relayedChange)
		if !used {
			// Without an acknowledgement the sender repeats all records.
			sender.processedCount = 0
		}
	}
	return senderUpdate.VM, change
}

// acceptDigest processes the acknowledgement in a digest and reports whether its updates are to be applied: its count
// must be higher than any known one of the sender, and this VM must have processed all earlier updates. A VM that has
// just replaced an earlier one has not.
func (t *Table) acceptDigest(digest model.Digest) bool {
	senderUpdate := digest.Updates[0]
	sender, known := t.entries[senderUpdate.VM]
	if !known {
		if senderUpdate.Member == nil {
			return false
		}
		sender = &entry{}
		t.entries[senderUpdate.VM] = sender
	}
	if sender.outdated = senderUpdate.Beat < sender.highestCount(); senderUpdate.Beat <= sender.highestCount() {
		return false
	}
	sender.directCount, sender.ackedCount = senderUpdate.Beat, digest.Seen
	if digest.Seen > sender.sentCount {
		// The acknowledgement is meant for an earlier VM with the id of this one.
		sender.ackedCount = 0
	}
	return digest.Since <= sender.processedCount
}

// countMargin exceeds the number of heartbeats that an earlier VM may have sent and that the reporter of its count
// did not receive. At 100 heartbeats a second it covers 46 hours.
const countMargin = 1 << 24

// raiseCount raises the heartbeat count above the known count of an earlier VM with the id of this one. The other VMs
// may have acknowledged counts of the earlier VM, so all updates are marked as new.
func (t *Table) raiseCount(known uint64) {
	if known <= t.count {
		return
	}
	t.count = known + countMargin
	t.recordVersion, t.loadVersion = t.count, t.count
	for _, e := range t.entries {
		e.countVersion, e.recordVersion, e.loadVersion = t.count, t.count, t.count
	}
}

// concernsOwnDomain reports whether an update is about a VM of the own failure domain.
func (t *Table) concernsOwnDomain(update model.MemberUpdate) bool {
	if update.Member != nil {
		return t.inOwnDomain(*update.Member)
	}
	e, ok := t.entries[update.VM]
	return ok && t.inOwnDomain(e.member)
}

// recordAfter returns the record that an entry has after an update.
func recordAfter(e *entry, update model.MemberUpdate) model.Member {
	if update.Member != nil {
		return *update.Member
	}
	return e.member
}

// applyRelayed applies an update from a VM about another one. Only a higher count proves that the VM is alive; with
// an equal count only a death is applied. It reports whether the update was used; otherwise the digest is not
// acknowledged.
func (t *Table) applyRelayed(update model.MemberUpdate, sender model.VMID, now time.Time) (Change, bool) {
	fromOtherDomain := !t.inOwnDomain(t.entries[sender].member)
	if update.VM == t.self.VM {
		t.raiseCount(update.Beat)
		return Unchanged, true
	}
	e, known := t.entries[update.VM]
	if t.concernsOwnDomain(update) {
		// The VMs of the own failure domain are observed directly. The reported count is kept, because the VM may have to
		// continue from it.
		if known {
			e.reportedCount = max(e.reportedCount, update.Beat)
		}
		return Unchanged, true
	}
	if !known || e.count == 0 {
		if update.Member == nil || !update.Member.Alive {
			return Unchanged, update.Member != nil
		}
		if !known {
			e = &entry{}
			t.entries[update.VM] = e
		}
	}
	switch {
	case update.Beat > e.count:
		return t.applyNewer(e, update, fromOtherDomain, now), true
	case update.Beat == e.count && update.Member != nil && !update.Member.Alive && e.member.Alive:
		e.member.Alive = false
		e.fromOtherDomain, e.countVersion, e.recordVersion = fromOtherDomain, t.count, t.count
		return Immediate, true
	case update.Beat == e.count && update.Member == nil:
		return Unchanged, true
	}
	return Unchanged, t.scheduleCorrection(e, update, sender)
}

// scheduleCorrection handles an update that is not newer than the known state, and reports whether its record equals
// the known one. If the count is lower, the next digest to the sender contains the known count. Other VMs are not
// corrected, because most lower counts come from delayed updates.
func (t *Table) scheduleCorrection(e *entry, update model.MemberUpdate, sender model.VMID) bool {
	// The records may differ if both VMs consider the VM dead.
	sameRecord := update.Member == nil || !update.Member.Alive && !e.member.Alive
	if !sameRecord {
		known := e.member
		known.Alive, known.Address = update.Member.Alive, e.advertisedAddress
		sameRecord = compareRecords(known, *update.Member) == Unchanged
	}
	if update.Beat < e.count {
		e.correctionTo, e.countVersion = sender, t.count
	}
	return sameRecord
}

// applyNewer applies an update with a higher count than known.
func (t *Table) applyNewer(e *entry, update model.MemberUpdate, fromOtherDomain bool, now time.Time) Change {
	old := e.member
	if update.Member != nil {
		e.member = *update.Member
		e.member.Address, e.member.Load, e.member.LastHeard = old.Address, old.Load, old.LastHeard
		e.updateAddress(update.Member.Address, &e.advertisedAddress)
		e.recordVersion = t.count
		if e.member.Holder.IsZero() {
			e.member.Load = nil
		}
	}
	if update.Member == nil && !old.Alive && !e.configured {
		// While the VM was dead, the VM list may have replaced the address.
		e.member.Address = e.advertisedAddress
	}
	if update.Load != nil {
		l := *update.Load
		e.member.Load, e.loadVersion = &l, t.count
	}
	if heard := now.Add(-time.Duration(update.Age) * 100 * time.Millisecond); heard.After(e.member.LastHeard) {
		e.member.LastHeard = heard
	}
	firstFromOtherDomain := fromOtherDomain && !e.fromOtherDomain
	e.count, e.fromOtherDomain, e.correctionTo = update.Beat, fromOtherDomain, ""
	if !fromOtherDomain || now.Sub(e.lastRelayed) >= relayInterval {
		e.countVersion, e.lastRelayed = t.count, now
	}
	died := update.Member != nil && !update.Member.Alive
	e.member.Alive = !died && t.timeSinceHeartbeat(e, now) < t.deadTimeout(e.member)
	if e.member.Alive && (!old.Alive || firstFromOtherDomain) {
		// The other VMs did not receive the record from this VM while the VM was dead or another one relayed its updates.
		e.recordVersion, e.loadVersion = t.count, t.count
	}
	return compareRecords(old, e.member)
}
