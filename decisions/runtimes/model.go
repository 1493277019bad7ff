// Package runtimes learns from finished runs how long a task is expected to run and how fast each executor is.
//
// It answers a load whose declared run times are wrong by an unknown amount, on executors of uneven pace. A Model holds
// the state; it does no I/O, reads no clock and has a bounded size. docs/design/run-times.md gives the reasons.
package runtimes

import (
	"math"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// Query describes a task whose run time is asked for.
type Query struct {
	Queue   workload.Queue
	Account workload.Account
	Need    workload.Resources
	// Declared is the run time that the caller declared; 0 means none.
	Declared time.Duration
}

// Expectation is the expected run time of a task on an executor of typical pace.
type Expectation struct {
	// Typical is the median, Low the 0.1 quantile and High the 0.9 quantile.
	Typical, Low, High time.Duration
	// Observations is the number of recent runs of the queue that the expectation rests on.
	Observations int
}

// Observation is what a run of a task, or of a gang as a whole, shows about run times.
type Observation struct {
	Query
	Job workload.JobID
	// Step is the step of the job. The runs of a step are alike.
	Step int
	// Executors lists the executors of the run's tasks. The tasks of a gang go at the pace of the slowest.
	Executors []workload.ExecutorID
	// Elapsed is how long the run took, or takes as its progress lets expect. With LowerBound, the run was stopped after
	// that time.
	Elapsed    time.Duration
	LowerBound bool
}

const (
	// maxDeviation bounds how far a single run counts as off its expectation, as a natural logarithm: a factor of 4.
	maxDeviation = 1.386
	// minRunTime and maxRunTime bound run times, so that their logarithms stay in a range.
	minRunTime = time.Millisecond
	maxRunTime = 1000 * time.Hour
	// maxRunsPerJob is the number of runs of a job that count towards the expectation for others. The caller selects them
	// by their start: the first runs of a job to end are its shortest.
	maxRunsPerJob = 16
	// maxRecentJobs bounds the jobs whose counted runs are remembered, maxRecentSteps the steps whose runs are compared.
	maxRecentJobs  = 512
	maxRecentSteps = 512
)

// Model is what finished runs have taught. It is not safe for concurrent use.
type Model struct {
	groups map[groupKey]*group
	// order lists the groups in the order of their first run, so that results do not depend on the order of a map.
	order []*group
	cells int
	// uses counts the observations. A cell or a host remembers the count at its last use.
	uses   int64
	paces  paces
	recent recentJobs
	steps  recentSteps
}

// New returns a model without observations: it expects what was declared, and every executor at the typical pace.
func New() *Model {
	return &Model{groups: map[groupKey]*group{}, paces: newPaces(), recent: recentJobs{runs: map[workload.JobID]int{}}, steps: recentSteps{steps: map[stepKey]*stepRuns{}}}
}

// Expect returns the expected run time of a task at the typical pace.
func (m *Model) Expect(q Query) Expectation {
	g := m.groups[groupOf(q)]
	center, f := g.center(q), g.fitted()
	return Expectation{
		Typical: duration(center + f.typical), Low: duration(center + f.low), High: duration(center + f.high),
		Observations: int(f.weight + 0.5),
	}
}

// Remaining returns the expected remaining time of a run that has been going for some time on an executor of a pace: the
// median over the runs that take longer than that. It reports false if hardly any run has taken that long.
func (m *Model) Remaining(q Query, pace float64, elapsed time.Duration) (time.Duration, bool) {
	g := m.groups[groupOf(q)]
	center := g.center(q) - math.Log(pace)
	h := &g.fitted().deviations
	below := h.shareBelow(logRunTime(elapsed) - center)
	if 1-below < minSurvivors {
		return 0, false
	}
	return max(0, duration(center+h.quantile(below+(1-below)/2))-elapsed), true
}

// minSurvivors is the least share of runs that take longer than a time from which a remaining time is derived.
const minSurvivors = 0.02

// Observe adds a run to the expectation of its queue, account and shape. A run that was stopped counts as one that would
// have taken as long as those that exceed its time; one that was stopped before most runs end shows nothing.
func (m *Model) Observe(now time.Time, o Observation) {
	if o.Elapsed <= 0 {
		return
	}
	m.uses++
	g := m.groups[groupOf(o.Query)]
	center, f := g.center(o.Query), g.fitted()
	deviation := logRunTime(o.Elapsed) + m.paces.logSlowest(o.Executors) - center
	if o.LowerBound {
		below := f.deviations.shareBelow(deviation)
		if below < minCensoredShare {
			return
		}
		deviation = max(deviation, f.deviations.quantile(below+(1-below)/2))
	}
	if !m.recent.admit(o.Job) {
		return
	}
	weight := m.paces.weight(now, o.Executors) * outlierWeight(deviation)
	c := m.cellFor(o.Query)
	g = c.account.group
	if !o.LowerBound {
		g.errors.add(weight, center+deviation, o.Declared, center+f.typical)
	}
	deviation = clamp(deviation, maxDeviation)
	c.add(weight, logDeclared(o.Declared), center+deviation)
	c.account.histogram.add(weight, deviation)
	if w := g.inherited.weight(); w > 0 {
		g.inherited.addScaled(&g.inherited, -weight/histogramMemory)
	}
	g.fit = nil
}

// outlierWeight returns the weight of a run by its deviation: runs that are off by more than maxDeviation count less, but
// enough that the expectation follows if all are.
func outlierWeight(deviation float64) float64 {
	excess := max(1, math.Abs(deviation)/maxDeviation)
	return max(minOutlierWeight, 1/(excess*excess))
}

// minOutlierWeight is the least weight of a run that is off its expectation.
const minOutlierWeight = 0.25

// minCensoredShare is the share of runs that must have ended within the time of a stopped run for it to count.
const minCensoredShare = 0.1

// ObservePace adds what a run shows about the pace of its executors. A deviation that the run shares with others of its
// step is that of the step.
func (m *Model) ObservePace(now time.Time, o Observation) {
	if o.Elapsed <= 0 || o.LowerBound || len(o.Executors) == 0 {
		return
	}
	m.uses++
	shown := logRunTime(m.Expect(o.Query).Typical) - logRunTime(o.Elapsed)
	s := m.steps.get(stepKey{o.Job, o.Step})
	deviation := clamp(shown-m.paces.logSlowest(o.Executors), maxDeviation)
	m.paces.observe(now, m.uses, o.Executors, shown-s.sum/float64(s.n+1))
	s.sum += deviation
	s.n++
}

// ObserveProjection adds how long a run took of which Projected has returned a run time.
func (m *Model) ObserveProjection(q Query, projected, actual time.Duration) {
	if g := m.groups[groupOf(q)]; g != nil {
		deviation := clamp(logRunTime(actual)-logRunTime(projected), maxDeviation)
		g.projection = clamp(g.projection+projectionGain*deviation, maxProjection)
	}
}

// Projected returns the run time that the progress of a run lets expect, corrected by how the progress of the queue's
// tasks is reported: some report the same progress later in a run than others.
func (m *Model) Projected(q Query, linear time.Duration) time.Duration {
	if g := m.groups[groupOf(q)]; g != nil {
		return duration(logRunTime(linear) + g.projection)
	}
	return linear
}

const (
	// projectionGain is the share by which the correction of projected run times moves with a run, maxProjection its bound
	// as a natural logarithm.
	projectionGain = 0.05
	maxProjection  = 0.7
)

// Pace returns the pace of an executor; 1 is the typical pace, and a task takes its expected run time divided by it.
func (m *Model) Pace(e workload.ExecutorID) float64 { return math.Exp(m.paces.log(e)) }

// SetExecutor declares where an executor runs. It starts from the pace of its predecessor of the same kind at the
// address, and otherwise from the mean pace of its kind.
func (m *Model) SetExecutor(id workload.ExecutorID, address, kind string) {
	m.paces.executors[id] = hostKey{address, kind}
}

// RemoveExecutor forgets an executor. The pace of its host remains for its successor.
func (m *Model) RemoveExecutor(id workload.ExecutorID) { delete(m.paces.executors, id) }

// logRunTime returns the natural logarithm of a run time in seconds.
func logRunTime(d time.Duration) float64 {
	return math.Log(min(max(d, minRunTime), maxRunTime).Seconds())
}

// logDeclared returns the logarithm of a declared run time; 0 if there is none.
func logDeclared(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return logRunTime(d)
}

func duration(log float64) time.Duration {
	d := time.Duration(math.Exp(min(log, math.Log(maxRunTime.Seconds()))) * float64(time.Second))
	return max(d, minRunTime)
}

// recentJobs counts the runs of the latest jobs.
type recentJobs struct {
	runs  map[workload.JobID]int
	order []workload.JobID
}

// admit reports whether a further run of a job counts.
func (r *recentJobs) admit(id workload.JobID) bool {
	n, known := r.runs[id]
	if n >= maxRunsPerJob {
		return false
	}
	r.runs[id] = n + 1
	if known {
		return true
	}
	r.order = append(r.order, id)
	if len(r.order) > maxRecentJobs {
		delete(r.runs, r.order[0])
		r.order = r.order[1:]
	}
	return true
}

// stepKey identifies a step of a job.
type stepKey struct {
	job  workload.JobID
	step int
}

// stepRuns sums up how far the runs of a step deviate from their expectation at the pace of their executors.
type stepRuns struct {
	sum float64
	n   int
}

// recentSteps holds the latest steps.
type recentSteps struct {
	steps map[stepKey]*stepRuns
	order []stepKey
}

func (r *recentSteps) get(k stepKey) *stepRuns {
	s := r.steps[k]
	if s == nil {
		s = &stepRuns{}
		r.steps[k] = s
		r.order = append(r.order, k)
		if len(r.order) > maxRecentSteps {
			delete(r.steps, r.order[0])
			r.order = r.order[1:]
		}
	}
	return s
}
