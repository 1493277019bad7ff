package scheduler

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/recovery"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// leaseReviewDelay collects the reports of several workers into one review of the leases.
const leaseReviewDelay = 10 * time.Millisecond

// partialGangGrace is the time after which a recovery stops the tasks of partial gangs that share a worker with a
// complete gang. A reachable worker reports within one round trip. The worker leases that the previous holder has
// renewed outlive its lease in the store by one or two seconds, and the leases of a complete gang must be renewed
// before that.
const partialGangGrace = 500 * time.Millisecond

// partialGangsDue is the timer of partialGangGrace.
type partialGangsDue struct{ epoch model.Epoch }

// Kind implements kernel.Message.
func (partialGangsDue) Kind() string { return "partial_gangs_due" }

type leaseReviewDue struct{ epoch model.Epoch }

// Kind implements kernel.Message.
func (leaseReviewDue) Kind() string { return "lease_review_due" }

// requestLeaseReview schedules a review of the leases after leaseReviewDelay, if a recovery is in progress.
func (s *Service) requestLeaseReview(c *kernel.Context) {
	if r := s.recovery; r != nil && !r.reviewPending {
		r.reviewPending = true
		c.SendAfter(leaseReviewDelay, leaseReviewDue{epoch: s.epoch})
	}
}

func (s *Service) handleLeaseReviewDue(m leaseReviewDue) {
	if m.epoch == s.epoch && s.recovery != nil {
		s.recovery.reviewPending = false
		s.reviewLeases()
	}
}

// reviewLeases decides which worker leases are renewed before the recovery has ended.
func (s *Service) reviewLeases() {
	r := s.recovery
	tasks := r.allTasks()
	if r.graceOver {
		s.stopObstructingTasks(tasks)
	}
	renew := recovery.RenewableWorkers(tasks, s.gangSize)
	for w := range renew {
		if !r.renewedWorkers[w] {
			s.setRenewal(w, true)
		}
	}
	for w := range r.renewedWorkers {
		if !renew[w] {
			s.setRenewal(w, false)
		}
	}
	r.renewedWorkers = renew
}

// handlePartialGangsDue stops the tasks of partial gangs that prevent the renewal of the leases of complete gangs. From
// then on, such tasks are stopped as soon as they are reported.
func (s *Service) handlePartialGangsDue(m partialGangsDue) {
	if m.epoch == s.epoch && s.recovery != nil {
		s.recovery.graceOver = true
		s.reviewLeases()
	}
}

// stopObstructingTasks stops the tasks that prevent the renewal of complete gangs. Each task is stopped only once.
func (s *Service) stopObstructingTasks(tasks []recovery.Task) {
	r := s.recovery
	for _, t := range recovery.ObstructingTasks(tasks, s.gangSize) {
		if !r.stoppedTasks[t.Status.Task] {
			r.stoppedTasks[t.Status.Task] = true
			s.stopUnknown(t.Worker, t.Status.Task)
		}
	}
}

// dropReports discards the reports of a lost worker. The workers service no longer renews its lease, so that a renewal
// must be requested again once the worker has reported.
func (s *Service) dropReports(w model.WorkerID) {
	delete(s.recovery.tasks, w)
	if s.recovery.renewedWorkers[w] {
		delete(s.recovery.renewedWorkers, w)
		s.setRenewal(w, false)
	}
}

func (s *Service) setRenewal(w model.WorkerID, renew bool) {
	if s.leaseChanges == nil {
		s.leaseChanges = make(map[model.WorkerID]bool)
	}
	s.leaseChanges[w] = renew
}

// gangSize returns the size of a gang from the log or, during a recovery, from the job record that a worker reported.
func (s *Service) gangSize(id model.JobID) (int, bool) {
	if j := s.jobs[id]; j != nil {
		return j.Spec.Tasks, !j.mayRunElsewhere()
	}
	n, known := s.recovery.gangSizes[id]
	return n, known
}

// recordGangSize stores the size of a gang from the job record that a worker reported.
func (r *recoveryState) recordGangSize(t model.TaskStatus) {
	if _, known := r.gangSizes[t.Task.Job]; known || t.Record == nil {
		return
	}
	j, err := decodeJobRecord(t.Record)
	if err != nil {
		klog.ErrorS(err, "reported job record skipped", "job", t.Task.Job)
		return
	}
	r.gangSizes[t.Task.Job] = j.Spec.Tasks
}

// sendLeaseChanges tells the workers service which leases to renew. It returns false if the message was refused and
// must be sent again.
func (s *Service) sendLeaseChanges(c *kernel.Context) bool {
	all := !s.epoch.IsZero() && s.recovery == nil
	if len(s.leaseChanges) == 0 && all == s.renewsAllLeases {
		return true
	}
	m := message.WorkerLeases{Epoch: s.epoch, All: all, Renew: s.leaseChanges}
	if c.Send(names.Workers, m) != nil {
		return false
	}
	s.leaseChanges, s.renewsAllLeases = nil, all
	return true
}
