// Package fleet decides which task runs where, follows the runs and records how jobs end.
//
// A Scheduler is the state of one holder. Its methods take an event and the time of it; Plan then returns the actions
// that the state asks for. The package does no I/O and reads no clock, so that a schedule of events replays exactly.
package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/joborder"
)

// Settings are the figures that the scheduler works with.
type Settings struct {
	// Lease is how long an executor keeps its runs after the last renewal.
	Lease time.Duration
	// LookWait is how long a look at an executor may wait for an end.
	LookWait time.Duration
	// StopBound is the longest time that an executor takes to stop a run.
	StopBound time.Duration
	// HolderLease is the holder's lease in the store. Without a confirmed renewal for this time another VM may hold the
	// fleet, so that nothing is started any more.
	HolderLease time.Duration
	// HoldOnly is how long after the last confirmed renewal the leases of executors are still renewed, so that what runs
	// outlives an outage of the store.
	HoldOnly time.Duration
	// SlowFactor is how much longer a task takes away from its rack or its data.
	SlowFactor float64
	// RestoreTime is what a start from a checkpoint costs.
	RestoreTime time.Duration
	// SaveInterval is the work between two checkpoints.
	SaveInterval time.Duration
	// Retention is how long the state of a finished job is kept.
	Retention time.Duration
}

const (
	// HolderLease is the usual lease of a holder in the store. It bounds the time without a holder after a crash, and
	// exceeds some renewals with a store that is slow.
	HolderLease = 2000 * time.Millisecond
	// HoldOnly is the usual time for which a holder without the store keeps what runs: outages last for some seconds.
	HoldOnly = 9 * time.Second
	// clockDrift is how much slower than true time an executor's clock may run.
	clockDrift = 0.02
	// lapseMargin covers the delay between an executor's clock and the end of its runs.
	lapseMargin = 50 * time.Millisecond
	// runsPerTerm separates the run numbers of two holders, so that they rise without a shared counter.
	runsPerTerm = 100_000
	// confirmMargin is kept of the holder's lease for the way of an order to an executor.
	confirmMargin = 200 * time.Millisecond
	// settleMargin is how long a replaced holder may go on with renewals: one look that shows it the higher fence.
	settleMargin = 1500 * time.Millisecond
)

// Scheduler holds the jobs, the executors and the runs of one holder. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	term     int64
	// since is the store's revision at the beginning of the term. Jobs accepted later were not seen by earlier holders.
	since int64
	// confirmedAt is when the last renewal of the holder's lease that the store has answered was sent.
	confirmedAt time.Time
	// settleBy is when the leases that an earlier holder has given have all ended.
	settleBy time.Time

	config *workload.Config
	out    map[workload.Domain]bool
	jobs   map[workload.JobID]*job
	// open lists the jobs that have not ended, in the order of their arrival.
	open      []*job
	executors map[workload.ExecutorID]*executor
	// order is the sorted list of executors, so that decisions do not depend on the order of a map.
	order []*executor
	usage usage
	speed speeds
	// urgent is the weight of the urgent work that has arrived lately.
	urgent   decayingSum
	jobOrder joborder.Order
	// keepFor is the time of arrivals of urgent work for which room is kept.
	keepFor time.Duration
	// crowdedAt is when little of the fleet was last free.
	crowdedAt time.Time
	// advice holds what the advisory service has said; asking is set while a question is under way.
	advice map[stepKey]*advice
	asking bool
	// vacated holds the executors that are to be emptied for an upkeep.
	vacated map[workload.ExecutorID]bool

	// pending and active are scratch lists of a plan: the units that can start, and those with a run or its remains, in the
	// order of their jobs.
	pending, active []*unit
	// slots is the scratch list of fitting.
	slots []slot

	orders        []Action
	rosterVersion int64
	counts        map[Count]int64
}

// New returns the state of a holder at the beginning of a term. inherited is set if an earlier holder may have started
// tasks, since is the store's revision at which the term began.
func New(s Settings, term, since int64, inherited bool, now time.Time) *Scheduler {
	f := &Scheduler{
		settings:  s,
		term:      term,
		since:     since,
		config:    (&workload.Config{}).Index(),
		out:       map[workload.Domain]bool{},
		jobs:      map[workload.JobID]*job{},
		executors: map[workload.ExecutorID]*executor{},
		usage:     usage{},
		speed:     speeds{},
		jobOrder:  joborder.InTimeFirst,
		keepFor:   headroomTime,
		advice:    map[stepKey]*advice{},
		vacated:   map[workload.ExecutorID]bool{},
		counts:    map[Count]int64{},

		confirmedAt: now,
	}
	if inherited {
		lease := time.Duration(float64(s.Lease) / (1 - clockDrift))
		f.settleBy = now.Add(lease + max(0, s.HoldOnly-s.HolderLease) + settleMargin)
	}
	return f
}

// Confirm applies that the store has answered a renewal of the holder's lease that was sent at a time.
func (f *Scheduler) Confirm(sentAt time.Time) {
	if sentAt.After(f.confirmedAt) {
		f.confirmedAt = sentAt
	}
}

// mayStart reports whether no other VM can hold the fleet at present.
func (f *Scheduler) mayStart(now time.Time) bool {
	return now.Sub(f.confirmedAt) < f.settings.HolderLease-confirmMargin
}

// mayRenew reports whether the leases of executors may be renewed.
func (f *Scheduler) mayRenew(now time.Time) bool { return now.Sub(f.confirmedAt) < f.settings.HoldOnly }

// SetConfig applies a configuration. Versions never go back.
func (f *Scheduler) SetConfig(c *workload.Config) {
	if c == nil || c.Version < f.config.Version {
		return
	}
	f.config = c
}

// SetOut replaces the failure domains that operators have taken out of service.
func (f *Scheduler) SetOut(domains []workload.Domain) {
	f.out = make(map[workload.Domain]bool, len(domains))
	for _, d := range domains {
		f.out[d] = true
	}
}

// AddJob adds an accepted job. created is the store's revision of its acceptance, progress what an earlier holder has
// recorded, or nil. Known jobs are left as they are.
func (f *Scheduler) AddJob(now time.Time, rec *workload.Job, created int64, progress *workload.Progress) {
	if _, known := f.jobs[rec.ID]; known {
		return
	}
	j := newJob(now, rec, created)
	f.jobs[rec.ID] = j
	if progress != nil {
		j.restore(progress)
	}
	if j.state.Final() {
		j.endedAt = now
		return
	}
	f.open = append(f.open, j)
	f.arrive(now, j)
	f.settleJob(now, j)
}

// Cancel ends a job by order of its caller. It reports whether the job is known.
func (f *Scheduler) Cancel(now time.Time, id workload.JobID) bool {
	j, ok := f.jobs[id]
	if !ok {
		return false
	}
	if !j.state.Final() {
		f.finish(now, j, workload.StateCancelled)
	}
	return true
}

// finish ends a job and stops what runs of it.
func (f *Scheduler) finish(now time.Time, j *job, s workload.State) {
	j.state, j.endedAt = s, now
	j.dirty()
	f.dropAdvice(j, "")
	for _, u := range j.units {
		if u.state != unitDone {
			u.state = unitDead
		}
		f.abort(now, u)
	}
}

// Status returns the state of a job; ok is false if the job is not known. A job whose end is not yet recorded is shown
// as running.
func (f *Scheduler) Status(id workload.JobID) (s workload.State, ok bool) {
	j, ok := f.jobs[id]
	if !ok {
		return "", false
	}
	switch {
	case j.state.Final() && j.recorded < j.final:
		return workload.StateRunning, true
	case j.state.Final():
		return j.state, true
	case j.begun:
		return workload.StateRunning, true
	default:
		return workload.StateQueued, true
	}
}

// Waiting returns the number of accepted jobs of a queue of which no task has started.
func (f *Scheduler) Waiting(q workload.Queue) int {
	n := 0
	for _, j := range f.open {
		if j.rec.Queue == q && !j.begun && !j.state.Final() {
			n++
		}
	}
	return n
}

// Expired removes the jobs whose retention has ended from the state and returns at most limit of them, so that their
// records can be removed.
func (f *Scheduler) Expired(now time.Time, limit int) []workload.JobID {
	var ids []workload.JobID
	for id, j := range f.jobs {
		if len(ids) == limit {
			break
		}
		if j.state.Final() && j.recorded >= j.version && now.Sub(j.endedAt) > f.settings.Retention && !j.live() {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		delete(f.jobs, id)
	}
	slices.Sort(ids)
	return ids
}

// Vacate replaces the set of executors that get no work and are emptied.
func (f *Scheduler) Vacate(ids []workload.ExecutorID) {
	clear(f.vacated)
	for _, id := range ids {
		f.vacated[id] = true
	}
}

// Occupied returns the executors that may run tasks.
func (f *Scheduler) Occupied() []workload.ExecutorID {
	var out []workload.ExecutorID
	for _, e := range f.order {
		if len(e.members) > 0 {
			out = append(out, e.info.ID)
		}
	}
	return out
}

// Gauges are figures of the present state.
type Gauges struct {
	Jobs, OpenJobs, WaitingUnits, ActiveUnits, Executors, Eligible int
}

// Gauges returns figures of the present state.
func (f *Scheduler) Gauges(now time.Time) Gauges {
	g := Gauges{Jobs: len(f.jobs), OpenJobs: len(f.open), Executors: len(f.executors)}
	for _, j := range f.open {
		for _, u := range j.units {
			switch u.state {
			case unitPending:
				g.WaitingUnits++
			case unitActive:
				g.ActiveUnits++
			}
		}
	}
	for _, e := range f.order {
		if f.eligible(now, e) {
			g.Eligible++
		}
	}
	return g
}

// Unverified returns the executors that have not shown yet what earlier holders have started there.
func (f *Scheduler) Unverified() []workload.ExecutorID {
	var out []workload.ExecutorID
	for _, e := range f.order {
		if !e.verified {
			out = append(out, e.info.ID)
		}
	}
	return out
}

// Count names something that happens in the scheduler and is counted.
type Count string

// Counts returns the counters, sorted by name, and sets them back.
func (f *Scheduler) Counts() map[Count]int64 {
	out := maps.Clone(f.counts)
	clear(f.counts)
	return out
}

func (f *Scheduler) count(c Count) { f.counts[c]++ }
