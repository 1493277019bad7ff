package scheduler

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// maxBatchRecords and maxBatchBytes bound the records of one append, so that a cancellation of thousands of
	// jobs stays below the 600 kB of a slot of the log.
	maxBatchRecords = 256
	maxBatchBytes   = 400_000
	// appendRetryDelay is the delay before the records of a failed append are appended again. The callers that
	// waited for them have already received the failure.
	appendRetryDelay = 500 * time.Millisecond
)

// entry is a job or a step of a transfer that is recorded in the log.
type entry interface {
	state() *entryState
	encode() []byte
}

// entryState tracks whether the changes of an entry are durable.
type entryState struct {
	// version counts the changes of the entry, and durable is the last version that is in the log.
	version, durable uint64
	// dirty is true while the entry waits for an append. dropped is true once the entry was removed from its table.
	dirty, dropped bool
}

func (r *entryState) state() *entryState { return r }

// journal holds the changes that are not in the log yet.
type journal struct {
	// dirty lists the entries with changes in the order of their first change.
	dirty    []entry
	inFlight bool
	// retryPending is true after a failed append until the retry timer fires.
	retryPending bool
	// fenced is true once a higher epoch has sealed the log, which then refuses all appends of this holder.
	fenced  bool
	waiters []*waiter
	// logUnread is true if the log could not be read, so that jobs may be missing.
	logUnread bool
	// snapshotsSent counts the snapshots sent. They contain changes that may not be in the log yet.
	snapshotsSent int
}

// waiter calls done once the versions of the entries are durable or an append of one of them has failed.
type waiter struct {
	versions map[entry]uint64
	done     func(*failure.Error)
}

type appendRetryDue struct{ epoch model.Epoch }

// Kind implements kernel.Message.
func (appendRetryDue) Kind() string { return "log_append_due" }

// markChanged marks an entry for the next append.
func (s *Service) markChanged(e entry) {
	e.state().version++
	s.journal.markDirty(e)
}

func (l *journal) markDirty(e entry) {
	if r := e.state(); !r.dirty {
		r.dirty = true
		l.dirty = append(l.dirty, e)
	}
}

// awaitDurable calls done once the current versions of the entries are durable or an append of one of them has failed.
func awaitDurable[E entry](s *Service, entries []E, done func(*failure.Error)) {
	w := &waiter{versions: make(map[entry]uint64, len(entries)), done: done}
	for _, e := range entries {
		if r := e.state(); r.durable < r.version {
			w.versions[e] = r.version
		}
	}
	if len(w.versions) == 0 {
		done(nil)
		return
	}
	if s.journal.fenced {
		done(failure.New(failure.NotHolder, "a higher epoch has sealed the log of %s", s.domain))
		return
	}
	s.journal.waiters = append(s.journal.waiters, w)
}

// appendChanges appends the changed entries unless an append is in progress. Changes during an append go into the next
// one.
func (s *Service) appendChanges(c *kernel.Context) {
	if s.journal.inFlight || s.journal.retryPending || s.journal.fenced || len(s.journal.dirty) == 0 || s.epoch.IsZero() || s.recovery != nil {
		return
	}
	batch, records := s.nextBatch()
	if len(records) == 0 {
		return
	}
	s.journal.inFlight = true
	epoch := s.epoch
	c.Request(names.Store, message.LogAppend{Epoch: epoch, Records: records}, func(_ kernel.Message, err error) {
		if epoch != s.epoch {
			return
		}
		s.journal.inFlight = false
		s.handleAppendResult(c, batch, err)
		s.finishEvent(c)
	})
}

// nextBatch removes the oldest changes, up to the bounds of one append but at least one, from the dirty entries.
func (s *Service) nextBatch() (map[entry]uint64, []message.LogRecord) {
	batch := make(map[entry]uint64)
	var records []message.LogRecord
	n, size := 0, 0
	for _, e := range s.journal.dirty {
		r := e.state()
		if r.dropped || !r.dirty {
			n++
			continue
		}
		data := e.encode()
		if size += len(data); len(records) == maxBatchRecords || len(records) > 0 && size > maxBatchBytes {
			break
		}
		n++
		r.dirty = false
		batch[e] = r.version
		records = append(records, message.LogRecord{Service: names.Scheduler, Data: data})
	}
	s.journal.dirty = slices.Clone(s.journal.dirty[n:])
	return batch, records
}

// classifyAppendError returns the typed failure of an append. A request that was not delivered counts as overload.
func classifyAppendError(err error) *failure.Error {
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

// provesNotAppended reports whether the failure guarantees that the records are not in the log and never will be.
func provesNotAppended(f *failure.Error) bool {
	return f.Reason == failure.TooLarge || f.Reason == failure.Overloaded
}

// handleAppendResult applies the result of an append.
func (s *Service) handleAppendResult(c *kernel.Context, batch map[entry]uint64, err error) {
	if err != nil {
		s.handleAppendFailure(c, batch, err)
		return
	}
	for e, v := range batch {
		r := e.state()
		r.durable = max(r.durable, v)
	}
	s.completeWaiters(func(w *waiter) (bool, *failure.Error) {
		for e, v := range w.versions {
			if batch[e] >= v {
				delete(w.versions, e)
			}
		}
		return len(w.versions) == 0, nil
	})
}

// handleAppendFailure fails the waiters and keeps the changes for a later append, because jobs continue to run without
// the store and their records must follow.
func (s *Service) handleAppendFailure(c *kernel.Context, batch map[entry]uint64, err error) {
	f := classifyAppendError(err)
	for e := range batch {
		if !e.state().dropped {
			s.journal.markDirty(e)
		}
	}
	s.journal.fenced = f.Reason == failure.NotHolder
	s.completeWaiters(func(w *waiter) (bool, *failure.Error) {
		if s.journal.fenced {
			return true, f
		}
		for e := range w.versions {
			if _, tried := batch[e]; tried {
				return true, f
			}
		}
		return false, nil
	})
	if len(s.journal.dirty) > 0 && !s.journal.fenced {
		s.metrics.CountRetry(failure.RetryStoreUnavailable)
		s.journal.retryPending = true
		c.SendAfter(appendRetryDelay, appendRetryDue{epoch: s.epoch})
	}
}

// completeWaiters removes the waiters that done selects and only then calls them, because they may add waiters.
func (s *Service) completeWaiters(done func(*waiter) (bool, *failure.Error)) {
	type result struct {
		w *waiter
		f *failure.Error
	}
	var ready []result
	s.journal.waiters = slices.DeleteFunc(s.journal.waiters, func(w *waiter) bool {
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
	s.completeWaiters(func(*waiter) (bool, *failure.Error) { return true, f })
}

// replySnapshot replies with one record per job and the records of the transfers. Unconfirmed jobs never run and are
// left out. A state that was rebuilt without the log is refused, because a snapshot replaces the log.
func (s *Service) replySnapshot(e kernel.Envelope, m message.SnapshotGet) {
	if m.Epoch != s.epoch || s.epoch.IsZero() || s.recovery != nil {
		e.Fail(s.metrics.CountRefusal(failure.New(failure.NotHolder, "no state under epoch %s", m.Epoch)))
		return
	}
	if s.journal.logUnread {
		e.Fail(s.metrics.CountRefusal(failure.New(failure.StoreUnavailable, "the log of %s was not read", s.domain)))
		return
	}
	s.journal.snapshotsSent++
	var out message.SnapshotReply
	for _, j := range s.jobs {
		if j.confirmed {
			out.Records = append(out.Records, message.LogRecord{Service: names.Scheduler, Data: j.encode()})
		}
	}
	for _, step := range s.transferSteps() {
		out.Records = append(out.Records, message.LogRecord{Service: names.Scheduler, Data: step.encode()})
	}
	e.Reply(out)
}
