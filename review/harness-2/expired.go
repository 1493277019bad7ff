package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func init() { cases["expired"] = expiredJobs }

const (
	// shortStatusS is status_s of the case, so that it ends within the time of a script.
	shortStatusS = 80
	outage       = 6500 * time.Millisecond
	// noticed is how long after an end was taken note of a start counts as a second one.
	noticed = time.Second
)

// expiredJobs lets the store be down while the state of completed jobs may be forgotten. It comes back without its history.
func expiredJobs(w *world) (string, error) {
	w.statusS = shortStatusS
	if err := w.begin(8, 4, 3); err != nil {
		return "", err
	}
	var ids []string
	for n := range 3 {
		id := jobID(n + 1)
		ids = append(ids, id)
		if err := w.submit(batchPrefix, id, guestKey, "work 1000", step{Count: 2, CPU: 2000, MemMB: 1000, GPU: 1, EstimateMS: 1000}); err != nil {
			return "", err
		}
	}
	for _, id := range ids {
		if err := wait(20*time.Second, "job completed", func() bool {
			time.Sleep(200 * time.Millisecond)
			return w.state(batchPrefix, id, guestKey) == "completed"
		}); err != nil {
			return "", err
		}
	}
	completed := time.Now()
	time.Sleep((shortStatusS - 1) * time.Second)
	if w.trouble {
		w.store.setBusy(true)
	}
	time.Sleep(outage)
	if w.trouble {
		w.store.setBusy(false)
	}
	w.rec.line("store holds of the jobs: %s", strings.Join(w.store.keys("vf/"), " "))
	w.store.forget()
	time.Sleep(6 * time.Second)
	for _, id := range ids {
		w.state(batchPrefix, id, guestKey)
	}
	var again []string
	for _, id := range ids {
		runs := w.runsOf(id)
		for _, first := range runs {
			if first.how != "done" || first.noted.IsZero() {
				continue
			}
			for _, r := range runs {
				if r.task == first.task && r.started.After(first.noted.Add(noticed)) {
					again = append(again, fmt.Sprintf("%s starts %.1f s after the job was shown as completed; %s had ended done, which was taken note of",
						r.String(), r.started.Sub(completed).Seconds(), first.String()))
				}
			}
		}
	}
	slices.Sort(again)
	return strings.Join(again, "; "), nil
}
