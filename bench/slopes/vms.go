package slopes

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/node/client"
	"github.com/verbenaflow/verbenaflow/node/daemon"
	"github.com/verbenaflow/verbenaflow/node/settings"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
	"github.com/verbenaflow/verbenaflow/standins/vmlist"
)

const (
	// meet is the time after a start in which the VMs find each other and elect holders.
	meet = 6 * time.Second
	// versionEvery is the interval at which the version of a VM is read, and so the error of a time to force.
	// The HTTP interface has no watch of the version.
	versionEvery = 5 * time.Millisecond
	// changes is the number of timed configuration changes per size.
	changes = 5
	// lag is the delay of the list of VMs.
	lag = 500 * time.Millisecond
)

// cluster is a set of daemons in this process.
type cluster struct {
	wg      conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelCauseFunc
	peers   traffic
	daemons []*entryVM
	servers []string
	clients []*client.Client
}

// entryVM is one daemon, which can be ended and started again.
type entryVM struct {
	settings settings.Settings
	cancel   context.CancelCauseFunc
	ended    chan struct{}
}

// start serves on open listeners.
func (c *cluster) start(vm *entryVM, l daemon.Listeners) {
	l.Peers = countingListener{l.Peers, &c.peers}
	ctx, cancel := context.WithCancelCause(c.ctx)
	ended := make(chan struct{})
	vm.cancel, vm.ended = cancel, ended
	c.wg.Go(func() {
		defer close(ended)
		_ = daemon.Serve(ctx, vm.settings, l)
	})
}

// kill ends a daemon at once, as the loss of its VM does.
func (c *cluster) kill(i int) {
	c.daemons[i].cancel(&kernel.AbortError{})
	<-c.daemons[i].ended
}

// restart starts a daemon that has ended.
func (c *cluster) restart(i int) error {
	l, err := daemon.Listen(c.daemons[i].settings)
	if err != nil {
		return errors.Wrap(err, "daemon")
	}
	c.start(c.daemons[i], l)
	return nil
}

// newCluster starts perDomain daemons in each of several failure domains with the store of a fleet, and gives
// its executors and workers to the first failure domain.
func newCluster(domains, perDomain int, f fleetState) (*cluster, error) {
	c := &cluster{}
	ctx, cancel := context.WithCancelCause(context.Background())
	c.ctx, c.cancel = ctx, cancel
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "list of VMs")
	}
	all, listeners, err := reserve(domains, perDomain, f.Store, l.Addr().String())
	if err != nil {
		l.Close()
		return nil, err
	}
	var vms []model.VM
	for i, a := range f.Executors {
		vms = append(vms, model.VM{ID: fmt.Sprintf("e%d", i), Role: model.RoleExecutor, Domain: all[0].Domain, Region: all[0].Region, Address: a})
	}
	for i, a := range f.Workers {
		vm := workerVM(all[0].Domain, i, a)
		vm.Region = all[0].Region
		vms = append(vms, vm)
	}
	c.wg.Go(func() { _ = vmlist.Run(ctx, l, vmlist.New(vms, lag)) })
	for i, s := range all {
		for k, o := range all {
			if k != i {
				s.Members = append(s.Members, model.Member{VM: o.VM, Domain: o.Domain, Region: o.Region, Address: o.Peers})
			}
		}
		vm := &entryVM{settings: s}
		c.start(vm, listeners[i])
		c.daemons = append(c.daemons, vm)
		c.servers = append(c.servers, s.HTTP)
		c.clients = append(c.clients, client.New(1, s.HTTP))
	}
	return c, nil
}

func reserve(domains, perDomain int, storeAddress, list string) ([]settings.Settings, []daemon.Listeners, error) {
	var all []settings.Settings
	var listeners []daemon.Listeners
	prefix, _ := nextEpoch()
	for i := range domains * perDomain {
		d := i % domains
		s := settings.Settings{
			VM: model.VMID(fmt.Sprintf("entry-vm-%02d", i)), Domain: model.FailureDomain(fmt.Sprintf("d%d-%d", prefix, d)),
			Region: model.Region(fmt.Sprintf("region-%d", d%2)),
			HTTP:   "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0", Store: storeAddress, VMList: list,
			ExecutorConns: settings.DefaultExecutorConns, MaxBody: settings.DefaultMaxBody,
			HeaderTimeout: settings.DefaultHeaderTimeout, DrainTimeout: settings.DefaultDrainTimeout,
		}
		l, err := daemon.Listen(s)
		if err != nil {
			for _, l := range listeners {
				l.Close()
			}
			return nil, nil, errors.Wrap(err, "daemon")
		}
		s.HTTP, s.Peers, s.Admin = l.HTTP.Addr().String(), l.Peers.Addr().String(), l.Admin.Addr().String()
		all, listeners = append(all, s), append(listeners, l)
	}
	return all, listeners, nil
}

// abort ends all daemons at once.
func (c *cluster) abort() {
	c.cancel(&kernel.AbortError{})
	c.wg.Wait()
}

// change puts a new preset into force at the first VM and returns the time until every VM applies it.
func (c *cluster) change(ctx context.Context, i int) (time.Duration, error) {
	expect := uint64(0)
	var current httpapi.ConfigBody
	if err := c.clients[0].Get(ctx, "/v1/config", &current); err == nil {
		expect = current.Config.Version
	}
	preset := model.Preset{Accounts: map[model.AccountID]model.AccountPolicy{}}
	for a := range teams {
		preset.Accounts[team(a)] = model.AccountPolicy{Weight: 1 + i%2}
	}
	in := httpapi.ChangeBody{Expect: expect, Change: message.ConfigChange{PutPreset: &message.NamedPreset{Name: "ordinary", Preset: preset}}}
	var out httpapi.ConfigBody
	begun := time.Now()
	if err := c.clients[0].Post(ctx, "/v1/config", in, &out); err != nil {
		return 0, errors.Wrap(err, "configuration change")
	}
	var wg conc.WaitGroup
	results := make(chan error, len(c.clients))
	for _, cl := range c.clients {
		wg.Go(func() { results <- applied(ctx, cl, out.Config.Version) })
	}
	wg.Wait()
	took := time.Since(begun)
	close(results)
	var errs error
	for err := range results {
		errs = errors.CombineErrors(errs, err)
	}
	return took, errs
}

// teams is the number of accounts of the configuration.
const teams = 60

func team(a int) model.AccountID { return model.AccountID(fmt.Sprintf("team-%02d", a)) }

// applied returns once a VM applies a version of the configuration or a later one.
func applied(ctx context.Context, cl *client.Client, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		var s httpapi.StatusBody
		err := cl.Get(ctx, "/v1/status", &s)
		if err == nil && s.ConfigVersion >= version {
			return nil
		}
		select {
		case <-time.After(versionEvery):
		case <-ctx.Done():
			return errors.Newf("version %d is not in force after %s", version, startTimeout)
		}
	}
}

// vmsPart measures the daemons of seven failure domains for several numbers of entry VMs.
func vmsPart(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "entry VMs in 7 failure domains", Keys: 1, Columns: clusterColumns("vms")}
	for _, n := range o.VMs {
		if err := o.clusterRow(ctx, &t, targetDomains, max(1, n/targetDomains), float64(n)); err != nil {
			return t, err
		}
	}
	return t, nil
}

// targetDomains is the number of failure domains at the target size.
const targetDomains = 7

// storePart measures the store calls of several numbers of failure domains with two entry VMs each.
func storePart(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "failure domains with 2 entry VMs", Keys: 1, Columns: clusterColumns("domains")}
	for _, n := range o.Domains {
		if err := o.clusterRow(ctx, &t, n, 2, float64(n)); err != nil {
			return t, err
		}
	}
	return t, nil
}

// storeOperations are the counted calls of the store.
var storeOperations = []string{"get", "put", "watch", "lease/keepalive", "lease/grant", "delete"}

func clusterColumns(key string) []string {
	out := []string{
		key, "cpu_percent_per_vm", "heap_kb_per_vm", "stack_kb_per_vm", "peer_bytes_per_s_per_vm", "store_bytes_per_s_per_vm",
		"change_ms_median", "change_ms_max",
	}
	for _, op := range storeOperations {
		out = append(out, "store_"+op+"_per_s")
	}
	return out
}

func (o *Options) clusterRow(ctx context.Context, t *Table, domains, perDomain int, key float64) error {
	return o.withFleet(ctx, 0, func(address string, s fleetState) error {
		// The memory of an aborted daemon stays reachable in this process.
		heap, stacks := heapKB()
		c, err := newCluster(domains, perDomain, fleetState{Store: s.Store})
		if err != nil {
			return err
		}
		defer c.abort()
		time.Sleep(meet)
		if _, err := c.change(ctx, 0); err != nil {
			return err
		}
		time.Sleep(settle)
		row, err := o.quiet(ctx, c, address, s.Store)
		if err != nil {
			return err
		}
		n := float64(len(c.clients))
		row[1], row[2] = round(row[1]-heap/n), round(row[2]-stacks/n)
		var times []float64
		for i := range changes {
			took, err := c.change(ctx, i+1)
			if err != nil {
				return err
			}
			times = append(times, float64(took.Microseconds())/1000)
		}
		slices.Sort(times)
		row = slices.Insert(row, 5, round(times[changes/2]), round(times[changes-1]))
		t.add(append([]float64{key}, row...)...)
		return nil
	})
}

// quiet measures the daemons over the window without jobs, requests and changes.
func (o *Options) quiet(ctx context.Context, c *cluster, address, storeAddress string) ([]float64, error) {
	counts, err := storeCounts(ctx, storeAddress)
	if err != nil {
		return nil, err
	}
	state, err := fleet(ctx, address)
	if err != nil {
		return nil, err
	}
	peers, used, begun := c.peers.total(), cpu(), time.Now()
	time.Sleep(o.Window)
	took, spent, sent := time.Since(begun).Seconds(), cpu()-used, c.peers.total()-peers
	after, err := storeCounts(ctx, storeAddress)
	if err != nil {
		return nil, err
	}
	now, err := fleet(ctx, address)
	if err != nil {
		return nil, err
	}
	live, stacks := heapKB()
	n := float64(len(c.clients))
	row := []float64{
		round(100 * spent.Seconds() / took / n), round(live / n), round(stacks / n), round(float64(sent) / took / n),
		round(float64(now.StoreBytes-state.StoreBytes) / took / n),
	}
	for _, op := range storeOperations {
		row = append(row, round(float64(after.Operations[op]-counts.Operations[op])/took))
	}
	return row, nil
}
