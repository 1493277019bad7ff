package workload

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// Progress is the durable record that holders keep of a job.
type Progress struct {
	State State
	// MayRun is set before the first start of a task.
	MayRun bool
	// Begun is set once a task has started.
	Begun bool
	Steps []StepProgress
}

// StepProgress is the progress of one step of one occurrence, or of consecutive occurrences if it is equal.
type StepProgress struct {
	Occurrence int     `json:",omitempty"`
	Step       int     `json:",omitempty"`
	Done       UnitSet `json:",omitempty"`
	// Units lists the units that are not done and have a failed run or a checkpoint.
	Units []UnitProgress `json:",omitempty"`
	// Repeat is the number of further occurrences to which the entry applies. The encoding has an entry for each of them,
	// which earlier builds read, too.
	Repeat int `json:"-"`
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

// MarshalJSON implements json.Marshaler.
func (p Progress) MarshalJSON() ([]byte, error) {
	type plain Progress
	steps := p.Steps
	if steps != nil {
		p.Steps = []StepProgress{}
	}
	head, err := json.Marshal(plain(p))
	if err != nil || len(steps) == 0 {
		return head, err
	}
	out := bytes.NewBuffer(bytes.TrimSuffix(head, []byte("]}")))
	for i, sp := range steps {
		for n := range sp.Repeat + 1 {
			if i+n > 0 {
				out.WriteByte(',')
			}
			b, err := json.Marshal(sp)
			if err != nil {
				return nil, err
			}
			out.Write(b)
			sp.Occurrence++
		}
	}
	out.WriteString("]}")
	return out.Bytes(), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Progress) UnmarshalJSON(data []byte) error {
	type plain Progress
	in := struct {
		*plain
		Steps stepList
	}{plain: (*plain)(p)}
	err := json.Unmarshal(data, &in)
	p.Steps = in.Steps
	return err
}

// stepList decodes entries one by one and joins equal ones of consecutive occurrences: a record may have thousands of them.
type stepList []StepProgress

// UnmarshalJSON implements json.Unmarshaler.
func (l *stepList) UnmarshalJSON(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if t, err := d.Token(); err != nil || t == nil {
		return err
	} else if t != json.Delim('[') {
		return &json.UnmarshalTypeError{Value: "no list", Type: reflect.TypeFor[[]StepProgress]()}
	}
	*l = stepList{}
	last := map[int]int{}
	for d.More() {
		var sp StepProgress
		if err := d.Decode(&sp); err != nil {
			return err
		}
		if i, known := last[sp.Step]; known && (*l)[i].continuedBy(&sp) {
			(*l)[i].Repeat++
			continue
		}
		last[sp.Step] = len(*l)
		*l = append(*l, sp)
	}
	return nil
}

// continuedBy reports whether the entry of a later occurrence can be joined to this one.
func (s *StepProgress) continuedBy(next *StepProgress) bool {
	return next.Occurrence == s.Occurrence+s.Repeat+1 && len(s.Units) == 0 && len(next.Units) == 0 && bytes.Equal(s.Done, next.Done)
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
func (s *StepProgress) SetDone(first int) { s.Done.Add(first) }

// IsDone reports whether the unit whose first task is first is done.
func (s *StepProgress) IsDone(first int) bool { return s.Done.Has(first) }

// UnitSet is a bit set of units, each at the index of its first task.
type UnitSet []byte

// FullUnitSet returns the set of the units from 0 to n-1.
func FullUnitSet(n int) UnitSet {
	s := make(UnitSet, (n+7)/8)
	for i := range n {
		s.Add(i)
	}
	return s
}

// Add adds the unit whose first task is first.
func (s *UnitSet) Add(first int) {
	for len(*s) <= first/8 {
		*s = append(*s, 0)
	}
	(*s)[first/8] |= 1 << (first % 8)
}

// Has reports whether the set contains the unit whose first task is first.
func (s UnitSet) Has(first int) bool {
	return first/8 < len(s) && s[first/8]&(1<<(first%8)) != 0
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
