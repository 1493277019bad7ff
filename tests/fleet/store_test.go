package fleet

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	decisions "github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/standins/link"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
)

// TestStoreUnavailable guards against runs that stop while the store is unavailable, and against accepted jobs that are
// not stored.
func TestStoreUnavailable(t *testing.T) {
	for name, fault := range map[string]storestandin.Faults{
		"busy": {RefuseCalls: true}, "silent": {IgnoreCalls: true}, "lost": {LoseAnswerShare: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 3)
			f.awaitReady()
			running := f.mustSubmit(3, 4*time.Second, false)
			f.awaitState(running, workload.StateRunning)
			f.store.SetFaults(fault)
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			defer cancel()
			j := job(f.newID(), 1, 50*time.Millisecond, false)
			accepted, refused := f.submit(ctx, j)
			if accepted && fault.LoseAnswerShare == 0 {
				t.Errorf("job %s accepted without a store", j.ID)
			}
			time.Sleep(4 * time.Second)
			if fault.IgnoreCalls {
				// By now the VMs know that the store does not answer. They refuse submissions, and refused jobs never run.
				late := job(f.newID(), 1, 50*time.Millisecond, false)
				if r, err := f.client(f.vms[0]).Submit(context.Background(), late); err != nil || r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
					t.Errorf("submission to a silent store: %+v, %v, want 503 with Retry-After", r, err)
				}
				defer func() {
					if f.checkExecutors()[late.ID] > 0 {
						t.Errorf("job %s was refused and ran", late.ID)
					}
				}()
			}
			f.store.SetFaults(storestandin.Faults{})
			f.awaitState(running, workload.StateCompleted)
			runs := f.checkExecutors()
			if runs[running] != 3 {
				t.Errorf("the job that ran through the outage had %d runs, want 3", runs[running])
			}
			if refused && runs[j.ID] > 0 {
				t.Errorf("job %s was refused and ran", j.ID)
			}
			if accepted {
				f.awaitState(j.ID, workload.StateCompleted)
			}
		})
	}
}

// TestCancelSilentStore guards against a cancellation that waits until its deadline for a store that has just left a
// submission unanswered, so that the caller has no time left for a retry.
func TestCancelSilentStore(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.awaitReady()
	running := f.mustSubmit(1, 6*time.Second, false)
	f.awaitState(running, workload.StateRunning)
	c := f.client(f.holder())
	c.Timeout = 1500 * time.Millisecond
	f.store.SetFaults(storestandin.Faults{IgnoreCalls: true})
	if r, err := c.Submit(context.Background(), job(f.newID(), 1, 50*time.Millisecond, false)); err != nil || r.Status != http.StatusGatewayTimeout {
		t.Fatalf("submission to a silent store: %+v, %v, want 504", r, err)
	}
	began := time.Now()
	r, err := c.Cancel(context.Background(), running)
	if took := time.Since(began); err != nil || r.Status != http.StatusServiceUnavailable || took > 500*time.Millisecond {
		t.Errorf("cancellation after that: %+v, %v after %v, want 503 at once", r, err, took)
	}
	f.store.SetFaults(storestandin.Faults{})
	f.awaitState(running, workload.StateCompleted)
	f.checkExecutors()
}

// slowStoreDelay is the delay in each direction of a call to a store that is 88 times slower than usual, as in the
// fault scenario of docs/incidents/2026-12-04-vkv-grown-trouble-2.md.
const slowStoreDelay = 175 * time.Millisecond

// TestSlowHandover guards against a handover to a new holder that makes its calls to a slow store one after the other.
// A waiting job must start within the holder's lease plus one second after the holder is told to terminate.
func TestSlowHandover(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.awaitReady()
	f.awaitState(f.mustSubmit(1, 10*time.Millisecond, false), workload.StateCompleted)
	for _, v := range f.vms {
		f.setPath(v.name, link.ModePass, slowStoreDelay)
	}
	time.Sleep(time.Second)
	v := f.holder()
	began := time.Now()
	_ = v.process().Signal(syscall.SIGTERM)
	var id workload.JobID
	for _, other := range f.vms {
		if other != v {
			id = f.newID()
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			if r, err := f.client(other).Submit(ctx, job(id, 1, 5*time.Second, false)); err != nil || r.Status != http.StatusAccepted && r.Status != http.StatusOK {
				t.Fatalf("submission during the handover: %+v, %v", r, err)
			}
			cancel()
		}
	}
	f.awaitState(id, workload.StateRunning)
	took := time.Since(began)
	t.Logf("the job ran %v after the holder was told to terminate", took)
	if limit := decisions.HolderLease + time.Second; took > limit {
		t.Errorf("the job ran %v after the holder was told to terminate, want at most %v", took, limit)
	}
	c := <-v.current
	<-c.done
	f.start(v)
	f.checkExecutors()
}

// TestLateRecords guards against a delayed write of the holder that replaces a newer record: the next holder would
// restart tasks that were done and acknowledged.
func TestLateRecords(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.awaitReady()
	var ids []workload.JobID
	for i := range 6 {
		// The tasks of a job run one after the other, so that its progress is recorded several times.
		j := job(f.newID(), 1, 200*time.Millisecond, false)
		for range 5 {
			j.Steps = append(j.Steps, j.Steps[0])
			j.Steps[len(j.Steps)-1].After = []int{len(j.Steps) - 2}
		}
		j.Steps = append(j.Steps, workload.Step{Count: 1, Need: j.Steps[0].Need, After: []int{5}})
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		if accepted, _ := f.submit(ctx, j); !accepted {
			t.Fatalf("job %d not accepted", i)
		}
		cancel()
		ids = append(ids, j.ID)
	}
	f.store.SetFaults(storestandin.Faults{LateTxnShare: 0.5})
	time.Sleep(2500 * time.Millisecond)
	f.store.SetFaults(storestandin.Faults{})
	for _, id := range ids {
		f.awaitState(id, workload.StateCompleted)
	}
	time.Sleep(2 * time.Second)
	for _, v := range f.vms {
		f.restart(v, syscall.SIGKILL)
	}
	f.awaitReady()
	time.Sleep(500 * time.Millisecond)
	f.checkExecutors()
}
