package workload

import "fmt"

// Limits of a job that protect the scheduler. Front ends have tighter ones.
const (
	maxUnits       = 10_000_000
	maxJobIDLength = 128
)

// JobError reports a job that the scheduler cannot process.
type JobError struct {
	ID     JobID
	Reason string
}

func (e *JobError) Error() string { return fmt.Sprintf("job %.40q: %s", string(e.ID), e.Reason) }

// Validate checks that the scheduler can process the job. Its error is a *JobError. A job from the store or from another
// VM may have been written by another build or by another writer.
func (j *Job) Validate() error {
	switch {
	case j.ID == "" || len(j.ID) > maxJobIDLength:
		return &JobError{j.ID, "invalid identifier"}
	case len(j.Steps) == 0:
		return &JobError{j.ID, "no steps"}
	case j.Occurrences < 0 || j.Occurrences > maxUnits || j.Interval < 0:
		return &JobError{j.ID, "occurrences out of range"}
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > maxUnits || s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 {
			return &JobError{j.ID, fmt.Sprintf("step %d: number out of range", i)}
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &JobError{j.ID, fmt.Sprintf("step %d waits for step %d", i, a)}
			}
		}
		tasks += s.Count
		if tasks*j.OccurrenceCount() > maxUnits {
			return &JobError{j.ID, "too many tasks"}
		}
	}
	return nil
}
