package fleet

import (
	"cmp"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// guaranteeCovers reports whether the guarantee of an account covers all its runs of priority 0 and further accelerators.
// Work of lower priorities does not count: it gives way to any guaranteed work.
func (f *Scheduler) guaranteeCovers(a workload.Account, further int) bool {
	t := f.config.Account(a)
	return t != nil && t.Guaranteed > 0 && f.use.urgent.Occupied(a).GPU+further <= t.Guaranteed
}

// guaranteedUnits caches, for each account whose runs of priority 0 exceed its guarantee, the units that the guarantee
// covers.
type guaranteedUnits struct {
	// version is that of the counts of priority 0 for which the units were determined.
	version  int64
	accounts map[workload.Account]map[*unit]bool
}

// runsWithinGuarantee reports whether the guarantee of its account covers a running unit of priority 0. It covers the
// units that were accepted first, so that an account that also runs work beyond its guarantee keeps what it guarantees.
func (f *Scheduler) runsWithinGuarantee(u *unit) bool {
	a := u.job.rec.Account
	if f.guaranteeCovers(a, 0) {
		return true
	}
	t := f.config.Account(a)
	if t == nil || t.Guaranteed == 0 {
		return false
	}
	g := &f.guaranteed
	if g.accounts == nil || g.version != f.use.urgentVersion {
		*g = guaranteedUnits{version: f.use.urgentVersion, accounts: map[workload.Account]map[*unit]bool{}}
	}
	if g.accounts[a] == nil {
		g.accounts[a] = f.coveredUnits(t)
	}
	return g.accounts[a][u]
}

// coveredUnits returns the running units of priority 0 that the guarantee of an account covers.
func (f *Scheduler) coveredUnits(t *workload.AccountConfig) map[*unit]bool {
	var units []*unit
	for _, u := range f.activeUnits {
		if u.job.rec.Account == t.Name && u.state == unitActive && f.route(u.job).Priority == 0 {
			units = append(units, u)
		}
	}
	slices.SortStableFunc(units, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(a.job.createdRevision, b.job.createdRevision), cmp.Compare(a.job.rec.ID, b.job.rec.ID))
	})
	covered := map[*unit]bool{}
	left := t.Guaranteed
	for _, u := range units {
		if gpus := u.totalNeed().GPU; gpus <= left {
			covered[u] = true
			left -= gpus
		}
	}
	return covered
}
