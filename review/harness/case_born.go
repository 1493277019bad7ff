package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["born"] = scenario{machines: 3, executors: 7, gpu: 8, play: playBorn} }

// playBorn restarts an executor twice under its id while the time of day of its machine is ahead and steps back.
func playBorn(p *platform, trouble bool) ([]string, error) {
	e := p.executors[0]
	c := p.newClient()
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		accepted []string
	)
	begin := time.Now()
	wait := func(s float64) { time.Sleep(time.Until(begin.Add(time.Duration(s * float64(time.Second))))) }
	wg.Add(1)
	go func() {
		defer wg.Done()
		for range 60 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := c.newID()
				if c.submit(id, spec(2500*time.Millisecond, 0), []step{{"count": 3, "cpu": 3700, "mem_mb": 7600, "gpu": 1, "estimate_ms": 2500}}) {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			}()
			time.Sleep(400 * time.Millisecond)
		}
	}()
	if trouble {
		restart := func(crash, start float64) error {
			wait(crash)
			e.crash()
			wait(start)
			return e.start()
		}
		wait(5)
		e.setClockAhead(2 * time.Second)
		if err := restart(8, 8.25); err != nil {
			return nil, err
		}
		wait(9)
		e.setClockAhead(0)
		if err := restart(9.6, 9.85); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	p.rec.add("end of the traffic: %d jobs accepted", len(accepted))
	time.Sleep(14 * time.Second)
	var broken []string
	// A job that is not completed and has nothing running, three seconds apart.
	open := map[string]bool{}
	for _, id := range accepted {
		if s := c.state(id, 5*time.Second); s != "completed" {
			open[id] = true
		}
	}
	time.Sleep(3 * time.Second)
	for id := range open {
		s := c.state(id, 5*time.Second)
		running := 0
		for _, x := range p.executors {
			for _, r := range x.runs() {
				if r.ended.IsZero() && r.task[:16] == id {
					running++
				}
			}
		}
		if s != "completed" && running == 0 {
			broken = append(broken, fmt.Sprintf("LOST: accepted job %s, asked for finish_s after the end of the traffic and 3 s later: state %q, and none of its tasks runs; all executors are up", id, s))
		}
	}
	return broken, nil
}

// setClockAhead steps the time of day of the executor's machine.
func (e *executor) setClockAhead(d time.Duration) {
	e.mu.Lock()
	e.clockAhead = d
	e.mu.Unlock()
	e.rec.add("executor %s: its machine's time of day is now %v ahead", e.id, d)
}
