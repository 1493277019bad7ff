package model

import "time"

// DomainLoad is what a holder tells about the use of its failure domain.
type DomainLoad struct {
	Domain FailureDomain `json:"domain"`
	Region Region        `json:"region"`
	// Starts is false while no task may start there: taken out, unconfirmed configuration or rebuilding.
	Starts bool `json:"starts"`
	// Out is true while operators have taken the failure domain out.
	Out bool `json:"out,omitempty"`
	// GPUs counts the accelerators of the workers in use, FreeGPUs the unoccupied ones and FreeWorkers the
	// workers without any task.
	GPUs        int `json:"gpus"`
	FreeGPUs    int `json:"free_gpus"`
	FreeWorkers int `json:"free_workers"`
	// QueuedGPUs counts the accelerators that waiting jobs ask for, QueuedJobs the waiting jobs.
	QueuedGPUs int `json:"queued_gpus"`
	QueuedJobs int `json:"queued_jobs"`
	// Heard is the local time at which the load was learned.
	Heard time.Time `json:"heard"`
}
