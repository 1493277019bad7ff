package scheduling

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// TestHolderChangesEndPartialGang guards against a partial gang that continues to run without a lost member, because
// each of many holders renews its leases and is replaced before its recovery has ended (promise P2).
func TestHolderChangesEndPartialGang(t *testing.T) {
	withHolder(t, 2, func(t *testing.T, td *testDomain) {
		job := td.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(5 * time.Second)
		td.locked(func() { td.unreachable["w0"] = true })
		for range 6 {
			td.replaceHolder(true)
			time.Sleep(500 * time.Millisecond) // Enough for exchanges that renew leases, but not for a recovery.
		}
		td.requireStoppedTogether(t, job, 2)
	})
}

// requireStoppedTogether requires that all n members of a job have stopped within maxPartialGangTime.
func (td *testDomain) requireStoppedTogether(t *testing.T, job model.JobID, n int) {
	t.Helper()
	var stopped []time.Time
	for _, e := range td.history(t, job) {
		if e.State == model.TaskStopped && e.Task.Attempt == 1 {
			stopped = append(stopped, e.at)
		}
	}
	if len(stopped) != n || stopped[n-1].Sub(stopped[0]) > maxPartialGangTime {
		t.Fatalf("of %d members, these stopped: %v", n, stopped)
	}
}

// TestWholeGangSurvivesRecovery guards against a complete gang that ends at a change of the holder because the recovery
// takes longer than the lease, and against a gang that loses a member during the recovery and keeps its leases (promise
// P2).
func TestWholeGangSurvivesRecovery(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 400 * time.Millisecond { // The interval of exchanges.
		t.Run(offset.String(), func(t *testing.T) {
			withHolder(t, 3, func(t *testing.T, td *testDomain) {
				job := td.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 8, RunTime: time.Hour})
				time.Sleep(5*time.Second + offset)
				td.locked(func() { td.logUnread = true })
				td.replaceHolder(true)
				time.Sleep(20 * time.Second)
				for _, e := range td.history(t, job) {
					if e.State == model.TaskStopped {
						t.Fatalf("%v stopped", e.Task)
					}
				}
				td.locked(func() { td.unreachable[td.history(t, job)[0].worker] = true })
				time.Sleep(20 * time.Second)
				td.requireStoppedTogether(t, job, 2)
			})
		})
	}
}

// TestFirstWorkerHasLease guards against a task that runs without a lease on the first worker of a failure domain,
// because the worker joins after the holder has rebuilt its state without any worker (promise P2).
func TestFirstWorkerHasLease(t *testing.T) {
	withHolder(t, 1, func(t *testing.T, td *testDomain) {
		vms := td.vms
		td.vms = nil
		h := td.elect(true)
		time.Sleep(5 * time.Second)
		for _, to := range []kernel.Name{names.Workers, names.Scheduler} {
			if err := h.kernel.Send(to, message.MembersChanged{Workers: vms}); err != nil {
				t.Fatal(err)
			}
		}
		job := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(20 * time.Second)
		if td.firstStateAt(t, "w0", job, model.TaskRunning).IsZero() || !td.firstStateAt(t, "w0", job, model.TaskStopped).IsZero() {
			t.Fatal("the task does not run")
		}
		td.locked(func() { td.unreachable["w0"] = true })
		time.Sleep(20 * time.Second)
		td.requireStoppedTogether(t, job, 1)
	})
}

// TestWholeGangSurvivesLossOfNeighbour guards against a restart of a complete gang when the holder and a worker are
// lost together, because a task of another, now partial gang prevents the renewal of its worker's lease.
func TestWholeGangSurvivesLossOfNeighbour(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 400 * time.Millisecond { // The interval of exchanges.
		t.Run(offset.String(), func(t *testing.T) {
			withHolder(t, 2, func(t *testing.T, td *testDomain) {
				wide := td.mustSubmit(t, model.JobSpec{Tasks: 3, GPUsPerTask: 4, RunTime: time.Hour})
				time.Sleep(2 * time.Second)
				small := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 4, RunTime: time.Hour})
				time.Sleep(3*time.Second + offset)
				shared := td.history(t, small)[0].worker
				events := td.history(t, wide)
				td.locked(func() {
					for _, e := range events {
						td.unreachable[e.worker] = e.worker != shared
					}
				})
				td.replaceHolder(true)
				time.Sleep(20 * time.Second)
				for _, e := range td.history(t, small) {
					if e.State == model.TaskStopped {
						t.Fatalf("%v stopped", e.Task)
					}
				}
				td.requireStoppedTogether(t, wide, 3)
			})
		})
	}
}
