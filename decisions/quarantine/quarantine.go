// Package quarantine detects workers on which tasks fail repeatedly and decides when they may receive tasks again.
//
// A worker on which tasks of several jobs have failed without a success in between is quarantined: it receives no tasks
// until a delay has passed, and then one probe job, whose result decides whether it is released. The scheme is the
// circuit breaker of Nygard, "Release It!", with a single probe.
package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// FailureThreshold is the number of different jobs that must fail on a worker, without a success in between, before
	// it is quarantined.
	FailureThreshold = 3
	// JobFaultThreshold is the number of different workers on which a job must fail before the job itself is taken as
	// the cause of its failures. From then on its failures count against no worker.
	JobFaultThreshold = 3
	// InitialProbeDelay is the delay before the first probe. It doubles with each failed probe up to MaxProbeDelay.
	InitialProbeDelay = 30 * time.Second
	// MaxProbeDelay bounds the delay between probes, so that a repaired worker is released without an operator.
	MaxProbeDelay = 10 * time.Minute
)

// record holds the failures on one worker since its last success.
type record struct {
	failedJobs  map[model.JobID]bool
	probeAt     time.Time
	probeDelay  time.Duration
	probe       model.JobID
	quarantined bool
}

// Tracker holds the failures on all workers. It is a state machine without I/O or clock.
type Tracker struct {
	workers map[model.WorkerID]*record
	// failedOn holds, for each job that has not ended, the workers on which it has failed.
	failedOn map[model.JobID]map[model.WorkerID]bool
}

// New returns a tracker without failures.
func New() *Tracker {
	return &Tracker{
		workers:  make(map[model.WorkerID]*record),
		failedOn: make(map[model.JobID]map[model.WorkerID]bool),
	}
}

// RecordFailure records that a task of a job failed on a worker. It returns true if the usability of any worker may
// have changed.
func (t *Tracker) RecordFailure(w model.WorkerID, job model.JobID, now time.Time) bool {
	failedWorkers := t.failedOn[job]
	if failedWorkers == nil {
		failedWorkers = make(map[model.WorkerID]bool)
		t.failedOn[job] = failedWorkers
	}
	failedWorkers[w] = true
	r := t.record(w)
	isProbe := r.quarantined && r.probe == job
	if len(failedWorkers) >= JobFaultThreshold {
		t.discountJob(job, failedWorkers)
		if isProbe {
			r.probe = "" // The job is the cause, so this probe has no result; another job may be the next probe.
		}
		return true
	}
	r.failedJobs[job] = true
	if isProbe {
		r.probe, r.probeDelay = "", min(2*r.probeDelay, MaxProbeDelay)
		r.probeAt = now.Add(r.probeDelay)
		return true
	}
	if !r.quarantined && len(r.failedJobs) >= FailureThreshold {
		r.quarantined, r.probeDelay = true, InitialProbeDelay
		r.probeAt = now.Add(InitialProbeDelay)
		return true
	}
	return false
}

// discountJob removes a job's failures from the records of the workers. A quarantined worker with fewer than
// FailureThreshold remaining failed jobs is released.
func (t *Tracker) discountJob(job model.JobID, failedWorkers map[model.WorkerID]bool) {
	for w := range failedWorkers {
		r := t.workers[w]
		if r == nil {
			continue
		}
		delete(r.failedJobs, job)
		if len(r.failedJobs) == 0 || r.quarantined && len(r.failedJobs) < FailureThreshold {
			r.quarantined, r.probe = false, ""
		}
	}
}

// RecordSuccess records that a worker runs tasks without failure and clears its record. It returns true if the worker
// was quarantined.
func (t *Tracker) RecordSuccess(w model.WorkerID) bool {
	r := t.workers[w]
	delete(t.workers, w)
	return r != nil && r.quarantined
}

// Usable reports whether a worker may receive tasks.
func (t *Tracker) Usable(w model.WorkerID, now time.Time) bool {
	r := t.workers[w]
	return r == nil || !r.quarantined || r.probe == "" && !now.Before(r.probeAt)
}

// FailedOn lists, in sorted order, the workers on which tasks of a job that has not ended have failed.
func (t *Tracker) FailedOn(job model.JobID) []model.WorkerID {
	return slices.Sorted(maps.Keys(t.failedOn[job]))
}

// Quarantined lists the quarantined workers in sorted order.
func (t *Tracker) Quarantined() []model.WorkerID {
	var out []model.WorkerID
	for w, r := range t.workers {
		if r.quarantined {
			out = append(out, w)
		}
	}
	slices.Sort(out)
	return out
}

// TryPlace reports whether a job may be placed on a worker. A quarantined worker rejects all jobs except its probe: the
// first job that is admitted after the delay becomes the probe.
func (t *Tracker) TryPlace(w model.WorkerID, job model.JobID, now time.Time) bool {
	r := t.workers[w]
	switch {
	case r == nil || !r.quarantined || r.probe == job:
		return true
	case !t.Usable(w, now):
		return false
	}
	r.probe = job
	return true
}

// RecordEnd records the end of a job's attempt or, if final is true, of the job itself. If the job is still the probe
// of a worker, because it neither failed nor succeeded there, for example after its gang was cancelled, RecordEnd
// permits another probe and returns true.
func (t *Tracker) RecordEnd(job model.JobID, final bool) bool {
	if final {
		delete(t.failedOn, job)
	}
	withdrawn := false
	for _, r := range t.workers {
		if r.quarantined && r.probe == job {
			r.probe, withdrawn = "", true
		}
	}
	return withdrawn
}

// NextProbe returns the earliest time after now at which a quarantined worker becomes usable for a probe; false if
// there is none.
func (t *Tracker) NextProbe(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, r := range t.workers {
		if r.quarantined && r.probe == "" && r.probeAt.After(now) && (next.IsZero() || r.probeAt.Before(next)) {
			next = r.probeAt
		}
	}
	return next, !next.IsZero()
}

func (t *Tracker) record(w model.WorkerID) *record {
	r := t.workers[w]
	if r == nil {
		r = &record{failedJobs: make(map[model.JobID]bool)}
		t.workers[w] = r
	}
	return r
}
