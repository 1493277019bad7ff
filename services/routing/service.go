// Package routing is the service that submits jobs to the failure domains that suit them.
package routing

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/domains"
	"github.com/verbenaflow/verbenaflow/decisions/retry"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// maxTries bounds the failure domains that one submission tries.
	maxTries = 3
	// minRemaining is the time that another try needs at least: a call between regions and two appends.
	minRemaining = 500 * time.Millisecond
)

// elsewhere lists the refusals that another failure domain may not give. Each is retried only if the job
// certainly did not run.
var elsewhere = []failure.Reason{
	failure.NeverFits, failure.QueueFull, failure.Overloaded, failure.ConfigUnavailable, failure.StoreUnavailable,
	failure.NoHolder, failure.NotHolder, failure.HomeUnreachable, failure.Draining,
}

// Service owns the loads of all failure domains and the budget of tries.
type Service struct {
	origin  domains.Origin
	metrics *metrics.Set
	loads   []model.DomainLoad
	budget  retry.Budget
}

// New returns the service of a VM.
func New(self model.Member, m *metrics.Set) *Service {
	return &Service{origin: domains.Origin{Domain: self.Domain, Region: self.Region}, metrics: m}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Routing, Service: s, Mailbox: 8192,
		After: []kernel.Name{names.Peers}, Subscribes: []string{message.KindLoadsChanged},
	}
}

// Start implements kernel.Service.
func (*Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service. The front end, which waits for the submissions in progress, has drained before.
func (*Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.LoadsChanged:
		s.loads = slices.Clone(m.Loads) // Other subscribers have the same slice.
	case message.JobRoute:
		s.route(c, e, m)
	}
}

// route submits a job. A key has one home, so that a repeated submission finds the first one.
func (s *Service) route(c *kernel.Context, e kernel.Envelope, m message.JobRoute) {
	s.budget.RecordRequest()
	f := message.Forward{To: names.Scheduler, Body: message.JobSubmit{Spec: m.Spec}, Deadline: m.Deadline}
	if m.Spec.Domain == "" && m.Spec.Key != "" {
		f.Key, f.Idempotent = m.Spec.Key, true
		c.Request(names.Peers, f, answer(e))
		return
	}
	f.Idempotent = m.Spec.Key != ""
	candidates := domains.Choose(s.loads, m.Spec, s.origin, time.Now())
	s.submit(c, e, f, candidates[:min(len(candidates), maxTries)])
}

func answer(e kernel.Envelope) func(kernel.Message, error) {
	return func(reply kernel.Message, err error) {
		if err != nil {
			e.Fail(err)
			return
		}
		e.Reply(reply)
	}
}

// submit sends a submission to the first candidate and, after a refusal that another one may not give, to the next.
func (s *Service) submit(c *kernel.Context, e kernel.Envelope, f message.Forward, candidates []model.FailureDomain) {
	f.Domain = candidates[0]
	domains.AddExpectedLoad(s.loads, f.Domain, f.Body.(message.JobSubmit).Spec)
	rest := slices.Clone(candidates[1:])
	c.Request(names.Peers, f, func(reply kernel.Message, err error) {
		if err == nil || len(rest) == 0 || !s.mayTryNext(err, f.Deadline) {
			answer(e)(reply, err)
			return
		}
		s.metrics.CountRetry(failure.RetryRoute)
		klog.InfoS("submission tried in another failure domain", "service", names.Routing, "refused_by", f.Domain,
			"next", rest[0], "cause", err.Error())
		s.submit(c, e, f, rest)
	})
}

// mayTryNext reports whether a refused submission may be tried in another failure domain.
func (s *Service) mayTryNext(err error, deadline time.Time) bool {
	f := failure.From(err)
	return f.Outcome == failure.NotRun && slices.Contains(elsewhere, f.Reason) &&
		time.Until(deadline) >= minRemaining && s.budget.TryRetry()
}
