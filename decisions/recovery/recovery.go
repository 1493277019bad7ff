// Package recovery decides which running gangs a new holder adopts, which tasks it stops and which worker leases it
// renews meanwhile.
package recovery

import (
	"cmp"
	"maps"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Task is a task as a worker reported it.
type Task struct {
	Worker model.WorkerID
	Status model.TaskStatus
}

// Gang is a complete gang whose tasks all run or have succeeded. Tasks is ordered by task index.
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

// Result is the decision of a new holder on the reported tasks.
type Result struct {
	Adopt []Gang
	// Stop lists the tasks that have not ended and are not part of an adopted gang.
	Stop []Task
	// Attempts holds the highest reported attempt of each job.
	Attempts map[model.JobID]int
}

// Decide adopts each gang of which all tasks of the highest attempt run or have succeeded, and stops all other tasks.
// size returns the gang size of a job, or false if the job may not run, so that its tasks are stopped. A gang with a
// held task is stopped as well, because an unknown part of its hold time has already passed.
func Decide(tasks []Task, size func(model.JobID) (int, bool)) Result {
	byJob, attempts := groupByJob(tasks)
	r := Result{Attempts: attempts}
	for _, job := range slices.Sorted(maps.Keys(byJob)) {
		n, known := size(job)
		last, earlier := splitByAttempt(byJob[job], r.Attempts[job])
		r.addStops(earlier)
		if !known || !isComplete(last, n, runningOrSucceeded) {
			r.addStops(last)
			continue
		}
		r.Adopt = append(r.Adopt, Gang{Job: job, Attempt: r.Attempts[job], Tasks: last})
	}
	return r
}

// RenewableWorkers returns the workers whose leases a new holder renews before all workers have reported. Each task on
// such a worker that has not ended belongs to a gang of which all tasks of the highest attempt are held, run or have
// succeeded. The leases of other workers expire, so that a partial gang does not keep running, however often the holder
// changes. Workers on which all tasks have ended need no renewal and are not returned.
func RenewableWorkers(tasks []Task, size func(model.JobID) (int, bool)) map[model.WorkerID]bool {
	byJob, attempts := groupByJob(tasks)
	renewable := make(map[model.WorkerID]bool)
	blocked := make(map[model.WorkerID]bool)
	for job, all := range byJob {
		n, known := size(job)
		last, earlier := splitByAttempt(all, attempts[job])
		complete := known && isComplete(last, n, heldRunningOrSucceeded)
		for _, t := range earlier {
			blocked[t.Worker] = blocked[t.Worker] || !t.Status.State.Final()
		}
		for _, t := range last {
			live := !t.Status.State.Final()
			renewable[t.Worker] = renewable[t.Worker] || live
			blocked[t.Worker] = blocked[t.Worker] || live && !complete
		}
	}
	maps.DeleteFunc(renewable, func(w model.WorkerID, live bool) bool { return !live || blocked[w] })
	return renewable
}

// ObstructingTasks returns the tasks that prevent the renewal of leases of complete gangs: the tasks of incomplete
// gangs of known size and of earlier attempts, on workers that also run a complete gang. Once they are stopped,
// RenewableWorkers returns these workers.
func ObstructingTasks(tasks []Task, size func(model.JobID) (int, bool)) []Task {
	byJob, attempts := groupByJob(tasks)
	var obstructing []Task
	runsComplete := make(map[model.WorkerID]bool)
	for _, job := range slices.Sorted(maps.Keys(byJob)) {
		n, known := size(job)
		last, earlier := splitByAttempt(byJob[job], attempts[job])
		obstructing = append(obstructing, earlier...)
		switch {
		case known && isComplete(last, n, heldRunningOrSucceeded):
			for _, t := range last {
				runsComplete[t.Worker] = runsComplete[t.Worker] || !t.Status.State.Final()
			}
		case known:
			obstructing = append(obstructing, last...)
		}
	}
	return slices.DeleteFunc(obstructing, func(t Task) bool { return t.Status.State.Final() || !runsComplete[t.Worker] })
}

// groupByJob returns the tasks and the highest reported attempt of each job.
func groupByJob(tasks []Task) (map[model.JobID][]Task, map[model.JobID]int) {
	byJob, attempts := make(map[model.JobID][]Task), make(map[model.JobID]int)
	for _, t := range tasks {
		job := t.Status.Task.Job
		byJob[job] = append(byJob[job], t)
		attempts[job] = max(attempts[job], t.Status.Task.Attempt)
	}
	return byJob, attempts
}

// splitByAttempt separates the tasks of the given attempt, ordered by task index, from the tasks of earlier attempts.
func splitByAttempt(tasks []Task, attempt int) (last, earlier []Task) {
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

// isComplete reports whether the tasks, ordered by index, are all tasks of a gang of size n, each exactly once and in a
// state that accepts allows.
func isComplete(tasks []Task, n int, accepts func(model.TaskState) bool) bool {
	if len(tasks) != n {
		return false
	}
	for i, t := range tasks {
		if t.Status.Task.Index != i || !accepts(t.Status.State) {
			return false
		}
	}
	return true
}

func runningOrSucceeded(s model.TaskState) bool {
	return s == model.TaskRunning || s == model.TaskSucceeded
}

func heldRunningOrSucceeded(s model.TaskState) bool {
	return s == model.TaskHeld || runningOrSucceeded(s)
}

// addStops adds the tasks that have not ended to Stop.
func (r *Result) addStops(tasks []Task) {
	for _, t := range tasks {
		if !t.Status.State.Final() {
			r.Stop = append(r.Stop, t)
		}
	}
}
