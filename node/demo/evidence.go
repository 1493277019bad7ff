package demo

import (
	"context"
	"fmt"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/platform/httpjson"
	"github.com/verbenaflow/verbenaflow/standins/executor"
	"github.com/verbenaflow/verbenaflow/standins/worker"
)

// attemptRecord summarizes what the workers recorded for one attempt of a gang: the numbers of its tasks that have run,
// are running and succeeded, and the highest epoch under which a task changed its state.
type attemptRecord struct {
	ran, running, succeeded int
	epoch                   model.Epoch
}

// allOrNone reports whether all or none of the gang's tasks have run, and whether no task is running without the
// others. Tasks that succeeded count as running with the others, because they may end at different times.
func (r attemptRecord) allOrNone(tasks int) bool {
	return (r.ran == 0 || r.ran == tasks) && (r.running == 0 || r.running+r.succeeded == tasks)
}

// recordsByAttempt summarizes the histories of the workers for each attempt of one job.
func recordsByAttempt(histories []worker.History, id model.JobID) map[int]attemptRecord {
	out := make(map[int]attemptRecord)
	for _, h := range histories {
		last, ran := make(map[model.TaskID]model.TaskState), make(map[model.TaskID]bool)
		for _, e := range h.Entries {
			if e.Task.Job != id {
				continue
			}
			last[e.Task] = e.State
			ran[e.Task] = ran[e.Task] || e.State == model.TaskRunning
			r := out[e.Task.Attempt]
			if r.epoch.Less(e.Epoch) {
				r.epoch = e.Epoch
			}
			out[e.Task.Attempt] = r
		}
		for task, state := range last {
			r := out[task.Attempt]
			r.ran += boolToInt(ran[task])
			r.running += boolToInt(state == model.TaskRunning)
			r.succeeded += boolToInt(state == model.TaskSucceeded)
			out[task.Attempt] = r
		}
	}
	return out
}

// findEpochDecrease returns the first entry whose epoch is lower than that of the preceding entry of the same worker.
func findEpochDecrease(histories []worker.History) (worker.HistoryEntry, bool) {
	for _, h := range histories {
		var high model.Epoch
		for _, e := range h.Entries {
			if e.Epoch.Less(high) {
				return e, true
			}
			high = e.Epoch
		}
	}
	return worker.HistoryEntry{}, false
}

// countRuns counts how often the executors ran a request.
func countRuns(histories []executor.History, id model.RequestID) int {
	n := 0
	for _, h := range histories {
		for _, r := range h.Runs {
			n += boolToInt(r.Request == id)
		}
	}
	return n
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// checkGang checks the histories of the workers in the job's failure domain: epochs must not decrease, and all or none
// of the tasks of each attempt must run. It must not be called while the gang changes its state, because its tasks do
// so one after another.
func (d *demo) checkGang(ctx context.Context, j model.Job) (string, error) {
	histories, err := readHistories[worker.History](ctx, d, model.RoleWorker, j.Domain, worker.PathHistory)
	if err != nil {
		return "", err
	}
	if e, found := findEpochDecrease(histories); found {
		return "", &brokenPromiseError{"P2", fmt.Sprintf("a worker accepted the lower epoch %s for task %v", e.Epoch, e.Task)}
	}
	all := recordsByAttempt(histories, j.ID)
	for n, r := range all {
		if !r.allOrNone(j.Spec.Tasks) {
			return "", &brokenPromiseError{"P2", fmt.Sprintf("attempt %d of %s: %d of %d tasks ran, %d run without the rest", n, j.ID, r.ran, j.Spec.Tasks, r.running)}
		}
	}
	last := all[j.Attempt]
	return fmt.Sprintf("workers: %d attempt(s), %d of %d tasks ran in attempt %d under epoch %s", len(all), last.ran, j.Spec.Tasks, j.Attempt, last.epoch), nil
}

// checkSingleRun checks that the executors of all failure domains together ran a request exactly once.
func (d *demo) checkSingleRun(ctx context.Context, id model.RequestID) (string, error) {
	histories, err := readHistories[executor.History](ctx, d, model.RoleExecutor, "", executor.PathHistory)
	if err != nil {
		return "", err
	}
	if n := countRuns(histories, id); n != 1 {
		return "", &brokenPromiseError{"P6", fmt.Sprintf("the executors ran %s %d times", id, n)}
	}
	return "executors: 1 run", nil
}

// readHistories reads the histories of all stand-ins of a role in a failure domain, or in all domains if it is empty.
func readHistories[T any](ctx context.Context, d *demo, role model.Role, domain model.FailureDomain, path string) ([]T, error) {
	var out []T
	for _, vm := range d.cluster.PlatformVMs() {
		if vm.Role != role || domain != "" && vm.Domain != domain {
			continue
		}
		c := httpjson.NewClient(vm.Address, 1)
		var h T
		err := c.Post(ctx, path, struct{}{}, &h)
		c.Close()
		if err != nil {
			return nil, err
		}
		out = append(out, h)
	}
	return out, nil
}
