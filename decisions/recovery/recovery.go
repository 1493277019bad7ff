// Package recovery decides which running gangs a new holder adopts and which tasks it stops.
package recovery

import (
	"cmp"
	"maps"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Task is a task that a worker reported.
type Task struct {
	Worker model.WorkerID
	Status model.TaskStatus
}

// Gang is a whole gang that runs or has succeeded. Tasks is ordered by task index.
type Gang struct {
	Job     model.JobID
	Attempt int
	Tasks   []Task
}

// Placement returns the slot of each task.
func (g Gang) Placement() model.Placement {
	out := make(model.Placement, len(g.Tasks))
	for i, t := range g.Tasks {
		out[i] = model.Slot{Worker: t.Worker, GPUs: t.Status.GPUs}
	}
	return out
}

// Statuses returns the reported status of each task.
func (g Gang) Statuses() []model.TaskStatus {
	out := make([]model.TaskStatus, len(g.Tasks))
	for i, t := range g.Tasks {
		out[i] = t.Status
	}
	return out
}

// Result lists what a new holder does with the reported tasks.
type Result struct {
	Adopt []Gang
	// Stop lists tasks that occupy accelerators without a whole gang.
	Stop []Task
	// Attempts holds the highest reported attempt of each job.
	Attempts map[model.JobID]int
}

// Decide adopts each gang of which every task of the highest attempt runs or has succeeded, and stops all
// other tasks. size returns the gang size of a job that may run; false stops its tasks. A gang with a held
// task is stopped as well: part of its hold time has passed unobserved.
func Decide(tasks []Task, size func(model.JobID) (int, bool)) Result {
	byJob, attempts := group(tasks)
	r := Result{Attempts: attempts}
	for _, job := range slices.Sorted(maps.Keys(byJob)) {
		n, known := size(job)
		last, earlier := split(byJob[job], r.Attempts[job])
		r.stop(earlier)
		if !known || !whole(last, n, runsOrDone) {
			r.stop(last)
			continue
		}
		r.Adopt = append(r.Adopt, Gang{Job: job, Attempt: r.Attempts[job], Tasks: last})
	}
	return r
}

// Renewable returns the workers whose leases a new holder renews before it knows all tasks: every task on them
// that has not ended belongs to a gang of which each member of the highest attempt is held, runs or has
// succeeded. Other leases lapse meanwhile, so that a part of a gang does not run on without the rest however
// often the holder changes. Workers on which all tasks have ended have nothing to renew and are left out.
func Renewable(tasks []Task, size func(model.JobID) (int, bool)) map[model.WorkerID]bool {
	byJob, attempts := group(tasks)
	out := make(map[model.WorkerID]bool)
	barred := make(map[model.WorkerID]bool)
	for job, all := range byJob {
		n, known := size(job)
		last, earlier := split(all, attempts[job])
		ok := known && whole(last, n, heldOrWell)
		for _, t := range earlier {
			barred[t.Worker] = barred[t.Worker] || !t.Status.State.Final()
		}
		for _, t := range last {
			live := !t.Status.State.Final()
			out[t.Worker] = out[t.Worker] || live
			barred[t.Worker] = barred[t.Worker] || live && !ok
		}
	}
	maps.DeleteFunc(out, func(w model.WorkerID, live bool) bool { return !live || barred[w] })
	return out
}

// Obstructing returns the tasks that keep whole gangs from a renewal: those of gangs that are known not to be
// whole, on workers that also run a whole gang. Once they are stopped, Renewable includes these workers.
func Obstructing(tasks []Task, size func(model.JobID) (int, bool)) []Task {
	byJob, attempts := group(tasks)
	var parts []Task
	shared := make(map[model.WorkerID]bool)
	for _, job := range slices.Sorted(maps.Keys(byJob)) {
		n, known := size(job)
		last, earlier := split(byJob[job], attempts[job])
		parts = append(parts, earlier...)
		switch {
		case known && whole(last, n, heldOrWell):
			for _, t := range last {
				shared[t.Worker] = shared[t.Worker] || !t.Status.State.Final()
			}
		case known:
			parts = append(parts, last...)
		}
	}
	return slices.DeleteFunc(parts, func(t Task) bool { return t.Status.State.Final() || !shared[t.Worker] })
}

// group returns the tasks and the highest attempt of each job.
func group(tasks []Task) (map[model.JobID][]Task, map[model.JobID]int) {
	byJob, attempts := make(map[model.JobID][]Task), make(map[model.JobID]int)
	for _, t := range tasks {
		job := t.Status.Task.Job
		byJob[job] = append(byJob[job], t)
		attempts[job] = max(attempts[job], t.Status.Task.Attempt)
	}
	return byJob, attempts
}

// split separates the tasks of an attempt, ordered by index, from those of earlier ones.
func split(tasks []Task, attempt int) (last, earlier []Task) {
	for _, t := range tasks {
		if t.Status.Task.Attempt == attempt {
			last = append(last, t)
		} else {
			earlier = append(earlier, t)
		}
	}
	slices.SortFunc(last, func(a, b Task) int { return cmp.Compare(a.Status.Task.Index, b.Status.Task.Index) })
	return last, earlier
}

// whole reports whether the ordered tasks are all members of a gang of n, each once and in a good state.
func whole(tasks []Task, n int, good func(model.TaskState) bool) bool {
	if len(tasks) != n {
		return false
	}
	for i, t := range tasks {
		if t.Status.Task.Index != i || !good(t.Status.State) {
			return false
		}
	}
	return true
}

func runsOrDone(s model.TaskState) bool { return s == model.TaskRunning || s == model.TaskSucceeded }

func heldOrWell(s model.TaskState) bool { return s == model.TaskHeld || runsOrDone(s) }

func (r *Result) stop(tasks []Task) {
	for _, t := range tasks {
		if !t.Status.State.Final() {
			r.Stop = append(r.Stop, t)
		}
	}
}
