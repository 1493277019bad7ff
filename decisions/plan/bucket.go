package plan

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/queue"
)

// backfillDepth is the number of jobs of a bucket that are tried while another bucket has a reservation. Jobs of a
// bucket differ only in their run time, which decides only whether they may be backfilled.
const backfillDepth = 8

// class holds the properties that decide whether a job fits now. Jobs of one class either all fit or all do not, apart
// from backfilling.
type class struct {
	account             model.AccountID
	tasks, gpus         int
	within              model.Level
	cores, mem          int
	preemptible, urgent bool
	// avoidingJob is the job's own ID while it avoids workers, so that it shares its class with no other job: others may
	// fit on those workers.
	avoidingJob model.JobID
}

func classOf(s model.JobSpec) class {
	return class{
		account: s.Account, tasks: s.Tasks, gpus: s.GPUsPerTask, within: s.Within,
		cores: s.CoresPerTask, mem: s.MemoryMBPerTask, preemptible: s.Preemptible, urgent: s.Urgent,
	}
}

// class returns the current class of the job.
func (j *job) class() class {
	c := classOf(j.Spec)
	if len(j.AvoidWorkers) > 0 {
		c.avoidingJob = j.Job
	}
	return c
}

// bucket holds the waiting jobs of one class, in order of their rank time.
type bucket struct {
	class class
	acct  *account
	jobs  []*job
	// failedVersion is the planner version at which the jobs did not fit. They still do not fit while it is the
	// current version, because nothing was freed since.
	failedVersion uint64
	// noReservationBefore is the time until which the bucket gets no reservation, because the last one did not let
	// its job start or none was possible.
	noReservationBefore time.Time
}

func (b *bucket) head() *job { return b.jobs[0] }

// addToBucket queues a job in the bucket of its class.
func (p *Planner) addToBucket(j *job) {
	c := j.class()
	b := p.byClass[c]
	if b == nil {
		b = &bucket{class: c, acct: p.account(c.account)}
		p.byClass[c] = b
		p.buckets = append(p.buckets, b)
	}
	j.rankTime = p.rankTime(j)
	i, _ := slices.BinarySearchFunc(b.jobs, j, func(x, y *job) int {
		return cmp.Or(x.rankTime.Compare(y.rankTime), cmp.Compare(x.Job, y.Job))
	})
	b.jobs = slices.Insert(b.jobs, i, j)
	j.bucket, j.phase = b, waiting
	b.acct.waitingCount++
	if p.activeReservation != nil {
		b.failedVersion = 0
	}
}

// expireAvoidance clears AvoidWorkers of the jobs whose AvoidUntil has passed and moves those that wait to the bucket
// that they share with other jobs.
func (p *Planner) expireAvoidance(now time.Time) {
	p.avoidingJobs = slices.DeleteFunc(p.avoidingJobs, func(j *job) bool {
		switch {
		case p.jobs[j.Job] != j || len(j.AvoidWorkers) == 0:
			return true
		case now.Before(j.AvoidUntil):
			return false
		}
		queued := j.phase == waiting
		if queued {
			p.removeFromBucket(j)
		}
		j.AvoidWorkers = nil
		if queued {
			p.addToBucket(j)
		}
		return true
	})
}

// removeFromBucket removes a waiting job from its bucket.
func (p *Planner) removeFromBucket(j *job) {
	b := j.bucket
	if i := slices.Index(b.jobs, j); i >= 0 {
		b.jobs = slices.Delete(b.jobs, i, i+1)
	}
	b.acct.waitingCount--
	if len(b.jobs) == 0 {
		p.dropEmptyBuckets()
	}
}

// dropEmptyBuckets removes the buckets without jobs and ends a reservation that was for one of them.
func (p *Planner) dropEmptyBuckets() {
	p.buckets = slices.DeleteFunc(p.buckets, func(b *bucket) bool {
		if len(b.jobs) > 0 {
			return false
		}
		delete(p.byClass, b.class)
		if p.activeReservation != nil && p.activeReservation.bucket == b {
			p.endReservation()
		}
		return true
	})
}

// bucketEntry is a bucket with the queue candidate of its first job at the time of the push.
type bucketEntry struct {
	bucket *bucket
	queue.Candidate
}

// bucketHeap is a heap of buckets in queue order of their first jobs.
type bucketHeap struct {
	entries []bucketEntry
	less    func(a, b queue.Candidate) bool
}

func (h *bucketHeap) Len() int { return len(h.entries) }
func (h *bucketHeap) Less(i, j int) bool {
	return h.less(h.entries[i].Candidate, h.entries[j].Candidate)
}
func (h *bucketHeap) Swap(i, j int) { h.entries[i], h.entries[j] = h.entries[j], h.entries[i] }

// Push implements heap.Interface.
func (h *bucketHeap) Push(x any) { h.entries = append(h.entries, x.(bucketEntry)) }

// Pop implements heap.Interface.
func (h *bucketHeap) Pop() any {
	last := h.entries[len(h.entries)-1]
	h.entries = h.entries[:len(h.entries)-1]
	return last
}

// newBucketHeap returns a heap of the buckets whose jobs may fit now.
func (p *Planner) newBucketHeap(now time.Time) *bucketHeap {
	h := &bucketHeap{less: func(a, b queue.Candidate) bool { return p.compare(a, b, now) < 0 }}
	for _, b := range p.buckets {
		if b.failedVersion == p.version {
			continue
		}
		if !p.mayFit(b) {
			b.failedVersion = p.version
			continue
		}
		h.entries = append(h.entries, bucketEntry{b, p.queueCandidate(b)})
	}
	heap.Init(h)
	return h
}

// mayFit reports whether the jobs of a bucket may fit now. It rules out most buckets by counts alone, which costs less
// than a search.
func (p *Planner) mayFit(b *bucket) bool {
	n := b.class.tasks * b.class.gpus
	if n == 0 {
		return true
	}
	return p.free.TotalBlocks(b.class.gpus) >= b.class.tasks || b.class.urgent || p.tracker.UnusedGuarantee(b.class.account) >= n
}

func (p *Planner) queueCandidate(b *bucket) queue.Candidate {
	h := b.head()
	return queue.Candidate{Job: h.Job, RankTime: h.rankTime, Urgent: b.class.urgent, Share: p.normalizedShare(b.acct)}
}

func (p *Planner) compare(a, b queue.Candidate, now time.Time) int {
	if p.opts.Queue == FIFO {
		return queue.CompareFIFO(a, b)
	}
	return queue.Compare(a, b, now)
}

// normalizedShare returns an account's dominant share divided by its fair share.
func (p *Planner) normalizedShare(a *account) float64 {
	d := queue.DominantShare([]int{a.gpus, a.cores, a.mem}, p.totals[:])
	return d * float64(max(1, p.totalWeight)) / float64(max(1, a.policy.Weight))
}

// rankTime returns the time that orders a job in its bucket. Urgent jobs are ordered by submission.
func (p *Planner) rankTime(j *job) time.Time {
	if p.opts.Queue == FIFO || p.opts.IgnoreRunTimes || j.Spec.Urgent {
		return j.Submitted
	}
	return queue.RankTime(j.Submitted, p.estimatedRunTime(j), j.Spec.GPUs())
}

// estimatedRunTime returns how long the job is expected to run from its next or last start, from its corrected declared
// run time and its progress.
func (p *Planner) estimatedRunTime(j *job) time.Duration {
	left := 1 - j.Progress
	return time.Duration(float64(p.account(j.Spec.Account).correction.Estimate(j.Spec.RunTime)) * left)
}

// expectedEnd returns when a running job is expected to end. A job that has exceeded its estimate is expected to run
// for as long again as it has run so far.
func (p *Planner) expectedEnd(j *job, now time.Time) time.Time {
	if end := j.started.Add(p.estimatedRunTime(j)); end.After(now) {
		return end
	}
	return now.Add(now.Sub(j.started))
}
