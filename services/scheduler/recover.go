package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/gang"
	"github.com/verbenaflow/verbenaflow/decisions/recovery"
	"github.com/verbenaflow/verbenaflow/decisions/transfer"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// recoveryState collects what a new holder must know before it starts any task.
type recoveryState struct {
	replayed bool
	// tasks holds the reported tasks by worker.
	tasks map[model.WorkerID]map[model.TaskID]model.TaskStatus
	// gangSizes holds the sizes of the gangs whose job record a worker has reported.
	gangSizes map[model.JobID]int
	// renewedWorkers holds the workers whose leases are already renewed.
	renewedWorkers map[model.WorkerID]bool
	reviewPending  bool
	// graceOver is true once partialGangGrace has passed.
	graceOver bool
	// stoppedTasks holds the obstructing tasks that were stopped since then.
	stoppedTasks map[model.TaskID]bool
}

func newRecoveryState() *recoveryState {
	return &recoveryState{
		tasks: make(map[model.WorkerID]map[model.TaskID]model.TaskStatus), gangSizes: make(map[model.JobID]int),
		stoppedTasks: make(map[model.TaskID]bool),
	}
}

func (r *recoveryState) addReport(m message.WorkerReport) {
	known := r.tasks[m.Worker]
	if known == nil || m.Full {
		known = make(map[model.TaskID]model.TaskStatus, len(m.Tasks))
		r.tasks[m.Worker] = known
	}
	for _, t := range m.Tasks {
		if t.Record == nil {
			t.Record = known[t.Task].Record // Only full reports contain the record.
		}
		known[t.Task] = t
		r.recordGangSize(t)
	}
}

func (r *recoveryState) allTasks() []recovery.Task {
	var out []recovery.Task
	for w, tasks := range r.tasks {
		for _, t := range tasks {
			out = append(out, recovery.Task{Worker: w, Status: t})
		}
	}
	return out
}

// handleReplay loads the jobs from the records of the log.
func (s *Service) handleReplay(c *kernel.Context, m message.LogReplayed) {
	switch {
	case s.isOtherEpoch(m.Epoch, m):
	case s.recovery == nil && s.journal.logUnread && m.Sealed:
		s.mergeLateReplay(c, m)
	case s.recovery == nil || s.recovery.replayed && (!s.journal.logUnread || !m.Sealed):
	default:
		s.recovery.replayed = true
		s.journal.logUnread = !m.Sealed
		for id, j := range s.decodeLog(m.Records) {
			if s.jobs[id] == nil {
				s.loadJob(j)
			}
		}
		s.sortEnded()
		s.requestLeaseReview(c)
		s.tryFinishRecovery(c)
	}
}

// mergeLateReplay adds the jobs of a log that could not be read when the state was rebuilt. Jobs that already run
// continue, unless they were cancelled.
func (s *Service) mergeLateReplay(c *kernel.Context, m message.LogReplayed) {
	now := time.Now()
	s.journal.logUnread = false
	for id, recorded := range s.decodeLog(m.Records) {
		j := s.jobs[id]
		if j == nil {
			s.loadJob(recorded)
			continue
		}
		j.failures = max(j.failures, recorded.failures)
		if recorded.cancelled && !j.State.Final() && !j.cancelled {
			s.applyRecordedCancel(c, j, now)
		}
	}
	s.sortEnded()
	s.applyTransferActions(c, s.resumeTransfers(now))
	s.enqueueRemaining(c, now)
	s.forwardCancels(c)
	klog.InfoS("log replayed after the state was rebuilt", "domain", s.domain, "epoch", s.epoch, "jobs", len(s.jobs))
	s.requestRound(c)
}

// applyRecordedCancel applies a cancellation that an earlier holder has recorded.
func (s *Service) applyRecordedCancel(c *kernel.Context, j *job, now time.Time) {
	j.cancelled = true
	if j.gang == nil {
		s.endJob(j, model.JobCancelled, "", now)
		return
	}
	s.markChanged(j)
	s.applyActions(j, j.gang.Cancel(gang.Canceled, now))
	s.updateFromGang(c, j, now)
}

// decodeLog returns the last record of each confirmed job, and replays the steps of transfers.
func (s *Service) decodeLog(records []message.LogRecord) map[model.JobID]*job {
	latest := make(map[model.JobID]*job)
	var steps []transferRecord
	for _, r := range records {
		if r.Service != names.Scheduler {
			continue
		}
		j, t, err := decodeRecord(r.Data)
		if err != nil {
			klog.ErrorS(err, "job record skipped")
			continue
		}
		latest[j.ID] = j
		steps = append(steps, t)
	}
	s.replayTransferSteps(steps)
	maps.DeleteFunc(latest, func(_ model.JobID, j *job) bool { return !j.confirmed })
	return latest
}

func (s *Service) sortEnded() {
	byEnd := func(a, b model.JobID) int { return s.jobs[a].Ended.Compare(s.jobs[b].Ended) }
	slices.SortFunc(s.endedJobs, byEnd)
	slices.SortFunc(s.movedJobs, byEnd)
}

// loadJob adds a job from a record. A job that was running counts as queued until its gang is adopted.
func (s *Service) loadJob(j *job) {
	switch j.State {
	case model.JobStarting, model.JobRunning, model.JobPreempting:
		j.State, j.awaitsAdoption = model.JobQueued, true
	}
	if j.queuedSince.IsZero() {
		j.queuedSince = j.Submitted // The record was written before this field was added.
	}
	s.addJob(j)
}

// tryFinishRecovery ends the recovery once the log is replayed and every worker has reported or is lost.
func (s *Service) tryFinishRecovery(c *kernel.Context) {
	r := s.recovery
	if r == nil || !r.replayed || !s.workersKnown {
		return
	}
	for _, w := range s.workers {
		if !w.reported && !w.lost {
			return
		}
	}
	s.reviewLeases() // Renews complete gangs at once; the other workers with tasks get commands.
	s.recovery = nil
	tasks := r.allTasks()
	if s.journal.logUnread {
		s.loadReportedJobs(tasks)
	}
	s.finishRecovery(c, tasks)
}

// loadReportedJobs adds the jobs with a running task from the records that workers have reported. A job without a
// running task may have ended in the log, which could not be read, and is left to the next holder that reads the log.
func (s *Service) loadReportedJobs(tasks []recovery.Task) {
	live := make(map[model.JobID]bool)
	for _, t := range tasks {
		live[t.Status.Task.Job] = live[t.Status.Task.Job] || !t.Status.State.Final()
	}
	for _, t := range tasks {
		id := t.Status.Task.Job
		if t.Status.Record == nil || s.jobs[id] != nil || !live[id] {
			continue
		}
		j, err := decodeJobRecord(t.Status.Record)
		if err != nil || j.ID != id || !j.confirmed {
			klog.ErrorS(err, "reported job record skipped", "job", id)
			continue
		}
		s.loadJob(j)
	}
}

// finishRecovery adopts complete gangs, stops other tasks and queues the remaining jobs.
func (s *Service) finishRecovery(c *kernel.Context, tasks []recovery.Task) {
	now := time.Now()
	var resumeActions []transfer.Action
	if !s.journal.logUnread {
		resumeActions = s.resumeTransfers(now)
	}
	result := recovery.Decide(tasks, func(id model.JobID) (int, bool) {
		j := s.jobs[id]
		if j == nil || j.State.Final() || j.mayRunElsewhere() {
			return 0, false
		}
		return j.Spec.Tasks, true
	})
	for _, t := range result.Stop {
		s.stopUnknown(t.Worker, t.Status.Task)
		if j := s.jobs[t.Status.Task.Job]; j != nil {
			j.stopUnconfirmed = true // The report of the stop is not awaited.
		}
	}
	for id, attempt := range result.Attempts {
		if j := s.jobs[id]; j != nil {
			j.Attempt = max(j.Attempt, attempt)
			s.mergeReportedProgress(j, tasks)
		}
	}
	for _, g := range result.Adopt {
		s.adoptGang(c, g, now)
	}
	s.applyTransferActions(c, resumeActions)
	s.enqueueRemaining(c, now)
	s.forwardCancels(c)
	klog.InfoS("state rebuilt", "domain", s.domain, "epoch", s.epoch, "adopted", len(result.Adopt),
		"stopped", len(result.Stop), "jobs", len(s.jobs), "sealed", !s.journal.logUnread)
	s.updateDomainOut(c)
	s.requestRound(c)
}

// mergeReportedProgress applies the lowest checkpointed share of the members if every member has reported one.
func (s *Service) mergeReportedProgress(j *job, tasks []recovery.Task) {
	share, n := 1.0, 0
	for _, t := range tasks {
		if t.Status.Task.Job == j.ID && t.Status.Task.Attempt == j.Attempt {
			share, n = min(share, t.Status.Progress), n+1
		}
	}
	if n == j.Spec.Tasks {
		j.progress = max(j.progress, share)
	}
}

// adoptGang continues a gang that runs already.
func (s *Service) adoptGang(c *kernel.Context, g recovery.Gang, now time.Time) {
	j := s.jobs[g.Job]
	j.Attempt, j.Placement, j.gang = g.Attempt, g.Placement(), gang.Adopt(g.Statuses())
	if j.Started.IsZero() {
		j.Started = now
	}
	j.inPlanner, j.awaitsAdoption = true, false
	s.planner.Adopt(j.queuedJob(), j.Placement, j.Started)
	s.indexPlacement(j)
	s.setState(j, model.JobRunning)
	s.metrics.CountEvent("gangs_adopted", 1)
	if j.cancelled {
		s.applyActions(j, j.gang.Cancel(gang.Canceled, now))
	}
	s.updateFromGang(c, j, now)
}

// enqueueRemaining passes the jobs without a gang to the planner in the order of their submission. If a worker is lost,
// a job that was started before waits until the lease of that worker has expired, because its tasks may still run
// there.
func (s *Service) enqueueRemaining(c *kernel.Context, now time.Time) {
	leasesExpire := now
	for _, w := range s.workers {
		if w.lost && w.leaseExpiry.After(leasesExpire) {
			leasesExpire = w.leaseExpiry
		}
	}
	s.transfers.notBefore = leasesExpire // Until then a lost worker may run a task that no record mentions.
	var remaining []*job
	for _, j := range s.jobs {
		if j.confirmed && j.State == model.JobQueued && j.gang == nil && !j.inPlanner && !j.backingOff {
			remaining = append(remaining, j)
		}
	}
	slices.SortFunc(remaining, func(a, b *job) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range remaining {
		j.stopUnconfirmed = j.stopUnconfirmed || j.awaitsAdoption
		switch {
		case j.cancelled:
			s.endJob(j, model.JobCancelled, "", now)
		case leasesExpire.After(now) && j.Attempt > 0:
			j.backingOff, j.stopUnconfirmed = true, true
			c.SendAfter(leasesExpire.Sub(now), startRetryDue{epoch: s.epoch, job: j.ID})
		default:
			s.enqueue(j)
		}
	}
}
