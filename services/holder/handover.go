package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

// The store may turn away the holder alone while it serves other VMs. The holder then asks other VMs to record that it
// has resigned, so that one of them takes over at once instead of after the end of the lease. If the store serves none of
// them either, the holder goes on.

const (
	// renewRetryDelay is the delay before a renewal is repeated for the first time. A second failure starts a handover.
	renewRetryDelay = 100 * time.Millisecond
	// handoverFailures is the number of consecutive failed renewals from which on the holder tries to hand over.
	handoverFailures = 2
	// handoverTimeout bounds the call to another VM, and resignTimeout its call to the store.
	handoverTimeout = 600 * time.Millisecond
	resignTimeout   = 400 * time.Millisecond
)

// handover is the state of an attempt to hand over.
type handover struct {
	// pending is the number of VMs that have not answered.
	pending int
	// unknown is set if a VM may have recorded the resignation.
	unknown bool
}

// tryHandover asks the other VMs of the settings to record the resignation. Until they have answered nothing is started,
// because the next holder may begin at any moment.
func (s *Service) tryHandover(c *kernel.Context) {
	t := s.term
	peers := s.peers()
	if s.draining || t.handover != nil || len(peers) == 0 || t.permitUntil > s.now() {
		return
	}
	t.handover = &handover{pending: len(peers)}
	t.suspendStarts()
	s.metrics.CountEvent("handover_tried", 1)
	number, record := t.number, s.election.record
	resign := message.ResignHolder{
		VM: record.VM, Address: record.Address, Incarnation: record.Incarnation, Term: record.Term, FencingToken: workload.FencingToken(t.fence),
	}
	for _, address := range peers {
		call := message.RelayCall{Address: address, To: names.Holder, Body: resign, Timeout: handoverTimeout}
		c.Request(names.Relay, call, func(_ kernel.Message, err error) {
			if s.term != nil && s.term.number == number && s.term.handover != nil {
				s.handleResignAnswer(c, address, err)
			}
		})
	}
}

// peers returns the addresses of other VMs.
func (s *Service) peers() []string {
	var out []string
	for _, a := range s.settings.Peers {
		if a != s.settings.Address {
			out = append(out, a)
		}
	}
	return out
}

// handleResignAnswer applies the answer of one VM.
func (s *Service) handleResignAnswer(c *kernel.Context, address string, err error) {
	t := s.term
	h := t.handover
	if err == nil {
		s.endTerm("handed over because the store turns this VM away", "through", address)
		s.publishHolder(c)
		return
	}
	h.unknown = h.unknown || failure.FromDelivery(err).Outcome != failure.NotRun
	if h.pending--; h.pending > 0 {
		return
	}
	t.handover = nil
	if h.unknown {
		// The resignation may still be recorded. A new candidacy changes the revision on which that depends.
		s.log("handover undecided; standing for election again", "term", t.number)
		s.election.ownLease = 0
		s.campaign(c)
		return
	}
	t.resumeStarts()
	s.requestPlan(c)
}

// handleResign records the resignation of another VM for it.
func (s *Service) handleResign(c *kernel.Context, m message.ResignHolder, e kernel.Envelope) {
	record := records.Holder{VM: m.VM, Address: m.Address, Incarnation: m.Incarnation, Term: m.Term, Released: true}
	txn := metastore.Txn{
		Conditions: []metastore.Condition{{Key: records.HolderKey, Revision: int64(m.FencingToken)}},
		Writes:     []metastore.Write{{Key: records.HolderKey, Value: records.Encode(record)}},
	}
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, resignTimeout)
		defer cancel()
		_, err := s.store.Commit(ctx, txn)
		return resignRecorded{e, err}
	})
}

// resignRecorded is the result of recording the resignation of another VM.
type resignRecorded struct {
	env kernel.Envelope
	err error
}

// Kind implements kernel.Message.
func (resignRecorded) Kind() string { return "holder_resign_recorded" }

func (s *Service) handleResignRecorded(m resignRecorded) {
	var (
		conflict    *metastore.ConflictError
		notExecuted *metastore.NotExecutedError
	)
	switch {
	case m.err == nil, errors.As(m.err, &conflict):
		// After a conflict the VM is not the holder any more.
		m.env.Reply(message.Done{})
	case errors.As(m.err, &notExecuted):
		m.env.Fail(failure.New(failure.StoreUnavailable, "%v", m.err))
	default:
		m.env.Fail(failure.New(failure.AcceptanceUnknown, "%v", m.err))
	}
}

// suspendStarts keeps starts from being planned, and from being sent if they were planned.
func (t *term) suspendStarts() { t.cancelStarts() }

// resumeStarts permits starts again.
func (t *term) resumeStarts() { t.startsCtx, t.cancelStarts = context.WithCancel(t.ctx) }

// startsSuspended reports whether nothing may be started.
func (t *term) startsSuspended() bool { return t.startsCtx.Err() != nil }
