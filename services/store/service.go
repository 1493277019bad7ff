// Package store is the service that owns the daemon's connection to the platform's key-value service.
package store

import (
	"context"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
)

// callTimeout bounds one call. The store answers in milliseconds; a slower answer counts as lost.
const callTimeout = time.Second

// Service passes calls to the store and counts them.
type Service struct {
	client  kv.Client
	metrics *metrics.Set
}

// New returns the service.
func New(c kv.Client, m *metrics.Set) *Service { return &Service{client: c, metrics: m} }

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec { return kernel.Spec{Name: names.Store, Service: s} }

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	s.metrics.StoreCall(e.Body.Kind())
	switch m := e.Body.(type) {
	case message.StoreGet:
		s.call(c, e, callTimeout, func(ctx context.Context) (kernel.Message, error) {
			return entry(s.client.Get(ctx, m.Key))
		})
	case message.StorePut:
		w := kv.Write{Key: m.Key, Value: m.Value, Expect: m.Expect, Lease: kv.LeaseID(m.Lease)}
		s.call(c, e, callTimeout, func(ctx context.Context) (kernel.Message, error) {
			return entry(s.client.Put(ctx, w))
		})
	case message.StoreDelete:
		s.call(c, e, callTimeout, func(ctx context.Context) (kernel.Message, error) {
			return message.Done{}, s.client.Delete(ctx, m.Key, m.Expect)
		})
	case message.StoreWatch:
		s.call(c, e, m.Wait+callTimeout, func(ctx context.Context) (kernel.Message, error) {
			return entry(s.client.Watch(ctx, m.Key, m.After, m.Wait))
		})
	case message.StoreGrant:
		s.call(c, e, callTimeout, func(ctx context.Context) (kernel.Message, error) {
			id, err := s.client.Grant(ctx, m.TTL)
			return message.StoreLease{Lease: uint64(id)}, err
		})
	case message.StoreKeepAlive:
		s.call(c, e, callTimeout, func(ctx context.Context) (kernel.Message, error) {
			return message.Done{}, s.client.KeepAlive(ctx, kv.LeaseID(m.Lease))
		})
	case message.StoreRevoke:
		s.call(c, e, callTimeout, func(ctx context.Context) (kernel.Message, error) {
			return message.Done{}, s.client.Revoke(ctx, kv.LeaseID(m.Lease))
		})
	}
}

// call runs one call in a task and answers the envelope from there.
func (s *Service) call(c *kernel.Context, e kernel.Envelope, timeout time.Duration, f func(context.Context) (kernel.Message, error)) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		m, err := f(ctx)
		if err != nil {
			e.Fail(err)
			return nil
		}
		e.Reply(m)
		return nil
	})
}

func entry(e kv.Entry, err error) (kernel.Message, error) {
	return message.StoreEntry{Key: e.Key, Value: e.Value, Version: e.Version}, err
}
