package holder

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/runner"
)

// applyRegistryUpdate applies changes of the registry of executors.
func (s *Service) applyRegistryUpdate(c *kernel.Context, u metastore.Update) {
	t := s.term
	if u.Err != nil {
		s.metrics.CountEvent("registry_watch_failed", 1)
		return
	}
	now := time.Now()
	if u.Snapshot {
		listed := make(map[workload.ExecutorID]bool, len(u.Items))
		for i := range u.Items {
			if s.upsertExecutor(now, &u.Items[i]) {
				listed[runner.ExecutorIDFromKey(u.Items[i].Key)] = true
			}
		}
		t.fleet.RetainExecutors(now, listed)
		t.registryListed = true
	}
	for i := range u.Events {
		e := &u.Events[i]
		if e.Removed {
			delete(t.refusedEntries, e.Key)
			s.log("executor left the registry", "executor", runner.ExecutorIDFromKey(e.Key), "revision", e.Revision)
		}
		if e.Removed || !s.upsertExecutor(now, &e.Item) {
			t.fleet.RemoveExecutor(now, runner.ExecutorIDFromKey(e.Key))
		}
	}
	if u.Snapshot || len(u.Events) > 0 {
		s.requestPlan(c)
	}
}

// upsertExecutor applies an entry of the registry. It reports whether the entry describes a usable executor.
func (s *Service) upsertExecutor(now time.Time, item *metastore.Item) bool {
	info, err := runner.DecodeRegistryEntry(item.Key, item.Value)
	if err != nil {
		s.refuseEntry(item, err)
		return false
	}
	delete(s.term.refusedEntries, item.Key)
	if info.Draining {
		s.log("executor draining", "executor", info.ID, "remaining_ms", info.DrainRemaining.Milliseconds(), "revision", item.Revision)
	}
	s.term.fleet.UpsertExecutor(now, info)
	return true
}

// refuseEntry counts an entry that is not usable. It logs an entry again only if the problem has changed, because a
// writer may repeat the entry with each heartbeat.
func (s *Service) refuseEntry(item *metastore.Item, err error) {
	var refused *runner.RegistryEntryError
	if !errors.As(err, &refused) {
		refused = &runner.RegistryEntryError{Key: item.Key, Problem: runner.EntryMalformed, Cause: err}
	}
	s.metrics.CountEvent("registry_entry_"+string(refused.Problem), 1)
	if s.term.refusedEntries[item.Key] == refused.Problem {
		return
	}
	s.term.refusedEntries[item.Key] = refused.Problem
	s.log("registry entry ignored", "key", item.Key, "problem", refused.Problem, "field", refused.Field, "error", refused.Error(), "revision", item.Revision)
}
