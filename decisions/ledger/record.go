package ledger

import (
	"cmp"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// Rank orders the uses of one request identifier. A key whose request ended as not run may be used again, under a
// higher rank.
type Rank struct {
	Epoch model.Epoch `json:"epoch"`
	Seq   uint64      `json:"n"`
}

// Compare orders ranks by epoch, then by Seq.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(r.Epoch.Compare(o.Epoch), cmp.Compare(r.Seq, o.Seq))
}

// Record is the durable form of one fact about a request or an epoch. Replaying records is idempotent and does not
// depend on their order.
type Record struct {
	// ID identifies the request; empty if the record is about an epoch: Flushed, LowWaterMark or Forgotten.
	ID   model.RequestID `json:"id,omitempty"`
	Rank Rank            `json:"rank"`
	// Key is true if the identifier is that of an idempotency key.
	Key bool `json:"key,omitempty"`
	// Hash is the fingerprint of the request's content.
	Hash uint64 `json:"hash,omitempty"`
	// Outcome is empty for an intent, that is, before the request has ended.
	Outcome failure.Outcome `json:"outcome,omitempty"`
	Body    []byte          `json:"body,omitempty"`
	// BodyDropped is true if the request ran and its response body is not kept.
	BodyDropped bool `json:"body_dropped,omitempty"`
	// Code and Detail describe a failure; Code is empty if the request succeeded.
	Code   string `json:"code,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Flushed states that every record of Rank.Epoch is in the log.
	Flushed bool `json:"flushed,omitempty"`
	// LowWaterMark is the number up to which finished records of tickets of Rank.Epoch have been removed.
	LowWaterMark uint64 `json:"mark,omitempty"`
	// Forgotten states that ticket records of epochs up to Rank.Epoch have been removed.
	Forgotten bool `json:"forgotten,omitempty"`
}

// Final reports whether the record holds an outcome.
func (r Record) Final() bool { return r.Outcome != "" }

// Failure returns the failure that the request ended with, or nil if it succeeded.
func (r Record) Failure() *failure.Error {
	if r.Code == "" && r.Outcome == failure.Run {
		return nil
	}
	reason, ok := failure.ReasonOf(r.Code)
	if !ok {
		reason = failure.TicketSpent
	}
	return failure.New(reason, "%s", r.Detail).WithOutcome(r.Outcome)
}

// supersedes reports whether r replaces o, a record of the same identifier.
func (r Record) supersedes(o Record) bool {
	if c := r.Rank.Compare(o.Rank); c != 0 {
		return c > 0
	}
	return r.Final() && !o.Final()
}
