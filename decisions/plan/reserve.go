package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// largeGPUs is the size in accelerators from which a waiting job may have a reservation; smaller ones
	// find room in broken workers.
	largeGPUs = model.GPUsPerWorker
	// reservePause is the time without reservation for a shape after one proved useless, as when another
	// account's guarantee needs the drained workers.
	reservePause = 10 * time.Minute
)

// reservation keeps workers for the first large job of the queue. Only jobs that are expected to end before
// until may start there. It stays until a job of the bucket starts, so that no stream of small jobs
// delays it for longer than the jobs that already run there. The rule is EASY backfilling ("The ANL/IBM
// SP Scheduling System", 1995), limited to the workers that the job will use.
type reservation struct {
	bucket  *bucket
	workers map[int]bool
	list    []int
	until   time.Time
	// cores is true if the job also waits for the tasks without accelerators on its workers.
	cores bool
}

// bars reports whether the reservation keeps a job of another bucket out that ends after it is due.
func (r *reservation) bars(j *job) bool {
	return r.bucket != j.bucket && (j.Spec.GPUsPerTask > 0 || r.cores)
}

func (r *reservation) valid(p *Planner) bool {
	for _, w := range r.list {
		if !p.info[w].Usable {
			return false
		}
	}
	return len(r.bucket.jobs) > 0
}

// drained reports whether all workers of the reservation are free.
func (r *reservation) drained(p *Planner) bool {
	for _, w := range r.list {
		if p.free.Mask(w).Count() < model.GPUsPerWorker || (r.cores && len(p.on[w]) > 0) {
			return false
		}
	}
	return true
}

// endReservation gives the workers back; jobs that the reservation kept out are tried again.
func (p *Planner) endReservation() {
	p.res = nil
	p.version++
}

// endReservationOf ends the reservation if it is for the bucket of a job that starts.
func (p *Planner) endReservationOf(j *job) {
	if p.res != nil && p.res.bucket == j.bucket {
		p.endReservation()
	}
}

// makeReservation makes a reservation for the first large job of the queue, if there is none.
func (p *Planner) makeReservation(now time.Time) {
	if p.opts.NoReservation {
		return
	}
	if p.res != nil && p.res.drained(p) {
		p.res.bucket.noReserve = now.Add(reservePause)
		p.endReservation()
	}
	for p.res == nil {
		b := p.firstLarge(now)
		if b == nil {
			return
		}
		p.res = p.target(b, now)
		if p.res == nil {
			b.noReserve = now.Add(reservePause)
		}
	}
}

func (p *Planner) firstLarge(now time.Time) *bucket {
	var best *bucket
	for _, b := range p.buckets {
		q := b.acct.policy.QuotaGPUs
		n := b.class.tasks * b.class.gpus
		if (n < largeGPUs && !p.beyondShare(b.class)) || now.Before(b.noReserve) || (q > 0 && b.acct.gpus+n > q) {
			continue
		}
		if best == nil || b.head().rank.Before(best.head().rank) {
			best = b
		}
	}
	return best
}

// drain is a worker with the time at which it is expected to be free.
type drain struct {
	worker int
	at     time.Time
	cap    int
}

// target selects the workers that are expected to be free first for a job of the bucket.
func (p *Planner) target(b *bucket, now time.Time) *reservation {
	if b.class.within != model.LevelRack && b.class.within != model.LevelWorker {
		return p.targetIn(b, p.drains(b, p.allWorkers(), now))
	}
	var best *reservation
	for _, ws := range p.topo.Racks {
		r := p.targetIn(b, p.drains(b, ws, now))
		if r != nil && (best == nil || r.until.Before(best.until)) {
			best = r
		}
	}
	return best
}

func (p *Planner) allWorkers() []int {
	out := make([]int, p.topo.Workers())
	for i := range out {
		out[i] = i
	}
	return out
}

// drains returns the workers that the bucket may use, the first to be free first.
func (p *Planner) drains(b *bucket, ws []int, now time.Time) []drain {
	var out []drain
	for _, w := range ws {
		if !p.info[w].Usable || (!b.class.preemptible && p.tracker.PinnedByOthers(w, b.class.account)) {
			continue
		}
		if n := b.perWorker(p.info[w]); n > 0 {
			out = append(out, drain{worker: w, at: p.freeAt(w, p.beyondShare(b.class), now), cap: n})
		}
	}
	slices.SortStableFunc(out, func(a, b drain) int { return a.at.Compare(b.at) })
	return out
}

// perWorker returns how many tasks of the bucket an empty worker holds.
func (b *bucket) perWorker(w Worker) int {
	return tasksWithin(load{b.class.cores, b.class.mem}, w.total(), load{}, model.GPUsPerWorker/b.class.gpus)
}

// freeAt returns when all jobs of a worker are expected to have ended; those without accelerators count only
// if cores is true.
func (p *Planner) freeAt(w int, cores bool, now time.Time) time.Time {
	at := now
	var last *job
	for _, j := range p.on[w] {
		if j == last || (j.Spec.GPUsPerTask == 0 && !cores) {
			continue
		}
		last = j
		if end := p.endsBy(j, now); end.After(at) {
			at = end
		}
	}
	return at
}

// targetIn selects the first workers in order that hold a job of the bucket without breaking a guarantee.
func (p *Planner) targetIn(b *bucket, ds []drain) *reservation {
	r := &reservation{bucket: b, workers: make(map[int]bool), cores: p.beyondShare(b.class)}
	left := b.class.tasks
	for _, d := range ds {
		if left <= 0 {
			break
		}
		r.list = append(r.list, d.worker)
		if !b.class.preemptible && !p.tracker.AllowsWithout(r.list) {
			r.list = r.list[:len(r.list)-1]
			continue
		}
		if b.class.within == model.LevelWorker && d.cap < b.class.tasks {
			r.list = r.list[:len(r.list)-1]
			continue
		}
		left -= d.cap
		r.workers[d.worker] = true
		if d.at.After(r.until) {
			r.until = d.at
		}
	}
	if left > 0 {
		return nil
	}
	return r
}

// movable is a worker whose tasks could all move away, with the cost in accelerator seconds.
type movable struct {
	worker int
	cost   float64
	jobs   []*job
}

const (
	// maxMovesPerRound bounds the jobs that move for one gang.
	maxMovesPerRound = 4
	// maxMovesPerJob bounds how often one job moves.
	maxMovesPerJob = 3
	// moveInterval is the least time between two moves of a job.
	moveInterval = time.Hour
	// moveCost is the time that a move costs each accelerator of a job: checkpoint, stop, start, restore.
	moveCost = 2 * time.Minute
)

// defragment moves borrowers away for the job with the reservation, if its gang gains more accelerator
// seconds than the moves cost and every moved job fits elsewhere now.
func (p *Planner) defragment(now time.Time, r *Result) {
	if !p.policy.Defragment || p.res == nil || len(p.holds) > 0 {
		return
	}
	b := p.res.bucket
	n := b.class.tasks * b.class.gpus
	if p.free.Total(1) < n || b.failed != p.version {
		return
	}
	gain := p.res.until.Sub(now).Seconds() * float64(n)
	target, jobs, cost := p.cheapest(b, now)
	if target == nil || len(jobs) > maxMovesPerRound || gain <= cost || !p.fitElsewhere(jobs, target, now) {
		return
	}
	j := b.head()
	s, ok := p.searchAs(j, now, search{take: true, fixed: !j.Spec.Preemptible, only: target})
	if !ok {
		return
	}
	for _, v := range p.hold(j, s) {
		v.moves++
		v.lastMove = now
		r.Moves = append(r.Moves, Move{Job: v.Job, For: j.Job})
	}
	p.startHolds(now, r)
}

// cheapest returns the workers that hold the gang and cost least to empty, with the jobs to move.
func (p *Planner) cheapest(b *bucket, now time.Time) (target map[int]bool, jobs []*job, cost float64) {
	groups := p.topo.Racks
	if b.class.within != model.LevelRack && b.class.within != model.LevelWorker {
		groups = [][]int{p.allWorkers()}
	}
	for _, ws := range groups {
		t, js, c := p.cheapestIn(b, ws, now)
		if t != nil && (target == nil || c < cost) {
			target, jobs, cost = t, js, c
		}
	}
	return target, jobs, cost
}

func (p *Planner) cheapestIn(b *bucket, ws []int, now time.Time) (map[int]bool, []*job, float64) {
	var ms []movable
	for _, w := range ws {
		if m, ok := p.movable(w, now); ok && b.perWorker(p.info[w]) > 0 {
			ms = append(ms, m)
		}
	}
	slices.SortStableFunc(ms, func(a, b movable) int { return cmp.Compare(a.cost, b.cost) })
	target, left, cost := make(map[int]bool), b.class.tasks, 0.0
	var jobs []*job
	for _, m := range ms {
		if left <= 0 {
			break
		}
		n := b.perWorker(p.info[m.worker])
		if b.class.within == model.LevelWorker && n < b.class.tasks {
			continue
		}
		target[m.worker] = true
		left -= n
		for _, j := range m.jobs {
			if !slices.Contains(jobs, j) {
				jobs = append(jobs, j)
				cost += float64(j.Spec.GPUs()) * moveCost.Seconds()
			}
		}
	}
	if left > 0 {
		return nil, nil, 0
	}
	return target, jobs, cost
}

// movable returns the jobs of a worker if all of them may move.
func (p *Planner) movable(w int, now time.Time) (movable, bool) {
	m := movable{worker: w}
	if !p.info[w].Usable || p.reserved[w] != 0 {
		return m, false
	}
	for _, j := range p.owner[w] {
		if j == nil || slices.Contains(m.jobs, j) {
			continue
		}
		if !j.borrows() || j.moves >= maxMovesPerJob || now.Sub(j.lastMove) < moveInterval {
			return m, false
		}
		m.jobs = append(m.jobs, j)
		m.cost += float64(j.Spec.GPUs()) * moveCost.Seconds()
	}
	return m, true
}

// fitElsewhere reports whether all jobs fit on free accelerators, cores and memory outside the target at once.
func (p *Planner) fitElsewhere(jobs []*job, target map[int]bool, now time.Time) bool {
	ok := true
	var done []*search
	for _, j := range jobs {
		s := &search{p: p, j: j, now: now, barred: target, avoided: p.avoidedBy(j)}
		if _, ok = s.find(); !ok {
			break
		}
		for _, x := range s.slots {
			p.reserved[x.Worker] |= x.GPUs
			p.usage[x.Worker] = p.usage[x.Worker].plus(s.j, 1)
			p.refresh(x.Worker)
		}
		done = append(done, s)
	}
	for _, s := range done {
		for _, x := range s.slots {
			p.reserved[x.Worker] &^= x.GPUs
			p.usage[x.Worker] = p.usage[x.Worker].plus(s.j, -1)
			p.refresh(x.Worker)
		}
	}
	return ok
}
