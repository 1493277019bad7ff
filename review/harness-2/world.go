package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// The deployment of all cases: one failure domain with some entry VMs, one service, and settings of dvorak-slots.
const (
	serviceName  = "slot-planner"
	zoneName     = "praha-depot"
	hostName     = "jobs.example"
	batchPrefix  = "/batch/"
	urgentPrefix = "/urgent/"
	// hostTenant holds a guarantee of accelerators, guestTenant none.
	hostTenant, hostKey   = "host", "key-of-the-host"
	guestTenant, guestKey = "guest", "key-of-the-guest"
	readyLimit            = 15 * time.Second
	adminPort             = 9100
	// deployTemplate and daemonPath are what deploy/system.toml names.
	deployTemplate = "deploy/verbenaflowd.ini"
	daemonPath     = "target/verbenaflowd"
)

// world is a small deployment on loopback addresses.
type world struct {
	rec     *record
	trouble bool
	dir     string
	// statusS is the bound status_s of the settings.
	statusS int
	store   *store
	cloud   *cloud
	// advisor is nil unless the urgent queue has advice.
	advisor *advisor
	all     []*executor
	vms     []*vm
	// advice is the address of the advisor, or empty.
	advice  string
	servers []*http.Server
}

// vm is an entry VM with its daemon.
type vm struct {
	name, ip             string
	front, ready, relay  string
	settings, logFile    string
	process              *exec.Cmd
	exited               chan error
	storeAddr, cloudAddr string
}

// errSetup reports that a case could not run.
var errSetup = errors.New("the case could not run")

func setupError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errSetup, fmt.Sprintf(format, args...))
}

func newWorld(rec *record, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, trouble: trouble, dir: dir, statusS: 120, store: newStore(rec)}
	w.cloud = &cloud{rec: rec, start: func(m *machine) (*executor, error) {
		e, err := newExecutor(rec, w.store, executorID(m), serviceName, m.zone, m.rack)
		if err == nil {
			e.advisor, e.advised = w.advisor, jobID(2)
			w.all = append(w.all, e)
		}
		return e, err
	}}
	return w, nil
}

// serve starts a stand-in and returns its address.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// begin starts the platform, so many machines and so many entry VMs, and waits until these are ready.
func (w *world) begin(guaranteed, machines, vms int) error {
	w.store.set("op/config", w.config(guaranteed))
	for i := range machines {
		if _, err := w.cloud.add(fmt.Sprintf("m-%d", i+1), zoneName, fmt.Sprintf("r1-%d", i/8+1)); err != nil {
			return setupError("machine: %v", err)
		}
	}
	storeAddr, err := w.serve(w.store.handler())
	if err != nil {
		return setupError("store: %v", err)
	}
	cloudAddr, err := w.serve(w.cloud.handler())
	if err != nil {
		return setupError("machines: %v", err)
	}
	if w.advisor != nil {
		if w.advice, err = w.serve(w.advisor); err != nil {
			return setupError("advice: %v", err)
		}
	}
	if err := w.addVMs(vms, storeAddr, cloudAddr); err != nil {
		return err
	}
	for _, v := range w.vms {
		if err := w.start(v); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// config returns the configuration of the operator.
func (w *world) config(guaranteed int) map[string]any {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1500, "priority": priority,
			"service": serviceName, "max_attempts": 4, "stretch": 3.0, "public": false, "allowed_regions": []string{},
		}
	}
	urgent := route("urgent", urgentPrefix, 0)
	if w.advisor != nil {
		urgent["advice"] = map[string]int64{
			"decide_ms": adviceDecide.Milliseconds(), "each_ms": adviceEach.Milliseconds(), "valid_ms": adviceValid.Milliseconds(),
		}
	}
	tenant := func(name, key string, gpu int) map[string]any {
		return map[string]any{
			"name": name, "api_keys": []string{key}, "priority": 1, "guaranteed": map[string]int{"gpu": gpu}, "allowed_regions": []string{},
		}
	}
	return map[string]any{
		"version": 1, "routes": []any{route("batch", batchPrefix, 2), urgent},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
			"enforces_capacity": false, "spare": false,
		}},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{tenant(hostTenant, hostKey, guaranteed), tenant(guestTenant, guestKey, 0)},
	}
}

// addVMs chooses a loopback address for each VM on which the ports of the deployment are free.
func (w *world) addVMs(n int, storeAddr, cloudAddr string) error {
	net3 := rand.IntN(200) + 20
	for i := range n {
		v := &vm{name: fmt.Sprintf("edge-%s-%d", zoneName, i+1), storeAddr: storeAddr, cloudAddr: cloudAddr}
		for try := 0; v.ip == "" && try < 100; try++ {
			ip := fmt.Sprintf("127.%d.%d.%d", rand.IntN(100)+100, net3, rand.IntN(200)+20)
			if portsFree(ip) {
				v.ip = ip
			}
		}
		if v.ip == "" {
			return setupError("no free address")
		}
		v.front, v.ready, v.relay = v.ip+":8521", v.ip+":8523", v.ip+":8526"
		v.settings, v.logFile = filepath.Join(w.dir, v.name+".ini"), filepath.Join(w.dir, v.name+".log")
		w.vms = append(w.vms, v)
	}
	for _, v := range w.vms {
		if err := w.writeSettings(v); err != nil {
			return setupError("settings: %v", err)
		}
	}
	return nil
}

func portsFree(ip string) bool {
	for _, port := range []int{8521, 8523, 8526, adminPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// writeSettings fills in the template of the deploy file as the platform does.
func (w *world) writeSettings(v *vm) error {
	text, err := os.ReadFile(deployTemplate)
	if err != nil {
		return err
	}
	var seeds []string
	for _, o := range w.vms {
		seeds = append(seeds, o.relay)
	}
	filled := strings.NewReplacer(
		"{{node}}", v.name, "{{zone}}", zoneName, "{{region}}", "bohemia", "{{ip}}", v.ip,
		"{{listen.front}}", v.front, "{{listen.ready}}", v.ready, "{{listen.control}}", v.relay,
		"{{platform.address}}", v.storeAddr, "{{seeds}}", strings.Join(seeds, ","), "{{advice}}", w.advice, "{{cloud.address}}", v.cloudAddr,
		"{{limits.cpu_share}}", "0.4", "{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4100",
		"{{bounds.upkeep_s}}", "2", "{{bounds.hold_max_ms}}", "10000", "{{bounds.stop_ms}}", "400", "{{bounds.far_x}}", "3",
		"{{bounds.restore_ms}}", "600", "{{bounds.save_s}}", "1", "{{bounds.status_s}}", fmt.Sprint(w.statusS), "{{bounds.grace_s}}", "6",
	).Replace(string(text))
	return os.WriteFile(v.settings, []byte(filled), 0o600)
}

// start starts the daemon of a VM with the command of the deploy file.
func (w *world) start(v *vm) error {
	out, err := os.OpenFile(v.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return setupError("log: %v", err)
	}
	defer out.Close()
	v.process = exec.Command(daemonPath, "--platform")
	v.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VERBENAFLOW_CONFIG=" + v.settings}
	v.process.Stdout, v.process.Stderr = out, out
	if err := v.process.Start(); err != nil {
		return setupError("daemon: %v", err)
	}
	v.exited = make(chan error, 1)
	go func(c *exec.Cmd, exited chan<- error) { exited <- c.Wait() }(v.process, v.exited)
	w.rec.line("vm %s: started", v.name)
	return nil
}

func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, v := range w.vms {
		err := wait(readyLimit, "VM "+v.name+" ready", func() bool {
			resp, err := client.Get("http://" + v.ready + "/verbenaflow/readiness")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return wait(readyLimit, "a holder", func() bool {
		for _, e := range w.executors() {
			e.mu.Lock()
			fence := e.fence
			e.mu.Unlock()
			if fence == 0 {
				return false
			}
		}
		return true
	})
}

// wait waits until a condition holds.
func wait(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return setupError("not within %v: %s", limit, what)
}

// executors returns all executors that ever ran.
func (w *world) executors() []*executor {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	return append([]*executor(nil), w.all...)
}

// runsOf returns all runs of the tasks of a job.
func (w *world) runsOf(job string) []run {
	var out []run
	for _, e := range w.executors() {
		for _, r := range e.allRuns() {
			if strings.HasPrefix(r.task, job+".") {
				out = append(out, r)
			}
		}
	}
	return out
}

// close ends all processes that the case has started.
func (w *world) close() {
	for _, v := range w.vms {
		if v.process == nil || v.process.Process == nil {
			continue
		}
		_ = v.process.Process.Kill()
		<-v.exited
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Fprintln(os.Stderr, "logs in", w.dir)
	} else {
		defer os.RemoveAll(w.dir)
	}
	for _, e := range w.executors() {
		e.leave()
	}
	for _, s := range w.servers {
		s.Close()
	}
	close(w.store.stop)
}
