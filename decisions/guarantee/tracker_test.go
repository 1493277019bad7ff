package guarantee

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
)

func TestMain(m *testing.M) {
	testseed.SetFlags("100")
	m.Run()
}

// protectedTask is a task whose accelerators other accounts cannot reclaim.
type protectedTask struct {
	account model.AccountID
	slot    cell.Slot
}

// bruteForce checks the invariant by trying every assignment of guaranteed cells to physical cells.
type bruteForce struct {
	racks  [][]int
	usable []bool
	tasks  []protectedTask
	taken  []model.GPUMask
}

// usableBy returns the accelerators of a worker that a guaranteed cell of the account could include.
func (b *bruteForce) usableBy(w int, a model.AccountID) model.GPUMask {
	if !b.usable[w] {
		return 0
	}
	m := ^b.taken[w]
	for _, t := range b.tasks {
		if t.slot.Worker == w && t.account != a {
			m &^= t.slot.GPUs
		}
	}
	return m
}

// canPack reports whether all cells fit at once. It places the largest first.
func (b *bruteForce) canPack(left map[model.AccountID]CellCounts) bool {
	for l := levelRack; l >= 0; l-- {
		for _, a := range []model.AccountID{"a", "b"} {
			if c := left[a]; c[l] > 0 {
				c[l]--
				return b.tryCells(l, a, withCounts(left, a, c))
			}
		}
	}
	return true
}

func withCounts(left map[model.AccountID]CellCounts, a model.AccountID, c CellCounts) map[model.AccountID]CellCounts {
	out := map[model.AccountID]CellCounts{"a": left["a"], "b": left["b"]}
	out[a] = c
	return out
}

func (b *bruteForce) tryCells(l int, a model.AccountID, rest map[model.AccountID]CellCounts) bool {
	for _, ws := range b.racks {
		if l == levelRack {
			if len(ws) == model.WorkersPerRack && b.tryCell(ws, 0xff, a, rest) {
				return true
			}
			continue
		}
		for _, w := range ws {
			for i := 0; i < model.GPUsPerWorker; i += Levels[l].GPUs() {
				if b.tryCell([]int{w}, cell.AlignedBlock(i, Levels[l].GPUs()), a, rest) {
					return true
				}
			}
		}
	}
	return false
}

func (b *bruteForce) tryCell(ws []int, m model.GPUMask, a model.AccountID, rest map[model.AccountID]CellCounts) bool {
	for _, w := range ws {
		if b.usableBy(w, a)&m != m {
			return false
		}
	}
	for _, w := range ws {
		b.taken[w] |= m
	}
	ok := b.canPack(rest)
	for _, w := range ws {
		b.taken[w] &^= m
	}
	return ok
}

// fixture holds a tracker and a brute-force check of the same state.
type fixture struct {
	*Tracker
	bruteForce
	guarantees map[model.AccountID]CellCounts
}

func newFixture(t *rapid.T, faults bool) *fixture {
	n := func(hi int, name string) int { return rapid.IntRange(0, hi).Draw(t, name) }
	perRack, racks := []int{2, 8}[n(1, "rack size")], 1
	f := &fixture{guarantees: map[model.AccountID]CellCounts{
		"a": {n(2, "gpus"), n(1, "halves"), n(1, "workers"), 0}, "b": {n(1, "gpus"), n(1, "halves"), n(1, "workers"), 0},
	}}
	if perRack == model.WorkersPerRack {
		racks = 2
		f.guarantees["a"] = CellCounts{0, 1, 0, n(1, "racks")}
		f.guarantees["b"] = CellCounts{n(1, "gpus"), 0, n(1, "workers"), n(1, "racks")}
	}
	var ws []cell.WorkerLocation
	for i := range racks * perRack {
		ws = append(ws, cell.WorkerLocation{ID: model.WorkerID(fmt.Sprintf("w%02d", i)), Rack: fmt.Sprint("r", i/perRack)})
		f.bruteForce.usable = append(f.bruteForce.usable, !faults || n(9, "unusable") > 0)
	}
	topo := cell.NewTopology(ws)
	f.racks, f.taken = topo.Racks, make([]model.GPUMask, len(ws))
	f.Tracker = New(topo, f.bruteForce.usable, f.guarantees)
	return f
}

func (f *fixture) drawTask(t *rapid.T) protectedTask {
	size := rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "size")
	return protectedTask{
		rapid.SampledFrom([]model.AccountID{"a", "b", "c"}).Draw(t, "account"),
		cell.Slot{Worker: rapid.IntRange(0, len(f.taken)-1).Draw(t, "worker"), GPUs: cell.AlignedBlock(rapid.IntRange(0, 7).Draw(t, "gpu"), size)},
	}
}

// inUse reports whether a recorded task uses one of the accelerators.
func (f *fixture) inUse(s cell.Slot) bool {
	for _, t := range f.tasks {
		if t.slot.Worker == s.Worker && t.slot.GPUs&s.GPUs != 0 {
			return true
		}
	}
	return false
}

func (f *fixture) release(t *rapid.T) {
	if len(f.tasks) > 0 {
		i := rapid.IntRange(0, len(f.tasks)-1).Draw(t, "released")
		f.Release(f.tasks[i].slot)
		f.tasks = append(f.tasks[:i:i], f.tasks[i+1:]...)
	}
}

// TestDeficitOfEmptyDomain guards against a wrong result of Reclaimable in a domain without tasks, where the cell
// counts must be exact.
func TestDeficitOfEmptyDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, true)
		if got, want := f.Reclaimable(), f.canPack(f.guarantees); got != want {
			t.Fatalf("reclaimable is %v, want %v for %v", got, want, f.guarantees)
		}
	})
}

// TestAllowedTasksStayReclaimable guards against a task that TryRecord accepts although a guarantee can then no longer
// be reclaimed, against a release that has this effect, and against a deficit that is reported although all fit.
func TestAllowedTasksStayReclaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, false)
		if !f.Reclaimable() {
			t.Skip("the guarantees never fit")
		}
		for range 30 {
			if x := f.drawTask(t); rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				f.release(t)
			} else if !f.inUse(x.slot) && f.TryRecord(x.account, x.slot, rapid.Bool().Draw(t, "covered")) {
				f.tasks = append(f.tasks, x)
			}
			if !f.Reclaimable() || !f.canPack(f.guarantees) {
				t.Fatalf("after allowed tasks %v: reclaimable %v, deficit %v", f.tasks, f.Reclaimable(), f.Deficit())
			}
		}
	})
}

// TestForcedTasksAreCounted guards against a domain that counts as reclaimable although tasks that were found running
// leave no room for the guarantees.
func TestForcedTasksAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, true)
		for range 12 {
			if x := f.drawTask(t); rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				f.release(t)
			} else if !f.inUse(x.slot) {
				f.ForceRecord(x.account, x.slot)
				f.tasks = append(f.tasks, x)
			}
			if f.Reclaimable() && !f.canPack(f.guarantees) {
				t.Fatalf("reclaimable with %v, but no packing exists", f.tasks)
			}
		}
	})
}
