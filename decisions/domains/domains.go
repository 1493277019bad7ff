// Package domains decides the failure domain of a job: at submission, and again while the job waits.
package domains

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Home is the place of the entry VM that received a submission.
type Home struct {
	Domain model.FailureDomain
	Region model.Region
}

// Waiting is a queued job of the own failure domain. A job that is running, starting or being transferred is none.
type Waiting struct {
	Job  model.JobID
	Spec model.JobSpec
	// Submitted is the time of the first submission, Since the time from which the job waits in this failure domain
	// without a run.
	Submitted time.Time
	Since     time.Time
	// Progress is the checkpointed share of the work, from 0 to 1. A transfer gives it up.
	Progress float64
	// Transfers counts the earlier transfers of the job, also through other failure domains and also refused ones;
	// LastTransfer is the time at which the last one ended, zero if there was none.
	Transfers    int
	LastTransfer time.Time
}

// Transfer is a decision to hand a job over.
type Transfer struct {
	Job    model.JobID
	Target model.FailureDomain
}

// Choose returns the failure domains to which a submission may be sent, best first, and at least one. A job that
// names a failure domain gets only that one. Without a usable load of another failure domain the only candidate is
// the own one, which refuses the job itself if it can never run it. The caller skips Choose for jobs with an
// idempotency key.
func Choose(_ []model.DomainLoad, spec model.JobSpec, home Home, _ time.Time) []model.FailureDomain {
	if spec.Domain != "" {
		return []model.FailureDomain{spec.Domain}
	}
	return []model.FailureDomain{home.Domain}
}

// Transfers returns the jobs that the own failure domain should hand over now, in the order in which to begin
// them. own is its present load; loads may include it. inFlight counts its undecided transfers. The caller calls it
// when the loads change or the failure domain is taken out, at most once a second.
func Transfers(_ model.DomainLoad, _ []model.DomainLoad, _ []Waiting, _ int, _ time.Time) []Transfer {
	return nil
}
