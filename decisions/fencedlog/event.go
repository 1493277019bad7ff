// Package fencedlog decides how the holder of a failure domain reads, seals, appends to and compacts its log.
//
// The log is a sequence of slots in the store. A slot is created by a compare-and-swap that requires it to be absent.
// A new holder seals the log by writing a seal to the first absent slot. An older holder can then no longer append,
// because the slot that it would write next exists. Appends are committed in groups, as described in "Implementation
// Techniques for Main Memory Database Systems" by DeWitt et al.: one write is in flight at a time, and the appends
// that arrive meanwhile go into the next slot.
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

// size returns the number of bytes that the record counts towards MaxSlotBytes.
func (r Record) size() int { return len(r.Data) + len(r.Service) + recordOverheadBytes }

// SlotKind is the kind of a slot.
type SlotKind string

// Kinds of slots.
const (
	// Batch holds the records of a group of appends.
	Batch SlotKind = "batch"
	// Seal ends the log of all earlier epochs. Seals are never deleted: the slot that an older holder would write
	// next is always a seal, and its write must keep failing.
	Seal SlotKind = "seal"
	// Close ends the log of the current epoch.
	Close SlotKind = "close"
)

// Slot is one entry of the log.
type Slot struct {
	Kind    SlotKind
	Epoch   model.Epoch
	WriteID string
	Records []Record
	// Complete is true in a closing slot if no append of its epoch was answered as unavailable.
	Complete bool
	// Snapshot is set in the slot that is written before the chunks of a snapshot, so that a later holder can delete
	// the chunks of an unfinished snapshot.
	Snapshot SnapshotRef `json:",omitzero"`
}

// SnapshotRef identifies the chunks of one snapshot.
type SnapshotRef struct {
	// First equals Head.First of the snapshot. The keys of its chunks contain it.
	First  uint64
	Chunks int
}

// Head describes the last snapshot.
type Head struct {
	Epoch   model.Epoch
	WriteID string
	// First is the first slot that the snapshot does not cover. Oldest is the first slot that may not have been
	// deleted yet.
	First, Oldest uint64
	Chunks        int
	// Stale lists replaced and unfinished snapshots whose chunks may still be in the store.
	Stale []SnapshotRef `json:",omitempty"`
	// Complete lists the epochs that were closed with all records in the log.
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

// Status is the result of a call to the store.
type Status string

// Results of calls.
const (
	OK Status = "ok"
	// Conflict means that the current version differs from the expected one.
	Conflict Status = "conflict"
	// NoAnswer means that no answer arrived. A write may have taken effect.
	NoAnswer Status = "lost"
)

// Outcome is the result of an append or a closing.
type Outcome string

// Outcomes of an append or a closing.
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
	// Abandon reports that the VM is no longer the holder of the failure domain.
	Abandon struct{}
	// SetLogCount sets the number of logs that share WritesPerSecond.
	SetLogCount struct{ Count int }
	// Append asks to make records durable.
	Append struct {
		ID      uint64
		Epoch   model.Epoch
		Records []Record
	}
	// CloseEpoch asks for a closing slot after all earlier appends.
	CloseEpoch struct {
		ID    uint64
		Epoch model.Epoch
	}
	// CallResult is the answer to a Call. After a Conflict it holds the current entry; Version 0 means that there is
	// none.
	CallResult struct {
		ID      uint64
		Status  Status
		Version uint64
		Slot    Slot
		Head    Head
		Records []Record
	}
	// Snapshot answers GetSnapshot with the records that rebuild the state of all services. Failed is true if a
	// service did not answer. Appends that a service sent before its answer must be delivered before the snapshot.
	// First equals GetSnapshot.First.
	Snapshot struct {
		First   uint64
		Records []Record
		Failed  bool
	}
	// TimerFired reports that the delay of a SetTimer action has passed.
	TimerFired struct{ Number uint64 }
)

func (Open) event()        {}
func (Abandon) event()     {}
func (SetLogCount) event() {}
func (Append) event()      {}
func (CloseEpoch) event()  {}
func (CallResult) event()  {}
func (Snapshot) event()    {}
func (TimerFired) event()  {}

// Action is an output of Log.Step.
type Action interface{ action() }

type (
	// Call asks for a call to the store; answered by a CallResult.
	Call struct {
		ID uint64
		Op Op
		// SlotNumber is the number of the slot, or SnapshotRef.First of a chunk.
		SlotNumber uint64
		Chunk      int
		Version    uint64
		Slot       Slot
		Head       Head
		Records    []Record
	}
	// AppendResult gives the outcome of an append or a closing.
	AppendResult struct {
		ID      uint64
		Outcome Outcome
	}
	// Replayed delivers the records of the log. Sealed is false and Records is empty if the log could not be read and
	// sealed within ReplayTimeout, in which case a sealed one may follow, or if the epoch has no log.
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
	// SetTimer asks for a TimerFired event with the same number after Delay. It replaces earlier requests.
	SetTimer struct {
		Number uint64
		Delay  time.Duration
	}
)

func (Call) action()         {}
func (AppendResult) action() {}
func (Replayed) action()     {}
func (GetSnapshot) action()  {}
func (Fenced) action()       {}
func (SetTimer) action()     {}
