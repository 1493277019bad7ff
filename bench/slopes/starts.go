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
	// statusEvery is the interval at which the state of a job or a holder is read, and so the error of a time
	// to a new authority. Times of task starts come from the records of the workers.
	statusEvery = 5 * time.Millisecond
	// entryVMs is the number of entry VMs of a failure domain in the election and urgent parts.
	entryVMs = 3
)

// taskStarts returns the local time at which each task first ran, from the records of the workers. Its error is
// the time that a worker's answer takes.
func taskStarts(ctx context.Context, addresses []string) (map[model.TaskID]time.Time, error) {
	type answer struct {
		history worker.History
		at      time.Time
		err     error
	}
	answers := make(chan answer, len(addresses))
	var wg conc.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			var a answer
			a.err = fetch(ctx, http.MethodPost, "http://"+address+worker.PathHistory, worker.HistoryRequest{}, &a.history)
			a.at = time.Now()
			answers <- a
		})
	}
	wg.Wait()
	out := make(map[model.TaskID]time.Time)
	for range addresses {
		a := <-answers
		if a.err != nil {
			return nil, a.err
		}
		for _, e := range a.history.Entries {
			if _, known := out[e.Task]; !known && e.State == model.TaskRunning {
				out[e.Task] = a.at.Add(e.At - a.history.Now)
			}
		}
	}
	return out, nil
}

// startOf returns the time at which the task of a job with one task first ran.
func startOf(starts map[model.TaskID]time.Time, id model.JobID) (time.Time, error) {
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

// until repeats f until it returns true.
func until(ctx context.Context, what string, f func() bool) error {
	for begun := time.Now(); !f(); {
		if time.Since(begun) > startTimeout || ctx.Err() != nil {
			return errors.Newf("%s is not reached within %s", what, startTimeout)
		}
		time.Sleep(statusEvery)
	}
	return nil
}

// submit submits a job at a VM until it is accepted.
func (c *cluster) submit(ctx context.Context, via int, spec model.JobSpec) (model.Job, error) {
	var job model.Job
	var last error
	err := until(ctx, "the acceptance of a job", func() bool {
		last = c.clients[via].Post(ctx, "/v1/jobs", spec, &job)
		return last == nil
	})
	return job, errors.CombineErrors(err, last)
}

// awaitStart waits until a VM reports that a job has run.
func (c *cluster) awaitStart(ctx context.Context, via int, id model.JobID) error {
	return until(ctx, "the start of "+string(id), func() bool {
		var job model.Job
		err := c.clients[via].Get(ctx, "/v1/job?id="+url.QueryEscape(string(id)), &job)
		return err == nil && (job.State == model.JobRunning || job.State.Final())
	})
}

// holder returns the number and the epoch of the VM that holds the first failure domain as another VM sees it.
func (c *cluster) holder(ctx context.Context, via int) (int, model.Epoch) {
	var status httpapi.StatusBody
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

// newJobCluster starts the entry VMs of one failure domain with the workers of a fleet and a configuration.
func newJobCluster(ctx context.Context, s fleetState) (*cluster, error) {
	c, err := newCluster(1, entryVMs, fleetState{Store: s.Store, Workers: s.Workers})
	if err != nil {
		return nil, err
	}
	time.Sleep(meet)
	if _, err := c.change(ctx, 0); err != nil {
		c.abort()
		return nil, err
	}
	// A first job shows that the holder knows the workers.
	job, err := c.submit(ctx, 0, teamJob(1))
	if err == nil {
		err = c.awaitStart(ctx, 0, job.ID)
	}
	if err != nil {
		c.abort()
		return nil, err
	}
	time.Sleep(settle)
	return c, nil
}

// shortRun is the run time of the jobs whose start is measured.
const shortRun = 100 * time.Millisecond

// teamJob returns a short job of one task.
func teamJob(gpus int) model.JobSpec {
	return model.JobSpec{Account: team(0), Tasks: 1, GPUsPerTask: gpus, RunTime: shortRun, Preemptible: true}
}

// millis returns durations in milliseconds in rising order.
func millis(times []time.Duration) []float64 {
	var out []float64
	for _, t := range times {
		out = append(out, round(float64(t.Microseconds())/1000))
	}
	slices.Sort(out)
	return out
}

// quantile returns the value that a share q of the sorted values does not exceed.
func quantile(sorted []float64, q float64) float64 {
	i := int(q * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}
