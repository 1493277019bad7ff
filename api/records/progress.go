package records

import (
	"fmt"
	"slices"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TooLargeError reports an entry that exceeds the limit of the store, although everything that can be left out of it was
// left out.
type TooLargeError struct{ Bytes, Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%d bytes exceed the limit of %d", e.Bytes, e.Limit)
}

// EncodeProgress encodes the progress of a job in at most limit bytes. If necessary, it leaves out checkpoints, the
// largest first, and returns their number: after a change of holders, the work that they save is done again. Its error is
// a *TooLargeError.
func EncodeProgress(p workload.Progress, limit int) (value []byte, dropped int, err error) {
	value = Encode(p)
	if len(value) <= limit {
		return value, 0, nil
	}
	p, dropped = dropCheckpoints(p, len(value)-limit)
	if value = Encode(p); len(value) > limit {
		return nil, dropped, &TooLargeError{Bytes: len(value), Limit: limit}
	}
	return value, dropped, nil
}

// dropCheckpoints returns a copy of the progress without the largest checkpoints, so that its encoding is at least excess
// bytes shorter if the checkpoints suffice, and the number of checkpoints that it has left out.
func dropCheckpoints(p workload.Progress, excess int) (workload.Progress, int) {
	type saved struct {
		unit  *workload.UnitProgress
		bytes int
	}
	var all []saved
	p.Steps = slices.Clone(p.Steps)
	for i := range p.Steps {
		s := &p.Steps[i]
		s.Units = slices.Clone(s.Units)
		for k := range s.Units {
			if u := &s.Units[k]; u.Saved != "" {
				all = append(all, saved{u, len(Encode(u.Saved))})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b saved) int { return b.bytes - a.bytes })
	dropped := 0
	for ; dropped < len(all) && excess > 0; dropped++ {
		all[dropped].unit.Saved = ""
		excess -= all[dropped].bytes
	}
	for i := range p.Steps {
		s := &p.Steps[i]
		s.Units = slices.DeleteFunc(s.Units, func(u workload.UnitProgress) bool { return len(u.Failed) == 0 && u.Saved == "" })
	}
	p.Steps = slices.DeleteFunc(p.Steps, func(s workload.StepProgress) bool { return len(s.Done) == 0 && len(s.Units) == 0 })
	return p, dropped
}

// ProgressBound returns the largest size of a job's progress without checkpoints: every unit is done or has as many
// failed runs as its record lists.
func ProgressBound(j *workload.Job) int {
	failed := make([]workload.RunNumber, j.ListedFailures())
	for i := range failed {
		failed[i] = workload.MaxRunNumber
	}
	n := len(Encode(workload.Progress{State: workload.StateCancelled, MayRun: true, Begun: true, Steps: []workload.StepProgress{}}))
	for i := range j.Steps {
		units := j.Steps[i].Units()
		step := len(Encode(workload.StepProgress{Occurrence: j.OccurrenceCount() - 1, Step: i, Done: make([]byte, (units+7)/8)})) + len(`,"Units":[],`)
		unit := len(Encode(workload.UnitProgress{First: units - 1, Failed: failed, Earlier: workload.MaxEarlierFailures})) + len(`,`)
		n += j.OccurrenceCount() * (step + units*unit)
	}
	return n
}

// EncodeJob encodes an accepted job. It returns a *JobTooLargeError if the job or its progress could need more than limit
// bytes, so that a job whose acceptance is stored can always be recorded.
func EncodeJob(j *workload.Job, limit int) ([]byte, error) {
	value := Encode(j)
	if len(value) > limit {
		return nil, &JobTooLargeError{Record: "description", Bytes: len(value), Limit: limit}
	}
	if n := ProgressBound(j); n > limit {
		return nil, &JobTooLargeError{Record: "progress", Bytes: n, Limit: limit}
	}
	return value, nil
}

// JobTooLargeError reports a job with a record that could exceed the limit of the store.
type JobTooLargeError struct {
	// Record is "description" or "progress".
	Record       string
	Bytes, Limit int
}

func (e *JobTooLargeError) Error() string {
	return fmt.Sprintf("the record of the job's %s can need %d bytes, the limit is %d: use fewer or smaller steps, tasks or occurrences",
		e.Record, e.Bytes, e.Limit)
}

// EncodeRoster encodes a roster in at most limit bytes. If necessary, it leaves out which executors are closed, so that
// the next holder waits for their reports; it returns the roster that it has encoded. Its error is a *TooLargeError.
func EncodeRoster(r workload.Roster, limit int) ([]byte, workload.Roster, error) {
	value := Encode(r)
	if len(value) <= limit {
		return value, r, nil
	}
	open := make(workload.Roster, len(r))
	for id, e := range r {
		open[id] = workload.RosterEntry{Address: e.Address}
	}
	if value = Encode(open); len(value) > limit {
		return nil, nil, &TooLargeError{Bytes: len(value), Limit: limit}
	}
	return value, open, nil
}
