package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

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
	var reloads conc.WaitGroup
	defer reloads.Wait()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	reloads.Go(func() { reload(o.Config, hup) })
	defer close(hup)
	defer signal.Stop(hup)
	return serve(func(ctx context.Context) error { return daemon.RunFleet(ctx, s) })
}

// reload checks the settings file on each SIGHUP. The settings of a process do not change while it runs: addresses and
// bounds are those of its start.
func reload(path string, hup <-chan os.Signal) {
	for range hup {
		if _, err := settings.LoadFleet(path); err != nil {
			klog.ErrorS(err, "settings file is invalid; the settings of the start stay in force")
			continue
		}
		klog.InfoS("settings file checked; it takes effect at the next start")
	}
}
