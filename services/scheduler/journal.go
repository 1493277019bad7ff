package scheduler

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// maxBatch and maxBatchBytes bound the records of one append, so that a cancellation of thousands of
	// jobs stays below the 600 kB of a slot of the log.
	maxBatch      = 256
	maxBatchBytes = 400_000
	// appendRetry is the delay after a failed append of records that nobody waits for.
	appendRetry = 500 * time.Millisecond
)

// record is the durable state of one job. A later record of a job replaces an earlier one.
type record struct {
	Job          model.Job `json:"job"`
	Progress     float64   `json:"progress,omitempty"`
	Failures     int       `json:"failures,omitempty"`
	FailedStarts int       `json:"failed_starts,omitempty"`
	Confirmed    bool      `json:"confirmed,omitempty"`
	Cancelled    bool      `json:"cancelled,omitempty"`
}

// journal holds the changes that are not in the log yet.
type journal struct {
	dirty map[model.JobID]bool
	// order lists the dirty jobs by the time of their first change.
	order    []model.JobID
	inFlight bool
	// delayed is true until the retry timer after a failed append.
	delayed bool
	// closed is true once a higher epoch has sealed the log.
	closed  bool
	waiters []*waiter
	// partial is true if the log could not be read, so that jobs may be missing.
	partial bool
	// snapshots counts the snapshots given; they contain changes that are not in the log yet.
	snapshots int
}

// waiter runs done once versions of jobs are durable or an append of one of them has failed.
type waiter struct {
	versions map[model.JobID]uint64
	done     func(*failure.Error)
}

type appendDue struct{ epoch model.Epoch }

// Kind implements kernel.Message.
func (appendDue) Kind() string { return "log_append_due" }

func (s *Service) encode(j *job) []byte {
	r := record{
		Job: j.Job, Progress: j.progress, Failures: j.failures, FailedStarts: j.failedStarts,
		Confirmed: j.confirmed, Cancelled: j.cancelled,
	}
	r.Job.Placement = nil // Worker reports tell where the tasks are.
	data, err := json.Marshal(r)
	if err != nil {
		klog.ErrorS(errors.Wrap(err, "encode job"), "job record not encoded", "job", j.ID)
	}
	return data
}

func decode(data []byte) (*job, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decode job record")
	}
	return &job{
		Job: r.Job, progress: r.Progress, failures: r.Failures, failedStarts: r.FailedStarts,
		confirmed: r.Confirmed, cancelled: r.Cancelled,
	}, nil
}

// changed marks a job for the next append.
func (s *Service) changed(j *job) {
	j.version++
	if !s.log.dirty[j.ID] {
		s.log.dirty[j.ID] = true
		s.log.order = append(s.log.order, j.ID)
	}
}

// await runs done once the current versions of the jobs are durable.
func (s *Service) await(jobs []*job, done func(*failure.Error)) {
	w := &waiter{versions: make(map[model.JobID]uint64, len(jobs)), done: done}
	for _, j := range jobs {
		if j.durable < j.version {
			w.versions[j.ID] = j.version
		}
	}
	if len(w.versions) == 0 {
		done(nil)
		return
	}
	if s.log.closed {
		done(failure.New(failure.NotHolder, "a higher epoch has sealed the log of %s", s.domain))
		return
	}
	s.log.waiters = append(s.log.waiters, w)
}

// flush appends the changed jobs unless an append is in progress. Changes during an append form the next one.
func (s *Service) flush(c *kernel.Context) {
	if s.log.inFlight || s.log.delayed || s.log.closed || len(s.log.order) == 0 || s.epoch.IsZero() || s.recovery != nil {
		return
	}
	batch, records := s.nextBatch()
	if len(records) == 0 {
		return
	}
	s.log.inFlight = true
	epoch := s.epoch
	c.Request(names.Store, message.LogAppend{Epoch: epoch, Records: records}, func(_ kernel.Message, err error) {
		if epoch != s.epoch {
			return
		}
		s.log.inFlight = false
		s.appended(c, batch, err)
		s.finishEvent(c)
	})
}

// nextBatch takes the oldest changes up to the bounds of one append. It takes at least one.
func (s *Service) nextBatch() (map[model.JobID]uint64, []message.LogRecord) {
	batch := make(map[model.JobID]uint64)
	var records []message.LogRecord
	n, size := 0, 0
	for _, id := range s.log.order {
		j := s.jobs[id]
		if j == nil || !s.log.dirty[id] {
			n++
			continue
		}
		data := s.encode(j)
		if size += len(data); len(records) == maxBatch || len(records) > 0 && size > maxBatchBytes {
			break
		}
		n++
		delete(s.log.dirty, id)
		batch[id] = j.version
		records = append(records, message.LogRecord{Service: names.Scheduler, Data: data})
	}
	s.log.order = slices.Clone(s.log.order[n:])
	return batch, records
}

// appendFailure returns the typed failure of an append. A request that was not delivered is overload.
func appendFailure(err error) *failure.Error {
	var full *kernel.MailboxFullError
	var many *kernel.TooManyRequestsError
	if errors.As(err, &full) || errors.As(err, &many) {
		return failure.New(failure.Overloaded, "%v", err)
	}
	f := failure.From(err)
	if f.Reason == failure.Internal {
		return failure.New(failure.StoreUnavailable, "%v", err)
	}
	return f
}

// notAppended reports whether the failure proves that the records are not in the log and never will be.
func notAppended(f *failure.Error) bool {
	return f.Reason == failure.TooLarge || f.Reason == failure.Overloaded
}

// appended applies the result of an append.
func (s *Service) appended(c *kernel.Context, batch map[model.JobID]uint64, err error) {
	if err != nil {
		s.appendFailed(c, batch, err)
		return
	}
	for id, v := range batch {
		if j := s.jobs[id]; j != nil {
			j.durable = max(j.durable, v)
		}
	}
	s.settleWaiters(func(w *waiter) (bool, *failure.Error) {
		for id, v := range w.versions {
			if batch[id] >= v {
				delete(w.versions, id)
			}
		}
		return len(w.versions) == 0, nil
	})
}

// appendFailed tells the waiters and keeps the records for a later append, because jobs go on without the
// store and their records must follow.
func (s *Service) appendFailed(c *kernel.Context, batch map[model.JobID]uint64, err error) {
	f := appendFailure(err)
	for id := range batch {
		if j := s.jobs[id]; j != nil && !s.log.dirty[id] {
			s.log.dirty[id] = true
			s.log.order = append(s.log.order, id)
		}
	}
	s.log.closed = f.Reason == failure.NotHolder
	s.settleWaiters(func(w *waiter) (bool, *failure.Error) {
		if s.log.closed {
			return true, f
		}
		for id := range w.versions {
			if _, tried := batch[id]; tried {
				return true, f
			}
		}
		return false, nil
	})
	if len(s.log.order) > 0 && !s.log.closed {
		s.metrics.Retry(failure.RetryStoreUnavailable)
		s.log.delayed = true
		c.After(appendRetry, appendDue{epoch: s.epoch})
	}
}

// settleWaiters removes the waiters that are done and then runs them, since they may wait again.
func (s *Service) settleWaiters(done func(*waiter) (bool, *failure.Error)) {
	type result struct {
		w *waiter
		f *failure.Error
	}
	var ready []result
	s.log.waiters = slices.DeleteFunc(s.log.waiters, func(w *waiter) bool {
		ok, f := done(w)
		if ok {
			ready = append(ready, result{w, f})
		}
		return ok
	})
	for _, r := range ready {
		r.w.done(r.f)
	}
}

func (s *Service) failWaiters(f *failure.Error) {
	s.settleWaiters(func(*waiter) (bool, *failure.Error) { return true, f })
}

// snapshot answers with one record per job. Unconfirmed jobs never run and are left out. A state that was
// rebuilt without the log gives none, because a snapshot replaces the log.
func (s *Service) snapshot(e kernel.Envelope, m message.SnapshotGet) {
	if m.Epoch != s.epoch || s.epoch.IsZero() || s.recovery != nil {
		e.Fail(s.metrics.Refusal(failure.New(failure.NotHolder, "no state under epoch %s", m.Epoch)))
		return
	}
	if s.log.partial {
		e.Fail(s.metrics.Refusal(failure.New(failure.StoreUnavailable, "the log of %s was not read", s.domain)))
		return
	}
	s.log.snapshots++
	var out message.SnapshotReply
	for _, j := range s.jobs {
		if j.confirmed {
			out.Records = append(out.Records, message.LogRecord{Service: names.Scheduler, Data: s.encode(j)})
		}
	}
	e.Reply(out)
}
