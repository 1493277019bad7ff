package worker

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/worker"
)

const (
	// failAfter is how long a task runs before it fails by Faults.FailTasks.
	failAfter = 10 * time.Millisecond
	// maxEndedTasks limits the ended tasks that full reports still list, so that a new holder learns of gang members
	// that have succeeded.
	maxEndedTasks = 64
)

// task is one task. status is its actual state, reported the state in reports, which lags behind by
// Faults.ReportDelayMS.
type task struct {
	status   model.TaskStatus
	reported model.TaskStatus
	runTime  time.Duration
	// changedInReport is the number of the first report that contains reported.
	changedInReport uint64
	// version counts the state changes; reportedVersion is the version of reported. A delayed update with a lower
	// version is ignored, so that it does not replace a later state.
	version, reportedVersion uint64
	// resumed is the time at which the task last started or resumed running.
	resumed time.Time
	// cancelTimer cancels the timer of the present state: the time limit of the hold, or the end of the run.
	cancelTimer func()
}

type (
	holdDue       struct{ task model.TaskID }
	runDue        struct{ task model.TaskID }
	failDue       struct{ task model.TaskID }
	checkpointDue struct{ task model.TaskID }
	reportDue     struct {
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
func (reportDue) Kind() string { return "task_show_due" }

// handleTaskTimer processes a timer of a task.
func (s *Worker) handleTaskTimer(c *kernel.Context, m kernel.Message) {
	switch m := m.(type) {
	case holdDue:
		s.transition(c, m.task, model.TaskHeld, model.TaskStopped)
	case runDue:
		s.transition(c, m.task, model.TaskRunning, model.TaskSucceeded)
	case failDue:
		s.transition(c, m.task, model.TaskRunning, model.TaskFailed)
	case checkpointDue:
		s.finishCheckpoint(c, m.task)
	case reportDue:
		s.updateReported(m)
	}
}

// execute executes a command. It returns the reason if the command is refused, and "" otherwise.
func (s *Worker) execute(c *kernel.Context, cmd worker.Command) string {
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
			// The task is remembered as stopped, so that a hold that arrives later has no effect.
			s.tasks[cmd.Task] = &task{status: model.TaskStatus{Task: cmd.Task}}
			s.setState(c, cmd.Task, model.TaskStopped)
		case live && cmd.Op == worker.OpStop:
			s.setState(c, cmd.Task, model.TaskStopped)
		case live && !s.faults.StuckCheckpoints:
			c.SendAfter(time.Duration(s.faults.CheckpointMS)*time.Millisecond, checkpointDue{task: cmd.Task})
		}
	default:
		return "unknown operation"
	}
	return ""
}

// hold adds a task with its accelerators reserved. The task stops unless it is released in time. A repeated hold has no
// effect.
func (s *Worker) hold(c *kernel.Context, cmd worker.Command) string {
	if _, known := s.tasks[cmd.Task]; known {
		return ""
	}
	if s.occupied()&cmd.GPUs != 0 {
		return "accelerators are occupied"
	}
	s.tasks[cmd.Task] = &task{
		status:  model.TaskStatus{Task: cmd.Task, GPUs: cmd.GPUs, Progress: cmd.Progress},
		runTime: time.Duration(cmd.RunMS) * time.Millisecond,
	}
	if cmd.Record != nil {
		s.records[cmd.Task.Job] = cmd.Record
	}
	s.setState(c, cmd.Task, model.TaskHeld)
	s.tasks[cmd.Task].cancelTimer = c.SendAfter(time.Duration(cmd.HoldMS)*time.Millisecond, holdDue{task: cmd.Task})
	return ""
}

// run starts or resumes a held task. A repeated release has no effect.
func (s *Worker) run(c *kernel.Context, t *task) {
	if t.status.State != model.TaskHeld {
		return
	}
	s.setState(c, t.status.Task, model.TaskRunning)
	t.resumed = time.Now()
	if s.faults.FailTasks {
		t.cancelTimer = c.SendAfter(failAfter, failDue{task: t.status.Task})
		return
	}
	t.cancelTimer = c.SendAfter(time.Duration(float64(t.runTime)*(1-t.status.Progress)), runDue{task: t.status.Task})
}

// throttle pauses a running task, which is then held until it is released or the lease expires.
func (s *Worker) throttle(c *kernel.Context, t *task) {
	if t.status.State != model.TaskRunning {
		return
	}
	s.saveProgress(t)
	s.setState(c, t.status.Task, model.TaskHeld)
}

func (s *Worker) finishCheckpoint(c *kernel.Context, id model.TaskID) {
	t, known := s.tasks[id]
	if !known || t.status.State.Final() {
		return
	}
	if t.status.State == model.TaskRunning {
		s.saveProgress(t)
	}
	s.setState(c, id, model.TaskStopped)
}

func (s *Worker) saveProgress(t *task) {
	if t.runTime > 0 {
		done := float64(time.Since(t.resumed)) / float64(t.runTime)
		t.status.Progress = min(1, t.status.Progress+done)
	}
}

// occupied returns the accelerators of all tasks that have not ended.
func (s *Worker) occupied() model.GPUMask {
	var m model.GPUMask
	for _, t := range s.tasks {
		if !t.status.State.Final() {
			m |= t.status.GPUs
		}
	}
	return m
}

// transition changes the state of a task that is in state from.
func (s *Worker) transition(c *kernel.Context, id model.TaskID, from, to model.TaskState) {
	if t, ok := s.tasks[id]; ok && t.status.State == from {
		s.setState(c, id, to)
	}
}

// setState changes the actual state of a task, records it and lets reports contain it after Faults.ReportDelayMS.
func (s *Worker) setState(c *kernel.Context, id model.TaskID, to model.TaskState) {
	t := s.tasks[id]
	t.status.State = to
	t.version++
	if t.cancelTimer != nil {
		t.cancelTimer()
	}
	s.recordState(t)
	if to.Final() {
		s.addEnded(id)
		s.dropRecord(id.Job)
	}
	update := reportDue{status: t.status, version: t.version}
	if s.faults.ReportDelayMS > 0 {
		c.SendAfter(time.Duration(s.faults.ReportDelayMS)*time.Millisecond, update)
		return
	}
	s.updateReported(update)
}

// updateReported sets the state in reports, unless a later one was reported already.
func (s *Worker) updateReported(d reportDue) {
	if t, ok := s.tasks[d.status.Task]; ok && d.version > t.reportedVersion {
		t.reported, t.reportedVersion, t.changedInReport = d.status, d.version, s.reportNumber+1
	}
}

// addEnded adds a task to the ended ones and forgets the oldest beyond maxEndedTasks.
func (s *Worker) addEnded(id model.TaskID) {
	s.ended = append(s.ended, id)
	if len(s.ended) > maxEndedTasks {
		delete(s.tasks, s.ended[0])
		s.ended = s.ended[1:]
	}
}

// dropRecord deletes the record of a job if all its tasks on this worker have ended.
func (s *Worker) dropRecord(job model.JobID) {
	for id, t := range s.tasks {
		if id.Job == job && !t.status.State.Final() {
			return
		}
	}
	delete(s.records, job)
}

func (s *Worker) stopAll(c *kernel.Context) {
	for id, t := range s.tasks {
		if !t.status.State.Final() {
			s.setState(c, id, model.TaskStopped)
		}
	}
}
