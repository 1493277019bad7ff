package runtimes

import (
	"fmt"
	"math"
	"slices"

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

// Snapshot returns the content of the model. What only limits weights for the moment, such as the recent jobs, is left
// out, and so is what counts for nothing: cells whose weight has decayed to 0 by the precision of a snapshot, and queues
// without other cells.
func (m *Model) Snapshot() Snapshot {
	s := Snapshot{Version: SnapshotVersion}
	for _, g := range m.order {
		if len(g.key.queue) > maxNameLength {
			continue
		}
		state := GroupState{Queue: g.key.queue, Declared: g.key.declared, Deviations: rounded(g.fitted().deviations.counts[:], 1e-2), Projection: rounded([]float64{g.projection}, 1e-3)[0]}
		for _, c := range g.cells {
			if len(c.key.account) <= maxNameLength {
				sums := rounded([]float64{c.w, c.x, c.r, c.xx, c.xr}, 1e-4)
				if sums[0] == 0 {
					continue
				}
				state.Cells = append(state.Cells, CellState{c.key.account, [3]int{c.key.shape.CPU, c.key.shape.Memory, c.key.shape.GPU}, [5]float64(sums)})
			}
		}
		if len(state.Cells) > 0 {
			s.Groups = append(s.Groups, state)
		}
	}
	for _, h := range m.paces.order {
		if len(h.key.Address) <= maxNameLength && len(h.key.Kind) <= maxNameLength {
			// The mean can move away from a host without runs. Beyond maxPace, the distance makes no difference.
			logPace := clamp(h.logPace-m.paces.all.mean(), maxLogPace)
			s.Hosts = append(s.Hosts, HostState{h.key.Address, h.key.Kind, rounded([]float64{logPace}, 1e-3)[0]})
		}
	}
	return s
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
