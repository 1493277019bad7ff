// Package upkeep schedules rolling maintenance: it decides when the machines of a wave are evacuated and when their
// upkeep, the planned maintenance that ends the executor of a machine, is ordered.
//
// The machines of a wave are processed one after the other, or as many at once as the operators allow. Each is
// evacuated first: tasks with checkpoints are moved, others may end, until the machine's share of the wave's time is
// over.
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
	// completionMargin is the time after the expected end of an upkeep after which a machine that is up with its old
	// executor counts as finished.
	completionMargin = 3 * time.Second
)

// phase is the state of a machine of a wave.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseEvacuating
	// phaseOrdered means that the upkeep was ordered, perhaps without an answer, and is not known to be finished.
	phaseOrdered
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
	// oldExecutor is the executor that runs on the machine before the upkeep and ends with it.
	oldExecutor workload.ExecutorID
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

// Step applies the platform's list of machines and the list of executors that run tasks, and returns the actions to
// carry out.
func (s *Planner) Step(now time.Time, list []workload.Machine, occupied []workload.ExecutorID) Plan {
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
		s.stepWave(now, s.waves[n], byID, occupied, &p)
	}
	return p
}

func (s *Planner) stepWave(now time.Time, w *wave, machines map[workload.MachineID]workload.Machine, occupied []workload.ExecutorID, p *Plan) {
	if !w.startReported {
		w.startReported = true
		p.StartedWaves = append(p.StartedWaves, w.spec.Number)
	}
	inProgress := 0
	for _, m := range w.machines {
		m.update(now, machines, s.upkeepTime)
		// A machine may be in upkeep by the order of an earlier holder.
		if m.phase == phaseEvacuating || m.phase == phaseOrdered || m.phase == phaseWaiting && machines[m.id].InUpkeep {
			inProgress++
		}
	}
	for _, m := range w.machines {
		if m.phase == phaseWaiting && inProgress < max(1, w.spec.MaxDown) && machines[m.id].Up {
			m.phase, m.phaseSince, m.oldExecutor = phaseEvacuating, now, machines[m.id].Executor
			inProgress++
		}
		if m.phase != phaseEvacuating {
			continue
		}
		p.Evacuate = append(p.Evacuate, m.oldExecutor)
		if !slices.Contains(occupied, m.oldExecutor) || now.Sub(m.phaseSince) >= s.evacuationTime(w) {
			p.Orders = append(p.Orders, Order{w.spec.Number, m.id})
		}
	}
	if w.done() && !w.completionReported {
		p.CompletedWaves = append(p.CompletedWaves, w.spec.Number)
	}
}

// update applies the platform's status of a machine.
func (m *machine) update(now time.Time, machines map[workload.MachineID]workload.Machine, upkeepTime time.Duration) {
	status, listed := machines[m.id]
	switch {
	case m.phase == phaseFinished:
	case !listed:
		// A machine that has left the platform needs no upkeep.
		m.phase = phaseFinished
	case m.phase == phaseOrdered && status.Up && status.Executor != m.oldExecutor:
		m.phase = phaseFinished
	case m.phase == phaseOrdered && status.Up && now.Sub(m.phaseSince) > upkeepTime+completionMargin:
		// The upkeep was finished before this holder knew of the wave. The platform then accepts the order without effect.
		m.phase = phaseFinished
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

// MarkOrdered records that an upkeep was ordered. It applies also if the outcome of the order is unknown.
func (s *Planner) MarkOrdered(now time.Time, o Order) {
	if m := s.find(o); m != nil && m.phase == phaseEvacuating {
		m.phase, m.phaseSince = phaseOrdered, now
	}
}

// MarkRefused records that an upkeep may not have begun, so that it is ordered again. A repeated order has no
// effect if the upkeep has begun. notInWave is set if the machine is no longer part of the wave.
func (s *Planner) MarkRefused(o Order, notInWave bool) {
	m := s.find(o)
	switch {
	case m == nil || m.phase != phaseOrdered:
	case notInWave:
		m.phase = phaseFinished
	default:
		m.phase = phaseEvacuating
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
