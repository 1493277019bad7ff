package model

import "time"

// Role is the role of a VM in the platform's VM list.
type Role string

// Roles of VMs.
const (
	RoleEntry    Role = "entry"
	RoleWorker   Role = "worker"
	RoleExecutor Role = "executor"
)

// VM is an entry of the platform's list of live and leaving VMs. The list may be out of date.
type VM struct {
	ID      string        `json:"id"`
	Role    Role          `json:"role"`
	Domain  FailureDomain `json:"domain"`
	Region  Region        `json:"region"`
	Rack    string        `json:"rack,omitempty"`
	Address string        `json:"address"`
	Leaving bool          `json:"leaving,omitempty"`
	// Cores and MemoryMB are the totals of a worker; 0 means unknown.
	Cores    int `json:"cores,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
}

// Member is the state of an entry VM as the other entry VMs know it.
type Member struct {
	VM      VMID          `json:"vm"`
	Domain  FailureDomain `json:"domain"`
	Region  Region        `json:"region"`
	Address string        `json:"address"`
	Alive   bool          `json:"alive"`
	Leaving bool          `json:"leaving"`
	// Holder is the epoch under which the VM holds its failure domain; zero if it does not.
	Holder Epoch `json:"holder"`
	// ConfigVersion is the version of the configuration that the VM applies.
	ConfigVersion uint64 `json:"config_version"`
	// Load is the load of the failure domain that the VM holds; nil if it holds none.
	Load *DomainLoad `json:"load,omitempty"`
	// LastHeard is the local time at which the VM is last known to have been alive.
	LastHeard time.Time `json:"last_heard"`
}

// MemberUpdate is the part of a heartbeat that concerns one entry VM.
type MemberUpdate struct {
	VM VMID
	// Beat is the highest heartbeat count of the VM that the sender knows. Only the VM itself raises it.
	Beat uint64
	// Age is the time since the VM reached this count, in tenths of a second, as far as the sender knows.
	Age uint32
	// Member is the record of the VM, without Load and LastHeard; nil if the receiver has it.
	Member *Member
	// Load is the load that the VM reports as a holder, without failure domain and region; nil if the receiver has it.
	Load *DomainLoad
}

// Digest is the content of a heartbeat or of its reply.
type Digest struct {
	// Since is the heartbeat count of the sender up to which the receiver has acknowledged digests. The digest holds the
	// changes after it. A receiver that has not processed the digests up to Since, such as a VM that was replaced, uses
	// only the member records.
	Since uint64
	// Seen is the highest heartbeat count of the receiver whose digest the sender has processed.
	Seen uint64
	// Known is the highest heartbeat count of the receiver that the sender knows, set if the receiver sent a lower one.
	Known uint64
	// Updates begins with the sender's update about itself.
	Updates []MemberUpdate
}
