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

// TestRefusedSubmissionIsUndone guards against a job that runs although its submission was refused as not
// run (P5), because the log refused one of its two records and a later append or snapshot contains it.
func TestRefusedSubmissionIsUndone(t *testing.T) {
	for name, refusal := range map[string]error{
		"too large": failure.New(failure.TooLarge, "test"), "full mailbox": &kernel.MailboxFullError{Name: names.Store},
	} {
		for _, record := range []string{`"gpus_per_task"`, `"confirmed":true`} {
			t.Run(name+record, func(t *testing.T) {
				inWorld(t, 1, func(t *testing.T, w *world) {
					w.locked(func() { w.refuse, w.refuseIf = refusal, record })
					spec := model.JobSpec{Account: "acme", Key: "k", Tasks: 1, GPUsPerTask: 8, RunTime: time.Second}
					_, err := w.current().call(message.JobSubmit{Spec: spec})
					if failure.From(err).Outcome != failure.NotRun {
						t.Fatalf("error %v with outcome %q", err, failure.From(err).Outcome)
					}
					w.locked(func() { w.refuse = nil })
					m, err := w.current().call(message.SnapshotGet{Epoch: w.current().epoch})
					if err != nil || len(m.(message.SnapshotReply).Records) > 0 {
						t.Fatalf("snapshot %+v, error %v", m, err)
					}
					spec.GPUsPerTask = 4 // An undone job does not occupy its key.
					job := w.mustSubmit(t, spec)
					time.Sleep(20 * time.Second)
					w.elect(true)
					time.Sleep(20 * time.Second)
					h, err := w.clients["w0"].History(context.Background(), 0)
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

// TestPartialStateGivesNoSnapshot guards against accepted jobs that are lost because a holder that could not read
// the log gives its state as a snapshot, which replaces the log.
func TestPartialStateGivesNoSnapshot(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(time.Second)
		w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		w.locked(func() { w.current().cut = true })
		h := w.elect(false)
		time.Sleep(10 * time.Second)
		if m, err := h.call(message.SnapshotGet{Epoch: h.epoch}); failure.From(err).Reason != failure.StoreUnavailable {
			t.Fatalf("snapshot %+v, error %v", m, err)
		}
		w.seal()
		m, err := h.call(message.SnapshotGet{Epoch: h.epoch})
		if err != nil || len(m.(message.SnapshotReply).Records) != 2 {
			t.Fatalf("snapshot %+v, error %v", m, err)
		}
	})
}

// TestDrainAppendsBeforeClosing guards against a change that is lost at a shutdown, or appended after the
// closing record, so that the next holder starts a cancelled job again.
func TestDrainAppendsBeforeClosing(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		job := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		waiting := w.mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour})
		time.Sleep(5 * time.Second)
		h := w.current()
		if err := h.kernel.Send(names.Scheduler, message.JobCancel{Account: "acme", Jobs: []model.JobID{waiting}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // The append of the cancellation takes 5 ms.
		h.cancel()
		<-h.done
		last := w.logged[len(w.logged)-1]
		if last.Job.ID != waiting || last.Job.State != model.JobCancelled || last.at.After(w.closed) {
			t.Fatalf("last record is %s of %s, %v after the close", last.Job.State, last.Job.ID, last.at.Sub(w.closed))
		}
		w.elect(true)
		time.Sleep(10 * time.Second)
		if w.first(t, "w0", job, model.TaskRunning).IsZero() || !w.first(t, "w0", waiting, model.TaskHeld).IsZero() {
			t.Fatal("the new holder did not keep the state")
		}
	})
}
