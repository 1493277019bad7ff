// Package executors is the service that owns the connections to the executors of the own failure domain.
package executors

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/executor"
	"github.com/verbenaflow/verbenaflow/platform/httpjson"
)

const (
	// slotsPerExecutor is the number of requests that an executor runs at a time.
	slotsPerExecutor = 8
	// noticeWait bounds one watch of an executor's notice.
	noticeWait = 10 * time.Second
	// noticeRetry is the delay after a failed watch of a notice.
	noticeRetry = time.Second
)

type (
	callDone struct {
		id     model.ExecutorID
		env    kernel.Envelope
		call   executor.Call
		answer executor.Answer
		err    error
		took   time.Duration
	}
	noticeDue  struct{ id model.ExecutorID }
	noticeDone struct {
		id     model.ExecutorID
		notice executor.Notice
		err    error
	}
)

// Kind implements kernel.Message.
func (callDone) Kind() string { return "executor_call_done" }

// Kind implements kernel.Message.
func (noticeDue) Kind() string { return "executor_notice_due" }

// Kind implements kernel.Message.
func (noticeDone) Kind() string { return "executor_notice_done" }

// backend is the state of one executor.
type backend struct {
	client   executor.Client
	address  string
	inFlight int
	leaving  bool
	notice   uint64
}

// Service runs attempts on executors within their slots.
type Service struct {
	dial     func(address string) executor.Client
	metrics  *metrics.Set
	backends map[model.ExecutorID]*backend
}

// New returns the service; dial opens the client of an executor.
func New(dial func(string) executor.Client, m *metrics.Set) *Service {
	return &Service{dial: dial, metrics: m, backends: make(map[model.ExecutorID]*backend)}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Executors, Service: s, Subscribes: []string{message.KindMembersChanged}}
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.MembersChanged:
		s.setExecutors(c, m.Executors)
	case message.Attempt:
		s.attempt(c, e, m)
	case callDone:
		s.finish(m)
	case noticeDue:
		s.watchNotice(c, m.id)
	case noticeDone:
		s.learnNotice(c, m)
	}
}

func (s *Service) setExecutors(c *kernel.Context, vms []model.VM) {
	known := make(map[model.ExecutorID]bool, len(vms))
	for _, vm := range vms {
		id := model.ExecutorID(vm.ID)
		known[id] = true
		b, ok := s.backends[id]
		if !ok || b.address != vm.Address {
			b = &backend{client: s.dial(vm.Address), address: vm.Address}
			s.backends[id] = b
			s.watchNotice(c, id)
		}
		b.leaving = b.leaving || vm.Leaving
	}
	for id := range s.backends {
		if !known[id] {
			delete(s.backends, id)
		}
	}
}

func (s *Service) watchNotice(c *kernel.Context, id model.ExecutorID) {
	b, ok := s.backends[id]
	if !ok {
		return
	}
	client, after := b.client, b.notice
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, noticeWait+time.Second)
		defer cancel()
		n, err := client.Notice(ctx, after, noticeWait)
		return noticeDone{id: id, notice: n, err: err}
	})
}

func (s *Service) learnNotice(c *kernel.Context, m noticeDone) {
	b, ok := s.backends[m.id]
	if !ok {
		return
	}
	if m.err != nil {
		c.After(noticeRetry, noticeDue{id: m.id})
		return
	}
	b.leaving, b.notice = m.notice.Leaving, m.notice.Revision
	c.After(0, noticeDue{id: m.id})
}

// attempt runs a request on the executor with the fewest attempts in flight.
func (s *Service) attempt(c *kernel.Context, e kernel.Envelope, m message.Attempt) {
	id, b := s.pick(m.Avoid)
	if b == nil {
		e.Reply(message.AttemptDone{Failure: s.metrics.Refusal(failure.New(failure.NoExecutor, "all slots are in use"))})
		return
	}
	b.inFlight++
	client := b.client
	call := executor.Call{Request: m.Request.ID, Attempt: m.Attempt, Service: m.Request.Service, Payload: m.Request.Payload}
	deadline := m.Request.Deadline
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		started := time.Now()
		a, err := client.Execute(ctx, call)
		return callDone{id: id, env: e, call: call, answer: a, err: err, took: time.Since(started)}
	})
}

func (s *Service) pick(avoid []model.ExecutorID) (model.ExecutorID, *backend) {
	skip := make(map[model.ExecutorID]bool, len(avoid))
	for _, id := range avoid {
		skip[id] = true
	}
	var bestID model.ExecutorID
	var best *backend
	for id, b := range s.backends {
		if b.leaving || b.inFlight >= slotsPerExecutor || skip[id] {
			continue
		}
		if best == nil || b.inFlight < best.inFlight {
			bestID, best = id, b
		}
	}
	return bestID, best
}

func (s *Service) finish(m callDone) {
	if b, ok := s.backends[m.id]; ok {
		b.inFlight--
	}
	done := message.AttemptDone{Executor: m.id, Sent: true, Took: m.took}
	var notSent *httpjson.NotSentError
	var busy *executor.BusyError
	a := m.answer
	switch {
	case errors.As(m.err, &notSent), errors.As(m.err, &busy):
		done.Sent = false
		done.Failure = failure.New(failure.NoExecutor, "%v", m.err)
	case m.err != nil:
		done.Failure = failure.New(failure.ExecutorLost, "%v", m.err)
	case a.Request != m.call.Request || a.Attempt != m.call.Attempt || a.Size != len(a.Body):
		done.Failure = failure.New(failure.ResponseInvalid, "response belongs to another call or is truncated")
	case a.Failed:
		done.Ran, done.Failure = true, failure.New(failure.ExecutorFailed, "%s", a.Body)
	default:
		done.Ran = true
		done.Response = model.Response{Request: a.Request, Attempt: a.Attempt, Body: a.Body}
	}
	m.env.Reply(done)
}
