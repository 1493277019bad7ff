package ledger

import (
	"cmp"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// Rank orders the uses of one identifier. A key that ended as not run is used again under a higher rank.
type Rank struct {
	Epoch model.Epoch `json:"epoch"`
	N     uint64      `json:"n"`
}

// Compare orders ranks by epoch, then by number.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(r.Epoch.Compare(o.Epoch), cmp.Compare(r.N, o.N))
}

// Record is the durable form of one fact. Records may be replayed in any number and merge to the same state.
type Record struct {
	// ID is the request; empty for the facts about an epoch below.
	ID   model.RequestID `json:"id,omitempty"`
	Rank Rank            `json:"rank"`
	// Key is true if the identifier is an idempotency key.
	Key bool `json:"key,omitempty"`
	// Hash is the fingerprint of the content.
	Hash uint64 `json:"hash,omitempty"`
	// Outcome is empty for an intent.
	Outcome failure.Outcome `json:"outcome,omitempty"`
	Body    []byte          `json:"body,omitempty"`
	// BodyDropped is true if the request ran and its body is no longer kept.
	BodyDropped bool `json:"body_dropped,omitempty"`
	// Code and Detail describe a failure; Code is empty if the request succeeded.
	Code   string `json:"code,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Flushed states that every record of the epoch Rank.Epoch is in the log.
	Flushed bool `json:"flushed,omitempty"`
	// Mark states that finished records of tickets of Rank.Epoch up to this number were collected.
	Mark uint64 `json:"mark,omitempty"`
	// Forgotten states that records of all epochs up to Rank.Epoch were collected.
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
