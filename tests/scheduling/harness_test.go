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

const domainName = "a"

// stepDownDelay is the time after which a resumed holder notices that its own lease has expired. Until then only its
// epoch prevents it from acting.
const stepDownDelay = time.Second

// networkDelay is the one-way network delay to a worker. It is not zero, so that the order of events is visible in
// their times.
const networkDelay = time.Millisecond

var errUnreachable = errors.New("network is unreachable")

// loggedRecord is the part of a job record that the checks read.
type loggedRecord struct {
	Job       model.Job `json:"job"`
	Confirmed bool      `json:"confirmed"`
	// Transfer is set in records of transfers.
	Transfer recordedTransfer `json:"transfer"`
	at       time.Time
}

// testDomain is a failure domain with its workers, its log and configuration, and its successive holders. The mutex
// guards its fields.
type testDomain struct {
	mu   sync.Mutex
	name model.FailureDomain
	// pair connects the domain with another one; nil if there is none.
	pair            *domainPair
	config          model.Config
	configStale     bool
	configConfirmed time.Time
	storeDown       bool
	// logUnread withholds the log from holders that are elected from now on.
	logUnread bool
	// repliesLost makes appends durable although they fail while the store is down.
	repliesLost bool
	// appendError is the error of appends with a record that contains the text appendErrorIf.
	appendError   error
	appendErrorIf string
	// authorityDrained is the time at which the authority service of a holder drained.
	authorityDrained time.Time
	// highestEpoch is the epoch of the latest holder and logEpoch that of the log. They differ after a claim in a store
	// outage until the new holder seals the log.
	highestEpoch, logEpoch model.Epoch
	records                []message.LogRecord
	logged                 []loggedRecord
	unreachable            map[model.WorkerID]bool
	// fencedAppends counts by epoch the appends that were refused because a higher epoch had sealed the log.
	fencedAppends map[model.Epoch]int

	startedAt time.Time
	vms       []model.VM
	cancel    context.CancelFunc
	clients   map[model.WorkerID]*standin.LocalClient
	holders   []*holder
	active    atomic.Pointer[holder]
}

func newTestDomain(n int) *testDomain { return newNamedTestDomain(domainName, n) }

func newNamedTestDomain(d model.FailureDomain, n int) *testDomain {
	td := &testDomain{
		name: d, startedAt: time.Now(), unreachable: map[model.WorkerID]bool{}, fencedAppends: map[model.Epoch]int{}, clients: map[model.WorkerID]*standin.LocalClient{},
		config: model.Config{Version: 1, InForce: "p", Presets: map[string]model.Preset{
			"p": {Accounts: map[model.AccountID]model.AccountPolicy{"acme": {Weight: 1}}},
		}},
	}
	var specs []kernel.Spec
	for i := range n {
		id := fmt.Sprint("w", i)
		specs = append(specs, kernel.Spec{Name: kernel.Name(id), Service: standin.New()})
		td.vms = append(td.vms, model.VM{
			ID: id, Role: model.RoleWorker, Domain: d, Rack: "r", Address: id, Cores: 30, MemoryMB: 64_000,
		})
	}
	k, err := kernel.New(nil, specs...)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	td.cancel = cancel
	go func() { _ = k.Run(ctx) }()
	<-k.Started()
	for _, vm := range td.vms {
		td.clients[model.WorkerID(vm.ID)] = standin.NewLocalClient(k, kernel.Name(vm.ID))
	}
	return td
}

// close stops all kernels.
func (td *testDomain) close() {
	for _, h := range td.holders {
		h.cancel()
		<-h.done
	}
	td.cancel()
}

// closeEarlierHolders stops all holders but the current one.
func (td *testDomain) closeEarlierHolders() {
	for _, h := range td.holders[:len(td.holders)-1] {
		h.cancel()
		<-h.done
	}
	td.holders = td.holders[len(td.holders)-1:]
}

func (td *testDomain) locked(f func()) {
	td.mu.Lock()
	defer td.mu.Unlock()
	f()
}

// setOut takes the failure domain out of service or brings it back.
func (td *testDomain) setOut(out bool) {
	td.locked(func() {
		td.config.Version++
		td.config.Out = nil
		if out {
			td.config.Out = []model.FailureDomain{td.name}
		}
	})
}

// appendRecords implements the fenced log.
func (td *testDomain) appendRecords(m message.LogAppend) error {
	td.mu.Lock()
	defer td.mu.Unlock()
	switch {
	case m.Epoch.Less(td.logEpoch):
		td.fencedAppends[m.Epoch]++
		return failure.New(failure.NotHolder, "log is sealed")
	case m.Epoch != td.logEpoch:
		return failure.New(failure.StoreUnavailable, "log was not read")
	}
	if td.appendError != nil && slices.ContainsFunc(m.Records, func(r message.LogRecord) bool {
		return bytes.Contains(r.Data, []byte(td.appendErrorIf))
	}) {
		return td.appendError
	}
	if !td.storeDown || td.repliesLost {
		td.records = append(td.records, m.Records...)
		for _, r := range m.Records {
			l := loggedRecord{at: time.Now()}
			_ = json.Unmarshal(r.Data, &l)
			td.logged = append(td.logged, l)
		}
	}
	if td.storeDown {
		return failure.New(failure.StoreUnavailable, "store is down")
	}
	return nil
}

// holder is a VM with the scheduler and workers services and with fakes of the services that they use.
type holder struct {
	domain *testDomain
	vm     model.VMID
	epoch  model.Epoch
	kernel *kernel.Kernel
	cancel context.CancelFunc
	// kill stops the holder without a drain.
	kill    context.CancelFunc
	done    chan struct{}
	metrics *metrics.Set
	// disconnected and resumed are guarded by the mutex of the domain. resumed is the time at which a holder continues
	// although its lease in the store has expired.
	disconnected bool
	resumed      time.Time
}

// elect starts a holder under a higher epoch. sealed is false if the holder claims the workers in a store outage.
func (td *testDomain) elect(sealed bool) *holder {
	h := &holder{domain: td, vm: model.VMID(fmt.Sprint("v", len(td.holders))), done: make(chan struct{}), metrics: metrics.New()}
	td.locked(func() {
		if sealed {
			td.highestEpoch = model.Epoch{Store: td.highestEpoch.Store + 1}
			td.logEpoch = td.highestEpoch
		} else {
			td.highestEpoch.Outage++
		}
		h.epoch = td.highestEpoch
	})
	dial := func(address string) worker.Client { return &workerLink{holder: h, id: model.WorkerID(address)} }
	k, err := kernel.New(nil,
		kernel.Spec{Name: names.Store, Service: &fakeStore{td}},
		kernel.Spec{Name: names.Peers, Service: &fakePeers{td.pair}, Subscriptions: []string{message.KindLoadChanged}},
		workers.New(h.vm, td.name, dial, h.metrics).Spec(),
		scheduler.New(td.name, h.metrics).Spec(),
		kernel.Spec{Name: names.Authority, Service: &fakeAuthority{domain: td, holder: h, sealed: sealed}, DependsOn: []kernel.Name{names.Store}},
	)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	h.kernel, h.cancel, h.kill = k, func() { cancel(nil) }, func() { cancel(&kernel.AbortError{}) }
	go func() { _ = k.Run(ctx); close(h.done) }()
	<-k.Started()
	td.holders = append(td.holders, h)
	td.active.Store(h)
	return h
}

// sealLog seals the log under the epoch of the current holder and replays it to that holder.
func (td *testDomain) sealLog() {
	h, m := td.current(), message.LogReplayed{Sealed: true}
	td.locked(func() {
		td.logEpoch = h.epoch
		m.Epoch, m.Records = h.epoch, slices.Clone(td.records)
	})
	_ = h.kernel.Send(names.Scheduler, m)
}

// replaceHolder disconnects the holder and elects another one after the lease in the store has expired. It returns the
// old holder.
func (td *testDomain) replaceHolder(sealed bool) *holder {
	old := td.current()
	td.locked(func() { old.disconnected = true })
	time.Sleep(3500 * time.Millisecond)
	td.elect(sealed)
	return old
}

func (td *testDomain) current() *holder { return td.holders[len(td.holders)-1] }

// call sends a message to the scheduler of a holder.
func (h *holder) call(m kernel.Message) (kernel.Message, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return h.kernel.Call(ctx, names.Scheduler, m)
}

// workerLink is the connection of a holder to a worker.
type workerLink struct {
	holder *holder
	id     model.WorkerID
}

func (l *workerLink) client() (c *standin.LocalClient) {
	l.holder.domain.locked(func() { c = l.holder.domain.clients[l.id] })
	return c
}

func (l *workerLink) disconnected() (cut bool) {
	l.holder.domain.locked(func() { cut = l.holder.disconnected || l.holder.domain.unreachable[l.id] })
	return cut
}

// Exchange implements worker.Client.
func (l *workerLink) Exchange(ctx context.Context, x worker.Exchange) (worker.Report, error) {
	if l.disconnected() {
		<-ctx.Done()
		return worker.Report{}, errUnreachable
	}
	time.Sleep(networkDelay)
	r, err := l.client().Exchange(ctx, x)
	time.Sleep(networkDelay)
	if err == nil && l.disconnected() {
		err = errUnreachable
	}
	return r, err
}

// Close implements worker.Client.
func (*workerLink) Close() {}

// fakeStore appends to the log of the domain.
type fakeStore struct{ domain *testDomain }

// Start implements kernel.Service.
func (*fakeStore) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (*fakeStore) Drain(c *kernel.Context) { c.CompleteDrain() }

type appendDue struct {
	envelope kernel.Envelope
	request  message.LogAppend
}

// Kind implements kernel.Message.
func (appendDue) Kind() string { return "append_due" }

// Handle implements kernel.Service.
func (s *fakeStore) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.LogAppend:
		c.SendAfter(5*time.Millisecond, appendDue{e, m})
	case appendDue:
		if err := s.domain.appendRecords(m.request); err != nil {
			m.envelope.Fail(err)
			return
		}
		m.envelope.Reply(message.LogAppended{})
	}
}

// fakeAuthority publishes the messages of the authority, membership, config and store services.
type fakeAuthority struct {
	domain *testDomain
	holder *holder
	sealed bool
}

type publishConfigDue struct{}

// Kind implements kernel.Message.
func (publishConfigDue) Kind() string { return "confirm_due" }

// Start implements kernel.Service.
func (s *fakeAuthority) Start(c *kernel.Context) error {
	replayed := message.LogReplayed{Epoch: s.holder.epoch, Sealed: s.sealed}
	if s.sealed {
		s.domain.locked(func() { replayed.Records = append(replayed.Records, s.domain.records...) })
	}
	if !s.domain.logUnread {
		c.Publish(replayed) // Before AuthorityChanged, because the services publish in any order.
	}
	c.Publish(message.MembersChanged{Workers: s.domain.vms})
	c.Publish(message.AuthorityChanged{Holder: true, Epoch: s.holder.epoch})
	c.SendAfter(0, publishConfigDue{})
	return nil
}

// Drain implements kernel.Service.
func (s *fakeAuthority) Drain(c *kernel.Context) {
	s.domain.locked(func() { s.domain.authorityDrained = time.Now() })
	c.CompleteDrain()
}

// Handle implements kernel.Service.
func (s *fakeAuthority) Handle(c *kernel.Context, e kernel.Envelope) {
	switch e.Body.(type) {
	case publishConfigDue:
		stepDown := false
		s.domain.locked(func() {
			stepDown = !s.holder.resumed.IsZero() && time.Since(s.holder.resumed) >= stepDownDelay
			if !s.domain.configStale {
				s.domain.configConfirmed = time.Now()
			}
			c.Publish(message.ConfigChanged{Config: s.domain.config, Confirmed: s.domain.configConfirmed})
		})
		s.domain.pair.publishLoads(c)
		if stepDown {
			c.Publish(message.AuthorityChanged{})
			return
		}
		c.SendAfter(500*time.Millisecond, publishConfigDue{})
	case message.EpochRefused:
		c.Publish(message.AuthorityChanged{})
	}
}
