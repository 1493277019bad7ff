package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// memoryStore holds entries, which its tests use one call at a time.
type memoryStore struct {
	revision int64
	items    map[string]metastore.Item
	// onGet, if not nil, is called once after the next read of an entry.
	onGet func()
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 1, items: map[string]metastore.Item{}}
}

func (s *memoryStore) Get(_ context.Context, key string) (metastore.Item, error) {
	item, ok := s.items[key]
	if f := s.onGet; f != nil {
		s.onGet = nil
		f()
	}
	if !ok {
		return item, &metastore.NotFoundError{}
	}
	return item, nil
}

func (s *memoryStore) Commit(_ context.Context, t metastore.Txn) (int64, error) {
	conflict, failed := &metastore.ConflictError{}, false
	for _, c := range t.Conditions {
		item := s.items[c.Key]
		item.Key = c.Key
		conflict.Items = append(conflict.Items, item)
		failed = failed || item.Revision != c.Revision
	}
	if failed {
		return 0, conflict
	}
	s.revision++
	for _, w := range t.Writes {
		s.items[w.Key] = metastore.Item{Key: w.Key, Value: w.Value, Revision: s.revision, Created: s.revision}
	}
	return s.revision, nil
}

const testJobID workload.JobID = "0000000000000001"

func testCall() message.ClientCall {
	return message.ClientCall{Host: "h", Path: "/q/" + string(testJobID), Key: "k", Deadline: time.Now().Add(3 * time.Second)}
}

func submitTo(t *testing.T, vm *kernel.Kernel) *failure.Error {
	t.Helper()
	_, err := vm.Call(t.Context(), names.Intake, message.SubmitCall{ClientCall: testCall(), Job: workload.Job{Steps: []workload.Step{{Count: 1}}}})
	return failureOf(err)
}

func cancelAt(t *testing.T, vm *kernel.Kernel) *failure.Error {
	t.Helper()
	_, err := vm.Call(t.Context(), names.Intake, message.CancelCall{ClientCall: testCall()})
	return failureOf(err)
}

func failureOf(err error) *failure.Error {
	if err == nil {
		return nil
	}
	return failure.From(err)
}

// TestCancelThroughOtherVM guards against a job that is stored after its cancellation was acknowledged if the VMs of its
// caller do not reach the store and relay the calls, and against an unknown outcome of its submission.
func TestCancelThroughOtherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		other := startVM(t, store, publisher{})
		vm := startVM(t, &busyStore{latency: time.Millisecond}, relayTo{other, time.Millisecond})
		synctest.Wait()
		if f := cancelAt(t, vm); f == nil || f.Reason != failure.JobGone {
			t.Errorf("cancellation: %v, want %s", f, failure.JobGone)
		}
		if _, ok := store.items[records.TombstoneKey(testJobID, "a")]; !ok {
			t.Errorf("no tombstone of account a in %v", store.items)
		}
		for _, k := range []*kernel.Kernel{vm, other} {
			if f := submitTo(t, k); f == nil || f.Reason != failure.JobGone || f.Outcome != failure.NotRun {
				t.Errorf("submission: %v, want %s as not run", f, failure.JobGone)
			}
		}
		if _, ok := store.items[records.JobKey(testJobID)]; ok {
			t.Error("the job was stored after its cancellation")
		}
	})
}

// TestCancelBesideSubmission guards against a cancellation that misses a job which is stored between the read of its
// entry and the write of the tombstone.
func TestCancelBesideSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		vm, other := startVM(t, store, publisher{}), startVM(t, store, publisher{})
		synctest.Wait()
		store.onGet = func() {
			if f := submitTo(t, other); f != nil {
				t.Errorf("submission: %v", f)
			}
		}
		if f := cancelAt(t, vm); f != nil {
			t.Errorf("cancellation of the stored job: %v", f)
		}
		if _, ok := store.items[records.CancelKey(testJobID)]; !ok {
			t.Errorf("no cancellation in %v", store.items)
		}
		if f := submitTo(t, other); f != nil {
			t.Errorf("repeated submission of an accepted job: %v", f)
		}
	})
}
