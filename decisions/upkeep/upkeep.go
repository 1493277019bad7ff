// Package upkeep decides when the machines of a wave are emptied and taken down.
//
// The machines of a wave go one after the other, as many at once as the operators allow. Each is emptied first: tasks
// with checkpoints move, others may end, until the share of the wave's time that the machine has is over.
package upkeep

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// timeShare is the part of a wave's time that is planned with, so that delays do not make the wave late.
	timeShare = 0.8
	// defaultWithin is the time of a wave that names none.
	defaultWithin = time.Minute
	// settleTime is added to the time of an upkeep before a machine that is up unchanged counts as done.
	settleTime = 3 * time.Second
)

// phase is how far a machine of a wave is.
type phase uint8

const (
	waiting phase = iota
	emptying
	// ordered machines are down, or were ordered down without an answer.
	ordered
	finished
)

// State follows the waves. It is not safe for concurrent use.
type State struct {
	waves map[int64]*wave
	// downFor is how long an upkeep takes.
	downFor time.Duration
}

type wave struct {
	order    workload.Wave
	since    time.Time
	machines []*machine
	// announced and reported are set once the beginning and the end were handed out to be recorded.
	announced, reported bool
}

type machine struct {
	id    workload.MachineID
	phase phase
	since time.Time
	// before is the life of the machine that the upkeep ends.
	before workload.ExecutorID
}

// New returns a state without waves; downFor is how long an upkeep takes.
func New(downFor time.Duration) *State { return &State{waves: map[int64]*wave{}, downFor: downFor} }

// SetWaves replaces the orders of the operators. Known waves go on.
func (s *State) SetWaves(now time.Time, orders []workload.Wave) {
	keep := map[int64]bool{}
	for _, o := range orders {
		keep[o.Number] = true
		if s.waves[o.Number] != nil {
			continue
		}
		w := &wave{order: o, since: now}
		for _, id := range o.Machines {
			w.machines = append(w.machines, &machine{id: id})
		}
		s.waves[o.Number] = w
	}
	for n := range s.waves {
		if !keep[n] {
			delete(s.waves, n)
		}
	}
}

// Active reports whether a wave is not finished.
func (s *State) Active() bool {
	for _, w := range s.waves {
		if !w.done() {
			return true
		}
	}
	return false
}

func (w *wave) done() bool {
	return !slices.ContainsFunc(w.machines, func(m *machine) bool { return m.phase != finished })
}

// Order is an upkeep that is to be ordered.
type Order struct {
	Wave    int64
	Machine workload.MachineID
}

// Plan is what is to be done now.
type Plan struct {
	// Vacate lists the executors that get no work and are emptied.
	Vacate []workload.ExecutorID
	Orders []Order
	// Begun lists waves that are new.
	Begun []int64
	// Completed lists waves of which every machine has had its upkeep or is gone, and that were not yet reported.
	Completed []int64
}

// Step applies the platform's list of machines and the executors that run tasks, and returns what is to be done.
func (s *State) Step(now time.Time, list []workload.Machine, occupied []workload.ExecutorID) Plan {
	byID := make(map[workload.MachineID]workload.Machine, len(list))
	for _, m := range list {
		byID[m.ID] = m
	}
	var p Plan
	numbers := make([]int64, 0, len(s.waves))
	for n := range s.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		s.step(now, s.waves[n], byID, occupied, &p)
	}
	return p
}

func (s *State) step(now time.Time, w *wave, list map[workload.MachineID]workload.Machine, occupied []workload.ExecutorID, p *Plan) {
	if !w.announced {
		w.announced = true
		p.Begun = append(p.Begun, w.order.Number)
	}
	busy := 0
	for _, m := range w.machines {
		m.observe(now, list, s.downFor)
		// An earlier holder may have taken down a machine that is in upkeep.
		if m.phase == emptying || m.phase == ordered || m.phase == waiting && list[m.id].InUpkeep {
			busy++
		}
	}
	for _, m := range w.machines {
		if m.phase == waiting && busy < max(1, w.order.AtOnce) && list[m.id].Up {
			m.phase, m.since, m.before = emptying, now, list[m.id].Executor
			busy++
		}
		if m.phase != emptying {
			continue
		}
		p.Vacate = append(p.Vacate, m.before)
		if !slices.Contains(occupied, m.before) || now.Sub(m.since) >= s.patience(w) {
			p.Orders = append(p.Orders, Order{w.order.Number, m.id})
		}
	}
	if w.done() && !w.reported {
		p.Completed = append(p.Completed, w.order.Number)
	}
}

// observe applies the platform's view of a machine.
func (m *machine) observe(now time.Time, list map[workload.MachineID]workload.Machine, downFor time.Duration) {
	seen, listed := list[m.id]
	switch {
	case m.phase == finished:
	case !listed:
		// A machine that has left needs no upkeep.
		m.phase = finished
	case m.phase == ordered && seen.Up && seen.Executor != m.before:
		m.phase = finished
	case m.phase == ordered && seen.Up && now.Sub(m.since) > downFor+settleTime:
		// The upkeep was done before this holder knew of the wave: the platform then accepts the order and does nothing.
		m.phase = finished
	}
}

// patience returns how long a machine may be emptied before it is taken down with what still runs there.
func (s *State) patience(w *wave) time.Duration {
	within := w.order.Within
	if within <= 0 {
		within = defaultWithin
	}
	rounds := (len(w.machines) + max(1, w.order.AtOnce) - 1) / max(1, w.order.AtOnce)
	return max(0, time.Duration(timeShare*float64(within))/time.Duration(max(1, rounds))-s.downFor)
}

// Ordered applies that an upkeep was ordered. Without a certain answer the machine counts as down too.
func (s *State) Ordered(now time.Time, o Order) {
	if m := s.find(o); m != nil && m.phase == emptying {
		m.phase, m.since = ordered, now
	}
}

// Refused applies that an upkeep may not have begun, so that it is ordered again, which changes nothing if it has. gone
// is set if the machine is not part of the wave any more.
func (s *State) Refused(o Order, gone bool) {
	m := s.find(o)
	switch {
	case m == nil || m.phase != ordered:
	case gone:
		m.phase = finished
	default:
		m.phase = emptying
	}
}

// Reported applies that the completion of a wave was recorded.
func (s *State) Reported(number int64) {
	if w := s.waves[number]; w != nil {
		w.reported = true
	}
}

func (s *State) find(o Order) *machine {
	w := s.waves[o.Wave]
	if w == nil {
		return nil
	}
	for _, m := range w.machines {
		if m.id == o.Machine {
			return m
		}
	}
	return nil
}
