// Package cell holds the topology of a failure domain as a tree of cells (GPU, half worker, worker, rack,
// failure domain) and counts the whole cells of sets of accelerators.
package cell

import (
	"cmp"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// Worker is a worker's place in the topology.
type Worker struct {
	ID   model.WorkerID
	Rack string
}

// Topology numbers the workers and racks of a failure domain. It does not change.
type Topology struct {
	// IDs gives the worker of each index, in order of rack and identifier.
	IDs []model.WorkerID
	// RackOf gives the rack index of each worker index.
	RackOf []int
	// Racks gives the worker indices of each rack; at most model.WorkersPerRack.
	Racks [][]int
	index map[model.WorkerID]int
}

// NewTopology builds the topology. A worker without a rack forms a rack of its own, so that no adjacency
// is assumed. A rack with more than model.WorkersPerRack workers is split.
func NewTopology(ws []Worker) *Topology {
	ws = slices.Clone(ws)
	slices.SortFunc(ws, func(a, b Worker) int { return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID)) })
	t := &Topology{index: make(map[model.WorkerID]int, len(ws))}
	for i, w := range ws {
		if _, known := t.index[w.ID]; known {
			continue
		}
		last := len(t.Racks) - 1
		if i == 0 || w.Rack == "" || w.Rack != ws[i-1].Rack || len(t.Racks[last]) == model.WorkersPerRack {
			t.Racks = append(t.Racks, nil)
			last++
		}
		n := len(t.IDs)
		t.index[w.ID] = n
		t.IDs = append(t.IDs, w.ID)
		t.RackOf = append(t.RackOf, last)
		t.Racks[last] = append(t.Racks[last], n)
	}
	return t
}

// Index returns the index of a worker; false if the worker is unknown.
func (t *Topology) Index(id model.WorkerID) (int, bool) {
	i, ok := t.index[id]
	return i, ok
}

// Workers returns the number of workers.
func (t *Topology) Workers() int { return len(t.IDs) }

// Slot is a set of accelerators of the worker with an index.
type Slot struct {
	Worker int
	GPUs   model.GPUMask
}

// Block returns the aligned block of size accelerators that contains accelerator i. Size is 1, 2, 4 or 8.
func Block(i, size int) model.GPUMask {
	return model.GPUMask((1<<size)-1) << (i / size * size)
}
