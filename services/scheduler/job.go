package scheduler

import (
	"time"

	"github.com/cenkalti/backoff/v5"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/gang"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
	"github.com/verbenaflow/verbenaflow/decisions/quarantine"
)

const (
	// endedRetention is the time for which an ended job is still shown and its idempotency key known.
	endedRetention = time.Hour
	// movedRetention is that time for a moved job. Its callers and its key lead to the job that goes on for it,
	// which waits and runs for days at most.
	movedRetention = 7 * 24 * time.Hour
	// maxEnded bounds the ended and the moved jobs that are kept; three days of 1,400 jobs.
	maxEnded = 4200
	// defaultMaxQueued bounds the waiting jobs of an account whose policy sets no bound.
	defaultMaxQueued = 2000
	// retryFirst and retryMax bound the delay of a failed start. It doubles from the first to the second.
	retryFirst = 500 * time.Millisecond
	retryMax   = 30 * time.Second
	// maxFailedStarts bounds the starts of a job in a row that do not reach the running state although no
	// worker was lost.
	maxFailedStarts = 10
	// maxTaskFailures bounds the attempts of a job that end with a failed task.
	maxTaskFailures = 5
	// avoidFor is the time for which a job is not placed on workers where it has failed. The best placement is
	// often the same again: without it jobs used up all their attempts on one worker that fails every task.
	avoidFor = time.Minute
)

// accountKey is an idempotency key; keys of different accounts do not collide.
type accountKey struct {
	account model.AccountID
	key     string
}

// job is a job with the state of its current attempt.
type job struct {
	model.Job
	recorded
	gang *gang.Gang
	// progress is the checkpointed share of the work, from 0 to 1.
	progress float64
	// failures counts the attempts that ended with a failed task, failedStarts the starts in a row that
	// did not reach the running state.
	failures     int
	failedStarts int
	retry        *backoff.ExponentialBackOff
	backingOff   bool
	// confirmed is true once the job may run: its submission is durable.
	confirmed bool
	// planned is true while the planner knows the job.
	planned bool
	// cancelled is true once a caller has cancelled the job. In a moved job it means that the job that goes on
	// for it must still be cancelled.
	cancelled bool
	// since is the time from which the job waits without a run; transfers counts its transfers, also through other
	// failure domains and also refused ones, and lastTransfer is the time at which the last one ended.
	since        time.Time
	transfers    int
	lastTransfer time.Time
	// lapsed is true once an attempt ended without the reports of all its workers. A holder that this one cannot
	// see may have renewed their leases, so that the job is not handed over, also after further attempts.
	lapsed bool
	// unseen is true from the replay of a record that says that the job runs until its gang is adopted.
	unseen bool
	// ticksAt is the time of the timer that is set for the gang.
	ticksAt time.Time
}

func (j *job) waiting() plan.QueuedJob {
	return plan.QueuedJob{Job: j.ID, Spec: j.Spec, Submitted: j.Submitted, Attempt: j.Attempt, Progress: j.progress}
}

// nextDelay returns the delay before the next start.
func (j *job) nextDelay() time.Duration {
	if j.retry == nil {
		j.retry = &backoff.ExponentialBackOff{InitialInterval: retryFirst, Multiplier: 2, MaxInterval: retryMax}
	}
	return j.retry.NextBackOff()
}

// setState changes the state of a job and the count of waiting jobs of its account.
func (s *Service) setState(j *job, to model.JobState) {
	if j.State == model.JobQueued {
		s.queued[j.Spec.Account]--
	}
	if to == model.JobQueued {
		s.queued[j.Spec.Account]++
		j.since = time.Now()
	}
	klog.InfoS("job state changed", "job", j.ID, "account", j.Spec.Account, "from", j.State, "to", to,
		"attempt", j.Attempt, "reason", j.Reason)
	j.State = to
	s.changed(j)
}

// add enters a job into the table.
func (s *Service) add(j *job) {
	s.jobs[j.ID] = j
	if j.Spec.Key != "" && j.Origin == "" { // The key of a moved job belongs to the first one.
		s.keys[accountKey{j.Spec.Account, j.Spec.Key}] = j.ID
	}
	if j.State == model.JobQueued {
		s.queued[j.Spec.Account]++
	}
	s.keepEnded(j)
}

// keepEnded remembers an ended job for its retention.
func (s *Service) keepEnded(j *job) {
	switch {
	case j.State == model.JobMoved:
		s.moved = append(s.moved, j.ID)
	case j.State.Final():
		s.ended = append(s.ended, j.ID)
	}
}

// drop removes a job from the table.
func (s *Service) drop(j *job) {
	if j.State == model.JobQueued {
		s.queued[j.Spec.Account]--
	}
	delete(s.jobs, j.ID)
	j.dropped = true
	if k := (accountKey{j.Spec.Account, j.Spec.Key}); s.keys[k] == j.ID {
		delete(s.keys, k)
	}
}

// enqueue hands a job that may run to the planner. A job that has failed on many workers is itself the
// cause and avoids none.
func (s *Service) enqueue(j *job) {
	j.planned, j.backingOff = true, false
	w := j.waiting()
	if on := s.tracker.FailedOn(j.ID); len(on) > 0 && len(on) < quarantine.JobFaultThreshold {
		w.AvoidWorkers, w.AvoidUntil = on, time.Now().Add(avoidFor)
	}
	s.planner.Enqueue(w)
}

// end gives a job its final state.
func (s *Service) end(j *job, state model.JobState, reason model.JobReason, now time.Time) {
	if j.planned {
		if state == model.JobSucceeded {
			s.planner.Finish(j.ID, now)
		} else {
			s.planner.Remove(j.ID) // Its run time says nothing about the declared run times of its account.
		}
	}
	j.planned, j.backingOff, j.Ended, j.Reason = false, false, now, string(reason)
	s.setState(j, state)
	s.metrics.CountEvent("jobs_"+string(state), 1)
	s.keepEnded(j)
	delete(s.reserved, j.ID)
	s.forgetEnded(now)
}

// forgetEnded drops the oldest ended jobs beyond the retention.
func (s *Service) forgetEnded(now time.Time) {
	s.ended = s.forget(s.ended, endedRetention, now)
	s.moved = s.forget(s.moved, movedRetention, now)
}

// forget drops the first of the ordered jobs and returns the others.
func (s *Service) forget(ids []model.JobID, retention time.Duration, now time.Time) []model.JobID {
	for len(ids) > 0 {
		j := s.jobs[ids[0]]
		if j != nil && len(ids) <= maxEnded && (now.Sub(j.Ended) < retention || j.dirty) {
			break
		}
		if j != nil {
			s.drop(j)
		}
		ids = ids[1:]
	}
	return ids
}
