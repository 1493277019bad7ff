package guarantee

import (
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
)

// UnusedGuarantee returns the number of guaranteed accelerators of an account that its protected tasks do not use.
func (t *Tracker) UnusedGuarantee(a model.AccountID) int { return t.unused[a] }

// Headroom returns an upper bound of the accelerators that further protected tasks outside any guarantee may use.
func (t *Tracker) Headroom() int {
	n := t.available.TotalBlocks(1)
	for l, c := range t.unpinnedTotal {
		n -= c * Levels[l].GPUs()
	}
	return n
}

// Coverable returns the accelerators of a worker that lie in cells pinned by the account or in cells to which one of
// its unpinned guaranteed cells could be pinned.
func (t *Tracker) Coverable(w int, a model.AccountID) model.GPUMask {
	var m model.GPUMask
	for i, p := range t.pins[w] {
		if p != nil && p.account == a {
			m |= 1 << i
		}
	}
	c := t.unpinned[a]
	if c == nil {
		return m
	}
	available := t.available.Mask(w)
	for l := range levelRack {
		size := Levels[l].GPUs()
		for i := 0; c[l] > 0 && i < model.GPUsPerWorker; i += size {
			if b := cell.AlignedBlock(i, size); available&b == b {
				m |= b
			}
		}
	}
	if c[levelRack] > 0 && t.available.RackIsFull(t.topo.RackOf[w]) {
		m |= available
	}
	return m
}

// AvailableInRack returns the number of available accelerators of a rack.
func (t *Tracker) AvailableInRack(rack int) int { return t.available.BlocksInRack(rack, 1) }

// PinnedByOthers reports whether a cell on the worker is pinned by another account.
func (t *Tracker) PinnedByOthers(w int, a model.AccountID) bool {
	for _, p := range t.pins[w] {
		if p != nil && p.account != a {
			return true
		}
	}
	return false
}

// Covers reports whether all accelerators of a task lie in cells pinned by the account.
func (t *Tracker) Covers(a model.AccountID, s cell.Slot) bool {
	for i, p := range t.pins[s.Worker] {
		if s.GPUs&(1<<i) != 0 && (p == nil || p.account != a) {
			return false
		}
	}
	return true
}
