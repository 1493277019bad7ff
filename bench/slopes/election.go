package slopes

import (
	"context"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// holderKills is the number of holder failures per size.
const holderKills = 5

// measureElection measures the time from the failure of a holder to the election of its successor, and to the first
// task start by that successor. The task belongs to a job that is submitted right after the failure.
func measureElection(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "election", KeyColumns: 1, Columns: []string{
		"workers", "kills", "authority_ms_median", "authority_ms_max", "first_start_ms_median", "first_start_ms_max",
	}}
	return o.measureSizes(ctx, t, o.ElectionWorkerCounts, sizeWorkers, func(t *Table, f fleetView, n int) error {
		c, err := startJobCluster(ctx, f.state)
		if err != nil {
			return err
		}
		defer c.abort()
		var authorityTimes, startTimes []time.Duration
		for range holderKills {
			a, s, err := c.timeElection(ctx, f.state.Workers)
			if err != nil {
				return err
			}
			authorityTimes, startTimes = append(authorityTimes, a), append(startTimes, s)
		}
		authorityMS, startMS := sortedMillis(authorityTimes), sortedMillis(startTimes)
		t.add(float64(n), holderKills, authorityMS[holderKills/2], authorityMS[holderKills-1], startMS[holderKills/2], startMS[holderKills-1])
		return nil
	})
}

// timeElection kills the holder and returns the times until another VM has authority and until that VM starts a task.
func (c *cluster) timeElection(ctx context.Context, workers []string) (toAuthority, toStart time.Duration, err error) {
	oldHolder, epoch := c.findHolder(ctx, 0)
	if err := pollUntil(ctx, "the election of a holder", func() bool { oldHolder, epoch = c.findHolder(ctx, 0); return oldHolder >= 0 }); err != nil {
		return 0, 0, err
	}
	via := (oldHolder + 1) % len(c.daemons)
	killedAt := time.Now()
	c.kill(oldHolder)
	var electedAt time.Time
	electionDone := make(chan error, 1)
	c.wg.Go(func() {
		electionDone <- pollUntil(ctx, "the election of a new holder", func() bool {
			next, e := c.findHolder(ctx, via)
			electedAt = time.Now()
			return next >= 0 && epoch.Less(e)
		})
	})
	var job model.Job
	if job, err = c.submit(ctx, via, shortJob(1)); err == nil {
		err = c.awaitStart(ctx, via, job.ID)
	}
	if electionErr := <-electionDone; err == nil {
		err = electionErr
	}
	if err != nil {
		return 0, 0, err
	}
	starts, err := fetchTaskStarts(ctx, workers)
	if err != nil {
		return 0, 0, err
	}
	startedAt, err := firstStart(starts, job.ID)
	if err == nil {
		err = c.restart(oldHolder)
	}
	// Until the next failure, the restarted VM has to find its peers, and all workers have to report to the holder.
	time.Sleep(clusterFormationTime)
	return electedAt.Sub(killedAt), startedAt.Sub(killedAt), err
}
