package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestStartTimeDecreases guards against an executor that is ignored for good because the clock of its machine was set back
// between two starts: its jobs stayed "running" without a run. It is used again within seconds, also if its start time
// stays the same, and no task runs twice.
func TestStartTimeDecreases(t *testing.T) {
	for _, offsets := range [][]time.Duration{{-2 * time.Second}, {-time.Hour, -2 * time.Hour}, {time.Hour, 0, -time.Minute}} {
		for _, registered := range []bool{true, false} {
			sim := newSimulation(t, 1, 1, 1)
			sim.newHolder()
			sim.advanceRuns()
			id := sim.executorIDs[0]
			e := sim.executors[id]
			sim.submit(oneStep("j", "normal", workload.Step{Count: 3, Need: smallTask}), behavior{runTime: 4 * time.Second})
			sim.submit(oneStep("gang", "normal", workload.Step{Count: 2, Gang: true, Need: smallTask}), behavior{runTime: 4 * time.Second})
			sim.advance(time.Second)
			for _, offset := range offsets {
				sim.crash(id)
				sim.advance(200 * time.Millisecond)
				e.clockOffset = offset
				if registered {
					sim.restart(id)
				} else {
					sim.restartUnregistered(id)
				}
				sim.advance(1400 * time.Millisecond)
			}
			sim.advance(2 * time.Second)
			if len(e.runs) != 5 {
				t.Errorf("offsets %v, registered %v: %d runs 3.4 s after the last start, want 5%s", offsets, registered, len(e.runs), sim.describe("j"))
			}
			sim.advance(30 * time.Second)
			sim.expectDone()
		}
	}
}

// TestEqualStartTime guards against a process with the start time of the one before it that is taken for the same: its ends
// are numbered from the beginning, so that they would be taken for ends that were already processed.
func TestEqualStartTime(t *testing.T) {
	sim := newSimulation(t, 1, 1, 1)
	sim.newHolder()
	sim.advanceRuns()
	id := sim.executorIDs[0]
	e := sim.executors[id]
	born := e.info.StartedAtMS
	sim.submit(oneStep("short", "normal", workload.Step{Count: 4, Need: smallTask}), behavior{runTime: 200 * time.Millisecond})
	sim.submit(oneStep("j", "normal", workload.Step{Count: 3, Need: smallTask}), behavior{runTime: 3 * time.Second})
	sim.advance(1500 * time.Millisecond)
	sim.crash(id)
	sim.restartUnregistered(id)
	e.info.StartedAtMS = born
	sim.advance(30 * time.Second)
	sim.expectDone()
}

// TestLateAnswerOfEarlierProcess guards against a late answer of an earlier process that is taken for that of a new one: its
// runs have ended, and those of the present process go on.
func TestLateAnswerOfEarlierProcess(t *testing.T) {
	f, now := newTestScheduler(t)
	const earlier, present = 1, 2
	poll := Poll{Executor: "e", Address: "e"}
	run := f.jobs["j"].unitAt(0).run
	var rows []workload.RunningTask
	for i := range 2 {
		rows = append(rows, workload.RunningTask{Task: workload.TaskRef{Job: "j", Index: i}, Run: run})
	}
	sent := now.Add(time.Second)
	now = now.Add(2 * time.Second)
	f.Report(now, "e", now, poll, workload.Report{Clock: 100 * time.Millisecond, StartedAtMS: present, Running: rows})
	f.Report(now.Add(time.Second), "e", sent, poll, workload.Report{Clock: 2 * time.Second, StartedAtMS: earlier})
	if e := f.executors["e"]; e.incarnation != present || len(e.taskRuns) != 2 {
		t.Errorf("incarnation %d with %d runs after the late answer, want %d with 2", e.incarnation, len(e.taskRuns), present)
	}
	now = now.Add(2 * time.Second)
	f.Report(now, "e", now, poll, workload.Report{Clock: 100 * time.Millisecond, StartedAtMS: earlier})
	if e := f.executors["e"]; e.incarnation != earlier || len(e.taskRuns) != 0 || !f.eligible(now, e) {
		t.Errorf("incarnation %d with %d runs after an answer to a later poll, want %d, none and an executor in use", e.incarnation, len(e.taskRuns), earlier)
	}
}
