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
	// downAfter is the number of unanswered calls in a row after which the store counts as down.
	downAfter = 3
	// probeFirst and probeMax bound the waits between probes of a store that is down.
	probeFirst = 100 * time.Millisecond
	probeMax   = 2 * time.Second
	// probeKey is an absent key; reading it tells whether the store answers.
	probeKey = "probe"
)

// health tells whether the store answers.
type health struct {
	failed int
	down   bool
	delays *backoff.ExponentialBackOff
}

func newHealth() health {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = probeFirst, probeMax
	return health{delays: b}
}

// admit returns a typed and counted refusal if a call would have to wait.
func (s *Service) admit(watch bool) error {
	switch {
	case s.health.down:
		return &kv.UnavailableError{Cause: s.metrics.CountRefusal(failure.New(failure.StoreUnavailable, "the store does not answer"))}
	case !watch && s.inFlight >= maxInFlight:
		return &kv.UnavailableError{Cause: s.metrics.CountRefusal(failure.New(failure.Overloaded, "%d calls to the store are in flight", s.inFlight))}
	}
	return nil
}

// observe takes the result of a call into account.
func (s *Service) observe(c *kernel.Context, err error) {
	h := &s.health
	if !unavailable(err) {
		if h.down {
			klog.InfoS("the store answers again")
		}
		h.failed, h.down = 0, false
		return
	}
	h.failed++
	if h.failed == downAfter && !h.down {
		klog.ErrorS(err, "the store does not answer")
		h.down = true
		h.delays.Reset()
		c.After(h.delays.NextBackOff(), probeDue{})
	}
}

// probe reads one key. One probe at a time is in flight while the store is down.
func (s *Service) probe(c *kernel.Context) {
	if !s.health.down {
		return
	}
	s.metrics.CountRetry(failure.RetryStoreUnavailable)
	f, timeout := s.operation(message.StoreGet{Key: probeKey})
	s.run(c, "store_probe", timeout, func(_ kernel.Message, err error) kernel.Message {
		return probeDone{err: err}
	}, f)
}

// probed takes the result of a probe and waits before the next one.
func (s *Service) probed(c *kernel.Context, err error) {
	s.observe(c, err)
	if s.health.down {
		c.After(s.health.delays.NextBackOff(), probeDue{})
	}
}
