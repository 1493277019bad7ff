package plan

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/queue"
)

// backfillDepth is the number of jobs of a bucket that are tried while a reservation is in force. Jobs of a
// bucket differ in run time only, which matters only for backfill.
const backfillDepth = 8

// class is what decides whether a job fits now: jobs of one class fit or fail alike.
type class struct {
	account             model.AccountID
	tasks, gpus         int
	within              model.Level
	cores, mem          int
	preemptible, urgent bool
	// avoiding is the job itself while it avoids workers, because other jobs may use them.
	avoiding model.JobID
}

func classOf(s model.JobSpec) class {
	return class{
		account: s.Account, tasks: s.Tasks, gpus: s.GPUsPerTask, within: s.Within,
		cores: s.CoresPerTask, mem: s.MemoryMBPerTask, preemptible: s.Preemptible, urgent: s.Urgent,
	}
}

// class returns the class of the job at present.
func (j *job) class() class {
	c := classOf(j.Spec)
	if len(j.Avoid) > 0 {
		c.avoiding = j.Job
	}
	return c
}

// bucket holds the waiting jobs of one class, in order of their rank.
type bucket struct {
	class class
	acct  *account
	jobs  []*job
	// failed is the version of the planner at which the jobs did not fit; nothing was freed since if it is
	// the current one.
	failed uint64
	// noReserve is the time before which no reservation is made, because one proved useless.
	noReserve time.Time
}

func (b *bucket) head() *job { return b.jobs[0] }

// queueJob puts a job into its bucket.
func (p *Planner) queueJob(j *job) {
	c := j.class()
	b := p.byClass[c]
	if b == nil {
		b = &bucket{class: c, acct: p.account(c.account)}
		p.byClass[c] = b
		p.buckets = append(p.buckets, b)
	}
	j.rank = p.rank(j)
	i, _ := slices.BinarySearchFunc(b.jobs, j, func(x, y *job) int {
		return cmp.Or(x.rank.Compare(y.rank), cmp.Compare(x.Job, y.Job))
	})
	b.jobs = slices.Insert(b.jobs, i, j)
	j.bucket, j.phase = b, waiting
	b.acct.waiting++
	if p.res != nil {
		b.failed = 0
	}
}

// endAvoidance returns the waiting jobs whose AvoidUntil has passed to the ordinary queue.
func (p *Planner) endAvoidance(now time.Time) {
	p.avoiding = slices.DeleteFunc(p.avoiding, func(j *job) bool {
		switch {
		case p.jobs[j.Job] != j || len(j.Avoid) == 0:
			return true
		case now.Before(j.AvoidUntil):
			return false
		}
		queued := j.phase == waiting
		if queued {
			p.unqueue(j)
		}
		j.Avoid = nil
		if queued {
			p.queueJob(j)
		}
		return true
	})
}

// unqueue takes a job out of its bucket.
func (p *Planner) unqueue(j *job) {
	b := j.bucket
	if i := slices.Index(b.jobs, j); i >= 0 {
		b.jobs = slices.Delete(b.jobs, i, i+1)
	}
	b.acct.waiting--
	if len(b.jobs) == 0 {
		p.dropEmptyBuckets()
	}
}

func (p *Planner) dropEmptyBuckets() {
	p.buckets = slices.DeleteFunc(p.buckets, func(b *bucket) bool {
		if len(b.jobs) > 0 {
			return false
		}
		delete(p.byClass, b.class)
		if p.res != nil && p.res.bucket == b {
			p.endReservation()
		}
		return true
	})
}

// turn is a bucket with the facts of its first job at the time they were read.
type turn struct {
	bucket *bucket
	queue.Candidate
}

// turns is a heap of buckets; the one whose first job comes next is on top.
type turns struct {
	list []turn
	less func(a, b queue.Candidate) bool
}

func (h *turns) Len() int           { return len(h.list) }
func (h *turns) Less(i, j int) bool { return h.less(h.list[i].Candidate, h.list[j].Candidate) }
func (h *turns) Swap(i, j int)      { h.list[i], h.list[j] = h.list[j], h.list[i] }

// Push implements heap.Interface.
func (h *turns) Push(x any) { h.list = append(h.list, x.(turn)) }

// Pop implements heap.Interface.
func (h *turns) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

// newTurns returns the buckets that may fit now.
func (p *Planner) newTurns(now time.Time) *turns {
	h := &turns{less: func(a, b queue.Candidate) bool { return p.compare(a, b, now) < 0 }}
	for _, b := range p.buckets {
		if b.failed == p.version {
			continue
		}
		if !p.mayFit(b) {
			b.failed = p.version
			continue
		}
		h.list = append(h.list, turn{b, p.candidate(b)})
	}
	heap.Init(h)
	return h
}

// mayFit rules out most buckets by counts alone, before they are put in order.
func (p *Planner) mayFit(b *bucket) bool {
	n := b.class.tasks * b.class.gpus
	if n == 0 {
		return true
	}
	return p.free.Total(b.class.gpus) >= b.class.tasks || b.class.urgent || p.tracker.Spare(b.class.account) >= n
}

func (p *Planner) candidate(b *bucket) queue.Candidate {
	h := b.head()
	return queue.Candidate{Job: h.Job, Rank: h.rank, Urgent: b.class.urgent, Share: p.share(b.acct)}
}

func (p *Planner) compare(a, b queue.Candidate, now time.Time) int {
	if p.opts.Queue == FIFO {
		return queue.CompareFIFO(a, b)
	}
	return queue.Compare(a, b, now)
}

// share returns an account's dominant usage divided by its fair share.
func (p *Planner) share(a *account) float64 {
	d := queue.Dominant([]int{a.gpus, a.cores, a.mem}, p.totals[:])
	return d * float64(max(1, p.weights)) / float64(max(1, a.policy.Weight))
}

// rank returns the place of a job in its bucket. Urgent jobs keep the order of their submission.
func (p *Planner) rank(j *job) time.Time {
	if p.opts.Queue == FIFO || p.opts.NoRunTimes || j.Spec.Urgent {
		return j.Submitted
	}
	return queue.Rank(j.Submitted, p.estimate(j), j.Spec.GPUs())
}

// estimate returns how long a job is expected to run from its start.
func (p *Planner) estimate(j *job) time.Duration {
	left := 1 - j.Progress
	return time.Duration(float64(p.account(j.Spec.Account).correction.Estimate(j.Spec.RunTime)) * left)
}

// endsBy returns when a running job is expected to end. One that runs longer than estimated is expected to
// run as long again as it has run.
func (p *Planner) endsBy(j *job, now time.Time) time.Time {
	if end := j.started.Add(p.estimate(j)); end.After(now) {
		return end
	}
	return now.Add(now.Sub(j.started))
}
