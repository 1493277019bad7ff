// Package accountlimit decides what client accounts may have running across all executors, and which of their
// submissions exceed their rate. It answers two loads: an account whose work would occupy more than its limit, and one
// that submits many times its usual number of jobs.
package accountlimit

import (
	"math"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// Ledger counts what the runs of each client account occupy. Its zero value is empty. It is not safe for concurrent use.
type Ledger struct {
	occupied map[workload.Account]workload.Resources
}

// Add counts a run of an account.
func (l *Ledger) Add(a workload.Account, need workload.Resources) {
	if l.occupied == nil {
		l.occupied = map[workload.Account]workload.Resources{}
	}
	l.occupied[a] = l.occupied[a].Add(need)
}

// Remove discounts a run that was counted with the same need.
func (l *Ledger) Remove(a workload.Account, need workload.Resources) {
	rest := l.occupied[a].Sub(need)
	if rest == (workload.Resources{}) {
		// An account that was removed from the configuration leaves no entry.
		delete(l.occupied, a)
		return
	}
	l.occupied[a] = rest
}

// Occupied returns what the runs of an account occupy.
func (l *Ledger) Occupied(a workload.Account) workload.Resources { return l.occupied[a] }

// Room returns how many tasks of need still fit below a limit; math.MaxInt if the limit does not bound them. A zero field
// of the limit means no limit.
func Room(limit, occupied, need workload.Resources) int {
	room := math.MaxInt
	for _, f := range [...]struct{ limit, occupied, need int }{
		{limit.CPU, occupied.CPU, need.CPU}, {limit.Memory, occupied.Memory, need.Memory}, {limit.GPU, occupied.GPU, need.GPU},
	} {
		if f.limit > 0 && f.need > 0 {
			room = min(room, max(0, f.limit-f.occupied)/f.need)
		}
	}
	return room
}

// Missing returns what has to end before need fits below a limit.
func Missing(limit, occupied, need workload.Resources) workload.Resources {
	missing := func(limit, occupied, need int) int {
		if limit == 0 || need == 0 {
			return 0
		}
		return max(0, occupied+need-limit)
	}
	return workload.Resources{
		CPU: missing(limit.CPU, occupied.CPU, need.CPU), Memory: missing(limit.Memory, occupied.Memory, need.Memory), GPU: missing(limit.GPU, occupied.GPU, need.GPU),
	}
}

// NeverFits returns the index of the first step that can never run under a limit, and false if there is none: the tasks
// of a gang run together, those of other steps one by one if need be.
func NeverFits(limit workload.Resources, steps []workload.Step) (int, bool) {
	for i := range steps {
		together := 1
		if steps[i].Gang {
			together = steps[i].Count
		}
		if Room(limit, workload.Resources{}, steps[i].Need) < together {
			return i, true
		}
	}
	return 0, false
}

// Unreported describes the runs of an account that earlier holders may have started on executors which have not reported
// yet.
type Unreported struct {
	// Tasks is the need of the tasks that may be running there, Beside the part of it that does not count against the
	// capacity of executors.
	Tasks, Beside workload.Resources
	// Capacity is the capacity of these executors; Unbounded is set if that of one is not known.
	Capacity  workload.Resources
	Unbounded bool
}

// Bound returns an upper bound of what these runs occupy.
func (u *Unreported) Bound() workload.Resources {
	if u.Unbounded {
		return u.Tasks
	}
	inside := u.Tasks.Sub(u.Beside)
	return workload.Resources{
		CPU: min(inside.CPU, u.Capacity.CPU), Memory: min(inside.Memory, u.Capacity.Memory), GPU: min(inside.GPU, u.Capacity.GPU),
	}.Add(u.Beside)
}
