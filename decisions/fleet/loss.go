package fleet

import (
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// LossReason is why the runs on an executor are taken to have ended although it has not reported their ends.
type LossReason string

// Reasons of a loss.
const (
	// LossLeaseExpired means that the executor does not answer and that its lease has ended.
	LossLeaseExpired LossReason = "lease_expired"
	// LossReplaced means that another executor answers at the address.
	LossReplaced LossReason = "replaced"
)

// LossNotice reports an executor whose runs are taken to have ended.
type LossNotice struct {
	Executor workload.ExecutorID
	Address  string
	Reason   LossReason
	Runs     int
	// Unresponsive is the time since calls to the executor began to fail, LeaseRemaining the time until its runs have
	// certainly ended; negative if that has passed.
	Unresponsive, LeaseRemaining time.Duration
}

func (LossNotice) action() {}

// markRunsLost ends all runs on an executor that can no longer report them.
func (f *Scheduler) markRunsLost(now time.Time, e *executor, reason LossReason) {
	if len(e.taskRuns) == 0 {
		return
	}
	f.count(CountExecutorLost)
	f.count(CountExecutorLost + "_" + Counter(reason))
	notice := LossNotice{Executor: e.info.ID, Address: e.address, Reason: reason, Runs: len(e.taskRuns), LeaseRemaining: e.leaseExpiry().Sub(now)}
	if !e.unresponsiveSince.IsZero() {
		notice.Unresponsive = now.Sub(e.unresponsiveSince)
	}
	f.actions = append(f.actions, notice)
	for _, r := range slices.Clone(e.taskRuns) {
		f.endRun(now, r, workload.LeaseExpired, "")
	}
}
