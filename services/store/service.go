// Package store is the service that owns the daemon's connection to the platform's key-value service and the
// fenced log of the own failure domain.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/fencedlog"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
)

const (
	// callTimeout bounds one call. The store answers in milliseconds; a slower answer counts as lost.
	callTimeout = time.Second
	// maxInFlight bounds the calls in flight, watches excluded.
	maxInFlight = 64
	// rateEvery is the interval over which the gauge of calls per second is taken.
	rateEvery = 10 * time.Second
)

type (
	callDone struct {
		env     kernel.Envelope
		message kernel.Message
		err     error
		watch   bool
	}
	rateDue  struct{}
	probeDue struct{}
)

// Kind implements kernel.Message.
func (callDone) Kind() string { return "store_call_done" }

// Kind implements kernel.Message.
func (rateDue) Kind() string { return "store_rate_due" }

// Kind implements kernel.Message.
func (probeDue) Kind() string { return "store_probe_due" }

// Service passes calls to the store, counts them and writes the log.
type Service struct {
	client   kv.Client
	metrics  *metrics.Set
	inFlight int
	// calls counts the calls since the last update of the gauge.
	calls  int64
	health health
	// domain is the failure domain of the log; empty before the VM first held it.
	domain model.FailureDomain
	log    *fencedlog.Log
	// asked holds the appends that wait for an answer, by number; appends is the last number.
	asked   map[uint64]kernel.Envelope
	appends uint64
	cancel  func()
}

// New returns the service.
func New(c kv.Client, m *metrics.Set) *Service {
	return &Service{
		client: c, metrics: m, health: newHealth(),
		log: fencedlog.New(uuid.NewString()), asked: make(map[uint64]kernel.Envelope),
	}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Store, Service: s, Mailbox: 8192, Subscribes: []string{
		message.KindAuthorityChanged, message.KindMembersChanged,
	}}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	c.After(rateEvery, rateDue{})
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case callDone:
		s.finish(c, m)
	case probeDue:
		s.probe(c)
	case probeDone:
		s.probed(c, m.err)
	case rateDue:
		s.metrics.SetGauge("store_calls_per_second", s.calls/int64(rateEvery/time.Second))
		s.calls = 0
		c.After(rateEvery, rateDue{})
	case message.AuthorityChanged, message.MembersChanged, message.LogAppend, message.LogClose, logTimerFired, logResult, snapshotTaken:
		s.handleLog(c, e)
	default:
		s.start(c, e)
	}
}

// start passes a call to the store unless the store is down or too many calls are in flight.
func (s *Service) start(c *kernel.Context, e kernel.Envelope) {
	f, timeout := s.operation(e.Body)
	if f == nil {
		return
	}
	_, watch := e.Body.(message.StoreWatch)
	if err := s.admit(watch); err != nil {
		e.Fail(err)
		return
	}
	s.run(c, e.Body.Kind(), timeout, func(m kernel.Message, err error) kernel.Message {
		return callDone{env: e, message: m, err: err, watch: watch}
	}, f)
	if !watch {
		s.inFlight++
	}
}

// run counts a call and runs it in a task that posts one message.
func (s *Service) run(c *kernel.Context, op string, timeout time.Duration, done func(kernel.Message, error) kernel.Message, f operation) {
	s.metrics.CountStoreCall(op)
	s.calls++
	client := s.client
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return done(f(ctx, client))
	})
}

func (s *Service) finish(c *kernel.Context, m callDone) {
	if !m.watch {
		s.inFlight--
	}
	s.observe(c, m.err)
	if m.err != nil {
		m.env.Fail(m.err)
		return
	}
	m.env.Reply(m.message)
}

// unavailable reports whether a call had no complete answer.
func unavailable(err error) bool {
	var conflict *kv.ConflictError
	var expired *kv.LeaseExpiredError
	return err != nil && !errors.As(err, &conflict) && !errors.As(err, &expired)
}
