package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// MaxLoadAge is the age from which a load is not used.
	MaxLoadAge = 10 * time.Second
	// MinLoadInterval is the minimum interval between two publications of loads.
	MinLoadInterval = time.Second
	// MaxLoadInterval is the maximum interval between two publications while a load is known. Receivers drop loads older
	// than MaxLoadAge, so an unchanged load that heartbeats have confirmed is published again before that age.
	MaxLoadInterval = 4 * time.Second
)

// Loads returns the load of every failure domain whose holder is alive and has sent a heartbeat within MaxLoadAge,
// sorted by failure domain. Heard is the local time of the last heartbeat that confirmed the load, or now for the
// load of this VM.
func (t *Table) Loads(now time.Time) []model.DomainLoad {
	self := t.self
	self.Alive, self.LastHeard = true, now
	holders := make(map[model.FailureDomain]model.Member)
	for _, m := range append(t.Members(), self) {
		if m.Alive && holders[m.Domain].Holder.Less(m.Holder) {
			holders[m.Domain] = m
		}
	}
	var out []model.DomainLoad
	for _, m := range holders {
		if m.Load == nil || now.Sub(m.LastHeard) >= MaxLoadAge {
			continue
		}
		l := *m.Load
		l.Domain, l.Region, l.Heard = m.Domain, m.Region, m.LastHeard
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b model.DomainLoad) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// LoadThrottle limits the rate at which the known loads are published.
type LoadThrottle struct {
	published   []model.DomainLoad
	publishedAt time.Time
}

// ShouldPublish reports whether loads are to be published at a local time. If so, it records them as published.
func (f *LoadThrottle) ShouldPublish(loads []model.DomainLoad, now time.Time) bool {
	since := now.Sub(f.publishedAt)
	if since < MinLoadInterval {
		return false
	}
	if slices.EqualFunc(f.published, loads, sameLoad) && (len(loads) == 0 || since < MaxLoadInterval) {
		return false
	}
	f.published, f.publishedAt = loads, now
	return true
}

// sameLoad reports whether two loads are equal apart from the time at which they were confirmed.
func sameLoad(a, b model.DomainLoad) bool {
	a.Heard = b.Heard
	return a == b
}
