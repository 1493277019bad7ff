package holder

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
)

// TestUnusableRecords guards against holders that end one after the other because of an entry among their records that
// another build or another writer left: such an entry is read by each new holder.
func TestUnusableRecords(t *testing.T) {
	env := newEnvironment(t)
	step := workload.Step{Count: 1, Need: workload.Resources{GPU: 1}}
	for id, job := range map[workload.JobID]workload.Job{
		"bad-no-steps":    {},
		"bad-after":       {Steps: []workload.Step{{Count: 1, After: []int{7}}}},
		"bad-negative":    {Steps: []workload.Step{{Count: 1, After: []int{-1}}}},
		"bad-cycle":       {Steps: []workload.Step{{Count: 1, After: []int{0}}}},
		"bad-count":       {Steps: []workload.Step{{Count: -5}}},
		"bad-size":        {Steps: []workload.Step{{Count: 1 << 40}}},
		"bad-occurrences": {Steps: []workload.Step{step}, Occurrences: -2},
		"bad-need":        {Steps: []workload.Step{{Count: 1, Need: workload.Resources{GPU: -1 << 60}}}},
	} {
		job.ID, job.Queue = id, "q"
		env.store.Set(records.JobKey(id), records.Encode(job))
	}
	env.store.Set(records.JobKey("bad-json"), []byte(`{"Steps":5}`))
	env.store.Set(records.ProgressKey("bad-progress"), []byte("\xff"))
	env.store.Set(records.ProgressKey("0000000000000001"), []byte(`{"Steps":[{"Occurrence":-1,"Step":99,"Done":"AAAA","Units":[{"First":-3}]}]}`))
	env.store.Set(records.CancelKey("none"), []byte("x"))
	env.startLongJob()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	// The same jobs may come as notifications of other VMs.
	if _, err := env.kernel.Call(ctx, names.Holder, message.JobStored{Job: workload.Job{ID: "bad-call", Steps: []workload.Step{{Count: 1, After: []int{3}}}}, Revision: 99}); err != nil {
		t.Error(err)
	}
	time.Sleep(100 * time.Millisecond)
	state, err := kernel.Call[message.StateReply](ctx, env.kernel, names.Holder, message.StateQuery{ID: "0000000000000001"})
	if err != nil || state.State != workload.StateRunning {
		t.Errorf("%v, %v, want a running job", state, err)
	}
}

// TestRecordsRefused guards against a new holder that reads the records again at once and without end while the store
// refuses: the store counts refused calls, too.
func TestRecordsRefused(t *testing.T) {
	env := &environment{t: t, store: storestandin.New(), clock: &suspendableClock{}}
	env.refuseRecords.Store(true)
	env.start()
	env.eventually("the records are read", func() bool { return env.recordReads.Load() > 0 })
	const observed = time.Second
	time.Sleep(observed)
	if n := env.recordReads.Load(); n < 2 || n > 20 {
		t.Errorf("the records were read %d times in %v", n, observed)
	}
	env.refuseRecords.Store(false)
	env.startLongJob()
}

// TestTombstonesExpire guards against tombstones of cancelled jobs that fill the store, and against one that is removed
// before its retention has ended.
func TestTombstonesExpire(t *testing.T) {
	env := &environment{t: t, store: storestandin.New(), clock: &suspendableClock{}, tombstoneRetention: 500 * time.Millisecond}
	env.start()
	env.startLongJob()
	keys := map[string]bool{}
	for i := range 40 {
		key := records.TombstoneKey(workload.JobID(fmt.Sprintf("%016x", 100+i)), "a")
		keys[key] = true
		env.store.Set(key, records.Encode(records.Tombstone{Account: "a"}))
	}
	stored, left := time.Now(), len(keys)
	env.eventually("the tombstones are removed", func() bool {
		n := 0
		for _, item := range env.store.Entries(records.QueuePrefix) {
			if keys[item.Key] {
				n++
			}
		}
		if n < left && time.Since(stored) < env.tombstoneRetention {
			t.Errorf("%d of %d tombstones are left after %v", n, len(keys), time.Since(stored))
		}
		left = n
		return n == 0
	})
}

// TestYoungTombstonesStay guards against tombstones that are removed with the default retention while their submissions
// may still arrive.
func TestYoungTombstonesStay(t *testing.T) {
	env := newEnvironment(t)
	key := records.TombstoneKey("0000000000000100", "a")
	env.store.Set(key, records.Encode(records.Tombstone{Account: "a"}))
	env.startLongJob()
	// Longer than the interval between two checks for expired entries.
	time.Sleep(6 * time.Second)
	if len(env.store.Entries(key)) == 0 {
		t.Error("the tombstone was removed within 6 s")
	}
}
