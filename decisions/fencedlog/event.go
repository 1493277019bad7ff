// Package fencedlog decides how the holder of a failure domain reads, seals, appends to and compacts its log.
//
// The log is a sequence of slots that are created by compare-and-swap on absence. A new holder seals it by
// taking the first absent slot, so that an older holder, whose next slot is taken, cannot append. Appends
// are committed in groups, as described in "Implementation Techniques for Main Memory Database Systems" by
// DeWitt et al.: one write is in flight and everything that arrives meanwhile goes into the next slot.
package fencedlog

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Record is a durable record of one service.
type Record struct {
	Service string
	Data    []byte
}

// size is the share of the record in the bound of a slot, in bytes.
func (r Record) size() int { return len(r.Data) + len(r.Service) + recordOverhead }

// SlotKind tells what a slot holds.
type SlotKind string

// Kinds of slots.
const (
	Batch SlotKind = "batch"
	// Seal ends the log of all earlier epochs. Seals are never deleted, because the next slot of an older
	// holder is always a seal and must stay taken.
	Seal  SlotKind = "seal"
	Close SlotKind = "close"
)

// Slot is one entry of the log.
type Slot struct {
	Kind    SlotKind
	Epoch   model.Epoch
	WriteID string
	Records []Record
	// Complete is set in a closing slot if no append of its epoch was answered as unavailable.
	Complete bool
	// Snapshot is set in the slot that precedes the writes of a snapshot's chunks, so that a later holder can
	// delete those of a snapshot that was not finished.
	Snapshot Area `json:",omitzero"`
}

// Area is the place of the chunks of one snapshot.
type Area struct {
	// First is that of the snapshot's head.
	First  uint64
	Chunks int
}

// Head describes the last snapshot.
type Head struct {
	Epoch   model.Epoch
	WriteID string
	// First is the first slot that the snapshot does not replace; Oldest the first one not yet deleted.
	First, Oldest uint64
	Chunks        int
	// Stale lists replaced and unfinished snapshots whose chunks may not yet be deleted.
	Stale    []Area `json:",omitempty"`
	Complete []model.Epoch
}

// Op is an operation on the store.
type Op string

// Operations on the store.
const (
	ReadHead    Op = "read_head"
	ReadChunk   Op = "read_chunk"
	ReadSlot    Op = "read_slot"
	PutSlot     Op = "put_slot"
	PutChunk    Op = "put_chunk"
	PutHead     Op = "put_head"
	DeleteSlot  Op = "delete_slot"
	DeleteChunk Op = "delete_chunk"
)

// Status tells how a call to the store ended. A lost write may have taken effect.
type Status string

// Statuses of calls.
const (
	OK       Status = "ok"
	Conflict Status = "conflict"
	Lost     Status = "lost"
)

// Outcome answers an append.
type Outcome string

// Outcomes of an append.
const (
	// Durable means that the records are in the log.
	Durable Outcome = "durable"
	// NotHolder means that the records are not in the log.
	NotHolder Outcome = "not_holder"
	// Unavailable means that the records may be in the log.
	Unavailable Outcome = "unavailable"
	// TooLarge means that the records exceed one slot and are not in the log.
	TooLarge Outcome = "too_large"
)

// Event is an input of Log.Step.
type Event interface{ event() }

type (
	// Open begins replay and sealing under an epoch.
	Open struct{ Epoch model.Epoch }
	// Abandon reports that the VM no longer holds the failure domain.
	Abandon struct{}
	// Logs tells the number of logs that share the store.
	Logs struct{ Number int }
	// Append asks for durability of records.
	Append struct {
		ID      uint64
		Epoch   model.Epoch
		Records []Record
	}
	// Closing asks for the closing record after all earlier appends.
	Closing struct {
		ID    uint64
		Epoch model.Epoch
	}
	// Result is the answer to a Call. The entry is also set for Conflict; version 0 means absent.
	Result struct {
		ID      uint64
		Status  Status
		Version uint64
		Slot    Slot
		Head    Head
		Records []Record
	}
	// Snapshot delivers the records that rebuild the state of all services; Failed if one did not answer.
	// All appends that preceded the answers must be delivered before it. First repeats that of GetSnapshot.
	Snapshot struct {
		First   uint64
		Records []Record
		Failed  bool
	}
	// Woken reports that the wait of a Wake action is over.
	Woken struct{ Number uint64 }
)

func (Open) event()     {}
func (Abandon) event()  {}
func (Logs) event()     {}
func (Append) event()   {}
func (Closing) event()  {}
func (Result) event()   {}
func (Snapshot) event() {}
func (Woken) event()    {}

// Action is an output of Log.Step.
type Action interface{ action() }

type (
	// Call asks for a call to the store; answered by a Result.
	Call struct {
		ID uint64
		Op Op
		// N is the slot, or the snapshot of a chunk.
		N       uint64
		Chunk   int
		Version uint64
		Slot    Slot
		Head    Head
		Records []Record
	}
	// Answer ends an append or a closing.
	Answer struct {
		ID      uint64
		Outcome Outcome
	}
	// Replayed delivers the records of the log.
	Replayed struct {
		Epoch    model.Epoch
		Records  []Record
		Sealed   bool
		Complete []model.Epoch
	}
	// GetSnapshot asks for a Snapshot event that covers the slots before First.
	GetSnapshot struct {
		Epoch model.Epoch
		First uint64
	}
	// Fenced reports that a higher epoch has sealed the log.
	Fenced struct{ Epoch model.Epoch }
	// Wake asks for a Woken event with the same number after Delay. It replaces earlier ones.
	Wake struct {
		Number uint64
		Delay  time.Duration
	}
)

func (Call) action()        {}
func (Answer) action()      {}
func (Replayed) action()    {}
func (GetSnapshot) action() {}
func (Fenced) action()      {}
func (Wake) action()        {}
