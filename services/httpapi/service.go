// Package httpapi is the service that serves callers and operators over HTTP.
package httpapi

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 5 * time.Second
	// drainTimeout bounds the requests in progress at a graceful shutdown.
	drainTimeout = 30 * time.Second
)

type shutdownDone struct{}

// Kind implements kernel.Message.
func (shutdownDone) Kind() string { return "http_shutdown_done" }

// Service owns the listener for callers and operators.
type Service struct {
	domain   model.FailureDomain
	listener net.Listener
	metrics  *metrics.Set
	server   *http.Server
}

// New returns the service of a VM in a failure domain. It takes over the listener.
func New(d model.FailureDomain, l net.Listener, m *metrics.Set) *Service {
	return &Service{domain: d, listener: l, metrics: m}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.HTTP, Service: s, DrainTimeout: drainTimeout,
		After: []kernel.Name{names.Peers, names.Scheduler, names.Dispatch, names.Config, names.Membership, names.Authority},
	}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	a := &api{caller: c.Caller(), domain: s.domain, metrics: s.metrics}
	s.server = &http.Server{Handler: a.routes(), ReadHeaderTimeout: headerTimeout}
	server, listener := s.server, s.listener
	c.Spawn(func(ctx context.Context) kernel.Message {
		stop := context.AfterFunc(ctx, func() { server.Close() })
		defer stop()
		_ = server.Serve(listener)
		return nil
	})
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) {
	server := s.server
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
		return shutdownDone{}
	})
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	if _, ok := e.Body.(shutdownDone); ok {
		c.Drained()
	}
}

func (a *api) routes() http.Handler {
	r := httprouter.New()
	r.POST("/v1/jobs", a.submitJob)
	r.GET("/v1/jobs", a.listJobs)
	r.GET("/v1/job", a.showJob)
	r.POST("/v1/jobs/cancel", a.cancelJobs)
	r.POST("/v1/tickets", a.issueTickets)
	r.POST("/v1/requests", a.sendRequest)
	r.GET("/v1/request", a.showRequest)
	r.GET("/v1/config", a.showConfig)
	r.POST("/v1/config", a.changeConfig)
	return r
}
