package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// LoadValid is the age after which a load is no longer used.
	LoadValid = 10 * time.Second
	// LoadInterval is the shortest interval between two publications of loads.
	LoadInterval = time.Second
	// LoadRefresh is the longest interval between two publications while a load is known. Receivers drop loads
	// older than LoadValid, and a load that did not change is confirmed by heartbeats only.
	LoadRefresh = 4 * time.Second
)

// Loads returns the load of every failure domain whose holder is alive and was heard within LoadValid, sorted by
// failure domain. Heard is the local time of the last heartbeat that confirmed the load; it is now for the load
// of this VM.
func (t *Table) Loads(now time.Time) []model.DomainLoad {
	self := t.self
	self.Alive, self.LastHeard = true, now
	best := make(map[model.FailureDomain]model.Member)
	for _, m := range append(t.Members(), self) {
		if m.Alive && best[m.Domain].Holder.Less(m.Holder) {
			best[m.Domain] = m
		}
	}
	var out []model.DomainLoad
	for _, m := range best {
		if m.Load == nil || now.Sub(m.LastHeard) >= LoadValid {
			continue
		}
		l := *m.Load
		l.Domain, l.Region, l.Heard = m.Domain, m.Region, m.LastHeard
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b model.DomainLoad) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// LoadFeed decides when the known loads are published.
type LoadFeed struct {
	last []model.DomainLoad
	at   time.Time
}

// Publish reports whether loads are to be published at a local time, and counts them as published then.
func (f *LoadFeed) Publish(loads []model.DomainLoad, now time.Time) bool {
	since := now.Sub(f.at)
	if since < LoadInterval {
		return false
	}
	if slices.EqualFunc(f.last, loads, sameLoad) && (len(loads) == 0 || since < LoadRefresh) {
		return false
	}
	f.last, f.at = loads, now
	return true
}

// sameLoad reports whether two loads differ at most in the time of learning.
func sameLoad(a, b model.DomainLoad) bool {
	a.Heard = b.Heard
	return a == b
}
