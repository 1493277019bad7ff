package intake

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/recordlimit"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// TestKeyThatFillsTheStore guards against one key that fills the store or uses up its writes: it submits, and cancels, random
// identifiers as fast as it can for a minute. What is refused is truly refused, and another account is served meanwhile. The
// clock is virtual.
func TestKeyThatFillsTheStore(t *testing.T) {
	const (
		calls = 20000
		pause = 3 * time.Millisecond
	)
	limits := recordlimit.DefaultSettings()
	for name, test := range map[string]struct {
		call func(message.ClientCall) kernel.Message
		// most is the number of entries that the key may add in the time of its calls.
		most int
		// key returns the entry that a call adds.
		key func(workload.JobID) string
	}{
		"submissions": {
			func(c message.ClientCall) kernel.Message {
				return message.SubmitCall{ClientCall: c, Job: workload.Job{Steps: []workload.Step{{Count: 1}}}}
			},
			limits.Burst + int(limits.Rate*(calls*pause).Seconds()),
			records.JobKey,
		},
		"cancellations": {
			func(c message.ClientCall) kernel.Message { return message.CancelCall{ClientCall: c} },
			limits.Tombstones + int(float64(limits.Tombstones)*(calls*pause).Seconds()/limits.Window.Seconds()),
			func(id workload.JobID) string { return records.TombstoneKey(id, "a") },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore()
				vm := startVM(t, store, publisher{})
				synctest.Wait()
				send := func(n int, key string) (workload.JobID, *failure.Error) {
					id := workload.JobID(fmt.Sprintf("%016x", n))
					c := message.ClientCall{Host: "h", Path: "/q/" + string(id), Key: key, Deadline: time.Now().Add(3 * time.Second)}
					_, err := vm.Call(t.Context(), names.Intake, test.call(c))
					return id, failureOf(err)
				}
				refused := 0
				for i := range calls {
					id, f := send(i, "k")
					_, stored := store.items[test.key(id)]
					if limited := f != nil && f.Reason == failure.RateLimited; limited == stored || limited && f.Outcome != failure.NotRun {
						t.Fatalf("call %d: %v, stored: %v", i, f, stored)
					} else if limited {
						refused++
					}
					time.Sleep(pause)
					if i%1000 != 0 {
						continue
					}
					if _, f := send(calls+i, "k2"); f != nil && f.Reason == failure.RateLimited {
						t.Fatalf("the call of another account is refused: %v", f)
					}
				}
				added := 0
				for key := range store.items {
					if strings.HasPrefix(key, records.QueuePrefix) {
						added++
					}
				}
				if others := calls / 1000; added > test.most+others+1 || refused == 0 {
					t.Errorf("%d entries added and %d calls refused, most is %d", added, refused, test.most+others)
				}
			})
		})
	}
}

// TestRelayedSubmissionsCount guards against a key without a limit at a VM that does not reach the store and relays its calls.
func TestRelayedSubmissionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, limits := newMemoryStore(), recordlimit.DefaultSettings()
		other := startVM(t, store, publisher{})
		vm := startVM(t, newMemoryStore(), relayTo{other, 0})
		synctest.Wait()
		if err := vm.Send(names.Intake, message.StoreReachability{Reachable: false}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for i := range 2 * limits.Burst {
			c := testCall()
			c.Path = fmt.Sprintf("/q/%016x", i)
			_, _ = vm.Call(t.Context(), names.Intake, message.SubmitCall{ClientCall: c, Job: workload.Job{Steps: []workload.Step{{Count: 1}}}})
		}
		if len(store.items) != limits.Burst {
			t.Errorf("%d of %d submissions are relayed and stored at once, want %d", len(store.items), 2*limits.Burst, limits.Burst)
		}
	})
}
