// Package authority implements the election of the entry VM that holds a failure domain.
//
// The holder key is bound to a lease; when the key is absent, the VMs start an election. The epoch key, which is
// incremented by compare-and-swap, determines the winner. The epoch is a fencing token (Martin Kleppmann, "How to
// do distributed locking"): workers and the log reject lower epochs, so safety does not depend on clocks. While the
// store is unavailable, a peer of a dead holder claims the failure domain with the next outage epoch.
package authority

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Record is the value of the epoch key or the holder key.
type Record struct {
	VM model.VMID
	// Epoch is the Store component of model.Epoch. It is zero in the holder key.
	Epoch uint64
	// WriteID is unique for each write. After a lost answer it shows whether the write took effect.
	WriteID string
}

// Op identifies an operation on the store.
type Op string

// Operations on the store. GrantLease, RenewLease and RevokeLease act on leases.
const (
	GetHolder   Op = "get_holder"
	WatchHolder Op = "watch_holder"
	PutHolder   Op = "put_holder"
	GetEpoch    Op = "get_epoch"
	PutEpoch    Op = "put_epoch"
	GrantLease  Op = "grant"
	RenewLease  Op = "keep_alive"
	RevokeLease Op = "revoke"
)

// Status is the outcome of a call to the store.
type Status string

// Outcomes of calls. NoAnswer means that no complete answer arrived; the write may still have taken effect.
const (
	OK           Status = "ok"
	Conflict     Status = "conflict"
	LeaseExpired Status = "lease_expired"
	NoAnswer     Status = "lost"
)

// Event is an input to Machine.Step.
type Event interface{ event() }

type (
	// Started starts taking part in elections.
	Started struct{}
	// TimerFired reports that the timer of the SetTimer action with the same number has fired.
	TimerFired struct{ Number uint64 }
	// CallResult is the answer to the Call with the same ID.
	CallResult struct {
		ID     uint64
		Status Status
		// Version and Record are the current entry of the key, for a Conflict as well. Version 0 means that the key is
		// absent.
		Version uint64
		Record  Record
		// Lease is the id of the lease that a GrantLease call created.
		Lease uint64
	}
	// Members reports the current state of the other entry VMs of the failure domain.
	Members struct{ Peers []model.Member }
	// EpochRefused reports that a worker or the log rejected a command because it has accepted Epoch from another VM.
	EpochRefused struct{ Epoch model.Epoch }
	// Drain requests the handover of the failure domain to a peer.
	Drain struct{}
	// LogClosed reports that a CloseLog action has finished.
	LogClosed struct{}
)

func (Started) event()      {}
func (TimerFired) event()   {}
func (CallResult) event()   {}
func (Members) event()      {}
func (EpochRefused) event() {}
func (Drain) event()        {}
func (LogClosed) event()    {}

// Action is an output of Machine.Step that the caller carries out.
type Action interface{ action() }

type (
	// Call requests a call to the store, which is answered by a CallResult with the same ID.
	Call struct {
		ID uint64
		Op Op
		// Version is the expected version of a put, or the last known version of a watch.
		Version uint64
		Record  Record
		Lease   uint64
	}
	// SetTimer sets the timer: a TimerFired event with the same number is due after Delay. It replaces an earlier
	// timer.
	SetTimer struct {
		Number uint64
		Delay  time.Duration
	}
	// Announce notifies the other services whether the VM holds its failure domain.
	Announce struct {
		Holder bool
		Epoch  model.Epoch
	}
	// CloseLog requests the closing record of an epoch in the log, which is answered by LogClosed.
	CloseLog struct{ Epoch model.Epoch }
	// Drained reports that the handover is complete.
	Drained struct{}
)

func (Call) action()     {}
func (SetTimer) action() {}
func (Announce) action() {}
func (CloseLog) action() {}
func (Drained) action()  {}
