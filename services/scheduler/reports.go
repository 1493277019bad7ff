package scheduler

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// report applies the task states of one worker.
func (s *Service) report(c *kernel.Context, m message.WorkerReport) {
	if s.stale(m.Epoch, m) {
		return
	}
	if m.Full {
		w := s.workers[m.Worker]
		if w == nil { // The workers service may learn of a worker first.
			w = &workerState{}
			s.workers[m.Worker] = w
		}
		s.workersChanged = s.workersChanged || !w.reported
		w.reported, w.lost = true, false
	}
	if s.recovery != nil {
		s.recovery.report(m)
		s.requestReview(c)
		s.recover(c)
		return
	}
	now := time.Now()
	for _, t := range m.Tasks {
		s.observe(c, m.Worker, t, now)
	}
	for _, r := range m.Refusals {
		s.refused(c, m.Worker, r, now)
	}
	if m.Full {
		s.missing(c, m, now)
	}
	if s.workersChanged {
		s.requestRound(c)
	}
}

// member returns the job whose current attempt has the task on the worker, or nil.
func (s *Service) member(w model.WorkerID, t model.TaskID) *job {
	j := s.current(s.epoch, t.Job, t.Attempt)
	if j == nil || t.Index < 0 || t.Index >= len(j.Placement) || j.Placement[t.Index].Worker != w {
		return nil
	}
	return j
}

func (s *Service) observe(c *kernel.Context, w model.WorkerID, t model.TaskStatus, now time.Time) {
	j := s.member(w, t.Task)
	if j == nil {
		if !t.State.Final() {
			s.stopUnknown(w, t.Task)
		}
		return
	}
	if t.State == model.TaskFailed && s.tracker.RecordFailure(w, j.ID, now) {
		s.workersChanged = true
	}
	s.apply(j, j.gang.ApplyReport(t.Task.Index, t, now))
	s.follow(c, j, now)
}

func (s *Service) refused(c *kernel.Context, w model.WorkerID, r message.TaskRefusal, now time.Time) {
	if j := s.member(w, r.Task); j != nil {
		s.apply(j, j.gang.ApplyRefusal(r.Task.Index, actionKinds[r.Op], now))
		s.follow(c, j, now)
	}
}

// missing applies that a full report does not list members that the worker had reported before, for
// example because the worker was restarted.
func (s *Service) missing(c *kernel.Context, m message.WorkerReport, now time.Time) {
	listed := make(map[model.TaskID]bool, len(m.Tasks))
	for _, t := range m.Tasks {
		listed[t.Task] = true
	}
	s.eachMember(m.Worker, func(j *job, i int) {
		id := model.TaskID{Job: j.ID, Index: i, Attempt: j.Attempt}
		if !listed[id] && j.gang.MemberActive(i) {
			s.apply(j, j.gang.ApplyMemberMissing(i, now))
			s.follow(c, j, now)
		}
	})
}

// eachMember runs f for each member of a gang on a worker.
func (s *Service) eachMember(w model.WorkerID, f func(j *job, index int)) {
	for id := range s.onWorker[w] {
		j := s.jobs[id]
		for i, slot := range j.Placement {
			if slot.Worker == w && j.gang != nil {
				f(j, i)
			}
		}
	}
}

func (s *Service) workerLost(c *kernel.Context, m message.WorkerLost) {
	if s.stale(m.Epoch, m) {
		return
	}
	if w := s.workers[m.Worker]; w != nil {
		w.reported, w.lost, w.leaseEnds = false, true, m.LeaseEnds
		s.workersChanged = true
	}
	if s.recovery != nil {
		s.forgetWorker(m.Worker)
		s.requestReview(c)
		s.recover(c)
		return
	}
	now := time.Now()
	s.eachMember(m.Worker, func(j *job, i int) {
		j.lapsed = true
		s.apply(j, j.gang.ApplyWorkerLoss(i, m.LeaseEnds, now))
		s.follow(c, j, now)
	})
	s.requestRound(c)
}
