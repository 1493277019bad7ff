package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["record"] = scenario{machines: 3, executors: 28, gpu: 8, play: playRecord} }

// playRecord makes one task of a wide job fail while its other tasks have checkpoints.
func playRecord(p *platform, trouble bool) ([]string, error) {
	c := p.newClient()
	wide := c.newID()
	// 94 tasks are the widest step of dvorak-slots.
	const width, saveBytes = 94, 11_500
	if trouble {
		// One executor fails one of its requests.
		e := p.executors[0]
		e.mu.Lock()
		e.failJob = wide
		e.mu.Unlock()
	}
	if !c.submit(wide, spec(70*time.Second, saveBytes), []step{{"count": width, "cpu": 2800, "mem_mb": 5700, "gpu": 1, "estimate_ms": 70000, "checkpoint": true}}) {
		return nil, errCannotRun
	}
	time.Sleep(12 * time.Second)
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		accepted []string
	)
	for range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := c.newID()
			if c.submit(id, spec(1500*time.Millisecond, 0), []step{{"count": 2, "cpu": 1000, "mem_mb": 700, "gpu": 1, "estimate_ms": 1500}}) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		}()
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	p.rec.add("end of the traffic: %d small jobs accepted", len(accepted))
	time.Sleep(14 * time.Second)
	var broken []string
	open := map[string]bool{}
	for _, id := range accepted {
		if s := c.state(id, 5*time.Second); s != "completed" {
			open[id] = true
		}
	}
	time.Sleep(3 * time.Second)
	for id := range open {
		started := 0
		for _, e := range p.executors {
			for _, r := range e.runs() {
				if r.task[:16] == id {
					started++
				}
			}
		}
		if s := c.state(id, 5*time.Second); s != "completed" {
			broken = append(broken, fmt.Sprintf("LOST: accepted job %s, asked for finish_s after the end of the traffic and 3 s later: state %q, %d of its tasks were ever started", id, s, started))
		}
	}
	return broken, nil
}
