// Package model defines the core types that decisions, services and front ends share.
package model

import (
	"cmp"
	"fmt"
	"strings"
)

// Identifiers of resources, clients and work.
type (
	// VMID identifies an entry VM.
	VMID string
	// WorkerID identifies a worker.
	WorkerID string
	// ExecutorID identifies an executor, a backend server that runs requests.
	ExecutorID string
	// FailureDomain names a failure domain.
	FailureDomain string
	// Region names a region, which holds one or more failure domains.
	Region string
	// AccountID identifies a client account.
	AccountID string
	// JobID identifies a job.
	JobID string
	// RequestID identifies a request.
	RequestID string
)

// NewJobID returns the job identifier "domain/unique".
func NewJobID(d FailureDomain, unique string) JobID { return JobID(string(d) + "/" + unique) }

// Domain returns the failure domain of a job, or "" for a malformed identifier.
func (id JobID) Domain() FailureDomain {
	domain, _, ok := strings.Cut(string(id), "/")
	if !ok {
		return ""
	}
	return FailureDomain(domain)
}

// Epoch is a fencing token for commands of a failure domain's holder. A receiver refuses a command whose
// epoch is lower than one it has accepted. The zero value is lower than every granted epoch.
type Epoch struct {
	// Store counts the elections recorded in the store.
	Store uint64 `json:"store"`
	// Outage counts the claims that VMs have made since that election while the store was unavailable.
	Outage uint64 `json:"outage"`
}

// Compare orders epochs by Store, then by Outage.
func (e Epoch) Compare(o Epoch) int {
	return cmp.Or(cmp.Compare(e.Store, o.Store), cmp.Compare(e.Outage, o.Outage))
}

// Less reports whether e is lower than o.
func (e Epoch) Less(o Epoch) bool { return e.Compare(o) < 0 }

// IsZero reports whether e is the zero value, which is never granted.
func (e Epoch) IsZero() bool { return e == Epoch{} }

// String returns the epoch as "store.outage".
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Store, e.Outage) }
