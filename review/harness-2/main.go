// Command review2 plays the scripted cases of the second review against real daemons. Its exit status is 1 if the rule of
// the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit ends a case that hangs.
const caseLimit = 115 * time.Second

// cases holds the scripted cases by name. Each returns what broke the rule, or "".
var cases = map[string]func(w *world) (broken string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	rec.line("case %s, disruption: %v", name, trouble)
	w, err := newWorld(rec, trouble)
	if err != nil {
		rec.line("could not run: %v", err)
		return 2
	}
	defer w.close()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](w)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupted:
		rec.line("could not run: interrupted")
		return 2
	case r := <-done:
		switch {
		case r.err != nil:
			rec.line("could not run: %v", r.err)
			fmt.Println(name, "could not run:", r.err)
			return 2
		case r.broken != "":
			rec.line("broken: %s", r.broken)
			fmt.Println(name, "broken:", r.broken)
			return 1
		}
	case <-time.After(caseLimit):
		rec.line("could not run: over %v", caseLimit)
		fmt.Println(name, "could not run: over", caseLimit)
		return 2
	}
	rec.line("held")
	fmt.Println(name, "held")
	return 0
}
