// Command verbenaflowd is the daemon of an entry VM.
package main

import (
	"context"
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
	ignoreBrokenPipes()
	var o options
	// The parser's own output is not used, since it waits for a reader.
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		if flags.WroteHelp(err) {
			printBounded(os.Stdout, err.Error()+"\n")
			return 0
		}
		printBounded(os.Stderr, err.Error()+"\n")
		return exitUsage
	}
	if o.Platform {
		return runPlatform(o)
	}
	s, err := settings.Load(o.Config)
	if code, exit := o.checkSettings(err); exit {
		return code
	}
	return serve(os.Stderr, s.VM, s.Verbosity, func(ctx context.Context, output *logging.Output) error {
		return daemon.Run(ctx, s, output.Var())
	})
}

// checkSettings reports invalid settings and handles --check. If exit is true, the process must exit with the returned
// code.
func (o options) checkSettings(invalid error) (code int, exit bool) {
	switch {
	case invalid != nil:
		printBounded(os.Stderr, invalid.Error()+"\n")
		return exitUsage, true
	case o.Check:
		printBounded(os.Stdout, "settings are valid\n")
		return 0, true
	}
	return 0, false
}

// serve runs the daemon with its log in a file until SIGTERM or SIGINT and returns the exit code.
func serve(log *os.File, vm model.VMID, verbosity int, run func(ctx context.Context, output *logging.Output) error) int {
	stderr, detachErr := logging.DetachStderr()
	if log == os.Stderr {
		log = stderr
	}
	output := logging.NewOutput(log, string(vm), "daemon")
	defer output.Close(outputTimeout)
	if err := logging.SetupOutput(output, string(vm), "daemon", verbosity); err != nil {
		output.Print(err.Error() + "\n")
		return exitFailure
	}
	if detachErr != nil {
		klog.ErrorS(detachErr, "the message of a fatal error may wait for the reader of standard error")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// The first signal restores the default action, so that a second one terminates the process without a drain.
	defer context.AfterFunc(ctx, stop)()
	if err := run(ctx, output); err != nil {
		var p *kernel.PanicError
		if errors.As(err, &p) {
			klog.ErrorS(err, "service panicked", "panicked", p.Name, "stack", p.Stack)
		}
		klog.ErrorS(err, "daemon failed")
		return exitFailure
	}
	return 0
}
