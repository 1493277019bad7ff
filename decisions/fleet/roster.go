package fleet

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// closed reports whether an executor gets no more starts.
func (e *executor) closed() bool { return !e.listed || e.info.Draining }

// RosterVersion changes whenever the roster may have changed.
func (f *Scheduler) RosterVersion() int64 { return f.rosterVersion }

// Roster returns the executors that may run tasks, for the next holder. An executor that is returned as closed gets no
// start until a later roster, in which it is not, has been recorded: a record without an answer may have been made.
func (f *Scheduler) Roster() workload.Roster {
	out := make(workload.Roster, len(f.executors))
	for _, e := range f.order {
		entry := workload.RosterEntry{Address: e.info.Address}
		if e.verified && e.closed() {
			entry.Closed = true
			for _, m := range e.members {
				if !slices.Contains(entry.Jobs, m.task.Job) {
					entry.Jobs = append(entry.Jobs, m.task.Job)
				}
			}
			e.recordedClosed = true
		}
		out[e.info.ID] = entry
	}
	return out
}

// RosterRecorded applies that a roster is durable.
func (f *Scheduler) RosterRecorded(r workload.Roster) {
	for id, entry := range r {
		if e := f.executors[id]; e != nil && !entry.Closed {
			e.recordedClosed = false
		}
	}
}

// Inherit adds the executors of an earlier holder's roster. Those that are not registered get no work, but what runs there
// is followed.
func (f *Scheduler) Inherit(now time.Time, r workload.Roster) {
	for id, entry := range r {
		if _, known := f.executors[id]; !known {
			f.UpsertExecutor(now, workload.Executor{ID: id, Address: entry.Address})
			f.executors[id].listed = false
		}
		f.executors[id].inherited = &entry
	}
}

// mayRun reports whether an earlier holder may have started a job's tasks on an executor that has not reported yet.
func (e *executor) mayRun(id workload.JobID) bool {
	if e.verified || e.refusals >= refusalsUntilGone {
		return false
	}
	return e.inherited == nil || !e.inherited.Closed || slices.Contains(e.inherited.Jobs, id)
}

// unsettled returns the executors that have not shown yet what earlier holders have started there; nil once all leases of
// these holders have ended.
func (f *Scheduler) unsettled(now time.Time) []*executor {
	if f.settled(now) {
		return nil
	}
	var out []*executor
	for _, e := range f.order {
		if !e.verified && e.refusals < refusalsUntilGone {
			out = append(out, e)
		}
	}
	return out
}
