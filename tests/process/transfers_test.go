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

// TestWaitingJobsMove guards against jobs that wait in a failure domain that is out although others have free
// accelerators, and against a job that runs in two failure domains, also when the holder that hands the jobs over is
// killed.
func TestWaitingJobsMove(t *testing.T) {
	for name, kill := range map[string]bool{"orderly": false, "holder killed": true} {
		t.Run(name, func(t *testing.T) { testWaitingJobsMove(t, kill) })
	}
}

func testWaitingJobsMove(t *testing.T, kill bool) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.prepare()
	holder := f.waitHolder(f.in("a")[0], nil)
	for _, d := range []model.FailureDomain{"b", "c"} {
		f.waitHolder(f.in(d)[0], nil)
	}
	other := f.in("a")[0]
	if other == holder {
		other = f.in("a")[1]
	}
	filling := f.submit(other, fullGang("a", time.Hour))
	eventually(t, f.state(other, filling)).Should(gomega.Equal(model.JobRunning))
	specs, jobs := make([]model.JobSpec, 10), make([]model.Job, 10)
	for i := range specs {
		// The prefix of its key makes a the home of a job, so that it waits there.
		specs[i] = model.JobSpec{
			Account: "acme", Tasks: 1, GPUsPerTask: 8, RunTime: time.Second, Preemptible: true, Key: fmt.Sprint("a/", i),
		}
		jobs[i] = f.submit(other, specs[i])
		g.Expect(jobs[i].Spec.Domain).To(gomega.BeEmpty())
	}
	eventually(t, func() string { return f.change(other, message.ConfigChange{TakeOut: "a"}) }).Should(gomega.BeEmpty())
	if kill {
		eventually(t, func() int { return f.elsewhere(other) }).Should(gomega.BeNumerically(">", 0))
		f.kill(holder)
	}
	out := time.Now()
	for i, j := range jobs {
		eventually(t, f.state(other, j)).Should(gomega.Equal(model.JobSucceeded))
		again := f.submit(other, specs[i])
		g.Expect(again.Domain).NotTo(gomega.Equal(model.FailureDomain("a")), "%+v", again)
	}
	t.Logf("%d waiting jobs ended elsewhere %v later", len(jobs), time.Since(out).Round(100*time.Millisecond))
	f.checkOneDomain(other, jobs)
}

// elsewhere counts the jobs of a VM's failure domain that are being moved or have been.
func (f *fleet) elsewhere(v *daemon) (n int) {
	for _, j := range f.list(v, v.domain) {
		if j.State == model.JobTransferring || j.State == model.JobMoved {
			n++
		}
	}
	return n
}

func (f *fleet) list(v *daemon, d model.FailureDomain) []model.Job {
	var jobs []model.Job
	_, _ = call(v.url+"/v1/jobs?domain="+url.QueryEscape(string(d)), nil, &jobs)
	return jobs
}

// checkOneDomain compares the records of the workers of all failure domains with the moves of the jobs: each job ran
// in one failure domain only, and to its end once.
func (f *fleet) checkOneDomain(v *daemon, jobs []model.Job) {
	f.t.Helper()
	origin := make(map[model.JobID]model.JobID)
	// places and ends hold the failure domains of the runs and of the successful ends of each job.
	places, ends := make(map[model.JobID][]model.FailureDomain), make(map[model.JobID][]model.FailureDomain)
	for i := range vmsPerDomain {
		for _, j := range f.list(v, domainName(i)) {
			origin[j.ID] = j.Origin
		}
	}
	for i := range vmsPerDomain {
		for _, e := range f.tasks(domainName(i)) {
			first := e.Task.Job
			for origin[first] != "" {
				first = origin[first]
			}
			places[first] = append(places[first], domainName(i))
			if e.State == model.TaskSucceeded {
				ends[first] = append(ends[first], domainName(i))
			}
		}
	}
	g := gomega.NewWithT(f.t)
	for _, j := range jobs {
		g.Expect(ends[j.ID]).To(gomega.HaveLen(1), "%s", j.ID)
		g.Expect(places[j.ID]).To(gomega.HaveEach(ends[j.ID][0]), "%s", j.ID)
	}
}
