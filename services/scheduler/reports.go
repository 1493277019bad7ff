package scheduler

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// handleReport applies a report of the tasks of one worker.
func (s *Service) handleReport(c *kernel.Context, m message.WorkerReport) {
	if s.isOtherEpoch(m.Epoch, m) {
		return
	}
	if m.Full {
		w := s.workers[m.Worker]
		if w == nil { // The workers service may know a worker before this service does.
			w = &workerState{}
			s.workers[m.Worker] = w
		}
		s.workersChanged = s.workersChanged || !w.reported
		w.reported, w.lost = true, false
	}
	if s.recovery != nil {
		s.recovery.addReport(m)
		s.requestLeaseReview(c)
		s.tryFinishRecovery(c)
		return
	}
	now := time.Now()
	for _, t := range m.Tasks {
		s.applyTaskStatus(c, m.Worker, t, now)
	}
	for _, r := range m.Refusals {
		s.applyRefusal(c, m.Worker, r, now)
	}
	if m.Full {
		s.applyMissingTasks(c, m, now)
	}
	if s.workersChanged {
		s.requestRound(c)
	}
}

// jobOfTask returns the job whose current attempt runs the task on the worker, or nil.
func (s *Service) jobOfTask(w model.WorkerID, t model.TaskID) *job {
	j := s.activeJob(s.epoch, t.Job, t.Attempt)
	if j == nil || t.Index < 0 || t.Index >= len(j.Placement) || j.Placement[t.Index].Worker != w {
		return nil
	}
	return j
}

func (s *Service) applyTaskStatus(c *kernel.Context, w model.WorkerID, t model.TaskStatus, now time.Time) {
	j := s.jobOfTask(w, t.Task)
	if j == nil {
		if !t.State.Final() {
			s.stopUnknown(w, t.Task)
		}
		return
	}
	if t.State == model.TaskFailed && s.tracker.RecordFailure(w, j.ID, now) {
		s.workersChanged = true
	}
	s.applyActions(j, j.gang.ApplyReport(t.Task.Index, t, now))
	s.updateFromGang(c, j, now)
}

func (s *Service) applyRefusal(c *kernel.Context, w model.WorkerID, r message.TaskRefusal, now time.Time) {
	if j := s.jobOfTask(w, r.Task); j != nil {
		s.applyActions(j, j.gang.ApplyRefusal(r.Task.Index, actionKinds[r.Op], now))
		s.updateFromGang(c, j, now)
	}
}

// applyMissingTasks handles members that the worker has reported before but that its full report does not list, for
// example because the worker was restarted.
func (s *Service) applyMissingTasks(c *kernel.Context, m message.WorkerReport, now time.Time) {
	listed := make(map[model.TaskID]bool, len(m.Tasks))
	for _, t := range m.Tasks {
		listed[t.Task] = true
	}
	s.forEachMember(m.Worker, func(j *job, i int) {
		id := model.TaskID{Job: j.ID, Index: i, Attempt: j.Attempt}
		if !listed[id] && j.gang.MemberActive(i) {
			s.applyActions(j, j.gang.ApplyMemberMissing(i, now))
			s.updateFromGang(c, j, now)
		}
	})
}

// forEachMember calls f for each gang member on a worker.
func (s *Service) forEachMember(w model.WorkerID, f func(j *job, index int)) {
	for id := range s.jobsByWorker[w] {
		j := s.jobs[id]
		for i, slot := range j.Placement {
			if slot.Worker == w && j.gang != nil {
				f(j, i)
			}
		}
	}
}

func (s *Service) handleWorkerLost(c *kernel.Context, m message.WorkerLost) {
	if s.isOtherEpoch(m.Epoch, m) {
		return
	}
	if w := s.workers[m.Worker]; w != nil {
		w.reported, w.lost, w.leaseExpiry = false, true, m.LeaseEnds
		s.workersChanged = true
	}
	if s.recovery != nil {
		s.dropReports(m.Worker)
		s.requestLeaseReview(c)
		s.tryFinishRecovery(c)
		return
	}
	now := time.Now()
	s.forEachMember(m.Worker, func(j *job, i int) {
		j.stopUnconfirmed = true
		s.applyActions(j, j.gang.ApplyWorkerLoss(i, m.LeaseEnds, now))
		s.updateFromGang(c, j, now)
	})
	s.requestRound(c)
}
