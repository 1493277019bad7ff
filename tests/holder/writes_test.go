package holder

import (
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
)

// writePlan is a drawn sequence of events for a holder.
type writePlan struct {
	// ends are the ends of the holder's transactions, one after the other.
	ends []storestandin.TxnEnd
	jobs []plannedJob
}

type plannedJob struct {
	tasks    int
	runTime  time.Duration
	pause    time.Duration
	cancel   bool
	resubmit bool
	// compact drops the history of the store after the submission, change replaces the holder.
	compact, change bool
}

var writePlans = rapid.Custom(func(t *rapid.T) writePlan {
	end := rapid.SampledFrom([]storestandin.TxnEnd{
		storestandin.TxnAnswered, storestandin.TxnAnswered, storestandin.TxnAnswered, storestandin.TxnRefused,
		storestandin.TxnAnswerLost, storestandin.TxnLate, storestandin.TxnIgnored, storestandin.TxnRejected,
	})
	millis := func(low, high int, what string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, what)) * time.Millisecond
	}
	percent := func(p int, what string) bool { return rapid.IntRange(0, 99).Draw(t, what) < p }
	p := writePlan{ends: rapid.SliceOfN(end, 40, 40).Draw(t, "ends")}
	for range rapid.IntRange(6, 14).Draw(t, "jobs") {
		p.jobs = append(p.jobs, plannedJob{
			tasks: rapid.IntRange(1, 3).Draw(t, "tasks"), runTime: millis(5, 400, "run time"), pause: millis(0, 300, "pause"),
			cancel: percent(25, "cancel"), resubmit: percent(30, "submit again once removed"), compact: percent(25, "drop history"), change: percent(15, "change holder"),
		})
	}
	return p
})

// TestWritesEndInEachWay guards against a holder whose memory and the store disagree after a transaction that was refused, lost, late, done
// without an answer or rejected: a job that has ended starts again, an accepted one is forgotten, or its entries stay. Lists are
// read again and holders change meanwhile.
func TestWritesEndInEachWay(t *testing.T) {
	number := func(name string, otherwise int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return otherwise
	}
	first := number(testseed.EnvSeed, 1)
	for seed := first; seed < first+number(testseed.EnvChecks, 6); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			playWrites(t, writePlans.Example(seed))
		})
	}
}

func playWrites(t *testing.T, plan writePlan) {
	env := &environment{t: t, store: storestandin.New(), clock: &suspendableClock{}, retention: 300 * time.Millisecond, storeTimeout: 300 * time.Millisecond}
	env.start()
	var txns atomic.Int64
	env.store.SetFaults(storestandin.Faults{End: func(metastore.Txn) storestandin.TxnEnd {
		if n := int(txns.Add(1)); n <= len(plan.ends) {
			return plan.ends[n-1]
		}
		return storestandin.TxnAnswered
	}})
	ids := make([]workload.JobID, len(plan.jobs))
	submit := func(i int) {
		j := plan.jobs[i]
		env.storeJob(ids[i], j.runTime.String(), workload.Step{Count: j.tasks, Need: workload.Resources{CPU: 100}, Estimate: j.runTime})
	}
	for i, j := range plan.jobs {
		ids[i] = workload.JobID(fmt.Sprintf("%016x", 0x100+i))
		submit(i)
		time.Sleep(j.pause)
		// A cancellation that is written after the removal of its job would cancel the next one of the same ID.
		if j.cancel && len(env.store.Entries(records.JobKey(ids[i]))) > 0 {
			env.store.Set(records.CancelKey(ids[i]), []byte("{}"))
		}
		if j.compact {
			env.store.Set("other", nil)
			env.store.Compact()
		}
		if j.change {
			env.stopHolder()
			env.startHolder()
		}
	}
	removed := func(id workload.JobID) bool {
		return len(env.store.Entries(records.JobKey(id)))+len(env.store.Entries(records.ProgressKey(id))) == 0
	}
	submissions := make([]int, len(ids))
	for i, id := range ids {
		submissions[i] = 1
		env.eventually(fmt.Sprintf("the entries of job %s are removed", id), func() bool { return removed(id) })
		if plan.jobs[i].resubmit {
			submissions[i]++
			submit(i)
		}
	}
	for _, id := range ids {
		env.eventually(fmt.Sprintf("job %s is removed and forgotten", id), func() bool { return removed(id) && env.state(id) == "" })
	}
	starts := env.starts()
	env.discardHistory()
	env.stopHolder()
	env.startHolder()
	env.storeJob(smallJob, "10ms", workload.Step{Count: 1, Need: workload.Resources{CPU: 100}, Estimate: time.Second})
	env.eventually("a further job completes", func() bool { return env.starts() > starts })
	env.checkRuns(plan, ids, submissions)
	if n := env.starts(); n != starts+1 {
		t.Errorf("%d starts of jobs that had ended", n-starts-1)
	}
}

// checkRuns checks that each task of each submission was done once, or at most once if its job was cancelled.
func (env *environment) checkRuns(plan writePlan, ids []workload.JobID, submissions []int) {
	env.t.Helper()
	done := map[workload.TaskRef]int{}
	for _, r := range env.executor.RunRecords() {
		if r.Outcome == workload.Done {
			done[r.Task]++
		}
	}
	for i, id := range ids {
		most := submissions[i]
		least := most
		if plan.jobs[i].cancel {
			least = most - 1
		}
		for index := range plan.jobs[i].tasks {
			if n := done[workload.TaskRef{Job: id, Index: index}]; n < least || n > most {
				env.t.Errorf("task %d of job %s was done %d times in %d submissions, cancelled %v", index, id, n, most, plan.jobs[i].cancel)
			}
		}
	}
}
