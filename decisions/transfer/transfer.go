// Package transfer decides how a waiting job is handed over to another failure domain, so that it is runnable in at
// most one of them at any time and is not lost.
//
// The source records the transfer before it offers the job and does not start the job until the target has refused.
// The target decides each transfer once, records the decision before it answers and repeats it. This is two-phase
// commit with the target as the only participant and the source as the coordinator that asks again (Gray, "Notes on
// Data Base Operating Systems").
//
// The transfers from one source to one target are numbered without gaps. The target keeps the number below which all
// transfers are closed, so that a copy of an old offer that arrives after TransferDone is not decided again.
//
// Source and Target have no clock and no I/O. The caller passes events with the present time, carries out the actions
// and calls Tick at Deadline. Messages may be lost, repeated, late and out of order.
//
// Durable state is a set of records. Each AppendSource or AppendTarget is one append to the log of the failure domain
// that also holds the state of the job after it. Records and Replay serve snapshots and takeovers. The snapshot is
// replayed first, then the log in its order, of which the snapshot may already contain a part.
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
	// resendFirst and resendMax bound the delay before a message is sent again. It doubles from the first to the second.
	// The first covers the deadline of a call between regions.
	resendFirst = 2 * time.Second
	resendMax   = 16 * time.Second
	// withdrawAfter is the time without a decision after which the source withdraws a transfer. It covers the election
	// of another holder at the target and the reading of its log.
	withdrawAfter = 20 * time.Second
	// logRetry is the delay before a failed append is repeated.
	logRetry = time.Second
	// Window bounds the numbers between the oldest open transfer of a source and target and a new one.
	Window = 128
	// MaxOpen bounds the offers that a target has decided or is deciding and that are not closed; MaxWithdrawn bounds all open
	// entries, so that a withdrawal is decided although offers are deferred.
	MaxOpen      = 512
	MaxWithdrawn = 2 * MaxOpen
)

// ID identifies a transfer.
type ID struct {
	Source, Target model.FailureDomain
	// Seq numbers the transfers from Source to Target, from 1.
	Seq uint64
}

// String returns the identifier as "source/target/seq", as messages carry it.
func (id ID) String() string { return fmt.Sprintf("%s/%s/%d", id.Source, id.Target, id.Seq) }

// ParseID returns the identifier of a message, or an error if it is malformed.
func ParseID(s string) (ID, error) {
	p := strings.Split(s, "/")
	if len(p) != 3 || p[0] == "" || p[1] == "" {
		return ID{}, errors.Newf("malformed transfer %q", s)
	}
	seq, err := strconv.ParseUint(p[2], 10, 64)
	if err != nil || seq == 0 {
		return ID{}, errors.Newf("malformed transfer %q", s)
	}
	return ID{Source: model.FailureDomain(p[0]), Target: model.FailureDomain(p[1]), Seq: seq}, nil
}

// Decision is the durable answer of a target.
type Decision struct {
	Accepted bool
	// Job is the job of the target if it accepted.
	Job model.JobID
	// Reason tells why the transfer was refused.
	Reason string
}

// ReasonWithdrawn is the reason of a refusal that the source asked for.
const ReasonWithdrawn = "withdrawn"

// Phase is the phase of a transfer in a record. Phases of one side only ever advance.
type Phase string

// Phases of a transfer.
const (
	// Offering and Withdrawing are undecided phases of the source.
	Offering    Phase = "offering"
	Withdrawing Phase = "withdrawing"
	// Decided means that the decision of the record holds.
	Decided Phase = "decided"
	// Closed means that both sides know the decision.
	Closed Phase = "closed"
	// ClosedThrough means that all transfers up to this number without another record are closed. Only Records gives it.
	ClosedThrough Phase = "closed_through"
)

// SourceRecord is the durable state of a transfer at its source. In the phases Offering and Withdrawing the job
// is not runnable; after Decided it has ended as moved or is queued again. Job is empty if the record of the transfer
// was lost in a crash before anything was sent; no job waits for its decision.
type SourceRecord struct {
	ID ID
	// Order numbers the transfers of the source over all targets.
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

// Deferral tells why a target gives no decision.
type Deferral string

// Reasons of deferrals.
const (
	// Full means that too many transfers are open; the source asks again.
	Full Deferral = "transfers_full"
	// AlreadyClosed means that the source has confirmed the decision before; the message is an old copy.
	AlreadyClosed Deferral = "transfer_closed"
)

// Action is an output of Source or Target.
type Action interface{ action() }

type (
	// AppendSource asks the source for a durable record; answered by Source.Logged.
	AppendSource struct{ Record SourceRecord }
	// Offer sends JobAccept to ID.Target; answered by Source.Answered if there is a decision.
	Offer struct {
		ID  ID
		Job model.JobID
	}
	// Withdraw sends JobWithdraw to ID.Target; answered as Offer.
	Withdraw struct {
		ID  ID
		Job model.JobID
	}
	// Confirm sends TransferDone to ID.Target; answered by Source.Confirmed.
	Confirm struct{ ID ID }
	// Ended tells that the decision is durable: an accepted job ends as moved, a refused one may start again.
	Ended struct {
		ID       ID
		Job      model.JobID
		Decision Decision
	}
	// AppendTarget asks the target for a durable record; answered by Target.Logged.
	AppendTarget struct{ Record TargetRecord }
	// Answer answers all waiting JobAccept and JobWithdraw of a transfer.
	Answer struct {
		ID       ID
		Decision Decision
	}
	// Enqueue makes the job of an accepted transfer runnable at the target.
	Enqueue struct {
		ID  ID
		Job model.JobID
	}
	// Defer answers a message with a temporary refusal that decides nothing.
	Defer struct {
		ID     ID
		Reason Deferral
	}
	// AnswerDone answers all waiting TransferDone of a transfer.
	AnswerDone struct{ ID ID }
)

func (AppendSource) action() {}
func (Offer) action()        {}
func (Withdraw) action()     {}
func (Confirm) action()      {}
func (Ended) action()        {}
func (AppendTarget) action() {}
func (Answer) action()       {}
func (Enqueue) action()      {}
func (Defer) action()        {}
func (AnswerDone) action()   {}

// rank orders the phases of one side.
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
