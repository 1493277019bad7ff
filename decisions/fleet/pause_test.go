package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestPauseOfHolder guards against runs that are stopped as stalled after a pause of the holder's process, or after a
// time without answers: the holder has not seen their progress, which does not mean that there was none. A run whose
// report shows no progress for as long is stopped.
func TestPauseOfHolder(t *testing.T) {
	f, now := newTestScheduler(t)
	run := f.jobs["j"].unitAt(0).run
	report := func(percent int) {
		var rows []workload.RunningTask
		for i := range 2 {
			rows = append(rows, workload.RunningTask{Task: workload.TaskRef{Job: "j", Index: i}, Run: run, Percent: percent})
		}
		f.Report(now, "e", now, Poll{Executor: "e", Address: "e"}, workload.Report{Clock: now.Sub(time.Unix(1_700_000_000, 0)) + time.Second, StartedAtMS: 1, Running: rows})
	}
	stops := func() int {
		f.SetLeaseAge(now, 0)
		actions, _ := f.Plan(now)
		n := 0
		for _, a := range actions {
			if _, ok := a.(Stop); ok {
				n++
			}
		}
		return n
	}
	now = now.Add(time.Second)
	report(10)
	stops()
	for _, pause := range []time.Duration{5 * time.Second, 30 * time.Second} {
		now = now.Add(pause)
		if n := stops(); n != 0 {
			t.Errorf("%d runs stopped after a pause of %v, before any report", n, pause)
		}
		report(10 + int(pause.Seconds()))
		if n := stops(); n != 0 {
			t.Errorf("%d runs stopped after a pause of %v although their report shows progress", n, pause)
		}
	}
	now = now.Add(30 * time.Second)
	report(40)
	if n := stops(); n != 2 {
		t.Errorf("%d runs stopped, want both after 30 s without progress", n)
	}
}
