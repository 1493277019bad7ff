package fleet

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// terminationTime is how long after its permit an order may still terminate an executor: calls without an answer may be carried out
// seconds late.
const terminationTime = maxExecutionDelay + time.Second

// PermitTermination reports whether an executor may be terminated with everything that runs on it, so that no long-running step with
// MayMiss misses more tasks than it may. The tasks there count as missing from the permit on, until it can no longer be used.
func (f *Scheduler) PermitTermination(now time.Time, id workload.ExecutorID) bool {
	e := f.executors[id]
	if e == nil {
		return true
	}
	if !e.verified && !f.reconcileBy.IsZero() {
		// What runs there is not known yet.
		return false
	}
	budgets := newStopBudgets(classGuaranteed)
	counted := map[*unit]bool{}
	for _, r := range e.taskRuns {
		u := r.unit
		if u == nil || counted[u] || u.missingIfStopped() == 0 {
			continue
		}
		if counted[u] = true; !budgets.take(u) {
			return false
		}
	}
	e.terminatesUntil = now.Add(terminationTime)
	return true
}

// expireTerminations ends the effect of permits that can no longer be used.
func (f *Scheduler) expireTerminations(now time.Time) {
	for _, e := range f.sortedExecutors {
		if e.terminates() && now.After(e.terminatesUntil) {
			e.terminatesUntil = time.Time{}
		}
	}
}

// terminates reports whether an order may terminate the executor at any time.
func (e *executor) terminates() bool { return !e.terminatesUntil.IsZero() }
