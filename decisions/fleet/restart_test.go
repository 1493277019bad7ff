package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// restartSilently ends the process of an executor without a sign and starts the next one after a pause.
func (sim *simulation) restartSilently(id workload.ExecutorID, pause time.Duration, during func()) {
	sim.crashSilently(id)
	sim.advance(pause / 2)
	if during != nil {
		during()
	}
	sim.advance(pause - pause/2)
	sim.restart(id)
}

// TestDeadlineOfEarlierProcess guards against a task that runs twice: a start with a deadline on the clock of the earlier
// process reaches the executor's next process, whose clock begins anew, and extends its lease to the longest one.
func TestDeadlineOfEarlierProcess(t *testing.T) {
	for _, next := range []bool{false, true} {
		sim := startSimulation(t, 1, 3)
		sim.submit(oneStep("first", "batch", workload.Step{Count: 24, Need: smallTask}), behavior{runTime: 500 * time.Millisecond})
		sim.advance(30 * time.Second)
		id := sim.executorIDs[0]
		sim.restartSilently(id, 300*time.Millisecond, func() {
			sim.submit(oneStep("j", "batch", workload.Step{Count: 12, Need: smallTask, Estimate: 20 * time.Second}), behavior{runTime: 20 * time.Second})
		})
		sim.advance(1500 * time.Millisecond)
		if len(sim.executors[id].runs) == 0 {
			t.Fatal("nothing runs on the restarted executor")
		}
		if next {
			sim.newHolder()
			sim.advance(100 * time.Millisecond)
		}
		sim.executors[id].unreachable = true
		sim.advance(9 * time.Second)
		sim.executors[id].unreachable = false
		sim.advance(60 * time.Second)
		sim.expectDone()
	}
}

// TestUnansweredStartOfEarlierProcess guards against a task that runs twice: its start reaches the next process of the
// executor, which grants it the longest lease, and a cut keeps the holder from any answer of this process.
func TestUnansweredStartOfEarlierProcess(t *testing.T) {
	sim := startSimulation(t, 1, 3)
	sim.advance(30 * time.Second)
	id := sim.executorIDs[0]
	sim.restartSilently(id, 300*time.Millisecond, func() {
		sim.submit(oneStep("j", "batch", workload.Step{Count: 12, Need: smallTask, Estimate: 20 * time.Second}), behavior{runTime: 20 * time.Second})
	})
	for range 500 {
		if sim.advance(time.Millisecond); len(sim.executors[id].runs) > 0 {
			break
		}
	}
	sim.executors[id].unreachable = true
	if len(sim.executors[id].runs) == 0 {
		t.Fatal("no start has reached the next process")
	}
	sim.advance(9500 * time.Millisecond)
	sim.executors[id].unreachable = false
	sim.advance(60 * time.Second)
	sim.expectDone()
}

// TestLossAfterRestart guards against work that waits longer than it must for an executor that has restarted, or that a new
// holder has taken over, and then stays away: the longest lease counts only for the time after the first report of the process.
func TestLossAfterRestart(t *testing.T) {
	for name, c := range map[string]struct {
		begin  func(sim *simulation, id workload.ExecutorID)
		after  time.Duration
		within time.Duration
	}{
		"soon after a restart":          {func(sim *simulation, id workload.ExecutorID) { sim.restartSilently(id, 300*time.Millisecond, nil) }, time.Second, 13 * time.Second},
		"long after a restart":          {func(sim *simulation, id workload.ExecutorID) { sim.restartSilently(id, 300*time.Millisecond, nil) }, 8 * time.Second, 8 * time.Second},
		"soon after a change of holder": {func(sim *simulation, _ workload.ExecutorID) { sim.newHolder() }, time.Second, 10 * time.Second},
		"long after a change of holder": {func(sim *simulation, _ workload.ExecutorID) { sim.newHolder() }, 5 * time.Second, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 1, 3)
			sim.submit(oneStep("j", "batch", workload.Step{Count: 24, Need: smallTask, Estimate: 30 * time.Second}), behavior{runTime: 30 * time.Second})
			sim.advance(2 * time.Second)
			id := sim.executorIDs[0]
			c.begin(sim, id)
			sim.advance(c.after)
			if len(sim.executors[id].runs) == 0 {
				t.Fatal("nothing runs on the executor")
			}
			sim.crash(id)
			sim.advance(c.within)
			if n := len(sim.holder.scheduler.executors); n != 2 {
				t.Errorf("%d executors %v after one has stayed away, want 2: its runs have ended", n, c.within)
			}
			sim.advance(120 * time.Second)
			sim.expectDone()
		})
	}
}

// TestClockOfNextProcess guards against an answer of a later process that is taken for one of the present process: it shows a
// higher clock, and the ends and the lease of the earlier process would be applied to the later one.
func TestClockOfNextProcess(t *testing.T) {
	f, now := newTestScheduler(t)
	e := f.executors["e"]
	run := f.jobs["j"].unitAt(0).run
	now = now.Add(time.Second)
	f.Started(now, "e", workload.TaskRef{Job: "j"}, run, 2*time.Second)
	if !e.verified {
		t.Fatal("a reading of the present process makes the executor unverified")
	}
	f.StopAnswered(now, "e", workload.TaskRef{Job: "j"}, run, false, time.Hour)
	if e.verified || e.clock != 2*time.Second {
		t.Errorf("verified %v with clock %v, want an executor that has to report first", e.verified, e.clock)
	}
}

// TestLagOfNextProcess guards against a lease that is counted too short: an answer of a later process shows a clock that is a
// little behind the expected one, as a late answer of the present process would.
func TestLagOfNextProcess(t *testing.T) {
	f, now := newTestScheduler(t)
	e := f.executors["e"]
	before := e.leaseExpiry()
	now = now.Add(4 * time.Second)
	const lag = 2 * time.Second
	f.Started(now, "e", workload.TaskRef{Job: "j"}, f.jobs["j"].unitAt(0).run, 5*time.Second-lag)
	if d := e.leaseExpiry().Sub(before); d < lag {
		t.Errorf("the lease ends %v later, want at least %v", d, lag)
	}
}

// TestReconciliationOutlastsLongestLease guards against a new holder that starts a task again while a start of its predecessor
// runs in a later process of an executor that does not answer.
func TestReconciliationOutlastsLongestLease(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := New(Settings{Lease: 2 * time.Second, LongestLease: longestLease, HolderLease: HolderLease, RenewalGrace: HolderLease}, 2, 1, true, now)
	if d := f.reconcileBy.Sub(now); d < longestLease+maxAnswerDelay {
		t.Errorf("the leases of earlier holders count as expired after %v, want %v at least", d, longestLease+maxAnswerDelay)
	}
}

// TestCallInFlightAtRestart guards against a lease that is counted too short: a call that was sent before the restart was noticed
// reaches the next process after its first answer, and extends its lease once more.
func TestCallInFlightAtRestart(t *testing.T) {
	f, now := newTestScheduler(t)
	e := f.executors["e"]
	now = now.Add(time.Second)
	f.Report(now, "e", now, Poll{Executor: "e", Address: "e"}, workload.Report{Clock: time.Hour, StartedAtMS: 1})
	actions, _ := f.Plan(now)
	find[Poll](t, actions)
	latestArrival := now.Add(maxAnswerDelay)
	now = now.Add(500 * time.Millisecond)
	f.StopAnswered(now, "e", workload.TaskRef{Job: "j"}, f.jobs["j"].unitAt(0).run, true, time.Second)
	if e.clock != time.Second {
		t.Fatalf("clock %v, want that of the next process", e.clock)
	}
	if d := e.leaseExpiry().Sub(latestArrival); d < f.settings.LongestLease {
		t.Errorf("the lease ends %v after the latest arrival of the call, want %v at least", d, f.settings.LongestLease)
	}
}

// TestAcknowledgementOfEarlierProcess guards against ends that are never acknowledged, and are reported again with each poll: the
// acknowledgement of a poll that was sent to the earlier process was counted as one of the next process.
func TestAcknowledgementOfEarlierProcess(t *testing.T) {
	f, now := newTestScheduler(t)
	run := f.jobs["j"].unitAt(0).run
	rows := []workload.RunningTask{{Task: workload.TaskRef{Job: "j"}, Run: run}, {Task: workload.TaskRef{Job: "j", Index: 1}, Run: run}}
	now = now.Add(time.Second)
	f.Report(now, "e", now, Poll{Executor: "e", Address: "e"}, workload.Report{Clock: 2 * time.Second, StartedAtMS: 1, Running: rows, Ended: []workload.EndedRun{
		{Number: 57, Task: workload.TaskRef{Job: "gone"}, Run: 1, Outcome: workload.Done},
	}})
	now = now.Add(time.Second)
	actions, _ := f.Plan(now)
	poll := find[Poll](t, actions)
	if poll.AckedThrough != 57 {
		t.Fatalf("acknowledged through %d, want 57", poll.AckedThrough)
	}
	ends := []workload.EndedRun{{Number: 1, Task: workload.TaskRef{Job: "j"}, Run: run, Outcome: workload.Done}, {Number: 2, Task: workload.TaskRef{Job: "j", Index: 1}, Run: run, Outcome: workload.Done}}
	now = now.Add(time.Second)
	f.Report(now, "e", now, poll, workload.Report{Clock: time.Hour, StartedAtMS: 2, Ended: ends})
	f.MarkRecorded(f.UnrecordedProgress(10))
	actions, _ = f.Plan(now.Add(time.Second))
	if a := find[Poll](t, actions).AckedThrough; a != 2 {
		t.Errorf("acknowledged through %d, want 2", a)
	}
}

// TestRenewalAfterQuery guards against a lease that is never renewed on an executor that closes its connections after each
// answer: a poll on a new connection is a query only, and the next one renews the lease on any connection.
func TestRenewalAfterQuery(t *testing.T) {
	f, now := newTestScheduler(t)
	run := f.jobs["j"].unitAt(0).run
	rows := []workload.RunningTask{{Task: workload.TaskRef{Job: "j"}, Run: run}, {Task: workload.TaskRef{Job: "j", Index: 1}, Run: run}}
	f.Report(now, "e", now, Poll{Executor: "e", Address: "e"}, workload.Report{Clock: time.Second, StartedAtMS: 1, Running: rows})
	for _, queryOnly := range []bool{false, true, false, true} {
		now = now.Add(time.Second)
		actions, _ := f.Plan(now)
		poll := find[Poll](t, actions)
		if poll.Deadline == 0 {
			t.Fatal("the poll does not renew the lease")
		}
		if f.executors["e"].queriedOnly != poll.AnyConnection {
			t.Errorf("poll on any connection: %v, want %v", poll.AnyConnection, !poll.AnyConnection)
		}
		if queryOnly {
			poll.QueryOnly, poll.Deadline, poll.AckedThrough = true, 0, 0
		}
		f.Report(now, "e", now, poll, workload.Report{Clock: now.Sub(time.Unix(1_700_000_000, 0)) + time.Second, StartedAtMS: 1, Running: rows})
		if f.executors["e"].queriedOnly != queryOnly {
			t.Errorf("queried only: %v, want %v", !queryOnly, queryOnly)
		}
	}
}

// TestLateStartOfEarlierProcess guards against a lease that is counted too short: a start that was meant for the earlier process is
// not answered, and the next one carries it out seconds later with a deadline far ahead of its clock.
func TestLateStartOfEarlierProcess(t *testing.T) {
	f, now, first := newStartingGang(t)
	e := f.executors["e"]
	sentAt := now
	f.Report(now, "e", now, Poll{Executor: "e", Address: "e"}, workload.Report{Clock: time.Second, StartedAtMS: 1})
	now = now.Add(200 * time.Millisecond)
	f.Report(now, "e", now, Poll{Executor: "e", Address: "e"}, workload.Report{Clock: time.Hour, StartedAtMS: 2})
	now = now.Add(150 * time.Millisecond)
	f.StartFailed(now, "e", first.Task, first.Run, CallUnansweredProven, 0)
	if d := e.leaseExpiry().Sub(sentAt.Add(maxExecutionDelay)); d < f.settings.LongestLease {
		t.Errorf("the lease ends %v after the start may be carried out, want %v at least", d, f.settings.LongestLease)
	}
}

// TestUnansweredStartsOfLostExecutor guards against work that waits longer than it must: its starts got no answer from an executor
// that has ended. If they went out on a connection that the executor had answered, they wait for its usual lease, and if
// they got no connection, they start elsewhere at once.
func TestUnansweredStartsOfLostExecutor(t *testing.T) {
	for result, within := range map[CallFailure]time.Duration{
		CallUnansweredProven: 7 * time.Second,
		CallNotConnected:     2 * time.Second,
		CallUnanswered:       maxExecutionDelay + 8*time.Second,
	} {
		f, now := newTestScheduler(t)
		f.AddJob(now, oneStep("s", "batch", workload.Step{Count: 1, Need: smallTask}), 3, nil)
		f.Plan(now)
		f.MarkRecorded(f.UnrecordedProgress(10))
		actions, _ := f.Plan(now)
		first := find[Start](t, actions)
		begin := now
		f.StartFailed(now, "e", first.Task, first.Run, result, 0)
		for ; len(f.jobs["s"].unitAt(0).taskRuns) > 0 && now.Sub(begin) < time.Minute; now = now.Add(100 * time.Millisecond) {
			f.SetLeaseAge(now, 0)
			actions, _ := f.Plan(now)
			for _, a := range actions {
				switch a := a.(type) {
				case Start:
					f.StartFailed(now, a.Executor, a.Task, a.Run, result, 0)
				case Stop:
					f.StopAnswered(now, a.Executor, a.Task, a.Run, false, 0)
				case Poll:
					f.PollFailed(now, a.Executor, CallUnansweredProven)
				}
			}
			if now.Equal(begin) {
				f.PollFailed(now, "e", CallUnansweredProven)
			}
		}
		if d := now.Sub(begin); d > within {
			t.Errorf("failure %d: the task waits for %v, want %v at most", result, d, within)
		}
	}
}
