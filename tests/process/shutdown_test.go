package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
	"github.com/verbenaflow/verbenaflow/standins/executor"
)

// slowTime is the run time of a request that is in progress when the shutdown begins.
const slowTime = "3s"

// slowCluster is one failure domain whose executor takes slowTime for each request.
type slowCluster struct {
	daemons      []*process
	urls, admins []string
	executor     string
}

func newSlowCluster(t *testing.T, daemons int) *slowCluster {
	t.Helper()
	ports := freePorts(t, 3+3*daemons)
	storeAddr, listAddr, execAddr := ports[0], ports[1], ports[2]
	start(t, "verbenactl", "standin", "store", "--listen", storeAddr)
	start(t, "verbenactl", "standin", "executor", "--listen", execAddr, "--took", slowTime)
	list := filepath.Join(t.TempDir(), "vms.json")
	vms, _ := json.Marshal([]model.VM{{ID: "e0", Role: model.RoleExecutor, Domain: "a", Region: "r1", Address: execAddr}})
	if err := os.WriteFile(list, vms, 0o600); err != nil {
		t.Fatal(err)
	}
	start(t, "verbenactl", "standin", "vmlist", "--listen", listAddr, "--file", list)
	c := &slowCluster{executor: execAddr}
	for i := range daemons {
		own := ports[3+3*i:]
		text := fmt.Sprintf("[vm]\nid = v%d\ndomain = a\nregion = r1\n[listen]\nhttp = %s\npeers = %s\nadmin = %s\n[platform]\nstore = %s\nvmlist = %s\n[peers]\n",
			i, own[0], own[1], own[2], storeAddr, listAddr)
		for j := range daemons {
			if j != i {
				text += fmt.Sprintf("v%d = %s a r1\n", j, ports[3+3*j+1])
			}
		}
		file := filepath.Join(t.TempDir(), "daemon.ini")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.daemons = append(c.daemons, start(t, "verbenaflowd", "--config", file))
		c.urls = append(c.urls, "http://"+own[0])
		c.admins = append(c.admins, "http://"+own[2])
	}
	return c
}

// answered is a complete answer to a slow request.
type answered struct {
	status int
	close  bool
	body   httpapi.RequestBody
	err    error
}

// sendSlow configures the cluster and sends a request through a daemon. It returns once the request runs on the
// executor; the channel delivers the answer to this request.
func (c *slowCluster) sendSlow(t *testing.T, via int) chan answered {
	t.Helper()
	base := c.urls[via]
	preset := &message.NamedPreset{Name: "ordinary", Preset: model.Preset{Accounts: map[model.AccountID]model.AccountPolicy{"acme": {Weight: 1}}}}
	eventually(t, func() int {
		status, _ := call(base+"/v1/config", httpapi.ChangeBody{Change: message.ConfigChange{PutPreset: preset}}, nil)
		return status
	}).Should(gomega.Or(gomega.Equal(http.StatusOK), gomega.Equal(http.StatusConflict)))
	var id string
	var result chan answered
	eventually(t, func() bool {
		if result == nil {
			var tickets []string
			if status, _ := call(base+"/v1/tickets", httpapi.TicketsBody{Account: "acme", Count: 1}, &tickets); status != http.StatusOK {
				return false
			}
			ticket, answer := tickets[0], make(chan answered, 1)
			id, result = ticket, answer
			go func() { answer <- sendOne(base, ticket) }()
		}
		if c.pending(base, id) && c.runs(id) {
			return true
		}
		select {
		case a := <-result:
			// A VM that does not know the executor yet refuses a request as not run, also one that was pending. Any
			// other answer comes from a request that completed between two polls.
			if !a.refused() {
				a.expectWhole(gomega.NewWithT(t))
			}
			result = nil
		default:
		}
		return false
	}).Should(gomega.BeTrue())
	return result
}

// refused reports whether a request was refused without running.
func (a answered) refused() bool {
	return a.err == nil && a.status != http.StatusOK && (a.body.Outcome == "" || a.body.Outcome == failure.NotRun)
}

// pending reports whether the VM states that a request is in progress.
func (c *slowCluster) pending(base, id string) bool {
	var r httpapi.RequestBody
	status, _ := call(base+"/v1/request?id="+url.QueryEscape(id), nil, &r)
	return status == http.StatusOK && r.Pending
}

// runs reports whether the executor runs a request.
func (c *slowCluster) runs(id string) bool {
	var h executor.History
	_, _ = call("http://"+c.executor+executor.PathHistory, struct{}{}, &h)
	return slices.ContainsFunc(h.Runs, func(r executor.RunRecord) bool {
		return r.Request == model.RequestID(id) && r.EndMS == 0
	})
}

func sendOne(base, ticket string) answered {
	data, _ := json.Marshal(httpapi.SendBody{Ticket: ticket, Account: "acme", Service: "confirm", Payload: []byte("slot 7"), Fresh: true})
	resp, err := http.Post(base+"/v1/requests", "application/json", bytes.NewReader(data))
	if err != nil {
		return answered{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a := answered{status: resp.StatusCode, close: resp.Close, err: err}
	if err == nil {
		a.err = json.Unmarshal(text, &a.body)
	}
	return a
}

// refusal returns the failure that a new job meets.
func refusal(base string) httpapi.ErrorBody {
	var e httpapi.ErrorBody
	resp, err := http.Post(base+"/v1/jobs", "application/json", bytes.NewReader([]byte(`{"account":"acme","tasks":1,"gpus_per_task":1}`)))
	if err != nil {
		return e
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&e)
	return e
}

func expectWhole(g *gomega.WithT, result chan answered) {
	var a answered
	g.Eventually(result, waitLimit).Should(gomega.Receive(&a))
	a.expectWhole(g)
}

func (a answered) expectWhole(g *gomega.WithT) {
	g.Expect(a.err).NotTo(gomega.HaveOccurred())
	g.Expect(a.status).To(gomega.Equal(http.StatusOK), "%+v", a.body)
	g.Expect(a.body.Outcome).To(gomega.Equal(failure.Run))
	g.Expect(string(a.body.Body)).To(gomega.Equal("confirm:slot 7"))
}

// TestShutdownCompletesRequests guards promise P8: a request in progress at SIGTERM is answered whole, new
// work is refused as not run with a hint to retry elsewhere, and the exit status is 0.
func TestShutdownCompletesRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newSlowCluster(t, 1)
	status := func() int { s, _ := call(c.admins[0]+"/readyz", nil, nil); return s }
	eventually(t, status).Should(gomega.Equal(http.StatusServiceUnavailable), "ready without a configuration")
	result := c.sendSlow(t, 0)
	eventually(t, status).Should(gomega.Equal(http.StatusOK))
	c.daemons[0].signal(t, syscall.SIGTERM)
	eventually(t, func() string { return refusal(c.urls[0]).Code }).Should(gomega.Equal("draining"))
	refused := refusal(c.urls[0])
	g.Expect(refused.Outcome).To(gomega.Equal(failure.NotRun))
	g.Expect(refused.RetryElsewhere).To(gomega.BeTrue())
	g.Expect(status()).To(gomega.Equal(http.StatusServiceUnavailable), "ready while draining")
	var s httpapi.StatusBody
	_, err := call(c.urls[0]+"/v1/status", nil, &s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Draining).To(gomega.BeTrue())
	g.Expect(s.Holders).To(gomega.HaveLen(1))
	g.Expect(s.Holders[0].VM).To(gomega.Equal(model.VMID("v0")))
	expectWhole(g, result)
	g.Eventually(c.daemons[0].done, waitLimit).Should(gomega.Receive(gomega.BeNil()), "exit status")
}

// TestShutdownCompletesForwardedRequests guards promise P8 for requests that arrive through another VM: the
// holder that shuts down answers them whole.
func TestShutdownCompletesForwardedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newSlowCluster(t, 2)
	var s httpapi.StatusBody
	eventually(t, func() model.VMID {
		_, _ = call(c.urls[0]+"/v1/status", nil, &s)
		if len(s.Holders) == 0 {
			return ""
		}
		return s.Holders[0].VM
	}).ShouldNot(gomega.BeEmpty())
	holder := 0
	if s.Holders[0].VM == "v1" {
		holder = 1
	}
	result := c.sendSlow(t, 1-holder)
	c.daemons[holder].signal(t, syscall.SIGTERM)
	expectWhole(g, result)
	g.Eventually(c.daemons[holder].done, waitLimit).Should(gomega.Receive(gomega.BeNil()), "exit status")
}

// TestSecondSignalEndsTheProcess guards against an operator who cannot end a daemon that drains slowly.
func TestSecondSignalEndsTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newSlowCluster(t, 1)
	c.sendSlow(t, 0)
	c.daemons[0].signal(t, syscall.SIGTERM)
	eventually(t, func() string { return refusal(c.urls[0]).Code }).Should(gomega.Equal("draining"))
	c.daemons[0].signal(t, syscall.SIGTERM)
	var err error
	g.Eventually(c.daemons[0].done, waitLimit).Should(gomega.Receive(&err))
	g.Expect(err).To(gomega.MatchError("signal: terminated"))
}
