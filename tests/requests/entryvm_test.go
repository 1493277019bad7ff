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

// groundName is the name of the ground in the kernel of the platform.
const groundName = kernel.Name("ground")

// ground is the part of the platform that the VMs of one failure domain share: the log and the authority.
type ground struct {
	mode storeMode
	// waiting holds the appends that the store has not answered.
	waiting []kernel.Envelope
	log     []message.LogRecord
	epoch   model.Epoch
	holder  *entryVM
	vms     []*entryVM
	// outage holds the epochs whose appends met a fault, complete those that were closed without one.
	outage   map[model.Epoch]bool
	complete []model.Epoch
	// unread is true while the holder has not got the log.
	unread bool
}

type (
	// onGround runs on the goroutine of the ground.
	onGround struct{ f func(*ground) }
	// released tells that the drain of a VM has reached its authority.
	released struct{ vm *entryVM }
	// locate asks for a VM, or for the holder if the name is empty; answered by located.
	locate  struct{ vm model.VMID }
	located struct{ vm *entryVM }
	// publish makes the store service of a VM publish a message.
	publish struct{ m kernel.Message }
	// forwarded ends a task of the peers service.
	forwarded struct{}
)

func (onGround) Kind() string  { return "on_ground" }
func (released) Kind() string  { return "released" }
func (locate) Kind() string    { return "locate" }
func (located) Kind() string   { return "located" }
func (publish) Kind() string   { return "publish" }
func (forwarded) Kind() string { return "forwarded" }

func (g *ground) Start(*kernel.Context) error { return nil }
func (g *ground) Drain(c *kernel.Context)     { c.Drained() }

func (g *ground) Handle(_ *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case onGround:
		m.f(g)
		e.Reply(message.Done{})
	case message.LogAppend:
		g.append(e, m)
	case released:
		g.release(m.vm)
		e.Reply(message.Done{})
	case locate:
		e.Reply(located{g.find(m.vm)})
	}
}

func (g *ground) append(e kernel.Envelope, m message.LogAppend) {
	g.outage[m.Epoch] = g.outage[m.Epoch] || g.mode != storeUp
	switch {
	case g.mode == storeDown:
		e.Fail(failure.New(failure.StoreUnavailable, "down"))
	case g.mode == storeSilent:
		g.waiting = append(g.waiting, e)
	case m.Epoch != g.epoch:
		e.Fail(failure.New(failure.NotHolder, "sealed"))
	default:
		g.log = append(g.log, m.Records...)
		if g.mode == storeUp {
			e.Reply(message.LogAppended{})
		} else {
			g.waiting = append(g.waiting, e)
		}
	}
}

// setMode changes how the store works. A store that is up again answers what waits; records that it took
// before its answer was lost are appended twice, as replay permits.
func (g *ground) setMode(mode storeMode) {
	g.mode = mode
	if mode != storeUp {
		return
	}
	waiting := g.waiting
	g.waiting = nil
	for _, e := range waiting {
		g.append(e, e.Body.(message.LogAppend))
	}
	if g.holder != nil && g.unread {
		g.replay()
	}
}

func (g *ground) release(vm *entryVM) {
	g.vms = slices.DeleteFunc(g.vms, func(o *entryVM) bool { return o == vm })
	if g.holder == vm {
		if g.mode == storeUp && !g.outage[g.epoch] {
			g.complete = append(g.complete, g.epoch)
		}
		g.elect(nil)
	}
	g.announce()
}

func (g *ground) find(id model.VMID) *entryVM {
	if id == "" {
		return g.holder
	}
	for _, vm := range g.vms {
		if vm.id == id {
			return vm
		}
	}
	return nil
}

// elect gives the failure domain to the first VM that is not shutting down and not excluded.
func (g *ground) elect(not *entryVM) {
	g.holder = nil
	for _, vm := range g.vms {
		if vm != not && vm.drainAt.IsZero() {
			g.holder = vm
			break
		}
	}
	if g.holder == nil {
		return
	}
	if g.mode == storeUp {
		g.epoch = model.Epoch{Store: g.epoch.Store + 1}
	} else {
		g.epoch.Outage++
		g.outage[g.epoch] = true
	}
	g.holder.publish(message.AuthorityChanged{Holder: true, Epoch: g.epoch, Domain: "a"})
	g.replay()
}

// replay gives the log to the holder, or tells it that the log cannot be read.
func (g *ground) replay() {
	m := message.LogReplayed{Epoch: g.epoch}
	if g.unread = g.mode != storeUp; !g.unread {
		m.Sealed, m.Records, m.Complete = true, slices.Clone(g.log), slices.Clone(g.complete)
	}
	g.holder.publish(m)
}

// announce tells every VM of the others.
func (g *ground) announce() {
	for _, vm := range g.vms {
		m := message.MembersChanged{
			Workers:   []model.VM{{ID: "w0", Role: model.RoleWorker, Domain: "a", Rack: "r", Cores: 30, MemoryMB: 64_000}},
			Executors: vm.d.executors(),
		}
		for _, o := range g.vms {
			if o != vm {
				m.Members = append(m.Members, model.Member{VM: o.id, Domain: "a", Region: "r", Alive: true, LastHeard: time.Now()})
			}
		}
		vm.publish(m)
	}
}

// failureDomain is a failure domain whose VMs come and go. The director, which is the goroutine of the test,
// owns it.
type failureDomain struct {
	t       *testing.T
	k       *kernel.Kernel
	stop    context.CancelFunc
	done    chan error
	execs   []*executor.Memory
	byName  map[string]int
	serving []*entryVM
	all     []*entryVM
	started int
}

func newDomain(t *testing.T, vms int) *failureDomain {
	ctx, stop := context.WithCancel(context.Background())
	d := &failureDomain{t: t, stop: stop, done: make(chan error, 1), byName: map[string]int{}}
	specs := []kernel.Spec{{Name: groundName, Service: &ground{outage: map[model.Epoch]bool{}}}}
	for i := range 3 {
		name := fmt.Sprint("e", i)
		d.byName[name] = i
		specs = append(specs, kernel.Spec{Name: kernel.Name(name), Service: executor.New(maxSlots, 400*time.Millisecond)})
	}
	k, err := kernel.New(nil, specs...)
	if err != nil {
		t.Fatal(err)
	}
	d.k = k
	for i := range 3 {
		d.execs = append(d.execs, executor.NewMemory(k, kernel.Name(fmt.Sprint("e", i))))
	}
	go func() { d.done <- k.Run(ctx) }()
	<-k.Started()
	for range vms {
		d.start()
	}
	return d
}

func (d *failureDomain) executors() []model.VM {
	var out []model.VM
	for i := range d.execs {
		id := fmt.Sprint("e", i)
		out = append(out, model.VM{ID: id, Address: id, Region: "r", Role: model.RoleExecutor})
	}
	return out
}

func (d *failureDomain) ground(f func(*ground)) {
	if _, err := d.k.Call(context.Background(), groundName, onGround{f}); err != nil {
		d.t.Fatal(err)
	}
	synctest.Wait()
}

// entryVM is one VM: the services of requests and jobs behind the real HTTP front end.
type entryVM struct {
	d        *failureDomain
	id       model.VMID
	k        *kernel.Kernel
	stop     context.CancelFunc
	listener *pipeListener
	client   *http.Client
	// drainAt is set on the goroutine of the ground, before the drain.
	drainAt time.Time
	ended   chan ending
	observe *drains
}

// ending is how a VM ended.
type ending struct {
	err error
	at  time.Time
}

// drains records the services whose drain did not end in time.
type drains struct{ cut []kernel.Name }

func (*drains) Refused(kernel.Name, string) {}
func (*drains) ServiceStarted(kernel.Name)  {}
func (*drains) ServiceDraining(kernel.Name) {}
func (o *drains) ServiceStopped(n kernel.Name, complete bool) {
	if !complete {
		o.cut = append(o.cut, n)
	}
}

func (vm *entryVM) publish(m kernel.Message) { _ = vm.k.Send(names.Store, publish{m}) }

// start adds a VM. The first one holds the failure domain.
func (d *failureDomain) start() {
	d.started++
	ctx, stop := context.WithCancel(context.Background())
	vm := &entryVM{
		d: d, id: model.VMID(fmt.Sprint("v", d.started)), stop: stop, ended: make(chan ending, 1),
		listener: newPipeListener(), observe: &drains{},
	}
	vm.client = &http.Client{Transport: &http.Transport{DialContext: vm.listener.dial}}
	k, err := kernel.New(vm.observe, vm.specs()...)
	if err != nil {
		d.t.Fatal(err)
	}
	vm.k = k
	go func() {
		err := k.Run(ctx)
		vm.ended <- ending{err, time.Now()}
	}()
	<-k.Started()
	d.serving, d.all = append(d.serving, vm), append(d.all, vm)
	policy := map[model.AccountID]model.AccountPolicy{"x": {Weight: 1}}
	// The document is unconfirmed, so that jobs wait and no task starts.
	vm.publish(message.ConfigChanged{Config: model.Config{
		Version: 1, InForce: "p", Presets: map[string]model.Preset{"p": {Accounts: policy}},
	}})
	d.ground(func(g *ground) {
		g.vms = append(g.vms, vm)
		g.announce()
		if g.holder == nil {
			g.elect(nil)
		}
	})
}

func (vm *entryVM) specs() []kernel.Spec {
	dial := func(a string) platform.Client { return vm.d.execs[vm.d.byName[a]] }
	m := metrics.New()
	self := model.Member{VM: vm.id, Domain: "a", Region: "r"}
	return []kernel.Spec{
		{Name: names.Store, Service: &storeProxy{vm}, Mailbox: 8192},
		{Name: names.Authority, Service: &authorityProxy{vm}, After: []kernel.Name{names.Store}},
		{Name: names.Peers, Service: &peersProxy{vm: vm}, Mailbox: 8192, DrainTimeout: time.Minute},
		{Name: names.Workers, Service: &oneWorker{}, Subscribes: []string{message.KindAuthorityChanged}},
		{Name: names.Config, Service: &fake{}},
		{Name: names.Membership, Service: &fake{}},
		{Name: names.Admin, Service: &fake{}},
		executors.New(dial, m).Spec(), dispatch.New("a", m).Spec(), scheduler.New("a", m).Spec(),
		routing.New(self, m).Spec(),
		httpapi.New(self, vm.listener, httpapi.Options{}, m).Spec(),
	}
}

// drain begins the graceful shutdown of a VM.
func (d *failureDomain) drain(vm *entryVM) {
	d.serving = slices.DeleteFunc(d.serving, func(o *entryVM) bool { return o == vm })
	d.ground(func(*ground) { vm.drainAt = time.Now() })
	vm.stop()
	synctest.Wait()
}

// close ends all VMs and the platform.
func (d *failureDomain) close() {
	for len(d.serving) > 0 {
		d.drain(d.serving[0])
	}
	time.Sleep(time.Minute)
	for _, vm := range d.all {
		vm.client.CloseIdleConnections()
	}
	d.stop()
	if err := <-d.done; err != nil {
		d.t.Error(err)
	}
}

// storeProxy is the store service of a VM: it passes appends to the ground.
type storeProxy struct{ vm *entryVM }

func (s *storeProxy) Start(*kernel.Context) error { return nil }
func (s *storeProxy) Drain(c *kernel.Context)     { c.Drained() }

func (s *storeProxy) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case publish:
		c.Publish(m.m)
	case message.LogAppend:
		c.Spawn(func(ctx context.Context) kernel.Message {
			relay(ctx, s.vm.d.k, groundName, e)
			return nil
		})
	}
}

// relay passes a message on and answers its sender.
func relay(ctx context.Context, k *kernel.Kernel, to kernel.Name, e kernel.Envelope) {
	m, err := k.Call(ctx, to, e.Body)
	if err != nil {
		e.Fail(err)
		return
	}
	e.Reply(m)
}

// authorityProxy hands the failure domain over at the end of a drain.
type authorityProxy struct{ vm *entryVM }

func (a *authorityProxy) Start(*kernel.Context) error { return nil }

func (a *authorityProxy) Drain(c *kernel.Context) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		_, _ = a.vm.d.k.Call(ctx, groundName, released{a.vm})
		return released{a.vm}
	})
}

func (a *authorityProxy) Handle(c *kernel.Context, e kernel.Envelope) {
	if _, ok := e.Body.(released); ok {
		c.Drained()
	}
}

// oneWorker reports an idle worker to the scheduler of a new holder.
type oneWorker struct{}

func (*oneWorker) Start(*kernel.Context) error { return nil }
func (*oneWorker) Drain(c *kernel.Context)     { c.Drained() }

func (*oneWorker) Handle(c *kernel.Context, e kernel.Envelope) {
	if m, ok := e.Body.(message.AuthorityChanged); ok && m.Holder {
		_ = c.Send(names.Scheduler, message.WorkerReport{Worker: "w0", Epoch: m.Epoch, Full: true})
	}
}

// pipeListener accepts connections of the same process.
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
