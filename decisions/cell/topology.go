// Package cell represents the topology of a failure domain as a tree of cells (GPU, half worker, worker, rack,
// failure domain) and counts the whole cells in sets of accelerators.
package cell

import (
	"cmp"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Worker is the location of a worker in the topology.
type Worker struct {
	ID   model.WorkerID
	Rack string
}

// Topology assigns indices to the workers and racks of a failure domain. It is immutable.
type Topology struct {
	// IDs is the worker id of each worker index. Workers are sorted by rack and id.
	IDs []model.WorkerID
	// RackOf is the rack index of each worker index.
	RackOf []int
	// Racks is the list of worker indices of each rack, at most model.WorkersPerRack of them.
	Racks [][]int
	index map[model.WorkerID]int
}

// NewTopology builds the topology. A worker without a rack forms a rack of its own, so that it is not assumed to be
// adjacent to any other worker. A rack with more than model.WorkersPerRack workers is split.
func NewTopology(workers []Worker) *Topology {
	workers = slices.Clone(workers)
	slices.SortFunc(workers, func(a, b Worker) int { return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID)) })
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
		workerIndex := len(t.IDs)
		t.index[w.ID] = workerIndex
		t.IDs = append(t.IDs, w.ID)
		t.RackOf = append(t.RackOf, rack)
		t.Racks[rack] = append(t.Racks[rack], workerIndex)
	}
	return t
}

// Index returns the index of a worker, or false if the worker is unknown.
func (t *Topology) Index(id model.WorkerID) (int, bool) {
	i, ok := t.index[id]
	return i, ok
}

// Workers returns the number of workers.
func (t *Topology) Workers() int { return len(t.IDs) }

// Slot is a set of accelerators of one worker, which is given by its index.
type Slot struct {
	Worker int
	GPUs   model.GPUMask
}

// Block returns the aligned block of size accelerators that contains accelerator i. Size is 1, 2, 4 or 8.
func Block(i, size int) model.GPUMask {
	return model.GPUMask((1<<size)-1) << (i / size * size)
}
