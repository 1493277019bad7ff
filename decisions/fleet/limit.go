package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/accountlimit"
)

// charge is what a task run counts with against the limit and the guarantee of its client account. It outlives the unit
// of the run, so that orphans count until they end.
type charge struct {
	account workload.Account
	need    workload.Resources
	// urgent is set for a run of priority 0, to which the guarantee applies, and share is what it counts with against that, in
	// thousandths of an accelerator.
	urgent bool
	share  int
}

// accountUse counts what the runs of client accounts occupy: all of them, those that may be running because a start was
// sent, and those of priority 0.
type accountUse struct {
	occupied, dispatched, urgent accountlimit.Ledger
	// urgentShare is the sum of the shares of the runs of priority 0 of each account, urgentVersion counts the changes of these runs.
	urgentShare   map[workload.Account]int
	urgentVersion map[workload.Account]int64
}

func (u *accountUse) add(c charge) {
	u.occupied.Add(c.account, c.need)
	if c.urgent {
		u.urgent.Add(c.account, c.need)
		u.urgentShare[c.account] += c.share
		u.urgentVersion[c.account]++
	}
}

func (u *accountUse) remove(c charge) {
	u.occupied.Remove(c.account, c.need)
	if c.urgent {
		u.urgent.Remove(c.account, c.need)
		if u.urgentShare[c.account] -= c.share; u.urgentShare[c.account] == 0 {
			delete(u.urgentShare, c.account)
		}
		u.urgentVersion[c.account]++
	}
}

// chargeOf returns what a task of a step of a job counts with. Processors that do not count against the capacity of an
// executor count in full.
func (f *Scheduler) chargeOf(j *job, s *workload.Step) charge {
	return charge{account: j.rec.Account, need: s.Need, urgent: f.route(j).Priority == 0, share: f.shape().share(s.CapacityNeed())}
}

// limitOf returns the present limit of a job's client account, or that at the job's acceptance if the account was
// removed. The zero value is no limit.
func (f *Scheduler) limitOf(j *job) workload.Resources {
	if t := f.config.Account(j.rec.Account); t != nil {
		return t.Limit
	}
	return j.rec.AccountLimit
}

// limitPass is what a planning pass has decided about client accounts at their limits.
type limitPass struct {
	// claimed is the room below the limit that is kept for units which wait for it, guaranteed the part of it for work
	// within the guarantee of its account.
	claimed, guaranteed accountlimit.Ledger
	// backfill restricts the work of an account that may start ahead of its gangs.
	backfill map[workload.Account]*backfill
}

// totalNeed returns the resources that count against the account's limit while all tasks of a unit run.
func (u *unit) totalNeed() workload.Resources { return times(u.spec().Need, u.size) }

func times(r workload.Resources, n int) workload.Resources {
	return workload.Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// belowLimit reports whether the limit of its account permits the start of a unit. If it does not, the unit keeps later
// work of the account from the room that becomes free, and work within the guarantee stops other work of the account.
func (f *Scheduler) belowLimit(now time.Time, c *candidate, u *unit, usable []*executor) bool {
	a := u.job.rec.Account
	limit := f.limitOf(u.job)
	if limit == (workload.Resources{}) {
		return true
	}
	p := &f.limitPass
	need := u.totalNeed()
	present := f.use.occupied.Occupied(a).Add(f.unreportedUse(now, a))
	guaranteed := f.withinGuarantee(u)
	claimed := &p.claimed
	if guaranteed {
		claimed = &p.guaranteed
	}
	present = present.Add(claimed.Occupied(a))
	if !f.leavesGuarantee(u) {
		return false
	}
	if accountlimit.Room(limit, present, need) > 0 {
		b := p.backfill[a]
		return b == nil || c.Class <= classUrgent || u.spec().LongRunning || b.permits(now, c.expected)
	}
	switch {
	case accountlimit.Room(limit, workload.Resources{}, need) == 0:
		// The unit never fits below the present limit.
	case !f.couldFit(u, usable, false):
		// The room below the limit would not let the unit start.
	case guaranteed:
		f.vacateLimit(now, a, c.Class, accountlimit.Missing(limit, present, need))
		// The record is durable before the room is free.
		u.job.requestMayRun()
		f.holdRoom(u)
	case c.Class <= classUrgent:
		f.holdRoom(u)
	case u.size > 1 && !now.After(c.Expiry):
		p.restrict(a, latest(now, c.LatestStart))
	}
	return false
}

// holdRoom keeps room below the limit of its account for a unit that comes before later work and cannot start yet.
func (f *Scheduler) holdRoom(u *unit) {
	if f.limitOf(u.job) == (workload.Resources{}) {
		return
	}
	if f.withinGuarantee(u) {
		f.limitPass.guaranteed.Add(u.job.rec.Account, u.totalNeed())
	}
	f.limitPass.claimed.Add(u.job.rec.Account, u.totalNeed())
}

// holdRoomForStep keeps room below the limit of its account for the first of the waiting units of a step, which are equal to
// u, and for those of the others that the guarantee covers, too.
func (f *Scheduler) holdRoomForStep(u *unit, waiting int) {
	f.holdRoom(u)
	if f.limitOf(u.job) == (workload.Resources{}) {
		return
	}
	for range waiting - 1 {
		if !f.withinGuarantee(u) {
			return
		}
		f.holdRoom(u)
	}
}

// restrict lets work of an account below priority 0 start only if it ends before a gang of the account has to start.
func (p *limitPass) restrict(a workload.Account, latestStart time.Time) {
	if p.backfill == nil {
		p.backfill = map[workload.Account]*backfill{}
	}
	if p.backfill[a] == nil {
		p.backfill[a] = &backfill{}
	}
	p.backfill[a].restrictTo(latestStart)
}

// withinGuarantee reports whether a unit, all runs of priority 0 of its account and the units within the guarantee that
// already wait for room in this pass need no more than the account's guarantee. It is not called for a unit after its
// room was held.
func (f *Scheduler) withinGuarantee(u *unit) bool {
	a := u.job.rec.Account
	return f.route(u.job).Priority == 0 && f.coversAccelerators(a, f.limitPass.guaranteed.Occupied(a).GPU+u.totalNeed().GPU)
}

// vacateLimit stops work of an account that gives way to a class, that with the least lost work first, so that what the
// account occupies beyond its limit ends. It stops nothing unless that suffices.
func (f *Scheduler) vacateLimit(now time.Time, a workload.Account, class int, missing workload.Resources) {
	if !f.reconciled(now) {
		// What is missing is known only once all executors have reported.
		return
	}
	for _, e := range f.sortedExecutors {
		for _, r := range e.taskRuns {
			if r.charge.account == a && (r.stopping || r.unit != nil && r.unit.ending) {
				missing = missing.Sub(r.charge.need)
			}
		}
	}
	type victim struct {
		u    *unit
		need workload.Resources
		cost float64
	}
	var options, victims []victim
	for _, u := range f.activeUnits {
		if u.job.rec.Account == a && u.state == unitActive && !u.ending && !u.reserved() && f.runningClass(u) > class {
			options = append(options, victim{u, times(u.spec().Need, len(u.taskRuns)), f.lostWork(now, u)})
		}
	}
	slices.SortStableFunc(options, func(x, y victim) int { return cmp.Compare(x.cost, y.cost) })
	budgets := newStopBudgets(class)
	for _, v := range options {
		if reduces(missing, v.need) && budgets.take(v.u) {
			victims = append(victims, v)
			missing = missing.Sub(v.need)
		}
	}
	if exceeds(missing) {
		return
	}
	// A later choice may have made an earlier one needless. The most expensive ones are spared first.
	for _, v := range slices.Backward(victims) {
		if rest := missing.Add(v.need); !exceeds(rest) {
			missing = rest
		} else {
			f.count(CountLimitVacated)
			f.interrupt(now, v.u, StopAccountLimit)
		}
	}
}

// exceeds reports whether any resource is missing.
func exceeds(missing workload.Resources) bool {
	return missing.CPU > 0 || missing.Memory > 0 || missing.GPU > 0
}

// reduces reports whether releasing need makes less of a missing resource missing.
func reduces(missing, need workload.Resources) bool {
	return missing.CPU > 0 && need.CPU > 0 || missing.Memory > 0 && need.Memory > 0 || missing.GPU > 0 && need.GPU > 0
}

// mayDispatch reports whether the limit of its account permits to send the starts of a reserved unit now. The limit may
// have fallen, or runs may have been found, since the reservation.
func (f *Scheduler) mayDispatch(now time.Time, u *unit) bool {
	a := u.job.rec.Account
	limit := f.limitOf(u.job)
	return limit == (workload.Resources{}) ||
		accountlimit.Room(limit, f.use.dispatched.Occupied(a).Add(f.unreportedUse(now, a)), u.totalNeed()) > 0
}

// mayRepeat reports whether the limit of its account permits to send the start of a run again. The limit may have fallen
// since the first time.
func (f *Scheduler) mayRepeat(now time.Time, r *taskRun) bool {
	limit := f.limitOf(r.unit.job)
	if limit == (workload.Resources{}) {
		return true
	}
	a := r.charge.account
	others := f.use.dispatched.Occupied(a).Sub(r.charge.need).Add(f.unreportedUse(now, a))
	return accountlimit.Room(limit, others, r.charge.need) > 0
}

// unreportedUse returns an upper bound of what an account has running that earlier holders started and that no executor
// has reported to this holder.
func (f *Scheduler) unreportedUse(now time.Time, a workload.Account) workload.Resources {
	if f.reconciled(now) {
		return workload.Resources{}
	}
	hosts := f.unreconciledExecutors(now)
	if u := &f.unreported; u.bounds == nil || u.hosts != len(hosts) || now.Sub(u.at) >= unreportedInterval {
		*u = unreported{bounds: f.boundUnreported(hosts), hosts: len(hosts), at: now}
	}
	return f.unreported.bounds[a]
}

// unreportedInterval is how long the bounds are used again. They only fall while the same executors have not reported.
const unreportedInterval = 100 * time.Millisecond

// unreported holds the bounds of unreportedUse and the number of executors and the time that they were determined for.
type unreported struct {
	bounds map[workload.Account]workload.Resources
	hosts  int
	at     time.Time
}

// boundUnreported returns the bounds of unreportedUse for all accounts with a limit. hosts are the executors that have not
// reported.
func (f *Scheduler) boundUnreported(hosts []*executor) map[workload.Account]workload.Resources {
	var all accountlimit.Unreported
	for _, e := range hosts {
		all.Capacity = all.Capacity.Add(e.info.Capacity)
		all.Unbounded = all.Unbounded || e.info.Capacity == (workload.Resources{})
	}
	accounts := map[workload.Account]*accountlimit.Unreported{}
	for _, j := range f.jobs {
		a := j.rec.Account
		// All tasks of a completed job have ended; those of one that was cancelled or has failed may still run.
		if !j.inherited || j.state == workload.StateCompleted || f.limitOf(j) == (workload.Resources{}) || !slices.ContainsFunc(hosts, func(e *executor) bool { return e.mayHaveRun(j.rec.ID) }) {
			continue
		}
		if accounts[a] == nil {
			b := all
			accounts[a] = &b
		}
		for i := range j.rec.Steps {
			// The other tasks of a gang of which some run are known may be running, too.
			step, n := &j.rec.Steps[i], j.openTasks(i)
			accounts[a].Tasks = accounts[a].Tasks.Add(times(step.Need, n))
			accounts[a].Beside = accounts[a].Beside.Add(times(step.Need.Sub(step.CapacityNeed()), n))
		}
	}
	bounds := map[workload.Account]workload.Resources{}
	for a, u := range accounts {
		bounds[a] = u.Bound()
	}
	return bounds
}
