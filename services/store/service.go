// Package store is the service that owns the daemon's connection to the platform's key-value service and the fenced log
// of its failure domain.
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
	// callTimeout bounds one call. The store usually answers within milliseconds; a later answer counts as lost.
	callTimeout = time.Second
	// maxInFlight bounds the calls of other services that are in flight, watches excluded.
	maxInFlight = 64
	// rateInterval is the interval over which the calls per second are averaged for the gauge.
	rateInterval = 10 * time.Second
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

// Service sends calls to the store, counts them and writes the log.
type Service struct {
	client   kv.Client
	metrics  *metrics.Set
	inFlight int
	// calls counts the calls since the last update of the gauge.
	calls  int64
	health health
	// domain is the failure domain of the log. It is empty until the authority service first publishes it.
	domain model.FailureDomain
	log    *fencedlog.Log
	// pendingAnswers holds the appends and closings that wait for a result, by number. lastID is the last number.
	pendingAnswers map[uint64]kernel.Envelope
	lastID         uint64
	cancelTimer    func()
}

// New returns the service.
func New(c kv.Client, m *metrics.Set) *Service {
	return &Service{
		client: c, metrics: m, health: newHealth(),
		log: fencedlog.New(uuid.NewString()), pendingAnswers: make(map[uint64]kernel.Envelope),
	}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Store, Service: s, MailboxSize: 8192, Subscriptions: []string{
		message.KindAuthorityChanged, message.KindMembersChanged,
	}}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	c.SendAfter(rateInterval, rateDue{})
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.CompleteDrain() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case callDone:
		s.finishCall(c, m)
	case probeDue:
		s.probe(c)
	case probeDone:
		s.finishProbe(c, m.err)
	case rateDue:
		s.metrics.SetGauge("store_calls_per_second", s.calls/int64(rateInterval/time.Second))
		s.calls = 0
		c.SendAfter(rateInterval, rateDue{})
	case message.AuthorityChanged, message.MembersChanged, message.LogAppend, message.LogClose, logTimerFired, logResult, snapshotTaken:
		s.handleLog(c, e)
	default:
		s.startCall(c, e)
	}
}

// startCall starts a call unless the store is down or too many calls are in flight. Other messages are ignored.
func (s *Service) startCall(c *kernel.Context, e kernel.Envelope) {
	f, timeout := s.operationFor(e.Body)
	if f == nil {
		return
	}
	_, watch := e.Body.(message.StoreWatch)
	if err := s.admit(watch); err != nil {
		e.Fail(err)
		return
	}
	s.spawnCall(c, e.Body.Kind(), timeout, func(m kernel.Message, err error) kernel.Message {
		return callDone{env: e, message: m, err: err, watch: watch}
	}, f)
	if !watch {
		s.inFlight++
	}
}

// spawnCall counts a call and runs it in a task, which posts the message that done makes from the result.
func (s *Service) spawnCall(c *kernel.Context, op string, timeout time.Duration, done func(kernel.Message, error) kernel.Message, f operation) {
	s.metrics.CountStoreCall(op)
	s.calls++
	client := s.client
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return done(f(ctx, client))
	})
}

func (s *Service) finishCall(c *kernel.Context, m callDone) {
	if !m.watch {
		s.inFlight--
	}
	s.recordResult(c, m.err)
	if m.err != nil {
		m.env.Fail(m.err)
		return
	}
	m.env.Reply(m.message)
}

// unavailable reports whether a call failed without a refusal by the store. A conflict and an expired lease are
// refusals.
func unavailable(err error) bool {
	var conflict *kv.ConflictError
	var expired *kv.LeaseExpiredError
	return err != nil && !errors.As(err, &conflict) && !errors.As(err, &expired)
}
