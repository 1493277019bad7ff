package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

func jobWithCores(id string, a model.AccountID, tasks, gpus, cores int, preemptible bool) QueuedJob {
	queued := queuedJob(id, a, tasks, gpus, preemptible)
	queued.Spec.CoresPerTask = cores
	return queued
}

// TestCoresLeaveAcceleratorsUsable guards against tasks without accelerators that use up the cores of a worker and so
// leave its free accelerators unusable, and against such tasks on a worker whose number of cores is unknown.
func TestCoresLeaveAcceleratorsUsable(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPlanner(Options{}, workersOf(1, 2), map[model.AccountID]model.AccountPolicy{"b": {QuotaGPUs: 1}, "c": {}})
	for i := range 40 {
		p.Enqueue(jobWithCores(fmt.Sprintf("b%02d", i), "b", 1, 0, 1, false))
	}
	g.Expect(p.Round(epoch).Starts).To(gomega.HaveLen(2 * 8))
	for i := range 20 {
		p.Enqueue(jobWithCores(fmt.Sprintf("c%02d", i), "c", 1, 1, 1, false))
	}
	g.Expect(p.Round(epoch).Starts).To(gomega.HaveLen(2 * 8))

	unknown := []Worker{{ID: "w0", Usable: true}}
	p = newPlanner(Options{}, unknown, nil)
	g.Expect(p.CheckAdmission(jobWithCores("x", "b", 1, 0, 1, false).Spec)).To(gomega.MatchError(&failure.Error{Reason: failure.NeverFits}))
	g.Expect(p.CheckAdmission(jobWithCores("x", "b", 1, 0, 0, false).Spec)).To(gomega.MatchError(&failure.Error{Reason: failure.Malformed}))
}

// TestReclaimTakesCoresOfBorrowers guards against a guarantee that is not reclaimed (promise P1) because borrowers with
// or without accelerators use the cores, and against the start of another job on those cores while the borrowers are
// being stopped.
func TestReclaimTakesCoresOfBorrowers(t *testing.T) {
	for _, gpus := range []int{0, 4} {
		g := gomega.NewWithT(t)
		p := newPlanner(Options{}, workersOf(1, 1), map[model.AccountID]model.AccountPolicy{
			"a": {Guarantees: guarantees(model.CellCount{Level: model.LevelWorker, Count: 1})}, "b": {},
		})
		p.Enqueue(jobWithCores("b1", "b", 1, gpus, 8, true))
		p.Enqueue(jobWithCores("b2", "b", 1, 4, 8, true))
		g.Expect(p.Round(epoch).Starts).To(gomega.HaveLen(2))
		p.Enqueue(jobWithCores("a1", "a", 1, 8, 16, false))
		g.Expect(p.Round(epoch).Preemptions).To(gomega.HaveLen(2))
		p.Enqueue(jobWithCores("b3", "b", 1, 0, 8, true))
		p.Requeue("b1")
		g.Expect(p.Round(epoch).Starts).To(gomega.BeEmpty())
		p.Requeue("b2")
		starts := p.Round(epoch).Starts
		g.Expect(starts).To(gomega.HaveLen(1))
		g.Expect(starts[0].Job).To(gomega.Equal(model.JobID("a1")))
	}
}

// TestJobBeyondItsShareIsNotStarved guards against a job that needs more cores than its accelerators' share and starves
// because a stream of tasks without accelerators uses them.
func TestJobBeyondItsShareIsNotStarved(t *testing.T) {
	p := newPlanner(Options{}, workersOf(1, 1), map[model.AccountID]model.AccountPolicy{"a": {}, "b": {}})
	p.Enqueue(jobWithCores("first", "b", 1, 0, 2, true))
	p.Round(epoch)
	p.Enqueue(jobWithCores("wide", "a", 1, 1, 16, false))
	running := []model.JobID{"first"}
	for n := range 20 {
		now := epoch.Add(time.Duration(n) * time.Hour)
		queued := jobWithCores(fmt.Sprintf("s%02d", n), "b", 1, 0, 2, true)
		queued.Submitted = now
		p.Enqueue(queued)
		for _, s := range p.Round(now).Starts {
			if s.Job == "wide" {
				return
			}
			running = append(running, s.Job)
		}
		if len(running) > 1 || n == 5 {
			p.Finish(running[0], now)
			running = running[1:]
		}
	}
	t.Fatal("the job with 16 cores did not start within 20 rounds")
}

// TestHoldSurvivesAChangeOfWorkers guards against a needless preemption: a job reclaims cells from borrowers, and the
// rebuild after a change of workers assigns these cells to another job of the account.
func TestHoldSurvivesAChangeOfWorkers(t *testing.T) {
	g := gomega.NewWithT(t)
	ws := workersOf(1, 3)
	p := newPlanner(Options{}, ws, map[model.AccountID]model.AccountPolicy{
		"a": {Guarantees: guarantees(model.CellCount{Level: model.LevelWorker, Count: 1})}, "b": {},
	})
	for _, id := range []string{"b1", "b2", "b3"} {
		p.Enqueue(queuedJob(id, "b", 1, 8, true))
	}
	g.Expect(p.Round(epoch).Starts).To(gomega.HaveLen(3))
	p.Enqueue(queuedJob("a1", "a", 1, 8, true))
	preemptions := p.Round(epoch).Preemptions
	g.Expect(preemptions).To(gomega.HaveLen(1))
	for _, id := range []model.JobID{"b1", "b2"} {
		if id != preemptions[0].Job {
			p.Finish(id, epoch)
			break
		}
	}
	p.Enqueue(queuedJob("a2", "a", 1, 8, false))
	starts := p.Round(epoch).Starts
	g.Expect(starts).To(gomega.HaveLen(1))
	g.Expect(starts[0].Job).To(gomega.Equal(model.JobID("a2")))
	changed := append([]Worker(nil), ws...)
	changed[0].Cores++
	p.SetWorkers(changed)
	p.Round(epoch)
	g.Expect(p.jobs["a1"].phase).To(gomega.Equal(holding))
	p.Requeue(preemptions[0].Job)
	starts = p.Round(epoch).Starts
	g.Expect(starts).To(gomega.HaveLen(1))
	g.Expect(starts[0].Job).To(gomega.Equal(model.JobID("a1")))
}

// TestBoundedRoundsKeepTheOrder guards against a limit of tried jobs per round that changes the order of starts, that
// ends before all jobs were tried, or that requests further rounds forever.
func TestBoundedRoundsKeepTheOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	starts := func(bound int) (out []Start, rounds int) {
		p := newPlanner(Options{}, workersOf(2, 8), map[model.AccountID]model.AccountPolicy{"a": {}, "b": {Weight: 2}, "c": {}})
		p.maxTriedJobs = bound
		for i := range 90 {
			queued := jobWithCores(fmt.Sprintf("j%02d", i), model.AccountID("abc"[i%3:i%3+1]), 1+i%3, []int{0, 1, 4, 8}[i%4], 1, i%2 == 0)
			queued.Submitted = epoch.Add(time.Duration(i*37%90) * time.Minute)
			queued.Spec.Urgent = i%17 == 0
			p.Enqueue(queued)
		}
		for more := true; more && rounds < 1000; rounds++ {
			r := p.Round(epoch.Add(2 * time.Hour))
			out, more = append(out, r.Starts...), r.Incomplete
		}
		return out, rounds
	}
	want, rounds := starts(1 << 30)
	g.Expect(rounds).To(gomega.Equal(1))
	for _, bound := range []int{1, 7} {
		got, rounds := starts(bound)
		g.Expect(rounds).To(gomega.And(gomega.BeNumerically(">", 1), gomega.BeNumerically("<", 1000)))
		g.Expect(got).To(gomega.Equal(want))
	}
}

// TestMovedJobsFitByCoresTogether guards against migrating two jobs although other workers have enough cores for only
// one of them.
func TestMovedJobsFitByCoresTogether(t *testing.T) {
	for free, want := range map[int]int{8: 0, 16: 2} {
		g := gomega.NewWithT(t)
		p := NewWithOptions("d", Options{})
		ws := workersOf(1, 3)
		ws[2].Cores = free
		p.SetWorkers(ws)
		p.SetPolicy(model.Preset{Defragment: true, Accounts: map[model.AccountID]model.AccountPolicy{"a": {}, "b": {}}})
		for i := range 2 {
			queued := jobWithCores(fmt.Sprintf("b%d", i), "b", 1, 1, 8, true)
			queued.Spec.RunTime = 10 * time.Hour
			p.Adopt(queued, model.Placement{{Worker: model.WorkerID(fmt.Sprintf("w0%d", i)), GPUs: 1}}, epoch)
		}
		p.Adopt(queuedJob("c", "b", 1, 1, false), model.Placement{{Worker: "w02", GPUs: 1}}, epoch)
		p.Enqueue(queuedJob("a1", "a", 2, 8, false))
		g.Expect(p.Round(epoch.Add(2*time.Hour)).Migrations).To(gomega.HaveLen(want), "%d free cores", free)
	}
}
