package load

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
)

// TestPlan guards against a plan that differs between runs with the same seed or deviates from the configured rates.
func TestPlan(t *testing.T) {
	g := gomega.NewWithT(t)
	o := Options{RequestRate: 500, JobRate: 50, Duration: 20 * time.Second, RepeatableShare: 0.25, Seed: 7}
	p := plan(o)
	g.Expect(reflect.DeepEqual(p, plan(o))).To(gomega.BeTrue())
	count := map[string]int{}
	for i, c := range p {
		g.Expect(c.number).To(gomega.Equal(i))
		count[c.class]++
	}
	g.Expect(count[ClassRequest]).To(gomega.BeNumerically("~", 10000, 500))
	g.Expect(count[ClassJob]).To(gomega.BeNumerically("~", 1000, 150))
}

// startFakeServer starts an HTTP server whose response to a request depends on the last digit of the ticket: 1 returns
// the response to another request, 2 a refusal, 3 an error of unknown outcome, and 4 closes the connection. All other
// requests and all jobs succeed.
func startFakeServer(t *testing.T) string {
	var issued atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in httpapi.SendRequest
		_ = json.NewDecoder(r.Body).Decode(&in)
		refuse := func(f failure.Reason) {
			w.WriteHeader(f.HTTPStatus())
			_ = json.NewEncoder(w).Encode(httpapi.ErrorResponse{Code: f.Code(), Outcome: f.Outcome()})
		}
		switch {
		case r.URL.Path == "/v1/tickets":
			var out []string
			for range ticketBatchSize {
				out = append(out, model.Ticket{Domain: "a", Seq: uint64(issued.Add(1))}.String())
			}
			_ = json.NewEncoder(w).Encode(out)
		case r.URL.Path == "/v1/jobs":
			_ = json.NewEncoder(w).Encode(model.Job{ID: "a/1"})
		case strings.HasSuffix(in.Ticket, "1"):
			_ = json.NewEncoder(w).Encode(httpapi.RequestResult{Request: "a:0.0:0"})
		case strings.HasSuffix(in.Ticket, "2"):
			refuse(failure.RateLimited)
		case strings.HasSuffix(in.Ticket, "3"):
			refuse(failure.DeadlineExceeded)
		case strings.HasSuffix(in.Ticket, "4"):
			panic(http.ErrAbortHandler)
		default:
			body := append([]byte(in.Service+":"), in.Payload...)
			_ = json.NewEncoder(w).Encode(httpapi.RequestResult{Request: model.RequestID(in.Ticket), Outcome: failure.Run, Body: body})
		}
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// TestRun guards against a report that omits mismatched, missing or refused responses.
func TestRun(t *testing.T) {
	g := gomega.NewWithT(t)
	o := Options{
		Servers: []string{startFakeServer(t)}, Account: "acme", Service: "confirm", RequestRate: 400, JobRate: 20,
		Duration: time.Second, Timeout: 30 * time.Second, Seed: 1,
	}
	want := map[string]int{}
	for _, c := range plan(o) {
		want[c.class]++
	}
	r := Run(t.Context(), o)
	c := r[ClassRequest]
	g.Expect(c.Sent + c.Skipped).To(gomega.Equal(want[ClassRequest]))
	g.Expect(c.Run + c.NotRun + c.Unknown + c.Unanswered).To(gomega.Equal(c.Sent))
	for _, n := range []int{c.Mismatched, c.NotRun, c.Unknown, c.Unanswered, c.Reasons["rate_limited"], c.Reasons["deadline_exceeded"]} {
		g.Expect(n).To(gomega.BeNumerically("~", c.Sent/10, 1))
	}
	g.Expect(c.Repeated).To(gomega.BeZero())
	g.Expect(c.Max).To(gomega.BeNumerically(">=", c.P50))
	g.Expect(r.EachAnsweredOnce()).To(gomega.BeFalse())
	g.Expect(r[ClassJob].Run).To(gomega.Equal(want[ClassJob]))
	r.add(result{class: ClassRequest, id: "a:0.0:9", outcome: failure.Run})
	r.add(result{class: ClassRequest, id: "a:0.0:9", outcome: failure.Run})
	g.Expect(c.Repeated).To(gomega.BeNumerically(">", 0))
}
