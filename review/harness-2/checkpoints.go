package main

import (
	"fmt"
	"time"
)

func init() { cases["checkpoints"] = largeCheckpoints }

const (
	// finishBound is the bound finish_s of the settings.
	finishBound = 14 * time.Second
	smallJobs   = 5
)

// largeCheckpoints lets a job run whose checkpoints on one executor together exceed 4 MiB, and hands small jobs in later.
func largeCheckpoints(w *world) (string, error) {
	const executors, perExecutor, checkpointBytes = 3, 32, 150_000
	if err := w.begin(0, executors, 3); err != nil {
		return "", err
	}
	if w.trouble {
		s := step{Count: executors * perExecutor, CPU: 1000, MemMB: 1000, EstimateMS: 8000, Checkpoint: true}
		if err := w.submit(batchPrefix, jobID(1), guestKey, fmt.Sprintf("save 8000 %d", checkpointBytes), s); err != nil {
			return "", err
		}
	}
	time.Sleep(30 * time.Second)
	for n := range smallJobs {
		small := step{Count: 1, CPU: 1000, MemMB: 1000, EstimateMS: 500}
		if err := w.submit(batchPrefix, jobID(10+n), hostKey, "work 500", small); err != nil {
			return "", err
		}
	}
	time.Sleep(finishBound + 16*time.Second)
	never := 0
	for n := range smallJobs {
		if len(w.runsOf(jobID(10+n))) == 0 {
			never++
			w.state(batchPrefix, jobID(10+n), hostKey)
		}
	}
	running, ends := 0, 0
	for _, e := range w.executors() {
		e.mu.Lock()
		w.rec.line("executor %s: %d runs, %d ends not taken note of", e.id, len(e.runs), len(e.ended))
		running, ends = running+len(e.runs), ends+len(e.ended)
		e.mu.Unlock()
	}
	if never == 0 {
		return "", nil
	}
	return fmt.Sprintf("%d of %d small jobs have not begun %v after their acceptance; %d tasks run on %d executors, %d ends are not taken note of; the large job is %q",
		never, smallJobs, finishBound+16*time.Second, running, executors, ends, w.state(batchPrefix, jobID(1), guestKey)), nil
}
