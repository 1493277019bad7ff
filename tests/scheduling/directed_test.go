package scheduling

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	standin "github.com/verbenaflow/verbenaflow/standins/worker"
)

// maxUrgentWait bounds the time from the submission of urgent work to its start.
const maxUrgentWait = 2100 * time.Millisecond

// withHolder runs f in virtual time with a domain of n workers and one holder.
func withHolder(t *testing.T, n int, f func(t *testing.T, td *testDomain)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		td := newTestDomain(n)
		defer td.close()
		td.elect(true)
		time.Sleep(time.Second)
		f(t, td)
	})
}

func (td *testDomain) mustSubmit(t *testing.T, spec model.JobSpec) model.JobID {
	t.Helper()
	spec.Account = "acme"
	m, err := td.current().call(message.JobSubmit{Spec: spec})
	if err != nil {
		t.Fatal(err)
	}
	return m.(message.JobReply).Job.ID
}

// firstStateAt returns the time at which a worker first recorded a state of any task of a job, or zero.
func (td *testDomain) firstStateAt(t *testing.T, id model.WorkerID, job model.JobID, s model.TaskState) time.Time {
	t.Helper()
	h, err := td.clients[id].History(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range h.Entries {
		if e.Task.Job == job && e.State == s {
			return td.startedAt.Add(e.At)
		}
	}
	return time.Time{}
}

// TestOthersStopBeforeTheLostMember guards against gang members that still run when the lease of a lost worker has
// expired and its member has stopped (promise P2).
func TestOthersStopBeforeTheLostMember(t *testing.T) {
	withHolder(t, 2, func(t *testing.T, td *testDomain) {
		job := td.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(5 * time.Second)
		td.locked(func() { td.unreachable["w0"] = true })
		time.Sleep(20 * time.Second)
		lost, other := td.firstStateAt(t, "w0", job, model.TaskStopped), td.firstStateAt(t, "w1", job, model.TaskStopped)
		if lost.IsZero() || other.IsZero() || !other.Before(lost) {
			t.Fatalf("lost member stopped at %v, the other at %v", lost, other)
		}
	})
}

// TestUrgentWorkPreemptsInTime guards against urgent work that starts late because the scheduler waits for a long timer
// or for a checkpoint that never completes.
func TestUrgentWorkPreemptsInTime(t *testing.T) {
	for name, f := range map[string]standin.Faults{
		"checkpoint": {CheckpointMS: 300}, "stuck": {StuckCheckpoints: true},
	} {
		t.Run(name, func(t *testing.T) {
			withHolder(t, 1, func(t *testing.T, td *testDomain) {
				if err := td.clients["w0"].SetFaults(context.Background(), f); err != nil {
					t.Fatal(err)
				}
				low := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Minute, Preemptible: true})
				time.Sleep(30 * time.Second)
				submittedAt := time.Now()
				urgent := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Second, Urgent: true})
				time.Sleep(10 * time.Second)
				started := td.firstStateAt(t, "w0", urgent, model.TaskRunning)
				if started.IsZero() || started.Sub(submittedAt) > maxUrgentWait {
					t.Fatalf("urgent work started %v after its submission", started.Sub(submittedAt))
				}
				if f.StuckCheckpoints && started.Sub(submittedAt) < time.Second {
					t.Fatalf("checkpoint was cut short after %v", started.Sub(submittedAt))
				}
				t.Logf("urgent work started after %v", started.Sub(submittedAt))
				time.Sleep(45 * time.Second)
				_, err := td.current().call(message.JobStatus{Job: low})
				done := !td.firstStateAt(t, "w0", low, model.TaskSucceeded).IsZero()
				if resumed := f.CheckpointMS > 0; err != nil || done != resumed {
					t.Fatalf("job with checkpointed progress has succeeded: %v, error %v", done, err)
				}
			})
		})
	}
}

// TestUrgentGangPreemptsInTime guards against an urgent gang that starts late because it waits for the checkpoints of
// several victims one after the other, both outside and within the guarantee of its account (promise P1).
func TestUrgentGangPreemptsInTime(t *testing.T) {
	for _, guaranteed := range []bool{false, true} {
		t.Run(fmt.Sprint("guaranteed=", guaranteed), func(t *testing.T) {
			withHolder(t, 2, func(t *testing.T, td *testDomain) {
				victims := model.AccountID("acme")
				if guaranteed {
					td.setGuarantee()
					victims = "guest"
				}
				for _, c := range td.clients {
					if err := c.SetFaults(context.Background(), standin.Faults{StuckCheckpoints: true}); err != nil {
						t.Fatal(err)
					}
				}
				for range 4 {
					td.submitFor(t, victims, model.JobSpec{Tasks: 2, GPUsPerTask: 2, RunTime: time.Hour, Preemptible: true})
				}
				time.Sleep(10 * time.Second)
				td.requireGauges(t, map[string]string{"gpus_free": "0", "jobs_running": "4"})
				submittedAt := time.Now()
				urgent := td.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 4, RunTime: time.Minute, Urgent: true})
				time.Sleep(maxUrgentWait)
				td.requireRunning(t, urgent, 2, submittedAt)
			})
		})
	}
}

// TestLongQueueStartsAtOnce guards against jobs that wait for the next event although there are free accelerators,
// because one round of the planner tries at most 96 jobs.
func TestLongQueueStartsAtOnce(t *testing.T) {
	withHolder(t, 13, func(t *testing.T, td *testDomain) {
		td.setOut(true)
		time.Sleep(time.Second)
		var jobs []model.JobID
		for range 100 {
			jobs = append(jobs, td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 1, RunTime: time.Hour}))
		}
		td.setOut(false)
		time.Sleep(2 * time.Second)
		var first, last time.Time
		for _, job := range jobs {
			h := td.history(t, job)
			if len(h) == 0 {
				t.Fatalf("job %s did not start", job)
			}
			if first.IsZero() || h[0].at.Before(first) {
				first = h[0].at
			}
			if h[0].at.After(last) {
				last = h[0].at
			}
		}
		if d := last.Sub(first); d > 100*time.Millisecond { // The next event is a confirmation after 500 ms.
			t.Fatalf("the starts were spread over %v", d)
		}
	})
}

// TestGangWithoutAccelerators guards against jobs without accelerators that never start, because the planner
// does not know the cores of the workers, or that occupy accelerators.
func TestGangWithoutAccelerators(t *testing.T) {
	withHolder(t, 2, func(t *testing.T, td *testDomain) {
		td.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(5 * time.Second)
		// Half of the 30 cores of a worker are available to tasks without accelerators.
		job := td.mustSubmit(t, model.JobSpec{Tasks: 20, CoresPerTask: 1, RunTime: 10 * time.Second})
		time.Sleep(20 * time.Second)
		succeeded := map[model.WorkerID]int{}
		for _, e := range td.history(t, job) {
			if e.GPUs != 0 || e.Task.Attempt != 1 {
				t.Errorf("%v became %s on accelerators %b", e.Task, e.State, e.GPUs)
			}
			if e.State == model.TaskSucceeded {
				succeeded[e.worker]++
			}
		}
		if succeeded["w0"]+succeeded["w1"] != 20 || max(succeeded["w0"], succeeded["w1"]) > 15 {
			t.Errorf("tasks that succeeded: %v", succeeded)
		}
		m, err := td.current().call(message.JobStatus{Job: job})
		if err != nil || m.(message.JobReply).Job.State != model.JobSucceeded {
			t.Errorf("job %+v, error %v", m, err)
		}
	})
}

// TestWaitingStartExpires guards against a start that was permitted when it was sent, but reaches its worker after the
// configuration has become stale (promise P3).
func TestWaitingStartExpires(t *testing.T) {
	withHolder(t, 1, func(t *testing.T, td *testDomain) {
		// The first job causes an exchange just before the worker is cut off, so that the worker is not lost meanwhile.
		td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 4, RunTime: time.Minute})
		time.Sleep(100 * time.Millisecond)
		td.locked(func() { td.unreachable["w0"] = true })
		job := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 4, RunTime: time.Second})
		td.locked(func() { td.configStale = true })
		time.Sleep(2200 * time.Millisecond)
		td.locked(func() { clear(td.unreachable) })
		time.Sleep(20 * time.Second)
		if at := td.firstStateAt(t, "w0", job, model.TaskHeld); !at.IsZero() {
			t.Fatalf("task was held %v after the start of the test", at.Sub(td.startedAt))
		}
		td.locked(func() { td.configStale = false })
		time.Sleep(20 * time.Second)
		if td.firstStateAt(t, "w0", job, model.TaskSucceeded).IsZero() {
			t.Fatal("job did not run once the configuration was confirmed again")
		}
	})
}

// TestNewHolderWaitsForUnseenTasks guards against a second attempt of a job while a task of the first one
// still runs on a worker that the new holder cannot reach (promise P2).
func TestNewHolderWaitsForUnseenTasks(t *testing.T) {
	withHolder(t, 2, func(t *testing.T, td *testDomain) {
		job := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(4 * time.Second)
		td.locked(func() { td.unreachable["w0"], td.current().disconnected = true, true })
		td.elect(true)
		time.Sleep(30 * time.Second)
		first, second := td.firstStateAt(t, "w0", job, model.TaskStopped), td.firstStateAt(t, "w1", job, model.TaskHeld)
		if first.IsZero() || second.IsZero() || second.Before(first) {
			t.Fatalf("first attempt stopped at %v, second was held at %v", first, second)
		}
	})
}

// TestRestartedWorkerEndsItsGangs guards against a gang that continues to run although one of its workers was restarted
// and has lost its member (promise P2).
func TestRestartedWorkerEndsItsGangs(t *testing.T) {
	withHolder(t, 2, func(t *testing.T, td *testDomain) {
		job := td.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(4 * time.Second)
		fresh := newTestDomain(1)
		defer fresh.close()
		td.locked(func() { td.clients["w0"] = fresh.clients["w0"] })
		restarted := time.Now()
		time.Sleep(20 * time.Second)
		stopped := td.firstStateAt(t, "w1", job, model.TaskStopped)
		if stopped.IsZero() || stopped.Sub(restarted) > maxPartialGangTime {
			t.Fatalf("the other member stopped %v after the restart", stopped.Sub(restarted))
		}
	})
}
