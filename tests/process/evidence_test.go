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

// taskEvent is a true state change of a task with its local time.
type taskEvent struct {
	worker.Entry
	when time.Time
}

// tasks returns what truly ran on the workers of a failure domain, in the order of time.
func (f *fleet) tasks(d model.FailureDomain) []taskEvent {
	f.t.Helper()
	var out []taskEvent
	for _, address := range f.workers[d] {
		var h worker.History
		f.control(address+worker.PathHistory, worker.HistoryRequest{}, &h)
		now := time.Now()
		for _, e := range h.Entries {
			out = append(out, taskEvent{Entry: e, when: now.Add(e.At - h.Now)})
		}
	}
	slices.SortFunc(out, func(a, b taskEvent) int { return a.when.Compare(b.when) })
	return out
}

// running returns the intervals in which each member of a job's attempts did work.
func running(events []taskEvent, job model.JobID) map[model.TaskID][2]time.Time {
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

// runs returns how often each request truly ran on the executors of all failure domains.
func (f *fleet) runs() map[model.RequestID]int {
	f.t.Helper()
	out := make(map[model.RequestID]int)
	for _, addresses := range f.executors {
		for _, address := range addresses {
			var h executor.History
			f.control(address+executor.PathHistory, nil, &h)
			for _, r := range h.Runs {
				out[r.Request]++
			}
		}
	}
	return out
}

// holder returns the daemon that holds a failure domain as a VM sees it, or nil.
func (f *fleet) holder(v *daemon, d model.FailureDomain) *daemon {
	var status httpapi.StatusBody
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

// waitHolder waits until a VM sees a holder other than the given one.
func (f *fleet) waitHolder(v *daemon, not *daemon) *daemon {
	f.t.Helper()
	var found *daemon
	eventually(f.t, func() bool {
		found = f.holder(v, v.domain)
		return found != nil && found != not
	}).Should(gomega.BeTrue(), "a new holder of %s", v.domain)
	return found
}

// answer is what a caller was told about one request.
type answer struct {
	ticket  string
	outcome failure.Outcome
	code    string
	body    string
}

var payloads atomic.Int64

// take returns a ticket of a VM's failure domain, or "" if none was given.
func take(v *daemon) string {
	var tickets []string
	if post(v.url+"/v1/tickets", httpapi.TicketsBody{Account: "acme", Count: 1}, &tickets) != "" || len(tickets) == 0 {
		return ""
	}
	return tickets[0]
}

// confirm sends a request that may not be repeated through a VM.
func confirm(v *daemon, ticket string) answer {
	a := answer{ticket: ticket, outcome: failure.Unknown}
	payload := fmt.Sprint("payload ", payloads.Add(1))
	body, _ := json.Marshal(httpapi.SendBody{Ticket: ticket, Account: "acme", Service: "confirm", Payload: []byte(payload), TimeoutMS: 8000, Fresh: true})
	resp, err := http.Post(v.url+"/v1/requests", "application/json", strings.NewReader(string(body)))
	if err != nil {
		a.code = "connection"
		return a
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		var r httpapi.RequestBody
		if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
			a.code = "truncated"
			return a
		}
		a.outcome, a.body = r.Outcome, string(r.Body)
		if r.Outcome == failure.Run && a.body != "confirm:"+payload {
			a.code = "foreign answer " + a.body
		}
		return a
	}
	var e httpapi.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		a.code = "truncated"
		return a
	}
	a.outcome, a.code = e.Outcome, e.Code
	return a
}

// checkAnswers compares what callers were told with what truly ran (P4, P5, P6).
func (f *fleet) checkAnswers(answers []answer) {
	f.t.Helper()
	g := gomega.NewWithT(f.t)
	runs := f.runs()
	for _, a := range answers {
		n := runs[model.RequestID(a.ticket)]
		g.Expect(n).To(gomega.BeNumerically("<=", 1), "%s ran %d times", a.ticket, n)
		g.Expect(a.code).NotTo(gomega.HavePrefix("foreign answer"))
		switch a.outcome {
		case failure.NotRun:
			g.Expect(n).To(gomega.BeZero(), "%s was told not run (%s)", a.ticket, a.code)
		case failure.Run:
			g.Expect(n).To(gomega.Equal(1), "%s was told run", a.ticket)
		}
	}
}

// tally counts outcomes.
func tally(answers []answer) map[failure.Outcome]int {
	out := make(map[failure.Outcome]int)
	for _, a := range answers {
		out[a.outcome]++
	}
	return out
}
