package scheduling

import (
	"context"
	"expvar"
	"slices"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	standin "github.com/verbenaflow/verbenaflow/standins/worker"
)

const (
	// reclaimBound is the bound of a checkpoint (10 s) and the exchanges of the stop and the start.
	reclaimBound = 10*time.Second + 2500*time.Millisecond
	// preemptibleClear and allClear bound the time after which no job runs in a domain that is out: the
	// grace periods of 30 s and 2 min, the checkpoint and the exchanges.
	preemptibleClear = 30*time.Second + reclaimBound
	allClear         = 2*time.Minute + reclaimBound
	// slack covers the exchanges of a start and a stop.
	slack = 5 * time.Second
)

// history returns the state changes of all tasks of a job in the order of time.
func (w *world) history(t *testing.T, job model.JobID) []event {
	t.Helper()
	var out []event
	for id, c := range w.clients {
		h, err := c.History(context.Background(), 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range h.Entries {
			if e.Task.Job == job {
				out = append(out, event{HistoryEntry: e, at: w.base.Add(e.At), worker: id})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b event) int { return a.at.Compare(b.at) })
	return out
}

// runTime returns for how long the first task of a job ran in all its attempts, and whether it succeeded.
func (w *world) runTime(t *testing.T, job model.JobID) (total time.Duration, succeeded bool) {
	t.Helper()
	var since time.Time
	for _, e := range w.history(t, job) {
		switch {
		case e.Task.Index != 0:
		case e.State == model.TaskRunning:
			since = e.at
		case e.State.Final() && !since.IsZero():
			total, since = total+e.at.Sub(since), time.Time{}
			succeeded = e.State == model.TaskSucceeded
		}
	}
	return total, succeeded
}

func (w *world) submitFor(t *testing.T, account model.AccountID, spec model.JobSpec) model.JobID {
	t.Helper()
	spec.Account = account
	m, err := w.current().call(message.JobSubmit{Spec: spec})
	if err != nil {
		t.Fatal(err)
	}
	return m.(message.JobReply).Job.ID
}

// guarantee gives account acme one worker and account guest nothing.
func (w *world) guarantee() {
	w.locked(func() {
		w.config.Version++
		w.config.Presets = map[string]model.Preset{"p": {Accounts: map[model.AccountID]model.AccountPolicy{
			"acme":  {Weight: 1, Guarantees: []model.Guarantee{{Domain: domain, Cells: []model.CellCount{{Level: model.LevelWorker, Count: 1}}}}},
			"guest": {Weight: 1},
		}}}
	})
	time.Sleep(time.Second)
}

// TestGuaranteeIsReclaimed guards against a guaranteed account that waits while others occupy all
// accelerators (P1), and against borrowers that lose their work or are never resumed.
func TestGuaranteeIsReclaimed(t *testing.T) {
	for name, f := range map[string]standin.Faults{"checkpoint": {CheckpointMS: 300}, "stuck": {StuckCheckpoints: true}} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 2, func(t *testing.T, w *world) {
				w.guarantee()
				for _, c := range w.clients {
					if err := c.SetFaults(context.Background(), f); err != nil {
						t.Fatal(err)
					}
				}
				var guests []model.JobID
				for range 4 {
					guests = append(guests, w.submitFor(t, "guest", model.JobSpec{
						Tasks: 1, GPUsPerTask: 4, RunTime: time.Minute, Preemptible: true,
					}))
				}
				time.Sleep(30 * time.Second)
				w.requireGauges(t, map[string]string{"gpus_used": "16", "gpus_free": "0", "gpus_borrowed": "16", "jobs_running": "4"})
				asked := time.Now()
				job := w.submitFor(t, "acme", model.JobSpec{Tasks: 2, GPUsPerTask: 4, RunTime: 20 * time.Second})
				time.Sleep(reclaimBound)
				w.requireRunning(t, job, 2, asked)
				time.Sleep(3 * time.Minute)
				for _, id := range guests {
					ran, done := w.runTime(t, id)
					if !done || !f.StuckCheckpoints && ran > time.Minute+slack {
						t.Errorf("borrower ran for %v in all, succeeded: %v", ran, done)
					}
				}
			})
		})
	}
}

// requireGauges guards against gauges that do not follow the state.
func (w *world) requireGauges(t *testing.T, want map[string]string) {
	t.Helper()
	gauges := w.current().metrics.Var().(*expvar.Map).Get("gauges").(*expvar.Map)
	for name, v := range want {
		if got := gauges.Get(name); got == nil || got.String() != v {
			t.Errorf("gauge %s is %v instead of %s", name, got, v)
		}
	}
}

// requireRunning requires that all n members of a job run by now.
func (w *world) requireRunning(t *testing.T, job model.JobID, n int, asked time.Time) {
	t.Helper()
	running := map[int]time.Time{}
	for _, e := range w.history(t, job) {
		if e.State == model.TaskRunning {
			running[e.Task.Index] = e.at
		}
	}
	if len(running) != n {
		t.Fatalf("%d of %d members run %v after the submission", len(running), n, time.Since(asked))
	}
	t.Logf("the gang ran %v after its submission", running[0].Sub(asked))
}

// TestDomainOutIsCleared guards against starts in a failure domain that is out (P3), against jobs that stay
// in it beyond the grace period, and against work that is lost by the return.
func TestDomainOutIsCleared(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		soft := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: 5 * time.Minute, Preemptible: true})
		hard := w.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 4, RunTime: 5 * time.Minute})
		time.Sleep(20 * time.Second)
		out := time.Now()
		w.setOut(true)
		late := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 4, RunTime: time.Second, Urgent: true})
		time.Sleep(allClear + slack)
		back := time.Now()
		w.setOut(false)
		time.Sleep(6 * time.Minute)
		for job, clear := range map[model.JobID]time.Duration{soft: preemptibleClear, hard: allClear} {
			w.requireCleared(t, job, out, back, clear)
			if ran, done := w.runTime(t, job); !done || ran > 5*time.Minute+slack {
				t.Errorf("job ran for %v in all, succeeded: %v", ran, done)
			}
		}
		w.requireCleared(t, late, out, back, 0)
		if _, done := w.runTime(t, late); !done {
			t.Error("job submitted while the failure domain was out did not run after its return")
		}
	})
}

// requireCleared requires that no task of a job starts while the domain is out, and that none runs after clear.
func (w *world) requireCleared(t *testing.T, job model.JobID, out, back time.Time, clear time.Duration) {
	t.Helper()
	running := map[int]bool{}
	for _, e := range w.history(t, job) {
		if !e.at.Before(back) {
			break
		}
		if !e.State.Final() && e.at.Sub(out) > startBound {
			t.Errorf("%v became %s %v after the failure domain was taken out", e.Task, e.State, e.at.Sub(out))
		}
		if e.State.Final() && clear > 0 && e.at.Sub(out) > clear {
			t.Errorf("%v ended %v after the failure domain was taken out", e.Task, e.at.Sub(out))
		}
		running[e.Task.Index] = e.State == model.TaskRunning
	}
	for i, on := range running {
		if on {
			t.Errorf("task %d runs at the return", i)
		}
	}
}

// TestLostWorkerIsNotRenewed guards against a new holder that keeps the lease of a worker whose answers it
// does not get, so that a second attempt of a job runs beside the first one (P2).
func TestLostWorkerIsNotRenewed(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		job := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(5 * time.Second)
		first := w.history(t, job)[0].worker
		if err := w.clients[first].SetFaults(context.Background(), standin.Faults{LoseAnswers: true}); err != nil {
			t.Fatal(err)
		}
		w.locked(func() { w.current().cut = true })
		w.elect(true)
		time.Sleep(time.Minute)
		stopped := w.first(t, first, job, model.TaskStopped)
		again := false
		for _, e := range w.history(t, job) {
			if e.worker == first {
				continue
			}
			again = true
			if stopped.IsZero() || !e.at.After(stopped) {
				t.Fatalf("second attempt became %s at %v, the first stopped at %v", e.State, e.at.Sub(w.base), stopped.Sub(w.base))
			}
		}
		if !again {
			t.Fatal("the job did not start again")
		}
	})
}

// TestMessagesOfOtherEpochsAreIgnored guards against a scheduler that applies what the workers service
// learned under another epoch, so that it stops gangs that run.
func TestMessagesOfOtherEpochsAreIgnored(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.elect(true)
		time.Sleep(10 * time.Second)
		job := w.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 8, RunTime: time.Minute})
		time.Sleep(5 * time.Second)
		h := w.current()
		for _, e := range []model.Epoch{{}, {Store: h.epoch.Store - 1}, {Store: h.epoch.Store + 1}} {
			for _, m := range []kernel.Message{
				message.WorkerReport{Worker: "w0", Epoch: e, Full: true},
				message.WorkerLost{Worker: "w0", Epoch: e, LeaseEnds: time.Now()},
			} {
				if err := h.kernel.Send(names.Scheduler, m); err != nil {
					t.Fatal(err)
				}
			}
		}
		time.Sleep(2 * time.Minute)
		for _, e := range w.history(t, job) {
			if e.State == model.TaskStopped || e.Task.Attempt > 1 {
				t.Fatalf("%v became %s", e.Task, e.State)
			}
		}
	})
}

// TestOutageHolderKeepsGangs guards against a holder without the log that stops running gangs because no
// worker returned the record of their job.
func TestOutageHolderKeepsGangs(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		job := w.mustSubmit(t, model.JobSpec{Tasks: 4, GPUsPerTask: 4, RunTime: time.Minute})
		time.Sleep(5 * time.Second)
		w.locked(func() { w.down, w.current().cut = true, true })
		w.elect(false)
		time.Sleep(2 * time.Minute)
		succeeded := 0
		for _, e := range w.history(t, job) {
			if e.State == model.TaskStopped || e.Task.Attempt > 1 {
				t.Fatalf("%v became %s", e.Task, e.State)
			}
			if e.State == model.TaskSucceeded {
				succeeded++
			}
		}
		if succeeded != 4 {
			t.Fatalf("%d of 4 tasks succeeded", succeeded)
		}
	})
}

// TestLateReplayQueuesJobs guards against accepted jobs that wait until the next change of the holder because
// the log could not be read when the holder took over.
func TestLateReplayQueuesJobs(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		runs := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Minute})
		time.Sleep(time.Second)
		waits := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: 10 * time.Second})
		w.locked(func() { w.down, w.current().cut = true, true })
		w.elect(false)
		time.Sleep(20 * time.Second)
		w.locked(func() { w.down = false })
		for range 2 {
			w.seal()
		}
		time.Sleep(2 * time.Minute)
		for _, job := range []model.JobID{runs, waits} {
			if _, done := w.runTime(t, job); !done || w.history(t, job)[0].Task.Attempt != 1 {
				t.Errorf("job %s did not succeed in its first attempt", job)
			}
		}
	})
}
