package guarantee

import (
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/cell"
)

// Spare returns the number of guaranteed accelerators of an account that its fixed tasks do not use.
func (t *Tracker) Spare(a model.AccountID) int { return t.spare[a] }

// Headroom returns how many accelerators fixed tasks outside any guarantee may use at most.
func (t *Tracker) Headroom() int {
	n := t.avail.Total(1)
	for l, c := range t.need {
		n -= c * Levels[l].GPUs()
	}
	return n
}

// Coverable returns the accelerators of a worker that lie in cells pinned by the account or in a cell that
// one of its unpinned guaranteed cells could be pinned to.
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
	avail := t.avail.Mask(w)
	for l := range levelRack {
		size := Levels[l].GPUs()
		for i := 0; c[l] > 0 && i < model.GPUsPerWorker; i += size {
			if b := cell.Block(i, size); avail&b == b {
				m |= b
			}
		}
	}
	if c[levelRack] > 0 && t.avail.RackIsFull(t.topo.RackOf[w]) {
		m |= avail
	}
	return m
}

// InRack returns the number of available accelerators of a rack.
func (t *Tracker) InRack(rack int) int { return t.avail.InRack(rack, 1) }

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
