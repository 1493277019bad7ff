package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
)

const (
	// callMargin is added to the time that the server may take for a call.
	callMargin = 5 * time.Second
	// defaultCallTime is the time that the server takes at most for a call without its own time-out.
	defaultCallTime = 10 * time.Second
	// maxAnswer is the largest accepted answer in bytes.
	maxAnswer = 64 << 20
)

// client calls the entry VMs.
type client struct {
	servers []string
	http    *http.Client
}

func newClient(servers []string) *client {
	c := &client{http: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for _, s := range servers {
		if !strings.Contains(s, "://") {
			s = "http://" + s
		}
		c.servers = append(c.servers, strings.TrimSuffix(s, "/"))
	}
	return c
}

func (c *client) get(path string, out any) error {
	return c.call(http.MethodGet, path, nil, out, defaultCallTime)
}

func (c *client) post(path string, in, out any) error {
	return c.call(http.MethodPost, path, in, out, defaultCallTime)
}

// call tries the servers in turn while the call certainly did not run. It returns a *failure.Error or a
// *transportError.
func (c *client) call(method, path string, in, out any, timeout time.Duration) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode the call")
	}
	c.http.Timeout = timeout + callMargin
	var last error
	for _, server := range c.servers {
		last = c.callOne(server, method, path, body, out)
		if last == nil || !mayTryNext(last) {
			return last
		}
	}
	return last
}

// mayTryNext reports whether another server may get the same call.
func mayTryNext(err error) bool {
	var e *failure.Error
	var t *transportError
	switch {
	case errors.As(err, &e):
		return e.Outcome == failure.NotRun && e.RetryElsewhere
	case errors.As(err, &t):
		return t.outcome == failure.NotRun
	default:
		return false
	}
}

func (c *client) callOne(server, method, path string, body []byte, out any) error {
	var reader io.Reader
	if method != http.MethodGet {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequest(method, server+path, reader)
	if err != nil {
		return &usageError{err.Error()}
	}
	// Without GetBody the transport does not send a call a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return &transportError{server: server, outcome: sentOutcome(err), cause: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return &transportError{server: server, outcome: failure.Unknown, cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return decodeFailure(server, resp.Status, text)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return &transportError{server: server, outcome: failure.Unknown, cause: err}
	}
	return nil
}

// sentOutcome returns NotRun if the connection was refused, because then no byte was sent.
func sentOutcome(err error) failure.Outcome {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return failure.NotRun
	}
	return failure.Unknown
}

func decodeFailure(server, status string, text []byte) error {
	var b httpapi.ErrorBody
	err := json.Unmarshal(text, &b)
	reason, known := failure.ReasonOf(b.Code)
	if err != nil || !known {
		cause := errors.Newf("status %s without a failure of a known type", status)
		return &transportError{server: server, outcome: failure.Unknown, cause: cause}
	}
	return &failure.Error{Reason: reason, Outcome: b.Outcome, Detail: b.Detail, RetryElsewhere: b.RetryElsewhere}
}
