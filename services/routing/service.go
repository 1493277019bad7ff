// Package routing is the service that selects a failure domain for each submitted job and forwards the submission to
// it.
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
	// maxAttempts bounds the failure domains to which one submission is sent.
	maxAttempts = 3
	// minRetryTime is the minimum time left before the deadline for another attempt, which takes a call between regions
	// and two appends to the log.
	minRetryTime = 500 * time.Millisecond
)

// retryableReasons lists the reasons of refusals that may not apply in another failure domain. A refused submission is
// retried there only if the job certainly did not run.
var retryableReasons = []failure.Reason{
	failure.NeverFits, failure.QueueFull, failure.Overloaded, failure.ConfigUnavailable, failure.StoreUnavailable,
	failure.NoHolder, failure.NotHolder, failure.HomeUnreachable, failure.Draining,
}

// Service owns the known loads of all failure domains and the retry budget.
type Service struct {
	origin      domains.Origin
	metrics     *metrics.Set
	loads       []model.DomainLoad
	retryBudget retry.Budget
}

// New returns the service of a VM.
func New(self model.Member, m *metrics.Set) *Service {
	return &Service{origin: domains.Origin{Domain: self.Domain, Region: self.Region}, metrics: m}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Routing, Service: s, MailboxSize: 8192,
		DependsOn: []kernel.Name{names.Peers}, Subscriptions: []string{message.KindLoadsChanged},
	}
}

// Start implements kernel.Service.
func (*Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service. The HTTP service has drained before and has waited for the submissions in progress.
func (*Service) Drain(c *kernel.Context) { c.CompleteDrain() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.LoadsChanged:
		s.loads = slices.Clone(m.Loads) // The slice is shared with other subscribers.
	case message.JobRoute:
		s.route(c, e, m)
	}
}

// route submits a job. A job with a key that names no failure domain goes to the home failure domain of the key, so
// that a repeated submission finds the first one.
func (s *Service) route(c *kernel.Context, e kernel.Envelope, m message.JobRoute) {
	s.retryBudget.RecordRequest()
	f := message.Forward{To: names.Scheduler, Body: message.JobSubmit{Spec: m.Spec}, Deadline: m.Deadline}
	if m.Spec.Domain == "" && m.Spec.Key != "" {
		f.Key, f.Idempotent = m.Spec.Key, true
		c.Request(names.Peers, f, relayReply(e))
		return
	}
	f.Idempotent = m.Spec.Key != ""
	candidates := domains.Choose(s.loads, m.Spec, s.origin, time.Now())
	s.submit(c, e, f, candidates[:min(len(candidates), maxAttempts)])
}

// relayReply returns a callback that answers e with a reply or an error.
func relayReply(e kernel.Envelope) func(kernel.Message, error) {
	return func(reply kernel.Message, err error) {
		if err != nil {
			e.Fail(err)
			return
		}
		e.Reply(reply)
	}
}

// submit sends a submission to the first candidate and, after a refusal that may not apply elsewhere, to the next one.
func (s *Service) submit(c *kernel.Context, e kernel.Envelope, f message.Forward, candidates []model.FailureDomain) {
	f.Domain = candidates[0]
	domains.AddExpectedLoad(s.loads, f.Domain, f.Body.(message.JobSubmit).Spec)
	rest := slices.Clone(candidates[1:])
	c.Request(names.Peers, f, func(reply kernel.Message, err error) {
		if err == nil || len(rest) == 0 || !s.mayRetryElsewhere(err, f.Deadline) {
			relayReply(e)(reply, err)
			return
		}
		s.metrics.CountRetry(failure.RetryRoute)
		klog.InfoS("submission refused; trying another failure domain", "service", names.Routing, "refused_by", f.Domain,
			"next", rest[0], "cause", err.Error())
		s.submit(c, e, f, rest)
	})
}

// mayRetryElsewhere reports whether a refused submission may be retried in another failure domain. If so, it uses the
// retry budget.
func (s *Service) mayRetryElsewhere(err error, deadline time.Time) bool {
	f := failure.From(err)
	return f.Outcome == failure.NotRun && slices.Contains(retryableReasons, f.Reason) &&
		time.Until(deadline) >= minRetryTime && s.retryBudget.TryRetry()
}
