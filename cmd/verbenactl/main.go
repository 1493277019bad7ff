// Command verbenactl is the command line for callers and operators.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of verbenactl.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run()) }

func run() int {
	p := flags.NewNamedParser("verbenactl", flags.Default)
	addStandins(p)
	if _, err := p.Parse(); err != nil {
		var f *flags.Error
		switch {
		case flags.WroteHelp(err):
			return 0
		case errors.As(err, &f):
			return exitUsage
		default:
			return exitFailure
		}
	}
	return 0
}
