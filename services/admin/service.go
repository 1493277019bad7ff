// Package admin is the service that serves counters and health to operators.
package admin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// headerTimeout bounds the arrival of a request's header.
const headerTimeout = 5 * time.Second

// Service owns the admin listener.
type Service struct {
	listener net.Listener
	metrics  *metrics.Set
}

// New returns the service. It takes over the listener.
func New(l net.Listener, m *metrics.Set) *Service { return &Service{listener: l, metrics: m} }

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec { return kernel.Spec{Name: names.Admin, Service: s} }

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	server := &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout}
	listener := s.listener
	c.Spawn(func(ctx context.Context) kernel.Message {
		stop := context.AfterFunc(ctx, func() { server.Close() })
		defer stop()
		_ = server.Serve(listener)
		return nil
	})
	return nil
}

func (s *Service) routes() http.Handler {
	r := httprouter.New()
	r.GET("/debug/vars", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(s.metrics.Var().String()))
	})
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = w.Write([]byte("ok\n"))
	})
	return r
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(*kernel.Context, kernel.Envelope) {}
