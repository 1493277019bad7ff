package cell

import (
	"math/bits"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// sizes is the number of block sizes inside a worker: 1, 2, 4 and 8 accelerators.
const sizes = 4

// blocks gives the number of whole aligned blocks of 1<<k accelerators for each mask.
var blocks = countBlocks()

func countBlocks() (out [1 << model.GPUsPerWorker][sizes]int) {
	for m := range out {
		for k := range sizes {
			size := 1 << k
			for i := 0; i < model.GPUsPerWorker; i += size {
				if b := Block(i, size); model.GPUMask(m)&b == b {
					out[m][k]++
				}
			}
		}
	}
	return out
}

// Blocks returns the number of whole aligned blocks of size accelerators in a mask. Size is 1, 2, 4 or 8.
func Blocks(m model.GPUMask, size int) int { return blocks[m][bits.TrailingZeros(uint(size))] }

// Inventory is a set of accelerators of a topology. It counts the whole aligned blocks of each size per
// rack and in total, so that a change costs the change and a query one look-up.
type Inventory struct {
	topo  *Topology
	mask  []model.GPUMask
	rack  [][sizes]int
	total [sizes]int
	full  int
}

// NewInventory returns an empty set.
func NewInventory(t *Topology) *Inventory {
	return &Inventory{topo: t, mask: make([]model.GPUMask, t.Workers()), rack: make([][sizes]int, len(t.Racks))}
}

// Topology returns the topology of the set.
func (v *Inventory) Topology() *Topology { return v.topo }

// Mask returns the accelerators of a worker that are in the set.
func (v *Inventory) Mask(worker int) model.GPUMask { return v.mask[worker] }

// Set replaces the accelerators of a worker.
func (v *Inventory) Set(worker int, m model.GPUMask) {
	old := v.mask[worker]
	if old == m {
		return
	}
	v.mask[worker] = m
	r := &v.rack[v.topo.RackOf[worker]]
	wasFull := r[sizes-1] == model.WorkersPerRack
	for k := range sizes {
		d := blocks[m][k] - blocks[old][k]
		r[k] += d
		v.total[k] += d
	}
	switch isFull := r[sizes-1] == model.WorkersPerRack; {
	case isFull && !wasFull:
		v.full++
	case wasFull && !isFull:
		v.full--
	}
}

// InRack returns the number of whole blocks of size accelerators in a rack.
func (v *Inventory) InRack(rack, size int) int { return v.rack[rack][bits.TrailingZeros(uint(size))] }

// Total returns the number of whole blocks of size accelerators.
func (v *Inventory) Total(size int) int { return v.total[bits.TrailingZeros(uint(size))] }

// FullRacks returns the number of racks of which all model.WorkersPerRack workers are in the set.
func (v *Inventory) FullRacks() int { return v.full }

// RackIsFull reports whether a rack counts as a full rack.
func (v *Inventory) RackIsFull(rack int) bool { return v.rack[rack][sizes-1] == model.WorkersPerRack }

// Cells returns the number of whole cells of each level, from GPU to rack.
func (v *Inventory) Cells() [4]int {
	return [4]int{v.total[0], v.Total(model.GPUsPerHalf), v.Total(model.GPUsPerWorker), v.full}
}

// Fragmentation returns the share of accelerators of the set that are outside a whole worker, from 0 to 1.
func (v *Inventory) Fragmentation() float64 {
	if v.total[0] == 0 {
		return 0
	}
	return 1 - float64(v.Total(model.GPUsPerWorker)*model.GPUsPerWorker)/float64(v.total[0])
}
