package message

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// CatalogChanged is published when the operators have changed the configuration, the failure domains or the waves.
type CatalogChanged struct {
	Config *workload.Config
	// Out lists the failure domains that are out of service.
	Out []workload.Domain
	// Waves lists the waves of upkeep that operators have ordered.
	Waves []workload.Wave
}

// KindCatalogChanged is the kind of CatalogChanged, for subscriptions.
const KindCatalogChanged = "catalog_changed"

// Kind implements kernel.Message.
func (CatalogChanged) Kind() string { return KindCatalogChanged }

// StoreReachability is published when the store becomes reachable or unreachable from this VM.
type StoreReachability struct{ Reachable bool }

// KindStoreReachability is the kind of StoreReachability, for subscriptions.
const KindStoreReachability = "store_reach"

// Kind implements kernel.Message.
func (StoreReachability) Kind() string { return KindStoreReachability }

// SettingsChanged is published when the settings file has been reloaded. It holds the settings that can change while a
// process runs.
type SettingsChanged struct {
	// Peers lists control addresses of other VMs, some of which may be stale.
	Peers []string
}

// KindSettingsChanged is the kind of SettingsChanged, for subscriptions.
const KindSettingsChanged = "settings_changed"

// Kind implements kernel.Message.
func (SettingsChanged) Kind() string { return KindSettingsChanged }

// HolderChanged is published when the holder of the fleet or its fencing token changes, or when there is no holder.
type HolderChanged struct {
	// VM and Address are empty if there is no holder.
	VM, Address string
	// Self is set if this VM is the holder, FencingToken its fencing token.
	Self         bool
	FencingToken workload.FencingToken
}

// KindHolderChanged is the kind of HolderChanged, for subscriptions.
const KindHolderChanged = "holder_changed"

// Kind implements kernel.Message.
func (HolderChanged) Kind() string { return KindHolderChanged }

// BacklogChanged is published when the set of client accounts changes that may not submit jobs, because the accepted jobs
// take all the memory that holders have for them.
type BacklogChanged struct{ AtLimit []workload.Account }

// KindBacklogChanged is the kind of BacklogChanged, for subscriptions.
const KindBacklogChanged = "backlog_changed"

// Kind implements kernel.Message.
func (BacklogChanged) Kind() string { return KindBacklogChanged }

// ClientCall holds the fields that all client calls have in common.
type ClientCall struct {
	Host, Path string
	// Key is the API key of the call, or empty.
	Key string
	// Deadline is the time at which the client stops waiting.
	Deadline time.Time
}

// SubmitCall submits a job; answered by SubmitReply.
type SubmitCall struct {
	ClientCall
	Job workload.Job
	// Invalid is the reason why the body is invalid, or empty.
	Invalid string
}

// Kind implements kernel.Message.
func (SubmitCall) Kind() string { return "submit_call" }

// SubmitReply acknowledges a job that is stored.
type SubmitReply struct{}

// Kind implements kernel.Message.
func (SubmitReply) Kind() string { return "submit_reply" }

// ReadCall asks for the state of a job, or for the length of a queue if the path names no job; answered by StateReply
// or WaitingReply.
type ReadCall struct{ ClientCall }

// Kind implements kernel.Message.
func (ReadCall) Kind() string { return "read_call" }

// CancelCall cancels a job; answered by Done.
type CancelCall struct{ ClientCall }

// Kind implements kernel.Message.
func (CancelCall) Kind() string { return "cancel_call" }

// StateReply is the state of a job.
type StateReply struct {
	State workload.State
	// Owner is the owner of the job in replies of the holder; empty in those of earlier builds.
	Owner workload.Owner
}

// Kind implements kernel.Message.
func (StateReply) Kind() string { return "state_reply" }

// WaitingReply is the number of accepted jobs of a queue of which no task has started.
type WaitingReply struct{ Waiting int }

// Kind implements kernel.Message.
func (WaitingReply) Kind() string { return "waiting_reply" }

// JobStored notifies the holder of a job that was just stored, before the holder's watch of the store delivers it.
type JobStored struct {
	Job workload.Job
	// Revision is the store revision of the job's entry.
	Revision int64
}

// Kind implements kernel.Message.
func (JobStored) Kind() string { return "job_stored" }

// JobCancelled notifies the holder of a cancellation that was just stored.
type JobCancelled struct{ ID workload.JobID }

// Kind implements kernel.Message.
func (JobCancelled) Kind() string { return "job_cancelled" }

// StateQuery asks the holder for a job; answered by StateReply with an empty state if the job is not known.
type StateQuery struct{ ID workload.JobID }

// Kind implements kernel.Message.
func (StateQuery) Kind() string { return "state_query" }

// WaitingQuery asks the holder for the length of a queue; answered by WaitingReply.
type WaitingQuery struct{ Queue workload.Queue }

// Kind implements kernel.Message.
func (WaitingQuery) Kind() string { return "waiting_query" }

// AcceptJob asks another VM to store a job because the sender does not reach the store; answered by SubmitReply.
type AcceptJob struct {
	Job workload.Job
	// Within is the time in which the reply is needed. After that the outcome is unknown to the sender.
	Within time.Duration
}

// Kind implements kernel.Message.
func (AcceptJob) Kind() string { return "accept_job" }

// AcceptCancel asks another VM to store a cancellation; answered by Done.
type AcceptCancel struct {
	ID workload.JobID
	// Account is the client account of the caller.
	Account workload.Account
	// Within is the time in which the reply is needed.
	Within time.Duration
	// KeyHash and PublicQueue complete the caller; they are empty in messages of earlier builds.
	KeyHash     string
	PublicQueue workload.Queue
}

// Kind implements kernel.Message.
func (AcceptCancel) Kind() string { return "accept_cancel" }

// RelayCall sends a message to a service of another VM; answered with the reply of that service.
type RelayCall struct {
	Address string
	To      string
	Body    interface{ Kind() string }
	Timeout time.Duration
}

// Kind implements kernel.Message.
func (RelayCall) Kind() string { return "relay_call" }

// EvacuateExecutors replaces the set of executors from which the scheduler moves all tasks away; answered by
// VacatedExecutors.
type EvacuateExecutors struct{ Executors []workload.ExecutorID }

// Kind implements kernel.Message.
func (EvacuateExecutors) Kind() string { return "vacate" }

// ResignHolder asks another VM to record that the sender, whom the store turns away, is not the holder any more; answered
// by Done if it is recorded.
type ResignHolder struct {
	VM, Address, Incarnation string
	Term                     int64
	FencingToken             workload.FencingToken
}

// Kind implements kernel.Message.
func (ResignHolder) Kind() string { return "resign_holder" }

// PermitQuery asks the holder whether an order that only the holder may give can be sent; answered by OrderPermit or OrderDenied.
type PermitQuery struct {
	FencingToken workload.FencingToken
	// Executor is the executor that the order terminates; empty if it is unknown.
	Executor workload.ExecutorID
}

// Kind implements kernel.Message.
func (PermitQuery) Kind() string { return "permit_query" }

// OrderPermit permits to send an order until a reading of boottime.Now.
type OrderPermit struct{ ValidUntil time.Duration }

// Kind implements kernel.Message.
func (OrderPermit) Kind() string { return "order_permit" }

// OrderDenied denies an order because a step would miss more tasks than it may.
type OrderDenied struct{}

// Kind implements kernel.Message.
func (OrderDenied) Kind() string { return "order_denied" }

// VacatedExecutors lists the executors of an evacuation that certainly run nothing and get no new work.
type VacatedExecutors struct{ Executors []workload.ExecutorID }

// Kind implements kernel.Message.
func (VacatedExecutors) Kind() string { return "vacated" }
