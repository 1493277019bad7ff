// Package cloud is a small stand-in for the platform's machines. It carries out upkeep orders and records them.
package cloud

import (
	"context"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/cloud"
)

// tickInterval is the resolution of the ends of upkeeps.
const tickInterval = 20 * time.Millisecond

// Cloud is the stand-in. Run owns its state; all other methods send calls to Run and are safe for concurrent use.
type Cloud struct {
	upkeepDuration time.Duration
	calls          chan func(*state)
}

var _ cloud.API = (*Cloud)(nil)

// Machine is a machine with the executors that run on it one after another: an upkeep stops one and starts the next.
// The last one restarts after each further upkeep.
type Machine struct {
	ID        workload.MachineID
	Executors []workload.ExecutorID
	// OnExecutorStop and OnExecutorStart are called when an executor stops at the begin of an upkeep and when the next one
	// starts at its end.
	OnExecutorStop, OnExecutorStart func(workload.ExecutorID)
}

// History is the record of the orders that the platform received.
type History struct {
	// Orders are the orders that were carried out, in this order. Repetitions of an order are not included.
	Orders []cloud.UpkeepOrder
	// MaxInUpkeep is the largest number of machines that were in upkeep at a time.
	MaxInUpkeep int
	// FencedOrders counts the orders that were refused because another holder has used their fencing token, or an earlier
	// order for the machine had a higher one.
	FencedOrders int
}

type machine struct {
	Machine
	// current is the index of the present executor in Executors.
	current int
	// upkeepEnd is zero while the machine is up.
	upkeepEnd time.Time
	// fence is the highest fencing token of an order for the machine, fenceHolder the holder that used it.
	fence       workload.FencingToken
	fenceHolder string
	// waves holds the waves of which the machine has had its upkeep.
	waves map[int64]bool
}

type state struct {
	machines []*machine
	history  History
	// unanswered is the number of next orders of each wave that get no answer and are carried out after lateBy.
	unanswered map[int64]int
	lateBy     time.Duration
	late       []lateOrder
}

type lateOrder struct {
	order cloud.UpkeepOrder
	at    time.Time
}

// New returns a platform whose upkeeps take upkeepDuration.
func New(upkeepDuration time.Duration) *Cloud {
	return &Cloud{upkeepDuration: upkeepDuration, calls: make(chan func(*state))}
}

// Run serves until ctx ends.
func (c *Cloud) Run(ctx context.Context, machines []Machine) {
	st := &state{unanswered: map[int64]int{}}
	for _, m := range machines {
		st.machines = append(st.machines, &machine{Machine: m, waves: map[int64]bool{}})
	}
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case call := <-c.calls:
			call(st)
		case now := <-t.C:
			st.advance(now, c.upkeepDuration)
		case <-ctx.Done():
			return
		}
	}
}

// History returns a copy of the record so far.
func (c *Cloud) History() History {
	out := make(chan History, 1)
	c.calls <- func(st *state) {
		h := st.history
		h.Orders = slices.Clone(h.Orders)
		out <- h
	}
	return <-out
}

// DelayOrders lets the next n orders of a wave get no answer. They are carried out after a time.
func (c *Cloud) DelayOrders(wave int64, n int, by time.Duration) {
	c.calls <- func(st *state) { st.unanswered[wave], st.lateBy = n, by }
}

// ListMachines implements cloud.API.
func (c *Cloud) ListMachines() []workload.Machine {
	out := make(chan []workload.Machine, 1)
	c.calls <- func(st *state) {
		var list []workload.Machine
		for _, m := range st.machines {
			list = append(list, workload.Machine{ID: m.ID, Up: m.upkeepEnd.IsZero(), InUpkeep: !m.upkeepEnd.IsZero(), Executor: m.Executors[m.current]})
		}
		out <- list
	}
	return <-out
}

// StartUpkeep implements cloud.API.
func (c *Cloud) StartUpkeep(o cloud.UpkeepOrder) error {
	out := make(chan error, 1)
	c.calls <- func(st *state) {
		if st.unanswered[o.Wave] > 0 {
			st.unanswered[o.Wave]--
			st.late = append(st.late, lateOrder{o, time.Now().Add(st.lateBy)})
			out <- &cloud.NoAnswerError{}
			return
		}
		out <- st.startUpkeep(o, time.Now().Add(c.upkeepDuration))
	}
	return <-out
}

func (st *state) startUpkeep(o cloud.UpkeepOrder, upkeepEnd time.Time) error {
	i := slices.IndexFunc(st.machines, func(m *machine) bool { return m.ID == o.Machine })
	if i < 0 {
		return &cloud.UnknownMachineError{}
	}
	m := st.machines[i]
	if o.Fence < m.fence || o.Fence == m.fence && o.Holder != m.fenceHolder {
		st.history.FencedOrders++
		return &cloud.FencedError{}
	}
	m.fence, m.fenceHolder = o.Fence, o.Holder
	switch {
	case m.waves[o.Wave]:
		return nil
	case !m.upkeepEnd.IsZero():
		return &cloud.BusyError{}
	}
	m.waves[o.Wave], m.upkeepEnd = true, upkeepEnd
	st.history.Orders = append(st.history.Orders, o)
	st.history.MaxInUpkeep = max(st.history.MaxInUpkeep, st.countInUpkeep())
	m.OnExecutorStop(m.Executors[m.current])
	return nil
}

func (st *state) countInUpkeep() int {
	n := 0
	for _, m := range st.machines {
		if !m.upkeepEnd.IsZero() {
			n++
		}
	}
	return n
}

// advance ends the upkeeps that have taken their time, starts the next executors and carries out late orders.
func (st *state) advance(now time.Time, upkeepDuration time.Duration) {
	for len(st.late) > 0 && now.After(st.late[0].at) {
		// Nobody waits for the result.
		_ = st.startUpkeep(st.late[0].order, now.Add(upkeepDuration))
		st.late = st.late[1:]
	}
	for _, m := range st.machines {
		if !m.upkeepEnd.IsZero() && now.After(m.upkeepEnd) {
			m.upkeepEnd = time.Time{}
			m.current = min(m.current+1, len(m.Executors)-1)
			m.OnExecutorStart(m.Executors[m.current])
		}
	}
}
