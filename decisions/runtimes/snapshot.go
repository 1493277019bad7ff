package runtimes

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// SnapshotVersion is the version of the form of a Snapshot.
const SnapshotVersion = 1

// Snapshot is the content of a model, for a successor. Its size is bounded: see docs/design/run-times.md.
type Snapshot struct {
	Version int
	Groups  []GroupState
	Hosts   []HostState
}

// GroupState is what is known about the tasks of a queue.
type GroupState struct {
	Queue    workload.Queue
	Declared bool
	// Deviations is the histogram of the deviations of runs from their expectation.
	Deviations []float64
	// Projection is the logarithm of the ratio of actual to projected run times.
	Projection float64
	Cells      []CellState
}

// CellState holds the sums of an account's tasks of a shape: the weight, x, r, xx and xr, where x is the logarithm of the
// declared run time and r that of the ratio of actual to declared run time.
type CellState struct {
	Account workload.Account
	// Shape is the size of the tasks in processors, memory and accelerators, in powers of two.
	Shape [3]int
	Sums  [5]float64
}

func (c *CellState) key() cellKey {
	return cellKey{c.Account, shape{c.Shape[0], c.Shape[1], c.Shape[2]}}
}

// HostState is the logarithm of the pace of a host.
type HostState struct {
	Address, Kind string
	LogPace       float64
}

// maxNameLength bounds the names in a snapshot, in bytes. Longer ones are left out.
const maxNameLength = 64

// MaxSnapshotBytes bounds the size of a Snapshot in JSON: half of what the store holds in a value.
const MaxSnapshotBytes = 512 << 10

// Snapshot returns the content of the model. What only limits weights for the moment, such as the recent jobs, is left
// out, and so is what counts for nothing: cells whose weight has decayed to 0 by the precision of a snapshot, and queues
// without other cells. If the rest exceeds MaxSnapshotBytes, the cells and hosts that were not used for the longest time
// are left out, too.
func (m *Model) Snapshot() Snapshot {
	var entries []snapshotEntry
	groups := make([]GroupState, 0, len(m.order))
	for _, g := range m.order {
		if len(g.key.queue) > maxNameLength {
			continue
		}
		groups = append(groups, GroupState{Queue: g.key.queue, Declared: g.key.declared, Deviations: rounded(g.fitted().deviations.counts[:], 1e-2), Projection: rounded([]float64{g.projection}, 1e-3)[0]})
		for _, c := range g.cells {
			if len(c.key.account) <= maxNameLength {
				sums := rounded([]float64{c.w, c.x, c.r, c.xx, c.xr}, 1e-4)
				if sums[0] == 0 {
					continue
				}
				entries = append(entries, snapshotEntry{
					lastUse: c.lastUse, group: len(groups) - 1,
					cell: CellState{c.key.account, [3]int{c.key.shape.CPU, c.key.shape.Memory, c.key.shape.GPU}, [5]float64(sums)},
				})
			}
		}
	}
	for _, h := range m.paces.order {
		if len(h.key.Address) <= maxNameLength && len(h.key.Kind) <= maxNameLength {
			// The mean can move away from a host without runs. Beyond maxPace, the distance makes no difference.
			logPace := clamp(h.logPace-m.paces.all.mean(), maxLogPace)
			entries = append(entries, snapshotEntry{lastUse: h.lastUse, group: hostEntry, host: HostState{h.key.Address, h.key.Kind, rounded([]float64{logPace}, 1e-3)[0]}})
		}
	}
	markKept(entries, groups)
	s := Snapshot{Version: SnapshotVersion}
	for i := range entries {
		switch e := &entries[i]; {
		case !e.kept:
		case e.group == hostEntry:
			s.Hosts = append(s.Hosts, e.host)
		default:
			groups[e.group].Cells = append(groups[e.group].Cells, e.cell)
		}
	}
	for _, g := range groups {
		if len(g.Cells) > 0 {
			s.Groups = append(s.Groups, g)
		}
	}
	return s
}

// snapshotEntry is a cell or a host that a snapshot may contain.
type snapshotEntry struct {
	lastUse int64
	// group is the index of the group of a cell, or hostEntry.
	group int
	cell  CellState
	host  HostState
	kept  bool
}

const hostEntry = -1

// markKept marks the entries that a snapshot contains: the last used ones that fit.
func markKept(entries []snapshotEntry, groups []GroupState) {
	byUse := make([]*snapshotEntry, len(entries))
	for i := range entries {
		byUse[i] = &entries[i]
	}
	slices.SortStableFunc(byUse, func(a, b *snapshotEntry) int { return cmp.Compare(b.lastUse, a.lastUse) })
	size := len(`{"Version":1,"Groups":[],"Hosts":[]}`)
	present := make([]bool, len(groups))
	for _, e := range byUse {
		switch {
		case e.group == hostEntry:
			size += e.host.size()
		case present[e.group]:
			size += e.cell.size()
		default:
			size += groups[e.group].sizeWithoutCells() + e.cell.size()
		}
		if size > MaxSnapshotBytes {
			return
		}
		e.kept = true
		if e.group != hostEntry {
			present[e.group] = true
		}
	}
}

// The sizes are those in JSON with a comma. They are bounds, because some characters count as escaped that need not be.

func (g *GroupState) sizeWithoutCells() int {
	return len(`{"Queue":,"Declared":false,"Deviations":[],"Projection":,"Cells":[]},`) + stringSize(string(g.Queue)) + numbersSize(g.Deviations...) + numbersSize(g.Projection)
}

func (c *CellState) size() int {
	size := len(`{"Account":,"Shape":[,,],"Sums":[]},`) + stringSize(string(c.Account)) + numbersSize(c.Sums[:]...)
	for _, n := range c.Shape {
		size += len(strconv.Itoa(n))
	}
	return size
}

func (h *HostState) size() int {
	return len(`{"Address":,"Kind":,"LogPace":},`) + stringSize(h.Address) + stringSize(h.Kind) + numbersSize(h.LogPace)
}

func stringSize(s string) int {
	size := len(`""`)
	for _, b := range []byte(s) {
		if b < ' ' || b >= utf8.RuneSelf || strings.IndexByte(`"\<>&`, b) >= 0 {
			size += len(`\u0000`)
		} else {
			size++
		}
	}
	return size
}

// numbersSize returns the size of numbers with a comma after each.
func numbersSize(numbers ...float64) int {
	size := 0
	var buffer [32]byte
	for _, n := range numbers {
		size += len(strconv.AppendFloat(buffer[:0], n, 'f', -1, 64)) + 1
	}
	return size
}

func rounded(values []float64, unit float64) []float64 {
	out := make([]float64, len(values))
	for i, v := range values {
		// The division by a whole number gives the number with the shortest decimal form.
		out[i] = math.Round(v/unit) / math.Round(1/unit)
	}
	return out
}

// Restore returns a model with the content of a snapshot, which must be valid.
func Restore(s Snapshot) *Model {
	m := New()
	for _, state := range s.Groups {
		g := newGroup(groupKey{state.Queue, state.Declared})
		g.projection = state.Projection
		copy(g.inherited.counts[:], state.Deviations)
		for _, c := range state.Cells {
			g.add(&cell{key: c.key(), sums: sums{c.Sums[0], c.Sums[1], c.Sums[2], c.Sums[3], c.Sums[4]}})
			m.cells++
		}
		m.groups[g.key] = g
		m.order = append(m.order, g)
	}
	for _, state := range s.Hosts {
		m.paces.addHost(hostKey{state.Address, state.Kind}, state.LogPace).observations = restoredObservations
	}
	return m
}

// restoredObservations is the number of runs that the restored pace of a host counts for.
const restoredObservations = 4

// SnapshotError is why a snapshot is not usable.
type SnapshotError struct{ Problem string }

func (e *SnapshotError) Error() string { return "snapshot of run times: " + e.Problem }

func invalid(format string, args ...any) error { return &SnapshotError{fmt.Sprintf(format, args...)} }

// Validate returns a *SnapshotError if the snapshot is of another version, exceeds the bounds of a model, repeats an
// entry, or holds a number that no model produces.
func (s *Snapshot) Validate() error {
	if s.Version != SnapshotVersion {
		return invalid("version %d, want %d", s.Version, SnapshotVersion)
	}
	if len(s.Hosts) > maxHosts || len(s.Groups) > maxCells {
		return invalid("%d hosts and %d queues, want at most %d and %d", len(s.Hosts), len(s.Groups), maxHosts, maxCells)
	}
	cells := 0
	groups := map[groupKey]bool{}
	for i := range s.Groups {
		g := &s.Groups[i]
		k := groupKey{g.Queue, g.Declared}
		if groups[k] {
			return invalid("queue %q twice", g.Queue)
		}
		groups[k] = true
		if cells += len(g.Cells); cells > maxCells {
			return invalid("more than %d cells", maxCells)
		}
		if err := g.validate(); err != nil {
			return err
		}
	}
	hosts := map[hostKey]bool{}
	for _, h := range s.Hosts {
		k := hostKey{h.Address, h.Kind}
		if hosts[k] || !inRange(h.LogPace, maxLogPace) {
			return invalid("host %q of kind %q", h.Address, h.Kind)
		}
		hosts[k] = true
	}
	return nil
}

func (g *GroupState) validate() error {
	impossible := func(count float64) bool { return !inRange(count, maxCells*accountMemory) || count < 0 }
	if !inRange(g.Projection, maxProjection+1e-3) {
		return invalid("projection of queue %q", g.Queue)
	}
	if len(g.Deviations) != bins || slices.ContainsFunc(g.Deviations, impossible) {
		return invalid("deviations of queue %q", g.Queue)
	}
	cells := map[cellKey]bool{}
	for _, c := range g.Cells {
		w := c.Sums[0]
		ok := !cells[c.key()] && inRange(w, accountMemory+1) && w >= 0
		for i, power := range [...]float64{1, maxLog, maxLog, maxLog * maxLog, maxLog * maxLog} {
			// A sum is at most its weight times the largest value.
			ok = ok && inRange(c.Sums[i], w*power+1e-3)
		}
		if !ok {
			return invalid("cell of account %q in queue %q", c.Account, g.Queue)
		}
		cells[c.key()] = true
	}
	return nil
}

const (
	// maxLog bounds the logarithm of a ratio of run times.
	maxLog = 50
	// maxLogPace bounds the logarithm of the pace of a host.
	maxLogPace = 2 * maxPace
)

// inRange reports whether a number is finite and its magnitude is within a bound.
func inRange(v, bound float64) bool { return math.Abs(v) <= bound }
