package holder

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/backlog"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
)

// accountsAtLimit returns the accounts that may not submit jobs by the store.
func (env *environment) accountsAtLimit() []workload.Account {
	items := env.store.Entries(records.BacklogKey)
	if len(items) == 0 {
		return nil
	}
	b, err := records.Decode[records.Backlog](items[0].Key, items[0].Value)
	if err != nil {
		env.t.Fatal(err)
	}
	return b.AtLimit
}

// TestBacklogLimit guards against accepted jobs that exceed the memory of each holder, against a limit that a new holder forgets, and
// against accounts that are refused for ever: jobs that end give their room back. Accepted jobs run although the limit is reached.
func TestBacklogLimit(t *testing.T) {
	t.Parallel()
	job := workload.Job{Queue: "q", Account: limitedAccount, Spec: "10ms", Occurrences: 3, FirstAt: time.Now().Add(time.Hour), Steps: []workload.Step{{Count: 1, Need: workload.Resources{CPU: 100}}}}
	env := &environment{t: t, store: storestandin.New(), clock: &suspendableClock{}, retention: 100 * time.Millisecond, backlogLimit: 10 * backlog.JobBytes(&job, false)}
	env.start()
	submit := func(first, n int) {
		for i := range n {
			job.ID = workload.JobID(fmt.Sprintf("%016x", first+i))
			env.store.Set(records.JobKey(job.ID), records.Encode(job))
		}
	}
	submit(0, 4)
	env.eventually("the jobs are known", func() bool { return env.state(job.ID) != "" })
	if at := env.accountsAtLimit(); len(at) > 0 {
		t.Errorf("%v are at the limit after four of ten jobs", at)
	}
	submit(100, 8)
	full := func() bool { return slices.Equal(env.accountsAtLimit(), []workload.Account{limitedAccount}) }
	env.eventually("the account is at the limit", full)
	due := job
	due.ID, due.Occurrences, due.FirstAt = smallJob, 0, time.Time{}
	env.store.Set(records.JobKey(due.ID), records.Encode(due))
	env.eventually("an accepted job completes", func() bool { return env.starts() == 1 })
	env.stopHolder()
	env.startHolder()
	env.eventually("the next holder knows the jobs", func() bool { return env.state(job.ID) != "" })
	if !full() {
		t.Errorf("%v are at the limit after a change of holders", env.accountsAtLimit())
	}
	for i := range 8 {
		env.store.Set(records.CancelKey(workload.JobID(fmt.Sprintf("%016x", 100+i))), []byte("{}"))
	}
	env.eventually("the account may submit again", func() bool { return len(env.accountsAtLimit()) == 0 })
}

// TestRetakeOnce guards against a process that ends because of the fleet and whose VM takes it back each time, before any other VM can
// hold it.
func TestRetakeOnce(t *testing.T) {
	t.Parallel()
	for _, retaken := range []bool{false, true} {
		env := &environment{t: t, store: storestandin.New(), clock: &suspendableClock{}}
		var (
			began   time.Time
			claimed atomic.Int64
		)
		env.prepare = func() {
			lease, err := env.store.Grant(context.Background(), time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			earlier := records.Holder{VM: "vm", Address: "127.0.0.1:1", Incarnation: "earlier", Term: 3, Retaken: retaken}
			if _, err := env.store.Commit(context.Background(), metastore.Txn{Writes: []metastore.Write{
				{Key: records.HolderKey, Value: records.Encode(earlier), Lease: lease},
				{Key: records.TermKey, Value: records.Encode(records.Term{Term: 3, Incarnation: "earlier"})},
			}}); err != nil {
				t.Fatal(err)
			}
			env.store.SetFaults(storestandin.Faults{RefuseTxn: func(txn metastore.Txn) bool {
				if len(txn.Writes) > 0 && txn.Writes[0].Key == records.HolderKey {
					claimed.CompareAndSwap(0, int64(time.Since(began)))
				}
				return false
			}})
			began = time.Now()
		}
		env.start()
		holder := func() (h records.Holder) {
			for _, item := range env.store.Entries(records.HolderKey) {
				h, _ = records.Decode[records.Holder](item.Key, item.Value)
			}
			return h
		}
		env.eventually("the next process holds the fleet", func() bool { return holder().Term == 4 })
		if h := holder(); h.Retaken == retaken {
			t.Errorf("retaken before: %v, now: %v", retaken, h.Retaken)
		}
		if waited := time.Duration(claimed.Load()); retaken && waited < time.Second {
			t.Errorf("the VM that ended twice claims the fleet after %v, before other VMs can", waited)
		}
	}
}
