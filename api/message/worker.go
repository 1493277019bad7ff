package message

import (
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
}

// WorkerCommand asks the workers service to send commands to a worker with the next exchange.
type WorkerCommand struct {
	Worker   model.WorkerID
	Epoch    model.Epoch
	Commands []TaskCommand
}

// WorkerReport delivers the task states of one worker to the scheduler.
type WorkerReport struct {
	Worker model.WorkerID
	Epoch  model.Epoch
	// Full is true if Tasks lists all tasks of the worker.
	Full    bool
	Tasks   []model.TaskStatus
	Refused []model.TaskID
}

// WorkerLost tells the scheduler that a worker does not answer.
type WorkerLost struct {
	Worker model.WorkerID
	Epoch  model.Epoch
}

// EpochRefused tells the authority service that a worker has accepted a higher epoch.
type EpochRefused struct {
	Worker model.WorkerID
	Epoch  model.Epoch
}

// Kind implements kernel.Message.
func (WorkerCommand) Kind() string { return "worker_command" }

// Kind implements kernel.Message.
func (WorkerReport) Kind() string { return "worker_report" }

// Kind implements kernel.Message.
func (WorkerLost) Kind() string { return "worker_lost" }

// Kind implements kernel.Message.
func (EpochRefused) Kind() string { return "epoch_refused" }
