// Package cell represents the topology of a failure domain as a tree of cells (GPU, half worker, worker, rack,
// failure domain) and counts the whole cells in sets of accelerators.
package cell

import (
	"cmp"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// WorkerLocation is the location of a worker in the topology.
type WorkerLocation struct {
	ID   model.WorkerID
	Rack string
}

// Topology assigns indices to the workers and racks of a failure domain. It is immutable.
type Topology struct {
	// WorkerIDs is the worker id of each worker index. Workers are sorted by rack and id.
	WorkerIDs []model.WorkerID
	// RackOf is the rack index of each worker index.
	RackOf []int
	// Racks is the list of worker indices of each rack, at most model.WorkersPerRack of them.
	Racks [][]int
	index map[model.WorkerID]int
}

// NewTopology builds the topology. A worker without a rack forms a rack of its own, so that it is not assumed to be
// adjacent to any other worker. A rack with more than model.WorkersPerRack workers is split.
func NewTopology(workers []WorkerLocation) *Topology {
	workers = slices.Clone(workers)
	slices.SortFunc(workers, func(a, b WorkerLocation) int { return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID)) })
	t := &Topology{index: make(map[model.WorkerID]int, len(workers))}
	for i, w := range workers {
		if _, known := t.index[w.ID]; known {
			continue
		}
		rack := len(t.Racks) - 1
		if i == 0 || w.Rack == "" || w.Rack != workers[i-1].Rack || len(t.Racks[rack]) == model.WorkersPerRack {
			t.Racks = append(t.Racks, nil)
			rack++
		}
		workerIndex := len(t.WorkerIDs)
		t.index[w.ID] = workerIndex
		t.WorkerIDs = append(t.WorkerIDs, w.ID)
		t.RackOf = append(t.RackOf, rack)
		t.Racks[rack] = append(t.Racks[rack], workerIndex)
	}
	return t
}

// WorkerIndex returns the index of a worker, or false if the worker is unknown.
func (t *Topology) WorkerIndex(id model.WorkerID) (int, bool) {
	i, ok := t.index[id]
	return i, ok
}

// NumWorkers returns the number of workers.
func (t *Topology) NumWorkers() int { return len(t.WorkerIDs) }

// Slot is a set of accelerators of one worker, which is given by its index.
type Slot struct {
	Worker int
	GPUs   model.GPUMask
}

// AlignedBlock returns the aligned block of size accelerators that contains accelerator i. Size is 1, 2, 4 or 8.
func AlignedBlock(i, size int) model.GPUMask {
	return model.GPUMask((1<<size)-1) << (i / size * size)
}
