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

// healthyAfter is the run time after which a job shows that its workers are able to run tasks.
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

// retryReasons maps the causes after which a gang is restarted to the reasons of the retry counters.
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

// indexPlacement adds the placement of a job to the index of jobs by worker.
func (s *Service) indexPlacement(j *job) {
	for _, slot := range j.Placement {
		if s.jobsByWorker[slot.Worker] == nil {
			s.jobsByWorker[slot.Worker] = make(map[model.JobID]bool)
		}
		s.jobsByWorker[slot.Worker][j.ID] = true
	}
}

func (s *Service) unindexPlacement(j *job) {
	for _, slot := range j.Placement {
		delete(s.jobsByWorker[slot.Worker], j.ID)
	}
}

// applyActions queues the commands for the actions of a gang. A start that the configuration no longer permits is
// aborted instead.
func (s *Service) applyActions(j *job, actions []gang.Action) {
	if len(actions) > 0 && (actions[0].Kind == gang.Hold || actions[0].Kind == gang.Release) {
		now := time.Now()
		if _, blocked := s.startsBlocked(now); blocked {
			actions = j.gang.Cancel(gang.DomainOut, now)
		}
	}
	recordSent := make(map[model.WorkerID]bool)
	for _, a := range actions {
		slot := j.Placement[a.Index]
		cmd := message.TaskCommand{
			Op: taskOps[a.Kind], Task: model.TaskID{Job: j.ID, Index: a.Index, Attempt: j.Attempt},
		}
		switch a.Kind {
		case gang.Hold:
			cmd.GPUs, cmd.Progress = slot.GPUs, j.progress
			cmd.RunMS, cmd.Command = j.Spec.RunTime.Milliseconds(), j.Spec.Command
			cmd.NotAfter = s.startsAllowedUntil()
			if !recordSent[slot.Worker] {
				recordSent[slot.Worker] = true
				cmd.Record = j.encode() // The worker keeps one copy for all its tasks of the job.
			}
		case gang.Release:
			cmd.NotAfter = s.startsAllowedUntil()
		}
		s.pendingCommands[slot.Worker] = append(s.pendingCommands[slot.Worker], cmd)
	}
}

// stopUnknown queues the stop of a task that belongs to no current attempt.
func (s *Service) stopUnknown(w model.WorkerID, t model.TaskID) {
	s.metrics.CountEvent("unknown_tasks_stopped", 1)
	s.pendingCommands[w] = append(s.pendingCommands[w], message.TaskCommand{Op: message.TaskStop, Task: t})
}

// sendCommands sends the lease changes and commands of an event to the workers service, with one message per worker.
// Lease changes are sent first, so that no task starts on a worker without a lease.
func (s *Service) sendCommands(c *kernel.Context) {
	if s.resendPending {
		return
	}
	sent := s.sendLeaseChanges(c)
	for w, cmds := range s.pendingCommands {
		if !sent {
			break
		}
		sent = c.Send(names.Workers, message.WorkerCommand{Worker: w, Epoch: s.epoch, Commands: cmds}) == nil
		if sent {
			delete(s.pendingCommands, w)
		}
	}
	if !sent {
		s.resendPending = true
		c.SendAfter(resendDelay, resendDue{})
	}
}

// updateFromGang updates the state of a job and the timer of its gang after the gang has changed.
func (s *Service) updateFromGang(c *kernel.Context, j *job, now time.Time) {
	switch j.gang.Phase() {
	case gang.Running:
		if j.State == model.JobStarting {
			s.handleGangStarted(c, j, now)
		}
	case gang.Ended:
		s.handleGangEnd(c, j, now)
		return
	}
	if d := j.gang.Deadline(); !d.IsZero() && !d.Equal(j.gangTimerAt) {
		j.gangTimerAt = d
		c.SendAfter(d.Sub(now), gangDeadlineDue{epoch: s.epoch, job: j.ID, attempt: j.Attempt})
	}
}

func (s *Service) handleGangStarted(c *kernel.Context, j *job, now time.Time) {
	j.Started = now
	j.failedStarts = 0
	s.countFirstStart(j)
	s.setState(j, model.JobRunning)
	c.SendAfter(healthyAfter, healthyDue{epoch: s.epoch, job: j.ID, attempt: j.Attempt})
}

// activeJob returns a job whose given attempt is in progress under the epoch, or nil.
func (s *Service) activeJob(epoch model.Epoch, id model.JobID, attempt int) *job {
	j := s.jobs[id]
	if epoch != s.epoch || j == nil || j.gang == nil || j.Attempt != attempt {
		return nil
	}
	return j
}

func (s *Service) handleGangDeadline(c *kernel.Context, m gangDeadlineDue) {
	j := s.activeJob(m.epoch, m.job, m.attempt)
	if j == nil {
		return
	}
	now := time.Now()
	s.applyActions(j, j.gang.ApplyDeadline(now))
	s.updateFromGang(c, j, now)
}

func (s *Service) handleHealthyDue(m healthyDue) {
	if j := s.activeJob(m.epoch, m.job, m.attempt); j != nil && j.gang.Phase() == gang.Running {
		// The backoff is reset only now, so that it keeps growing for a job whose tasks fail soon after each start.
		j.startBackoff = nil
		s.recordHealthyWorkers(j)
	}
}

// recordHealthyWorkers records for the quarantine that the workers of a job are able to run tasks.
func (s *Service) recordHealthyWorkers(j *job) {
	for _, slot := range j.Placement {
		s.workersChanged = s.tracker.RecordSuccess(slot.Worker) || s.workersChanged
	}
}

// handleGangEnd ends, requeues or retries a job after its gang has ended.
func (s *Service) handleGangEnd(c *kernel.Context, j *job, now time.Time) {
	g := j.gang
	s.unindexPlacement(j)
	j.gang, j.gangTimerAt = nil, time.Time{}
	j.progress = max(j.progress, g.Progress())
	switch cause := g.Cause(); {
	case g.Succeeded():
		s.recordHealthyWorkers(j)
		s.endJob(j, model.JobSucceeded, "", now)
	case j.cancelled:
		s.endJob(j, model.JobCancelled, "", now)
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

// retryOrFail restarts a failed gang after a delay, or fails its job once a bound is reached. A lost worker and a
// preemption are not caused by the job and do not count. The delay also applies to a start that was preempted before it
// was complete, because otherwise two jobs could preempt each other in a loop.
func (s *Service) retryOrFail(c *kernel.Context, j *job, cause gang.Cause, started bool, now time.Time) {
	switch {
	case cause == gang.MemberFailed:
		j.failures++
	case cause != gang.WorkerLost && cause != gang.Preempted && !started:
		j.failedStarts++
	}
	switch {
	case j.failures >= maxTaskFailures:
		s.endJob(j, model.JobFailed, model.ReasonTaskFailed, now)
		return
	case j.failedStarts >= maxFailedStarts:
		s.endJob(j, model.JobFailed, model.ReasonStartsExhausted, now)
		return
	}
	s.metrics.CountRetry(retryReasons[cause])
	s.planner.Remove(j.ID)
	j.inPlanner, j.backingOff, j.Placement = false, true, nil
	s.setState(j, model.JobQueued)
	c.SendAfter(j.nextStartDelay(), startRetryDue{epoch: s.epoch, job: j.ID})
}

func (s *Service) handleStartRetry(c *kernel.Context, m startRetryDue) {
	j := s.jobs[m.job]
	if m.epoch != s.epoch || j == nil || !j.backingOff || j.State != model.JobQueued {
		return
	}
	s.enqueue(j)
	s.requestRound(c)
}
