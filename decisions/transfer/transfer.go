// Package transfer decides how a waiting job is transferred to another failure domain, so that the job is runnable in
// at most one failure domain at any time and is not lost.
//
// The source records the transfer before it offers the job, and does not start the job unless the target refuses it.
// The target decides each transfer once, records the decision before it answers, and gives the same answer to repeated
// messages. This is two-phase commit with the target as the only participant and the source as the coordinator, which
// repeats its messages until they are answered (Gray, "Notes on Data Base Operating Systems").
//
// The transfers from one source to one target are numbered without gaps. The target keeps the number up to which all
// transfers are closed, so that it does not decide again on a late copy of an offer that arrives after TransferDone.
//
// Source and Target have no clock and perform no I/O. The caller passes events with the current time, executes the
// actions and calls Tick at Deadline. Messages may be lost, duplicated, delayed and reordered.
//
// The durable state is a set of records. Each AppendSource or AppendTarget is one append to the log of the failure
// domain. The same append contains the resulting state of the job. Records returns the state for snapshots, and Replay
// restores it when a new holder takes over: first the snapshot, then the records of the log in order, some of which the
// snapshot may already contain.
package transfer

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// initialResendDelay and maxResendDelay bound the delay before a message is sent again, which doubles each time. The
	// initial delay is not shorter than the deadline of a call between regions.
	initialResendDelay = 2 * time.Second
	maxResendDelay     = 16 * time.Second
	// withdrawAfter is the time without a decision after which the source withdraws a transfer. It allows for the election
	// of a new holder at the target and for that holder's replay of the log.
	withdrawAfter = 20 * time.Second
	// appendRetryDelay is the delay before a failed append is repeated.
	appendRetryDelay = time.Second
	// Window is the size of the range of numbers, from the oldest open transfer of a source and target on, in which
	// transfers may be open.
	Window = 128
	// MaxOpenOffers is the number of open transfers, decided or being decided, from which a target defers new offers.
	// MaxOpenEntries is the number from which it also defers withdrawals. It is higher, so that withdrawals are still
	// decided while offers are deferred.
	MaxOpenOffers  = 512
	MaxOpenEntries = 2 * MaxOpenOffers
)

// ID identifies a transfer.
type ID struct {
	Source, Target model.FailureDomain
	// Seq numbers the transfers from Source to Target, starting at 1.
	Seq uint64
}

// String returns the identifier in the form "source/target/seq", which messages use.
func (id ID) String() string { return fmt.Sprintf("%s/%s/%d", id.Source, id.Target, id.Seq) }

// ParseID parses the form that String returns.
func ParseID(s string) (ID, error) {
	p := strings.Split(s, "/")
	if len(p) != 3 || p[0] == "" || p[1] == "" {
		return ID{}, errors.Newf("malformed transfer identifier %q", s)
	}
	seq, err := strconv.ParseUint(p[2], 10, 64)
	if err != nil || seq == 0 {
		return ID{}, errors.Newf("malformed transfer identifier %q", s)
	}
	return ID{Source: model.FailureDomain(p[0]), Target: model.FailureDomain(p[1]), Seq: seq}, nil
}

// Decision is the durable decision of a target on a transfer.
type Decision struct {
	Accepted bool
	// Job is the new job at the target if Accepted is true.
	Job model.JobID
	// Reason is the reason of a refusal.
	Reason string
}

// ReasonWithdrawn is the reason of a refusal that the source requested by a withdrawal.
const ReasonWithdrawn = "withdrawn"

// Phase is the phase of a transfer at its source or its target. At each side, phases only advance.
type Phase string

// Phases of a transfer.
const (
	// Offering and Withdrawing are undecided phases of the source.
	Offering    Phase = "offering"
	Withdrawing Phase = "withdrawing"
	// Decided means that the decision in the record is final.
	Decided Phase = "decided"
	// Closed means that both sides know the decision.
	Closed Phase = "closed"
	// ClosedThrough means that all transfers up to this number that have no other record are closed. Only Records
	// returns it.
	ClosedThrough Phase = "closed_through"
)

// SourceRecord is the durable state of a transfer at its source. In the phases Offering and Withdrawing the job is not
// runnable. From Decided on, it has ended as moved or is queued again. Job is empty if the record of the transfer was
// lost in a crash before any message was sent; no job waits for the decision on such a transfer.
type SourceRecord struct {
	ID ID
	// Order numbers the transfers of the source across all targets.
	Order    uint64
	Job      model.JobID
	Phase    Phase
	Decision Decision
}

// TargetRecord is the durable state of a transfer at its target. An accepted job is runnable from Decided on.
type TargetRecord struct {
	ID       ID
	Phase    Phase
	Decision Decision
}

// Deferral is the reason why a target does not decide on a message.
type Deferral string

// Reasons of deferrals.
const (
	// TooManyOpen means that too many transfers are open. The source sends the message again.
	TooManyOpen Deferral = "transfers_full"
	// AlreadyClosed means that the source has already confirmed the decision, so that the message is an old copy.
	AlreadyClosed Deferral = "transfer_closed"
)

// Action is an output of Source or Target.
type Action interface{ action() }

type (
	// AppendSource asks for an append to the log of the source. The caller reports the result with
	// Source.HandleAppendResult.
	AppendSource struct{ Record SourceRecord }
	// Offer sends JobAccept to ID.Target. The caller passes a decision in the reply to Source.HandleDecision.
	Offer struct {
		ID  ID
		Job model.JobID
	}
	// Withdraw sends JobWithdraw to ID.Target. Its reply is handled like that of Offer.
	Withdraw struct {
		ID  ID
		Job model.JobID
	}
	// Confirm sends TransferDone to ID.Target. The caller reports the reply with Source.HandleConfirmed.
	Confirm struct{ ID ID }
	// DecisionDurable reports that the decision is durable: an accepted job ends as moved, a refused one may be
	// started.
	DecisionDurable struct {
		ID       ID
		Job      model.JobID
		Decision Decision
	}
	// AppendTarget asks for an append to the log of the target. The caller reports the result with
	// Target.HandleAppendResult.
	AppendTarget struct{ Record TargetRecord }
	// ReplyDecision replies to all pending JobAccept and JobWithdraw messages of a transfer.
	ReplyDecision struct {
		ID       ID
		Decision Decision
	}
	// Enqueue makes the job of an accepted transfer runnable at the target.
	Enqueue struct {
		ID  ID
		Job model.JobID
	}
	// Defer replies to a message with a temporary refusal, which is not a decision.
	Defer struct {
		ID     ID
		Reason Deferral
	}
	// ReplyDone replies to all pending TransferDone messages of a transfer.
	ReplyDone struct{ ID ID }
)

func (AppendSource) action()    {}
func (Offer) action()           {}
func (Withdraw) action()        {}
func (Confirm) action()         {}
func (DecisionDurable) action() {}
func (AppendTarget) action()    {}
func (ReplyDecision) action()   {}
func (Enqueue) action()         {}
func (Defer) action()           {}
func (ReplyDone) action()       {}

// rank returns the position of the phase in the order in which phases advance.
func (p Phase) rank() int {
	switch p {
	case Withdrawing:
		return 1
	case Decided:
		return 2
	case Closed, ClosedThrough:
		return 3
	default:
		return 0
	}
}
