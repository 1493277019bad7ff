package holder

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
)

// store stores a job with one step as an accepted one.
func (env *environment) storeJob(id workload.JobID, spec string, step workload.Step) {
	job := workload.Job{ID: id, Queue: "q", Spec: spec, Steps: []workload.Step{step}}
	env.store.Set(records.JobKey(id), records.Encode(job))
}

func (env *environment) state(id workload.JobID) workload.State {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	reply, err := kernel.Call[message.StateReply](ctx, env.kernel, names.Holder, message.StateQuery{ID: id})
	if err != nil {
		return ""
	}
	return reply.State
}

// awaitSoon fails the test unless a condition holds soon: nothing may wait for a record that the store refuses.
func (env *environment) awaitSoon(what string, holds func() bool) {
	env.t.Helper()
	const soon = 8 * time.Second
	for end := time.Now().Add(soon); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	env.t.Errorf("%s: not within %v", what, soon)
}

const (
	wideJob  workload.JobID = "00000000000000aa"
	smallJob workload.JobID = "00000000000000bb"
)

// TestCheckpointsExceedRecord guards against a job whose checkpoints exceed a value of the store: nothing was recorded or
// started as long as its tasks ran.
func TestCheckpointsExceedRecord(t *testing.T) {
	env := newEnvironment(t)
	const tasks = 94
	env.storeJob(wideJob, "1h 11500", workload.Step{Count: tasks, Need: workload.Resources{CPU: 100}, Estimate: time.Hour, Checkpoint: true})
	env.eventually("all tasks run", func() bool { return env.starts() == tasks })
	// Some reports with checkpoints arrive before the failure makes the progress change.
	time.Sleep(300 * time.Millisecond)
	failed := workload.TaskRef{Job: wideJob, Index: 7}
	if !env.executor.Fail(failed) {
		t.Fatal("the task does not run")
	}
	env.awaitSoon("the task starts again", func() bool { return env.starts() == tasks+1 })
	env.storeJob(smallJob, "50ms", workload.Step{Count: 1, Need: workload.Resources{CPU: 100}, Estimate: time.Second})
	env.awaitSoon("another job completes", func() bool { return env.state(smallJob) == workload.StateCompleted })
	env.awaitSoon("the failed run is recorded", func() bool {
		for _, item := range env.store.Entries(records.ProgressKey(wideJob)) {
			p, err := records.Decode[workload.Progress](item.Key, item.Value)
			return err == nil && len(item.Value) <= metastore.MaxValueBytes && hasFailure(p, failed.Index)
		}
		return false
	})
	if s := env.state(wideJob); s != workload.StateRunning {
		t.Errorf("the job with the checkpoints is %q", s)
	}
}

func hasFailure(p workload.Progress, index int) bool {
	for _, s := range p.Steps {
		for _, u := range s.Units {
			if u.First == index && len(u.Failed) > 0 {
				return true
			}
		}
	}
	return false
}

// TestRecordRefusedForGood guards against a record that the store refuses for good and that keeps all others from being
// recorded, and against a job without an end: the job of the refused record ends as failed.
func TestRecordRefusedForGood(t *testing.T) {
	env := newEnvironment(t)
	refused := func(w metastore.Write) bool {
		return w.Key == records.ProgressKey(wideJob) && !strings.Contains(string(w.Value), string(workload.StateFailed))
	}
	env.store.SetFaults(storestandin.Faults{Reject: func(txn metastore.Txn) bool {
		for _, w := range txn.Writes {
			if refused(w) {
				return true
			}
		}
		return false
	}})
	const others = 40
	env.storeJob(wideJob, "1h", workload.Step{Count: 2, Need: workload.Resources{CPU: 100}, Estimate: time.Hour})
	for i := range others {
		env.storeJob(workload.JobID(fmt.Sprintf("%016x", 0x1000+i)), "50ms", workload.Step{Count: 1, Need: workload.Resources{CPU: 100}, Estimate: time.Second})
	}
	for i := range others {
		id := workload.JobID(fmt.Sprintf("%016x", 0x1000+i))
		env.awaitSoon(fmt.Sprintf("job %s completes", id), func() bool { return env.state(id) == workload.StateCompleted })
	}
	env.awaitSoon("the job of the refused record ends", func() bool { return env.state(wideJob) == workload.StateFailed })
	for _, r := range env.executor.RunRecords() {
		if r.Task.Job == wideJob {
			t.Errorf("task %s of the job was started, although the store had not taken its record", r.Task)
		}
	}
}

// TestAllRefusedForGood guards against jobs that end because the store refuses every transaction for a while, whatever it
// contains.
func TestAllRefusedForGood(t *testing.T) {
	env := newEnvironment(t)
	env.startLongJob()
	env.store.SetFaults(storestandin.Faults{Reject: func(metastore.Txn) bool { return true }})
	env.storeJob(smallJob, "50ms", workload.Step{Count: 1, Need: workload.Resources{CPU: 100}, Estimate: time.Second})
	// Longer than the refusals after which a job ends.
	time.Sleep(5 * time.Second)
	if s := env.state(smallJob); s != workload.StateQueued {
		t.Errorf("the job is %q while the store refuses everything, want it queued", s)
	}
	env.store.SetFaults(storestandin.Faults{})
	env.awaitSoon("the job completes", func() bool { return env.state(smallJob) == workload.StateCompleted })
}

// TestOversizedJobOfEarlierBuild guards against a job without an end and against others that wait for it: an earlier build may
// have accepted a job whose progress exceeds a value of the store without any checkpoint.
func TestOversizedJobOfEarlierBuild(t *testing.T) {
	env := &environment{t: t, store: storestandin.New(), clock: &suspendableClock{}}
	const tasks = 20000
	job := workload.Job{
		ID: wideJob, Queue: "q", Spec: "50ms", Route: workload.Route{MaxAttempts: 9},
		Steps: []workload.Step{{Count: tasks, Need: workload.Resources{CPU: 16000}, Estimate: time.Second}},
	}
	// The failed runs leave space for few more bytes in the record.
	p := workload.Progress{State: workload.StateRunning, MayRun: true, Begun: true, Steps: []workload.StepProgress{{}}}
	for i := range tasks {
		p.Steps[0].Units = append(p.Steps[0].Units, workload.UnitProgress{First: i, Failed: []workload.RunNumber{100001, 200001, 300001, 400001}})
	}
	// The holder finds both entries when it begins its term.
	env.refuseRecords.Store(true)
	env.start()
	env.store.Set(records.ProgressKey(wideJob), records.Encode(p))
	env.store.Set(records.JobKey(wideJob), records.Encode(job))
	env.refuseRecords.Store(false)
	env.awaitSoon("the job ends", func() bool { return env.state(wideJob) == workload.StateFailed })
	env.storeJob(smallJob, "50ms", workload.Step{Count: 1, Need: workload.Resources{CPU: 100}, Estimate: time.Second})
	env.awaitSoon("another job completes", func() bool { return env.state(smallJob) == workload.StateCompleted })
}
