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

// urgentWithin is the time in which urgent work starts.
const urgentWithin = 2100 * time.Millisecond

// inWorld runs f with one holder and n workers in virtual time.
func inWorld(t *testing.T, n int, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(n)
		defer w.close()
		w.elect(true)
		time.Sleep(time.Second)
		f(t, w)
	})
}

func (w *world) mustSubmit(t *testing.T, spec model.JobSpec) model.JobID {
	t.Helper()
	spec.Account = "acme"
	m, err := w.current().call(message.JobSubmit{Spec: spec})
	if err != nil {
		t.Fatal(err)
	}
	return m.(message.JobReply).Job.ID
}

// first returns the time at which a worker first recorded a state of any task of a job; zero if never.
func (w *world) first(t *testing.T, id model.WorkerID, job model.JobID, s model.TaskState) time.Time {
	t.Helper()
	h, err := w.clients[id].History(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range h.Entries {
		if e.Task.Job == job && e.State == s {
			return w.base.Add(e.At)
		}
	}
	return time.Time{}
}

// TestOthersStopBeforeTheLostMember guards against members that work on after the lease of a lost one has
// lapsed (P2).
func TestOthersStopBeforeTheLostMember(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		job := w.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(5 * time.Second)
		w.locked(func() { w.cut["w0"] = true })
		time.Sleep(20 * time.Second)
		lost, other := w.first(t, "w0", job, model.TaskStopped), w.first(t, "w1", job, model.TaskStopped)
		if lost.IsZero() || other.IsZero() || !other.Before(lost) {
			t.Fatalf("lost member stopped at %v, the other at %v", lost, other)
		}
	})
}

// TestUrgentWorkPreemptsInTime guards against urgent work that waits for a slow timer or a checkpoint
// without an end.
func TestUrgentWorkPreemptsInTime(t *testing.T) {
	for name, f := range map[string]standin.Faults{
		"checkpoint": {CheckpointMS: 300}, "stuck": {StuckCheckpoints: true},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 1, func(t *testing.T, w *world) {
				if err := w.clients["w0"].SetFaults(context.Background(), f); err != nil {
					t.Fatal(err)
				}
				low := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Minute, Preemptible: true})
				time.Sleep(30 * time.Second)
				asked := time.Now()
				urgent := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Second, Urgent: true})
				time.Sleep(10 * time.Second)
				started := w.first(t, "w0", urgent, model.TaskRunning)
				if started.IsZero() || started.Sub(asked) > urgentWithin {
					t.Fatalf("urgent work started %v after its submission", started.Sub(asked))
				}
				if f.StuckCheckpoints && started.Sub(asked) < time.Second {
					t.Fatalf("checkpoint was cut short after %v", started.Sub(asked))
				}
				t.Logf("urgent work started after %v", started.Sub(asked))
				time.Sleep(45 * time.Second)
				_, err := w.current().call(message.JobStatus{Job: low})
				done := !w.first(t, "w0", low, model.TaskSucceeded).IsZero()
				if resumed := f.CheckpointMS > 0; err != nil || done != resumed {
					t.Fatalf("job with checkpointed progress has succeeded: %v, error %v", done, err)
				}
			})
		})
	}
}

// TestUrgentGangPreemptsInTime guards against an urgent gang that waits for the checkpoints of several victims,
// both outside and within the guarantee of its account (P1).
func TestUrgentGangPreemptsInTime(t *testing.T) {
	for _, guaranteed := range []bool{false, true} {
		t.Run(fmt.Sprint("guaranteed=", guaranteed), func(t *testing.T) {
			inWorld(t, 2, func(t *testing.T, w *world) {
				victims := model.AccountID("acme")
				if guaranteed {
					w.guarantee()
					victims = "guest"
				}
				for _, c := range w.clients {
					if err := c.SetFaults(context.Background(), standin.Faults{StuckCheckpoints: true}); err != nil {
						t.Fatal(err)
					}
				}
				for range 4 {
					w.submitFor(t, victims, model.JobSpec{Tasks: 2, GPUsPerTask: 2, RunTime: time.Hour, Preemptible: true})
				}
				time.Sleep(10 * time.Second)
				w.requireGauges(t, map[string]string{"gpus_free": "0", "jobs_running": "4"})
				asked := time.Now()
				urgent := w.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 4, RunTime: time.Minute, Urgent: true})
				time.Sleep(urgentWithin)
				w.requireRunning(t, urgent, 2, asked)
			})
		})
	}
}

// TestLongQueueStartsAtOnce guards against jobs that wait for the next event because one round of the planner
// tries at most 96.
func TestLongQueueStartsAtOnce(t *testing.T) {
	inWorld(t, 13, func(t *testing.T, w *world) {
		w.setOut(true)
		time.Sleep(time.Second)
		var jobs []model.JobID
		for range 100 {
			jobs = append(jobs, w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 1, RunTime: time.Hour}))
		}
		w.setOut(false)
		time.Sleep(2 * time.Second)
		var first, last time.Time
		for _, job := range jobs {
			h := w.history(t, job)
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
// does not learn the cores of the workers, or that occupy accelerators.
func TestGangWithoutAccelerators(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(5 * time.Second)
		// Half of the 30 cores of a worker are for tasks without accelerators.
		job := w.mustSubmit(t, model.JobSpec{Tasks: 20, CoresPerTask: 1, RunTime: 10 * time.Second})
		time.Sleep(20 * time.Second)
		succeeded := map[model.WorkerID]int{}
		for _, e := range w.history(t, job) {
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
		m, err := w.current().call(message.JobStatus{Job: job})
		if err != nil || m.(message.JobReply).Job.State != model.JobSucceeded {
			t.Errorf("job %+v, error %v", m, err)
		}
	})
}

// TestWaitingStartExpires guards against a start that was allowed and reaches its worker after the
// configuration has become stale (P3).
func TestWaitingStartExpires(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		// The first job makes the worker answer just before it is cut off, so that it is not lost meanwhile.
		w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 4, RunTime: time.Minute})
		time.Sleep(100 * time.Millisecond)
		w.locked(func() { w.cut["w0"] = true })
		job := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 4, RunTime: time.Second})
		w.locked(func() { w.stale = true })
		time.Sleep(2200 * time.Millisecond)
		w.locked(func() { clear(w.cut) })
		time.Sleep(20 * time.Second)
		if at := w.first(t, "w0", job, model.TaskHeld); !at.IsZero() {
			t.Fatalf("task was held %v after the start of the test", at.Sub(w.base))
		}
		w.locked(func() { w.stale = false })
		time.Sleep(20 * time.Second)
		if w.first(t, "w0", job, model.TaskSucceeded).IsZero() {
			t.Fatal("job did not run once the configuration was confirmed again")
		}
	})
}

// TestNewHolderWaitsForUnseenTasks guards against a second attempt of a job while a task of the first one
// still runs on a worker that the new holder has not reached (P2).
func TestNewHolderWaitsForUnseenTasks(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		job := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(4 * time.Second)
		w.locked(func() { w.cut["w0"], w.current().cut = true, true })
		w.elect(true)
		time.Sleep(30 * time.Second)
		first, second := w.first(t, "w0", job, model.TaskStopped), w.first(t, "w1", job, model.TaskHeld)
		if first.IsZero() || second.IsZero() || second.Before(first) {
			t.Fatalf("first attempt stopped at %v, second was held at %v", first, second)
		}
	})
}

// TestRestartedWorkerEndsItsGangs guards against a gang that runs on although a restarted worker has
// forgotten its member (P2).
func TestRestartedWorkerEndsItsGangs(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		job := w.mustSubmit(t, model.JobSpec{Tasks: 2, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(4 * time.Second)
		fresh := newWorld(1)
		defer fresh.close()
		w.locked(func() { w.clients["w0"] = fresh.clients["w0"] })
		restarted := time.Now()
		time.Sleep(20 * time.Second)
		stopped := w.first(t, "w1", job, model.TaskStopped)
		if stopped.IsZero() || stopped.Sub(restarted) > partialBound {
			t.Fatalf("the other member stopped %v after the restart", stopped.Sub(restarted))
		}
	})
}
