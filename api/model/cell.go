package model

import "math/bits"

const (
	// GPUsPerWorker is the number of accelerators of a worker.
	GPUsPerWorker = 8
	// GPUsPerHalf is the number of accelerators of half a worker.
	GPUsPerHalf = 4
	// WorkersPerRack is the number of workers of a full rack.
	WorkersPerRack = 8
	// GPUsPerRack is the number of accelerators of a full rack.
	GPUsPerRack = GPUsPerWorker * WorkersPerRack
)

// Level is the level of a cell in the topology tree, from the smallest cell to the largest.
type Level string

// Levels of the topology tree.
const (
	LevelGPU    Level = "gpu"
	LevelHalf   Level = "half"
	LevelWorker Level = "worker"
	LevelRack   Level = "rack"
	LevelDomain Level = "domain"
)

// GPUs returns the number of accelerators in one full cell of the level; 0 for a failure domain, whose size varies,
// and for an unknown level.
func (l Level) GPUs() int {
	switch l {
	case LevelGPU:
		return 1
	case LevelHalf:
		return GPUsPerHalf
	case LevelWorker:
		return GPUsPerWorker
	case LevelRack:
		return GPUsPerRack
	default:
		return 0
	}
}

// GPUMask is a set of accelerators of one worker; bit i stands for accelerator i.
type GPUMask uint8

// Count returns the number of accelerators in the set.
func (m GPUMask) Count() int { return bits.OnesCount8(uint8(m)) }

// Slot is the placement of one task: a set of accelerators of one worker.
type Slot struct {
	Worker WorkerID `json:"worker"`
	GPUs   GPUMask  `json:"gpus"`
}

// Placement gives each task of a gang its slot, by task index.
type Placement []Slot

// CellCount is a number of cells of one level.
type CellCount struct {
	Level Level `json:"level"`
	Count int   `json:"count"`
}

// Guarantee is the capacity, as counts of cells, that a client account can always reclaim in a failure domain.
type Guarantee struct {
	Domain FailureDomain `json:"domain"`
	Cells  []CellCount   `json:"cells"`
}
