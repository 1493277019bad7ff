package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { scenarios["cancel"] = scenario{machines: 7, executors: 6, gpu: 8, play: playCancel} }

// cancelBound and stopBound are the bounds cancel_ms and stop_ms of dvorak-slots.
const (
	cancelBound = 3 * time.Second
	stopBound   = 400 * time.Millisecond
)

// playCancel submits a job at a machine that stands still, cancels it at another one after the deadline of the
// submission, and lets the first machine go on.
func playCancel(p *platform, trouble bool) ([]string, error) {
	c := p.newClient()
	id := c.newID()
	// Other clients' jobs.
	for range 3 {
		c.submit(c.newID(), spec(8*time.Second, 0), []step{{"count": 3, "cpu": 3700, "mem_mb": 7600, "gpu": 1, "estimate_ms": 8000}})
	}
	still, other := p.daemons[len(p.daemons)-1], p.daemons[0]
	thaw := time.Now().Add(5 * time.Second)
	if trouble {
		p.rec.add("trouble: %s, process %d, is stopped", still.name, still.cmd.Process.Pid)
		_ = still.cmd.Process.Signal(syscall.SIGSTOP)
		// On a busy machine the threads of a process run on for a moment.
		time.Sleep(500 * time.Millisecond)
	}
	steps := []step{
		{"count": 2, "cpu": 2800, "mem_mb": 5700, "gpu": 1, "estimate_ms": 5000},
		{"count": 2, "cpu": 2800, "mem_mb": 5700, "gpu": 1, "estimate_ms": 5000, "after": []int{0}},
	}
	submitted := c.call(still, http.MethodPost, id, map[string]any{"spec": spec(5*time.Second, 0), "steps": steps}, 0)
	time.Sleep(100 * time.Millisecond)
	cancelled := c.call(other, http.MethodDelete, id, nil, 0)
	at := time.Now()
	if !cancelled.ok() && cancelled.status != http.StatusGone {
		return nil, fmt.Errorf("%w: the cancel was not acknowledged (submission: %d, cancel: %d)", errCannotRun, submitted.status, cancelled.status)
	}
	p.rec.add("the cancelling of %s is acknowledged with %d", id, cancelled.status)
	time.Sleep(time.Until(thaw))
	if trouble {
		_ = still.cmd.Process.Signal(syscall.SIGCONT)
		p.rec.add("trouble: %s goes on", still.name)
	}
	time.Sleep(16 * time.Second)
	c.state(id, 3*time.Second)
	var broken []string
	for _, e := range p.executors {
		for _, r := range e.runs() {
			if r.task[:16] != id {
				continue
			}
			if r.started.After(at.Add(cancelBound)) {
				broken = append(broken, fmt.Sprintf("UNASKED: task %s run %d started on %s %.1f s after the job's cancelling was acknowledged",
					r.task, r.number, r.executor, r.started.Sub(at).Seconds()))
			}
			if end := r.ended; end.IsZero() || end.After(at.Add(cancelBound+stopBound)) {
				broken = append(broken, fmt.Sprintf("UNASKED: task %s run %d on %s ran until %.1f s after the job's cancelling was acknowledged",
					r.task, r.number, r.executor, end.Sub(at).Seconds()))
			}
		}
	}
	return broken, nil
}
