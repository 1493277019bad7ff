package process

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/standins/executor"
	"github.com/verbenaflow/verbenaflow/standins/store"
)

// fullGang returns a job that occupies all accelerators of both workers of a failure domain.
func fullGang(d model.FailureDomain, runTime time.Duration) model.JobSpec {
	return model.JobSpec{Account: "acme", Domain: d, Tasks: 2, GPUsPerTask: 8, RunTime: runTime, Preemptible: true}
}

// requestLoad sends requests through several VMs at the same time and keeps their results for each VM.
type requestLoad struct {
	stopped atomic.Bool
	wg      conc.WaitGroup
	results [][]requestResult
}

func startLoad(vms []*daemon) *requestLoad {
	l := &requestLoad{results: make([][]requestResult, len(vms))}
	for i, v := range vms {
		l.wg.Go(func() {
			for !l.stopped.Load() {
				if ticket := takeTicket(v); ticket != "" {
					l.results[i] = append(l.results[i], sendNonRepeatable(v, ticket))
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return l
}

func (l *requestLoad) stopAndCollect() []requestResult {
	l.stopped.Store(true)
	l.wg.Wait()
	var out []requestResult
	for _, perVM := range l.results {
		out = append(out, perVM...)
	}
	return out
}

// checkOneAttempt guards against an adopted job that was restarted or did not run to its end on all tasks.
func checkOneAttempt(t *testing.T, f *fleet, job model.Job) {
	t.Helper()
	g := gomega.NewWithT(t)
	spans := runIntervals(f.taskEvents(job.Domain), job.ID)
	g.Expect(spans).To(gomega.HaveLen(job.Spec.Tasks), "one attempt of each task")
	for id, span := range spans {
		g.Expect(id.Attempt).To(gomega.Equal(1))
		g.Expect(span[1].Sub(span[0])).To(gomega.BeNumerically(">=", job.Spec.RunTime), "%v ran to its end", id)
	}
}

// TestHolderKilled guards against a new holder that restarts a running gang instead of adopting it, and against wrong
// outcomes of requests, after the VM that holds the failure domain is killed (P2, P5, P6).
func TestHolderKilled(t *testing.T) {
	f := newFleet(t)
	f.applyFirstPreset()
	vms := f.daemonsIn("a")
	holder := f.awaitHolder(vms[0], nil)
	job := f.submit(vms[0], fullGang("a", 12*time.Second))
	eventually(t, f.jobState(vms[0], job)).Should(gomega.Equal(model.JobRunning))
	var others []*daemon
	for _, v := range vms {
		if v != holder {
			others = append(others, v)
		}
	}
	l := startLoad(others)
	time.Sleep(time.Second)
	f.kill(holder)
	next := f.awaitHolder(others[0], holder)
	eventually(t, f.jobState(next, job)).Should(gomega.Equal(model.JobSucceeded))
	results := l.stopAndCollect()
	checkOneAttempt(t, f, job)
	f.checkResults(results)
	t.Logf("answers around the kill: %v", countOutcomes(results))
	gomega.NewWithT(t).Expect(countOutcomes(results)[failure.Run]).To(gomega.BeNumerically(">", 0))
}

// TestHolderFrozen guards against a holder that is paused until its lease has expired and, once it resumes, acts under
// its old epoch (P2, P6).
func TestHolderFrozen(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.applyFirstPreset()
	vms := f.daemonsIn("a")
	holder := f.awaitHolder(vms[0], nil)
	var other *daemon
	for _, v := range vms {
		if v != holder {
			other = v
		}
	}
	job := f.submit(other, fullGang("a", 15*time.Second))
	eventually(t, f.jobState(other, job)).Should(gomega.Equal(model.JobRunning))
	l := startLoad([]*daemon{other})
	time.Sleep(time.Second)
	holder.process.signal(t, syscall.SIGSTOP)
	f.awaitHolder(other, holder)
	holder.process.signal(t, syscall.SIGCONT)
	eventually(t, f.jobState(other, job)).Should(gomega.Equal(model.JobSucceeded))
	eventually(t, func() model.VMID { return f.holderID(holder) }).ShouldNot(gomega.Equal(holder.id), "the resumed holder steps down")
	results := l.stopAndCollect()
	checkOneAttempt(t, f, job)
	f.checkResults(results)
	t.Logf("answers around the pause: %v", countOutcomes(results))
	var last model.Epoch
	for _, e := range f.taskEvents("a") {
		g.Expect(e.Epoch.Less(last)).To(gomega.BeFalse(), "epoch %v after %v", e.Epoch, last)
		last = e.Epoch
	}
}

func (f *fleet) holderID(v *daemon) model.VMID {
	if h := f.holder(v, v.domain); h != nil {
		return h.id
	}
	return ""
}

// maxStartAfterTakeOut is the time after an accepted change from which on no task may start in the failure domain that
// the change takes out: the 2 s for which a confirmed configuration is valid, and 1 s for one exchange with a worker.
const maxStartAfterTakeOut = 2*time.Second + time.Second

// TestTakenOutWhileCut guards against tasks that start in a failure domain after it was taken out (P3). The failure
// domain is partitioned from the operators' VM and from the store, so that it cannot see the change, while callers
// inside it continue to submit jobs.
func TestTakenOutWhileCut(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.applyFirstPreset()
	inside := f.daemonsIn("a")[0]
	f.awaitHolder(inside, nil)
	small := model.JobSpec{Account: "acme", Domain: "a", Tasks: 1, GPUsPerTask: 1, RunTime: 300 * time.Millisecond, Preemptible: true}
	first := f.submit(inside, small)
	eventually(t, f.jobState(inside, first)).Should(gomega.Equal(model.JobSucceeded))

	// The gang ends after the failure domain was taken out; the queued jobs then have room to start.
	blocking := f.submit(inside, fullGang("a", 6*time.Second))
	eventually(t, f.jobState(inside, blocking)).Should(gomega.Equal(model.JobRunning))
	for range 5 {
		f.submit(inside, small)
	}
	f.partition("a")
	outside := f.daemonsIn("b")[0]
	eventually(t, func() string { return f.changeConfig(outside, message.ConfigChange{TakeOut: "a"}) }).Should(gomega.BeEmpty())
	takenOut := time.Now()
	for time.Since(takenOut) < 9*time.Second {
		post(inside.url+"/v1/jobs", small, nil)
		time.Sleep(200 * time.Millisecond)
	}
	f.heal("a")
	eventually(t, func() uint64 { return f.configVersion(inside) }).Should(gomega.Equal(uint64(2)))
	time.Sleep(2 * time.Second)
	for _, e := range f.taskEvents("a") {
		if e.State == model.TaskHeld || e.State == model.TaskRunning {
			g.Expect(e.when.Sub(takenOut)).To(gomega.BeNumerically("<", maxStartAfterTakeOut), "task %v became %s after the failure domain was taken out", e.Task, e.State)
		}
	}
	eventually(t, func() string { return f.changeConfig(outside, message.ConfigChange{BringIn: "a"}) }).Should(gomega.BeEmpty())
	last := f.submit(inside, small)
	eventually(t, f.jobState(inside, last)).Should(gomega.Equal(model.JobSucceeded))
}

// TestStoreOutage guards against requests that are not served, or run more than once, during an outage of the store
// (P5, P6), against an outage that restarts a running job, and against jobs that do not start after the outage.
func TestStoreOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.applyFirstPreset()
	v := f.daemonsIn("a")[0]
	f.awaitHolder(v, nil)
	long := f.submit(v, model.JobSpec{Account: "acme", Domain: "a", Tasks: 1, GPUsPerTask: 4, RunTime: 12 * time.Second, Preemptible: true})
	eventually(t, f.jobState(v, long)).Should(gomega.Equal(model.JobRunning))
	tickets := make([]string, 0, 20)
	for range 20 {
		if ticket := takeTicket(v); ticket != "" {
			tickets = append(tickets, ticket)
		}
	}
	f.callStandin(f.storeAddr+store.PathFaults, store.Faults{Outage: true}, nil)
	outageStart := time.Now()
	var results []requestResult
	for _, ticket := range tickets {
		results = append(results, sendNonRepeatable(v, ticket))
	}
	time.Sleep(time.Until(outageStart.Add(5 * time.Second)))
	f.callStandin(f.storeAddr+store.PathFaults, store.Faults{}, nil)
	t.Logf("answers during the outage: %v", countOutcomes(results))
	g.Expect(countOutcomes(results)[failure.Run]).To(gomega.BeNumerically(">", 0), "requests are served during the outage")
	f.checkResults(results)
	eventually(t, f.jobState(v, long)).Should(gomega.Equal(model.JobSucceeded))
	checkOneAttempt(t, f, long)
	after := f.submit(v, fullGang("a", 200*time.Millisecond))
	eventually(t, f.jobState(v, after)).Should(gomega.Equal(model.JobSucceeded))
}

// TestRollingReplacement guards against requests in progress that are cut off while every VM in turn is stopped by
// SIGTERM and started again under load (P8).
func TestRollingReplacement(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.applyFirstPreset()
	for _, v := range f.vms {
		f.awaitHolder(v, nil)
	}
	l := startLoad(f.vms)
	time.Sleep(500 * time.Millisecond)
	for _, v := range f.vms {
		v.process.signal(t, syscall.SIGTERM)
		g.Eventually(v.process.done, waitLimit).Should(gomega.Receive(gomega.BeNil()), "%s exits with 0", v.id)
		f.startDaemon(v)
		eventually(t, func() uint64 { return f.configVersion(v) }).Should(gomega.Equal(uint64(1)))
		eventually(t, func() *daemon { return f.holder(v, v.domain) }).ShouldNot(gomega.BeNil())
	}
	results := l.stopAndCollect()
	f.checkResults(results)
	outcomes := countOutcomes(results)
	t.Logf("answers during the replacement: %v", outcomes)
	g.Expect(outcomes[failure.Run]).To(gomega.BeNumerically(">", 0))
	for _, a := range results {
		if a.outcome == failure.Unknown {
			// A connection that fails because its VM has exited carries no request in progress.
			g.Expect(a.code).To(gomega.Equal("connection"), "%+v", a)
		}
	}
}

// TestExecutorLeaves guards against an executor that still gets requests more than 2 s after its leaving notice (P7),
// and against answers that reach another caller when an executor swaps, delays, truncates or drops them (P4).
func TestExecutorLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.applyFirstPreset()
	vms := f.daemonsIn("a")
	f.awaitHolder(vms[0], nil)
	leaving, staying := f.executors["a"][0], f.executors["a"][1]
	f.callStandin(staying+executor.PathFaults, executor.Faults{SwapAnswers: 10, TruncateAnswers: 3, DropAnswers: 3, AnswerDelayMS: 30}, nil)
	l := startLoad(append(vms, vms...))
	time.Sleep(time.Second)
	f.callStandin(leaving+executor.PathLeave, nil, nil)
	time.Sleep(4 * time.Second)
	results := l.stopAndCollect()
	f.checkResults(results)
	var h executor.History
	f.callStandin(leaving+executor.PathHistory, nil, &h)
	g.Expect(h.LeftMS).NotTo(gomega.BeZero())
	for _, r := range h.Runs {
		g.Expect(r.StartMS-h.LeftMS).To(gomega.BeNumerically("<=", 2000), "%s", r.Request)
	}
	for _, address := range f.executors["a"] {
		f.callStandin(address+executor.PathHistory, nil, &h)
		g.Expect(h.PeakInUse).To(gomega.BeNumerically("<=", 8))
		g.Expect(h.PeakCalls).To(gomega.BeNumerically("<=", 60))
	}
	t.Logf("answers: %v", countOutcomes(results))
}
