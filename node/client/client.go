// Package client calls the HTTP interface of the entry VMs.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
)

const (
	// callMargin is the time that the client waits beyond the timeout of the server.
	callMargin = 5 * time.Second
	// defaultCallTimeout is the longest time that the server takes for a call that does not set its own timeout.
	defaultCallTimeout = 10 * time.Second
	// maxResponseBytes is the largest accepted response body.
	maxResponseBytes = 64 << 20
)

// TransportError reports a call without a complete and valid response.
type TransportError struct {
	Server string
	// Outcome is NotRun if no byte of the request was sent, Unknown otherwise.
	Outcome failure.Outcome
	Cause   error
}

func (e *TransportError) Error() string { return e.Server + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// UntypedStatusError reports an error response that contains no known failure code, for example because it comes from
// another kind of server.
type UntypedStatusError struct{ Status string }

func (e *UntypedStatusError) Error() string {
	return "status " + e.Status + " without a failure of a known type"
}

// Client calls the entry VMs. It is safe for concurrent use.
type Client struct {
	servers []string
	http    *http.Client
}

// New returns a client of the entry VMs at servers, each "IP:port" or a URL. It keeps at most conns idle connections to
// each; 0 means the default of net/http.
func New(conns int, servers ...string) *Client {
	c := &Client{http: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: conns},
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

// Get reads a path and decodes the JSON response into out. Its errors are those of Call.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.Call(ctx, http.MethodGet, path, nil, out, defaultCallTimeout)
}

// Post sends in as JSON and decodes the JSON response into out. Its errors are those of Call.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	return c.Call(ctx, http.MethodPost, path, in, out, defaultCallTimeout)
}

// Call sends a call to the servers in order. It tries the next one only if the call certainly did not run: if the
// connection was refused, or if the server refused the call with the outcome NotRun and permits a retry elsewhere.
// timeout is the time that a server may take; timeout plus callMargin bounds the calls to all servers together.
// Call returns a *failure.Error or a *TransportError.
func (c *Client) Call(ctx context.Context, method, path string, in, out any, timeout time.Duration) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode the call")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+callMargin)
	defer cancel()
	var last error
	for _, server := range c.servers {
		last = c.callServer(ctx, server, method, path, body, out)
		if last == nil || !mayFailOver(last) {
			return last
		}
	}
	return last
}

// mayFailOver reports whether the same call may be sent to another server.
func mayFailOver(err error) bool {
	var e *failure.Error
	var t *TransportError
	switch {
	case errors.As(err, &e):
		return e.Outcome == failure.NotRun && e.RetryElsewhere
	case errors.As(err, &t):
		return t.Outcome == failure.NotRun
	default:
		return false
	}
}

func (c *Client) callServer(ctx context.Context, server, method, path string, body []byte, out any) error {
	var reader io.Reader
	if method != http.MethodGet {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, server+path, reader)
	if err != nil {
		return &TransportError{Server: server, Outcome: failure.NotRun, Cause: err}
	}
	// Without GetBody the transport cannot retry a request on a new connection, which could run the call twice.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return &TransportError{Server: server, Outcome: transportOutcome(err), Cause: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &TransportError{Server: server, Outcome: failure.Unknown, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return decodeFailure(server, resp.Status, text)
	}
	// Reset out, so that fields that the response omits do not keep the values of an earlier response.
	if v := reflect.ValueOf(out); v.Kind() == reflect.Pointer && !v.IsNil() {
		v.Elem().SetZero()
	}
	if err := json.Unmarshal(text, out); err != nil {
		return &TransportError{Server: server, Outcome: failure.Unknown, Cause: err}
	}
	return nil
}

// transportOutcome returns NotRun if the connection was refused, because then no byte was sent, and Unknown otherwise.
func transportOutcome(err error) failure.Outcome {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return failure.NotRun
	}
	return failure.Unknown
}

func decodeFailure(server, status string, text []byte) error {
	var b httpapi.ErrorResponse
	err := json.Unmarshal(text, &b)
	reason, known := failure.ReasonOf(b.Code)
	if err != nil || !known {
		return &TransportError{Server: server, Outcome: failure.Unknown, Cause: &UntypedStatusError{status}}
	}
	return &failure.Error{Reason: reason, Outcome: b.Outcome, Detail: b.Detail, RetryElsewhere: b.RetryElsewhere}
}
