// Package scheduling tests the scheduler and workers services together against stand-in workers, in the
// virtual time of testing/synctest.
package scheduling

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/worker"
	"github.com/verbenaflow/verbenaflow/services/scheduler"
	"github.com/verbenaflow/verbenaflow/services/workers"
	standin "github.com/verbenaflow/verbenaflow/standins/worker"
)

func TestMain(m *testing.M) {
	if os.Getenv(workerProcessEnv) != "" {
		serveWorkerProcess()
		return
	}
	testseed.SetFlags("40")
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

const domain = "a"

// stepDownAfter is the time after which a resumed holder finds that its own lease has expired. Until then only
// its epoch keeps it from acting.
const stepDownAfter = time.Second

// oneWay is the network delay to a worker. It is not zero, so that the order of events shows in their times.
const oneWay = time.Millisecond

var errCut = errors.New("network is cut")

// logged is the part of a job record that the oracle reads.
type logged struct {
	Job       model.Job `json:"job"`
	Confirmed bool      `json:"confirmed"`
	// Transfer is set in records of the second kind.
	Transfer recordedTransfer `json:"transfer"`
	at       time.Time
}

// world is the platform that all holders share. The mutex guards its fields.
type world struct {
	mu     sync.Mutex
	domain model.FailureDomain
	// pair connects the world to another one; nil if it is alone.
	pair    *pair
	config  model.Config
	stale   bool
	confirm time.Time
	down    bool
	// unread keeps the log from the next holders.
	unread bool
	// lost makes appends of an unavailable store durable although they fail.
	lost bool
	// refuse is the failure of the appends whose records hold the text refuseIf.
	refuse   error
	refuseIf string
	// closed is the time at which the holder's authority drained.
	closed time.Time
	// epoch is the highest one, sealed that of the log. After a claim in an outage the log is the earlier holder's
	// until it is sealed.
	epoch, sealed model.Epoch
	records       []message.LogRecord
	logged        []logged
	cut           map[model.WorkerID]bool
	// refused counts the appends of each epoch after the log was sealed by a higher one.
	refused map[model.Epoch]int

	base    time.Time
	vms     []model.VM
	cancel  context.CancelFunc
	clients map[model.WorkerID]*standin.LocalClient
	holders []*holder
	active  atomic.Pointer[holder]
}

func newWorld(n int) *world { return newWorldOf(domain, n) }

func newWorldOf(d model.FailureDomain, n int) *world {
	w := &world{
		domain: d, base: time.Now(), cut: map[model.WorkerID]bool{}, refused: map[model.Epoch]int{}, clients: map[model.WorkerID]*standin.LocalClient{},
		config: model.Config{Version: 1, InForce: "p", Presets: map[string]model.Preset{
			"p": {Accounts: map[model.AccountID]model.AccountPolicy{"acme": {Weight: 1}}},
		}},
	}
	var specs []kernel.Spec
	for i := range n {
		id := fmt.Sprint("w", i)
		specs = append(specs, kernel.Spec{Name: kernel.Name(id), Service: standin.New()})
		w.vms = append(w.vms, model.VM{
			ID: id, Role: model.RoleWorker, Domain: d, Rack: "r", Address: id, Cores: 30, MemoryMB: 64_000,
		})
	}
	k, err := kernel.New(nil, specs...)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go func() { _ = k.Run(ctx) }()
	<-k.Started()
	for _, vm := range w.vms {
		w.clients[model.WorkerID(vm.ID)] = standin.NewLocalClient(k, kernel.Name(vm.ID))
	}
	return w
}

// close ends all kernels.
func (w *world) close() {
	for _, h := range w.holders {
		h.cancel()
		<-h.done
	}
	w.cancel()
}

// closeEarlier ends all holders but the current one.
func (w *world) closeEarlier() {
	for _, h := range w.holders[:len(w.holders)-1] {
		h.cancel()
		<-h.done
	}
	w.holders = w.holders[len(w.holders)-1:]
}

func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// setOut takes the failure domain out or brings it back.
func (w *world) setOut(out bool) {
	w.locked(func() {
		w.config.Version++
		w.config.Out = nil
		if out {
			w.config.Out = []model.FailureDomain{w.domain}
		}
	})
}

// append is the fenced log.
func (w *world) append(m message.LogAppend) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case m.Epoch.Less(w.sealed):
		w.refused[m.Epoch]++
		return failure.New(failure.NotHolder, "log is sealed")
	case m.Epoch != w.sealed:
		return failure.New(failure.StoreUnavailable, "log was not read")
	}
	if w.refuse != nil && slices.ContainsFunc(m.Records, func(r message.LogRecord) bool {
		return bytes.Contains(r.Data, []byte(w.refuseIf))
	}) {
		return w.refuse
	}
	if !w.down || w.lost {
		w.records = append(w.records, m.Records...)
		for _, r := range m.Records {
			l := logged{at: time.Now()}
			_ = json.Unmarshal(r.Data, &l)
			w.logged = append(w.logged, l)
		}
	}
	if w.down {
		return failure.New(failure.StoreUnavailable, "store is down")
	}
	return nil
}

// holder is one VM's scheduler and workers services with fakes of their neighbours.
type holder struct {
	world  *world
	vm     model.VMID
	epoch  model.Epoch
	kernel *kernel.Kernel
	cancel context.CancelFunc
	// kill ends the holder without a drain.
	kill    context.CancelFunc
	done    chan struct{}
	metrics *metrics.Set
	// cut and resumed are guarded by the world's mutex. resumed is the time at which a holder whose lease in
	// the store has expired goes on.
	cut     bool
	resumed time.Time
}

// elect starts a holder under a higher epoch. sealed is false for a claim in a store outage.
func (w *world) elect(sealed bool) *holder {
	h := &holder{world: w, vm: model.VMID(fmt.Sprint("v", len(w.holders))), done: make(chan struct{}), metrics: metrics.New()}
	w.locked(func() {
		if sealed {
			w.epoch = model.Epoch{Store: w.epoch.Store + 1}
			w.sealed = w.epoch
		} else {
			w.epoch.Outage++
		}
		h.epoch = w.epoch
	})
	dial := func(address string) worker.Client { return &link{holder: h, id: model.WorkerID(address)} }
	k, err := kernel.New(nil,
		kernel.Spec{Name: names.Store, Service: &fakeStore{w}},
		kernel.Spec{Name: names.Peers, Service: &fakePeers{w.pair}, Subscriptions: []string{message.KindLoadChanged}},
		workers.New(h.vm, w.domain, dial, h.metrics).Spec(),
		scheduler.New(w.domain, h.metrics).Spec(),
		kernel.Spec{Name: names.Authority, Service: &fakeAuthority{world: w, holder: h, sealed: sealed}, DependsOn: []kernel.Name{names.Store}},
	)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	h.kernel, h.cancel, h.kill = k, func() { cancel(nil) }, func() { cancel(&kernel.AbortError{}) }
	go func() { _ = k.Run(ctx); close(h.done) }()
	<-k.Started()
	w.holders = append(w.holders, h)
	w.active.Store(h)
	return h
}

// seal gives the current holder the log that it could not read.
func (w *world) seal() {
	h, m := w.current(), message.LogReplayed{Sealed: true}
	w.locked(func() {
		w.sealed = h.epoch
		m.Epoch, m.Records = h.epoch, slices.Clone(w.records)
	})
	_ = h.kernel.Send(names.Scheduler, m)
}

// replace cuts off the holder and elects another one after the lease in the store. It returns the old one.
func (w *world) replace(sealed bool) *holder {
	old := w.current()
	w.locked(func() { old.cut = true })
	time.Sleep(3500 * time.Millisecond)
	w.elect(sealed)
	return old
}

func (w *world) current() *holder { return w.holders[len(w.holders)-1] }

// call sends a message to the scheduler of a holder.
func (h *holder) call(m kernel.Message) (kernel.Message, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return h.kernel.Call(ctx, names.Scheduler, m)
}

// link is a holder's connection to a worker.
type link struct {
	holder *holder
	id     model.WorkerID
}

func (l *link) client() (c *standin.LocalClient) {
	l.holder.world.locked(func() { c = l.holder.world.clients[l.id] })
	return c
}

func (l *link) isCut() (cut bool) {
	l.holder.world.locked(func() { cut = l.holder.cut || l.holder.world.cut[l.id] })
	return cut
}

// Exchange implements worker.Client.
func (l *link) Exchange(ctx context.Context, x worker.Exchange) (worker.Report, error) {
	if l.isCut() {
		<-ctx.Done()
		return worker.Report{}, errCut
	}
	time.Sleep(oneWay)
	r, err := l.client().Exchange(ctx, x)
	time.Sleep(oneWay)
	if err == nil && l.isCut() {
		err = errCut
	}
	return r, err
}

// Close implements worker.Client.
func (*link) Close() {}

// fakeStore appends to the world's log.
type fakeStore struct{ world *world }

// Start implements kernel.Service.
func (*fakeStore) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (*fakeStore) Drain(c *kernel.Context) { c.CompleteDrain() }

type appendDue struct {
	envelope kernel.Envelope
	append   message.LogAppend
}

// Kind implements kernel.Message.
func (appendDue) Kind() string { return "append_due" }

// Handle implements kernel.Service.
func (s *fakeStore) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.LogAppend:
		c.SendAfter(5*time.Millisecond, appendDue{e, m})
	case appendDue:
		if err := s.world.append(m.append); err != nil {
			m.envelope.Fail(err)
			return
		}
		m.envelope.Reply(message.LogAppended{})
	}
}

// fakeAuthority publishes what the authority, membership, config and store services would.
type fakeAuthority struct {
	world  *world
	holder *holder
	sealed bool
}

type confirmDue struct{}

// Kind implements kernel.Message.
func (confirmDue) Kind() string { return "confirm_due" }

// Start implements kernel.Service.
func (s *fakeAuthority) Start(c *kernel.Context) error {
	replayed := message.LogReplayed{Epoch: s.holder.epoch, Sealed: s.sealed}
	if s.sealed {
		s.world.locked(func() { replayed.Records = append(replayed.Records, s.world.records...) })
	}
	if !s.world.unread {
		c.Publish(replayed) // Before AuthorityChanged: the services publish independently of each other.
	}
	c.Publish(message.MembersChanged{Workers: s.world.vms})
	c.Publish(message.AuthorityChanged{Holder: true, Epoch: s.holder.epoch})
	c.SendAfter(0, confirmDue{})
	return nil
}

// Drain implements kernel.Service.
func (s *fakeAuthority) Drain(c *kernel.Context) {
	s.world.locked(func() { s.world.closed = time.Now() })
	c.CompleteDrain()
}

// Handle implements kernel.Service.
func (s *fakeAuthority) Handle(c *kernel.Context, e kernel.Envelope) {
	switch e.Body.(type) {
	case confirmDue:
		stepDown := false
		s.world.locked(func() {
			stepDown = !s.holder.resumed.IsZero() && time.Since(s.holder.resumed) >= stepDownAfter
			if !s.world.stale {
				s.world.confirm = time.Now()
			}
			c.Publish(message.ConfigChanged{Config: s.world.config, Confirmed: s.world.confirm})
		})
		s.world.pair.publishLoads(c)
		if stepDown {
			c.Publish(message.AuthorityChanged{})
			return
		}
		c.SendAfter(500*time.Millisecond, confirmDue{})
	case message.EpochRefused:
		c.Publish(message.AuthorityChanged{})
	}
}
