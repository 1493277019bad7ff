package scheduling

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// TestHolderChangesEndPartialGang guards against a part of a gang that runs on without a lost member, because
// each of many holders renews its lease and is replaced before its recovery has ended (P2).
func TestHolderChangesEndPartialGang(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		job := w.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(5 * time.Second)
		w.locked(func() { w.cut["w0"] = true })
		for range 6 {
			w.replace(true)
			time.Sleep(500 * time.Millisecond) // For exchanges that could renew leases, not for the end of the recovery.
		}
		w.requireTogether(t, job, 2)
	})
}

// requireTogether requires that all n members of a job have stopped, none long after another.
func (w *world) requireTogether(t *testing.T, job model.JobID, n int) {
	t.Helper()
	var stopped []time.Time
	for _, e := range w.history(t, job) {
		if e.State == model.TaskStopped && e.Task.Attempt == 1 {
			stopped = append(stopped, e.at)
		}
	}
	if len(stopped) != n || stopped[n-1].Sub(stopped[0]) > partialBound {
		t.Fatalf("of %d members, these stopped: %v", n, stopped)
	}
}

// TestWholeGangSurvivesRecovery guards against a whole gang that a change of the holder ends because its recovery
// takes longer than the lease, and against one that keeps its leases in the recovery when it loses a member (P2).
func TestWholeGangSurvivesRecovery(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 400 * time.Millisecond { // The interval of exchanges.
		t.Run(offset.String(), func(t *testing.T) {
			inWorld(t, 3, func(t *testing.T, w *world) {
				job := w.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 8, RunTime: time.Hour})
				time.Sleep(5*time.Second + offset)
				w.locked(func() { w.unread = true })
				w.replace(true)
				time.Sleep(20 * time.Second)
				for _, e := range w.history(t, job) {
					if e.State == model.TaskStopped {
						t.Fatalf("%v stopped", e.Task)
					}
				}
				w.locked(func() { w.cut[w.history(t, job)[0].worker] = true })
				time.Sleep(20 * time.Second)
				w.requireTogether(t, job, 2)
			})
		})
	}
}

// TestFirstWorkerHasLease guards against a task that runs without a lease on a worker that joins a failure
// domain whose holder had rebuilt its state before there was any worker (P2).
func TestFirstWorkerHasLease(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		vms := w.vms
		w.vms = nil
		h := w.elect(true)
		time.Sleep(5 * time.Second)
		for _, to := range []kernel.Name{names.Workers, names.Scheduler} {
			if err := h.kernel.Send(to, message.MembersChanged{Workers: vms}); err != nil {
				t.Fatal(err)
			}
		}
		job := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(20 * time.Second)
		if w.first(t, "w0", job, model.TaskRunning).IsZero() || !w.first(t, "w0", job, model.TaskStopped).IsZero() {
			t.Fatal("the task does not run")
		}
		w.locked(func() { w.cut["w0"] = true })
		time.Sleep(20 * time.Second)
		w.requireTogether(t, job, 1)
	})
}

// TestWholeGangSurvivesLossOfNeighbour guards against a whole gang that is restarted because the holder and a worker
// are lost together and a part of another gang keeps its worker from a renewal.
func TestWholeGangSurvivesLossOfNeighbour(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 400 * time.Millisecond { // The interval of exchanges.
		t.Run(offset.String(), func(t *testing.T) {
			inWorld(t, 2, func(t *testing.T, w *world) {
				wide := w.mustSubmit(t, model.JobSpec{Tasks: 3, GPUsPerTask: 4, RunTime: time.Hour})
				time.Sleep(2 * time.Second)
				small := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 4, RunTime: time.Hour})
				time.Sleep(3*time.Second + offset)
				shared := w.history(t, small)[0].worker
				events := w.history(t, wide)
				w.locked(func() {
					for _, e := range events {
						w.cut[e.worker] = e.worker != shared
					}
				})
				w.replace(true)
				time.Sleep(20 * time.Second)
				for _, e := range w.history(t, small) {
					if e.State == model.TaskStopped {
						t.Fatalf("%v stopped", e.Task)
					}
				}
				w.requireTogether(t, wide, 3)
			})
		})
	}
}
