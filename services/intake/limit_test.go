package intake

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// unreadableStore is a store whose entries cannot be read.
type unreadableStore struct{ *memoryStore }

func (unreadableStore) Get(context.Context, string) (metastore.Item, error) {
	return metastore.Item{}, &metastore.UnknownOutcomeError{Cause: context.DeadlineExceeded}
}

// TestBeyondAccountLimit guards against a gang that is accepted although it can never run, against the refusal of a wide
// step whose tasks may run one after another, and against untrue replies: a refusal of a job that is stored already, or that
// may be, because the store cannot be read; and an acceptance because another account's job has the identifier.
func TestBeyondAccountLimit(t *testing.T) {
	submit := func(t *testing.T, store Store, s workload.Step) *failure.Error {
		vm := startVM(t, store, publisher{})
		synctest.Wait()
		s.Need = workload.Resources{CPU: 1000}
		_, err := vm.Call(t.Context(), names.Intake, message.SubmitCall{ClientCall: testCall(), Job: workload.Job{Steps: []workload.Step{s}}})
		return failureOf(err)
	}
	gang := workload.Step{Count: testLimit + 1, Gang: true}
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		if f := submit(t, store, gang); f == nil || f.Reason != failure.AccountLimit || f.Outcome != failure.NotRun || f.Reason.HTTPStatus() != 429 {
			t.Errorf("gang beyond the limit: %v, want %s as not run", f, failure.AccountLimit)
		}
		if len(store.items) != 0 {
			t.Errorf("%v is stored of a job that was refused", store.items)
		}
		if f := submit(t, store, workload.Step{Count: testLimit + 1}); f != nil {
			t.Errorf("wide step: %v", f)
		}
		if f := submit(t, store, gang); f != nil {
			t.Errorf("repeated submission of a stored job: %v", f)
		}
		job, err := records.Decode[workload.Job](records.JobKey(testJobID), store.items[records.JobKey(testJobID)].Value)
		if err != nil || job.AccountLimit.CPU != testLimit*1000 {
			t.Errorf("%+v, %v, want a record with the limit at the acceptance", job, err)
		}
		item := store.items[records.JobKey(testJobID)]
		job.Account, job.KeyHash = "b", "hash of another key"
		if item.Value, err = records.EncodeJob(&job, metastore.MaxValueBytes); err != nil {
			t.Fatal(err)
		}
		store.items[records.JobKey(testJobID)] = item
		if f := submit(t, store, gang); f == nil || f.Reason != failure.KeyReused {
			t.Errorf("identifier of another account's job: %v, want %s", f, failure.KeyReused)
		}
		if f := submit(t, unreadableStore{newMemoryStore()}, gang); f == nil || f.Reason != failure.StoreUnavailable {
			t.Errorf("store that cannot be read: %v, want %s", f, failure.StoreUnavailable)
		}
	})
}
