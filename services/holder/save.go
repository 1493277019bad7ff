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
	// saveBatch is the number of records of one transaction, beside the condition on the holder and the roster.
	saveBatch = metastore.MaxTxn - 2
	// saveRetry is the delay before a failed record is repeated.
	saveRetry = 250 * time.Millisecond
	// expireBatch is the number of finished jobs whose three entries are removed in one transaction.
	expireBatch = (metastore.MaxTxn - 1) / 3
	// expireEvery is the time between two looks for finished jobs whose retention has ended.
	expireEvery = 5 * time.Second
)

// saveDone is the result of a transaction of records.
type saveDone struct {
	term    int64
	records []fleet.Record
	// roster is recorded too if it is not nil; version is its version.
	roster  workload.Roster
	version int64
	err     error
}

// Kind implements kernel.Message.
func (saveDone) Kind() string { return "holder_save_done" }

// save records what has changed: at most one transaction is under way, which carries all that changed since the last.
// Its condition on the holder's entry keeps a replaced holder from writing.
func (s *Service) save(c *kernel.Context) {
	t := s.term
	now := time.Now()
	if t.saving || now.Before(t.saveAfter) {
		return
	}
	out := saveDone{term: t.number, records: t.fleet.Dirty(saveBatch)}
	txn := metastore.Txn{If: []metastore.Condition{{Key: records.HolderKey, Revision: t.fence}}}
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
	t.saving = true
	c.Spawn(func(ctx context.Context) kernel.Message {
		began := time.Now()
		_, out.err = s.store.Commit(ctx, txn)
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
		// The own entry has changed: the watch or the renewal tells how.
		s.metrics.Event("save_fenced", 1)
	default:
		s.metrics.Event("save_failed", 1)
	}
	s.log("progress not recorded", "jobs", len(m.records), "error", m.err.Error())
	t.saveAfter = time.Now().Add(saveRetry)
	s.planAfter(c, saveRetry)
}
