package httpapi

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/listener"
)

// defaultTimeout bounds a call for which the client sets no timeout.
const defaultTimeout = 10 * time.Second

// api translates HTTP calls into messages to the services of this VM.
type api struct {
	caller  kernel.Caller
	domain  model.FailureDomain
	metrics *metrics.Set
	gate    *gate
	// maxBodyBytes is the size limit of a request body.
	maxBodyBytes int64
	limits       listener.Limits
}

// ErrorResponse is the response body of every failed call.
type ErrorResponse struct {
	Code           string          `json:"code"`
	Outcome        failure.Outcome `json:"outcome"`
	Detail         string          `json:"detail,omitempty"`
	RetryElsewhere bool            `json:"retry_elsewhere,omitempty"`
}

// domainOrDefault returns the failure domain d, or that of this VM if d is empty.
func (a *api) domainOrDefault(d string) model.FailureDomain {
	if d == "" {
		return a.domain
	}
	return model.FailureDomain(d)
}

// forward sends a message to the holder of a failure domain and returns the reply. On failure it writes the error
// response and returns false.
func forward[T kernel.Message](a *api, w http.ResponseWriter, r *http.Request, f message.Forward, timeout time.Duration) (T, bool) {
	c := newCallContext(r, timeout)
	defer c.cancel()
	reply, err := callHolder[T](a, c, f)
	if err != nil {
		a.writeFailure(w, message.DeliveryFailure(f.Body, err))
		return reply, false
	}
	return reply, true
}

// refuse counts a refusal and writes it as the error response.
func (a *api) refuse(w http.ResponseWriter, reason failure.Reason, format string, args ...any) {
	a.writeFailure(w, a.metrics.CountRefusal(failure.New(reason, format, args...)))
}

func (a *api) handleNotFound(w http.ResponseWriter, r *http.Request) {
	a.refuse(w, failure.NotFound, "no route %s", r.URL.Path)
}

func (a *api) handleMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	a.refuse(w, failure.Malformed, "%s is not permitted for %s", r.Method, r.URL.Path)
}

// decodeBody decodes the request body into out. If the body is malformed or too large, it writes the error response and
// returns false.
func (a *api) decodeBody(w http.ResponseWriter, r *http.Request, out any) bool {
	body, f := a.limits.Body(w, r, a.maxBodyBytes)
	if f != nil {
		a.writeFailure(w, a.metrics.CountRefusal(f))
		return false
	}
	err := decodeStrict(body, out)
	if err != nil {
		a.refuse(w, failure.Malformed, "%v", err)
		return false
	}
	return true
}

func (a *api) writeFailure(w http.ResponseWriter, e *failure.Error) {
	writeJSON(w, e.Reason.HTTPStatus(), ErrorResponse{
		Code: e.Reason.Code(), Outcome: e.Outcome, Detail: e.Detail, RetryElsewhere: e.RetryElsewhere,
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
