// Package fleet tests real daemons, as separate processes on the loopback interface, against a stand-in of the users'
// platform. The checks use only what clients and executors observe.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/front"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/operator"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	"github.com/verbenaflow/verbenaflow/standins/link"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
	"github.com/verbenaflow/verbenaflow/standins/ports"
	runnerstandin "github.com/verbenaflow/verbenaflow/standins/runner"
)

const (
	// waitLimit bounds every wait of a test. It only ends a test that hangs; no check depends on its length.
	waitLimit = 60 * time.Second
	// callTimeout is the deadline of the test's clients.
	callTimeout = 3 * time.Second
	apiKey      = "key-of-a"
	otherAPIKey = "key-of-b"
	hostName    = "jobs.example"
	prefix      = "/jobs/"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "verbenaflow-fleet-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "verbenaflowd")
	build := exec.Command("go", "build", "-o", binary, "github.com/verbenaflow/verbenaflow/cmd/verbenaflowd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// longestLease is the longest lease that executors grant.
const longestLease = 3 * time.Second

// vm is an entry VM: a daemon process that can be stopped and started again.
type vm struct {
	name         string
	frontAddress string
	relayAddress string
	adminAddress string
	settingsFile string
	logFile      string
	// output is the standard output and standard error of the next daemon; nil means the log file.
	output *os.File
	// current holds the running process. Its capacity is 1: stop receives the process and start sends the next one, so
	// that it acts as a lock on the process.
	current chan daemon
}

// daemon is a process of a VM; done receives the result of its exit.
type daemon struct {
	cmd  *exec.Cmd
	done chan error
}

// process returns the running process of a VM.
func (v *vm) process() *os.Process {
	c := <-v.current
	v.current <- c
	return c.cmd.Process
}

// fleet is a platform of stand-ins with entry VMs.
type fleet struct {
	t         *testing.T
	store     *storestandin.Store
	executors map[workload.ExecutorID]*runnerstandin.Executor
	infos     map[workload.ExecutorID]workload.Executor
	vms       []*vm
	http      *http.Client
	rand      *rand.Rand
	lastID    int
	// links are the network paths from the VMs to the store and to the executors, by name.
	links map[string]*networkPath
	// platformSettings holds additional lines of the section platform in the settings of the VMs.
	platformSettings string
}

// networkPath is a network path through a proxy that can block and delay it.
type networkPath struct{ address, control string }

// newPath returns a path to a target address.
func (f *fleet) newPath(ctx context.Context, wg *conc.WaitGroup, name, target string) *networkPath {
	f.t.Helper()
	l, control := listen(f.t), listen(f.t)
	proxy := link.New(l, target, 0)
	wg.Go(func() { _ = link.Run(ctx, control, proxy) })
	p := &networkPath{address: l.Addr().String(), control: control.Addr().String()}
	f.links[name] = p
	return p
}

// setPath changes the mode and the delay of a path.
func (f *fleet) setPath(name string, mode link.Mode, delay time.Duration) {
	f.t.Helper()
	body := fmt.Sprintf(`{"mode":%q,"delay_ms":%d}`, mode, delay.Milliseconds())
	resp, err := http.Post("http://"+f.links[name].control+link.PathFaults, "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Fatalf("path %s: %v", name, err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.t.Fatalf("path %s: status %d", name, resp.StatusCode)
	}
}

// listen opens a loopback listener.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// freeAddresses returns n loopback addresses on which nothing listens.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	out, err := ports.Free(n)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// serve runs an HTTP server until the test ends.
func serve(t *testing.T, wg *conc.WaitGroup, l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h}
	wg.Go(func() { _ = server.Serve(l) })
	t.Cleanup(func() { server.Close() })
}

// restartSilently ends the process of an executor without a sign: its connections end, and new ones are answered by the next
// process after a pause, during which calls wait. The clock of the next process is behind.
func (f *fleet) restartSilently(id workload.ExecutorID, pause time.Duration) {
	f.setPath(string(id), link.ModeRefuse, 0)
	f.setPath(string(id), link.ModeHold, 0)
	time.Sleep(pause)
	f.executors[id].RestartWithClock(time.Second)
	f.setPath(string(id), link.ModePass, 0)
}

// newFleet starts a store, executors with 4 accelerators each and entry VMs.
func newFleet(t *testing.T, vms, executors int) *fleet {
	t.Helper()
	return newFleetWith(t, vms, executors, "")
}

// newFleetWith is newFleet with additional lines of the section platform, or further sections, in the settings of the
// VMs.
func newFleetWith(t *testing.T, vms, executors int, platformSettings string) *fleet {
	t.Helper()
	return newFleetOf(t, vms, executors, 4, platformSettings)
}

// newFleetOf is newFleetWith with executors of a number of accelerators.
func newFleetOf(t *testing.T, vms, executors int, accelerators int, platformSettings string) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	wg := &conc.WaitGroup{}
	t.Cleanup(func() { cancel(); wg.Wait() })
	f := &fleet{
		t: t, store: storestandin.New(), executors: map[workload.ExecutorID]*runnerstandin.Executor{},
		infos: map[workload.ExecutorID]workload.Executor{}, rand: rand.New(rand.NewPCG(1, 2)),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, links: map[string]*networkPath{},
		platformSettings: platformSettings,
	}
	wg.Go(func() { f.store.Run(ctx) })
	storeListener := listen(t)
	serve(t, wg, storeListener, metastore.NewHandler(f.store))
	f.store.Set(operator.ConfigKey, operator.EncodeConfig(testConfig(1)))
	gangs := runnerstandin.NewGangs()
	wg.Go(func() { gangs.Run(ctx) })
	for i := range executors {
		l := listen(t)
		id := fmt.Sprintf("e%d", i)
		info := workload.Executor{
			ID: workload.ExecutorID(id), Pool: "pool", Address: f.newPath(ctx, wg, id, l.Addr().String()).address, Domain: "domain-a",
			Capacity: workload.Resources{CPU: 32000, Memory: 64000, GPU: accelerators}, Labels: []string{"a", fmt.Sprintf("r%d", i/2)}, StartedAtMS: time.Now().UnixMilli(),
		}
		e := runnerstandin.NewWithGangs(info, gangs)
		wg.Go(func() { e.Run(ctx) })
		e.SetLongestLease(longestLease)
		serve(t, wg, l, runner.NewHandler(info.ID, e))
		f.executors[info.ID], f.infos[info.ID] = e, info
		f.store.Set(runner.RegistryPrefix+string(info.ID), runner.EncodeRegistryEntry(info))
	}
	for i := range vms {
		name := fmt.Sprintf("vm%d", i)
		f.addVM(name, f.newPath(ctx, wg, name, storeListener.Addr().String()).address)
	}
	return f
}

func testConfig(version int64) *workload.Config {
	return (&workload.Config{
		Version:  version,
		Routes:   []workload.Route{{Name: "jobs", Host: hostName, Prefix: prefix, Pool: "pool", Priority: 1, MaxAttempts: 3, Stretch: 3, Latency: time.Second}},
		Pools:    []workload.PoolConfig{{Name: "pool"}},
		Accounts: []workload.AccountConfig{{Name: "a", Keys: []string{apiKey}, Guaranteed: 4}, {Name: "b", Keys: []string{otherAPIKey}}},
	}).Index()
}

// addVM writes the settings of an entry VM and starts it.
func (f *fleet) addVM(name, storeAddress string) {
	f.t.Helper()
	addresses := freeAddresses(f.t, 4)
	dir := f.t.TempDir()
	v := &vm{name: name, frontAddress: addresses[0], relayAddress: addresses[2], adminAddress: addresses[3], settingsFile: filepath.Join(dir, "settings.ini"), logFile: filepath.Join(dir, "log"), current: make(chan daemon, 1)}
	text := fmt.Sprintf("[vm]\nid = %s\ndomain = domain-a\nregion = r\n[listen]\nfront = %s\nready = %s\nrelay = %s\nadmin = %s\n[platform]\nstore = %s\npeers =\n%s"+
		"[executor]\nlongest_lease = "+longestLease.String()+"\nstop_bound = 100ms\n[timing]\ngrace = 4s\nlame_duck = 300ms\n",
		name, addresses[0], addresses[1], addresses[2], addresses[3], storeAddress, f.platformSettings)
	if err := os.WriteFile(v.settingsFile, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.vms = append(f.vms, v)
	f.start(v)
	f.t.Cleanup(func() {
		c := <-v.current
		_ = c.cmd.Process.Kill()
		<-c.done
		if f.t.Failed() {
			text, _ := os.ReadFile(v.logFile)
			f.t.Logf("%s:\n%s", v.name, text)
		}
	})
}

// start starts the daemon of a VM, which appends to the VM's log.
func (f *fleet) start(v *vm) {
	f.t.Helper()
	out, err := os.OpenFile(v.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer out.Close()
	c := daemon{cmd: exec.Command(binary, "--platform", "--config", v.settingsFile), done: make(chan error, 1)}
	c.cmd.Stdout, c.cmd.Stderr = out, out
	if v.output != nil {
		c.cmd.Stdout, c.cmd.Stderr = v.output, v.output
	}
	if err := c.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() { c.done <- c.cmd.Wait() }()
	v.current <- c
}

// stop ends the daemon of a VM with a signal and returns the result of its exit.
func (f *fleet) stop(v *vm, s syscall.Signal) error {
	c := <-v.current
	_ = c.cmd.Process.Signal(s)
	// A paused process handles other signals only after it was resumed.
	_ = c.cmd.Process.Signal(syscall.SIGCONT)
	return <-c.done
}

// restart ends the daemon of a VM with a signal and starts it again.
func (f *fleet) restart(v *vm, s syscall.Signal) {
	_ = f.stop(v, s)
	f.start(v)
}

// holder returns the VM that is the holder of the fleet, or nil.
func (f *fleet) holder() *vm {
	for _, item := range f.store.Entries(records.HolderKey) {
		h, err := records.Decode[records.Holder](item.Key, item.Value)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, v := range f.vms {
			if v.name == h.VM && !h.Released {
				return v
			}
		}
	}
	return nil
}

// eventually waits until a condition holds, and fails the test after waitLimit.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("%s: the condition does not hold within %s", what, waitLimit)
}

func (f *fleet) client(v *vm) *front.Client {
	return &front.Client{Address: v.frontAddress, Host: hostName, Prefix: prefix, APIKey: apiKey, Timeout: callTimeout, HTTP: f.http}
}

func (f *fleet) newID() workload.JobID {
	f.lastID++
	return workload.JobID(fmt.Sprintf("%016x", f.lastID))
}

// job returns a job with a single step whose tasks run for runTime.
func job(id workload.JobID, count int, runTime time.Duration, gang bool) *workload.Job {
	spec := runTime.String()
	if gang {
		spec = runnerstandin.GangSpec(runTime, count)
	}
	return &workload.Job{ID: id, Spec: spec, Steps: []workload.Step{{
		Count: count, Need: workload.Resources{CPU: 1000, GPU: 1}, Estimate: runTime, Gang: gang,
	}}}
}

// submit submits a job as clients do: without an acceptance it submits the same job again, to a random VM, until ctx
// ends. It reports whether the job was accepted, and whether every attempt was certainly refused.
func (f *fleet) submit(ctx context.Context, j *workload.Job) (accepted, refused bool) {
	refused = true
	for ctx.Err() == nil {
		v := f.vms[f.rand.IntN(len(f.vms))]
		r, err := f.client(v).Submit(ctx, j)
		switch {
		case err == nil && r.Status/100 == 2:
			return true, false
		case err != nil && strings.Contains(err.Error(), "connection refused"):
		case err != nil || r.Status == http.StatusGatewayTimeout || r.Status == http.StatusBadGateway:
			refused = false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false, refused
}

// state asks a random VM for the state of a job. The results are zero if it does not answer.
func (f *fleet) state(id workload.JobID) (workload.State, int) {
	v := f.vms[f.rand.IntN(len(f.vms))]
	r, err := f.client(v).JobState(context.Background(), id)
	if err != nil {
		return "", 0
	}
	return r.State, r.Status
}

// awaitState waits until a job has a state.
func (f *fleet) awaitState(id workload.JobID, want workload.State) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("job %s %s", id, want), func() bool {
		got, status := f.state(id)
		if status == http.StatusGone {
			f.t.Fatalf("the state of accepted job %s is reported as unknown", id)
		}
		return got == want
	})
}

// workedRuns returns the number of runs of a job's tasks that worked, and of those that waited for their gang in vain.
func (f *fleet) workedRuns(id workload.JobID) (worked, idle int) {
	for _, e := range f.executors {
		for _, r := range e.RunRecords() {
			switch {
			case r.Task.Job != id:
			case r.Worked:
				worked++
			default:
				idle++
			}
		}
	}
	return worked, idle
}

// checkExecutors checks what the executors observed: no executor was overcommitted, and no task ran twice at the same
// time or after it was done and acknowledged. It returns the number of task runs of each job.
func (f *fleet) checkExecutors() map[workload.JobID]int {
	f.t.Helper()
	runs := map[workload.TaskRef][]runnerstandin.RunRecord{}
	perJob := map[workload.JobID]int{}
	for id, e := range f.executors {
		if n := e.OverCapacityStarts(); n > 0 {
			f.t.Errorf("%d starts brought %s over its capacity", n, id)
		}
		for _, record := range e.RunRecords() {
			runs[record.Task] = append(runs[record.Task], record)
			perJob[record.Task.Job]++
		}
	}
	for task, list := range runs {
		slices.SortFunc(list, func(a, b runnerstandin.RunRecord) int { return a.Started.Compare(b.Started) })
		for i := 1; i < len(list); i++ {
			previous := list[i-1]
			if previous.Ended.IsZero() || previous.Ended.After(list[i].Started) {
				f.t.Errorf("task %s: run %d on %s began while run %d on %s was in progress", task, list[i].Run, list[i].Executor, previous.Run, previous.Executor)
			}
			for _, earlier := range list[:i] {
				if earlier.Outcome == workload.Done && earlier.EndAcknowledged {
					f.t.Errorf("task %s: run %d began after run %d was done and acknowledged", task, list[i].Run, earlier.Run)
				}
			}
		}
	}
	return perJob
}
