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

// ready waits until a VM takes jobs and returns the first that was accepted.
func (f *fleet) ready() {
	f.t.Helper()
	f.await(f.mustSubmit(1, 10*time.Millisecond, false), workload.StateCompleted)
}

func (f *fleet) mustSubmit(count int, took time.Duration, gang bool) workload.JobID {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	j := job(f.newID(), count, took, gang)
	if accepted, _ := f.submit(ctx, j); !accepted {
		f.t.Fatalf("job %s not accepted", j.ID)
	}
	return j.ID
}

// TestCalmDay guards the whole path: acceptance at any VM, repeated submissions, states, the length of a queue,
// cancellation, and refusals of unknown keys, queues and jobs.
func TestCalmDay(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.ready()
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
		f.await(id, workload.StateCompleted)
	}
	long := f.mustSubmit(2, time.Hour, false)
	f.await(long, workload.StateRunning)
	if r, err := f.client(f.vms[0]).Cancel(ctx, long); err != nil || r.Status != http.StatusOK {
		t.Errorf("cancel: %v, %v", r, err)
	}
	f.await(long, workload.StateCancelled)
	c := f.client(f.vms[1])
	if r, err := c.Queue(ctx); err != nil || r.Status != http.StatusOK || r.Waiting != 0 {
		t.Errorf("queue: %v, %v", r, err)
	}
	if r, err := c.State(ctx, "00000000deadbeef"); err != nil || r.Status != http.StatusGone {
		t.Errorf("unknown job: %v, %v", r, err)
	}
	c.Key = "unknown"
	if r, err := c.Queue(ctx); err != nil || r.Status != http.StatusUnauthorized {
		t.Errorf("unknown key: %v, %v", r, err)
	}
	c.Key, c.Prefix = apiKey, "/none/"
	if r, err := c.Queue(ctx); err != nil || r.Status != http.StatusNotFound {
		t.Errorf("unknown queue: %v, %v", r, err)
	}
	f.eventually("stopped tasks", func() bool {
		for _, e := range f.executors {
			for _, p := range e.Evidence() {
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
// are.
func TestHolderLost(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.ready()
	var ids []workload.JobID
	for range 6 {
		ids = append(ids, f.mustSubmit(2, 1500*time.Millisecond, true))
	}
	v := f.holder()
	_ = f.end(v, syscall.SIGKILL)
	ids = append(ids, f.mustSubmit(2, 200*time.Millisecond, false))
	f.start(v)
	for _, v := range f.vms {
		_ = f.end(v, syscall.SIGKILL)
	}
	for _, v := range f.vms {
		f.start(v)
	}
	ids = append(ids, f.mustSubmit(2, 200*time.Millisecond, false))
	for _, id := range ids {
		f.await(id, workload.StateCompleted)
	}
	f.checkExecutors()
}

// TestSettingsChange guards against a VM that goes on with the addresses of other VMs that it was started with: cut off
// from the store, it could not pass calls on to a VM that came later. The file changes without a signal.
func TestSettingsChange(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.ready()
	cut := f.holder()
	other := f.vms[0]
	if other == cut {
		other = f.vms[1]
	}
	f.set(cut.name, link.Hold, 0)
	f.eventually("the other VM holds the fleet", func() bool { return f.holder() == other })
	text, err := os.ReadFile(cut.settings)
	if err != nil {
		t.Fatal(err)
	}
	id := f.newID()
	if r, err := f.client(cut).Submit(context.Background(), job(id, 1, 50*time.Millisecond, false)); err == nil && r.Status/100 == 2 {
		t.Fatalf("%s is cut off from the store, knows no other VM and accepted a job: %+v", cut.name, r)
	}
	if err := os.WriteFile(cut.settings, bytes.Replace(text, []byte("peers =\n"), []byte("peers = "+other.relay+"\n"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	f.eventually("a job passed on to the other VM", func() bool {
		r, err := f.client(cut).Submit(context.Background(), job(id, 1, 50*time.Millisecond, false))
		return err == nil && r.Status/100 == 2
	})
	f.await(id, workload.StateCompleted)
	f.set(cut.name, link.Pass, 0)
	f.checkExecutors()
}

// TestGracefulShutdown guards against calls that are cut off, and against a pause of the fleet, when VMs are stopped in
// turn.
func TestGracefulShutdown(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.ready()
	for _, v := range f.vms {
		_ = v.process().Signal(syscall.SIGTERM)
		// Connections are accepted until the platform has noticed.
		for range 3 {
			if r, err := f.client(v).Queue(context.Background()); err != nil {
				t.Errorf("call to %s after SIGTERM: %v, %v", v.name, r, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		c := <-v.current
		if err := <-c.done; err != nil {
			t.Errorf("%s ended with %v", v.name, err)
		}
		f.await(f.mustSubmit(1, 10*time.Millisecond, false), workload.StateCompleted)
		f.start(v)
	}
	f.checkExecutors()
}

// TestExecutorLost guards against tasks that are forgotten when their executor crashes and comes back, or leaves.
func TestExecutorLost(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.ready()
	id := f.mustSubmit(9, 2*time.Second, false)
	f.await(id, workload.StateRunning)
	f.executors["e0"].Crash()
	f.store.Remove(runner.RegistryPrefix + "e1")
	f.await(id, workload.StateCompleted)
	f.checkExecutors()
}

// TestDomainOut guards against starts in a failure domain that operators have taken out of service, also after the store
// has dropped its history.
func TestDomainOut(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.ready()
	f.store.Set(operator.EvacuateKey("domain-a"), []byte("{}"))
	f.eventually("domain out", func() bool {
		id := f.mustSubmit(1, 10*time.Millisecond, false)
		time.Sleep(300 * time.Millisecond)
		got, _ := f.state(id)
		return got == workload.StateQueued
	})
	f.store.Compact()
	f.store.Remove(operator.EvacuateKey("domain-a"))
	f.await(f.mustSubmit(1, 10*time.Millisecond, false), workload.StateCompleted)
	f.checkExecutors()
}

// configBound is the time in which a configuration must be in force on a VM that reaches the store.
const configBound = 2 * time.Second

// TestConfigAfterCut guards against a VM that was cut off while a key was taken away and takes it for valid after that, or
// again later: the cut heals, the store drops its history, and an older version is written once more.
func TestConfigAfterCut(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.ready()
	allowed := func(v *vm) bool {
		r, err := f.client(v).Queue(context.Background())
		return err == nil && r.Status != http.StatusUnauthorized
	}
	cut, other := f.vms[0], f.vms[1]
	f.set(cut.name, link.Hold, 0)
	next := testConfig(2)
	next.Tenants[0].Keys = []string{"another key"}
	f.store.Set(operator.ConfigKey, operator.EncodeConfig(next))
	time.Sleep(configBound)
	if allowed(other) {
		t.Errorf("%s reaches the store and takes the old key %v after its end", other.name, configBound)
	}
	f.set(cut.name, link.Pass, 0)
	time.Sleep(configBound)
	for i, change := range []func(){
		func() {}, f.store.Compact, func() { f.store.Set(operator.ConfigKey, operator.EncodeConfig(testConfig(1))) }, f.store.Compact,
	} {
		change()
		for range 10 {
			for _, v := range f.vms {
				if allowed(v) {
					t.Fatalf("%s takes the old key again after change %d", v.name, i)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
