package model

import "time"

// Role is what a VM of the platform's list does.
type Role string

// Roles of VMs.
const (
	RoleEntry    Role = "entry"
	RoleWorker   Role = "worker"
	RoleExecutor Role = "executor"
)

// VM is an entry of the platform's list of live and leaving VMs. The list lags behind.
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

// Member is an entry VM as the others see it.
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
	// LastHeard is the local time of the last sign of life.
	LastHeard time.Time `json:"last_heard"`
}

// MemberUpdate is what a heartbeat tells about one entry VM.
type MemberUpdate struct {
	VM VMID
	// Beat is the highest heartbeat count of the VM that the sender knows. Only the VM itself raises it.
	Beat uint64
	// Age is the time since the VM had this count, in tenths of a second as far as the sender knows.
	Age uint32
	// Member is the record of the VM, without Load and LastHeard; nil if the receiver has it.
	Member *Member
	// Load is the load that the VM tells as a holder, without failure domain and region; nil if the receiver has it.
	Load *DomainLoad
}

// Digest is the content of a heartbeat or of its answer.
type Digest struct {
	// Since is the count up to which the receiver has acknowledged digests of the sender. The digest holds what is
	// newer. A receiver that has not processed so many, such as a replaced VM, uses only the records.
	Since uint64
	// Seen is the highest heartbeat count of the receiver whose digest the sender has processed.
	Seen uint64
	// Known is the highest heartbeat count of the receiver that the sender knows, if the receiver sent a lower one.
	Known uint64
	// Updates begins with the update of the sender about itself.
	Updates []MemberUpdate
}
