package holder

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

const (
	// maxRejections is how often the store may refuse the progress of a job for good before the job ends. Each refusal counts
	// only if the store has then taken a transaction without that entry.
	maxRejections = 3
	// rejectionRetryDelay is the delay before an entry that the store has refused for good is written again, and
	// lateRejectionRetryDelay that from the last counted refusal on.
	rejectionRetryDelay     = time.Second
	lateRejectionRetryDelay = 5 * time.Second
)

// rejections finds out which entry of a transaction the store refuses for good, so that one entry does not keep the others
// from being recorded. A refused transaction is repeated with half of its entries. An entry that is refused while it
// stands alone is suspected, and refused in fact if the store then takes a transaction without it.
type rejections struct {
	// limit is the largest number of entries of the next transaction; 0 means no limit.
	limit int
	// suspect is the key of the suspected entry, or empty.
	suspect string
	entries map[string]rejection
}

// rejection is an entry that the store has refused.
type rejection struct {
	count   int
	retryAt time.Time
}

// maxEntries returns the largest number of entries of the next transaction.
func (r *rejections) maxEntries() int {
	if r.limit == 0 {
		return metastore.MaxTxnEntries
	}
	return r.limit
}

// waits reports whether an entry is to be left out now.
func (r *rejections) waits(now time.Time, key string) bool {
	return now.Before(r.entries[key].retryAt)
}

// postpone counts a refusal of an entry and returns how many there were.
func (r *rejections) postpone(now time.Time, key string) int {
	if r.entries == nil {
		r.entries = map[string]rejection{}
	}
	e := r.entries[key]
	e.count++
	e.retryAt = now.Add(rejectionRetryDelay)
	if e.count >= maxRejections {
		e.retryAt = now.Add(lateRejectionRetryDelay)
	}
	r.entries[key] = e
	return e.count
}

// handleRejected applies a transaction that the store has refused for good.
func (s *Service) handleRejected(c *kernel.Context, m saveDone, err *metastore.RejectedError) {
	r := &s.term.rejections
	keys := slices.Sorted(maps.Keys(m.bytes))
	s.metrics.CountEvent("save_rejected", 1)
	s.log("the store refuses a transaction", "status", err.Status, "entries", len(keys), "bytes", m.bytes, "error", err.Error())
	delay := time.Duration(0)
	switch {
	case len(keys) > 1:
		r.limit = len(keys) / 2
	case len(keys) == 1:
		r.suspect = keys[0]
	default:
		// The store refuses transactions without the suspected entry, too.
		r.suspect, r.limit = "", 0
		delay = rejectionRetryDelay
	}
	s.term.nextSaveAt = time.Now().Add(delay)
	s.schedulePlan(c, delay)
}

// handleAccepted applies a transaction that the store has taken.
func (s *Service) handleAccepted(c *kernel.Context, m saveDone) {
	r := &s.term.rejections
	for key := range m.bytes {
		delete(r.entries, key)
	}
	if r.limit *= 2; r.limit > maxSaveRecords {
		r.limit = 0
	}
	if !m.probe {
		return
	}
	key := r.suspect
	r.suspect = ""
	n := r.postpone(time.Now(), key)
	s.metrics.CountEvent("records_rejected", 1)
	s.log("the store refuses an entry", "key", key, "refusals", n)
	if key != records.RosterKey && n == maxRejections {
		s.failUnrecordable(c, time.Now(), records.ParseProgressKey(key), &RecordRejectedError{Key: key})
	}
}

// RecordRejectedError reports an entry that the store refuses for good.
type RecordRejectedError struct{ Key string }

func (e *RecordRejectedError) Error() string { return "the store refuses the entry " + e.Key }

// failUnrecordable ends a job whose progress cannot be recorded. Its runs are stopped and its end, which needs little
// space, is recorded next.
func (s *Service) failUnrecordable(c *kernel.Context, now time.Time, id workload.JobID, cause error) {
	if !s.term.fleet.FailUnrecordable(now, id) {
		return
	}
	delete(s.term.rejections.entries, records.ProgressKey(id))
	s.log("job failed because its progress cannot be recorded", "job", id, "error", cause.Error())
	s.requestPlan(c)
}
