package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// ExpiredJob is a finished job whose retention has ended.
type ExpiredJob struct {
	ID workload.JobID
	// Accepted is the store's revision of the acceptance of the job. A later one shows that the ID was accepted again.
	Accepted int64
}

// ExpiredJobs returns at most limit jobs whose retention has ended, those that ended first before others, so that the
// caller can delete their records. Jobs of which an earlier holder may have started tasks stay until all runs of earlier
// holders are known: these runs count against the limit of the job's account.
//
// The jobs stay in the state until RemoveJobs is called: a stored job that the scheduler does not know is a new one.
func (f *Scheduler) ExpiredJobs(now time.Time, limit int) []ExpiredJob {
	var expired []*job
	for _, j := range f.jobs {
		if j.inherited && !f.reconcileBy.IsZero() {
			continue
		}
		if j.state.Final() && j.recordedVersion >= j.version && now.Sub(j.endedAt) > f.settings.Retention && !j.hasRuns() {
			expired = append(expired, j)
		}
	}
	slices.SortFunc(expired, func(a, b *job) int { return cmp.Or(a.endedAt.Compare(b.endedAt), cmp.Compare(a.rec.ID, b.rec.ID)) })
	var out []ExpiredJob
	for _, j := range expired[:min(limit, len(expired))] {
		out = append(out, ExpiredJob{j.rec.ID, j.createdRevision})
	}
	return out
}

// RemoveJobs removes jobs whose records were deleted from the state. A job that was accepted under the same ID since is kept.
func (f *Scheduler) RemoveJobs(jobs []ExpiredJob) {
	for _, x := range jobs {
		if j := f.jobs[x.ID]; j != nil && j.createdRevision == x.Accepted {
			f.removeJob(j)
		}
	}
}

// CorrectAcceptance replaces the store's revision of the acceptance of an expired job.
func (f *Scheduler) CorrectAcceptance(x ExpiredJob, revision int64) {
	if j := f.jobs[x.ID]; j != nil && j.createdRevision == x.Accepted {
		j.createdRevision = revision
	}
}

// RemoveReplaced removes a finished job if its ID was accepted again at a later revision: its records were deleted from the store before.
// It reports whether the job of the later revision is to be added.
func (f *Scheduler) RemoveReplaced(id workload.JobID, revision int64) bool {
	j := f.jobs[id]
	if j == nil {
		return true
	}
	if !j.state.Final() || j.recordedVersion < j.version || j.hasRuns() || j.createdRevision == 0 || revision <= j.createdRevision {
		return false
	}
	f.removeJob(j)
	return true
}

func (f *Scheduler) removeJob(j *job) {
	f.countBytes(j, 0)
	delete(f.jobs, j.rec.ID)
}
