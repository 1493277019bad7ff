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

// owner is a service whose state the log holds. It does not answer the first silent requests for a snapshot.
type owner struct{ silent, asked int }

func (o *owner) Start(*kernel.Context) error { return nil }
func (o *owner) Drain(c *kernel.Context)     { c.Drained() }
func (o *owner) Handle(_ *kernel.Context, e kernel.Envelope) {
	if _, ok := e.Body.(message.SnapshotGet); !ok {
		return
	}
	if o.asked++; o.asked > o.silent {
		e.Reply(message.SnapshotReply{Records: []message.LogRecord{{Service: "s", Data: []byte("state")}}})
	}
}

// TestSilentService guards against a log that is never compacted again after a service did not answer a request for
// its snapshot.
func TestSilentService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fakeStore{data: map[string]kv.Entry{}, delay: time.Millisecond}
		p := &publisher{replayed: make(chan message.LogReplayed, 16)}
		silent := &owner{silent: 1}
		k, err := kernel.New(nil, store.New(f, metrics.New()).Spec(),
			kernel.Spec{Name: names.Authority, Service: p, Subscribes: []string{message.KindLogReplayed}},
			kernel.Spec{Name: names.Scheduler, Service: silent},
			kernel.Spec{Name: names.Dispatch, Service: &owner{}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		stop, err := k.Start()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = stop(nil) }()
		x, one := &fixture{k: k, replayed: p.replayed}, model.Epoch{Store: 1}
		x.hold(one)
		for range fencedlog.SnapshotSlots {
			g.Expect(x.append(one, "x")).To(gomega.Succeed())
		}
		time.Sleep(10 * time.Second)
		var written bool
		f.set(func() { _, written = f.data["fd/a/snap/head"] })
		g.Expect(written).To(gomega.BeTrue(), "head of a snapshot, asked for %d times", silent.asked)
		g.Expect(silent.asked).To(gomega.Equal(2))
	})
}
