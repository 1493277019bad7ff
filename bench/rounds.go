package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
)

const (
	// roundTasks is the number of running tasks at 1,200 workers.
	roundTasks = 26000
	// roundGPUTasks is the part of them that uses one accelerator each; the others use none.
	roundGPUTasks = 8500
	// backlogTasks is the number of tasks of mixed shapes that arrive after those and mostly wait.
	backlogTasks = 4000
)

// DefaultRoundSteps is the number of measured rounds per kind of change that gives a steady 95th percentile.
const DefaultRoundSteps = 300

// RunRounds measures the time of a round at 1,200 workers and 26,000 running tasks, split into 7 failure domains
// and whole, and prints one line per kind of change, with the tasks that run after it. A change that takes more
// than one round counts each of them. steps is the number
// of rounds for a small change; larger ones take a tenth of it. The time includes the events of the round. It returns an
// error of writing.
func RunRounds(w io.Writer, steps int) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "scenario\tchange\trounds\tmedian_ms\tp95_ms\tmax_ms\trunning_tasks\t")
	for _, s := range scenarios[1:] {
		measureRounds(table, s, steps)
	}
	return errors.Wrap(table.Flush(), "write the table")
}

// rounder measures the rounds of one failure domain.
type rounder struct {
	scenario
	p       *plan.Planner
	rng     *rand.Rand
	now     time.Time
	workers []plan.Worker
	running []model.JobID
	tasks   map[model.JobID]int
	// active is the number of running tasks.
	active int
	next   int
}

func measureRounds(w io.Writer, s scenario, steps int) {
	r := &rounder{scenario: s, p: plan.New(domainName(0)), rng: rand.New(rand.NewPCG(1, 1)), tasks: make(map[model.JobID]int), now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
	r.workers = s.workersOf()[0]
	r.p.SetWorkers(r.workers)
	r.p.SetPolicy(s.policy(true))
	r.print(w, "fill", 1, func() {
		for tasks := 0; tasks < roundGPUTasks/s.domains; {
			tasks += r.enqueueCores(1)
		}
		for tasks := 0; tasks < (roundTasks-roundGPUTasks)/s.domains; {
			tasks += r.enqueueCores(0)
		}
	})
	r.print(w, "backlog arrives", 1, func() {
		for tasks := 0; tasks < backlogTasks/s.domains; {
			tasks += r.enqueue()
		}
	})
	r.print(w, "one job ends", steps, func() { r.finish(1) })
	r.print(w, "one job ends, one arrives", steps, func() { r.finish(1); r.enqueue() })
	r.print(w, "one urgent job arrives", steps, func() { r.urgent() })
	r.print(w, "100 jobs end, 100 arrive", max(1, steps/10), func() {
		r.finish(100)
		for range 100 {
			r.enqueue()
		}
	})
	r.print(w, "one worker is lost or returns", max(1, steps/10), func() {
		i := r.rng.IntN(len(r.workers))
		ws := append([]plan.Worker(nil), r.workers...)
		ws[i].Usable = !ws[i].Usable
		r.workers = ws
		r.p.SetWorkers(ws)
	})
}

func (r *rounder) print(w io.Writer, change string, n int, apply func()) {
	var times []time.Duration
	for range n {
		r.now = r.now.Add(time.Minute)
		begin := time.Now()
		apply()
		for more := true; more; begin = time.Now() {
			res := r.p.Round(r.now)
			times = append(times, time.Since(begin))
			r.apply(res)
			more = res.Incomplete
		}
	}
	ms := func(p int) float64 { return float64(percentile(times, p).Microseconds()) / 1000 }
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%d\t\n", r.name, change, len(times), ms(50), ms(95), ms(100), r.active)
}

// apply lets all preempted and moved jobs leave at once.
func (r *rounder) apply(res plan.Result) {
	for _, s := range res.Starts {
		r.running = append(r.running, s.Job)
		r.active += r.tasks[s.Job]
	}
	for _, x := range res.Preemptions {
		r.requeue(x.Job)
	}
	for _, x := range res.Migrations {
		r.requeue(x.Job)
	}
}

// requeue returns a running job to the queue.
func (r *rounder) requeue(id model.JobID) {
	r.p.Requeue(id)
	r.active -= r.tasks[id]
	i := slices.Index(r.running, id)
	r.running = slices.Delete(r.running, i, i+1)
}

// enqueueCores adds a gang of up to 8 tasks of 1 core, 2 GB and gpus accelerators each.
func (r *rounder) enqueueCores(gpus int) int {
	spec := r.draw(r.rng)
	spec.Tasks, spec.GPUsPerTask, spec.Within = 1+r.rng.IntN(8), gpus, ""
	spec.CoresPerTask, spec.MemoryMBPerTask = 1, 2048
	r.submit(spec)
	return spec.Tasks
}

// enqueue adds a job of the mix of the policy runs; half of them without accelerators.
func (r *rounder) enqueue() int {
	spec := r.draw(r.rng)
	spec.CoresPerTask, spec.MemoryMBPerTask = 1, 2048
	if r.rng.IntN(2) == 0 {
		return r.enqueueCores(0)
	}
	r.submit(spec)
	return spec.Tasks
}

func (r *rounder) urgent() {
	r.submit(model.JobSpec{Account: accountName(1 + r.rng.IntN(r.accounts-1)), Tasks: 1, GPUsPerTask: 4, Urgent: true, Preemptible: true})
}

func (r *rounder) submit(spec model.JobSpec) {
	spec.RunTime = time.Duration(1+r.rng.IntN(300)) * time.Minute
	r.next++
	id := model.JobID(fmt.Sprintf("j%06d", r.next))
	r.tasks[id] = spec.Tasks
	r.p.Enqueue(plan.QueuedJob{Job: id, Spec: spec, Submitted: r.now})
}

// finish ends n running jobs.
func (r *rounder) finish(n int) {
	for ; n > 0 && len(r.running) > 0; n-- {
		i := r.rng.IntN(len(r.running))
		r.p.Finish(r.running[i], r.now)
		r.active -= r.tasks[r.running[i]]
		r.running[i] = r.running[len(r.running)-1]
		r.running = r.running[:len(r.running)-1]
	}
}
