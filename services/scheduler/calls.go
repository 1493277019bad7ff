package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/gang"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// maxCommandBytes bounds the command of a job. The record of a job is sent to a worker and back within the control
// traffic of 5 KB a second.
const maxCommandBytes = 2048

// maxKeyBytes bounds an idempotency key, which is part of the record of a job.
const maxKeyBytes = 256

// handleCall handles the requests of callers, operators and other schedulers.
func (s *Service) handleCall(c *kernel.Context, e kernel.Envelope) {
	if f := s.notReady(); f != nil {
		s.refuse(e, f)
		return
	}
	switch m := e.Body.(type) {
	case message.JobSubmit:
		s.submit(c, e, m.Spec)
	case message.JobStatus:
		s.replyStatus(e, m.Job)
	case message.JobList:
		e.Reply(s.listJobs(m.Account))
	case message.JobCancel:
		s.cancelJobs(c, e, m)
	case message.AccountShow:
		s.showAccount(e, m.Account)
	case message.JobAccept:
		s.handleOffer(c, e, m)
	case message.JobWithdraw:
		s.handleWithdraw(c, e, m)
	case message.TransferDone:
		s.handleTransferDone(c, e, m)
	}
}

func (s *Service) refuse(e kernel.Envelope, f *failure.Error) { e.Fail(s.metrics.CountRefusal(f)) }

// notReady returns the reason why the service cannot handle requests, or nil.
func (s *Service) notReady() *failure.Error {
	switch {
	case s.draining:
		f := failure.New(failure.Draining, "this VM shuts down")
		f.RetryElsewhere = true
		return f
	case s.epoch.IsZero():
		return failure.New(failure.NotHolder, "this VM does not hold %s", s.domain)
	case s.recovery != nil:
		return failure.New(failure.NoHolder, "the holder of %s is rebuilding its state", s.domain)
	}
	return nil
}

// submit adds a job and replies once both of its records are durable.
func (s *Service) submit(c *kernel.Context, e kernel.Envelope, spec model.JobSpec) {
	if id, ok := s.jobsByKey[accountKey{spec.Account, spec.Key}]; ok && spec.Key != "" {
		s.handleRepeatedSubmit(e, s.jobs[id], spec)
		return
	}
	if f := s.checkSubmission(spec); f != nil {
		s.refuse(e, f)
		return
	}
	j := &job{Job: model.Job{
		ID: model.NewJobID(s.domain, uuid.NewString()), Spec: spec, Domain: s.domain,
		State: model.JobQueued, Submitted: time.Now(),
	}}
	j.queuedSince = j.Submitted
	s.addJob(j)
	s.markChanged(j)
	awaitDurable(s, []*job{j}, func(f *failure.Error) {
		if f != nil {
			s.dropJob(j)
			s.refuse(e, f.WithOutcome(failure.NotRun))
			return
		}
		s.confirmSubmission(c, e, j)
	})
}

// confirmSubmission makes a submitted job runnable. If the append of the second record fails, the outcome is unknown,
// because the record may still become durable. The submission is undone only if the record was certainly not appended
// and no snapshot contains it.
func (s *Service) confirmSubmission(c *kernel.Context, e kernel.Envelope, j *job) {
	j.confirmed = true
	s.markChanged(j)
	snapshots := s.journal.snapshotsSent
	awaitDurable(s, []*job{j}, func(f *failure.Error) {
		if f != nil && provesNotAppended(f) && s.journal.snapshotsSent == snapshots && j.State == model.JobQueued && !j.cancelled {
			s.dropJob(j)
			s.refuse(e, f.WithOutcome(failure.NotRun))
			return
		}
		if f != nil {
			s.refuse(e, f.WithOutcome(failure.Unknown))
			return
		}
		klog.InfoS("job accepted", "job", j.ID, "account", j.Spec.Account, "gpus", j.Spec.GPUs(), "urgent", j.Spec.Urgent)
		s.replyJob(e, j)
	})
	awaitDurable(s, []*job{j}, func(f *failure.Error) { s.admit(c, j, f) })
}

// admit passes a confirmed job to the planner. After a failed append it waits for the next one.
func (s *Service) admit(c *kernel.Context, j *job, f *failure.Error) {
	switch {
	case s.jobs[j.ID] != j: // The submission was undone.
	case f != nil && f.Reason == failure.NotHolder:
	case f != nil:
		awaitDurable(s, []*job{j}, func(f *failure.Error) { s.admit(c, j, f) })
	case !j.inPlanner && j.State == model.JobQueued:
		s.enqueue(j)
		s.requestRound(c)
	}
}

// handleRepeatedSubmit answers a submission with a known idempotency key with the first job, once that job is durable.
func (s *Service) handleRepeatedSubmit(e kernel.Envelope, j *job, spec model.JobSpec) {
	if spec != j.Spec {
		s.refuse(e, failure.New(failure.KeyReused, "key %q belongs to job %s", spec.Key, j.ID))
		return
	}
	awaitDurable(s, []*job{j}, func(f *failure.Error) {
		switch {
		case f != nil && j.confirmed && s.jobs[j.ID] == j:
			s.refuse(e, f.WithOutcome(failure.Unknown))
		case f != nil:
			s.refuse(e, f.WithOutcome(failure.NotRun))
		case !j.confirmed:
			s.handleRepeatedSubmit(e, j, spec)
		default:
			s.replyJob(e, j)
		}
	})
}

func (s *Service) replyJob(e kernel.Envelope, j *job) {
	e.Reply(message.JobReply{Job: s.callerView(j)})
}

// checkSubmission returns the reason why a submission is refused, or nil.
func (s *Service) checkSubmission(spec model.JobSpec) *failure.Error {
	if s.config.Config.Version == 0 {
		return failure.New(failure.ConfigUnavailable, "no configuration is known")
	}
	policy, known := s.config.Config.ActivePreset().Accounts[spec.Account]
	if !known {
		return failure.New(failure.UnknownAccount, "account %q", spec.Account)
	}
	if len(spec.Command) > maxCommandBytes {
		return failure.New(failure.TooLarge, "command of %d bytes exceeds %d", len(spec.Command), maxCommandBytes)
	}
	if len(spec.Key) > maxKeyBytes {
		return failure.New(failure.TooLarge, "idempotency key of %d bytes exceeds %d", len(spec.Key), maxKeyBytes)
	}
	limit := policy.MaxQueuedJobs
	if limit == 0 {
		limit = defaultMaxQueued
	}
	if s.queuedByAccount[spec.Account] >= limit {
		return failure.New(failure.QueueFull, "account %q has %d waiting jobs", spec.Account, limit)
	}
	return s.planner.CheckAdmission(spec)
}

func (s *Service) replyStatus(e kernel.Envelope, id model.JobID) {
	if j, ok := s.jobs[id]; ok && j.confirmed {
		s.replyJob(e, j)
		return
	}
	if s.journal.logUnread {
		// The job may be in the part of the log that could not be read.
		s.refuse(e, failure.New(failure.StoreUnavailable, "job %s is not among the running jobs", id))
		return
	}
	s.refuse(e, failure.New(failure.NotFound, "job %s", id))
}

func (s *Service) listJobs(account model.AccountID) message.JobsReply {
	var out message.JobsReply
	for _, j := range s.jobs {
		if j.confirmed && (account == "" || j.Spec.Account == account) {
			out.Jobs = append(out.Jobs, s.callerView(j))
		}
	}
	slices.SortFunc(out.Jobs, func(a, b model.Job) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// callerView returns a job as callers see it, including the reason why it is queued.
func (s *Service) callerView(j *job) model.Job {
	out := j.Job
	switch {
	case j.State.Final():
	case j.cancelled:
		out.Reason = string(model.ReasonCancelRequested)
	case j.State == model.JobQueued:
		out.Reason = string(s.waitReason(j))
	}
	return out
}

func (s *Service) waitReason(j *job) model.JobReason {
	if reason, blocked := s.startsBlocked(time.Now()); blocked {
		return reason
	}
	switch {
	case j.backingOff:
		return model.ReasonBackoff
	case s.hasReservation[j.ID]:
		return model.ReasonReserved
	default:
		return model.ReasonResources
	}
}

// cancelJobs cancels all given jobs of the account and replies once that is durable. A running job ends when its
// tasks have stopped.
func (s *Service) cancelJobs(c *kernel.Context, e kernel.Envelope, m message.JobCancel) {
	now := time.Now()
	var named []*job
	var waiting []model.JobID
	for _, id := range m.Jobs {
		j, ok := s.jobs[id]
		if !ok || !j.confirmed || j.Spec.Account != m.Account {
			continue
		}
		named = append(named, j)
		switch {
		case j.State.Final() || j.cancelled:
		case j.State == model.JobTransferring:
			s.cancelTransferring(c, j, now)
		case j.gang == nil:
			if j.inPlanner {
				waiting, j.inPlanner = append(waiting, id), false
			}
			j.cancelled = true
			s.endJob(j, model.JobCancelled, "", now)
		default:
			j.cancelled = true
			s.markChanged(j)
			s.applyActions(j, j.gang.Cancel(gang.Canceled, now))
			s.updateFromGang(c, j, now)
		}
	}
	s.planner.Remove(waiting...)
	s.requestRound(c)
	awaitDurable(s, named, func(f *failure.Error) {
		if f != nil {
			s.refuse(e, f.WithOutcome(failure.Unknown))
			return
		}
		var out message.JobsReply
		for _, j := range named {
			out.Jobs = append(out.Jobs, s.callerView(j))
		}
		e.Reply(out)
	})
}

func (s *Service) showAccount(e kernel.Envelope, id model.AccountID) {
	policy, known := s.config.Config.ActivePreset().Accounts[id]
	if !known {
		s.refuse(e, failure.New(failure.UnknownAccount, "account %q", id))
		return
	}
	out := message.AccountReply{Account: id, Domain: s.domain, Policy: policy}
	for _, j := range s.jobs {
		switch {
		case j.Spec.Account != id || j.State.Final() || !j.confirmed:
		case j.State == model.JobQueued || j.State == model.JobTransferring:
			out.GPUsQueued += j.Spec.GPUs()
		default:
			out.GPUsRunning += j.Spec.GPUs()
		}
	}
	out.Guaranteed = s.guaranteedGPUs(policy)
	e.Reply(out)
}
