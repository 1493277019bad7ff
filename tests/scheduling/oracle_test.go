package scheduling

import (
	"context"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	standin "github.com/verbenaflow/verbenaflow/standins/worker"
)

const (
	// maxStarts bounds the starts of one job within startsWithin. Each exchange of a start takes several
	// milliseconds, so that a loop without a delay causes hundreds of starts.
	maxStarts    = 8
	startsWithin = 10 * time.Second
)

// taskEvent is a state change of a task that a worker recorded.
type taskEvent struct {
	standin.HistoryEntry
	at     time.Time
	worker model.WorkerID
}

// allEvents returns the state changes of the tasks of all jobs that the workers recorded, sorted by time.
func (r *scenario) allEvents() []taskEvent {
	var out []taskEvent
	for id, c := range r.clients {
		h, err := c.History(context.Background(), 0)
		if err != nil {
			r.t.Fatal(err)
		}
		for _, e := range h.Entries {
			out = append(out, taskEvent{HistoryEntry: e, at: r.startedAt.Add(e.At), worker: id})
		}
	}
	slices.SortStableFunc(out, func(a, b taskEvent) int { return a.at.Compare(b.at) })
	return out
}

// check verifies the scenario from the records of the workers, the log and the replies to callers only.
func (r *scenario) check() {
	events := r.allEvents()
	r.checkStarts(events)
	r.checkLog(events)
	attempts := map[model.JobID]map[int][]taskEvent{}
	for _, e := range events {
		if attempts[e.Task.Job] == nil {
			attempts[e.Task.Job] = map[int][]taskEvent{}
		}
		attempts[e.Task.Job][e.Task.Attempt] = append(attempts[e.Task.Job][e.Task.Attempt], e)
	}
	for job, byAttempt := range attempts {
		r.checkStartRate(job, byAttempt)
		r.checkOverlap(job, byAttempt)
		for _, es := range byAttempt {
			r.checkGang(es)
		}
	}
	r.checkAcceptedJobs()
	for epoch, n := range r.fencedAppends {
		if n > 1 {
			r.t.Fatalf("the holder of epoch %s appended %d times to a sealed log", epoch, n)
		}
	}
}

// checkStarts requires that no task is held or released while the failure domain is blocked.
func (r *scenario) checkStarts(events []taskEvent) {
	for _, e := range events {
		if e.State != model.TaskHeld && e.State != model.TaskRunning {
			continue
		}
		for _, b := range r.blocked {
			if e.at.After(b.from.Add(maxStartAfterBlock)) && (b.to.IsZero() || e.at.Before(b.to)) {
				r.t.Fatalf("%v became %s %v after the failure domain was %s", e.Task, e.State, e.at.Sub(b.from), b.cause)
			}
		}
	}
}

// checkGang requires that no member runs before all are held, and that none runs longer than maxPartialGangTime without
// the others.
func (r *scenario) checkGang(es []taskEvent) {
	states := map[int]model.TaskState{}
	held := map[int]bool{}
	size := r.gangSize(es[0].Task.Job)
	var since time.Time
	for i, e := range es {
		states[e.Task.Index] = e.State
		if e.State == model.TaskHeld {
			held[e.Task.Index] = true
		}
		if e.State == model.TaskRunning && len(held) < size {
			r.t.Fatalf("%v runs with %d of %d members held", e.Task, len(held), size)
		}
		running, stopped := 0, 0
		for _, s := range states {
			if s == model.TaskRunning {
				running++
			}
			if s.Final() && s != model.TaskSucceeded {
				stopped++
			}
		}
		if running == 0 || stopped == 0 {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = e.at
		}
		until := time.Now()
		if i+1 < len(es) {
			until = es[i+1].at
		}
		if d := until.Sub(since); d > maxPartialGangTime {
			r.t.Fatalf("%v runs for %v with %d members stopped", e.Task, d, stopped)
		}
	}
}

// checkStartRate requires that a job is not started and stopped in a loop.
func (r *scenario) checkStartRate(job model.JobID, byAttempt map[int][]taskEvent) {
	var starts []time.Time
	for _, es := range byAttempt {
		starts = append(starts, es[0].at)
	}
	slices.SortFunc(starts, time.Time.Compare)
	for i := maxStarts; i < len(starts); i++ {
		if d := starts[i].Sub(starts[i-maxStarts]); d < startsWithin {
			r.t.Fatalf("%s: started %d times in %v", job, maxStarts+1, d)
		}
	}
}

// checkOverlap requires that no task of an earlier attempt runs when a task of a later attempt starts to run.
func (r *scenario) checkOverlap(job model.JobID, byAttempt map[int][]taskEvent) {
	for a, es := range byAttempt {
		for b, later := range byAttempt {
			if b <= a {
				continue
			}
			for _, l := range later {
				if l.State != model.TaskRunning {
					continue
				}
				last := map[int]model.TaskState{}
				for _, e := range es {
					if !e.at.After(l.at) {
						last[e.Task.Index] = e.State
					}
				}
				for i, s := range last {
					if s == model.TaskRunning {
						r.t.Fatalf("%s: attempt %d runs while task %d of attempt %d does", job, b, i, a)
					}
				}
			}
		}
	}
}

func (r *scenario) gangSize(id model.JobID) int {
	for _, l := range r.logged {
		if l.Job.ID == id {
			return l.Job.Spec.Tasks
		}
	}
	r.t.Fatalf("job %s ran without a record", id)
	return 0
}

// checkLog requires that an ended job neither changes its state nor runs again, and that no job runs whose submission
// was refused as not run.
func (r *scenario) checkLog(events []taskEvent) {
	ended := map[model.JobID]loggedRecord{}
	for _, l := range r.logged {
		if was, ok := ended[l.Job.ID]; ok && was.Job.State != l.Job.State {
			r.t.Fatalf("job %s ended as %s and then became %s", l.Job.ID, was.Job.State, l.Job.State)
		}
		if l.Job.State.Final() && ended[l.Job.ID].at.IsZero() {
			ended[l.Job.ID] = l
		}
		for _, e := range events {
			if e.Task.Job == l.Job.ID && r.notRun[l.Job.Spec.Key] {
				r.t.Fatalf("job %s ran although its submission was refused as not run", l.Job.ID)
			}
		}
	}
	for _, e := range events {
		if l, ok := ended[e.Task.Job]; ok && e.State == model.TaskHeld && e.at.After(l.at) {
			r.t.Fatalf("%v was held after its job had ended as %s", e.Task, l.Job.State)
		}
	}
}

// checkAcceptedJobs requires that every accepted job has ended.
func (r *scenario) checkAcceptedJobs() {
	for id := range r.accepted {
		m, err := r.current().call(message.JobStatus{Job: id})
		if err != nil {
			r.t.Fatalf("accepted job %s: %v", id, err)
		}
		if j := m.(message.JobReply).Job; !j.State.Final() {
			r.t.Fatalf("accepted job %s is %s (%s) after %v", id, j.State, j.Reason, settleTime)
		}
	}
}
