package scheduling

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// withUndecidedTransfer runs f while domain a, which is out of service, waits for the decision of domain b on a job.
// With networkLosesReplies, b has accepted and started the job; with networkLosesRequests, b does not know the job.
func withUndecidedTransfer(t *testing.T, n networkFault, runTime time.Duration, f func(t *testing.T, r *transferScenario, id model.JobID)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &transferScenario{domainPair: newDomainPair()}
		defer r.close()
		r.setOut("a")
		r.setNetwork(n)
		time.Sleep(time.Second) // Until the holders have received the configuration.
		id := r.domains["a"].mustSubmit(t, model.JobSpec{Tasks: 1, GPUsPerTask: 8, RunTime: runTime})
		time.Sleep(5 * time.Second)
		if j, err := r.finalJob(id); err != nil || j.State != model.JobTransferring || (r.domains["b"].runningJobs() > 0) != (n == networkLosesReplies) {
			t.Fatalf("job is %s at its source (error %v), %d jobs run at the target", j.State, err, r.domains["b"].runningJobs())
		}
		f(t, r, id)
	})
}

// runningJobs returns the number of running jobs.
func (td *testDomain) runningJobs() (n int) {
	if m, err := td.current().call(message.JobList{}); err == nil {
		for _, j := range m.(message.JobsReply).Jobs {
			if j.State == model.JobRunning {
				n++
			}
		}
	}
	return n
}

// TestCancelInDoubt guards against a cancelled job that continues to run in another failure domain, because its source
// did not know that it had been accepted. The holder of the source may be replaced before or after it learns that.
func TestCancelInDoubt(t *testing.T) {
	for name, replace := range map[string]func(r *transferScenario){
		"same holder": func(*transferScenario) {},
		"new holder":  func(r *transferScenario) { r.domains["a"].electSuccessor(true, true) },
		"new holder after the decision": func(r *transferScenario) {
			r.setNetwork(networkLosesCancels)
			time.Sleep(time.Minute)
			r.domains["a"].electSuccessor(true, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withUndecidedTransfer(t, networkLosesReplies, time.Hour, func(t *testing.T, r *transferScenario, id model.JobID) {
				if _, err := r.domains["a"].current().call(message.JobCancel{Account: "acme", Jobs: []model.JobID{id}}); err != nil {
					t.Fatal(err)
				}
				replace(r)
				r.setNetwork(networkIntact)
				time.Sleep(time.Minute)
				if j, err := r.finalJob(id); err != nil || j.State != model.JobCancelled || j.ID == id || r.domains["b"].runningJobs() > 0 {
					t.Fatalf("job %s is %s, error %v", j.ID, j.State, err)
				}
			})
		})
	}
}

// TestPartialTargetDecidesNothing guards against a job that runs twice because the target decides on its transfer
// again: its new holder could not read the first decision in the log.
func TestPartialTargetDecidesNothing(t *testing.T) {
	withUndecidedTransfer(t, networkLosesReplies, 20*time.Second, func(t *testing.T, r *transferScenario, id model.JobID) {
		r.domains["b"].electSuccessor(false, true)
		r.setNetwork(networkIntact)
		time.Sleep(time.Minute)
		if j, err := r.finalJob(id); err != nil || j.State != model.JobTransferring {
			t.Fatalf("job is %s, decided by a holder without the log, error %v", j.State, err)
		}
		r.domains["b"].sealLog()
		time.Sleep(2 * time.Minute)
		if j, err := r.finalJob(id); err != nil || j.State != model.JobSucceeded {
			t.Fatalf("job %s is %s, error %v", j.ID, j.State, err)
		}
		r.check(t)
	})
}

// TestCancelUndecided guards against a cancelled job that starts because its transfer was refused or withdrawn.
func TestCancelUndecided(t *testing.T) {
	withUndecidedTransfer(t, networkLosesRequests, time.Second, func(t *testing.T, r *transferScenario, id model.JobID) {
		if _, err := r.domains["a"].current().call(message.JobCancel{Account: "acme", Jobs: []model.JobID{id}}); err != nil {
			t.Fatal(err)
		}
		r.setOut("")
		r.setNetwork(networkIntact)
		time.Sleep(time.Minute)
		if j, err := r.finalJob(id); err != nil || j.State != model.JobCancelled || j.ID != id || len(r.domains["a"].history(t, id)) > 0 {
			t.Fatalf("job %s is %s, error %v", j.ID, j.State, err)
		}
	})
}
