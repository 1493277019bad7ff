package store

import (
	"context"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
)

// operation makes one call to the store.
type operation func(context.Context, kv.Client) (kernel.Message, error)

// operationFor returns the operation that a message requests and its timeout, or nil if it does not request one.
func (s *Service) operationFor(m kernel.Message) (operation, time.Duration) {
	switch m := m.(type) {
	case message.StoreGet:
		return func(ctx context.Context, c kv.Client) (kernel.Message, error) { return toStoreEntry(c.Get(ctx, m.Key)) }, callTimeout
	case message.StorePut:
		w := kv.Write{Key: m.Key, Value: m.Value, Expect: m.Expect, Lease: kv.LeaseID(m.Lease)}
		return func(ctx context.Context, c kv.Client) (kernel.Message, error) { return toStoreEntry(c.Put(ctx, w)) }, callTimeout
	case message.StoreDelete:
		return func(ctx context.Context, c kv.Client) (kernel.Message, error) {
			return message.Done{}, c.Delete(ctx, m.Key, m.Expect)
		}, callTimeout
	case message.StoreWatch:
		return func(ctx context.Context, c kv.Client) (kernel.Message, error) {
			return toStoreEntry(c.Watch(ctx, m.Key, m.After, m.Wait))
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

func toStoreEntry(e kv.Entry, err error) (kernel.Message, error) {
	return message.StoreEntry{Key: e.Key, Value: e.Value, Version: e.Version, Unchanged: e.Unchanged}, err
}
