package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/decisions/runtimes"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// What the scheduler has learned about run times is kept in the store for the next holder. It can be lost without harm,
// so that it has transactions of its own, on which nothing waits.

const (
	// defaultRunTimesInterval is the shortest time between two saves of the run times, maxRunTimesRate their largest mean rate in
	// bytes a second, because the link of a small VM carries the calls of clients, too.
	defaultRunTimesInterval = 10 * time.Second
	maxRunTimesRate         = 4 << 10
	// runTimesReadDelay is the delay before a failed reading is repeated, runTimesReadLimit the age of the term from which on
	// the holder goes on without the run times of its predecessor.
	runTimesReadDelay = time.Second
	runTimesReadLimit = 15 * time.Second
)

type (
	runTimesRead struct {
		termScoped
		// item is nil if the store holds no run times.
		item *metastore.Item
		err  error
	}
	runTimesDue   struct{ termScoped }
	runTimesSaved struct {
		termScoped
		version int64
		size    int
		err     error
	}
)

// Kind implements kernel.Message.
func (runTimesRead) Kind() string { return "holder_run_times_read" }

// Kind implements kernel.Message.
func (runTimesDue) Kind() string { return "holder_run_times_due" }

// Kind implements kernel.Message.
func (runTimesSaved) Kind() string { return "holder_run_times_saved" }

// runTimes is the state of the saves of a term.
type runTimes struct {
	// read is set once the run times of the predecessor were read or given up. Nothing is saved before.
	read     bool
	inFlight bool
	// version is the version of the model that was last saved, nextSaveAt the earliest time of the next save.
	version    int64
	nextSaveAt time.Time
	// evictedHosts is the number of evicted hosts of the model that were counted.
	evictedHosts int64
	// queueGauges holds the names of the gauges of queues that were set in the term.
	queueGauges map[string]bool
}

// loadRunTimes reads the run times that an earlier holder has saved.
func (s *Service) loadRunTimes(c *kernel.Context, t *term) {
	if t.fleet.RunTimes() == nil {
		return
	}
	c.Spawn(func(ctx context.Context) kernel.Message {
		out := runTimesRead{termScoped: termScoped{t.number}}
		items, _, err := s.store.List(ctx, records.RunTimesKey)
		out.err = err
		for i := range items {
			if items[i].Key == records.RunTimesKey {
				out.item = &items[i]
			}
		}
		return out
	})
}

// handleRunTimesRead restores the run times of an earlier holder. What cannot be used is ignored.
func (s *Service) handleRunTimesRead(c *kernel.Context, m runTimesRead) {
	t := s.term
	if m.err != nil {
		s.metrics.CountEvent("run_times_unread", 1)
		if time.Since(t.startedAt) < runTimesReadLimit {
			c.SendAfter(runTimesReadDelay, runTimesDue{termScoped{t.number}})
			return
		}
		s.log("reading the run times failed; learning anew", "error", m.err.Error())
	}
	t.runTimes.read = true
	t.runTimes.nextSaveAt = time.Now().Add(s.settings.RunTimesInterval)
	if m.item == nil {
		return
	}
	snapshot, err := records.Decode[runtimes.Snapshot](m.item.Key, m.item.Value)
	if err == nil {
		err = snapshot.Validate()
	}
	if err != nil {
		s.metrics.CountEvent("run_times_unreadable", 1)
		s.log("unreadable run times ignored", "error", err.Error(), "revision", m.item.Revision)
		return
	}
	t.fleet.RestoreRunTimes(snapshot)
	t.runTimes.evictedHosts = 0
	t.runTimes.version = t.fleet.RunTimes().Version()
	s.log("run times restored", "cells", t.fleet.RunTimes().Cells(), "hosts", t.fleet.RunTimes().Hosts(), "bytes", len(m.item.Value), "revision", m.item.Revision)
}

// saveRunTimes writes the run times to the store if they have changed and a save is due. A holder that was replaced
// cannot write, because the transaction depends on its entry.
func (s *Service) saveRunTimes(c *kernel.Context, now time.Time) {
	t := s.term
	model, state := t.fleet.RunTimes(), &t.runTimes
	if model == nil || !state.read || state.inFlight || now.Before(state.nextSaveAt) || model.Version() == state.version {
		return
	}
	state.inFlight = true
	snapshot, fence := model.Snapshot(), t.fence
	out := runTimesSaved{termScoped: termScoped{t.number}, version: model.Version()}
	c.Spawn(func(ctx context.Context) kernel.Message {
		value := records.Encode(snapshot)
		if out.size = len(value); out.size > runtimes.MaxSnapshotBytes {
			out.err = errors.Newf("%d bytes, want at most %d", out.size, runtimes.MaxSnapshotBytes)
			return out
		}
		_, out.err = s.store.Commit(ctx, metastore.Txn{
			Conditions: []metastore.Condition{{Key: records.HolderKey, Revision: fence}},
			Writes:     []metastore.Write{{Key: records.RunTimesKey, Value: value}},
		})
		return out
	})
}

// handleRunTimesSaved applies the result of a save. A failed one is not repeated before the next is due.
func (s *Service) handleRunTimesSaved(m runTimesSaved) {
	state := &s.term.runTimes
	state.inFlight = false
	state.nextSaveAt = time.Now().Add(max(s.settings.RunTimesInterval, time.Duration(m.size)*time.Second/maxRunTimesRate))
	if m.err != nil {
		s.metrics.CountEvent("run_times_save_failed", 1)
		s.log("saving the run times failed; trying again later", "bytes", m.size, "error", m.err.Error())
		return
	}
	state.version = m.version
	s.metrics.CountEvent("run_times_saved", 1)
	s.metrics.SetGauge("run_times_bytes", int64(m.size))
}

// updateRunTimeGauges updates the sizes of the model and, for each queue, the mean errors of declared and of learned run
// times in percent.
func (s *Service) updateRunTimeGauges() {
	model := s.term.fleet.RunTimes()
	if model == nil {
		return
	}
	s.metrics.SetGauge("run_times_cells", int64(model.Cells()))
	s.metrics.SetGauge("run_times_hosts", int64(model.Hosts()))
	s.metrics.CountEvent("run_times_hosts_evicted", model.EvictedHosts()-s.term.runTimes.evictedHosts)
	s.term.runTimes.evictedHosts = model.EvictedHosts()
	state := &s.term.runTimes
	if state.queueGauges == nil {
		state.queueGauges = map[string]bool{}
	}
	for _, e := range model.Errors() {
		for prefix, v := range map[string]float64{"run_time_error_declared_percent_": e.Declared, "run_time_error_learned_percent_": e.Learned} {
			name := prefix + string(e.Queue)
			s.metrics.SetGauge(name, percent(v))
			state.queueGauges[name] = true
		}
	}
}

// removeTermGauges removes the gauges of a term that has ended, which would show for ever what was so at its end.
func (s *Service) removeTermGauges(t *term) {
	for name := range t.runTimes.queueGauges {
		s.metrics.RemoveGauge(name)
	}
	for _, name := range []string{"run_times_cells", "run_times_hosts", "run_times_bytes", "accounts_at_limit", "units_at_account_limit", "jobs_excess_open"} {
		s.metrics.RemoveGauge(name)
	}
}

// maxErrorPercent bounds the errors that the gauges show.
const maxErrorPercent = 10_000

func percent(share float64) int64 { return int64(min(100*share, maxErrorPercent) + 0.5) }
