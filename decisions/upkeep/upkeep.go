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
// A wave is completed once each upkeep has ended or is not needed.
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
	spec      workload.Wave
	startedAt time.Time
	machines  []*machine
	// startReported is set once Step has returned the start of the wave to be recorded, completionReported once the
	// completion of the wave is recorded.
	startReported, completionReported bool
}

type machine struct {
	id         workload.MachineID
	phase      phase
	phaseSince time.Time
	// attempted is set once an order was sent, so that the upkeep may begin at any time, until a refusal shows that it will
	// not. unresolved is set once an order got no answer: a later refusal shows nothing about it.
	attempted, unresolved bool
	// begunAt is when the answer that proves the begin of the upkeep arrived.
	begunAt time.Time
	// missingLists is the number of latest lists that do not contain the machine, missingSince when the first of them was
	// requested.
	missingLists int
	missingSince time.Time
	// missingLong is set while the machine has been missing for so long that it may be gone.
	missingLong bool
}

// New returns a planner without waves; upkeepTime is the duration of an upkeep.
func New(upkeepTime time.Duration) *Planner {
	return &Planner{waves: map[int64]*wave{}, upkeepTime: upkeepTime}
}

// SetWaves replaces the waves that the operators have ordered. The progress of known waves is kept.
func (s *Planner) SetWaves(now time.Time, waves []workload.Wave) {
	present := map[int64]bool{}
	for _, o := range waves {
		present[o.Number] = true
		if s.waves[o.Number] != nil {
			continue
		}
		w := &wave{spec: o, startedAt: now}
		for _, id := range o.Machines {
			w.machines = append(w.machines, &machine{id: id})
		}
		s.waves[o.Number] = w
	}
	for n := range s.waves {
		if !present[n] {
			delete(s.waves, n)
		}
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
	return !slices.ContainsFunc(w.machines, func(m *machine) bool { return m.phase != phaseFinished })
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
	// StartedWaves lists the waves that are new, so that their start is to be recorded.
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
	if !w.startReported {
		w.startReported = true
		p.StartedWaves = append(p.StartedWaves, w.spec.Number)
	}
	// down counts the machines that are in upkeep or may be, inProgress also those that are only evacuated. A machine may be
	// in upkeep by the order of an earlier holder, also if the list misses it.
	inProgress, down := 0, 0
	for _, m := range w.machines {
		if m.phase == phaseEvacuating && !m.attempted && !machines[m.id].Up {
			// It gives its place to others, because it may stay down.
			m.phase = phaseWaiting
		}
		switch {
		case m.phase == phaseFinished:
		case m.attempted || m.phase == phaseBegun || m.missingLists > 0 && !m.missingLong || machines[m.id].InUpkeep:
			inProgress++
			down++
		case m.phase == phaseEvacuating:
			inProgress++
		}
	}
	for _, m := range w.machines {
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
			if !m.attempted && down >= max(1, w.spec.MaxDown) || ordered[m.id] {
				continue
			}
			if slices.Contains(vacated, status.Executor) || now.Sub(m.phaseSince) >= s.evacuationTime(w) {
				if !m.attempted {
					down++
				}
				ordered[m.id] = true
				p.Orders = append(p.Orders, Order{w.spec.Number, m.id})
			}
		}
	}
	if w.done() && !w.completionReported {
		p.CompletedWaves = append(p.CompletedWaves, w.spec.Number)
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
	rounds := (len(w.machines) + max(1, w.spec.MaxDown) - 1) / max(1, w.spec.MaxDown)
	return max(0, time.Duration(plannedTimeShare*float64(waveTime))/time.Duration(max(1, rounds))-s.upkeepTime)
}

// MarkOrdered records that an order is sent.
func (s *Planner) MarkOrdered(o Order) {
	if m := s.find(o); m != nil && (m.phase == phaseEvacuating || m.phase == phaseWaiting) {
		m.phase, m.attempted = phaseOrdered, true
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

// MarkNotNeeded records that a machine does not exist or is not part of the wave.
func (s *Planner) MarkNotNeeded(o Order) {
	if m := s.find(o); m != nil {
		m.phase = phaseFinished
	}
}

// MarkCompletionRecorded records that the completion of a wave is durable.
func (s *Planner) MarkCompletionRecorded(number int64) {
	if w := s.waves[number]; w != nil {
		w.completionReported = true
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
