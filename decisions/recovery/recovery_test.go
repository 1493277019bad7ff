package recovery_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/decisions/recovery"
)

func TestMain(m *testing.M) {
	testseed.SetFlags("300")
	os.Exit(m.Run())
}

var states = []model.TaskState{
	model.TaskRunning, model.TaskRunning, model.TaskRunning, model.TaskSucceeded, model.TaskHeld, model.TaskFailed, model.TaskStopped,
}

// TestOnlyWholeGangsAreAdopted guards against a new holder that lets a partial gang keep running (promise P2), stops a
// complete gang, or makes no decision on a task.
func TestOnlyWholeGangsAreAdopted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := map[model.JobID]int{}
		want := map[model.JobID]bool{}
		var tasks []recovery.Task
		for j := range rapid.IntRange(0, 4).Draw(t, "jobs") {
			job := model.JobID(fmt.Sprint("j", j))
			n := rapid.IntRange(1, 3).Draw(t, "size")
			known := rapid.IntRange(0, 5).Draw(t, "known") > 0
			if known {
				sizes[job] = n
			}
			last := rapid.IntRange(1, 2).Draw(t, "attempts")
			for a := 1; a <= last; a++ {
				complete, before := known, len(tasks)
				for i := range n {
					if rapid.IntRange(0, 5).Draw(t, "missing") == 0 {
						complete = false
						continue
					}
					s := rapid.SampledFrom(states).Draw(t, "state")
					complete = complete && (s == model.TaskRunning || s == model.TaskSucceeded)
					id := model.TaskID{Job: job, Index: i, Attempt: a}
					w := model.WorkerID(fmt.Sprint("w", len(tasks)))
					tasks = append(tasks, recovery.Task{Worker: w, Status: model.TaskStatus{Task: id, State: s}})
				}
				// A new holder does not know of an attempt without reported tasks.
				if len(tasks) > before {
					want[job] = complete
				}
			}
		}
		shuffled := rapid.Permutation(tasks).Draw(t, "order")
		r := recovery.Decide(shuffled, func(j model.JobID) (int, bool) { n, ok := sizes[j]; return n, ok })
		checkResult(t, r, tasks, want)
	})
}

func checkResult(t *rapid.T, r recovery.Result, tasks []recovery.Task, want map[model.JobID]bool) {
	decisions := map[model.TaskID]int{}
	for _, g := range r.Adopt {
		if !want[g.Job] {
			t.Fatalf("adopted partial gang %s", g.Job)
		}
		delete(want, g.Job)
		for i, task := range g.Tasks {
			decisions[task.Status.Task]++
			if task.Status.Task.Index != i {
				t.Fatalf("task %v at index %d", task.Status.Task, i)
			}
		}
	}
	for job, complete := range want {
		if complete && r.Attempts[job] > 0 {
			t.Fatalf("complete gang %s was not adopted", job)
		}
	}
	for _, task := range r.Stop {
		decisions[task.Status.Task]++
	}
	for _, task := range tasks {
		if n := decisions[task.Status.Task]; n > 1 || n == 0 && !task.Status.State.Final() {
			t.Fatalf("task %v has %d decisions", task.Status.Task, n)
		}
	}
}

// TestOnlyWholeGangsAreRenewed guards against a new holder that renews the leases of a partial gang while it recovers
// its state (promise P2), and against one that lets the leases of a complete gang expire.
func TestOnlyWholeGangsAreRenewed(t *testing.T) {
	task := func(w model.WorkerID, job model.JobID, index, attempt int, s model.TaskState) recovery.Task {
		id := model.TaskID{Job: job, Index: index, Attempt: attempt}
		return recovery.Task{Worker: w, Status: model.TaskStatus{Task: id, State: s}}
	}
	const runs, held, done, stopped = model.TaskRunning, model.TaskHeld, model.TaskSucceeded, model.TaskStopped
	for name, c := range map[string]struct {
		tasks []recovery.Task
		want  []model.WorkerID
	}{
		"no member is missing":   {[]recovery.Task{task("a", "pair", 0, 1, runs), task("b", "pair", 1, 1, held)}, []model.WorkerID{"a", "b"}},
		"one member is missing":  {[]recovery.Task{task("a", "pair", 0, 1, runs)}, nil},
		"one member has stopped": {[]recovery.Task{task("a", "pair", 0, 1, runs), task("b", "pair", 1, 1, stopped)}, nil},
		"one member is done":     {[]recovery.Task{task("a", "pair", 0, 1, runs), task("b", "pair", 1, 1, done)}, []model.WorkerID{"a"}},
		"unknown size":           {[]recovery.Task{task("a", "other", 0, 1, runs)}, nil},
		"earlier attempt":        {[]recovery.Task{task("a", "one", 0, 1, runs), task("b", "one", 0, 2, runs)}, []model.WorkerID{"b"}},
		"earlier attempt ended":  {[]recovery.Task{task("a", "one", 0, 1, stopped), task("a", "one", 0, 2, runs)}, []model.WorkerID{"a"}},
		"one gang of two is whole": {
			[]recovery.Task{task("a", "one", 0, 1, runs), task("a", "pair", 0, 1, runs), task("b", "one2", 0, 1, runs)},
			[]model.WorkerID{"b"},
		},
	} {
		sizes := map[model.JobID]int{"pair": 2, "one": 1, "one2": 1}
		got := recovery.RenewableWorkers(c.tasks, func(j model.JobID) (int, bool) { n, ok := sizes[j]; return n, ok })
		if workers := slices.Sorted(maps.Keys(got)); !slices.Equal(workers, c.want) {
			t.Errorf("%s: leases of %v are renewed instead of %v", name, workers, c.want)
		}
	}
}

// TestStoppingObstructingTasksAllowsRenewal guards against a complete gang whose lease expires because tasks of a
// partial gang run on the same worker, and against stops of a complete gang or on workers without one.
func TestStoppingObstructingTasksAllowsRenewal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes, complete := map[model.JobID]int{}, map[model.JobID]bool{}
		var tasks []recovery.Task
		for j := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			job := model.JobID(fmt.Sprint("j", j))
			sizes[job], complete[job] = rapid.IntRange(1, 3).Draw(t, "size"), true
			for i := range sizes[job] {
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					complete[job] = false
					continue
				}
				w := model.WorkerID(fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "worker")))
				tasks = append(tasks, recovery.Task{Worker: w, Status: model.TaskStatus{Task: model.TaskID{Job: job, Index: i, Attempt: 1}, State: model.TaskRunning}})
			}
		}
		size := func(j model.JobID) (int, bool) { return sizes[j], true }
		shared := map[model.WorkerID]bool{}
		for _, x := range tasks {
			shared[x.Worker] = shared[x.Worker] || complete[x.Status.Task.Job]
		}
		for _, x := range recovery.ObstructingTasks(tasks, size) {
			if complete[x.Status.Task.Job] || !shared[x.Worker] {
				t.Fatalf("%v on %s is stopped although it does not obstruct a complete gang", x.Status.Task, x.Worker)
			}
			i := slices.IndexFunc(tasks, func(y recovery.Task) bool { return y.Status.Task == x.Status.Task })
			tasks[i].Status.State = model.TaskStopped
		}
		renewed := recovery.RenewableWorkers(tasks, size)
		for w, has := range shared {
			if has != renewed[w] {
				t.Fatalf("worker %s runs a complete gang: %v, renewed: %v", w, has, renewed[w])
			}
		}
	})
}
