package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the small deployment that the scripts play. They follow dvorak-slots.
const (
	service  = "slot-planner"
	host     = "slots.example"
	prefix   = "/crew-load/"
	apiKey   = "key-of-tenant-one"
	queue    = "crew-load"
	deadline = 3 * time.Second
)

var (
	zones   = []string{"praha-depot", "brno-depot", "ostrava-depot"}
	regions = []string{"bohemia", "moravia", "silesia"}
)

// errCannotRun reports that a case could not be played.
var errCannotRun = errors.New("the case could not run")

// platform is a small deployment: a store, executors and the project's daemons.
type platform struct {
	rec      *recorder
	root     string
	dir      string
	net      string
	machines int
	// machineService serves the calls for machines; nil means that there are none.
	mu             sync.Mutex
	machineService http.Handler
	store          *store
	executors      []*executor
	daemons        []*daemon
	servers        []*http.Server
	// collectors are the processes that read the logs of the daemons, if the case has any.
	collectors []*exec.Cmd
}

// daemon is one process of the project.
type daemon struct {
	name         string
	front, ready string
	cmd          *exec.Cmd
	done         chan struct{}
}

// newPlatform starts the store, the machine service and the executors.
func newPlatform(rec *recorder, root string, machines, executors, gpu int) (*platform, error) {
	dir, err := os.MkdirTemp("", "verbenaflow-review-")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, root: root, dir: dir, machines: machines, store: newStore(rec)}
	if err := p.chooseNet(); err != nil {
		return p, err
	}
	if err := p.serve(p.address(2, 8524), p.store.handler()); err != nil {
		return p, err
	}
	// No queue asks for advice.
	if err := p.serve(p.address(3, 8524), http.NotFoundHandler()); err != nil {
		return p, err
	}
	if err := p.serve(p.address(4, 8524), http.HandlerFunc(p.serveMachines)); err != nil {
		return p, err
	}
	p.store.put("op/config", config())
	for i := range executors {
		id := fmt.Sprintf("i-%08x", 0x7f3a91c0+i)
		e := newExecutor(id, zones[i%len(zones)], fmt.Sprintf("r%d-1", i%len(zones)), p.address(100+i, 8080), 32000, gpu, p.store, rec)
		e.registered = p.address(100+i, 8081)
		if e.path, err = newProxy(e.registered, e.address); err != nil {
			return p, err
		}
		if err := e.start(); err != nil {
			return p, err
		}
		p.executors = append(p.executors, e)
	}
	return p, nil
}

// serveMachines serves the calls for machines.
func (p *platform) serveMachines(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	h := p.machineService
	p.mu.Unlock()
	if h == nil {
		reply(w, http.StatusOK, map[string]any{"machines": []any{}, "next_token": nil})
		return
	}
	h.ServeHTTP(w, r)
}

func (p *platform) setMachineService(h http.Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machineService = h
}

// chooseNet chooses a loopback network on which the ports of the deployment are free.
func (p *platform) chooseNet() error {
	for range 50 {
		p.net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", p.address(2, 8524))
		if err != nil {
			continue
		}
		l.Close()
		return nil
	}
	return errCannotRun
}

func (p *platform) address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", p.net, machine, port)
}

func (p *platform) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// config is the operator's configuration: one queue and one tenant.
func config() []byte {
	b, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": queue, "host": host, "prefix": prefix, "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 3000, "priority": 2,
			"service": service, "max_attempts": 3, "stretch": 3.0, "public": false, "allowed_regions": []any{},
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
			"enforces_capacity": false, "spare": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "tenant-one", "api_keys": []string{apiKey}, "priority": 1, "guaranteed": map[string]any{"gpu": 8}, "allowed_regions": []any{},
		}},
	})
	return b
}

var placeholder = regexp.MustCompile(`\{\{[a-z._]+\}\}`)

// startDaemons starts the program of the deploy file on each machine. output returns where a daemon's standard
// output goes; nil discards it.
func (p *platform) startDaemons(output func(name string) (*os.File, error)) error {
	template, err := os.ReadFile(filepath.Join(p.root, "deploy", "verbenaflowd.ini"))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(3, p.machines) {
		seeds = append(seeds, p.address(11+i, 8526))
	}
	for i := range p.machines {
		zone, region := zones[i%len(zones)], regions[i%len(zones)]
		ip := fmt.Sprintf("%s.%d", p.net, 11+i)
		d := &daemon{name: fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones)), front: p.address(11+i, 8521), ready: p.address(11+i, 8523), done: make(chan struct{})}
		// The values are those of dvorak-slots.
		values := map[string]string{
			"node": d.name, "zone": zone, "region": region, "ip": ip,
			"listen.front": d.front, "listen.ready": d.ready, "listen.control": p.address(11+i, 8526),
			"platform.address": p.address(2, 8524), "seeds": strings.Join(seeds, ","), "advice": p.address(3, 8524), "cloud.address": p.address(4, 8524),
			"bounds.upkeep_s": "2", "limits.cpu_share": "0.4", "limits.memory_mb": "284", "bounds.hold_max_ms": "10000", "bounds.stop_ms": "400",
			"bounds.far_x": "3", "bounds.restore_ms": "600", "bounds.save_s": "1", "bounds.status_s": "120", "bounds.grace_s": "6",
		}
		text := placeholder.ReplaceAllStringFunc(string(template), func(s string) string { return values[strings.Trim(s, "{}")] })
		file := filepath.Join(p.dir, d.name+".settings")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		d.cmd = exec.Command(filepath.Join(p.root, "target", "verbenaflowd"), "--platform")
		d.cmd.Dir, d.cmd.Env = p.root, append(os.Environ(), "VERBENAFLOW_CONFIG="+file)
		if output != nil {
			f, err := output(d.name)
			if err != nil {
				return err
			}
			d.cmd.Stdout, d.cmd.Stderr = f, f
			defer f.Close()
		}
		if err := d.cmd.Start(); err != nil {
			return fmt.Errorf("%w: %v", errCannotRun, err)
		}
		p.rec.add("%s: process %d started", d.name, d.cmd.Process.Pid)
		p.daemons = append(p.daemons, d)
		go func() {
			err := d.cmd.Wait()
			p.rec.add("%s: process ended: %v", d.name, err)
			close(d.done)
		}()
	}
	return p.awaitReady()
}

// awaitReady waits until all daemons are ready, and three seconds more, so that one of them leads.
func (p *platform) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); ; {
		n := 0
		for _, d := range p.daemons {
			if d.isReady() {
				n++
			}
		}
		if n == len(p.daemons) {
			p.rec.add("all machines are ready")
			time.Sleep(3 * time.Second)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: not ready", errCannotRun)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.ready + "/verbenaflow/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that the platform started.
func (p *platform) close() {
	for _, d := range p.daemons {
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
	}
	for _, d := range p.daemons {
		<-d.done
	}
	for _, c := range p.collectors {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(p.dir)
}

// step is a step of a job as clients send it.
type step map[string]any

// client calls the machines as the platform's clients do.
type client struct {
	p    *platform
	http *http.Client
	mu   sync.Mutex
	next uint64
}

func (p *platform) newClient() *client {
	return &client{p: p, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, next: rand.Uint64() &^ 0xffff}
}

func (c *client) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("%016x", c.next)
}

// answer is the answer to a call; status is 0 if there was none.
type answer struct {
	status int
	state  string
}

func (a answer) ok() bool { return a.status/100 == 2 }

// call makes a call at a machine. The client leaves after patience, or at its deadline if that is 0.
func (c *client) call(d *daemon, method, id string, body any, patience time.Duration) answer {
	if patience == 0 {
		patience = deadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var reader io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		reader = bytes.NewReader(b)
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+d.front+prefix+id, reader)
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	var a answer
	resp, err := c.http.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var out struct {
			State string `json:"state"`
		}
		data, readErr := io.ReadAll(resp.Body)
		if readErr == nil {
			a.status = resp.StatusCode
			_ = json.Unmarshal(data, &out)
			a.state = out.State
		} else {
			err = readErr
		}
	}
	if err != nil {
		c.p.rec.add("client: %s %s at %s: no answer within %v", method, id, d.name, patience)
	} else {
		c.p.rec.add("client: %s %s at %s: %d %s", method, id, d.name, a.status, a.state)
	}
	return a
}

// submit submits a job. Without a definite answer, or after a refusal, it tries again at another machine, four times as
// the clients of dvorak-slots do. It reports whether the job was accepted.
func (c *client) submit(id, spec string, steps []step) bool {
	first := rand.IntN(len(c.p.daemons))
	for try := range 5 {
		d := c.p.daemons[(first+try)%len(c.p.daemons)]
		if c.call(d, http.MethodPost, id, map[string]any{"spec": spec, "steps": steps}, 0).ok() {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job at all machines in turn, for at most the given time, until it gets one.
func (c *client) state(id string, within time.Duration) string {
	for end, i := time.Now().Add(within), rand.IntN(len(c.p.daemons)); time.Now().Before(end); i++ {
		if a := c.call(c.p.daemons[i%len(c.p.daemons)], http.MethodGet, id, nil, 0); a.ok() {
			return a.state
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// spec is the specification of tasks that work for the given time and make checkpoints of the given size.
func spec(work time.Duration, saveBytes int) string {
	return fmt.Sprintf("work %d ms, checkpoints of %d bytes", work.Milliseconds(), saveBytes)
}
