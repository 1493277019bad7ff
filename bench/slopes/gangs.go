package slopes

import (
	"context"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
)

// measureGangStarts measures the start of gangs whose tasks use all accelerators of a worker each: the times from the
// submission until the first and the last task run, the number of exchanges that carry commands, and the number of
// commands until then.
func measureGangStarts(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "gang starts", KeyColumns: 1, Columns: []string{
		"tasks", "first_run_ms", "last_run_ms", "release_spread_ms", "exchanges_with_commands", "commands",
	}}
	return o.measureSizes(ctx, t, o.GangSizes, func(int) int { return o.UrgentWorkerCount }, func(t *Table, f fleetView, n int) error {
		epoch, d := nextEpochAndDomain()
		h, err := startHolder(d, epoch, f.state.Store, f.state.Workers)
		if err != nil {
			return err
		}
		defer h.abort()
		h.awaitReady()
		return h.addGangRow(ctx, t, f.state.Workers, n)
	})
}

func (h *holder) addGangRow(ctx context.Context, t *Table, workers []string, tasks int) error {
	spec := model.JobSpec{Account: account, Tasks: tasks, GPUsPerTask: model.GPUsPerWorker, RunTime: jobRunTime, Preemptible: true}
	exchanges, commands, start := h.exchangesWithCommands.Load(), h.commands.Load(), time.Now()
	reply, err := h.kernel.Call(ctx, names.Scheduler, message.JobSubmit{Spec: spec})
	if err != nil {
		return err
	}
	if err := h.awaitRunning(tasks); err != nil {
		return err
	}
	exchanges, commands = h.exchangesWithCommands.Load()-exchanges, h.commands.Load()-commands
	starts, err := fetchTaskStarts(ctx, workers)
	if err != nil {
		return err
	}
	var startTimes []time.Duration
	for task, at := range starts {
		if task.Job == reply.(message.JobReply).Job.ID {
			startTimes = append(startTimes, at.Sub(start))
		}
	}
	ms := sortedMillis(startTimes)
	last := ms[len(ms)-1]
	t.add(float64(tasks), ms[0], last, round(last-ms[0]), float64(exchanges), float64(commands))
	return nil
}
