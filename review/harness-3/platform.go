package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	"github.com/verbenaflow/verbenaflow/platform/runner"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
	"github.com/verbenaflow/verbenaflow/standins/ports"
	runnerstandin "github.com/verbenaflow/verbenaflow/standins/runner"
)

// The deployment has the zones, executors, bounds and guarantees of the sheet of dvorak-slots, and one entry VM a zone.
const (
	executorsPerZone = 16
	executorsPerRack = 8
	gpus             = 8
	service          = "slot-planner"
	host             = "slots.example"
	longestLease     = 10 * time.Second
	heartbeat        = 1500 * time.Millisecond
	exitRestart      = 500 * time.Millisecond
)

var zones = []string{"brno-depot", "ostrava-depot", "praha-depot"}

var regions = map[string]string{"brno-depot": "moravia", "ostrava-depot": "silesia", "praha-depot": "bohemia"}

// queue is a route of the configuration.
type queue struct {
	name     string
	priority int
	// advice holds decide_ms, each_ms and valid_ms, or nil.
	advice *adviceConfig
}

type adviceConfig struct {
	DecideMS int `json:"decide_ms"`
	EachMS   int `json:"each_ms"`
	ValidMS  int `json:"valid_ms"`
}

func (q queue) prefix() string { return "/" + q.name + "/" }

// tenant is a client account of the configuration.
type tenant struct {
	name       string
	guaranteed int
}

func (t tenant) key() string { return "key-of-" + t.name }

// world is a running deployment.
type world struct {
	log       *record
	ctx       context.Context
	store     *storestandin.Store
	executors []*node
	vms       []*vm
	advisor   *advisor
	queues    []queue
	tenants   []tenant
	http      *http.Client
	servers   []*http.Server
	dir       string
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	lastJob   int
}

// node is a stand-in executor.
type node struct {
	*runnerstandin.Executor
	info workload.Executor
}

// vm is an entry VM.
type vm struct {
	name, front, settings, logFile string
	memoryLimit                    int64

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	// dark is set while the VM has no power: its next process waits.
	dark bool
	// starts counts its processes, killed those that the platform killed because of their memory.
	starts, killed int
	peak           int64
}

type options struct {
	vmZones []string
	// slow are the VMs, by their index, with a link of 10 Mbit/s and 0.192 cores; the others have what the site has.
	slow    map[int]bool
	queues  []queue
	tenants []tenant
	// limitMemory makes the platform kill a VM that exceeds its memory.
	limitMemory bool
}

func newWorld(log *record, o options) (*world, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		log: log, ctx: ctx, cancel: cancel, store: storestandin.New(), queues: o.queues, tenants: o.tenants, dir: dir,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	w.run(func() { w.store.Run(ctx) })
	storeAddress, err := w.serve(metastore.NewHandler(w.store))
	if err != nil {
		return w, err
	}
	if err := w.startExecutors(); err != nil {
		return w, err
	}
	w.advisor = &advisor{}
	advisorAddress, err := w.serve(w.advisor)
	if err != nil {
		return w, err
	}
	cloudAddress, err := w.serve(machineList{w})
	if err != nil {
		return w, err
	}
	w.putConfig(1)
	if err := w.startVMs(o, storeAddress, advisorAddress, cloudAddress); err != nil {
		return w, err
	}
	return w, w.awaitHolder()
}

func (w *world) run(f func()) {
	w.tasks.Add(1)
	go func() {
		defer w.tasks.Done()
		f()
	}()
}

func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	w.run(func() { _ = s.Serve(l) })
	return l.Addr().String(), nil
}

// startExecutors starts the executors, which renew their entries as the pages say.
func (w *world) startExecutors() error {
	gangs := runnerstandin.NewGangs()
	w.run(func() { gangs.Run(w.ctx) })
	for z, zone := range zones {
		for i := range executorsPerZone {
			id := workload.ExecutorID(fmt.Sprintf("i-%d%02d", z, i))
			info := workload.Executor{
				ID: id, Pool: service, Domain: workload.Domain(zone), StartedAtMS: time.Now().UnixMilli(),
				Capacity: workload.Resources{CPU: 32000, Memory: 65536, GPU: gpus}, Labels: []string{"a", fmt.Sprintf("r%d-%d", z, i/executorsPerRack)},
			}
			e := runnerstandin.NewWithGangs(info, gangs)
			w.run(func() { e.Run(w.ctx) })
			e.SetLongestLease(longestLease)
			address, err := w.serve(runner.NewHandler(id, e))
			if err != nil {
				return err
			}
			info.Address = address
			w.executors = append(w.executors, &node{e, info})
			w.store.Set(runner.RegistryPrefix+string(id), runner.EncodeRegistryEntry(info))
		}
	}
	w.run(func() {
		for n := 0; ; n++ {
			e := w.executors[n%len(w.executors)]
			w.store.Set(runner.RegistryPrefix+string(e.info.ID), runner.EncodeRegistryEntry(e.info))
			select {
			case <-time.After(heartbeat / time.Duration(len(w.executors))):
			case <-w.ctx.Done():
				return
			}
		}
	})
	return nil
}

// putConfig writes a version of the configuration.
func (w *world) putConfig(version int) {
	type m = map[string]any
	var routes, tenants []m
	for _, q := range w.queues {
		r := m{"name": "r-" + q.name, "host": host, "prefix": q.prefix(), "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1500,
			"priority": q.priority, "service": service, "max_attempts": 4, "stretch": 3.0, "public": false, "allowed_regions": []string{}}
		if q.advice != nil {
			r["advice"] = q.advice
		}
		routes = append(routes, r)
	}
	for _, t := range w.tenants {
		tenants = append(tenants, m{"name": t.name, "api_keys": []string{t.key()}, "priority": 1, "guaranteed": m{"gpu": t.guaranteed}, "allowed_regions": []string{}})
	}
	value, _ := json.Marshal(m{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []m{{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0, "enforces_capacity": false, "spare": false}},
		"limits":   m{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.store.Set("op/config", value)
	w.log.line("operator: configuration %d: %s", version, value)
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)

// startVMs starts the program of the deploy file with the settings that its template gives.
func (w *world) startVMs(o options, store, advisor, cloud string) error {
	template, err := os.ReadFile("deploy/verbenaflowd.ini")
	if err != nil {
		return err
	}
	free, err := ports.Free(4 * len(o.vmZones))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range o.vmZones {
		seeds = append(seeds, free[4*i+2])
	}
	for i, zone := range o.vmZones {
		share, storePath := "0.4", store
		if o.slow[i] {
			share = "0.192"
			if storePath, err = w.path(store, newPace(10), newPace(10)); err != nil {
				return err
			}
		}
		values := map[string]string{
			"node": fmt.Sprintf("edge-%s-%d", zone, i+1), "zone": zone, "region": regions[zone],
			"listen.front": free[4*i], "listen.ready": free[4*i+1], "listen.control": free[4*i+2], "ip": "127.0.0.1",
			"platform.address": storePath, "seeds": strings.Join(seeds, ","), "advice": advisor, "cloud.address": cloud,
			"bounds.upkeep_s": "2", "limits.cpu_share": share, "limits.memory_mb": "284", "limits.max_fds": "4100",
			"bounds.hold_max_ms": "10000", "bounds.stop_ms": "400", "bounds.far_x": "3", "bounds.restore_ms": "600",
			"bounds.save_s": "1", "bounds.status_s": "120", "bounds.grace_s": "6",
		}
		missing := ""
		text := placeholder.ReplaceAllStringFunc(string(template), func(s string) string {
			v, ok := values[strings.Trim(s, "{}")]
			if !ok {
				missing = s
			}
			return v
		})
		if missing != "" {
			return fmt.Errorf("no value for %s", missing)
		}
		// The port of the metrics is fixed on the platform, where each VM has an address of its own.
		text = strings.Replace(text, "127.0.0.1:9100", free[4*i+3], 1)
		v := &vm{name: values["node"], front: free[4*i], settings: filepath.Join(w.dir, values["node"]+".ini"), logFile: filepath.Join(w.dir, values["node"]+".log")}
		if o.limitMemory {
			v.memoryLimit = 284 << 20
		}
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.vms = append(w.vms, v)
		if err := w.start(v); err != nil {
			return err
		}
		w.run(func() { w.watchMemory(v) })
		if i == 0 {
			// The first VM becomes the holder.
			if err := w.awaitHolder(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) start(v *vm) error {
	out, err := os.OpenFile(v.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/verbenaflowd", "--platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", "VERBENAFLOW_CONFIG=" + v.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	v.mu.Lock()
	v.cmd = cmd
	v.starts++
	v.mu.Unlock()
	w.log.line("platform: %s started", v.name)
	w.run(func() {
		err := cmd.Wait()
		v.mu.Lock()
		stopping := v.stopping
		v.mu.Unlock()
		if stopping {
			return
		}
		w.log.line("platform: %s ended: %v", v.name, err)
		for held := true; held; time.Sleep(50 * time.Millisecond) {
			v.mu.Lock()
			held = v.dark && w.ctx.Err() == nil
			v.mu.Unlock()
		}
		select {
		case <-time.After(exitRestart):
			if err := w.start(v); err != nil {
				w.log.line("platform: %s: %v", v.name, err)
			}
		case <-w.ctx.Done():
		}
	})
	return nil
}

// powerOff takes the power of a VM for a time.
func (w *world) powerOff(v *vm, d time.Duration) {
	w.log.line("platform: %s loses power for %s", v.name, d)
	v.mu.Lock()
	v.dark = true
	_ = v.cmd.Process.Kill()
	v.mu.Unlock()
	time.Sleep(d)
	v.mu.Lock()
	v.dark = false
	v.mu.Unlock()
}

// watchMemory records the memory of a VM and, as the platform does, kills a process that exceeds its limit.
func (w *world) watchMemory(v *vm) {
	for {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-w.ctx.Done():
			return
		}
		v.mu.Lock()
		pid := v.cmd.Process.Pid
		v.mu.Unlock()
		used := residentBytes(pid)
		v.mu.Lock()
		v.peak = max(v.peak, used)
		if v.memoryLimit > 0 && used > v.memoryLimit && v.cmd.Process.Pid == pid {
			v.killed++
			w.log.line("platform: %s uses %d MB of %d and is killed", v.name, used>>20, v.memoryLimit>>20)
			_ = v.cmd.Process.Kill()
			v.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			continue
		}
		v.mu.Unlock()
	}
}

func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(text))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// awaitHolder waits until a VM holds the fleet and answers a call for the length of a queue.
func (w *world) awaitHolder() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := len(w.vms) > 0
		for _, v := range w.vms {
			status, _, err := w.call(v, http.MethodGet, w.queues[0].prefix(), w.tenants[0], nil)
			ready = ready && err == nil && status == http.StatusOK
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("the VMs do not serve")
}

// close ends everything that was started.
func (w *world) close() {
	w.cancel()
	for _, v := range w.vms {
		v.mu.Lock()
		v.stopping = true
		_ = v.cmd.Process.Signal(syscall.SIGKILL)
		v.mu.Unlock()
	}
	for _, s := range w.servers {
		s.Close()
	}
	done := make(chan struct{})
	go func() { w.tasks.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// machineList is the machine service: one machine for each executor, all up.
type machineList struct{ w *world }

func (m machineList) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/verbenaflow/machines" {
		http.Error(out, "{}", http.StatusBadRequest)
		return
	}
	var list []map[string]any
	for _, e := range m.w.executors {
		c := e.info.Capacity
		list = append(list, map[string]any{"machine": "m-" + string(e.info.ID), "pool": service, "state": "up", "zone": e.info.Domain, "labels": e.info.Labels,
			"capacity": map[string]int{"cpu": c.CPU, "mem_mb": c.Memory, "gpu": c.GPU}, "id": e.info.ID})
	}
	_ = json.NewEncoder(out).Encode(map[string]any{"machines": list, "next_token": nil})
}

// advisor is the advisory service: every executor may run every step. It handles one call at a time, and answers after the
// time that the configuration names.
type advisor struct {
	mu              sync.Mutex
	config          adviceConfig
	calls, answered int
}

func (a *advisor) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Workers) > 100 {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	wait := time.Duration(a.config.DecideMS+a.config.EachMS*len(in.Workers)) * time.Millisecond
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return
	}
	good := [][]string{}
	for _, id := range in.Workers {
		good = append(good, []string{id, "t-" + id})
	}
	if json.NewEncoder(out).Encode(map[string]any{"good": good, "valid_ms": a.config.ValidMS}) == nil {
		a.answered++
	}
}
