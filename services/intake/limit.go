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

// maxLookups bounds the lookups of an account at a time, because calls beyond its records cost one each.
const maxLookups = 4

// refuseUnlessStored refuses a submission with f, which says that the job does not run. A job that is stored already, which
// this call repeats, was accepted: its caller must not learn that it does not run. If that cannot be looked up, the outcome
// is unknown.
func (s *Service) refuseUnlessStored(c *kernel.Context, job workload.Job, deadline time.Time, e kernel.Envelope, f *failure.Error) {
	var notLookedUp *failure.Error
	switch {
	case !s.storeAvailable():
		notLookedUp = failure.New(failure.StoreUnavailable, "the job is not looked up: %s", f.Error()).WithOutcome(failure.Unknown)
	case s.lookups[job.Account] >= maxLookups:
		notLookedUp = failure.New(failure.AcceptanceUnknown, "too many lookups of the account: %s", f.Error())
	}
	switch {
	case notLookedUp != nil && comesInBursts(f.Reason):
		s.metrics.CountRefusal(notLookedUp)
		e.Fail(notLookedUp)
		return
	case notLookedUp != nil:
		s.refuse(e, "submit", job.ID, notLookedUp)
		return
	}
	s.lookups[job.Account]++
	config, caller := s.config, callerOf(&job)
	out := storeDone{env: e, job: job, deadline: deadline, startedAt: time.Now(), lookup: true}
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		item, err := s.store.Get(ctx, records.JobKey(job.ID))
		var missing *metastore.NotFoundError
		switch {
		case err == nil && !mayAccess(config, caller, decodeOwner(&item)):
			out.failure = keyReused()
		case err == nil:
			out.existed, out.revision = true, item.Created
		case errors.As(err, &missing):
			out.failure = f
		default:
			out.failure = failure.New(failure.StoreUnavailable, "the job is not looked up: %v", err).WithOutcome(failure.Unknown)
		}
		return out
	})
}

// lookupEnded ends the count of a lookup.
func (s *Service) lookupEnded(account workload.Account) {
	if s.lookups[account]--; s.lookups[account] <= 0 {
		delete(s.lookups, account)
	}
}
