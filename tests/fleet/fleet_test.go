package fleet

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/operator"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	"github.com/verbenaflow/verbenaflow/standins/link"
)

// awaitReady waits until the fleet accepts and completes a job.
func (f *fleet) awaitReady() {
	f.t.Helper()
	f.awaitState(f.mustSubmit(1, 10*time.Millisecond, false), workload.StateCompleted)
}

// awaitAllReady waits until each VM knows a job of the fleet, and so has a configuration.
func (f *fleet) awaitAllReady() {
	f.t.Helper()
	id := f.mustSubmit(1, 10*time.Millisecond, false)
	for _, v := range f.vms {
		f.eventually(v.name+" is ready", func() bool {
			r, err := f.client(v).JobState(context.Background(), id)
			return err == nil && r.Status == http.StatusOK
		})
	}
	f.awaitState(id, workload.StateCompleted)
}

func (f *fleet) mustSubmit(count int, runTime time.Duration, gang bool) workload.JobID {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	j := job(f.newID(), count, runTime, gang)
	if accepted, _ := f.submit(ctx, j); !accepted {
		f.t.Fatalf("job %s not accepted", j.ID)
	}
	return j.ID
}

// TestFaultFreeRun checks the whole path without faults: acceptance at any VM, repeated submissions, job states, queue
// length, cancellation, and refusals of unknown keys, queues and jobs.
func TestFaultFreeRun(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.awaitReady()
	var ids []workload.JobID
	for i := range 12 {
		ids = append(ids, f.mustSubmit(1+i%4, 100*time.Millisecond, i%2 == 0))
	}
	ctx := context.Background()
	for _, v := range f.vms {
		if r, err := f.client(v).Submit(ctx, job(ids[0], 1, 100*time.Millisecond, true)); err != nil || r.Status != http.StatusOK {
			t.Errorf("repeated submission at %s: %v, %v", v.name, r, err)
		}
	}
	for _, id := range ids {
		f.awaitState(id, workload.StateCompleted)
	}
	long := f.mustSubmit(2, time.Hour, false)
	f.awaitState(long, workload.StateRunning)
	if r, err := f.client(f.vms[0]).Cancel(ctx, long); err != nil || r.Status != http.StatusOK {
		t.Errorf("cancel: %v, %v", r, err)
	}
	f.awaitState(long, workload.StateCancelled)
	c := f.client(f.vms[1])
	if r, err := c.QueueLength(ctx); err != nil || r.Status != http.StatusOK || r.Waiting != 0 {
		t.Errorf("queue: %v, %v", r, err)
	}
	if r, err := c.JobState(ctx, "00000000deadbeef"); err != nil || r.Status != http.StatusGone {
		t.Errorf("unknown job: %v, %v", r, err)
	}
	c.APIKey = "unknown"
	if r, err := c.QueueLength(ctx); err != nil || r.Status != http.StatusUnauthorized {
		t.Errorf("unknown key: %v, %v", r, err)
	}
	c.APIKey, c.Prefix = apiKey, "/none/"
	if r, err := c.QueueLength(ctx); err != nil || r.Status != http.StatusNotFound {
		t.Errorf("unknown queue: %v, %v", r, err)
	}
	f.eventually("stopped tasks", func() bool {
		for _, e := range f.executors {
			for _, p := range e.RunRecords() {
				if p.Ended.IsZero() {
					return false
				}
			}
		}
		return true
	})
	if runs := f.checkExecutors(); runs[ids[0]] != 1 {
		t.Errorf("job %s ran %d times", ids[0], runs[ids[0]])
	}
}

// TestHolderLost guards against tasks that run twice and jobs that are lost when the holder is killed, and when all VMs
// are killed.
func TestHolderLost(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.awaitReady()
	var ids []workload.JobID
	for range 6 {
		ids = append(ids, f.mustSubmit(2, 1500*time.Millisecond, true))
	}
	v := f.holder()
	_ = f.stop(v, syscall.SIGKILL)
	ids = append(ids, f.mustSubmit(2, 200*time.Millisecond, false))
	f.start(v)
	for _, v := range f.vms {
		_ = f.stop(v, syscall.SIGKILL)
	}
	for _, v := range f.vms {
		f.start(v)
	}
	ids = append(ids, f.mustSubmit(2, 200*time.Millisecond, false))
	for _, id := range ids {
		f.awaitState(id, workload.StateCompleted)
	}
	f.checkExecutors()
}

// TestSettingsChange guards against a VM that uses only the peer addresses with which it was started: cut off from the
// store, it could not forward calls to a VM that was added later. The settings file changes without a signal.
func TestSettingsChange(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.awaitReady()
	cut := f.holder()
	other := f.vms[0]
	if other == cut {
		other = f.vms[1]
	}
	f.setPath(cut.name, link.ModeHold, 0)
	f.eventually("the other VM is the holder", func() bool { return f.holder() == other })
	text, err := os.ReadFile(cut.settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	id := f.newID()
	if r, err := f.client(cut).Submit(context.Background(), job(id, 1, 50*time.Millisecond, false)); err == nil && r.Status/100 == 2 {
		t.Fatalf("%s is cut off from the store, knows no other VM and accepted a job: %+v", cut.name, r)
	}
	if err := os.WriteFile(cut.settingsFile, bytes.Replace(text, []byte("peers =\n"), []byte("peers = "+other.relayAddress+"\n"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	f.eventually("a job is forwarded to the other VM", func() bool {
		r, err := f.client(cut).Submit(context.Background(), job(id, 1, 50*time.Millisecond, false))
		return err == nil && r.Status/100 == 2
	})
	f.awaitState(id, workload.StateCompleted)
	f.setPath(cut.name, link.ModePass, 0)
	f.checkExecutors()
}

// TestGracefulShutdown guards against aborted calls, and against an interruption of scheduling, while VMs are stopped
// one after the other.
func TestGracefulShutdown(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.awaitReady()
	for _, v := range f.vms {
		_ = v.process().Signal(syscall.SIGTERM)
		// Connections are still accepted until the platform has noticed that the VM is not ready.
		for range 3 {
			if r, err := f.client(v).QueueLength(context.Background()); err != nil {
				t.Errorf("call to %s after SIGTERM: %v, %v", v.name, r, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		c := <-v.current
		if err := <-c.done; err != nil {
			t.Errorf("%s ended with %v", v.name, err)
		}
		f.awaitState(f.mustSubmit(1, 10*time.Millisecond, false), workload.StateCompleted)
		f.start(v)
	}
	f.checkExecutors()
}

// TestExecutorLost guards against tasks that are not restarted after their executor crashed and restarted, or left.
func TestExecutorLost(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.awaitReady()
	id := f.mustSubmit(9, 2*time.Second, false)
	f.awaitState(id, workload.StateRunning)
	f.executors["e0"].Crash()
	f.store.Remove(runner.RegistryPrefix + "e1")
	f.awaitState(id, workload.StateCompleted)
	f.checkExecutors()
}

// TestDomainOut guards against starts in a failure domain that operators have taken out of service, and against a
// domain that stays out of service because the store compacted its history before the domain was put back.
func TestDomainOut(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.awaitReady()
	f.store.Set(operator.EvacuateKey("domain-a"), []byte("{}"))
	f.eventually("no starts in the domain", func() bool {
		id := f.mustSubmit(1, 10*time.Millisecond, false)
		time.Sleep(300 * time.Millisecond)
		got, _ := f.state(id)
		return got == workload.StateQueued
	})
	f.store.Compact()
	f.store.Remove(operator.EvacuateKey("domain-a"))
	f.awaitState(f.mustSubmit(1, 10*time.Millisecond, false), workload.StateCompleted)
	f.checkExecutors()
}

// maxConfigDelay is the time within which a VM that reaches the store must apply a configuration.
const maxConfigDelay = 2 * time.Second

// TestConfigAfterCut guards against a VM that accepts a revoked key because it was cut off from the store at the
// revocation, or that accepts it again later: after the cut, after the store compacted its history, and after an older
// version of the configuration is written again.
func TestConfigAfterCut(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.awaitReady()
	allowed := func(v *vm) bool {
		r, err := f.client(v).QueueLength(context.Background())
		return err == nil && r.Status != http.StatusUnauthorized
	}
	cut, other := f.vms[0], f.vms[1]
	f.setPath(cut.name, link.ModeHold, 0)
	next := testConfig(2)
	next.Accounts[0].Keys = []string{"another key"}
	f.store.Set(operator.ConfigKey, operator.EncodeConfig(next))
	time.Sleep(maxConfigDelay)
	if allowed(other) {
		t.Errorf("%s reaches the store and accepts the old key %v after its revocation", other.name, maxConfigDelay)
	}
	f.setPath(cut.name, link.ModePass, 0)
	time.Sleep(maxConfigDelay)
	for i, change := range []func(){
		func() {}, f.store.Compact, func() { f.store.Set(operator.ConfigKey, operator.EncodeConfig(testConfig(1))) }, f.store.Compact,
	} {
		change()
		for range 10 {
			for _, v := range f.vms {
				if allowed(v) {
					t.Fatalf("%s accepts the old key again after change %d", v.name, i)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
