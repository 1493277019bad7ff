package process

import (
	"fmt"
	"net/url"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// TestWaitingJobsMove guards against jobs that stay queued in a failure domain that was taken out although others have
// free accelerators, and against a job that runs in two failure domains, also when the holder that transfers the jobs
// is killed.
func TestWaitingJobsMove(t *testing.T) {
	for name, kill := range map[string]bool{"orderly": false, "holder killed": true} {
		t.Run(name, func(t *testing.T) { testWaitingJobsMove(t, kill) })
	}
}

func testWaitingJobsMove(t *testing.T, kill bool) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.applyFirstPreset()
	holder := f.awaitHolder(f.daemonsIn("a")[0], nil)
	for _, d := range []model.FailureDomain{"b", "c"} {
		f.awaitHolder(f.daemonsIn(d)[0], nil)
	}
	other := f.daemonsIn("a")[0]
	if other == holder {
		other = f.daemonsIn("a")[1]
	}
	blocking := f.submit(other, fullGang("a", time.Hour))
	eventually(t, f.jobState(other, blocking)).Should(gomega.Equal(model.JobRunning))
	specs, jobs := make([]model.JobSpec, 10), make([]model.Job, 10)
	for i := range specs {
		// The prefix "a/" of its key makes failure domain a the home of the job, so that it queues there.
		specs[i] = model.JobSpec{
			Account: "acme", Tasks: 1, GPUsPerTask: 8, RunTime: time.Second, Preemptible: true, Key: fmt.Sprint("a/", i),
		}
		jobs[i] = f.submit(other, specs[i])
		g.Expect(jobs[i].Spec.Domain).To(gomega.BeEmpty())
	}
	eventually(t, func() string { return f.changeConfig(other, message.ConfigChange{TakeOut: "a"}) }).Should(gomega.BeEmpty())
	if kill {
		eventually(t, func() int { return f.countMoved(other) }).Should(gomega.BeNumerically(">", 0))
		f.kill(holder)
	}
	takenOut := time.Now()
	for i, j := range jobs {
		eventually(t, f.jobState(other, j)).Should(gomega.Equal(model.JobSucceeded))
		again := f.submit(other, specs[i])
		g.Expect(again.Domain).NotTo(gomega.Equal(model.FailureDomain("a")), "%+v", again)
	}
	t.Logf("%d queued jobs succeeded in other failure domains after %v", len(jobs), time.Since(takenOut).Round(100*time.Millisecond))
	f.checkOneDomain(other, jobs)
}

// countMoved counts the jobs that are being transferred out of a VM's failure domain or have been.
func (f *fleet) countMoved(v *daemon) (n int) {
	for _, j := range f.listJobs(v, v.domain) {
		if j.State == model.JobTransferring || j.State == model.JobMoved {
			n++
		}
	}
	return n
}

func (f *fleet) listJobs(v *daemon, d model.FailureDomain) []model.Job {
	var jobs []model.Job
	_, _ = call(v.url+"/v1/jobs?domain="+url.QueryEscape(string(d)), nil, &jobs)
	return jobs
}

// checkOneDomain checks in the histories of all worker stand-ins that each job, together with the jobs that its
// transfers created, ran in one failure domain only and succeeded once.
func (f *fleet) checkOneDomain(v *daemon, jobs []model.Job) {
	f.t.Helper()
	origin := make(map[model.JobID]model.JobID)
	// runs and successes hold the failure domains in which the tasks of each job changed their state or succeeded.
	runs, successes := make(map[model.JobID][]model.FailureDomain), make(map[model.JobID][]model.FailureDomain)
	for i := range vmsPerDomain {
		for _, j := range f.listJobs(v, domainName(i)) {
			origin[j.ID] = j.Origin
		}
	}
	for i := range vmsPerDomain {
		for _, e := range f.taskEvents(domainName(i)) {
			first := e.Task.Job
			for origin[first] != "" {
				first = origin[first]
			}
			runs[first] = append(runs[first], domainName(i))
			if e.State == model.TaskSucceeded {
				successes[first] = append(successes[first], domainName(i))
			}
		}
	}
	g := gomega.NewWithT(f.t)
	for _, j := range jobs {
		g.Expect(successes[j.ID]).To(gomega.HaveLen(1), "%s", j.ID)
		g.Expect(runs[j.ID]).To(gomega.HaveEach(successes[j.ID][0]), "%s", j.ID)
	}
}
