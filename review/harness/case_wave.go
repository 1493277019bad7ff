package main

import (
	"fmt"
	"time"
)

func init() { scenarios["wave"] = scenario{machines: 3, executors: 6, gpu: 8, play: playWave} }

// playWave orders two waves of upkeep that share a machine, and leaves every second order unanswered for a while.
func playWave(p *platform, trouble bool) ([]string, error) {
	c := newCloud(p)
	p.setMachineService(c.handler())
	shared, first := c.machines[0], c.machines[2]
	// The machines are at work, so that it takes some seconds to empty them.
	cl := p.newClient()
	for range 6 {
		cl.submit(cl.newID(), spec(60*time.Second, 0), []step{{"count": 8, "cpu": 2800, "mem_mb": 5700, "gpu": 1, "estimate_ms": 60000}})
	}
	time.Sleep(time.Second)
	c.order(wave{Wave: 1, Machines: []string{first.id, shared.id}, Duration: 20, Cap: 1})
	time.Sleep(4 * time.Second)
	c.order(wave{Wave: 2, Machines: []string{shared.id}, Duration: 20, Cap: 1})
	if trouble {
		// The disruption begins once the shared machine is back from its upkeep of wave 1, and lasts for 5 s.
		var begin time.Time
		n := 0
		c.mu.Lock()
		c.late = func(upkeepOrder) (time.Duration, bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			now := time.Now()
			if begin.IsZero() && !shared.begun[1].IsZero() && shared.state == "up" {
				begin = now
				p.rec.add("trouble: every second order to the machine service gets no answer, for 5 s")
			}
			if begin.IsZero() || now.After(begin.Add(5*time.Second)) {
				return 0, false
			}
			n++
			return 8 * time.Second, n%2 == 1
		}
		c.mu.Unlock()
	}
	var broken []string
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !c.completed(2) {
			continue
		}
		c.mu.Lock()
		begun := !shared.begun[2].IsZero()
		p.rec.add("wave 2 is said to be completed; %s is %s, its upkeep of wave 2 has begun: %v", shared.id, shared.state, begun)
		c.mu.Unlock()
		if !begun {
			broken = append(broken, fmt.Sprintf("MIXED: wave 2 is said to be completed, and %s, which stays, hasn't begun its upkeep", shared.id))
		}
		break
	}
	if !c.completed(2) {
		return nil, fmt.Errorf("%w: wave 2 was not completed", errCannotRun)
	}
	time.Sleep(10 * time.Second)
	return broken, nil
}
