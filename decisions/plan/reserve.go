package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// minReservationGPUs is the least number of accelerators for which a waiting job may get a reservation. Smaller
	// jobs fit on partly used workers, except those that need more cores or memory than their accelerators' share, which
	// may get a reservation, too.
	minReservationGPUs = model.GPUsPerWorker
	// reservationBackoff is the time during which a bucket gets no new reservation after none was possible or one did
	// not let its job start, for example because another account's guarantee needs the drained workers.
	reservationBackoff = 10 * time.Minute
)

// reservation keeps workers for the first large job of the queue. Other jobs may start there only if they are expected
// to end before dueAt. It stays in force until a job of the bucket starts, so that a stream of small jobs cannot delay
// that job for longer than the jobs that already run there. The rule is EASY backfilling ("The ANL/IBM SP Scheduling
// System", 1995), limited to the workers that the job will use.
type reservation struct {
	bucket     *bucket
	workers    map[int]bool
	workerList []int
	// dueAt is the time at which all reserved workers are expected to be free.
	dueAt time.Time
	// waitsForCPUOnly is true if the job can start only after the tasks without accelerators on its workers have ended.
	waitsForCPUOnly bool
}

// appliesTo reports whether the reservation applies to j: if so, j may use the reserved workers only if it is expected
// to end before dueAt.
func (r *reservation) appliesTo(j *job) bool {
	return r.bucket != j.bucket && (j.Spec.GPUsPerTask > 0 || r.waitsForCPUOnly)
}

func (r *reservation) valid(p *Planner) bool {
	for _, w := range r.workerList {
		if !p.workerInfo[w].Usable {
			return false
		}
	}
	return len(r.bucket.jobs) > 0
}

// drained reports whether all accelerators of the reserved workers are free and, if waitsForCPUOnly is set, no task
// runs on these workers.
func (r *reservation) drained(p *Planner) bool {
	for _, w := range r.workerList {
		if p.free.Mask(w).Count() < model.GPUsPerWorker || (r.waitsForCPUOnly && len(p.runningOn[w]) > 0) {
			return false
		}
	}
	return true
}

// endReservation releases the reserved workers. Jobs that the reservation excluded are tried again.
func (p *Planner) endReservation() {
	p.activeReservation = nil
	p.version++
}

// endReservationOf ends the reservation if it is for the bucket of j, which starts or becomes a holding job.
func (p *Planner) endReservationOf(j *job) {
	if p.activeReservation != nil && p.activeReservation.bucket == j.bucket {
		p.endReservation()
	}
}

// makeReservation makes a reservation for the first large job of the queue if there is none. A reservation whose
// workers are drained although its job did not start is ended first.
func (p *Planner) makeReservation(now time.Time) {
	if p.opts.DisableReservation {
		return
	}
	if p.activeReservation != nil && p.activeReservation.drained(p) {
		p.activeReservation.bucket.noReservationBefore = now.Add(reservationBackoff)
		p.endReservation()
	}
	for p.activeReservation == nil {
		b := p.firstLargeBucket(now)
		if b == nil {
			return
		}
		p.activeReservation = p.selectReservation(b, now)
		if p.activeReservation == nil {
			b.noReservationBefore = now.Add(reservationBackoff)
		}
	}
}

func (p *Planner) firstLargeBucket(now time.Time) *bucket {
	var best *bucket
	for _, b := range p.buckets {
		q := b.acct.policy.QuotaGPUs
		n := b.class.tasks * b.class.gpus
		if (n < minReservationGPUs && !p.exceedsGPUShare(b.class)) || now.Before(b.noReservationBefore) || (q > 0 && b.acct.gpus+n > q) {
			continue
		}
		if best == nil || b.head().rankTime.Before(best.head().rankTime) {
			best = b
		}
	}
	return best
}

// drainCandidate is a worker that a reservation may include, with the time at which it is expected to be free and its
// capacity in tasks when empty.
type drainCandidate struct {
	worker       int
	freeAt       time.Time
	taskCapacity int
}

// selectReservation reserves the workers that are expected to be free first for a job of the bucket. It returns nil if
// no set of workers can hold the job.
func (p *Planner) selectReservation(b *bucket, now time.Time) *reservation {
	if b.class.within != model.LevelRack && b.class.within != model.LevelWorker {
		return p.buildReservation(b, p.workersByFreeTime(b, p.allWorkers(), now))
	}
	var best *reservation
	for _, ws := range p.topo.Racks {
		r := p.buildReservation(b, p.workersByFreeTime(b, ws, now))
		if r != nil && (best == nil || r.dueAt.Before(best.dueAt)) {
			best = r
		}
	}
	return best
}

func (p *Planner) allWorkers() []int {
	out := make([]int, p.topo.NumWorkers())
	for i := range out {
		out[i] = i
	}
	return out
}

// workersByFreeTime returns those of the workers ws that the bucket may use, in order of their expected free time.
func (p *Planner) workersByFreeTime(b *bucket, ws []int, now time.Time) []drainCandidate {
	var out []drainCandidate
	for _, w := range ws {
		if !p.workerInfo[w].Usable || (!b.class.preemptible && p.tracker.PinnedByOthers(w, b.class.account)) {
			continue
		}
		if n := b.tasksPerWorker(p.workerInfo[w]); n > 0 {
			out = append(out, drainCandidate{worker: w, freeAt: p.expectedFreeAt(w, p.exceedsGPUShare(b.class), now), taskCapacity: n})
		}
	}
	slices.SortStableFunc(out, func(a, b drainCandidate) int { return a.freeAt.Compare(b.freeAt) })
	return out
}

// tasksPerWorker returns how many tasks of the bucket fit on an empty worker.
func (b *bucket) tasksPerWorker(w Worker) int {
	return fittingTasks(load{b.class.cores, b.class.mem}, w.total(), load{}, model.GPUsPerWorker/b.class.gpus)
}

// expectedFreeAt returns when all jobs of a worker are expected to have ended. Jobs without accelerators count only if
// countCPUOnly is true.
func (p *Planner) expectedFreeAt(w int, countCPUOnly bool, now time.Time) time.Time {
	at := now
	var last *job
	for _, j := range p.runningOn[w] {
		if j == last || (j.Spec.GPUsPerTask == 0 && !countCPUOnly) {
			continue
		}
		last = j
		if end := p.expectedEnd(j, now); end.After(at) {
			at = end
		}
	}
	return at
}

// buildReservation reserves the first of the workers ds that together hold a job of the bucket. For a non-preemptible
// job it skips workers that are needed for the guarantees.
func (p *Planner) buildReservation(b *bucket, ds []drainCandidate) *reservation {
	r := &reservation{bucket: b, workers: make(map[int]bool), waitsForCPUOnly: p.exceedsGPUShare(b.class)}
	left := b.class.tasks
	for _, d := range ds {
		if left <= 0 {
			break
		}
		r.workerList = append(r.workerList, d.worker)
		if !b.class.preemptible && !p.tracker.CanExcludeWorkers(r.workerList) {
			r.workerList = r.workerList[:len(r.workerList)-1]
			continue
		}
		if b.class.within == model.LevelWorker && d.taskCapacity < b.class.tasks {
			r.workerList = r.workerList[:len(r.workerList)-1]
			continue
		}
		left -= d.taskCapacity
		r.workers[d.worker] = true
		if d.freeAt.After(r.dueAt) {
			r.dueAt = d.freeAt
		}
	}
	if left > 0 {
		return nil
	}
	return r
}

// migrationSource is a worker that can be emptied by migrating its jobs, with the cost in accelerator seconds.
type migrationSource struct {
	worker int
	cost   float64
	jobs   []*job
}

const (
	// maxMigrationsPerRound bounds the jobs that are migrated for one gang.
	maxMigrationsPerRound = 4
	// maxMigrationsPerJob bounds how often one job is migrated.
	maxMigrationsPerJob = 3
	// minMigrationInterval is the least time between two migrations of a job.
	minMigrationInterval = time.Hour
	// migrationCost is the time that each accelerator of a migrated job loses to checkpoint, stop, start and restore.
	migrationCost = 2 * time.Minute
)

// defragment migrates borrowers to make room for the job with the reservation. It does so only if the gang gains more
// accelerator seconds by its earlier start than the migrations cost and every migrated job fits elsewhere now.
func (p *Planner) defragment(now time.Time, r *Result) {
	if !p.policy.Defragment || p.activeReservation == nil || len(p.holdingJobs) > 0 {
		return
	}
	b := p.activeReservation.bucket
	n := b.class.tasks * b.class.gpus
	if p.free.TotalBlocks(1) < n || b.failedVersion != p.version {
		return
	}
	gain := p.activeReservation.dueAt.Sub(now).Seconds() * float64(n)
	target, jobs, cost := p.cheapestMigration(b, now)
	if target == nil || len(jobs) > maxMigrationsPerRound || gain <= cost || !p.fitElsewhere(jobs, target, now) {
		return
	}
	j := b.head()
	s, ok := p.runSearch(j, now, search{preempt: true, protected: !j.Spec.Preemptible, onlyWorkers: target})
	if !ok {
		return
	}
	for _, v := range p.hold(j, s) {
		v.migrations++
		v.lastMigration = now
		r.Migrations = append(r.Migrations, Migration{Job: v.Job, ForJob: j.Job})
	}
	p.startReadyHolds(now, r)
}

// cheapestMigration returns the workers that hold the gang and cost least to empty, with the jobs to migrate and their
// cost in accelerator seconds. target is nil if there are none.
func (p *Planner) cheapestMigration(b *bucket, now time.Time) (target map[int]bool, jobs []*job, cost float64) {
	groups := p.topo.Racks
	if b.class.within != model.LevelRack && b.class.within != model.LevelWorker {
		groups = [][]int{p.allWorkers()}
	}
	for _, ws := range groups {
		t, js, c := p.cheapestMigrationIn(b, ws, now)
		if t != nil && (target == nil || c < cost) {
			target, jobs, cost = t, js, c
		}
	}
	return target, jobs, cost
}

func (p *Planner) cheapestMigrationIn(b *bucket, ws []int, now time.Time) (map[int]bool, []*job, float64) {
	var ms []migrationSource
	for _, w := range ws {
		if m, ok := p.migrationSource(w, now); ok && b.tasksPerWorker(p.workerInfo[w]) > 0 {
			ms = append(ms, m)
		}
	}
	slices.SortStableFunc(ms, func(a, b migrationSource) int { return cmp.Compare(a.cost, b.cost) })
	target, left, cost := make(map[int]bool), b.class.tasks, 0.0
	var jobs []*job
	for _, m := range ms {
		if left <= 0 {
			break
		}
		n := b.tasksPerWorker(p.workerInfo[m.worker])
		if b.class.within == model.LevelWorker && n < b.class.tasks {
			continue
		}
		target[m.worker] = true
		left -= n
		for _, j := range m.jobs {
			if !slices.Contains(jobs, j) {
				jobs = append(jobs, j)
				cost += float64(j.Spec.GPUs()) * migrationCost.Seconds()
			}
		}
	}
	if left > 0 {
		return nil, nil, 0
	}
	return target, jobs, cost
}

// migrationSource returns a worker as a migration source; false if one of its jobs must not be migrated.
func (p *Planner) migrationSource(w int, now time.Time) (migrationSource, bool) {
	m := migrationSource{worker: w}
	if !p.workerInfo[w].Usable || p.reservedGPUs[w] != 0 {
		return m, false
	}
	for _, j := range p.gpuOwner[w] {
		if j == nil || slices.Contains(m.jobs, j) {
			continue
		}
		if !j.isBorrower() || j.migrations >= maxMigrationsPerJob || now.Sub(j.lastMigration) < minMigrationInterval {
			return m, false
		}
		m.jobs = append(m.jobs, j)
		m.cost += float64(j.Spec.GPUs()) * migrationCost.Seconds()
	}
	return m, true
}

// fitElsewhere reports whether all jobs fit at once on free accelerators, cores and memory outside the target workers.
func (p *Planner) fitElsewhere(jobs []*job, target map[int]bool, now time.Time) bool {
	ok := true
	var done []*search
	for _, j := range jobs {
		s := &search{p: p, j: j, now: now, blockedWorkers: target, avoidedWorkers: p.avoidedBy(j)}
		if _, ok = s.findSlots(); !ok {
			break
		}
		for _, x := range s.slots {
			p.reservedGPUs[x.Worker] |= x.GPUs
			p.usage[x.Worker] = p.usage[x.Worker].plus(s.j, 1)
			p.refresh(x.Worker)
		}
		done = append(done, s)
	}
	for _, s := range done {
		for _, x := range s.slots {
			p.reservedGPUs[x.Worker] &^= x.GPUs
			p.usage[x.Worker] = p.usage[x.Worker].plus(s.j, -1)
			p.refresh(x.Worker)
		}
	}
	return ok
}
