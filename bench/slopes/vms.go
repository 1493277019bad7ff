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
	// clusterFormationTime is the time in which started VMs discover each other and elect holders.
	clusterFormationTime = 6 * time.Second
	// versionInterval is the interval at which the configuration version of a VM is polled, since the HTTP interface has
	// no watch for it. It limits the precision of the measured change times.
	versionInterval = 5 * time.Millisecond
	// timedChanges is the number of measured configuration changes per size.
	timedChanges = 5
	// vmListLag is the delay after which changes appear in the list of VMs.
	vmListLag = 500 * time.Millisecond
)

// cluster is a set of daemons in this process.
type cluster struct {
	wg          conc.WaitGroup
	ctx         context.Context
	cancel      context.CancelCauseFunc
	peerTraffic trafficCounter
	daemons     []*entryVM
	servers     []string
	clients     []*client.Client
}

// entryVM is one daemon, which can be killed and restarted.
type entryVM struct {
	settings settings.Settings
	cancel   context.CancelCauseFunc
	done     chan struct{}
}

// start runs the daemon of a VM on open listeners.
func (c *cluster) start(vm *entryVM, l daemon.Listeners) {
	l.Peers = countingListener{l.Peers, &c.peerTraffic}
	ctx, cancel := context.WithCancelCause(c.ctx)
	done := make(chan struct{})
	vm.cancel, vm.done = cancel, done
	c.wg.Go(func() {
		defer close(done)
		_ = daemon.Serve(ctx, vm.settings, l)
	})
}

// kill stops a daemon without a drain, like a failure of its VM, and waits for its end.
func (c *cluster) kill(i int) {
	c.daemons[i].cancel(&kernel.AbortError{})
	<-c.daemons[i].done
}

// restart starts a daemon that was killed, at its previous addresses.
func (c *cluster) restart(i int) error {
	l, err := daemon.Listen(c.daemons[i].settings)
	if err != nil {
		return errors.Wrap(err, "listen for the restarted daemon")
	}
	c.start(c.daemons[i], l)
	return nil
}

// startCluster starts perDomain daemons in each of several failure domains. They use the store of a fleet, whose
// executors and workers belong to the first failure domain.
func startCluster(domains, perDomain int, f fleetState) (*cluster, error) {
	c := &cluster{}
	ctx, cancel := context.WithCancelCause(context.Background())
	c.ctx, c.cancel = ctx, cancel
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the list of VMs")
	}
	allSettings, listeners, err := listenDaemons(domains, perDomain, f.Store, l.Addr().String())
	if err != nil {
		l.Close()
		return nil, err
	}
	var vms []model.VM
	for i, a := range f.Executors {
		vms = append(vms, model.VM{ID: fmt.Sprintf("e%d", i), Role: model.RoleExecutor, Domain: allSettings[0].Domain, Region: allSettings[0].Region, Address: a})
	}
	for i, a := range f.Workers {
		vm := workerVM(allSettings[0].Domain, i, a)
		vm.Region = allSettings[0].Region
		vms = append(vms, vm)
	}
	c.wg.Go(func() { _ = vmlist.Run(ctx, l, vmlist.New(vms, vmListLag)) })
	for i, s := range allSettings {
		for k, o := range allSettings {
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

// listenDaemons opens the listeners of all daemons on free ports and returns settings with the resulting addresses.
func listenDaemons(domains, perDomain int, storeAddress, vmListAddress string) ([]settings.Settings, []daemon.Listeners, error) {
	var allSettings []settings.Settings
	var listeners []daemon.Listeners
	prefix, _ := nextEpochAndDomain()
	for i := range domains * perDomain {
		d := i % domains
		s := settings.Settings{
			VM: model.VMID(fmt.Sprintf("entry-vm-%02d", i)), Domain: model.FailureDomain(fmt.Sprintf("d%d-%d", prefix, d)),
			Region: model.Region(fmt.Sprintf("region-%d", d%2)),
			HTTP:   "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0", Store: storeAddress, VMList: vmListAddress,
			ExecutorConns: settings.DefaultExecutorConns, MaxBodyBytes: settings.DefaultMaxBodyBytes,
			HeaderTimeout: settings.DefaultHeaderTimeout, DrainTimeout: settings.DefaultDrainTimeout,
		}
		l, err := daemon.Listen(s)
		if err != nil {
			for _, l := range listeners {
				l.Close()
			}
			return nil, nil, errors.Wrap(err, "listen for a daemon")
		}
		s.HTTP, s.Peers, s.Admin = l.HTTP.Addr().String(), l.Peers.Addr().String(), l.Admin.Addr().String()
		allSettings, listeners = append(allSettings, s), append(listeners, l)
	}
	return allSettings, listeners, nil
}

// abort stops all daemons without a drain.
func (c *cluster) abort() {
	c.cancel(&kernel.AbortError{})
	c.wg.Wait()
}

// changeConfig puts the i-th version of a preset into force through the first VM and returns the time until every VM
// has applied it.
func (c *cluster) changeConfig(ctx context.Context, i int) (time.Duration, error) {
	expect := uint64(0)
	var current httpapi.ConfigResponse
	if err := c.clients[0].Get(ctx, "/v1/config", &current); err == nil {
		expect = current.Config.Version
	}
	preset := model.Preset{Accounts: map[model.AccountID]model.AccountPolicy{}}
	for a := range accountCount {
		preset.Accounts[numberedAccount(a)] = model.AccountPolicy{Weight: 1 + i%2}
	}
	in := httpapi.ChangeConfigRequest{ExpectedVersion: expect, Change: message.ConfigChange{PutPreset: &message.NamedPreset{Name: "ordinary", Preset: preset}}}
	var out httpapi.ConfigResponse
	start := time.Now()
	if err := c.clients[0].Post(ctx, "/v1/config", in, &out); err != nil {
		return 0, errors.Wrap(err, "change the configuration")
	}
	var wg conc.WaitGroup
	results := make(chan error, len(c.clients))
	for _, cl := range c.clients {
		wg.Go(func() { results <- awaitVersion(ctx, cl, out.Config.Version) })
	}
	wg.Wait()
	elapsed := time.Since(start)
	close(results)
	var errs error
	for err := range results {
		errs = errors.CombineErrors(errs, err)
	}
	return elapsed, errs
}

// accountCount is the number of accounts in the configuration.
const accountCount = 60

func numberedAccount(a int) model.AccountID { return model.AccountID(fmt.Sprintf("team-%02d", a)) }

// awaitVersion waits until a VM has applied a version of the configuration or a later one.
func awaitVersion(ctx context.Context, cl *client.Client, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		var s httpapi.StatusResponse
		err := cl.Get(ctx, "/v1/status", &s)
		if err == nil && s.ConfigVersion >= version {
			return nil
		}
		select {
		case <-time.After(versionInterval):
		case <-ctx.Done():
			return errors.Newf("configuration version %d is not applied after %s", version, waitTimeout)
		}
	}
}

// measureEntryVMs measures the daemons of seven failure domains with several numbers of entry VMs.
func measureEntryVMs(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "entry VMs in 7 failure domains", KeyColumns: 1, Columns: clusterColumns("vms")}
	for _, n := range o.EntryVMCounts {
		if err := o.addClusterRow(ctx, &t, targetDomains, max(1, n/targetDomains), float64(n)); err != nil {
			return t, err
		}
	}
	return t, nil
}

// targetDomains is the number of failure domains at the target size of an installation.
const targetDomains = 7

// measureStoreCalls measures the store calls of different numbers of failure domains with two entry VMs each.
func measureStoreCalls(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "failure domains with 2 entry VMs", KeyColumns: 1, Columns: clusterColumns("domains")}
	for _, n := range o.DomainCounts {
		if err := o.addClusterRow(ctx, &t, n, 2, float64(n)); err != nil {
			return t, err
		}
	}
	return t, nil
}

// storeOperations are the operations of the store that get a column each.
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

func (o *Options) addClusterRow(ctx context.Context, t *Table, domains, perDomain int, key float64) error {
	return o.withFleet(ctx, 0, func(address string, s fleetState) error {
		// The memory of daemons that were aborted before stays reachable in this process and is subtracted.
		heapBefore, stackBefore := memoryKB()
		c, err := startCluster(domains, perDomain, fleetState{Store: s.Store})
		if err != nil {
			return err
		}
		defer c.abort()
		time.Sleep(clusterFormationTime)
		if _, err := c.changeConfig(ctx, 0); err != nil {
			return err
		}
		time.Sleep(settleTime)
		row, err := o.measureIdle(ctx, c, address, s.Store)
		if err != nil {
			return err
		}
		n := float64(len(c.clients))
		row[1], row[2] = round(row[1]-heapBefore/n), round(row[2]-stackBefore/n)
		var changeTimes []float64
		for i := range timedChanges {
			elapsed, err := c.changeConfig(ctx, i+1)
			if err != nil {
				return err
			}
			changeTimes = append(changeTimes, float64(elapsed.Microseconds())/1000)
		}
		slices.Sort(changeTimes)
		row = slices.Insert(row, 5, round(changeTimes[timedChanges/2]), round(changeTimes[timedChanges-1]))
		t.add(append([]float64{key}, row...)...)
		return nil
	})
}

// measureIdle measures the daemons during the window without jobs, requests and configuration changes.
func (o *Options) measureIdle(ctx context.Context, c *cluster, address, storeAddress string) ([]float64, error) {
	countsBefore, err := fetchStoreCounts(ctx, storeAddress)
	if err != nil {
		return nil, err
	}
	fleetBefore, err := fetchFleetState(ctx, address)
	if err != nil {
		return nil, err
	}
	peerBytesBefore, cpuBefore, start := c.peerTraffic.total(), cpuTime(), time.Now()
	time.Sleep(o.Window)
	elapsed, cpuUsed, peerBytes := time.Since(start).Seconds(), cpuTime()-cpuBefore, c.peerTraffic.total()-peerBytesBefore
	countsAfter, err := fetchStoreCounts(ctx, storeAddress)
	if err != nil {
		return nil, err
	}
	fleetAfter, err := fetchFleetState(ctx, address)
	if err != nil {
		return nil, err
	}
	heap, stack := memoryKB()
	n := float64(len(c.clients))
	row := []float64{
		round(100 * cpuUsed.Seconds() / elapsed / n), round(heap / n), round(stack / n), round(float64(peerBytes) / elapsed / n),
		round(float64(fleetAfter.StoreBytes-fleetBefore.StoreBytes) / elapsed / n),
	}
	for _, op := range storeOperations {
		row = append(row, round(float64(countsAfter.Operations[op]-countsBefore.Operations[op])/elapsed))
	}
	return row, nil
}
