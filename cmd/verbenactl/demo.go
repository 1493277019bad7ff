package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/node/demo"
	"github.com/verbenaflow/verbenaflow/node/embedded"
	"github.com/verbenaflow/verbenaflow/node/logging"
)

// demoError reports that the demo broke a promise or, if broken is false, that a step failed.
type demoError struct{ broken bool }

func (e *demoError) Error() string {
	if e.broken {
		return "a promise was broken"
	}
	return "a step failed"
}

type demoCommand struct {
	app *app
	Log string `long:"log" description:"file for the log lines of the daemons; by default they are dropped"`
}

// Execute implements flags.Commander.
func (o *demoCommand) Execute([]string) error {
	var log io.Writer = io.Discard
	if o.Log != "" {
		f, err := os.Create(o.Log)
		if err != nil {
			return errors.Wrap(err, "log file")
		}
		defer f.Close()
		log = f
	}
	if err := logging.Setup(log, "embedded", "demo", 0); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c, err := embedded.Start(embedded.DefaultOptions())
	if err != nil {
		return err
	}
	steps := demo.Run(ctx, c)
	if err := c.Stop(); err != nil {
		return errors.Wrap(err, "stop")
	}
	rows := [][]any{{"STEP", "RESULT", "TIME", "EVIDENCE"}}
	for _, s := range steps {
		result := string(s.Result)
		if s.Promise != "" {
			result += " " + s.Promise
		}
		rows = append(rows, []any{s.Name, result, fmt.Sprintf("%d ms", s.TimeMS), s.Evidence})
	}
	if err := o.app.printResult(steps, rows...); err != nil {
		return err
	}
	if !demo.AllOK(steps) {
		return &demoError{broken: demo.BrokenPromise(steps)}
	}
	return nil
}
