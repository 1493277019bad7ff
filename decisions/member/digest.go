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
	if since > t.beat {
		// The count belongs to an earlier VM with this id.
		since = 0
	}
	d := model.Digest{Since: since, Seen: e.seen, News: []model.MemberNews{t.selfNews(since)}}
	if e.outdated {
		d.Known = e.beat
	}
	for id, o := range t.entries {
		if id == to || o.beat == 0 || max(o.news, o.changed) < since {
			continue
		}
		if t.near(e.member) && o.outside || !t.near(e.member) && t.near(o.member) {
			d.News = append(d.News, t.news(o, since, now))
		}
	}
	slices.SortFunc(d.News[1:], func(a, b model.MemberNews) int { return cmp.Compare(a.VM, b.VM) })
	return d
}

func (t *Table) selfNews(since uint64) model.MemberNews {
	out := model.MemberNews{VM: t.self.VM, Beat: t.beat}
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

func (t *Table) news(e *entry, since uint64, now time.Time) model.MemberNews {
	out := model.MemberNews{VM: e.member.VM, Beat: e.beat, AgeMS: uint32(min(t.silent(e, now).Milliseconds(), math.MaxUint32))}
	if e.changed >= since {
		m := e.member
		m.Address = e.advertised
		out.Member = record(m)
	}
	if e.loaded >= since {
		out.Load = load(e.member.Load)
	}
	return out
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

// Heard applies a digest that arrived at a local time and returns its sender, or "" for an empty digest.
func (t *Table) Heard(d model.Digest, now time.Time) (model.VMID, Change) {
	if len(d.News) == 0 || d.News[0].VM == t.self.VM {
		return "", Unchanged
	}
	t.refute(d.Known)
	first := d.News[0]
	complete := t.complete(first.VM, d.Since)
	change := t.heardDirectly(first, d.Seen, complete, now)
	sender, known := t.entries[first.VM]
	if !known {
		return first.VM, change
	}
	for _, n := range d.News[1:] {
		if n.VM == t.self.VM || t.isNear(n) || !complete && n.Member == nil {
			// This failure domain knows its own VMs better.
			continue
		}
		change = max(change, t.hearsay(n, !t.near(sender.member), now))
	}
	return first.VM, change
}

// complete reports whether all digests of a VM up to a count were processed or repeated.
func (t *Table) complete(id model.VMID, since uint64) bool {
	e, known := t.entries[id]
	return since == 0 || known && e.seen >= since
}

// refuteMargin exceeds the heartbeats that an earlier VM sent and the VM that told its count did not receive. At 100
// a second it covers 46 hours.
const refuteMargin = 1 << 24

// refute continues the heartbeat count above that of an earlier VM with the own id. The others may have
// acknowledged counts of the earlier VM, so that all news count as learned now.
func (t *Table) refute(known uint64) {
	if known <= t.beat {
		return
	}
	t.beat = known + refuteMargin
	t.changed, t.loaded = t.beat, t.beat
	for _, e := range t.entries {
		e.news, e.changed, e.loaded = t.beat, t.beat, t.beat
	}
}

// isNear reports whether news concern a VM of the own failure domain.
func (t *Table) isNear(n model.MemberNews) bool {
	if n.Member != nil {
		return t.near(*n.Member)
	}
	e, ok := t.entries[n.VM]
	return ok && t.near(e.member)
}

// heardDirectly applies what a VM tells about itself, and its acknowledgement.
func (t *Table) heardDirectly(n model.MemberNews, seen uint64, complete bool, now time.Time) Change {
	e, known := t.entries[n.VM]
	if !known {
		if n.Member == nil {
			return Unchanged
		}
		e = &entry{}
		t.entries[n.VM] = e
	}
	if n.Beat <= e.beat {
		e.outdated = n.Beat < e.beat
		return Unchanged
	}
	e.outdated, e.acked = false, seen
	if n.Member == nil && !complete {
		return Unchanged
	}
	e.direct = now
	if complete {
		e.seen = n.Beat
	}
	return t.rise(e, n, !t.near(recordOf(e, n)), now)
}

// recordOf returns the record that an entry has after news.
func recordOf(e *entry, n model.MemberNews) model.Member {
	if n.Member != nil {
		return *n.Member
	}
	return e.member
}

// hearsay applies what a VM tells about another one. Only a higher count is a sign of life; at the same count a
// death counts.
func (t *Table) hearsay(n model.MemberNews, outside bool, now time.Time) Change {
	e, known := t.entries[n.VM]
	if !known || e.beat == 0 {
		if n.Member == nil || !n.Member.Alive {
			return Unchanged
		}
		if !known {
			e = &entry{}
			t.entries[n.VM] = e
		}
	}
	died := n.Member != nil && !n.Member.Alive
	switch {
	case n.Beat > e.beat:
		return t.rise(e, n, outside, now)
	case n.Beat == e.beat && died && e.member.Alive:
		e.member.Alive = false
		e.outside, e.news, e.changed = outside, t.beat, t.beat
		return Immediate
	}
	return Unchanged
}

// rise applies news with a higher count than known.
func (t *Table) rise(e *entry, n model.MemberNews, outside bool, now time.Time) Change {
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
	if n.Load != nil {
		l := *n.Load
		e.member.Load, e.loaded = &l, t.beat
	}
	if heard := now.Add(-time.Duration(n.AgeMS) * time.Millisecond); heard.After(e.member.LastHeard) {
		e.member.LastHeard = heard
	}
	first := outside && !e.outside
	e.beat, e.news, e.outside = n.Beat, t.beat, outside
	died := n.Member != nil && !n.Member.Alive
	e.member.Alive = !died && t.silent(e, now) < t.deadAfter(e.member)
	if e.member.Alive && (!old.Alive || first) {
		// Others did not learn the record from this VM while the VM was dead or told of by another one.
		e.changed, e.loaded = t.beat, t.beat
	}
	return compare(old, e.member)
}
