package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

func newPlanner(o Options, ws []Worker, accounts map[model.AccountID]model.AccountPolicy) *Planner {
	p := NewWithOptions("d", o)
	p.SetWorkers(ws)
	p.SetPolicy(model.Preset{Accounts: accounts})
	return p
}

func queuedJob(id string, a model.AccountID, tasks, gpus int, preemptible bool) QueuedJob {
	return QueuedJob{Job: model.JobID(id), Submitted: epoch, Spec: model.JobSpec{
		Account: a, Tasks: tasks, GPUsPerTask: gpus, Preemptible: preemptible, RunTime: time.Hour,
	}}
}

// TestReclaimPreemptsBorrowers guards against a guarantee that cannot be used (promise P1) because borrowers keep the
// accelerators or because other jobs start on them while the borrowers are being stopped.
func TestReclaimPreemptsBorrowers(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPlanner(Options{}, workersOf(2, 2), map[model.AccountID]model.AccountPolicy{
		"a": {Guarantees: guarantees(model.CellCount{Level: model.LevelWorker, Count: 2})}, "b": {},
	})
	for i := range 40 {
		p.Enqueue(queuedJob(fmt.Sprintf("b%02d", i), "b", 1, 1, true))
	}
	g.Expect(p.Round(epoch).Starts).To(gomega.HaveLen(32))
	big := queuedJob("a1", "a", 2, 8, false)
	p.Enqueue(big)
	r := p.Round(epoch.Add(time.Minute))
	g.Expect(r.Starts).To(gomega.BeEmpty())
	g.Expect(r.Preemptions).To(gomega.HaveLen(16))
	for i, x := range r.Preemptions {
		g.Expect(x.ForJob).To(gomega.Equal(big.Job))
		p.Requeue(x.Job)
		starts := p.Round(epoch.Add(time.Minute)).Starts
		if i < len(r.Preemptions)-1 {
			g.Expect(starts).To(gomega.BeEmpty())
		} else {
			g.Expect(starts).To(gomega.HaveLen(1))
			g.Expect(starts[0].Job).To(gomega.Equal(big.Job))
		}
	}
}

// TestReclaimTakesLeastLostWork guards against the preemption of long-running jobs where preempting recently started
// ones suffices.
func TestReclaimTakesLeastLostWork(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPlanner(Options{}, workersOf(1, 2), map[model.AccountID]model.AccountPolicy{
		"a": {Guarantees: guarantees(model.CellCount{Level: model.LevelWorker, Count: 1})}, "b": {},
	})
	p.Enqueue(queuedJob("old", "b", 1, 8, true))
	p.Round(epoch)
	p.Enqueue(queuedJob("young", "b", 1, 8, true))
	p.Round(epoch.Add(time.Hour))
	p.Enqueue(queuedJob("a1", "a", 1, 8, false))
	r := p.Round(epoch.Add(2 * time.Hour))
	g.Expect(r.Preemptions).To(gomega.Equal([]Preemption{{Job: "young", ForJob: "a1", Reason: ReasonReclaim}}))
}

// TestUrgentStartsFirst guards against an urgent job that waits behind other jobs or until borrowers end.
func TestUrgentStartsFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPlanner(Options{}, workersOf(1, 1), map[model.AccountID]model.AccountPolicy{"b": {}, "c": {}})
	p.Enqueue(queuedJob("b1", "b", 1, 8, true))
	p.Round(epoch)
	u := queuedJob("c1", "c", 1, 8, false)
	u.Spec.Urgent = true
	p.Enqueue(queuedJob("c0", "c", 1, 8, false))
	p.Enqueue(u)
	g.Expect(p.Round(epoch).Preemptions).To(gomega.Equal([]Preemption{{Job: "b1", ForJob: "c1", Reason: ReasonUrgent, GracePeriod: UrgentGracePeriod}}))
	p.Requeue("b1")
	g.Expect(p.Round(epoch).Starts[0].Job).To(gomega.Equal(u.Job))
}

// TestLargeJobIsNotStarved guards against a large job that starves because a stream of small jobs uses every
// accelerator that becomes free.
func TestLargeJobIsNotStarved(t *testing.T) {
	for _, within := range []model.Level{model.LevelRack, model.LevelDomain} {
		g := gomega.NewWithT(t)
		g.Expect(roundsUntilLarge(Options{}, within)).To(gomega.BeNumerically("<=", 24), string(within))
	}
}

// roundsUntilLarge counts the rounds, ten minutes apart, until a job of two whole workers starts while small jobs keep
// arriving that declare a run time of 5 minutes and run for 40 minutes.
func roundsUntilLarge(o Options, within model.Level) int {
	const limit, perRound, runRounds = 200, 14, 4
	p := newPlanner(o, workersOf(2, 2), map[model.AccountID]model.AccountPolicy{"a": {Weight: 1}, "b": {Weight: 1}})
	ends := make(map[int][]model.JobID)
	for n := range limit {
		now := epoch.Add(time.Duration(n) * 10 * time.Minute)
		for i := range perRound {
			queued := queuedJob(fmt.Sprintf("s%03d-%02d", n, i), "b", 1, 1, true)
			queued.Submitted, queued.Spec.RunTime = now, 5*time.Minute
			p.Enqueue(queued)
		}
		if n == 2 {
			queued := queuedJob("large", "a", 2, 8, false)
			queued.Submitted, queued.Spec.Within = now, within
			p.Enqueue(queued)
		}
		for _, id := range ends[n] {
			p.Finish(id, now)
		}
		for _, s := range p.Round(now).Starts {
			if s.Job == "large" {
				return n
			}
			ends[n+runRounds] = append(ends[n+runRounds], s.Job)
		}
	}
	return limit
}

// TestMovesMakeRoom guards against a gang that waits because small borrowers are scattered over the workers although
// migrating them costs little, and against too frequent migrations of one job.
func TestMovesMakeRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewWithOptions("d", Options{})
	p.SetWorkers(workersOf(1, 2))
	p.SetPolicy(model.Preset{Defragment: true, Accounts: map[model.AccountID]model.AccountPolicy{"a": {}, "b": {}}})
	for i, mask := range []model.GPUMask{1, 1} {
		queued := queuedJob(fmt.Sprintf("b%d", i), "b", 1, 1, true)
		queued.Spec.RunTime = 10 * time.Hour
		p.Adopt(queued, model.Placement{{Worker: model.WorkerID(fmt.Sprintf("w0%d", i)), GPUs: mask}}, epoch)
	}
	p.Enqueue(queuedJob("a1", "a", 1, 8, false))
	now := epoch.Add(2 * time.Hour)
	r := p.Round(now)
	g.Expect(r.Migrations).To(gomega.HaveLen(1))
	moved := r.Migrations[0].Job
	p.Requeue(moved)
	r = p.Round(now)
	g.Expect(r.Starts).To(gomega.HaveLen(2))
	p.Finish("a1", now)
	p.Adopt(queuedJob("c1", "b", 1, 4, false), model.Placement{{Worker: r.Starts[0].Placement[0].Worker, GPUs: 0x0f}}, now)
	p.Enqueue(queuedJob("a2", "a", 1, 8, false))
	g.Expect(p.Round(now.Add(time.Minute)).Migrations).To(gomega.BeEmpty())
	p.Remove("a2")
	p.Enqueue(queuedJob("a3", "a", 1, 8, false))
	g.Expect(p.Round(now.Add(2 * minMigrationInterval)).Migrations).To(gomega.HaveLen(2))
}

// TestAdoptDisplacesHolds guards against the start of a holding job on accelerators that an adopted job already uses.
func TestAdoptDisplacesHolds(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPlanner(Options{}, workersOf(1, 1), map[model.AccountID]model.AccountPolicy{"b": {}, "c": {}})
	p.Enqueue(queuedJob("b1", "b", 1, 4, true))
	p.Round(epoch)
	u := queuedJob("c1", "c", 1, 8, false)
	u.Spec.Urgent = true
	p.Enqueue(u)
	g.Expect(p.Round(epoch).Preemptions).To(gomega.HaveLen(1))
	p.Adopt(queuedJob("b2", "b", 1, 4, false), model.Placement{{Worker: "w00", GPUs: 0xf0}}, epoch)
	p.Requeue("b1")
	for _, s := range p.Round(epoch).Starts {
		g.Expect(s.Job).NotTo(gomega.Equal(u.Job))
	}
}

// TestCheck guards against accepting a job that can never run, and against a rejection without a reason.
func TestCheck(t *testing.T) {
	p := newPlanner(Options{}, workersOf(2, 2), map[model.AccountID]model.AccountPolicy{
		"a": {Guarantees: guarantees(model.CellCount{Level: model.LevelWorker, Count: 3})},
		"b": {QuotaGPUs: 16, MaxQueuedJobs: 1}, "c": {},
	})
	spec := func(a model.AccountID, tasks, gpus int, within model.Level, preemptible bool) model.JobSpec {
		return model.JobSpec{Account: a, Tasks: tasks, GPUsPerTask: gpus, Within: within, Preemptible: preemptible}
	}
	cases := []struct {
		spec model.JobSpec
		want *failure.Error
	}{
		{spec("a", 0, 1, "", true), &failure.Error{Reason: failure.Malformed}},
		{spec("a", 1, 3, "", true), &failure.Error{Reason: failure.Malformed}},
		{spec("a", 1, 1, model.LevelHalf, true), &failure.Error{Reason: failure.Malformed}},
		{spec("x", 1, 1, "", true), &failure.Error{Reason: failure.UnknownAccount}},
		{spec("b", 3, 8, "", true), &failure.Error{Reason: failure.QuotaExceeded}},
		{spec("c", 3, 8, model.LevelRack, true), &failure.Error{Reason: failure.NeverFits}},
		{spec("c", 5, 8, "", true), &failure.Error{Reason: failure.NeverFits}},
		{spec("c", 9, 1, model.LevelWorker, true), &failure.Error{Reason: failure.NeverFits}},
		{spec("c", 2, 8, "", false), &failure.Error{Reason: failure.NeverFits}},
		{spec("c", 2, 8, "", true), nil},
		{spec("c", 1, 8, "", false), nil},
		{spec("a", 4, 8, "", false), nil},
	}
	for _, c := range cases {
		g := gomega.NewWithT(t)
		got := p.CheckAdmission(c.spec)
		if c.want == nil {
			g.Expect(got).To(gomega.BeNil(), "%+v", c.spec)
			continue
		}
		g.Expect(got).To(gomega.MatchError(c.want), "%+v", c.spec)
		g.Expect(got.Detail).NotTo(gomega.BeEmpty())
	}
	p.Enqueue(queuedJob("b1", "b", 2, 8, true))
	gomega.NewWithT(t).Expect(p.CheckAdmission(spec("b", 1, 1, "", true))).To(gomega.MatchError(&failure.Error{Reason: failure.QueueFull}))
}

// TestAvoidedWorkers guards against a job that restarts on a worker where it failed before AvoidUntil, against one that
// meanwhile blocks other jobs of the same class, and against one that never starts because there is no other worker.
func TestAvoidedWorkers(t *testing.T) {
	g, p := gomega.NewWithT(t), New("d")
	p.SetPolicy(model.Preset{Accounts: map[model.AccountID]model.AccountPolicy{"a": {Weight: 1}}})
	p.SetWorkers(workersOf(1, 1))
	only := workersOf(1, 1)[0].ID
	spec := model.JobSpec{Account: "a", Tasks: 1, GPUsPerTask: 4, RunTime: time.Hour}
	p.Enqueue(QueuedJob{Job: "failed", Spec: spec, Submitted: epoch, AvoidWorkers: []model.WorkerID{only}, AvoidUntil: epoch.Add(time.Minute)})
	p.Enqueue(QueuedJob{Job: "other", Spec: spec, Submitted: epoch.Add(time.Second)})
	r := p.Round(epoch.Add(30 * time.Second))
	g.Expect(r.Starts).To(gomega.HaveLen(1))
	g.Expect(r.Starts[0].Job).To(gomega.Equal(model.JobID("other")))
	r = p.Round(epoch.Add(time.Minute))
	g.Expect(r.Starts).To(gomega.HaveLen(1))
	g.Expect(r.Starts[0].Job).To(gomega.Equal(model.JobID("failed")))
}
