package message

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Forward asks the peers service to deliver Body to the service To of the holder of a failure domain, or
// of one VM if VM is set. It is answered by the answer of that service.
type Forward struct {
	Domain model.FailureDomain
	VM     model.VMID
	// Key, if not empty, replaces Domain by the home failure domain of this idempotency key.
	Key  string
	To   string
	Body interface{ Kind() string }
	// Deadline is the local time after which the caller no longer waits.
	Deadline time.Time
	// Idempotent permits a second delivery if the answer to the first is lost.
	Idempotent bool
}

// Heartbeat tells another entry VM about its sender and the VMs that the sender speaks for; answered by
// HeartbeatReply.
type Heartbeat struct{ Digest model.Digest }

// HeartbeatReply tells the sender of a heartbeat the same about its receiver.
type HeartbeatReply struct{ Digest model.Digest }

// MembersChanged is published when the known VMs change.
type MembersChanged struct {
	// Members lists the other entry VMs.
	Members []model.Member
	// Workers and Executors list the VMs of the own failure domain.
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
