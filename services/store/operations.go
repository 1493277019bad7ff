package store

import (
	"context"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
)

// operation is one call to the store.
type operation func(context.Context, kv.Client) (kernel.Message, error)

// operation returns the call of a message and its time limit, or nil for a message that is not a call.
func (s *Service) operation(m kernel.Message) (operation, time.Duration) {
	switch m := m.(type) {
	case message.StoreGet:
		return func(ctx context.Context, c kv.Client) (kernel.Message, error) { return entry(c.Get(ctx, m.Key)) }, callTimeout
	case message.StorePut:
		w := kv.Write{Key: m.Key, Value: m.Value, Expect: m.Expect, Lease: kv.LeaseID(m.Lease)}
		return func(ctx context.Context, c kv.Client) (kernel.Message, error) { return entry(c.Put(ctx, w)) }, callTimeout
	case message.StoreDelete:
		return func(ctx context.Context, c kv.Client) (kernel.Message, error) {
			return message.Done{}, c.Delete(ctx, m.Key, m.Expect)
		}, callTimeout
	case message.StoreWatch:
		return func(ctx context.Context, c kv.Client) (kernel.Message, error) {
			return entry(c.Watch(ctx, m.Key, m.After, m.Wait))
		}, m.Wait + callTimeout
	case message.StoreGrant:
		return func(ctx context.Context, c kv.Client) (kernel.Message, error) {
			id, err := c.Grant(ctx, m.TTL)
			return message.StoreLease{Lease: uint64(id)}, err
		}, callTimeout
	case message.StoreKeepAlive:
		return func(ctx context.Context, c kv.Client) (kernel.Message, error) {
			return message.Done{}, c.KeepAlive(ctx, kv.LeaseID(m.Lease))
		}, callTimeout
	case message.StoreRevoke:
		return func(ctx context.Context, c kv.Client) (kernel.Message, error) {
			return message.Done{}, c.Revoke(ctx, kv.LeaseID(m.Lease))
		}, callTimeout
	}
	return nil, 0
}

func entry(e kv.Entry, err error) (kernel.Message, error) {
	return message.StoreEntry{Key: e.Key, Value: e.Value, Version: e.Version, Unchanged: e.Unchanged}, err
}
