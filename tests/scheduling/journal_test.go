package scheduling

import (
	"context"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// TestRefusedSubmissionIsUndone guards against a job that runs although its submission was refused as not run (promise
// P5). The log refuses one of the two records of the job, and a later append or snapshot contains the job.
func TestRefusedSubmissionIsUndone(t *testing.T) {
	for name, refusal := range map[string]error{
		"too large": failure.New(failure.TooLarge, "test"), "full mailbox": &kernel.MailboxFullError{Name: names.Store},
	} {
		for _, record := range []string{`"gpus_per_task"`, `"confirmed":true`} {
			t.Run(name+record, func(t *testing.T) {
				withHolder(t, 1, func(t *testing.T, td *testDomain) {
					td.locked(func() { td.appendError, td.appendErrorIf = refusal, record })
					spec := model.JobSpec{Account: "acme", Key: "k", Tasks: 1, GPUsPerTask: 8, RunTime: time.Second}
					_, err := td.current().call(message.JobSubmit{Spec: spec})
					if failure.From(err).Outcome != failure.NotRun {
						t.Fatalf("error %v with outcome %q", err, failure.From(err).Outcome)
					}
					td.locked(func() { td.appendError = nil })
					m, err := td.current().call(message.SnapshotGet{Epoch: td.current().epoch})
					if err != nil || len(m.(message.SnapshotReply).Records) > 0 {
						t.Fatalf("snapshot %+v, error %v", m, err)
					}
					spec.GPUsPerTask = 4 // An undone submission does not occupy its key.
					job := td.mustSubmit(t, spec)
					time.Sleep(20 * time.Second)
					td.elect(true)
					time.Sleep(20 * time.Second)
					h, err := td.clients["w0"].History(context.Background(), 0)
					if err != nil || len(h.Entries) == 0 {
						t.Fatalf("history %+v, error %v", h, err)
					}
					for _, e := range h.Entries {
						if e.Task.Job != job {
							t.Fatalf("%v became %s", e.Task, e.State)
						}
					}
				})
			})
		}
	}
}

// TestPartialStateGivesNoSnapshot guards against the loss of accepted jobs when a holder that could not read the log
// sends its incomplete state as a snapshot, which replaces the log.
func TestPartialStateGivesNoSnapshot(t *testing.T) {
	withHolder(t, 1, func(t *testing.T, td *testDomain) {
		td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(time.Second)
		td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		td.locked(func() { td.current().disconnected = true })
		h := td.elect(false)
		time.Sleep(10 * time.Second)
		if m, err := h.call(message.SnapshotGet{Epoch: h.epoch}); failure.From(err).Reason != failure.StoreUnavailable {
			t.Fatalf("snapshot %+v, error %v", m, err)
		}
		td.sealLog()
		m, err := h.call(message.SnapshotGet{Epoch: h.epoch})
		if err != nil || len(m.(message.SnapshotReply).Records) != 2 {
			t.Fatalf("snapshot %+v, error %v", m, err)
		}
	})
}

// TestDrainAppendsBeforeClosing guards against a change that is lost at a shutdown, or appended after the closing
// record, so that the next holder starts a cancelled job again.
func TestDrainAppendsBeforeClosing(t *testing.T) {
	withHolder(t, 1, func(t *testing.T, td *testDomain) {
		job := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		waiting := td.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(5 * time.Second)
		h := td.current()
		if err := h.kernel.Send(names.Scheduler, message.JobCancel{Account: "acme", Jobs: []model.JobID{waiting}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // The append of the cancellation takes 5 ms.
		h.cancel()
		<-h.done
		last := td.logged[len(td.logged)-1]
		if last.Job.ID != waiting || last.Job.State != model.JobCancelled || last.at.After(td.authorityDrained) {
			t.Fatalf("last record is %s of %s, %v after the close", last.Job.State, last.Job.ID, last.at.Sub(td.authorityDrained))
		}
		td.elect(true)
		time.Sleep(10 * time.Second)
		if td.firstStateAt(t, "w0", job, model.TaskRunning).IsZero() || !td.firstStateAt(t, "w0", waiting, model.TaskHeld).IsZero() {
			t.Fatal("the new holder did not keep the state")
		}
	})
}
