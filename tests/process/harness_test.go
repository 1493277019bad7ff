// Package process runs the daemons as separate processes on the loopback interface against stand-ins of the platform.
// Numbers such as P2 in comments name the guarantees of the system that a test checks.
package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/standins/ports"
)

// waitLimit bounds every wait of a test. It only ends a test that hangs; no check depends on its value.
const waitLimit = 60 * time.Second

var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "verbenaflow-process-")
	if err != nil {
		panic(err)
	}
	binaryDir = dir
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

// process is a child process of a test. done delivers the result of its exit.
type process struct {
	cmd  *exec.Cmd
	done chan error
}

// startProcess runs a binary until the test ends or kills it, and logs its output if the test has failed.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaryDir, name), args...)
	logFile := filepath.Join(t.TempDir(), "log")
	out, err := os.Create(logFile)
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
			text, _ := os.ReadFile(logFile)
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

// freePorts returns n distinct loopback addresses that no process listens on.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	out, err := ports.Free(n)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// cluster is one failure domain with stand-ins and daemons.
type cluster struct {
	t            *testing.T
	storeProcess *process
	daemons      []*process
	// urls are the base URLs of the daemons' public HTTP listeners, adminURLs those of their admin listeners.
	urls      []string
	adminURLs []string
}

// newCluster starts a failure domain with the given numbers of daemons, workers and executors.
func newCluster(t *testing.T, daemons, workers, executors int) *cluster {
	t.Helper()
	ports := freePorts(t, 2+workers+executors+3*daemons)
	nextAddr := func() string { p := ports[0]; ports = ports[1:]; return p }
	c := &cluster{t: t}
	storeAddr, listAddr := nextAddr(), nextAddr()
	c.storeProcess = startProcess(t, "verbenactl", "standin", "store", "--listen", storeAddr)
	var vms []model.VM
	for i := range workers {
		a := nextAddr()
		startProcess(t, "verbenactl", "standin", "worker", "--listen", a)
		vms = append(vms, model.VM{ID: fmt.Sprintf("w%d", i), Role: model.RoleWorker, Domain: "a", Region: "r1", Rack: "rack0", Address: a})
	}
	for i := range executors {
		a := nextAddr()
		startProcess(t, "verbenactl", "standin", "executor", "--listen", a)
		vms = append(vms, model.VM{ID: fmt.Sprintf("e%d", i), Role: model.RoleExecutor, Domain: "a", Region: "r1", Address: a})
	}
	listFile := filepath.Join(t.TempDir(), "vms.json")
	data, _ := json.Marshal(vms)
	if err := os.WriteFile(listFile, data, 0o600); err != nil {
		t.Fatal(err)
	}
	startProcess(t, "verbenactl", "standin", "vmlist", "--listen", listAddr, "--file", listFile)
	var peerAddrs []string
	for range daemons {
		peerAddrs = append(peerAddrs, nextAddr())
	}
	for i := range daemons {
		httpAddr, adminAddr := nextAddr(), nextAddr()
		text := fmt.Sprintf("[vm]\nid = v%d\ndomain = a\nregion = r1\n[listen]\nhttp = %s\npeers = %s\nadmin = %s\n[platform]\nstore = %s\nvmlist = %s\n[peers]\n",
			i, httpAddr, peerAddrs[i], adminAddr, storeAddr, listAddr)
		for j, a := range peerAddrs {
			if j != i {
				text += fmt.Sprintf("v%d = %s a r1\n", j, a)
			}
		}
		settingsFile := filepath.Join(t.TempDir(), "daemon.ini")
		if err := os.WriteFile(settingsFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.daemons = append(c.daemons, startProcess(t, "verbenaflowd", "--config", settingsFile))
		c.urls = append(c.urls, "http://"+httpAddr)
		c.adminURLs = append(c.adminURLs, "http://"+adminAddr)
	}
	return c
}

// call posts a JSON body, or sends a GET if body is nil, and decodes a response with status 200 into out. It returns
// the status.
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

// eventually returns an assertion that is polled until it holds; the test fails after waitLimit.
func eventually(t *testing.T, f any) gomega.AsyncAssertion {
	t.Helper()
	return gomega.NewWithT(t).Eventually(f, waitLimit, 50*time.Millisecond)
}
