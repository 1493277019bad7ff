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

// Round decides the starts, preemptions and moves for the current state. Its cost grows with the events
// since the last round and with the number of different shapes that wait, not with the running tasks.
func (p *Planner) Round(now time.Time) Result {
	p.settle()
	p.endAvoidance(now)
	var r Result
	p.startHolds(now, &r)
	p.work = 0
	for range passes {
		p.serve(now, &r)
		if r.More {
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

// maxWork bounds the jobs that one round tries. 512 and 192 gave rounds of 166 ms and 92 ms for 26,000 tasks
// that arrive at once in 1,200 empty workers; the target is 50 ms.
const maxWork = 96

// passes bounds how often a round serves the queue again after a reservation was given up.
const passes = 2

// serve tries the buckets in order until nothing more fits. A start only raises its account's share, so a
// bucket whose facts changed since it was put in order is put back behind.
func (p *Planner) serve(now time.Time, r *Result) {
	for h := p.newTurns(now); h.Len() > 0; h = p.newTurns(now) {
		for h.Len() > 0 {
			t := heap.Pop(h).(turn)
			if len(t.bucket.jobs) == 0 {
				continue
			}
			if c := p.candidate(t.bucket); c != t.Candidate {
				heap.Push(h, turn{t.bucket, c})
				continue
			}
			if p.work >= p.maxWork {
				r.More = true
				return
			}
			if p.tryBucket(t.bucket, now, r) {
				if len(t.bucket.jobs) > 0 {
					heap.Push(h, turn{t.bucket, p.candidate(t.bucket)})
				}
				continue
			}
			t.bucket.failed = p.version
		}
	}
}

// startHolds starts the holding jobs whose accelerators are all free.
func (p *Planner) startHolds(now time.Time, r *Result) {
	for _, j := range slices.Clone(p.holds) {
		if j.pending > 0 {
			continue
		}
		p.holds = slices.DeleteFunc(p.holds, func(h *job) bool { return h == j })
		p.unreserve(j)
		p.run(j, now, r)
	}
}

// run starts a job on its slots.
func (p *Planner) run(j *job, now time.Time, r *Result) {
	j.phase, j.started = running, now
	j.placement = p.placementOf(j.slots)
	p.occupy(j)
	r.Starts = append(r.Starts, Start{Job: j.Job, Placement: slices.Clone(j.placement)})
}

func (p *Planner) placementOf(slots []cell.Slot) model.Placement {
	out := make(model.Placement, len(slots))
	for i, s := range slots {
		out[i] = model.Slot{Worker: p.topo.IDs[s.Worker], GPUs: s.GPUs}
	}
	return out
}

// tryBucket starts or holds one job of the bucket.
func (p *Planner) tryBucket(b *bucket, now time.Time, r *Result) bool {
	q := b.acct.policy.QuotaGPUs
	if n := b.class.tasks * b.class.gpus; q > 0 && n > 0 && b.acct.gpus+n > q {
		return false
	}
	depth := 1
	if p.res != nil && p.res.bucket != b {
		depth = backfillDepth
	}
	for _, j := range b.jobs[:min(depth, len(b.jobs))] {
		if p.tryJob(j, now, r) {
			return true
		}
	}
	return false
}

// tryJob places a job: within the guarantee on free accelerators, else on any free ones, else within the
// guarantee by preempting borrowers, else, if it is urgent, by preempting any borrowers that are not.
func (p *Planner) tryJob(j *job, now time.Time, r *Result) bool {
	p.work++
	guaranteed := j.Spec.GPUsPerTask > 0 && p.tracker.Guaranteed(j.Spec.Account)
	fixed := !j.Spec.Preemptible
	if guaranteed && p.tryFree(j, now, r, search{covered: true, fixed: true}) {
		return true
	}
	if p.tryFree(j, now, r, search{fixed: fixed}) {
		return true
	}
	if guaranteed {
		p.recharge(j.Spec.Account)
		if p.tryTake(j, now, r, search{take: true, covered: true, fixed: true}, ReasonReclaim) {
			return true
		}
	}
	return j.Spec.Urgent && p.tryTake(j, now, r, search{take: true, fixed: fixed}, ReasonUrgent)
}

func (p *Planner) searchAs(j *job, now time.Time, kind search) (*search, bool) {
	s := p.newSearch(j, now)
	s.take, s.covered, s.fixed, s.only = kind.take, kind.covered, kind.fixed, kind.only
	if s.take {
		// A guarantee and urgent work come before a reservation.
		s.barred = nil
	}
	key := s.attempt()
	if s.only == nil && p.failedAt(key) {
		return s, false
	}
	_, ok := s.find()
	if !ok && s.only == nil {
		p.attempts[key] = true
	}
	return s, ok
}

// attempt is what decides whether a search finds slots. Accounts without a guarantee share attempts.
type attempt struct {
	class                        class
	take, covered, fixed, barred bool
}

func (s *search) attempt() attempt {
	c := s.j.class()
	c.preemptible = false
	if !s.p.tracker.Guaranteed(c.account) || !s.fixed {
		c.account = ""
	}
	return attempt{class: c, take: s.take, covered: s.covered, fixed: s.fixed, barred: s.barred != nil}
}

// failedAt reports whether an equal search failed since accelerators were last freed. What fails then
// still fails, because starts only take accelerators.
func (p *Planner) failedAt(key attempt) bool {
	if p.attemptsOf != p.version {
		p.attemptsOf = p.version
		p.attempts = make(map[attempt]bool)
	}
	return p.attempts[key]
}

func (p *Planner) tryFree(j *job, now time.Time, r *Result, kind search) bool {
	s, ok := p.searchAs(j, now, kind)
	if !ok {
		return false
	}
	p.unqueue(j)
	j.slots, j.fixed = s.slots, s.fixed
	p.run(j, now, r)
	p.endReservationOf(j)
	return true
}

func (p *Planner) tryTake(j *job, now time.Time, r *Result, kind search, why Reason) bool {
	s, ok := p.searchAs(j, now, kind)
	if !ok {
		return false
	}
	var grace time.Duration
	if j.Spec.Urgent {
		grace = UrgentGrace
	}
	for _, v := range p.hold(j, s) {
		r.Preempts = append(r.Preempts, Preempt{Job: v.Job, For: j.Job, Reason: why, Grace: grace})
	}
	p.startHolds(now, r)
	return true
}

// hold reserves the found slots for a job and returns the borrowers that must leave.
func (p *Planner) hold(j *job, s *search) []*job {
	p.unqueue(j)
	j.slots, j.fixed, j.phase = s.slots, s.fixed, holding
	j.placement = p.placementOf(j.slots)
	var victims []*job
	for _, x := range j.slots {
		for i, o := range p.owner[x.Worker] {
			if o != nil && !o.leaving && x.GPUs&(1<<i) != 0 {
				o.leaving, o.leavesFor = true, j
				j.pending++
				victims = append(victims, o)
			}
		}
	}
	victims = append(victims, p.coreVictims(j, s)...)
	for _, v := range victims {
		p.refreshAll(v.slots)
	}
	p.holds = append(p.holds, j)
	p.reserve(j)
	p.endReservationOf(j)
	return victims
}

// recharge records running jobs of an account against its guarantee where that covers them now, so that the
// account does not preempt its own jobs. Non-preemptible ones come first, as in settle: a hold that counts on
// cells which settle gives to them would be dropped there after its victims were preempted.
func (p *Planner) recharge(a model.AccountID) {
	acct := p.account(a)
	if acct.recharged == p.version {
		return
	}
	acct.recharged = p.version
	for _, j := range acct.running {
		if !j.Spec.Preemptible && !j.leaving {
			p.recover(j)
		}
	}
	for _, j := range acct.running {
		if j.borrows() {
			p.charge(j)
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

func trailing(m model.GPUMask) int { return bits.TrailingZeros8(uint8(m)) }
