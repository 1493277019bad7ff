// Package dispatch is the service that runs requests on executors, each at most once if it is not repeatable.
package dispatch

import (
	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// Service holds the tickets and requests of the own failure domain while the VM holds it.
type Service struct {
	domain  model.FailureDomain
	metrics *metrics.Set
	epoch   model.Epoch
	nextSeq uint64
	known   map[model.RequestID]*message.RequestReply
}

// New returns the service of one failure domain.
func New(d model.FailureDomain, m *metrics.Set) *Service {
	return &Service{domain: d, metrics: m, known: make(map[model.RequestID]*message.RequestReply)}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Dispatch, Service: s, After: []kernel.Name{names.Executors, names.Store},
		Subscribes: []string{message.KindAuthorityChanged},
	}
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	if m, ok := e.Body.(message.AuthorityChanged); ok {
		s.epoch, s.nextSeq = model.Epoch{}, 0
		if m.Holder {
			s.epoch = m.Epoch
		}
		return
	}
	if s.epoch.IsZero() {
		e.Fail(s.metrics.Refusal(failure.New(failure.NotHolder, "this VM does not hold %s", s.domain)))
		return
	}
	switch m := e.Body.(type) {
	case message.TicketIssue:
		e.Reply(s.issue(m.Count))
	case message.RequestSend:
		s.send(c, e, m)
	case message.RequestStatus:
		if r, ok := s.known[m.Request]; ok {
			e.Reply(*r)
			return
		}
		e.Fail(s.metrics.Refusal(failure.New(failure.NotFound, "request %s", m.Request)))
	}
}

func (s *Service) issue(count int) message.TicketsReply {
	var out message.TicketsReply
	for range count {
		s.nextSeq++
		out.Tickets = append(out.Tickets, model.Ticket{Domain: s.domain, Epoch: s.epoch, Seq: s.nextSeq})
	}
	return out
}

func (s *Service) send(c *kernel.Context, e kernel.Envelope, m message.RequestSend) {
	id := m.Request.ID
	if _, spent := s.known[id]; spent {
		e.Fail(s.metrics.Refusal(failure.New(failure.TicketSpent, "request %s was sent before", id)))
		return
	}
	record := &message.RequestReply{Request: id, Outcome: failure.Unknown, Pending: true}
	s.known[id] = record
	c.Request(names.Executors, message.Attempt{Request: m.Request, Attempt: 1}, func(r kernel.Message, err error) {
		record.Pending = false
		if err != nil {
			record.Outcome = failure.NotRun
			e.Fail(err)
			return
		}
		done := r.(message.AttemptDone)
		if done.Failure != nil {
			record.Outcome = done.Failure.Outcome
			e.Fail(s.metrics.Refusal(done.Failure))
			return
		}
		record.Outcome, record.Body = failure.Run, done.Response.Body
		e.Reply(*record)
	})
}
