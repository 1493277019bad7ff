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
	decisions "github.com/verbenaflow/verbenaflow/decisions/fleet"
	"github.com/verbenaflow/verbenaflow/platform/operator"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	"github.com/verbenaflow/verbenaflow/standins/link"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
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

// TestStoreAway guards against work that stops while the store is away, and against acknowledgements of what is not
// stored.
func TestStoreAway(t *testing.T) {
	for name, fault := range map[string]storestandin.Fault{
		"busy": {Busy: true}, "silent": {Silent: true}, "lost": {Lost: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 3)
			f.ready()
			running := f.mustSubmit(3, 4*time.Second, false)
			f.await(running, workload.StateRunning)
			f.store.SetFault(fault)
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			defer cancel()
			j := job(f.newID(), 1, 50*time.Millisecond, false)
			accepted, refused := f.submit(ctx, j)
			if accepted && fault.Lost == 0 {
				t.Errorf("job %s acknowledged without a store", j.ID)
			}
			time.Sleep(4 * time.Second)
			if fault.Silent {
				// By now the VMs know that the store is silent: they refuse, and what they refuse never runs.
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
			f.store.SetFault(storestandin.Fault{})
			f.await(running, workload.StateCompleted)
			runs := f.checkExecutors()
			if runs[running] != 3 {
				t.Errorf("the job that ran through the outage had %d runs, want 3", runs[running])
			}
			if refused && runs[j.ID] > 0 {
				t.Errorf("job %s was refused and ran", j.ID)
			}
			if accepted {
				f.await(j.ID, workload.StateCompleted)
			}
		})
	}
}

// TestCancelSilentStore guards against a cancellation that waits out its deadline on a store which has just left a
// submission undecided, so that the caller has no time left to come back.
func TestCancelSilentStore(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.ready()
	running := f.mustSubmit(1, 6*time.Second, false)
	f.await(running, workload.StateRunning)
	c := f.client(f.holder())
	c.Timeout = 1500 * time.Millisecond
	f.store.SetFault(storestandin.Fault{Silent: true})
	if r, err := c.Submit(context.Background(), job(f.newID(), 1, 50*time.Millisecond, false)); err != nil || r.Status != http.StatusGatewayTimeout {
		t.Fatalf("submission to a silent store: %+v, %v, want 504", r, err)
	}
	began := time.Now()
	r, err := c.Cancel(context.Background(), running)
	if took := time.Since(began); err != nil || r.Status != http.StatusServiceUnavailable || took > 500*time.Millisecond {
		t.Errorf("cancellation after that: %+v, %v after %v, want 503 at once", r, err, took)
	}
	f.store.SetFault(storestandin.Fault{})
	f.await(running, workload.StateCompleted)
	f.checkExecutors()
}

// slowStoreDelay is the delay of each direction of a call to a store that is 88 times as slow as usual, as on trouble-2 of
// vkv-sert-grown.
const slowStoreDelay = 175 * time.Millisecond

// TestSlowHandover guards against a change of holders that takes a slow store's calls one after the other: a job that waits
// must start within the lease and a second, although the holder's process ends at that moment.
func TestSlowHandover(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.ready()
	f.await(f.mustSubmit(1, 10*time.Millisecond, false), workload.StateCompleted)
	for _, v := range f.vms {
		f.set(v.name, link.Pass, slowStoreDelay)
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
				t.Fatalf("submission during the change: %+v, %v", r, err)
			}
			cancel()
		}
	}
	f.await(id, workload.StateRunning)
	took := time.Since(began)
	t.Logf("the job ran %v after the end of the holder", took)
	if limit := decisions.HolderLease + time.Second; took > limit {
		t.Errorf("the job ran %v after the end of the holder, want at most %v", took, limit)
	}
	c := <-v.current
	<-c.done
	f.start(v)
	f.checkExecutors()
}

// TestShortDeadline guards against a refusal that comes too late to be true: with little time left a VM passes a submission on to
// one that tries the busy store for longer, and can then only say that the job may have been accepted.
func TestShortDeadline(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.ready()
	holder := f.holder()
	f.store.SetFault(storestandin.Fault{Busy: true})
	for _, v := range f.vms {
		if v == holder {
			continue
		}
		c := f.client(v)
		for _, left := range []time.Duration{500, 600, 700, 800, 1000} {
			c.Timeout = left * time.Millisecond
			if r, err := c.Submit(context.Background(), job(f.newID(), 1, 50*time.Millisecond, false)); err != nil || r.Status != http.StatusServiceUnavailable {
				t.Errorf("submission with %v left while the store is busy: %+v, %v, want 503", c.Timeout, r, err)
			}
		}
	}
	f.store.SetFault(storestandin.Fault{})
	f.ready()
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

// TestLateRecords guards against a record of the holder that is applied late, over a newer one: the next holder would start
// tasks again that were done and acknowledged.
func TestLateRecords(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.ready()
	var ids []workload.JobID
	for i := range 6 {
		// The tasks of a job end one after the other, so that its progress is recorded several times.
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
	f.store.SetFault(storestandin.Fault{Late: 0.5})
	time.Sleep(2500 * time.Millisecond)
	f.store.SetFault(storestandin.Fault{})
	for _, id := range ids {
		f.await(id, workload.StateCompleted)
	}
	time.Sleep(2 * time.Second)
	for _, v := range f.vms {
		f.restart(v, syscall.SIGKILL)
	}
	f.ready()
	time.Sleep(500 * time.Millisecond)
	f.checkExecutors()
}
