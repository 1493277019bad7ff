package cell

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
)

func TestMain(m *testing.M) {
	testseed.SetFlags("100")
	m.Run()
}

// TestInventoryCounts guards against incremental block counts that differ from the set after a sequence of changes.
func TestInventoryCounts(t *testing.T) {
	var workers []WorkerLocation
	for i := range 18 {
		workers = append(workers, WorkerLocation{ID: model.WorkerID(fmt.Sprintf("w%02d", i)), Rack: fmt.Sprintf("r%d", i/9)})
	}
	topo := NewTopology(workers)
	rapid.Check(t, func(t *rapid.T) {
		inventory := NewInventory(topo)
		for range 50 {
			inventory.SetMask(rapid.IntRange(0, 17).Draw(t, "worker"), model.GPUMask(rapid.SampledFrom([]int{0, 1, 0x0f, 0x3c, 0xff, 0xff}).Draw(t, "mask")))
		}
		for _, size := range []int{1, 2, 4, 8} {
			total, full := 0, 0
			for r, rackWorkers := range topo.Racks {
				count := 0
				for _, w := range rackWorkers {
					for i := 0; i < 8; i += size {
						whole := true
						for k := i; k < i+size; k++ {
							whole = whole && inventory.Mask(w)&(1<<k) != 0
						}
						if whole {
							count++
						}
					}
				}
				if len(rackWorkers) > 8 || inventory.BlocksInRack(r, size) != count {
					t.Fatalf("rack %d of %d workers: %d blocks of %d, want %d", r, len(rackWorkers), inventory.BlocksInRack(r, size), size, count)
				}
				total += count
				if size == 8 && count == 8 {
					full++
				}
			}
			if inventory.TotalBlocks(size) != total || (size == 8 && inventory.FullRacks() != full) {
				t.Fatalf("%d blocks of %d, want %d; %d full racks, want %d", inventory.TotalBlocks(size), size, total, inventory.FullRacks(), full)
			}
		}
	})
}
