// Package host runs one stand-in: a kernel service that owns the state and an HTTP listener in front of it.
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
	// maxBody is the largest accepted body in bytes.
	maxBody = 4 << 20
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 5 * time.Second
	// nameState is the service that owns the state, nameListener the one that owns the listener.
	nameState    kernel.Name = "state"
	nameListener kernel.Name = "listener"
)

// StatusError is an answer with a status other than 200. Body is encoded as JSON.
type StatusError struct {
	Status int
	Body   any
}

func (e *StatusError) Error() string { return http.StatusText(e.Status) }

// AbortError closes the connection without an answer, as if the answer were lost.
type AbortError struct{}

func (*AbortError) Error() string { return "answer withheld" }

// RawAnswer is an answer that is written as it is and then, if Truncate is set, cut off.
type RawAnswer struct {
	Body     []byte
	Truncate bool
}

// Kind implements kernel.Message.
func (RawAnswer) Kind() string { return "raw_answer" }

// Route maps a path to the message that its header and body decode to.
type Route struct {
	Path   string
	Decode func(header http.Header, body []byte) (kernel.Message, error)
	// Encode writes an answer that is not an error; nil writes JSON.
	Encode func(w http.ResponseWriter, answer kernel.Message)
}

// JSON returns a route whose body is the JSON form of T, wrapped into a message.
func JSON[T any](path string, wrap func(T) kernel.Message) Route {
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

// Run serves the routes with a service until ctx ends. It takes over the listener.
func Run(ctx context.Context, l net.Listener, s kernel.Service, routes ...Route) error {
	k, err := kernel.New(nil,
		kernel.Spec{Name: nameState, Service: s},
		kernel.Spec{Name: nameListener, Service: &listener{socket: l, routes: routes}, After: []kernel.Name{nameState}},
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
func (s *listener) Drain(c *kernel.Context) { c.Drained() }

func serve(caller kernel.Caller, r Route, w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
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
		refuse(w, err)
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

func refuse(w http.ResponseWriter, err error) {
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
