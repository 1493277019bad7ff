package message

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// JobRoute asks the routing service to submit a job to a suitable failure domain; answered by JobReply.
type JobRoute struct {
	Spec     model.JobSpec
	Deadline time.Time
}

// LoadChanged is published by the holder when the load of its failure domain changes, at most once a second.
type LoadChanged struct{ Load model.DomainLoad }

// LoadsChanged is published with the known loads of all failure domains, including this VM's own.
type LoadsChanged struct{ Loads []model.DomainLoad }

// JobAccept offers a waiting job to another failure domain; answered by JobAcceptReply. The receiver decides
// each transfer once and repeats its decision in later replies.
type JobAccept struct {
	// Transfer identifies one transfer of one job.
	Transfer string
	// Job is the offered job as its source knows it.
	Job model.Job
	// Progress is the share of the work in the source's checkpoint, from 0 to 1. The source gives it up.
	Progress float64
	// Transfers counts the transfers of the job so far, this one included.
	Transfers int
}

// JobWithdraw makes the receiver refuse a transfer unless it has accepted it; answered by JobAcceptReply.
type JobWithdraw struct {
	Transfer string
	Job      model.JobID
}

// JobAcceptReply is the durable decision on a transfer.
type JobAcceptReply struct {
	Accepted bool
	// Job is the job of the receiver if it accepted.
	Job model.JobID
	// Reason is why the transfer was refused.
	Reason string
}

// TransferDone notifies the receiver that the source has recorded the decision; answered by Done.
type TransferDone struct{ Transfer string }

// Kinds of the published messages, for subscriptions.
const (
	KindLoadChanged  = "load_changed"
	KindLoadsChanged = "loads_changed"
)

// Kind implements kernel.Message.
func (JobRoute) Kind() string { return "job_route" }

// Kind implements kernel.Message.
func (LoadChanged) Kind() string { return KindLoadChanged }

// Kind implements kernel.Message.
func (LoadsChanged) Kind() string { return KindLoadsChanged }

// Kind implements kernel.Message.
func (JobAccept) Kind() string { return "job_accept" }

// Kind implements kernel.Message.
func (JobWithdraw) Kind() string { return "job_withdraw" }

// Kind implements kernel.Message.
func (JobAcceptReply) Kind() string { return "job_accept_reply" }

// Kind implements kernel.Message.
func (TransferDone) Kind() string { return "transfer_done" }
