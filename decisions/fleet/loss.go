package fleet

import (
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

// markRunsLost ends the runs on an executor that have ended without a report of it.
func (f *Scheduler) markRunsLost(now time.Time, e *executor, reason LossReason, ended func(*taskRun) bool) {
	var lost []*taskRun
	for _, r := range e.taskRuns {
		if ended(r) {
			lost = append(lost, r)
		}
	}
	if len(lost) == 0 {
		return
	}
	f.count(CountExecutorLost)
	f.count(CountExecutorLost + "_" + Counter(reason))
	notice := LossNotice{Executor: e.info.ID, Address: e.address, Reason: reason, Runs: len(lost), LeaseRemaining: e.leaseExpiry().Sub(now)}
	if !e.unresponsiveSince.IsZero() {
		notice.Unresponsive = now.Sub(e.unresponsiveSince)
	}
	f.actions = append(f.actions, notice)
	for _, r := range lost {
		f.endRun(now, r, workload.LeaseExpired, "")
	}
}
