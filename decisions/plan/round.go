package plan

import (
	"container/heap"
	"math/bits"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
	"github.com/verbenaflow/verbenaflow/decisions/guarantee"
)

// Round decides the starts, preemptions and migrations for the current state. Its cost grows with the number of events
// since the last round and with the number of distinct classes of waiting jobs, not with the number of running tasks.
func (p *Planner) Round(now time.Time) Result {
	p.rebuild()
	p.expireAvoidance(now)
	var r Result
	p.startReadyHolds(now, &r)
	p.triedJobs = 0
	for range maxPasses {
		p.tryBuckets(now, &r)
		if r.Incomplete {
			r.Shortfall = p.shortfall()
			return r
		}
		v := p.version
		p.makeReservation(now)
		if p.version == v {
			break
		}
	}
	p.defragment(now, &r)
	r.Shortfall = p.shortfall()
	return r
}

// maxTriedJobs bounds the jobs that one round tries to place, so that a round keeps to its target of 50 ms when 26,000
// tasks arrive at once for 1,200 idle workers. With bounds of 192 and 512 such a round takes 92 ms and 166 ms.
const maxTriedJobs = 96

// maxPasses bounds how often one round goes through the queue. A pass is repeated after a reservation has ended.
const maxPasses = 2

// tryBuckets tries the buckets in queue order until no further job fits. A start only raises its account's share, so a
// bucket whose heap entry is out of date can only belong further back; it is pushed again with its current entry.
func (p *Planner) tryBuckets(now time.Time, r *Result) {
	for h := p.newBucketHeap(now); h.Len() > 0; h = p.newBucketHeap(now) {
		for h.Len() > 0 {
			entry := heap.Pop(h).(bucketEntry)
			if len(entry.bucket.jobs) == 0 {
				continue
			}
			if c := p.queueCandidate(entry.bucket); c != entry.Candidate {
				heap.Push(h, bucketEntry{entry.bucket, c})
				continue
			}
			if p.triedJobs >= p.maxTriedJobs {
				r.Incomplete = true
				return
			}
			if p.tryBucket(entry.bucket, now, r) {
				if len(entry.bucket.jobs) > 0 {
					heap.Push(h, bucketEntry{entry.bucket, p.queueCandidate(entry.bucket)})
				}
				continue
			}
			entry.bucket.failedVersion = p.version
		}
	}
}

// startReadyHolds starts the holding jobs that no longer wait for evicted jobs.
func (p *Planner) startReadyHolds(now time.Time, r *Result) {
	for _, j := range slices.Clone(p.holdingJobs) {
		if j.pendingEvictions > 0 {
			continue
		}
		p.holdingJobs = slices.DeleteFunc(p.holdingJobs, func(h *job) bool { return h == j })
		p.unreserve(j)
		p.startJob(j, now, r)
	}
}

// startJob starts a job on the slots that were found for it.
func (p *Planner) startJob(j *job, now time.Time, r *Result) {
	j.phase, j.started = running, now
	j.placement = p.placementOf(j.slots)
	p.allocate(j)
	r.Starts = append(r.Starts, Start{Job: j.Job, Placement: slices.Clone(j.placement)})
}

func (p *Planner) placementOf(slots []cell.Slot) model.Placement {
	out := make(model.Placement, len(slots))
	for i, s := range slots {
		out[i] = model.Slot{Worker: p.topo.WorkerIDs[s.Worker], GPUs: s.GPUs}
	}
	return out
}

// tryBucket starts one job of the bucket or makes it a holding job. It returns false if none fits.
func (p *Planner) tryBucket(b *bucket, now time.Time, r *Result) bool {
	q := b.acct.policy.QuotaGPUs
	if n := b.class.tasks * b.class.gpus; q > 0 && n > 0 && b.acct.gpus+n > q {
		return false
	}
	depth := 1
	if p.activeReservation != nil && p.activeReservation.bucket != b {
		depth = backfillDepth
	}
	for _, j := range b.jobs[:min(depth, len(b.jobs))] {
		if p.tryJob(j, now, r) {
			return true
		}
	}
	return false
}

// tryJob tries to place a job, in this order: on free accelerators within the guarantee of its account, on any free
// accelerators, within the guarantee by preempting borrowers and, for an urgent job, anywhere by preempting borrowers
// that are not urgent.
func (p *Planner) tryJob(j *job, now time.Time, r *Result) bool {
	p.triedJobs++
	guaranteed := j.Spec.GPUsPerTask > 0 && p.tracker.HasGuarantee(j.Spec.Account)
	protected := !j.Spec.Preemptible
	if guaranteed && p.tryStart(j, now, r, search{withinGuarantee: true, protected: true}) {
		return true
	}
	if p.tryStart(j, now, r, search{protected: protected}) {
		return true
	}
	if guaranteed {
		p.coverRunningJobs(j.Spec.Account)
		if p.tryPreempt(j, now, r, search{preempt: true, withinGuarantee: true, protected: true}, ReasonReclaim) {
			return true
		}
	}
	return j.Spec.Urgent && p.tryPreempt(j, now, r, search{preempt: true, protected: protected}, ReasonUrgent)
}

// runSearch searches slots for a job with the options of mode, unless such a search is known to fail.
func (p *Planner) runSearch(j *job, now time.Time, mode search) (*search, bool) {
	s := p.newSearch(j, now)
	s.preempt, s.withinGuarantee, s.protected, s.onlyWorkers = mode.preempt, mode.withinGuarantee, mode.protected, mode.onlyWorkers
	if s.preempt {
		// Reclaimed guarantees and urgent jobs have priority over a reservation.
		s.blockedWorkers = nil
	}
	key := s.searchKey()
	if s.onlyWorkers == nil && p.knownToFail(key) {
		return s, false
	}
	_, ok := s.findSlots()
	if !ok && s.onlyWorkers == nil {
		p.failedSearches[key] = true
	}
	return s, ok
}

// searchKey holds everything that decides whether a search finds slots. Searches that do not depend on the guarantees
// of the account have the same key for all accounts.
type searchKey struct {
	class                                        class
	preempt, withinGuarantee, protected, blocked bool
}

func (s *search) searchKey() searchKey {
	c := s.j.class()
	c.preemptible = false
	if !s.p.tracker.HasGuarantee(c.account) || !s.protected {
		c.account = ""
	}
	return searchKey{class: c, preempt: s.preempt, withinGuarantee: s.withinGuarantee, protected: s.protected, blocked: s.blockedWorkers != nil}
}

// knownToFail reports whether a search with the same key has failed since accelerators were last freed. Such a search
// still fails, because starts only allocate accelerators.
func (p *Planner) knownToFail(key searchKey) bool {
	if p.failedSearchesVersion != p.version {
		p.failedSearchesVersion = p.version
		p.failedSearches = make(map[searchKey]bool)
	}
	return p.failedSearches[key]
}

// tryStart starts a job if a search finds slots for it.
func (p *Planner) tryStart(j *job, now time.Time, r *Result, mode search) bool {
	s, ok := p.runSearch(j, now, mode)
	if !ok {
		return false
	}
	p.removeFromBucket(j)
	j.slots, j.protected = s.slots, s.protected
	p.startJob(j, now, r)
	p.endReservationOf(j)
	return true
}

// tryPreempt makes a job a holding job and preempts borrowers for it if a search finds slots.
func (p *Planner) tryPreempt(j *job, now time.Time, r *Result, mode search, reason PreemptionReason) bool {
	s, ok := p.runSearch(j, now, mode)
	if !ok {
		return false
	}
	var grace time.Duration
	if j.Spec.Urgent {
		grace = UrgentGracePeriod
	}
	for _, v := range p.hold(j, s) {
		r.Preemptions = append(r.Preemptions, Preemption{Job: v.Job, ForJob: j.Job, Reason: reason, GracePeriod: grace})
	}
	p.startReadyHolds(now, r)
	return true
}

// hold reserves the found slots for a job and returns the borrowers to evict from them.
func (p *Planner) hold(j *job, s *search) []*job {
	p.removeFromBucket(j)
	j.slots, j.protected, j.phase = s.slots, s.protected, holding
	j.placement = p.placementOf(j.slots)
	var victims []*job
	for _, x := range j.slots {
		for i, o := range p.gpuOwner[x.Worker] {
			if o != nil && !o.evicting && x.GPUs&(1<<i) != 0 {
				o.evicting, o.evictedFor = true, j
				j.pendingEvictions++
				victims = append(victims, o)
			}
		}
	}
	victims = append(victims, p.hostVictims(j, s)...)
	for _, v := range victims {
		p.refreshAll(v.slots)
	}
	p.holdingJobs = append(p.holdingJobs, j)
	p.reserve(j)
	p.endReservationOf(j)
	return victims
}

// coverRunningJobs records the running jobs of an account as within its guarantee where the guarantee covers them now,
// so that the account does not preempt its own jobs. Non-preemptible jobs come first, as in rebuild: otherwise a hold
// could rely on cells that the next rebuild assigns to them, and would be cancelled after its victims were preempted.
func (p *Planner) coverRunningJobs(a model.AccountID) {
	acct := p.account(a)
	if acct.coveredVersion == p.version {
		return
	}
	acct.coveredVersion = p.version
	for _, j := range acct.running {
		if !j.Spec.Preemptible && !j.evicting {
			p.restoreProtected(j)
		}
	}
	for _, j := range acct.running {
		if j.isBorrower() {
			p.tryCover(j)
		}
	}
}

func (p *Planner) shortfall() []model.CellCount {
	var out []model.CellCount
	for l, n := range p.tracker.Deficit() {
		if n > 0 {
			out = append(out, model.CellCount{Level: guarantee.Levels[l], Count: n})
		}
	}
	return out
}

func lowestGPU(m model.GPUMask) int { return bits.TrailingZeros8(uint8(m)) }
