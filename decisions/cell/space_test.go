package cell

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix("100")
	m.Run()
}

// TestInventoryCounts guards against counts that drift from the set after a sequence of changes.
func TestInventoryCounts(t *testing.T) {
	var ws []Worker
	for i := range 18 {
		ws = append(ws, Worker{ID: model.WorkerID(fmt.Sprintf("w%02d", i)), Rack: fmt.Sprintf("r%d", i/9)})
	}
	topo := NewTopology(ws)
	rapid.Check(t, func(t *rapid.T) {
		v := NewInventory(topo)
		for range 50 {
			v.Set(rapid.IntRange(0, 17).Draw(t, "worker"), model.GPUMask(rapid.SampledFrom([]int{0, 1, 0x0f, 0x3c, 0xff, 0xff}).Draw(t, "mask")))
		}
		for _, size := range []int{1, 2, 4, 8} {
			total, full := 0, 0
			for r, members := range topo.Racks {
				n := 0
				for _, w := range members {
					for i := 0; i < 8; i += size {
						whole := true
						for k := i; k < i+size; k++ {
							whole = whole && v.Mask(w)&(1<<k) != 0
						}
						if whole {
							n++
						}
					}
				}
				if len(members) > 8 || v.InRack(r, size) != n {
					t.Fatalf("rack %d of %d workers: %d blocks of %d, want %d", r, len(members), v.InRack(r, size), size, n)
				}
				total += n
				if size == 8 && n == 8 {
					full++
				}
			}
			if v.Total(size) != total || (size == 8 && v.FullRacks() != full) {
				t.Fatalf("%d blocks of %d, want %d; %d full racks, want %d", v.Total(size), size, total, v.FullRacks(), full)
			}
		}
	})
}
