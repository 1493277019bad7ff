package slopes

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/standins/worker"
)

const (
	// urgentGPUs are the accelerators of an urgent job and of each borrower.
	urgentGPUs = 4
	// urgentEvery is the interval between two urgent jobs; each has ended when the next one arrives.
	urgentEvery = 250 * time.Millisecond
	// slowCheckpoint is a checkpoint that nearly takes the grace of 1 s for the victims of urgent work.
	slowCheckpoint = 800 * time.Millisecond
)

// urgentCase is a state of the failure domain in which urgent jobs arrive.
type urgentCase struct {
	// borrowed is true if preemptible jobs hold all accelerators.
	borrowed   bool
	checkpoint time.Duration
}

var urgentCases = []urgentCase{{}, {borrowed: true}, {borrowed: true, checkpoint: slowCheckpoint}}

// urgentPart measures the time from the HTTP call with an urgent job, at a VM that is not the holder, to the
// time at which its task runs at a worker.
func urgentPart(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "urgent starts", Keys: 3, Columns: []string{
		"workers", "borrowed_percent", "checkpoint_ms", "jobs", "p50_ms", "p99_ms", "max_ms",
	}}
	for _, u := range urgentCases {
		var err error
		t, err = o.rows(ctx, t, []int{o.UrgentWorkers}, sameWorkers, func(t *Table, f measuredFleet, n int) error {
			return o.urgentRow(ctx, t, f.state, u)
		})
		if err != nil {
			return t, err
		}
	}
	return t, nil
}

func (o *Options) urgentRow(ctx context.Context, t *Table, s fleetState, u urgentCase) error {
	if err := setCheckpoint(ctx, s.Workers, u.checkpoint); err != nil {
		return err
	}
	c, err := newJobCluster(ctx, s)
	if err != nil {
		return err
	}
	defer c.abort()
	borrowed := 0.0
	if u.borrowed {
		borrowed = 100
		if err := c.borrow(ctx, len(s.Workers)*model.GPUsPerWorker/urgentGPUs); err != nil {
			return err
		}
	}
	times, err := c.urgentStarts(ctx, s.Workers, o.Samples)
	if err != nil {
		return err
	}
	ms := millis(times)
	t.add(float64(len(s.Workers)), borrowed, float64(u.checkpoint.Milliseconds()), float64(len(ms)),
		quantile(ms, 0.5), quantile(ms, 0.99), ms[len(ms)-1])
	return nil
}

// setCheckpoint sets the duration of a checkpoint of all workers.
func setCheckpoint(ctx context.Context, workers []string, d time.Duration) error {
	var out worker.Faults
	for _, address := range workers {
		faults := worker.Faults{CheckpointMS: d.Milliseconds()}
		if err := fetch(ctx, http.MethodPost, "http://"+address+worker.PathFaults, faults, &out); err != nil {
			return err
		}
	}
	return nil
}

// borrow fills the failure domain with preemptible jobs.
func (c *cluster) borrow(ctx context.Context, n int) error {
	var last model.Job
	for range n {
		spec := teamJob(urgentGPUs)
		spec.Account, spec.RunTime = team(1), jobRunTime
		var err error
		if last, err = c.submit(ctx, 0, spec); err != nil {
			return err
		}
	}
	if err := c.awaitStart(ctx, 0, last.ID); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// urgentStarts submits urgent jobs one after the other and returns the times to their starts.
func (c *cluster) urgentStarts(ctx context.Context, workers []string, n int) ([]time.Duration, error) {
	holder, _ := c.holder(ctx, 0)
	via := (holder + 1) % len(c.daemons)
	submitted := make(map[model.JobID]time.Time)
	var last model.JobID
	for range n {
		spec := teamJob(urgentGPUs)
		spec.Urgent = true
		begun := time.Now()
		job, err := c.submit(ctx, via, spec)
		if err != nil {
			return nil, err
		}
		submitted[job.ID], last = begun, job.ID
		time.Sleep(time.Until(begun.Add(urgentEvery)))
	}
	if err := c.awaitStart(ctx, via, last); err != nil {
		return nil, err
	}
	if now, _ := c.holder(ctx, 0); now != holder {
		return nil, errors.New("the holder changed during the measurement")
	}
	starts, err := taskStarts(ctx, workers)
	if err != nil {
		return nil, err
	}
	var out []time.Duration
	for id, begun := range submitted {
		at, err := startOf(starts, id)
		if err != nil {
			return nil, err
		}
		out = append(out, at.Sub(begun))
	}
	return out, nil
}
