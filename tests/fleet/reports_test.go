package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/operator"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	"github.com/verbenaflow/verbenaflow/standins/link"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
)

// The tests of this file bring about what operators of similar systems have reported; docs/platform.md lists them.

// TestSilentExecutors guards against work that is started again or given up because its executor was silent, slow or not
// registered for a while, but for less than its lease.
func TestSilentExecutors(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.awaitReady()
	gang := f.mustSubmit(9, 6*time.Second, true)
	f.awaitState(gang, workload.StateRunning)
	entry := runner.RegistryPrefix + "e0"
	f.setPath("e0", link.ModeHold, 0)
	f.setPath("e1", link.ModePass, 300*time.Millisecond)
	f.store.Remove(entry)
	time.Sleep(1200 * time.Millisecond)
	f.setPath("e0", link.ModePass, 0)
	f.setPath("e1", link.ModePass, 0)
	f.store.Set(entry, runner.EncodeRegistryEntry(f.infos["e0"]))
	time.Sleep(time.Second)
	f.setPath("e2", link.ModeRefuse, 0)
	time.Sleep(200 * time.Millisecond)
	f.setPath("e2", link.ModePass, 0)
	f.awaitState(gang, workload.StateCompleted)
	if n := f.checkExecutors()[gang]; n != 9 {
		t.Errorf("%d runs of 9 tasks", n)
	}
}

// TestHolderFrozen guards against orders that a frozen holder sends after the next one has taken over, while work waits
// for capacity that becomes free meanwhile, and against work that is stopped or lost by the change.
func TestHolderFrozen(t *testing.T) {
	for _, frozen := range []time.Duration{3 * time.Second, 5 * time.Second} {
		t.Run(frozen.String(), func(t *testing.T) {
			f := newFleet(t, 3, 3)
			f.awaitReady()
			// Two gangs occupy all accelerators and end while the holder is frozen; the others wait for their capacity.
			var ids []workload.JobID
			for range 6 {
				ids = append(ids, f.mustSubmit(6, 1500*time.Millisecond, true))
			}
			f.awaitState(ids[0], workload.StateRunning)
			v := f.holder()
			p := v.process()
			_ = p.Signal(syscall.SIGSTOP)
			time.Sleep(frozen)
			_ = p.Signal(syscall.SIGCONT)
			for _, id := range ids {
				f.awaitState(id, workload.StateCompleted)
			}
			f.checkRunning()
			f.checkExecutors()
			for _, id := range ids {
				// A gang of which the frozen holder had started a part only is stopped, and starts once more as a whole.
				if worked, idle := f.workedRuns(id); worked != 6 || idle > 5 {
					t.Errorf("job %s: %d runs of 6 tasks, and %d that waited for their gang", id, worked, idle)
				}
			}
		})
	}
}

// TestIncompleteGangAtHandover guards against a gang that counts as done without some of its members, and against one that
// never starts again, because the holder ended while it started the gang.
func TestIncompleteGangAtHandover(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.awaitReady()
	v := f.holder()
	// The gang needs all executors, and the starts on one of them get no connection.
	f.setPath("e2", link.ModeHold, 0)
	id := f.mustSubmit(12, 500*time.Millisecond, true)
	f.eventually("a part of the gang is present", func() bool { _, idle := f.workedRuns(id); return idle == 8 })
	_ = v.process().Signal(syscall.SIGKILL)
	f.setPath("e2", link.ModePass, 0)
	f.restart(v, syscall.SIGKILL)
	f.awaitState(id, workload.StateCompleted)
	f.checkExecutors()
	// The held starts may arrive after all, and complete the first run. Otherwise the eight present tasks wait in vain.
	if worked, idle := f.workedRuns(id); worked != 12 || idle != 0 && idle < 8 {
		t.Errorf("%d runs of 12 tasks, and %d that waited for their gang", worked, idle)
	}
}

// TestHandoverWithOrdersInFlight guards against tasks that two holders start during a rolling restart, in which orders
// of the old one are still on their way to slow executors when the next one begins.
func TestHandoverWithOrdersInFlight(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.awaitReady()
	for id := range f.executors {
		f.setPath(string(id), link.ModePass, 150*time.Millisecond)
	}
	var ids []workload.JobID
	for range 3 {
		for range 3 {
			ids = append(ids, f.mustSubmit(4, 400*time.Millisecond, true), f.mustSubmit(2, 300*time.Millisecond, false))
		}
		f.restart(f.holder(), syscall.SIGTERM)
		f.eventually("a holder", func() bool { return f.holder() != nil })
	}
	for _, id := range ids {
		f.awaitState(id, workload.StateCompleted)
	}
	f.checkExecutors()
}

// TestRestartAfterWithdrawal guards against a VM that uses a withdrawn key or an executor that has left after it was
// started again: while the store turns it away, and when it reaches the store again.
func TestRestartAfterWithdrawal(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.awaitReady()
	f.awaitState(f.mustSubmit(12, 10*time.Millisecond, true), workload.StateCompleted)
	for _, v := range f.vms {
		_ = f.stop(v, syscall.SIGKILL)
	}
	next := testConfig(2)
	next.Accounts[0].Keys = []string{"another key"}
	f.store.Set(operator.ConfigKey, operator.EncodeConfig(next))
	f.store.Remove(runner.RegistryPrefix + "e1")
	before := len(f.executors["e1"].RunRecords())
	turnedAway := f.vms[0]
	f.setPath(turnedAway.name, link.ModeRefuse, 0)
	for _, v := range f.vms {
		f.start(v)
	}
	refused := func(v *vm) (status int, ok bool) {
		r, err := f.client(v).Submit(context.Background(), job(f.newID(), 1, time.Millisecond, false))
		return r.Status, err == nil
	}
	f.eventually("the VM that is turned away answers", func() bool {
		status, ok := refused(turnedAway)
		if ok && status != http.StatusServiceUnavailable {
			t.Fatalf("status %d for a withdrawn key without a configuration, want 503", status)
		}
		return ok
	})
	f.setPath(turnedAway.name, link.ModePass, 0)
	for _, v := range f.vms {
		f.eventually("the withdrawn key is refused", func() bool {
			status, ok := refused(v)
			if ok && status/100 == 2 {
				t.Fatalf("%s accepts a withdrawn key after its restart", v.name)
			}
			return ok && status == http.StatusUnauthorized
		})
	}
	c := f.client(f.vms[0])
	c.APIKey = "another key"
	id := f.newID()
	f.eventually("a job with the new key completes", func() bool {
		if r, err := c.Submit(context.Background(), job(id, 4, 10*time.Millisecond, true)); err != nil || r.Status != http.StatusOK {
			return false
		}
		r, err := c.JobState(context.Background(), id)
		return err == nil && r.State == workload.StateCompleted
	})
	if n := len(f.executors["e1"].RunRecords()); n != before {
		t.Errorf("%d runs on an executor that had left before the restart", n-before)
	}
}

// TestLostAnswers guards against work that runs twice, or that is reported as not run, because answers of the store were
// lost: to a submission, to a cancellation and to the record of an end. The client repeats its calls at the other VM.
func TestLostAnswers(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.awaitReady()
	ctx := context.Background()
	lost := storestandin.Faults{LoseAnswerShare: 1}
	id := f.newID()
	j := job(id, 2, 300*time.Millisecond, true)
	f.store.SetFaults(lost)
	if r, err := f.client(f.vms[0]).Submit(ctx, j); err == nil && r.Status != http.StatusGatewayTimeout && r.Status != http.StatusOK {
		t.Errorf("status %d for a submission whose answer is lost, want 504 or 200", r.Status)
	}
	f.store.SetFaults(storestandin.Faults{})
	f.eventually("the repeated submission is accepted", func() bool {
		r, err := f.client(f.vms[1]).Submit(ctx, j)
		return err == nil && r.Status == http.StatusOK
	})
	f.awaitState(id, workload.StateRunning)
	// The record of the end is written without an answer.
	f.store.SetFaults(lost)
	time.Sleep(time.Second)
	f.store.SetFaults(storestandin.Faults{})
	f.awaitState(id, workload.StateCompleted)

	long := f.mustSubmit(2, time.Hour, true)
	f.awaitState(long, workload.StateRunning)
	f.store.SetFaults(lost)
	if r, err := f.client(f.vms[0]).Cancel(ctx, long); err == nil && r.Status != http.StatusGatewayTimeout && r.Status != http.StatusOK {
		t.Errorf("status %d for a cancellation whose answer is lost, want 504 or 200", r.Status)
	}
	f.store.SetFaults(storestandin.Faults{})
	f.eventually("the repeated cancellation is accepted", func() bool {
		r, err := f.client(f.vms[1]).Cancel(ctx, long)
		return err == nil && r.Status == http.StatusOK
	})
	f.awaitState(long, workload.StateCancelled)
	runs := f.checkExecutors()
	if runs[id] != 2 || runs[long] != 2 {
		t.Errorf("%d and %d runs of jobs with 2 tasks", runs[id], runs[long])
	}
}

// TestLargeCheckpoints guards against a job whose checkpoints silence the executors: all tasks there would end with the lease, and no work
// of any account would start again.
func TestLargeCheckpoints(t *testing.T) {
	const executors, tasks, memory = 8, 32, 144 << 20
	f := newFleetOf(t, 2, executors, tasks+4, fmt.Sprintf("[limits]\nmemory = %dMiB\n", memory>>20))
	f.awaitReady()
	large := job(f.newID(), tasks*executors, 8*time.Second, false)
	// The checkpoints of the tasks of an executor have 4.8 MB together, more than the limit of a response.
	large.Spec = "8s 150000"
	large.Steps[0].Need, large.Steps[0].Checkpoint = workload.Resources{CPU: 800, GPU: 1}, true
	if accepted, _ := f.submit(t.Context(), large); !accepted {
		t.Fatal("not accepted")
	}
	f.eventually("all tasks run", func() bool { worked, _ := f.workedRuns(large.ID); return worked == tasks*executors })
	for range 3 {
		id := f.mustSubmit(1, 100*time.Millisecond, false)
		f.awaitState(id, workload.StateCompleted)
	}
	f.awaitState(large.ID, workload.StateCompleted)
	if n := f.checkExecutors()[large.ID]; n != tasks*executors {
		t.Errorf("%d runs of %d tasks", n, tasks*executors)
	}
	for _, v := range f.vms {
		if peak := f.peakMemory(v); peak > memory {
			t.Errorf("%s took %d MB", v.name, peak>>20)
		}
	}
}

// peakMemory returns the most memory in bytes that the process of a VM has taken.
func (f *fleet) peakMemory(v *vm) int64 {
	f.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process().Pid))
	if err != nil {
		f.t.Fatal(err)
	}
	_, line, _ := strings.Cut(string(text), "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscan(line, &kilobytes); err != nil {
		f.t.Fatal(err)
	}
	return kilobytes << 10
}
