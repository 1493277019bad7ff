// Package host runs a stand-in: a kernel service that owns the state and an HTTP server that passes requests to it.
package host

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// maxBodyBytes limits how much of a request body is read; the rest is discarded.
	maxBodyBytes = 4 << 20
	// headerTimeout limits how long reading a request's header may take.
	headerTimeout = 5 * time.Second
	// nameState is the service that owns the state, nameListener the one that owns the listener.
	nameState    kernel.Name = "state"
	nameListener kernel.Name = "listener"
)

// StatusError is a response with an HTTP status other than 200. Body is encoded as JSON.
type StatusError struct {
	Status int
	Body   any
}

func (e *StatusError) Error() string { return http.StatusText(e.Status) }

// AbortError closes the connection without a response, as if the response were lost.
type AbortError struct{}

func (*AbortError) Error() string { return "connection closed without a response" }

// RawAnswer is a response body that is written without JSON encoding. If Truncate is set, the connection is closed
// after Body, before the response is complete.
type RawAnswer struct {
	Body     []byte
	Truncate bool
}

// Kind implements kernel.Message.
func (RawAnswer) Kind() string { return "raw_answer" }

// Route maps a path to the message that the header and body of a request decode to.
type Route struct {
	Path   string
	Decode func(header http.Header, body []byte) (kernel.Message, error)
	// Encode writes the response of a call that succeeded. If it is nil, the answer is written as JSON, or as it is
	// if it is a RawAnswer.
	Encode func(w http.ResponseWriter, answer kernel.Message)
}

// JSONRoute returns a route that decodes the body as JSON into a T and converts it to a message with wrap. An empty
// body yields the zero value.
func JSONRoute[T any](path string, wrap func(T) kernel.Message) Route {
	return Route{Path: path, Decode: func(_ http.Header, body []byte) (kernel.Message, error) {
		var in T
		if len(body) > 0 {
			if err := json.Unmarshal(body, &in); err != nil {
				return nil, err
			}
		}
		return wrap(in), nil
	}}
}

// Run serves the routes with a service until ctx ends. It takes ownership of the listener.
func Run(ctx context.Context, l net.Listener, s kernel.Service, routes ...Route) error {
	k, err := kernel.New(nil,
		kernel.Spec{Name: nameState, Service: s},
		kernel.Spec{Name: nameListener, Service: &listener{socket: l, routes: routes}, DependsOn: []kernel.Name{nameState}},
	)
	if err != nil {
		return err
	}
	return k.Run(ctx)
}

// listener is the service that owns the socket.
type listener struct {
	socket net.Listener
	routes []Route
	server *http.Server
}

// Start implements kernel.Service.
func (s *listener) Start(c *kernel.Context) error {
	mux := http.NewServeMux()
	caller := c.Caller()
	for _, r := range s.routes {
		mux.HandleFunc(r.Path, func(w http.ResponseWriter, req *http.Request) { serve(caller, r, w, req) })
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, Protocols: protocols}
	server, socket := s.server, s.socket
	c.Spawn(func(ctx context.Context) kernel.Message {
		stop := context.AfterFunc(ctx, func() { server.Close() })
		defer stop()
		_ = server.Serve(socket)
		return nil
	})
	return nil
}

// Handle implements kernel.Service.
func (s *listener) Handle(*kernel.Context, kernel.Envelope) {}

// Drain implements kernel.Service.
func (s *listener) Drain(c *kernel.Context) { c.CompleteDrain() }

func serve(caller kernel.Caller, r Route, w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return
	}
	m, err := r.Decode(req.Header, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := caller.Call(req.Context(), nameState, m)
	if err != nil {
		writeError(w, err)
		return
	}
	if r.Encode != nil {
		r.Encode(w, answer)
		return
	}
	if raw, ok := answer.(RawAnswer); ok {
		writeRaw(w, raw)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func writeError(w http.ResponseWriter, err error) {
	var status *StatusError
	var abort *AbortError
	switch {
	case errors.As(err, &status):
		writeJSON(w, status.Status, status.Body)
	case errors.As(err, &abort):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeRaw(w http.ResponseWriter, raw RawAnswer) {
	_, _ = w.Write(raw.Body)
	if raw.Truncate {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
