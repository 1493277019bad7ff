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

const (
	// memoryLimitShare is the memory limit of the Go runtime as a share of the VM's memory. Near the limit, the garbage
	// collector runs more often.
	memoryLimitShare = 0.6
	// gcPercent is below the default of 100, which saves memory at the cost of CPU time: the live heap of a daemon is a
	// few megabytes, so collections are cheap, and memory is the scarcest resource of a VM.
	gcPercent = 60
)

// runPlatform runs the daemon on the users' platform, with logs on standard output.
func runPlatform(o options) int {
	s, err := settings.LoadPlatform(o.Config)
	if code, exit := o.checkSettings(err); exit {
		return code
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory)))
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return serve(os.Stdout, s.VM, s.Verbosity, func(ctx context.Context, output *logging.Output) error {
		return daemon.RunPlatform(ctx, o.Config, s, hup, output.Var())
	})
}
