// Command harness plays the scripts of the review: the project's daemons run as separate processes against stand-ins of
// the store, the executors and the clients on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of the scripts.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// scenario is one case. It returns what broke the rule, or nothing.
type scenario struct {
	machines, executors, gpu int
	play                     func(p *platform, trouble bool) ([]string, error)
	// ownDaemons is set if play starts the daemons itself.
	ownDaemons bool
}

var scenarios = map[string]scenario{}

// playTime bounds a script.
const playTime = 118 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) == 3 && os.Args[1] == "collect" {
		return collect(os.Args[2])
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT FOLDER")
		return exitCannot
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitCannot
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return exitCannot
	}
	rec, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("trouble: %v", trouble)
	p, err := newPlatform(rec, root, s.machines, s.executors, s.gpu)
	if p != nil {
		defer p.close()
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		if err == nil && !s.ownDaemons {
			err = p.startDaemons(nil)
		}
		if err != nil {
			results <- result{err: err}
			return
		}
		broken, err := s.play(p, trouble)
		results <- result{broken, err}
	}()
	var r result
	select {
	case r = <-results:
	case <-stop:
		r.err = errors.New("interrupted")
	case <-time.After(playTime):
		r.err = errors.New("out of time")
	}
	switch {
	case r.err != nil:
		rec.add("result: could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return exitCannot
	case len(r.broken) > 0:
		for _, b := range r.broken {
			rec.add("broken: %s", b)
			fmt.Println("broken:", b)
		}
		rec.add("result: the rule was broken")
		return exitBroken
	}
	rec.add("result: the rule held")
	fmt.Println("held")
	return exitHeld
}
