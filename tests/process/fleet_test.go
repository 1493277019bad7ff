package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
	"github.com/verbenaflow/verbenaflow/standins/executor"
	"github.com/verbenaflow/verbenaflow/standins/link"
	"github.com/verbenaflow/verbenaflow/standins/store"
	"github.com/verbenaflow/verbenaflow/standins/vmlist"
	"github.com/verbenaflow/verbenaflow/standins/worker"
)

const (
	workersPerDomain   = 2
	executorsPerDomain = 2
	executorCallTime   = 20 * time.Millisecond
	vmListLag          = time.Second
)

// vmsPerDomain is the number of entry VMs of each failure domain: 7 in all, as in the present deployment.
var vmsPerDomain = []int{3, 2, 2}

// daemon is an entry VM of a fleet, which runs as a process.
type daemon struct {
	id           model.VMID
	domain       model.FailureDomain
	settingsFile string
	url          string
	adminURL     string
	process      *process
}

// fleet is three failure domains whose daemons run as processes. The stand-ins of the platform and of the network links
// between the failure domains run in the process of the test.
type fleet struct {
	t          *testing.T
	ctx        context.Context
	wg         *conc.WaitGroup
	storeAddr  string
	vmListAddr string
	// workers and executors give the addresses of the stand-ins of each failure domain.
	workers   map[model.FailureDomain][]string
	executors map[model.FailureDomain][]string
	vms       []*daemon
	// links holds the control addresses of the network links from one failure domain to the VMs of another.
	links map[[2]model.FailureDomain][]string
	// linkDelayMS is the one-way delay between failure domains, storeDelayMS the delay of each call of the store.
	linkDelayMS, storeDelayMS int64
}

func domainName(i int) model.FailureDomain { return model.FailureDomain(rune('a' + i)) }

// runStandin runs a stand-in until the test ends and returns its address.
func (f *fleet) runStandin(run func(context.Context, net.Listener) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.wg.Go(func() { _ = run(f.ctx, l) })
	return l.Addr().String()
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{
		t: t, ctx: ctx, wg: &conc.WaitGroup{},
		workers:   make(map[model.FailureDomain][]string),
		executors: make(map[model.FailureDomain][]string),
		links:     make(map[[2]model.FailureDomain][]string),
	}
	t.Cleanup(func() {
		cancel()
		f.wg.Wait()
	})
	f.startPlatform()
	f.startDaemons()
	return f
}

func (f *fleet) startPlatform() {
	f.storeAddr = f.runStandin(func(ctx context.Context, l net.Listener) error { return store.Run(ctx, l, store.New()) })
	var vms []model.VM
	for i := range vmsPerDomain {
		d := domainName(i)
		for j := range workersPerDomain {
			a := f.runStandin(func(ctx context.Context, l net.Listener) error { return worker.Run(ctx, l, worker.New()) })
			f.workers[d] = append(f.workers[d], a)
			vms = append(vms, model.VM{ID: fmt.Sprintf("w-%s%d", d, j), Role: model.RoleWorker, Domain: d, Region: model.Region(d), Rack: string(d), Address: a})
		}
		for j := range executorsPerDomain {
			a := f.runStandin(func(ctx context.Context, l net.Listener) error {
				return executor.Run(ctx, l, executor.New(8, executorCallTime))
			})
			f.executors[d] = append(f.executors[d], a)
			vms = append(vms, model.VM{ID: fmt.Sprintf("e-%s%d", d, j), Role: model.RoleExecutor, Domain: d, Region: model.Region(d), Address: a})
		}
	}
	f.vmListAddr = f.runStandin(func(ctx context.Context, l net.Listener) error { return vmlist.Run(ctx, l, vmlist.New(vms, vmListLag)) })
}

// startDaemons starts the entry VMs. A VM reaches those of other failure domains through links, which can delay or hold
// their traffic.
func (f *fleet) startDaemons() {
	type listenAddrs struct{ peers, http, admin string }
	var addrs []listenAddrs
	for i, n := range vmsPerDomain {
		for j := range n {
			p := freePorts(f.t, 3)
			addrs = append(addrs, listenAddrs{p[0], p[1], p[2]})
			f.vms = append(f.vms, &daemon{
				id: model.VMID(fmt.Sprintf("v-%s%d", domainName(i), j)), domain: domainName(i),
				url: "http://" + p[1], adminURL: "http://" + p[2],
			})
		}
	}
	for i, v := range f.vms {
		text := fmt.Sprintf("[vm]\ninstallation = test-%d\nid = %s\ndomain = %s\nregion = %s\n[listen]\nhttp = %s\npeers = %s\nadmin = %s\n[platform]\nstore = %s\nvmlist = %s\n[peers]\n",
			os.Getpid(), v.id, v.domain, v.domain, addrs[i].http, addrs[i].peers, addrs[i].admin, f.storeAddr, f.vmListAddr)
		for j, o := range f.vms {
			if i == j {
				continue
			}
			address := addrs[j].peers
			if v.domain != o.domain {
				address = f.addLink(v.domain, o.domain, address)
			}
			text += fmt.Sprintf("%s = %s %s %s\n", o.id, address, o.domain, o.domain)
		}
		v.settingsFile = filepath.Join(f.t.TempDir(), "daemon.ini")
		if err := os.WriteFile(v.settingsFile, []byte(text), 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
	for _, v := range f.vms {
		f.startDaemon(v)
	}
}

func (f *fleet) startDaemon(v *daemon) {
	v.process = startProcess(f.t, "verbenaflowd", "--config", v.settingsFile)
}

// addLink starts a link from one failure domain to a VM of another and returns the address on which it accepts
// connections.
func (f *fleet) addLink(from, to model.FailureDomain, target string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	control := f.runStandin(func(ctx context.Context, l net.Listener) error {
		return link.Run(ctx, l, link.New(listener, target, 0))
	})
	f.links[[2]model.FailureDomain{from, to}] = append(f.links[[2]model.FailureDomain{from, to}], control)
	return listener.Addr().String()
}

// kill ends a daemon with SIGKILL and waits for its exit.
func (f *fleet) kill(v *daemon) {
	v.process.signal(f.t, syscall.SIGKILL)
	<-v.process.done
}

// partition cuts a failure domain off from the others and from the store. Callers inside it still reach its VMs.
func (f *fleet) partition(d model.FailureDomain) {
	f.setLinkMode(d, link.ModeHold)
	f.callStandin(f.storeAddr+store.PathFaults, store.Faults{CutDomains: []string{string(d)}, CallDelayMS: f.storeDelayMS}, nil)
}

func (f *fleet) heal(d model.FailureDomain) {
	f.setLinkMode(d, link.ModePass)
	f.callStandin(f.storeAddr+store.PathFaults, store.Faults{CallDelayMS: f.storeDelayMS}, nil)
}

// setDelays sets the one-way delay between all failure domains and the delay of each call of the store, and ends all
// partitions.
func (f *fleet) setDelays(linkMS, storeMS int64) {
	f.linkDelayMS, f.storeDelayMS = linkMS, storeMS
	for i := range vmsPerDomain {
		f.heal(domainName(i))
	}
}

func (f *fleet) setLinkMode(d model.FailureDomain, mode link.Mode) {
	for pair, controls := range f.links {
		if pair[0] != d && pair[1] != d {
			continue
		}
		for _, c := range controls {
			f.callStandin(c+link.PathFaults, link.Faults{Mode: mode, DelayMS: f.linkDelayMS}, nil)
		}
	}
}

// callStandin calls the control interface of a stand-in and decodes its answer into out.
func (f *fleet) callStandin(address string, body, out any) {
	f.t.Helper()
	if body == nil {
		body = struct{}{}
	}
	status, err := call("http://"+address, body, out)
	if err != nil || status != http.StatusOK {
		f.t.Fatalf("call of stand-in %s: status %d, %v", address, status, err)
	}
}

// daemonsIn returns the daemons of a failure domain.
func (f *fleet) daemonsIn(d model.FailureDomain) []*daemon {
	var out []*daemon
	for _, v := range f.vms {
		if v.domain == d {
			out = append(out, v)
		}
	}
	return out
}

// changeConfig changes the configuration through a VM, as an operator does, and returns the failure code, or "" if the
// change was accepted.
func (f *fleet) changeConfig(v *daemon, ch message.ConfigChange) string {
	var current httpapi.ConfigResponse
	if status, err := call(v.url+"/v1/config", nil, &current); err != nil {
		return err.Error()
	} else if status != http.StatusOK && status != failure.ConfigUnavailable.HTTPStatus() {
		return fmt.Sprint("status ", status)
	}
	return f.changeConfigFrom(v, current.Config.Version, ch)
}

// changeConfigFrom makes a change that is accepted only if it applies to the given version.
func (f *fleet) changeConfigFrom(v *daemon, version uint64, ch message.ConfigChange) string {
	return post(v.url+"/v1/config", httpapi.ChangeConfigRequest{ExpectedVersion: version, Change: ch}, nil)
}

// post posts a JSON body to a daemon, decodes the answer into out unless out is nil, and returns the failure code, or
// "" if the call succeeded.
func post(target string, body, out any) string {
	data, _ := json.Marshal(body)
	resp, err := http.Post(target, "application/json", strings.NewReader(string(data)))
	if err != nil {
		return "connection: " + err.Error()
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(resp.Body)
	if resp.StatusCode == http.StatusOK {
		if out != nil {
			if err := dec.Decode(out); err != nil {
				return "body: " + err.Error()
			}
		}
		return ""
	}
	var e httpapi.ErrorResponse
	if err := dec.Decode(&e); err != nil {
		return "body: " + err.Error()
	}
	return e.Code
}

// applyFirstPreset creates the first version of the configuration, a preset with one account, and waits until every VM
// applies it.
func (f *fleet) applyFirstPreset() {
	f.t.Helper()
	preset := model.Preset{Accounts: map[model.AccountID]model.AccountPolicy{"acme": {Weight: 1}}}
	ch := message.ConfigChange{PutPreset: &message.NamedPreset{Name: "ordinary", Preset: preset}}
	eventually(f.t, func() string { return f.changeConfig(f.vms[0], ch) }).Should(gomega.BeEmpty())
	for _, v := range f.vms {
		eventually(f.t, func() uint64 { return f.configVersion(v) }).Should(gomega.Equal(uint64(1)), "%s", v.id)
	}
}

func (f *fleet) configVersion(v *daemon) uint64 {
	var current httpapi.ConfigResponse
	_, _ = call(v.url+"/v1/config", nil, &current)
	return current.Config.Version
}

// submit submits a job through a VM and retries until it is accepted.
func (f *fleet) submit(v *daemon, spec model.JobSpec) model.Job {
	f.t.Helper()
	var job model.Job
	eventually(f.t, func() string { return post(v.url+"/v1/jobs", spec, &job) }).Should(gomega.BeEmpty())
	return job
}

// jobState returns a function that reads the state of a job through a VM.
func (f *fleet) jobState(v *daemon, job model.Job) func() model.JobState {
	return func() model.JobState {
		var j model.Job
		_, _ = call(v.url+"/v1/job?id="+url.QueryEscape(string(job.ID)), nil, &j)
		return j.State
	}
}
