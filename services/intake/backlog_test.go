package intake

import (
	"testing"
	"testing/synctest"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestBacklogFull guards against jobs that are accepted although holders have no memory for them, against the refusal of other accounts,
// and against a refusal that denies a job which was accepted before.
func TestBacklogFull(t *testing.T) {
	atLimit := func(accounts ...workload.Account) message.BacklogChanged {
		return message.BacklogChanged{AtLimit: accounts}
	}
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		full := startVMWith(t, store, publisher{}, testConfig(), atLimit("a"))
		synctest.Wait()
		f := submitTo(t, full)
		if f == nil || f.Reason != failure.BacklogFull || f.Outcome != failure.NotRun || f.Reason.HTTPStatus() != 429 {
			t.Errorf("submission at the limit: %v, want %s as not run", f, failure.BacklogFull)
		}
		if len(store.items) != 0 {
			t.Errorf("%v is stored of a job that was refused", store.items)
		}
		for _, published := range []message.BacklogChanged{atLimit("b"), atLimit()} {
			vm := startVMWith(t, store, publisher{}, testConfig(), atLimit("a"), published)
			synctest.Wait()
			if f := submitTo(t, vm); f != nil {
				t.Errorf("submission while %v are at the limit: %v", published.AtLimit, f)
			}
		}
		if f := submitTo(t, full); f != nil {
			t.Errorf("repeated submission of a stored job: %v", f)
		}
		if _, ok := store.items[records.JobKey(testJobID)]; !ok {
			t.Error("the job is not stored")
		}
	})
}

// TestRelayedBacklogFull guards against a VM without the store that accepts a job through another one which must refuse it, and that
// reports the outcome as unknown.
func TestRelayedBacklogFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		full := startVMWith(t, store, publisher{}, testConfig(), message.BacklogChanged{AtLimit: []workload.Account{"a"}})
		vm := startVMWith(t, &busyStore{}, relayTo{full, 0}, testConfig(), message.StoreReachability{})
		synctest.Wait()
		if f := submitTo(t, vm); f == nil || f.Reason != failure.BacklogFull || f.Outcome != failure.NotRun || len(store.items) != 0 {
			t.Errorf("relayed submission: %v with %v stored, want %s as not run", f, store.items, failure.BacklogFull)
		}
	})
}
