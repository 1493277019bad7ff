package intake

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/recordlimit"
	"github.com/verbenaflow/verbenaflow/kernel"
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
		if f := submit(t, unreadableStore{newMemoryStore()}, gang); f == nil || f.Reason != failure.StoreUnavailable || f.Outcome != failure.Unknown {
			t.Errorf("store that cannot be read: %v, want %s with an unknown outcome", f, failure.StoreUnavailable)
		}
	})
}

// TestRefusalOfStoredJob guards against a refusal as not run of a job that is stored already, because the repeated submission
// exceeds the records of its account or the size of a record: attempt 1 was stored and its answer lost.
func TestRefusalOfStoredJob(t *testing.T) {
	tooLarge := workload.Job{Steps: make([]workload.Step, 5), Occurrences: 4000}
	for i := range tooLarge.Steps {
		tooLarge.Steps[i].Count = 1
	}
	for name, test := range map[string]struct {
		job workload.Job
		// before are the submissions of other jobs.
		before int
		reason failure.Reason
	}{
		"records of the account": {workload.Job{Steps: []workload.Step{{Count: 1}}}, recordlimit.DefaultSettings().Burst, failure.RateLimited},
		"size of the record":     {tooLarge, 0, failure.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore()
				readable, unreadable := startVM(t, store, publisher{}), startVM(t, unreadableStore{store}, publisher{})
				synctest.Wait()
				submit := func(vm *kernel.Kernel, id, key string, job workload.Job) *failure.Error {
					c := testCall()
					c.Path, c.Key = "/q/"+id, key
					_, err := vm.Call(t.Context(), names.Intake, message.SubmitCall{ClientCall: c, Job: job})
					return failureOf(err)
				}
				if f := submitTo(t, startVM(t, store, publisher{})); f != nil {
					t.Fatalf("attempt 1 through another VM: %v", f)
				}
				for i := range test.before {
					for _, vm := range []*kernel.Kernel{readable, unreadable} {
						for _, key := range []string{"k", "k2"} {
							_ = submit(vm, fmt.Sprintf("%016x", 100+i), key, workload.Job{Steps: []workload.Step{{Count: 1}}})
						}
					}
				}
				if f := submit(readable, string(testJobID), "k", test.job); f != nil {
					t.Errorf("repeated submission: %v", f)
				}
				if f := submit(readable, "000000000000ffff", "k", test.job); f == nil || f.Reason != test.reason || f.Outcome != failure.NotRun {
					t.Errorf("another job: %v, want %s as not run", f, test.reason)
				}
				if f := submit(readable, string(testJobID), "k2", test.job); f == nil || f.Reason != failure.KeyReused {
					t.Errorf("job of another account: %v, want %s", f, failure.KeyReused)
				}
				if f := submit(unreadable, string(testJobID), "k", test.job); f == nil || f.Reason != failure.StoreUnavailable || f.Outcome != failure.Unknown {
					t.Errorf("store that cannot be read: %v, want %s with an unknown outcome", f, failure.StoreUnavailable)
				}
			})
		})
	}
}

// stuckStore answers no reads before their deadline, and counts them.
type stuckStore struct {
	*memoryStore
	reads atomic.Int32
}

func (s *stuckStore) Get(ctx context.Context, _ string) (metastore.Item, error) {
	s.reads.Add(1)
	<-ctx.Done()
	return metastore.Item{}, &metastore.UnknownOutcomeError{Cause: ctx.Err()}
}

// TestLookupsOfRefused guards against an account beyond its limits that costs the store a read for each of its calls at once,
// and against a bound that stays in force after the lookups have ended.
func TestLookupsOfRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &stuckStore{memoryStore: newMemoryStore()}
		vm := startVM(t, store, publisher{})
		synctest.Wait()
		for round := range int32(2) {
			var calls conc.WaitGroup
			for range 5 * maxLookups {
				calls.Go(func() {
					gang := workload.Job{Steps: []workload.Step{{Count: testLimit + 1, Gang: true, Need: workload.Resources{CPU: 1000}}}}
					_, err := vm.Call(t.Context(), names.Intake, message.SubmitCall{ClientCall: testCall(), Job: gang})
					if f := failureOf(err); f == nil || f.Outcome != failure.Unknown {
						t.Errorf("%v, want an unknown outcome", f)
					}
				})
			}
			calls.Wait()
			if n := store.reads.Load(); n != (round+1)*maxLookups {
				t.Errorf("round %d: %d reads, want %d", round, n, (round+1)*maxLookups)
			}
		}
	})
}
