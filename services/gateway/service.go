// Package gateway is the service that serves client calls and the platform's readiness checks over HTTP.
package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/front"
	"github.com/verbenaflow/verbenaflow/platform/listener"
)

// Settings configures the service.
type Settings struct {
	VM string
	// LameDuck is how long new connections are still accepted after a shutdown has begun, while the readiness check fails.
	// It gives the platform time to notice and to route clients elsewhere.
	LameDuck time.Duration
	// DrainTimeout bounds the calls that are still in progress after LameDuck.
	DrainTimeout time.Duration
	// Limits are the times that clients have.
	Limits listener.Limits
}

type (
	readyQuery    struct{}
	readyAnswer   struct{ ready bool }
	lameDuckEnded struct{}
	shutdownDone  struct{}
)

// Kind implements kernel.Message.
func (readyQuery) Kind() string { return "gateway_ready_query" }

// Kind implements kernel.Message.
func (readyAnswer) Kind() string { return "gateway_ready_answer" }

// Kind implements kernel.Message.
func (lameDuckEnded) Kind() string { return "gateway_lame_duck_ended" }

// Kind implements kernel.Message.
func (shutdownDone) Kind() string { return "gateway_closed" }

// Service owns the listeners for client calls and for readiness checks.
type Service struct {
	settings      Settings
	frontListener net.Listener
	readyListener net.Listener
	metrics       *metrics.Set
	server        *http.Server

	configured, reachable, draining bool
}

// New returns the service. It takes over the listeners.
func New(s Settings, frontListener, readyListener net.Listener, m *metrics.Set) *Service {
	return &Service{settings: s, frontListener: frontListener, readyListener: readyListener, metrics: m}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Gateway, Service: s, DependsOn: []kernel.Name{names.Intake, names.Admission},
		Subscriptions: []string{message.KindCatalogChanged, message.KindStoreReachability},
		DrainTimeout:  s.settings.LameDuck + s.settings.DrainTimeout + time.Second,
	}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	caller := c.Caller()
	admission := func(ctx context.Context, m listener.Message) error {
		_, err := caller.Call(ctx, names.Admission, m)
		return err
	}
	h := &handler{caller: caller, metrics: s.metrics, limits: s.settings.Limits}
	s.server = listener.NewServer(h.routes(), s.settings.Limits)
	s.serve(c, s.server, listener.New(s.frontListener, names.Gateway, admission))
	readyRouter := httprouter.New()
	readyRouter.GET(front.ReadyPath, h.ready)
	s.serve(c, listener.NewServer(readyRouter, s.settings.Limits), listener.New(s.readyListener, names.ReadyListener, admission))
	return nil
}

func (s *Service) serve(c *kernel.Context, server *http.Server, l net.Listener) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		defer context.AfterFunc(ctx, func() { server.Close() })()
		if err := server.Serve(l); err != http.ErrServerClosed {
			s.metrics.CountEvent("listener_failed", 1)
		}
		return nil
	})
}

// Drain implements kernel.Service. It keeps serving new connections until the lame-duck time has ended.
func (s *Service) Drain(c *kernel.Context) {
	s.draining = true
	c.Publish(message.DrainStarted{})
	s.server.SetKeepAlivesEnabled(false)
	c.SendAfter(s.settings.LameDuck, lameDuckEnded{})
}

// Recover implements kernel.Recoverer. It does not recover a listener that has ended, or a drain.
func (s *Service) Recover(_ *kernel.Context, p *kernel.PanicError) bool {
	return !p.Task && !s.draining
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.CatalogChanged:
		s.configured = m.Config != nil
	case message.StoreReachability:
		s.reachable = m.Reachable
	case readyQuery:
		e.Reply(readyAnswer{ready: s.configured && s.reachable && !s.draining})
	case lameDuckEnded:
		server, timeout := s.server, s.settings.DrainTimeout
		c.Spawn(func(ctx context.Context) kernel.Message {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			if err := server.Shutdown(ctx); err != nil {
				s.metrics.CountEvent("drain_cut_calls", 1)
			}
			return shutdownDone{}
		})
	case shutdownDone:
		c.CompleteDrain()
	}
}
