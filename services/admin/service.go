// Package admin is the service that serves metrics and health checks over HTTP.
package admin

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/listener"
)

const (
	// answerTime bounds the time in which a client takes the metrics, which are some tens of kilobytes.
	answerTime = 5 * time.Second
	// idleTime is the time after which a connection without requests is closed. Metrics are usually read every 10 to 60 s.
	idleTime = 90 * time.Second
	// readinessTimeout bounds a readiness check.
	readinessTimeout = time.Second
)

type (
	readinessQuery struct{}
	readinessReply struct{ notReadyReason string }
)

// Kind implements kernel.Message.
func (readinessQuery) Kind() string { return "admin_ready_get" }

// Kind implements kernel.Message.
func (readinessReply) Kind() string { return "admin_ready_reply" }

// Service owns the HTTP listener for metrics and health checks.
type Service struct {
	listener   net.Listener
	metrics    *metrics.Set
	configured bool
	draining   bool
}

// New returns the service. It takes ownership of the listener.
func New(l net.Listener, m *metrics.Set) *Service { return &Service{listener: l, metrics: m} }

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Admin, Service: s, DependsOn: []kernel.Name{names.Admission},
		Subscriptions: []string{message.KindConfigChanged, message.KindDrainStarted},
	}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	caller := c.Caller()
	limits := listener.DefaultLimits()
	limits.AnswerTime, limits.IdleTime = answerTime, idleTime
	server := listener.NewServer(s.routes(caller), limits)
	guarded := listener.New(s.listener, names.Admin, func(ctx context.Context, m listener.Message) error {
		_, err := caller.Call(ctx, names.Admission, m)
		return err
	})
	c.Spawn(func(ctx context.Context) kernel.Message {
		stop := context.AfterFunc(ctx, func() { server.Close() })
		defer stop()
		_ = server.Serve(guarded)
		return nil
	})
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.CompleteDrain() }

// Recover implements kernel.Recoverer. It does not recover a listener that has ended.
func (s *Service) Recover(_ *kernel.Context, p *kernel.PanicError) bool { return !p.Task }

// Handle implements kernel.Service.
func (s *Service) Handle(_ *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.ConfigChanged:
		s.configured = m.Config.Version > 0
	case message.DrainStarted:
		s.draining = true
	case readinessQuery:
		e.Reply(readinessReply{notReadyReason: s.notReadyReason()})
	}
}

// notReadyReason returns the reason why the VM is not ready, or "" if it is ready.
func (s *Service) notReadyReason() string {
	switch {
	case s.draining:
		return "draining"
	case !s.configured:
		return "no configuration"
	default:
		return ""
	}
}

func (s *Service) routes(caller kernel.Caller) http.Handler {
	r := httprouter.New()
	r.GET("/debug/vars", s.showVars)
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = w.Write([]byte("ok\n"))
	})
	r.GET("/readyz", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		ctx, cancel := context.WithTimeout(r.Context(), readinessTimeout)
		defer cancel()
		reply, err := kernel.Call[readinessReply](ctx, caller, names.Admin, readinessQuery{})
		switch {
		case err != nil:
			http.Error(w, "not ready: "+err.Error(), http.StatusServiceUnavailable)
		case reply.notReadyReason != "":
			http.Error(w, "not ready: "+reply.notReadyReason, http.StatusServiceUnavailable)
		default:
			_, _ = w.Write([]byte("ready\n"))
		}
	})
	return r
}

// showVars writes the metrics of this daemon and the expvar variables of the process (cmdline, memstats) as one JSON
// object.
func (s *Service) showVars(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	// The variables are locked while they are listed, so that a client that does not read must not delay it.
	var text bytes.Buffer
	separator := "{\n"
	writeVar := func(kv expvar.KeyValue) {
		fmt.Fprintf(&text, "%s%q: %s", separator, kv.Key, kv.Value)
		separator = ",\n"
	}
	if counters, ok := s.metrics.Var().(*expvar.Map); ok {
		counters.Do(writeVar)
	}
	expvar.Do(writeVar)
	text.WriteString("\n}\n")
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text.Bytes())
}
