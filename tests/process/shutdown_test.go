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

// slowRunTime is the run time of a request that is in progress when the shutdown begins.
const slowRunTime = "3s"

// slowCluster is one failure domain whose executor takes slowRunTime for each request.
type slowCluster struct {
	daemons         []*process
	urls, adminURLs []string
	executorAddr    string
}

func newSlowCluster(t *testing.T, daemons int) *slowCluster {
	t.Helper()
	ports := freePorts(t, 3+3*daemons)
	storeAddr, listAddr, execAddr := ports[0], ports[1], ports[2]
	startProcess(t, "verbenactl", "standin", "store", "--listen", storeAddr)
	startProcess(t, "verbenactl", "standin", "executor", "--listen", execAddr, "--took", slowRunTime)
	listFile := filepath.Join(t.TempDir(), "vms.json")
	vms, _ := json.Marshal([]model.VM{{ID: "e0", Role: model.RoleExecutor, Domain: "a", Region: "r1", Address: execAddr}})
	if err := os.WriteFile(listFile, vms, 0o600); err != nil {
		t.Fatal(err)
	}
	startProcess(t, "verbenactl", "standin", "vmlist", "--listen", listAddr, "--file", listFile)
	c := &slowCluster{executorAddr: execAddr}
	for i := range daemons {
		addrs := ports[3+3*i:]
		text := fmt.Sprintf("[vm]\nid = v%d\ndomain = a\nregion = r1\n[listen]\nhttp = %s\npeers = %s\nadmin = %s\n[platform]\nstore = %s\nvmlist = %s\n[peers]\n",
			i, addrs[0], addrs[1], addrs[2], storeAddr, listAddr)
		for j := range daemons {
			if j != i {
				text += fmt.Sprintf("v%d = %s a r1\n", j, ports[3+3*j+1])
			}
		}
		settingsFile := filepath.Join(t.TempDir(), "daemon.ini")
		if err := os.WriteFile(settingsFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.daemons = append(c.daemons, startProcess(t, "verbenaflowd", "--config", settingsFile))
		c.urls = append(c.urls, "http://"+addrs[0])
		c.adminURLs = append(c.adminURLs, "http://"+addrs[2])
	}
	return c
}

// response is the HTTP response to a slow request, or the error of the call.
type response struct {
	status int
	close  bool
	body   httpapi.RequestResult
	err    error
}

// sendSlowRequest configures the cluster and sends a request through a daemon. It returns once the request runs on the
// executor; the channel delivers the response to this request.
func (c *slowCluster) sendSlowRequest(t *testing.T, via int) chan response {
	t.Helper()
	base := c.urls[via]
	preset := &message.NamedPreset{Name: "ordinary", Preset: model.Preset{Accounts: map[model.AccountID]model.AccountPolicy{"acme": {Weight: 1}}}}
	eventually(t, func() int {
		status, _ := call(base+"/v1/config", httpapi.ChangeConfigRequest{Change: message.ConfigChange{PutPreset: preset}}, nil)
		return status
	}).Should(gomega.Or(gomega.Equal(http.StatusOK), gomega.Equal(http.StatusConflict)))
	var id string
	var result chan response
	eventually(t, func() bool {
		if result == nil {
			var tickets []string
			if status, _ := call(base+"/v1/tickets", httpapi.IssueTicketsRequest{Account: "acme", Count: 1}, &tickets); status != http.StatusOK {
				return false
			}
			ticket, delivery := tickets[0], make(chan response, 1)
			id, result = ticket, delivery
			go func() { delivery <- sendRequest(base, ticket) }()
		}
		if c.pending(base, id) && c.executorRuns(id) {
			return true
		}
		select {
		case r := <-result:
			// A VM that does not know the executor yet refuses a request as not run, even after it reported it as
			// pending. Any other response comes from a request that completed between two polls.
			if !r.refused() {
				r.expectComplete(gomega.NewWithT(t))
			}
			result = nil
		default:
		}
		return false
	}).Should(gomega.BeTrue())
	return result
}

// refused reports whether a request was refused without running.
func (r response) refused() bool {
	return r.err == nil && r.status != http.StatusOK && (r.body.Outcome == "" || r.body.Outcome == failure.NotRun)
}

// pending reports whether the VM states that a request is in progress.
func (c *slowCluster) pending(base, id string) bool {
	var r httpapi.RequestResult
	status, _ := call(base+"/v1/request?id="+url.QueryEscape(id), nil, &r)
	return status == http.StatusOK && r.Pending
}

// executorRuns reports whether the executor runs a request.
func (c *slowCluster) executorRuns(id string) bool {
	var h executor.History
	_, _ = call("http://"+c.executorAddr+executor.PathHistory, struct{}{}, &h)
	return slices.ContainsFunc(h.Runs, func(r executor.RunRecord) bool {
		return r.Request == model.RequestID(id) && r.EndMS == 0
	})
}

func sendRequest(base, ticket string) response {
	data, _ := json.Marshal(httpapi.SendRequest{Ticket: ticket, Account: "acme", Service: "confirm", Payload: []byte("slot 7"), Fresh: true})
	resp, err := http.Post(base+"/v1/requests", "application/json", bytes.NewReader(data))
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	r := response{status: resp.StatusCode, close: resp.Close, err: err}
	if err == nil {
		r.err = json.Unmarshal(text, &r.body)
	}
	return r
}

// jobRefusal submits a job and returns the failure that the daemon reports.
func jobRefusal(base string) httpapi.ErrorResponse {
	var e httpapi.ErrorResponse
	resp, err := http.Post(base+"/v1/jobs", "application/json", bytes.NewReader([]byte(`{"account":"acme","tasks":1,"gpus_per_task":1}`)))
	if err != nil {
		return e
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&e)
	return e
}

func expectCompleteResponse(g *gomega.WithT, result chan response) {
	var r response
	g.Eventually(result, waitLimit).Should(gomega.Receive(&r))
	r.expectComplete(g)
}

func (r response) expectComplete(g *gomega.WithT) {
	g.Expect(r.err).NotTo(gomega.HaveOccurred())
	g.Expect(r.status).To(gomega.Equal(http.StatusOK), "%+v", r.body)
	g.Expect(r.body.Outcome).To(gomega.Equal(failure.Run))
	g.Expect(string(r.body.Body)).To(gomega.Equal("confirm:slot 7"))
}

// TestShutdownCompletesRequests guards against a shutdown that cuts off a request in progress at SIGTERM (P8). Until
// the request is answered, the daemon must refuse new work as not run with a hint to retry elsewhere; then it exits
// with 0.
func TestShutdownCompletesRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newSlowCluster(t, 1)
	status := func() int { s, _ := call(c.adminURLs[0]+"/readyz", nil, nil); return s }
	eventually(t, status).Should(gomega.Equal(http.StatusServiceUnavailable), "ready without a configuration")
	result := c.sendSlowRequest(t, 0)
	eventually(t, status).Should(gomega.Equal(http.StatusOK))
	c.daemons[0].signal(t, syscall.SIGTERM)
	eventually(t, func() string { return jobRefusal(c.urls[0]).Code }).Should(gomega.Equal("draining"))
	refused := jobRefusal(c.urls[0])
	g.Expect(refused.Outcome).To(gomega.Equal(failure.NotRun))
	g.Expect(refused.RetryElsewhere).To(gomega.BeTrue())
	g.Expect(status()).To(gomega.Equal(http.StatusServiceUnavailable), "ready while draining")
	var s httpapi.StatusResponse
	_, err := call(c.urls[0]+"/v1/status", nil, &s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Draining).To(gomega.BeTrue())
	g.Expect(s.Holders).To(gomega.HaveLen(1))
	g.Expect(s.Holders[0].VM).To(gomega.Equal(model.VMID("v0")))
	expectCompleteResponse(g, result)
	g.Eventually(c.daemons[0].done, waitLimit).Should(gomega.Receive(gomega.BeNil()), "exit status")
}

// TestShutdownCompletesForwardedRequests guards against a holder that shuts down and cuts off a request in progress
// that another VM forwarded to it (P8).
func TestShutdownCompletesForwardedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newSlowCluster(t, 2)
	var s httpapi.StatusResponse
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
	result := c.sendSlowRequest(t, 1-holder)
	c.daemons[holder].signal(t, syscall.SIGTERM)
	expectCompleteResponse(g, result)
	g.Eventually(c.daemons[holder].done, waitLimit).Should(gomega.Receive(gomega.BeNil()), "exit status")
}

// TestSecondSignalEndsTheProcess guards against a daemon that drains slowly and ignores a second SIGTERM, so that an
// operator cannot end it.
func TestSecondSignalEndsTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newSlowCluster(t, 1)
	c.sendSlowRequest(t, 0)
	c.daemons[0].signal(t, syscall.SIGTERM)
	eventually(t, func() string { return jobRefusal(c.urls[0]).Code }).Should(gomega.Equal("draining"))
	c.daemons[0].signal(t, syscall.SIGTERM)
	var err error
	g.Eventually(c.daemons[0].done, waitLimit).Should(gomega.Receive(&err))
	g.Expect(err).To(gomega.MatchError("signal: terminated"))
}
