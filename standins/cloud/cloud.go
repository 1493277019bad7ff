// Package cloud is a small stand-in for the platform's machines. It keeps what the orders for them show.
package cloud

import (
	"context"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/cloud"
)

// tick is the resolution of the end of an upkeep.
const tick = 20 * time.Millisecond

// Cloud is the stand-in. Run owns its state; all other methods send it calls and may be used at the same time.
type Cloud struct {
	downFor time.Duration
	calls   chan func(*state)
}

var _ cloud.API = (*Cloud)(nil)

// Machine is a machine with the executors that live on it one after the other: each upkeep ends one life.
type Machine struct {
	ID    workload.MachineID
	Lives []workload.ExecutorID
	// Ended and Begun are called when the life of an executor ends and begins.
	Ended, Begun func(workload.ExecutorID)
}

// Evidence is what the platform has seen.
type Evidence struct {
	// Orders are all orders that were carried out.
	Orders []cloud.UpkeepOrder
	// MostDown is the largest number of machines that were in upkeep at a time.
	MostDown int
	// Faults counts orders whose fencing token another holder has used, or is lower than that of an earlier order.
	Faults int
}

type machine struct {
	Machine
	life  int
	until time.Time
	fence workload.FencingToken
	// by is who gave an order with the fencing token.
	by string
	// done is the last wave of which the machine had its upkeep.
	done int64
}

type state struct {
	machines []*machine
	evidence Evidence
}

// New returns a platform whose upkeeps take a time.
func New(downFor time.Duration) *Cloud {
	return &Cloud{downFor: downFor, calls: make(chan func(*state))}
}

// Run serves until ctx ends.
func (c *Cloud) Run(ctx context.Context, machines []Machine) {
	st := &state{}
	for _, m := range machines {
		st.machines = append(st.machines, &machine{Machine: m})
	}
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case call := <-c.calls:
			call(st)
		case now := <-t.C:
			st.advance(now)
		case <-ctx.Done():
			return
		}
	}
}

// Evidence returns what was seen so far.
func (c *Cloud) Evidence() Evidence {
	out := make(chan Evidence, 1)
	c.calls <- func(st *state) {
		e := st.evidence
		e.Orders = slices.Clone(e.Orders)
		out <- e
	}
	return <-out
}

// Machines implements cloud.API.
func (c *Cloud) Machines() []workload.Machine {
	out := make(chan []workload.Machine, 1)
	c.calls <- func(st *state) {
		var list []workload.Machine
		for _, m := range st.machines {
			list = append(list, workload.Machine{ID: m.ID, Up: m.until.IsZero(), InUpkeep: !m.until.IsZero(), Executor: m.Lives[m.life]})
		}
		out <- list
	}
	return <-out
}

// Upkeep implements cloud.API.
func (c *Cloud) Upkeep(o cloud.UpkeepOrder) error {
	out := make(chan error, 1)
	c.calls <- func(st *state) { out <- st.upkeep(o, time.Now().Add(c.downFor)) }
	return <-out
}

func (st *state) upkeep(o cloud.UpkeepOrder, until time.Time) error {
	i := slices.IndexFunc(st.machines, func(m *machine) bool { return m.ID == o.Machine })
	if i < 0 {
		return &cloud.UnknownMachineError{}
	}
	m := st.machines[i]
	if o.Fence < m.fence || o.Fence == m.fence && o.Holder != m.by {
		st.evidence.Faults++
		return &cloud.FencedError{}
	}
	m.fence, m.by = o.Fence, o.Holder
	switch {
	case m.done == o.Wave:
		return nil
	case !m.until.IsZero():
		return &cloud.BusyError{}
	}
	m.done, m.until = o.Wave, until
	st.evidence.Orders = append(st.evidence.Orders, o)
	st.evidence.MostDown = max(st.evidence.MostDown, st.down())
	m.Ended(m.Lives[m.life])
	return nil
}

func (st *state) down() int {
	n := 0
	for _, m := range st.machines {
		if !m.until.IsZero() {
			n++
		}
	}
	return n
}

// advance ends the upkeeps whose time is over.
func (st *state) advance(now time.Time) {
	for _, m := range st.machines {
		if !m.until.IsZero() && now.After(m.until) {
			m.until = time.Time{}
			m.life = min(m.life+1, len(m.Lives)-1)
			m.Begun(m.Lives[m.life])
		}
	}
}
