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

// claimCase is a failure domain whose holder is lost while the store is down.
type claimCase struct {
	*fleet
	g      *gomega.WithT
	holder *daemon
	others []*daemon
	epoch  model.Epoch
	// gang runs during the whole outage; lone loses its task in the outage, and waiting has no room before that.
	gang, lone, waiting model.Job
	down                time.Time
}

// newClaimCase starts a gang on both workers and a job beside it, and leaves another gang in the queue.
func newClaimCase(t *testing.T) *claimCase {
	c := &claimCase{fleet: newFleet(t), g: gomega.NewWithT(t)}
	c.prepare()
	vms := c.in("a")
	c.holder = c.waitHolder(vms[0], nil)
	for _, v := range vms {
		if v != c.holder {
			c.others = append(c.others, v)
			c.waitHolder(v, nil)
		}
	}
	c.epoch = c.holderEpoch(c.holder)
	half := model.JobSpec{Account: "acme", Domain: "a", Tasks: 2, GPUsPerTask: 4, RunTime: 16 * time.Second, Preemptible: true}
	c.gang = c.submit(c.holder, half)
	single := half
	single.Tasks, single.RunTime = 1, 6*time.Second
	c.lone = c.submit(c.holder, single)
	c.awaitRunning(c.lone)
	half.RunTime = 200 * time.Millisecond
	c.waiting = c.submit(c.holder, half)
	c.awaitRunning(c.gang)
	return c
}

// awaitRunning waits until all tasks of a job run at the workers.
func (c *claimCase) awaitRunning(job model.Job) {
	c.t.Helper()
	eventually(c.t, func() int { return len(running(c.tasks("a"), job.ID)) }).Should(gomega.Equal(job.Spec.Tasks))
	eventually(c.t, c.state(c.holder, job)).Should(gomega.Equal(model.JobRunning))
}

func (c *claimCase) outage(on bool) {
	c.control(c.store+store.PathFaults, store.Faults{Outage: on}, nil)
}

// holderEpoch returns the highest epoch under which a VM knows its failure domain to be held.
func (f *fleet) holderEpoch(v *daemon) model.Epoch {
	var status httpapi.StatusBody
	var out model.Epoch
	_, _ = call(v.url+"/v1/status", nil, &status)
	for _, h := range status.Holders {
		if h.Domain == v.domain && out.Less(h.Epoch) {
			out = h.Epoch
		}
	}
	return out
}

// awaitClaim waits until another VM has claimed the workers.
func (c *claimCase) awaitClaim() *daemon {
	c.t.Helper()
	claim := model.Epoch{Store: c.epoch.Store, Outage: 1}
	next := c.waitHolder(c.others[0], c.holder)
	eventually(c.t, func() model.Epoch { return c.holderEpoch(next) }).Should(gomega.Equal(claim))
	c.t.Logf("%s claimed the workers as %s, %v after the loss", next.id, claim, time.Since(c.down).Round(100*time.Millisecond))
	return next
}

// serve sends requests that may not be repeated through the claimant and expects that each one runs.
func (c *claimCase) serve(v *daemon) {
	c.t.Helper()
	var answers []answer
	for range 5 {
		var ticket string
		eventually(c.t, func() string { ticket = take(v); return ticket }).ShouldNot(gomega.BeEmpty())
		answers = append(answers, confirm(v, ticket))
	}
	c.checkAnswers(answers)
	c.g.Expect(tally(answers)[failure.Run]).To(gomega.BeNumerically(">", 0), "%v", answers)
}

// loseTask ends the task of the lone job at its worker, as a crash of the task does, and leaves the claimant time
// to start it again.
func (c *claimCase) loseTask(claimant *daemon) {
	c.t.Helper()
	task, found := model.TaskID{Job: c.lone.ID, Attempt: 1}, false
	for _, address := range c.workers["a"] {
		var h worker.History
		c.control(address+worker.PathHistory, worker.HistoryRequest{}, &h)
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
	time.Sleep(faultTime)
}

func (c *claimCase) exchange(address string, x platform.Exchange) platform.Report {
	c.t.Helper()
	client := platform.NewHTTPClient(address)
	defer client.Close()
	r, err := client.Exchange(context.Background(), x)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	return r
}

// checkStarts guards against a task that the claimant has started.
func (c *claimCase) checkStarts() {
	c.t.Helper()
	ended := 0
	for _, e := range c.tasks("a") {
		c.g.Expect(e.Task.Job).NotTo(gomega.Equal(c.waiting.ID))
		if e.Epoch.Outage > 0 {
			ended++
			c.g.Expect(e.State).NotTo(gomega.Or(gomega.Equal(model.TaskHeld), gomega.Equal(model.TaskRunning)), "%v", e.Task)
		}
	}
	c.g.Expect(ended).To(gomega.BeNumerically(">", 0), "the lone task ends under the claim")
}

// checkEpochs guards against a worker that goes back to a lower epoch, and against two holders of one epoch.
func (c *claimCase) checkEpochs() {
	c.t.Helper()
	holders := make(map[model.Epoch]model.VMID)
	for _, address := range c.workers["a"] {
		var h worker.History
		c.control(address+worker.PathHistory, worker.HistoryRequest{}, &h)
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

// finish ends the outage and expects that the gang ran once as a whole, and that the other jobs start only now.
func (c *claimCase) finish(claimant *daemon) {
	c.t.Helper()
	c.checkStarts()
	c.outage(false)
	eventually(c.t, func() uint64 { return c.holderEpoch(claimant).Store }).Should(gomega.BeNumerically(">", c.epoch.Store))
	for _, job := range []model.Job{c.waiting, c.lone, c.gang} {
		eventually(c.t, c.state(claimant, job)).Should(gomega.Equal(model.JobSucceeded))
	}
	checkOneAttempt(c.t, c.fleet, c.gang)
	c.checkGangs("a", c.gang.Spec.Tasks)
	c.checkEpochs()
	c.t.Log(c.refusals())
}

// refuseOld shows with a command of the old holder that the workers refuse its epoch.
func (c *claimCase) refuseOld() {
	c.t.Helper()
	task := model.TaskID{Job: "a/old", Attempt: 1}
	for _, address := range c.workers["a"] {
		r := c.exchange(address, platform.Exchange{
			Holder: c.holder.id, Epoch: c.epoch, Domain: "a", LeaseMS: 60_000,
			Commands: []platform.Command{{Op: platform.OpHold, Task: task, GPUs: 0xf0, HoldMS: 60_000}},
		})
		c.g.Expect(r.Accepted).To(gomega.BeFalse())
	}
	c.g.Expect(running(c.tasks("a"), task.Job)).To(gomega.BeEmpty())
}

// TestOutageClaimAfterKill guards P2, P3 and P6 against the death of a holder during an outage of the store:
// another VM claims the workers, its gangs go on, it serves requests and starts nothing, and the next holder
// after the outage takes over in order.
func TestOutageClaimAfterKill(t *testing.T) {
	c := newClaimCase(t)
	c.outage(true)
	c.down = time.Now()
	c.kill(c.holder)
	claimant := c.awaitClaim()
	c.serve(claimant)
	c.g.Expect(post(claimant.url+"/v1/jobs", fullGang("a", time.Second), nil)).NotTo(gomega.BeEmpty(), "no job is accepted without the store")
	c.refuseOld()
	c.loseTask(claimant)
	c.finish(claimant)
}

// TestOutageClaimAfterPause guards P2 and P6 against a holder that is paused during an outage of the store and
// wakes after another VM has claimed its workers: they refuse it, and it steps down.
func TestOutageClaimAfterPause(t *testing.T) {
	c := newClaimCase(t)
	c.outage(true)
	c.down = time.Now()
	c.holder.process.signal(t, syscall.SIGSTOP)
	claimant := c.awaitClaim()
	c.serve(claimant)
	c.holder.process.signal(t, syscall.SIGCONT)
	eventually(t, func() model.VMID { return c.holderID(c.holder) }).Should(gomega.Equal(claimant.id), "the woken holder steps down")
	c.refuseOld()
	c.loseTask(claimant)
	c.finish(claimant)
}

// refusals describes the exchanges that the workers refused.
func (c *claimCase) refusals() string {
	text := "refused exchanges:"
	for _, address := range c.workers["a"] {
		var h worker.History
		c.control(address+worker.PathHistory, worker.HistoryRequest{}, &h)
		text += fmt.Sprintf(" %+v", h.Refused)
	}
	return text
}
