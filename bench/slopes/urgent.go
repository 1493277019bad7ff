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
	// urgentGPUs is the number of accelerators of an urgent job and of each borrower.
	urgentGPUs = 4
	// urgentInterval is the interval between two urgent jobs. Each of them has ended when the next one arrives.
	urgentInterval = 250 * time.Millisecond
	// slowCheckpointTime is just below the grace period of 1 s in which tasks preempted by urgent jobs can checkpoint.
	slowCheckpointTime = 800 * time.Millisecond
)

// urgentCase is a state of the failure domain when urgent jobs arrive.
type urgentCase struct {
	// borrowed is true if preemptible jobs of another account occupy all accelerators.
	borrowed       bool
	checkpointTime time.Duration
}

var urgentCases = []urgentCase{{}, {borrowed: true}, {borrowed: true, checkpointTime: slowCheckpointTime}}

// measureUrgentStarts measures the time from the submission of an urgent job over HTTP, to a VM that is not the holder,
// until its task runs on a worker.
func measureUrgentStarts(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "urgent starts", KeyColumns: 3, Columns: []string{
		"workers", "borrowed_percent", "checkpoint_ms", "jobs", "p50_ms", "p99_ms", "max_ms",
	}}
	for _, u := range urgentCases {
		var err error
		t, err = o.measureSizes(ctx, t, []int{o.UrgentWorkerCount}, sizeWorkers, func(t *Table, f fleetView, n int) error {
			return o.addUrgentRow(ctx, t, f.state, u)
		})
		if err != nil {
			return t, err
		}
	}
	return t, nil
}

func (o *Options) addUrgentRow(ctx context.Context, t *Table, s fleetState, u urgentCase) error {
	if err := setCheckpointTime(ctx, s.Workers, u.checkpointTime); err != nil {
		return err
	}
	c, err := startJobCluster(ctx, s)
	if err != nil {
		return err
	}
	defer c.abort()
	borrowedPercent := 0.0
	if u.borrowed {
		borrowedPercent = 100
		if err := c.startBorrowers(ctx, len(s.Workers)*model.GPUsPerWorker/urgentGPUs); err != nil {
			return err
		}
	}
	startTimes, err := c.measureUrgentJobs(ctx, s.Workers, o.UrgentJobsPerRow)
	if err != nil {
		return err
	}
	ms := sortedMillis(startTimes)
	t.add(float64(len(s.Workers)), borrowedPercent, float64(u.checkpointTime.Milliseconds()), float64(len(ms)),
		quantile(ms, 0.5), quantile(ms, 0.99), ms[len(ms)-1])
	return nil
}

// setCheckpointTime sets the duration of a checkpoint on all workers.
func setCheckpointTime(ctx context.Context, workers []string, d time.Duration) error {
	var out worker.Faults
	for _, address := range workers {
		faults := worker.Faults{CheckpointMS: d.Milliseconds()}
		if err := callJSON(ctx, http.MethodPost, "http://"+address+worker.PathFaults, faults, &out); err != nil {
			return err
		}
	}
	return nil
}

// startBorrowers starts n preemptible jobs of another account, which occupy the accelerators of the failure domain.
func (c *cluster) startBorrowers(ctx context.Context, n int) error {
	var last model.Job
	for range n {
		spec := shortJob(urgentGPUs)
		spec.Account, spec.RunTime = numberedAccount(1), jobRunTime
		var err error
		if last, err = c.submit(ctx, 0, spec); err != nil {
			return err
		}
	}
	if err := c.awaitStart(ctx, 0, last.ID); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// measureUrgentJobs submits n urgent jobs one after the other and returns the times from submission to start.
func (c *cluster) measureUrgentJobs(ctx context.Context, workers []string, n int) ([]time.Duration, error) {
	holder, _ := c.findHolder(ctx, 0)
	via := (holder + 1) % len(c.daemons)
	submitted := make(map[model.JobID]time.Time)
	var last model.JobID
	for range n {
		spec := shortJob(urgentGPUs)
		spec.Urgent = true
		start := time.Now()
		job, err := c.submit(ctx, via, spec)
		if err != nil {
			return nil, err
		}
		submitted[job.ID], last = start, job.ID
		time.Sleep(time.Until(start.Add(urgentInterval)))
	}
	if err := c.awaitStart(ctx, via, last); err != nil {
		return nil, err
	}
	if current, _ := c.findHolder(ctx, 0); current != holder {
		return nil, errors.New("the holder changed during the measurement")
	}
	starts, err := fetchTaskStarts(ctx, workers)
	if err != nil {
		return nil, err
	}
	var out []time.Duration
	for id, submittedAt := range submitted {
		startedAt, err := firstStart(starts, id)
		if err != nil {
			return nil, err
		}
		out = append(out, startedAt.Sub(submittedAt))
	}
	return out, nil
}
