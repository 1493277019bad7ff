package fleet

import (
	"math"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// suspicionHalfLife is the half-life of a failure in the suspicion of an executor.
	suspicionHalfLife = 6 * time.Second
	// failureWeight is the weight of the first failure of a unit, unhealthyWeight that of a refusal by an unhealthy
	// executor, stalledWeight that of a run without progress. Further failures of a unit have no weight, because they
	// point to the unit rather than to the executors.
	failureWeight   = 1.0
	unhealthyWeight = 1.0
	stalledWeight   = 2.0
	// successWeight is the weight that a completed run subtracts.
	successWeight = 0.6
	// suspicionThreshold is the suspicion from which an executor is suspected: it gets no work except probes.
	suspicionThreshold = 1.7
	// probeInterval is the shortest time between the latest change of the suspicion and the next probe: a single run on a
	// suspected executor.
	probeInterval = 2 * time.Second
)

// decayingSum is a sum with exponential decay: it halves in each half-life.
type decayingSum struct {
	value float64
	at    time.Time
}

func (s *decayingSum) current(now time.Time, halfLife time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp2(-float64(now.Sub(s.at))/float64(halfLife))
}

func (s *decayingSum) add(now time.Time, halfLife time.Duration, v float64) {
	s.value, s.at = max(0, s.current(now, halfLife)+v), now
}

// suspicion is the weight of the recent failures of an executor. It decays with time and with completed runs.
type suspicion struct{ failures decayingSum }

func (s *suspicion) current(now time.Time) float64 { return s.failures.current(now, suspicionHalfLife) }

func (s *suspicion) add(now time.Time, w float64) { s.failures.add(now, suspicionHalfLife, w) }

func (s *suspicion) recordSuccess(now time.Time) { s.add(now, -successWeight) }

// blocks reports whether the executor is to get no work: it is suspected, and it is occupied or probeInterval has not
// passed since the latest change of its suspicion.
func (s *suspicion) blocks(now time.Time, e *executor) bool {
	if s.current(now) < suspicionThreshold {
		return false
	}
	return len(e.taskRuns) > 0 || now.Sub(s.failures.at) < probeInterval
}

// runTimeModel holds the average ratio of actual to estimated run time of each queue.
type runTimeModel map[workload.Queue]*runTimeRatio

// runTimeRatio is an exponential moving average of the ratio of actual to estimated run times.
type runTimeRatio struct {
	value        float64
	observations int
}

const (
	// ratioWeight is the weight of a new observation in the moving average.
	ratioWeight = 0.1
	// minObservations is the number of completed runs from which on the average is used.
	minObservations = 5
	// maxRatio bounds a single observation, so that a stalled run does not move the average far.
	maxRatio = 4.0
)

// observe adds a completed run, unless it started from a checkpoint, because the estimate is for a whole run.
func (s runTimeModel) observe(now time.Time, u *unit) {
	est := u.spec().Estimate
	if est <= 0 || u.startedAt.IsZero() || u.checkpoint != "" {
		return
	}
	r := s[u.job.rec.Queue]
	if r == nil {
		r = &runTimeRatio{value: 1}
		s[u.job.rec.Queue] = r
	}
	observed := min(maxRatio, float64(now.Sub(u.startedAt))/float64(est))
	r.observations++
	r.value += (observed - r.value) * max(ratioWeight, 1/float64(r.observations))
}

// expected returns the run time that is expected for an estimate, corrected by the observed ratio of the queue.
func (s runTimeModel) expected(q workload.Queue, est time.Duration) time.Duration {
	if r := s[q]; r != nil && r.observations >= minObservations {
		return time.Duration(float64(est) * r.value)
	}
	return est
}
