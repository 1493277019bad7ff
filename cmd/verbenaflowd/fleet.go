package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/verbenaflow/verbenaflow/node/daemon"
	"github.com/verbenaflow/verbenaflow/node/settings"
)

const (
	// memoryShare is the part of a VM's memory at which the collector works harder to stay below it.
	memoryShare = 0.6
	// gcPercent trades processor time for memory: a daemon's live heap is a few megabytes, and memory is what a VM has
	// least of.
	gcPercent = 60
)

// runFleet runs the daemon on the users' platform, where logs go to standard output.
func runFleet(o options) int {
	s, err := settings.LoadFleet(o.Config)
	if code, end := o.prepare(err, os.Stdout, s.VM, s.Verbosity); end {
		return code
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return serve(func(ctx context.Context) error { return daemon.RunFleet(ctx, o.Config, s, hup) })
}
