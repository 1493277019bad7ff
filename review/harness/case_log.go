package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["log"] = scenario{machines: 3, executors: 24, gpu: 8, play: playLog, ownDaemons: true}
}

// setPipeSize is the command F_SETPIPE_SZ of fcntl.
const setPipeSize = 1031

// collect is the log collector: a process that copies its standard input to a file.
func collect(file string) int {
	f, err := os.Create(file)
	if err != nil {
		return exitCannot
	}
	if _, err := io.Copy(f, os.Stdin); err != nil {
		return exitCannot
	}
	return 0
}

// playLog pauses the process that reads the logs of the machines while clients go on.
func playLog(p *platform, trouble bool) (broken []string, err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	err = p.startDaemons(func(name string) (*os.File, error) {
		r, w, err := os.Pipe()
		if err != nil {
			return nil, err
		}
		defer r.Close()
		// The default size where a page has 4 KiB.
		if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, w.Fd(), setPipeSize, 64<<10); errno != 0 {
			return nil, errno
		}
		c := exec.Command(self, "collect", filepath.Join(p.dir, name+".log"))
		c.Stdin = r
		if err := c.Start(); err != nil {
			return nil, err
		}
		p.rec.add("log collector of %s: process %d started", name, c.Process.Pid)
		p.collectors = append(p.collectors, c)
		return w, nil
	})
	if err != nil {
		return nil, err
	}
	if trouble {
		for _, c := range p.collectors {
			p.rec.add("trouble: log collector, process %d, is stopped", c.Process.Pid)
			_ = c.Process.Signal(syscall.SIGSTOP)
		}
	}
	// The kinds of request of dvorak-slots, 2.1 jobs a second, for 71 s.
	kinds := []struct {
		share float64
		work  time.Duration
		step  step
	}{
		{0.18, 9500 * time.Millisecond, step{"count": 16, "cpu": 2800, "mem_mb": 5700, "gpu": 1, "estimate_ms": 9500}},
		{0.24, 8500 * time.Millisecond, step{"count": 5, "cpu": 13000, "mem_mb": 19000, "gpu": 1, "estimate_ms": 8500}},
		{0.58, 2500 * time.Millisecond, step{"count": 3, "cpu": 3700, "mem_mb": 7600, "gpu": 1, "estimate_ms": 2500}},
	}
	random := rand.New(rand.NewPCG(22, 1))
	c := p.newClient()
	var (
		mu       sync.Mutex
		accepted []string
	)
	for range 150 {
		k, x := 0, random.Float64()
		for x >= kinds[k].share && k < len(kinds)-1 {
			x -= kinds[k].share
			k++
		}
		go func() {
			id := c.newID()
			if c.submit(id, spec(kinds[k].work, 0), []step{kinds[k].step}) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		}()
		time.Sleep(475 * time.Millisecond)
	}
	end := time.Now()
	p.rec.add("end of the traffic")
	// finish_s after the end of the traffic the jobs that were accepted by its end are asked for.
	time.Sleep(deadline)
	mu.Lock()
	jobs := slices.Clone(accepted)
	mu.Unlock()
	p.rec.add("%d jobs accepted", len(jobs))
	time.Sleep(time.Until(end.Add(14 * time.Second)))
	var asked sync.WaitGroup
	states := make([]string, len(jobs))
	for i, id := range jobs {
		asked.Add(1)
		go func() {
			defer asked.Done()
			states[i] = c.state(id, 5*time.Second)
		}()
	}
	asked.Wait()
	for i, id := range jobs {
		if states[i] != "completed" {
			broken = append(broken, fmt.Sprintf("LOST: accepted job %s, asked for finish_s after the end of the traffic for 5 s at all machines: state %q", id, states[i]))
		}
	}
	for _, d := range p.daemons {
		written := int64(0)
		if info, err := os.Stat(filepath.Join(p.dir, d.name+".log")); err == nil {
			written = info.Size()
		}
		p.rec.add("%s: ready: %v; the collector has read %d bytes of its log", d.name, d.isReady(), written)
	}
	return broken, nil
}
