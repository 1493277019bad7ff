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
	// maxEnded bounds the ended jobs that are kept; three days of 1,400 jobs.
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
	planned   bool
	cancelled bool
	// version counts the changes and durable is the last version that is in the log.
	version, durable uint64
	// ticksAt is the time of the timer that is set for the gang.
	ticksAt time.Time
}

func (j *job) waiting() plan.Waiting {
	return plan.Waiting{Job: j.ID, Spec: j.Spec, Submitted: j.Submitted, Attempt: j.Attempt, Progress: j.progress}
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
	}
	klog.InfoS("job state changed", "job", j.ID, "account", j.Spec.Account, "from", j.State, "to", to,
		"attempt", j.Attempt, "reason", j.Reason)
	j.State = to
	s.changed(j)
}

// add enters a job into the table.
func (s *Service) add(j *job) {
	s.jobs[j.ID] = j
	if j.Spec.Key != "" {
		s.keys[accountKey{j.Spec.Account, j.Spec.Key}] = j.ID
	}
	if j.State == model.JobQueued {
		s.queued[j.Spec.Account]++
	}
	if j.State.Final() {
		s.ended = append(s.ended, j.ID)
	}
}

// drop removes a job from the table.
func (s *Service) drop(j *job) {
	if j.State == model.JobQueued {
		s.queued[j.Spec.Account]--
	}
	delete(s.jobs, j.ID)
	delete(s.log.dirty, j.ID)
	if k := (accountKey{j.Spec.Account, j.Spec.Key}); s.keys[k] == j.ID {
		delete(s.keys, k)
	}
}

// enqueue hands a job that may run to the planner. A job that has failed on many workers is itself the
// cause and avoids none.
func (s *Service) enqueue(j *job) {
	j.planned, j.backingOff = true, false
	w := j.waiting()
	if on := s.tracker.FailedOn(j.ID); len(on) > 0 && len(on) < quarantine.BlameLimit {
		w.Avoid, w.AvoidUntil = on, time.Now().Add(avoidFor)
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
	s.metrics.Event("jobs_"+string(state), 1)
	s.ended = append(s.ended, j.ID)
	delete(s.reserved, j.ID)
	s.forgetEnded(now)
}

// forgetEnded drops the oldest ended jobs beyond the retention.
func (s *Service) forgetEnded(now time.Time) {
	for len(s.ended) > 0 {
		j := s.jobs[s.ended[0]]
		if j != nil && len(s.ended) <= maxEnded && (now.Sub(j.Ended) < endedRetention || s.log.dirty[j.ID]) {
			return
		}
		if j != nil {
			s.drop(j)
		}
		s.ended = s.ended[1:]
	}
}
