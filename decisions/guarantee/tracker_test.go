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
	testseed.Fix("100")
	m.Run()
}

// fixedTask is a task that others cannot reclaim.
type fixedTask struct {
	account model.AccountID
	slot    cell.Slot
}

// brute tries every assignment of guaranteed cells to physical cells.
type brute struct {
	racks  [][]int
	usable []bool
	tasks  []fixedTask
	taken  []model.GPUMask
}

// open returns the accelerators of a worker that the account could have.
func (b *brute) open(w int, a model.AccountID) model.GPUMask {
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

// packs reports whether all cells fit at once, the largest first.
func (b *brute) packs(left map[model.AccountID]Counts) bool {
	for l := levelRack; l >= 0; l-- {
		for _, a := range []model.AccountID{"a", "b"} {
			if c := left[a]; c[l] > 0 {
				c[l]--
				return b.tryCells(l, a, without(left, a, c))
			}
		}
	}
	return true
}

func without(left map[model.AccountID]Counts, a model.AccountID, c Counts) map[model.AccountID]Counts {
	out := map[model.AccountID]Counts{"a": left["a"], "b": left["b"]}
	out[a] = c
	return out
}

func (b *brute) tryCells(l int, a model.AccountID, rest map[model.AccountID]Counts) bool {
	for _, ws := range b.racks {
		if l == levelRack {
			if len(ws) == model.WorkersPerRack && b.tryCell(ws, 0xff, a, rest) {
				return true
			}
			continue
		}
		for _, w := range ws {
			for i := 0; i < model.GPUsPerWorker; i += Levels[l].GPUs() {
				if b.tryCell([]int{w}, cell.Block(i, Levels[l].GPUs()), a, rest) {
					return true
				}
			}
		}
	}
	return false
}

func (b *brute) tryCell(ws []int, m model.GPUMask, a model.AccountID, rest map[model.AccountID]Counts) bool {
	for _, w := range ws {
		if b.open(w, a)&m != m {
			return false
		}
	}
	for _, w := range ws {
		b.taken[w] |= m
	}
	ok := b.packs(rest)
	for _, w := range ws {
		b.taken[w] &^= m
	}
	return ok
}

// fixture is a tracker and the brute force over the same state.
type fixture struct {
	*Tracker
	brute
	guarantees map[model.AccountID]Counts
}

func newFixture(t *rapid.T, faults bool) *fixture {
	n := func(hi int, name string) int { return rapid.IntRange(0, hi).Draw(t, name) }
	perRack, racks := []int{2, 8}[n(1, "rack size")], 1
	f := &fixture{guarantees: map[model.AccountID]Counts{
		"a": {n(2, "gpus"), n(1, "halves"), n(1, "workers"), 0}, "b": {n(1, "gpus"), n(1, "halves"), n(1, "workers"), 0},
	}}
	if perRack == model.WorkersPerRack {
		racks = 2
		f.guarantees["a"] = Counts{0, 1, 0, n(1, "racks")}
		f.guarantees["b"] = Counts{n(1, "gpus"), 0, n(1, "workers"), n(1, "racks")}
	}
	var ws []cell.Worker
	for i := range racks * perRack {
		ws = append(ws, cell.Worker{ID: model.WorkerID(fmt.Sprintf("w%02d", i)), Rack: fmt.Sprint("r", i/perRack)})
		f.brute.usable = append(f.brute.usable, !faults || n(9, "unusable") > 0)
	}
	topo := cell.NewTopology(ws)
	f.racks, f.taken = topo.Racks, make([]model.GPUMask, len(ws))
	f.Tracker = New(topo, f.brute.usable, f.guarantees)
	return f
}

func (f *fixture) draw(t *rapid.T) fixedTask {
	size := rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "size")
	return fixedTask{
		rapid.SampledFrom([]model.AccountID{"a", "b", "c"}).Draw(t, "account"),
		cell.Slot{Worker: rapid.IntRange(0, len(f.taken)-1).Draw(t, "worker"), GPUs: cell.Block(rapid.IntRange(0, 7).Draw(t, "gpu"), size)},
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

// TestDeficitOfEmptyDomain guards against a false shortfall and a false reclaimable without tasks, where the
// counts must be exact.
func TestDeficitOfEmptyDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, true)
		if got, want := f.Reclaimable(), f.packs(f.guarantees); got != want {
			t.Fatalf("reclaimable is %v, want %v for %v", got, want, f.guarantees)
		}
	})
}

// TestAllowedTasksStayReclaimable guards against a task that Allows records although it breaks a guarantee,
// against the end of a task that breaks one, and against a false shortfall after such tasks.
func TestAllowedTasksStayReclaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, false)
		if !f.Reclaimable() {
			t.Skip("the guarantees never fit")
		}
		for range 30 {
			if x := f.draw(t); rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				f.release(t)
			} else if !f.inUse(x.slot) && f.Allows(x.account, x.slot, rapid.Bool().Draw(t, "covered")) {
				f.tasks = append(f.tasks, x)
			}
			if !f.Reclaimable() || !f.packs(f.guarantees) {
				t.Fatalf("after allowed tasks %v: reclaimable %v, deficit %v", f.tasks, f.Reclaimable(), f.Deficit())
			}
		}
	})
}

// TestForcedTasksAreCounted guards against a false reclaimable after tasks that were found running.
func TestForcedTasksAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, true)
		for range 12 {
			if x := f.draw(t); rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				f.release(t)
			} else if !f.inUse(x.slot) {
				f.Force(x.account, x.slot)
				f.tasks = append(f.tasks, x)
			}
			if f.Reclaimable() && !f.packs(f.guarantees) {
				t.Fatalf("reclaimable with %v, but no packing exists", f.tasks)
			}
		}
	})
}
