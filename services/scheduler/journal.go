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
	// maxBatch and maxBatchBytes bound the records of one append, so that a cancellation of thousands of
	// jobs stays below the 600 kB of a slot of the log.
	maxBatch      = 256
	maxBatchBytes = 400_000
	// appendRetry is the delay after a failed append of records that nobody waits for.
	appendRetry = 500 * time.Millisecond
)

// entry is a job or a step of a transfer.
type entry interface {
	state() *recorded
	encode() []byte
}

// recorded is the part of an entry that the journal owns.
type recorded struct {
	// version counts the changes and durable is the last version that is in the log.
	version, durable uint64
	// dirty is true while the entry waits for an append, dropped once it is out of its table.
	dirty, dropped bool
}

func (r *recorded) state() *recorded { return r }

// journal holds the changes that are not in the log yet.
type journal struct {
	// order lists the dirty entries by the time of their first change.
	order    []entry
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

// waiter runs done once versions of entries are durable or an append of one of them has failed.
type waiter struct {
	versions map[entry]uint64
	done     func(*failure.Error)
}

type appendDue struct{ epoch model.Epoch }

// Kind implements kernel.Message.
func (appendDue) Kind() string { return "log_append_due" }

// changed marks an entry for the next append.
func (s *Service) changed(e entry) {
	e.state().version++
	s.log.mark(e)
}

func (l *journal) mark(e entry) {
	if r := e.state(); !r.dirty {
		r.dirty = true
		l.order = append(l.order, e)
	}
}

// await runs done once the current versions of the entries are durable.
func await[E entry](s *Service, entries []E, done func(*failure.Error)) {
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
func (s *Service) nextBatch() (map[entry]uint64, []message.LogRecord) {
	batch := make(map[entry]uint64)
	var records []message.LogRecord
	n, size := 0, 0
	for _, e := range s.log.order {
		r := e.state()
		if r.dropped || !r.dirty {
			n++
			continue
		}
		data := e.encode()
		if size += len(data); len(records) == maxBatch || len(records) > 0 && size > maxBatchBytes {
			break
		}
		n++
		r.dirty = false
		batch[e] = r.version
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
func (s *Service) appended(c *kernel.Context, batch map[entry]uint64, err error) {
	if err != nil {
		s.appendFailed(c, batch, err)
		return
	}
	for e, v := range batch {
		r := e.state()
		r.durable = max(r.durable, v)
	}
	s.settleWaiters(func(w *waiter) (bool, *failure.Error) {
		for e, v := range w.versions {
			if batch[e] >= v {
				delete(w.versions, e)
			}
		}
		return len(w.versions) == 0, nil
	})
}

// appendFailed tells the waiters and keeps the records for a later append, because jobs go on without the
// store and their records must follow.
func (s *Service) appendFailed(c *kernel.Context, batch map[entry]uint64, err error) {
	f := appendFailure(err)
	for e := range batch {
		if !e.state().dropped {
			s.log.mark(e)
		}
	}
	s.log.closed = f.Reason == failure.NotHolder
	s.settleWaiters(func(w *waiter) (bool, *failure.Error) {
		if s.log.closed {
			return true, f
		}
		for e := range w.versions {
			if _, tried := batch[e]; tried {
				return true, f
			}
		}
		return false, nil
	})
	if len(s.log.order) > 0 && !s.log.closed {
		s.metrics.CountRetry(failure.RetryStoreUnavailable)
		s.log.delayed = true
		c.SendAfter(appendRetry, appendDue{epoch: s.epoch})
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

// snapshot answers with one record per job and the records of the transfers. Unconfirmed jobs never run and are
// left out. A state that was rebuilt without the log gives none, because a snapshot replaces the log.
func (s *Service) snapshot(e kernel.Envelope, m message.SnapshotGet) {
	if m.Epoch != s.epoch || s.epoch.IsZero() || s.recovery != nil {
		e.Fail(s.metrics.CountRefusal(failure.New(failure.NotHolder, "no state under epoch %s", m.Epoch)))
		return
	}
	if s.log.partial {
		e.Fail(s.metrics.CountRefusal(failure.New(failure.StoreUnavailable, "the log of %s was not read", s.domain)))
		return
	}
	s.log.snapshots++
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
