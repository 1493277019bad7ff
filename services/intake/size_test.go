package intake

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// refusingStore refuses each transaction for good.
type refusingStore struct{ commits int }

func (s *refusingStore) Get(context.Context, string) (metastore.Item, error) {
	return metastore.Item{}, &metastore.NotFoundError{}
}

func (s *refusingStore) Commit(context.Context, metastore.Txn) (int64, error) {
	s.commits++
	return 0, &metastore.RejectedError{Status: http.StatusForbidden, Cause: &metastore.NotExecutedError{}}
}

// TestJobOverRecordLimit guards against an accepted job whose progress may exceed a value of the store, and against a
// refusal that does not name the limit.
func TestJobOverRecordLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		vm := startVM(t, store, publisher{})
		synctest.Wait()
		job := workload.Job{Steps: make([]workload.Step, 5), Occurrences: 4000}
		for i := range job.Steps {
			job.Steps[i].Count = 1
		}
		_, err := vm.Call(t.Context(), names.Intake, message.SubmitCall{ClientCall: testCall(), Job: job})
		f := failureOf(err)
		if f == nil || f.Reason != failure.TooLarge || f.Outcome != failure.NotRun || !strings.Contains(f.Detail, fmt.Sprint(metastore.MaxValueBytes)) {
			t.Errorf("%v, want %s with the limit", f, failure.TooLarge)
		}
		if len(store.items) != 0 {
			t.Errorf("the store holds %v", store.items)
		}
		job.Occurrences = 100
		if _, err := vm.Call(t.Context(), names.Intake, message.SubmitCall{ClientCall: testCall(), Job: job}); err != nil {
			t.Errorf("a job of 500 tasks: %v", err)
		}
	})
}

// TestRecordRefusedForGood guards against a submission that waits for its deadline and ends with an unknown outcome or as
// to be repeated, although the store refuses its record for good, here or at the VM to which the call is relayed.
func TestRecordRefusedForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &refusingStore{}
		other := startVM(t, store, publisher{})
		vm := startVM(t, &busyStore{latency: time.Millisecond}, relayTo{other, time.Millisecond})
		synctest.Wait()
		began := time.Now()
		if f := submitTo(t, other); f == nil || f.Reason != failure.TooLarge || f.Outcome != failure.NotRun {
			t.Errorf("%v, want %s as not run", f, failure.TooLarge)
		}
		if store.commits != 1 || time.Since(began) > 10*time.Millisecond {
			t.Errorf("%d transactions in %v, want one", store.commits, time.Since(began))
		}
		if f := submitTo(t, vm); f == nil || f.Reason != failure.TooLarge || f.Outcome != failure.NotRun {
			t.Errorf("through another VM: %v, want %s as not run", f, failure.TooLarge)
		}
	})
}
