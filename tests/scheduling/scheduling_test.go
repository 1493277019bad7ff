package scheduling

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	standin "github.com/verbenaflow/verbenaflow/standins/worker"
)

const (
	// partialBound is the interval until the report, one exchange for the stop, a lease if that fails, and
	// half a second of delays. A change of the holder does not add to it, because a new holder renews only the
	// leases of gangs that it has seen whole.
	partialBound = 2*time.Second + time.Second + 6*time.Second + 500*time.Millisecond
	// settleTime is the time in which every job ends once all faults are healed. Jobs run for up to 40 s
	// and a job fails at most five times.
	settleTime = 5 * time.Minute
	// startBound is the validity of the configuration and one exchange.
	startBound = 2*time.Second + 1100*time.Millisecond
)

// interval is a time in which no task may start.
type interval struct {
	from, to time.Time
	// confirmed is the last confirmation before the interval.
	what string
}

// run is one generated history.
type run struct {
	t *rapid.T
	*world
	blocked  []interval
	accepted map[model.JobID]bool
	notRun   map[string]bool
	n        int
}

func newRun(t *rapid.T) *run {
	r := &run{t: t, world: newWorld(4), accepted: map[model.JobID]bool{}, notRun: map[string]bool{}}
	r.elect(true)
	time.Sleep(time.Second)
	return r
}

func (r *run) submit(t *rapid.T) {
	r.n++
	spec := model.JobSpec{
		Account: "acme", Key: fmt.Sprint("k", r.n), GPUsPerTask: rapid.SampledFrom([]int{4, 8}).Draw(t, "gpus"),
		Tasks:       rapid.IntRange(1, 4).Draw(t, "tasks"),
		RunTime:     time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second,
		Preemptible: rapid.Bool().Draw(t, "preemptible"), Urgent: rapid.IntRange(0, 3).Draw(t, "urgent") == 3,
	}
	m, err := r.current().call(message.JobSubmit{Spec: spec})
	if err != nil {
		if failure.From(err).Outcome == failure.NotRun {
			r.notRun[spec.Key] = true
		}
		return
	}
	r.accepted[m.(message.JobReply).Job.ID] = true
}

func (r *run) cancelSome(t *rapid.T) {
	var ids []model.JobID
	for id := range r.accepted {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if len(ids) > 0 {
		from := rapid.IntRange(0, len(ids)-1).Draw(t, "from")
		_, _ = r.current().call(message.JobCancel{Account: "acme", Jobs: ids[from:min(len(ids), from+2)]})
	}
}

// block begins or ends an interval in which no task may start.
func (r *run) block(what string, on bool) {
	now := time.Now()
	for i, b := range r.blocked {
		if b.what == what && b.to.IsZero() {
			if !on {
				r.blocked[i].to = now
			}
			return
		}
	}
	if on {
		r.blocked = append(r.blocked, interval{from: now, what: what})
	}
}

func (r *run) setOut(out bool) {
	r.block("out", out)
	r.world.setOut(out)
}

func (r *run) setStale(stale bool) {
	r.block("stale", stale)
	r.locked(func() { r.stale = stale })
}

// setStore changes the store. A holder that claimed the workers in an outage seals the log after it.
func (r *run) setStore(down, lost bool) {
	r.locked(func() { r.down, r.lost = down, lost })
	if !down && r.sealed != r.current().epoch {
		r.seal()
	}
}

// failover replaces the holder. The old one may return and find its epoch refused.
func (r *run) failover(sealed, resumes bool) {
	old := r.replace(sealed)
	time.Sleep(500 * time.Millisecond)
	r.locked(func() {
		if resumes {
			old.cut, old.resumed = false, time.Now()
		}
	})
}

func (r *run) faults(id model.WorkerID, f standin.Faults) {
	if err := r.clients[id].SetFaults(context.Background(), f); err != nil {
		r.t.Fatal(err)
	}
}

func (r *run) heal() {
	r.setOut(false)
	r.setStale(false)
	r.setStore(false, false)
	r.locked(func() { clear(r.cut) })
	for id := range r.clients {
		r.faults(id, standin.Faults{})
	}
}

// withoutDeadline hides testing.T.Deadline, which is not available in a bubble of testing/synctest.
type withoutDeadline struct{ testing.TB }

// TestSchedulerAndWorkers guards against partial gangs beyond the bound (P2), against starts in a failure
// domain that is out or has no confirmed configuration (P3), against work that runs after "not run" (P5),
// and against accepted jobs that are lost or end twice.
func TestSchedulerAndWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(t *rapid.T) {
			r := newRun(t)
			defer r.close()
			t.Repeat(r.actions())
			r.heal()
			r.failover(true, false)
			r.closeEarlier()
			time.Sleep(settleTime)
			r.check()
		})
	})
}

func (r *run) actions() map[string]func(*rapid.T) {
	worker := func(t *rapid.T) model.WorkerID {
		return model.WorkerID(r.vms[rapid.IntRange(0, len(r.vms)-1).Draw(t, "worker")].ID)
	}
	sleep := func(*rapid.T) { time.Sleep(700 * time.Millisecond) }
	return map[string]func(*rapid.T){
		"submit": r.submit, "submit2": r.submit, "submit3": r.submit,
		"cancel": r.cancelSome,
		"sleep":  sleep, "sleep2": sleep,
		"sleepLong": func(*rapid.T) { time.Sleep(8 * time.Second) },
		"out":       func(t *rapid.T) { r.setOut(rapid.Bool().Draw(t, "out")) },
		"stale":     func(t *rapid.T) { r.setStale(rapid.Bool().Draw(t, "stale")) },
		"store": func(t *rapid.T) {
			r.setStore(rapid.Bool().Draw(t, "down"), rapid.Bool().Draw(t, "lost"))
		},
		"cut":  func(t *rapid.T) { id := worker(t); r.locked(func() { r.cut[id] = true }) },
		"join": func(t *rapid.T) { id := worker(t); r.locked(func() { delete(r.cut, id) }) },
		"fault": func(t *rapid.T) {
			r.faults(worker(t), rapid.SampledFrom([]standin.Faults{
				{},
				{},
				{FailTasks: true},
				{LoseAnswers: true},
				{RefuseConnections: true},
				{ExchangeDelayMS: 300},
				{IgnoreRenewals: true},
				{ReportDelayMS: 400},
				{CheckpointMS: 500},
				{StuckCheckpoints: true},
			}).Draw(t, "faults"))
		},
		"failover": func(t *rapid.T) {
			down := false
			r.locked(func() { down = r.down })
			r.failover(!down, rapid.Bool().Draw(t, "resumes"))
		},
	}
}
