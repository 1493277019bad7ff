package message

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Forward asks the peers service to deliver Body to the service To of the holder of a failure domain, or
// of one VM if VM is set; answered with the reply of that service.
type Forward struct {
	Domain model.FailureDomain
	VM     model.VMID
	// Key, if not empty, is an idempotency key whose home failure domain replaces Domain.
	Key  string
	To   string
	Body interface{ Kind() string }
	// Deadline is the local time after which the caller no longer waits.
	Deadline time.Time
	// Idempotent permits a second delivery if the reply to the first is lost.
	Idempotent bool
}

// Heartbeat carries the state of the sender, and of the VMs whose state the sender relays, to another entry VM;
// answered by HeartbeatReply.
type Heartbeat struct{ Digest model.Digest }

// HeartbeatReply carries the same kind of state from the receiver of a heartbeat back to its sender.
type HeartbeatReply struct{ Digest model.Digest }

// MembersChanged is published when the known VMs change.
type MembersChanged struct {
	// Members lists the other entry VMs.
	Members []model.Member
	// Workers and Executors list the worker and executor VMs of this VM's failure domain.
	Workers   []model.VM
	Executors []model.VM
}

// AuthorityChanged is published when the VM gains or loses authority over its failure domain.
type AuthorityChanged struct {
	// Holder is true while the VM holds its failure domain.
	Holder bool
	Epoch  model.Epoch
	// Domain is the failure domain of the VM.
	Domain model.FailureDomain
}

// Kinds of the published messages, for subscriptions.
const (
	KindMembersChanged   = "members_changed"
	KindAuthorityChanged = "authority_changed"
)

// Kind implements kernel.Message.
func (Forward) Kind() string { return "forward" }

// Kind implements kernel.Message.
func (Heartbeat) Kind() string { return "heartbeat" }

// Kind implements kernel.Message.
func (HeartbeatReply) Kind() string { return "heartbeat_reply" }

// Kind implements kernel.Message.
func (MembersChanged) Kind() string { return KindMembersChanged }

// Kind implements kernel.Message.
func (AuthorityChanged) Kind() string { return KindAuthorityChanged }
