package scheduling

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// inDoubt runs f while a, which is out, waits for the decision of b on a job. With loseReplies b has accepted and
// started the job, with loseRequests it does not know of it.
func inDoubt(t *testing.T, n network, runTime time.Duration, f func(t *testing.T, r *moveRun, id model.JobID)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &moveRun{pair: newPair()}
		defer r.close()
		r.setOut("a")
		r.setNetwork(n)
		time.Sleep(time.Second) // The holders have learned the configuration.
		id := r.worlds["a"].mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: runTime})
		time.Sleep(5 * time.Second)
		if j, err := r.last(id); err != nil || j.State != model.JobTransferring || (r.worlds["b"].running() > 0) != (n == loseReplies) {
			t.Fatalf("job is %s at its source (error %v), %d jobs run at the target", j.State, err, r.worlds["b"].running())
		}
		f(t, r, id)
	})
}

// running counts the running jobs.
func (w *world) running() (n int) {
	if m, err := w.current().call(message.JobList{}); err == nil {
		for _, j := range m.(message.JobsReply).Jobs {
			if j.State == model.JobRunning {
				n++
			}
		}
	}
	return n
}

// TestCancelInDoubt guards against a cancelled job that runs on in another failure domain, because its source did not
// know that it had been accepted, also if the holder of the source is replaced before or after it learns that.
func TestCancelInDoubt(t *testing.T) {
	for name, replace := range map[string]func(r *moveRun){
		"same holder": func(*moveRun) {},
		"new holder":  func(r *moveRun) { r.worlds["a"].takeOver(true, true) },
		"new holder after the decision": func(r *moveRun) {
			r.setNetwork(loseCancels)
			time.Sleep(time.Minute)
			r.worlds["a"].takeOver(true, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inDoubt(t, loseReplies, time.Hour, func(t *testing.T, r *moveRun, id model.JobID) {
				if _, err := r.worlds["a"].current().call(message.JobCancel{Account: "acme", Jobs: []model.JobID{id}}); err != nil {
					t.Fatal(err)
				}
				replace(r)
				r.setNetwork(intact)
				time.Sleep(time.Minute)
				if j, err := r.last(id); err != nil || j.State != model.JobCancelled || j.ID == id || r.worlds["b"].running() > 0 {
					t.Fatalf("job %s is %s, error %v", j.ID, j.State, err)
				}
			})
		})
	}
}

// TestPartialTargetDecidesNothing guards against a second decision by a holder that could not read the first one in
// its log, so that the job runs twice.
func TestPartialTargetDecidesNothing(t *testing.T) {
	inDoubt(t, loseReplies, 20*time.Second, func(t *testing.T, r *moveRun, id model.JobID) {
		r.worlds["b"].takeOver(false, true)
		r.setNetwork(intact)
		time.Sleep(time.Minute)
		if j, err := r.last(id); err != nil || j.State != model.JobTransferring {
			t.Fatalf("job is %s, decided by a holder without the log, error %v", j.State, err)
		}
		r.worlds["b"].seal()
		time.Sleep(2 * time.Minute)
		if j, err := r.last(id); err != nil || j.State != model.JobSucceeded {
			t.Fatalf("job %s is %s, error %v", j.ID, j.State, err)
		}
		r.check(t)
	})
}

// TestCancelUndecided guards against a cancelled job that starts because its transfer was refused or withdrawn.
func TestCancelUndecided(t *testing.T) {
	inDoubt(t, loseRequests, time.Second, func(t *testing.T, r *moveRun, id model.JobID) {
		if _, err := r.worlds["a"].current().call(message.JobCancel{Account: "acme", Jobs: []model.JobID{id}}); err != nil {
			t.Fatal(err)
		}
		r.setOut("")
		r.setNetwork(intact)
		time.Sleep(time.Minute)
		if j, err := r.last(id); err != nil || j.State != model.JobCancelled || j.ID != id || len(r.worlds["a"].history(t, id)) > 0 {
			t.Fatalf("job %s is %s, error %v", j.ID, j.State, err)
		}
	})
}
