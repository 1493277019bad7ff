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
	// maxReclaimTime is the longest time of a checkpoint, 10 s, plus the exchanges of the stop and the start.
	maxReclaimTime = 10*time.Second + 2500*time.Millisecond
	// maxPreemptibleStop and maxStop bound the time for which jobs run in a domain that is out of service: the
	// grace periods of 30 s and 2 min, plus the checkpoint and the exchanges.
	maxPreemptibleStop = 30*time.Second + maxReclaimTime
	maxStop            = 2*time.Minute + maxReclaimTime
	// exchangeTolerance covers the exchanges of a start and a stop.
	exchangeTolerance = 5 * time.Second
)

// history returns the state changes of all tasks of a job, sorted by time.
func (td *testDomain) history(t *testing.T, job model.JobID) []taskEvent {
	t.Helper()
	var out []taskEvent
	for id, c := range td.clients {
		h, err := c.History(context.Background(), 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range h.Entries {
			if e.Task.Job == job {
				out = append(out, taskEvent{HistoryEntry: e, at: td.startedAt.Add(e.At), worker: id})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b taskEvent) int { return a.at.Compare(b.at) })
	return out
}

// totalRunTime returns the run time of the first task of a job over all attempts, and whether it succeeded.
func (td *testDomain) totalRunTime(t *testing.T, job model.JobID) (total time.Duration, succeeded bool) {
	t.Helper()
	var since time.Time
	for _, e := range td.history(t, job) {
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

func (td *testDomain) submitFor(t *testing.T, account model.AccountID, spec model.JobSpec) model.JobID {
	t.Helper()
	spec.Account = account
	m, err := td.current().call(message.JobSubmit{Spec: spec})
	if err != nil {
		t.Fatal(err)
	}
	return m.(message.JobReply).Job.ID
}

// setGuarantee guarantees one worker to account acme and nothing to account guest.
func (td *testDomain) setGuarantee() {
	td.locked(func() {
		td.config.Version++
		td.config.Presets = map[string]model.Preset{"p": {Accounts: map[model.AccountID]model.AccountPolicy{
			"acme":  {Weight: 1, Guarantees: []model.Guarantee{{Domain: domainName, Cells: []model.CellCount{{Level: model.LevelWorker, Count: 1}}}}},
			"guest": {Weight: 1},
		}}}
	})
	time.Sleep(time.Second)
}

// TestGuaranteeIsReclaimed guards against a guaranteed account that waits while others occupy all
// accelerators (promise P1), and against preempted borrowers that lose their work or are never resumed.
func TestGuaranteeIsReclaimed(t *testing.T) {
	for name, f := range map[string]standin.Faults{"checkpoint": {CheckpointMS: 300}, "stuck": {StuckCheckpoints: true}} {
		t.Run(name, func(t *testing.T) {
			withHolder(t, 2, func(t *testing.T, td *testDomain) {
				td.setGuarantee()
				for _, c := range td.clients {
					if err := c.SetFaults(context.Background(), f); err != nil {
						t.Fatal(err)
					}
				}
				var guests []model.JobID
				for range 4 {
					guests = append(guests, td.submitFor(t, "guest", model.JobSpec{
						Tasks: 1, GPUsPerTask: 4, RunTime: time.Minute, Preemptible: true,
					}))
				}
				time.Sleep(30 * time.Second)
				td.requireGauges(t, map[string]string{"gpus_used": "16", "gpus_free": "0", "gpus_borrowed": "16", "jobs_running": "4"})
				submittedAt := time.Now()
				job := td.submitFor(t, "acme", model.JobSpec{Tasks: 2, GPUsPerTask: 4, RunTime: 20 * time.Second})
				time.Sleep(maxReclaimTime)
				td.requireRunning(t, job, 2, submittedAt)
				time.Sleep(3 * time.Minute)
				for _, id := range guests {
					ran, done := td.totalRunTime(t, id)
					if !done || !f.StuckCheckpoints && ran > time.Minute+exchangeTolerance {
						t.Errorf("borrower ran for %v in all, succeeded: %v", ran, done)
					}
				}
			})
		})
	}
}

// requireGauges requires that gauges have the given values.
func (td *testDomain) requireGauges(t *testing.T, want map[string]string) {
	t.Helper()
	gauges := td.current().metrics.Var().(*expvar.Map).Get("gauges").(*expvar.Map)
	for name, v := range want {
		if got := gauges.Get(name); got == nil || got.String() != v {
			t.Errorf("gauge %s is %v instead of %s", name, got, v)
		}
	}
}

// requireRunning requires that all n members of a job have started to run.
func (td *testDomain) requireRunning(t *testing.T, job model.JobID, n int, submittedAt time.Time) {
	t.Helper()
	running := map[int]time.Time{}
	for _, e := range td.history(t, job) {
		if e.State == model.TaskRunning {
			running[e.Task.Index] = e.at
		}
	}
	if len(running) != n {
		t.Fatalf("%d of %d members run %v after the submission", len(running), n, time.Since(submittedAt))
	}
	t.Logf("the gang started %v after its submission", running[0].Sub(submittedAt))
}

// TestDomainOutIsCleared guards against starts in a failure domain that is out of service (promise P3), against jobs
// that run there beyond the grace period, and against work that is lost when the domain is back in service.
func TestDomainOutIsCleared(t *testing.T) {
	withHolder(t, 2, func(t *testing.T, td *testDomain) {
		preemptible := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: 5 * time.Minute, Preemptible: true})
		nonPreemptible := td.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 4, RunTime: 5 * time.Minute})
		time.Sleep(20 * time.Second)
		out := time.Now()
		td.setOut(true)
		submittedOut := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 4, RunTime: time.Second, Urgent: true})
		time.Sleep(maxStop + exchangeTolerance)
		back := time.Now()
		td.setOut(false)
		time.Sleep(6 * time.Minute)
		for job, stopBound := range map[model.JobID]time.Duration{preemptible: maxPreemptibleStop, nonPreemptible: maxStop} {
			td.requireStoppedWhileOut(t, job, out, back, stopBound)
			if ran, done := td.totalRunTime(t, job); !done || ran > 5*time.Minute+exchangeTolerance {
				t.Errorf("job ran for %v in all, succeeded: %v", ran, done)
			}
		}
		td.requireStoppedWhileOut(t, submittedOut, out, back, 0)
		if _, done := td.totalRunTime(t, submittedOut); !done {
			t.Error("job submitted while the failure domain was out did not run after its return")
		}
	})
}

// requireStoppedWhileOut requires that no task of a job starts while the domain is out of service, and that none ends
// later than stopBound after it was taken out.
func (td *testDomain) requireStoppedWhileOut(t *testing.T, job model.JobID, out, back time.Time, stopBound time.Duration) {
	t.Helper()
	running := map[int]bool{}
	for _, e := range td.history(t, job) {
		if !e.at.Before(back) {
			break
		}
		if !e.State.Final() && e.at.Sub(out) > maxStartAfterBlock {
			t.Errorf("%v became %s %v after the failure domain was taken out", e.Task, e.State, e.at.Sub(out))
		}
		if e.State.Final() && stopBound > 0 && e.at.Sub(out) > stopBound {
			t.Errorf("%v ended %v after the failure domain was taken out", e.Task, e.at.Sub(out))
		}
		running[e.Task.Index] = e.State == model.TaskRunning
	}
	for i, isRunning := range running {
		if isRunning {
			t.Errorf("task %d still runs when the failure domain is back in service", i)
		}
	}
}

// TestLostWorkerIsNotRenewed guards against a new holder that renews the lease of a worker whose replies it does not
// receive, so that a second attempt of a job runs while the first one still does (promise P2).
func TestLostWorkerIsNotRenewed(t *testing.T) {
	withHolder(t, 2, func(t *testing.T, td *testDomain) {
		job := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(5 * time.Second)
		first := td.history(t, job)[0].worker
		if err := td.clients[first].SetFaults(context.Background(), standin.Faults{LoseAnswers: true}); err != nil {
			t.Fatal(err)
		}
		td.locked(func() { td.current().disconnected = true })
		td.elect(true)
		time.Sleep(time.Minute)
		stopped := td.firstStateAt(t, first, job, model.TaskStopped)
		again := false
		for _, e := range td.history(t, job) {
			if e.worker == first {
				continue
			}
			again = true
			if stopped.IsZero() || !e.at.After(stopped) {
				t.Fatalf("second attempt became %s at %v, the first stopped at %v", e.State, e.at.Sub(td.startedAt), stopped.Sub(td.startedAt))
			}
		}
		if !again {
			t.Fatal("the job did not start again")
		}
	})
}

// TestMessagesOfOtherEpochsAreIgnored guards against a scheduler that stops running gangs because it applies reports
// and losses of workers that the workers service sent under another epoch.
func TestMessagesOfOtherEpochsAreIgnored(t *testing.T) {
	withHolder(t, 2, func(t *testing.T, td *testDomain) {
		td.elect(true)
		time.Sleep(10 * time.Second)
		job := td.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 8, RunTime: time.Minute})
		time.Sleep(5 * time.Second)
		h := td.current()
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
		for _, e := range td.history(t, job) {
			if e.State == model.TaskStopped || e.Task.Attempt > 1 {
				t.Fatalf("%v became %s", e.Task, e.State)
			}
		}
	})
}

// TestOutageHolderKeepsGangs guards against a holder that cannot read the log and stops running gangs, because no
// worker reports the record of their job.
func TestOutageHolderKeepsGangs(t *testing.T) {
	withHolder(t, 2, func(t *testing.T, td *testDomain) {
		job := td.mustSubmit(t, model.JobSpec{Tasks: 4, GPUsPerTask: 4, RunTime: time.Minute})
		time.Sleep(5 * time.Second)
		td.locked(func() { td.storeDown, td.current().disconnected = true, true })
		td.elect(false)
		time.Sleep(2 * time.Minute)
		succeeded := 0
		for _, e := range td.history(t, job) {
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

// TestLateReplayQueuesJobs guards against accepted jobs that wait until the next change of the holder, because the
// holder could not read the log when it took over and ignores a later replay.
func TestLateReplayQueuesJobs(t *testing.T) {
	withHolder(t, 1, func(t *testing.T, td *testDomain) {
		running := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Minute})
		time.Sleep(time.Second)
		queued := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: 10 * time.Second})
		td.locked(func() { td.storeDown, td.current().disconnected = true, true })
		td.elect(false)
		time.Sleep(20 * time.Second)
		td.locked(func() { td.storeDown = false })
		for range 2 {
			td.sealLog()
		}
		time.Sleep(2 * time.Minute)
		for _, job := range []model.JobID{running, queued} {
			if _, done := td.totalRunTime(t, job); !done || td.history(t, job)[0].Task.Attempt != 1 {
				t.Errorf("job %s did not succeed in its first attempt", job)
			}
		}
	})
}
