package gang_test

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/decisions/gang"
)

func TestMain(m *testing.M) {
	testseed.SetFlags("300")
	os.Exit(m.Run())
}

const (
	lease            = gang.WorkerLeaseDuration
	lostAfter        = 3 * time.Second
	exchangeInterval = time.Second
	// partialRunBound bounds the time in which a member runs although another has stopped: one exchange for the report,
	// one for the stop and the lease if the stop cannot be delivered.
	partialRunBound = 2*exchangeInterval + lease
	// partialReleaseBound bounds the time in which a reachable member runs although another is still held: the release
	// timeout, one exchange for the stop and two for a worker that was disconnected.
	partialReleaseBound = gang.ReleaseTimeout + 3*exchangeInterval
	timeStep            = 250 * time.Millisecond
)

// workerTask is the actual state of one member on its worker, with the messages in transit.
type workerTask struct {
	state             model.TaskState
	wasHeld           bool
	holdEnds          time.Time
	leaseEnds         time.Time
	commands          []gang.ActionKind
	reports           []model.TaskState
	lastExchange      time.Time
	disconnectedSince time.Time
	lost              bool
	// refusesHold and checkpointStuck are injected faults: the worker refuses the hold, or a checkpoint never completes.
	refusesHold, checkpointStuck bool
}

func (w *workerTask) disconnected() bool { return !w.disconnectedSince.IsZero() }

func (w *workerTask) active() bool { return w.state != "" && !w.state.Final() }

// simulation holds a gang, the actual state of its tasks and the simulated time.
type simulation struct {
	t                   *rapid.T
	now                 time.Time
	gang                *gang.Gang
	tasks               []*workerTask
	partialRunSince     time.Time
	partialReleaseSince time.Time
}

func drawRare(t *rapid.T, label string) bool { return rapid.IntRange(0, 7).Draw(t, label) == 5 }

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: time.Unix(1000, 0)}
	n := rapid.IntRange(1, 5).Draw(t, "members")
	for range n {
		sim.tasks = append(sim.tasks, &workerTask{
			lastExchange: sim.now, leaseEnds: sim.now.Add(lease),
			refusesHold: drawRare(t, "refuses"), checkpointStuck: drawRare(t, "stuck"),
		})
	}
	g, actions := gang.New(n, 0, sim.now)
	sim.gang = g
	sim.send(actions)
	return sim
}

func (sim *simulation) send(actions []gang.Action) {
	for _, a := range actions {
		if task := sim.tasks[a.Index]; !task.lost {
			task.commands = append(task.commands, a.Kind)
		}
	}
}

func (sim *simulation) setState(task *workerTask, s model.TaskState) {
	task.state = s
	task.reports = append(task.reports, s)
}

// runExchange runs one exchange between the holder and a connected worker: commands in one direction, reports in the
// other. Without withReport the reports are delayed until a later exchange. The first exchange after the worker was
// lost does not renew the lease and reports all tasks.
func (sim *simulation) runExchange(i int, twice, withReport bool) {
	task := sim.tasks[i]
	if task.disconnected() {
		return
	}
	if task.lost && !withReport {
		return
	}
	if task.lost {
		task.reports = append(task.reports, task.state)
	} else {
		task.leaseEnds = sim.now.Add(lease)
	}
	task.lastExchange, task.lost = sim.now, false
	for _, k := range task.commands {
		sim.execute(i, k)
		if twice {
			sim.execute(i, k)
		}
	}
	task.commands = nil
	if !withReport {
		return
	}
	reports := task.reports
	task.reports = nil
	for _, s := range reports {
		if s == "" {
			continue
		}
		sim.send(sim.gang.ApplyReport(i, model.TaskStatus{State: s}, sim.now))
		if twice {
			sim.send(sim.gang.ApplyReport(i, model.TaskStatus{State: s}, sim.now))
		}
	}
}

func (sim *simulation) execute(i int, k gang.ActionKind) {
	task := sim.tasks[i]
	switch {
	case k == gang.Hold && task.refusesHold:
		sim.send(sim.gang.ApplyRefusal(i, k, sim.now))
	case k == gang.Hold && task.state == "":
		task.wasHeld, task.holdEnds = true, sim.now.Add(gang.HoldDuration)
		sim.setState(task, model.TaskHeld)
	case k == gang.Release && task.state == model.TaskHeld:
		for j, other := range sim.tasks {
			if !other.wasHeld {
				sim.t.Fatalf("member %d runs although member %d was never held", i, j)
			}
		}
		sim.setState(task, model.TaskRunning)
	case k == gang.Release && !task.active():
		sim.send(sim.gang.ApplyRefusal(i, k, sim.now))
	case k == gang.Checkpoint && task.checkpointStuck:
	case k == gang.Stop && task.state == "", (k == gang.Stop || k == gang.Checkpoint) && task.active():
		sim.setState(task, model.TaskStopped)
	}
}

func (sim *simulation) advance() {
	sim.now = sim.now.Add(timeStep)
	for i, task := range sim.tasks {
		holdExpired := task.state == model.TaskHeld && !sim.now.Before(task.holdEnds)
		if task.active() && (holdExpired || !sim.now.Before(task.leaseEnds)) {
			sim.setState(task, model.TaskStopped)
		}
		if task.disconnected() && !task.lost && sim.now.Sub(task.lastExchange) >= lostAfter {
			task.lost, task.commands = true, nil
			sim.send(sim.gang.ApplyWorkerLoss(i, task.leaseEnds, sim.now))
		}
		if sim.now.Sub(task.lastExchange) >= exchangeInterval {
			sim.runExchange(i, false, true)
		}
	}
	if d := sim.gang.Deadline(); !d.IsZero() && !sim.now.Before(d) {
		sim.send(sim.gang.ApplyDeadline(sim.now))
	}
}

// checkInvariants fails if the gang has ended while a member may still run, or if it runs partially for too long.
func (sim *simulation) checkInvariants() {
	running, stopped, reachableRunning, held := false, false, false, false
	for i, task := range sim.tasks {
		running = running || task.state == model.TaskRunning
		reachableRunning = reachableRunning || task.state == model.TaskRunning && !task.disconnected()
		held = held || task.state == model.TaskHeld
		stopped = stopped || task.state.Final() && task.state != model.TaskSucceeded
		if sim.gang.Phase() == gang.Ended && task.active() {
			sim.t.Fatalf("gang has ended but member %d is %s", i, task.state)
		}
	}
	sim.checkBound(running && stopped, &sim.partialRunSince, partialRunBound, "without a member that has stopped")
	sim.checkBound(reachableRunning && held, &sim.partialReleaseSince, partialReleaseBound, "without a member that is held")
}

func (sim *simulation) checkBound(partial bool, since *time.Time, limit time.Duration, what string) {
	switch {
	case !partial:
		*since = time.Time{}
	case since.IsZero():
		*since = sim.now
	case sim.now.Sub(*since) > limit:
		sim.t.Fatalf("gang runs %s for %v", what, sim.now.Sub(*since))
	}
}

// TestNoPartialRun guards against a member that keeps running although another cannot run any more, against a gang that
// ends while a member may still run, and against a gang that never ends (promise P2). It draws disconnected workers,
// lost and repeated messages, refusals, failures, cancellations and preemptions.
func TestNoPartialRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(sim.tasks)-1).Draw(t, "member") }
		finish := func(s model.TaskState) func(*rapid.T) {
			return func(t *rapid.T) {
				if task := sim.tasks[pick(t)]; task.state == model.TaskRunning {
					sim.setState(task, s)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(*rapid.T) { sim.advance() },
			"wait": func(*rapid.T) {
				for range 6 {
					sim.advance()
					sim.checkInvariants()
				}
			},
			"serve": func(t *rapid.T) {
				sim.runExchange(pick(t), rapid.Bool().Draw(t, "twice"), rapid.Bool().Draw(t, "report"))
			},
			"serveAll": func(t *rapid.T) {
				for i := range sim.tasks {
					sim.runExchange(i, false, true)
				}
			},
			"cut": func(t *rapid.T) {
				if task := sim.tasks[pick(t)]; !task.disconnected() {
					task.disconnectedSince = sim.now
				}
			},
			"heal":    func(t *rapid.T) { sim.tasks[pick(t)].disconnectedSince = time.Time{} },
			"fail":    finish(model.TaskFailed),
			"succeed": finish(model.TaskSucceeded),
			// The worker is lost and reconnects before its lease expires.
			"blink": func(t *rapid.T) {
				task := sim.tasks[pick(t)]
				task.disconnectedSince = sim.now
				for range 16 {
					sim.advance()
					sim.checkInvariants()
				}
				task.disconnectedSince = time.Time{}
			},
			// A start command is lost, for example because it has expired.
			"drop": func(t *rapid.T) {
				task := sim.tasks[pick(t)]
				if n := len(task.commands); n > 0 && (task.commands[n-1] == gang.Hold || task.commands[n-1] == gang.Release) {
					task.commands = task.commands[:n-1]
				}
			},
			"cancel": func(t *rapid.T) {
				if drawRare(t, "cancel") {
					sim.send(sim.gang.Cancel(gang.Canceled, sim.now))
				}
			},
			"preempt": func(t *rapid.T) {
				if drawRare(t, "preempt") {
					sim.send(sim.gang.Preempt(2*time.Second, sim.now))
				}
			},
			"": func(*rapid.T) { sim.checkInvariants() },
		})
		sim.settleAndCheck(t)
	})
}

// settleAndCheck reconnects all workers and requires that the gang either ends or runs with all members.
func (sim *simulation) settleAndCheck(t *rapid.T) {
	for _, task := range sim.tasks {
		task.disconnectedSince = time.Time{}
	}
	for range 80 {
		sim.advance()
		sim.checkInvariants()
	}
	for i, task := range sim.tasks {
		whole := task.state == model.TaskRunning || task.state == model.TaskSucceeded
		if p := sim.gang.Phase(); p != gang.Ended && (p != gang.Running || !whole) {
			t.Fatalf("gang stays in phase %s with member %d %q", sim.gang.Phase(), i, task.state)
		}
	}
}

// TestProgressIsThatOfTheSlowestMember guards against a restart from a checkpoint that a member has not written,
// because another member had progressed further when the gang was preempted.
func TestProgressIsThatOfTheSlowestMember(t *testing.T) {
	now := time.Unix(0, 0)
	g := gang.Adopt([]model.TaskStatus{{State: model.TaskRunning, Progress: 0.2}, {State: model.TaskRunning, Progress: 0.2}})
	g.Preempt(time.Second, now)
	if a := g.Preempt(time.Minute, now); len(a) > 0 {
		t.Fatalf("actions %v of a second preemption", a)
	}
	g.ApplyReport(0, model.TaskStatus{State: model.TaskStopped, Progress: 0.7}, now)
	if a := g.ApplyDeadline(now.Add(time.Second)); len(a) != 1 || a[0] != (gang.Action{Index: 1, Kind: gang.Stop}) {
		t.Fatalf("actions %v at the end of the checkpoint bound", a)
	}
	g.ApplyReport(1, model.TaskStatus{State: model.TaskStopped, Progress: 0.2}, now.Add(time.Second))
	if g.Phase() != gang.Ended || g.Cause() != gang.Preempted || g.Progress() != 0.2 {
		t.Fatalf("phase %s, cause %s, progress %v", g.Phase(), g.Cause(), g.Progress())
	}
}

// TestReleaseIsBounded guards against a gang that keeps running although the release did not reach all members.
func TestReleaseIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	g, _ := gang.New(2, 0, now)
	g.ApplyReport(0, model.TaskStatus{State: model.TaskHeld}, now)
	if a := g.ApplyReport(1, model.TaskStatus{State: model.TaskHeld}, now); len(a) != 2 || a[0].Kind != gang.Release {
		t.Fatalf("actions %v when all members are held", a)
	}
	g.ApplyReport(0, model.TaskStatus{State: model.TaskRunning}, now)
	if a := g.ApplyDeadline(now.Add(gang.ReleaseTimeout)); len(a) != 2 || a[0].Kind != gang.Stop || g.Cause() != gang.ReleaseTimedOut {
		t.Fatalf("actions %v, cause %s at the end of the release timeout", a, g.Cause())
	}
}

// TestFailureWhilePreempted guards against a task failure that is not counted because the gang was being preempted, so
// that the job keeps restarting on a worker on which every task fails.
func TestFailureWhilePreempted(t *testing.T) {
	now := time.Now()
	g := gang.Adopt([]model.TaskStatus{{State: model.TaskRunning}, {State: model.TaskRunning}})
	g.Preempt(time.Second, now)
	g.ApplyReport(0, model.TaskStatus{State: model.TaskFailed}, now)
	g.ApplyReport(1, model.TaskStatus{State: model.TaskStopped}, now)
	if g.Phase() != gang.Ended || g.Cause() != gang.Preempted || !g.Failed() {
		t.Fatalf("phase %s, cause %s, failed %v", g.Phase(), g.Cause(), g.Failed())
	}
}
