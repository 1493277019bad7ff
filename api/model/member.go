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
	// LastHeard is the local time of the last heartbeat.
	LastHeard time.Time `json:"last_heard"`
}
