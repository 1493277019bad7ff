// Package crowd tests real daemons, as separate processes on the loopback interface, against crowds of clients that do not
// keep to the limits. The checks do not depend on the speed of the machine: the process lives, its memory and descriptors
// stay within those of its VM, and one ordinary request is answered while the crowd stays.
package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/front"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/operator"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
	"github.com/verbenaflow/verbenaflow/standins/ports"
	runnerstandin "github.com/verbenaflow/verbenaflow/standins/runner"
)

// The VM of the tests is smaller than any of the platform, so that a small crowd shows a fault.
const (
	// memoryMiB is the memory of the VM. The platform ends a process that exceeds it; received bytes that the process has
	// not read count, too.
	memoryMiB = 64
	// descriptors is the number of descriptors of the VM's process.
	descriptors = 512
	// bodyCrowd is the number of clients that send bodies, connectionCrowd that of clients that only hold connections.
	bodyCrowd       = 200
	connectionCrowd = 600
)

const (
	// waitLimit bounds every wait of a test. It only ends a test that hangs; no check depends on its length.
	waitLimit = 60 * time.Second
	apiKey    = "key-of-a"
	hostName  = "jobs.example"
	prefix    = "/jobs/"
	account   = "a"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "verbenaflow-crowd-")
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

// vm is an entry VM: a daemon process with the memory and the descriptors of the tests' VM.
type vm struct {
	name, front, log string
	cmd              *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// fleet is a platform of stand-ins with entry VMs.
type fleet struct {
	t      *testing.T
	store  *storestandin.Store
	vms    []*vm
	http   *http.Client
	lastID int
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// freeAddresses returns n different loopback addresses on which nothing listens.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	out, err := ports.Free(n)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// newFleet starts a store, an executor and entry VMs, and waits until each VM has served an ordinary request.
func newFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	f := &fleet{t: t, store: storestandin.New(), http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	serve := func(h http.Handler) string {
		l := listen(t)
		server := &http.Server{Handler: h}
		wg.Go(func() { _ = server.Serve(l) })
		t.Cleanup(func() { server.Close() })
		return l.Addr().String()
	}
	wg.Go(func() { f.store.Run(ctx) })
	storeAddress := serve(metastore.NewHandler(f.store))
	f.store.Set(operator.ConfigKey, operator.EncodeConfig((&workload.Config{
		Version:  1,
		Routes:   []workload.Route{{Name: "jobs", Host: hostName, Prefix: prefix, Pool: "pool", Priority: 1, MaxAttempts: 3, Stretch: 3, Latency: time.Second}},
		Pools:    []workload.PoolConfig{{Name: "pool"}},
		Accounts: []workload.AccountConfig{{Name: account, Keys: []string{apiKey}}},
	}).Index()))
	info := workload.Executor{
		ID: "e0", Pool: "pool", Domain: "domain-a", Capacity: workload.Resources{CPU: 32000, Memory: 64000, GPU: 4},
		Labels: []string{"a", "r0"}, StartedAtMS: time.Now().UnixMilli(),
	}
	e := runnerstandin.New(info)
	wg.Go(func() { e.Run(ctx) })
	info.Address = serve(runner.NewHandler(info.ID, e))
	f.store.Set(runner.RegistryPrefix+string(info.ID), runner.EncodeRegistryEntry(info))
	for i := range vms {
		f.addVM(fmt.Sprintf("vm%d", i), storeAddress)
	}
	for _, v := range f.vms {
		f.eventually(v.name+" serves", func() bool { return f.submit(v) == http.StatusOK })
	}
	f.eventually("a holder", func() bool { return f.holder() != nil })
	return f
}

// addVM starts a daemon with the limits of the tests' VM.
func (f *fleet) addVM(name, storeAddress string) {
	f.t.Helper()
	dir := f.t.TempDir()
	free := freeAddresses(f.t, 4)
	v := &vm{name: name, front: free[0], log: filepath.Join(dir, "log"), ended: make(chan struct{})}
	settings := filepath.Join(dir, "settings.ini")
	text := fmt.Sprintf("[vm]\nid = %s\ndomain = domain-a\nregion = r\n[listen]\nfront = %s\nready = %s\nrelay = %s\nadmin = %s\n"+
		"[platform]\nstore = %s\npeers =\n[limits]\nmemory = %dMiB\n[executor]\nlongest_lease = 3s\nstop_bound = 100ms\n[timing]\ngrace = 4s\nlame_duck = 300ms\n",
		name, free[0], free[1], free[2], free[3], storeAddress, memoryMiB)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	out, err := os.Create(v.log)
	if err != nil {
		f.t.Fatal(err)
	}
	defer out.Close()
	// The shell lowers the limit of descriptors and is then replaced by the daemon.
	v.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), binary, "--platform", "--config", settings)
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() { _ = v.cmd.Wait(); close(v.ended) }()
	f.t.Cleanup(func() {
		v.kill()
		if text, _ := os.ReadFile(v.log); f.t.Failed() {
			f.t.Logf("end of the log of %s:\n%s", name, text[max(0, len(text)-4000):])
		}
	})
	f.vms = append(f.vms, v)
}

func (v *vm) kill() {
	_ = v.cmd.Process.Kill()
	<-v.ended
}

func (v *vm) lives() bool {
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

// memory returns the peak of the resident memory of the process and the bytes that it has received and not read, in KiB.
func (v *vm) memory() (peak, unread int) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	for line := range bytes.Lines(status) {
		if fields := strings.Fields(string(line)); len(fields) > 1 && fields[0] == "VmHWM:" {
			peak, _ = strconv.Atoi(fields[1])
		}
	}
	_, port, _ := net.SplitHostPort(v.front)
	n, _ := strconv.Atoi(port)
	local := fmt.Sprintf(":%04X", n)
	table, _ := os.ReadFile("/proc/net/tcp")
	for line := range bytes.Lines(table) {
		// Fields: number, local address, remote address, state, sizes of the send and of the receive queue.
		fields := strings.Fields(string(line))
		if len(fields) < 5 || !strings.HasSuffix(fields[1], local) || fields[3] == "0A" {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		queued, _ := strconv.ParseInt(received, 16, 64)
		unread += int(queued)
	}
	return peak, unread >> 10
}

func (v *vm) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.cmd.Process.Pid))
	return len(entries)
}

// watch samples the memory and the descriptors of a VM until stop is called, which checks their peaks.
func (f *fleet) watch(v *vm) (stop func()) {
	end := make(chan struct{})
	var peak, unread, open int
	var wg conc.WaitGroup
	sample := func() {
		p, u := v.memory()
		peak, unread, open = max(peak, p), max(unread, u), max(open, v.descriptors())
	}
	wg.Go(func() {
		t := time.NewTicker(20 * time.Millisecond)
		defer t.Stop()
		for {
			sample()
			select {
			case <-end:
				return
			case <-t.C:
			}
		}
	})
	return func() {
		f.t.Helper()
		close(end)
		wg.Wait()
		sample()
		f.t.Logf("%s: peak of %d KiB resident, %d KiB unread, %d descriptors", v.name, peak, unread, open)
		if !v.lives() {
			f.t.Errorf("the process of %s ended", v.name)
		}
		if peak+unread > memoryMiB<<10 {
			f.t.Errorf("%s took %d KiB and left %d KiB unread; its VM has %d KiB", v.name, peak, unread, memoryMiB<<10)
		}
		if open >= descriptors {
			f.t.Errorf("%s has used up its %d descriptors", v.name, descriptors)
		}
	}
}

// checkServed checks that a VM answers one ordinary request and one small state call, without another attempt.
func (f *fleet) checkServed(v *vm) {
	f.t.Helper()
	if status := f.submit(v); status != http.StatusOK {
		f.t.Errorf("%s answers an ordinary request with %d, want %d", v.name, status, http.StatusOK)
	}
	r, err := f.client(v).JobState(f.t.Context(), "00000000000000ff")
	if err != nil || r.Status != http.StatusGone {
		f.t.Errorf("%s answers a state call with %d (%v), want %d", v.name, r.Status, err, http.StatusGone)
	}
}

func (f *fleet) client(v *vm) *front.Client {
	return &front.Client{Address: v.front, Host: hostName, Prefix: prefix, APIKey: apiKey, Timeout: waitLimit, HTTP: f.http}
}

// submit submits a job once and returns the status of the answer, or 0 if there is none.
func (f *fleet) submit(v *vm) int {
	f.lastID++
	r, err := f.client(v).Submit(f.t.Context(), &workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", 1<<20+f.lastID)), Spec: "10ms", Steps: []workload.Step{{
		Count: 1, Need: workload.Resources{CPU: 1000}, Estimate: 10 * time.Millisecond,
	}}})
	if err != nil {
		f.t.Logf("submission: %v", err)
	}
	return r.Status
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

// member is a client of a crowd: it writes what it has to say, and stops. Its connection stays open.
type member func(w *bufio.Writer)

// crowd opens n connections to a VM, lets each say what it has to say, all at once, and returns when all have stopped or
// their connections were closed. No member reads. leave closes the connections.
func (f *fleet) crowd(v *vm, n int, say member) (leave func()) {
	f.t.Helper()
	var wg conc.WaitGroup
	conns := make([]net.Conn, n)
	for i := range n {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", v.front, waitLimit)
			if err != nil {
				return
			}
			conns[i] = c
			// A VM that does not read any more ends what the member has to say; its connection stays open.
			_ = c.SetWriteDeadline(time.Now().Add(memberLimit))
			w := bufio.NewWriterSize(c, 16<<10)
			say(w)
			_ = w.Flush()
		})
	}
	wg.Wait()
	leave = func() {
		for _, c := range conns {
			if c != nil {
				c.Close()
			}
		}
	}
	f.t.Cleanup(leave)
	return leave
}

// checkRoomReturned checks that a VM serves a submission of the largest legal size once the crowd has left.
func (f *fleet) checkRoomReturned(v *vm) {
	f.t.Helper()
	const job = `{"spec":"10ms","steps":[{"count":1,"cpu":1000}]}`
	text := job + strings.Repeat(" ", front.MaxBodyBytes-len(job))
	f.eventually(fmt.Sprintf("a submission of %d bytes", len(text)), func() bool {
		ctx, cancel := context.WithTimeout(f.t.Context(), waitLimit)
		defer cancel()
		f.lastID++
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s%016x", v.front, prefix, 1<<20+f.lastID), strings.NewReader(text))
		if err != nil {
			f.t.Fatal(err)
		}
		req.Host = hostName
		req.Header.Set("Authorization", "Bearer "+apiKey)
		resp, err := f.http.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// memberLimit bounds the time of a member that the VM keeps waiting, so that the crowd stops at some time.
const memberLimit = 20 * time.Second
