package scheduler

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/gang"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// healthyAfter is the run time after which a job shows that its workers can run tasks.
const healthyAfter = 10 * time.Second

var taskOps = map[gang.ActionKind]message.TaskOp{
	gang.Hold:       message.TaskHold,
	gang.Release:    message.TaskRelease,
	gang.Checkpoint: message.TaskCheckpoint,
	gang.Stop:       message.TaskStop,
}

var actionKinds = map[message.TaskOp]gang.ActionKind{
	message.TaskHold:       gang.Hold,
	message.TaskRelease:    gang.Release,
	message.TaskCheckpoint: gang.Checkpoint,
	message.TaskStop:       gang.Stop,
}

// retryReasons maps the causes after which a gang is started again to their counters.
var retryReasons = map[gang.Cause]failure.RetryReason{
	gang.HoldTimedOut:    failure.RetryGangHoldTimeout,
	gang.ReleaseTimedOut: failure.RetryGangHoldTimeout,
	gang.Refused:         failure.RetryGangRefused,
	gang.MemberFailed:    failure.RetryGangMemberFailed,
	gang.MemberMissing:   failure.RetryGangStart,
	gang.WorkerLost:      failure.RetryWorkerLost,
	gang.Preempted:       failure.RetryPreempted,
	gang.DomainOut:       failure.RetryGangDomainOut,
}

// bind enters a job's placement into the index by worker.
func (s *Service) bind(j *job) {
	for _, slot := range j.Placement {
		if s.onWorker[slot.Worker] == nil {
			s.onWorker[slot.Worker] = make(map[model.JobID]bool)
		}
		s.onWorker[slot.Worker][j.ID] = true
	}
}

func (s *Service) unbind(j *job) {
	for _, slot := range j.Placement {
		delete(s.onWorker[slot.Worker], j.ID)
	}
}

// apply queues the commands of a gang's actions. A start that the configuration does not permit any more
// is aborted instead.
func (s *Service) apply(j *job, actions []gang.Action) {
	if len(actions) > 0 && (actions[0].Kind == gang.Hold || actions[0].Kind == gang.Release) {
		now := time.Now()
		if _, blocked := s.blocked(now); blocked {
			actions = j.gang.Cancel(gang.DomainOut, now)
		}
	}
	recorded := make(map[model.WorkerID]bool)
	for _, a := range actions {
		slot := j.Placement[a.Index]
		cmd := message.TaskCommand{
			Op: taskOps[a.Kind], Task: model.TaskID{Job: j.ID, Index: a.Index, Attempt: j.Attempt},
		}
		switch a.Kind {
		case gang.Hold:
			cmd.GPUs, cmd.Progress = slot.GPUs, j.progress
			cmd.RunMS, cmd.Command = j.Spec.RunTime.Milliseconds(), j.Spec.Command
			cmd.NotAfter = s.startsUntil()
			if !recorded[slot.Worker] {
				recorded[slot.Worker] = true
				cmd.Record = j.encode() // A worker keeps it for all its tasks of the job.
			}
		case gang.Release:
			cmd.NotAfter = s.startsUntil()
		}
		s.commands[slot.Worker] = append(s.commands[slot.Worker], cmd)
	}
}

// stopUnknown stops a task that belongs to no current attempt.
func (s *Service) stopUnknown(w model.WorkerID, t model.TaskID) {
	s.metrics.CountEvent("unknown_tasks_stopped", 1)
	s.commands[w] = append(s.commands[w], message.TaskCommand{Op: message.TaskStop, Task: t})
}

// sendCommands hands the leases and commands of an event to the workers service, one message per worker.
// Leases come first, so that a task never starts on a worker without a lease.
func (s *Service) sendCommands(c *kernel.Context) {
	if s.resendPending {
		return
	}
	sent := s.sendLeases(c)
	for w, cmds := range s.commands {
		if !sent {
			break
		}
		sent = c.Send(names.Workers, message.WorkerCommand{Worker: w, Epoch: s.epoch, Commands: cmds}) == nil
		if sent {
			delete(s.commands, w)
		}
	}
	if !sent {
		s.resendPending = true
		c.SendAfter(resendDelay, resendDue{})
	}
}

// follow updates a job after a step of its gang.
func (s *Service) follow(c *kernel.Context, j *job, now time.Time) {
	switch j.gang.Phase() {
	case gang.Running:
		if j.State == model.JobStarting {
			s.started(c, j, now)
		}
	case gang.Ended:
		s.gangEnded(c, j, now)
		return
	}
	if d := j.gang.Deadline(); !d.IsZero() && !d.Equal(j.ticksAt) {
		j.ticksAt = d
		c.SendAfter(d.Sub(now), gangDue{epoch: s.epoch, job: j.ID, attempt: j.Attempt})
	}
}

func (s *Service) started(c *kernel.Context, j *job, now time.Time) {
	j.Started = now
	j.failedStarts = 0
	s.countStart(j)
	s.setState(j, model.JobRunning)
	c.SendAfter(healthyAfter, healthyDue{epoch: s.epoch, job: j.ID, attempt: j.Attempt})
}

// current returns a job whose attempt is in progress under the epoch, or nil.
func (s *Service) current(epoch model.Epoch, id model.JobID, attempt int) *job {
	j := s.jobs[id]
	if epoch != s.epoch || j == nil || j.gang == nil || j.Attempt != attempt {
		return nil
	}
	return j
}

func (s *Service) gangDue(c *kernel.Context, m gangDue) {
	j := s.current(m.epoch, m.job, m.attempt)
	if j == nil {
		return
	}
	now := time.Now()
	s.apply(j, j.gang.ApplyDeadline(now))
	s.follow(c, j, now)
}

func (s *Service) healthyDue(m healthyDue) {
	if j := s.current(m.epoch, m.job, m.attempt); j != nil && j.gang.Phase() == gang.Running {
		// Not earlier, so that a job on a worker that fails every task waits longer each time.
		j.retry = nil
		s.healthy(j)
	}
}

// healthy records that a job's workers can run tasks.
func (s *Service) healthy(j *job) {
	for _, slot := range j.Placement {
		s.workersChanged = s.tracker.RecordSuccess(slot.Worker) || s.workersChanged
	}
}

// gangEnded decides what becomes of a job whose members have all stopped.
func (s *Service) gangEnded(c *kernel.Context, j *job, now time.Time) {
	g := j.gang
	s.unbind(j)
	j.gang, j.ticksAt = nil, time.Time{}
	j.progress = max(j.progress, g.Progress())
	switch cause := g.Cause(); {
	case g.Succeeded():
		s.healthy(j)
		s.end(j, model.JobSucceeded, "", now)
	case j.cancelled:
		s.end(j, model.JobCancelled, "", now)
	case g.Failed():
		s.retryOrFail(c, j, gang.MemberFailed, g.Started(), now)
	case cause == gang.Preempted && g.Started() || cause == gang.DomainOut:
		s.metrics.CountRetry(retryReasons[cause])
		j.Placement = nil
		s.setState(j, model.JobQueued)
		s.planner.SetProgress(j.ID, j.progress)
		s.planner.Requeue(j.ID)
	default:
		s.retryOrFail(c, j, cause, g.Started(), now)
	}
	if s.tracker.RecordEnd(j.ID, j.State.Final()) {
		s.workersChanged = true
	}
	s.requestRound(c)
}

// retryOrFail starts a failed gang again after a delay, up to the bounds. A lost worker and a preemption are
// not the job's fault and do not count. The delay after a start that was preempted before it was complete
// keeps two jobs from preempting each other in a loop.
func (s *Service) retryOrFail(c *kernel.Context, j *job, cause gang.Cause, started bool, now time.Time) {
	switch {
	case cause == gang.MemberFailed:
		j.failures++
	case cause != gang.WorkerLost && cause != gang.Preempted && !started:
		j.failedStarts++
	}
	switch {
	case j.failures >= maxTaskFailures:
		s.end(j, model.JobFailed, model.ReasonTaskFailed, now)
		return
	case j.failedStarts >= maxFailedStarts:
		s.end(j, model.JobFailed, model.ReasonStartsExhausted, now)
		return
	}
	s.metrics.CountRetry(retryReasons[cause])
	s.planner.Remove(j.ID)
	j.planned, j.backingOff, j.Placement = false, true, nil
	s.setState(j, model.JobQueued)
	c.SendAfter(j.nextDelay(), retryDue{epoch: s.epoch, job: j.ID})
}

func (s *Service) retryDue(c *kernel.Context, m retryDue) {
	j := s.jobs[m.job]
	if m.epoch != s.epoch || j == nil || !j.backingOff || j.State != model.JobQueued {
		return
	}
	s.enqueue(j)
	s.requestRound(c)
}
