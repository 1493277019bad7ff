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

// maxCommand bounds a job's command in bytes. The record of a job travels to a worker and back within the
// control traffic of 5 KB a second.
const maxCommand = 2048

// maxKey bounds an idempotency key in bytes; it is part of the record.
const maxKey = 256

// call answers callers and operators.
func (s *Service) call(c *kernel.Context, e kernel.Envelope) {
	if f := s.unready(); f != nil {
		s.refuse(e, f)
		return
	}
	switch m := e.Body.(type) {
	case message.JobSubmit:
		s.submit(c, e, m.Spec)
	case message.JobStatus:
		s.status(e, m.Job)
	case message.JobList:
		e.Reply(s.list(m.Account))
	case message.JobCancel:
		s.cancel(c, e, m)
	case message.AccountShow:
		s.showAccount(e, m.Account)
	case message.JobAccept:
		s.offered(c, e, m)
	case message.JobWithdraw:
		s.withdrawn(c, e, m)
	case message.TransferDone:
		s.transferDone(c, e, m)
	}
}

func (s *Service) refuse(e kernel.Envelope, f *failure.Error) { e.Fail(s.metrics.CountRefusal(f)) }

// unready returns why the service cannot answer callers, or nil.
func (s *Service) unready() *failure.Error {
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

// submit queues a job and answers once its records are durable.
func (s *Service) submit(c *kernel.Context, e kernel.Envelope, spec model.JobSpec) {
	if id, ok := s.keys[accountKey{spec.Account, spec.Key}]; ok && spec.Key != "" {
		s.submitAgain(e, s.jobs[id], spec)
		return
	}
	if f := s.check(spec); f != nil {
		s.refuse(e, f)
		return
	}
	j := &job{Job: model.Job{
		ID: model.NewJobID(s.domain, uuid.NewString()), Spec: spec, Domain: s.domain,
		State: model.JobQueued, Submitted: time.Now(),
	}}
	j.since = j.Submitted
	s.add(j)
	s.changed(j)
	await(s, []*job{j}, func(f *failure.Error) {
		if f != nil {
			s.drop(j)
			s.refuse(e, f.WithOutcome(failure.NotRun))
			return
		}
		s.confirm(c, e, j)
	})
}

// confirm makes the submitted job runnable. If the second record fails the job may run, since the record
// may become durable, unless the failure and the snapshots prove that it does not.
func (s *Service) confirm(c *kernel.Context, e kernel.Envelope, j *job) {
	j.confirmed = true
	s.changed(j)
	snapshots := s.log.snapshots
	await(s, []*job{j}, func(f *failure.Error) {
		if f != nil && notAppended(f) && s.log.snapshots == snapshots && j.State == model.JobQueued && !j.cancelled {
			s.drop(j)
			s.refuse(e, f.WithOutcome(failure.NotRun))
			return
		}
		if f != nil {
			s.refuse(e, f.WithOutcome(failure.Unknown))
			return
		}
		klog.InfoS("job accepted", "job", j.ID, "account", j.Spec.Account, "gpus", j.Spec.GPUs(), "urgent", j.Spec.Urgent)
		s.answer(e, j)
	})
	await(s, []*job{j}, func(f *failure.Error) { s.admit(c, j, f) })
}

// admit queues a confirmed job. After a failed append it waits for the next one.
func (s *Service) admit(c *kernel.Context, j *job, f *failure.Error) {
	switch {
	case s.jobs[j.ID] != j: // The submission was undone.
	case f != nil && f.Reason == failure.NotHolder:
	case f != nil:
		await(s, []*job{j}, func(f *failure.Error) { s.admit(c, j, f) })
	case !j.planned && j.State == model.JobQueued:
		s.enqueue(j)
		s.requestRound(c)
	}
}

// submitAgain answers a repeated submission with the first job, once that is durable.
func (s *Service) submitAgain(e kernel.Envelope, j *job, spec model.JobSpec) {
	if spec != j.Spec {
		s.refuse(e, failure.New(failure.KeyReused, "key %q belongs to job %s", spec.Key, j.ID))
		return
	}
	await(s, []*job{j}, func(f *failure.Error) {
		switch {
		case f != nil && j.confirmed && s.jobs[j.ID] == j:
			s.refuse(e, f.WithOutcome(failure.Unknown))
		case f != nil:
			s.refuse(e, f.WithOutcome(failure.NotRun))
		case !j.confirmed:
			s.submitAgain(e, j, spec)
		default:
			s.answer(e, j)
		}
	})
}

func (s *Service) answer(e kernel.Envelope, j *job) { e.Reply(message.JobReply{Job: s.view(j)}) }

// check returns why a job is refused, or nil.
func (s *Service) check(spec model.JobSpec) *failure.Error {
	if s.config.Config.Version == 0 {
		return failure.New(failure.ConfigUnavailable, "no configuration is known")
	}
	policy, known := s.config.Config.ActivePreset().Accounts[spec.Account]
	if !known {
		return failure.New(failure.UnknownAccount, "account %q", spec.Account)
	}
	if len(spec.Command) > maxCommand {
		return failure.New(failure.TooLarge, "command of %d bytes exceeds %d", len(spec.Command), maxCommand)
	}
	if len(spec.Key) > maxKey {
		return failure.New(failure.TooLarge, "idempotency key of %d bytes exceeds %d", len(spec.Key), maxKey)
	}
	bound := policy.MaxQueuedJobs
	if bound == 0 {
		bound = defaultMaxQueued
	}
	if s.queued[spec.Account] >= bound {
		return failure.New(failure.QueueFull, "account %q has %d waiting jobs", spec.Account, bound)
	}
	return s.planner.CheckAdmission(spec)
}

func (s *Service) status(e kernel.Envelope, id model.JobID) {
	if j, ok := s.jobs[id]; ok && j.confirmed {
		s.answer(e, j)
		return
	}
	if s.log.partial {
		// The job may be in the log, which could not be read.
		s.refuse(e, failure.New(failure.StoreUnavailable, "job %s is not among the running jobs", id))
		return
	}
	s.refuse(e, failure.New(failure.NotFound, "job %s", id))
}

func (s *Service) list(account model.AccountID) message.JobsReply {
	var out message.JobsReply
	for _, j := range s.jobs {
		if j.confirmed && (account == "" || j.Spec.Account == account) {
			out.Jobs = append(out.Jobs, s.view(j))
		}
	}
	slices.SortFunc(out.Jobs, func(a, b model.Job) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// view returns a job as callers see it, with the reason why it waits.
func (s *Service) view(j *job) model.Job {
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
	if reason, blocked := s.blocked(time.Now()); blocked {
		return reason
	}
	switch {
	case j.backingOff:
		return model.ReasonBackoff
	case s.reserved[j.ID]:
		return model.ReasonReserved
	default:
		return model.ReasonResources
	}
}

// cancel cancels all named jobs in one pass and answers once that is durable. A running job ends when its
// tasks have stopped.
func (s *Service) cancel(c *kernel.Context, e kernel.Envelope, m message.JobCancel) {
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
			if j.planned {
				waiting, j.planned = append(waiting, id), false
			}
			j.cancelled = true
			s.end(j, model.JobCancelled, "", now)
		default:
			j.cancelled = true
			s.changed(j)
			s.apply(j, j.gang.Cancel(gang.Canceled, now))
			s.follow(c, j, now)
		}
	}
	s.planner.Remove(waiting...)
	s.requestRound(c)
	await(s, named, func(f *failure.Error) {
		if f != nil {
			s.refuse(e, f.WithOutcome(failure.Unknown))
			return
		}
		var out message.JobsReply
		for _, j := range named {
			out.Jobs = append(out.Jobs, s.view(j))
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
	out.Guaranteed = s.guaranteed(policy)
	e.Reply(out)
}
