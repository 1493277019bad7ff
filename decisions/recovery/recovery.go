// Package recovery decides which running gangs a new holder adopts and which tasks it stops.
package recovery

import (
	"cmp"
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
	r := Result{Attempts: make(map[model.JobID]int)}
	byJob := make(map[model.JobID][]Task)
	var jobs []model.JobID
	for _, t := range tasks {
		job := t.Status.Task.Job
		if byJob[job] == nil {
			jobs = append(jobs, job)
		}
		byJob[job] = append(byJob[job], t)
		r.Attempts[job] = max(r.Attempts[job], t.Status.Task.Attempt)
	}
	slices.Sort(jobs)
	for _, job := range jobs {
		n, known := size(job)
		last, earlier := split(byJob[job], r.Attempts[job])
		r.stop(earlier)
		if !known || !whole(last, n) {
			r.stop(last)
			continue
		}
		r.Adopt = append(r.Adopt, Gang{Job: job, Attempt: r.Attempts[job], Tasks: last})
	}
	return r
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

// whole reports whether the ordered tasks are all members of a gang of n, each once and well.
func whole(tasks []Task, n int) bool {
	if len(tasks) != n {
		return false
	}
	for i, t := range tasks {
		well := t.Status.State == model.TaskRunning || t.Status.State == model.TaskSucceeded
		if t.Status.Task.Index != i || !well {
			return false
		}
	}
	return true
}

func (r *Result) stop(tasks []Task) {
	for _, t := range tasks {
		if !t.Status.State.Final() {
			r.Stop = append(r.Stop, t)
		}
	}
}
