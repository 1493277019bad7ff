package model

import "time"

// DomainLoad is the resource use of a failure domain as its holder reports it.
type DomainLoad struct {
	Domain FailureDomain `json:"domain"`
	Region Region        `json:"region"`
	// Starts is false while no task may start there: operators have taken the failure domain out of service, its
	// configuration is not confirmed or its holder is rebuilding its state.
	Starts bool `json:"starts"`
	// Out is true while operators have taken the failure domain out of service.
	Out bool `json:"out,omitempty"`
	// GPUs counts the accelerators of the workers in use, FreeGPUs the unoccupied ones and FreeWorkers the
	// workers without any task.
	GPUs        int `json:"gpus"`
	FreeGPUs    int `json:"free_gpus"`
	FreeWorkers int `json:"free_workers"`
	// QueuedGPUs counts the accelerators that waiting jobs ask for, QueuedJobs the waiting jobs.
	QueuedGPUs int `json:"queued_gpus"`
	QueuedJobs int `json:"queued_jobs"`
	// Heard is the local time at which the load was received.
	Heard time.Time `json:"heard"`
}
