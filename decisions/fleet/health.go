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

// suspicion is the recent failures of an executor. It wears off with time and with completed runs.
type suspicion struct {
	weight float64
	at     time.Time
}

func (s *suspicion) current(now time.Time) float64 {
	if s.weight == 0 {
		return 0
	}
	return s.weight * math.Exp2(-float64(now.Sub(s.at))/float64(suspicionHalfLife))
}

func (s *suspicion) add(now time.Time, w float64) { s.weight, s.at = s.current(now)+w, now }

func (s *suspicion) relieve(now time.Time) { s.weight, s.at = max(0, s.current(now)-doneRelief), now }

// blocks reports whether the executor is to get no work: it is suspected and either runs a probe or had one lately.
func (s *suspicion) blocks(now time.Time, e *executor) bool {
	if s.current(now) < suspicionBlocks {
		return false
	}
	return len(e.members) > 0 || now.Sub(s.at) < probeInterval
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
func (s speeds) done(_ *executor, u *unit, now time.Time) {
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
