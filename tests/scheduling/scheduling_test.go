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
	// maxPartialGangTime is the interval until the report, one exchange for the stop, a lease if that fails, and
	// half a second of delays. A change of the holder does not add to it, because a new holder renews only the
	// leases of gangs that it has found complete.
	maxPartialGangTime = 2*time.Second + time.Second + 6*time.Second + 500*time.Millisecond
	// settleTime is the time in which every job ends once all faults are cleared. Jobs run for up to 40 s
	// and a job fails at most five times.
	settleTime = 5 * time.Minute
	// maxStartAfterBlock is the time for which a configuration is valid, plus one exchange.
	maxStartAfterBlock = 2*time.Second + 1100*time.Millisecond
)

// blockedInterval is a time in which no task may start.
type blockedInterval struct {
	from, to time.Time
	// cause is the reason why no task may start: the domain is out of service or its configuration is stale.
	cause string
}

// scenario is one generated sequence of submissions and faults.
type scenario struct {
	t *rapid.T
	*testDomain
	blocked     []blockedInterval
	accepted    map[model.JobID]bool
	notRun      map[string]bool
	submissions int
}

func newScenario(t *rapid.T) *scenario {
	r := &scenario{t: t, testDomain: newTestDomain(4), accepted: map[model.JobID]bool{}, notRun: map[string]bool{}}
	r.elect(true)
	time.Sleep(time.Second)
	return r
}

func (r *scenario) submit(t *rapid.T) {
	r.submissions++
	spec := model.JobSpec{
		Account: "acme", Key: fmt.Sprint("k", r.submissions), GPUsPerTask: rapid.SampledFrom([]int{4, 8}).Draw(t, "gpus"),
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

func (r *scenario) cancelSome(t *rapid.T) {
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

// setBlocked begins or ends an interval in which no task may start.
func (r *scenario) setBlocked(cause string, begins bool) {
	now := time.Now()
	for i, b := range r.blocked {
		if b.cause == cause && b.to.IsZero() {
			if !begins {
				r.blocked[i].to = now
			}
			return
		}
	}
	if begins {
		r.blocked = append(r.blocked, blockedInterval{from: now, cause: cause})
	}
}

func (r *scenario) setOut(out bool) {
	r.setBlocked("out", out)
	r.testDomain.setOut(out)
}

func (r *scenario) setStale(stale bool) {
	r.setBlocked("stale", stale)
	r.locked(func() { r.configStale = stale })
}

// setStore changes the faults of the store. A holder that claimed the workers in an outage seals the log after it.
func (r *scenario) setStore(down, lost bool) {
	r.locked(func() { r.storeDown, r.repliesLost = down, lost })
	if !down && r.logEpoch != r.current().epoch {
		r.sealLog()
	}
}

// failOver replaces the holder. If resumes is true, the old one continues later and is refused for its epoch.
func (r *scenario) failOver(sealed, resumes bool) {
	old := r.replaceHolder(sealed)
	time.Sleep(500 * time.Millisecond)
	r.locked(func() {
		if resumes {
			old.disconnected, old.resumed = false, time.Now()
		}
	})
}

func (r *scenario) setFaults(id model.WorkerID, f standin.Faults) {
	if err := r.clients[id].SetFaults(context.Background(), f); err != nil {
		r.t.Fatal(err)
	}
}

func (r *scenario) clearFaults() {
	r.setOut(false)
	r.setStale(false)
	r.setStore(false, false)
	r.locked(func() { clear(r.unreachable) })
	for id := range r.clients {
		r.setFaults(id, standin.Faults{})
	}
}

// withoutDeadline hides testing.T.Deadline, which panics in a bubble of testing/synctest.
type withoutDeadline struct{ testing.TB }

// TestSchedulerAndWorkers guards, under generated submissions and faults, against gangs that run partially for longer
// than the bound (promise P2), against starts in a failure domain that is out of service or has no confirmed
// configuration (promise P3), against jobs that run although they were refused as not run (promise P5), and against
// accepted jobs that are lost or end twice.
func TestSchedulerAndWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(t *rapid.T) {
			r := newScenario(t)
			defer r.close()
			t.Repeat(r.actions())
			r.clearFaults()
			r.failOver(true, false)
			r.closeEarlierHolders()
			time.Sleep(settleTime)
			r.check()
		})
	})
}

func (r *scenario) actions() map[string]func(*rapid.T) {
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
		"cut":  func(t *rapid.T) { id := worker(t); r.locked(func() { r.unreachable[id] = true }) },
		"join": func(t *rapid.T) { id := worker(t); r.locked(func() { delete(r.unreachable, id) }) },
		"fault": func(t *rapid.T) {
			r.setFaults(worker(t), rapid.SampledFrom([]standin.Faults{
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
			r.locked(func() { down = r.storeDown })
			r.failOver(!down, rapid.Bool().Draw(t, "resumes"))
		},
	}
}
