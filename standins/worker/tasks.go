package worker

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/worker"
)

const (
	// failAfter is the run time of a task that fails.
	failAfter = 10 * time.Millisecond
	// maxEnded bounds the ended tasks that full reports still list, so that a new holder learns of members
	// that have succeeded.
	maxEnded = 64
)

// task is one task. status is its true state and shown the state that reports contain.
type task struct {
	status  model.TaskStatus
	shown   model.TaskStatus
	work    time.Duration
	changed uint64
	// version counts the state changes and shownVersion is that of shown, so that a lagging report never
	// hides a later one.
	version, shownVersion uint64
	// resumed is the time at which the task last started to run.
	resumed time.Time
	// timer cancels the end of the run.
	timer func()
}

type (
	holdDue       struct{ task model.TaskID }
	runDue        struct{ task model.TaskID }
	failDue       struct{ task model.TaskID }
	checkpointDue struct{ task model.TaskID }
	showDue       struct {
		status  model.TaskStatus
		version uint64
	}
)

// Kind implements kernel.Message.
func (holdDue) Kind() string { return "task_hold_due" }

// Kind implements kernel.Message.
func (runDue) Kind() string { return "task_run_due" }

// Kind implements kernel.Message.
func (failDue) Kind() string { return "task_fail_due" }

// Kind implements kernel.Message.
func (checkpointDue) Kind() string { return "task_checkpoint_due" }

// Kind implements kernel.Message.
func (showDue) Kind() string { return "task_show_due" }

// taskDue handles the timers of tasks.
func (s *State) taskDue(c *kernel.Context, m kernel.Message) {
	switch m := m.(type) {
	case holdDue:
		s.move(c, m.task, model.TaskHeld, model.TaskStopped)
	case runDue:
		s.move(c, m.task, model.TaskRunning, model.TaskSucceeded)
	case failDue:
		s.move(c, m.task, model.TaskRunning, model.TaskFailed)
	case checkpointDue:
		s.checkpointed(c, m.task)
	case showDue:
		s.show(m)
	}
}

// execute runs one command and returns why it was refused, or "".
func (s *State) execute(c *kernel.Context, cmd worker.Command) string {
	t, known := s.tasks[cmd.Task]
	live := known && !t.status.State.Final()
	switch cmd.Op {
	case worker.OpHold:
		return s.hold(c, cmd)
	case worker.OpRelease:
		if !live {
			return "task is not held"
		}
		s.run(c, t)
	case worker.OpThrottle:
		if !live {
			return "task does not run"
		}
		s.throttle(c, t)
	case worker.OpCheckpoint, worker.OpStop:
		switch {
		case !known:
			s.tasks[cmd.Task] = &task{status: model.TaskStatus{Task: cmd.Task}}
			s.set(c, cmd.Task, model.TaskStopped)
		case live && cmd.Op == worker.OpStop:
			s.set(c, cmd.Task, model.TaskStopped)
		case live && !s.faults.StuckCheckpoints:
			c.After(time.Duration(s.faults.CheckpointMS)*time.Millisecond, checkpointDue{task: cmd.Task})
		}
	default:
		return "unknown operation"
	}
	return ""
}

func (s *State) hold(c *kernel.Context, cmd worker.Command) string {
	if _, known := s.tasks[cmd.Task]; known {
		return ""
	}
	if s.occupied()&cmd.GPUs != 0 {
		return "accelerators are occupied"
	}
	s.tasks[cmd.Task] = &task{
		status: model.TaskStatus{Task: cmd.Task, GPUs: cmd.GPUs, Progress: cmd.Progress},
		work:   time.Duration(cmd.RunMS) * time.Millisecond,
	}
	if cmd.Record != nil {
		s.records[cmd.Task.Job] = cmd.Record
	}
	s.set(c, cmd.Task, model.TaskHeld)
	s.tasks[cmd.Task].timer = c.After(time.Duration(cmd.HoldMS)*time.Millisecond, holdDue{task: cmd.Task})
	return ""
}

// run starts or resumes a held task. A repeated release has no effect.
func (s *State) run(c *kernel.Context, t *task) {
	if t.status.State != model.TaskHeld {
		return
	}
	s.set(c, t.status.Task, model.TaskRunning)
	t.resumed = time.Now()
	if s.faults.FailTasks {
		t.timer = c.After(failAfter, failDue{task: t.status.Task})
		return
	}
	t.timer = c.After(time.Duration(float64(t.work)*(1-t.status.Progress)), runDue{task: t.status.Task})
}

// throttle pauses a running task. It stays held until its release or the end of the lease.
func (s *State) throttle(c *kernel.Context, t *task) {
	if t.status.State != model.TaskRunning {
		return
	}
	s.saveProgress(t)
	s.set(c, t.status.Task, model.TaskHeld)
}

func (s *State) checkpointed(c *kernel.Context, id model.TaskID) {
	t, known := s.tasks[id]
	if !known || t.status.State.Final() {
		return
	}
	if t.status.State == model.TaskRunning {
		s.saveProgress(t)
	}
	s.set(c, id, model.TaskStopped)
}

func (s *State) saveProgress(t *task) {
	if t.work > 0 {
		done := float64(time.Since(t.resumed)) / float64(t.work)
		t.status.Progress = min(1, t.status.Progress+done)
	}
}

func (s *State) occupied() model.GPUMask {
	var m model.GPUMask
	for _, t := range s.tasks {
		if !t.status.State.Final() {
			m |= t.status.GPUs
		}
	}
	return m
}

func (s *State) move(c *kernel.Context, id model.TaskID, from, to model.TaskState) {
	if t, ok := s.tasks[id]; ok && t.status.State == from {
		s.set(c, id, to)
	}
}

// set changes the true state of a task, records it and reports it after the lag.
func (s *State) set(c *kernel.Context, id model.TaskID, to model.TaskState) {
	t := s.tasks[id]
	t.status.State = to
	t.version++
	if t.timer != nil {
		t.timer()
	}
	s.record(t)
	if to.Final() {
		s.forgetOldest(id)
		s.forgetRecord(id.Job)
	}
	show := showDue{status: t.status, version: t.version}
	if s.faults.LagMS > 0 {
		c.After(time.Duration(s.faults.LagMS)*time.Millisecond, show)
		return
	}
	s.show(show)
}

func (s *State) show(d showDue) {
	if t, ok := s.tasks[d.status.Task]; ok && d.version > t.shownVersion {
		t.shown, t.shownVersion, t.changed = d.status, d.version, s.number+1
	}
}

func (s *State) forgetOldest(id model.TaskID) {
	s.ended = append(s.ended, id)
	if len(s.ended) > maxEnded {
		delete(s.tasks, s.ended[0])
		s.ended = s.ended[1:]
	}
}

// forgetRecord drops the record of a job whose tasks have all ended.
func (s *State) forgetRecord(job model.JobID) {
	for id, t := range s.tasks {
		if id.Job == job && !t.status.State.Final() {
			return
		}
	}
	delete(s.records, job)
}

func (s *State) stopAll(c *kernel.Context) {
	for id, t := range s.tasks {
		if !t.status.State.Final() {
			s.set(c, id, model.TaskStopped)
		}
	}
}
