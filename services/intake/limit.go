package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// refuseBeyondLimit refuses a job of which a step can never run below the limit of its account. A job that is stored
// already, which this call repeats, was accepted under another limit: its caller must not learn that it does not run.
func (s *Service) refuseBeyondLimit(c *kernel.Context, job workload.Job, step int, deadline time.Time, e kernel.Envelope) {
	if !s.storeAvailable() {
		s.refuse(e, "submit", job.ID, failure.New(failure.StoreUnavailable, "the store does not answer; nothing was sent to it"))
		return
	}
	out := storeDone{env: e, job: job, deadline: deadline, startedAt: time.Now()}
	config, caller := s.config, submitter(&job)
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		item, err := s.store.Get(ctx, records.JobKey(job.ID))
		var missing *metastore.NotFoundError
		switch {
		case err == nil && !mayAccess(config, caller, decodeOwner(&item)):
			out.failure = failure.New(failure.KeyReused, "a job of another account has this identifier")
		case err == nil:
			out.existed, out.revision = true, item.Created
		case errors.As(err, &missing):
			out.failure = failure.New(failure.AccountLimit, "step %d needs more than account %s may have running", step, job.Account)
		default:
			out.failure = failure.New(failure.StoreUnavailable, "%v", err)
		}
		return out
	})
}
