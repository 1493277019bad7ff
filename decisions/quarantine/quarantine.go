// Package quarantine tracks workers on which tasks fail and decides when they may receive tasks again.
//
// A worker on which tasks of several jobs have failed in a row receives no task until a delay has passed;
// then one probe job. The scheme is the circuit breaker of Nygard, "Release It!", with one probe.
package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// Threshold is the number of different jobs that fail in a row before a worker is quarantined.
	Threshold = 3
	// BlameLimit is the number of different workers on which a job fails before the job counts as the
	// cause. From then on it counts against no worker.
	BlameLimit = 3
	// FirstDelay is the time before the first probe. It doubles with each failed probe up to MaxDelay.
	FirstDelay = 30 * time.Second
	// MaxDelay bounds the time between probes, so that a repaired worker returns without an operator.
	MaxDelay = 10 * time.Minute
)

// record is the history of one worker since its last success.
type record struct {
	failed    map[model.JobID]bool
	until     time.Time
	delay     time.Duration
	probe     model.JobID
	condemned bool
}

// Tracker holds the failures of all workers. It does no I/O and reads no clock.
type Tracker struct {
	workers map[model.WorkerID]*record
	// failedOn holds the workers on which a job that has not ended has failed.
	failedOn map[model.JobID]map[model.WorkerID]bool
}

// New returns a tracker without failures.
func New() *Tracker {
	return &Tracker{
		workers:  make(map[model.WorkerID]*record),
		failedOn: make(map[model.JobID]map[model.WorkerID]bool),
	}
}

// Failed records that a task of a job failed on a worker. It returns true if the worker's usability may
// have changed.
func (t *Tracker) Failed(w model.WorkerID, job model.JobID, now time.Time) bool {
	on := t.failedOn[job]
	if on == nil {
		on = make(map[model.WorkerID]bool)
		t.failedOn[job] = on
	}
	on[w] = true
	r := t.record(w)
	probed := r.condemned && r.probe == job
	if len(on) >= BlameLimit {
		t.blame(job, on)
		if probed {
			r.probe = "" // The probe says nothing about the worker; another job may be the next one.
		}
		return true
	}
	r.failed[job] = true
	if probed {
		r.probe, r.delay = "", min(2*r.delay, MaxDelay)
		r.until = now.Add(r.delay)
		return true
	}
	if !r.condemned && len(r.failed) >= Threshold {
		r.condemned, r.delay = true, FirstDelay
		r.until = now.Add(FirstDelay)
		return true
	}
	return false
}

// blame takes a job's failures off the workers. A worker that is left with fewer than Threshold failures
// is released.
func (t *Tracker) blame(job model.JobID, on map[model.WorkerID]bool) {
	for w := range on {
		r := t.workers[w]
		if r == nil {
			continue
		}
		delete(r.failed, job)
		if len(r.failed) == 0 || r.condemned && len(r.failed) < Threshold {
			r.condemned, r.probe = false, ""
		}
	}
}

// Succeeded records that a task did not fail on a worker. It returns true if the worker was quarantined.
func (t *Tracker) Succeeded(w model.WorkerID) bool {
	r := t.workers[w]
	delete(t.workers, w)
	return r != nil && r.condemned
}

// Usable reports whether a worker may receive tasks.
func (t *Tracker) Usable(w model.WorkerID, now time.Time) bool {
	r := t.workers[w]
	return r == nil || !r.condemned || r.probe == "" && !now.Before(r.until)
}

// FailedOn lists the workers on which tasks of a job that has not ended have failed, in order.
func (t *Tracker) FailedOn(job model.JobID) []model.WorkerID {
	return slices.Sorted(maps.Keys(t.failedOn[job]))
}

// Quarantined lists the workers that receive probes only, in order.
func (t *Tracker) Quarantined() []model.WorkerID {
	var out []model.WorkerID
	for w, r := range t.workers {
		if r.condemned {
			out = append(out, w)
		}
	}
	slices.Sort(out)
	return out
}

// Admit records that a job is to be placed on a worker. It returns false if the worker is quarantined and
// the job is not its only probe.
func (t *Tracker) Admit(w model.WorkerID, job model.JobID, now time.Time) bool {
	r := t.workers[w]
	switch {
	case r == nil || !r.condemned || r.probe == job:
		return true
	case !t.Usable(w, now):
		return false
	}
	r.probe = job
	return true
}

// Ended forgets a job. A probe that neither failed nor succeeded, for example because its gang was
// cancelled, is withdrawn; it returns true then.
func (t *Tracker) Ended(job model.JobID, final bool) bool {
	if final {
		delete(t.failedOn, job)
	}
	withdrawn := false
	for _, r := range t.workers {
		if r.condemned && r.probe == job {
			r.probe, withdrawn = "", true
		}
	}
	return withdrawn
}

// NextProbe returns the earliest time at which a quarantined worker becomes usable; false if none waits.
func (t *Tracker) NextProbe(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, r := range t.workers {
		if r.condemned && r.probe == "" && r.until.After(now) && (next.IsZero() || r.until.Before(next)) {
			next = r.until
		}
	}
	return next, !next.IsZero()
}

func (t *Tracker) record(w model.WorkerID) *record {
	r := t.workers[w]
	if r == nil {
		r = &record{failed: make(map[model.JobID]bool)}
		t.workers[w] = r
	}
	return r
}
