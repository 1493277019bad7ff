// Package authority decides when an entry VM holds its failure domain.
//
// A lease on the holder key says when to elect; the epoch key, raised by compare-and-swap, decides who won.
// The epoch is a fencing token as described in "How to do distributed locking" by Martin Kleppmann: workers
// and the log reject lower epochs, so that safety does not depend on clocks. While the store is unavailable
// a peer of a dead holder claims the failure domain with the next outage epoch.
package authority

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Record is the value of the epoch key and of the holder key.
type Record struct {
	VM model.VMID
	// Epoch is the store part of the epoch; unused in the holder key.
	Epoch uint64
	// WriteID tells a write that took effect from one of another VM.
	WriteID string
}

// Op is an operation on the store.
type Op string

// Operations on the store.
const (
	GetHolder   Op = "get_holder"
	WatchHolder Op = "watch_holder"
	PutHolder   Op = "put_holder"
	GetEpoch    Op = "get_epoch"
	PutEpoch    Op = "put_epoch"
	Grant       Op = "grant"
	KeepAlive   Op = "keep_alive"
	Revoke      Op = "revoke"
)

// Status tells how a call to the store ended.
type Status string

// Statuses of calls. Lost covers every call without a complete answer; a lost write may have taken effect.
const (
	OK           Status = "ok"
	Conflict     Status = "conflict"
	LeaseExpired Status = "lease_expired"
	Lost         Status = "lost"
)

// Event is an input of Machine.Step.
type Event interface{ event() }

type (
	// Started begins the competition for the failure domain.
	Started struct{}
	// Woken reports that the wait of a Wake action is over.
	Woken struct{ Number uint64 }
	// Result is the answer to a Call.
	Result struct {
		ID     uint64
		Status Status
		// Version and Record are the entry of the key, also for Conflict; version 0 means absent.
		Version uint64
		Record  Record
		// Lease is the granted lease.
		Lease uint64
	}
	// Members lists the other entry VMs of the failure domain.
	Members struct{ Peers []model.Member }
	// Refused reports that a worker or the log has accepted Epoch from another VM.
	Refused struct{ Epoch model.Epoch }
	// Drain begins the handover to a peer.
	Drain struct{}
	// LogClosed is the answer to CloseLog.
	LogClosed struct{}
)

func (Started) event()   {}
func (Woken) event()     {}
func (Result) event()    {}
func (Members) event()   {}
func (Refused) event()   {}
func (Drain) event()     {}
func (LogClosed) event() {}

// Action is an output of Machine.Step.
type Action interface{ action() }

type (
	// Call asks for a call to the store; answered by a Result with the same ID.
	Call struct {
		ID uint64
		Op Op
		// Version is the expected version of a put or the known version of a watch.
		Version uint64
		Record  Record
		Lease   uint64
	}
	// Wake asks for a Woken event with the same number after Delay. It replaces earlier ones.
	Wake struct {
		Number uint64
		Delay  time.Duration
	}
	// Announce tells the other services whether the VM holds its failure domain.
	Announce struct {
		Holder bool
		Epoch  model.Epoch
	}
	// CloseLog asks for the closing record of an epoch; answered by LogClosed.
	CloseLog struct{ Epoch model.Epoch }
	// Drained ends the handover.
	Drained struct{}
)

func (Call) action()     {}
func (Wake) action()     {}
func (Announce) action() {}
func (CloseLog) action() {}
func (Drained) action()  {}
