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

// fullGang is a job that fills both workers of a failure domain.
func fullGang(d model.FailureDomain, run time.Duration) model.JobSpec {
	return model.JobSpec{Account: "acme", Domain: d, Tasks: 2, GPUsPerTask: 8, RunTime: run, Preemptible: true}
}

// load sends requests through VMs until stopped and returns what the callers were told.
type load struct {
	stop    atomic.Bool
	wg      conc.WaitGroup
	answers [][]answer
}

func startLoad(vms []*daemon) *load {
	l := &load{answers: make([][]answer, len(vms))}
	for i, v := range vms {
		l.wg.Go(func() {
			for !l.stop.Load() {
				if ticket := take(v); ticket != "" {
					l.answers[i] = append(l.answers[i], confirm(v, ticket))
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return l
}

func (l *load) end() []answer {
	l.stop.Store(true)
	l.wg.Wait()
	var out []answer
	for _, a := range l.answers {
		out = append(out, a...)
	}
	return out
}

// checkOneAttempt guards against an adopted gang that was restarted or ran in part.
func checkOneAttempt(t *testing.T, f *fleet, job model.Job) {
	t.Helper()
	g := gomega.NewWithT(t)
	spans := running(f.tasks(job.Domain), job.ID)
	g.Expect(spans).To(gomega.HaveLen(job.Spec.Tasks), "one attempt of each task")
	for id, span := range spans {
		g.Expect(id.Attempt).To(gomega.Equal(1))
		g.Expect(span[1].Sub(span[0])).To(gomega.BeNumerically(">=", job.Spec.RunTime), "%v ran to its end", id)
	}
}

// TestHolderKilled guards P2, P5 and P6 against the death of the VM that holds a failure domain: its running
// gang is adopted and not restarted, and callers are told the truth about their requests.
func TestHolderKilled(t *testing.T) {
	f := newFleet(t)
	f.prepare()
	vms := f.in("a")
	holder := f.waitHolder(vms[0], nil)
	job := f.submit(vms[0], fullGang("a", 12*time.Second))
	eventually(t, f.state(vms[0], job)).Should(gomega.Equal(model.JobRunning))
	var others []*daemon
	for _, v := range vms {
		if v != holder {
			others = append(others, v)
		}
	}
	l := startLoad(others)
	time.Sleep(time.Second)
	f.kill(holder)
	next := f.waitHolder(others[0], holder)
	eventually(t, f.state(next, job)).Should(gomega.Equal(model.JobSucceeded))
	answers := l.end()
	checkOneAttempt(t, f, job)
	f.checkAnswers(answers)
	t.Logf("answers around the kill: %v", tally(answers))
	gomega.NewWithT(t).Expect(tally(answers)[failure.Run]).To(gomega.BeNumerically(">", 0))
}

// TestHolderFrozen guards P2 and P6 against a holder that is paused past its lease and wakes: it does nothing
// under its old epoch.
func TestHolderFrozen(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.prepare()
	vms := f.in("a")
	holder := f.waitHolder(vms[0], nil)
	var other *daemon
	for _, v := range vms {
		if v != holder {
			other = v
		}
	}
	job := f.submit(other, fullGang("a", 15*time.Second))
	eventually(t, f.state(other, job)).Should(gomega.Equal(model.JobRunning))
	l := startLoad([]*daemon{other})
	time.Sleep(time.Second)
	holder.process.signal(t, syscall.SIGSTOP)
	f.waitHolder(other, holder)
	holder.process.signal(t, syscall.SIGCONT)
	eventually(t, f.state(other, job)).Should(gomega.Equal(model.JobSucceeded))
	eventually(t, func() model.VMID { return f.holderID(holder) }).ShouldNot(gomega.Equal(holder.id), "the frozen holder steps down")
	answers := l.end()
	checkOneAttempt(t, f, job)
	f.checkAnswers(answers)
	t.Logf("answers around the pause: %v", tally(answers))
	var last model.Epoch
	for _, e := range f.tasks("a") {
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

// startBound is the time after an accepted change at which no task may start in a failure domain that is out:
// the 2 s for which a confirmation is valid and one exchange with a worker.
const startBound = 2*time.Second + time.Second

// TestTakenOutWhileCut guards P3: operators take out a failure domain that is cut off from them, while callers
// inside it go on submitting jobs.
func TestTakenOutWhileCut(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.prepare()
	inside := f.in("a")[0]
	f.waitHolder(inside, nil)
	small := model.JobSpec{Account: "acme", Domain: "a", Tasks: 1, GPUsPerTask: 1, RunTime: 300 * time.Millisecond, Preemptible: true}
	first := f.submit(inside, small)
	eventually(t, f.state(inside, first)).Should(gomega.Equal(model.JobSucceeded))

	// The waiting jobs could start when the gang ends, which is after the failure domain was taken out.
	filling := f.submit(inside, fullGang("a", 6*time.Second))
	eventually(t, f.state(inside, filling)).Should(gomega.Equal(model.JobRunning))
	for range 5 {
		f.submit(inside, small)
	}
	f.cut("a")
	b := f.in("b")[0]
	eventually(t, func() string { return f.change(b, message.ConfigChange{TakeOut: "a"}) }).Should(gomega.BeEmpty())
	out := time.Now()
	for time.Since(out) < 9*time.Second {
		post(inside.url+"/v1/jobs", small, nil)
		time.Sleep(200 * time.Millisecond)
	}
	f.heal("a")
	eventually(t, func() uint64 { return f.version(inside) }).Should(gomega.Equal(uint64(2)))
	time.Sleep(2 * time.Second)
	for _, e := range f.tasks("a") {
		if e.State == model.TaskHeld || e.State == model.TaskRunning {
			g.Expect(e.when.Sub(out)).To(gomega.BeNumerically("<", startBound), "task %v became %s after the domain was out", e.Task, e.State)
		}
	}
	eventually(t, func() string { return f.change(b, message.ConfigChange{BringIn: "a"}) }).Should(gomega.BeEmpty())
	last := f.submit(inside, small)
	eventually(t, f.state(inside, last)).Should(gomega.Equal(model.JobSucceeded))
}

// TestStoreOutage guards P5 and P6 during a store outage: requests are served, each at most once, no task
// starts once the configuration is no longer confirmed, and jobs start after the outage.
func TestStoreOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.prepare()
	v := f.in("a")[0]
	f.waitHolder(v, nil)
	long := f.submit(v, model.JobSpec{Account: "acme", Domain: "a", Tasks: 1, GPUsPerTask: 4, RunTime: 12 * time.Second, Preemptible: true})
	eventually(t, f.state(v, long)).Should(gomega.Equal(model.JobRunning))
	tickets := make([]string, 0, 20)
	for range 20 {
		if ticket := take(v); ticket != "" {
			tickets = append(tickets, ticket)
		}
	}
	f.control(f.store+store.PathFaults, store.Faults{Outage: true}, nil)
	down := time.Now()
	var answers []answer
	for _, ticket := range tickets {
		answers = append(answers, confirm(v, ticket))
	}
	time.Sleep(time.Until(down.Add(5 * time.Second)))
	f.control(f.store+store.PathFaults, store.Faults{}, nil)
	t.Logf("answers during the outage: %v", tally(answers))
	g.Expect(tally(answers)[failure.Run]).To(gomega.BeNumerically(">", 0), "requests are served during the outage")
	f.checkAnswers(answers)
	eventually(t, f.state(v, long)).Should(gomega.Equal(model.JobSucceeded))
	checkOneAttempt(t, f, long)
	after := f.submit(v, fullGang("a", 200*time.Millisecond))
	eventually(t, f.state(v, after)).Should(gomega.Equal(model.JobSucceeded))
}

// TestRollingReplacement guards P8: every VM is stopped by SIGTERM and started again under load, and no
// request in progress is cut off.
func TestRollingReplacement(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.prepare()
	for _, v := range f.vms {
		f.waitHolder(v, nil)
	}
	l := startLoad(f.vms)
	time.Sleep(500 * time.Millisecond)
	for _, v := range f.vms {
		v.process.signal(t, syscall.SIGTERM)
		g.Eventually(v.process.done, waitLimit).Should(gomega.Receive(gomega.BeNil()), "%s exits with 0", v.id)
		f.start(v)
		eventually(t, func() uint64 { return f.version(v) }).Should(gomega.Equal(uint64(1)))
		eventually(t, func() *daemon { return f.holder(v, v.domain) }).ShouldNot(gomega.BeNil())
	}
	answers := l.end()
	f.checkAnswers(answers)
	outcomes := tally(answers)
	t.Logf("answers during the replacement: %v", outcomes)
	g.Expect(outcomes[failure.Run]).To(gomega.BeNumerically(">", 0))
	for _, a := range answers {
		if a.outcome == failure.Unknown {
			// A connection that the caller opened to a VM that had ended carried no request in progress.
			g.Expect(a.code).To(gomega.Equal("connection"), "%+v", a)
		}
	}
}

// TestExecutorLeaves guards P7 and P4: an executor that gives notice gets nothing new after 2 s, and crossed,
// late, truncated and dropped answers never reach another caller.
func TestExecutorLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.prepare()
	vms := f.in("a")
	f.waitHolder(vms[0], nil)
	leaving, staying := f.executors["a"][0], f.executors["a"][1]
	f.control(staying+executor.PathFaults, executor.Faults{Cross: 10, Truncate: 3, Drop: 3, LateMS: 30}, nil)
	l := startLoad(append(vms, vms...))
	time.Sleep(time.Second)
	f.control(leaving+executor.PathLeave, nil, nil)
	time.Sleep(4 * time.Second)
	answers := l.end()
	f.checkAnswers(answers)
	var h executor.History
	f.control(leaving+executor.PathHistory, nil, &h)
	g.Expect(h.LeftMS).NotTo(gomega.BeZero())
	for _, r := range h.Runs {
		g.Expect(r.StartMS-h.LeftMS).To(gomega.BeNumerically("<=", 2000), "%s", r.Request)
	}
	for _, address := range f.executors["a"] {
		f.control(address+executor.PathHistory, nil, &h)
		g.Expect(h.PeakInUse).To(gomega.BeNumerically("<=", 8))
		g.Expect(h.PeakCalls).To(gomega.BeNumerically("<=", 60))
	}
	t.Logf("answers: %v", tally(answers))
}
