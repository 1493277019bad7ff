package workload

// Progress is the durable record that holders keep of a job.
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
	Occurrence int `json:",omitempty"`
	Step       int `json:",omitempty"`
	// Done is a bit set. A unit is done if the bit at the index of its first task is set.
	Done []byte `json:",omitempty"`
	// Units lists the units that are not done and have a failed run or a checkpoint.
	Units []UnitProgress `json:",omitempty"`
}

// UnitProgress is the progress of a unit that is not done. A unit is a gang or a single task.
type UnitProgress struct {
	// First is the index of the unit's first task.
	First int `json:",omitempty"`
	// Failed lists the latest runs that failed, at most Job.ListedFailures of them.
	Failed []RunNumber `json:",omitempty"`
	// Earlier is the number of runs that failed and are not listed.
	Earlier int `json:",omitempty"`
	// Saved is the latest checkpoint, or empty. It is also empty if the record had no space for it.
	Saved string `json:",omitempty"`
}

// Step returns the entry of a step and adds it if it is missing. Callers must add steps in ascending order.
func (p *Progress) Step(occurrence, step int) *StepProgress {
	if n := len(p.Steps); n > 0 && p.Steps[n-1].Occurrence == occurrence && p.Steps[n-1].Step == step {
		return &p.Steps[n-1]
	}
	p.Steps = append(p.Steps, StepProgress{Occurrence: occurrence, Step: step})
	return &p.Steps[len(p.Steps)-1]
}

// SetDone marks the unit whose first task is first as done.
func (s *StepProgress) SetDone(first int) {
	for len(s.Done) <= first/8 {
		s.Done = append(s.Done, 0)
	}
	s.Done[first/8] |= 1 << (first % 8)
}

// IsDone reports whether the unit whose first task is first is done.
func (s *StepProgress) IsDone(first int) bool {
	return first/8 < len(s.Done) && s.Done[first/8]&(1<<(first%8)) != 0
}

// RosterEntry is the durable record of an executor that a holder leaves to the next holder.
type RosterEntry struct {
	Address string
	// Closed is set if no more tasks are started on the executor, because it is draining or not registered. Only tasks of
	// Jobs may still run there.
	Closed bool    `json:",omitempty"`
	Jobs   []JobID `json:",omitempty"`
}

// Roster holds the executors on which tasks may be running.
type Roster map[ExecutorID]RosterEntry
