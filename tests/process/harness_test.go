// Package process tests real daemons and stand-ins as separate processes on the loopback interface.
package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// waitLimit bounds every wait of a test. It only ends a hanging test; no check depends on its length.
const waitLimit = 60 * time.Second

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "verbenaflow-process-")
	if err != nil {
		panic(err)
	}
	binaries = dir
	for _, name := range []string{"verbenaflowd", "verbenactl"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "github.com/verbenaflow/verbenaflow/cmd/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", name, err, out)
			os.Exit(1)
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is a child process of a test.
type process struct {
	cmd  *exec.Cmd
	done chan error
}

// start runs a binary until the test ends or kills it.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, name), args...)
	log := filepath.Join(t.TempDir(), "log")
	out, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: cmd, done: make(chan error, 1)}
	go func() { p.done <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		out.Close()
		if t.Failed() {
			text, _ := os.ReadFile(log)
			t.Logf("%s %v:\n%s", name, args, text)
		}
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// Ports of the daemons lie below the range that the system gives to outgoing connections, so that a daemon
// that is restarted finds its port free.
const (
	firstPort = 10000
	portRange = 20000
)

var nextPort = os.Getpid() * 97 % portRange

// freePorts returns n distinct loopback addresses that no process listens on.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries > portRange {
			t.Fatal("no free ports")
		}
		nextPort = (nextPort + 1) % portRange
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		out = append(out, address)
	}
	return out
}

// cluster is one failure domain with stand-ins and daemons.
type cluster struct {
	t       *testing.T
	store   *process
	daemons []*process
	// urls are the base URLs of the daemons' listeners for callers.
	urls   []string
	admins []string
}

// newCluster starts a failure domain with the given numbers of daemons, workers and executors.
func newCluster(t *testing.T, daemons, workers, executors int) *cluster {
	t.Helper()
	ports := freePorts(t, 2+workers+executors+3*daemons)
	take := func() string { p := ports[0]; ports = ports[1:]; return p }
	c := &cluster{t: t}
	storeAddr, listAddr := take(), take()
	c.store = start(t, "verbenactl", "standin", "store", "--listen", storeAddr)
	var vms []model.VM
	for i := range workers {
		a := take()
		start(t, "verbenactl", "standin", "worker", "--listen", a)
		vms = append(vms, model.VM{ID: fmt.Sprintf("w%d", i), Role: model.RoleWorker, Domain: "a", Region: "r1", Rack: "rack0", Address: a})
	}
	for i := range executors {
		a := take()
		start(t, "verbenactl", "standin", "executor", "--listen", a)
		vms = append(vms, model.VM{ID: fmt.Sprintf("e%d", i), Role: model.RoleExecutor, Domain: "a", Region: "r1", Address: a})
	}
	list := filepath.Join(t.TempDir(), "vms.json")
	data, _ := json.Marshal(vms)
	if err := os.WriteFile(list, data, 0o600); err != nil {
		t.Fatal(err)
	}
	start(t, "verbenactl", "standin", "vmlist", "--listen", listAddr, "--file", list)
	var peerAddrs []string
	for range daemons {
		peerAddrs = append(peerAddrs, take())
	}
	for i := range daemons {
		httpAddr, adminAddr := take(), take()
		text := fmt.Sprintf("[vm]\nid = v%d\ndomain = a\nregion = r1\n[listen]\nhttp = %s\npeers = %s\nadmin = %s\n[platform]\nstore = %s\nvmlist = %s\n[peers]\n",
			i, httpAddr, peerAddrs[i], adminAddr, storeAddr, listAddr)
		for j, a := range peerAddrs {
			if j != i {
				text += fmt.Sprintf("v%d = %s a r1\n", j, a)
			}
		}
		file := filepath.Join(t.TempDir(), "daemon.ini")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.daemons = append(c.daemons, start(t, "verbenaflowd", "--config", file))
		c.urls = append(c.urls, "http://"+httpAddr)
		c.admins = append(c.admins, "http://"+adminAddr)
	}
	return c
}

// call sends a JSON body, or a GET if body is nil, and decodes the answer into out. It returns the status.
func call(url string, body, out any) (int, error) {
	var resp *http.Response
	var err error
	if body == nil {
		resp, err = http.Get(url)
	} else {
		data, _ := json.Marshal(body)
		resp, err = http.Post(url, "application/json", bytes.NewReader(data))
	}
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if out != nil && resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, out)
	}
	return resp.StatusCode, err
}

// eventually returns an assertion that is repeated until it holds or waitLimit ends the test.
func eventually(t *testing.T, f any) gomega.AsyncAssertion {
	t.Helper()
	return gomega.NewWithT(t).Eventually(f, waitLimit, 50*time.Millisecond)
}
