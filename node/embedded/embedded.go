// Package embedded runs a cluster in one process for demos and tests: the stand-ins (simulated services) of the
// platform and the daemons of several failure domains, which communicate through loopback sockets.
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

// Domain describes one failure domain: its name, region and numbers of entry VMs, workers and executors.
type Domain struct {
	Name                    model.FailureDomain
	Region                  model.Region
	VMs, Workers, Executors int
}

// Options describes a cluster.
type Options struct {
	Domains []Domain
	// VMListDelay is the delay with which changes appear in the list of VMs.
	VMListDelay time.Duration
	// ExecutorSlots is the number of requests that an executor runs concurrently, ExecutorRequestTime the run time of
	// each.
	ExecutorSlots       int
	ExecutorRequestTime time.Duration
}

// DefaultOptions returns three failure domains in three regions with 7 entry VMs.
func DefaultOptions() Options {
	return Options{
		Domains: []Domain{
			{Name: "a", Region: "r1", VMs: 3, Workers: 4, Executors: 2},
			{Name: "b", Region: "r2", VMs: 2, Workers: 2, Executors: 2},
			{Name: "c", Region: "r3", VMs: 2, Workers: 2, Executors: 2},
		},
		VMListDelay: 500 * time.Millisecond, ExecutorSlots: 8, ExecutorRequestTime: 5 * time.Millisecond,
	}
}

// UnknownVMError reports an entry VM that the cluster does not have, or that is not in the state that a call requires.
type UnknownVMError struct {
	VM     model.VMID
	Reason string
}

func (e *UnknownVMError) Error() string { return fmt.Sprintf("entry VM %q: %s", e.VM, e.Reason) }

// Cluster is a set of stand-ins and daemons. Its methods are not safe for concurrent use.
type Cluster struct {
	wg       conc.WaitGroup
	standins []*instance
	daemons  map[model.VMID]*entryVM
	vms      []model.VM
	store    string
	vmlist   string
}

// instance is one running stand-in or daemon. ended receives its result.
type instance struct {
	cancel context.CancelCauseFunc
	ended  chan error
}

// entryVM is one daemon of the cluster. instance is nil while it is stopped.
type entryVM struct {
	settings  settings.Settings
	instance  *instance
	listeners []*listener
}

// Start starts the stand-ins and daemons. The caller must call Stop if it returns no error.
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
	listeners, err := c.openListeners(o)
	if err != nil {
		return err
	}
	for _, id := range c.EntryVMs() {
		c.startDaemon(c.daemons[id], listeners[id])
	}
	return nil
}

func (c *Cluster) startPlatform(o Options) error {
	add := func(id string, role model.Role, d Domain, rack string, run func(context.Context, net.Listener) error) error {
		address, err := c.startStandin(run)
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
					return executor.Run(ctx, l, executor.New(o.ExecutorSlots, o.ExecutorRequestTime))
				})
			if err != nil {
				return err
			}
		}
	}
	var err error
	c.store, err = c.startStandin(func(ctx context.Context, l net.Listener) error { return store.Run(ctx, l, store.New()) })
	if err != nil {
		return err
	}
	c.vmlist, err = c.startStandin(func(ctx context.Context, l net.Listener) error {
		return vmlist.Run(ctx, l, vmlist.New(c.vms, o.VMListDelay))
	})
	return err
}

// startStandin runs a stand-in on a free loopback port and returns its address.
func (c *Cluster) startStandin(run func(context.Context, net.Listener) error) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "stand-in")
	}
	c.standins = append(c.standins, c.spawn(func(ctx context.Context) error { return run(ctx, l) }))
	return l.Addr().String(), nil
}

func (c *Cluster) spawn(run func(context.Context) error) *instance {
	ctx, cancel := context.WithCancelCause(context.Background())
	inst := &instance{cancel: cancel, ended: make(chan error, 1)}
	c.wg.Go(func() { inst.ended <- run(ctx) })
	return inst
}

// stop cancels the context of the instance with a cause, waits until it has ended and returns its result. A daemon
// stops without a drain if cause is a *kernel.AbortError.
func (inst *instance) stop(cause error) error {
	inst.cancel(cause)
	return <-inst.ended
}

// openListeners opens the listeners of all daemons before the first one starts, because the settings of each contain
// the addresses of all others.
func (c *Cluster) openListeners(o Options) (map[model.VMID]daemon.Listeners, error) {
	out := make(map[model.VMID]daemon.Listeners)
	for _, d := range o.Domains {
		for i := range d.VMs {
			s := settings.Settings{
				VM: model.VMID(fmt.Sprintf("%s-v%d", d.Name, i+1)), Domain: d.Name, Region: d.Region,
				HTTP: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0", Store: c.store, VMList: c.vmlist,
				ExecutorConns: settings.DefaultExecutorConns, MaxBodyBytes: settings.DefaultMaxBodyBytes,
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

func (c *Cluster) startDaemon(e *entryVM, l daemon.Listeners) {
	http, peers, admin := newListener(l.HTTP), newListener(l.Peers), newListener(l.Admin)
	e.listeners = []*listener{http, peers, admin}
	s := e.settings
	e.instance = c.spawn(func(ctx context.Context) error {
		return daemon.Serve(ctx, s, daemon.Listeners{HTTP: http, Peers: peers, Admin: admin})
	})
}

// Stop shuts down all daemons gracefully and then stops the stand-ins.
func (c *Cluster) Stop() error {
	var errs error
	for _, e := range c.daemons {
		if e.instance != nil {
			errs = errors.CombineErrors(errs, c.stopDaemon(e, context.Canceled))
		}
	}
	for _, inst := range c.standins {
		errs = errors.CombineErrors(errs, inst.stop(context.Canceled))
	}
	c.standins = nil
	c.wg.Wait()
	return errs
}

// Kill simulates the loss of an entry VM: it closes the daemon's connections and stops it without a drain.
func (c *Cluster) Kill(id model.VMID) error { return c.stopVM(id, &kernel.AbortError{}) }

// Shutdown stops a daemon gracefully.
func (c *Cluster) Shutdown(id model.VMID) error { return c.stopVM(id, context.Canceled) }

func (c *Cluster) stopVM(id model.VMID, cause error) error {
	e, ok := c.daemons[id]
	if !ok || e.instance == nil {
		return &UnknownVMError{id, "not running"}
	}
	return c.stopDaemon(e, cause)
}

func (c *Cluster) stopDaemon(e *entryVM, cause error) error {
	var abort *kernel.AbortError
	if errors.As(cause, &abort) {
		for _, s := range e.listeners {
			s.abort()
		}
	}
	err := e.instance.stop(cause)
	e.instance = nil
	for _, s := range e.listeners {
		s.abort()
	}
	return err
}

// Restart starts a stopped daemon on its previous addresses.
func (c *Cluster) Restart(id model.VMID) error {
	e, ok := c.daemons[id]
	if !ok || e.instance != nil {
		return &UnknownVMError{id, "not stopped"}
	}
	l, err := daemon.Listen(e.settings)
	if err != nil {
		return err
	}
	c.startDaemon(e, l)
	return nil
}

// EntryVMs returns the IDs of all entry VMs, sorted, including those that are stopped.
func (c *Cluster) EntryVMs() []model.VMID {
	out := make([]model.VMID, 0, len(c.daemons))
	for id := range c.daemons {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Running reports whether the daemon of an entry VM runs.
func (c *Cluster) Running(id model.VMID) bool { e, ok := c.daemons[id]; return ok && e.instance != nil }

// HTTPAddress returns the address "IP:port" of a daemon's HTTP listener for clients and operators, or "" for an unknown
// VM.
func (c *Cluster) HTTPAddress(id model.VMID) string { return c.settings(id).HTTP }

// AdminAddress returns the address "IP:port" of a daemon's admin listener, or "" for an unknown VM.
func (c *Cluster) AdminAddress(id model.VMID) string { return c.settings(id).Admin }

// Domain returns the failure domain of a daemon, or "" for an unknown VM.
func (c *Cluster) Domain(id model.VMID) model.FailureDomain { return c.settings(id).Domain }

func (c *Cluster) settings(id model.VMID) settings.Settings {
	if e, ok := c.daemons[id]; ok {
		return e.settings
	}
	return settings.Settings{}
}

// StoreAddress returns the address "IP:port" of the stand-in of the store, which also serves its control endpoints.
func (c *Cluster) StoreAddress() string { return c.store }

// VMListAddress returns the address "IP:port" of the stand-in of the VM list, which also serves its control endpoints.
func (c *Cluster) VMListAddress() string { return c.vmlist }

// PlatformVMs returns the VMs of the workers and executors with their addresses.
func (c *Cluster) PlatformVMs() []model.VM { return slices.Clone(c.vms) }
