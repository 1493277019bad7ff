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
	// endedRetention is the time for which an ended job can be queried and its idempotency key is known.
	endedRetention = time.Hour
	// movedRetention is the same for a moved job. It is longer, because callers and the idempotency key are directed
	// through the moved job to its successor, which waits and runs for days at most.
	movedRetention = 7 * 24 * time.Hour
	// maxEndedJobs bounds the number of ended jobs and of moved jobs that are kept: three days of 1,400 jobs.
	maxEndedJobs = 4200
	// defaultMaxQueued bounds the queued jobs of an account whose policy sets no bound.
	defaultMaxQueued = 2000
	// startRetryInitial and startRetryMax bound the delay before a failed start is retried. It doubles with each retry.
	startRetryInitial = 500 * time.Millisecond
	startRetryMax     = 30 * time.Second
	// maxFailedStarts bounds the consecutive starts of a job that do not reach the running state although no
	// worker was lost.
	maxFailedStarts = 10
	// maxTaskFailures bounds the attempts of a job that end with a failed task.
	maxTaskFailures = 5
	// avoidWorkerFor is the time for which a job is not placed on workers where it has failed. The best placement is
	// often the same again: without this, a job can use up all its attempts on one worker that fails every task.
	avoidWorkerFor = time.Minute
)

// accountKey is an idempotency key within an account, so that keys of different accounts do not collide.
type accountKey struct {
	account model.AccountID
	key     string
}

// job is a job with the state of its current attempt.
type job struct {
	model.Job
	entryState
	gang *gang.Gang
	// progress is the checkpointed share of the work, from 0 to 1.
	progress float64
	// failures counts the attempts that ended with a failed task, failedStarts the consecutive starts that did not
	// reach the running state.
	failures     int
	failedStarts int
	startBackoff *backoff.ExponentialBackOff
	backingOff   bool
	// confirmed is true once the first record of the submission is durable, and from the start for a job that is
	// accepted in a transfer. Holders run a job only if it is recorded as confirmed.
	confirmed bool
	// inPlanner is true while the planner knows the job.
	inPlanner bool
	// cancelled is true once a caller has cancelled the job. For a moved job it means that its successor must still
	// be cancelled.
	cancelled bool
	// queuedSince is the time since which the job has been queued. transfers counts the transfers of the job, including
	// those of its predecessors in other failure domains and refused ones, and lastTransfer is the time at which the
	// last one ended.
	queuedSince  time.Time
	transfers    int
	lastTransfer time.Time
	// stopUnconfirmed is true once an attempt ended without the reports of all its workers. Another holder, of which
	// this one does not know, may have renewed the leases of the missing workers, so that tasks may still run. Such a
	// job is never transferred, not even after further attempts.
	stopUnconfirmed bool
	// awaitsAdoption is true from the replay of a record of a running job until its gang is adopted.
	awaitsAdoption bool
	// gangTimerAt is the time for which the timer of the gang is set.
	gangTimerAt time.Time
}

func (j *job) queuedJob() plan.QueuedJob {
	return plan.QueuedJob{Job: j.ID, Spec: j.Spec, Submitted: j.Submitted, Attempt: j.Attempt, Progress: j.progress}
}

// nextStartDelay returns the delay before the next start attempt.
func (j *job) nextStartDelay() time.Duration {
	if j.startBackoff == nil {
		j.startBackoff = &backoff.ExponentialBackOff{InitialInterval: startRetryInitial, Multiplier: 2, MaxInterval: startRetryMax}
	}
	return j.startBackoff.NextBackOff()
}

// setState changes the state of a job and updates the number of queued jobs of its account.
func (s *Service) setState(j *job, to model.JobState) {
	if j.State == model.JobQueued {
		s.queuedByAccount[j.Spec.Account]--
	}
	if to == model.JobQueued {
		s.queuedByAccount[j.Spec.Account]++
		j.queuedSince = time.Now()
	}
	klog.InfoS("job state changed", "job", j.ID, "account", j.Spec.Account, "from", j.State, "to", to,
		"attempt", j.Attempt, "reason", j.Reason)
	j.State = to
	s.markChanged(j)
}

// addJob adds a job to the table and the indexes.
func (s *Service) addJob(j *job) {
	s.jobs[j.ID] = j
	if j.Spec.Key != "" && j.Origin == "" { // The key of a transferred job stays with the original job.
		s.jobsByKey[accountKey{j.Spec.Account, j.Spec.Key}] = j.ID
	}
	if j.State == model.JobQueued {
		s.queuedByAccount[j.Spec.Account]++
	}
	s.retainEnded(j)
}

// retainEnded adds an ended job to the list of its retention.
func (s *Service) retainEnded(j *job) {
	switch {
	case j.State == model.JobMoved:
		s.movedJobs = append(s.movedJobs, j.ID)
	case j.State.Final():
		s.endedJobs = append(s.endedJobs, j.ID)
	}
}

// dropJob removes a job from the table and the indexes.
func (s *Service) dropJob(j *job) {
	if j.State == model.JobQueued {
		s.queuedByAccount[j.Spec.Account]--
	}
	delete(s.jobs, j.ID)
	j.dropped = true
	if k := (accountKey{j.Spec.Account, j.Spec.Key}); s.jobsByKey[k] == j.ID {
		delete(s.jobsByKey, k)
	}
}

// enqueue passes a job that may run to the planner. A job that has failed on JobFaultThreshold workers is considered
// the cause of the failures itself and avoids no workers.
func (s *Service) enqueue(j *job) {
	j.inPlanner, j.backingOff = true, false
	queued := j.queuedJob()
	if failedOn := s.tracker.FailedOn(j.ID); len(failedOn) > 0 && len(failedOn) < quarantine.JobFaultThreshold {
		queued.AvoidWorkers, queued.AvoidUntil = failedOn, time.Now().Add(avoidWorkerFor)
	}
	s.planner.Enqueue(queued)
}

// endJob moves a job to a final state.
func (s *Service) endJob(j *job, state model.JobState, reason model.JobReason, now time.Time) {
	if j.inPlanner {
		if state == model.JobSucceeded {
			s.planner.Finish(j.ID, now)
		} else {
			s.planner.Remove(j.ID) // Its run time must not count when declared run times of the account are judged.
		}
	}
	j.inPlanner, j.backingOff, j.Ended, j.Reason = false, false, now, string(reason)
	s.setState(j, state)
	s.metrics.CountEvent("jobs_"+string(state), 1)
	s.retainEnded(j)
	delete(s.hasReservation, j.ID)
	s.pruneEnded(now)
}

// pruneEnded removes the ended jobs whose retention has passed and the oldest ones beyond the maximum number.
func (s *Service) pruneEnded(now time.Time) {
	s.endedJobs = s.pruneExpired(s.endedJobs, endedRetention, now)
	s.movedJobs = s.pruneExpired(s.movedJobs, movedRetention, now)
}

// pruneExpired removes jobs from the front of a list that is sorted by end time and returns the rest. It removes a job
// if the list exceeds maxEndedJobs, or if the retention of the job has passed and no change of it awaits an append.
func (s *Service) pruneExpired(ids []model.JobID, retention time.Duration, now time.Time) []model.JobID {
	for len(ids) > 0 {
		j := s.jobs[ids[0]]
		if j != nil && len(ids) <= maxEndedJobs && (now.Sub(j.Ended) < retention || j.dirty) {
			break
		}
		if j != nil {
			s.dropJob(j)
		}
		ids = ids[1:]
	}
	return ids
}
