package httpapi

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// recorder stands for the services behind the front end.
type recorder struct {
	got   []kernel.Message
	reply kernel.Message
	err   error
}

func (r *recorder) Call(_ context.Context, _ kernel.Name, m kernel.Message) (kernel.Message, error) {
	r.got = append(r.got, m)
	return r.reply, r.err
}

func serve(r *recorder, g *gate, req *http.Request) (int, ErrorBody) {
	a := &api{caller: r, domain: "a", metrics: metrics.New(), gate: g, maxBody: 256}
	w := httptest.NewRecorder()
	g.wrap(a).ServeHTTP(w, req)
	var body ErrorBody
	_ = json.Unmarshal(w.Body.Bytes(), &body)
	return w.Code, body
}

// truncated is a body that breaks off.
type truncated struct{}

func (truncated) Read(p []byte) (int, error) { return copy(p, `{"account":`), io.ErrUnexpectedEOF }

// TestMalformedInput guards against input that is half understood: every malformed call is refused as not
// run, with a type, and reaches no service.
func TestMalformedInput(t *testing.T) {
	cases := []struct {
		name, method, target string
		body                 io.Reader
		want                 failure.Reason
	}{
		{"empty", "POST", "/v1/jobs", strings.NewReader(""), failure.Malformed},
		{"truncated JSON", "POST", "/v1/jobs", strings.NewReader(`{"account":"a"`), failure.Malformed},
		{"truncated body", "POST", "/v1/jobs", truncated{}, failure.Malformed},
		{"unknown key", "POST", "/v1/jobs", strings.NewReader(`{"acount":"a"}`), failure.Malformed},
		{"repeated key", "POST", "/v1/jobs", strings.NewReader(`{"tasks":1,"tasks":2}`), failure.Malformed},
		{"wrong type", "POST", "/v1/jobs", strings.NewReader(`{"tasks":"1"}`), failure.Malformed},
		{"two values", "POST", "/v1/jobs", strings.NewReader(`{} {}`), failure.Malformed},
		{"invalid UTF-8", "POST", "/v1/jobs", strings.NewReader("{\"account\":\"\xff\"}"), failure.Malformed},
		{"deep nesting", "POST", "/v1/jobs", strings.NewReader(strings.Repeat("[", 100)), failure.Malformed},
		{"oversized", "POST", "/v1/jobs", strings.NewReader(`{"account":"` + strings.Repeat("a", 256) + `"}`), failure.TooLarge},
		{"no change", "POST", "/v1/config", strings.NewReader(`{"expect":1,"change":{}}`), failure.Malformed},
		{"two changes", "POST", "/v1/config", strings.NewReader(`{"expect":1,"change":{"take_out":"a","bring_in":"b"}}`), failure.Malformed},
		{"no jobs", "POST", "/v1/jobs/cancel", strings.NewReader(`{"account":"a","jobs":[]}`), failure.Malformed},
		{"jobs of two domains", "POST", "/v1/jobs/cancel", strings.NewReader(`{"account":"a","jobs":["a/1","b/1"]}`), failure.Malformed},
		{"job without domain", "GET", "/v1/job?id=1", nil, failure.Malformed},
		{"no account", "GET", "/v1/account", nil, failure.Malformed},
		{"wrong method", "DELETE", "/v1/jobs", nil, failure.Malformed},
		{"unknown route", "GET", "/v2/jobs", nil, failure.NotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := &recorder{}
			status, body := serve(r, newGate(), httptest.NewRequest(c.method, c.target, c.body))
			g.Expect(status).To(gomega.Equal(c.want.HTTPStatus()))
			g.Expect(body.Code).To(gomega.Equal(c.want.Code()))
			g.Expect(body.Outcome).To(gomega.Equal(failure.NotRun))
			g.Expect(r.got).To(gomega.BeEmpty())
		})
	}
}

// TestErrorsOfTheKernel guards against an outcome that the kernel's error does not prove.
func TestErrorsOfTheKernel(t *testing.T) {
	for _, c := range []struct {
		body      string
		err       error
		reason    failure.Reason
		outcome   failure.Outcome
		elsewhere bool
	}{
		{`{}`, &kernel.MailboxFullError{}, failure.Overloaded, failure.NotRun, false},
		{`{}`, &kernel.StoppedError{}, failure.Draining, failure.NotRun, true},
		{`{"key":"k"}`, &kernel.StoppedError{}, failure.Draining, failure.Unknown, true},
		{`{}`, &kernel.UnansweredError{}, failure.Internal, failure.Unknown, false},
		{`{}`, context.DeadlineExceeded, failure.DeadlineExceeded, failure.Unknown, false},
	} {
		_, body := serve(&recorder{err: c.err}, newGate(), httptest.NewRequest("POST", "/v1/jobs", strings.NewReader(c.body)))
		want := ErrorBody{Code: c.reason.Code(), Outcome: c.outcome, RetryElsewhere: c.elsewhere, Detail: body.Detail}
		gomega.NewWithT(t).Expect(body).To(gomega.Equal(want))
	}
}

// TestClosedGate guards against new work that enters a draining VM, against a refusal that tells of work as not run
// although an earlier call under the same ticket or key may have run it, and against callers that cannot ask for
// the outcome of their work meanwhile.
func TestClosedGate(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &recorder{reply: message.AccountReply{Account: "a"}}
	closed := newGate()
	closed.close()
	for _, c := range []struct {
		path, body string
		want       failure.Outcome
	}{
		{"/v1/requests", `{"ticket":"a:1.0:7","account":"a","service":"s","fresh":true}`, failure.NotRun},
		{"/v1/requests", `{"ticket":"a:1.0:7","account":"a","service":"s"}`, failure.Unknown},
		{"/v1/requests", `{"key":"k","account":"a","service":"s"}`, failure.Unknown},
		{"/v1/jobs", `{"account":"a","tasks":1}`, failure.NotRun},
		{"/v1/jobs", `{"account":"a","tasks":1,"key":"k"}`, failure.Unknown},
		{"/v1/tickets", `{}`, failure.NotRun},
	} {
		status, body := serve(r, closed, httptest.NewRequest("POST", c.path, strings.NewReader(c.body)))
		g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(body).To(gomega.Equal(ErrorBody{
			Code: "draining", Outcome: c.want, RetryElsewhere: true, Detail: "this VM is shutting down",
		}), c.body)
	}
	g.Expect(r.got).To(gomega.BeEmpty())
	status, _ := serve(r, closed, httptest.NewRequest("GET", "/v1/account?account=a", nil))
	g.Expect(status).To(gomega.Equal(http.StatusOK))
}

// TestTLS guards against a certificate in the settings that the listener does not use.
func TestTLS(t *testing.T) {
	g := gomega.NewWithT(t)
	// The test server lends its certificate and a client that trusts it.
	lender := httptest.NewTLSServer(nil)
	defer lender.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	spec := New(model.Member{VM: "v1", Domain: "a"}, l, Options{TLS: &lender.TLS.Certificates[0]}, metrics.New()).Spec()
	spec.After = nil
	k, err := kernel.New(nil, spec)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stop, err := k.Start()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := lender.Client().Get("https://" + l.Addr().String() + "/v1/status")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	resp, err = http.Get("http://" + l.Addr().String() + "/v1/status")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadRequest), "plain HTTP on a TLS listener")
	g.Expect(stop(nil)).To(gomega.Succeed())
}

// holders stands for the holders of several failure domains.
type holders map[model.JobID]model.Job

func (h holders) Call(_ context.Context, _ kernel.Name, m kernel.Message) (kernel.Message, error) {
	f := m.(message.Forward)
	switch b := f.Body.(type) {
	case message.JobStatus:
		j, known := h[b.Job]
		if !known || b.Job.Domain() != f.Domain {
			return nil, failure.New(failure.NotFound, "%s", b.Job)
		}
		return message.JobReply{Job: j}, nil
	case message.JobCancel:
		var out message.JobsReply
		for _, id := range b.Jobs {
			j, known := h[id]
			if !known {
				return nil, failure.New(failure.HomeUnreachable, "%s", id)
			}
			out.Jobs = append(out.Jobs, j)
		}
		return out, nil
	}
	return nil, failure.New(failure.Internal, "%T", f.Body)
}

// TestMovedJobsAreFollowed guards against a caller that no longer finds, or cannot cancel, a job that has moved, against
// a cancellation that is reported as not run although a part of it took effect, and against a circle of moves.
func TestMovedJobsAreFollowed(t *testing.T) {
	g := gomega.NewWithT(t)
	moved := func(id, to model.JobID) model.Job { return model.Job{ID: id, State: model.JobMoved, MovedTo: to} }
	h := holders{
		"a/1": moved("a/1", "b/1"), "b/1": moved("b/1", "c/1"), "c/1": {ID: "c/1", State: model.JobRunning},
		"a/2": {ID: "a/2", State: model.JobCancelled}, "a/3": moved("a/3", "b/3"),
		"a/4": moved("a/4", "b/4"), "b/4": moved("b/4", "a/4"),
	}
	a := &api{caller: h, domain: "a", metrics: metrics.New(), maxBody: 256}
	ask := func(method, target, body string, out any) int {
		w := httptest.NewRecorder()
		newGate().wrap(a).ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
		g.Expect(json.Unmarshal(w.Body.Bytes(), out)).To(gomega.Succeed())
		return w.Code
	}
	for id, last := range map[string]model.JobID{"a/1": "c/1", "a/2": "a/2", "a/3": "a/3", "a/4": "b/4"} {
		var j model.Job
		g.Expect(ask("GET", "/v1/job?id="+id, "", &j)).To(gomega.Equal(http.StatusOK))
		g.Expect(j.ID).To(gomega.Equal(last))
	}
	var jobs []model.Job
	g.Expect(ask("POST", "/v1/jobs/cancel", `{"account":"x","jobs":["a/1","a/2"]}`, &jobs)).To(gomega.Equal(http.StatusOK))
	g.Expect(jobs).To(gomega.ConsistOf(h["a/2"], h["c/1"]))
	var e ErrorBody
	ask("POST", "/v1/jobs/cancel", `{"account":"x","jobs":["a/2","a/3"]}`, &e)
	g.Expect(e.Outcome).To(gomega.Equal(failure.Unknown))
}
