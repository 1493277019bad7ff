package slopes

import (
	"context"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// kills is the number of holders that are killed for each size.
const kills = 5

// electionPart measures the time from the loss of a holder to the authority of the next one, and to the first
// start of a task by it. A job that is submitted after the loss waits for it.
func electionPart(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "election", Keys: 1, Columns: []string{
		"workers", "kills", "authority_ms_median", "authority_ms_max", "first_start_ms_median", "first_start_ms_max",
	}}
	return o.rows(ctx, t, o.ElectionWorkers, sameWorkers, func(t *Table, f measuredFleet, n int) error {
		c, err := newJobCluster(ctx, f.state)
		if err != nil {
			return err
		}
		defer c.abort()
		var authority, start []time.Duration
		for range kills {
			a, s, err := c.election(ctx, f.state.Workers)
			if err != nil {
				return err
			}
			authority, start = append(authority, a), append(start, s)
		}
		as, ss := millis(authority), millis(start)
		t.add(float64(n), kills, as[kills/2], as[kills-1], ss[kills/2], ss[kills-1])
		return nil
	})
}

// election kills the holder and returns the times to the next authority and to the first start.
func (c *cluster) election(ctx context.Context, workers []string) (authority, start time.Duration, err error) {
	lost, epoch := c.holder(ctx, 0)
	if err := until(ctx, "a holder", func() bool { lost, epoch = c.holder(ctx, 0); return lost >= 0 }); err != nil {
		return 0, 0, err
	}
	via := (lost + 1) % len(c.daemons)
	begun := time.Now()
	c.kill(lost)
	var elected time.Time
	noticed := make(chan error, 1)
	c.wg.Go(func() {
		noticed <- until(ctx, "a new authority", func() bool {
			next, e := c.holder(ctx, via)
			elected = time.Now()
			return next >= 0 && epoch.Less(e)
		})
	})
	var job model.Job
	if job, err = c.submit(ctx, via, teamJob(1)); err == nil {
		err = c.awaitStart(ctx, via, job.ID)
	}
	if e := <-noticed; err == nil {
		err = e
	}
	if err != nil {
		return 0, 0, err
	}
	starts, err := taskStarts(ctx, workers)
	if err != nil {
		return 0, 0, err
	}
	first, err := startOf(starts, job.ID)
	if err == nil {
		err = c.restart(lost)
	}
	// The VM that returns finds the others, and all workers report to the holder.
	time.Sleep(meet)
	return elected.Sub(begun), first.Sub(begun), err
}
