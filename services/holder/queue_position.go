package holder

import (
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// queuePosition is how far the holder has followed the queue of accepted jobs. It tells a new job from one that is no
// longer stored: an update may show the queue as it was before the holder removed the entries of a finished job, which
// would run again.
type queuePosition struct {
	// listed is set once the first list has been applied.
	listed bool
	// revision is the revision of the store up to which all changes have been applied.
	revision int64
	// removed holds the jobs whose entries were removed at a later revision, with that revision.
	removed map[workload.JobID]int64
}

// advance moves the position after an update has been applied.
func (q *queuePosition) advance(u metastore.Update) {
	q.listed = q.listed || u.Snapshot
	q.revision = max(q.revision, u.Revision)
	for id, revision := range q.removed {
		if revision <= q.revision {
			delete(q.removed, id)
		}
	}
}

// includes reports whether the updates that were applied contain all changes up to a revision.
func (q *queuePosition) includes(revision int64) bool { return revision <= q.revision }

// markRemoved records that the entries of jobs were removed at a revision.
func (q *queuePosition) markRemoved(jobs []fleet.ExpiredJob, revision int64) {
	if q.includes(revision) {
		return
	}
	if q.removed == nil {
		q.removed = map[workload.JobID]int64{}
	}
	for _, x := range jobs {
		q.removed[x.ID] = revision
	}
}

// wasRemoved reports whether an entry of a job that was created at a revision has been removed since.
func (q *queuePosition) wasRemoved(id workload.JobID, created int64) bool {
	return created <= q.removed[id]
}
