package main

import (
	"fmt"
	"time"
)

func init() { cases["guarantee"] = guarantee }

// tasks returns a step of so many tasks with one accelerator and its share of the cores of an executor.
func tasks(count, estimateMS int) step {
	return step{Count: count, CPU: 4000, MemMB: 1000, GPU: 1, EstimateMS: estimateMS}
}

func (w *world) running(job string) int {
	n := 0
	for _, r := range w.runsOf(job) {
		if r.ended.IsZero() {
			n++
		}
	}
	return n
}

// guarantee lets a tenant without a guarantee fill the fleet with urgent work beside a batch job of the tenant that has one.
func guarantee(w *world) (string, error) {
	const guaranteed = 8
	if err := w.begin(guaranteed, 3, 3); err != nil {
		return "", err
	}
	if err := w.submit(batchPrefix, jobID(1), hostKey, "work 100000", tasks(4, 100_000)); err != nil {
		return "", err
	}
	if err := wait(10*time.Second, "batch tasks run", func() bool { return w.running(jobID(1)) == 4 }); err != nil {
		return "", err
	}
	if w.trouble {
		if err := w.submit(urgentPrefix, jobID(2), guestKey, "work 100000", tasks(20, 100_000)); err != nil {
			return "", err
		}
		if err := wait(10*time.Second, "urgent tasks of the guest run", func() bool { return w.running(jobID(2)) == 20 }); err != nil {
			return "", err
		}
	}
	time.Sleep(6 * time.Second)
	urgent := tasks(guaranteed, 1000)
	urgent.Gang = true
	if err := w.submit(urgentPrefix, jobID(3), hostKey, "work 1000", urgent); err != nil {
		return "", err
	}
	return w.awaitReclaim(jobID(3), guaranteed), nil
}

const (
	// reclaimBound is the bound reclaim_ms of the settings.
	reclaimBound = 2900 * time.Millisecond
	// reclaimWatch is how long a job that has not begun in time is watched.
	reclaimWatch = 40 * time.Second
)

// awaitReclaim returns what breaks RECLAIM for a job of one step of the tenant with the guarantee, which was just accepted.
func (w *world) awaitReclaim(job string, count int) string {
	accepted := time.Now()
	begun := func() int {
		first := map[string]bool{}
		for _, r := range w.runsOf(job) {
			first[r.task] = true
		}
		return len(first)
	}
	if wait(reclaimBound, "all tasks begun", func() bool { return begun() == count }) == nil {
		return ""
	}
	atBound := begun()
	time.Sleep(reclaimWatch)
	return fmt.Sprintf("%d of %d tasks of the guaranteed job have begun %v after its acknowledgement, %d after %.0f s; its state is then %q",
		atBound, count, reclaimBound, begun(), time.Since(accepted).Seconds(), w.state(urgentPrefix, job, hostKey))
}
