package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

const (
	// maxSaveRecords is the number of progress records that fit into one transaction next to its two conditions, the entry
	// of SaveKey and the roster. Their size is limited to metastore.MaxTxnValueBytes, which holds the largest roster and the
	// largest record.
	maxSaveRecords = metastore.MaxTxnEntries - 4
	// saveRetryDelay is the delay before a failed save is repeated.
	saveRetryDelay = 250 * time.Millisecond
	// maxExpiredJobs is the largest number of finished jobs whose three entries are removed in one transaction, with a condition
	// each.
	maxExpiredJobs = (metastore.MaxTxnEntries - 3) / 4
	// expiryInterval is the time between two checks for entries whose retention has ended.
	expiryInterval = 5 * time.Second
	// defaultTombstoneRetention is how long the tombstone of a cancelled job is kept. It has to exceed the time by which the
	// submission of the job may be delayed, such as the longest suspension of a VM.
	defaultTombstoneRetention = 10 * time.Minute
	// maxExpiredTombstones is the largest number of tombstones that are removed in one transaction, with a condition each.
	maxExpiredTombstones = (metastore.MaxTxnEntries - 3) / 2
)

// saveDone is the result of a save transaction.
type saveDone struct {
	termScoped
	records []fleet.Record
	// bytes holds the sizes of the entries that were written, by key.
	bytes map[string]int
	// probe is set if the transaction only shows whether the store takes transactions without the suspected entry.
	probe bool
	// expired lists the jobs whose entries the transaction removes.
	expired []fleet.ExpiredJob
	// roster is nil if the transaction did not contain it; rosterVersion is its version.
	roster        workload.Roster
	rosterVersion int64
	// revision is the store revision of the transaction.
	revision int64
	err      error
}

// Kind implements kernel.Message.
func (saveDone) Kind() string { return "holder_save_done" }

// save writes changed progress records and the roster to the store. At most one transaction is in flight; the next one
// carries the changes since then. The condition on the holder's entry fences off a holder that has been replaced. The
// store may apply a transaction that it did not answer seconds later, if its conditions still hold. Therefore every
// transaction writes SaveKey, and the next one has its revision as a condition. If nothing has changed, save removes
// entries whose retention has ended.
func (s *Service) save(c *kernel.Context) {
	t := s.term
	now := time.Now()
	if t.saveInFlight || now.Before(t.nextSaveAt) {
		return
	}
	out := saveDone{termScoped: termScoped{t.number}}
	txn := metastore.Txn{Conditions: []metastore.Condition{
		{Key: records.HolderKey, Revision: t.fence},
		{Key: records.SaveKey, Revision: t.saveRevision},
	}}
	out.probe = t.rejections.suspect != ""
	if !out.probe {
		s.addRoster(now, &out, &txn)
		s.addProgress(c, now, &out, &txn)
	}
	if len(txn.Writes) == 0 && !out.probe {
		if now.Before(t.nextExpiryAt) {
			return
		}
		t.nextExpiryAt = now.Add(expiryInterval)
		s.addExpired(now, &out, &txn)
		if len(txn.Removals) == 0 {
			return
		}
	}
	txn.Writes = append(txn.Writes, metastore.Write{Key: records.SaveKey, Value: []byte("{}")})
	t.saveInFlight = true
	c.Spawn(func(ctx context.Context) kernel.Message {
		start := time.Now()
		out.revision, out.err = s.store.Commit(ctx, txn)
		s.metrics.RecordLatency("store_commit", time.Since(start))
		return out
	})
}

// addRoster adds the roster to a transaction if it has changed.
func (s *Service) addRoster(now time.Time, out *saveDone, txn *metastore.Txn) {
	t := s.term
	version := t.fleet.RosterVersion()
	if version == t.savedRosterVersion || t.rejections.waits(now, records.RosterKey) {
		return
	}
	value, roster, err := records.EncodeRoster(t.fleet.Roster(), metastore.MaxValueBytes)
	if err != nil {
		s.metrics.CountEvent("roster_too_large", 1)
		s.log("roster not recorded", "error", err.Error())
		t.rejections.postpone(now, records.RosterKey)
		return
	}
	out.roster, out.rosterVersion = roster, version
	out.add(txn, records.RosterKey, value)
}

// addProgress adds the progress of as many jobs to a transaction as its limits allow. It ends a job whose progress exceeds
// the limit of the store.
func (s *Service) addProgress(c *kernel.Context, now time.Time, out *saveDone, txn *metastore.Txn) {
	t := s.term
	bytes := 0
	for _, n := range out.bytes {
		bytes += n
	}
	for _, r := range t.fleet.UnrecordedProgress(maxSaveRecords + len(t.rejections.entries)) {
		key := records.ProgressKey(r.Job)
		if t.rejections.waits(now, key) {
			continue
		}
		if len(out.records) == maxSaveRecords || len(txn.Writes) >= t.rejections.maxEntries() {
			return
		}
		value, dropped, err := records.EncodeProgress(r.Progress, metastore.MaxValueBytes)
		if err != nil {
			s.metrics.CountEvent("records_too_large", 1)
			s.failUnrecordable(c, now, r.Job, err)
			continue
		}
		if bytes += len(value); bytes > metastore.MaxTxnValueBytes {
			return
		}
		if dropped > 0 {
			s.metrics.CountEvent("checkpoints_not_recorded", int64(dropped))
		}
		out.records = append(out.records, r)
		out.add(txn, key, value)
	}
}

// add adds an entry to a transaction.
func (d *saveDone) add(txn *metastore.Txn, key string, value []byte) {
	if d.bytes == nil {
		d.bytes = map[string]int{}
	}
	d.bytes[key] = len(value)
	txn.Writes = append(txn.Writes, metastore.Write{Key: key, Value: value})
}

// addExpired adds the removal of expired entries to a transaction: those of finished jobs or, if there are none, of
// tombstones. An entry that was written again meanwhile is kept, because its revision is a condition: a removal may be repeated
// after it was done without an answer.
func (s *Service) addExpired(now time.Time, out *saveDone, txn *metastore.Txn) {
	t := s.term
	out.expired = t.fleet.ExpiredJobs(now, maxExpiredJobs)
	txn.Removals = recordKeys(out.expired)
	for _, x := range out.expired {
		txn.Conditions = append(txn.Conditions, metastore.Condition{Key: records.JobKey(x.ID), Revision: x.Accepted})
	}
	if len(txn.Removals) > 0 {
		return
	}
	for _, e := range t.tombstones.Expired(now, s.settings.TombstoneRetention, maxExpiredTombstones) {
		txn.Conditions = append(txn.Conditions, metastore.Condition{Key: e.Key, Revision: e.Revision})
		txn.Removals = append(txn.Removals, e.Key)
	}
	if len(txn.Removals) == maxExpiredTombstones {
		t.nextExpiryAt = now
	}
}

func recordKeys(jobs []fleet.ExpiredJob) []string {
	var keys []string
	for _, x := range jobs {
		keys = append(keys, records.JobKey(x.ID), records.CancelKey(x.ID), records.ProgressKey(x.ID))
	}
	return keys
}

func (s *Service) handleSaveDone(c *kernel.Context, m saveDone) {
	t := s.term
	t.saveInFlight = false
	var (
		conflict *metastore.ConflictError
		rejected *metastore.RejectedError
	)
	switch {
	case m.err == nil:
		t.saveRevision = m.revision
		if m.roster != nil {
			t.savedRosterVersion = m.rosterVersion
			t.fleet.MarkRosterRecorded(m.roster)
		}
		for i := range m.records {
			if r := &m.records[i]; r.Progress.State.Final() {
				s.log("job ended", "job", r.Job, "state", r.Progress.State, "version", r.Version)
			}
		}
		t.fleet.MarkRecorded(m.records)
		t.fleet.RemoveJobs(m.expired)
		if len(m.expired) == maxExpiredJobs {
			// There may be more of them.
			t.nextExpiryAt = time.Time{}
		}
		t.queue.markRemoved(m.expired, m.revision)
		s.handleAccepted(c, m)
		s.requestPlan(c)
		return
	case errors.As(m.err, &rejected):
		s.handleRejected(c, m, rejected)
		return
	case errors.As(m.err, &conflict):
		adopted := t.adoptSaveRevision(conflict)
		s.applyRemovalConflict(m.expired, conflict)
		if adopted {
			// An earlier unanswered transaction was applied after all.
			s.metrics.CountEvent("save_repeated", 1)
			s.requestPlan(c)
			return
		}
		// This VM's holder entry has changed. The watch or the next renewal shows how.
		s.metrics.CountEvent("save_fenced", 1)
	default:
		s.metrics.CountEvent("save_failed", 1)
	}
	s.log("saving the progress failed; retrying", "jobs", len(m.records), "expired", len(m.expired), "error", m.err.Error())
	t.nextSaveAt = time.Now().Add(saveRetryDelay)
	if len(m.records) == 0 && m.roster == nil {
		// The transaction only removes entries. Waiting for expiryInterval each time would leave them in the store for minutes
		// while it loses answers.
		t.nextExpiryAt = time.Time{}
	}
	s.schedulePlan(c, saveRetryDelay)
}

// applyRemovalConflict applies what a conflict shows about the entries of expired jobs: an earlier removal was done without an answer, and
// a caller may have submitted a job of the same ID since.
func (s *Service) applyRemovalConflict(expired []fleet.ExpiredJob, conflict *metastore.ConflictError) {
	t := s.term
	items := make(map[string]*metastore.Item, len(conflict.Items))
	for i := range conflict.Items {
		items[conflict.Items[i].Key] = &conflict.Items[i]
	}
	for _, x := range expired {
		item, ok := items[records.JobKey(x.ID)]
		switch {
		case !ok || item.Revision == x.Accepted:
		case item.Revision == 0:
			s.metrics.CountEvent("removals_done_unanswered", 1)
			t.fleet.RemoveJobs([]fleet.ExpiredJob{x})
			t.queue.markRemoved([]fleet.ExpiredJob{x}, t.saveRevision)
		case x.Accepted == 0 || item.Created <= x.Accepted:
			t.fleet.CorrectAcceptance(x, item.Revision)
		default:
			s.applyQueueItem(time.Now(), item)
		}
	}
}

// adoptSaveRevision reports whether a transaction failed only because an earlier one of this holder was applied, and
// adopts the revision of that one.
func (t *term) adoptSaveRevision(conflict *metastore.ConflictError) bool {
	stillHolder, revision := false, t.saveRevision
	for i := range conflict.Items {
		switch item := &conflict.Items[i]; item.Key {
		case records.HolderKey:
			stillHolder = item.Revision == t.fence
		case records.SaveKey:
			revision = item.Revision
		}
	}
	if !stillHolder || revision == t.saveRevision {
		return false
	}
	t.saveRevision = revision
	return true
}
