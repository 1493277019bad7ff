package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func init() {
	cases["lasting"] = reclaimFromLasting
	cases["preempt"] = preempt
	cases["upkeep"] = upkeep
}

// noticeBound is the bound notice_ms of the settings.
const noticeBound = 5500 * time.Millisecond

// lasting returns a step whose tasks run until their job is cancelled.
func lasting(count, gpu, mayMiss int) step {
	return step{Count: count, CPU: 2000, MemMB: 1000, GPU: gpu, LongRunning: true, MayMiss: mayMiss}
}

// submitLasting hands a job of one lasting step in and waits until all its tasks are at work.
func (w *world) submitLasting(id string, s step) error {
	if err := w.submit(batchPrefix, id, guestKey, "serve 1000", s); err != nil {
		return err
	}
	return wait(20*time.Second, "all lasting tasks at work", func() bool {
		n := 0
		for _, r := range w.runsOf(id) {
			if r.ended.IsZero() && r.atWork(time.Now()) {
				n++
			}
		}
		return n == s.Count
	})
}

// reclaimFromLasting lets another tenant's lasting tasks fill all accelerators before a tenant needs those that it is
// guaranteed.
func reclaimFromLasting(w *world) (string, error) {
	const guaranteed = 8
	if err := w.begin(guaranteed, 3, 3); err != nil {
		return "", err
	}
	if w.trouble {
		if err := w.submitLasting(jobID(1), lasting(24, 1, 0)); err != nil {
			return "", err
		}
		time.Sleep(6 * time.Second)
	}
	if err := w.submit(urgentPrefix, jobID(2), hostKey, "work 1000", tasks(guaranteed, 1000)); err != nil {
		return "", err
	}
	return w.awaitReclaim(jobID(2), guaranteed), nil
}

// preempt lets a large urgent job come beyond its tenant's guarantee while lasting tasks and a batch task fill the fleet.
func preempt(w *world) (string, error) {
	const mayMiss = 1
	if err := w.begin(0, 2, 3); err != nil {
		return "", err
	}
	if err := w.submit(batchPrefix, jobID(1), guestKey, "work 90000", step{Count: 1, CPU: 16000, MemMB: 8000, GPU: 8, EstimateMS: 90000}); err != nil {
		return "", err
	}
	if err := wait(10*time.Second, "batch task begun", func() bool { return len(w.runsOf(jobID(1))) == 1 }); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if err := w.submitLasting(jobID(2), lasting(2, 4, mayMiss)); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second)
	if w.trouble {
		if err := w.submit(urgentPrefix, jobID(3), hostKey, "work 60000", step{Count: 1, CPU: 8000, MemMB: 4000, GPU: 8, EstimateMS: 60000}); err != nil {
			return "", err
		}
	}
	time.Sleep(30 * time.Second)
	return missing(w.runsOf(jobID(2)), mayMiss), nil
}

// upkeep lets an urgent job take the room that a wave of upkeep has emptied, before the wave reaches the next machine.
func upkeep(w *world) (string, error) {
	const mayMiss = 1
	if err := w.begin(0, 2, 3); err != nil {
		return "", err
	}
	if err := w.submitLasting(jobID(1), lasting(2, 8, mayMiss)); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second)
	w.rec.line("operator: wave 1 of machines m-1 and m-2, 20 s, one at a time")
	w.store.set("op/wave/1", map[string]any{"wave": 1, "machines": []string{"m-1", "m-2"}, "duration_s": 20, "cap": 1})
	if err := wait(20*time.Second, "first upkeep", func() bool { return len(w.cloud.begins()) > 0 }); err != nil {
		return "", err
	}
	if w.trouble {
		if err := w.submit(urgentPrefix, jobID(2), hostKey, "work 30000", step{Count: 1, CPU: 8000, MemMB: 4000, GPU: 8, EstimateMS: 30000}); err != nil {
			return "", err
		}
	}
	time.Sleep(25 * time.Second)
	w.rec.line("status of the wave: %s", w.store.get("status/wave/1"))
	return missing(w.runsOf(jobID(1)), mayMiss), nil
}

// missing returns what breaks AVAIL in the runs of the tasks of one lasting step: an order that ends a task at work while
// mayMiss others are away, because such an order ended them or because they were not at work for noticeBound.
func missing(runs []run, mayMiss int) string {
	byOrder := func(r run) bool { return r.how == "stopped" || r.how == "terminated" }
	slices.SortFunc(runs, func(a, b run) int { return a.ended.Compare(b.ended) })
	tasks := map[string][]run{}
	for _, r := range runs {
		tasks[r.task] = append(tasks[r.task], r)
	}
	var out []string
	for i, r := range runs {
		if r.ended.IsZero() || !byOrder(r) || r.ended.Sub(r.started) < r.work {
			continue
		}
		var away []string
		for task, others := range tasks {
			if task == r.task {
				continue
			}
			working, ended, last := false, false, time.Time{}
			for _, o := range others {
				earlier := slices.ContainsFunc(runs[:i], func(x run) bool { return x.task == o.task && x.number == o.number && !x.ended.IsZero() })
				switch {
				case o.started.After(r.ended):
				case !earlier && r.ended.Sub(o.started) >= o.work:
					working = true
				case earlier && o.ended.Sub(o.started) >= o.work && o.ended.After(last):
					last, ended = o.ended, byOrder(o)
				}
			}
			if !working && (ended || r.ended.Sub(last) >= noticeBound) {
				away = append(away, fmt.Sprintf("%s for %.1f s", task, r.ended.Sub(last).Seconds()))
			}
		}
		if len(away) >= mayMiss {
			out = append(out, fmt.Sprintf("an order ends %s, which was at work (%s), while %s is away; may_miss is %d", r.String(), r.how, strings.Join(away, " and "), mayMiss))
		}
	}
	return strings.Join(out, "; ")
}
