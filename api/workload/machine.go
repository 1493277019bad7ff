package workload

import "time"

// MachineID identifies a machine. Each incarnation of a machine is an executor of its own.
type MachineID string

// Machine is an entry of the platform's list of machines.
type Machine struct {
	ID MachineID
	// Up is set unless the machine is moving between pools, is in upkeep (maintenance) or is down.
	Up bool
	// InUpkeep is set while the machine is down for upkeep.
	InUpkeep bool
	// Executor is the current incarnation of the machine.
	Executor ExecutorID
}

// Wave is an operators' order to take machines down for upkeep (maintenance), a few at a time.
type Wave struct {
	Number   int64
	Machines []MachineID
	// Within is the time allowed for the whole wave, counted from the order.
	Within time.Duration
	// MaxDown is the largest number of machines that may be down at the same time.
	MaxDown int
	// Revision is the store revision of the order.
	Revision int64
}
