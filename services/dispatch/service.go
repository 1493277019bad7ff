// Package dispatch is the service that runs requests on executors. A request that is not repeatable runs at most once.
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
	// collectInterval is the interval at which expired tickets, requests and intent records are removed.
	collectInterval = time.Minute
	// drainTimeout bounds the wait for requests in progress at a graceful shutdown.
	drainTimeout = 30 * time.Second
)

type collectDue struct{}

// Kind implements kernel.Message.
func (collectDue) Kind() string { return "ledger_collect_due" }

// Service issues the tickets and runs the requests of its failure domain while the VM is the holder.
type Service struct {
	domain        model.FailureDomain
	metrics       *metrics.Set
	ledger        *ledger.Ledger
	limiter       *limit.Limiter
	retryBudget   retry.Budget
	random        *rand.Rand
	journal       journal
	appendDone    func(*failure.Error)
	peerIntents   intentStore
	executions    map[model.RequestID]*execution
	deferred      []deferredRequest
	members       []model.Member
	region        model.Region
	executorSlots int
	// leaving is true once new requests are refused. draining is true once the service ends after the requests in
	// progress, and flushing once it has sent its last records to the log.
	leaving  bool
	draining bool
	flushing bool
	// term counts the changes of the epoch, so that timers of an earlier term are recognized.
	term int
}

// New returns the service of one failure domain.
func New(d model.FailureDomain, m *metrics.Set) *Service {
	seed := uint64(time.Now().UnixNano())
	return &Service{
		domain: d, metrics: m, ledger: ledger.New(d), limiter: limit.New(),
		random: rand.New(rand.NewPCG(seed, seed)), executions: make(map[model.RequestID]*execution),
	}
}

// Spec returns the registration of the service. The service drains before the VM gives up its authority, because the
// last records are appended under the epoch of the VM.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{
		Name: names.Dispatch, Service: s, MailboxSize: 8192, DrainTimeout: drainTimeout,
		DependsOn: []kernel.Name{names.Executors, names.Store, names.Peers, names.Authority},
		Subscriptions: []string{
			message.KindAuthorityChanged, message.KindLogReplayed, message.KindMembersChanged, message.KindConfigChanged,
			message.KindDrainStarted,
		},
	}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	c.SendAfter(collectInterval, collectDue{})
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
		s.limiter.SetPolicies(m.Config.ActivePreset().Accounts)
	case message.DrainStarted:
		s.leaving = true
	case message.SnapshotGet:
		s.sendSnapshot(e, m.Epoch)
	case message.IntentRecord, message.IntentQuery:
		s.handleIntents(e)
	case message.TicketIssue, message.RequestSend, message.RequestStatus:
		s.handleRequest(c, e)
	default:
		s.handleTimer(c, m)
	}
}

// sendSnapshot answers with all records of the ledger. It fails unless the ledger holds every record of the sealed log
// under the given epoch, because the snapshot replaces the records of the log.
func (s *Service) sendSnapshot(e kernel.Envelope, epoch model.Epoch) {
	if epoch != s.ledger.Epoch() || !s.ledger.Replayed() {
		e.Fail(s.metrics.CountRefusal(failure.New(failure.NotHolder, "no whole state under epoch %s", epoch)))
		return
	}
	e.Reply(message.SnapshotReply{Records: encode(s.ledger.Snapshot())})
}

// handleTimer handles the timers of the service.
func (s *Service) handleTimer(c *kernel.Context, m kernel.Message) {
	switch m := m.(type) {
	case collectDue:
		s.ledger.Collect(time.Now())
		s.peerIntents.collect(time.Now())
		c.SendAfter(collectInterval, collectDue{})
	case appendTimedOut:
		s.handleAppendTimeout(m)
	case probeDue:
		s.probe(c)
	case queryDue:
		s.queryPeers(c, m)
	case retryDue:
		s.retryAttempt(c, m)
	case expireDue:
		s.expire(c, m)
	}
}

// handleRequest handles a message of a caller. It refuses the message unless the VM holds the failure domain.
func (s *Service) handleRequest(c *kernel.Context, e kernel.Envelope) {
	if s.ledger.Epoch().IsZero() {
		f := failure.New(failure.NotHolder, "this VM does not hold %s", s.domain)
		if _, isIssue := e.Body.(message.TicketIssue); !isIssue {
			f.Outcome = failure.Unknown
		}
		e.Fail(s.metrics.CountRefusal(f))
		return
	}
	switch m := e.Body.(type) {
	case message.TicketIssue:
		s.issueTickets(e, m.Count)
	case message.RequestSend:
		s.handleSend(c, e, m)
	case message.RequestStatus:
		s.sendStatus(e, m)
	}
}

func (s *Service) issueTickets(e kernel.Envelope, count int) {
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

func (s *Service) sendStatus(e kernel.Envelope, m message.RequestStatus) {
	r, pending, f := s.ledger.Status(m.Request, m.Ticket)
	switch {
	case f != nil:
		e.Fail(s.metrics.CountRefusal(f))
	case pending:
		e.Reply(message.RequestReply{Request: m.Request, Outcome: failure.Unknown, Pending: true})
	default:
		s.replyOutcome(e, r)
	}
}

// replyOutcome answers with the outcome in a record.
func (s *Service) replyOutcome(e kernel.Envelope, r ledger.Record) {
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
	wasAlive := make(map[model.VMID]bool)
	for _, old := range s.members {
		wasAlive[old.VM] = old.Alive
	}
	s.members = m.Members
	s.executorSlots = 0
	for _, vm := range m.Executors {
		s.region = vm.Region
		if !vm.Leaving {
			s.executorSlots += route.MaxSlotsPerExecutor
		}
	}
	s.replicateToNewPeers(c, wasAlive)
}

// Drain implements kernel.Service. It refuses new requests and waits for the requests in progress.
func (s *Service) Drain(c *kernel.Context) {
	s.leaving, s.draining = true, true
	s.finishDrainIfIdle(c)
}

// finishDrainIfIdle appends the last records to the log once no request is in progress. The flushed record proves to
// the next holder that all records are in the log, so that tickets without a record did not run.
func (s *Service) finishDrainIfIdle(c *kernel.Context) {
	if !s.draining || s.flushing || len(s.executions) > 0 {
		return
	}
	s.flushing = true
	if s.ledger.Epoch().IsZero() || s.journal.fenced {
		c.CompleteDrain()
		return
	}
	records := append([]ledger.Record(nil), s.journal.unsaved...)
	for _, p := range s.journal.queue {
		records = append(records, p.record)
	}
	s.appendToLog(c, append(records, s.ledger.FlushedRecord()), func(*failure.Error) { c.CompleteDrain() })
}
