package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Digest returns the content of a heartbeat to a VM or of an answer to it, and raises the heartbeat count. It tells
// what the VM has not acknowledged: to a VM of another failure domain about the own failure domain, and to a VM of
// the own one about what this VM itself has learned from others.
func (t *Table) Digest(to model.VMID, now time.Time) model.Digest {
	t.beat++
	e, known := t.entries[to]
	if !known {
		e = &entry{}
	}
	since := e.acked
	e.sentCount = t.beat
	d := model.Digest{Since: since, Seen: e.seen, Updates: []model.MemberUpdate{t.selfUpdate(since)}}
	if e.outdated || e.quoted > e.beat {
		d.Known = max(e.highest(), e.quoted)
	}
	for id, o := range t.entries {
		if id == to || o.beat == 0 || max(o.counted, o.changed, o.loaded) < since {
			continue
		}
		if o.quoteTo == to || t.near(e.member) && o.outside || !t.near(e.member) && t.near(o.member) {
			d.Updates = append(d.Updates, t.updateOf(o, to, since, now))
		}
	}
	slices.SortFunc(d.Updates[1:], func(a, b model.MemberUpdate) int { return cmp.Compare(a.VM, b.VM) })
	return d
}

func (t *Table) selfUpdate(since uint64) model.MemberUpdate {
	out := model.MemberUpdate{VM: t.self.VM, Beat: t.beat}
	if t.changed >= since {
		m := t.self
		m.Alive = true
		out.Member = record(m)
	}
	if t.loaded >= since {
		out.Load = load(t.self.Load)
	}
	return out
}

func (t *Table) updateOf(e *entry, to model.VMID, since uint64, now time.Time) model.MemberUpdate {
	out := model.MemberUpdate{VM: e.member.VM, Beat: e.beat, Age: tenths(t.silent(e, now))}
	if e.changed >= since || e.quoteTo == to {
		m := e.member
		m.Address = e.advertised
		out.Member = record(m)
	}
	if e.loaded >= since {
		out.Load = load(e.member.Load)
	}
	return out
}

// tenths returns a duration in tenths of a second, rounded up so that updates never look younger than they are.
func tenths(d time.Duration) uint32 {
	const tenth = 100 * time.Millisecond
	return uint32(min((max(d, 0)+tenth-1)/tenth, math.MaxUint32))
}

// record returns a member as it travels: without load and local time.
func record(m model.Member) *model.Member {
	m.Load, m.LastHeard = nil, time.Time{}
	return &m
}

// load returns a load as it travels. Its failure domain and region are those of the member.
func load(l *model.DomainLoad) *model.DomainLoad {
	if l == nil {
		return nil
	}
	out := *l
	out.Domain, out.Region, out.Heard = "", "", time.Time{}
	return &out
}

// Heard applies a digest that arrived at a local time and returns its sender, or "" for an empty digest. A digest
// that does not raise the count of its sender, such as a repeated one, has no effect.
func (t *Table) Heard(d model.Digest, now time.Time) (model.VMID, Change) {
	if len(d.Updates) == 0 || d.Updates[0].VM == t.self.VM {
		return "", Unchanged
	}
	t.refute(d.Known)
	first := d.Updates[0]
	if !t.accepts(d) {
		return first.VM, Unchanged
	}
	sender := t.entries[first.VM]
	sender.direct = now
	change := t.rise(sender, first, !t.near(recordOf(sender, first)), now)
	sender.seen = first.Beat
	for _, n := range d.Updates[1:] {
		c, used := t.applyRelayed(n, first.VM, now)
		change = max(change, c)
		if !used {
			// The sender repeats all records.
			sender.seen = 0
		}
	}
	return first.VM, change
}

// accepts takes the acknowledgement of a digest and reports whether its updates are to be applied: its count is the
// highest from this sender, and all earlier updates were processed. A replaced VM has not processed them.
func (t *Table) accepts(d model.Digest) bool {
	first := d.Updates[0]
	e, known := t.entries[first.VM]
	if !known {
		if first.Member == nil {
			return false
		}
		e = &entry{}
		t.entries[first.VM] = e
	}
	if e.outdated = first.Beat < e.highest(); first.Beat <= e.highest() {
		return false
	}
	e.order, e.acked = first.Beat, d.Seen
	if d.Seen > e.sentCount {
		// The count belongs to an earlier VM with the own id.
		e.acked = 0
	}
	return d.Since <= e.seen
}

// refuteMargin exceeds the heartbeats that an earlier VM sent and the VM that relayed its count did not receive. At 100
// a second it covers 46 hours.
const refuteMargin = 1 << 24

// refute continues the heartbeat count above that of an earlier VM with the own id. The others may have
// acknowledged counts of the earlier VM, so that all updates count as learned now.
func (t *Table) refute(known uint64) {
	if known <= t.beat {
		return
	}
	t.beat = known + refuteMargin
	t.changed, t.loaded = t.beat, t.beat
	for _, e := range t.entries {
		e.counted, e.changed, e.loaded = t.beat, t.beat, t.beat
	}
}

// isNear reports whether an update concerns a VM of the own failure domain.
func (t *Table) isNear(n model.MemberUpdate) bool {
	if n.Member != nil {
		return t.near(*n.Member)
	}
	e, ok := t.entries[n.VM]
	return ok && t.near(e.member)
}

// recordOf returns the record that an entry has after an update.
func recordOf(e *entry, n model.MemberUpdate) model.Member {
	if n.Member != nil {
		return *n.Member
	}
	return e.member
}

// applyRelayed applies what a VM tells about another one. Only a higher count is a sign of life; at the same count a
// death counts. It reports whether the update was used; otherwise the digest is not acknowledged.
func (t *Table) applyRelayed(n model.MemberUpdate, from model.VMID, now time.Time) (Change, bool) {
	outside := !t.near(t.entries[from].member)
	if n.VM == t.self.VM {
		t.refute(n.Beat)
		return Unchanged, true
	}
	e, known := t.entries[n.VM]
	if t.isNear(n) {
		// This failure domain knows its own VMs better, but a VM may have to continue a higher count.
		if known {
			e.quoted = max(e.quoted, n.Beat)
		}
		return Unchanged, true
	}
	if !known || e.beat == 0 {
		if n.Member == nil || !n.Member.Alive {
			return Unchanged, n.Member != nil
		}
		if !known {
			e = &entry{}
			t.entries[n.VM] = e
		}
	}
	switch {
	case n.Beat > e.beat:
		return t.rise(e, n, outside, now), true
	case n.Beat == e.beat && n.Member != nil && !n.Member.Alive && e.member.Alive:
		e.member.Alive = false
		e.outside, e.counted, e.changed = outside, t.beat, t.beat
		return Immediate, true
	case n.Beat == e.beat && n.Member == nil:
		return Unchanged, true
	}
	return Unchanged, t.contradict(e, n, from)
}

// contradict makes the next digest to a sender contain the count of a VM of which it sent a lower one. It reports whether
// the received record is the known one. Others get none: a lower count is mostly a late one.
func (t *Table) contradict(e *entry, n model.MemberUpdate, from model.VMID) bool {
	// The record of a VM that both hold for dead does not matter.
	same := n.Member == nil || !n.Member.Alive && !e.member.Alive
	if !same {
		m := e.member
		m.Alive, m.Address = n.Member.Alive, e.advertised
		same = compare(m, *n.Member) == Unchanged
	}
	if n.Beat < e.beat {
		e.quoteTo, e.counted = from, t.beat
	}
	return same
}

// rise applies an update with a higher count than known.
func (t *Table) rise(e *entry, n model.MemberUpdate, outside bool, now time.Time) Change {
	old := e.member
	if n.Member != nil {
		e.member = *n.Member
		e.member.Address, e.member.Load, e.member.LastHeard = old.Address, old.Load, old.LastHeard
		e.moveTo(n.Member.Address, &e.advertised)
		e.changed = t.beat
		if e.member.Holder.IsZero() {
			e.member.Load = nil
		}
	}
	if n.Member == nil && !old.Alive && !e.named {
		// The list may have shown another address.
		e.member.Address = e.advertised
	}
	if n.Load != nil {
		l := *n.Load
		e.member.Load, e.loaded = &l, t.beat
	}
	if heard := now.Add(-time.Duration(n.Age) * 100 * time.Millisecond); heard.After(e.member.LastHeard) {
		e.member.LastHeard = heard
	}
	first := outside && !e.outside
	e.beat, e.outside, e.quoteTo = n.Beat, outside, ""
	if !outside || now.Sub(e.relayed) >= relayInterval {
		e.counted, e.relayed = t.beat, now
	}
	died := n.Member != nil && !n.Member.Alive
	e.member.Alive = !died && t.silent(e, now) < t.deadAfter(e.member)
	if e.member.Alive && (!old.Alive || first) {
		// Others did not learn the record from this VM while the VM was dead or relayed by another one.
		e.changed, e.loaded = t.beat, t.beat
	}
	return compare(old, e.member)
}
