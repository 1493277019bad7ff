// Package embedded runs the stand-ins of the platform and the daemons of several failure domains in one
// process, with real sockets on the loopback interface, for demos and tests.
package embedded

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/node/daemon"
	"github.com/verbenaflow/verbenaflow/node/settings"
	"github.com/verbenaflow/verbenaflow/standins/executor"
	"github.com/verbenaflow/verbenaflow/standins/store"
	"github.com/verbenaflow/verbenaflow/standins/vmlist"
	"github.com/verbenaflow/verbenaflow/standins/worker"
)

// Domain is the size of one failure domain.
type Domain struct {
	Name                    model.FailureDomain
	Region                  model.Region
	VMs, Workers, Executors int
}

// Options describe a cluster.
type Options struct {
	Domains []Domain
	// ListLag is the delay of the list of VMs.
	ListLag time.Duration
	// ExecutorSlots is the number of requests that an executor runs at a time, ExecutorTook the time of each.
	ExecutorSlots int
	ExecutorTook  time.Duration
}

// Default returns three failure domains in three regions with 7 entry VMs.
func Default() Options {
	return Options{
		Domains: []Domain{
			{Name: "a", Region: "r1", VMs: 3, Workers: 4, Executors: 2},
			{Name: "b", Region: "r2", VMs: 2, Workers: 2, Executors: 2},
			{Name: "c", Region: "r3", VMs: 2, Workers: 2, Executors: 2},
		},
		ListLag: 500 * time.Millisecond, ExecutorSlots: 8, ExecutorTook: 5 * time.Millisecond,
	}
}

// UnknownVMError reports a VM that the cluster does not have, or that is not in the state that a call needs.
type UnknownVMError struct {
	VM     model.VMID
	Reason string
}

func (e *UnknownVMError) Error() string { return fmt.Sprintf("entry VM %q: %s", e.VM, e.Reason) }

// Cluster is a set of stand-ins and daemons. Its methods are not safe for concurrent use.
type Cluster struct {
	wg       conc.WaitGroup
	standins []*unit
	daemons  map[model.VMID]*entryVM
	vms      []model.VM
	store    string
	vmlist   string
}

// unit is one running stand-in or daemon.
type unit struct {
	cancel context.CancelCauseFunc
	ended  chan error
}

type entryVM struct {
	settings settings.Settings
	unit     *unit
	sockets  []*socket
}

// Start starts the stand-ins and daemons. The caller must call Stop.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{daemons: make(map[model.VMID]*entryVM)}
	if err := c.startAll(o); err != nil {
		return nil, errors.CombineErrors(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) startAll(o Options) error {
	if err := c.startPlatform(o); err != nil {
		return err
	}
	listeners, err := c.reserve(o)
	if err != nil {
		return err
	}
	for _, id := range c.VMs() {
		c.launch(c.daemons[id], listeners[id])
	}
	return nil
}

func (c *Cluster) startPlatform(o Options) error {
	add := func(id string, role model.Role, d Domain, rack string, run func(context.Context, net.Listener) error) error {
		address, err := c.standin(run)
		c.vms = append(c.vms, model.VM{ID: id, Role: role, Domain: d.Name, Region: d.Region, Rack: rack, Address: address})
		return err
	}
	for _, d := range o.Domains {
		for i := range d.Workers {
			rack := fmt.Sprintf("%s-rack%d", d.Name, i*model.GPUsPerWorker/model.GPUsPerRack)
			err := add(fmt.Sprintf("%s-w%d", d.Name, i+1), model.RoleWorker, d, rack,
				func(ctx context.Context, l net.Listener) error { return worker.Run(ctx, l, worker.New()) })
			if err != nil {
				return err
			}
		}
		for i := range d.Executors {
			err := add(fmt.Sprintf("%s-e%d", d.Name, i+1), model.RoleExecutor, d, "",
				func(ctx context.Context, l net.Listener) error {
					return executor.Run(ctx, l, executor.New(o.ExecutorSlots, o.ExecutorTook))
				})
			if err != nil {
				return err
			}
		}
	}
	var err error
	c.store, err = c.standin(func(ctx context.Context, l net.Listener) error { return store.Run(ctx, l, store.New()) })
	if err != nil {
		return err
	}
	c.vmlist, err = c.standin(func(ctx context.Context, l net.Listener) error {
		return vmlist.Run(ctx, l, vmlist.New(c.vms, o.ListLag))
	})
	return err
}

// standin runs a stand-in on a free address and returns the address.
func (c *Cluster) standin(run func(context.Context, net.Listener) error) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "stand-in")
	}
	c.standins = append(c.standins, c.spawn(func(ctx context.Context) error { return run(ctx, l) }))
	return l.Addr().String(), nil
}

func (c *Cluster) spawn(run func(context.Context) error) *unit {
	ctx, cancel := context.WithCancelCause(context.Background())
	u := &unit{cancel: cancel, ended: make(chan error, 1)}
	c.wg.Go(func() { u.ended <- run(ctx) })
	return u
}

// end stops a unit, at once if cause is a *kernel.AbortError, and returns its result.
func (u *unit) end(cause error) error {
	u.cancel(cause)
	return <-u.ended
}

// reserve opens the listeners of all daemons, so that the settings of each name the addresses of all.
func (c *Cluster) reserve(o Options) (map[model.VMID]daemon.Listeners, error) {
	out := make(map[model.VMID]daemon.Listeners)
	for _, d := range o.Domains {
		for i := range d.VMs {
			s := settings.Settings{
				VM: model.VMID(fmt.Sprintf("%s-v%d", d.Name, i+1)), Domain: d.Name, Region: d.Region,
				HTTP: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0", Store: c.store, VMList: c.vmlist,
				ExecutorConns: settings.DefaultExecutorConns, MaxBody: settings.DefaultMaxBody,
				HeaderTimeout: settings.DefaultHeaderTimeout, DrainTimeout: settings.DefaultDrainTimeout,
			}
			l, err := daemon.Listen(s)
			if err != nil {
				return nil, err
			}
			s.HTTP, s.Peers, s.Admin = l.HTTP.Addr().String(), l.Peers.Addr().String(), l.Admin.Addr().String()
			out[s.VM] = l
			c.daemons[s.VM] = &entryVM{settings: s}
		}
	}
	for _, e := range c.daemons {
		for id, other := range c.daemons {
			if id != e.settings.VM {
				o := other.settings
				e.settings.Members = append(e.settings.Members, model.Member{VM: id, Domain: o.Domain, Region: o.Region, Address: o.Peers})
			}
		}
	}
	return out, nil
}

func (c *Cluster) launch(e *entryVM, l daemon.Listeners) {
	http, peers, admin := newSocket(l.HTTP), newSocket(l.Peers), newSocket(l.Admin)
	e.sockets = []*socket{http, peers, admin}
	s := e.settings
	e.unit = c.spawn(func(ctx context.Context) error {
		return daemon.Serve(ctx, s, daemon.Listeners{HTTP: http, Peers: peers, Admin: admin})
	})
}

// Stop ends all daemons gracefully and then the stand-ins.
func (c *Cluster) Stop() error {
	var errs error
	for _, e := range c.daemons {
		if e.unit != nil {
			errs = errors.CombineErrors(errs, c.finish(e, context.Canceled))
		}
	}
	for _, u := range c.standins {
		errs = errors.CombineErrors(errs, u.end(context.Canceled))
	}
	c.standins = nil
	c.wg.Wait()
	return errs
}

// Kill ends a daemon at once, as the loss of its VM does: without a drain and with its connections closed.
func (c *Cluster) Kill(id model.VMID) error { return c.endVM(id, &kernel.AbortError{}) }

// Shutdown ends a daemon gracefully.
func (c *Cluster) Shutdown(id model.VMID) error { return c.endVM(id, context.Canceled) }

func (c *Cluster) endVM(id model.VMID, cause error) error {
	e, ok := c.daemons[id]
	if !ok || e.unit == nil {
		return &UnknownVMError{id, "not running"}
	}
	return c.finish(e, cause)
}

func (c *Cluster) finish(e *entryVM, cause error) error {
	var abort *kernel.AbortError
	if errors.As(cause, &abort) {
		for _, s := range e.sockets {
			s.abort()
		}
	}
	err := e.unit.end(cause)
	e.unit = nil
	for _, s := range e.sockets {
		s.abort()
	}
	return err
}

// Restart starts a daemon that has ended, on its old addresses.
func (c *Cluster) Restart(id model.VMID) error {
	e, ok := c.daemons[id]
	if !ok || e.unit != nil {
		return &UnknownVMError{id, "not stopped"}
	}
	l, err := daemon.Listen(e.settings)
	if err != nil {
		return err
	}
	c.launch(e, l)
	return nil
}

// VMs returns the entry VMs, sorted, whether or not they run.
func (c *Cluster) VMs() []model.VMID {
	out := make([]model.VMID, 0, len(c.daemons))
	for id := range c.daemons {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Running reports whether a daemon runs.
func (c *Cluster) Running(id model.VMID) bool { e, ok := c.daemons[id]; return ok && e.unit != nil }

// HTTP returns the address "IP:port" of a daemon for callers and operators, or "" for an unknown VM.
func (c *Cluster) HTTP(id model.VMID) string { return c.settings(id).HTTP }

// Admin returns the address "IP:port" of a daemon's admin listener, or "" for an unknown VM.
func (c *Cluster) Admin(id model.VMID) string { return c.settings(id).Admin }

// Domain returns the failure domain of a daemon, or "" for an unknown VM.
func (c *Cluster) Domain(id model.VMID) model.FailureDomain { return c.settings(id).Domain }

func (c *Cluster) settings(id model.VMID) settings.Settings {
	if e, ok := c.daemons[id]; ok {
		return e.settings
	}
	return settings.Settings{}
}

// Store and VMList return the addresses "IP:port" of the stand-ins, which also serve their controls.
func (c *Cluster) Store() string { return c.store }

// VMList returns the address "IP:port" of the list of VMs.
func (c *Cluster) VMList() string { return c.vmlist }

// Fleet returns the workers and executors with their addresses.
func (c *Cluster) Fleet() []model.VM { return slices.Clone(c.vms) }
