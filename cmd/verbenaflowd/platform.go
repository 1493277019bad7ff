package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/verbenaflow/verbenaflow/node/daemon"
	"github.com/verbenaflow/verbenaflow/node/logging"
	"github.com/verbenaflow/verbenaflow/node/settings"
)

// gcPercent is below the default of 100, which saves memory at the cost of CPU time: the live heap of a daemon is a
// few megabytes, so collections are cheap, and memory is the scarcest resource of a VM. daemon.RunPlatform sets the limit.
const gcPercent = 60

// runPlatform runs the daemon on the users' platform, with logs on standard output.
func runPlatform(o options) int {
	s, err := settings.LoadPlatform(o.Config)
	if code, exit := o.checkSettings(err); exit {
		return code
	}
	debug.SetGCPercent(gcPercent)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return serve(os.Stdout, s.VM, s.Verbosity, func(ctx context.Context, output *logging.Output) error {
		return daemon.RunPlatform(ctx, o.Config, s, hup, output.Var())
	})
}
