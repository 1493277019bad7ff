// Package guarantee decides whether the guaranteed shapes of all client accounts can still be reclaimed.
//
// The Tracker keeps a witness of the invariant. A guaranteed cell is either pinned to a physical cell, in
// which only its own account has tasks that others cannot reclaim, or it is unpinned. Unpinned cells must
// pack together onto the available accelerators: those of usable workers that are neither pinned nor in
// use by other fixed tasks. Cells are nested and their sizes divide each other, so packing the largest
// first is optimal and four counts decide it exactly. The idea of binding virtual cells of an account to
// physical cells is from "HiveD: Sharing a GPU Cluster for Deep Learning with Guarantees" (OSDI 2020).
//
// A pin stays while the account has a fixed task in the cell. When it goes, one cell becomes available and
// one cell of the same level becomes unpinned, so the end of a task never breaks the invariant.
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

// Counts is a number of cells of each level, in the order of Levels.
type Counts [len(Levels)]int

// pin binds one guaranteed cell of an account to a physical cell.
type pin struct {
	account model.AccountID
	level   int
	// worker is the worker of the cell or the first worker of its rack.
	worker int
	gpus   model.GPUMask
	// used is the number of accelerators of the cell in use by fixed tasks of the account.
	used int
}

// Tracker holds the pins and the fixed tasks of one failure domain.
type Tracker struct {
	topo     *cell.Topology
	avail    *cell.Inventory
	usable   []bool
	fixed    []model.GPUMask
	pins     [][model.GPUsPerWorker]*pin
	unpinned map[model.AccountID]*Counts
	need     Counts
	// spare is the number of guaranteed accelerators of each account that its fixed tasks do not use.
	spare map[model.AccountID]int
}

// New returns a tracker without tasks. usable tells for each worker index whether it can run tasks.
func New(t *cell.Topology, usable []bool, guarantees map[model.AccountID]Counts) *Tracker {
	tr := &Tracker{
		topo: t, avail: cell.NewInventory(t), usable: usable,
		fixed: make([]model.GPUMask, t.Workers()), pins: make([][model.GPUsPerWorker]*pin, t.Workers()),
		unpinned: make(map[model.AccountID]*Counts, len(guarantees)),
		spare:    make(map[model.AccountID]int, len(guarantees)),
	}
	for a, c := range guarantees {
		tr.unpinned[a] = &c
		for l, n := range c {
			tr.need[l] += n
			tr.spare[a] += n * Levels[l].GPUs()
		}
	}
	for w := range t.Workers() {
		tr.refresh(w)
	}
	return tr
}

// CountsOf sums the cells of the guarantees in a failure domain. A cell of the level of the failure domain
// counts as all its workers.
func CountsOf(gs []model.Guarantee, d model.FailureDomain, workers int) Counts {
	var c Counts
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

// Deficit returns, for each level, how many accelerators' worth of cells of that level and above are
// missing in a packing of all unpinned cells. It is zero if the invariant holds.
func (t *Tracker) Deficit() Counts {
	have := t.avail.Cells()
	var out Counts
	want := 0
	for l := len(Levels) - 1; l >= 0; l-- {
		want += t.need[l]
		out[l] = max(0, want-have[l])
		if l > 0 {
			want *= Levels[l].GPUs() / Levels[l-1].GPUs()
		}
	}
	return out
}

// Reclaimable reports whether all guaranteed cells can be packed at once.
func (t *Tracker) Reclaimable() bool { return t.Deficit() == Counts{} }

// Guaranteed reports whether an account has an unpinned cell or a pinned cell.
func (t *Tracker) Guaranteed(a model.AccountID) bool { return t.unpinned[a] != nil }

// Foreign returns the accelerators of a worker that fixed tasks of the account may not use.
func (t *Tracker) Foreign(w int, a model.AccountID) model.GPUMask {
	m := t.fixed[w]
	for i, p := range t.pins[w] {
		if p != nil && p.account != a {
			m |= 1 << i
		}
	}
	return m
}

// Own returns the number of accelerators of a worker in cells pinned by the account.
func (t *Tracker) Own(w int, a model.AccountID) int {
	n := 0
	for _, p := range t.pins[w] {
		if p != nil && p.account == a {
			n++
		}
	}
	return n
}

// Allows tries to record one fixed task of an account. It returns whether the task lies within guaranteed
// cells of the account, and whether it was recorded. The task is recorded unless it would increase the
// deficit at any level, or, if covered is required, lie outside the guarantee.
func (t *Tracker) Allows(a model.AccountID, s cell.Slot, requireCovered bool) bool {
	if t.Foreign(s.Worker, a)&s.GPUs != 0 {
		return false
	}
	before := t.Deficit()
	covered := t.coverAll(a, s)
	if (covered || !requireCovered) && notWorse(before, t.Deficit()) {
		return true
	}
	t.Release(s)
	return false
}

// Force records a fixed task without a check, as for a task that was found running.
func (t *Tracker) Force(a model.AccountID, s cell.Slot) { t.coverAll(a, s) }

// Release removes a fixed task and the pins that it leaves without tasks.
func (t *Tracker) Release(s cell.Slot) {
	for i := range model.GPUsPerWorker {
		bit := model.GPUMask(1) << i
		if s.GPUs&bit == 0 || t.fixed[s.Worker]&bit == 0 {
			continue
		}
		t.fixed[s.Worker] &^= bit
		if p := t.pins[s.Worker][i]; p != nil {
			t.spare[p.account]++
			if p.used--; p.used == 0 {
				t.bind(p, nil)
			}
		}
	}
	t.refresh(s.Worker)
}

// AllowsWithout reports whether the deficit would stay as it is if the workers were not available.
func (t *Tracker) AllowsWithout(ws []int) bool {
	before := t.Deficit()
	for _, w := range ws {
		t.avail.Set(w, 0)
	}
	after := t.Deficit()
	for _, w := range ws {
		t.refresh(w)
	}
	return notWorse(before, after)
}

func notWorse(before, after Counts) bool {
	for l := range before {
		if after[l] > before[l] {
			return false
		}
	}
	return true
}

// coverAll covers a slot; one that is not an aligned block is covered accelerator by accelerator.
func (t *Tracker) coverAll(a model.AccountID, s cell.Slot) bool {
	n := s.GPUs.Count()
	if n > 0 && n&(n-1) == 0 && cell.Block(trailing(s.GPUs), n) == s.GPUs {
		return t.cover(a, s.Worker, s.GPUs)
	}
	covered := true
	for i := range model.GPUsPerWorker {
		if s.GPUs&(1<<i) != 0 && !t.cover(a, s.Worker, 1<<i) {
			covered = false
		}
	}
	return covered
}

// cover marks a block as fixed and pins guaranteed cells of the account under it: the smallest cell that
// contains the whole block, else cells for its halves.
func (t *Tracker) cover(a model.AccountID, w int, m model.GPUMask) bool {
	t.dissolve(a, w, m)
	if p := t.pinOver(w, m); p != nil {
		p.used += m.Count()
		t.spare[a] -= m.Count()
		t.fixed[w] |= m
		return true
	}
	if t.avail.Mask(w)&m == m && t.pinNew(a, w, m) {
		t.fixed[w] |= m
		return true
	}
	n := m.Count()
	if n == 1 {
		t.fixed[w] |= m
		t.refresh(w)
		return false
	}
	low := m & -m
	half := cell.Block(trailing(low), n/2)
	first := t.cover(a, w, half)
	second := t.cover(a, w, m&^half)
	return first && second
}

// dissolve removes pins of other accounts under a block. Their tasks stay, as tasks outside a guarantee.
// Only a forced task can meet such a pin.
func (t *Tracker) dissolve(a model.AccountID, w int, m model.GPUMask) {
	for i := range model.GPUsPerWorker {
		if p := t.pins[w][i]; p != nil && m&(1<<i) != 0 && p.account != a {
			t.spare[p.account] += p.used
			t.bind(p, nil)
		}
	}
}

// pinOver returns the pin that covers a whole block, or nil.
func (t *Tracker) pinOver(w int, m model.GPUMask) *pin {
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

// pinNew pins the smallest unpinned cell of the account whose physical cell around the block is available.
func (t *Tracker) pinNew(a model.AccountID, w int, m model.GPUMask) bool {
	c := t.unpinned[a]
	if c == nil {
		return false
	}
	i := trailing(m & -m)
	for l := range Levels {
		if c[l] == 0 || Levels[l].GPUs() < m.Count() {
			continue
		}
		p := &pin{account: a, level: l, worker: w, used: m.Count()}
		if l == levelRack {
			if !t.avail.RackIsFull(t.topo.RackOf[w]) {
				continue
			}
			p.gpus = cell.Block(0, model.GPUsPerWorker)
		} else {
			p.gpus = cell.Block(i, Levels[l].GPUs())
			if t.avail.Mask(w)&p.gpus != p.gpus {
				continue
			}
		}
		t.bind(p, p)
		t.spare[a] -= m.Count()
		return true
	}
	return false
}

// bind sets the pin of the accelerators of p's cell to to, which is p or nil.
func (t *Tracker) bind(p, to *pin) {
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
	d := 1
	if to != nil {
		d = -1
	}
	t.unpinned[p.account][p.level] += d
	t.need[p.level] += d
}

// refresh recomputes the available accelerators of a worker.
func (t *Tracker) refresh(w int) {
	if !t.usable[w] {
		t.avail.Set(w, 0)
		return
	}
	m := ^t.fixed[w]
	for i, p := range t.pins[w] {
		if p != nil {
			m &^= 1 << i
		}
	}
	t.avail.Set(w, m)
}

func trailing(m model.GPUMask) int { return bits.TrailingZeros8(uint8(m)) }
