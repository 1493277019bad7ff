package demo

import (
	"context"
	"fmt"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/platform/httpjson"
	"github.com/verbenaflow/verbenaflow/standins/executor"
	"github.com/verbenaflow/verbenaflow/standins/worker"
)

// gangRecord is what the workers recorded for one attempt of a gang: the number of its tasks that ran, that
// run now and that succeeded, and the highest epoch under which a task changed its state.
type gangRecord struct {
	ran, running, succeeded int
	epoch                   model.Epoch
}

// whole reports whether either all of a gang's tasks ran or none, and whether none runs without the rest. The
// tasks of a gang that ended with success may end at different times.
func (r gangRecord) whole(tasks int) bool {
	return (r.ran == 0 || r.ran == tasks) && (r.running == 0 || r.running+r.succeeded == tasks)
}

// attempts groups the records of the workers by the attempts of one job.
func attempts(histories []worker.History, id model.JobID) map[int]gangRecord {
	out := make(map[int]gangRecord)
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
			r.ran += count(ran[task])
			r.running += count(state == model.TaskRunning)
			r.succeeded += count(state == model.TaskSucceeded)
			out[task.Attempt] = r
		}
	}
	return out
}

// epochsFall returns the first entry whose epoch is lower than an earlier one of the same worker.
func epochsFall(histories []worker.History) (worker.Entry, bool) {
	for _, h := range histories {
		var high model.Epoch
		for _, e := range h.Entries {
			if e.Epoch.Less(high) {
				return e, true
			}
			high = e.Epoch
		}
	}
	return worker.Entry{}, false
}

// runs counts the operations that the executors ran for a request.
func runs(histories []executor.History, id model.RequestID) int {
	n := 0
	for _, h := range histories {
		for _, r := range h.Runs {
			n += count(r.Request == id)
		}
	}
	return n
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// gangEvidence checks what the workers of the job's failure domain recorded for it. The job must not be
// between two states of a gang.
func (d *demo) gangEvidence(ctx context.Context, j model.Job) (string, error) {
	hs, err := histories[worker.History](ctx, d, model.RoleWorker, j.Domain, worker.PathHistory)
	if err != nil {
		return "", err
	}
	if e, fell := epochsFall(hs); fell {
		return "", &brokenError{"P2", fmt.Sprintf("a worker accepted the lower epoch %s for task %v", e.Epoch, e.Task)}
	}
	all := attempts(hs, j.ID)
	for n, r := range all {
		if !r.whole(j.Spec.Tasks) {
			return "", &brokenError{"P2", fmt.Sprintf("attempt %d of %s: %d of %d tasks ran, %d run without the rest", n, j.ID, r.ran, j.Spec.Tasks, r.running)}
		}
	}
	last := all[j.Attempt]
	return fmt.Sprintf("workers: %d attempt(s), %d of %d tasks ran in attempt %d under epoch %s", len(all), last.ran, j.Spec.Tasks, j.Attempt, last.epoch), nil
}

// runEvidence checks that the executors of all failure domains ran a request exactly once.
func (d *demo) runEvidence(ctx context.Context, id model.RequestID) (string, error) {
	hs, err := histories[executor.History](ctx, d, model.RoleExecutor, "", executor.PathHistory)
	if err != nil {
		return "", err
	}
	if n := runs(hs, id); n != 1 {
		return "", &brokenError{"P6", fmt.Sprintf("the executors ran %s %d times", id, n)}
	}
	return "executors: 1 run", nil
}

// histories reads the records of all stand-ins of a role in a failure domain, or in all of them if it is empty.
func histories[T any](ctx context.Context, d *demo, role model.Role, domain model.FailureDomain, path string) ([]T, error) {
	var out []T
	for _, vm := range d.cluster.Fleet() {
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
