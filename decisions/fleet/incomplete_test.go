package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestIncompleteReport guards against a report with a row that cannot be used and that counts as if nothing ran there: the
// task would start a second time. The run that the report does not show is stopped, and the task starts again only when the
// time for the stop has passed.
func TestIncompleteReport(t *testing.T) {
	f, now := newTestScheduler(t)
	u := f.jobs["j"].unitAt(0)
	run, clock := u.run, 2*time.Second
	poll := Poll{Executor: "e", Address: "e"}
	for i := range 2 {
		f.Started(now, "e", workload.TaskRef{Job: "j", Index: i}, run, time.Second)
	}
	report := func() {
		now, clock = now.Add(100*time.Millisecond), clock+100*time.Millisecond
		f.Report(now, "e", now, poll, workload.Report{
			Clock: clock, StartedAtMS: 1, Running: []workload.RunningTask{{Task: workload.TaskRef{Job: "j"}, Run: run}}, Incomplete: true,
		})
	}
	f.settings.MaxStopTime = 400 * time.Millisecond
	for range 5 {
		report()
		if len(u.taskRuns) != 2 || u.run != run {
			t.Fatalf("%d runs of number %d after incomplete reports, want 2 of %d", len(u.taskRuns), u.run, run)
		}
	}
	actions, _ := f.Plan(now)
	if s := find[Stop](t, actions); s.Task.Index != 1 || s.Reason != StopUnlisted {
		t.Errorf("%+v, want a stop of task 1 for %s", s, StopUnlisted)
	}
	f.StopAnswered(now, "e", workload.TaskRef{Job: "j", Index: 1}, run, true, clock)
	for range 4 {
		report()
		if len(u.taskRuns) != 2 {
			t.Fatalf("%d runs %v after the stop, want 2", len(u.taskRuns), now.Sub(u.taskRuns[0].stopAckedAt))
		}
	}
	report()
	if len(u.taskRuns) != 1 || !u.ending {
		t.Errorf("%d runs, ending %v, after the time for the stop, want 1 of an ending unit", len(u.taskRuns), u.ending)
	}
}
