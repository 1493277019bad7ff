package workload

// Progress is what a holder records of a job.
type Progress struct {
	State State
	// MayRun is set before the first start of a task.
	MayRun bool
	// Begun is set once a task has started.
	Begun bool
	Steps []StepProgress
}

// StepProgress is the progress of one step of one occurrence.
type StepProgress struct {
	Occurrence, Step int
	// Done has one bit for each unit.
	Done []byte
	// Units lists the units that are not done and have failed or saved something.
	Units []UnitProgress
}

// UnitProgress is the progress of a unit that is not done.
type UnitProgress struct {
	// First is the index of the unit's first task.
	First int
	// Failed lists the runs that ended failed.
	Failed []RunNumber
	Saved  string
}

// Step returns the entry of a step, which it adds if there is none. Steps are added in their order.
func (p *Progress) Step(occurrence, step int) *StepProgress {
	if n := len(p.Steps); n > 0 && p.Steps[n-1].Occurrence == occurrence && p.Steps[n-1].Step == step {
		return &p.Steps[n-1]
	}
	p.Steps = append(p.Steps, StepProgress{Occurrence: occurrence, Step: step})
	return &p.Steps[len(p.Steps)-1]
}

// SetDone marks the unit that begins with a task as done.
func (s *StepProgress) SetDone(first int) {
	for len(s.Done) <= first/8 {
		s.Done = append(s.Done, 0)
	}
	s.Done[first/8] |= 1 << (first % 8)
}

// IsDone reports whether the unit that begins with a task is done.
func (s *StepProgress) IsDone(first int) bool {
	return first/8 < len(s.Done) && s.Done[first/8]&(1<<(first%8)) != 0
}

// RosterEntry is what a holder records of an executor, for the next holder.
type RosterEntry struct {
	Address string
	// Closed is set if the executor gets no more starts, because it leaves or is not registered. Only tasks of Jobs may
	// still run there.
	Closed bool    `json:",omitempty"`
	Jobs   []JobID `json:",omitempty"`
}

// Roster lists the executors that may run tasks.
type Roster map[ExecutorID]RosterEntry
