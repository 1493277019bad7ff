package slopes

import (
	"context"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
)

// gangsPart measures the start of gangs whose tasks take a whole worker each: the times from the submission to
// the first and the last running task, and the exchanges with commands and their commands until then.
func gangsPart(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "gang starts", Keys: 1, Columns: []string{
		"tasks", "first_run_ms", "last_run_ms", "release_spread_ms", "exchanges_with_commands", "commands",
	}}
	return o.rows(ctx, t, o.Gangs, func(int) int { return o.UrgentWorkers }, func(t *Table, f measuredFleet, n int) error {
		epoch, d := nextEpoch()
		h, err := newHolder(d, epoch, f.state.Store, f.state.Workers)
		if err != nil {
			return err
		}
		defer h.abort()
		h.ready()
		return h.gangRow(ctx, t, f.state.Workers, n)
	})
}

func (h *holder) gangRow(ctx context.Context, t *Table, workers []string, tasks int) error {
	spec := model.JobSpec{Account: account, Tasks: tasks, GPUsPerTask: model.GPUsPerWorker, RunTime: jobRunTime, Preemptible: true}
	exchanges, commands, begun := h.commanded.Load(), h.commands.Load(), time.Now()
	reply, err := h.kernel.Call(ctx, names.Scheduler, message.JobSubmit{Spec: spec})
	if err != nil {
		return err
	}
	if err := h.await(tasks); err != nil {
		return err
	}
	exchanges, commands = h.commanded.Load()-exchanges, h.commands.Load()-commands
	starts, err := taskStarts(ctx, workers)
	if err != nil {
		return err
	}
	var times []time.Duration
	for task, at := range starts {
		if task.Job == reply.(message.JobReply).Job.ID {
			times = append(times, at.Sub(begun))
		}
	}
	ms := millis(times)
	last := ms[len(ms)-1]
	t.add(float64(tasks), ms[0], last, round(last-ms[0]), float64(exchanges), float64(commands))
	return nil
}
