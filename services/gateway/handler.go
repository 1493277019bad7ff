package gateway

import (
	"context"
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
	"github.com/verbenaflow/verbenaflow/decisions/retryafter"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/front"
	"github.com/verbenaflow/verbenaflow/platform/listener"
)

const (
	// defaultTimeout bounds calls without a deadline header.
	defaultTimeout = 3 * time.Second
	// readyTimeout bounds a readiness check.
	readyTimeout = 500 * time.Millisecond
)

// handler translates HTTP calls to messages for the intake. It is stateless.
type handler struct {
	caller  kernel.Caller
	metrics *metrics.Set
	limits  listener.Limits
}

// routes returns the handler of client calls. It accepts any path, because the configuration maps paths to queues.
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

func clientCall(r *http.Request) message.ClientCall {
	d, ok := front.ClientTimeout(r.Header)
	if !ok {
		d = defaultTimeout
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return message.ClientCall{Host: host, Path: r.URL.Path, Key: front.APIKey(r.Header), Deadline: time.Now().Add(min(d, listener.MaxCallTime))}
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	m := message.SubmitCall{ClientCall: clientCall(r)}
	body, f := h.limits.Body(w, r, front.MaxBodyBytes)
	if f != nil {
		h.fail(w, h.metrics.CountRefusal(f))
		return
	}
	var err error
	if m.Job, err = front.DecodeJob(body); err != nil {
		m.Invalid = err.Error()
	}
	h.serve(w, m.Deadline, m)
}

func (h *handler) read(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	m := message.ReadCall{ClientCall: clientCall(r)}
	h.serve(w, m.Deadline, m)
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	m := message.CancelCall{ClientCall: clientCall(r)}
	h.serve(w, m.Deadline, m)
}

// serve answers a call. It ignores the loss of the client's connection, so that the intake completes what it has begun.
func (h *handler) serve(w http.ResponseWriter, deadline time.Time, m kernel.Message) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	start := time.Now()
	reply, err := h.caller.Call(ctx, names.Intake, m)
	h.metrics.RecordLatency("call_"+strings.TrimSuffix(m.Kind(), "_call"), time.Since(start))
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			err = h.metrics.CountRefusal(failure.New(failure.DeadlineExceeded, "no answer in time"))
		}
		h.fail(w, failure.FromDelivery(err))
		return
	}
	switch reply := reply.(type) {
	case message.StateReply:
		write(w, http.StatusOK, front.EncodeState(reply.State))
	case message.WaitingReply:
		write(w, http.StatusOK, front.EncodeQueueLength(reply.Waiting))
	default:
		write(w, http.StatusOK, []byte("{}"))
	}
}

// fail answers with a failure. With status 503 or 429, the Retry-After header tells the client when to retry.
func (h *handler) fail(w http.ResponseWriter, f *failure.Error) {
	status := f.Reason.HTTPStatus()
	if status == http.StatusServiceUnavailable && f.Outcome != failure.NotRun {
		// Status 503 promises that the job does not run.
		status = http.StatusGatewayTimeout
	}
	if status == http.StatusInternalServerError {
		// Clients repeat a call after a gateway timeout, and the outcome of this one is unknown.
		status = http.StatusGatewayTimeout
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(retryafter.Seconds(retryafter.Delay(retryCause(f.Reason), rand.Float64()))))
	}
	detail := ""
	if f.Reason == failure.Malformed || f.Reason == failure.TooLarge || f.Reason == failure.BacklogFull {
		// The client can change the call, or its other jobs, if it knows the limit.
		detail = f.Detail
	}
	write(w, status, front.EncodeError(f.Reason.Code(), detail))
}

func write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// An error means that the client has disconnected and does not need the response.
	_, _ = w.Write(body)
}

// retryCause returns the cause of a refusal that determines when its caller may return.
func retryCause(r failure.Reason) retryafter.Cause {
	switch r {
	case failure.Draining:
		return retryafter.Stopping
	case failure.Overloaded, failure.QueueFull:
		return retryafter.NoRoom
	case failure.RateLimited:
		return retryafter.RateExceeded
	case failure.ConfigUnavailable:
		return retryafter.NoConfiguration
	case failure.StoreUnavailable:
		return retryafter.StoreAway
	case failure.NoHolder, failure.NotHolder:
		return retryafter.NoHolder
	case failure.BacklogFull:
		return retryafter.BacklogFull
	case failure.AccountLimit:
		return retryafter.BeyondLimit
	default:
		return retryafter.Other
	}
}
