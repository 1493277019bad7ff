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

// reviewDelay collects the reports of several workers into one review of the leases.
const reviewDelay = 10 * time.Millisecond

// partialGrace is the time after which a recovery stops parts of gangs that share a worker with a whole gang.
// A reachable worker reports within one round trip. The leases that the lost holder had renewed last a second or two
// longer than its lease in the store, and the whole gang must be renewed before their end.
const partialGrace = 500 * time.Millisecond

// partialDue ends partialGrace.
type partialDue struct{ epoch model.Epoch }

// Kind implements kernel.Message.
func (partialDue) Kind() string { return "partial_gangs_due" }

type reviewDue struct{ epoch model.Epoch }

// Kind implements kernel.Message.
func (reviewDue) Kind() string { return "lease_review_due" }

// requestReview plans a review for the reports and losses of the next moments of a recovery.
func (s *Service) requestReview(c *kernel.Context) {
	if r := s.recovery; r != nil && !r.reviewPending {
		r.reviewPending = true
		c.SendAfter(reviewDelay, reviewDue{epoch: s.epoch})
	}
}

func (s *Service) reviewDue(m reviewDue) {
	if m.epoch == s.epoch && s.recovery != nil {
		s.recovery.reviewPending = false
		s.review()
	}
}

// review decides whose leases are renewed before the recovery has ended.
func (s *Service) review() {
	r := s.recovery
	tasks := r.all()
	if r.graceOver {
		s.stopObstructing(tasks)
	}
	renew := recovery.RenewableWorkers(tasks, s.gangSize)
	for w := range renew {
		if !r.renewed[w] {
			s.setLease(w, true)
		}
	}
	for w := range r.renewed {
		if !renew[w] {
			s.setLease(w, false)
		}
	}
	r.renewed = renew
}

// partialDue stops the parts of gangs that would let the leases of whole gangs lapse, and those that are
// reported later in this recovery.
func (s *Service) partialDue(m partialDue) {
	if m.epoch == s.epoch && s.recovery != nil {
		s.recovery.graceOver = true
		s.review()
	}
}

// stopObstructing stops each part of a gang once.
func (s *Service) stopObstructing(tasks []recovery.Task) {
	r := s.recovery
	for _, t := range recovery.ObstructingTasks(tasks, s.gangSize) {
		if !r.stopped[t.Status.Task] {
			r.stopped[t.Status.Task] = true
			s.stopUnknown(t.Worker, t.Status.Task)
		}
	}
}

// forgetWorker drops what a lost worker had reported. Its link renews nothing from then on, so that a renewal
// must be sent again once it has reported.
func (s *Service) forgetWorker(w model.WorkerID) {
	delete(s.recovery.tasks, w)
	if s.recovery.renewed[w] {
		delete(s.recovery.renewed, w)
		s.setLease(w, false)
	}
}

func (s *Service) setLease(w model.WorkerID, renew bool) {
	if s.leases == nil {
		s.leases = make(map[model.WorkerID]bool)
	}
	s.leases[w] = renew
}

// gangSize returns the size of a gang from the log or, during a recovery, from the record that workers reported.
func (s *Service) gangSize(id model.JobID) (int, bool) {
	if j := s.jobs[id]; j != nil {
		return j.Spec.Tasks, !j.elsewhere()
	}
	n, known := s.recovery.sizes[id]
	return n, known
}

// learnSize reads the size of a gang from the record that a worker reported.
func (r *recovering) learnSize(t model.TaskStatus) {
	if _, known := r.sizes[t.Task.Job]; known || t.Record == nil {
		return
	}
	j, err := decodeJob(t.Record)
	if err != nil {
		klog.ErrorS(err, "reported job record skipped", "job", t.Task.Job)
		return
	}
	r.sizes[t.Task.Job] = j.Spec.Tasks
}

// sendLeases tells the workers service whose leases it renews. It reports whether nothing is left to tell.
func (s *Service) sendLeases(c *kernel.Context) bool {
	all := !s.epoch.IsZero() && s.recovery == nil
	if len(s.leases) == 0 && all == s.leasesAll {
		return true
	}
	m := message.WorkerLeases{Epoch: s.epoch, All: all, Renew: s.leases}
	if c.Send(names.Workers, m) != nil {
		return false
	}
	s.leases, s.leasesAll = nil, all
	return true
}
