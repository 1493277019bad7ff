package process

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
	platform "github.com/verbenaflow/verbenaflow/platform/worker"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
	"github.com/verbenaflow/verbenaflow/standins/store"
	"github.com/verbenaflow/verbenaflow/standins/worker"
)

// claimCase is a test in which the holder of a failure domain is lost during an outage of the store. Another VM then
// claims the workers, under an epoch that it gets without the store.
type claimCase struct {
	*fleet
	g      *gomega.WithT
	holder *daemon
	others []*daemon
	epoch  model.Epoch
	// gang runs during the whole outage. singleTask loses its task during the outage, which makes room for waiting.
	gang, singleTask, waiting model.Job
	outageStart               time.Time
}

// newClaimCase starts a gang on both workers and a job with one task next to it, and leaves another gang in the queue.
func newClaimCase(t *testing.T) *claimCase {
	c := &claimCase{fleet: newFleet(t), g: gomega.NewWithT(t)}
	c.applyFirstPreset()
	vms := c.daemonsIn("a")
	c.holder = c.awaitHolder(vms[0], nil)
	for _, v := range vms {
		if v != c.holder {
			c.others = append(c.others, v)
			c.awaitHolder(v, nil)
		}
	}
	c.epoch = c.holderEpoch(c.holder)
	spec := model.JobSpec{Account: "acme", Domain: "a", Tasks: 2, GPUsPerTask: 4, RunTime: 16 * time.Second, Preemptible: true}
	c.gang = c.submit(c.holder, spec)
	singleSpec := spec
	singleSpec.Tasks, singleSpec.RunTime = 1, 6*time.Second
	c.singleTask = c.submit(c.holder, singleSpec)
	c.awaitRunning(c.singleTask)
	spec.RunTime = 200 * time.Millisecond
	c.waiting = c.submit(c.holder, spec)
	c.awaitRunning(c.gang)
	return c
}

// awaitRunning waits until all tasks of a job run on the workers and the holder reports the job as running.
func (c *claimCase) awaitRunning(job model.Job) {
	c.t.Helper()
	eventually(c.t, func() int { return len(runIntervals(c.taskEvents("a"), job.ID)) }).Should(gomega.Equal(job.Spec.Tasks))
	eventually(c.t, c.jobState(c.holder, job)).Should(gomega.Equal(model.JobRunning))
}

func (c *claimCase) setOutage(on bool) {
	c.callStandin(c.storeAddr+store.PathFaults, store.Faults{Outage: on}, nil)
}

// holderEpoch returns the highest epoch of a holder of its failure domain that a VM reports.
func (f *fleet) holderEpoch(v *daemon) model.Epoch {
	var status httpapi.StatusResponse
	var out model.Epoch
	_, _ = call(v.url+"/v1/status", nil, &status)
	for _, h := range status.Holders {
		if h.Domain == v.domain && out.Less(h.Epoch) {
			out = h.Epoch
		}
	}
	return out
}

// awaitClaim waits until another VM has claimed the workers and returns it.
func (c *claimCase) awaitClaim() *daemon {
	c.t.Helper()
	claim := model.Epoch{Store: c.epoch.Store, Outage: 1}
	next := c.awaitHolder(c.others[0], c.holder)
	eventually(c.t, func() model.Epoch { return c.holderEpoch(next) }).Should(gomega.Equal(claim))
	c.t.Logf("%s claimed the workers as %s, %v after the loss", next.id, claim, time.Since(c.outageStart).Round(100*time.Millisecond))
	return next
}

// checkServes sends requests through the claimant and expects that some run, each at most once.
func (c *claimCase) checkServes(claimant *daemon) {
	c.t.Helper()
	var results []requestResult
	for range 5 {
		var ticket string
		eventually(c.t, func() string { ticket = takeTicket(claimant); return ticket }).ShouldNot(gomega.BeEmpty())
		results = append(results, sendNonRepeatable(claimant, ticket))
	}
	c.checkResults(results)
	c.g.Expect(countOutcomes(results)[failure.Run]).To(gomega.BeNumerically(">", 0), "%v", results)
}

// crashTask ends the task of singleTask on its worker, as a crash of the task does, and waits so long that a claimant
// that wrongly starts tasks would start it again.
func (c *claimCase) crashTask(claimant *daemon) {
	c.t.Helper()
	task, found := model.TaskID{Job: c.singleTask.ID, Attempt: 1}, false
	for _, address := range c.workers["a"] {
		var h worker.History
		c.callStandin(address+worker.PathHistory, worker.HistoryRequest{}, &h)
		for _, e := range h.Entries {
			if e.Task == task && !found {
				found = true
				r := c.exchange(address, platform.Exchange{
					Holder: claimant.id, Epoch: c.holderEpoch(claimant), Domain: "a",
					Commands: []platform.Command{{Op: platform.OpStop, Task: task}},
				})
				c.g.Expect(r.Accepted).To(gomega.BeTrue())
			}
		}
	}
	c.g.Expect(found).To(gomega.BeTrue())
	time.Sleep(faultDuration)
}

func (c *claimCase) exchange(address string, x platform.Exchange) platform.Report {
	c.t.Helper()
	client := platform.NewHTTPClient(address)
	defer client.Close()
	r, err := client.Exchange(context.Background(), x)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	return r
}

// checkStarts guards against tasks that the claimant starts during the outage.
func (c *claimCase) checkStarts() {
	c.t.Helper()
	ended := 0
	for _, e := range c.taskEvents("a") {
		c.g.Expect(e.Task.Job).NotTo(gomega.Equal(c.waiting.ID))
		if e.Epoch.Outage > 0 {
			ended++
			c.g.Expect(e.State).NotTo(gomega.Or(gomega.Equal(model.TaskHeld), gomega.Equal(model.TaskRunning)), "%v", e.Task)
		}
	}
	c.g.Expect(ended).To(gomega.BeNumerically(">", 0), "the crashed task ends under the claim's epoch")
}

// checkEpochs guards against a worker that accepts a lower epoch after a higher one and against two holders of one
// epoch.
func (c *claimCase) checkEpochs() {
	c.t.Helper()
	holders := make(map[model.Epoch]model.VMID)
	for _, address := range c.workers["a"] {
		var h worker.History
		c.callStandin(address+worker.PathHistory, worker.HistoryRequest{}, &h)
		var last model.Epoch
		for _, e := range h.Entries {
			c.g.Expect(e.Epoch.Less(last)).To(gomega.BeFalse(), "epoch %v after %v", e.Epoch, last)
			last = e.Epoch
			if known, ok := holders[e.Epoch]; ok {
				c.g.Expect(e.Holder).To(gomega.Equal(known))
			}
			holders[e.Epoch] = e.Holder
		}
	}
}

// endOutageAndCheck ends the outage and expects that the gang ran once, on all workers at the same time, and that the
// other jobs start only then.
func (c *claimCase) endOutageAndCheck(claimant *daemon) {
	c.t.Helper()
	c.checkStarts()
	c.setOutage(false)
	eventually(c.t, func() uint64 { return c.holderEpoch(claimant).Store }).Should(gomega.BeNumerically(">", c.epoch.Store))
	for _, job := range []model.Job{c.waiting, c.singleTask, c.gang} {
		eventually(c.t, c.jobState(claimant, job)).Should(gomega.Equal(model.JobSucceeded))
	}
	checkOneAttempt(c.t, c.fleet, c.gang)
	c.checkGangs("a", c.gang.Spec.Tasks)
	c.checkEpochs()
	c.t.Log(c.describeRefusals())
}

// checkOldEpochRefused sends a command under the epoch of the old holder and expects that the workers refuse it.
func (c *claimCase) checkOldEpochRefused() {
	c.t.Helper()
	task := model.TaskID{Job: "a/old", Attempt: 1}
	for _, address := range c.workers["a"] {
		r := c.exchange(address, platform.Exchange{
			Holder: c.holder.id, Epoch: c.epoch, Domain: "a", LeaseMS: 60_000,
			Commands: []platform.Command{{Op: platform.OpHold, Task: task, GPUs: 0xf0, HoldMS: 60_000}},
		})
		c.g.Expect(r.Accepted).To(gomega.BeFalse())
	}
	c.g.Expect(runIntervals(c.taskEvents("a"), task.Job)).To(gomega.BeEmpty())
}

// TestOutageClaimAfterKill kills a holder during an outage of the store and guards against a failure domain that stays
// without a holder, against gangs that stop, against a claimant that starts tasks or accepts jobs without the store,
// and against a failed takeover after the outage (P2, P3, P6).
func TestOutageClaimAfterKill(t *testing.T) {
	c := newClaimCase(t)
	c.setOutage(true)
	c.outageStart = time.Now()
	c.kill(c.holder)
	claimant := c.awaitClaim()
	c.checkServes(claimant)
	c.g.Expect(post(claimant.url+"/v1/jobs", fullGang("a", time.Second), nil)).NotTo(gomega.BeEmpty(), "no job is accepted without the store")
	c.checkOldEpochRefused()
	c.crashTask(claimant)
	c.endOutageAndCheck(claimant)
}

// TestOutageClaimAfterPause guards against a holder that is paused during an outage of the store and resumes after
// another VM has claimed its workers: the workers must refuse its commands, and it must step down (P2, P6).
func TestOutageClaimAfterPause(t *testing.T) {
	c := newClaimCase(t)
	c.setOutage(true)
	c.outageStart = time.Now()
	c.holder.process.signal(t, syscall.SIGSTOP)
	claimant := c.awaitClaim()
	c.checkServes(claimant)
	c.holder.process.signal(t, syscall.SIGCONT)
	eventually(t, func() model.VMID { return c.holderID(c.holder) }).Should(gomega.Equal(claimant.id), "the resumed holder steps down")
	c.checkOldEpochRefused()
	c.crashTask(claimant)
	c.endOutageAndCheck(claimant)
}

// describeRefusals lists the exchanges that the workers refused.
func (c *claimCase) describeRefusals() string {
	text := "refused exchanges:"
	for _, address := range c.workers["a"] {
		var h worker.History
		c.callStandin(address+worker.PathHistory, worker.HistoryRequest{}, &h)
		text += fmt.Sprintf(" %+v", h.Refused)
	}
	return text
}
