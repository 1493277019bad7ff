package model

import "time"

// JobSpec is a caller's description of a gang job. All tasks run together or none runs.
type JobSpec struct {
	Account AccountID `json:"account"`
	// Domain is the failure domain that must run the job; empty permits any, and permits transfers after the submission.
	Domain FailureDomain `json:"domain,omitempty"`
	// Tasks is the gang size.
	Tasks int `json:"tasks"`
	// GPUsPerTask is 0, 1, 2, 4 or 8; the accelerators of a task are adjacent in one worker. A task without
	// accelerators declares at least one core.
	GPUsPerTask int `json:"gpus_per_task"`
	// Within is the smallest cell that must contain the whole gang; empty means the failure domain.
	Within Level `json:"within,omitempty"`
	// CoresPerTask and MemoryMBPerTask are declared needs; 0 means unspecified.
	CoresPerTask    int `json:"cores_per_task,omitempty"`
	MemoryMBPerTask int `json:"memory_mb_per_task,omitempty"`
	// RunTime is the run time that the caller estimates. It may be far from the actual run time.
	RunTime time.Duration `json:"run_time"`
	// Preemptible permits the job to use accelerators beyond the guarantee of its account.
	Preemptible bool `json:"preemptible"`
	// Urgent places the job ahead of all others in the queue.
	Urgent bool `json:"urgent,omitempty"`
	// Key is the caller's idempotency key; a second submission with the same key returns the first job.
	Key string `json:"key,omitempty"`
	// Command is passed to the workers.
	Command string `json:"command,omitempty"`
}

// GPUs returns the number of accelerators of the whole gang.
func (s JobSpec) GPUs() int { return s.Tasks * s.GPUsPerTask }

// JobState is the state of a job.
type JobState string

// States of a job.
const (
	JobQueued JobState = "queued"
	// JobTransferring means that the job is being transferred to another failure domain.
	JobTransferring JobState = "transferring"
	JobStarting     JobState = "starting"
	JobRunning      JobState = "running"
	JobPreempting   JobState = "preempting"
	JobSucceeded    JobState = "succeeded"
	JobFailed       JobState = "failed"
	JobCancelled    JobState = "cancelled"
	// JobMoved means that the job continues as the job MovedTo in another failure domain.
	JobMoved JobState = "moved"
)

// Final reports whether the state is terminal.
func (s JobState) Final() bool {
	return s == JobSucceeded || s == JobFailed || s == JobCancelled || s == JobMoved
}

// Job is the description and state of a job that callers see.
type Job struct {
	ID        JobID         `json:"id"`
	Spec      JobSpec       `json:"spec"`
	Domain    FailureDomain `json:"domain"`
	State     JobState      `json:"state"`
	Attempt   int           `json:"attempt"`
	Placement Placement     `json:"placement,omitempty"`
	Submitted time.Time     `json:"submitted"`
	Started   time.Time     `json:"started,omitzero"`
	Ended     time.Time     `json:"ended,omitzero"`
	// Reason is why the job waits, failed or was refused, or empty.
	Reason string `json:"reason,omitempty"`
	// Origin is the job in another failure domain from which this one was moved.
	Origin JobID `json:"origin,omitempty"`
	// MovedTo is the job in another failure domain that replaces this one.
	MovedTo JobID `json:"moved_to,omitempty"`
}

// TaskID identifies one attempt of one task of a gang.
type TaskID struct {
	Job     JobID `json:"job"`
	Index   int   `json:"index"`
	Attempt int   `json:"attempt"`
}

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task on a worker. A held task occupies its accelerators but is fully throttled.
const (
	TaskHeld         TaskState = "held"
	TaskRunning      TaskState = "running"
	TaskCheckpointed TaskState = "checkpointed"
	TaskSucceeded    TaskState = "succeeded"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
)

// Final reports whether the task has left the worker.
func (s TaskState) Final() bool {
	return s == TaskSucceeded || s == TaskFailed || s == TaskStopped
}

// TaskStatus is a worker's report on one task.
type TaskStatus struct {
	Task  TaskID    `json:"task"`
	GPUs  GPUMask   `json:"gpus"`
	State TaskState `json:"state"`
	// Progress is the checkpointed share of the work, from 0 to 1.
	Progress float64 `json:"progress,omitempty"`
	// Record is the opaque job record that the holder passed with a hold command. Only full reports carry it,
	// once for each job with a task that has not ended.
	Record []byte `json:"record,omitempty"`
}
