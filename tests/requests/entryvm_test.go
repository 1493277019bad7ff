package requests

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	platform "github.com/verbenaflow/verbenaflow/platform/executor"
	"github.com/verbenaflow/verbenaflow/services/dispatch"
	"github.com/verbenaflow/verbenaflow/services/executors"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
	"github.com/verbenaflow/verbenaflow/services/routing"
	"github.com/verbenaflow/verbenaflow/services/scheduler"
	"github.com/verbenaflow/verbenaflow/standins/executor"
)

// domainStateName is the service name of domainState in the kernel of the platform.
const domainStateName = kernel.Name("domain_state")

// domainState is a service that holds the state shared by the VMs of one failure domain: the log and the authority.
type domainState struct {
	storeMode storeMode
	// pendingAppends holds the appends to which the store has not replied.
	pendingAppends []kernel.Envelope
	log            []message.LogRecord
	epoch          model.Epoch
	holder         *entryVM
	vms            []*entryVM
	// outageEpochs holds the epochs that began, or had an append, while the store was faulty. completeEpochs holds the
	// epochs that were closed by a graceful handover and are not in outageEpochs.
	outageEpochs   map[model.Epoch]bool
	completeEpochs []model.Epoch
	// logUnread is true while the holder has not received the log.
	logUnread bool
}

type (
	// withState runs fn on the goroutine of domainState.
	withState struct{ fn func(*domainState) }
	// authorityReleased reports that the drain of a VM has reached its authority service.
	authorityReleased struct{ vm *entryVM }
	// locate asks for a VM by its ID, or for the holder if the ID is empty; answered by located.
	locate  struct{ id model.VMID }
	located struct{ vm *entryVM }
	// publish makes the store service of a VM publish a message.
	publish struct{ m kernel.Message }
	// forwardDone reports that the peers service of a VM has completed a forward.
	forwardDone struct{}
)

func (withState) Kind() string         { return "with_state" }
func (authorityReleased) Kind() string { return "released" }
func (locate) Kind() string            { return "locate" }
func (located) Kind() string           { return "located" }
func (publish) Kind() string           { return "publish" }
func (forwardDone) Kind() string       { return "forwarded" }

func (s *domainState) Start(*kernel.Context) error { return nil }
func (s *domainState) Drain(c *kernel.Context)     { c.CompleteDrain() }

func (s *domainState) Handle(_ *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case withState:
		m.fn(s)
		e.Reply(message.Done{})
	case message.LogAppend:
		s.append(e, m)
	case authorityReleased:
		s.releaseAuthority(m.vm)
		e.Reply(message.Done{})
	case locate:
		e.Reply(located{s.findVM(m.id)})
	}
}

func (s *domainState) append(e kernel.Envelope, m message.LogAppend) {
	s.outageEpochs[m.Epoch] = s.outageEpochs[m.Epoch] || s.storeMode != storeUp
	switch {
	case s.storeMode == storeDown:
		e.Fail(failure.New(failure.StoreUnavailable, "down"))
	case s.storeMode == storeSilent:
		s.pendingAppends = append(s.pendingAppends, e)
	case m.Epoch != s.epoch:
		e.Fail(failure.New(failure.NotHolder, "sealed"))
	default:
		s.log = append(s.log, m.Records...)
		if s.storeMode == storeUp {
			e.Reply(message.LogAppended{})
		} else {
			s.pendingAppends = append(s.pendingAppends, e)
		}
	}
}

// setMode sets the fault of the store. When the store is up again, the pending appends are repeated. Records that were
// stored before their reply was lost are then in the log twice, which replay permits.
func (s *domainState) setMode(mode storeMode) {
	s.storeMode = mode
	if mode != storeUp {
		return
	}
	pending := s.pendingAppends
	s.pendingAppends = nil
	for _, e := range pending {
		s.append(e, e.Body.(message.LogAppend))
	}
	if s.holder != nil && s.logUnread {
		s.replay()
	}
}

// releaseAuthority removes a VM that shuts down and, if it was the holder, elects another one. The epoch is complete if
// the store is up and was up at each append.
func (s *domainState) releaseAuthority(vm *entryVM) {
	s.vms = slices.DeleteFunc(s.vms, func(o *entryVM) bool { return o == vm })
	if s.holder == vm {
		if s.storeMode == storeUp && !s.outageEpochs[s.epoch] {
			s.completeEpochs = append(s.completeEpochs, s.epoch)
		}
		s.elect(nil)
	}
	s.publishMembers()
}

func (s *domainState) findVM(id model.VMID) *entryVM {
	if id == "" {
		return s.holder
	}
	for _, vm := range s.vms {
		if vm.id == id {
			return vm
		}
	}
	return nil
}

// elect makes the first VM that is neither shutting down nor excluded the holder, under a new epoch.
func (s *domainState) elect(excluded *entryVM) {
	s.holder = nil
	for _, vm := range s.vms {
		if vm != excluded && vm.drainStart.IsZero() {
			s.holder = vm
			break
		}
	}
	if s.holder == nil {
		return
	}
	if s.storeMode == storeUp {
		s.epoch = model.Epoch{Store: s.epoch.Store + 1}
	} else {
		s.epoch.Outage++
		s.outageEpochs[s.epoch] = true
	}
	s.holder.publish(message.AuthorityChanged{Holder: true, Epoch: s.epoch, Domain: "a"})
	s.replay()
}

// replay publishes the log to the holder, or that the log cannot be read.
func (s *domainState) replay() {
	m := message.LogReplayed{Epoch: s.epoch}
	if s.logUnread = s.storeMode != storeUp; !s.logUnread {
		m.Sealed, m.Records, m.Complete = true, slices.Clone(s.log), slices.Clone(s.completeEpochs)
	}
	s.holder.publish(m)
}

// publishMembers publishes to each VM the other VMs, the worker and the executors.
func (s *domainState) publishMembers() {
	for _, vm := range s.vms {
		m := message.MembersChanged{
			Workers:   []model.VM{{ID: "w0", Role: model.RoleWorker, Domain: "a", Rack: "r", Cores: 30, MemoryMB: 64_000}},
			Executors: vm.domain.executorVMs(),
		}
		for _, o := range s.vms {
			if o != vm {
				m.Members = append(m.Members, model.Member{VM: o.id, Domain: "a", Region: "r", Alive: true, LastHeard: time.Now()})
			}
		}
		vm.publish(m)
	}
}

// failureDomain is a failure domain whose VMs are started and drained. It belongs to the goroutine of the test.
type failureDomain struct {
	t              *testing.T
	platformKernel *kernel.Kernel
	stop           context.CancelFunc
	runResult      chan error
	execs          []*executor.LocalClient
	executorIndex  map[string]int
	serving        []*entryVM
	allVMs         []*entryVM
	startedCount   int
}

func newFailureDomain(t *testing.T, vmCount int) *failureDomain {
	ctx, stop := context.WithCancel(context.Background())
	d := &failureDomain{t: t, stop: stop, runResult: make(chan error, 1), executorIndex: map[string]int{}}
	specs := []kernel.Spec{{Name: domainStateName, Service: &domainState{outageEpochs: map[model.Epoch]bool{}}}}
	for i := range 3 {
		name := fmt.Sprint("e", i)
		d.executorIndex[name] = i
		specs = append(specs, kernel.Spec{Name: kernel.Name(name), Service: executor.New(executorSlots, 400*time.Millisecond)})
	}
	k, err := kernel.New(nil, specs...)
	if err != nil {
		t.Fatal(err)
	}
	d.platformKernel = k
	for i := range 3 {
		d.execs = append(d.execs, executor.NewLocalClient(k, kernel.Name(fmt.Sprint("e", i))))
	}
	go func() { d.runResult <- k.Run(ctx) }()
	<-k.Started()
	for range vmCount {
		d.start()
	}
	return d
}

func (d *failureDomain) executorVMs() []model.VM {
	var out []model.VM
	for i := range d.execs {
		id := fmt.Sprint("e", i)
		out = append(out, model.VM{ID: id, Address: id, Region: "r", Role: model.RoleExecutor})
	}
	return out
}

func (d *failureDomain) withState(fn func(*domainState)) {
	if _, err := d.platformKernel.Call(context.Background(), domainStateName, withState{fn}); err != nil {
		d.t.Fatal(err)
	}
	synctest.Wait()
}

// entryVM is one VM. It runs the services for requests and jobs and the real HTTP front end.
type entryVM struct {
	domain   *failureDomain
	id       model.VMID
	kernel   *kernel.Kernel
	stop     context.CancelFunc
	listener *pipeListener
	client   *http.Client
	// drainStart is set on the goroutine of domainState, before the drain begins; it is zero for a VM that was not
	// drained.
	drainStart time.Time
	exit       chan vmExit
	observer   *drainObserver
}

// vmExit is the result and the time of the end of a VM.
type vmExit struct {
	err error
	at  time.Time
}

// drainObserver records the services whose drain did not complete in time.
type drainObserver struct{ incomplete []kernel.Name }

func (*drainObserver) MessageRefused(kernel.Name, string) {}
func (*drainObserver) ServiceStarted(kernel.Name)         {}
func (*drainObserver) ServiceDraining(kernel.Name)        {}
func (o *drainObserver) ServiceStopped(n kernel.Name, complete bool) {
	if !complete {
		o.incomplete = append(o.incomplete, n)
	}
}

func (vm *entryVM) publish(m kernel.Message) { _ = vm.kernel.Send(names.Store, publish{m}) }

// start starts a VM. It becomes the holder if the failure domain has none.
func (d *failureDomain) start() {
	d.startedCount++
	ctx, stop := context.WithCancel(context.Background())
	vm := &entryVM{
		domain: d, id: model.VMID(fmt.Sprint("v", d.startedCount)), stop: stop, exit: make(chan vmExit, 1),
		listener: newPipeListener(), observer: &drainObserver{},
	}
	vm.client = &http.Client{Transport: &http.Transport{DialContext: vm.listener.dial}}
	k, err := kernel.New(vm.observer, vm.specs()...)
	if err != nil {
		d.t.Fatal(err)
	}
	vm.kernel = k
	go func() {
		err := k.Run(ctx)
		vm.exit <- vmExit{err, time.Now()}
	}()
	<-k.Started()
	d.serving, d.allVMs = append(d.serving, vm), append(d.allVMs, vm)
	policy := map[model.AccountID]model.AccountPolicy{"x": {Weight: 1}}
	// The configuration is not confirmed, so that jobs stay queued and no task starts.
	vm.publish(message.ConfigChanged{Config: model.Config{
		Version: 1, InForce: "p", Presets: map[string]model.Preset{"p": {Accounts: policy}},
	}})
	d.withState(func(state *domainState) {
		state.vms = append(state.vms, vm)
		state.publishMembers()
		if state.holder == nil {
			state.elect(nil)
		}
	})
}

func (vm *entryVM) specs() []kernel.Spec {
	dial := func(a string) platform.Client { return vm.domain.execs[vm.domain.executorIndex[a]] }
	m := metrics.New()
	self := model.Member{VM: vm.id, Domain: "a", Region: "r"}
	return []kernel.Spec{
		{Name: names.Store, Service: &storeProxy{vm}, MailboxSize: 8192},
		{Name: names.Authority, Service: &authorityProxy{vm}, DependsOn: []kernel.Name{names.Store}},
		{Name: names.Peers, Service: &peersProxy{vm: vm}, MailboxSize: 8192, DrainTimeout: time.Minute},
		{Name: names.Workers, Service: &idleWorker{}, Subscriptions: []string{message.KindAuthorityChanged}},
		{Name: names.Config, Service: &fakeService{}},
		{Name: names.Membership, Service: &fakeService{}},
		{Name: names.Admin, Service: &fakeService{}},
		{Name: names.Admission, Service: openAdmission{}},
		executors.New(dial, m).Spec(), dispatch.New("a", m).Spec(), scheduler.New("a", m).Spec(),
		routing.New(self, m).Spec(),
		httpapi.New(self, vm.listener, httpapi.Options{}, m).Spec(),
	}
}

// openAdmission gives every connection a place and memory.
type openAdmission struct{}

func (openAdmission) Start(*kernel.Context) error                 { return nil }
func (openAdmission) Handle(_ *kernel.Context, e kernel.Envelope) { e.Reply(message.Done{}) }
func (openAdmission) Drain(c *kernel.Context)                     { c.CompleteDrain() }

// drain begins the graceful shutdown of a VM.
func (d *failureDomain) drain(vm *entryVM) {
	d.serving = slices.DeleteFunc(d.serving, func(o *entryVM) bool { return o == vm })
	d.withState(func(*domainState) { vm.drainStart = time.Now() })
	vm.stop()
	synctest.Wait()
}

// close drains all VMs and stops the platform.
func (d *failureDomain) close() {
	for len(d.serving) > 0 {
		d.drain(d.serving[0])
	}
	time.Sleep(time.Minute)
	for _, vm := range d.allVMs {
		vm.client.CloseIdleConnections()
	}
	d.stop()
	if err := <-d.runResult; err != nil {
		d.t.Error(err)
	}
}

// storeProxy is the store service of a VM. It forwards appends to domainState.
type storeProxy struct{ vm *entryVM }

func (s *storeProxy) Start(*kernel.Context) error { return nil }
func (s *storeProxy) Drain(c *kernel.Context)     { c.CompleteDrain() }

func (s *storeProxy) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case publish:
		c.Publish(m.m)
	case message.LogAppend:
		c.Spawn(func(ctx context.Context) kernel.Message {
			forwardCall(ctx, s.vm.domain.platformKernel, domainStateName, e)
			return nil
		})
	}
}

// forwardCall forwards a message to a service of another kernel and replies to its sender with the result.
func forwardCall(ctx context.Context, k *kernel.Kernel, to kernel.Name, e kernel.Envelope) {
	m, err := k.Call(ctx, to, e.Body)
	if err != nil {
		e.Fail(err)
		return
	}
	e.Reply(m)
}

// authorityProxy is the authority service of a VM. At the end of a drain, it releases the authority.
type authorityProxy struct{ vm *entryVM }

func (a *authorityProxy) Start(*kernel.Context) error { return nil }

func (a *authorityProxy) Drain(c *kernel.Context) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		_, _ = a.vm.domain.platformKernel.Call(ctx, domainStateName, authorityReleased{a.vm})
		return authorityReleased{a.vm}
	})
}

func (a *authorityProxy) Handle(c *kernel.Context, e kernel.Envelope) {
	if _, ok := e.Body.(authorityReleased); ok {
		c.CompleteDrain()
	}
}

// idleWorker is the workers service of a VM. It reports one idle worker to the scheduler of a new holder.
type idleWorker struct{}

func (*idleWorker) Start(*kernel.Context) error { return nil }
func (*idleWorker) Drain(c *kernel.Context)     { c.CompleteDrain() }

func (*idleWorker) Handle(c *kernel.Context, e kernel.Envelope) {
	if m, ok := e.Body.(message.AuthorityChanged); ok && m.Holder {
		_ = c.Send(names.Scheduler, message.WorkerReport{Worker: "w0", Epoch: m.Epoch, Full: true})
	}
}

// pipeListener is a listener for in-memory connections. In a synctest bubble, time does not advance while a goroutine
// waits for a socket.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	return nil, net.ErrClosed
}
