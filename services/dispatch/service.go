// Package dispatch is the service that runs requests on executors, each at most once if it is not repeatable.
package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/ledger"
	"github.com/verbenaflow/verbenaflow/decisions/limit"
	"github.com/verbenaflow/verbenaflow/decisions/retry"
	"github.com/verbenaflow/verbenaflow/decisions/route"
	"github.com/verbenaflow/verbenaflow/kernel"
)

const (
	// collectEvery is the interval of garbage collection.
	collectEvery = time.Minute
	// drainTimeout bounds the requests in progress at a graceful shutdown.
	drainTimeout = 30 * time.Second
)

type collectDue struct{}

// Kind implements kernel.Message.
func (collectDue) Kind() string { return "ledger_collect_due" }

// Service holds the tickets and requests of the own failure domain while the VM holds it.
type Service struct {
	domain     model.FailureDomain
	metrics    *metrics.Set
	ledger     *ledger.Ledger
	limits     *limit.Limiter
	budget     retry.Budget
	random     *rand.Rand
	journal    journal
	appendDone func(*failure.Error)
	kept       intentStore
	work       map[model.RequestID]*work
	parked     []parked
	members    []model.Member
	region     model.Region
	slots      int
	// leaving refuses new requests; draining also ends the service after those in progress.
	leaving  bool
	draining bool
	closing  bool
	term     int
}

// New returns the service of one failure domain.
func New(d model.FailureDomain, m *metrics.Set) *Service {
	seed := uint64(time.Now().UnixNano())
	return &Service{
		domain: d, metrics: m, ledger: ledger.New(d), limits: limit.New(),
		random: rand.New(rand.NewPCG(seed, seed)), work: make(map[model.RequestID]*work),
	}
}

// Spec returns the registration of the service. It drains before the authority is handed over.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Dispatch, Service: s, Mailbox: 8192, DrainTimeout: drainTimeout,
		After: []kernel.Name{names.Executors, names.Store, names.Peers, names.Authority},
		Subscribes: []string{
			message.KindAuthorityChanged, message.KindLogReplayed, message.KindMembersChanged, message.KindConfigChanged,
			message.KindDrainStarted,
		},
	}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	c.After(collectEvery, collectDue{})
	return nil
}

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.AuthorityChanged:
		s.setAuthority(m)
	case message.LogReplayed:
		s.replay(c, m)
	case message.MembersChanged:
		s.setMembers(c, m)
	case message.ConfigChanged:
		s.limits.SetPolicies(m.Config.ActivePreset().Accounts)
	case message.DrainStarted:
		s.leaving = true
	case message.SnapshotGet:
		s.snapshot(e, m.Epoch)
	case message.IntentRecord, message.IntentQuery:
		s.serveIntents(e)
	case message.TicketIssue, message.RequestSend, message.RequestStatus:
		s.serve(c, e)
	default:
		s.tick(c, m)
	}
}

// snapshot answers with the whole ledger. A ledger without the records of the log must not replace them.
func (s *Service) snapshot(e kernel.Envelope, epoch model.Epoch) {
	if epoch != s.ledger.Epoch() || !s.ledger.Replayed() {
		e.Fail(s.metrics.CountRefusal(failure.New(failure.NotHolder, "no whole state under epoch %s", epoch)))
		return
	}
	e.Reply(message.SnapshotReply{Records: encode(s.ledger.Snapshot())})
}

// tick processes the service's own messages.
func (s *Service) tick(c *kernel.Context, m kernel.Message) {
	switch m := m.(type) {
	case collectDue:
		s.ledger.Collect(time.Now())
		s.kept.collect(time.Now())
		c.After(collectEvery, collectDue{})
	case appendDue:
		s.appendExpired(m)
	case probeDue:
		s.probe(c)
	case queryDue:
		s.queryPeers(c, m)
	case retryDue:
		s.attemptAgain(c, m)
	case expireDue:
		s.expire(c, m)
	}
}

// serve answers callers; it refuses them unless the VM holds the failure domain.
func (s *Service) serve(c *kernel.Context, e kernel.Envelope) {
	if s.ledger.Epoch().IsZero() {
		f := failure.New(failure.NotHolder, "this VM does not hold %s", s.domain)
		if _, issue := e.Body.(message.TicketIssue); !issue {
			f.Outcome = failure.Unknown
		}
		e.Fail(s.metrics.CountRefusal(f))
		return
	}
	switch m := e.Body.(type) {
	case message.TicketIssue:
		s.issue(e, m.Count)
	case message.RequestSend:
		s.send(c, e, m)
	case message.RequestStatus:
		s.status(e, m)
	}
}

func (s *Service) issue(e kernel.Envelope, count int) {
	if s.leaving {
		e.Fail(s.metrics.CountRefusal(drainingFailure()))
		return
	}
	tickets, f := s.ledger.IssueTickets(count, time.Now())
	if f != nil {
		e.Fail(s.metrics.CountRefusal(f))
		return
	}
	e.Reply(message.TicketsReply{Tickets: tickets})
}

func (s *Service) status(e kernel.Envelope, m message.RequestStatus) {
	r, pending, f := s.ledger.Status(m.Request, m.Ticket)
	switch {
	case f != nil:
		e.Fail(s.metrics.CountRefusal(f))
	case pending:
		e.Reply(message.RequestReply{Request: m.Request, Outcome: failure.Unknown, Pending: true})
	default:
		s.answer(e, r)
	}
}

// answer gives a recorded outcome.
func (s *Service) answer(e kernel.Envelope, r ledger.Record) {
	if f := r.Failure(); f != nil {
		e.Fail(s.metrics.CountRefusal(f))
		return
	}
	e.Reply(message.RequestReply{Request: r.ID, Outcome: r.Outcome, Body: r.Body})
}

func drainingFailure() *failure.Error {
	f := failure.New(failure.Draining, "the VM is leaving")
	f.RetryElsewhere = true
	return f
}

func (s *Service) setMembers(c *kernel.Context, m message.MembersChanged) {
	known := make(map[model.VMID]bool)
	for _, old := range s.members {
		known[old.VM] = old.Alive
	}
	s.members = m.Members
	s.slots = 0
	for _, vm := range m.Executors {
		s.region = vm.Region
		if !vm.Leaving {
			s.slots += route.MaxSlotsPerExecutor
		}
	}
	s.repeatToNew(c, known)
}

// Drain implements kernel.Service. New requests are refused; requests in progress end first.
func (s *Service) Drain(c *kernel.Context) {
	s.leaving, s.draining = true, true
	s.checkDrained(c)
}

// checkDrained writes the last records once no request is in progress. The flush record lets the next
// holder tell that unspent tickets did not run.
func (s *Service) checkDrained(c *kernel.Context) {
	if !s.draining || s.closing || len(s.work) > 0 {
		return
	}
	s.closing = true
	if s.ledger.Epoch().IsZero() || s.journal.fenced {
		c.Drained()
		return
	}
	records := append([]ledger.Record(nil), s.journal.unsaved...)
	for _, i := range s.journal.queue {
		records = append(records, i.record)
	}
	s.append(c, append(records, s.ledger.FlushedRecord()), func(*failure.Error) { c.Drained() })
}
