package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/config"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
)

// newServer starts a server that gives the same answer to every call and counts the calls. It returns the URL.
func newServer(t *testing.T, status int, body any, calls *int) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		*calls++
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func errorBody(r failure.Reason, elsewhere bool) httpapi.ErrorResponse {
	return httpapi.ErrorResponse{Code: r.Code(), Outcome: r.Outcome(), RetryElsewhere: elsewhere}
}

func runCommand(args ...string) (int, string) {
	var out, errOut bytes.Buffer
	code := run(args, &out, &errOut)
	return code, out.String() + errOut.String()
}

// TestExitCodes guards against exit codes by which a script takes unfinished or failed work for complete.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		status int
		body   any
		want   int
	}{
		{http.StatusOK, model.Job{ID: "a/1"}, 0},
		{http.StatusForbidden, errorBody(failure.UnknownAccount, false), exitNotRun},
		{http.StatusGatewayTimeout, errorBody(failure.DeadlineExceeded, false), exitUnknown},
		{http.StatusBadGateway, errorBody(failure.ExecutorFailed, false), exitFailure},
		{http.StatusConflict, errorBody(failure.ConfigConflict, false), exitConflict},
		{http.StatusConflict, errorBody(failure.KeyReused, false), exitConflict},
		{http.StatusBadGateway, "no failure", exitUnknown},
		{http.StatusOK, "no job", exitUnknown},
	} {
		calls := 0
		code, text := runCommand("--json", "--server", newServer(t, c.status, c.body, &calls), "job", "submit", "--account", "acme")
		gomega.NewWithT(t).Expect(code).To(gomega.Equal(c.want), "%v: %s", c.body, text)
	}
	for _, args := range [][]string{{"job", "submit"}, {"nothing"}, {"request", "send", "--account", "a", "--service", "s", "--key", "k", "--ticket", "t"}, {"request", "status"}, {"request", "status", "t", "--key", "k", "--account", "a"}, {"request", "status", "--key", "k"}} {
		code, _ := runCommand(args...)
		gomega.NewWithT(t).Expect(code).To(gomega.Equal(exitUsage), "%v", args)
	}
}

// TestFailover guards against work that runs twice because the client sends it to a second entry VM although the first
// may have run it, and against a client that does not try the second one although the work certainly did not run.
func TestFailover(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	l.Close()
	abort := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(abort.Close)
	var ignored int
	for _, c := range []struct {
		name, first string
		want, calls int
	}{
		{"connection refused", closed, 0, 1},
		{"draining", newServer(t, 503, errorBody(failure.Draining, true), &ignored), 0, 1},
		{"not run without hint", newServer(t, 503, errorBody(failure.StoreUnavailable, false), &ignored), exitNotRun, 0},
		{"unknown outcome with hint", newServer(t, 504, errorBody(failure.DeadlineExceeded, true), &ignored), exitUnknown, 0},
		{"connection cut", abort.URL, exitUnknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, calls := gomega.NewWithT(t), 0
			second := newServer(t, http.StatusOK, model.Job{ID: "a/1"}, &calls)
			code, text := runCommand("--server", c.first, "--server", second, "job", "submit", "--account", "acme")
			g.Expect(code).To(gomega.Equal(c.want), text)
			g.Expect(calls).To(gomega.Equal(c.calls))
		})
	}
	code, _ := runCommand("--server", closed, "status")
	gomega.NewWithT(t).Expect(code).To(gomega.Equal(exitNotRun))
}

// TestExamplePresets guards against example presets that cannot be read or that a configuration change rejects.
func TestExamplePresets(t *testing.T) {
	for _, name := range []string{"ordinary", "peak", "maintenance"} {
		g := gomega.NewWithT(t)
		p, err := readPreset("../../examples/" + name + ".json")
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		g.Expect(p.Accounts).NotTo(gomega.BeEmpty(), name)
		_, f := config.Propose(model.Config{}, 0, message.ConfigChange{PutPreset: &message.NamedPreset{Name: name, Preset: p}}, "w", nil)
		g.Expect(f).To(gomega.BeNil(), name)
	}
}

// TestWaitShowsLastState guards against a job that is printed with the reason of an earlier state, which happens if the
// last response omits the reason and the decoded job keeps the old one.
func TestWaitShowsLastState(t *testing.T) {
	g := gomega.NewWithT(t)
	states := []model.Job{{ID: "a/1", State: model.JobQueued, Reason: "resources"}, {ID: "a/1", State: model.JobSucceeded}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(states[0])
		states = states[len(states)-1:]
	}))
	defer s.Close()
	code, text := runCommand("--server", s.URL, "job", "submit", "--account", "acme", "--wait")
	g.Expect(code).To(gomega.Equal(0), text)
	g.Expect(text).NotTo(gomega.ContainSubstring("resources"))
}
