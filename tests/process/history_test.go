package process

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
	"github.com/verbenaflow/verbenaflow/standins/executor"
	"github.com/verbenaflow/verbenaflow/standins/worker"
)

// taskEvent is a state change of a task as a worker stand-in recorded it, with the time on the clock of the test.
type taskEvent struct {
	worker.HistoryEntry
	when time.Time
}

// taskEvents returns the state changes that the worker stand-ins of a failure domain recorded, ordered by time.
func (f *fleet) taskEvents(d model.FailureDomain) []taskEvent {
	f.t.Helper()
	var out []taskEvent
	for _, address := range f.workers[d] {
		var h worker.History
		f.callStandin(address+worker.PathHistory, worker.HistoryRequest{}, &h)
		now := time.Now()
		for _, e := range h.Entries {
			out = append(out, taskEvent{HistoryEntry: e, when: now.Add(e.At - h.Now)})
		}
	}
	slices.SortFunc(out, func(a, b taskEvent) int { return a.when.Compare(b.when) })
	return out
}

// runIntervals returns the start and the end of the run of each task of a job, over all attempts. A zero end means that
// the task still runs, a zero start that it has not run.
func runIntervals(events []taskEvent, job model.JobID) map[model.TaskID][2]time.Time {
	out := make(map[model.TaskID][2]time.Time)
	for _, e := range events {
		if e.Task.Job != job {
			continue
		}
		span := out[e.Task]
		switch {
		case e.State == model.TaskRunning && span[0].IsZero():
			span[0] = e.when
		case e.State != model.TaskRunning && !span[0].IsZero() && span[1].IsZero():
			span[1] = e.when
		}
		out[e.Task] = span
	}
	return out
}

// requestRuns returns how often each request ran, as the executor stand-ins of all failure domains recorded it.
func (f *fleet) requestRuns() map[model.RequestID]int {
	f.t.Helper()
	out := make(map[model.RequestID]int)
	for _, addresses := range f.executors {
		for _, address := range addresses {
			var h executor.History
			f.callStandin(address+executor.PathHistory, nil, &h)
			for _, r := range h.Runs {
				out[r.Request]++
			}
		}
	}
	return out
}

// holder returns the daemon that holds a failure domain as a VM sees it, or nil.
func (f *fleet) holder(v *daemon, d model.FailureDomain) *daemon {
	var status httpapi.StatusResponse
	_, _ = call(v.url+"/v1/status", nil, &status)
	for _, h := range status.Holders {
		for _, o := range f.vms {
			if h.Domain == d && o.id == h.VM && !h.Epoch.IsZero() {
				return o
			}
		}
	}
	return nil
}

// awaitHolder waits until a VM sees a holder of its failure domain other than the previous one, which may be nil.
func (f *fleet) awaitHolder(v *daemon, previous *daemon) *daemon {
	f.t.Helper()
	var found *daemon
	eventually(f.t, func() bool {
		found = f.holder(v, v.domain)
		return found != nil && found != previous
	}).Should(gomega.BeTrue(), "a new holder of %s", v.domain)
	return found
}

// requestResult is the outcome of one request as its caller received it.
type requestResult struct {
	ticket  string
	outcome failure.Outcome
	code    string
	body    string
}

var payloadSeq atomic.Int64

// takeTicket returns a ticket of a VM's failure domain, or "" if none was given.
func takeTicket(v *daemon) string {
	var tickets []string
	if post(v.url+"/v1/tickets", httpapi.IssueTicketsRequest{Account: "acme", Count: 1}, &tickets) != "" || len(tickets) == 0 {
		return ""
	}
	return tickets[0]
}

// sendNonRepeatable sends a request that must run at most once through a VM.
func sendNonRepeatable(v *daemon, ticket string) requestResult {
	result := requestResult{ticket: ticket, outcome: failure.Unknown}
	payload := fmt.Sprint("payload ", payloadSeq.Add(1))
	body, _ := json.Marshal(httpapi.SendRequest{Ticket: ticket, Account: "acme", Service: "confirm", Payload: []byte(payload), TimeoutMS: 8000, Fresh: true})
	resp, err := http.Post(v.url+"/v1/requests", "application/json", strings.NewReader(string(body)))
	if err != nil {
		result.code = "connection"
		return result
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		var r httpapi.RequestResult
		if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
			result.code = "truncated"
			return result
		}
		result.outcome, result.body = r.Outcome, string(r.Body)
		if r.Outcome == failure.Run && result.body != "confirm:"+payload {
			result.code = "foreign answer " + result.body
		}
		return result
	}
	var e httpapi.ErrorResponse
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		result.code = "truncated"
		return result
	}
	result.outcome, result.code = e.Outcome, e.Code
	return result
}

// checkResults compares the outcomes that callers received with the runs that the executor stand-ins recorded: no
// request ran twice, each outcome "run" or "not run" is true, and no caller got the response to another request (P4,
// P5, P6).
func (f *fleet) checkResults(results []requestResult) {
	f.t.Helper()
	g := gomega.NewWithT(f.t)
	runs := f.requestRuns()
	for _, r := range results {
		n := runs[model.RequestID(r.ticket)]
		g.Expect(n).To(gomega.BeNumerically("<=", 1), "%s ran %d times", r.ticket, n)
		g.Expect(r.code).NotTo(gomega.HavePrefix("foreign answer"))
		switch r.outcome {
		case failure.NotRun:
			g.Expect(n).To(gomega.BeZero(), "%s was reported as not run (%s)", r.ticket, r.code)
		case failure.Run:
			g.Expect(n).To(gomega.Equal(1), "%s was reported as run", r.ticket)
		}
	}
}

func countOutcomes(results []requestResult) map[failure.Outcome]int {
	out := make(map[failure.Outcome]int)
	for _, r := range results {
		out[r.outcome]++
	}
	return out
}
