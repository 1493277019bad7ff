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
	testseed.Fix("300")
	os.Exit(m.Run())
}

const (
	lease     = gang.Lease
	lostAfter = 3 * time.Second
	exchange  = time.Second
	// partialBound is one exchange for the report, one for the stop and a lease if the stop cannot be delivered.
	partialBound = 2*exchange + lease
	// unevenBound is the release timeout, an exchange for the stop and two for a worker that was cut off.
	unevenBound = gang.ReleaseTimeout + 3*exchange
	step        = 250 * time.Millisecond
)

// trueTask is what one worker truly does.
type trueTask struct {
	state      model.TaskState
	wasHeld    bool
	holdEnds   time.Time
	leaseEnds  time.Time
	commands   []gang.ActionKind
	reports    []model.TaskState
	lastServed time.Time
	cutSince   time.Time
	lost       bool
	// refuses and stuck are faults: the hold is refused; a checkpoint never completes.
	refuses, stuck bool
}

func (w *trueTask) cut() bool { return !w.cutSince.IsZero() }

func (w *trueTask) live() bool { return w.state != "" && !w.state.Final() }

// world holds a gang, its true tasks and the time.
type world struct {
	t            *rapid.T
	now          time.Time
	gang         *gang.Gang
	tasks        []*trueTask
	partialSince time.Time
	unevenSince  time.Time
}

func rare(t *rapid.T, label string) bool { return rapid.IntRange(0, 7).Draw(t, label) == 5 }

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0)}
	n := rapid.IntRange(1, 5).Draw(t, "members")
	for range n {
		w.tasks = append(w.tasks, &trueTask{
			lastServed: w.now, leaseEnds: w.now.Add(lease),
			refuses: rare(t, "refuses"), stuck: rare(t, "stuck"),
		})
	}
	g, actions := gang.New(n, 0, w.now)
	w.gang = g
	w.send(actions)
	return w
}

func (w *world) send(actions []gang.Action) {
	for _, a := range actions {
		if task := w.tasks[a.Index]; !task.lost {
			task.commands = append(task.commands, a.Kind)
		}
	}
}

func (w *world) set(task *trueTask, s model.TaskState) {
	task.state = s
	task.reports = append(task.reports, s)
}

// serve runs one exchange of a connected worker; the report may stay behind until the next one. The first
// exchange with a lost worker does not renew the lease and reports all tasks.
func (w *world) serve(i int, twice, withReport bool) {
	task := w.tasks[i]
	if task.cut() {
		return
	}
	if task.lost && !withReport {
		return
	}
	if task.lost {
		task.reports = append(task.reports, task.state)
	} else {
		task.leaseEnds = w.now.Add(lease)
	}
	task.lastServed, task.lost = w.now, false
	for _, k := range task.commands {
		w.execute(i, k)
		if twice {
			w.execute(i, k)
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
		w.send(w.gang.Observe(i, model.TaskStatus{State: s}, w.now))
		if twice {
			w.send(w.gang.Observe(i, model.TaskStatus{State: s}, w.now))
		}
	}
}

func (w *world) execute(i int, k gang.ActionKind) {
	task := w.tasks[i]
	switch {
	case k == gang.Hold && task.refuses:
		w.send(w.gang.Refuse(i, k, w.now))
	case k == gang.Hold && task.state == "":
		task.wasHeld, task.holdEnds = true, w.now.Add(gang.HoldTime)
		w.set(task, model.TaskHeld)
	case k == gang.Release && task.state == model.TaskHeld:
		for j, other := range w.tasks {
			if !other.wasHeld {
				w.t.Fatalf("member %d runs although member %d was never held", i, j)
			}
		}
		w.set(task, model.TaskRunning)
	case k == gang.Release && !task.live():
		w.send(w.gang.Refuse(i, k, w.now))
	case k == gang.Checkpoint && task.stuck:
	case k == gang.Stop && task.state == "", (k == gang.Stop || k == gang.Checkpoint) && task.live():
		w.set(task, model.TaskStopped)
	}
}

func (w *world) advance() {
	w.now = w.now.Add(step)
	for i, task := range w.tasks {
		holdLapsed := task.state == model.TaskHeld && !w.now.Before(task.holdEnds)
		if task.live() && (holdLapsed || !w.now.Before(task.leaseEnds)) {
			w.set(task, model.TaskStopped)
		}
		if task.cut() && !task.lost && w.now.Sub(task.lastServed) >= lostAfter {
			task.lost, task.commands = true, nil
			w.send(w.gang.Lose(i, task.leaseEnds, w.now))
		}
		if w.now.Sub(task.lastServed) >= exchange {
			w.serve(i, false, true)
		}
	}
	if d := w.gang.Deadline(); !d.IsZero() && !w.now.Before(d) {
		w.send(w.gang.Tick(w.now))
	}
}

// check is the oracle.
func (w *world) check() {
	running, dead, reachable, held := false, false, false, false
	for i, task := range w.tasks {
		running = running || task.state == model.TaskRunning
		reachable = reachable || task.state == model.TaskRunning && !task.cut()
		held = held || task.state == model.TaskHeld
		dead = dead || task.state.Final() && task.state != model.TaskSucceeded
		if w.gang.Phase() == gang.Ended && task.live() {
			w.t.Fatalf("gang has ended but member %d is %s", i, task.state)
		}
	}
	w.bound(running && dead, &w.partialSince, partialBound, "without a member that has stopped")
	w.bound(reachable && held, &w.unevenSince, unevenBound, "without a member that is held")
}

func (w *world) bound(partial bool, since *time.Time, limit time.Duration, what string) {
	switch {
	case !partial:
		*since = time.Time{}
	case since.IsZero():
		*since = w.now
	case w.now.Sub(*since) > limit:
		w.t.Fatalf("gang runs %s for %v", what, w.now.Sub(*since))
	}
}

// TestNoPartialRun guards against a member that works while another never can, against a gang that is
// given up while a member may still run, and against a gang that never ends (P2).
func TestNoPartialRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(w.tasks)-1).Draw(t, "member") }
		finish := func(s model.TaskState) func(*rapid.T) {
			return func(t *rapid.T) {
				if task := w.tasks[pick(t)]; task.state == model.TaskRunning {
					w.set(task, s)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(*rapid.T) { w.advance() },
			"wait": func(*rapid.T) {
				for range 6 {
					w.advance()
					w.check()
				}
			},
			"serve": func(t *rapid.T) {
				w.serve(pick(t), rapid.Bool().Draw(t, "twice"), rapid.Bool().Draw(t, "report"))
			},
			"serveAll": func(t *rapid.T) {
				for i := range w.tasks {
					w.serve(i, false, true)
				}
			},
			"cut": func(t *rapid.T) {
				if task := w.tasks[pick(t)]; !task.cut() {
					task.cutSince = w.now
				}
			},
			"heal":    func(t *rapid.T) { w.tasks[pick(t)].cutSince = time.Time{} },
			"fail":    finish(model.TaskFailed),
			"succeed": finish(model.TaskSucceeded),
			// The worker is lost and answers again before its lease lapses.
			"blink": func(t *rapid.T) {
				task := w.tasks[pick(t)]
				task.cutSince = w.now
				for range 16 {
					w.advance()
					w.check()
				}
				task.cutSince = time.Time{}
			},
			// The link drops a start command, for example because it has expired.
			"drop": func(t *rapid.T) {
				task := w.tasks[pick(t)]
				if n := len(task.commands); n > 0 && (task.commands[n-1] == gang.Hold || task.commands[n-1] == gang.Release) {
					task.commands = task.commands[:n-1]
				}
			},
			"cancel": func(t *rapid.T) {
				if rare(t, "cancel") {
					w.send(w.gang.Cancel(gang.Canceled, w.now))
				}
			},
			"preempt": func(t *rapid.T) {
				if rare(t, "preempt") {
					w.send(w.gang.Preempt(2*time.Second, w.now))
				}
			},
			"": func(*rapid.T) { w.check() },
		})
		w.settle(t)
	})
}

// settle heals the network and requires that the gang either ends or runs whole.
func (w *world) settle(t *rapid.T) {
	for _, task := range w.tasks {
		task.cutSince = time.Time{}
	}
	for range 80 {
		w.advance()
		w.check()
	}
	for i, task := range w.tasks {
		whole := task.state == model.TaskRunning || task.state == model.TaskSucceeded
		if p := w.gang.Phase(); p != gang.Ended && (p != gang.Running || !whole) {
			t.Fatalf("gang stays in phase %s with member %d %q", w.gang.Phase(), i, task.state)
		}
	}
}

// TestProgressIsThatOfTheSlowestMember guards against a restart from a checkpoint that a member never wrote.
func TestProgressIsThatOfTheSlowestMember(t *testing.T) {
	now := time.Unix(0, 0)
	g := gang.Adopt([]model.TaskStatus{{State: model.TaskRunning, Progress: 0.2}, {State: model.TaskRunning, Progress: 0.2}})
	g.Preempt(time.Second, now)
	if a := g.Preempt(time.Minute, now); len(a) > 0 {
		t.Fatalf("actions %v of a second preemption", a)
	}
	g.Observe(0, model.TaskStatus{State: model.TaskStopped, Progress: 0.7}, now)
	if a := g.Tick(now.Add(time.Second)); len(a) != 1 || a[0] != (gang.Action{Index: 1, Kind: gang.Stop}) {
		t.Fatalf("actions %v at the end of the checkpoint bound", a)
	}
	g.Observe(1, model.TaskStatus{State: model.TaskStopped, Progress: 0.2}, now.Add(time.Second))
	if g.Phase() != gang.Ended || g.Cause() != gang.Preempted || g.Progress() != 0.2 {
		t.Fatalf("phase %s, cause %s, progress %v", g.Phase(), g.Cause(), g.Progress())
	}
}

// TestReleaseIsBounded guards against a gang that runs on although a release did not arrive.
func TestReleaseIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	g, _ := gang.New(2, 0, now)
	g.Observe(0, model.TaskStatus{State: model.TaskHeld}, now)
	if a := g.Observe(1, model.TaskStatus{State: model.TaskHeld}, now); len(a) != 2 || a[0].Kind != gang.Release {
		t.Fatalf("actions %v when all members are held", a)
	}
	g.Observe(0, model.TaskStatus{State: model.TaskRunning}, now)
	if a := g.Tick(now.Add(gang.ReleaseTimeout)); len(a) != 2 || a[0].Kind != gang.Stop || g.Cause() != gang.ReleaseLate {
		t.Fatalf("actions %v, cause %s at the end of the release timeout", a, g.Cause())
	}
}

// TestFailureWhilePreempted guards against a failed task that is not counted because its gang was being
// preempted, so that the job starts again and again on a worker that fails every task.
func TestFailureWhilePreempted(t *testing.T) {
	now := time.Now()
	g := gang.Adopt([]model.TaskStatus{{State: model.TaskRunning}, {State: model.TaskRunning}})
	g.Preempt(time.Second, now)
	g.Observe(0, model.TaskStatus{State: model.TaskFailed}, now)
	g.Observe(1, model.TaskStatus{State: model.TaskStopped}, now)
	if g.Phase() != gang.Ended || g.Cause() != gang.Preempted || !g.Failed() {
		t.Fatalf("phase %s, cause %s, failed %v", g.Phase(), g.Cause(), g.Failed())
	}
}
