package store_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
	"github.com/verbenaflow/verbenaflow/services/store"
)

// fakeStore is an in-memory kv.Client with a response time and injected faults.
type fakeStore struct {
	kv.Client
	mu      sync.Mutex
	data    map[string]kv.Entry
	version uint64
	delay   time.Duration
	down    bool
	// loseAnswers is the number of puts whose answer is lost after they took effect.
	loseAnswers int
	calls, puts int
}

func (f *fakeStore) beginCall() error {
	time.Sleep(f.delay)
	f.mu.Lock()
	f.calls++
	if f.down {
		return &kv.UnavailableError{MayHaveApplied: true, Cause: errors.New("outage")}
	}
	return nil
}

func (f *fakeStore) Get(_ context.Context, key string) (kv.Entry, error) {
	defer f.mu.Unlock()
	if err := f.beginCall(); err != nil {
		return kv.Entry{}, err
	}
	e := f.data[key]
	e.Key = key
	return e, nil
}

func (f *fakeStore) Put(_ context.Context, w kv.Write) (kv.Entry, error) {
	defer f.mu.Unlock()
	if err := f.beginCall(); err != nil {
		return kv.Entry{}, err
	}
	if current := f.data[w.Key]; current.Version != w.Expect {
		return kv.Entry{}, &kv.ConflictError{Current: current}
	}
	f.version++
	f.puts++
	f.data[w.Key] = kv.Entry{Key: w.Key, Value: w.Value, Version: f.version}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return kv.Entry{}, &kv.UnavailableError{MayHaveApplied: true, Cause: errors.New("answer lost")}
	}
	return kv.Entry{Key: w.Key, Version: f.version}, nil
}

func (f *fakeStore) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// publisher stands for the authority service. It publishes the messages that tests send to it and passes on each
// replay.
type publisher struct{ replayed chan message.LogReplayed }

type publishRequest struct{ kernel.Message }

func (p *publisher) Start(*kernel.Context) error { return nil }
func (p *publisher) Drain(c *kernel.Context)     { c.CompleteDrain() }
func (p *publisher) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case publishRequest:
		c.Publish(m.Message)
	case message.LogReplayed:
		p.replayed <- m
	}
}

type fixture struct {
	k        *kernel.Kernel
	replayed chan message.LogReplayed
}

// start runs a store service until the returned function is called.
func start(tb testing.TB, f *fakeStore) (*fixture, func()) {
	tb.Helper()
	p := &publisher{replayed: make(chan message.LogReplayed, 16)}
	k, err := kernel.New(nil, store.New(f, metrics.New()).Spec(), kernel.Spec{
		Name: names.Authority, Service: p, Subscriptions: []string{message.KindLogReplayed},
	})
	if err != nil {
		tb.Fatal(err)
	}
	stop, err := k.Start()
	if err != nil {
		tb.Fatal(err)
	}
	return &fixture{k: k, replayed: p.replayed}, func() { _ = stop(nil) }
}

func (x *fixture) becomeHolder(e model.Epoch) message.LogReplayed {
	_ = x.k.Send(names.Authority, publishRequest{message.AuthorityChanged{Holder: true, Epoch: e, Domain: "a"}})
	return <-x.replayed
}

func (x *fixture) append(e model.Epoch, data string) error {
	records := []message.LogRecord{{Service: "s", Data: []byte(data)}}
	_, err := x.k.Call(context.Background(), names.Store, message.LogAppend{Epoch: e, Records: records})
	return err
}

func recordData(m message.LogReplayed) (out []string) {
	for _, r := range m.Records {
		out = append(out, string(r.Data))
	}
	return out
}

// TestHandover guards against a new holder that does not receive all records, also those whose answer was lost; against
// an append of the old holder that succeeds after the new one has sealed the log; and against a closed epoch that is
// not reported as complete.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fakeStore{data: map[string]kv.Entry{}, delay: time.Millisecond}
		a, stopA := start(t, f)
		defer stopA()
		b, stopB := start(t, f)
		defer stopB()
		epoch1, epoch2, epoch3 := model.Epoch{Store: 1}, model.Epoch{Store: 2}, model.Epoch{Store: 3}
		g.Expect(a.becomeHolder(epoch1).Sealed).To(gomega.BeTrue())
		g.Expect(a.append(epoch1, "x")).To(gomega.Succeed())
		f.update(func() { f.loseAnswers = 1 })
		g.Expect(a.append(epoch1, "y")).To(gomega.Succeed(), "append with a lost answer")
		g.Expect(recordData(b.becomeHolder(epoch2))).To(gomega.Equal([]string{"x", "y"}))
		g.Expect(a.append(epoch1, "z")).To(gomega.MatchError(&failure.Error{Reason: failure.NotHolder}))
		_, err := b.k.Call(t.Context(), names.Store, message.LogClose{Epoch: epoch2})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		last := a.becomeHolder(epoch3)
		g.Expect(recordData(last)).To(gomega.Equal([]string{"x", "y"}))
		g.Expect(last.Complete).To(gomega.Equal([]model.Epoch{epoch2}))
	})
}

// TestOutage guards against appends without a time limit during an outage, calls that are sent to a store that is known
// to be down, and a service that refuses calls after the store answers again.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fakeStore{data: map[string]kv.Entry{}, delay: time.Millisecond}
		x, stop := start(t, f)
		defer stop()
		epoch1 := model.Epoch{Store: 1}
		x.becomeHolder(epoch1)
		f.update(func() { f.down = true })
		startedAt := time.Now()
		g.Expect(x.append(epoch1, "x")).To(gomega.MatchError(&failure.Error{Reason: failure.StoreUnavailable}))
		g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<=", 2*time.Second), "virtual time")
		get := func() error {
			_, err := x.k.Call(t.Context(), names.Store, message.StoreGet{Key: "k"})
			return err
		}
		for range 5 {
			g.Expect(get()).NotTo(gomega.Succeed())
		}
		before := f.calls
		for range 100 {
			g.Expect(get()).To(gomega.MatchError(&failure.Error{Reason: failure.StoreUnavailable}))
		}
		g.Expect(f.calls).To(gomega.Equal(before), "calls while the store is down")
		f.update(func() { f.down = false })
		time.Sleep(10 * time.Second)
		g.Expect(get()).To(gomega.Succeed())
		g.Expect(x.append(epoch1, "y")).To(gomega.Succeed())
		g.Expect(recordData(x.becomeHolder(model.Epoch{Store: 2}))).To(gomega.Equal([]string{"x", "y"}), "the slot of unknown outcome comes first")
	})
}

// BenchmarkAppend measures the appends per store write for several numbers of concurrent callers at a store response
// time of 2 ms.
func BenchmarkAppend(b *testing.B) {
	for _, callers := range []int{1, 16, 256, 2048} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			f := &fakeStore{data: map[string]kv.Entry{}, delay: 2 * time.Millisecond}
			x, stop := start(b, f)
			defer stop()
			epoch1 := model.Epoch{Store: 1}
			x.becomeHolder(epoch1)
			f.update(func() { f.puts = 0 })
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					for n := i; n < b.N; n += callers {
						_ = x.append(epoch1, "record")
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/float64(max(1, f.puts)), "appends/write")
		})
	}
}

// BenchmarkReplay measures the time of a replay for several numbers of records, with ten records per slot and without a
// response time of the store.
func BenchmarkReplay(b *testing.B) {
	for _, count := range []int{100, 1000, 2500} {
		b.Run(fmt.Sprint("records=", count), func(b *testing.B) {
			f := &fakeStore{data: map[string]kv.Entry{}}
			x, stop := start(b, f)
			defer stop()
			epoch := model.Epoch{Store: 1}
			x.becomeHolder(epoch)
			batch := make([]message.LogRecord, 10)
			for i := range batch {
				batch[i] = message.LogRecord{Service: "s", Data: make([]byte, 200)}
			}
			for range count / len(batch) {
				_, _ = x.k.Call(b.Context(), names.Store, message.LogAppend{Epoch: epoch, Records: batch})
			}
			for b.Loop() {
				epoch.Store++
				x.becomeHolder(epoch)
			}
		})
	}
}
