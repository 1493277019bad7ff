package store

import (
	"time"

	"github.com/cenkalti/backoff/v5"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
)

const (
	// downThreshold is the number of consecutive unanswered calls after which the store counts as down.
	downThreshold = 3
	// minProbeDelay and maxProbeDelay bound the delay between two probes of a store that is down.
	minProbeDelay = 100 * time.Millisecond
	maxProbeDelay = 2 * time.Second
	// probeKey is the key that a probe reads. It is never written.
	probeKey = "probe"
)

// health records whether the store answers.
type health struct {
	// unanswered counts the consecutive calls without an answer.
	unanswered  int
	down        bool
	probeDelays *backoff.ExponentialBackOff
}

func newHealth() health {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minProbeDelay, maxProbeDelay
	return health{probeDelays: b}
}

// admit refuses a call, and counts the refusal, while the store is down or too many calls are in flight. A watch does
// not count as a call in flight.
func (s *Service) admit(watch bool) error {
	switch {
	case s.health.down:
		return &kv.UnavailableError{Cause: s.metrics.CountRefusal(failure.New(failure.StoreUnavailable, "the store does not answer"))}
	case !watch && s.inFlight >= maxInFlight:
		return &kv.UnavailableError{Cause: s.metrics.CountRefusal(failure.New(failure.Overloaded, "%d calls to the store are in flight", s.inFlight))}
	}
	return nil
}

// recordResult updates the health of the store after a call. It schedules the first probe when the store goes down.
func (s *Service) recordResult(c *kernel.Context, err error) {
	h := &s.health
	if !unavailable(err) {
		if h.down {
			klog.InfoS("the store answers again")
		}
		h.unanswered, h.down = 0, false
		return
	}
	h.unanswered++
	if h.unanswered == downThreshold && !h.down {
		klog.ErrorS(err, "the store does not answer")
		h.down = true
		h.probeDelays.Reset()
		c.SendAfter(h.probeDelays.NextBackOff(), probeDue{})
	}
}

// probe reads one key to find out whether the store answers again. At most one probe is in flight.
func (s *Service) probe(c *kernel.Context) {
	if !s.health.down {
		return
	}
	s.metrics.CountRetry(failure.RetryStoreUnavailable)
	f, timeout := s.operationFor(message.StoreGet{Key: probeKey})
	s.spawnCall(c, "store_probe", timeout, func(_ kernel.Message, err error) kernel.Message {
		return probeDone{err: err}
	}, f)
}

// finishProbe records the result of a probe and schedules the next one while the store is down.
func (s *Service) finishProbe(c *kernel.Context, err error) {
	s.recordResult(c, err)
	if s.health.down {
		c.SendAfter(s.health.probeDelays.NextBackOff(), probeDue{})
	}
}
