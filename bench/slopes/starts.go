package slopes

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
	"github.com/verbenaflow/verbenaflow/standins/worker"
)

const (
	// statusInterval is the interval at which the state of a job or a holder is polled. It limits the precision of the
	// measured election times, but not of task start times, which come from the history of the workers.
	statusInterval = 5 * time.Millisecond
	// entryVMCount is the number of entry VMs of a failure domain in the election and urgent parts.
	entryVMCount = 3
)

// fetchTaskStarts returns the time at which each task first ran, from the history of the workers. Worker clocks are
// converted to the local clock at the arrival of the response, with an error of up to the duration of that call.
func fetchTaskStarts(ctx context.Context, addresses []string) (map[model.TaskID]time.Time, error) {
	type response struct {
		history worker.History
		at      time.Time
		err     error
	}
	responses := make(chan response, len(addresses))
	var wg conc.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			var r response
			r.err = callJSON(ctx, http.MethodPost, "http://"+address+worker.PathHistory, worker.HistoryRequest{}, &r.history)
			r.at = time.Now()
			responses <- r
		})
	}
	wg.Wait()
	out := make(map[model.TaskID]time.Time)
	for range addresses {
		r := <-responses
		if r.err != nil {
			return nil, r.err
		}
		for _, e := range r.history.Entries {
			if _, known := out[e.Task]; !known && e.State == model.TaskRunning {
				out[e.Task] = r.at.Add(e.At - r.history.Now)
			}
		}
	}
	return out, nil
}

// firstStart returns the time of the first task start of a job.
func firstStart(starts map[model.TaskID]time.Time, id model.JobID) (time.Time, error) {
	var first time.Time
	for task, at := range starts {
		if task.Job == id && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	if first.IsZero() {
		return first, errors.Newf("no task of %s ran", id)
	}
	return first, nil
}

// pollUntil polls until reached returns true. The error names the condition.
func pollUntil(ctx context.Context, condition string, reached func() bool) error {
	for start := time.Now(); !reached(); {
		if time.Since(start) > waitTimeout || ctx.Err() != nil {
			return errors.Newf("%s did not happen within %s", condition, waitTimeout)
		}
		time.Sleep(statusInterval)
	}
	return nil
}

// submit submits a job to the VM with index via and retries until it is accepted.
func (c *cluster) submit(ctx context.Context, via int, spec model.JobSpec) (model.Job, error) {
	var job model.Job
	var lastErr error
	err := pollUntil(ctx, "the acceptance of a job", func() bool {
		lastErr = c.clients[via].Post(ctx, "/v1/jobs", spec, &job)
		return lastErr == nil
	})
	return job, errors.CombineErrors(err, lastErr)
}

// awaitStart waits until the VM with index via reports that a job is running or has ended.
func (c *cluster) awaitStart(ctx context.Context, via int, id model.JobID) error {
	return pollUntil(ctx, "the start of "+string(id), func() bool {
		var job model.Job
		err := c.clients[via].Get(ctx, "/v1/job?id="+url.QueryEscape(string(id)), &job)
		return err == nil && (job.State == model.JobRunning || job.State.Final())
	})
}

// findHolder returns the index of the holder of the first failure domain and its epoch, as reported by the VM with
// index via. The index is -1 if the VM reports none.
func (c *cluster) findHolder(ctx context.Context, via int) (int, model.Epoch) {
	var status httpapi.StatusResponse
	if c.clients[via].Get(ctx, "/v1/status", &status) != nil {
		return -1, model.Epoch{}
	}
	for _, h := range status.Holders {
		for i, vm := range c.daemons {
			if h.VM == vm.settings.VM && h.Domain == c.daemons[0].settings.Domain {
				return i, h.Epoch
			}
		}
	}
	return -1, model.Epoch{}
}

// startJobCluster starts a cluster of entryVMCount entry VMs in one failure domain with the workers of a fleet, sets a
// configuration and waits until the cluster starts tasks.
func startJobCluster(ctx context.Context, s fleetState) (*cluster, error) {
	c, err := startCluster(1, entryVMCount, fleetState{Store: s.Store, Workers: s.Workers})
	if err != nil {
		return nil, err
	}
	time.Sleep(clusterFormationTime)
	if _, err := c.changeConfig(ctx, 0); err != nil {
		c.abort()
		return nil, err
	}
	// Once a first job runs, the holder knows the workers.
	job, err := c.submit(ctx, 0, shortJob(1))
	if err == nil {
		err = c.awaitStart(ctx, 0, job.ID)
	}
	if err != nil {
		c.abort()
		return nil, err
	}
	time.Sleep(settleTime)
	return c, nil
}

// shortRunTime is the run time of the jobs whose start is measured.
const shortRunTime = 100 * time.Millisecond

// shortJob returns a short job of one task.
func shortJob(gpus int) model.JobSpec {
	return model.JobSpec{Account: numberedAccount(0), Tasks: 1, GPUsPerTask: gpus, RunTime: shortRunTime, Preemptible: true}
}

// sortedMillis returns the durations in milliseconds in ascending order.
func sortedMillis(times []time.Duration) []float64 {
	var out []float64
	for _, t := range times {
		out = append(out, round(float64(t.Microseconds())/1000))
	}
	slices.Sort(out)
	return out
}

// quantile returns the q-quantile of values in ascending order: the value after the first q*len(sorted) values, rounded
// down, or the last value if there is none.
func quantile(sorted []float64, q float64) float64 {
	i := int(q * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}
