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
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// fakeCaller records the messages to the other services and answers each with the same reply or error.
type fakeCaller struct {
	received []kernel.Message
	reply    kernel.Message
	err      error
}

func (r *fakeCaller) Call(_ context.Context, _ kernel.Name, m kernel.Message) (kernel.Message, error) {
	r.received = append(r.received, m)
	return r.reply, r.err
}

// serve passes a call to an API with the given caller and gate and returns the status and the error body of the
// response.
func serve(r *fakeCaller, g *gate, req *http.Request) (int, ErrorResponse) {
	a := &api{caller: r, domain: "a", metrics: metrics.New(), gate: g, maxBodyBytes: 256}
	w := httptest.NewRecorder()
	g.wrap(a).ServeHTTP(w, req)
	var body ErrorResponse
	_ = json.Unmarshal(w.Body.Bytes(), &body)
	return w.Code, body
}

// truncatedReader is a request body whose connection ends before the JSON value is complete.
type truncatedReader struct{}

func (truncatedReader) Read(p []byte) (int, error) {
	return copy(p, `{"account":`), io.ErrUnexpectedEOF
}

// TestMalformedInput guards against malformed input that is partly accepted. Every malformed call must be refused with
// an error code and the outcome not run, and must not send a message to any service.
func TestMalformedInput(t *testing.T) {
	cases := []struct {
		name, method, target string
		body                 io.Reader
		want                 failure.Reason
	}{
		{"empty", "POST", "/v1/jobs", strings.NewReader(""), failure.Malformed},
		{"truncated JSON", "POST", "/v1/jobs", strings.NewReader(`{"account":"a"`), failure.Malformed},
		{"truncated body", "POST", "/v1/jobs", truncatedReader{}, failure.Malformed},
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
			r := &fakeCaller{}
			status, body := serve(r, newGate(), httptest.NewRequest(c.method, c.target, c.body))
			g.Expect(status).To(gomega.Equal(c.want.HTTPStatus()))
			g.Expect(body.Code).To(gomega.Equal(c.want.Code()))
			g.Expect(body.Outcome).To(gomega.Equal(failure.NotRun))
			g.Expect(r.received).To(gomega.BeEmpty())
		})
	}
}

// TestErrorsOfTheKernel guards against error responses with an outcome that the error of the kernel does not prove,
// such as not run after a timeout.
func TestErrorsOfTheKernel(t *testing.T) {
	for _, c := range []struct {
		body           string
		err            error
		reason         failure.Reason
		outcome        failure.Outcome
		retryElsewhere bool
	}{
		{`{}`, &kernel.MailboxFullError{}, failure.Overloaded, failure.NotRun, false},
		{`{}`, &kernel.StoppedError{}, failure.Draining, failure.NotRun, true},
		{`{"key":"k"}`, &kernel.StoppedError{}, failure.Draining, failure.Unknown, true},
		{`{}`, &kernel.UnansweredError{}, failure.Internal, failure.Unknown, false},
		{`{}`, context.DeadlineExceeded, failure.DeadlineExceeded, failure.Unknown, false},
	} {
		_, body := serve(&fakeCaller{err: c.err}, newGate(), httptest.NewRequest("POST", "/v1/jobs", strings.NewReader(c.body)))
		want := ErrorResponse{Code: c.reason.Code(), Outcome: c.outcome, RetryElsewhere: c.retryElsewhere, Detail: body.Detail}
		gomega.NewWithT(t).Expect(body).To(gomega.Equal(want))
	}
}

// TestClosedGate guards against a draining VM that accepts new work, reports work as not run although an earlier call
// with the same ticket or key may have run it, or refuses reads, which clients need to query the outcome of their work.
func TestClosedGate(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &fakeCaller{reply: message.AccountReply{Account: "a"}}
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
		g.Expect(body).To(gomega.Equal(ErrorResponse{
			Code: "draining", Outcome: c.want, RetryElsewhere: true, Detail: "this VM is shutting down",
		}), c.body)
	}
	g.Expect(r.received).To(gomega.BeEmpty())
	status, _ := serve(r, closed, httptest.NewRequest("GET", "/v1/account?account=a", nil))
	g.Expect(status).To(gomega.Equal(http.StatusOK))
}

// fakeAdmission gives every connection a place and memory.
type fakeAdmission struct{}

func (fakeAdmission) Start(*kernel.Context) error                 { return nil }
func (fakeAdmission) Handle(_ *kernel.Context, e kernel.Envelope) { e.Reply(message.Done{}) }
func (fakeAdmission) Drain(c *kernel.Context)                     { c.CompleteDrain() }

// TestTLS guards against a listener that ignores the configured certificate and serves plain HTTP.
func TestTLS(t *testing.T) {
	g := gomega.NewWithT(t)
	// The test server provides a certificate and a client that trusts it.
	tlsServer := httptest.NewTLSServer(nil)
	defer tlsServer.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	spec := New(model.Member{VM: "v1", Domain: "a"}, l, Options{TLS: &tlsServer.TLS.Certificates[0]}, metrics.New()).Spec()
	spec.DependsOn = nil
	k, err := kernel.New(nil, spec, kernel.Spec{Name: names.Admission, Service: fakeAdmission{}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stop, err := k.Start()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := tlsServer.Client().Get("https://" + l.Addr().String() + "/v1/status")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	resp, err = http.Get("http://" + l.Addr().String() + "/v1/status")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadRequest), "plain HTTP on a TLS listener")
	g.Expect(stop(nil)).To(gomega.Succeed())
}

// fakeHolders answers status queries and cancellations in the place of the holders of several failure domains.
type fakeHolders map[model.JobID]model.Job

func (h fakeHolders) Call(_ context.Context, _ kernel.Name, m kernel.Message) (kernel.Message, error) {
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

// TestMovedJobsAreFollowed guards against jobs that can no longer be read or cancelled after they have moved to another
// failure domain, against a cancellation that is reported as not run although some jobs are cancelled, and against a
// cycle of moves that is followed forever.
func TestMovedJobsAreFollowed(t *testing.T) {
	g := gomega.NewWithT(t)
	moved := func(id, to model.JobID) model.Job { return model.Job{ID: id, State: model.JobMoved, MovedTo: to} }
	h := fakeHolders{
		"a/1": moved("a/1", "b/1"), "b/1": moved("b/1", "c/1"), "c/1": {ID: "c/1", State: model.JobRunning},
		"a/2": {ID: "a/2", State: model.JobCancelled}, "a/3": moved("a/3", "b/3"),
		"a/4": moved("a/4", "b/4"), "b/4": moved("b/4", "a/4"),
	}
	a := &api{caller: h, domain: "a", metrics: metrics.New(), maxBodyBytes: 256}
	send := func(method, target, body string, out any) int {
		w := httptest.NewRecorder()
		newGate().wrap(a).ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
		g.Expect(json.Unmarshal(w.Body.Bytes(), out)).To(gomega.Succeed())
		return w.Code
	}
	for id, last := range map[string]model.JobID{"a/1": "c/1", "a/2": "a/2", "a/3": "a/3", "a/4": "b/4"} {
		var j model.Job
		g.Expect(send("GET", "/v1/job?id="+id, "", &j)).To(gomega.Equal(http.StatusOK))
		g.Expect(j.ID).To(gomega.Equal(last))
	}
	var jobs []model.Job
	g.Expect(send("POST", "/v1/jobs/cancel", `{"account":"x","jobs":["a/1","a/2"]}`, &jobs)).To(gomega.Equal(http.StatusOK))
	g.Expect(jobs).To(gomega.ConsistOf(h["a/2"], h["c/1"]))
	var e ErrorResponse
	send("POST", "/v1/jobs/cancel", `{"account":"x","jobs":["a/2","a/3"]}`, &e)
	g.Expect(e.Outcome).To(gomega.Equal(failure.Unknown))
}
