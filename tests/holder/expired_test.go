package holder

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
)

// newExpiringEnvironment returns a holder that keeps the state of finished jobs only for a moment, after expiredJob has
// completed. The store refuses to remove the job's entries. The channel gets the first such attempt.
func newExpiringEnvironment(t *testing.T) (*environment, <-chan struct{}) {
	t.Helper()
	env := &environment{t: t, store: storestandin.New(), clock: &suspendableClock{}, retention: 200 * time.Millisecond, storeTimeout: waitLimit}
	env.start()
	attempted := make(chan struct{})
	var once atomic.Bool
	env.store.SetFaults(storestandin.Faults{RefuseTxn: func(txn metastore.Txn) bool {
		for _, key := range txn.Removals {
			if key != records.JobKey(expiredJob) {
				continue
			}
			if once.CompareAndSwap(false, true) {
				close(attempted)
			}
			return true
		}
		return false
	}})
	env.storeJob(expiredJob, "10ms", workload.Step{Count: 1, Need: workload.Resources{CPU: 100}, Estimate: time.Second})
	env.eventually("the job completes", func() bool { return env.state(expiredJob) == workload.StateCompleted })
	return env, attempted
}

const expiredJob workload.JobID = "00000000000000ee"

// discardHistory drops the history of the store until the holder has listed the queue again or, while lists are held,
// until it waits for such a list.
func (env *environment) discardHistory() {
	env.t.Helper()
	listed := env.queueLists.Load() + env.heldQueueLists.Load()
	env.eventually("the queue is listed again", func() bool {
		// A change of another entry leaves the watch of the queue behind.
		env.store.Set("other", nil)
		env.store.Compact()
		return env.queueLists.Load()+env.heldQueueLists.Load() > listed
	})
}

// expectNoRestart runs a further job to its end and fails the test if the expired job was started again or added as a new
// one meanwhile: its state has to be want, which is empty for an unknown job.
func (env *environment) expectNoRestart(want workload.State) {
	env.t.Helper()
	env.storeJob(smallJob, "10ms", workload.Step{Count: 1, Need: workload.Resources{CPU: 100}, Estimate: time.Second})
	env.eventually("a further job completes", func() bool { return env.state(smallJob) == workload.StateCompleted })
	if n := env.starts(); n != 2 {
		env.t.Errorf("%d starts of two jobs with one task each", n)
	}
	if s := env.state(expiredJob); s != want {
		env.t.Errorf("the expired job is shown as %q, want %q", s, want)
	}
}

// TestRemovalOfExpiredJobFails guards against a completed job that runs again: its entries were still in the store, because
// their removal had failed, but the holder had forgotten the job and took it for a new one at the next list.
func TestRemovalOfExpiredJobFails(t *testing.T) {
	t.Parallel()
	env, attempted := newExpiringEnvironment(t)
	<-attempted
	env.discardHistory()
	env.expectNoRestart(workload.StateCompleted)
	env.store.SetFaults(storestandin.Faults{})
	env.eventually("the entries are removed", func() bool { return len(env.store.Entries(records.JobKey(expiredJob))) == 0 })
	env.eventually("the job is forgotten", func() bool { return env.state(expiredJob) == "" })
}

// TestListOlderThanRemoval guards against a completed job that runs again, because a list of the queue that was read before
// the removal of the job arrives after it.
func TestListOlderThanRemoval(t *testing.T) {
	t.Parallel()
	env, attempted := newExpiringEnvironment(t)
	<-attempted
	env.holdQueueLists.Store(true)
	env.discardHistory()
	env.store.SetFaults(storestandin.Faults{})
	env.eventually("the job is removed", func() bool { return len(env.store.Entries(records.JobKey(expiredJob))) == 0 })
	env.eventually("the job is forgotten", func() bool { return env.state(expiredJob) == "" })
	env.holdQueueLists.Store(false)
	env.expectNoRestart("")
}

// TestLateNoticeOfExpiredJob guards against a completed job that runs again, because the notice of its acceptance by
// another VM arrives after the job was removed.
func TestLateNoticeOfExpiredJob(t *testing.T) {
	t.Parallel()
	env, _ := newExpiringEnvironment(t)
	stored := env.store.Entries(records.JobKey(expiredJob))[0]
	job, err := records.Decode[workload.Job](stored.Key, stored.Value)
	if err != nil {
		t.Fatal(err)
	}
	env.store.SetFaults(storestandin.Faults{})
	env.eventually("the job is forgotten", func() bool { return env.state(expiredJob) == "" })
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if _, err := env.kernel.Call(ctx, names.Holder, message.JobStored{Job: job, Revision: stored.Created}); err != nil {
		t.Error(err)
	}
	env.expectNoRestart("")
}

// TestManyExpiredJobsAreRemoved guards against entries of finished jobs that fill the store and the memory of the holder,
// because fewer of them are removed than new ones are accepted.
func TestManyExpiredJobsAreRemoved(t *testing.T) {
	t.Parallel()
	env := &environment{t: t, store: storestandin.New(), clock: &suspendableClock{}, retention: 200 * time.Millisecond}
	env.start()
	const jobs = 80
	for i := range jobs {
		env.storeJob(workload.JobID(fmt.Sprintf("%016x", 0x2000+i)), "10ms", workload.Step{Count: 1, Need: workload.Resources{CPU: 100}, Estimate: time.Second})
	}
	env.eventually("all jobs have run", func() bool { return env.starts() == jobs })
	env.eventually("all entries are removed", func() bool {
		return len(env.store.Entries(records.QueuePrefix)) == 0 && len(env.store.Entries(records.ProgressPrefix)) == 0
	})
}

// TestResubmissionAfterUnansweredRemoval guards against an accepted job that is never run: its ID is that of a finished job whose removal was
// done but not answered, so that the holder repeated the removal.
func TestResubmissionAfterUnansweredRemoval(t *testing.T) {
	t.Parallel()
	env, _ := newExpiringEnvironment(t)
	var lost atomic.Bool
	env.store.SetFaults(storestandin.Faults{End: func(txn metastore.Txn) storestandin.TxnEnd {
		if slices.Contains(txn.Removals, records.JobKey(expiredJob)) && lost.CompareAndSwap(false, true) {
			return storestandin.TxnAnswerLost
		}
		return storestandin.TxnAnswered
	}})
	env.eventually("the entries are removed", func() bool { return len(env.store.Entries(records.JobKey(expiredJob))) == 0 })
	env.storeJob(expiredJob, "10ms", workload.Step{Count: 1, Need: workload.Resources{CPU: 100}, Estimate: time.Second})
	env.eventually("the job runs again", func() bool { return env.starts() == 2 })
	env.eventually("the job is forgotten", func() bool {
		return env.state(expiredJob) == "" && len(env.store.Entries(records.JobKey(expiredJob))) == 0
	})
	if n := env.starts(); n != 2 {
		t.Errorf("%d starts of two jobs with one task each", n)
	}
}

// TestRemovalIsRetriedSoon guards against entries of finished jobs that stay in the store for minutes, because each removal without an
// answer delays the next one as long as one that found nothing to remove.
func TestRemovalIsRetriedSoon(t *testing.T) {
	t.Parallel()
	env := &environment{t: t, store: storestandin.New(), clock: &suspendableClock{}, retention: 100 * time.Millisecond, storeTimeout: waitLimit}
	env.start()
	// Eight delays of 5 s exceed the limit of a wait.
	var failures atomic.Int64
	env.store.SetFaults(storestandin.Faults{RefuseTxn: func(txn metastore.Txn) bool { return len(txn.Removals) > 0 && failures.Add(1) <= 8 }})
	env.storeJob(expiredJob, "10ms", workload.Step{Count: 1, Need: workload.Resources{CPU: 100}, Estimate: time.Second})
	env.eventually("the job completes", func() bool { return env.state(expiredJob) == workload.StateCompleted })
	env.eventually("the entries are removed", func() bool { return len(env.store.Entries(records.JobKey(expiredJob))) == 0 })
}
