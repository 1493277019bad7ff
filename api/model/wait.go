package model

// JobReason is the typed text of Job.Reason.
type JobReason string

// Reasons why a job waits or how it ended.
const (
	// ReasonResources means that no suitable accelerators are free.
	ReasonResources JobReason = "resources"
	// ReasonReserved means that accelerators are being cleared for the job.
	ReasonReserved JobReason = "reserved"
	// ReasonDomainOut means that operators have taken the failure domain out.
	ReasonDomainOut JobReason = "domain_out"
	// ReasonConfigStale means that the configuration has not been confirmed recently enough to start tasks.
	ReasonConfigStale JobReason = "config_stale"
	// ReasonBackoff means that the job waits for the delay after a failed start.
	ReasonBackoff JobReason = "start_backoff"
	// ReasonCancelRequested means that the tasks of a cancelled job are being stopped.
	ReasonCancelRequested JobReason = "cancel_requested"
	// ReasonStartsExhausted means that the job failed because its start was tried too often.
	ReasonStartsExhausted JobReason = "start_attempts_exhausted"
	// ReasonTaskFailed means that the job failed because a task failed while it ran.
	ReasonTaskFailed JobReason = "task_failed"
)
