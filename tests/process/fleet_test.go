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
	executorTook       = 20 * time.Millisecond
	listLag            = time.Second
)

// vmsPerDomain is the size of today: 7 entry VMs in three failure domains.
var vmsPerDomain = []int{3, 2, 2}

// daemon is an entry VM of a fleet.
type daemon struct {
	id       model.VMID
	domain   model.FailureDomain
	settings string
	url      string
	admin    string
	process  *process
}

// fleet is three failure domains of daemons as processes. The stand-ins of the platform and of the paths
// between the failure domains run inside the test.
type fleet struct {
	t      *testing.T
	ctx    context.Context
	wg     *conc.WaitGroup
	store  string
	vmlist string
	// workers and executors give the addresses of the stand-ins of each failure domain.
	workers   map[model.FailureDomain][]string
	executors map[model.FailureDomain][]string
	vms       []*daemon
	// links gives the control addresses of the paths from a failure domain to the VMs of another.
	links map[[2]model.FailureDomain][]string
	// linkDelay is the one-way delay between failure domains, storeDelay that of each call of the store, in
	// milliseconds.
	linkDelay, storeDelay int64
}

func domainName(i int) model.FailureDomain { return model.FailureDomain(rune('a' + i)) }

// standin runs a stand-in until the test ends and returns its address.
func (f *fleet) standin(run func(context.Context, net.Listener) error) string {
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
	f.store = f.standin(func(ctx context.Context, l net.Listener) error { return store.Run(ctx, l, store.New()) })
	var vms []model.VM
	for i := range vmsPerDomain {
		d := domainName(i)
		for j := range workersPerDomain {
			a := f.standin(func(ctx context.Context, l net.Listener) error { return worker.Run(ctx, l, worker.New()) })
			f.workers[d] = append(f.workers[d], a)
			vms = append(vms, model.VM{ID: fmt.Sprintf("w-%s%d", d, j), Role: model.RoleWorker, Domain: d, Region: model.Region(d), Rack: string(d), Address: a})
		}
		for j := range executorsPerDomain {
			a := f.standin(func(ctx context.Context, l net.Listener) error {
				return executor.Run(ctx, l, executor.New(8, executorTook))
			})
			f.executors[d] = append(f.executors[d], a)
			vms = append(vms, model.VM{ID: fmt.Sprintf("e-%s%d", d, j), Role: model.RoleExecutor, Domain: d, Region: model.Region(d), Address: a})
		}
	}
	f.vmlist = f.standin(func(ctx context.Context, l net.Listener) error { return vmlist.Run(ctx, l, vmlist.New(vms, listLag)) })
}

// startDaemons starts the entry VMs. A VM reaches those of another failure domain through a link.
func (f *fleet) startDaemons() {
	type place struct{ peers, http, admin string }
	var places []place
	for i, n := range vmsPerDomain {
		for j := range n {
			p := freePorts(f.t, 3)
			places = append(places, place{p[0], p[1], p[2]})
			f.vms = append(f.vms, &daemon{
				id: model.VMID(fmt.Sprintf("v-%s%d", domainName(i), j)), domain: domainName(i),
				url: "http://" + p[1], admin: "http://" + p[2],
			})
		}
	}
	for i, v := range f.vms {
		text := fmt.Sprintf("[vm]\ninstallation = test-%d\nid = %s\ndomain = %s\nregion = %s\n[listen]\nhttp = %s\npeers = %s\nadmin = %s\n[platform]\nstore = %s\nvmlist = %s\n[peers]\n",
			os.Getpid(), v.id, v.domain, v.domain, places[i].http, places[i].peers, places[i].admin, f.store, f.vmlist)
		for j, o := range f.vms {
			if i == j {
				continue
			}
			address := places[j].peers
			if v.domain != o.domain {
				address = f.link(v.domain, o.domain, address)
			}
			text += fmt.Sprintf("%s = %s %s %s\n", o.id, address, o.domain, o.domain)
		}
		v.settings = filepath.Join(f.t.TempDir(), "daemon.ini")
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
	for _, v := range f.vms {
		f.start(v)
	}
}

func (f *fleet) start(v *daemon) { v.process = start(f.t, "verbenaflowd", "--config", v.settings) }

// link returns the address of a new path from one failure domain to a VM of another.
func (f *fleet) link(from, to model.FailureDomain, target string) string {
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	control := f.standin(func(ctx context.Context, l net.Listener) error { return link.Run(ctx, l, link.New(front, target, 0)) })
	f.links[[2]model.FailureDomain{from, to}] = append(f.links[[2]model.FailureDomain{from, to}], control)
	return front.Addr().String()
}

// kill ends a daemon at once.
func (f *fleet) kill(v *daemon) {
	v.process.signal(f.t, syscall.SIGKILL)
	<-v.process.done
}

// cut separates a failure domain from the others and from the platform; callers inside it still reach it.
func (f *fleet) cut(d model.FailureDomain) {
	f.setLinks(d, link.Hold)
	f.control(f.store+store.PathFaults, store.Faults{Cut: []string{string(d)}, SlowMS: f.storeDelay}, nil)
}

func (f *fleet) heal(d model.FailureDomain) {
	f.setLinks(d, link.Pass)
	f.control(f.store+store.PathFaults, store.Faults{SlowMS: f.storeDelay}, nil)
}

// delay sets the one-way delay between all failure domains and the delay of the store's calls, in milliseconds.
func (f *fleet) delay(links, platform int64) {
	f.linkDelay, f.storeDelay = links, platform
	for i := range vmsPerDomain {
		f.heal(domainName(i))
	}
}

func (f *fleet) setLinks(d model.FailureDomain, mode link.Mode) {
	for pair, controls := range f.links {
		if pair[0] != d && pair[1] != d {
			continue
		}
		for _, c := range controls {
			f.control(c+link.PathFaults, link.Faults{Mode: mode, DelayMS: f.linkDelay}, nil)
		}
	}
}

// control calls a stand-in.
func (f *fleet) control(address string, body, out any) {
	f.t.Helper()
	if body == nil {
		body = struct{}{}
	}
	status, err := call("http://"+address, body, out)
	if err != nil || status != http.StatusOK {
		f.t.Fatalf("control %s: status %d, %v", address, status, err)
	}
}

// in returns the daemons of a failure domain.
func (f *fleet) in(d model.FailureDomain) []*daemon {
	var out []*daemon
	for _, v := range f.vms {
		if v.domain == d {
			out = append(out, v)
		}
	}
	return out
}

// change makes an operator's change through a VM and returns the failure code, or "" if it was accepted.
func (f *fleet) change(v *daemon, ch message.ConfigChange) string {
	var current httpapi.ConfigBody
	if status, err := call(v.url+"/v1/config", nil, &current); err != nil {
		return err.Error()
	} else if status != http.StatusOK && status != failure.ConfigUnavailable.HTTPStatus() {
		return fmt.Sprint("status ", status)
	}
	return f.changeFrom(v, current.Config.Version, ch)
}

func (f *fleet) changeFrom(v *daemon, version uint64, ch message.ConfigChange) string {
	return post(v.url+"/v1/config", httpapi.ChangeBody{Expect: version, Change: ch}, nil)
}

// post calls a daemon and returns the failure code, or "" if the call succeeded.
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
	var e httpapi.ErrorBody
	if err := dec.Decode(&e); err != nil {
		return "body: " + err.Error()
	}
	return e.Code
}

// prepare puts a first preset with one account into force and waits until every VM applies it.
func (f *fleet) prepare() {
	f.t.Helper()
	preset := model.Preset{Accounts: map[model.AccountID]model.AccountPolicy{"acme": {Weight: 1}}}
	ch := message.ConfigChange{PutPreset: &message.NamedPreset{Name: "ordinary", Preset: preset}}
	eventually(f.t, func() string { return f.change(f.vms[0], ch) }).Should(gomega.BeEmpty())
	for _, v := range f.vms {
		eventually(f.t, func() uint64 { return f.version(v) }).Should(gomega.Equal(uint64(1)), "%s", v.id)
	}
}

func (f *fleet) version(v *daemon) uint64 {
	var current httpapi.ConfigBody
	_, _ = call(v.url+"/v1/config", nil, &current)
	return current.Config.Version
}

// submit submits a job through a VM until it is accepted.
func (f *fleet) submit(v *daemon, spec model.JobSpec) model.Job {
	f.t.Helper()
	var job model.Job
	eventually(f.t, func() string { return post(v.url+"/v1/jobs", spec, &job) }).Should(gomega.BeEmpty())
	return job
}

// state returns a function that reads a job through a VM.
func (f *fleet) state(v *daemon, job model.Job) func() model.JobState {
	return func() model.JobState {
		var j model.Job
		_, _ = call(v.url+"/v1/job?id="+url.QueryEscape(string(job.ID)), nil, &j)
		return j.State
	}
}
