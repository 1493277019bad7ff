// Package fleet places tasks on executors, tracks their runs and determines the outcome of jobs.
//
// A Scheduler is the state of one holder. Its methods apply events, each with its time; Plan then returns the actions
// to carry out. The package does no I/O and reads no clock, so that a sequence of events replays deterministically.
package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/decisions/accountlimit"
	policy "github.com/verbenaflow/verbenaflow/decisions/advice"
	"github.com/verbenaflow/verbenaflow/decisions/backlog"
	"github.com/verbenaflow/verbenaflow/decisions/joborder"
	"github.com/verbenaflow/verbenaflow/decisions/runtimes"
)

// Settings are the parameters of the scheduler.
type Settings struct {
	// Lease is how long an executor keeps its runs after the last lease renewal.
	Lease time.Duration
	// LongestLease is the longest lease that executors grant: they shorten a longer one. It is at least Lease.
	LongestLease time.Duration
	// PollWait is how long a poll of an executor may wait for a run to end.
	PollWait time.Duration
	// MaxStopTime is the longest time that an executor takes to stop a run.
	MaxStopTime time.Duration
	// HolderLease is the duration of the holder's lease in the store. Without a confirmed renewal for this time another
	// VM may have become the holder, so that no task is started.
	HolderLease time.Duration
	// RenewalGrace is how long after the last confirmed renewal of the holder's lease the leases of executors are still
	// renewed, so that runs survive an outage of the store.
	RenewalGrace time.Duration
	// RemoteSlowdown is the factor by which a task runs longer away from its rack or its data.
	RemoteSlowdown float64
	// CheckpointRestoreTime is the time that a start from a checkpoint takes.
	CheckpointRestoreTime time.Duration
	// CheckpointInterval is the run time between two checkpoints.
	CheckpointInterval time.Duration
	// Retention is how long the state of a finished job is kept.
	Retention time.Duration
	// ChooseVictims selects the victims of a preemption by package victims, waits for units that end in time instead of
	// stopping others, and reserves headroom by the shapes of urgent work.
	ChooseVictims bool
	// LearnRunTimes is set if run times and the pace of executors are learned from finished runs.
	LearnRunTimes bool
}

const (
	// HolderLease is the default of Settings.HolderLease. It bounds the time without a holder after a crash, and spans
	// several renewals even if the store is slow.
	HolderLease = 2000 * time.Millisecond
	// RenewalGrace is the default of Settings.RenewalGrace. Outages of the store last for several seconds.
	RenewalGrace = 9 * time.Second
	// maxClockDrift is the share by which an executor's clock may run slower than true time.
	maxClockDrift = 0.02
	// expiryMargin covers the delay between the expiry of a lease on an executor's clock and the end of its runs.
	expiryMargin = 50 * time.Millisecond
	// runNumbersPerTerm is the size of the range of run numbers of a term, so that run numbers increase from holder to
	// holder without a shared counter.
	runNumbersPerTerm = 100_000
	// dispatchMargin is the part of the holder's lease that is reserved for the delivery of a start to an executor.
	dispatchMargin = 200 * time.Millisecond
	// fencingDelay is how long a replaced holder may still renew the leases of executors: the duration of one poll, whose
	// answer shows it the higher fencing token.
	fencingDelay = 1500 * time.Millisecond
)

// Scheduler holds the jobs, the executors and the runs of one holder. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	term     int64
	// termRevision is the store's revision at the beginning of the term. Earlier holders have not seen jobs that were
	// accepted after it.
	termRevision int64
	// hasPredecessor is set if an earlier holder may have sent orders to executors.
	hasPredecessor bool
	// leaseConfirmedAt is when the latest confirmed renewal of the holder's lease was sent, as of the last SetLeaseAge.
	leaseConfirmedAt time.Time
	// reconcileBy is when all executor leases granted by earlier holders have expired; zero once all executors have
	// reported or that time has passed.
	reconcileBy time.Time

	config          *workload.Config
	excludedDomains map[workload.Domain]bool
	jobs            map[workload.JobID]*job
	// accepted counts the memory that jobs take.
	accepted backlog.Usage
	// openJobs lists, in the order of their arrival, the jobs that have not ended, whose end is not durable yet or that
	// still have runs.
	openJobs  []*job
	executors map[workload.ExecutorID]*executor
	// sortedExecutors lists the executors by identifier, so that decisions do not depend on the iteration order of a map.
	sortedExecutors []*executor
	// use counts what the runs of client accounts occupy.
	use accountUse
	// coverage caches what guarantees cover, by account. fleetShape is read through shape.
	coverage   map[workload.Account]*accountCoverage
	fleetShape fleetShape
	// guaranteeRooms holds the rooms of the pools in this planning pass, as far as they were asked for.
	guaranteeRooms map[workload.Pool]*guaranteeRoom
	limitPass      limitPass
	unreported     unreported
	rates          accountlimit.Rates
	// unmarkedJobs holds the jobs that were added since the last planning pass.
	unmarkedJobs []*job
	runTimes     runTimeModel
	// learned is the model of run times if Settings.LearnRunTimes is set, otherwise nil. pacesAt is when the paces of
	// executors were last taken from it.
	learned *runtimes.Model
	pacesAt time.Time
	// urgentArrivals is the weighted sum of recently arrived urgent work, in thousandths of a core.
	urgentArrivals decayingSum
	jobOrder       joborder.Order
	// headroomWindow is the duration of urgent arrivals for which capacity is reserved.
	headroomWindow time.Duration
	reserveOrder   reserveOrder
	// lowCapacityAt is when the free share of the fleet was last below lowCapacityShare.
	lowCapacityAt time.Time
	// adviceInFlight is set while a query of the advisory service is unanswered.
	adviceInFlight bool
	// adviceRequests lists the queries that steps wait for, in this planning pass. adviceTurns shares the service among the queues, and
	// adviceFailures counts the queries of a queue without an answer since the last one with an answer.
	adviceRequests []adviceRequest
	adviceTurns    policy.Turns[workload.Queue]
	adviceFailures map[workload.Queue]int
	// evacuating holds the executors that are to be emptied for maintenance.
	evacuating map[workload.ExecutorID]bool

	// pendingUnits and activeUnits are scratch lists of Plan, in the order of their jobs: the units that can start, and
	// those that still have task runs.
	pendingUnits, activeUnits []*unit
	// pendingSteps lists the steps of pendingUnits.
	pendingSteps []pendingStep
	// occurrencesHeldBack is set if a job has more due occurrences than are open in this planning pass, reservedUnits if the
	// pass has reserved capacity for any unit.
	occurrencesHeldBack, reservedUnits bool
	// failedPreemptions holds the number of tasks of the smallest unit of each kind for which a preemption has failed in
	// this planning pass.
	failedPreemptions map[preemptionKind]int
	// fitScratch is the scratch list of fittingExecutors.
	fitScratch []fitOption

	actions       []Action
	rosterVersion int64
	// recordings counts the calls of MarkRecorded.
	recordings int64
	counters   map[Counter]int64
}

// New returns the state of a holder at the beginning of a term. termRevision is the store's revision at which the term
// began; hasPredecessor is set if an earlier holder may have started tasks.
func New(s Settings, term, termRevision int64, hasPredecessor bool, now time.Time) *Scheduler {
	s.LongestLease = max(s.LongestLease, s.Lease)
	f := &Scheduler{
		settings:        s,
		term:            term,
		termRevision:    termRevision,
		hasPredecessor:  hasPredecessor,
		config:          (&workload.Config{}).Index(),
		excludedDomains: map[workload.Domain]bool{},
		jobs:            map[workload.JobID]*job{},
		executors:       map[workload.ExecutorID]*executor{},
		runTimes:        runTimeModel{},
		jobOrder:        joborder.InTimeFirst,
		headroomWindow:  defaultHeadroomWindow,
		adviceFailures:  map[workload.Queue]int{},
		evacuating:      map[workload.ExecutorID]bool{},
		counters:        map[Counter]int64{},

		failedPreemptions: map[preemptionKind]int{},
		guaranteeRooms:    map[workload.Pool]*guaranteeRoom{},
		coverage:          map[workload.Account]*accountCoverage{},
		fleetShape:        fleetShape{rosterVersion: -1},
		use:               accountUse{urgentShare: map[workload.Account]int{}, urgentVersion: map[workload.Account]int64{}},

		leaseConfirmedAt: now,
	}
	if s.LearnRunTimes {
		f.learned = runtimes.New()
	}
	if hasPredecessor {
		renewed := max(0, s.RenewalGrace-s.HolderLease) + fencingDelay + longestWait(s.Lease)
		// A start of an earlier holder may have reached a later process than the one it was meant for.
		f.reconcileBy = now.Add(max(renewed, maxAnswerDelay+longestWait(s.LongestLease)))
	}
	return f
}

// SetLeaseAge sets the time that has passed since the last confirmed renewal of the holder's lease was sent. The caller
// measures it, because the clock of events does not count the time for which the process was suspended.
func (f *Scheduler) SetLeaseAge(now time.Time, age time.Duration) { f.leaseConfirmedAt = now.Add(-age) }

// MaxStartAge is the age of the holder's lease from which on another VM may be the holder soon.
func MaxStartAge(s Settings) time.Duration { return s.HolderLease - dispatchMargin }

// mayStart reports whether the holder's lease is certainly valid, so that no other VM can be the holder.
func (f *Scheduler) mayStart(now time.Time) bool {
	return now.Sub(f.leaseConfirmedAt) < MaxStartAge(f.settings)
}

// mayRenew reports whether the leases of executors may be renewed.
func (f *Scheduler) mayRenew(now time.Time) bool {
	return now.Sub(f.leaseConfirmedAt) < f.settings.RenewalGrace
}

// SetConfig applies a configuration. An older version than the present one is ignored.
func (f *Scheduler) SetConfig(c *workload.Config) {
	if c == nil || c.Version < f.config.Version {
		return
	}
	f.config = c
	f.unreported = unreported{}
}

// SetExcludedDomains replaces the failure domains that operators have taken out of service.
func (f *Scheduler) SetExcludedDomains(domains []workload.Domain) {
	f.excludedDomains = make(map[workload.Domain]bool, len(domains))
	for _, d := range domains {
		f.excludedDomains[d] = true
	}
}

// AddJob adds an accepted job. createdRevision is the store's revision of its acceptance, progress the progress that an
// earlier holder recorded, or nil. Known jobs are left unchanged.
func (f *Scheduler) AddJob(now time.Time, rec *workload.Job, createdRevision int64, progress *workload.Progress) {
	if _, known := f.jobs[rec.ID]; known {
		return
	}
	j := newJob(now, rec, createdRevision)
	f.jobs[rec.ID] = j
	f.countBytes(j, backlog.JobBytes(rec, false))
	if progress != nil {
		j.restore(progress)
	}
	f.unmarkedJobs = append(f.unmarkedJobs, j)
	if j.state.Final() {
		j.endedAt = now
		f.compact(j)
		return
	}
	f.openJobs = append(f.openJobs, j)
	f.completeIfDone(now, j)
}

// Cancel ends a job at the request of its caller. It reports whether the job is known.
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

// finish ends a job and stops its runs.
func (f *Scheduler) finish(now time.Time, j *job, s workload.State) {
	j.state, j.endedAt = s, now
	j.markDirty()
	j.advice = nil
	for _, u := range j.allUnits() {
		if u.state != unitDone {
			u.state = unitAbandoned
		}
		f.abort(now, u)
		u.releaseIfEnded()
	}
}

// Status returns the state of a job; ok is false if the job is not known. A job whose end is not durable yet is
// reported as running.
func (f *Scheduler) Status(id workload.JobID) (s workload.State, ok bool) {
	j, ok := f.jobs[id]
	if !ok {
		return "", false
	}
	switch {
	case j.state.Final() && j.recordedVersion < j.finalVersion:
		return workload.StateRunning, true
	case j.state.Final():
		return j.state, true
	case j.begun:
		return workload.StateRunning, true
	default:
		return workload.StateQueued, true
	}
}

// JobOwner returns the owner of a job, or the zero value if the job is not known.
func (f *Scheduler) JobOwner(id workload.JobID) workload.Owner {
	if j, ok := f.jobs[id]; ok {
		return j.rec.Owner()
	}
	return workload.Owner{}
}

// WaitingJobs returns the number of unfinished jobs of a queue of which no task has started.
func (f *Scheduler) WaitingJobs(q workload.Queue) int {
	n := 0
	for _, j := range f.openJobs {
		if j.rec.Queue == q && !j.begun && !j.state.Final() {
			n++
		}
	}
	return n
}

// countBytes sets what a job adds to the memory of accepted jobs.
func (f *Scheduler) countBytes(j *job, bytes int64) {
	f.accepted.Add(j.rec.Account, bytes-j.bytes)
	j.bytes = bytes
}

// AccountsAtBacklogLimit returns the accounts that may not submit jobs, because the accepted ones take limit bytes. atLimit
// lists those that were at the limit until now.
func (f *Scheduler) AccountsAtBacklogLimit(limit int64, atLimit []workload.Account) []workload.Account {
	configured := make([]workload.Account, len(f.config.Accounts))
	for i := range f.config.Accounts {
		configured[i] = f.config.Accounts[i].Name
	}
	if slices.ContainsFunc(f.config.Routes, func(r workload.Route) bool { return r.Public }) {
		// Calls without a key, of public routes, count as those of an account without a name.
		configured = append(configured, "")
	}
	return f.accepted.AtLimit(limit, configured, atLimit)
}

// SetEvacuating replaces the set of executors that are evacuated: they get no new work and their runs are moved where
// possible.
func (f *Scheduler) SetEvacuating(ids []workload.ExecutorID) {
	clear(f.evacuating)
	for _, id := range ids {
		f.evacuating[id] = true
	}
}

// VacatedExecutors returns the evacuated executors that certainly run nothing: those that have reported to this holder
// and have no runs.
func (f *Scheduler) VacatedExecutors() []workload.ExecutorID {
	var out []workload.ExecutorID
	for _, e := range f.sortedExecutors {
		if f.evacuating[e.info.ID] && e.verified && len(e.taskRuns) == 0 {
			out = append(out, e.info.ID)
		}
	}
	return out
}

// Gauges are the sizes of the scheduler's present state.
type Gauges struct {
	Jobs, OpenJobs, WaitingUnits, ActiveUnits, Executors, Eligible int
	// OpenOccurrences is the number of occurrences and HeldUnits that of units with a state of their own. The memory of the
	// scheduler grows with them and with Jobs.
	OpenOccurrences, HeldUnits int
	// AcceptedBytes is the memory that the limit of accepted jobs counts for them.
	AcceptedBytes int64
	// UnitsAtLimit is the number of waiting units that the limits of their accounts, AccountsAtLimit, keep from starting.
	// ExcessJobs is the number of open jobs beyond the rates of their accounts.
	UnitsAtLimit, ExcessJobs int
	AccountsAtLimit          []workload.Account
}

// Gauges returns the sizes of the scheduler's present state.
func (f *Scheduler) Gauges(now time.Time) Gauges {
	g := Gauges{Jobs: len(f.jobs), OpenJobs: len(f.openJobs), Executors: len(f.executors), AcceptedBytes: f.accepted.Total()}
	atLimit := map[workload.Account]bool{}
	for _, j := range f.openJobs {
		if j.excess && !j.state.Final() {
			g.ExcessJobs++
		}
		for _, o := range j.occurrences {
			g.OpenOccurrences++
			for s := range o.steps {
				f.addUnits(&g, &o.steps[s], atLimit)
			}
		}
	}
	g.AccountsAtLimit = slices.Sorted(maps.Keys(atLimit))
	for _, e := range f.sortedExecutors {
		if f.eligible(now, e) {
			g.Eligible++
		}
	}
	return g
}

// addUnits adds the units of a step to the gauges. Untried units wait for what the last of the others waits for.
func (f *Scheduler) addUnits(g *Gauges, step *stepUnits, atLimit map[workload.Account]bool) {
	g.HeldUnits += len(step.units)
	untried := 0
	if !step.readyAt.IsZero() && !step.occurrence.job.state.Final() {
		untried = step.untried()
	}
	g.WaitingUnits += untried
	for i, u := range step.units {
		switch u.state {
		case unitPending:
			n := 1
			if i == len(step.units)-1 {
				n += untried
			}
			g.WaitingUnits++
			if u.waitsFor == WaitAccountLimit {
				g.UnitsAtLimit += n
				atLimit[u.job.rec.Account] = true
			}
		case unitActive:
			g.ActiveUnits++
		}
	}
}

// UnverifiedExecutors returns the executors that have not reported yet which runs earlier holders started there.
func (f *Scheduler) UnverifiedExecutors() []workload.ExecutorID {
	var out []workload.ExecutorID
	for _, e := range f.sortedExecutors {
		if !e.verified {
			out = append(out, e.info.ID)
		}
	}
	return out
}

// Counter is the name of an event counter of the scheduler.
type Counter string

// TakeCounters returns the values of the counters and resets them.
func (f *Scheduler) TakeCounters() map[Counter]int64 {
	out := maps.Clone(f.counters)
	clear(f.counters)
	return out
}

func (f *Scheduler) count(c Counter) { f.counters[c]++ }
