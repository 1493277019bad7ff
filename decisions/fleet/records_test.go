package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// TestRecordOrder guards against jobs whose progress changes all the time and that keep the progress of others from being
// recorded, because a transaction has space for only some of it.
func TestRecordOrder(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := New(Settings{}, 1, 1, false, now)
	for _, id := range []string{"j1", "j2", "j3"} {
		f.AddJob(now, oneStep(id, "normal", workload.Step{Count: 1}), 1, nil)
	}
	recorded := map[workload.JobID]int{}
	for range 9 {
		for _, j := range f.jobs {
			j.markDirty()
		}
		records := f.UnrecordedProgress(1)
		f.MarkRecorded(records)
		recorded[records[0].Job]++
	}
	for id := range f.jobs {
		if recorded[id] != 3 {
			t.Errorf("the progress of %s was recorded %d times of 9, want 3: %v", id, recorded[id], recorded)
		}
	}
}

// TestListedFailures guards against a record that grows with each failed run beyond the size for which its job was accepted,
// and against attempts that are forgotten: the limit of a later configuration counts all of them, also after a change of
// holders.
func TestListedFailures(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	rec := oneStep("j", "q", workload.Step{Count: 1})
	rec.Route = workload.Route{Name: "q", MaxAttempts: 3}
	e := &executor{}
	begin := func(p *workload.Progress) (*Scheduler, *unit) {
		f := New(Settings{}, 1, 1, false, now)
		f.SetConfig((&workload.Config{Version: 2, Routes: []workload.Route{{Name: "q", MaxAttempts: 6}}}).Index())
		f.AddJob(now, rec, 1, p)
		return f, f.jobs["j"].unitAt(0)
	}
	f, u := begin(nil)
	for run := workload.RunNumber(1); run <= 5; run++ {
		// A run that is reported again counts once.
		f.recordFailure(now, u, run, e)
		f.recordFailure(now, u, run, e)
		f.recordFailure(now, u, 1, e)
		p := u.job.progress()
		if n := len(p.Steps[0].Units[0].Failed); n > rec.ListedFailures() {
			t.Errorf("%d failed runs are listed after %d, want at most %d", n, run, rec.ListedFailures())
		}
		f, u = begin(&p)
		if n := u.failures(); n != int(run) {
			t.Errorf("%d of %d failed runs are counted after a change of holders", n, run)
		}
	}
	if s, _ := f.Status("j"); s.Final() {
		t.Errorf("the job is %s after 5 of 6 attempts", s)
	}
	f.recordFailure(now, u, 6, e)
	if u.job.state != workload.StateFailed {
		t.Errorf("the job is %s after 6 attempts", u.job.state)
	}
}

// TestRestoreLargeJob guards against a holder that stands still, and loses its lease, while it restores the largest jobs: the
// time must not grow with the square of the number of tasks.
func TestRestoreLargeJob(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, shape := range []struct{ count, occurrences int }{{20000, 0}, {2, 10000}} {
		rec := oneStep("j", "q", workload.Step{Count: shape.count})
		rec.Occurrences = shape.occurrences
		p := workload.Progress{State: workload.StateRunning, MayRun: true}
		for occurrence := range rec.OccurrenceCount() {
			s := p.Step(occurrence, 0)
			for first := range shape.count {
				if first%2 == 0 {
					s.SetDone(first)
				} else {
					s.Units = append(s.Units, workload.UnitProgress{First: first, Failed: []workload.RunNumber{7}, Saved: "c"})
				}
			}
		}
		f := New(Settings{}, 1, 1, false, now)
		began := time.Now()
		f.AddJob(now, rec, 1, &p)
		// Two thirds of the lease are lost at 1.3 s; without the race detector it takes some milliseconds.
		if took := time.Since(began); took > time.Second {
			t.Errorf("%+v: restored in %v", shape, took)
		}
		for i := range shape.count * rec.OccurrenceCount() {
			u := f.jobs["j"].unitFor(workload.TaskRef{Occurrence: i / shape.count, Index: i % shape.count})
			if done := i%shape.count%2 == 0; done != (u == nil) || !done && (len(u.failedRuns) != 1 || u.checkpoint != "c") {
				t.Fatalf("%+v: unit %d is %+v, want done %v", shape, i, u, done)
			}
		}
	}
}

// TestExpiredJobStaysUntilRemoved guards against a finished job that is taken for a new one, because it was forgotten before
// its records were deleted, and against one that is never offered for removal again after a failure.
func TestExpiredJobStaysUntilRemoved(t *testing.T) {
	sim := startSimulation(t, 1, 1)
	sim.submit(oneStep("second", "batch", workload.Step{Count: 1, Need: smallTask}), behavior{runTime: 400 * time.Millisecond})
	sim.submit(oneStep("first", "batch", workload.Step{Count: 1, Need: smallTask}), behavior{runTime: 100 * time.Millisecond})
	sim.advance(2 * time.Second)
	f := sim.holder.scheduler
	if ids := f.ExpiredJobs(sim.now, 10); len(ids) != 0 {
		t.Errorf("%v have expired within the retention", ids)
	}
	later := sim.now.Add(sim.settings.Retention + time.Second)
	for range 2 {
		if ids := f.ExpiredJobs(later, 1); len(ids) != 1 || ids[0].ID != "first" {
			t.Errorf("%v have expired, want the job that ended first", ids)
		}
	}
	f.AddJob(later, sim.jobs["first"], sim.createdRevision["first"], nil)
	if s, known := f.Status("first"); !known || s != workload.StateCompleted {
		t.Errorf("the expired job is %q, known %v", s, known)
	}
	f.RemoveJobs(f.ExpiredJobs(later, 1))
	if _, known := f.Status("first"); known {
		t.Error("the removed job is known")
	}
	if ids := f.ExpiredJobs(later, 10); len(ids) != 1 || ids[0].ID != "second" {
		t.Errorf("%v have expired, want the other job", ids)
	}
}

// TestReplacedJob guards against a job that is never run because the scheduler still knows a finished one of the same ID, and against one that
// runs again because an entry that is no later one is taken for a new job.
func TestReplacedJob(t *testing.T) {
	now := time.Unix(0, 0)
	f := New(Settings{Lease: 6 * time.Second}, 1, 1, false, now)
	rec := oneStep("j", "normal", workload.Step{Count: 1, Need: smallTask})
	f.AddJob(now, rec, 10, nil)
	if f.RemoveReplaced("j", 20) {
		t.Error("a job that has not ended is replaced")
	}
	f.Cancel(now, "j")
	if f.RemoveReplaced("j", 20) {
		t.Error("a job is replaced before its end is recorded")
	}
	f.MarkRecorded(f.UnrecordedProgress(10))
	removal := ExpiredJob{ID: "j", Accepted: 10}
	for _, revision := range []int64{5, 10} {
		if f.RemoveReplaced("j", revision) {
			t.Errorf("a finished job of revision 10 is replaced by one of revision %d", revision)
		}
	}
	if !f.RemoveReplaced("j", 20) || !f.RemoveReplaced("unknown", 20) {
		t.Error("a later job is not to be added")
	}
	f.AddJob(now, rec, 20, nil)
	// The answer to the removal of the earlier job arrives late.
	f.RemoveJobs([]ExpiredJob{removal})
	if _, known := f.Status("j"); !known {
		t.Error("the removal of the earlier job has removed the later one")
	}
}
