package fleet

import (
	"math"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// suspicionHalfLife is the time in which the weight of a failure halves.
	suspicionHalfLife = 6 * time.Second
	// failureWeight is the weight of a first failure of a unit, unhealthyWeight that of a refusal by an unhealthy
	// executor, stalledWeight that of a run without progress. A unit that fails again elsewhere says nothing about the
	// executors.
	failureWeight   = 1.0
	unhealthyWeight = 1.0
	stalledWeight   = 2.0
	// doneRelief is the weight that a completed run takes away.
	doneRelief = 0.6
	// suspicionBlocks is the weight from which an executor gets no work but a probe.
	suspicionBlocks = 1.7
	// probeInterval is the time between two probes of a suspected executor.
	probeInterval = 2 * time.Second
)

// decayingSum is a sum whose parts lose half of their weight in each half-life.
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

// suspicion is the recent failures of an executor. It wears off with time and with completed runs.
type suspicion struct{ failures decayingSum }

func (s *suspicion) current(now time.Time) float64 { return s.failures.current(now, suspicionHalfLife) }

func (s *suspicion) add(now time.Time, w float64) { s.failures.add(now, suspicionHalfLife, w) }

func (s *suspicion) relieve(now time.Time) { s.add(now, -doneRelief) }

// blocks reports whether the executor is to get no work: it is suspected and either runs a probe or had one lately.
func (s *suspicion) blocks(now time.Time, e *executor) bool {
	if s.current(now) < suspicionBlocks {
		return false
	}
	return len(e.members) > 0 || now.Sub(s.failures.at) < probeInterval
}

// usage counts the accelerators that the running jobs of priority 0 of each client account occupy.
type usage map[workload.Account]int

func (u usage) add(of *unit, gpu int) { u[of.job.rec.Account] += gpu }

// speeds keeps the ratio of real to estimated run time for each queue.
type speeds map[workload.Queue]*ratio

// ratio is a moving average of real over estimated run times.
type ratio struct {
	value float64
	n     int
}

const (
	// ratioWeight is the weight of a new observation in the moving average.
	ratioWeight = 0.1
	// minObservations is the number of completed runs from which the average is used.
	minObservations = 5
	// maxRatio bounds a single observation, so that a stalled run does not move the average far.
	maxRatio = 4.0
)

// done observes a completed run.
func (s speeds) done(now time.Time, u *unit) {
	est := u.spec().Estimate
	if est <= 0 || u.startedAt.IsZero() || u.saved != "" {
		return
	}
	r := s[u.job.rec.Queue]
	if r == nil {
		r = &ratio{value: 1}
		s[u.job.rec.Queue] = r
	}
	x := min(maxRatio, float64(now.Sub(u.startedAt))/float64(est))
	r.n++
	r.value += (x - r.value) * max(ratioWeight, 1/float64(r.n))
}

// expected corrects an estimate of a queue's work by the observed run times.
func (s speeds) expected(q workload.Queue, est time.Duration) time.Duration {
	if r := s[q]; r != nil && r.n >= minObservations {
		return time.Duration(float64(est) * r.value)
	}
	return est
}
