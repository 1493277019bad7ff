package runtimes

import (
	"math"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// QueueError is how far the run times of a queue's recent runs were off, as a mean factor minus 1: 0.5 means a factor of
// 1.5 in either direction.
type QueueError struct {
	Queue             workload.Queue
	Declared, Learned float64
}

// Errors returns the errors of the queues whose tasks declare their run times.
func (m *Model) Errors() []QueueError {
	var out []QueueError
	for _, g := range m.order {
		if e := &g.errors; g.key.declared && e.weight > 0 {
			out = append(out, QueueError{g.key.queue, math.Expm1(e.declared / e.weight), math.Expm1(e.learned / e.weight)})
		}
	}
	return out
}

// Cells returns the number of cells that the model holds.
func (m *Model) Cells() int { return m.cells }

// Hosts returns the number of hosts whose pace the model holds.
func (m *Model) Hosts() int { return len(m.paces.order) }

// EvictedHosts returns the number of hosts whose pace the model has forgotten to make room for others.
func (m *Model) EvictedHosts() int64 { return m.paces.evicted }

// Version changes with each observation, so that a caller can tell whether a snapshot is out of date.
func (m *Model) Version() int64 { return m.uses }
