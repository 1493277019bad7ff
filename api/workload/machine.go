package workload

import "time"

// MachineID names a machine; an executor is one life of it.
type MachineID string

// Machine is a machine as the platform lists it.
type Machine struct {
	ID MachineID
	// Up is set unless the machine moves between pools, is in upkeep or is down.
	Up bool
	// InUpkeep is set while the machine is down for an upkeep.
	InUpkeep bool
	// Executor is the present life of the machine.
	Executor ExecutorID
}

// Wave is an order of the operators to take machines down for upkeep, a few at a time.
type Wave struct {
	Number   int64
	Machines []MachineID
	// Within is the time that the operators allow from the order on.
	Within time.Duration
	// AtOnce is the largest number of machines that are down at the same time.
	AtOnce int
	// Revision is the store's revision of the order.
	Revision int64
}
