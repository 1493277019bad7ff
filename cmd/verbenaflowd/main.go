// Command verbenaflowd is the daemon of an entry VM.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/node/daemon"
	"github.com/verbenaflow/verbenaflow/node/logging"
	"github.com/verbenaflow/verbenaflow/node/settings"
)

// options holds the command line flags of the daemon.
type options struct {
	Config   string `long:"config" env:"VERBENAFLOW_CONFIG" required:"true" description:"settings file (INI)"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Platform bool   `long:"platform" description:"run on the users' platform, behind its balancer and store"`
}

// Exit codes of the daemon.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitUsage
	}
	if o.Platform {
		return runPlatform(o)
	}
	s, err := settings.Load(o.Config)
	if code, exit := o.prepare(err, os.Stderr, s.VM, s.Verbosity); exit {
		return code
	}
	return serve(func(ctx context.Context) error { return daemon.Run(ctx, s) })
}

// prepare reports invalid settings, handles --check and sets up logging. If exit is true, the process must exit with
// the returned code.
func (o options) prepare(invalid error, log io.Writer, vm model.VMID, verbosity int) (code int, exit bool) {
	if invalid != nil {
		fmt.Fprintln(os.Stderr, invalid)
		return exitUsage, true
	}
	if o.Check {
		fmt.Println("settings are valid")
		return 0, true
	}
	if err := logging.Setup(log, string(vm), "daemon", verbosity); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure, true
	}
	return 0, false
}

// serve runs the daemon until SIGTERM or SIGINT and returns the exit code.
func serve(run func(ctx context.Context) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// The first signal restores the default action, so that a second one terminates the process without a drain.
	defer context.AfterFunc(ctx, stop)()
	if err := run(ctx); err != nil {
		var p *kernel.PanicError
		if errors.As(err, &p) {
			klog.ErrorS(err, "service panicked", "panicked", p.Name, "stack", p.Stack)
		}
		klog.ErrorS(err, "daemon failed")
		klog.Flush()
		return exitFailure
	}
	klog.Flush()
	return 0
}
