package main

import (
	"fmt"
	"sort"
	"time"
)

func init() { scenarios["cut"] = scenario{machines: 3, executors: 12, gpu: 8, play: playCut} }

// playCut cuts the paths from the machines to two of twelve executors with resets while these work on.
func playCut(p *platform, trouble bool) ([]string, error) {
	c := p.newClient()
	for range 6 {
		id := c.newID()
		c.submit(id, spec(9500*time.Millisecond, 0), []step{{"count": 8, "cpu": 2800, "mem_mb": 5700, "gpu": 1, "estimate_ms": 9500}})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		// The executors register the address of their path.
		var paths []*proxy
		for _, e := range p.executors {
			if len(e.runs()) > 0 && len(paths) < 2 {
				paths = append(paths, e.path)
				p.rec.add("trouble: the path to %s is cut with resets", e.id)
			}
		}
		for _, x := range paths {
			x.cut()
		}
		time.Sleep(2 * time.Second)
		for _, x := range paths {
			if err := x.heal(); err != nil {
				return nil, err
			}
		}
		p.rec.add("trouble: the paths are whole again")
	}
	time.Sleep(20 * time.Second)
	return twice(p), nil
}

// twice returns the pairs of runs of one task that overlapped on executors that were up.
func twice(p *platform) []string {
	byTask := map[string][]run{}
	for _, e := range p.executors {
		for _, r := range e.runs() {
			byTask[r.task] = append(byTask[r.task], r)
		}
	}
	var out []string
	for task, runs := range byTask {
		sort.Slice(runs, func(i, j int) bool { return runs[i].started.Before(runs[j].started) })
		for i := 1; i < len(runs); i++ {
			a, b := runs[i-1], runs[i]
			if a.ended.IsZero() || a.ended.After(b.started) {
				out = append(out, fmt.Sprintf("TWICE: task %s: run %d on %s started at %s while run %d on %s was at work (it %s at %s)",
					task, b.number, b.executor, p.rec.at(b.started), a.number, a.executor, endWord(a), p.rec.at(a.ended)))
			}
			for _, earlier := range runs[:i] {
				if earlier.how == "done" && !earlier.notedAt.IsZero() && !earlier.lapsedSince && earlier.ended.Before(b.started) && earlier.number != b.number {
					out = append(out, fmt.Sprintf("TWICE: task %s: run %d on %s started at %s after run %d had ended done at %s, which was taken note of at %s",
						task, b.number, b.executor, p.rec.at(b.started), earlier.number, p.rec.at(earlier.ended), p.rec.at(earlier.notedAt)))
				}
			}
		}
	}
	sort.Strings(out)
	return out
}

func endWord(r run) string {
	if r.ended.IsZero() {
		return "had not ended"
	}
	return "ended " + r.how
}
