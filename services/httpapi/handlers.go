package httpapi

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// defaultTimeout is the time that a call waits if the caller sets none.
const defaultTimeout = 10 * time.Second

// api translates HTTP calls to messages.
type api struct {
	caller  kernel.Caller
	domain  model.FailureDomain
	metrics *metrics.Set
	gate    *gate
	// maxBody is the largest accepted body in bytes.
	maxBody int64
}

// ErrorBody is the body of every failed call.
type ErrorBody struct {
	Code           string          `json:"code"`
	Outcome        failure.Outcome `json:"outcome"`
	Detail         string          `json:"detail,omitempty"`
	RetryElsewhere bool            `json:"retry_elsewhere,omitempty"`
}

func (a *api) domainOr(d string) model.FailureDomain {
	if d == "" {
		return a.domain
	}
	return model.FailureDomain(d)
}

// forward sends a message to the holder of a failure domain and answers the call if that fails.
func forward[T kernel.Message](a *api, w http.ResponseWriter, r *http.Request, f message.Forward, timeout time.Duration) (T, bool) {
	c := newCall(r, timeout)
	defer c.cancel()
	reply, err := ask[T](a, c, f)
	if err != nil {
		a.fail(w, message.DeliveryFailure(f.Body, err))
		return reply, false
	}
	return reply, true
}

// refuse counts a refusal and answers the call with it.
func (a *api) refuse(w http.ResponseWriter, reason failure.Reason, format string, args ...any) {
	a.fail(w, a.metrics.CountRefusal(failure.New(reason, format, args...)))
}

func (a *api) noRoute(w http.ResponseWriter, r *http.Request) {
	a.refuse(w, failure.NotFound, "no route %s", r.URL.Path)
}

func (a *api) wrongMethod(w http.ResponseWriter, r *http.Request) {
	a.refuse(w, failure.Malformed, "%s is not permitted for %s", r.Method, r.URL.Path)
}

// read decodes a body and answers the call if the body is malformed or too large.
func (a *api) read(w http.ResponseWriter, r *http.Request, out any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a.refuse(w, failure.TooLarge, "the body exceeds %d bytes", a.maxBody)
		return false
	}
	if err == nil {
		err = decodeStrict(body, out)
	}
	if err != nil {
		a.refuse(w, failure.Malformed, "%v", err)
		return false
	}
	return true
}

func (a *api) fail(w http.ResponseWriter, e *failure.Error) {
	write(w, e.Reason.HTTPStatus(), ErrorBody{
		Code: e.Reason.Code(), Outcome: e.Outcome, Detail: e.Detail, RetryElsewhere: e.RetryElsewhere,
	})
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
