package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// startsOf returns the starts of a task among actions.
func startsOf(actions []Action, job workload.JobID, index int) []Start {
	var out []Start
	for _, a := range actions {
		if s, ok := a.(Start); ok && s.Task.Job == job && s.Task.Index == index {
			out = append(out, s)
		}
	}
	return out
}

// newStartingGang returns a scheduler that has just sent the starts of gang "g" with two tasks.
func newStartingGang(t *testing.T) (*Scheduler, time.Time, Start) {
	t.Helper()
	f, now := newTestScheduler(t)
	f.AddJob(now, oneStep("g", "batch", workload.Step{Count: 2, Gang: true, Need: smallTask}), 3, nil)
	f.Plan(now)
	f.MarkRecorded(f.UnrecordedProgress(10))
	actions, _ := f.Plan(now)
	s := startsOf(actions, "g", 0)
	if len(s) != 1 {
		t.Fatalf("%d starts, want 1", len(s))
	}
	f.Started(now, "e", workload.TaskRef{Job: "g", Index: 1}, s[0].Run, time.Second)
	return f, now, s[0]
}

// TestStartRepeated guards against a gang that is stopped and placed anew because the answer to one of its starts was
// lost. With half of the answers lost a gang of five would seldom start.
func TestStartRepeated(t *testing.T) {
	f, now, first := newStartingGang(t)
	for attempt := 2; attempt <= maxStartAttempts; attempt++ {
		now = now.Add(300 * time.Millisecond)
		f.StartFailed(now, "e", first.Task, first.Run, CallUnanswered, 0)
		actions, _ := f.Plan(now)
		s := startsOf(actions, "g", 0)
		if len(s) != 1 || s[0].Run != first.Run || s[0].Executor != first.Executor {
			t.Fatalf("attempt %d: %+v, want the start of run %d again", attempt, s, first.Run)
		}
	}
	f.Started(now, "e", first.Task, first.Run, time.Second)
	if u := f.jobs["g"].unitAt(0); u.ending || len(u.taskRuns) != 2 || u.taskRuns[0].state != taskRunning {
		t.Errorf("%+v, want a running gang", u)
	}

	f, now, first = newStartingGang(t)
	for range maxStartAttempts {
		f.StartFailed(now, "e", first.Task, first.Run, CallUnanswered, 0)
		f.Plan(now)
	}
	if u := f.jobs["g"].unitAt(0); !u.ending {
		t.Error("the gang is not given up after the last attempt")
	}
}

// TestRepeatedStartOfEndedRun guards against a task that runs again although it is done: the first start arrived, its
// answer was lost, and the run ended before the start was repeated.
func TestRepeatedStartOfEndedRun(t *testing.T) {
	f, now, first := newStartingGang(t)
	f.StartFailed(now, "e", first.Task, first.Run, CallUnanswered, 0)
	f.Plan(now)
	now = now.Add(300 * time.Millisecond)
	f.StartFailed(now, "e", first.Task, first.Run, CallStaleRun, 2*time.Second)
	f.Plan(now)
	now = now.Add(300 * time.Millisecond)
	f.Report(now, "e", now.Add(-10*time.Millisecond), Poll{Executor: "e", Address: "e"}, workload.Report{Clock: 3 * time.Second, StartedAtMS: 1, Ended: []workload.EndedRun{
		{Number: 1, Task: first.Task, Run: first.Run, Outcome: workload.Done},
		{Number: 2, Task: workload.TaskRef{Job: "g", Index: 1}, Run: first.Run, Outcome: workload.Done},
	}})
	actions, _ := f.Plan(now)
	if s := startsOf(actions, "g", 0); len(s) != 0 || f.jobs["g"].state != workload.StateCompleted {
		t.Errorf("%+v, job %s, want a completed job", s, f.jobs["g"].state)
	}
}

// TestRefusalOfRepeatedStart guards against a task that runs twice: the first start is delayed, the repeated one certainly
// had no effect, and the task is started elsewhere before the first one arrives. Found by TestFleet with seed 65734.
func TestRefusalOfRepeatedStart(t *testing.T) {
	f, now, first := newStartingGang(t)
	f.StartFailed(now, "e", first.Task, first.Run, CallUnanswered, 0)
	f.Plan(now)
	now = now.Add(300 * time.Millisecond)
	f.StartFailed(now, "e", first.Task, first.Run, CallNotExecuted, 0)
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		actions, _ := f.Plan(now)
		if s := startsOf(actions, "g", 0); len(s) != 0 {
			t.Fatalf("%+v while the first start may still arrive", s)
		}
	}
	if n := len(f.jobs["g"].unitAt(0).taskRuns); n == 0 {
		t.Error("the run whose first start may still arrive is not tracked")
	}
}
