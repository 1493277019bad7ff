package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/front"
)

const (
	// defaultDeadline bounds calls whose client names no deadline.
	defaultDeadline = 3 * time.Second
	// readyTimeout bounds a readiness check.
	readyTimeout = 500 * time.Millisecond
	// maxBody is the largest accepted body in bytes; the largest job of the platform's clients is far smaller.
	maxBody = 512 << 10
	// retryAfterMax spreads the clients that are told to come back, in seconds.
	retryAfterMax = 3
)

// handler serves HTTP calls by messages to the intake. It keeps no state.
type handler struct {
	caller  kernel.Caller
	metrics *metrics.Set
}

// routes returns the handler of client calls. Queues have any host and path.
func (h *handler) routes() http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath, r.HandleMethodNotAllowed = false, false, false
	r.POST("/*path", h.submit)
	r.GET("/*path", h.read)
	r.DELETE("/*path", h.cancel)
	return r
}

func (h *handler) ready(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), readyTimeout)
	defer cancel()
	a, err := kernel.Call[readyAnswer](ctx, h.caller, names.Gateway, readyQuery{})
	if err != nil || !a.ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func call(r *http.Request) message.ClientCall {
	d, ok := front.Deadline(r.Header)
	if !ok {
		d = defaultDeadline
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return message.ClientCall{Host: host, Path: r.URL.Path, Key: front.Key(r.Header), Deadline: time.Now().Add(d)}
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	m := message.SubmitCall{ClientCall: call(r)}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		h.fail(w, h.metrics.Refusal(failure.New(failure.TooLarge, "body over %d bytes", maxBody)))
		return
	case err != nil:
		h.fail(w, h.metrics.Refusal(failure.New(failure.Malformed, "%v", err)))
		return
	}
	if m.Job, err = front.DecodeJob(body); err != nil {
		m.Invalid = err.Error()
	}
	h.serve(w, m.Deadline, m)
}

func (h *handler) read(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	m := message.ReadCall{ClientCall: call(r)}
	h.serve(w, m.Deadline, m)
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	m := message.CancelCall{ClientCall: call(r)}
	h.serve(w, m.Deadline, m)
}

// serve answers a call. It does not end with the client's connection: what has been handed to the intake goes on.
func (h *handler) serve(w http.ResponseWriter, deadline time.Time, m kernel.Message) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	began := time.Now()
	answer, err := h.caller.Call(ctx, names.Intake, m)
	h.metrics.Latency("call_"+strings.TrimSuffix(m.Kind(), "_call"), time.Since(began))
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			err = h.metrics.Refusal(failure.New(failure.DeadlineExceeded, "no answer in time"))
		}
		h.fail(w, failure.From(err))
		return
	}
	switch a := answer.(type) {
	case message.StateReply:
		write(w, http.StatusOK, front.EncodeState(a.State))
	case message.WaitingReply:
		write(w, http.StatusOK, front.EncodeWaiting(a.Waiting))
	default:
		write(w, http.StatusOK, []byte("{}"))
	}
}

// fail answers with a refusal. One that says that nothing ran tells the client when to come back.
func (h *handler) fail(w http.ResponseWriter, f *failure.Error) {
	status := f.Reason.HTTPStatus()
	if status == http.StatusServiceUnavailable && f.Outcome != failure.NotRun {
		// 503 says that the job never runs.
		status = http.StatusGatewayTimeout
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(1+rand.IntN(retryAfterMax)))
	}
	write(w, status, front.EncodeError(f.Reason.Code()))
}

func write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A client that has gone does not need the answer.
	_, _ = w.Write(body)
}
