package message

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// TaskOp is an operation on a task of a worker.
type TaskOp string

// Operations on tasks; see the worker protocol for their meaning.
const (
	TaskHold       TaskOp = "hold"
	TaskRelease    TaskOp = "release"
	TaskCheckpoint TaskOp = "checkpoint"
	TaskThrottle   TaskOp = "throttle"
	TaskStop       TaskOp = "stop"
)

// TaskCommand is one operation on one task.
type TaskCommand struct {
	Op       TaskOp
	Task     model.TaskID
	GPUs     model.GPUMask
	RunMS    int64
	Progress float64
	Command  string
	// Record is an opaque job record that full reports return, so that a holder without the log can
	// rebuild the job.
	Record []byte
	// NotAfter is the local time after which a hold or release is no longer sent; zero means no limit.
	NotAfter time.Time
}

// WorkerCommand asks the workers service to send commands to a worker with the next exchange.
type WorkerCommand struct {
	Worker   model.WorkerID
	Epoch    model.Epoch
	Commands []TaskCommand
}

// WorkerLeases tells the workers service which workers' leases its exchanges renew. Under a new epoch they renew none.
type WorkerLeases struct {
	Epoch model.Epoch
	// All is true once the scheduler has rebuilt its state; from then on every lease is renewed.
	All bool
	// Renew holds the changes for single workers; true renews immediately.
	Renew map[model.WorkerID]bool
}

// WorkerReport delivers the task states of one worker to the scheduler.
type WorkerReport struct {
	Worker model.WorkerID
	Epoch  model.Epoch
	// Full is true if Tasks lists all tasks of the worker.
	Full     bool
	Tasks    []model.TaskStatus
	Refusals []TaskRefusal
}

// TaskRefusal reports an operation on a task that was not executed.
type TaskRefusal struct {
	Task model.TaskID
	Op   TaskOp
}

// WorkerLost tells the scheduler that a worker does not answer.
type WorkerLost struct {
	Worker model.WorkerID
	Epoch  model.Epoch
	// LeaseEnds is the local time by which the lease of the worker's tasks has certainly expired.
	LeaseEnds time.Time
}

// EpochRefused tells the authority service that a worker has accepted a higher epoch.
type EpochRefused struct {
	Worker model.WorkerID
	Epoch  model.Epoch
}

// Kind implements kernel.Message.
func (WorkerCommand) Kind() string { return "worker_command" }

// Kind implements kernel.Message.
func (WorkerLeases) Kind() string { return "worker_leases" }

// Kind implements kernel.Message.
func (WorkerReport) Kind() string { return "worker_report" }

// Kind implements kernel.Message.
func (WorkerLost) Kind() string { return "worker_lost" }

// Kind implements kernel.Message.
func (EpochRefused) Kind() string { return "epoch_refused" }
