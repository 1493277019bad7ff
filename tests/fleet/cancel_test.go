package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
)

// shortDeadline is the deadline of a client that gives up before a delayed submission takes effect.
const shortDeadline = 600 * time.Millisecond

// awaitStopped waits until all threads of a process stand still. On a busy machine they run on for a moment after SIGSTOP.
func (f *fleet) awaitStopped(pid int) {
	f.t.Helper()
	f.eventually("the process stands still", func() bool {
		stats, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
		for _, name := range stats {
			// The state follows the name of the program, which is in parentheses.
			stat, _ := os.ReadFile(name)
			if _, state, _ := strings.Cut(string(stat), ") "); !strings.HasPrefix(state, "T") {
				return false
			}
		}
		return len(stats) > 0
	})
}

// TestCancelOvertakesSubmission guards against a job that runs although its cancellation was acknowledged, because its
// submission takes effect after it: it is read by a VM that was frozen, or is carried out late by the store.
func TestCancelOvertakesSubmission(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.awaitReady()
	f.eventually("a VM is elected as holder", func() bool { return f.holder() != nil })
	holder := f.holder()
	others := make([]*vm, 0, 2)
	for _, v := range f.vms {
		if v != holder {
			others = append(others, v)
		}
	}
	frozen, other := others[0], others[1]
	submit := func(j *workload.Job) {
		c := f.client(frozen)
		c.Timeout = shortDeadline
		if r, err := c.Submit(context.Background(), j); err == nil && r.Status != http.StatusGatewayTimeout {
			t.Fatalf("submission: %+v, want an unknown outcome", r)
		}
	}
	for name, delay := range map[string]func(submit func()){
		"frozen VM": func(submit func()) {
			p := frozen.process()
			_ = p.Signal(syscall.SIGSTOP)
			f.awaitStopped(p.Pid)
			submit()
			time.AfterFunc(time.Second, func() { _ = p.Signal(syscall.SIGCONT) })
		},
		"late transaction": func(submit func()) {
			f.store.SetFaults(storestandin.Faults{LateTxnShare: 1})
			submit()
			f.store.SetFaults(storestandin.Faults{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			j := job(f.newID(), 2, 5*time.Second, false)
			delay(func() { submit(j) })
			if r, err := f.client(other).Cancel(context.Background(), j.ID); err != nil || r.Status != http.StatusGone {
				t.Fatalf("cancellation: %+v, %v, want 410", r, err)
			}
			time.Sleep(4 * time.Second)
			if n := f.checkExecutors()[j.ID]; n > 0 {
				t.Errorf("%d tasks of the job were started after its cancellation was acknowledged", n)
			}
			for _, v := range f.vms {
				if r, err := f.client(v).JobState(context.Background(), j.ID); err != nil || r.Status != http.StatusGone {
					t.Errorf("state of the job at %s: %+v, %v, want 410", v.name, r, err)
				}
				if r, err := f.client(v).Submit(context.Background(), j); err != nil || r.Status != http.StatusGone {
					t.Errorf("repeated submission to %s: %+v, %v, want 410", v.name, r, err)
				}
			}
		})
	}
}

// TestSubmissionsBesideCancellations guards against submissions that are refused as cancelled although they must not be:
// one that repeats an accepted submission, and one of a job that only another client account has tried to cancel.
func TestSubmissionsBesideCancellations(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.awaitAllReady()
	ctx := context.Background()
	accepted := job(f.newID(), 1, 10*time.Second, false)
	foreign := job(f.newID(), 1, 100*time.Millisecond, false)
	expect := func(what string, want int, call func(v *vm) (int, error)) {
		t.Helper()
		for _, v := range f.vms {
			if status, err := call(v); err != nil || status != want {
				t.Errorf("%s at %s: status %d, %v, want %d", what, v.name, status, err, want)
			}
		}
	}
	submit := func(j *workload.Job) func(*vm) (int, error) {
		return func(v *vm) (int, error) { r, err := f.client(v).Submit(ctx, j); return r.Status, err }
	}
	cancel := func(id workload.JobID, key string) func(*vm) (int, error) {
		return func(v *vm) (int, error) {
			c := f.client(v)
			c.APIKey = key
			r, err := c.Cancel(ctx, id)
			return r.Status, err
		}
	}
	expect("submission", http.StatusOK, submit(accepted))
	expect("cancellation", http.StatusOK, cancel(accepted.ID, apiKey))
	expect("repeated submission of a cancelled job", http.StatusOK, submit(accepted))
	f.awaitState(accepted.ID, workload.StateCancelled)

	expect("cancellation by another account", http.StatusGone, cancel(foreign.ID, otherAPIKey))
	expect("submission", http.StatusOK, submit(foreign))
	f.awaitState(foreign.ID, workload.StateCompleted)
	f.checkExecutors()
}
