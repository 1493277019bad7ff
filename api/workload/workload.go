// Package workload defines the jobs, tasks, executors and configuration that the fleet scheduler works with.
// Records in the store and messages between VMs encode some of the types under their Go field names.
package workload

import (
	"strconv"
	"strings"
	"time"
)

// Identifiers of jobs, executors and the groups that they belong to.
type (
	// JobID is the caller's identifier of a job.
	JobID string
	// ExecutorID is the identifier under which an executor registers.
	ExecutorID string
	// Queue is the name of a route that takes jobs.
	Queue string
	// Account is the name of a client account.
	Account string
	// Pool is the name of a pool of executors that run the same work. The operators' configuration calls it a service.
	Pool string
	// Domain is the name of a failure domain.
	Domain string
)

// Resources is an amount of processor, memory and accelerators.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int
	// Memory is in MB.
	Memory int
	// GPU is a number of accelerators.
	GPU int
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Sub returns the difference of two amounts, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Fits reports whether the amount fits into a free amount.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.GPU <= free.GPU
}

// maxCount is the result of CountIn for an amount that needs nothing.
const maxCount = 1 << 20

// CountIn returns how many times the amount fits into a free amount.
func (r Resources) CountIn(free Resources) int {
	n := maxCount
	for _, p := range [...][2]int{{r.CPU, free.CPU}, {r.Memory, free.Memory}, {r.GPU, free.GPU}} {
		if p[0] > 0 {
			n = min(n, max(0, p[1])/p[0])
		}
	}
	return n
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count int
	Need  Resources
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration
	// After lists the earlier steps that must be done before this one starts.
	After []int
	// Checkpoint is set if the tasks save checkpoints.
	Checkpoint bool
	// Gang is set if the tasks make progress only while all of them run.
	Gang bool
	// SameRack is set if the tasks are much slower on more than one rack.
	SameRack bool
	// Requires is a label that the executor must have, or empty.
	Requires string
	// Rack is the rack that holds the step's data, or empty; tasks on other racks are much slower.
	Rack string
	// MaxPerExecutor bounds the tasks of the step on one executor; 0 means no bound.
	MaxPerExecutor int
	// Speculative permits parallel copies of a task.
	Speculative bool
	// LongRunning tasks run until the job is cancelled and are restarted whenever they end, for any reason.
	LongRunning bool
	// Image names the program image of the tasks. Tasks of one image behave alike.
	Image string
	// Target is the objective for the tail response time of a serving task; 0 means that the task serves no requests.
	Target time.Duration
	// Fills is set if the step's processor need does not count against the capacity of an executor.
	Fills bool
	// MayMiss is the disruption budget of a long-running step: how many of its tasks the scheduler may interrupt at once.
	MayMiss int
}

// Units returns the number of units of the step: a gang starts and ends as one.
func (s *Step) Units() int {
	if s.Gang {
		return 1
	}
	return s.Count
}

// CapacityNeed returns the amount of an executor's capacity that a task of the step occupies.
func (s *Step) CapacityNeed() Resources {
	n := s.Need
	if s.Fills {
		n.CPU = 0
	}
	return n
}

// Job is an accepted job.
type Job struct {
	ID      JobID
	Queue   Queue
	Account Account
	// KeyHash is the HashKey of the API key with which the job was submitted, or empty.
	KeyHash string `json:",omitempty"`
	// Spec is passed to every task as it was received.
	Spec  string
	Steps []Step
	// Occurrences is the number of times that the steps run; 0 means one run that is due immediately.
	Occurrences int
	// FirstAt is when the first occurrence is due, and Interval the time between two occurrences.
	FirstAt  time.Time
	Interval time.Duration
	// Accepted is the time of the acceptance on the clock of the accepting VM.
	Accepted time.Time
	// Route is the queue's configuration at the acceptance. It applies until a newer one is known.
	Route Route
	// AccountLimit is the limit of the account at the acceptance. It applies if the account is removed.
	AccountLimit Resources `json:",omitzero"`
}

// Limits of the failed runs that the record of a unit lists. Further ones are only counted.
const (
	// defaultListedFailures applies to queues without a limit of attempts.
	defaultListedFailures = 2
	maxListedFailures     = 8
	// MaxEarlierFailures is the largest number of failed runs that are counted and not listed.
	MaxEarlierFailures = 999_999
)

// ListedFailures returns how many failed runs of a unit the record of the job lists. It depends on the attempts that the
// queue allowed when the job was accepted, so that the size of the record is bounded then.
func (j *Job) ListedFailures() int {
	if j.Route.MaxAttempts <= 0 {
		return defaultListedFailures
	}
	return min(max(1, j.Route.MaxAttempts-1), maxListedFailures)
}

// OccurrenceCount returns the number of times that the steps run.
func (j *Job) OccurrenceCount() int { return max(1, j.Occurrences) }

// TaskRef identifies a task: its job, the occurrence, the step and the index in the step, all counted from 0.
type TaskRef struct {
	Job                     JobID
	Occurrence, Step, Index int
}

// String returns the form "JOB.OCCURRENCE.STEP.INDEX".
func (t TaskRef) String() string {
	var b strings.Builder
	b.Grow(len(t.Job) + 12)
	b.WriteString(string(t.Job))
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b.WriteByte('.')
		b.WriteString(strconv.Itoa(n))
	}
	return b.String()
}

// MarshalText implements encoding.TextMarshaler, for logs.
func (t TaskRef) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// ParseTaskRef parses the form of TaskRef.String; ok is false for any other text.
func ParseTaskRef(s string) (ref TaskRef, ok bool) {
	f := strings.Split(s, ".")
	if len(f) != 4 || f[0] == "" {
		return TaskRef{}, false
	}
	ref.Job = JobID(f[0])
	for i, p := range []*int{&ref.Occurrence, &ref.Step, &ref.Index} {
		n, err := strconv.ParseUint(f[i+1], 10, 31)
		if err != nil {
			return TaskRef{}, false
		}
		*p = int(n)
	}
	return ref, true
}

// State is the state of a job as its caller sees it.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state is terminal.
func (s State) Final() bool { return s == StateCompleted || s == StateFailed || s == StateCancelled }

// Executor is the registration of an executor.
type Executor struct {
	ID      ExecutorID
	Pool    Pool
	Address string
	Domain  Domain
	// Draining is set once the executor has announced its shutdown.
	Draining bool
	// DrainRemaining is the minimum time for which a draining executor continues to run.
	DrainRemaining time.Duration
	// WarmUpRemaining is the rest of the warm-up time after the executor's start, in which it is slow.
	WarmUpRemaining time.Duration
	Capacity        Resources
	Labels          []string
	// StartedAtMS is the start time of this incarnation of the executor, in Unix milliseconds; 0 if it is unknown.
	StartedAtMS int64
}

// Rack returns the label that names the executor's rack, which is the last one, or "".
func (e *Executor) Rack() string {
	if len(e.Labels) < 2 {
		return ""
	}
	return e.Labels[len(e.Labels)-1]
}

// RunNumber numbers the starts of a task. Later starts have higher numbers, also after a change of holders.
type RunNumber int64

// MaxRunNumber is the largest run number. A larger one would make later runs seem to be old.
const MaxRunNumber = 1 << 53

// FencingToken is the fencing token of a holder.
type FencingToken int64

// RunningTask is an executor's report of a task that is running.
type RunningTask struct {
	Task TaskRef
	Run  RunNumber
	// Checkpoint is the latest checkpoint, or empty.
	Checkpoint string
	// Oversized is set if a checkpoint was too large to be kept.
	Oversized bool
	// Percent is the progress of the task.
	Percent int
	// Usage is the tail response time in ms of a serving task, or the processor use of any other task.
	Usage float64
}

// Outcome is how a run ended.
type Outcome string

// Outcomes of a run.
const (
	// Done means that the task completed.
	Done Outcome = "done"
	// Failed means that the run failed.
	Failed Outcome = "failed"
	// Stopped means that the run was stopped by a command.
	Stopped Outcome = "stopped"
	// LeaseExpired means that the run ended because the lease of the executor expired.
	LeaseExpired Outcome = "lapsed"
	// GangBroken means that the run ended because another member of the gang ended.
	GangBroken Outcome = "broken"
	// GangNotStarted means that the run ended because the other members of the gang did not start in time.
	GangNotStarted Outcome = "alone"
)

// EndedRun is an executor's report of a run that has ended.
type EndedRun struct {
	// Number numbers the ended runs of one incarnation of an executor, from 1.
	Number     int64
	Task       TaskRef
	Run        RunNumber
	Outcome    Outcome
	Checkpoint string
	// Oversized is set if a checkpoint was too large to be kept.
	Oversized bool
}

// Report is an executor's answer to a poll by the holder.
type Report struct {
	// Clock is the executor's clock at the answer.
	Clock time.Duration
	// StartedAtMS is the start time of this incarnation of the executor, in Unix milliseconds; 0 if it is not given.
	StartedAtMS int64
	Running     []RunningTask
	Ended       []EndedRun
	// Incomplete is set if tasks may be running that are not in Running.
	Incomplete bool
}

// OversizedCheckpoints returns the number of runs whose checkpoints were too large to be kept, and the task of one of them.
func (r *Report) OversizedCheckpoints() (n int, example TaskRef) {
	for _, t := range r.Running {
		if t.Oversized {
			n, example = n+1, t.Task
		}
	}
	for _, e := range r.Ended {
		if e.Oversized {
			n, example = n+1, e.Task
		}
	}
	return n, example
}
