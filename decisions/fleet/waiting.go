package fleet

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// WaitReason is why a unit that could start has not been started in the last planning pass.
type WaitReason string

// Reasons to wait.
const (
	// WaitLease means that the holder's lease is not confirmed, so that another VM may be the holder.
	WaitLease WaitReason = "lease_unconfirmed"
	// WaitUnverified means that the job may be running on executors that have not reported to this holder yet.
	WaitUnverified WaitReason = "unverified_executors"
	// WaitRecord means that the record that the job may run is not durable yet.
	WaitRecord WaitReason = "record"
	// WaitRetry means that the last start was refused a moment ago.
	WaitRetry WaitReason = "retry_delay"
	// WaitHeadroom means that the free capacity is kept for urgent work that is about to arrive.
	WaitHeadroom WaitReason = "headroom"
	// WaitGang means that the free capacity is kept for a gang that waits for more.
	WaitGang WaitReason = "waiting_gang"
	// WaitAccountLimit means that the account's runs occupy its limit, or that the room below the limit is kept for other
	// work of the account.
	WaitAccountLimit WaitReason = "account_limit"
	// WaitAccountRate means that the job exceeds the rate of its account and that other work waits for capacity.
	WaitAccountRate WaitReason = "account_rate"
	// WaitGuarantee means that what is left of the capacity can be reclaimed by accounts with a guarantee, and that the tasks
	// of the unit could not be stopped for them.
	WaitGuarantee WaitReason = "guarantee"
	// WaitCapacity means that the unit does not fit on the executors that may run it.
	WaitCapacity WaitReason = "capacity"
)

// noticeDelay is the wait from which on a job is reported once.
const noticeDelay = 2 * time.Second

// WaitNotice reports a job that has waited for noticeDelay.
type WaitNotice struct {
	Job              workload.JobID
	Occurrence, Step int
	Waited           time.Duration
	Reason           WaitReason
	// Excess is set if the job exceeds the rate of its account, so that other work comes first.
	Excess bool
	// Guaranteed is set if the unit lies within the guarantee of its account, which is to be reclaimed within seconds.
	Guaranteed bool
	// Pool is the use of the executors of the unit's pool.
	Pool PoolUse
}

// PoolUse says what keeps a waiting unit from the executors of its pool.
type PoolUse struct {
	// Capacity is the capacity of the executors that may be given work, Staying the part of it that runs occupy which do not
	// give way to the unit.
	Capacity, Staying workload.Resources
	// OutOfUse is the number of accelerators of executors that are registered and may not be given work for a while.
	OutOfUse int
	// Reclaimable is the number of accelerators that accounts may still reclaim.
	Reclaimable int
}

func (WaitNotice) action() {}

// setWaiting sets the reason of units that are not started.
func setWaiting(units []*unit, r WaitReason) {
	for _, u := range units {
		u.waitsFor = r
	}
}

// reportWaiting adds a notice for each job that has waited for long and was not reported yet.
func (f *Scheduler) reportWaiting(now time.Time) {
	// Many jobs of a burst are reported in one pass.
	type kind struct {
		pool  workload.Pool
		class int
	}
	uses := map[kind]PoolUse{}
	for _, u := range f.pendingUnits {
		if u.state != unitPending || u.job.waitReported || now.Sub(u.pendingSince) < noticeDelay {
			continue
		}
		u.job.waitReported = true
		f.count(CountWait + "_" + Counter(u.waitsFor))
		class := f.classOf(u)
		guaranteed := class == classGuaranteed
		if guaranteed {
			f.count(CountGuaranteedWait)
		}
		k := kind{f.route(u.job).Pool, class}
		use, known := uses[k]
		if !known {
			use = f.poolUse(now, k.pool, class)
			uses[k] = use
		}
		f.actions = append(f.actions, WaitNotice{
			Job: u.job.rec.ID, Occurrence: u.occurrence, Step: u.step, Waited: now.Sub(u.pendingSince), Reason: u.waitsFor, Excess: u.job.excess, Guaranteed: guaranteed,
			Pool: use,
		})
	}
}

// poolUse returns the use of a pool as seen by waiting units of a class.
func (f *Scheduler) poolUse(now time.Time, pool workload.Pool, class int) PoolUse {
	use := PoolUse{Reclaimable: f.reclaimable(pool)}
	for _, e := range f.sortedExecutors {
		switch {
		case e.info.Pool != pool || e.closed():
			continue
		case !f.eligible(now, e):
			use.OutOfUse += e.info.Capacity.GPU
			continue
		}
		use.Capacity = use.Capacity.Add(e.info.Capacity)
		for _, r := range e.taskRuns {
			if r.unit == nil || r.unit.isFixed() || f.runningClass(r.unit) <= class {
				use.Staying = use.Staying.Add(r.load)
			}
		}
	}
	return use
}
