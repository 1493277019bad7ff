package store_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/fencedlog"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
	"github.com/verbenaflow/verbenaflow/services/store"
)

// snapshotSource is a service whose records the log holds. It does not answer the first unanswered requests for a
// snapshot.
type snapshotSource struct{ unanswered, requests int }

func (s *snapshotSource) Start(*kernel.Context) error { return nil }
func (s *snapshotSource) Drain(c *kernel.Context)     { c.CompleteDrain() }
func (s *snapshotSource) Handle(_ *kernel.Context, e kernel.Envelope) {
	if _, ok := e.Body.(message.SnapshotGet); !ok {
		return
	}
	if s.requests++; s.requests > s.unanswered {
		e.Reply(message.SnapshotReply{Records: []message.LogRecord{{Service: "s", Data: []byte("state")}}})
	}
}

// TestSilentService guards against a log that is never compacted again after a service has not answered a request for
// its records.
func TestSilentService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fakeStore{data: map[string]kv.Entry{}, delay: time.Millisecond}
		p := &publisher{replayed: make(chan message.LogReplayed, 16)}
		silent := &snapshotSource{unanswered: 1}
		k, err := kernel.New(nil, store.New(f, metrics.New()).Spec(),
			kernel.Spec{Name: names.Authority, Service: p, Subscriptions: []string{message.KindLogReplayed}},
			kernel.Spec{Name: names.Scheduler, Service: silent},
			kernel.Spec{Name: names.Dispatch, Service: &snapshotSource{}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		stop, err := k.Start()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = stop(nil) }()
		x, epoch1 := &fixture{k: k, replayed: p.replayed}, model.Epoch{Store: 1}
		x.becomeHolder(epoch1)
		for range fencedlog.SnapshotSlots {
			g.Expect(x.append(epoch1, "x")).To(gomega.Succeed())
		}
		time.Sleep(10 * time.Second)
		var written bool
		f.update(func() { _, written = f.data["fd/a/snap/head"] })
		g.Expect(written).To(gomega.BeTrue(), "head of a snapshot after %d requests", silent.requests)
		g.Expect(silent.requests).To(gomega.Equal(2))
	})
}
