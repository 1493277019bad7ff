// Package admission is the service that owns the places and the memory of client connections. It applies decisions/budget
// for each listener.
package admission

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/budget"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// reportInterval is the time between two log lines of a burst of clients that got no room.
const reportInterval = 10 * time.Second

// Settings configures the service.
type Settings struct {
	VM string
	// Budgets holds the budget of each listener by name.
	Budgets map[string]budget.Settings
}

// Service owns a budget for each listener.
type Service struct {
	settings  Settings
	metrics   *metrics.Set
	listeners map[string]*clients
	// burst counts, by event, what happened to clients since the last log line; it is nil outside of a burst.
	burst map[string]int64
}

// clients are the connections of one listener.
type clients struct {
	budget *budget.Budget
	open   map[budget.ID]message.Connection
	// waiting holds the calls that wait for the end of evicted connections.
	waiting map[budget.ID]kernel.Envelope
}

// burstReport ends the interval of a log line.
type burstReport struct{}

// Kind implements kernel.Message.
func (burstReport) Kind() string { return "admission_burst_report" }

// New returns the service.
func New(s Settings, m *metrics.Set) *Service {
	out := &Service{settings: s, metrics: m, listeners: map[string]*clients{}}
	for name, b := range s.Budgets {
		out.listeners[name] = &clients{
			budget: budget.New(b), open: map[budget.ID]message.Connection{}, waiting: map[budget.ID]kernel.Envelope{},
		}
	}
	return out
}

// Spec returns the registration of the service. Each connection has at most one message under way, and one that is evicted
// or gives up a wait a second one, so that the mailbox is never full.
func (s *Service) Spec() kernel.Spec {
	size := kernel.DefaultMailboxSize
	for _, b := range s.settings.Budgets {
		size += 2 * b.Connections
	}
	return kernel.Spec{Name: names.Admission, Service: s, MailboxSize: size}
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.CompleteDrain() }

// Recover implements kernel.Recoverer. The call that caused the panic fails; what a connection has is given back when it ends.
func (s *Service) Recover(*kernel.Context, *kernel.PanicError) bool { return true }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.ConnectionOpened:
		s.opened(c, m, e)
	case message.MemoryNeeded:
		s.needed(c, m, e)
	case message.MemoryReleased:
		l := s.listeners[m.Listener]
		if id := budget.ID(m.ID); m.Bytes > 0 {
			l.granted(l.budget.Release(id, m.Bytes))
		} else {
			delete(l.waiting, id)
			l.granted(l.budget.Withdraw(id))
		}
		e.Reply(message.Done{})
	case message.ConnectionClosed:
		l, id := s.listeners[m.Listener], budget.ID(m.ID)
		delete(l.open, id)
		delete(l.waiting, id)
		l.granted(l.budget.Close(id))
		e.Reply(message.Done{})
	case burstReport:
		s.report(c)
	}
}

func (s *Service) opened(c *kernel.Context, m message.ConnectionOpened, e kernel.Envelope) {
	l, id := s.listeners[m.Listener], budget.ID(m.ID)
	l.observe(id, 0)
	o := l.budget.Open(id)
	if o.Decision != budget.Refused {
		l.open[id] = m.Connection
	}
	s.apply(c, l, id, o, e, "connections_refused")
}

func (s *Service) needed(c *kernel.Context, m message.MemoryNeeded, e kernel.Envelope) {
	l, id := s.listeners[m.Listener], budget.ID(m.ID)
	l.observe(id, m.Bytes)
	s.apply(c, l, id, l.budget.Take(id, m.Bytes), e, "requests_without_memory")
}

// observe tells the budget what all connections do, if it has to choose among them.
func (l *clients) observe(id budget.ID, bytes int64) {
	if l.budget.Fits(id, bytes) {
		return
	}
	for id, conn := range l.open {
		var p budget.Progress
		p.Idle, p.Busy, p.Since = conn.Progress()
		l.budget.Observe(id, p)
	}
}

// apply ends the evicted connections and answers the call and those that are granted now.
func (s *Service) apply(c *kernel.Context, l *clients, id budget.ID, o budget.Outcome, e kernel.Envelope, refused string) {
	for _, victim := range o.Evicted {
		conn := l.open[victim]
		isIdle, _, _ := conn.Progress()
		conn.Evict()
		if isIdle {
			s.count(c, "connections_evicted_idle")
		} else {
			s.count(c, "connections_evicted_stalled")
		}
		if w, ok := l.waiting[victim]; ok {
			delete(l.waiting, victim)
			w.Fail(failure.New(failure.Overloaded, "the connection was closed"))
		}
	}
	l.granted(o.Granted)
	switch o.Decision {
	case budget.Granted:
		e.Reply(message.Done{})
	case budget.Waiting:
		l.waiting[id] = e
	default:
		s.count(c, refused)
		e.Fail(failure.New(failure.Overloaded, "no room"))
	}
}

func (l *clients) granted(ids []budget.ID) {
	for _, id := range ids {
		l.waiting[id].Reply(message.Done{})
		delete(l.waiting, id)
	}
}

// count counts an event and begins a burst if there is none.
func (s *Service) count(c *kernel.Context, event string) {
	s.metrics.CountEvent(event, 1)
	if s.burst == nil {
		s.burst = map[string]int64{}
		c.SendAfter(time.Second, burstReport{})
	}
	s.burst[event]++
}

// report logs what happened since the last line, or ends the burst if nothing did.
func (s *Service) report(c *kernel.Context) {
	if len(s.burst) == 0 {
		s.burst = nil
		return
	}
	open, used := 0, int64(0)
	for _, l := range s.listeners {
		open += l.budget.Connections()
		used += l.budget.Used()
	}
	klog.InfoS("clients exceed the limits of this VM", "vm", s.settings.VM, "service", names.Admission, "counts", s.burst,
		"connections", open, "memory_bytes", used)
	s.burst = map[string]int64{}
	c.SendAfter(reportInterval, burstReport{})
}
