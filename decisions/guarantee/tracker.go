// Package guarantee tracks whether all client accounts can still reclaim the cells that are guaranteed to them.
//
// A task is protected if no other account can reclaim its accelerators: it is not preemptible, or it lies within the
// guarantee of its account. The invariant is that all guaranteed cells can be reclaimed at once, next to the protected
// tasks. The Tracker maintains it as follows. A guaranteed cell is either pinned to a physical cell, in which only its
// own account has protected tasks, or it is unpinned. All unpinned cells must fit together on the available
// accelerators: those of usable workers that are neither pinned nor in use by other protected tasks. Cells are nested
// and their sizes divide each other, so packing the largest first is optimal and the cell counts of the four levels
// decide it exactly. The idea of binding virtual cells of an account to physical cells is from "HiveD: Sharing a GPU
// Cluster for Deep Learning with Guarantees" (OSDI 2020).
//
// A pin stays while the account has a protected task in the cell. When it is removed, one physical cell becomes
// available and one guaranteed cell of the same level becomes unpinned, so the end of a task never breaks the
// invariant.
package guarantee

import (
	"math/bits"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
)

// Levels lists the levels of guaranteed cells, from the smallest to the largest.
var Levels = [...]model.Level{model.LevelGPU, model.LevelHalf, model.LevelWorker, model.LevelRack}

const (
	levelWorker = 2
	levelRack   = 3
)

// CellCounts holds a number of cells for each level, in the order of Levels.
type CellCounts [len(Levels)]int

// pin binds one guaranteed cell of an account to a physical cell.
type pin struct {
	account model.AccountID
	level   int
	// worker is the worker of the cell or the first worker of its rack.
	worker int
	gpus   model.GPUMask
	// usedGPUs is the number of accelerators of the cell that protected tasks of the account use.
	usedGPUs int
}

// Tracker holds the pins and the protected tasks of one failure domain.
type Tracker struct {
	topo          *cell.Topology
	available     *cell.Inventory
	usable        []bool
	protected     []model.GPUMask
	pins          [][model.GPUsPerWorker]*pin
	unpinned      map[model.AccountID]*CellCounts
	unpinnedTotal CellCounts
	// unused is the number of guaranteed accelerators of each account that its protected tasks do not use.
	unused map[model.AccountID]int
}

// New returns a tracker without tasks. usable tells for each worker index whether the worker can run tasks.
func New(t *cell.Topology, usable []bool, guarantees map[model.AccountID]CellCounts) *Tracker {
	tr := &Tracker{
		topo: t, available: cell.NewInventory(t), usable: usable,
		protected: make([]model.GPUMask, t.NumWorkers()), pins: make([][model.GPUsPerWorker]*pin, t.NumWorkers()),
		unpinned: make(map[model.AccountID]*CellCounts, len(guarantees)),
		unused:   make(map[model.AccountID]int, len(guarantees)),
	}
	for a, c := range guarantees {
		tr.unpinned[a] = &c
		for l, n := range c {
			tr.unpinnedTotal[l] += n
			tr.unused[a] += n * Levels[l].GPUs()
		}
	}
	for w := range t.NumWorkers() {
		tr.refresh(w)
	}
	return tr
}

// CountCells sums the cells of the guarantees in a failure domain. A cell of level domain counts as one cell of level
// worker for each worker.
func CountCells(gs []model.Guarantee, d model.FailureDomain, workers int) CellCounts {
	var c CellCounts
	for _, g := range gs {
		if g.Domain != d {
			continue
		}
		for _, n := range g.Cells {
			if n.Level == model.LevelDomain {
				c[levelWorker] += n.Count * workers
			}
			for l, name := range Levels {
				if n.Level == name {
					c[l] += n.Count
				}
			}
		}
	}
	return c
}

// Deficit returns, for each level, how many cells of that level are missing to place all unpinned cells of that level
// and above. It is zero if the invariant holds.
func (t *Tracker) Deficit() CellCounts {
	have := t.available.Cells()
	var out CellCounts
	want := 0
	for l := len(Levels) - 1; l >= 0; l-- {
		want += t.unpinnedTotal[l]
		out[l] = max(0, want-have[l])
		if l > 0 {
			want *= Levels[l].GPUs() / Levels[l-1].GPUs()
		}
	}
	return out
}

// Reclaimable reports whether all guaranteed cells can be reclaimed at once.
func (t *Tracker) Reclaimable() bool { return t.Deficit() == CellCounts{} }

// HasGuarantee reports whether an account has guaranteed cells, pinned or not.
func (t *Tracker) HasGuarantee(a model.AccountID) bool { return t.unpinned[a] != nil }

// UnavailableTo returns the accelerators of a worker that further protected tasks of the account must not use: those in
// use by protected tasks and those in cells pinned by other accounts.
func (t *Tracker) UnavailableTo(w int, a model.AccountID) model.GPUMask {
	m := t.protected[w]
	for i, p := range t.pins[w] {
		if p != nil && p.account != a {
			m |= 1 << i
		}
	}
	return m
}

// PinnedGPUs returns the number of accelerators of a worker in cells pinned by the account.
func (t *Tracker) PinnedGPUs(w int, a model.AccountID) int {
	n := 0
	for _, p := range t.pins[w] {
		if p != nil && p.account == a {
			n++
		}
	}
	return n
}

// TryRecord records one protected task of an account and returns true, unless the task would use accelerators that are
// unavailable to the account, would increase the deficit at any level or, if requireCovered is set, would lie outside
// the guarantee of the account.
func (t *Tracker) TryRecord(a model.AccountID, s cell.Slot, requireCovered bool) bool {
	if t.UnavailableTo(s.Worker, a)&s.GPUs != 0 {
		return false
	}
	before := t.Deficit()
	covered := t.recordSlot(a, s)
	if (covered || !requireCovered) && deficitNotIncreased(before, t.Deficit()) {
		return true
	}
	t.Release(s)
	return false
}

// ForceRecord records a protected task without a check, for example a task that was found running.
func (t *Tracker) ForceRecord(a model.AccountID, s cell.Slot) { t.recordSlot(a, s) }

// Release removes a protected task and the pins whose cells have no protected task left.
func (t *Tracker) Release(s cell.Slot) {
	for i := range model.GPUsPerWorker {
		bit := model.GPUMask(1) << i
		if s.GPUs&bit == 0 || t.protected[s.Worker]&bit == 0 {
			continue
		}
		t.protected[s.Worker] &^= bit
		if p := t.pins[s.Worker][i]; p != nil {
			t.unused[p.account]++
			if p.usedGPUs--; p.usedGPUs == 0 {
				t.setPin(p, nil)
			}
		}
	}
	t.refresh(s.Worker)
}

// CanExcludeWorkers reports whether the deficit would not increase if the workers were not available.
func (t *Tracker) CanExcludeWorkers(ws []int) bool {
	before := t.Deficit()
	for _, w := range ws {
		t.available.SetMask(w, 0)
	}
	after := t.Deficit()
	for _, w := range ws {
		t.refresh(w)
	}
	return deficitNotIncreased(before, after)
}

func deficitNotIncreased(before, after CellCounts) bool {
	for l := range before {
		if after[l] > before[l] {
			return false
		}
	}
	return true
}

// recordSlot records the slot of a protected task and reports whether it lies within the guarantee. A slot that is not
// an aligned block is recorded accelerator by accelerator.
func (t *Tracker) recordSlot(a model.AccountID, s cell.Slot) bool {
	n := s.GPUs.Count()
	if n > 0 && n&(n-1) == 0 && cell.AlignedBlock(lowestGPU(s.GPUs), n) == s.GPUs {
		return t.recordBlock(a, s.Worker, s.GPUs)
	}
	covered := true
	for i := range model.GPUsPerWorker {
		if s.GPUs&(1<<i) != 0 && !t.recordBlock(a, s.Worker, 1<<i) {
			covered = false
		}
	}
	return covered
}

// recordBlock records an aligned block as in use by a protected task and reports whether pinned cells of the account
// cover it. If none covers it yet, it pins the smallest suitable guaranteed cell around the block, else cells for the
// two halves of the block.
func (t *Tracker) recordBlock(a model.AccountID, w int, m model.GPUMask) bool {
	t.unpinOthers(a, w, m)
	if p := t.coveringPin(w, m); p != nil {
		p.usedGPUs += m.Count()
		t.unused[a] -= m.Count()
		t.protected[w] |= m
		return true
	}
	if t.available.Mask(w)&m == m && t.pinCell(a, w, m) {
		t.protected[w] |= m
		return true
	}
	n := m.Count()
	if n == 1 {
		t.protected[w] |= m
		t.refresh(w)
		return false
	}
	low := m & -m
	half := cell.AlignedBlock(lowestGPU(low), n/2)
	first := t.recordBlock(a, w, half)
	second := t.recordBlock(a, w, m&^half)
	return first && second
}

// unpinOthers removes the pins of other accounts that overlap a block. The tasks in their cells stay recorded, as tasks
// outside a guarantee. Only ForceRecord can meet such a pin.
func (t *Tracker) unpinOthers(a model.AccountID, w int, m model.GPUMask) {
	for i := range model.GPUsPerWorker {
		if p := t.pins[w][i]; p != nil && m&(1<<i) != 0 && p.account != a {
			t.unused[p.account] += p.usedGPUs
			t.setPin(p, nil)
		}
	}
}

// coveringPin returns the pin whose cell contains the whole block, or nil.
func (t *Tracker) coveringPin(w int, m model.GPUMask) *pin {
	var found *pin
	for i, p := range t.pins[w] {
		if m&(1<<i) == 0 {
			continue
		}
		if p == nil || (found != nil && p != found) {
			return nil
		}
		found = p
	}
	return found
}

// pinCell pins the smallest unpinned cell of the account for which the physical cell around the block is available.
func (t *Tracker) pinCell(a model.AccountID, w int, m model.GPUMask) bool {
	c := t.unpinned[a]
	if c == nil {
		return false
	}
	i := lowestGPU(m & -m)
	for l := range Levels {
		if c[l] == 0 || Levels[l].GPUs() < m.Count() {
			continue
		}
		p := &pin{account: a, level: l, worker: w, usedGPUs: m.Count()}
		if l == levelRack {
			if !t.available.RackIsFull(t.topo.RackOf[w]) {
				continue
			}
			p.gpus = cell.AlignedBlock(0, model.GPUsPerWorker)
		} else {
			p.gpus = cell.AlignedBlock(i, Levels[l].GPUs())
			if t.available.Mask(w)&p.gpus != p.gpus {
				continue
			}
		}
		t.setPin(p, p)
		t.unused[a] -= m.Count()
		return true
	}
	return false
}

// setPin sets the pin of all accelerators of p's cell to p, or removes it if to is nil, and updates the unpinned
// counts.
func (t *Tracker) setPin(p, to *pin) {
	workers := []int{p.worker}
	if p.level == levelRack {
		workers = t.topo.Racks[t.topo.RackOf[p.worker]]
	}
	for _, w := range workers {
		for i := range model.GPUsPerWorker {
			if p.gpus&(1<<i) != 0 {
				t.pins[w][i] = to
			}
		}
		t.refresh(w)
	}
	delta := 1
	if to != nil {
		delta = -1
	}
	t.unpinned[p.account][p.level] += delta
	t.unpinnedTotal[p.level] += delta
}

// refresh recomputes the available accelerators of a worker.
func (t *Tracker) refresh(w int) {
	if !t.usable[w] {
		t.available.SetMask(w, 0)
		return
	}
	m := ^t.protected[w]
	for i, p := range t.pins[w] {
		if p != nil {
			m &^= 1 << i
		}
	}
	t.available.SetMask(w, m)
}

func lowestGPU(m model.GPUMask) int { return bits.TrailingZeros8(uint8(m)) }
