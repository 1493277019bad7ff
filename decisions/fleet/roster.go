package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// closed reports whether an executor is draining or unregistered, so that it gets no more starts.
func (e *executor) closed() bool { return !e.registered || e.info.Draining }

// ExecutorCount returns the number of executors.
func (f *Scheduler) ExecutorCount() int { return len(f.executors) }

// RosterVersion returns a number that changes whenever the roster may have changed.
func (f *Scheduler) RosterVersion() int64 { return f.rosterVersion }

// Roster returns the executors that may run tasks, to be recorded for the next holder. An executor that is returned as
// closed gets no start until a later roster that shows it as open is durable: a write whose outcome is unknown may have
// taken effect.
func (f *Scheduler) Roster() workload.Roster {
	out := make(workload.Roster, len(f.executors))
	for _, e := range f.sortedExecutors {
		entry := workload.RosterEntry{Address: cmp.Or(e.provenAddress, e.address)}
		if e.verified && e.closed() {
			entry.Closed = true
			for _, r := range e.taskRuns {
				if !slices.Contains(entry.Jobs, r.task.Job) {
					entry.Jobs = append(entry.Jobs, r.task.Job)
				}
			}
			e.closedInRoster = true
		}
		out[e.info.ID] = entry
	}
	return out
}

// MarkRosterRecorded marks a roster as durable.
func (f *Scheduler) MarkRosterRecorded(r workload.Roster) {
	for id, entry := range r {
		if e := f.executors[id]; e != nil && !entry.Closed {
			e.closedInRoster = false
		}
	}
}

// InheritRoster adds the executors of an earlier holder's roster. Those that are not registered get no work, but their
// runs are tracked.
func (f *Scheduler) InheritRoster(now time.Time, r workload.Roster) {
	for id, entry := range r {
		if _, known := f.executors[id]; !known {
			f.UpsertExecutor(now, workload.Executor{ID: id, Address: entry.Address})
			f.executors[id].registered = false
		}
		f.executors[id].inheritedEntry = &entry
		f.executors[id].inheritAddress(entry.Address)
	}
}

// mayHaveRun reports whether an earlier holder may have started a job's tasks on an executor that has not reported yet.
func (e *executor) mayHaveRun(id workload.JobID) bool {
	if e.verified {
		return false
	}
	return e.inheritedEntry == nil || !e.inheritedEntry.Closed || slices.Contains(e.inheritedEntry.Jobs, id)
}

// unreconciledExecutors returns the executors that have not reported yet which runs earlier holders started there; nil
// once all leases granted by these holders have expired.
func (f *Scheduler) unreconciledExecutors(now time.Time) []*executor {
	if f.reconciled(now) {
		return nil
	}
	var out []*executor
	for _, e := range f.sortedExecutors {
		if !e.verified {
			out = append(out, e)
		}
	}
	return out
}
