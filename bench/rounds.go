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
	// fillTasks is the total number of tasks that are enqueued to fill 1,200 workers.
	fillTasks = 26000
	// fillGPUTasks is the number of these tasks that use one accelerator each; the others use none.
	fillGPUTasks = 8500
	// backlogTasks is the number of tasks of mixed shapes that arrive after the first fillTasks; most of them wait.
	backlogTasks = 4000
)

// DefaultRoundsPerChange is the number of rounds per kind of change from which the 95th percentile is stable between
// runs.
const DefaultRoundsPerChange = 300

// RunPlannerRounds measures the duration of planner rounds with 1,200 workers and 26,000 running tasks, in one of 7
// failure domains and in a single one. It prints one line per kind of change, with the number of tasks that run after
// it. roundsPerChange is the number of repetitions of a small change; a change of many jobs or of a worker is repeated
// a tenth as often. If a change takes several rounds, each of them is counted. The duration of the first one includes
// the calls that report the change to the planner. RunPlannerRounds returns an error if a write fails.
func RunPlannerRounds(w io.Writer, roundsPerChange int) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "scenario\tchange\trounds\tmedian_ms\tp95_ms\tmax_ms\trunning_tasks\t")
	for _, s := range scenarios[1:] {
		measureRounds(table, s, roundsPerChange)
	}
	return errors.Wrap(table.Flush(), "write the table")
}

// roundBenchmark measures the planner rounds of one failure domain.
type roundBenchmark struct {
	scenario
	planner     *plan.Planner
	rng         *rand.Rand
	now         time.Time
	workers     []plan.Worker
	runningJobs []model.JobID
	jobTasks    map[model.JobID]int
	// runningTasks is the number of tasks of the jobs in runningJobs.
	runningTasks  int
	jobsSubmitted int
}

func measureRounds(w io.Writer, s scenario, roundsPerChange int) {
	r := &roundBenchmark{scenario: s, planner: plan.New(domainName(0)), rng: rand.New(rand.NewPCG(1, 1)), jobTasks: make(map[model.JobID]int), now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
	r.workers = s.newWorkers()[0]
	r.planner.SetWorkers(r.workers)
	r.planner.SetPolicy(s.preset(true))
	r.measureChange(w, "fill", 1, func() {
		for tasks := 0; tasks < fillGPUTasks/s.domains; {
			tasks += r.enqueueSmallGang(1)
		}
		for tasks := 0; tasks < (fillTasks-fillGPUTasks)/s.domains; {
			tasks += r.enqueueSmallGang(0)
		}
	})
	r.measureChange(w, "backlog arrives", 1, func() {
		for tasks := 0; tasks < backlogTasks/s.domains; {
			tasks += r.enqueue()
		}
	})
	r.measureChange(w, "one job ends", roundsPerChange, func() { r.finishJobs(1) })
	r.measureChange(w, "one job ends, one arrives", roundsPerChange, func() { r.finishJobs(1); r.enqueue() })
	r.measureChange(w, "one urgent job arrives", roundsPerChange, func() { r.enqueueUrgent() })
	r.measureChange(w, "100 jobs end, 100 arrive", max(1, roundsPerChange/10), func() {
		r.finishJobs(100)
		for range 100 {
			r.enqueue()
		}
	})
	r.measureChange(w, "one worker is lost or returns", max(1, roundsPerChange/10), func() {
		i := r.rng.IntN(len(r.workers))
		ws := append([]plan.Worker(nil), r.workers...)
		ws[i].Usable = !ws[i].Usable
		r.workers = ws
		r.planner.SetWorkers(ws)
	})
}

// measureChange applies a change repeatedly and prints the durations of the rounds that follow it.
func (r *roundBenchmark) measureChange(w io.Writer, name string, repeats int, change func()) {
	var times []time.Duration
	for range repeats {
		r.now = r.now.Add(time.Minute)
		begin := time.Now()
		change()
		for more := true; more; begin = time.Now() {
			result := r.planner.Round(r.now)
			times = append(times, time.Since(begin))
			r.applyResult(result)
			more = result.Incomplete
		}
	}
	ms := func(p int) float64 { return float64(percentile(times, p).Microseconds()) / 1000 }
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%d\t\n", r.name, name, len(times), ms(50), ms(95), ms(100), r.runningTasks)
}

// applyResult starts jobs and requeues the preempted and migrated jobs immediately, without a checkpoint delay.
func (r *roundBenchmark) applyResult(result plan.Result) {
	for _, s := range result.Starts {
		r.runningJobs = append(r.runningJobs, s.Job)
		r.runningTasks += r.jobTasks[s.Job]
	}
	for _, x := range result.Preemptions {
		r.requeue(x.Job)
	}
	for _, x := range result.Migrations {
		r.requeue(x.Job)
	}
}

// requeue returns a running job to the queue.
func (r *roundBenchmark) requeue(id model.JobID) {
	r.planner.Requeue(id)
	r.runningTasks -= r.jobTasks[id]
	i := slices.Index(r.runningJobs, id)
	r.runningJobs = slices.Delete(r.runningJobs, i, i+1)
}

// enqueueSmallGang enqueues a gang of up to 8 tasks with 1 core, 2 GB of memory and gpusPerTask accelerators each. It
// returns the number of tasks.
func (r *roundBenchmark) enqueueSmallGang(gpusPerTask int) int {
	spec := r.drawSpec(r.rng)
	spec.Tasks, spec.GPUsPerTask, spec.Within = 1+r.rng.IntN(8), gpusPerTask, ""
	spec.CoresPerTask, spec.MemoryMBPerTask = 1, 2048
	r.submit(spec)
	return spec.Tasks
}

// enqueue enqueues a job and returns the number of its tasks. Half of the jobs are gangs without accelerators, the
// others have the mix of shapes of the simulated runs.
func (r *roundBenchmark) enqueue() int {
	spec := r.drawSpec(r.rng)
	spec.CoresPerTask, spec.MemoryMBPerTask = 1, 2048
	if r.rng.IntN(2) == 0 {
		return r.enqueueSmallGang(0)
	}
	r.submit(spec)
	return spec.Tasks
}

func (r *roundBenchmark) enqueueUrgent() {
	r.submit(model.JobSpec{Account: accountName(1 + r.rng.IntN(r.accounts-1)), Tasks: 1, GPUsPerTask: 4, Urgent: true, Preemptible: true})
}

func (r *roundBenchmark) submit(spec model.JobSpec) {
	spec.RunTime = time.Duration(1+r.rng.IntN(300)) * time.Minute
	r.jobsSubmitted++
	id := model.JobID(fmt.Sprintf("j%06d", r.jobsSubmitted))
	r.jobTasks[id] = spec.Tasks
	r.planner.Enqueue(plan.QueuedJob{Job: id, Spec: spec, Submitted: r.now})
}

// finishJobs ends n running jobs.
func (r *roundBenchmark) finishJobs(n int) {
	for ; n > 0 && len(r.runningJobs) > 0; n-- {
		i := r.rng.IntN(len(r.runningJobs))
		r.planner.Finish(r.runningJobs[i], r.now)
		r.runningTasks -= r.jobTasks[r.runningJobs[i]]
		r.runningJobs[i] = r.runningJobs[len(r.runningJobs)-1]
		r.runningJobs = r.runningJobs[:len(r.runningJobs)-1]
	}
}
