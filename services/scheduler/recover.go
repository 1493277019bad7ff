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

// recovering collects what a new holder must know before it starts anything.
type recovering struct {
	replayed bool
	// tasks holds the reported tasks of each worker.
	tasks map[model.WorkerID]map[model.TaskID]model.TaskStatus
	// sizes holds the sizes of the gangs whose record a worker reported.
	sizes map[model.JobID]int
	// renewed holds the workers whose leases are renewed already.
	renewed       map[model.WorkerID]bool
	reviewPending bool
	// graceOver is true once the workers had time to report; stopped holds the tasks that were stopped then.
	graceOver bool
	stopped   map[model.TaskID]bool
}

func newRecovering() *recovering {
	return &recovering{
		tasks: make(map[model.WorkerID]map[model.TaskID]model.TaskStatus), sizes: make(map[model.JobID]int),
		stopped: make(map[model.TaskID]bool),
	}
}

func (r *recovering) report(m message.WorkerReport) {
	known := r.tasks[m.Worker]
	if known == nil || m.Full {
		known = make(map[model.TaskID]model.TaskStatus, len(m.Tasks))
		r.tasks[m.Worker] = known
	}
	for _, t := range m.Tasks {
		if t.Record == nil {
			t.Record = known[t.Task].Record // Only full reports carry the record.
		}
		known[t.Task] = t
		r.learnSize(t)
	}
}

func (r *recovering) all() []recovery.Task {
	var out []recovery.Task
	for w, tasks := range r.tasks {
		for _, t := range tasks {
			out = append(out, recovery.Task{Worker: w, Status: t})
		}
	}
	return out
}

// replay loads the job records of the log.
func (s *Service) replay(c *kernel.Context, m message.LogReplayed) {
	switch {
	case s.stale(m.Epoch, m):
	case s.recovery == nil && s.log.partial && m.Sealed:
		s.replayLate(c, m)
	case s.recovery == nil || s.recovery.replayed && (!s.log.partial || !m.Sealed):
	default:
		s.recovery.replayed = true
		s.log.partial = !m.Sealed
		for id, j := range s.readLog(m.Records) {
			if s.jobs[id] == nil {
				s.load(j)
			}
		}
		s.sortEnded()
		s.requestReview(c)
		s.recover(c)
	}
}

// replayLate adds the jobs of a log that could not be read when the state was rebuilt. What runs by now goes
// on, unless its job was cancelled.
func (s *Service) replayLate(c *kernel.Context, m message.LogReplayed) {
	now := time.Now()
	s.log.partial = false
	for id, recorded := range s.readLog(m.Records) {
		j := s.jobs[id]
		if j == nil {
			s.load(recorded)
			continue
		}
		j.failures = max(j.failures, recorded.failures)
		if recorded.cancelled && !j.State.Final() && !j.cancelled {
			s.cancelLate(c, j, now)
		}
	}
	s.sortEnded()
	s.carryOut(c, s.resumeTransfers(now))
	s.queueRest(c, now)
	s.passCancels(c)
	klog.InfoS("log replayed late", "domain", s.domain, "epoch", s.epoch, "jobs", len(s.jobs))
	s.requestRound(c)
}

// cancelLate applies a cancellation that an earlier holder had recorded.
func (s *Service) cancelLate(c *kernel.Context, j *job, now time.Time) {
	j.cancelled = true
	if j.gang == nil {
		s.end(j, model.JobCancelled, "", now)
		return
	}
	s.changed(j)
	s.apply(j, j.gang.Cancel(gang.Canceled, now))
	s.follow(c, j, now)
}

// readLog returns the last record of each confirmed job, and passes the steps of transfers to their state machines.
func (s *Service) readLog(records []message.LogRecord) map[model.JobID]*job {
	latest := make(map[model.JobID]*job)
	var steps []transferRecord
	for _, r := range records {
		if r.Service != names.Scheduler {
			continue
		}
		j, t, err := decode(r.Data)
		if err != nil {
			klog.ErrorS(err, "job record skipped")
			continue
		}
		latest[j.ID] = j
		steps = append(steps, t)
	}
	s.replaySteps(steps)
	maps.DeleteFunc(latest, func(_ model.JobID, j *job) bool { return !j.confirmed })
	return latest
}

func (s *Service) sortEnded() {
	byEnd := func(a, b model.JobID) int { return s.jobs[a].Ended.Compare(s.jobs[b].Ended) }
	slices.SortFunc(s.ended, byEnd)
	slices.SortFunc(s.moved, byEnd)
}

// load enters a recorded job. Until a gang of it is adopted it counts as waiting.
func (s *Service) load(j *job) {
	switch j.State {
	case model.JobStarting, model.JobRunning, model.JobPreempting:
		j.State, j.unseen = model.JobQueued, true
	}
	if j.since.IsZero() {
		j.since = j.Submitted // The record is older than this field.
	}
	s.add(j)
}

// recover continues once the log is replayed and every worker has reported or counts as lost.
func (s *Service) recover(c *kernel.Context) {
	r := s.recovery
	if r == nil || !r.replayed || !s.listed {
		return
	}
	for _, w := range s.workers {
		if !w.reported && !w.lost {
			return
		}
	}
	s.review() // Whole gangs are renewed at once; the other workers with tasks get commands.
	s.recovery = nil
	tasks := r.all()
	if s.log.partial {
		s.rebuild(tasks)
	}
	s.resume(c, tasks)
}

// rebuild enters the jobs with a running task whose record a worker reported. A job without a running task
// may have ended in the log that cannot be read; the next holder that reads it decides.
func (s *Service) rebuild(tasks []recovery.Task) {
	live := make(map[model.JobID]bool)
	for _, t := range tasks {
		live[t.Status.Task.Job] = live[t.Status.Task.Job] || !t.Status.State.Final()
	}
	for _, t := range tasks {
		id := t.Status.Task.Job
		if t.Status.Record == nil || s.jobs[id] != nil || !live[id] {
			continue
		}
		j, err := decodeJob(t.Status.Record)
		if err != nil || j.ID != id || !j.confirmed {
			klog.ErrorS(err, "reported job record skipped", "job", id)
			continue
		}
		s.load(j)
	}
}

// resume adopts whole gangs, stops other tasks and queues the remaining jobs.
func (s *Service) resume(c *kernel.Context, tasks []recovery.Task) {
	now := time.Now()
	var messages []transfer.Action
	if !s.log.partial {
		messages = s.resumeTransfers(now)
	}
	result := recovery.Decide(tasks, func(id model.JobID) (int, bool) {
		j := s.jobs[id]
		if j == nil || j.State.Final() || j.elsewhere() {
			return 0, false
		}
		return j.Spec.Tasks, true
	})
	for _, t := range result.Stop {
		s.stopUnknown(t.Worker, t.Status.Task)
		if j := s.jobs[t.Status.Task.Job]; j != nil {
			j.lapsed = true // Nobody waits for the report of the stop.
		}
	}
	for id, attempt := range result.Attempts {
		if j := s.jobs[id]; j != nil {
			j.Attempt = max(j.Attempt, attempt)
			s.keepProgress(j, tasks)
		}
	}
	for _, g := range result.Adopt {
		s.adopt(c, g, now)
	}
	s.carryOut(c, messages)
	s.queueRest(c, now)
	s.passCancels(c)
	klog.InfoS("state rebuilt", "domain", s.domain, "epoch", s.epoch, "adopted", len(result.Adopt),
		"stopped", len(result.Stop), "jobs", len(s.jobs), "sealed", !s.log.partial)
	s.followDomain(c)
	s.requestRound(c)
}

// keepProgress takes the checkpointed share from the reported members, if every member reported one.
func (s *Service) keepProgress(j *job, tasks []recovery.Task) {
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

// adopt continues a running gang.
func (s *Service) adopt(c *kernel.Context, g recovery.Gang, now time.Time) {
	j := s.jobs[g.Job]
	j.Attempt, j.Placement, j.gang = g.Attempt, g.Placement(), gang.Adopt(g.Statuses())
	if j.Started.IsZero() {
		j.Started = now
	}
	j.planned, j.unseen = true, false
	s.planner.Adopt(j.waiting(), j.Placement, j.Started)
	s.bind(j)
	s.setState(j, model.JobRunning)
	s.metrics.CountEvent("gangs_adopted", 1)
	if j.cancelled {
		s.apply(j, j.gang.Cancel(gang.Canceled, now))
	}
	s.follow(c, j, now)
}

// queueRest hands the jobs without a gang to the planner in the order of their submission. If a worker is
// lost, a job that was started before waits until the lease of its unseen tasks has lapsed.
func (s *Service) queueRest(c *kernel.Context, now time.Time) {
	lapsed := now
	for _, w := range s.workers {
		if w.lost && w.leaseEnds.After(lapsed) {
			lapsed = w.leaseEnds
		}
	}
	s.transfers.offerFrom = lapsed // Until then a task that no record names may run on a lost worker.
	var rest []*job
	for _, j := range s.jobs {
		if j.confirmed && j.State == model.JobQueued && j.gang == nil && !j.planned && !j.backingOff {
			rest = append(rest, j)
		}
	}
	slices.SortFunc(rest, func(a, b *job) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range rest {
		j.lapsed = j.lapsed || j.unseen
		switch {
		case j.cancelled:
			s.end(j, model.JobCancelled, "", now)
		case lapsed.After(now) && j.Attempt > 0:
			j.backingOff, j.lapsed = true, true
			c.SendAfter(lapsed.Sub(now), retryDue{epoch: s.epoch, job: j.ID})
		default:
			s.enqueue(j)
		}
	}
}
