package cell

import (
	"math/bits"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// blockSizes is the number of block sizes inside a worker: 1, 2, 4 and 8 accelerators.
const blockSizes = 4

// blockCounts[mask][k] is the number of whole aligned blocks of 1<<k accelerators in a mask.
var blockCounts = newBlockCounts()

func newBlockCounts() (out [1 << model.GPUsPerWorker][blockSizes]int) {
	for m := range out {
		for k := range blockSizes {
			size := 1 << k
			for i := 0; i < model.GPUsPerWorker; i += size {
				if block := AlignedBlock(i, size); model.GPUMask(m)&block == block {
					out[m][k]++
				}
			}
		}
	}
	return out
}

// CountBlocks returns the number of whole aligned blocks of size accelerators in a mask. The size is 1, 2, 4 or 8.
func CountBlocks(m model.GPUMask, size int) int {
	return blockCounts[m][bits.TrailingZeros(uint(size))]
}

// Inventory is a set of accelerators of a topology. It maintains the number of whole aligned blocks of each size per
// rack and in total, so that the cost of a change does not depend on the size of the topology and a query is one
// look-up.
type Inventory struct {
	topo        *Topology
	masks       []model.GPUMask
	rackBlocks  [][blockSizes]int
	totalBlocks [blockSizes]int
	fullRacks   int
}

// NewInventory returns an empty set.
func NewInventory(t *Topology) *Inventory {
	return &Inventory{topo: t, masks: make([]model.GPUMask, t.NumWorkers()), rackBlocks: make([][blockSizes]int, len(t.Racks))}
}

// Topology returns the topology to which the accelerators belong.
func (v *Inventory) Topology() *Topology { return v.topo }

// Mask returns the accelerators of a worker that are in the set.
func (v *Inventory) Mask(worker int) model.GPUMask { return v.masks[worker] }

// SetMask replaces the accelerators of a worker that are in the set.
func (v *Inventory) SetMask(worker int, m model.GPUMask) {
	old := v.masks[worker]
	if old == m {
		return
	}
	v.masks[worker] = m
	rack := &v.rackBlocks[v.topo.RackOf[worker]]
	wasFull := rack[blockSizes-1] == model.WorkersPerRack
	for k := range blockSizes {
		delta := blockCounts[m][k] - blockCounts[old][k]
		rack[k] += delta
		v.totalBlocks[k] += delta
	}
	switch isFull := rack[blockSizes-1] == model.WorkersPerRack; {
	case isFull && !wasFull:
		v.fullRacks++
	case wasFull && !isFull:
		v.fullRacks--
	}
}

// BlocksInRack returns the number of whole blocks of size accelerators in a rack.
func (v *Inventory) BlocksInRack(rack, size int) int {
	return v.rackBlocks[rack][bits.TrailingZeros(uint(size))]
}

// TotalBlocks returns the number of whole blocks of size accelerators.
func (v *Inventory) TotalBlocks(size int) int { return v.totalBlocks[bits.TrailingZeros(uint(size))] }

// FullRacks returns the number of racks with model.WorkersPerRack workers whose accelerators are all in the set.
func (v *Inventory) FullRacks() int { return v.fullRacks }

// RackIsFull reports whether FullRacks counts a rack.
func (v *Inventory) RackIsFull(rack int) bool {
	return v.rackBlocks[rack][blockSizes-1] == model.WorkersPerRack
}

// Cells returns the number of whole cells of each level in the order GPU, half worker, worker and rack.
func (v *Inventory) Cells() [4]int {
	return [4]int{v.totalBlocks[0], v.TotalBlocks(model.GPUsPerHalf), v.TotalBlocks(model.GPUsPerWorker), v.fullRacks}
}

// Fragmentation returns the share of the accelerators of the set that do not belong to a whole worker, from 0 to 1.
func (v *Inventory) Fragmentation() float64 {
	if v.totalBlocks[0] == 0 {
		return 0
	}
	return 1 - float64(v.TotalBlocks(model.GPUsPerWorker)*model.GPUsPerWorker)/float64(v.totalBlocks[0])
}
