package model

// JobReason is a value of Job.Reason.
type JobReason string

// Reasons why a job waits or how it ended.
const (
	// ReasonResources means that no suitable accelerators are free.
	ReasonResources JobReason = "resources"
	// ReasonReserved means that accelerators are reserved for the job and are being freed.
	ReasonReserved JobReason = "reserved"
	// ReasonDomainOut means that operators have taken the failure domain out of service.
	ReasonDomainOut JobReason = "domain_out"
	// ReasonConfigStale means that the configuration has not been confirmed recently enough to start tasks.
	ReasonConfigStale JobReason = "config_stale"
	// ReasonBackoff means that the job waits for the retry delay after a failed start.
	ReasonBackoff JobReason = "start_backoff"
	// ReasonCancelRequested means that the tasks of a cancelled job are being stopped.
	ReasonCancelRequested JobReason = "cancel_requested"
	// ReasonStartsExhausted means that the job failed because it reached the limit of failed start attempts.
	ReasonStartsExhausted JobReason = "start_attempts_exhausted"
	// ReasonTaskFailed means that the job failed because one of its tasks failed while running.
	ReasonTaskFailed JobReason = "task_failed"
)
