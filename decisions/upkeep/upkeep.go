// Package upkeep schedules rolling maintenance: it decides when the machines of a wave are evacuated and when their
// upkeep, the planned maintenance that ends the executor of a machine, is ordered.
//
// The machines of a wave are processed one after the other, or as many at once as the operators allow. Each is
// evacuated first: tasks with checkpoints are moved, others may end, until the machine's share of the wave's time is
// over.
//
// What proves the state of a machine's upkeep in a wave, by the platform's protocol (PROTOCOL.md, Machines):
//
//   - It has begun once an order of this wave for this machine was answered with success. The platform answers so also
//     if it is already done. Nothing else is proof: an order without an answer may be carried out late, twice or never;
//     the list of machines does not name the wave of an upkeep; and an executor is replaced also by a crash or by the
//     upkeep of another wave. Until then the order is repeated, which has no effect once the upkeep has begun.
//   - It has ended once a list of machines that was requested after that answer shows the machine as up. A list that
//     was requested before may show it as it was before the upkeep.
//   - It is not needed if the platform refuses the order because the machine does not exist or is not part of the wave.
//     The pages of a list are no snapshot, so that a list may miss a machine. One that is missing for long is therefore
//     ordered, and the answer shows whether it is gone. If its upkeep has begun, that counts as ended then.
//
// A wave is completed once each upkeep has ended or is not needed. Operators may change a wave at any time; a machine that they have taken
// out of it counts as down until an upkeep that was ordered before has ended.
package upkeep

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// plannedTimeShare is the share of a wave's time that is used for planning. The rest is a reserve for delays.
	plannedTimeShare = 0.8
	// defaultWaveTime is the time for a wave that specifies none.
	defaultWaveTime = time.Minute
	// minMissingLists is the number of lists in a row without a machine from which on it may be gone. They must also be as
	// far apart as an upkeep takes, so that one that an earlier holder has ordered is over.
	minMissingLists = 5
	// maxOrderDelay bounds how late an order without an answer may still be carried out.
	maxOrderDelay = 12 * time.Second
)

// phase is the state of a machine of a wave.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseEvacuating
	// phaseOrdered means that an order is unanswered. Without an answer the machine returns to phaseEvacuating.
	phaseOrdered
	// phaseBegun means that the upkeep has begun and is not known to have ended.
	phaseBegun
	// phaseFinished means that the upkeep has ended or is not needed.
	phaseFinished
)

// Planner is the state of all waves. It is not safe for concurrent use.
type Planner struct {
	waves map[int64]*wave
	// upkeepTime is the duration of an upkeep.
	upkeepTime time.Duration
}

type wave struct {
	// spec is the operators' present order.
	spec     workload.Wave
	machines []*machine
	// removed is set once the operators have removed the wave. It is kept for as long as upkeeps of it may keep machines down, because
	// they may order it again.
	removed bool
	// startRecorded and completionRecorded are set once the start and the completion of the wave are recorded.
	startRecorded, completionRecorded bool
}

type machine struct {
	id         workload.MachineID
	phase      phase
	phaseSince time.Time
	// attempted is set once an order was sent, so that the upkeep may begin at any time, until a refusal shows that it will
	// not. unresolved is set once an order got no answer: a later refusal shows nothing about it.
	attempted, unresolved bool
	// notNeeded is set once the platform has refused the order because the machine does not exist or is not part of the wave.
	notNeeded bool
	// orderRevision is the revision of the wave by which the machine was ordered last.
	orderRevision int64
	// begunAt is when the answer that proves the begin of the upkeep arrived.
	begunAt time.Time
	// missingLists is the number of latest lists that do not contain the machine, missingSince when the first of them was
	// requested.
	missingLists int
	missingSince time.Time
	// missingLong is set while the machine has been missing for so long that it may be gone.
	missingLong bool
	// withdrawnAt is when the operators took the machine out of the wave; zero if it is part of it.
	withdrawnAt time.Time
}

func (m *machine) withdrawn() bool { return !m.withdrawnAt.IsZero() }

// mayBeDown reports whether an upkeep of the wave may keep a machine down that is not part of the wave any more.
func (m *machine) mayBeDown(now time.Time, upkeepTime time.Duration) bool {
	switch m.phase {
	case phaseOrdered, phaseBegun:
		return true
	case phaseFinished:
		return false
	default:
		return m.attempted && now.Sub(m.withdrawnAt) < maxOrderDelay+upkeepTime
	}
}

// New returns a planner without waves; upkeepTime is the duration of an upkeep.
func New(upkeepTime time.Duration) *Planner {
	return &Planner{waves: map[int64]*wave{}, upkeepTime: upkeepTime}
}

// SetWaves replaces the waves that the operators have ordered. The progress of known waves is kept. Their machines, times and limits may
// have changed; a wave with further machines is in progress again.
func (s *Planner) SetWaves(now time.Time, waves []workload.Wave) {
	present := map[int64]bool{}
	for _, o := range waves {
		present[o.Number] = true
		w := s.waves[o.Number]
		switch {
		case w == nil:
			w = &wave{}
			s.waves[o.Number] = w
		case w.spec.Revision == o.Revision && !w.removed:
			continue
		}
		w.change(now, o)
	}
	for n, w := range s.waves {
		if present[n] {
			continue
		}
		w.change(now, workload.Wave{Number: n})
		w.removed, w.startRecorded, w.completionRecorded = true, false, false
		if !slices.ContainsFunc(w.machines, func(m *machine) bool { return m.mayBeDown(now, s.upkeepTime) }) {
			delete(s.waves, n)
		}
	}
}

// change applies the operators' present order for a wave.
func (w *wave) change(now time.Time, spec workload.Wave) {
	changed := spec.Revision != w.spec.Revision
	w.spec, w.removed = spec, false
	present := make(map[workload.MachineID]bool, len(spec.Machines))
	for _, id := range spec.Machines {
		present[id] = true
	}
	known := make(map[workload.MachineID]bool, len(w.machines))
	for _, m := range w.machines {
		known[m.id] = true
		if changed && m.notNeeded {
			// The machine may have become a part of the wave since the refusal.
			m.phase, m.attempted, m.notNeeded = phaseWaiting, m.unresolved, false
			if m.attempted {
				m.phase = phaseEvacuating
			}
		}
		switch {
		case present[m.id]:
			m.withdrawnAt = time.Time{}
		case !m.withdrawn():
			m.withdrawnAt = now
			if m.phase == phaseEvacuating && !m.attempted {
				m.phase = phaseWaiting
			}
		}
	}
	for _, id := range spec.Machines {
		if !known[id] {
			w.machines = append(w.machines, &machine{id: id})
		}
	}
	if !w.done() && w.completionRecorded {
		w.startRecorded, w.completionRecorded = false, false
	}
}

// Active reports whether any wave is unfinished.
func (s *Planner) Active() bool {
	for _, w := range s.waves {
		if !w.done() {
			return true
		}
	}
	return false
}

func (w *wave) done() bool {
	return !slices.ContainsFunc(w.machines, func(m *machine) bool { return m.phase != phaseFinished && !m.withdrawn() })
}

// Order is an order for the upkeep of a machine.
type Order struct {
	Wave    int64
	Machine workload.MachineID
}

// Plan is the set of actions to carry out now.
type Plan struct {
	// Evacuate lists the executors that are to be evacuated: they get no new work, and their tasks are moved where
	// possible.
	Evacuate []workload.ExecutorID
	// Orders lists the orders to send to the platform.
	Orders []Order
	// StartedWaves lists the waves that are in progress although their start is not recorded yet.
	StartedWaves []int64
	// CompletedWaves lists the waves of which every machine has had its upkeep or is gone and whose completion is not
	// recorded yet.
	CompletedWaves []int64
}

// List is the platform's list of machines.
type List struct {
	// RequestedAt is the time before the request for the list was sent.
	RequestedAt time.Time
	Machines    []workload.Machine
}

// Executor returns the executor of a machine, or "" if the list does not contain the machine.
func (l *List) Executor(id workload.MachineID) workload.ExecutorID {
	for i := range l.Machines {
		if l.Machines[i].ID == id {
			return l.Machines[i].Executor
		}
	}
	return ""
}

// Step applies the platform's list of machines and the list of evacuated executors that certainly run nothing, and
// returns the actions to carry out. An executor that is not in vacated may run tasks.
func (s *Planner) Step(now time.Time, list List, vacated []workload.ExecutorID) Plan {
	byID := make(map[workload.MachineID]workload.Machine, len(list.Machines))
	for _, m := range list.Machines {
		byID[m.ID] = m
	}
	var p Plan
	numbers := make([]int64, 0, len(s.waves))
	// ordered holds the machines with an unanswered order. Another wave's order for them would be refused.
	ordered := map[workload.MachineID]bool{}
	for n, w := range s.waves {
		numbers = append(numbers, n)
		for _, m := range w.machines {
			ordered[m.id] = ordered[m.id] || m.phase == phaseOrdered
		}
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		w := s.waves[n]
		for _, m := range w.machines {
			m.update(list.RequestedAt, byID, s.upkeepTime)
		}
		s.stepWave(now, w, byID, vacated, ordered, &p)
	}
	slices.Sort(p.Evacuate)
	p.Evacuate = slices.Compact(p.Evacuate)
	return p
}

func (s *Planner) stepWave(now time.Time, w *wave, machines map[workload.MachineID]workload.Machine, vacated []workload.ExecutorID, ordered map[workload.MachineID]bool, p *Plan) {
	// down counts the machines that are in upkeep or may be, inProgress also those that are only evacuated. A machine may be
	// in upkeep by the order of an earlier holder, also if the list misses it.
	// fixed counts those of down for which no order can be repeated now. Where the operators have lowered the limit, not all others are
	// ordered again at once.
	inProgress, down, fixed := 0, 0, 0
	for _, m := range w.machines {
		if m.phase == phaseEvacuating && !m.attempted && !machines[m.id].Up {
			// It gives its place to others, because it may stay down.
			m.phase = phaseWaiting
		}
		switch {
		case m.withdrawn():
			if m.mayBeDown(now, s.upkeepTime) {
				inProgress++
				down++
				fixed++
			}
		case m.phase == phaseFinished:
		case m.attempted || m.phase == phaseBegun || m.missingLists > 0 && !m.missingLong || machines[m.id].InUpkeep:
			inProgress++
			down++
			if m.phase != phaseEvacuating || !machines[m.id].Up {
				fixed++
			}
		case m.phase == phaseEvacuating:
			inProgress++
		}
	}
	for _, m := range w.machines {
		if m.withdrawn() {
			continue
		}
		status := machines[m.id]
		if m.missingLong && (m.phase == phaseWaiting || m.phase == phaseEvacuating) && !ordered[m.id] && (m.attempted || down < max(1, w.spec.MaxDown)) {
			if !m.attempted {
				inProgress++
				down++
			}
			ordered[m.id] = true
			p.Orders = append(p.Orders, Order{w.spec.Number, m.id})
		}
		if !status.Up {
			continue
		}
		if m.phase == phaseWaiting && inProgress < max(1, w.spec.MaxDown) {
			m.phase, m.phaseSince = phaseEvacuating, now
			inProgress++
		}
		switch m.phase {
		case phaseOrdered:
			p.Evacuate = append(p.Evacuate, status.Executor)
		case phaseEvacuating:
			p.Evacuate = append(p.Evacuate, status.Executor)
			if !m.attempted && down >= max(1, w.spec.MaxDown) || m.attempted && fixed >= max(1, w.spec.MaxDown) || ordered[m.id] {
				continue
			}
			if slices.Contains(vacated, status.Executor) || now.Sub(m.phaseSince) >= s.evacuationTime(w) {
				if !m.attempted {
					down++
				}
				fixed++
				ordered[m.id] = true
				p.Orders = append(p.Orders, Order{w.spec.Number, m.id})
			}
		}
	}
	switch {
	case w.removed:
	case w.done() && !w.completionRecorded:
		p.CompletedWaves = append(p.CompletedWaves, w.spec.Number)
	case !w.done() && !w.startRecorded:
		p.StartedWaves = append(p.StartedWaves, w.spec.Number)
	}
}

// update applies the status of a machine in a list that was requested at a time.
func (m *machine) update(requestedAt time.Time, machines map[workload.MachineID]workload.Machine, upkeepTime time.Duration) {
	status, listed := machines[m.id]
	switch {
	case m.phase == phaseFinished:
	case !listed:
		if m.missingLists == 0 {
			m.missingSince = requestedAt
		}
		m.missingLists++
		m.missingLong = m.missingLists >= minMissingLists && requestedAt.Sub(m.missingSince) >= upkeepTime
		if m.phase == phaseBegun && m.missingLong && requestedAt.Sub(m.begunAt) >= upkeepTime {
			m.phase = phaseFinished
		}
	default:
		m.missingLists, m.missingLong = 0, false
		if m.phase == phaseBegun && status.Up && requestedAt.After(m.begunAt) {
			m.phase = phaseFinished
		}
	}
}

// evacuationTime returns how long the evacuation of a machine may take before its upkeep is ordered even if tasks still
// run there.
func (s *Planner) evacuationTime(w *wave) time.Duration {
	waveTime := w.spec.Within
	if waveTime <= 0 {
		waveTime = defaultWaveTime
	}
	rounds := (len(w.spec.Machines) + max(1, w.spec.MaxDown) - 1) / max(1, w.spec.MaxDown)
	return max(0, time.Duration(plannedTimeShare*float64(waveTime))/time.Duration(max(1, rounds))-s.upkeepTime)
}

// MarkOrdered records that an order is sent.
func (s *Planner) MarkOrdered(o Order) {
	if m := s.find(o); m != nil && (m.phase == phaseEvacuating || m.phase == phaseWaiting) {
		m.phase, m.attempted, m.orderRevision = phaseOrdered, true, s.waves[o.Wave].spec.Revision
	}
}

// MarkBegun records at the arrival of the answer that an upkeep has begun, perhaps long ago.
func (s *Planner) MarkBegun(now time.Time, o Order) {
	if m := s.find(o); m != nil && m.phase != phaseFinished && m.phase != phaseBegun {
		m.phase, m.begunAt = phaseBegun, now
	}
}

// MarkUnproven records that an order got no answer, so that it is repeated.
func (s *Planner) MarkUnproven(o Order) {
	if m := s.find(o); m != nil && m.phase == phaseOrdered {
		m.phase, m.unresolved = phaseEvacuating, true
	}
}

// MarkRefused records that an order was refused for now or was not sent, so that it is repeated.
func (s *Planner) MarkRefused(o Order) {
	if m := s.find(o); m != nil && m.phase == phaseOrdered {
		m.phase, m.attempted = phaseEvacuating, m.unresolved
	}
}

// MarkNotNeeded records that a machine does not exist or is not part of the wave. If the operators have changed the wave since the order
// was sent, it may be part of it now, and the order is repeated.
func (s *Planner) MarkNotNeeded(o Order) {
	m := s.find(o)
	switch {
	case m == nil:
	case m.orderRevision != s.waves[o.Wave].spec.Revision:
		s.MarkRefused(o)
	default:
		m.phase, m.notNeeded = phaseFinished, true
	}
}

// Revision returns the revision of the present order for a wave, 0 if there is none.
func (s *Planner) Revision(number int64) int64 {
	if w := s.waves[number]; w != nil {
		return w.spec.Revision
	}
	return 0
}

// MarkStartRecorded records that the start of a wave is durable, by the order of a revision.
func (s *Planner) MarkStartRecorded(number, revision int64) {
	if w := s.waves[number]; w != nil && w.spec.Revision == revision {
		w.startRecorded = true
	}
}

// MarkCompletionRecorded records that the completion of a wave is durable, by the order of a revision.
func (s *Planner) MarkCompletionRecorded(number, revision int64) {
	if w := s.waves[number]; w != nil && w.spec.Revision == revision {
		w.completionRecorded = true
	}
}

func (s *Planner) find(o Order) *machine {
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
