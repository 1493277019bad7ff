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
	// saveBatch is the number of records of one transaction, beside two conditions, the entry of SaveKey and the roster.
	saveBatch = metastore.MaxTxn - 4
	// saveRetry is the delay before a failed record is repeated.
	saveRetry = 250 * time.Millisecond
	// expireBatch is the number of finished jobs whose three entries are removed in one transaction.
	expireBatch = (metastore.MaxTxn - 3) / 3
	// expireEvery is the time between two looks for finished jobs whose retention has ended.
	expireEvery = 5 * time.Second
)

// saveDone is the result of a transaction of records.
type saveDone struct {
	inTerm
	records []fleet.Record
	// roster is recorded too if it is not nil; version is its version.
	roster  workload.Roster
	version int64
	// revision is that of the transaction.
	revision int64
	err      error
}

// Kind implements kernel.Message.
func (saveDone) Kind() string { return "holder_save_done" }

// save records what has changed: at most one transaction is under way, which carries all that changed since the last.
// Its condition on the holder's entry keeps a replaced holder from writing. The store may apply a transaction without an
// answer seconds later, if its conditions still hold: each one changes SaveKey, on whose revision the next one depends.
func (s *Service) save(c *kernel.Context) {
	t := s.term
	now := time.Now()
	if t.saving || now.Before(t.saveAfter) {
		return
	}
	out := saveDone{inTerm: inTerm{t.number}, records: t.fleet.Dirty(saveBatch)}
	txn := metastore.Txn{If: []metastore.Condition{
		{Key: records.HolderKey, Revision: t.fence},
		{Key: records.SaveKey, Revision: t.saveRevision},
	}}
	for i := range out.records {
		r := &out.records[i]
		txn.Set = append(txn.Set, metastore.Write{Key: records.ProgressKey(r.Job), Value: records.Encode(r.Progress)})
	}
	if out.version = t.fleet.RosterVersion(); out.version != t.rosterSaved {
		out.roster = t.fleet.Roster()
		txn.Set = append(txn.Set, metastore.Write{Key: records.RosterKey, Value: records.Encode(out.roster)})
	}
	if len(txn.Set) == 0 {
		if now.Before(t.expireAt) {
			return
		}
		t.expireAt = now.Add(expireEvery)
		txn.Remove = expired(t.fleet.Expired(now, expireBatch))
		if len(txn.Remove) == 0 {
			return
		}
	}
	txn.Set = append(txn.Set, metastore.Write{Key: records.SaveKey, Value: []byte("{}")})
	t.saving = true
	c.Spawn(func(ctx context.Context) kernel.Message {
		began := time.Now()
		out.revision, out.err = s.store.Commit(ctx, txn)
		s.metrics.Latency("store_commit", time.Since(began))
		return out
	})
}

func expired(ids []workload.JobID) []string {
	var keys []string
	for _, id := range ids {
		keys = append(keys, records.JobKey(id), records.CancelKey(id), records.ProgressKey(id))
	}
	return keys
}

func (s *Service) saveDone(c *kernel.Context, m saveDone) {
	t := s.term
	t.saving = false
	var conflict *metastore.ConflictError
	switch {
	case m.err == nil:
		t.saveRevision = m.revision
		if m.roster != nil {
			t.rosterSaved = m.version
			t.fleet.RosterRecorded(m.roster)
		}
		for i := range m.records {
			if r := &m.records[i]; r.Progress.State.Final() {
				s.log("job ended", "job", r.Job, "state", r.Progress.State, "version", r.Version)
			}
		}
		t.fleet.Recorded(m.records)
		s.plan(c)
		return
	case errors.As(m.err, &conflict):
		if t.overtaken(conflict) {
			// An earlier transaction without an answer was applied after all.
			s.metrics.Event("save_repeated", 1)
			s.plan(c)
			return
		}
		// The own entry has changed: the watch or the renewal tells how.
		s.metrics.Event("save_fenced", 1)
	default:
		s.metrics.Event("save_failed", 1)
	}
	s.log("progress not recorded", "jobs", len(m.records), "error", m.err.Error())
	t.saveAfter = time.Now().Add(saveRetry)
	s.planAfter(c, saveRetry)
}

// overtaken reports whether a transaction failed only because an earlier one of this holder was applied, and takes over its
// revision.
func (t *term) overtaken(conflict *metastore.ConflictError) bool {
	held, saved := false, t.saveRevision
	for i := range conflict.Items {
		switch item := &conflict.Items[i]; item.Key {
		case records.HolderKey:
			held = item.Revision == t.fence
		case records.SaveKey:
			saved = item.Revision
		}
	}
	if !held || saved == t.saveRevision {
		return false
	}
	t.saveRevision = saved
	return true
}
