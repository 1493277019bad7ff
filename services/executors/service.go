// Package executors is the service that owns the connections to the executors of its failure domain.
package executors

import (
	"context"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/route"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/executor"
)

const (
	// noticeWait bounds one watch of an executor's notice. While a watch is unanswered, the executor may have begun
	// to leave without this VM seeing it. With a bound of 10 s, such executors got new work for that time.
	noticeWait = time.Second
	// noticeMargin is added to noticeWait for the network delay of the response.
	noticeMargin = 250 * time.Millisecond
	// noticeRetryDelay is the delay after a failed watch of a notice.
	noticeRetryDelay = 250 * time.Millisecond
	// maxQueuedAttempts is the largest number of attempts that wait for a slot.
	maxQueuedAttempts = 1024
	// maxQueueWait bounds the wait for a slot; after it another failure domain may run the attempt.
	maxQueueWait = 100 * time.Millisecond
	// drainTimeout bounds the calls in progress at a graceful shutdown.
	drainTimeout = 30 * time.Second
)

type (
	callDone struct {
		id       model.ExecutorID
		call     route.Call
		response executor.Response
		err      error
		took     time.Duration
	}
	noticeDue  struct{ id model.ExecutorID }
	noticeDone struct {
		id     model.ExecutorID
		client executor.Client
		notice executor.Notice
		err    error
		// confirmed is the earliest time at which the executor may have answered.
		confirmed time.Time
	}
	queueDue    struct{ call route.Call }
	responseDue struct{ call route.Call }
)

// Kind implements kernel.Message.
func (callDone) Kind() string { return "executor_call_done" }

// Kind implements kernel.Message.
func (noticeDue) Kind() string { return "executor_notice_due" }

// Kind implements kernel.Message.
func (noticeDone) Kind() string { return "executor_notice_done" }

// Kind implements kernel.Message.
func (queueDue) Kind() string { return "executor_queue_due" }

// Kind implements kernel.Message.
func (responseDue) Kind() string { return "executor_answer_due" }

// backend is the connection to one executor.
type backend struct {
	client         executor.Client
	address        string
	noticeRevision uint64
	// watchOpen is true while a watch of the notice is in progress.
	watchOpen bool
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// pendingCall is an attempt that waits for a slot or for its response.
type pendingCall struct {
	env        kernel.Envelope
	attempt    message.Attempt
	started    time.Time
	sent       bool
	executorID model.ExecutorID
}

// Service runs attempts on executors within their slots.
type Service struct {
	dial    func(address string) executor.Client
	metrics *metrics.Set
	holder  bool
	// While leaving is set, attempts of other VMs are refused; while draining is set, all attempts are refused.
	leaving     bool
	draining    bool
	activeCalls int
	backends    map[model.ExecutorID]*backend
	table       *route.Table
	calls       map[route.Call]*pendingCall
	queue       []route.Call
}

// New returns the service; dial opens the client of an executor.
func New(dial func(string) executor.Client, m *metrics.Set) *Service {
	return &Service{
		dial: dial, metrics: m, backends: make(map[model.ExecutorID]*backend),
		table: route.NewTable(), calls: make(map[route.Call]*pendingCall),
	}
}

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Executors, Service: s, DrainTimeout: drainTimeout, Subscriptions: []string{
		message.KindMembersChanged, message.KindAuthorityChanged, message.KindDrainStarted,
	}}
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service. The service has drained once the calls in progress have ended.
func (s *Service) Drain(c *kernel.Context) {
	s.draining = true
	s.checkDrained(c)
}

func (s *Service) checkDrained(c *kernel.Context) {
	if s.draining && len(s.calls) == 0 {
		c.CompleteDrain()
	}
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.MembersChanged:
		s.setExecutors(c, m.Executors)
	case message.AuthorityChanged:
		s.setHolder(c, m.Holder)
	case message.DrainStarted:
		s.leaving = true
	case message.Attempt:
		s.handleAttempt(c, e, m)
	case queueDue:
		s.expireQueued(m.call)
	case callDone:
		s.handleCallDone(c, m)
	case responseDue:
		s.failUnanswered(m.call)
	case noticeDue:
		s.watchNotice(c, m.id)
	case noticeDone:
		s.handleNoticeDone(c, m)
	}
	s.checkDrained(c)
}

// setHolder starts the watches of notices when this VM becomes the holder. A VM that is not the holder ends its
// watches and closes its idle connections, so that the connections of all VMs together stay below the number that an
// executor accepts.
func (s *Service) setHolder(c *kernel.Context, holder bool) {
	s.holder = holder
	for id, b := range s.backends {
		if holder {
			s.watchNotice(c, id)
		} else {
			b.client.Close()
		}
	}
}

func (s *Service) setExecutors(c *kernel.Context, vms []model.VM) {
	known := make(map[model.ExecutorID]bool, len(vms))
	for _, vm := range vms {
		id := model.ExecutorID(vm.ID)
		known[id] = true
		if b, ok := s.backends[id]; !ok || b.address != vm.Address {
			s.backends[id] = &backend{client: s.dial(vm.Address), address: vm.Address}
			s.table.Remove(id)
		}
		s.table.Add(id, vm.Leaving)
		s.watchNotice(c, id)
	}
	for id, b := range s.backends {
		if !known[id] {
			b.client.Close()
			delete(s.backends, id)
			s.table.Remove(id)
		}
	}
	s.startQueued(c)
}

func (s *Service) watchNotice(c *kernel.Context, id model.ExecutorID) {
	b, ok := s.backends[id]
	if !ok || !s.holder || b.watchOpen {
		return
	}
	b.watchOpen = true
	client, after := b.client, b.noticeRevision
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, noticeWait+noticeMargin)
		defer cancel()
		confirmed := time.Now()
		n, err := client.Notice(ctx, after, noticeWait)
		if n.Revision == after {
			confirmed = earlier(confirmed.Add(noticeWait), time.Now())
		}
		return noticeDone{id: id, client: client, notice: n, err: err, confirmed: confirmed}
	})
}

func (s *Service) handleNoticeDone(c *kernel.Context, m noticeDone) {
	b, ok := s.backends[m.id]
	if !ok || b.client != m.client {
		return
	}
	b.watchOpen = false
	if m.err != nil {
		c.SendAfter(noticeRetryDelay, noticeDue{id: m.id})
		return
	}
	b.noticeRevision = m.notice.Revision
	s.table.RecordNotice(m.id, m.notice.Leaving, m.notice.Slots, m.confirmed)
	s.watchNotice(c, m.id)
	s.startQueued(c)
}

// handleAttempt runs an attempt on an executor or queues it until a slot is free.
func (s *Service) handleAttempt(c *kernel.Context, e kernel.Envelope, m message.Attempt) {
	key, now := route.Call{Request: m.Request.ID, Attempt: m.Attempt}, time.Now()
	_, duplicate := s.calls[key]
	switch {
	case s.draining, s.leaving && e.From == "":
		f := failure.New(failure.Draining, "the VM is leaving")
		f.RetryElsewhere = true
		s.refuse(e, f)
	case !s.holder:
		s.refuse(e, failure.New(failure.NotHolder, "the VM does not hold its failure domain"))
	case duplicate:
		s.refuse(e, failure.New(failure.TicketSpent, "attempt %d is in progress", m.Attempt).WithOutcome(failure.NotRun))
	case s.table.Capacity(now) == 0:
		s.refuse(e, failure.New(failure.NoExecutor, "no executor accepts requests"))
	case len(s.queue) >= maxQueuedAttempts:
		s.refuse(e, failure.New(failure.QueueFull, "%d attempts wait for a slot", len(s.queue)))
	default:
		s.calls[key] = &pendingCall{env: e, attempt: m, started: now}
		if !s.startCall(c, key) {
			s.queue = append(s.queue, key)
			c.SendAfter(min(maxQueueWait, max(0, m.Request.Deadline.Sub(now))), queueDue{key})
		}
	}
}

// refuse replies to an attempt of which nothing was sent.
func (s *Service) refuse(e kernel.Envelope, f *failure.Error) {
	e.Reply(message.AttemptDone{Failure: s.metrics.CountRefusal(f)})
}

// startCall sends a call to an executor with a free slot. It returns false if there is none.
func (s *Service) startCall(c *kernel.Context, key route.Call) bool {
	p := s.calls[key]
	id, ok := s.table.Acquire(p.attempt.Avoid, time.Now())
	if !ok {
		return false
	}
	p.sent, p.executorID, p.started = true, id, time.Now()
	s.activeCalls++
	r := p.attempt.Request
	client, deadline := s.backends[id].client, r.Deadline
	body := executor.Call{Request: r.ID, Attempt: key.Attempt, Service: r.Service, Payload: r.Payload}
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		started := time.Now()
		resp, err := client.Execute(ctx, body)
		return callDone{id: id, call: key, response: resp, err: err, took: time.Since(started)}
	})
	return true
}

// startQueued starts queued attempts in their order while slots are free.
func (s *Service) startQueued(c *kernel.Context) {
	waiting := s.queue[:0]
	for _, key := range s.queue {
		if p, ok := s.calls[key]; ok && !p.sent && !s.startCall(c, key) {
			waiting = append(waiting, key)
		}
	}
	s.queue = waiting
}

// expireQueued refuses an attempt that got no slot in time.
func (s *Service) expireQueued(key route.Call) {
	p, ok := s.calls[key]
	if !ok || p.sent {
		return
	}
	delete(s.calls, key)
	s.refuse(p.env, failure.New(failure.NoExecutor, "all slots are in use"))
}
