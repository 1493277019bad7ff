// Package httpapi is the service that provides the HTTP API for clients and operators.
package httpapi

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/listener"
)

const (
	defaultHeaderTimeout = 5 * time.Second
	defaultDrainTimeout  = 30 * time.Second
	defaultMaxBodyBytes  = 1 << 20
	// drainNoticePeriod is the minimum time for which new work is refused before the listener closes, so that clients
	// with an open connection receive an error response instead of a connection reset.
	drainNoticePeriod = 250 * time.Millisecond
	// stopMargin is added to the drain timeout of the service, so that the server can still close its connections.
	stopMargin = time.Second
)

// Options are the settings of the service; zero values mean the defaults.
type Options struct {
	// MaxBodyBytes is the size limit of a request body in bytes; 0 means 1 MiB.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time for reading the header of a request; 0 means 5 s.
	HeaderTimeout time.Duration
	// DrainTimeout bounds the calls in progress at a graceful shutdown; 0 means 30 s.
	DrainTimeout time.Duration
	// TLS is the certificate of the listener; nil means plain HTTP.
	TLS *tls.Certificate
}

type (
	drainNoticeOver struct{}
	callsEnded      struct{}
	shutdownDone    struct{}
)

// Kind implements kernel.Message.
func (drainNoticeOver) Kind() string { return "http_drain_notice_due" }

// Kind implements kernel.Message.
func (callsEnded) Kind() string { return "http_idle" }

// Kind implements kernel.Message.
func (shutdownDone) Kind() string { return "http_shutdown_done" }

// Service owns the HTTP listener for clients and operators.
type Service struct {
	self      model.Member
	listener  net.Listener
	metrics   *metrics.Set
	options   Options
	server    *http.Server
	gate      *gate
	published publishedState
}

// New returns the service of a VM. It takes ownership of the listener.
func New(self model.Member, l net.Listener, o Options, m *metrics.Set) *Service {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout = defaultHeaderTimeout
	}
	if o.DrainTimeout == 0 {
		o.DrainTimeout = defaultDrainTimeout
	}
	return &Service{self: self, listener: l, metrics: m, options: o, gate: newGate()}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.HTTP, Service: s, DrainTimeout: s.options.DrainTimeout + stopMargin,
		DependsOn: []kernel.Name{
			names.Admission, names.Admin, names.Peers, names.Routing, names.Scheduler, names.Dispatch, names.Config, names.Membership, names.Authority,
		},
		Subscriptions: []string{message.KindMembersChanged, message.KindAuthorityChanged, message.KindConfigChanged},
	}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	limits := listener.DefaultLimits()
	limits.HeaderTime = s.options.HeaderTimeout
	caller := c.Caller()
	a := &api{caller: caller, domain: s.self.Domain, metrics: s.metrics, gate: s.gate, maxBodyBytes: s.options.MaxBodyBytes, limits: limits}
	s.server = listener.NewServer(s.gate.wrap(a), limits)
	var guarded net.Listener = listener.New(s.listener, names.HTTP, func(ctx context.Context, m listener.Message) error {
		_, err := caller.Call(ctx, names.Admission, m)
		return err
	})
	if t := s.options.TLS; t != nil {
		guarded = tls.NewListener(guarded, &tls.Config{Certificates: []tls.Certificate{*t}, MinVersion: tls.VersionTLS12})
	}
	server := s.server
	c.Spawn(func(ctx context.Context) kernel.Message {
		stop := context.AfterFunc(ctx, func() { server.Close() })
		defer stop()
		_ = server.Serve(guarded)
		return nil
	})
	return nil
}

// Drain refuses new work, waits for the calls in progress and closes the listener and its connections.
func (s *Service) Drain(c *kernel.Context) {
	s.gate.close()
	c.Publish(message.DrainStarted{})
	klog.InfoS("refusing new work", "vm", s.self.VM, "service", names.HTTP, "in_progress", s.gate.activeCalls.Load())
	c.SendAfter(drainNoticePeriod, drainNoticeOver{})
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.MembersChanged:
		s.published.members = m.Members
	case message.AuthorityChanged:
		s.published.authority = m
	case message.ConfigChanged:
		s.published.config = m
	case statusGet:
		e.Reply(s.status())
	case drainNoticeOver:
		s.awaitIdle(c)
	case callsEnded:
		s.shutdown(c)
	case shutdownDone:
		c.CompleteDrain()
	}
}

// awaitIdle waits for the calls in progress. The listener stays open meanwhile, so that new work gets an error
// response.
func (s *Service) awaitIdle(c *kernel.Context) {
	g := s.gate
	c.Spawn(func(ctx context.Context) kernel.Message {
		g.awaitIdle(ctx)
		return callsEnded{}
	})
}

func (s *Service) shutdown(c *kernel.Context) {
	server, timeout := s.server, s.options.DrainTimeout
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_ = server.Shutdown(ctx)
		return shutdownDone{}
	})
}

// Paths of the calls that clients may repeat with the same key or ticket.
const (
	jobsPath     = "/v1/jobs"
	requestsPath = "/v1/requests"
)

func (a *api) routes() http.Handler {
	r := httprouter.New()
	r.POST(jobsPath, a.submitJob)
	r.GET(jobsPath, a.listJobs)
	r.GET("/v1/job", a.showJob)
	r.POST("/v1/jobs/cancel", a.cancelJobs)
	r.POST("/v1/tickets", a.issueTickets)
	r.POST(requestsPath, a.sendRequest)
	r.GET("/v1/request", a.showRequest)
	r.GET("/v1/config", a.showConfig)
	r.POST("/v1/config", a.changeConfig)
	r.GET("/v1/account", a.showAccount)
	r.GET("/v1/status", a.showStatus)
	r.NotFound = http.HandlerFunc(a.handleNotFound)
	r.MethodNotAllowed = http.HandlerFunc(a.handleMethodNotAllowed)
	return r
}
